//! The mail front's file, decoded once: where it listens, whose mail it takes, and where that goes.

use super::dns::zone;
use crate::api::{Class, Effect, EndReport, Micros, Settings};
use crate::json;
use crate::settings::NetworkSettings;
use hickory_proto::rr::Name;
use serde::Deserialize;
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    enabled: bool,
    #[serde(default)]
    hostname: String,
    smtp: Option<SocketAddr>,
    lmtp: Option<SocketAddr>,
    dns: Option<SocketAddr>,
    #[serde(default)]
    update_sources: Vec<IpAddr>,
    #[serde(default)]
    zones: Vec<ZoneFile>,
    #[serde(default)]
    partners: Vec<PartnerFile>,
    #[serde(default)]
    senders: BTreeMap<String, String>,
    #[serde(default)]
    classes: BTreeMap<String, ClassFile>,
    #[serde(default = "message_bytes")]
    message_bytes: usize,
    #[serde(default = "remember_hours")]
    remember_hours: u64,
}

fn message_bytes() -> usize {
    1 << 20
}

fn remember_hours() -> u64 {
    120
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneFile {
    origin: String,
    file: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PartnerFile {
    domain: String,
    dest: u16,
    class: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    rate: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    aim_s: u64,
    deadline_s: u64,
}

/// A partner that takes orders by mail.
pub struct Partner {
    /// Its domain.
    pub domain: Name,
    /// Its destination's number; it must stay the same, as the journal holds it.
    pub dest: u16,
    /// The class of a message to it that names none.
    pub class: u16,
    /// Name of its kind in the settings; empty: none.
    pub kind: String,
    /// Calls a second that it takes from all couriers; 0: not known.
    pub rate: f64,
}

/// What the mail front needs to know.
pub struct MailConfig {
    /// This host's name in greetings and traces.
    pub hostname: String,
    /// Where SMTP is listened for.
    pub smtp: Option<SocketAddr>,
    /// Where LMTP is listened for.
    pub lmtp: Option<SocketAddr>,
    /// Where DNS questions and updates are listened for.
    pub dns: Option<SocketAddr>,
    /// Who may send updates.
    pub update_sources: Vec<IpAddr>,
    /// Zones and their files.
    pub zones: Vec<(Name, PathBuf)>,
    /// Partners by domain, in lower case and without the last dot.
    pub partners: BTreeMap<String, Partner>,
    /// Tenants by the domain of the sender's address.
    pub senders: BTreeMap<String, u16>,
    /// Classes by name, as mail takes them.
    pub classes: BTreeMap<String, u16>,
    /// Deadline of each of the module's classes.
    pub deadlines: Vec<Micros>,
    /// The class of bounces.
    pub bounce_class: u16,
    /// The longest message.
    pub message_bytes: usize,
    /// How long a message that may have taken effect is recognised when it comes again.
    pub remember: Micros,
}

impl MailConfig {
    /// Domains whose mail is refused, as they are no partner's and nothing can be returned to them.
    pub fn senders_without_partner(&self) -> impl Iterator<Item = &str> {
        self.senders.keys().filter(|domain| !self.partners.contains_key(*domain)).map(String::as_str)
    }
}

/// A bounce is wanted soon and tried for so long.
const BOUNCE_AIM: Micros = Micros(60_000_000);
const BOUNCE_DEADLINE: Micros = Micros(4 * 3600 * 1_000_000);

/// Reads the file; `None`: the front is off. Adds to the settings the classes as mail takes them: over mail
/// nobody drops a repeat, so a class whose repeats are dropped on the platform is one that must not be repeated.
pub fn read(
    path: &Path, settings: &mut Settings, names: &NetworkSettings,
) -> Result<Option<MailConfig>, String> {
    let place = path.display();
    let mut bytes = match std::fs::read(path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        other => other.map_err(|e| format!("{place}: {e}"))?,
    };
    let file: File = json::from_mut_slice(&mut bytes).map_err(|e| format!("{place}: {e}"))?;
    if !file.enabled {
        return Ok(None);
    }
    build(file, path, settings, names).map(Some).map_err(|e| format!("{place}: {e}"))
}

fn build(
    file: File, path: &Path, settings: &mut Settings, names: &NetworkSettings,
) -> Result<MailConfig, String> {
    if file.hostname.is_empty()
        || !file.hostname.bytes().all(|b| b.is_ascii_alphanumeric() || b"-.".contains(&b))
    {
        return Err("hostname: missing or malformed".into());
    }
    if file.smtp.is_none() && file.lmtp.is_none() {
        return Err("neither smtp nor lmtp is set".into());
    }
    let of_platform = settings.classes.clone();
    let mut classes = BTreeMap::new();
    for (class, name) in of_platform.iter().zip(&names.classes) {
        let own = file.classes.get(name);
        let secs = |s: u64| Micros(s.saturating_mul(1_000_000));
        let (aim, deadline) =
            own.map_or((class.aim, class.deadline), |c| (secs(c.aim_s), secs(c.deadline_s)));
        if aim.0 == 0 || deadline < aim {
            return Err(format!("classes: {name}: the deadline lies before the aim, or there is none"));
        }
        let effect = match class.effect {
            Effect::Safe => Effect::Safe,
            Effect::Keyed { .. } | Effect::Unsafe => Effect::Unsafe,
        };
        classes.insert(name.clone(), settings.classes.len() as u16);
        settings.classes.push(Class {
            aim,
            deadline,
            effect,
            end_report: EndReport::IsReport,
            ..class.clone()
        });
    }
    if let Some(name) = file.classes.keys().find(|c| !classes.contains_key(*c)) {
        return Err(format!("classes: no such class {name}"));
    }
    let bounce_class = settings.classes.len() as u16;
    let worth = of_platform.iter().map(|c| c.worth).fold(1.0, f64::min);
    settings.classes.push(Class {
        aim: BOUNCE_AIM,
        deadline: BOUNCE_DEADLINE,
        worth,
        late_worth: 1.0,
        // A bounce that comes twice is recognised by its Message-ID; a lost one leaves its message without an end.
        effect: Effect::Safe,
        in_order: false,
        end_report: EndReport::IsReport,
    });
    let mut partners = BTreeMap::new();
    let mut dests = HashSet::new();
    for partner in file.partners {
        let what = format!("partners: {}", partner.domain);
        let domain = zone::name(&partner.domain).ok_or(format!("{what}: not a name"))?;
        if !dests.insert(partner.dest) {
            return Err(format!("{what}: dest {} is taken", partner.dest));
        }
        let class = *classes.get(&partner.class).ok_or(format!("{what}: no such class {}", partner.class))?;
        let kind = partner.kind;
        if !kind.is_empty() && !names.kinds.contains(&kind) {
            return Err(format!("{what}: no such kind {kind}"));
        }
        let key = plain(&domain);
        partners.insert(key, Partner { domain, dest: partner.dest, class, kind, rate: partner.rate });
    }
    let mut senders = BTreeMap::new();
    for (domain, tenant) in file.senders {
        let number = names.tenants.iter().position(|t| *t == tenant);
        let number = number.ok_or(format!("senders: {domain}: no such tenant {tenant}"))?;
        senders.insert(domain.to_ascii_lowercase(), number as u16);
    }
    let folder = path.parent().unwrap_or(Path::new(""));
    let zones = file.zones.into_iter().map(|z| {
        let origin = zone::name(&z.origin).ok_or(format!("zones: {}: not a name", z.origin))?;
        Ok((origin, folder.join(z.file)))
    });
    Ok(MailConfig {
        hostname: file.hostname,
        smtp: file.smtp,
        lmtp: file.lmtp,
        dns: file.dns,
        update_sources: file.update_sources,
        zones: zones.collect::<Result<_, String>>()?,
        partners,
        senders,
        classes,
        deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
        bounce_class,
        message_bytes: file.message_bytes.clamp(4096, 1 << 25),
        remember: Micros(file.remember_hours.saturating_mul(3_600_000_000)),
    })
}

/// A name without its last dot.
pub fn plain(name: &Name) -> String {
    name.to_ascii().trim_end_matches('.').to_owned()
}
