//! Reads and checks the configuration and fills in its defaults. Every error names the key.

use crate::discovery::configured_list::ConfiguredList;
use crate::fleet::config::FleetConfig;
use crate::operator::MAX_OPERATOR_CONNECTIONS;
use crate::resp::MAX_BULK_BYTES;
use crate::streaming;
use crate::validation::{check_value, key_path};
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

/// The defaults of `limits.sockets` and `limits.memory_mb`.
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_MEMORY_MB: u64 = 192;
/// The least that `limits.memory_mb` may be.
const MIN_MEMORY_MB: u64 = 8;
/// How long new connections are accepted after the signal to stop: a load balancer learns of the stop a little later.
const DRAIN_PERIOD: Duration = Duration::from_millis(500);
/// The most memory that one connection of a client, and one to a node, may use. Half the memory limit is for clients'
/// connections and a quarter for those to nodes. A client's buffer grows by doubling to the longest frame; a node's
/// holds one value and the rest of its reply.
const MAX_CLIENT_BYTES: usize = 2 * MAX_BULK_BYTES;
const MAX_NODE_BYTES: usize = MAX_BULK_BYTES + MAX_BULK_BYTES / 4;
/// Descriptors reserved for everything but connections of clients and to nodes: the runtime, the listener, discovery,
/// logs.
const RESERVED_DESCRIPTORS: usize = 32;
/// The least that `limits.sockets` may be.
const MIN_SOCKETS: u64 = 2 * RESERVED_DESCRIPTORS as u64;
/// Environment variables that override keys of the file.
const VARIABLES: &[(&str, &str)] = &[
    ("PROXY_NAME", "name"),
    ("PROXY_LISTEN", "listen"),
    ("PROXY_DISCOVERY", "discovery"),
    ("PROXY_OPERATOR", "operator"),
];
/// The longest list of nodes in bytes; an eighth of the memory limit if that is less.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// The default of `settings.permissions.conn-idle-us`.
const DEFAULT_NODE_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The default of `settings.permissions.connect-timeout-us`.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The top-level keys; others are ignored with a warning.
const KEYS: &[&str] =
    &["name", "listen", "discovery", "operator", "seed", "limits", "known", "settings", "fleet"];

/// A checked configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The name of this proxy.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The address of discovery, which lists the nodes.
    pub discovery: SocketAddr,
    /// Where operators call; `None` for no such listener.
    pub operator: Option<SocketAddr>,
    /// Whether standard input is the clients' listening socket, which other processes share.
    pub listener_inherited: bool,
    /// The proxy's private folder, in which a process keeps what another one beside it or after it must know.
    pub folder: Option<PathBuf>,
    /// The seed of all random decisions.
    pub seed: u64,
    /// The memory limit, in units of 1,024 bytes.
    pub memory_limit_kb: u64,
    /// How many connections of clients may be open.
    pub max_client_connections: usize,
    /// How many connections to nodes may be open.
    pub max_node_connections: usize,
    /// How many client connections that have carried a request may stay open between requests: three quarters of those
    /// that clients may hold for requests.
    pub max_used_client_connections: usize,
    /// How many commands clients may send before the replies to earlier ones, over all connections.
    pub max_pipelined_commands: usize,
    /// How many long values may be streamed at a time.
    pub max_streamed_values: usize,
    /// How many bytes of long values may be buffered, because a client has sent further commands.
    pub max_buffered_value_bytes: usize,
    /// The list of nodes to start from.
    pub known: ConfiguredList,
    /// The longest list of nodes that is read, in bytes of JSON text.
    pub max_list_bytes: usize,
    /// The settings, under the names that the core uses.
    pub settings: Settings,
    /// The whole configuration as it was read, without the entries of `known`.
    pub json: Json,
    /// The names of the tenants; the core uses their indices.
    pub tenants: Vec<String>,
    /// The names of the zones; the core uses their indices.
    pub zones: Vec<String>,
    /// The names of the kinds of machines; the core uses their indices.
    pub machine_kinds: Vec<String>,
    /// The kind of machine that the origin is.
    pub origin_kind: Option<String>,
    /// How long a node keeps an idle connection open.
    pub node_idle_timeout: Duration,
    /// How long connecting to a node may take.
    pub connect_timeout: Duration,
    /// How long new connections are accepted after the signal to stop.
    pub drain_period: Duration,
    /// The proxy's fleet, if it is in one.
    pub fleet: Option<Arc<FleetConfig>>,
}

/// Reads the file at `path` again. The file alone gives the address of discovery then, because the environment variable
/// is from the start and may be out of date.
///
/// # Errors
/// As [`read`].
pub fn reload(path: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    read(path, |name| if name == "PROXY_DISCOVERY" { None } else { variable(name) })
}

/// Reads the file at `path`. Environment variables, which `variable` returns by name, override its keys.
///
/// # Errors
/// When the file cannot be read or a key is missing or invalid; the message names the path and the key.
pub fn read(path: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let text = std::fs::read_to_string(path).with_context(|| format!("configuration {path}"))?;
    let config = parse_text(&text, &variable).with_context(|| format!("configuration {path}"))?;
    let listener_inherited = variable("PROXY_FD").is_some();
    // Named after the proxy, because other proxies may use the same parent folder for theirs.
    let folder_name = format!("pumicebay-{:016x}", names::stable_hash(&config.name));
    let folder = variable("TMPDIR").map(|shared| PathBuf::from(shared).join(folder_name));
    Ok(Config { listener_inherited, folder, ..config })
}

/// Parses the text of a configuration without building a JSON tree of its list of nodes, which may be far longer than
/// all the rest.
fn parse_text(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let Ok(fields) = serde_json::from_str::<BTreeMap<String, &RawValue>>(text) else {
        return parse(&serde_json::from_str(text)?);
    };
    let (mut object, mut known) = (serde_json::Map::new(), ConfiguredList::default());
    for (name, value) in fields {
        let value = if name == "known" {
            let (list, outline) = ConfiguredList::parse(value.get())?;
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

/// Checks a configuration that is already a JSON tree.
///
/// # Errors
/// When a key is missing or invalid; the message names it.
pub fn parse(json: &Json) -> Result<Config> {
    let mut json = json.clone();
    let mut known = ConfiguredList::default();
    if let Some(list) = json.get_mut("known") {
        let (parsed, outline) = ConfiguredList::parse(&list.to_string())?;
        (known, *list) = (parsed, outline);
    }
    build(json, known)
}

/// Checks a configuration whose list of nodes was split off as `known`.
fn build(json: Json, known: ConfiguredList) -> Result<Config> {
    let json = &json;
    let Some(object) = json.as_object() else { bail!("expected an object") };
    // Keys that begin with # are comments.
    for key in object.keys().filter(|key| !KEYS.contains(&key.as_str()) && !key.starts_with('#')) {
        tracing::warn!("configuration: unknown key {key} ignored");
    }
    let raw_settings = json.get("settings").context("settings: missing")?;
    ensure!(raw_settings.is_object(), "settings: expected an object, found {raw_settings}");
    let settings = checked_settings(json, raw_settings)?;
    let sockets = number(json, "/limits/sockets")?.unwrap_or(DEFAULT_SOCKETS);
    ensure!(sockets >= MIN_SOCKETS, "limits.sockets: expected {MIN_SOCKETS} or more, found {sockets}");
    let operator = address(json, "operator")?;
    let reserved = RESERVED_DESCRIPTORS + operator.map_or(0, |_| MAX_OPERATOR_CONNECTIONS);
    let sockets = usize::try_from(sockets).unwrap_or(usize::MAX) - reserved;
    let memory = number(json, "/limits/memory_mb")?.unwrap_or(DEFAULT_MEMORY_MB);
    let least = MIN_MEMORY_MB;
    ensure!(memory >= least, "limits.memory_mb: expected {least} or more, found {memory}");
    let memory_limit_kb = memory.saturating_mul(1024);
    let memory = usize::try_from(memory).unwrap_or(usize::MAX).saturating_mul(1 << 20);
    // Clients may hold a third of all descriptors for requests.
    let max_used_client_connections = (sockets + reserved) / 3 * 3 / 4;
    let max_client_connections = client_descriptors(sockets).min(memory / 2 / MAX_CLIENT_BYTES);
    let listen = address(json, "listen")?.context("listen: missing")?;
    let machine_kinds = names::names_at(raw_settings, "/skus", "");
    let origin = raw_settings.pointer("/domain/origin-kind").and_then(Json::as_i64).filter(|&kind| kind >= 0);
    let origin_kind = origin.map(|kind| {
        machine_kinds
            .get(kind as usize)
            .cloned()
            .with_context(|| format!("settings.domain.origin-kind: no kind {kind} in settings.skus"))
    });
    let micros = |key, default| number(json, key).map(|time| time.map_or(default, Duration::from_micros));
    let name = text(json, "name")?.unwrap_or("pumicebay").to_string();
    Ok(Config {
        fleet: FleetConfig::parse(json, &name)?.map(Arc::new),
        name,
        listen,
        discovery: address(json, "discovery")?.context("discovery: missing")?,
        operator,
        listener_inherited: false,
        folder: None,
        seed: seed(json)?,
        memory_limit_kb,
        max_client_connections,
        max_used_client_connections: max_used_client_connections.min(max_client_connections),
        max_node_connections: (sockets - client_descriptors(sockets)).min(memory / 4 / MAX_NODE_BYTES),
        max_pipelined_commands: memory / 8 / MAX_BULK_BYTES,
        max_streamed_values: memory / 8 / streaming::MAX_BUFFERED_BYTES,
        max_buffered_value_bytes: memory / 8,
        known,
        max_list_bytes: (memory / 8).min(MAX_LIST_BYTES),
        json: json.clone(),
        tenants: names::names_at(raw_settings, "/orgs", "/name"),
        zones: names::names_at(raw_settings, "/failure-domains", ""),
        origin_kind: origin_kind.transpose()?,
        machine_kinds,
        node_idle_timeout: micros("/settings/permissions/conn-idle-us", DEFAULT_NODE_IDLE_TIMEOUT)?,
        connect_timeout: micros("/settings/permissions/connect-timeout-us", DEFAULT_CONNECT_TIMEOUT)?,
        drain_period: DRAIN_PERIOD,
        settings,
    })
}

/// The share of these descriptors for clients' connections: three fifths, because some clients only stay connected.
fn client_descriptors(descriptors: usize) -> usize {
    descriptors * 3 / 5
}

/// Checks the settings, `raw_settings` in `json`, and translates their keys to the names that the core uses.
fn checked_settings(json: &Json, raw_settings: &Json) -> Result<Settings> {
    for pointer in ["/settings/fleet-size", "/settings/permissions/most-upstream-tries"] {
        ensure!(number(json, pointer)? != Some(0), "{}: expected 1 or more, found 0", key_path(pointer));
    }
    for pointer in ["/settings/rules/start-capacity", "/settings/surplus-payoff"] {
        let fraction = |value: &Json| value.as_f64().is_some_and(|value| (0.0..=1.0).contains(&value));
        check_value(json, pointer, "a fraction between 0 and 1", fraction)?;
    }
    for pointer in ["/settings/permissions/may-probe", "/settings/permissions/retry-after"] {
        check_value(json, pointer, "true or false", Json::is_boolean)?;
    }
    for pointer in ["/settings/skus", "/settings/failure-domains", "/settings/telemetry/columns"] {
        let strings = |value: &Json| value.as_array().is_some_and(|all| all.iter().all(Json::is_string));
        check_value(json, pointer, "a list of strings", strings)?;
    }
    let choices = [
        ("/settings/discovery", &["push", "ask"][..]),
        ("/settings/telemetry/via", &["silent", "pull", "piggyback"]),
    ];
    for (pointer, words) in choices {
        let is_choice = |value: &Json| value.as_str().is_some_and(|value| words.contains(&value));
        check_value(json, pointer, &words.join(" or "), is_choice)?;
    }
    let multiple = |value: &Json| value.as_f64().is_some_and(|multiple| multiple >= 0.0);
    check_value(json, "/settings/domain/origin-fall-multiple", "0 or more", multiple)?;
    for (at, tenant) in raw_settings.get("orgs").and_then(Json::as_array).into_iter().flatten().enumerate() {
        let quota = tenant.get("quota-per-s").unwrap_or(&Json::Null);
        let valid = quota.is_null() || quota.as_f64().is_some_and(|quota| quota > 0.0);
        ensure!(valid, "settings.orgs[{at}].quota-per-s: expected more than 0, found {quota}");
    }
    for pointer in ["/settings/rules/cold-us", "/settings/rules/fall-us", "/settings/rules/drain-grace-us"] {
        number(json, pointer)?;
    }
    if let Some(problem) = names::invalid_setting(raw_settings) {
        bail!("settings.{problem}");
    }
    let routes =
        raw_settings.get("routes").and_then(Json::as_array).context("settings.routes: expected a list")?;
    ensure!(!routes.is_empty(), "settings.routes: expected one or more");
    for (at, route) in routes.iter().enumerate() {
        ensure!(!names::text_at(route, "/name").is_empty(), "settings.routes[{at}].name: expected a string");
        for key in ["latency-objective-us", "overall-timeout-us"] {
            let time = route.get(key).unwrap_or(&Json::Null);
            let found = || format!("settings.routes[{at}].{key}: expected microseconds, found {time}");
            ensure!(time.as_u64().is_some_and(|time| time > 0), found());
        }
        let name = names::text_at(route, "/name");
        let duplicate = routes[..at].iter().any(|other| names::text_at(other, "/name") == name);
        ensure!(!duplicate, "settings.routes[{at}].name: {name:?} is used twice");
        for (key, wanted) in [("window-us", "microseconds"), ("payoff", "0 or more")] {
            let value = route.get(key).unwrap_or(&Json::Null);
            let valid = value.is_u64() || key == "payoff" && value.as_f64().is_some_and(|value| value >= 0.0);
            ensure!(
                value.is_null() || valid,
                "settings.routes[{at}].{key}: expected {wanted}, found {value}"
            );
        }
        let effect = names::text_at(route, "/effect");
        let known = ["repeatable", "by_key", "once"].contains(&effect);
        ensure!(known, "settings.routes[{at}].effect: expected repeatable, by_key or once, found {effect:?}");
    }
    Ok(names::settings_from_json(raw_settings))
}

/// Checks that a reloaded configuration still has every key of the one in force. A file of which a part was cut off would
/// otherwise be taken for a change.
///
/// # Errors
/// When a key is missing; the message names it.
pub fn check_nothing_removed(old: &Json, new: &Json) -> Result<()> {
    check_has_keys_of(old, new, "")?;
    let keys = |route: &Json| -> Vec<String> {
        route.as_object().into_iter().flat_map(|route| route.keys().cloned()).collect()
    };
    let routes =
        |json: &Json| json.pointer("/settings/routes").and_then(Json::as_array).cloned().unwrap_or_default();
    // The keys that all old routes have.
    let mut common = routes(old).first().map(keys).unwrap_or_default();
    routes(old).iter().for_each(|route| common.retain(|key| route.get(key).is_some()));
    for (at, route) in routes(new).iter().enumerate() {
        let missing = common.iter().find(|key| route.get(key.as_str()).is_none());
        ensure!(missing.is_none(), "settings.routes[{at}].{}: missing", missing.map_or("", |key| key));
    }
    Ok(())
}

/// Checks that `new` has every key of `old`, at any depth. Comments and null values do not count as keys.
fn check_has_keys_of(old: &Json, new: &Json, pointer: &str) -> Result<()> {
    let Some(object) = old.as_object() else { return Ok(()) };
    ensure!(new.is_object(), "{}: expected an object, found {new}", key_path(pointer));
    for (name, old) in object.iter().filter(|(name, old)| !name.starts_with('#') && !old.is_null()) {
        let pointer = format!("{pointer}/{name}");
        let Some(new) = new.get(name).filter(|new| !new.is_null()) else {
            bail!("{}: missing, but set in the configuration in force", key_path(&pointer))
        };
        check_has_keys_of(old, new, &pointer)?;
    }
    Ok(())
}

/// The changed keys that take effect only after a restart. The list of nodes and the seed are not among them, as they are
/// used only at the start anyway.
pub fn keys_needing_restart(old: &Json, new: &Json) -> Vec<String> {
    let exempt = ["seed", "discovery", "settings.routes", "settings.permissions.most-upstream-tries"];
    let is_exempt = |key: &String| exempt.contains(&key.as_str()) || key.starts_with("known");
    let mut pointers = Vec::new();
    collect_differences(old, new, "", &mut pointers);
    pointers.into_iter().map(|pointer| key_path(&pointer)).filter(|key| !is_exempt(key)).collect()
}

/// Adds the JSON pointers of all values that differ.
fn collect_differences(old: &Json, new: &Json, pointer: &str, into: &mut Vec<String>) {
    match (old, new) {
        (Json::Object(old), Json::Object(new)) => {
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for name in names.into_iter().filter(|name| !name.starts_with('#')) {
                let member =
                    |json: &serde_json::Map<String, Json>| json.get(name).cloned().unwrap_or_default();
                collect_differences(&member(old), &member(new), &format!("{pointer}/{name}"), into);
            }
        }
        _ if old != new => into.push(pointer.to_string()),
        _ => {}
    }
}

/// The seed, as a number or in hex; 0 if there is none.
fn seed(json: &Json) -> Result<u64> {
    match json.get("seed") {
        None | Some(Json::Null) => Ok(0),
        Some(Json::Number(seed)) if seed.is_u64() => Ok(seed.as_u64().unwrap_or_default()),
        Some(Json::String(seed)) => u64::from_str_radix(seed, 16)
            .with_context(|| format!("seed: expected 64 bits in hex, found {seed:?}")),
        Some(other) => bail!("seed: expected 64 bits in hex, found {other}"),
    }
}

/// The socket address under this top-level key, if it is set.
fn address(json: &Json, key: &str) -> Result<Option<SocketAddr>> {
    let Some(text) = text(json, key)? else { return Ok(None) };
    text.parse().map(Some).with_context(|| format!("{key}: expected ADDRESS:PORT, found {text:?}"))
}

/// The string under this top-level key, if it is set.
fn text<'a>(json: &'a Json, key: &str) -> Result<Option<&'a str>> {
    match json.get(key) {
        None | Some(Json::Null) => Ok(None),
        Some(Json::String(text)) => Ok(Some(text)),
        Some(other) => bail!("{key}: expected a string, found {other}"),
    }
}

/// The whole number at this JSON pointer, if it is set.
fn number(json: &Json, pointer: &str) -> Result<Option<u64>> {
    match json.pointer(pointer) {
        None | Some(Json::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) => Ok(Some(number)),
            None => bail!("{}: expected a whole number, found {value}", key_path(pointer)),
        },
    }
}

impl Config {
    /// The summary that `pumicebay check` prints.
    pub fn summary(&self) -> String {
        let Config { name, listen, discovery, max_client_connections, max_node_connections, .. } = self;
        let repeat = |route: &Route| match route.retry_safety {
            RetrySafety::Retriable => "retriable",
            RetrySafety::Deduped(_) => "deduped",
            RetrySafety::NonRetriable => "non-retriable",
        };
        let ordered = |route: &Route| if route.keeps_order { ", in order" } else { "" };
        let describe =
            |(name, route): (&String, &Route)| format!("{name} ({}{})", repeat(route), ordered(route));
        let routes = Route::all_from(&self.settings);
        let routes: Vec<String> = names::names_at(&self.json, "/settings/routes", "/name")
            .iter()
            .zip(&routes)
            .map(describe)
            .collect();
        let known = self.known.count;
        let operator = self.operator.map_or(String::new(), |address| format!(", operators at {address}"));
        let fleet = self.fleet.as_ref().map_or(String::new(), |fleet| format!("\n{}", fleet.summary(name)));
        format!(
            "{name} listens on {listen}, discovery at {discovery}{operator}, {known} nodes known\n\
             at most {max_client_connections} client connections and {max_node_connections} to nodes\n\
             routes: {}{fleet}",
            routes.join(", ")
        )
    }
}
