//! Converts a configuration of the old layout (a pool of proxies in several zones that exchange news as peers) to the new
//! layout: a proxy for each client process, all in one location. The [`MigrationOptions`] give what cannot be derived
//! from the old file; options that are missing are reported, and nothing is written without them.

use crate::config;
use crate::validation::{check_value, key_path};
use anyhow::{Context, Result, bail, ensure};
use serde_json::{Map, Value as Json, json};
use std::fs::{self, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

/// The operator's options, which describe the new deployment.
#[derive(Clone, Debug, Default)]
pub struct MigrationOptions {
    /// The number of proxies of all clients together.
    pub proxies: Option<u64>,
    /// Whether the proxies may probe the nodes.
    pub probes: Option<bool>,
    /// The old zone that becomes the one location.
    pub zone: Option<String>,
    /// Values of this proxy alone, by option: see [`PER_PROXY_OPTIONS`].
    pub per_proxy: Vec<(&'static str, Json)>,
}

/// The options for keys that differ between proxies, with the keys' JSON pointers. Two proxies with the same seed, for
/// example, would make the same random choices at the same time.
pub const PER_PROXY_OPTIONS: [(&str, &str); 4] =
    [("name", "/name"), ("listen", "/listen"), ("seed", "/seed"), ("me", "/settings/me")];

/// The result of a migration, with a report for the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Migration {
    /// The new configuration.
    pub json: Json,
    /// A line for each key that was changed, was not carried over, or was kept and should be reviewed.
    pub report: Vec<String>,
    /// A line for each missing option.
    pub missing: Vec<String>,
}

/// Migrates the text of an old configuration. Returns `None` if it already has the new layout.
///
/// # Errors
/// When a key of the old file is invalid or an option does not fit it; the message names the key.
pub fn migrate(text: &str, options: &MigrationOptions) -> Result<Option<Migration>> {
    let old: Json = serde_json::from_str(text)?;
    config::parse(&old)?;
    check_value(&old, "/peers", "a list", Json::is_array)?;
    if has_new_layout(&old) {
        return Ok(None);
    }
    let mut migration = Migration { json: old, report: Vec::new(), missing: Vec::new() };
    migration.drop_peers();
    let zone = migration.choose_zone(options.zone.as_deref())?;
    if let Some(zone) = zone {
        migration.restrict_to_zone(&zone);
    }
    migration.set_from_option("/settings/fleet-size", options.proxies.map(Json::from), "--proxies N");
    migration.set_from_option(
        "/settings/permissions/may-probe",
        options.probes.map(Json::from),
        "--probes yes|no",
    );
    for (option, pointer) in PER_PROXY_OPTIONS {
        let value = options.per_proxy.iter().find(|(name, _)| *name == option);
        match value {
            Some((_, value)) => migration.set(pointer, value.clone()),
            None => {
                let value = migration.json.pointer(pointer).cloned().unwrap_or_default();
                migration.report.push(format!(
                    "look at: {} stays {value}; each proxy needs its own value (--{option})",
                    key_path(pointer)
                ));
            }
        }
    }
    let telemetry = migration.json.pointer("/settings/telemetry").cloned().unwrap_or_default();
    migration.report.push(format!(
        "look at: settings.telemetry stays {telemetry}; it must match what the new nodes report"
    ));
    config::parse(&migration.json).context("the new configuration")?;
    Ok(Some(migration))
}

/// Whether the configuration has nothing that only a pool of proxies in several zones has.
fn has_new_layout(json: &Json) -> bool {
    let old = ["/peers", "/peer_listen", "/settings/permissions/peers"];
    let zones = json.pointer("/settings/failure-domains").and_then(Json::as_array).map_or(0, Vec::len);
    zones <= 1 && old.iter().all(|pointer| json.pointer(pointer).is_none())
}

impl Migration {
    fn object(&mut self, pointer: &str) -> Option<&mut Map<String, Json>> {
        self.json.pointer_mut(pointer).and_then(Json::as_object_mut)
    }

    /// Removes a key and its comment (the key `# KEY`), and reports why.
    fn remove_key(&mut self, parent: &str, key: &str, why: &str) {
        for key in [key.to_string(), format!("# {key}")] {
            if let Some(value) = self.object(parent).and_then(|object| object.remove(&key)) {
                self.report.push(format!(
                    "not carried over: {} {value}: {why}",
                    key_path(&format!("{parent}/{key}"))
                ));
            }
        }
    }

    /// Sets a value and reports it if it changes.
    fn set(&mut self, pointer: &str, value: Json) {
        let old = self.json.pointer(pointer).cloned().unwrap_or_default();
        let (parent, key) = pointer.rsplit_once('/').unwrap_or_default();
        if old != value {
            self.report.push(format!("changed: {} {old} -> {value}", key_path(pointer)));
        }
        // Creates a parent object that the old file does not have.
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

    /// Sets a value from an option, or reports the option as missing.
    fn set_from_option(&mut self, pointer: &str, value: Option<Json>, option: &str) {
        match value {
            Some(value) => self.set(pointer, value),
            None => {
                let old = self.json.pointer(pointer).cloned().unwrap_or_default();
                let key = key_path(pointer);
                self.missing.push(format!(
                    "missing: {key}, currently {old}: cannot be derived from the old file, give {option}"
                ));
            }
        }
    }

    /// Removes the keys for news between peers.
    fn drop_peers(&mut self) {
        let why = "proxies beside their clients do not exchange news";
        self.remove_key("", "peers", why);
        self.remove_key("", "peer_listen", why);
        self.remove_key("/settings/permissions", "peers", why);
    }

    /// The zone that becomes the one location: the option's, or the only one there is.
    fn choose_zone(&mut self, option: Option<&str>) -> Result<Option<String>> {
        let zones = self.json.pointer("/settings/failure-domains").and_then(Json::as_array);
        let zones: Vec<String> =
            zones.into_iter().flatten().filter_map(Json::as_str).map(Into::into).collect();
        match option {
            Some(zone) if zones.iter().any(|known| known == zone) => Ok(Some(zone.to_string())),
            Some(zone) => bail!("settings.failure-domains: no zone {zone:?} among {}", zones.join(", ")),
            None if zones.len() <= 1 => Ok(zones.into_iter().next()),
            None => {
                let all = zones.join(", ");
                let instruction = "one of them must become the one location, give --zone NAME";
                self.missing
                    .push(format!("missing: settings.failure-domains, currently {all}: {instruction}"));
                Ok(None)
            }
        }
    }

    /// Makes `zone` the only zone: nodes in other zones are dropped, except the origin, which moves to `zone`.
    fn restrict_to_zone(&mut self, zone: &str) {
        self.set("/settings/failure-domains", json!([zone]));
        if self.json.pointer("/settings/my-zone").is_some() {
            self.set("/settings/my-zone", json!(zone));
        }
        let origin_kind = self.origin_kind();
        let targets =
            self.json.pointer_mut("/known/targets").and_then(Json::as_array_mut).map(std::mem::take);
        let mut kept = Vec::new();
        for (at, mut target) in targets.iter().flatten().cloned().enumerate() {
            let elsewhere = target.get("az").and_then(Json::as_str).is_some_and(|az| az != zone);
            let text = |field: &str| target.get(field).cloned().unwrap_or_default();
            let (uid, az) = (text("uid"), text("az"));
            if !elsewhere {
                kept.push(target);
            } else if origin_kind.is_some() && target.get("model") == origin_kind.as_ref() {
                self.report.push(format!("changed: known.targets[{at}].az of {uid} {az} -> {zone:?}"));
                target["az"] = json!(zone);
                kept.push(target);
            } else {
                self.report
                    .push(format!("not carried over: known.targets[{at}] {target}: {az} is not {zone:?}"));
            }
        }
        if targets.is_some() {
            self.json["known"]["targets"] = Json::Array(kept);
        }
        for at in 0..self.json["settings"]["routes"].as_array().map_or(0, Vec::len) {
            let pointer = format!("/settings/routes/{at}/dedup-scope");
            if self.json.pointer(&pointer).is_some_and(|scope| scope == "zone") {
                self.set(&pointer, json!("all"));
            }
        }
    }

    /// The kind of machine that the origin is.
    fn origin_kind(&self) -> Option<Json> {
        let kind = self.json.pointer("/settings/domain/origin-kind")?.as_u64()?;
        self.json.pointer(&format!("/settings/skus/{kind}")).cloned()
    }
}

/// Migrates the file at `old`, prints the report, and writes the result to `new` unless `dry_run` is set. `overwrite`
/// allows replacing an existing file. The new file appears complete or not at all, and `old` is only read.
///
/// # Errors
/// When an option is missing, the old file is invalid or the new one cannot be written; nothing is written then.
pub fn run(old: &Path, new: &Path, options: &MigrationOptions, dry_run: bool, overwrite: bool) -> Result<()> {
    let context = || format!("configuration {}", old.display());
    let text = fs::read_to_string(old).with_context(context)?;
    let Some(migration) = migrate(&text, options).with_context(context)? else {
        println!("{} already has the new layout: nothing changed, nothing written", old.display());
        return Ok(());
    };
    migration.report.iter().chain(&migration.missing).for_each(|line| println!("{line}"));
    ensure!(migration.missing.is_empty(), "{} options are missing: nothing written", migration.missing.len());
    let same = fs::canonicalize(new).is_ok_and(|new| fs::canonicalize(old).is_ok_and(|old| new == old));
    ensure!(!same, "{}: is the file of the old configuration", new.display());
    ensure!(
        overwrite || fs::symlink_metadata(new).is_err(),
        "{}: exists; --force replaces it",
        new.display()
    );
    if dry_run {
        println!("dry run: {} not written", new.display());
        return Ok(());
    }
    let mut text = serde_json::to_string_pretty(&migration.json)?;
    text.push('\n');
    write_complete(new, &text, overwrite).with_context(|| new.display().to_string())?;
    println!("{} written", new.display());
    Ok(())
}

/// Writes a temporary file beside `path` and then moves it there.
fn write_complete(path: &Path, text: &str, overwrite: bool) -> std::io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}.part", std::process::id()));
    let temporary = PathBuf::from(temporary);
    let written = (|| {
        let mut file = OpenOptions::new().write(true).create_new(true).open(&temporary)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        // Unlike a rename, a hard link does not replace a file that was created there meanwhile.
        if overwrite { fs::rename(&temporary, path) } else { fs::hard_link(&temporary, path) }
    })();
    match fs::remove_file(&temporary) {
        Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
        _ => written,
    }
}
