//! What is carried, laid over the file: wider scopes first, each a JSON merge patch, and the outcome read by the code that
//! reads the file. What fails is left out, its last good one put in its place, and named with the key that is wrong.

use crate::config::{self, Config};
use anyhow::{Context, Result, ensure};
use pumicebay_carrier::{Name, Resource, Scope};
use serde_json::{Map, Value as Json};
use tokio::sync::{mpsc, oneshot};

const MAILBOX: usize = 4;
/// Of a refusal's words: they go up to the publisher among many others.
const LONGEST_REASON: usize = 200;

/// A resource, and why it is not in force.
pub type Refusal = (Scope, Name, String);

/// What came of it.
pub struct Laid {
    pub config: Config,
    /// What is in force, in its order.
    pub good: Vec<Resource>,
    pub refused: Vec<Refusal>,
}

/// The order in which they are laid: wider scopes first, then by name.
pub fn in_order(resources: &mut Vec<Resource>) {
    resources.retain(|resource| resource.patch.is_some());
    resources.sort_by(|one, other| (&one.scope, &one.name).cmp(&(&other.scope, &other.name)));
}

/// Lays these over the file, in their order; `before` is what was in force of them until now.
pub fn lay(file: &Config, resources: &[Resource], before: &[Resource]) -> Laid {
    let whole = resources.iter().try_fold(file.json.clone(), over);
    if let Ok(config) = whole.and_then(|json| read(file, json)) {
        return Laid { config, good: resources.to_vec(), refused: Vec::new() };
    }
    let mut laid = Laid { config: file.clone(), good: Vec::new(), refused: Vec::new() };
    for resource in resources {
        let one =
            |json: &Json, resource: &Resource| over(json.clone(), resource).and_then(|json| read(file, json));
        match one(&laid.config.json, resource) {
            Ok(config) => {
                laid.config = config;
                laid.good.push(resource.clone());
            }
            Err(error) => {
                let mut why = format!("{error:#}");
                if let Some((end, _)) = why.char_indices().nth(LONGEST_REASON) {
                    why.truncate(end);
                }
                laid.refused.push((resource.scope.clone(), resource.name.clone(), why));
                let same = |old: &&Resource| old.scope == resource.scope && old.name == resource.name;
                if let Some(old) = before.iter().find(same)
                    && let Ok(config) = one(&laid.config.json, old)
                {
                    laid.config = config;
                    laid.good.push(old.clone());
                }
            }
        }
    }
    laid
}

/// What stands in the file and can't change while it serves can't be carried: it would hold after a restart alone, and on
/// some of the fleet.
fn read(file: &Config, json: Json) -> Result<Config> {
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

fn over(mut json: Json, resource: &Resource) -> Result<Json> {
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
pub enum Order {
    /// Puts these in force, and answers with what it refused.
    Lay(Vec<Resource>, oneshot::Sender<Vec<Refusal>>),
    /// Whether these would do, over what is in force now.
    Check(Vec<Resource>, oneshot::Sender<Result<(), String>>),
}

/// The carrier's way to the process that serves.
#[derive(Clone)]
pub struct Layer(mpsc::Sender<Order>);

impl Layer {
    /// `None` only when the process ends.
    pub async fn lay(&self, resources: Vec<Resource>) -> Option<Vec<Refusal>> {
        let (answer, answered) = oneshot::channel();
        self.0.send(Order::Lay(resources, answer)).await.ok()?;
        answered.await.ok()
    }

    pub async fn check(&self, resources: Vec<Resource>) -> Result<(), String> {
        let (answer, answered) = oneshot::channel();
        let ending = || String::from("this process ends");
        self.0.send(Order::Check(resources, answer)).await.map_err(|_| ending())?;
        answered.await.unwrap_or_else(|_| Err(ending()))
    }
}

pub fn door() -> (Layer, mpsc::Receiver<Order>) {
    let (orders, mailbox) = mpsc::channel(MAILBOX);
    (Layer(orders), mailbox)
}

/// Whether these would do, each over what is in force without its own earlier version.
pub fn check(file: &Config, good: &[Resource], new: &[Resource]) -> Result<(), String> {
    let same = |old: &Resource, new: &Resource| old.scope == new.scope && old.name == new.name;
    let kept = good.iter().filter(|old| !new.iter().any(|new| same(old, new)));
    let mut all: Vec<Resource> = kept.chain(new).cloned().collect();
    in_order(&mut all);
    let laid = lay(file, &all, &[]);
    match laid.refused.into_iter().next() {
        Some((scope, name, why)) => Err(format!("{name} for {scope}: {why}")),
        None => Ok(()),
    }
}
