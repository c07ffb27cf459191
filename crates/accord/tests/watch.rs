//! Who probes a node that is down, and who is told.

use expect_test::expect;
use pumicebay_accord::{Nanos, Watch, WatchHost};

const SILENT: Nanos = Watch::SILENT;
const SECOND: Nanos = 1_000_000_000;

#[derive(Default)]
struct Trace(String);

impl WatchHost for Trace {
    fn probe(&mut self, node: &str) {
        self.0 += &format!("probe {node}\n");
    }
    fn answer(&mut self, node: &str, answered: bool) {
        self.0 += &format!("answer {node} {answered}\n");
    }
    fn tell(&mut self, token: u64, node: &str, answered: bool) {
        self.0 += &format!("tell {token} {node} {answered}\n");
    }
    fn ask_for(&mut self, node: &str) {
        self.0 += &format!("ask for {node}\n");
    }
    fn chance(&mut self) -> f64 {
        0.5
    }
}

#[test]
fn the_holder_probes_for_all_and_tells_them() {
    let (mut watch, mut trace) = (Watch::default(), Trace::default());
    watch.held(Some(7));
    watch.asked_for(0, "n1");
    watch.tick(SECOND, &mut trace);
    watch.probed(SECOND, "n1", false, &mut trace);
    watch.wanted(2 * SECOND, "n1", &mut trace);
    watch.probed(2 * SECOND, "n1", true, &mut trace);
    // Nobody wants it any more.
    watch.tick(13 * SECOND, &mut trace);
    assert!(!watch.needed());
    expect![[r#"
        probe n1
        tell 7 n1 false
        probe n1
        tell 7 n1 true
        answer n1 true
    "#]]
    .assert_eq(&trace.0);
}

#[test]
fn the_others_ask_and_wait_and_go_on_alone_when_nothing_comes() {
    let (mut watch, mut trace) = (Watch::default(), Trace::default());
    watch.wanted(0, "n1", &mut trace);
    watch.wanted(SECOND, "n1", &mut trace);
    watch.told(SECOND, 7, "n1", false, &mut trace);
    // From one that holds the lease no more.
    watch.wanted(2 * SECOND, "n1", &mut trace);
    watch.told(2 * SECOND, 6, "n1", true, &mut trace);
    trace.0 += "silence\n";
    watch.tick(2 * SECOND + SILENT, &mut trace);
    watch.tick(5 * SECOND + SILENT, &mut trace);
    watch.tick(6 * SECOND + SILENT, &mut trace);
    watch.probed(6 * SECOND + SILENT, "n1", false, &mut trace);
    expect![[r#"
        ask for n1
        answer n1 false
        silence
        probe n1
        answer n1 false
    "#]]
    .assert_eq(&trace.0);
}
