//! Applies the resources of the carrier on top of the configuration file. Each resource is a JSON merge
//! patch; wider scopes are merged first. The result is parsed by the code that parses the file. A resource
//! that fails is replaced by its last accepted version, if there is one, and reported with the key that is
//! wrong.

use crate::config::{self, Config};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::{Name, Resource, Scope};
use serde_json::{Map, Value as Json};
use tokio::sync::{mpsc, oneshot};

const QUEUE_CAPACITY: usize = 4;
/// The maximum length of the reason of a refusal, in characters. Reasons are sent up to the publisher
/// together with many others.
const MAX_REASON_CHARS: usize = 200;

/// The scope and the name of a resource, and why the resource is not in force.
pub type Refusal = (Scope, Name, String);

/// The result of applying resources on top of the file.
pub struct AppliedConfig {
    /// The resulting configuration.
    pub config: Config,
    /// The resources that are in force, in the order in which they were merged.
    pub accepted: Vec<Resource>,
    /// The resources that were refused.
    pub refused: Vec<Refusal>,
}

/// Drops removed resources and sorts the rest into the order in which they are merged: wider scopes first,
/// then by name.
pub fn sort_by_precedence(resources: &mut Vec<Resource>) {
    resources.retain(|resource| resource.patch.is_some());
    resources.sort_by(|one, other| (&one.scope, &one.name).cmp(&(&other.scope, &other.name)));
}

/// Merges the resources into the file's configuration in the given order. `previous` has the resources that
/// were in force until now; where a resource is refused, its previous version stays in force.
pub fn apply_resources(file: &Config, resources: &[Resource], previous: &[Resource]) -> AppliedConfig {
    let merged = resources.iter().try_fold(file.json.clone(), merge_resource);
    if let Ok(config) = merged.and_then(|json| parse_merged(file, json)) {
        return AppliedConfig { config, accepted: resources.to_vec(), refused: Vec::new() };
    }
    let mut applied = AppliedConfig { config: file.clone(), accepted: Vec::new(), refused: Vec::new() };
    for resource in resources {
        let merge_one = |json: &Json, resource: &Resource| {
            merge_resource(json.clone(), resource).and_then(|json| parse_merged(file, json))
        };
        match merge_one(&applied.config.json, resource) {
            Ok(config) => {
                applied.config = config;
                applied.accepted.push(resource.clone());
            }
            Err(error) => {
                let mut reason = format!("{error:#}");
                if let Some((end, _)) = reason.char_indices().nth(MAX_REASON_CHARS) {
                    reason.truncate(end);
                }
                applied.refused.push((resource.scope.clone(), resource.name.clone(), reason));
                let same = |old: &&Resource| old.scope == resource.scope && old.name == resource.name;
                if let Some(old) = previous.iter().find(same)
                    && let Ok(config) = merge_one(&applied.config.json, old)
                {
                    applied.config = config;
                    applied.accepted.push(old.clone());
                }
            }
        }
    }
    applied
}

/// Parses a merged configuration. Keys that cannot change while the process serves are refused: they would
/// take effect only after a restart, and so only in part of the fleet.
fn parse_merged(file: &Config, json: Json) -> Result<Config> {
    let config = config::parse(&json)?;
    let mut restart = config::keys_needing_restart(&file.json, &json);
    restart.extend(
        ["seed", "known"]
            .iter()
            .filter(|key| file.json.get(**key) != json.get(**key))
            .map(|key| (*key).into()),
    );
    ensure!(restart.is_empty(), "needs a restart, put it into the file: {}", restart.join(", "));
    // These values were set by the platform and are not part of the JSON.
    let (listener_inherited, folder, known) =
        (file.listener_inherited, file.folder.clone(), file.known.clone());
    Ok(Config { listener_inherited, folder, known, ..config })
}

fn merge_resource(mut json: Json, resource: &Resource) -> Result<Json> {
    let text = resource.patch.as_deref().unwrap_or("{}");
    let patch: Json = serde_json::from_str(text).context("not valid JSON")?;
    ensure!(patch.is_object(), "expected an object, found {patch}");
    merge(&mut json, &patch);
    Ok(json)
}

/// Merges a patch as RFC 7396 defines it: null removes a key, objects are merged, any other value replaces
/// the old one.
pub fn merge(target: &mut Json, patch: &Json) {
    let Json::Object(patch) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Json::Object(Map::new());
    }
    let Json::Object(object) = target else { return };
    for (key, value) in patch {
        if value.is_null() {
            object.remove(key);
        } else {
            merge(object.entry(key.clone()).or_insert(Json::Null), value);
        }
    }
}

/// A command from the carrier to the serving process.
pub enum Command {
    /// Puts these resources in force, and answers with the refused ones.
    Apply(Vec<Resource>, oneshot::Sender<Vec<Refusal>>),
    /// Answers whether these resources would be accepted on top of those that are in force, or why not.
    Check(Vec<Resource>, oneshot::Sender<Result<(), String>>),
}

/// Sends commands from the carrier to the serving process.
#[derive(Clone)]
pub struct Applier(mpsc::Sender<Command>);

impl Applier {
    /// Puts these resources in force and returns the refused ones; `None` only when the process is stopping.
    pub async fn apply(&self, resources: Vec<Resource>) -> Option<Vec<Refusal>> {
        let (answer, answered) = oneshot::channel();
        self.0.send(Command::Apply(resources, answer)).await.ok()?;
        answered.await.ok()
    }

    /// Checks whether these resources would be accepted. The error is the reason why not.
    pub async fn check(&self, resources: Vec<Resource>) -> Result<(), String> {
        let (answer, answered) = oneshot::channel();
        let stopping = || String::from("this process is stopping");
        self.0.send(Command::Check(resources, answer)).await.map_err(|_| stopping())?;
        answered.await.unwrap_or_else(|_| Err(stopping()))
    }
}

/// Creates the channel between the carrier and the serving process.
pub fn channel() -> (Applier, mpsc::Receiver<Command>) {
    let (commands, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    (Applier(commands), mailbox)
}

/// Checks whether new resources would be accepted together with those in force, where each replaces its own
/// earlier version. The error names the first resource that is refused, and the reason.
pub fn check(file: &Config, accepted: &[Resource], new: &[Resource]) -> Result<(), String> {
    let same = |old: &Resource, new: &Resource| old.scope == new.scope && old.name == new.name;
    let kept = accepted.iter().filter(|old| !new.iter().any(|new| same(old, new)));
    let mut all: Vec<Resource> = kept.chain(new).cloned().collect();
    sort_by_precedence(&mut all);
    let applied = apply_resources(file, &all, &[]);
    match applied.refused.into_iter().next() {
        Some((scope, name, reason)) => Err(format!("{name} for {scope}: {reason}")),
        None => Ok(()),
    }
}
