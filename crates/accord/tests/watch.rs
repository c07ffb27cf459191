//! Who probes a node that is down, and who learns the outcome.

use expect_test::expect;
use pumicebay_accord::{Nanos, ProbeCoordinator, ProbeHost};

const HOLDER_TIMEOUT: Nanos = ProbeCoordinator::HOLDER_TIMEOUT;
const SECOND: Nanos = 1_000_000_000;

#[derive(Default)]
struct Trace(String);

impl ProbeHost for Trace {
    fn probe(&mut self, node: &str) {
        self.0 += &format!("probe {node}\n");
    }
    fn deliver_outcome(&mut self, node: &str, answered: bool) {
        self.0 += &format!("answer {node} {answered}\n");
    }
    fn publish_outcome(&mut self, token: u64, node: &str, answered: bool) {
        self.0 += &format!("publish {token} {node} {answered}\n");
    }
    fn request_probe(&mut self, node: &str) {
        self.0 += &format!("request probe {node}\n");
    }
    fn random(&mut self) -> f64 {
        0.5
    }
}

/// Guards against a lease holder that does not probe for the others of its zone, or never stops.
#[test]
fn the_lease_holder_probes_and_publishes_outcomes() {
    let (mut coordinator, mut trace) = (ProbeCoordinator::default(), Trace::default());
    coordinator.set_lease_token(Some(7));
    coordinator.probe_requested(0, "n1");
    coordinator.tick(SECOND, &mut trace);
    coordinator.probe_finished(SECOND, "n1", false, &mut trace);
    coordinator.outcome_wanted(2 * SECOND, "n1", &mut trace);
    coordinator.probe_finished(2 * SECOND, "n1", true, &mut trace);
    // After this time without a request, the node is no longer probed.
    coordinator.tick(13 * SECOND, &mut trace);
    assert!(!coordinator.lease_needed());
    expect![[r#"
        probe n1
        publish 7 n1 false
        probe n1
        publish 7 n1 true
        answer n1 true
    "#]]
    .assert_eq(&trace.0);
}

/// Guards against processes that wait for ever for a silent holder, or that believe a former one.
#[test]
fn others_request_probes_and_probe_alone_while_the_holder_is_silent() {
    let (mut coordinator, mut trace) = (ProbeCoordinator::default(), Trace::default());
    coordinator.outcome_wanted(0, "n1", &mut trace);
    coordinator.outcome_wanted(SECOND, "n1", &mut trace);
    coordinator.outcome_received(SECOND, 7, "n1", false, &mut trace);
    // An outcome under token 6, lower than 7: its sender no longer holds the lease.
    coordinator.outcome_wanted(2 * SECOND, "n1", &mut trace);
    coordinator.outcome_received(2 * SECOND, 6, "n1", true, &mut trace);
    trace.0 += "silence\n";
    coordinator.tick(2 * SECOND + HOLDER_TIMEOUT, &mut trace);
    coordinator.tick(5 * SECOND + HOLDER_TIMEOUT, &mut trace);
    coordinator.tick(6 * SECOND + HOLDER_TIMEOUT, &mut trace);
    coordinator.probe_finished(6 * SECOND + HOLDER_TIMEOUT, "n1", false, &mut trace);
    expect![[r#"
        request probe n1
        answer n1 false
        silence
        probe n1
        answer n1 false
    "#]]
    .assert_eq(&trace.0);
}
