//! The processes under test: started with a folder of their own, heard by what they say, ended by their handles.

use crate::record::Instance;
use crate::scenario::{Effect, Folder, Group, Scenario};
use crossbeam_channel::{unbounded, Receiver, Sender};
use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;
use std::{fs, thread};

/// Lines of a process that are remembered, to be told when it ends by itself.
const REMEMBERED: usize = 5;
/// One tick of the processor times in /proc, in milliseconds.
const TICK_MS: u64 = 10;

/// What an instance took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Used {
    /// Processor time, in milliseconds.
    pub cpu_ms: u64,
    /// Most resident memory of one life, in kB.
    pub memory_kb: u64,
    /// Lives.
    pub lives: u32,
}

/// What a process says that matters here.
pub enum Said {
    /// Where its clients connect.
    Listens(SocketAddr),
    /// It serves.
    Ready,
}

struct One {
    folder: PathBuf,
    config: Value,
    child: Option<Child>,
    addr: Option<SocketAddr>,
    used: Used,
    last: VecDeque<String>,
    /// Its next life is stopped before it can say anything.
    hold: bool,
    /// No file of its next life can grow past this.
    room: Option<u64>,
}

/// All processes of a run. They end with it.
pub struct Fleet {
    program: PathBuf,
    all: Vec<One>,
    to: Sender<(Instance, u32, String)>,
    lines: Receiver<(Instance, u32, String)>,
}

/// The program beside this one, where `cargo build --release` puts both; or as the environment says.
pub fn program() -> io::Result<PathBuf> {
    if let Some(path) = std::env::var_os("INDIGOHOLD_PROGRAM") {
        return Ok(path.into());
    }
    let here = std::env::current_exe()?;
    let beside = here.ancestors().skip(1).take(2).map(|folder| folder.join("indigohold"));
    let found = beside.into_iter().find(|path| path.is_file());
    found.ok_or_else(|| {
        io::Error::other(
            "the program `indigohold` is not beside this one; build it, or set INDIGOHOLD_PROGRAM",
        )
    })
}

/// The settings of a scenario as the platform writes them.
pub fn document(scenario: &Scenario) -> Value {
    let class = |c: &crate::scenario::Class| {
        let mut profile = json!({
            "name": c.name, "aim": c.aim.0, "deadline": c.deadline.0, "worth": c.worth, "lateWorth": c.late_worth,
            "idempotency": match c.effect {
                Effect::Safe => "pure",
                Effect::Keyed(..) => "token",
                Effect::Unsafe => "side_effect",
            },
        });
        if let Effect::Keyed(group, window) = c.effect {
            profile["group"] = if group == Group::All { "all" } else { "cell" }.into();
            profile["repeatWindow"] = window.0.into();
        }
        profile
    };
    let tenant =
        |t: &crate::scenario::Tenant| json!({"name": t.name, "share": t.share, "quotaPerS": t.quota});
    let conf = &scenario.destinations;
    json!({
        "balancers": scenario.courier.instances, "discovery": "subscribe", "failureDomains": ["z"],
        "familyInfo": {"bundleMax": [1], "fades": "even", "kindApart": [false], "slots": scenario.courier.slots},
        "invariants": {"answerSlack": 250_000, "cold": conf.cold.0, "coldShare": conf.cold_share,
            "mustAskIn": 10_000_000, "overloadFactor": conf.topple_factor, "tipAfter": conf.topple_after.0},
        "kinds": ["partner"],
        "limits": {"cancel": true, "connIdle": conf.idle.0, "connectTimeout": 1_500_000,
            "maxOpen": scenario.courier.max_open, "maxRetryAfter": 5_000_000, "probing": false, "peers": false,
            "tryLimit": scenario.courier.attempts},
        "loadReport": {"names": []}, "period": 5_000,
        "profiles": scenario.classes.iter().map(class).collect::<Vec<_>>(),
        "tenants": scenario.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "weights": if conf.told_weights { "nominal" } else { "off" },
    })
}

/// The configuration of one instance.
pub fn config(scenario: &Scenario, registry: SocketAddr, seed: u64, known: Value) -> Value {
    json!({
        "listen": "127.0.0.1:0", "discovery": registry.to_string(), "seed": format!("{seed:016x}"),
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": scenario.courier.disk as f64 / 1e6},
        "known": known, "settings": document(scenario),
    })
}

impl Fleet {
    /// For so many instances, with their files in this folder.
    pub fn new(program: &Path, folder: &Path, count: usize) -> Fleet {
        let (to, lines) = unbounded();
        let one = |n: usize| One {
            folder: folder.join(format!("n{n}")),
            config: Value::Null,
            child: None,
            addr: None,
            used: Used::default(),
            last: VecDeque::new(),
            hold: false,
            room: None,
        };
        Fleet { program: program.to_owned(), all: (0..count).map(one).collect(), to, lines }
    }

    /// Starts an instance for the first time.
    pub fn start(&mut self, n: Instance, config: Value) -> io::Result<()> {
        let one = &mut self.all[n as usize];
        one.config = config;
        let _ = fs::remove_dir_all(&one.folder);
        self.start_again(n)
    }

    /// Starts an instance that has ended, where it was.
    pub fn start_again(&mut self, n: Instance) -> io::Result<()> {
        let one = &mut self.all[n as usize];
        fs::create_dir_all(one.folder.join("state"))?;
        let path = one.folder.join("config.json");
        fs::write(&path, one.config.to_string())?;
        let mut command = match one.room.take() {
            None => Command::new(&self.program),
            Some(bytes) => {
                // The signal that tells of the limit is ignored, so that the write fails and the process lives.
                let mut sh = Command::new("sh");
                let blocks = (bytes / 512).to_string();
                sh.args(["-c", "trap '' XFSZ; ulimit -f \"$1\"; exec \"$0\""]).arg(&self.program).arg(blocks);
                sh
            }
        };
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        command.env("NODE_CONFIG", &path).env("NODE_STATE", one.folder.join("state"));
        for (name, file) in
            [("MAIL", "mail"), ("REGISTER", "register"), ("CHANNEL", "channel"), ("ADMISSION", "admission")]
        {
            command.env(format!("NODE_{name}"), one.folder.join(format!("{file}.json")));
        }
        command.env_remove("NODE_DISCOVERY").env_remove("NODE_LISTEN").env_remove("NODE_LOG");
        let mut child = command.spawn()?;
        if std::mem::take(&mut one.hold) {
            kill_process(Pid::from_child(&child), Signal::STOP)?;
        }
        one.used.lives += 1;
        if let Some(said) = child.stderr.take() {
            let (to, life) = (self.to.clone(), one.used.lives);
            thread::spawn(move || listen(said, n, life, &to));
        }
        one.child = Some(child);
        Ok(())
    }

    /// What one of them has said.
    pub fn hear(&mut self) -> Option<(Instance, Said)> {
        while let Ok((n, life, line)) = self.lines.try_recv() {
            let one = &mut self.all[n as usize];
            if life != one.used.lives {
                continue;
            }
            if one.last.len() >= REMEMBERED {
                one.last.pop_front();
            }
            one.last.push_back(line.clone());
            let words = line.strip_prefix("indigohold: ").unwrap_or(&line);
            if let Some(addr) = words.strip_prefix("platform on ").and_then(|a| a.parse().ok()) {
                return Some((n, Said::Listens(addr)));
            }
            if words.starts_with("ready") {
                return Some((n, Said::Ready));
            }
        }
        None
    }

    /// Where its clients connect; there it listens in its next lives too.
    pub fn listens(&mut self, n: Instance, addr: SocketAddr) -> io::Result<()> {
        let one = &mut self.all[n as usize];
        one.addr = Some(addr);
        one.config["listen"] = addr.to_string().into();
        Ok(())
    }

    /// Where its clients connect.
    pub fn addr(&self, n: Instance) -> Option<SocketAddr> {
        self.all[n as usize].addr
    }

    /// SIGKILL, or SIGTERM. Only processes that this one started are ended, by their handles or numbers.
    pub fn end_one(&mut self, n: Instance, gently: bool) -> io::Result<()> {
        let one = &mut self.all[n as usize];
        one.look();
        match &mut one.child {
            Some(child) if gently => Ok(kill_process(Pid::from_child(child), Signal::TERM)?),
            Some(child) => child.kill(),
            None => Ok(()),
        }
    }

    /// Who has ended since, and how.
    pub fn ended(&mut self) -> io::Result<Vec<(Instance, String)>> {
        let mut out = Vec::new();
        for (n, one) in self.all.iter_mut().enumerate() {
            let Some(child) = &mut one.child else { continue };
            if let Some(status) = child.try_wait()? {
                one.child = None;
                let last: Vec<String> = one.last.drain(..).collect();
                out.push((n as Instance, format!("{status}; it last said: {}", last.join(" | "))));
            }
        }
        Ok(out)
    }

    /// It is stopped, or goes on.
    pub fn pause(&mut self, n: Instance, stops: bool) -> io::Result<()> {
        let Some(child) = &self.all[n as usize].child else { return Ok(()) };
        Ok(kill_process(Pid::from_child(child), if stops { Signal::STOP } else { Signal::CONT })?)
    }

    /// Its next life is stopped before it can say anything.
    pub fn hold_next(&mut self, n: Instance) {
        self.all[n as usize].hold = true;
    }

    /// Copies its folder, as it is now.
    pub fn copy(&mut self, n: Instance) -> io::Result<()> {
        let folder = &self.all[n as usize].folder;
        copy_all(&folder.join("state"), &folder.join("older"))
    }

    /// Does something to the folder of one that has ended; words if it could not be done.
    pub fn fault_folder(&mut self, n: Instance, what: Folder) -> io::Result<Option<String>> {
        let one = &mut self.all[n as usize];
        let (state, older) = (one.folder.join("state"), one.folder.join("older"));
        match what {
            Folder::Kept => {}
            Folder::Older(_) if !older.is_dir() => {
                return Ok(Some("there is no older copy of its folder".into()))
            }
            Folder::Older(_) => {
                fs::remove_dir_all(&state)?;
                copy_all(&older, &state)?;
            }
            Folder::Missing => {
                let journals =
                    files(&state)?.into_iter().filter(|p| p.extension().is_some_and(|e| e == "log"));
                match journals.max() {
                    Some(path) => fs::remove_file(path)?,
                    None => return Ok(Some("there is no journal file to lose".into())),
                }
            }
            Folder::ReadOnly => {
                for path in files(&state)?.into_iter().chain([state.clone()]) {
                    let mut mode = fs::metadata(&path)?.permissions();
                    mode.set_readonly(true);
                    fs::set_permissions(&path, mode)?;
                }
                let probe = state.join("probe");
                if fs::write(&probe, b"").is_ok() {
                    fs::remove_file(probe)?;
                    return Ok(Some("its folder can be written all the same: this account may".into()));
                }
            }
            Folder::NoRoom(bytes) => one.room = Some(bytes),
        }
        Ok(None)
    }

    /// Its folder is lost.
    pub fn lose(&mut self, n: Instance) -> io::Result<()> {
        fs::remove_dir_all(self.all[n as usize].folder.join("state"))
    }

    /// Ends all; says what they took.
    pub fn end(&mut self) -> Vec<Used> {
        self.all
            .iter_mut()
            .map(|one| {
                one.look();
                one.stop();
                one.used
            })
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.all.iter_mut().for_each(One::stop);
    }
}

impl One {
    fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error says that it has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Adds what this life has taken so far.
    fn look(&mut self) {
        let Some(child) = &self.child else { return };
        let read =
            |file: &str| fs::read_to_string(format!("/proc/{}/{file}", child.id())).unwrap_or_default();
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
        self.used.cpu_ms += (ticks(11) + ticks(12)) * TICK_MS;
        let status = read("status");
        let most = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kb = most.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse().ok()).unwrap_or(0);
        self.used.memory_kb = self.used.memory_kb.max(kb);
    }
}

fn files(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let all = fs::read_dir(folder)?.collect::<io::Result<Vec<_>>>()?;
    Ok(all.into_iter().map(|e| e.path()).filter(|p| p.is_file()).collect())
}

/// The files of a folder, one level deep: a state folder has no others. One that goes meanwhile is not in the copy.
fn copy_all(from: &Path, to: &Path) -> io::Result<()> {
    let _ = fs::remove_dir_all(to);
    fs::create_dir_all(to)?;
    for path in files(from)? {
        match path.file_name().map(|name| fs::copy(&path, to.join(name))) {
            Some(Err(e)) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    Ok(())
}

fn listen(said: ChildStderr, n: Instance, life: u32, to: &Sender<(Instance, u32, String)>) {
    for line in BufReader::new(said).lines().map_while(Result::ok) {
        if to.send((n, life, line)).is_err() {
            return;
        }
    }
}

/// A folder for a run that goes with it.
pub struct Scratch(pub PathBuf);

impl Scratch {
    /// A new one.
    pub fn new() -> io::Result<Scratch> {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("indigohold-lab-{}-{number}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Scratch(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        for _ in 0..5 {
            if fs::remove_dir_all(&self.0).is_ok() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}
