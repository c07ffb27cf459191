//! Fetches from the origin: one a key, bounded by what the origin bears, the worthiest first. Misses must not
//! stop it.

use crate::balance::Balance;
use crate::fetches::Fetch;
use crate::fleet::Finder;
use crate::host::{GiveUp, Host, Nanos, Node, RequestId};
use crate::policy::{ENOUGH, FEW, ORIGIN_PATIENCE, QUICK, SAVED, SECOND};
use crate::state::Cache;

/// Fetches in flight for each cache of the fleet, while nothing is measured and once it is.
const ORIGIN_FEW: [f64; 2] = [1.8, 1.3];
/// As `QUICK`, where the origin can't stop from too much.
const ORIGIN_QUICK: f64 = 1.5;

impl<H: Host, F: Finder> Balance<H, F> {
    pub(crate) fn wait_for_fetch(&mut self, id: RequestId) {
        let request = &self.requests[&id];
        self.fetches.wait(request.ask.key, id, request.worth);
        self.hold(id, ORIGIN_PATIENCE);
    }

    /// One fetch a key, the others wait for it; past the origin's bound a fetch waits in line.
    pub(crate) fn ask_origin(&mut self, id: RequestId) {
        let Some(origin) = self.origin.filter(|&node| self.may_take(&self.requests[&id], node)) else {
            return self.give_up(id, GiveUp::NoNode);
        };
        let request = self.requests.get_mut(&id).expect("placed requests are known");
        let (key, worth) = (request.ask.key, request.worth);
        if let (Some(key), Some(fills), false) = (key, request.missed(), request.fetching) {
            if self.fetches.get(Some(key)).is_some() {
                return self.wait_for_fetch(id);
            }
            request.fetching = true;
            self.fetches.start(key, Fetch { by: id, fills, worth, waiting: Vec::new() });
        }
        if self.origin_fits(id) {
            return self.send(id, origin);
        }
        self.fetches.line_up(key, id, worth);
        let wait = self.hold(id, ORIGIN_PATIENCE);
        self.shorten_line(origin, wait);
    }

    /// The line is no longer than the origin's rate times what the request waits: the least worthy is shed.
    fn shorten_line(&mut self, origin: Node, wait: Nanos) {
        let most = self.nodes.caches[origin].flow.answers.rate(self.now) * wait as f64 / SECOND as f64;
        if self.fetches.in_line() as f64 > most.max(2.0)
            && let Some(id) = self.fetches.least_worthy()
        {
            self.give_up(id, GiveUp::FetchQueueFull);
        }
    }

    pub(crate) fn serve_line(&mut self) {
        while let Some(id) = self.fetches.worthiest().filter(|&id| self.origin_fits(id)) {
            self.fetches.take_worthiest();
            self.ask_origin(id);
        }
    }

    /// Guards the origin in the same way; a proxy's part below one is one fetch now and then.
    pub(crate) fn origin_fits(&self, id: RequestId) -> bool {
        let Some(Cache { flow, .. }) = self.origin.map(|node| &self.nodes.caches[node]) else { return false };
        let reserve = if self.surplus(self.requests[&id].ask.tenant) { SAVED - 1.0 } else { 0.0 };
        flow.in_flight as f64 + 1.0 <= flow.room.ceil().min(flow.room + flow.saved - reserve)
    }

    /// Guards an origin that stops when asked for too much: more than its part only while quicker still, and never more
    /// than follows from what it has answered, or from what is asked where it has answered too little. The part goes by
    /// the number of caches, of which thousands may share what a few bore.
    pub(crate) fn origin_few(&self, node: Node) -> f64 {
        let flow = &self.nodes.caches[node].flow;
        let known = flow.minute.least_mean(self.now, ENOUGH).is_some();
        let quick = if self.rules.origin_falls { QUICK } else { ORIGIN_QUICK };
        let took = flow.answers.mean(self.now).unwrap_or(0.0);
        let more = self.more(took, quick);
        let part = ORIGIN_FEW[usize::from(known)] * more * (self.serving() / self.fleet);
        if !self.rules.origin_falls {
            return part;
        }
        let shown = if known { more * flow.best(self.now) } else { 0.0 };
        part.min(shown.max(self.origin_asked(took)).max(FEW / self.fleet))
    }

    /// Of proxies whose part is less than one fetch only so many begin with one: guards an origin from one fetch of each
    /// at once.
    pub(crate) fn begin_fetches(&mut self, node: Node) {
        if self.rules.origin_falls && FEW < self.fleet {
            self.nodes.caches[node].flow.saved = self.first_fetch;
        }
    }

    /// Requests that come while a quick fetch takes, each of which may miss; so many fewer as fetches take longer.
    fn origin_asked(&self, took: f64) -> f64 {
        let quick = self.rules.objective as f64 / SECOND as f64 / QUICK;
        self.pace.asked.peak_rate(self.now) * quick * (quick / took).min(1.0)
    }
}
