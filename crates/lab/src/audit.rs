//! Holds the four rules against what was seen, by reasons of its own: it shares nothing with the decisions.
//! Whoever plays a day tells it what was taken, sent, run, answered and told, in any order within a second
//! or so; each exchange is judged once, some time after its overall timeout.

use crate::advertised_timeout::TimeoutCounts;
use hashbrown::HashMap;
use pumicebay_model::registry::NodeState;
use pumicebay_model::spec::{DedupScope, NodeSpec, RetrySafety, Scenario};
use pumicebay_model::{Nanos, SECOND, millis, seconds};
use serde::Serialize;
use std::collections::VecDeque;

/// How long after its deadline an exchange is judged: what comes later is not seen.
const AUDIT_DELAY: Nanos = 3 * SECOND;
/// Broken rules that are kept with their words; more are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 100;
/// A fall is rule 4's when more than this part of what the node got came from proxies that knew of its start.
const CHARGED_SHARE: f64 = 2.0 / 3.0;

/// The final answer to an exchange, as the client has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    Served,
    Shed,
    Errored,
}

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Violation {
    /// 1 to 4; 0 for a value that was not made for its exchange.
    pub rule: u8,
    #[serde(rename = "exchange")]
    pub request: u64,
    pub node: Option<String>,
    /// Seconds from the start of the day.
    pub at: f64,
    #[serde(rename = "what")]
    pub description: String,
}

#[derive(Clone, Debug)]
struct SentAttempt {
    at: Nanos,
    node: usize,
}

#[derive(Clone, Debug)]
struct RequestRecord {
    proxy: usize,
    route: usize,
    accepted_at: Nanos,
    deadline: Nanos,
    /// Until when its client waits, by the client's own clock.
    client_deadline: Nanos,
    answers: Vec<(Nanos, FinalAnswer)>,
    sent: Vec<SentAttempt>,
    /// When tries were over, and at which node.
    ended_attempts: Vec<(Nanos, usize)>,
    executions: Vec<(Nanos, usize)>,
    /// Its client left, or its proxy died.
    abandoned_at: Option<Nanos>,
}

/// What a cold process of a node was sent lately.
#[derive(Clone, Debug)]
struct ColdProcess {
    started_at: Nanos,
    /// Of each request: when it came, its work in requests of mean work, and whether its proxy knew of the start.
    received: VecDeque<(Nanos, f64, bool)>,
    /// A process falls once.
    overloaded: bool,
}

impl ColdProcess {
    /// Requests of mean work that came in the window, and the part of them from proxies that knew.
    fn sum(&self) -> (f64, f64) {
        let all: f64 = self.received.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            self.received.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        (all, if all > 0.0 { informed / all } else { 1.0 })
    }
}

pub struct Auditor {
    nodes: NodeSpec,
    /// What one request of each route takes, in requests of mean work, and that mean in seconds.
    relative_work: Vec<f64>,
    mean_service_seconds: f64,
    cold_processes: HashMap<usize, ColdProcess>,
    /// What each proxy was told of a node's start: when, and what it is said to be.
    announced_starts: HashMap<(usize, usize), Vec<(Nanos, Nanos)>>,
    /// The most that a cold node got in its window, as a part of what it falls by.
    pub worst_cold_load: f64,
    /// Falls that came mostly from proxies that could not know.
    pub uncharged_overloads: u64,
    retry_rules: Vec<(RetrySafety, DedupScope, Nanos)>,
    zones: usize,
    drain_grace: Nanos,
    /// What measuring may be off by, and whether the same proxy may have two tries out.
    tolerance: Nanos,
    records: HashMap<u64, RequestRecord>,
    /// The exchanges in the order they were taken.
    audit_queue: VecDeque<(Nanos, u64)>,
    /// What each proxy was told of a node, and when.
    announced_states: HashMap<(usize, usize), Vec<(Nanos, NodeState)>>,
    pub advertised_timeouts: TimeoutCounts,
    pub violations: Vec<Violation>,
    pub violations_by_rule: [u64; 5],
    audited: u64,
}

impl Auditor {
    /// `slack` is what times may be off by: nothing in virtual time, what the machine takes on sockets.
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

    /// A proxy has taken an exchange; `deadline` is its overall timeout.
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

    /// A try left its proxy. Nodes count from 0, the origin is none of them.
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
        let before = |told: &&(Nanos, NodeState)| told.0 <= at;
        let Some(told) = self.announced_states.get(&(proxy, node_index)) else { return };
        let Some(&(since, state)) = told.iter().rev().find(before) else { return };
        if state != NodeState::Ready && at > since + self.drain_grace + self.tolerance {
            let late = (at - since) as f64 / 1e9;
            let description =
                format!("p{} sent it new work {late:.3} s after learning that it is {state:?}", proxy + 1);
            self.record_violation(3, request, node, at, description);
        }
    }

    /// Until when its client waits, where that is not the deadline.
    pub fn set_client_deadline(&mut self, request: u64, until: Nanos) {
        if let Some(record) = self.records.get_mut(&request) {
            record.client_deadline = until;
        }
    }

    /// The attempt that was sent last told its server that it would be waited for so long; `None` where it told nothing.
    pub fn timeout_advertised(&mut self, at: Nanos, request: u64, node: Option<usize>, told: Option<Nanos>) {
        let Some(record) = self.records.get(&request) else { return };
        let left = record.client_deadline.saturating_sub(at);
        let too_much = told.map_or(Nanos::MAX, |told| told.saturating_sub(left));
        let further = record.sent.len() > 1;
        if !self.advertised_timeouts.add(further, too_much, self.tolerance) {
            return;
        }
        let description = match told {
            Some(_) => {
                format!(
                    "sent its server a timeout {:.3} s longer than its client had left",
                    too_much as f64 / 1e9
                )
            }
            None => "sent its server no timeout".into(),
        };
        self.record_violation(1, request, node, at, description);
    }

    /// A try at this node is over, as far as its proxy can know.
    pub fn attempt_ended(&mut self, at: Nanos, request: u64, node: Option<usize>) {
        if let Some(record) = self.records.get_mut(&request) {
            record.ended_attempts.push((at, node.unwrap_or(usize::MAX)));
        }
    }

    /// A node, or the origin, has run it.
    pub fn executed(&mut self, at: Nanos, request: u64, node: Option<usize>) {
        if let Some(record) = self.records.get_mut(&request) {
            record.executions.push((at, node.unwrap_or(usize::MAX)));
        }
    }

    /// The proxy has answered; `sound` says that a value was made for this exchange.
    pub fn answered(&mut self, at: Nanos, request: u64, answer: FinalAnswer, sound: bool) {
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
        if !sound {
            self.record_violation(
                0,
                request,
                None,
                at,
                "served with a value that was made for another request".into(),
            );
        }
    }

    /// The client has left, or the proxy has died: no answer is owed any more.
    pub fn request_abandoned(&mut self, at: Nanos, request: u64) {
        if let Some(record) = self.records.get_mut(&request) {
            record.abandoned_at.get_or_insert(at);
        }
    }

    /// A proxy was told what becomes of a node.
    pub fn state_announced(&mut self, at: Nanos, proxy: usize, node: usize, state: NodeState) {
        let told = self.announced_states.entry((proxy, node)).or_default();
        // Told again the same, it learned nothing.
        if told.last().is_none_or(|&(_, last)| last != state) {
            told.push((at, state));
            told.sort_by_key(|(at, _)| *at);
        }
    }

    /// A proxy starts from nothing, with a list of its own.
    pub fn proxy_restarted(&mut self, proxy: usize) {
        self.announced_states.retain(|(told, _), _| *told != proxy);
        self.announced_starts.retain(|(told, _), _| *told != proxy);
    }

    /// A node's process began, cold.
    pub fn node_started(&mut self, at: Nanos, node: usize) {
        self.cold_processes
            .insert(node, ColdProcess { started_at: at, received: VecDeque::new(), overloaded: false });
    }

    /// A proxy was told when a node's process began.
    pub fn start_announced(&mut self, at: Nanos, proxy: usize, node: usize, started: Nanos) {
        self.announced_starts.entry((proxy, node)).or_default().push((at, started));
    }

    /// An exchange has come to a node. Past what a cold one bears it falls, whatever the node itself made of it.
    pub fn node_received(&mut self, at: Nanos, request: u64, node: usize) {
        let (Some(cold_processes), Some(record)) =
            (self.cold_processes.get_mut(&node), self.records.get(&request))
        else {
            return;
        };
        let Some(threshold) = overload_threshold(
            &self.nodes,
            self.mean_service_seconds,
            at.saturating_sub(cold_processes.started_at),
        ) else {
            self.cold_processes.remove(&node);
            return;
        };
        let sent = record.sent.iter().rev().find(|sent| sent.node == node).map_or(at, |sent| sent.at);
        let announced_starts =
            self.announced_starts.get(&(record.proxy, node)).map_or(&[][..], Vec::as_slice);
        // Told of one before it, or of an age that is not its own, a proxy does not know that it is cold.
        let informed = announced_starts
            .iter()
            .any(|&(told, started)| told + self.tolerance <= sent && started >= cold_processes.started_at);
        let window = seconds(self.nodes.overload_window_seconds);
        while cold_processes.received.front().is_some_and(|(came, ..)| came + window <= at) {
            cold_processes.received.pop_front();
        }
        cold_processes.received.push_back((at, self.relative_work[record.route], informed));
        let received = cold_processes.sum().0;
        if !cold_processes.overloaded {
            self.worst_cold_load = self.worst_cold_load.max(received / threshold);
        }
        if received > threshold {
            self.record_overload(at, node);
        }
    }

    /// A node overloaded over while it was cold.
    pub fn cold_node_overloaded(&mut self, at: Nanos, node: usize) {
        self.record_overload(at, node);
    }

    /// Charges a process's fall to those who knew better. What nobody saw come is charged too.
    fn record_overload(&mut self, at: Nanos, node: usize) {
        let cold_processes = self.cold_processes.get_mut(&node).map(|cold_processes| {
            (std::mem::replace(&mut cold_processes.overloaded, true), cold_processes.sum())
        });
        let (again, (received, informed)) = cold_processes.unwrap_or((false, (0.0, 1.0)));
        if again {
            return;
        }
        if informed <= CHARGED_SHARE {
            self.uncharged_overloads += 1;
            return;
        }
        let part = 100.0 * informed;
        let description = format!(
            "a cold node was overloaded: {received:.0} requests, {part:.0}% by proxies that knew its start time"
        );
        self.record_violation(4, 0, Some(node), at, description);
    }

    /// The origin stopped, overrun, with nothing wrong with it but what it was asked. How warm processes are says nothing of
    /// it: long after their warm-up caches that were emptied still miss, and 79 stops of one day went unjudged.
    pub fn origin_stopped(&mut self, at: Nanos) {
        self.record_violation(4, 0, None, at, "the origin was stopped by the load of requests".into());
    }

    /// Judges those that are over by now.
    pub fn audit_due(&mut self, now: Nanos) {
        while let Some(&(due, request)) = self.audit_queue.front().filter(|(due, _)| *due <= now) {
            debug_assert!(due <= now);
            self.audit_queue.pop_front();
            if let Some(record) = self.records.remove(&request) {
                self.audit(request, &record);
            }
        }
    }

    /// Judges all that is left; the day is over.
    pub fn finish(&mut self) {
        self.audit_due(Nanos::MAX);
    }

    /// How many exchanges were judged.
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
        let ends = record.answers.first().map(|(at, _)| *at).into_iter().chain(record.abandoned_at).min();
        let ends = ends.unwrap_or(Nanos::MAX).min(record.deadline);
        if let Some(late) = record.sent.iter().find(|sent| sent.at > ends + self.tolerance) {
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
        for (place, attempt) in sent.iter().enumerate() {
            let over = ended_attempts.iter().position(|&(at, node)| node == attempt.node && at >= attempt.at);
            let until = over.map_or(Nanos::MAX, |over| ended_attempts.remove(over).0);
            if let Some(also) = sent.get(place + 1).filter(|also| also.at + self.tolerance < until) {
                self.record_violation(
                    2,
                    request,
                    cache_index(also.node),
                    also.at,
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
        let group = |node: usize| if node == usize::MAX { 0 } else { node % zones };
        for &(at, node) in &executions[1..] {
            let tolerated = match (effect, scope) {
                (RetrySafety::Retriable, _) => true,
                (RetrySafety::NonRetriable, _) => false,
                (RetrySafety::Deduped, DedupScope::Fleet) => at <= first + window,
                (RetrySafety::Deduped, DedupScope::Zone) => {
                    at <= first + window && group(node) == group(first_node)
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

fn cache_index(node: usize) -> Option<usize> {
    (node != usize::MAX).then_some(node)
}

/// By how many requests of mean work within its window a cold node of that age falls: what the settings allow it
/// then, and what may come on top by chance. None for one that can't.
fn overload_threshold(nodes: &NodeSpec, mean_service_seconds: f64, age: Nanos) -> Option<f64> {
    let warmth = age as f64 / 1e9 / nodes.warm_up_seconds;
    if warmth.is_nan() || warmth >= 1.0 || nodes.overload_multiple <= 0.0 {
        return None;
    }
    let part = nodes.start_capacity + (1.0 - nodes.start_capacity) * warmth;
    let allowed = nodes.overload_multiple * nodes.cores as f64 * part * nodes.overload_window_seconds
        / mean_service_seconds;
    Some(allowed + 2.0 * allowed.sqrt() + 2.0)
}
