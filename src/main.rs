//! The courier as a daemon: reads its configuration, takes up what is owed, and serves its fronts.

use indigohold::config::{self, Config};
use indigohold::core::{Clock, Courier, Report};
use indigohold::net::{self, mail, platform};
use indigohold::store::Journal;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// After SIGTERM: when sessions are closed, and when the process ends. SIGKILL follows after 3.7 s.
const CLOSE: Duration = Duration::from_millis(3_100);
const EXIT: Duration = Duration::from_millis(3_400);

/// Starts a front's listeners.
type Serve = Box<dyn FnOnce() -> std::io::Result<()>>;

fn main() -> ExitCode {
    match config::read().and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("indigohold: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run(config: Config) -> Result<(), String> {
    // First of all: from here on SIGTERM is heard and not fatal.
    let terms = [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT];
    let mut signals = signal_hook::iterator::Signals::new(terms).map_err(|e| format!("signals: {e}"))?;
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
    if let Some(listen) = config.listen {
        let discovery = address("discovery", config.discovery.as_deref())?;
        let version = known.generation;
        let backends = known.backends(&names);
        courier.report(Report::List { front: platform::FRONT, whole: true, backends, fresh: false });
        let (platform, front) =
            platform::start(&courier, config.sockets, names, slots, discovery, version).map_err(fail)?;
        let listener = TcpListener::bind(&listen).map_err(|e| format!("listen: {listen}: {e}"))?;
        fronts.push(front);
        sessions.push(platform.sessions.clone());
        serve.push(Box::new(move || platform::serve(&platform, listener)));
    }
    if let Some(mail_config) = mail_config {
        let listeners = mail::bind(&mail_config)?;
        let (mail, front) = mail::start(&courier, mail_config, slots, &state)?;
        fronts.push(front);
        sessions.push(mail.sessions.clone());
        serve.push(Box::new(move || mail::serve(&mail, listeners)));
    }
    let conns: Vec<_> = fronts.iter().map(|f| f.conns.clone()).collect();
    let shared = courier.clone();
    net::spawn("dispatch", move || net::dispatch(&shared, &fronts)).map_err(fail)?;
    // What is owed has been taken up; only now is anybody answered.
    serve.into_iter().try_for_each(|serve| serve()).map_err(fail)?;
    eprintln!("indigohold: ready; {} messages are owed", courier.owed());
    let mut stopping: Option<Instant> = None;
    let mut swept = Instant::now();
    loop {
        let next = courier.tick();
        let now = Instant::now();
        if let Some(e) = courier.failed() {
            return Err(format!("NODE_STATE: {e}"));
        }
        if stopping.is_none() && signals.pending().next().is_some() {
            stopping = Some(now);
            eprintln!("indigohold: told to end; {} messages are owed", courier.owed());
            courier.stop(now + EXIT);
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
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn address(what: &str, text: Option<&str>) -> Result<SocketAddr, String> {
    let text = text.ok_or(format!("{what}: not set"))?;
    text.parse().map_err(|e| format!("{what}: {text}: {e}"))
}
