//! Settings in the form that decisions use. Plain records without decisions.

use crate::host::{DedupScope, Nanos, RetrySafety};
use crate::settings::Settings;
use crate::state::SECOND;
use crate::superseded::Restrict;

/// The settings that hold for all routes.
#[derive(Clone, Copy, Debug)]
pub struct PolicySettings {
    /// How long a new node takes to warm up.
    pub warm_up: Nanos,
    /// The time within which excess load makes a cold node fail.
    pub overload_window: Nanos,
    /// The share of full capacity that a new node starts with.
    pub start_capacity: f64,
    /// The shortest latency objective of all routes.
    pub shortest_objective: Nanos,
    /// Whether the origin stops for a while when overloaded. Assumed unless the settings say otherwise.
    pub origin_may_collapse: bool,
    /// Factor on the payoff of requests over their tenant's quota.
    pub over_quota_payoff: f64,
    /// Whether shed clients are told how long to wait before a retry.
    pub sends_retry_after: bool,
    /// Whether nodes may be sent probes.
    pub may_probe: bool,
    /// Whether the proxy must ask discovery for the node list, rather than being sent it.
    pub watches_list: bool,
}

impl PolicySettings {
    /// Reads the settings; `routes` are those of the same settings.
    pub fn new(settings: &Settings, routes: &[Route]) -> PolicySettings {
        let objectives = routes.iter().filter(|route| !route.removed).map(|route| route.latency_objective);
        PolicySettings {
            warm_up: settings.time("cold", 0),
            overload_window: settings.time("fall", SECOND),
            start_capacity: settings.number("start_capacity", 1.0),
            shortest_objective: objectives.min().unwrap_or(SECOND),
            origin_may_collapse: settings.number("origin_fall_multiple", 1.0) > 0.0,
            over_quota_payoff: settings.number("surplus_payoff", 1.0),
            sends_retry_after: settings.flag("pauses"),
            may_probe: settings.flag("probes"),
            watches_list: settings.text("discovery") == "ask",
        }
    }
}

/// The settings that hold for the requests of one route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// The time within which requests should be answered.
    pub latency_objective: Nanos,
    /// Whether its requests may run more than once.
    pub retry_safety: RetrySafety,
    /// How long nodes remember a request to discard duplicates.
    pub dedup_window: Nanos,
    /// Payoff of an answer.
    pub payoff: f64,
    /// The most upstream attempts of a request.
    pub max_attempts: usize,
    /// Whether its requests for one key run one at a time, in the order in which they arrived.
    pub keeps_order: bool,
    /// Whether a request may have two attempts in flight.
    pub second_copies: bool,
    /// How long a key is blocked after an attempt that may still be running.
    pub key_block_time: Nanos,
    /// No longer in the settings; kept for clients that still name it.
    pub removed: bool,
}

impl Route {
    /// Whether its requests may run again on any node.
    pub fn is_retriable(&self) -> bool {
        self.retry_safety == RetrySafety::Retriable
    }

    /// All routes of the settings, by index.
    pub fn all_from(settings: &Settings) -> Vec<Route> {
        (0..settings.number("routes", 0.0) as usize).map(|at| Route::from_index(settings, at)).collect()
    }

    fn from_index(settings: &Settings, at: usize) -> Route {
        let name = |field: &str| format!("route.{at}.{field}");
        let scope = match settings.text(&name("scope")) {
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            _ => DedupScope::Fleet,
        };
        Route {
            latency_objective: settings.time(&name("objective"), SECOND),
            retry_safety: match settings.text(&name("repeat")) {
                "retriable" => RetrySafety::Retriable,
                "deduped" => RetrySafety::Deduped(scope),
                _ => RetrySafety::NonRetriable,
            },
            dedup_window: settings.time(&name("window"), 0),
            payoff: settings.number(&name("payoff"), 1.0),
            max_attempts: settings.number("most_tries", 1.0) as usize,
            keeps_order: settings.flag(&name("ordered")),
            second_copies: settings.flag("second_copies"),
            key_block_time: settings.time("turn_gap", 0),
            removed: settings.flag(&name("dropped")),
        }
    }
}

impl Restrict for Route {
    /// Restricts what may be done with a request. What it is worth stays.
    fn restrict(&mut self, other: &Route) {
        self.retry_safety = self.retry_safety.max(other.retry_safety);
        self.dedup_window = self.dedup_window.min(other.dedup_window);
        self.max_attempts = self.max_attempts.min(other.max_attempts);
        self.keeps_order |= other.keeps_order;
        self.second_copies &= other.second_copies;
        self.key_block_time = self.key_block_time.max(other.key_block_time);
    }
}
