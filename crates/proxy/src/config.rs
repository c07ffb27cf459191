//! The one place where the configuration is read, checked and given defaults. Every message names the key.

use crate::discovery::known::Known;
use crate::fleet::config::FleetConfig;
use crate::operator::CALLERS;
use crate::resp::MAX_BULK_BYTES;
use crate::sound::{key, sound};
use crate::streaming;
use anyhow::{Context, Result, bail, ensure};
use pumicebay_core::Settings;
use pumicebay_core::host::RetrySafety;
use pumicebay_core::state::Route;
use pumicebay_names as names;
use serde_json::Value as Json;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// What a proxy holds at most if its limits do not say.
const SOCKETS: u64 = 1024;
const MEMORY_MB: u64 = 192;
const FEWEST_MEMORY_MB: u64 = 8;
/// How long new connections are accepted after the signal to stop: a front hears of it a little later.
const DRAINING: Duration = Duration::from_millis(500);
/// Half the memory is for clients' connections, a quarter for those to nodes: what each may hold at worst. A
/// client's buffer grows by doubling to the longest frame. A node's holds one value and what goes with it.
const CLIENT_BYTES: usize = 2 * MAX_BULK_BYTES;
const NODE_BYTES: usize = MAX_BULK_BYTES + MAX_BULK_BYTES / 4;
/// Descriptors for all that is not a connection: the runtime, the listener, discovery, logs.
const RESERVED: usize = 32;
const FEWEST_SOCKETS: u64 = 2 * RESERVED as u64;
/// What the platform says goes before what the file says.
const VARIABLES: &[(&str, &str)] = &[
    ("PROXY_NAME", "name"),
    ("PROXY_LISTEN", "listen"),
    ("PROXY_DISCOVERY", "discovery"),
    ("PROXY_OPERATOR", "operator"),
];
/// A list is no longer than this in bytes, and than an eighth of the memory.
const LONGEST_LIST: usize = 16 * 1024 * 1024;
const IDLE: Duration = Duration::from_secs(15);
const CONNECT: Duration = Duration::from_millis(200);
const KEYS: &[&str] =
    &["name", "listen", "discovery", "operator", "seed", "limits", "known", "settings", "fleet"];

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The operators' door, where there is one.
    pub operator: Option<SocketAddr>,
    /// Standard input is the clients' listening socket, which other processes hold too.
    pub inherited: bool,
    /// The proxy's private folder, in which a process leaves what the one beside it or after it must know.
    pub folder: Option<PathBuf>,
    pub seed: u64,
    /// The limit on memory, in units of 1,024 bytes.
    pub memory_kb: u64,
    /// How many connections clients may hold here, and this proxy to nodes.
    pub clients: usize,
    pub upstream: usize,
    /// How many of those may stay open between exchanges: three quarters of what clients may hold for requests.
    pub used: usize,
    /// How many commands clients may send ahead of their answers, over all connections.
    pub ahead: usize,
    /// How many long values may be on their way at a time.
    pub long: usize,
    /// The list of nodes as this proxy last had it.
    pub known: Known,
    /// The longest list that is read, in bytes of its text.
    pub longest_list: usize,
    pub settings: Settings,
    /// All of it, as it was read, but for the entries of `known`.
    pub json: Json,
    /// What the indices of the decisions stand for.
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// The kinds of machines, by name.
    pub kinds: Vec<String>,
    pub origin_kind: Option<String>,
    /// How long a node lets a connection stand idle, and how long one may take to come up.
    pub idle: Duration,
    pub connect: Duration,
    pub draining: Duration,
    /// The fleet that it is one of, if it is in any.
    pub fleet: Option<Arc<FleetConfig>>,
}

/// Reads the file at `path` anew: where discovery is it says itself, as what the platform said at the start
/// may no longer hold.
pub fn reread(path: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    read(path, |name| if name == "PROXY_DISCOVERY" { None } else { variable(name) })
}

/// Reads the file at `path`; the platform's variables go before what it says.
pub fn read(path: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let text = std::fs::read_to_string(path).with_context(|| format!("configuration {path}"))?;
    let config = parse_text(&text, &variable).with_context(|| format!("configuration {path}"))?;
    let inherited = variable("PROXY_FD").is_some();
    // By the proxy's name, as others may have theirs in the same place.
    let own = format!("pumicebay-{:016x}", names::stable_hash(&config.name));
    let folder = variable("TMPDIR").map(|shared| PathBuf::from(shared).join(own));
    Ok(Config { inherited, folder, ..config })
}

/// Reads a configuration's text. The list in it never becomes a tree: it may be far longer than all the rest.
fn parse_text(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let Ok(fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
        return parse(&serde_json::from_str(text)?);
    };
    let (mut object, mut known) = (serde_json::Map::new(), Known::default());
    for (name, value) in fields {
        let value = if name == "known" {
            let (list, outline) = Known::read(value.get())?;
            known = list;
            outline
        } else {
            serde_json::from_str(value.get())?
        };
        object.insert(name, value);
    }
    for (name, key) in VARIABLES {
        if let Some(value) = variable(name) {
            object.insert((*key).into(), Json::String(value));
        }
    }
    build(Json::Object(object), known)
}

/// Reads a configuration that is a tree already.
///
/// # Errors
/// Names the key that is missing or wrong.
pub fn parse(json: &Json) -> Result<Config> {
    let mut json = json.clone();
    let mut known = Known::default();
    if let Some(list) = json.get_mut("known") {
        let (read, outline) = Known::read(&list.to_string())?;
        (known, *list) = (read, outline);
    }
    build(json, known)
}

fn build(json: Json, known: Known) -> Result<Config> {
    let json = &json;
    let Some(object) = json.as_object() else { bail!("expected an object") };
    // Names that begin with # are notes.
    for key in object.keys().filter(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
        tracing::warn!("configuration: {key} is not known and not used");
    }
    let wire = json.get("settings").context("settings: missing")?;
    ensure!(wire.is_object(), "settings: expected an object, found {wire}");
    let settings = checked(json, wire)?;
    let sockets = number(json, "/limits/sockets")?.unwrap_or(SOCKETS);
    ensure!(sockets >= FEWEST_SOCKETS, "limits.sockets: expected {FEWEST_SOCKETS} or more, found {sockets}");
    let operator = address(json, "operator")?;
    let reserved = RESERVED + operator.map_or(0, |_| CALLERS);
    let sockets = usize::try_from(sockets).unwrap_or(usize::MAX) - reserved;
    let memory = number(json, "/limits/memory_mb")?.unwrap_or(MEMORY_MB);
    let least = FEWEST_MEMORY_MB;
    ensure!(memory >= least, "limits.memory_mb: expected {least} or more, found {memory}");
    let memory_kb = memory.saturating_mul(1024);
    let memory = usize::try_from(memory).unwrap_or(usize::MAX).saturating_mul(1 << 20);
    // Clients hold a third of all descriptors for requests.
    let used = (sockets + reserved) / 3 * 3 / 4;
    let clients = clients_part(sockets).min(memory / 2 / CLIENT_BYTES);
    let listen = address(json, "listen")?.context("listen: missing")?;
    let kinds = names::names_at(wire, "/skus", "");
    let origin = wire.pointer("/domain/origin-kind").and_then(Json::as_i64).filter(|&kind| kind >= 0);
    let origin_kind = origin.map(|kind| {
        kinds
            .get(kind as usize)
            .cloned()
            .with_context(|| format!("settings.domain.origin-kind: no kind {kind}"))
    });
    let micros = |key, default| number(json, key).map(|time| time.map_or(default, Duration::from_micros));
    let name = text(json, "name")?.unwrap_or("pumicebay").to_string();
    Ok(Config {
        fleet: FleetConfig::parse(json, &name)?.map(Arc::new),
        name,
        listen,
        discovery: address(json, "discovery")?.context("discovery: missing")?,
        operator,
        inherited: false,
        folder: None,
        seed: seed(json)?,
        memory_kb,
        clients,
        used: used.min(clients),
        upstream: (sockets - clients_part(sockets)).min(memory / 4 / NODE_BYTES),
        ahead: memory / 8 / MAX_BULK_BYTES,
        long: memory / 8 / streaming::MAX_BUFFERED_BYTES,
        known,
        longest_list: (memory / 8).min(LONGEST_LIST),
        json: json.clone(),
        tenants: names::names_at(wire, "/orgs", "/name"),
        zones: names::names_at(wire, "/failure-domains", ""),
        origin_kind: origin_kind.transpose()?,
        kinds,
        idle: micros("/settings/permissions/conn-idle-us", IDLE)?,
        connect: micros("/settings/permissions/connect-timeout-us", CONNECT)?,
        draining: DRAINING,
        settings,
    })
}

/// Of the descriptors that are left, clients have three parts in five: some of them only sit there.
fn clients_part(descriptors: usize) -> usize {
    descriptors * 3 / 5
}

/// The settings under the decisions' names, once what they can't do without is there and sound.
fn checked(json: &Json, wire: &Json) -> Result<Settings> {
    for place in ["/settings/fleet-size", "/settings/permissions/most-upstream-tries"] {
        ensure!(number(json, place)? != Some(0), "{}: expected 1 or more, found 0", key(place));
    }
    for place in ["/settings/rules/start-capacity", "/settings/surplus-payoff"] {
        let part = |value: &Json| value.as_f64().is_some_and(|part| (0.0..=1.0).contains(&part));
        sound(json, place, "a part between 0 and 1", part)?;
    }
    for place in ["/settings/permissions/may-probe", "/settings/permissions/retry-after"] {
        sound(json, place, "true or false", Json::is_boolean)?;
    }
    for place in ["/settings/skus", "/settings/failure-domains", "/settings/telemetry/columns"] {
        let texts = |value: &Json| value.as_array().is_some_and(|all| all.iter().all(Json::is_string));
        sound(json, place, "a list of texts", texts)?;
    }
    let among = [
        ("/settings/discovery", &["push", "ask"][..]),
        ("/settings/telemetry/via", &["silent", "pull", "piggyback"]),
    ];
    for (place, words) in among {
        let one = |value: &Json| value.as_str().is_some_and(|value| words.contains(&value));
        sound(json, place, &words.join(" or "), one)?;
    }
    let multiple = |value: &Json| value.as_f64().is_some_and(|multiple| multiple >= 0.0);
    sound(json, "/settings/domain/origin-fall-multiple", "0 or more", multiple)?;
    for (at, tenant) in wire.get("orgs").and_then(Json::as_array).into_iter().flatten().enumerate() {
        let quota = tenant.get("quota-per-s").unwrap_or(&Json::Null);
        let sound = quota.is_null() || quota.as_f64().is_some_and(|quota| quota > 0.0);
        ensure!(sound, "settings.orgs[{at}].quota-per-s: expected more than 0, found {quota}");
    }
    for place in ["/settings/rules/cold-us", "/settings/rules/fall-us", "/settings/rules/drain-grace-us"] {
        number(json, place)?;
    }
    if let Some(why) = names::invalid_setting(wire) {
        bail!("settings.{why}");
    }
    let routes = wire.get("routes").and_then(Json::as_array).context("settings.routes: expected a list")?;
    ensure!(!routes.is_empty(), "settings.routes: expected one or more");
    for (at, route) in routes.iter().enumerate() {
        ensure!(!names::text_at(route, "/name").is_empty(), "settings.routes[{at}].name: expected a text");
        for key in ["latency-objective-us", "overall-timeout-us"] {
            let time = route.get(key).unwrap_or(&Json::Null);
            let found = || format!("settings.routes[{at}].{key}: expected microseconds, found {time}");
            ensure!(time.as_u64().is_some_and(|time| time > 0), found());
        }
        let name = names::text_at(route, "/name");
        let again = routes[..at].iter().any(|other| names::text_at(other, "/name") == name);
        ensure!(!again, "settings.routes[{at}].name: {name:?} is there twice");
        for (key, wanted) in [("window-us", "microseconds"), ("payoff", "0 or more")] {
            let value = route.get(key).unwrap_or(&Json::Null);
            let whole = value.is_u64() || key == "payoff" && value.as_f64().is_some_and(|value| value >= 0.0);
            ensure!(
                value.is_null() || whole,
                "settings.routes[{at}].{key}: expected {wanted}, found {value}"
            );
        }
        let effect = names::text_at(route, "/effect");
        let known = ["repeatable", "by_key", "once"].contains(&effect);
        ensure!(known, "settings.routes[{at}].effect: expected repeatable, by_key or once, found {effect:?}");
    }
    Ok(names::settings_from_json(wire))
}

/// What a file must not lack once the one in force has it: a part that was cut off would else be taken as a wish.
pub fn keeps(old: &Json, new: &Json) -> Result<()> {
    lacks_nothing(old, new, "")?;
    let keys = |route: &Json| -> Vec<String> {
        route.as_object().into_iter().flat_map(|route| route.keys().cloned()).collect()
    };
    let routes =
        |json: &Json| json.pointer("/settings/routes").and_then(Json::as_array).cloned().unwrap_or_default();
    // Keys that every route had.
    let mut common = routes(old).first().map(keys).unwrap_or_default();
    routes(old).iter().for_each(|route| common.retain(|key| route.get(key).is_some()));
    for (at, route) in routes(new).iter().enumerate() {
        let missing = common.iter().find(|key| route.get(key.as_str()).is_none());
        ensure!(missing.is_none(), "settings.routes[{at}].{}: missing", missing.map_or("", |key| key));
    }
    Ok(())
}

fn lacks_nothing(old: &Json, new: &Json, place: &str) -> Result<()> {
    let Some(object) = old.as_object() else { return Ok(()) };
    ensure!(new.is_object(), "{}: expected an object, found {new}", key(place));
    for (name, old) in object.iter().filter(|(name, old)| !name.starts_with('#') && !old.is_null()) {
        let place = format!("{place}/{name}");
        let Some(new) = new.get(name).filter(|new| !new.is_null()) else {
            bail!("{}: missing, and was there before", key(&place))
        };
        lacks_nothing(old, new, &place)?;
    }
    Ok(())
}

/// What is new and can't be taken while the proxy serves; the list and the seed are for a start anyhow.
pub fn needs_restart(old: &Json, new: &Json) -> Vec<String> {
    let taken = ["seed", "discovery", "settings.routes", "settings.permissions.most-upstream-tries"];
    let taken = |place: &String| taken.contains(&place.as_str()) || place.starts_with("known");
    let mut places = Vec::new();
    differences(old, new, "", &mut places);
    places.into_iter().map(|place| key(&place)).filter(|place| !taken(place)).collect()
}

fn differences(old: &Json, new: &Json, place: &str, into: &mut Vec<String>) {
    match (old, new) {
        (Json::Object(old), Json::Object(new)) => {
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for name in names.into_iter().filter(|name| !name.starts_with('#')) {
                let of = |json: &serde_json::Map<String, Json>| json.get(name).cloned().unwrap_or_default();
                differences(&of(old), &of(new), &format!("{place}/{name}"), into);
            }
        }
        _ if old != new => into.push(place.to_string()),
        _ => {}
    }
}

fn seed(json: &Json) -> Result<u64> {
    match json.get("seed") {
        None | Some(Json::Null) => Ok(0),
        Some(Json::Number(seed)) if seed.is_u64() => Ok(seed.as_u64().unwrap_or_default()),
        Some(Json::String(seed)) => u64::from_str_radix(seed, 16)
            .with_context(|| format!("seed: expected 64 bits in hex, found {seed:?}")),
        Some(other) => bail!("seed: expected 64 bits in hex, found {other}"),
    }
}

fn address(json: &Json, key: &str) -> Result<Option<SocketAddr>> {
    let Some(text) = text(json, key)? else { return Ok(None) };
    text.parse().map(Some).with_context(|| format!("{key}: expected ADDRESS:PORT, found {text:?}"))
}

fn text<'a>(json: &'a Json, key: &str) -> Result<Option<&'a str>> {
    match json.get(key) {
        None | Some(Json::Null) => Ok(None),
        Some(Json::String(text)) => Ok(Some(text)),
        Some(other) => bail!("{key}: expected a text, found {other}"),
    }
}

fn number(json: &Json, place: &str) -> Result<Option<u64>> {
    match json.pointer(place) {
        None | Some(Json::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) => Ok(Some(number)),
            None => bail!("{}: expected a whole number, found {value}", key(place)),
        },
    }
}

impl Config {
    /// What `check` prints.
    pub fn summary(&self) -> String {
        let Config { name, listen, discovery, clients, upstream, .. } = self;
        let repeat = |route: &Route| match route.retry_safety {
            RetrySafety::Retriable => "retriable",
            RetrySafety::Deduped(_) => "deduped",
            RetrySafety::NonRetriable => "non-retriable",
        };
        let ordered = |route: &Route| if route.keeps_order { ", in order" } else { "" };
        let named =
            |(name, route): (&String, &Route)| format!("{name} ({}{})", repeat(route), ordered(route));
        let routes = Route::all_from(&self.settings);
        let routes: Vec<String> =
            names::names_at(&self.json, "/settings/routes", "/name").iter().zip(&routes).map(named).collect();
        let known = self.known.count;
        let door = self.operator.map_or(String::new(), |door| format!(", operators at {door}"));
        let fleet = self.fleet.as_ref().map_or(String::new(), |fleet| format!("\n{}", fleet.summary(name)));
        format!(
            "{name} listens on {listen}, discovery at {discovery}{door}, {known} nodes known\n\
             at most {clients} client connections and {upstream} to nodes\n\
             routes: {}{fleet}",
            routes.join(", ")
        )
    }
}
