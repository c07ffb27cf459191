//! The routes as they change while the proxy serves. A route's number is its name's: the decisions and all that is
//! open know routes by number, so a number never means another route while anything might still mean the first.

use pumicebay_core::{Nanos, Settings};
use pumicebay_names as names;
use serde_json::{Value as Json, json};
use std::time::Duration;
use tokio::time::Instant;

/// How long clients may go on naming a route that was dropped; its number is free for another after twice that.
const FORMER: Duration = Duration::from_secs(10);

/// What the clients' front must know of the routes, by number.
#[derive(Clone, Debug, Default)]
pub struct Routes(Vec<Route>);

#[derive(Clone, Debug)]
struct Route {
    name: String,
    overall: Nanos,
    dropped: Option<Instant>,
}

impl Routes {
    /// The number of a name, and how long a client of that route waits at most.
    pub fn find(&self, name: &str) -> Option<(usize, Nanos)> {
        let named = |route: &Route| {
            route.name == name && route.dropped.is_none_or(|dropped| dropped.elapsed() < FORMER)
        };
        self.0.iter().position(named).map(|number| (number, self.0[number].overall))
    }

    /// The longest that a client of any route waits.
    pub fn longest(&self) -> Duration {
        Duration::from_nanos(self.0.iter().map(|route| route.overall).max().unwrap_or(0))
    }
}

/// Gives the routes of one configuration after another their numbers.
#[derive(Debug, Default)]
pub struct Tuning {
    /// As the wire has them, by number.
    wire: Vec<Json>,
    routes: Routes,
}

impl Tuning {
    /// Takes the routes of checked settings: what the decisions get, with each route under its number, and what
    /// the front gets.
    pub fn take(&mut self, wire: &Json) -> (Settings, Routes) {
        let now = Instant::now();
        for (route, wire) in self.routes.0.iter_mut().zip(&mut self.wire) {
            route.dropped.get_or_insert(now);
            wire["dropped"] = json!(true);
        }
        for new in wire["routes"].as_array().into_iter().flatten() {
            let name = names::text_at(new, "/name").to_string();
            let number = self.number(&name);
            let route = Route { name, overall: 0, dropped: None };
            if number == self.wire.len() {
                self.wire.push(new.clone());
                self.routes.0.push(route);
            } else {
                (self.wire[number], self.routes.0[number]) = (new.clone(), route);
            }
        }
        let mut numbered = wire.clone();
        numbered["routes"] = json!(self.wire);
        let settings = names::settings_from_json(&numbered);
        for (number, route) in self.routes.0.iter_mut().enumerate() {
            route.overall = settings.time(&format!("route.{number}.overall_timeout"), 0);
        }
        (settings, self.routes.clone())
    }

    /// The number that a name has or gets.
    fn number(&self, name: &str) -> usize {
        let routes = &self.routes.0;
        let free = |route: &Route| route.dropped.is_some_and(|dropped| dropped.elapsed() > 2 * FORMER);
        let known = routes.iter().position(|route| route.name == name);
        known.or_else(|| routes.iter().position(free)).unwrap_or(routes.len())
    }
}
