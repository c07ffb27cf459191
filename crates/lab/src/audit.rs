//! Audits a run against the rules that every policy must keep. The auditor shares no code with the balancing
//! decisions, so an error there cannot hide itself here.
//!
//! - Rule 1: each accepted request gets exactly one final answer before its overall timeout, and no attempt
//!   after that; no attempt advertises a longer timeout to its server than the client has left.
//! - Rule 2: no effect happens twice.
//! - Rule 3: no new work goes to a node that drains or is gone once the drain grace is over.
//! - Rule 4: the proxies together neither overload a cold node nor stop the origin.
//!
//! The simulation or the stand-ins report what was accepted, sent, executed, answered and announced, in any
//! order within about a second. Each request is audited once, `AUDIT_DELAY` after its overall timeout.

use crate::advertised_timeout::TimeoutCounts;
use hashbrown::HashMap;
use pumicebay_model::registry::NodeState;
use pumicebay_model::spec::{DedupScope, NodeSpec, RetrySafety, Scenario};
use pumicebay_model::{Nanos, SECOND, millis, seconds};
use serde::Serialize;
use std::collections::VecDeque;

/// How long after its deadline a request is audited; events of the request that come later are not audited
/// with it.
const AUDIT_DELAY: Nanos = 3 * SECOND;
/// The number of violations recorded with a description; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 100;
/// An overload of a cold node violates rule 4 if more than this share of the work that the node received came
/// from proxies that knew its start time.
const CHARGED_SHARE: f64 = 2.0 / 3.0;

/// The final answer to a request, as its client receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Served,
    Shed,
    Errored,
}

/// One violation of a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    /// The rule, 1 to 4; 0 for a value that was made for another request.
    pub rule: u8,
    /// 0 if the violation concerns no single request.
    #[serde(rename = "exchange")]
    pub request: u64,
    /// The node's name; `None` for the origin or where no node is involved.
    pub node: Option<String>,
    /// Seconds from the start of the run.
    pub at: f64,
    #[serde(rename = "what")]
    pub description: String,
}

/// An attempt that left its proxy.
#[derive(Clone, Debug)]
struct SentAttempt {
    at: Nanos,
    /// `usize::MAX` for the origin, as in all records of the auditor.
    node: usize,
}

/// What is known of one request until it is audited.
#[derive(Clone, Debug)]
struct RequestRecord {
    proxy: usize,
    route: usize,
    accepted_at: Nanos,
    deadline: Nanos,
    /// When the client stops waiting, by its own clock.
    client_deadline: Nanos,
    answers: Vec<(Nanos, FinalAnswer)>,
    sent: Vec<SentAttempt>,
    /// When each attempt ended, and at which node.
    ended_attempts: Vec<(Nanos, usize)>,
    /// When the request was executed, and at which node.
    executions: Vec<(Nanos, usize)>,
    /// When its client left or its proxy died.
    abandoned_at: Option<Nanos>,
}

/// What the cold process of a node received within the overload window.
#[derive(Clone, Debug)]
struct ColdProcess {
    started_at: Nanos,
    /// For each request: when it arrived, its work in units of the mean work of a request, and whether its
    /// proxy knew the process's start time.
    received: VecDeque<(Nanos, f64, bool)>,
    /// Whether an overload of this process was recorded; each process has at most one.
    overloaded: bool,
}

impl ColdProcess {
    /// The work that arrived in the window, in units of the mean work of a request, and the share of it from
    /// proxies that knew the start time.
    fn window_load(&self) -> (f64, f64) {
        let all: f64 = self.received.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            self.received.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        (all, if all > 0.0 { informed / all } else { 1.0 })
    }
}

/// Collects the events of a run and counts the violations of the rules.
pub struct Auditor {
    nodes: NodeSpec,
    /// The work of one request, by route, in units of the mean work of a request.
    relative_work: Vec<f64>,
    /// The mean service time of a request, in seconds.
    mean_service_seconds: f64,
    /// By node: its process while it warms up.
    cold_processes: HashMap<usize, ColdProcess>,
    /// By proxy and node: when a start time was announced, and which one.
    announced_starts: HashMap<(usize, usize), Vec<(Nanos, Nanos)>>,
    /// The highest load of a cold node within its window, as a ratio to its overload threshold.
    pub worst_cold_load: f64,
    /// Overloads that are no violation, because most of the load came from proxies that did not know the
    /// start time.
    pub uncharged_overloads: u64,
    /// By route: its retry safety, and the scope and the window of its deduplication.
    retry_rules: Vec<(RetrySafety, DedupScope, Nanos)>,
    zones: usize,
    drain_grace: Nanos,
    /// How far recorded times may be off, which is also how long two attempts of a request may overlap.
    tolerance: Nanos,
    records: HashMap<u64, RequestRecord>,
    /// When each request is due for its audit, in the order in which they were accepted.
    audit_queue: VecDeque<(Nanos, u64)>,
    /// By proxy and node: when a new state was announced, and which one.
    announced_states: HashMap<(usize, usize), Vec<(Nanos, NodeState)>>,
    /// The timeouts that attempts advertised to their servers.
    pub advertised_timeouts: TimeoutCounts,
    /// The first violations, at most `MAX_RECORDED_VIOLATIONS`.
    pub violations: Vec<Violation>,
    /// The number of violations of each rule; index 0 counts values that were made for another request.
    pub violations_by_rule: [u64; 5],
    audited: u64,
}

impl Auditor {
    /// `tolerance` is how far reported times may be off, in nanoseconds.
    pub fn new(scenario: &Scenario, tolerance: Nanos) -> Auditor {
        let effect = |route: &pumicebay_model::spec::Route| {
            (route.retry_safety, route.dedup_scope, seconds(route.dedup_window_seconds))
        };
        let shares: f64 = scenario.route.iter().map(|route| route.share).sum();
        let mean_service_seconds =
            scenario.route.iter().map(|route| route.service_ms * route.share / shares).sum::<f64>();
        Auditor {
            nodes: scenario.nodes.clone(),
            relative_work: scenario
                .route
                .iter()
                .map(|route| route.service_ms / mean_service_seconds)
                .collect(),
            mean_service_seconds: mean_service_seconds / 1000.0,
            cold_processes: HashMap::new(),
            announced_starts: HashMap::new(),
            worst_cold_load: 0.0,
            uncharged_overloads: 0,
            retry_rules: scenario.route.iter().map(effect).collect(),
            zones: scenario.nodes.zones,
            drain_grace: millis(scenario.nodes.drain_grace_ms),
            tolerance,
            records: HashMap::new(),
            audit_queue: VecDeque::new(),
            announced_states: HashMap::new(),
            advertised_timeouts: TimeoutCounts::default(),
            violations: Vec::new(),
            violations_by_rule: [0; 5],
            audited: 0,
        }
    }

    /// A proxy accepted a request; `deadline` is when its overall timeout expires.
    pub fn request_accepted(&mut self, at: Nanos, request: u64, proxy: usize, route: usize, deadline: Nanos) {
        let record = RequestRecord {
            proxy,
            route,
            accepted_at: at,
            deadline,
            client_deadline: deadline,
            answers: Vec::new(),
            sent: Vec::new(),
            ended_attempts: Vec::new(),
            executions: Vec::new(),
            abandoned_at: None,
        };
        self.audit_queue.push_back((deadline + AUDIT_DELAY, request));
        self.records.insert(request, record);
    }

    /// An attempt left its proxy. `node` counts from 0; `None` is the origin, here and below.
    pub fn attempt_sent(&mut self, at: Nanos, request: u64, node: Option<usize>) {
        let Some(record) = self.records.get_mut(&request) else {
            return self.record_violation(
                1,
                request,
                node,
                at,
                "attempt sent long after the request ended".into(),
            );
        };
        let (proxy, node_index) = (record.proxy, node.unwrap_or(usize::MAX));
        record.sent.push(SentAttempt { at, node: node_index });
        let announced_before = |announcement: &&(Nanos, NodeState)| announcement.0 <= at;
        let Some(announcements) = self.announced_states.get(&(proxy, node_index)) else { return };
        let Some(&(since, state)) = announcements.iter().rev().find(announced_before) else { return };
        if state != NodeState::Ready && at > since + self.drain_grace + self.tolerance {
            let late = (at - since) as f64 / 1e9;
            let description =
                format!("p{} sent new work {late:.3} s after learning that it is {state:?}", proxy + 1);
            self.record_violation(3, request, node, at, description);
        }
    }

    /// Sets when the client stops waiting, if that is not the deadline of the proxy.
    pub fn set_client_deadline(&mut self, request: u64, client_deadline: Nanos) {
        if let Some(record) = self.records.get_mut(&request) {
            record.client_deadline = client_deadline;
        }
    }

    /// The latest attempt advertised this timeout to its server; `None` if it advertised none.
    pub fn timeout_advertised(
        &mut self,
        at: Nanos,
        request: u64,
        node: Option<usize>,
        advertised: Option<Nanos>,
    ) {
        let Some(record) = self.records.get(&request) else { return };
        let left = record.client_deadline.saturating_sub(at);
        let excess = advertised.map_or(Nanos::MAX, |timeout| timeout.saturating_sub(left));
        let is_retry = record.sent.len() > 1;
        if !self.advertised_timeouts.add(is_retry, excess, self.tolerance) {
            return;
        }
        let description = match advertised {
            Some(_) => {
                format!(
                    "sent its server a timeout {:.3} s longer than its client had left",
                    excess as f64 / 1e9
                )
            }
            None => "sent its server no timeout".into(),
        };
        self.record_violation(1, request, node, at, description);
    }

    /// An attempt at this node ended, as far as its proxy can know.
    pub fn attempt_ended(&mut self, at: Nanos, request: u64, node: Option<usize>) {
        if let Some(record) = self.records.get_mut(&request) {
            record.ended_attempts.push((at, node.unwrap_or(usize::MAX)));
        }
    }

    /// A node, or the origin, executed the request.
    pub fn executed(&mut self, at: Nanos, request: u64, node: Option<usize>) {
        if let Some(record) = self.records.get_mut(&request) {
            record.executions.push((at, node.unwrap_or(usize::MAX)));
        }
    }

    /// The proxy answered; `value_matches` is false for a value that was made for another request.
    pub fn answered(&mut self, at: Nanos, request: u64, answer: FinalAnswer, value_matches: bool) {
        let Some(record) = self.records.get_mut(&request) else {
            return self.record_violation(
                1,
                request,
                None,
                at,
                "answered long after it ended, or never accepted".into(),
            );
        };
        record.answers.push((at, answer));
        if !value_matches {
            self.record_violation(
                0,
                request,
                None,
                at,
                "served with a value that was made for another request".into(),
            );
        }
    }

    /// The client left or the proxy died, so no answer is required any more.
    pub fn request_abandoned(&mut self, at: Nanos, request: u64) {
        if let Some(record) = self.records.get_mut(&request) {
            record.abandoned_at.get_or_insert(at);
        }
    }

    /// The state of a node was announced to a proxy.
    pub fn state_announced(&mut self, at: Nanos, proxy: usize, node: usize, state: NodeState) {
        let announcements = self.announced_states.entry((proxy, node)).or_default();
        // A repeated announcement does not restart the drain grace.
        if announcements.last().is_none_or(|&(_, last)| last != state) {
            announcements.push((at, state));
            announcements.sort_by_key(|(at, _)| *at);
        }
    }

    /// A proxy restarted and lost all earlier announcements.
    pub fn proxy_restarted(&mut self, proxy: usize) {
        self.announced_states.retain(|(informed_proxy, _), _| *informed_proxy != proxy);
        self.announced_starts.retain(|(informed_proxy, _), _| *informed_proxy != proxy);
    }

    /// A node's process started, cold.
    pub fn node_started(&mut self, at: Nanos, node: usize) {
        self.cold_processes
            .insert(node, ColdProcess { started_at: at, received: VecDeque::new(), overloaded: false });
    }

    /// The start time of a node's process was announced to a proxy.
    pub fn start_announced(&mut self, at: Nanos, proxy: usize, node: usize, started: Nanos) {
        self.announced_starts.entry((proxy, node)).or_default().push((at, started));
    }

    /// A request arrived at a node. A cold node whose load exceeds the threshold counts as overloaded, even
    /// if it did not crash.
    pub fn node_received(&mut self, at: Nanos, request: u64, node: usize) {
        let (Some(process), Some(record)) = (self.cold_processes.get_mut(&node), self.records.get(&request))
        else {
            return;
        };
        let Some(threshold) =
            overload_threshold(&self.nodes, self.mean_service_seconds, at.saturating_sub(process.started_at))
        else {
            self.cold_processes.remove(&node);
            return;
        };
        let sent = record.sent.iter().rev().find(|sent| sent.node == node).map_or(at, |sent| sent.at);
        let announced_starts =
            self.announced_starts.get(&(record.proxy, node)).map_or(&[][..], Vec::as_slice);
        // A proxy that knows only an earlier start time, of a previous process or a wrong one, does not know
        // that the node is cold.
        let informed = announced_starts.iter().any(|&(announced_at, started)| {
            announced_at + self.tolerance <= sent && started >= process.started_at
        });
        let window = seconds(self.nodes.overload_window_seconds);
        while process.received.front().is_some_and(|(came, ..)| came + window <= at) {
            process.received.pop_front();
        }
        process.received.push_back((at, self.relative_work[record.route], informed));
        let received = process.window_load().0;
        if !process.overloaded {
            self.worst_cold_load = self.worst_cold_load.max(received / threshold);
        }
        if received > threshold {
            self.record_overload(at, node);
        }
    }

    /// A cache node crashed from overload.
    pub fn cold_node_overloaded(&mut self, at: Nanos, node: usize) {
        self.record_overload(at, node);
    }

    /// Records an overload once for each process. It is a violation if most of the load came from proxies
    /// that knew the start time, or if no load of the process is known at all.
    fn record_overload(&mut self, at: Nanos, node: usize) {
        let process = self
            .cold_processes
            .get_mut(&node)
            .map(|process| (std::mem::replace(&mut process.overloaded, true), process.window_load()));
        let (already_recorded, (received, informed)) = process.unwrap_or((false, (0.0, 1.0)));
        if already_recorded {
            return;
        }
        if informed <= CHARGED_SHARE {
            self.uncharged_overloads += 1;
            return;
        }
        let percent = 100.0 * informed;
        let description = format!(
            "a cold node was overloaded: {received:.0} requests, {percent:.0}% by proxies that knew its start time"
        );
        self.record_violation(4, 0, Some(node), at, description);
    }

    /// The origin, without a fault of its own, was stopped by the load of requests. This counts whether or
    /// not any process is warming up: caches that were emptied still miss long after their warm-up, and a
    /// condition on warm-up let 79 stops of one run pass.
    pub fn origin_stopped(&mut self, at: Nanos) {
        self.record_violation(4, 0, None, at, "the origin was stopped by the load of requests".into());
    }

    /// Audits the requests that are due by now.
    pub fn audit_due(&mut self, now: Nanos) {
        while let Some(&(due, request)) = self.audit_queue.front().filter(|(due, _)| *due <= now) {
            debug_assert!(due <= now);
            self.audit_queue.pop_front();
            if let Some(record) = self.records.remove(&request) {
                self.audit(request, &record);
            }
        }
    }

    /// Audits all remaining requests at the end of the run.
    pub fn finish(&mut self) {
        self.audit_due(Nanos::MAX);
    }

    /// The number of requests audited so far.
    pub fn audited_requests(&self) -> u64 {
        self.audited
    }

    fn audit(&mut self, request: u64, record: &RequestRecord) {
        self.audited += 1;
        self.audit_answers(request, record);
        self.audit_attempts(request, record);
        self.audit_effects(request, record);
    }

    fn audit_answers(&mut self, request: u64, record: &RequestRecord) {
        match record.answers[..] {
            [] if record.abandoned_at.is_none() => {
                self.record_violation(1, request, None, record.deadline, "never answered".into());
            }
            [] => {}
            [(at, _), ..] if at > record.deadline + self.tolerance => {
                let late = (at - record.deadline) as f64 / 1e9;
                self.record_violation(
                    1,
                    request,
                    None,
                    at,
                    format!("answered {late:.3} s past its overall timeout"),
                );
            }
            _ => {}
        }
        if let [_, (at, _), ..] = record.answers[..] {
            self.record_violation(1, request, None, at, format!("answered {} times", record.answers.len()));
        }
    }

    fn audit_attempts(&mut self, request: u64, record: &RequestRecord) {
        let end = record.answers.first().map(|(at, _)| *at).into_iter().chain(record.abandoned_at).min();
        let end = end.unwrap_or(Nanos::MAX).min(record.deadline);
        if let Some(late) = record.sent.iter().find(|sent| sent.at > end + self.tolerance) {
            self.record_violation(
                1,
                request,
                cache_index(late.node),
                late.at,
                "sent after its final answer".into(),
            );
        }
        let (mut sent, mut ended_attempts) = (record.sent.clone(), record.ended_attempts.clone());
        sent.sort_by_key(|sent| sent.at);
        ended_attempts.sort_unstable();
        for (index, attempt) in sent.iter().enumerate() {
            let end = ended_attempts.iter().position(|&(at, node)| node == attempt.node && at >= attempt.at);
            let ended_at = end.map_or(Nanos::MAX, |end| ended_attempts.remove(end).0);
            if let Some(next) = sent.get(index + 1).filter(|next| next.at + self.tolerance < ended_at) {
                self.record_violation(
                    2,
                    request,
                    cache_index(next.node),
                    next.at,
                    "sent while another attempt was in flight".into(),
                );
                return;
            }
        }
    }

    fn audit_effects(&mut self, request: u64, record: &RequestRecord) {
        let (effect, scope, window) = self.retry_rules[record.route];
        let mut executions = record.executions.clone();
        executions.sort_unstable();
        let Some(&(first, first_node)) = executions.first() else { return };
        let zones = self.zones;
        let dedup_zone = |node: usize| if node == usize::MAX { 0 } else { node % zones };
        for &(at, node) in &executions[1..] {
            let tolerated = match (effect, scope) {
                (RetrySafety::Retriable, _) => true,
                (RetrySafety::NonRetriable, _) => false,
                (RetrySafety::Deduped, DedupScope::Fleet) => at <= first + window,
                (RetrySafety::Deduped, DedupScope::Zone) => {
                    at <= first + window && dedup_zone(node) == dedup_zone(first_node)
                }
            };
            if !tolerated {
                self.record_violation(2, request, cache_index(node), at, "took effect twice".into());
            }
        }
        let answer = record.answers.first();
        let may_rerun =
            effect == RetrySafety::Retriable || effect == RetrySafety::Deduped && scope == DedupScope::Fleet;
        if let Some(&(at, FinalAnswer::Shed)) = answer
            && !may_rerun
            && first < at
        {
            let description = "shed as not executed, although it was executed".to_string();
            self.record_violation(2, request, cache_index(first_node), at, description);
        }
        debug_assert!(record.accepted_at <= record.deadline);
    }

    fn record_violation(
        &mut self,
        rule: u8,
        request: u64,
        node: Option<usize>,
        at: Nanos,
        description: String,
    ) {
        self.violations_by_rule[usize::from(rule)] += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            let node = node.filter(|&node| node != usize::MAX).map(|node| format!("n{}", node + 1));
            self.violations.push(Violation { rule, request, node, at: at as f64 / 1e9, description });
        }
    }
}

/// The node's index; `None` for the origin.
fn cache_index(node: usize) -> Option<usize> {
    (node != usize::MAX).then_some(node)
}

/// The load within the overload window, in units of the mean work of a request, above which a cold node of
/// this age counts as overloaded: what the settings allow, and a margin for random variation. `None` if the
/// node is warm or the scenario has no overload limit.
fn overload_threshold(nodes: &NodeSpec, mean_service_seconds: f64, age: Nanos) -> Option<f64> {
    let warmth = age as f64 / 1e9 / nodes.warm_up_seconds;
    if warmth.is_nan() || warmth >= 1.0 || nodes.overload_multiple <= 0.0 {
        return None;
    }
    let capacity = nodes.start_capacity + (1.0 - nodes.start_capacity) * warmth;
    let allowed = nodes.overload_multiple * nodes.cores as f64 * capacity * nodes.overload_window_seconds
        / mean_service_seconds;
    Some(allowed + 2.0 * allowed.sqrt() + 2.0)
}
