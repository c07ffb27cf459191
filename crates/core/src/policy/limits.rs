//! How many requests may be in flight at a node and at all of them: what was measured when answers came best.

use crate::balance::Balance;
use crate::fleet::Finder;
use crate::host::{Held, Host, Nanos, Node};
use crate::policy::{ENOUGH, FEW, QUICK, SAVED, UNPICKED};
use crate::state::Flow;

/// In flight is bounded by what was when answers came best, times this room to find out that more goes.
const ROOM: f64 = 1.5;
const ORIGIN_ROOM: f64 = 2.0;
/// While answers are quick the least room is at most so many times as large.
const MORE: f64 = 4.0;
/// How many times their best time answers may take before a node's room shrinks.
const SLOW: f64 = 1.5;
/// Nodes that a tick measures: all of a smaller fleet, else by turns, a second for all.
const SLICE: usize = 512;

impl<H: Host, F: Finder> Balance<H, F> {
    pub(crate) fn measure_all(&mut self) {
        self.pace.settle(self.now);
        self.kinds.settle(self.now, &self.all);
        // Guards warm nodes from what cold ones can't take, and crowded ones from what they turn away.
        let able = self.pace.able * self.all.answered(self.now);
        let few = FEW * able / self.fleet * self.more(self.kinds.hits, QUICK);
        measure(self.now, &mut self.all, Bounds { few, ..Bounds::default() });
        self.origin.into_iter().for_each(|origin| self.measure_node(origin));
    }

    pub(crate) fn measure_node(&mut self, node: Node) {
        let few = (FEW / self.fleet).floor().max(1.0);
        let origin = self.nodes.caches[node].listed.origin.then(|| self.origin_few(node));
        let bounds = match origin {
            Some(few) => {
                let remembers = self.rules.origin_falls;
                Bounds { times: ORIGIN_ROOM, few, remembers, ..Bounds::default() }
            }
            None => Bounds { few, slow: SLOW, ..Bounds::default() },
        };
        let cache = &mut self.nodes.caches[node];
        measure(self.now, &mut cache.flow, bounds);
        let part = cache.part(self.now, &self.rules);
        self.pace.rate(node, part, cache.flow.answers.rate(self.now));
    }

    /// How many times its least part a proxy may have in flight while answers take little of the shortest
    /// objective. Guards busy proxies among many idle ones: what these leave unused shows as quick answers.
    pub(crate) fn more(&self, took: f64, quick: f64) -> f64 {
        (self.rules.objective as f64 / 1e9 / quick / took).clamp(1.0, MORE)
    }

    /// Measures the nodes whose turn it is, and dismisses those that are done.
    pub(crate) fn take_turns(&mut self) {
        let count = self.nodes.caches.len();
        for _ in 0..count.min(SLICE.max(count.div_ceil(10))) {
            self.pace.turn = (self.pace.turn + 1) % count;
            let node = self.pace.turn;
            self.measure_node(node);
            // Guards memory. Past the last mention in any set or request, another may have the number.
            let done = self.nodes.caches[node].done(self.now, UNPICKED);
            if done && !self.requests.values().any(|request| request.tried(node)) {
                self.nodes.forget(node);
                self.host.dismiss(node);
            }
        }
    }

    pub fn reported(&mut self, now: Nanos, node: Node, held: Held) {
        self.at(now);
        (node < self.nodes.caches.len()).then(|| self.nodes.change(node, |cache| cache.report(now, held)));
    }
}

/// What the room at a node, or at all of them, follows from.
#[derive(Clone, Copy)]
struct Bounds {
    /// So many times what was in flight at best, but for this many.
    times: f64,
    few: f64,
    /// The room shrinks once answers take this many times their least.
    slow: f64,
    /// The least time outlives its minute. Guards from a crowd that lasts longer: its own waits would count as the
    /// least, and the room would follow them upwards.
    remembers: bool,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { times: ROOM, few: 0.0, slow: f64::INFINITY, remembers: false }
    }
}

/// Room is what was in flight at best, so many times, or a few; it shrinks while answers take far longer.
fn measure(now: Nanos, flow: &mut Flow, Bounds { times, few, slow, remembers }: Bounds) {
    let (minute, lately) = (flow.minute.least_mean(now, ENOUGH), flow.answers.mean(now));
    let least = if remembers { flow.remember_least(now, minute) } else { minute };
    let best = flow.minute.peak_rate(now) * least.unwrap_or(0.0);
    if let (Some(least), Some(lately)) = (least, lately) {
        flow.squeeze = (slow * least / lately).min(1.0);
    }
    flow.saves(now, SAVED, flow.squeeze * (times * best).max(few));
}
