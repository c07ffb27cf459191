//! Each rule is broken on purpose and must be reported; each case that only resembles a violation must not
//! be.

use crate::parse_scenario;
use pumicebay_lab::advertised_timeout::TimeoutCounts;
use pumicebay_lab::audit::{Auditor, FinalAnswer};
use pumicebay_model::registry::NodeState;

const MS: u64 = 1_000_000;
const READ: usize = 0;
const PUT: usize = 1;
const MARK: usize = 2;

const ROUTES: &str = r#"
    [nodes]
    zones = 2
    [[route]]
    name = "read"
    [[route]]
    name = "put"
    effect = "non_retriable"
    [[route]]
    name = "mark"
    effect = "deduped"
    scope = "zone"
    window_seconds = 0.2
"#;

/// Violations that the auditor reports for one request, accepted at 0 with an overall timeout of 1 s, after
/// these events.
fn violations(route: usize, events: impl FnOnce(&mut Auditor)) -> Vec<String> {
    let mut auditor = Auditor::new(&parse_scenario(ROUTES), MS);
    auditor.request_accepted(0, 1, 0, route, 1000 * MS);
    events(&mut auditor);
    auditor.finish();
    assert_eq!(auditor.audited_requests(), 1);
    let line = |broken: &pumicebay_lab::audit::Violation| format!("{}: {}", broken.rule, broken.description);
    auditor.violations.iter().map(line).collect()
}

/// Records an attempt at a node between two times, in milliseconds, that ran there.
fn record_attempt(auditor: &mut Auditor, node: usize, from: u64, until: u64) {
    auditor.attempt_sent(from * MS, 1, Some(node));
    auditor.executed((from + 1) * MS, 1, Some(node));
    auditor.attempt_ended(until * MS, 1, Some(node));
}

#[test]
fn an_ordinary_exchange_breaks_nothing() {
    let broken = violations(PUT, |auditor| {
        record_attempt(auditor, 0, 10, 20);
        auditor.answered(20 * MS, 1, FinalAnswer::Served, true);
    });
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn one_answer_in_time() {
    assert_eq!(violations(READ, |_| {}), ["1: never answered"]);
    let twice = violations(READ, |auditor| {
        auditor.answered(20 * MS, 1, FinalAnswer::Shed, true);
        auditor.answered(30 * MS, 1, FinalAnswer::Served, true);
    });
    assert_eq!(twice, ["1: answered 2 times"]);
    let late = violations(READ, |auditor| auditor.answered(1020 * MS, 1, FinalAnswer::Errored, true));
    assert_eq!(late, ["1: answered 0.020 s past its overall timeout"]);
    // A proxy that was killed owes no answer.
    assert!(violations(READ, |auditor| auditor.request_abandoned(500 * MS, 1)).is_empty());
}

#[test]
fn no_try_after_the_answer() {
    let broken = violations(READ, |auditor| {
        auditor.answered(20 * MS, 1, FinalAnswer::Shed, true);
        auditor.attempt_sent(30 * MS, 1, Some(2));
    });
    assert_eq!(broken, ["1: sent after its final answer"]);
}

#[test]
fn no_two_tries_at_once() {
    let broken = violations(READ, |auditor| {
        record_attempt(auditor, 0, 10, 40);
        record_attempt(auditor, 1, 20, 30);
        auditor.answered(40 * MS, 1, FinalAnswer::Served, true);
    });
    assert_eq!(broken, ["2: sent while another attempt was in flight"]);
    let sequential = violations(READ, |auditor| {
        record_attempt(auditor, 0, 10, 20);
        record_attempt(auditor, 1, 20, 30);
        auditor.answered(40 * MS, 1, FinalAnswer::Served, true);
    });
    assert!(sequential.is_empty(), "{sequential:?}");
}

#[test]
fn no_effect_twice() {
    let twice = |route, node, second| {
        violations(route, |auditor| {
            record_attempt(auditor, 0, 10, 20);
            record_attempt(auditor, node, second, second + 5);
            auditor.answered((second + 6) * MS, 1, FinalAnswer::Served, true);
        })
    };
    assert!(twice(READ, 1, 30).is_empty());
    assert_eq!(twice(PUT, 1, 30), ["2: took effect twice"]);
    // Node 2 shares the zone of node 0 and discards the repeat for 200 ms; node 1 is in another zone.
    assert!(twice(MARK, 2, 30).is_empty());
    assert_eq!(twice(MARK, 1, 30), ["2: took effect twice"]);
    assert_eq!(twice(MARK, 2, 300), ["2: took effect twice"]);
}

#[test]
fn nothing_is_shed_that_ran() {
    let shed = |route| {
        violations(route, |auditor| {
            record_attempt(auditor, 0, 10, 20);
            auditor.answered(30 * MS, 1, FinalAnswer::Shed, true);
        })
    };
    assert!(shed(READ).is_empty());
    assert_eq!(shed(PUT), ["2: shed as not executed, although it was executed"]);
    assert_eq!(shed(MARK).len(), 1);
}

#[test]
fn nothing_new_to_a_node_past_the_grace() {
    let sent = |at: u64, report: &dyn Fn(&mut Auditor)| {
        violations(READ, |auditor| {
            auditor.state_announced(0, 0, 3, NodeState::Ready);
            report(auditor);
            auditor.attempt_sent(at * MS, 1, Some(3));
            auditor.attempt_ended((at + 1) * MS, 1, Some(3));
            auditor.answered((at + 2).min(999) * MS, 1, FinalAnswer::Served, true);
        })
    };
    // Work is allowed within the grace period after a drain. Further below, requests begin 2 s after the
    // drain.
    let drained = |auditor: &mut Auditor| auditor.state_announced(0, 0, 3, NodeState::Draining);
    assert!(sent(900, &drained).is_empty());
    let mut auditor = Auditor::new(&parse_scenario(ROUTES), MS);
    auditor.state_announced(0, 0, 3, NodeState::Draining);
    auditor.state_announced(0, 1, 4, NodeState::Draining);
    for (request_id, proxy) in [(1, 0), (2, 1)] {
        auditor.request_accepted(2000 * MS, request_id, proxy, READ, 3000 * MS);
        auditor.attempt_sent(2010 * MS, request_id, Some(3));
        auditor.attempt_ended(2020 * MS, request_id, Some(3));
        auditor.answered(2020 * MS, request_id, FinalAnswer::Served, true);
    }
    // A repeated report starts no new grace period, and a node that is ready again may get requests.
    auditor.state_announced(1900 * MS, 0, 3, NodeState::Left);
    auditor.state_announced(2050 * MS, 0, 3, NodeState::Ready);
    auditor.request_accepted(4000 * MS, 3, 0, READ, 5000 * MS);
    auditor.attempt_sent(4010 * MS, 3, Some(3));
    auditor.attempt_ended(4020 * MS, 3, Some(3));
    auditor.answered(4020 * MS, 3, FinalAnswer::Served, true);
    auditor.finish();
    let broken: Vec<(u8, u64, Option<String>)> =
        auditor.violations.iter().map(|broken| (broken.rule, broken.request, broken.node.clone())).collect();
    assert_eq!(broken, [(3, 1, Some("n4".to_string()))]);
}

#[test]
fn values_and_cold_nodes() {
    let broken = violations(READ, |auditor| auditor.answered(20 * MS, 1, FinalAnswer::Served, false));
    assert_eq!(broken, ["0: served with a value that was made for another request"]);
    let mut auditor = Auditor::new(&parse_scenario(ROUTES), MS);
    auditor.cold_node_overloaded(7 * MS, 2);
    auditor.origin_stopped(8 * MS);
    assert_eq!(auditor.violations_by_rule, [0, 0, 0, 0, 2]);
}

/// Violations and uncharged crashes after `count` simultaneous requests, sent by three proxies in turn to a
/// node whose process is 0.1 s old. At that age 27 are allowed, so that the fortieth is one too many. `told`
/// holds the start time, in milliseconds, that each proxy was told, if any.
fn burst(count: u64, told: [Option<u64>; 3]) -> (Vec<String>, u64) {
    let nodes = "cores = 1\nstart_capacity = 0.1\nwarm_up_seconds = 10\nfall_multiple = 1";
    let mut auditor =
        Auditor::new(&parse_scenario(&format!("[nodes]\n{nodes}\n[[route]]\nservice_ms = 4")), MS);
    auditor.node_started(5000 * MS, 2);
    for (proxy, started) in told.into_iter().enumerate() {
        started.into_iter().for_each(|started| auditor.start_announced(5050 * MS, proxy, 2, started * MS));
    }
    for request_id in 1..=count {
        auditor.request_accepted(5090 * MS, request_id, (request_id % 3) as usize, READ, 6000 * MS);
        auditor.attempt_sent(5095 * MS, request_id, Some(2));
        auditor.node_received(5100 * MS, request_id, 2);
        auditor.answered(5110 * MS, request_id, FinalAnswer::Served, true);
    }
    auditor.finish();
    (
        auditor.violations.iter().map(|broken| broken.description.clone()).collect(),
        auditor.uncharged_overloads,
    )
}

#[test]
fn a_cold_node_falls_under_the_sum_of_all_that_knew_of_its_start() {
    let (informed, before) = (Some(5000), Some(4000));
    assert_eq!(burst(39, [informed; 3]), (vec![], 0));
    let charged = |part| {
        vec![format!("a cold node was overloaded: 40 requests, {part}% by proxies that knew its start time")]
    };
    assert_eq!(burst(40, [informed; 3]), (charged(100), 0));
    assert_eq!(burst(400, [informed; 3]), (charged(100), 0), "a process crashes only once");
    // Proxies that were told no start, or that of the previous process, could not know that the node was
    // cold. The crash is charged only where proxies that knew sent more than two thirds of the requests.
    assert_eq!(burst(40, [None; 3]), (vec![], 1));
    assert_eq!(burst(40, [before; 3]), (vec![], 1));
    assert_eq!(burst(40, [None, informed, informed]), (charged(68), 0));
    assert_eq!(burst(40, [informed, None, informed]), (vec![], 1));
}

#[test]
fn a_cold_node_is_judged_by_its_window_and_its_age() {
    let charged = |at: fn(u64) -> u64| {
        let nodes = "cores = 1\nstart_capacity = 0.1\nwarm_up_seconds = 10\nfall_multiple = 1";
        let mut auditor =
            Auditor::new(&parse_scenario(&format!("[nodes]\n{nodes}\n[[route]]\nservice_ms = 4")), MS);
        auditor.node_started(MS, 2);
        auditor.start_announced(MS, 0, 2, MS);
        for request_id in 1..=60 {
            auditor.request_accepted(at(request_id) * MS, request_id, 0, READ, (at(request_id) + 1000) * MS);
            auditor.attempt_sent((at(request_id) + 5) * MS, request_id, Some(2));
            auditor.node_received((at(request_id) + 5) * MS, request_id, 2);
        }
        auditor.violations_by_rule[4]
    };
    assert_eq!(charged(|_| 100), 1);
    assert_eq!(charged(|request_id| 100 + 30 * request_id), 0, "spread over two windows");
    assert_eq!(charged(|_| 4000), 0, "at that age it can take more than a hundred");
    assert_eq!(charged(|_| 11_000), 0, "warm");
}

/// The wait that an attempt announces is compared with the time its client has left: for a first and a
/// further attempt, within the tolerance for measuring and past it, and for one that announces none.
#[test]
fn no_attempt_tells_more_time_than_its_client_has_left() {
    let told = |first: Option<u64>, further: Option<u64>| {
        let mut time_told = TimeoutCounts::default();
        let broken = violations(READ, |auditor| {
            auditor.set_client_deadline(1, 900 * MS);
            for (at, told) in [(100, first), (400, further)] {
                auditor.attempt_sent(at * MS, 1, Some(0));
                auditor.timeout_advertised(at * MS, 1, Some(0), told.map(|told| told * MS));
                auditor.attempt_ended((at + 100) * MS, 1, Some(0));
            }
            auditor.answered(600 * MS, 1, FinalAnswer::Served, true);
            time_told = auditor.advertised_timeouts;
        });
        (time_told, broken)
    };
    let (counted, broken) = told(Some(850), Some(550));
    let within =
        TimeoutCounts { first_attempts: 1, retries: 1, worst_excess_ms: 50, ..TimeoutCounts::default() };
    assert_eq!((counted, broken), (within, vec![]));
    let (counted, broken) = told(Some(851), Some(700));
    assert_eq!((counted.first_excessive, counted.retries_excessive, counted.worst_excess_ms), (1, 1, 200));
    assert_eq!(
        broken,
        [
            "1: sent its server a timeout 0.051 s longer than its client had left",
            "1: sent its server a timeout 0.200 s longer than its client had left"
        ]
    );
    assert_eq!(told(Some(1), None).1, ["1: sent its server no timeout"]);
}
