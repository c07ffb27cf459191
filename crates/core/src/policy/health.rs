//! Which nodes are temporarily avoided: outlier ejection by failures, probes of ejected nodes, and slow start
//! of cold nodes, which all proxies together must not overload.

use crate::balancer::Balancer;
use crate::host::{Host, Nanos, Node, Outcome};
use crate::nodes::NodeIndex;
use crate::policy::{INITIAL_REQUESTS, SECOND, TICK};
use crate::state::NodeState;
use smallvec::SmallVec;

/// Failures, less the successes since, that eject a node: the number for all proxies together, of which each
/// counts its share.
const EJECT_FAILURES: f64 = 9.0;
/// Probes in a row that an ejected node must answer to be reinstated.
const REINSTATE_PROBES: usize = 2;
/// A node that let a first attempt time out counts as refusing for as long as this proxy takes to send it
/// `INITIAL_REQUESTS` requests on average, but no longer than this.
const MAX_REFUSAL_TIME: Nanos = 10 * SECOND;

impl<H: Host, F: NodeIndex> Balancer<H, F> {
    /// Whether the node has finished its warm-up.
    pub(crate) fn is_warm(&self, node: Node) -> bool {
        self.nodes.states[node].is_warm(self.now, self.settings.warm_up)
    }

    /// Whether a node may be sent this much work now; always true for a warm node. A cold node gets from each
    /// proxy its share of normal load, evenly spaced, and no work so heavy that it exceeds the shares of all
    /// proxies within the overload window. Otherwise all proxies together could overload a cold node.
    pub(crate) fn within_cold_budget(&self, node: Node, work: f64) -> bool {
        self.is_warm(node)
            || self.now >= self.nodes.states[node].paced_until
                && self.cold_send_interval(node, work)
                    <= self.proxy_count * self.settings.overload_window as f64
    }

    /// How long this work uses up this proxy's share of a cold node, in nanoseconds. The share is taken of
    /// the highest mean rate of warm nodes in the last minute.
    pub(crate) fn cold_send_interval(&self, node: Node, work: f64) -> f64 {
        let share = self.nodes.states[node].capacity_share(self.now, &self.settings);
        let warm_rate = self.demand.warm_rates.max_bucket_mean(self.now).unwrap_or(0.0);
        let mean_work = self.demand.requests.mean(self.now).unwrap_or(work);
        SECOND as f64 * work / mean_work / (warm_rate * share).max(1.0 / self.proxy_count)
    }

    /// Starts pacing requests to a node whose process is new. The first one waits for a random time, to avoid
    /// requests from many proxies at once.
    pub(crate) fn start_pacing(&mut self, node: Node) {
        let interval = self.cold_send_interval(node, self.demand.requests.mean(self.now).unwrap_or(1.0));
        let until = self.now + (interval * f64::from(self.rng.rand_float())) as Nanos;
        self.nodes.change(node, |state| state.paced_until = until);
        self.host.log(&format!("node {node} is cold: at first one request every {:.1} s", interval / 1e9));
    }

    /// Records how an attempt at a node ended. `objective_if_expired` is the request's latency objective if its
    /// client's deadline has passed, otherwise None.
    pub(crate) fn record_outcome(
        &mut self,
        node: Node,
        sent_at: Nanos,
        outcome: Outcome,
        objective_if_expired: Option<Nanos>,
    ) {
        let now = self.now;
        let until = match outcome {
            // Where many nodes refuse, a refusal says little about this one: it then counts for a shorter
            // time, so that keys don't scatter over other nodes.
            Outcome::Saturated => {
                self.until_expected_sends(self.all_caches.answered_share(now).powi(2)).max(now + TICK)
            }
            _ => self.until_expected_sends(INITIAL_REQUESTS),
        };
        let fails = self.nodes.change(node, |state| {
            state.end_attempt(now, sent_at, outcome);
            match outcome {
                _ if outcome.is_success() => state.failures = state.failures.saturating_sub(1),
                Outcome::Saturated => state.refusing_until = until,
                // The request itself may cause the error; it counts only once another node serves the
                // request.
                Outcome::Errored | Outcome::Withdrawn | Outcome::Unsent | Outcome::Rejected => {}
                // Before the client's deadline, a timeout means that the node is slow. After it, a timeout is
                // a failure only if attempts have waited for a whole latency objective without a response.
                Outcome::Overdue if objective_if_expired.is_none() => state.refusing_until = until,
                Outcome::Overdue
                    if state.unanswered_since > sent_at
                        || Some(state.timed_out_wait) < objective_if_expired => {}
                _ => return true,
            }
            false
        });
        fails.then(|| self.record_failure(node, outcome));
        if Some(node) != self.origin {
            self.all_caches.end(now, sent_at, outcome);
            if outcome == Outcome::Completed {
                self.machine_types.record(
                    now,
                    self.nodes.states[node].listed.machine_type,
                    now.saturating_sub(sent_at),
                );
            }
        }
    }

    /// Counts a failure and ejects the node after enough of them: the empty queue of a node that fails
    /// quickly would otherwise attract load. Where probes are not permitted nothing could reinstate the node,
    /// so it counts as refusing for a while instead. An error is counted only if another attempt of its
    /// request has shown that the node is at fault.
    pub(crate) fn record_failure(&mut self, node: Node, outcome: Outcome) {
        let (may_probe, refusing_until, threshold) = (
            self.settings.may_probe,
            self.until_expected_sends(INITIAL_REQUESTS),
            (EJECT_FAILURES / self.proxy_count).max(1.0),
        );
        let failures = self.nodes.change(node, |state| {
            state.failures += 1;
            let fails = state.failures as f64 >= threshold && state.is_serving();
            state.ejected = if fails && may_probe { Some(0) } else { state.ejected };
            state.refusing_until = if fails && !may_probe { refusing_until } else { state.refusing_until };
            (fails && may_probe).then_some(state.failures)
        });
        let Some(failures) = failures else { return };
        self.host.log(&format!("node {node} ejected: {failures} failures, last {outcome:?}"));
    }

    /// The time at which this proxy will have sent a node this many more requests, on average.
    fn until_expected_sends(&self, sends: f64) -> Nanos {
        let seconds = sends * self.serving_count() / self.all_caches.recent_answers.rate(self.now);
        self.now + MAX_REFUSAL_TIME.min((seconds * SECOND as f64) as Nanos)
    }

    /// A probe has ended. Enough answered probes in a row reinstate an ejected node.
    pub fn probe_finished(&mut self, node: Node, outcome: Outcome) {
        let Some(state) = self.nodes.states.get_mut(node) else { return };
        state.probe_in_flight = false;
        let Some(answered_probes) = &mut state.ejected else { return };
        *answered_probes = if outcome == Outcome::Completed { *answered_probes + 1 } else { 0 };
        if *answered_probes >= REINSTATE_PROBES {
            self.nodes.change(node, NodeState::reinstate);
            self.host.log(&format!("node {node} reinstated: {REINSTATE_PROBES} probes answered"));
        }
    }

    /// Probes ejected nodes. Each proxy takes part at random only, so that a node that may be unhealthy does
    /// not get probes from all proxies.
    pub(crate) fn probe_ejected(&mut self) {
        let can_probe = |state: &NodeState| state.is_ready() && !state.probe_in_flight;
        let to_probe = self.nodes.ejected().filter(|&node| can_probe(&self.nodes.states[node]));
        for node in to_probe.collect::<SmallVec<[Node; 8]>>() {
            if f64::from(self.rng.rand_float()) < (INITIAL_REQUESTS / self.proxy_count).max(0.1) {
                self.nodes.states[node].probe_in_flight = true;
                self.host.probe(node);
            }
        }
    }
}
