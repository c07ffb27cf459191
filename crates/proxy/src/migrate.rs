//! From a configuration of the old shape (a pool of proxies, several zones, news between peers) to its counterpart
//! of the new one: a proxy for each client process, all in one location. What the old file can't know comes as
//! [`Answers`]; what is missing is asked for, and nothing is written until it is there.

use crate::config;
use crate::sound::{key as name, sound};
use anyhow::{Context, Result, bail, ensure};
use serde_json::{Map, Value as Json, json};
use std::fs::{self, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// What an operator says of the new deployment.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// How many proxies there will be, all clients' together.
    pub proxies: Option<u64>,
    /// Whether they may probe the nodes.
    pub probes: Option<bool>,
    /// Which of the old zones is the one location.
    pub zone: Option<String>,
    /// What each proxy has for itself: see [`OWN`].
    pub own: Vec<(&'static str, Json)>,
}

/// What differs from one proxy to the next, by the option that says it: two with one seed would move in step.
pub const OWN: [(&str, &str); 4] =
    [("name", "/name"), ("listen", "/listen"), ("seed", "/seed"), ("me", "/settings/me")];

/// The new configuration, and what there is to tell of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Migrated {
    pub json: Json,
    /// A line for each thing changed, kept as it is though it should be looked at, or not carried over.
    pub lines: Vec<String>,
    /// A line for each answer that is missing.
    pub asks: Vec<String>,
}

/// Reads the text of an old configuration; nothing where it is of the new shape already.
///
/// # Errors
/// Names the key for which the old file is broken or an answer does not fit it.
pub fn migrate(text: &str, answers: &Answers) -> Result<Option<Migrated>> {
    let old: Json = serde_json::from_str(text)?;
    config::parse(&old)?;
    sound(&old, "/peers", "a list", Json::is_array)?;
    if new_shape(&old) {
        return Ok(None);
    }
    let mut work = Migrated { json: old, lines: Vec::new(), asks: Vec::new() };
    work.drop_peers();
    let zone = work.choose_zone(answers.zone.as_deref())?;
    if let Some(zone) = zone {
        work.move_to(&zone);
    }
    work.answer("/settings/fleet-size", answers.proxies.map(Json::from), "--proxies N");
    work.answer("/settings/permissions/may-probe", answers.probes.map(Json::from), "--probes yes|no");
    for (option, place) in OWN {
        let own = answers.own.iter().find(|(name, _)| *name == option);
        match own {
            Some((_, value)) => work.set(place, value.clone()),
            None => {
                let value = work.json.pointer(place).cloned().unwrap_or_default();
                work.lines.push(format!(
                    "look at: {} stays {value}; each proxy needs its own (--{option})",
                    name(place)
                ));
            }
        }
    }
    let telemetry = work.json.pointer("/settings/telemetry").cloned().unwrap_or_default();
    work.lines
        .push(format!("look at: settings.telemetry stays {telemetry}; it says what the new nodes report"));
    config::parse(&work.json).context("the new configuration")?;
    Ok(Some(work))
}

/// Nothing that only a pool of proxies in several zones has.
fn new_shape(json: &Json) -> bool {
    let old = ["/peers", "/peer_listen", "/settings/permissions/peers"];
    let zones = json.pointer("/settings/failure-domains").and_then(Json::as_array).map_or(0, Vec::len);
    zones <= 1 && old.iter().all(|place| json.pointer(place).is_none())
}

impl Migrated {
    fn object(&mut self, place: &str) -> Option<&mut Map<String, Json>> {
        self.json.pointer_mut(place).and_then(Json::as_object_mut)
    }

    /// Takes a key out, with the note on it, and says why.
    fn leave(&mut self, parent: &str, key: &str, why: &str) {
        for key in [key.to_string(), format!("# {key}")] {
            if let Some(value) = self.object(parent).and_then(|object| object.remove(&key)) {
                self.lines
                    .push(format!("not carried over: {} {value}: {why}", name(&format!("{parent}/{key}"))));
            }
        }
    }

    fn set(&mut self, place: &str, value: Json) {
        let old = self.json.pointer(place).cloned().unwrap_or_default();
        let (parent, key) = place.rsplit_once('/').unwrap_or_default();
        if old != value {
            self.lines.push(format!("changed: {} {old} -> {value}", name(place)));
        }
        // A part of the settings that the old file leaves out comes to be.
        if self.json.pointer(parent).is_none()
            && let Some((above, missing)) = parent.rsplit_once('/')
            && let Some(object) = self.object(above)
        {
            object.insert(missing.to_string(), json!({}));
        }
        if let Some(object) = self.object(parent) {
            object.insert(key.to_string(), value);
        }
    }

    fn answer(&mut self, place: &str, answer: Option<Json>, option: &str) {
        match answer {
            Some(value) => self.set(place, value),
            None => {
                let old = self.json.pointer(place).cloned().unwrap_or_default();
                let key = name(place);
                self.asks
                    .push(format!("missing: {key}, {old} so far: the old file can't know it, give {option}"));
            }
        }
    }

    fn drop_peers(&mut self) {
        let why = "proxies beside their clients tell each other nothing";
        self.leave("", "peers", why);
        self.leave("", "peer_listen", why);
        self.leave("/settings/permissions", "peers", why);
    }

    /// The one location: as answered, or the only one there is.
    fn choose_zone(&mut self, answer: Option<&str>) -> Result<Option<String>> {
        let zones = self.json.pointer("/settings/failure-domains").and_then(Json::as_array);
        let zones: Vec<String> =
            zones.into_iter().flatten().filter_map(Json::as_str).map(Into::into).collect();
        match answer {
            Some(zone) if zones.iter().any(|known| known == zone) => Ok(Some(zone.to_string())),
            Some(zone) => bail!("settings.failure-domains: no zone {zone:?} among {}", zones.join(", ")),
            None if zones.len() <= 1 => Ok(zones.into_iter().next()),
            None => {
                let all = zones.join(", ");
                let ask = "which of them is the one location, give --zone NAME";
                self.asks.push(format!("missing: settings.failure-domains, {all} so far: {ask}"));
                Ok(None)
            }
        }
    }

    fn move_to(&mut self, zone: &str) {
        self.set("/settings/failure-domains", json!([zone]));
        if self.json.pointer("/settings/my-zone").is_some() {
            self.set("/settings/my-zone", json!(zone));
        }
        let origin = self.origin();
        let targets =
            self.json.pointer_mut("/known/targets").and_then(Json::as_array_mut).map(std::mem::take);
        let mut kept = Vec::new();
        for (at, mut target) in targets.iter().flatten().cloned().enumerate() {
            let elsewhere = target.get("az").and_then(Json::as_str).is_some_and(|az| az != zone);
            let text = |field: &str| target.get(field).cloned().unwrap_or_default();
            let (uid, az) = (text("uid"), text("az"));
            if !elsewhere {
                kept.push(target);
            } else if origin.is_some() && target.get("model") == origin.as_ref() {
                self.lines.push(format!("changed: known.targets[{at}].az of {uid} {az} -> {zone:?}"));
                target["az"] = json!(zone);
                kept.push(target);
            } else {
                self.lines
                    .push(format!("not carried over: known.targets[{at}] {target}: {az} is not {zone:?}"));
            }
        }
        if targets.is_some() {
            self.json["known"]["targets"] = Json::Array(kept);
        }
        for at in 0..self.json["settings"]["routes"].as_array().map_or(0, Vec::len) {
            let place = format!("/settings/routes/{at}/dedup-scope");
            if self.json.pointer(&place).is_some_and(|scope| scope == "zone") {
                self.set(&place, json!("all"));
            }
        }
    }

    /// The kind of machine that the origin is.
    fn origin(&self) -> Option<Json> {
        let kind = self.json.pointer("/settings/domain/origin-kind")?.as_u64()?;
        self.json.pointer(&format!("/settings/skus/{kind}")).cloned()
    }
}

/// Reads the file at `old`, prints the list, and writes `new` unless that is a dry run; `over` says that a file
/// already there may be replaced. The file appears whole or not at all, and `old` is only read.
///
/// # Errors
/// Where something is missing or broken, or can't be written; nothing is written then.
pub fn run(old: &Path, new: &Path, answers: &Answers, dry: bool, over: bool) -> Result<()> {
    let named = || format!("configuration {}", old.display());
    let text = fs::read_to_string(old).with_context(named)?;
    let Some(migrated) = migrate(&text, answers).with_context(named)? else {
        println!("{} is of the new shape already: nothing changed, nothing written", old.display());
        return Ok(());
    };
    migrated.lines.iter().chain(&migrated.asks).for_each(|line| println!("{line}"));
    ensure!(migrated.asks.is_empty(), "{} answers are missing: nothing written", migrated.asks.len());
    let same = fs::canonicalize(new).is_ok_and(|new| fs::canonicalize(old).is_ok_and(|old| new == old));
    ensure!(!same, "{}: is the old configuration", new.display());
    ensure!(over || fs::symlink_metadata(new).is_err(), "{}: exists; --force replaces it", new.display());
    if dry {
        println!("dry run: {} not written", new.display());
        return Ok(());
    }
    let mut text = serde_json::to_string_pretty(&migrated.json)?;
    text.push('\n');
    put(new, &text, over).with_context(|| new.display().to_string())?;
    println!("{} written", new.display());
    Ok(())
}

/// Writes beside the place and then puts the whole file there.
fn put(path: &Path, text: &str, over: bool) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(format!(".{}.part", std::process::id()));
    let beside = PathBuf::from(beside);
    let written = (|| {
        let mut file = OpenOptions::new().write(true).create_new(true).open(&beside)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        // A link, unlike a rename, does not replace what came there in between.
        if over { fs::rename(&beside, path) } else { fs::hard_link(&beside, path) }
    })();
    match fs::remove_file(&beside) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => written,
    }
}
