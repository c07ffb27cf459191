//! What a proxy knows and decides by. Make a `Balance` with the settings, then call the method that is named after what
//! happened, with the time it happened at; it acts by calling the `Host` it was given. The methods stand in
//! [`policy`](crate::policy); here are the state and its constructors alone.
//!
//! The ordinary path (PRESS): `table` maps a key to its set of cache nodes. The set's least loaded
//! member serves; past the threshold T the least loaded cache of all joins the set. A member that
//! lacks the key says so, and the origin is asked. All else is for when that goes wrong.

use crate::fetches::Fetches;
use crate::fleet::{Finder, Fleet, Indexed};
use crate::host::{Host, Nanos, Node, RequestId};
use crate::policy::{REPORT_LAST, TABLE_KEYS, TICK, UNPICKED};
use crate::settings::Settings;
use crate::state::{Flow, Kinds, Pace, RequestState, Route, Rules, Scratch, Tenants};
use crate::table::Table;
use crate::turns::Turns;
use hashbrown::HashMap;
use oorandom::Rand32;

/// The state of a proxy's decisions, and by its methods the decisions.
pub struct Balance<H: Host, F: Finder = Indexed> {
    pub host: H,
    pub(crate) rules: Rules,
    pub(crate) rng: Rand32,
    /// The part of its first fetch that this proxy begins with, by chance.
    pub(crate) first_fetch: f64,
    pub(crate) now: Nanos,
    pub(crate) routes: Vec<Route>,
    /// Those before the last change, and until when clients may still mean them.
    pub(crate) before: (Nanos, Vec<Route>),
    pub(crate) fleet: f64,
    pub(crate) nodes: Fleet<F>,
    /// All caches taken as one: where a proxy sees little of each, it still sees enough of all.
    pub(crate) all: Flow,
    pub(crate) origin: Option<Node>,
    pub(crate) table: Table,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    pub(crate) fetches: Fetches,
    pub(crate) queue: Vec<RequestId>,
    pub turns: Turns,
    pub(crate) tenants: Tenants,
    pub(crate) pace: Pace,
    pub(crate) kinds: Kinds,
    pub(crate) follow_at: Nanos,
    pub(crate) follow_wait: Nanos,
    pub(crate) scratch: Scratch,
}

impl<H: Host> Balance<H> {
    pub fn new(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        Balance::with_finder(host, settings, seed, now)
    }
}

impl<H: Host, F: Finder> Balance<H, F> {
    pub fn with_finder(host: H, settings: Settings, seed: u64, now: Nanos) -> Self {
        let routes = Route::all(&settings);
        let mut balance = Balance {
            host,
            rng: Rand32::new(seed),
            first_fetch: f64::from(Rand32::new(!seed).rand_float()),
            now,
            fleet: settings.number("fleet", 1.0),
            rules: Rules::new(&settings, &routes),
            routes,
            before: (0, Vec::new()),
            nodes: Fleet::new(settings.time("cold", 0), REPORT_LAST),
            all: Flow::default(),
            origin: None,
            table: Table::new(TABLE_KEYS, UNPICKED),
            requests: HashMap::new(),
            fetches: Fetches::default(),
            queue: Vec::new(),
            turns: Turns::default(),
            tenants: Tenants::new(&settings),
            pace: Pace::default(),
            kinds: Kinds::default(),
            follow_at: 0,
            follow_wait: TICK,
            scratch: Scratch::default(),
        };
        balance.tick();
        balance
    }

    /// The learned sets of keys, which are empty here from now on.
    pub fn take_sets(&mut self) -> Table {
        std::mem::replace(&mut self.table, Table::new(TABLE_KEYS, UNPICKED))
    }

    /// Sets that were learned elsewhere, in place of those here. Members that serve no more drop out as they are looked at.
    pub fn put_sets(&mut self, sets: Table) {
        self.table = sets;
    }

    /// Time has passed.
    pub(crate) fn at(&mut self, now: Nanos) {
        self.now = now;
        self.nodes.at(now);
    }
}
