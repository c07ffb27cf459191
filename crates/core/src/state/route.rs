//! The settings as the decisions look them up for each request. Plain records, no choices.

use crate::host::{Nanos, Repeat, Scope};
use crate::settings::Settings;
use crate::state::SECOND;

/// The settings that hold for all routes, as the decisions look them up for each request.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub cold: Nanos,
    pub fall: Nanos,
    pub start_capacity: f64,
    /// The shortest of all routes.
    pub objective: Nanos,
    /// The origin stops for a while when it is asked for too much; so it may where nothing is said of it.
    pub origin_falls: bool,
    pub surplus_payoff: f64,
    pub pauses: bool,
    pub probes: bool,
    /// The list must be asked for.
    pub asks_list: bool,
    /// How long a key rests after an attempt that may still run.
    pub turn_gap: Nanos,
}

impl Rules {
    pub fn new(settings: &Settings, routes: &[Route]) -> Rules {
        let objectives = routes.iter().filter(|route| !route.dropped).map(|route| route.objective);
        Rules {
            cold: settings.time("cold", 0),
            fall: settings.time("fall", SECOND),
            start_capacity: settings.number("start_capacity", 1.0),
            objective: objectives.min().unwrap_or(SECOND),
            origin_falls: settings.number("origin_fall_multiple", 1.0) > 0.0,
            surplus_payoff: settings.number("surplus_payoff", 1.0),
            pauses: settings.flag("pauses"),
            probes: settings.flag("probes"),
            asks_list: settings.text("discovery") == "ask",
            turn_gap: settings.time("turn_gap", 0),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub objective: Nanos,
    pub repeat: Repeat,
    pub window: Nanos,
    pub payoff: f64,
    pub most_attempts: usize,
    /// Its requests of one key run one at a time, in the order in which they were taken.
    pub ordered: bool,
    /// No longer in the settings: kept for clients that still name it.
    pub dropped: bool,
}

impl Route {
    /// May run again anywhere.
    pub fn free(&self) -> bool {
        self.repeat == Repeat::Retriable
    }

    pub fn all(settings: &Settings) -> Vec<Route> {
        (0..settings.number("routes", 0.0) as usize).map(|at| Route::one(settings, at)).collect()
    }

    fn one(settings: &Settings, at: usize) -> Route {
        let name = |field: &str| format!("route.{at}.{field}");
        let scope = match settings.text(&name("scope")) {
            "zone" => Scope::Zone,
            "cell" => Scope::Cell,
            _ => Scope::Fleet,
        };
        Route {
            objective: settings.time(&name("objective"), SECOND),
            repeat: match settings.text(&name("repeat")) {
                "retriable" => Repeat::Retriable,
                "deduped" => Repeat::Deduped(scope),
                _ => Repeat::NonRetriable,
            },
            window: settings.time(&name("window"), 0),
            payoff: settings.number(&name("payoff"), 1.0),
            most_attempts: settings.number("most_tries", 1.0) as usize,
            ordered: settings.flag(&name("ordered")),
            dropped: settings.flag(&name("dropped")),
        }
    }
}
