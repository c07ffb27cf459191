//! The one place where the configuration is read, checked and given defaults. Every message names the key.

use anyhow::{Context, Result, bail, ensure};
use pumicebay_core::Settings;
use pumicebay_core::host::Repeat;
use pumicebay_core::state::Route;
use pumicebay_names as names;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::time::Duration;

/// What a proxy holds at most if its limits do not say.
const SOCKETS: u64 = 1024;
/// Descriptors for all that is not a connection: the runtime, the listener, discovery, logs.
const RESERVED: usize = 64;
const FEWEST_SOCKETS: u64 = 2 * RESERVED as u64;
const IDLE: Duration = Duration::from_secs(15);
const CONNECT: Duration = Duration::from_millis(200);
const KEYS: &[&str] =
    &["name", "listen", "discovery", "seed", "limits", "known", "settings", "peers", "peer_listen"];

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// How many connections clients may hold here, and this proxy to nodes.
    pub clients: usize,
    pub upstream: usize,
    /// The list of nodes as this proxy last had it, in discovery's form.
    pub known: Json,
    pub settings: Settings,
    pub routes: Vec<Route>,
    /// What the indices of the decisions stand for.
    pub route_names: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub origin_kind: Option<String>,
    /// How long a node lets a connection stand idle, and how long one may take to come up.
    pub idle: Duration,
    pub connect: Duration,
    /// The longest overall timeout of any route.
    pub longest: Duration,
}

/// Reads the file at `path`; the platform's variables go before what it says.
pub fn read(path: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config> {
    let text = std::fs::read_to_string(path).with_context(|| format!("configuration {path}"))?;
    let mut json: Json = serde_json::from_str(&text).with_context(|| format!("configuration {path}"))?;
    for (name, key) in [("PROXY_NAME", "name"), ("PROXY_LISTEN", "listen"), ("PROXY_DISCOVERY", "discovery")]
    {
        if let (Some(value), Some(object)) = (variable(name), json.as_object_mut()) {
            object.insert(key.into(), Json::String(value));
        }
    }
    parse(&json).with_context(|| format!("configuration {path}"))
}

pub fn parse(json: &Json) -> Result<Config> {
    let Some(object) = json.as_object() else { bail!("expected an object") };
    for key in object.keys().filter(|key| !KEYS.contains(&key.as_str())) {
        tracing::warn!("configuration: {key} is not known and not used");
    }
    let wire = json.get("settings").context("settings: missing")?;
    ensure!(wire.is_object(), "settings: expected an object, found {wire}");
    let settings = checked(wire)?;
    let sockets = number(json, "/limits/sockets")?.unwrap_or(SOCKETS);
    ensure!(sockets >= FEWEST_SOCKETS, "limits.sockets: expected {FEWEST_SOCKETS} or more, found {sockets}");
    let sockets = usize::try_from(sockets).unwrap_or(usize::MAX) - RESERVED;
    let kinds = names::list(wire, "/skus", "");
    let origin = wire.pointer("/domain/origin-kind").and_then(Json::as_i64).filter(|&kind| kind >= 0);
    let origin_kind = origin.map(|kind| {
        kinds
            .get(kind as usize)
            .cloned()
            .with_context(|| format!("settings.domain.origin-kind: no kind {kind}"))
    });
    let routes = Route::all(&settings);
    let longest = (0..routes.len())
        .map(|at| settings.time(&format!("route.{at}.overall_timeout"), 0))
        .max()
        .unwrap_or(0);
    let micros =
        |key, default| Ok::<_, anyhow::Error>(number(wire, key)?.map_or(default, Duration::from_micros));
    Ok(Config {
        name: text(json, "name")?.unwrap_or("pumicebay").to_string(),
        listen: address(json, "listen")?,
        discovery: address(json, "discovery")?,
        seed: seed(json)?,
        clients: sockets / 2,
        upstream: sockets - sockets / 2,
        known: known(json)?,
        route_names: names::list(wire, "/routes", "/name"),
        tenants: names::list(wire, "/orgs", "/name"),
        zones: names::list(wire, "/failure-domains", ""),
        origin_kind: origin_kind.transpose()?,
        idle: micros("/permissions/conn-idle-us", IDLE)?,
        connect: micros("/permissions/connect-timeout-us", CONNECT)?,
        longest: Duration::from_nanos(longest),
        settings,
        routes,
    })
}

/// The settings under the decisions' names, once what they can't do without is there and sound.
fn checked(wire: &Json) -> Result<Settings> {
    let at = |place: &str| format!("settings{}", place.replace('/', "."));
    for place in ["/fleet-size", "/permissions/most-upstream-tries"] {
        ensure!(number(wire, place)? != Some(0), "{}: expected 1 or more, found 0", at(place));
    }
    for place in ["/rules/start-capacity", "/surplus-payoff"] {
        let value = wire.pointer(place).unwrap_or(&Json::Null);
        let sound = value.is_null() || value.as_f64().is_some_and(|part| (0.0..=1.0).contains(&part));
        ensure!(sound, "{}: expected a part between 0 and 1, found {value}", at(place));
    }
    for place in ["/permissions/may-probe", "/permissions/peers", "/permissions/retry-after"] {
        let value = wire.pointer(place).unwrap_or(&Json::Null);
        ensure!(
            value.is_null() || value.is_boolean(),
            "{}: expected true or false, found {value}",
            at(place)
        );
    }
    for place in ["/rules/cold-us", "/rules/fall-us", "/rules/drain-grace-us"] {
        number(wire, place)?;
    }
    let routes = wire.get("routes").and_then(Json::as_array).context("settings.routes: expected a list")?;
    ensure!(!routes.is_empty(), "settings.routes: expected one or more");
    for (at, route) in routes.iter().enumerate() {
        ensure!(!names::text(route, "/name").is_empty(), "settings.routes[{at}].name: expected a text");
        for key in ["latency-objective-us", "overall-timeout-us"] {
            let time = route.get(key).unwrap_or(&Json::Null);
            let found = || format!("settings.routes[{at}].{key}: expected microseconds, found {time}");
            ensure!(time.as_u64().is_some_and(|time| time > 0), found());
        }
        let effect = names::text(route, "/effect");
        let known = ["repeatable", "by_key", "once"].contains(&effect);
        ensure!(known, "settings.routes[{at}].effect: expected repeatable, by_key or once, found {effect:?}");
    }
    Ok(names::translate(wire))
}

fn known(json: &Json) -> Result<Json> {
    let known = json.get("known").cloned().unwrap_or_default();
    ensure!(known.is_null() || known.is_object(), "known: expected an object, found {known}");
    let targets = known.get("targets").unwrap_or(&Json::Null);
    ensure!(targets.is_null() || targets.is_array(), "known.targets: expected a list, found {targets}");
    Ok(known)
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

fn address(json: &Json, key: &str) -> Result<SocketAddr> {
    let text = text(json, key)?.with_context(|| format!("{key}: missing"))?;
    text.parse().with_context(|| format!("{key}: expected ADDRESS:PORT, found {text:?}"))
}

fn text<'a>(json: &'a Json, key: &str) -> Result<Option<&'a str>> {
    match json.get(key) {
        None | Some(Json::Null) => Ok(None),
        Some(Json::String(text)) => Ok(Some(text)),
        Some(other) => bail!("{key}: expected a text, found {other}"),
    }
}

fn number(json: &Json, place: &str) -> Result<Option<u64>> {
    let key = place.trim_start_matches('/').replace('/', ".");
    match json.pointer(place) {
        None | Some(Json::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) => Ok(Some(number)),
            None => bail!("{key}: expected a whole number, found {value}"),
        },
    }
}

impl Config {
    /// What `check` prints.
    pub fn summary(&self) -> String {
        let Config { name, listen, discovery, clients, upstream, .. } = self;
        let route = |at: usize| match self.routes[at].repeat {
            Repeat::Retriable => format!("{} (retriable)", self.route_names[at]),
            Repeat::Deduped(_) => format!("{} (deduped)", self.route_names[at]),
            Repeat::NonRetriable => format!("{} (non-retriable)", self.route_names[at]),
        };
        let routes: Vec<String> = (0..self.routes.len()).map(route).collect();
        let known = self.known.get("targets").and_then(Json::as_array).map_or(0, Vec::len);
        format!(
            "{name} listens on {listen}, discovery at {discovery}, {known} nodes known\n\
             at most {clients} client connections and {upstream} to nodes\n\
             routes: {}",
            routes.join(", ")
        )
    }

    pub fn flag(&self, name: &str) -> bool {
        self.settings.flag(name)
    }
}
