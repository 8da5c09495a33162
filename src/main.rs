//! The courier as a daemon: reads its configuration, takes up what is owed, and serves its fronts.

use indigohold::config::{self, Config};
use indigohold::core::{Clock, Courier, Report};
use indigohold::net::{self, mail, platform};
use indigohold::store::Journal;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::net::TcpListener;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// After SIGTERM: when sessions are closed, and when the process ends. SIGKILL follows after 3.7 s.
const CLOSE: Duration = Duration::from_millis(3_100);
const EXIT: Duration = Duration::from_millis(3_400);

/// Starts a front's listeners.
type Serve = Box<dyn FnOnce() -> std::io::Result<()>>;
/// Takes over what a front can change while it runs.
type Reload = Box<dyn Fn(&Config) -> Result<(), String>>;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("indigohold: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    // First of all: from here on no signal is fatal.
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    let config = config::read()?;
    let discovery = config.discovery();
    let (known, state) = (config.known, config.state);
    let (mut settings, names) = config.settings.split()?;
    let mail_config = mail::config::read(&config.mail, &mut settings, &names)?;
    if config.listen.is_none() && mail_config.is_none() {
        return Err("listen: not set, and the mail front is off".into());
    }
    let slots = settings.limits.slots.map_or(64, |s| s as usize).clamp(1, 256) + 2;
    let clock = Clock::start();
    let zones = mail_config.as_ref().map_or(0, |m| mail::dns::server::room(m.zones.len()));
    let disk = (config.disk_mb * 1e6) as u64;
    let journal = Journal::open(&state, disk.saturating_sub(zones), clock.now())
        .map_err(|e| format!("NODE_STATE: {}: {e}", state.display()))?;
    let courier = Arc::new(Courier::new(settings, config.seed, clock, journal));
    let fail = |e: std::io::Error| format!("starting: {e}");
    let (mut fronts, mut sessions, mut serve) = (Vec::new(), Vec::new(), Vec::<Serve>::new());
    let mut reloads = Vec::<Reload>::new();
    if let Some(listen) = config.listen {
        let discovery = discovery?;
        let version = known.generation;
        let backends = known.backends(&names);
        courier.report(Report::List { front: platform::FRONT, whole: true, backends, fresh: false });
        let (platform, front) =
            platform::start(&courier, config.bounds, names, slots, discovery, version).map_err(fail)?;
        let listener = TcpListener::bind(&listen).map_err(|e| format!("listen: {listen}: {e}"))?;
        fronts.push(front);
        sessions.push(platform.sessions.clone());
        let shared = platform.clone();
        reloads.push(Box::new(move |config| config.discovery().map(|addr| shared.site.move_to(addr))));
        serve.push(Box::new(move || platform::serve(&platform, listener)));
    }
    if let Some(mail_config) = mail_config {
        let listeners = mail::bind(&mail_config)?;
        let (mail, front) = mail::start(&courier, mail_config, slots, &state)?;
        fronts.push(front);
        sessions.push(mail.sessions.clone());
        let shared = mail.clone();
        reloads.push(Box::new(move |_| {
            shared.reload();
            Ok(())
        }));
        serve.push(Box::new(move || mail::serve(&mail, listeners)));
    }
    let conns: Vec<_> = fronts.iter().map(|f| f.conns.clone()).collect();
    let shared = courier.clone();
    net::spawn("dispatch", move || net::dispatch(&shared, &fronts)).map_err(fail)?;
    // What is owed has been taken up; only now is anybody answered.
    serve.into_iter().try_for_each(|serve| serve()).map_err(fail)?;
    eprintln!(
        "indigohold: ready; {} messages are owed, {} backends known",
        courier.owed(),
        courier.backends()
    );
    let mut stopping: Option<Instant> = None;
    let mut swept = Instant::now();
    loop {
        let next = courier.tick();
        let now = Instant::now();
        if let Some(e) = courier.failed() {
            return Err(format!("NODE_STATE: {e}"));
        }
        for signal in signals.pending() {
            if signal == SIGHUP {
                // Danger: a file that can't be read must not take a courier down that still knows its own.
                if let Err(e) = reload(&reloads) {
                    eprintln!("indigohold: the configuration stays as it was: {}", e.replace('\n', " "));
                }
            } else if stopping.is_none() {
                stopping = Some(now);
                eprintln!("indigohold: told to end; {} messages are owed", courier.owed());
                courier.stop(now + EXIT);
            }
        }
        if let Some(since) = stopping.map(|at| now - at) {
            if since >= CLOSE {
                sessions.iter().for_each(|s| s.close());
            }
            // Danger: a fetch cut off here may have run, and costs its message an answer or a repeat.
            let open: usize = sessions.iter().map(|s| s.count()).sum();
            let out: usize = conns.iter().map(|c| c.out()).sum();
            if since >= EXIT || since >= CLOSE && open + out == 0 {
                eprintln!("indigohold: ends; {} messages stay owed, {out} of them out", courier.owed());
                return Ok(());
            }
        }
        if now - swept > Duration::from_millis(250) {
            swept = now;
            conns.iter().for_each(|c| c.sweep());
            sessions.iter().for_each(|s| s.sweep());
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// On SIGHUP: the file is read whole before anything of it is used.
fn reload(fronts: &[Reload]) -> Result<(), String> {
    let config = config::read()?;
    fronts.iter().try_for_each(|reload| reload(&config))
}
