//! Charts as SVG, drawn by plotters: a run's seconds, a sweep's heat map, policies beside each other.

use super::{Group, Row};
use crate::experiment::Outcome;
use crate::fleet::{Step, STEP};
use plotters::prelude::*;
use std::error::Error;

type Drawn = Result<String, Box<dyn Error + Send + Sync>>;

const SIZE: (u32, u32) = (900, 300);
const COLOURS: [RGBColor; 7] = [
    RGBColor(44, 42, 130),
    RGBColor(200, 80, 40),
    RGBColor(40, 140, 90),
    RGBColor(190, 150, 30),
    RGBColor(120, 60, 150),
    RGBColor(60, 150, 190),
    RGBColor(130, 130, 130),
];

fn fail(e: impl std::fmt::Display) -> Box<dyn Error + Send + Sync> {
    e.to_string().into()
}

/// Lines over seconds.
fn lines(title: &str, unit: &str, series: &[(&str, Vec<f64>)]) -> Drawn {
    over(title, ("seconds", 1.0), unit, series)
}

/// Lines over steps of a unit.
fn over(title: &str, (across, step): (&str, f64), unit: &str, series: &[(&str, Vec<f64>)]) -> Drawn {
    let mut out = String::new();
    {
        let area = SVGBackend::with_string(&mut out, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(fail)?;
        let len = series.iter().map(|(_, v)| v.len()).max().unwrap_or(1).max(2);
        let most = series.iter().flat_map(|(_, v)| v.iter().copied()).fold(1e-9, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(0f64..(len - 1) as f64 * step, 0f64..most * 1.05)
            .map_err(fail)?;
        chart.configure_mesh().x_desc(across).y_desc(unit).light_line_style(WHITE).draw().map_err(fail)?;
        for (n, (name, values)) in series.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            let points = values.iter().enumerate().map(|(at, v)| (at as f64 * step, *v));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(fail)?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()
            .map_err(fail)?;
        area.present().map_err(fail)?;
    }
    Ok(out)
}

/// Charts of one run.
pub(super) fn run(outcome: &Outcome) -> Result<Vec<String>, Box<dyn Error + Send + Sync>> {
    let seconds = &outcome.figures.seconds;
    let of = |by: fn(&crate::figures::Second) -> f64| seconds.iter().map(by).collect::<Vec<f64>>();
    Ok(vec![
        lines(
            "Worth by when it was wanted",
            "worth a second",
            &[("asked", of(|s| s.asked)), ("earned", of(|s| s.earned))],
        )?,
        lines(
            "Calls",
            "a second",
            &[
                ("calls", of(|s| f64::from(s.calls))),
                ("repeats", of(|s| f64::from(s.repeats))),
                ("turned away", of(|s| f64::from(s.refusals))),
            ],
        )?,
        lines("Taken on and without an end", "messages", &[("owed", of(|s| f64::from(s.owed)))])?,
        over(
            "Latency of what was delivered",
            ("percent of the messages", 1.0),
            "ms",
            &[("known as delivered within", outcome.figures.distribution.clone())],
        )?,
    ])
}

/// Charts of a fleet's return, beside its unharmed twin.
pub(super) fn fleet(ours: &[Step], twin: &[Step]) -> Result<Vec<String>, Box<dyn Error + Send + Sync>> {
    let of =
        |steps: &[Step], by: fn(&Step) -> u64| -> Vec<f64> { steps.iter().map(|s| by(s) as f64).collect() };
    let in_time = |s: &Step| s.in_time.iter().sum();
    let across = ("seconds", STEP);
    Ok(vec![
        over(
            "Delivered in time, by when it was wanted",
            across,
            "messages a step",
            &[("this run", of(ours, in_time)), ("unharmed", of(twin, in_time))],
        )?,
        over(
            "Asked of others",
            across,
            "a step",
            &[
                ("calls for the list", of(ours, |s| s.asks)),
                ("connections to endpoints", of(ours, |s| s.connects)),
            ],
        )?,
        over(
            "Held",
            across,
            "messages",
            &[("this run", of(ours, |s| s.held)), ("unharmed", of(twin, |s| s.held))],
        )?,
    ])
}

/// A colour between red and green.
fn heat(part: f64) -> RGBColor {
    let part = part.clamp(0.0, 1.0);
    let mix = |a: f64, b: f64| (a + (b - a) * part) as u8;
    RGBColor(mix(200.0, 40.0), mix(60.0, 140.0), mix(50.0, 90.0))
}

/// Cells with their values written in them.
fn cells(
    title: &str, across: &[String], down: &[String], value: impl Fn(usize, usize) -> Option<f64>,
) -> Drawn {
    let mut out = String::new();
    let size = (260 + 96 * across.len().max(1) as u32, 90 + 26 * down.len().max(1) as u32);
    {
        let area = SVGBackend::with_string(&mut out, size).into_drawing_area();
        area.fill(&WHITE).map_err(fail)?;
        let text = |size: i32| ("sans-serif", size).into_font();
        area.draw(&Text::new(title.to_owned(), (10, 8), text(18))).map_err(fail)?;
        let all = (0..across.len()).flat_map(|x| (0..down.len()).map(move |y| (x, y)));
        let values: Vec<f64> = all.clone().filter_map(|(x, y)| value(x, y)).collect();
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        for (x, label) in across.iter().enumerate() {
            area.draw(&Text::new(short(label, 15), (250 + 96 * x as i32, 44), text(12))).map_err(fail)?;
        }
        for (y, label) in down.iter().enumerate() {
            area.draw(&Text::new(short(label, 38), (10, 68 + 26 * y as i32), text(12))).map_err(fail)?;
        }
        for (x, y) in all {
            let Some(v) = value(x, y) else { continue };
            let part = if high > low { (v - low) / (high - low) } else { 1.0 };
            let (left, top) = (246 + 96 * x as i32, 62 + 26 * y as i32);
            let place = [(left, top), (left + 92, top + 23)];
            area.draw(&Rectangle::new(place, heat(part).mix(0.85).filled())).map_err(fail)?;
            let words = Text::new(format!("{v:.3}"), (left + 26, top + 6), text(12).color(&WHITE));
            area.draw(&words).map_err(fail)?;
        }
        area.present().map_err(fail)?;
    }
    Ok(out)
}

fn short(text: &str, most: usize) -> String {
    if text.chars().count() <= most {
        return text.to_owned();
    }
    text.chars().take(most - 1).chain(['…']).collect()
}

/// A heat map over the first axis and all others, for goodput.
pub(super) fn sweep(groups: &[Group]) -> Result<Vec<String>, Box<dyn Error + Send + Sync>> {
    let (mut across, mut down): (Vec<String>, Vec<String>) = (Vec::new(), Vec::new());
    let split = |g: &Group| {
        let first = g.settings.first().map_or(String::new(), |(path, value)| format!("{path}={value}"));
        let rest: Vec<String> = g.settings.iter().skip(1).map(|(p, v)| format!("{p}={v}")).collect();
        (first, if rest.is_empty() { "all".to_owned() } else { rest.join(" ") })
    };
    for g in groups {
        let (x, y) = split(g);
        if !across.contains(&x) {
            across.push(x);
        }
        if !down.contains(&y) {
            down.push(y);
        }
    }
    let value = |by: fn(&Group) -> f64| {
        let (across, down) = (across.clone(), down.clone());
        move |x: usize, y: usize| {
            let found = groups.iter().find(|g| split(g) == (across[x].clone(), down[y].clone()));
            found.map(by)
        }
    };
    Ok(vec![
        cells("Goodput", &across, &down, value(|g| g.goodput))?,
        cells("Goodput over the worst ten seconds", &across, &down, value(|g| g.worst_10s))?,
    ])
}

/// Policies beside each other over the scenarios.
pub(super) fn baselines(rows: &[Row]) -> Result<Vec<String>, Box<dyn Error + Send + Sync>> {
    let (mut across, mut down): (Vec<String>, Vec<String>) = (Vec::new(), Vec::new());
    for r in rows {
        if !across.contains(&r.policy) {
            across.push(r.policy.clone());
        }
        if !down.contains(&r.scenario) {
            down.push(r.scenario.clone());
        }
    }
    let value = |by: fn(&Row) -> f64| {
        let (across, down) = (across.clone(), down.clone());
        move |x: usize, y: usize| {
            let found = rows.iter().find(|r| r.policy == across[x] && r.scenario == down[y]);
            found.map(by)
        }
    };
    Ok(vec![
        cells("Goodput", &across, &down, value(|r| r.goodput))?,
        cells("Goodput over the worst ten seconds", &across, &down, value(|r| r.worst_10s))?,
    ])
}
