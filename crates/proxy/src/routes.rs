//! The routes, which may change while the proxy serves. Each route has a number, by which the balancer and
//! open requests refer to it, so a number is not given to another route while anything may still mean the
//! first.

use pumicebay_core::policy::membership::SETTINGS_OVERLAP;
use pumicebay_core::{Nanos, Restrict, Settings, Superseded};
use pumicebay_names as names;
use serde_json::{Value as Json, json};
use std::time::Duration;
use tokio::time::Instant;

/// How long clients may still name a route that was dropped. Its number is free for another route after twice
/// that time.
const DROPPED_ROUTE_GRACE: Duration = Duration::from_secs(10);

/// What the client connections need to know of the routes, indexed by number.
#[derive(Clone, Debug, Default)]
pub struct Routes(Vec<Route>);

/// A route that a client has named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedRoute {
    /// Its number.
    pub number: usize,
    /// How long its requests take at the most, in nanoseconds.
    pub overall_timeout: Nanos,
    /// Whether its requests may run any number of times.
    pub may_run_twice: bool,
}

/// What the requests of a route may do.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RouteLimits {
    overall_timeout: Nanos,
    may_run_twice: bool,
}

impl RouteLimits {
    /// The limits in the settings of one route.
    fn from_json(route: &Json) -> RouteLimits {
        let parsed = names::settings_from_json(&json!({"routes": [route]}));
        RouteLimits {
            overall_timeout: parsed.time("route.0.overall_timeout", 0),
            may_run_twice: parsed.text("route.0.repeat") == "retriable",
        }
    }
}

impl Restrict for RouteLimits {
    fn restrict(&mut self, other: &RouteLimits) {
        self.overall_timeout = self.overall_timeout.min(other.overall_timeout);
        self.may_run_twice &= other.may_run_twice;
    }
}

#[derive(Clone, Debug)]
struct Route {
    name: String,
    /// Clients may refer to the limits of a replaced configuration for a while.
    limits: Superseded<Instant, RouteLimits>,
    dropped: Option<Instant>,
}

impl Routes {
    /// The route of this name; `None` if there is none or it was dropped too long ago.
    pub fn find(&self, name: &str) -> Option<NamedRoute> {
        let named = |route: &Route| {
            route.name == name && route.dropped.is_none_or(|dropped| dropped.elapsed() < DROPPED_ROUTE_GRACE)
        };
        let number = self.0.iter().position(named)?;
        let RouteLimits { overall_timeout, may_run_twice } = self.0[number].limits.strictest(Instant::now());
        Some(NamedRoute { number, overall_timeout, may_run_twice })
    }

    /// The longest overall timeout of the routes in force. The platform reckons with no others when it stops a process.
    pub fn longest_timeout(&self) -> Duration {
        let in_force = self.0.iter().filter(|route| route.dropped.is_none());
        let timeouts = in_force.map(|route| route.limits.current().overall_timeout);
        Duration::from_nanos(timeouts.max().unwrap_or(0))
    }
}

/// Assigns numbers to the routes of successive configurations.
#[derive(Debug, Default)]
pub struct RouteRegistry {
    /// The routes as in the configuration, by number.
    route_json: Vec<Json>,
    routes: Routes,
}

impl RouteRegistry {
    /// Applies checked settings. Returns the balancer's settings, with each route under its number, and the
    /// table for client connections.
    pub fn apply(&mut self, settings: &Json) -> (Settings, Routes) {
        let now = Instant::now();
        for (route, json) in self.routes.0.iter_mut().zip(&mut self.route_json) {
            route.dropped.get_or_insert(now);
            json["dropped"] = json!(true);
        }
        for new in settings["routes"].as_array().into_iter().flatten() {
            self.put_in_force(now, new);
        }
        let mut numbered = settings.clone();
        numbered["routes"] = json!(self.route_json);
        (names::settings_from_json(&numbered), self.routes.clone())
    }

    /// Puts a route of the newest settings in force under its number.
    fn put_in_force(&mut self, now: Instant, json: &Json) {
        let (name, limits) = (names::text_at(json, "/name"), RouteLimits::from_json(json));
        let number = self.number(name);
        let new = || Route { name: name.into(), limits: Superseded::new(limits), dropped: None };
        match self.routes.0.get_mut(number) {
            None => {
                self.routes.0.push(new());
                self.route_json.push(json.clone());
                return;
            }
            Some(known) if known.name == name => {
                known.dropped = None;
                known.limits.replace(now, now + Duration::from_nanos(SETTINGS_OVERLAP), limits);
            }
            Some(dropped) => *dropped = new(),
        }
        self.route_json[number] = json.clone();
    }

    /// The number that the route of this name has, else one that is free.
    fn number(&self, name: &str) -> usize {
        let routes = &self.routes.0;
        let free =
            |route: &Route| route.dropped.is_some_and(|dropped| dropped.elapsed() > 2 * DROPPED_ROUTE_GRACE);
        let known = routes.iter().position(|route| route.name == name);
        known.or_else(|| routes.iter().position(free)).unwrap_or(routes.len())
    }
}
