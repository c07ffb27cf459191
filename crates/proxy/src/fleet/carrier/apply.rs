//! What is carried, applied over the file: wider scopes first, each a JSON merge patch, and the outcome read by the code that
//! reads the file. What fails is left out, its last good one put in its place, and named with the key that is wrong.

use crate::config::{self, Config};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::{Name, Resource, Scope};
use serde_json::{Map, Value as Json};
use tokio::sync::{mpsc, oneshot};

const QUEUE_CAPACITY: usize = 4;
/// Of a refusal's words: they go up to the publisher among many others.
const MAX_REASON_CHARS: usize = 200;

/// A resource, and reason it is not in force.
pub type Refusal = (Scope, Name, String);

/// What came of it.
pub struct AppliedConfig {
    pub config: Config,
    /// What is in force, in its order.
    pub accepted: Vec<Resource>,
    pub refused: Vec<Refusal>,
}

/// The order in which they are applied: wider scopes first, then by name.
pub fn sort_by_precedence(resources: &mut Vec<Resource>) {
    resources.retain(|resource| resource.patch.is_some());
    resources.sort_by(|one, other| (&one.scope, &one.name).cmp(&(&other.scope, &other.name)));
}

/// Lays these over the file, in their order; `previous` is what was in force of them until now.
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

/// What stands in the file and can't change while it serves can't be carried: it would hold after a restart alone, and on
/// some of the fleet.
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
    // What the platform said and no JSON has.
    let (listener_inherited, folder, known) =
        (file.listener_inherited, file.folder.clone(), file.known.clone());
    Ok(Config { listener_inherited, folder, known, ..config })
}

fn merge_resource(mut json: Json, resource: &Resource) -> Result<Json> {
    let text = resource.patch.as_deref().unwrap_or("{}");
    let patch: Json = serde_json::from_str(text).context("no JSON")?;
    ensure!(patch.is_object(), "expected an object, found {patch}");
    merge(&mut json, &patch);
    Ok(json)
}

/// RFC 7396: what is null is taken out, objects are merged, all else replaces what was there.
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

/// What the carrier wants of the process that serves.
pub enum Command {
    /// Puts these in force, and answers with what it refused.
    Apply(Vec<Resource>, oneshot::Sender<Vec<Refusal>>),
    /// Whether these would do, over what is in force now.
    Check(Vec<Resource>, oneshot::Sender<Result<(), String>>),
}

/// The carrier's way to the process that serves.
#[derive(Clone)]
pub struct Applier(mpsc::Sender<Command>);

impl Applier {
    /// `None` only when the process ends.
    pub async fn apply(&self, resources: Vec<Resource>) -> Option<Vec<Refusal>> {
        let (answer, answered) = oneshot::channel();
        self.0.send(Command::Apply(resources, answer)).await.ok()?;
        answered.await.ok()
    }

    pub async fn check(&self, resources: Vec<Resource>) -> Result<(), String> {
        let (answer, answered) = oneshot::channel();
        let stopping = || String::from("this process ends");
        self.0.send(Command::Check(resources, answer)).await.map_err(|_| stopping())?;
        answered.await.unwrap_or_else(|_| Err(stopping()))
    }
}

pub fn channel() -> (Applier, mpsc::Receiver<Command>) {
    let (commands, mailbox) = mpsc::channel(QUEUE_CAPACITY);
    (Applier(commands), mailbox)
}

/// Whether these would do, each over what is in force without its own earlier version.
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
