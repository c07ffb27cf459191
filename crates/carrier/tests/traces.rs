//! What a node does, call by call, on its main paths.

mod common;

use common::{Act, Acts, Chance, MS, SECOND, terms};
use expect_test::{Expect, expect};
use pumicebay_carrier::*;

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

fn resource(scope: Scope, name: &str, number: u64, patch: &str) -> Resource {
    Resource { scope, name: name.into(), version: version(number), patch: Some(patch.into()) }
}

fn acts() -> Acts {
    Acts { acts: Vec::new(), chance: Chance(1) }
}

/// What was asked for since the last look, a line each, digests left out.
fn trace(host: &mut Acts) -> String {
    let line = |act: Act| match act {
        Act::Dial(name) => format!("dial {name}"),
        Act::HangUp => "hang up".into(),
        Act::Up(Up::Subscribe { who, holds, .. }) => {
            format!("up: {} subscribes with {holds}", who.member.name)
        }
        Act::Up(Up::Holds { version, .. }) => format!("up: holds {version}"),
        Act::Up(Up::Took) => "up: took".into(),
        Act::Up(Up::Kept(version)) => format!("up: {version} is on disk"),
        Act::Up(Up::Sum(sum)) => format!("up: {}", summed(&sum)),
        Act::Down(child, Down::Pulse { holds, age, .. }) => {
            let age = if age == Nanos::MAX { "unknown".into() } else { format!("{} ms", age / MS) };
            format!("to {child}: pulse {holds}, age {age}")
        }
        Act::Down(child, Down::Delta { after, version, whole, last, cut, resources }) => {
            let flags = [(whole, " whole"), (last, " last"), (cut, " cut")];
            let flags: String = flags.iter().filter(|(set, _)| *set).map(|(_, flag)| *flag).collect();
            let names: Vec<String> =
                resources.iter().map(|one| format!("{} {}", one.scope, one.name)).collect();
            format!("to {child}: {after} to {version}{flags}: {}", names.join(", "))
        }
        Act::Down(child, Down::Full) => format!("to {child}: full"),
        Act::Drop(child) => format!("drop {child}"),
        Act::Put(version, resources) => {
            let names: Vec<String> =
                resources.iter().map(|one| format!("{}@{}", one.name, one.version)).collect();
            format!("put {version} in force: {}", names.join(", "))
        }
        Act::Keep(kept) => format!("keep {}", kept.version),
    };
    host.acts.drain(..).map(|act| line(act) + "\n").collect()
}

fn summed(sum: &Sum) -> String {
    let exceptions: Vec<String> =
        sum.exceptions.iter().map(|one| format!("{} {:?}", one.who.name, one.why)).collect();
    format!(
        "{} at {}{}{}",
        sum.in_force,
        sum.members,
        if exceptions.is_empty() { "" } else { ", but " },
        exceptions.join(", ")
    )
}

fn check(host: &mut Acts, expected: Expect) {
    expected.assert_eq(&trace(host));
}

/// By its first link.
fn subscribe(name: &str, holds: Version) -> Up {
    subscribe_again(name, 1, holds)
}

fn link(name: &str, number: u64) -> Attachment {
    Attachment { member: Member { name: name.into(), incarnation: 1 }, number }
}

fn subscribe_again(name: &str, number: u64, holds: Version) -> Up {
    let who = link(name, number);
    let place = terms(name, "s0", false, false, vec![]).place;
    Up::Subscribe { who, wants: Interest::Proxy(place, name.into()), holds, digest: 0 }
}

fn sum(number: u64) -> Up {
    Up::Sum(Sum { in_force: version(number), members: 1, ..Sum::default() })
}

/// The root at version 1 of one resource for the fleet.
fn root(host: &mut Acts) -> Node {
    let mut node = Node::start(0, terms("c0", "s0", true, false, vec![]), None, host);
    node.root_is(0, Some("c0"), host);
    node.publish(0, version(1), vec![resource(Scope::Fleet, "a", 1, "{}")], host);
    node.in_force(0, version(1), vec![], host);
    node.kept(0, version(1), host);
    trace(host);
    node
}

fn leaf(host: &mut Acts, candidates: &[&str]) -> Node {
    let tier = candidates.iter().map(|name| name.to_string()).collect();
    Node::start(0, terms("p0", "s0", false, false, vec![tier]), None, host)
}

#[test]
fn a_child_is_sent_what_it_misses_part_by_part() {
    let mut host = acts();
    let mut node = root(&mut host);
    node.publish(0, version(2), vec![resource(Scope::Fleet, "b", 2, &"x".repeat(1_500))], &mut host);
    node.child_up(SECOND, 7, &mut host);
    node.child_said(SECOND, 7, subscribe("p0", Version::default()), &mut host);
    node.tick(SECOND + MS, &mut host);
    node.child_said(SECOND + MS, 7, Up::Took, &mut host);
    node.child_said(SECOND + MS, 7, Up::Holds { version: version(2), digest: 1 }, &mut host);
    check(
        &mut host,
        expect![[r#"
        put 1.2 in force: a@1.1, b@1.2
        to 7: 0.0 to 1.2 whole cut: fleet a, fleet b
        to 7: pulse 1.2, age 0 ms
        keep 1.2
        to 7: 0.0 to 1.2 whole last: fleet b
        to 7: pulse 1.2, age 0 ms
    "#]],
    );
}

#[test]
fn what_does_not_concern_a_child_comes_by_an_early_pulse() {
    let mut host = acts();
    let mut node = root(&mut host);
    node.child_up(0, 7, &mut host);
    node.child_said(0, 7, subscribe("p0", version(1)), &mut host);
    let digest = host.acts.iter().find_map(|act| match act {
        Act::Down(_, Down::Pulse { digest, .. }) => Some(*digest),
        _ => None,
    });
    node.child_said(0, 7, Up::Holds { version: version(1), digest: digest.unwrap() }, &mut host);
    trace(&mut host);
    node.publish(50 * MS, version(2), vec![resource(Scope::Site("s9".into()), "b", 2, "{}")], &mut host);
    assert_eq!(node.due(), 250 * MS);
    node.tick(250 * MS, &mut host);
    check(
        &mut host,
        expect![[r#"
        to 7: pulse 1.2, age 0 ms
        keep 1.2
    "#]],
    );
}

#[test]
fn a_leaf_takes_and_puts_in_force_and_says_so() {
    let mut host = acts();
    let mut node = leaf(&mut host, &["c0"]);
    node.tick(node.due(), &mut host);
    node.parent_up(SECOND, &mut host);
    let delta = |after, number, resources| Down::Delta {
        after: version(after),
        version: version(number),
        whole: after == 0,
        last: true,
        cut: false,
        resources,
    };
    node.told(SECOND, delta(0, 1, vec![resource(Scope::Fleet, "a", 1, "{}")]), &mut host);
    node.told(SECOND, delta(1, 2, vec![resource(Scope::Fleet, "a", 2, "{\"bad\":1}")]), &mut host);
    node.in_force(2 * SECOND, version(1), vec![], &mut host);
    node.in_force(2 * SECOND, version(2), vec![(Scope::Fleet, "a".into(), "no".into())], &mut host);
    node.tick(2 * SECOND + 250 * MS, &mut host);
    node.told(3 * SECOND, delta(0, 1, vec![resource(Scope::Fleet, "a", 1, "{}")]), &mut host);
    node.told(3 * SECOND, delta(2, 3, vec![resource(Scope::Fleet, "b", 3, "{}")]), &mut host);
    check(
        &mut host,
        expect![[r#"
        dial c0
        up: p0 subscribes with 0.0
        up: 0.0 at 1
        put 1.1 in force: a@1.1
        keep 1.1
        up: holds 1.1
        up: holds 1.2
        put 1.2 in force: a@1.2
        up: 1.1 at 1
        up: 1.2 at 1, but p0 Refused { scope: Fleet, resource: "a", version: Version { epoch: 1, number: 2 }, reason: "no" }
        up: holds 1.2
        put 1.3 in force: a@1.1, b@1.3
        up: holds 1.3
    "#]],
    );
}

#[test]
fn the_last_good_one_outlives_a_restart() {
    let mut host = acts();
    let good = vec![resource(Scope::Fleet, "a", 1, "{}")];
    let resources = vec![resource(Scope::Fleet, "a", 2, "{\"bad\":1}")];
    let kept = Kept { version: version(2), resources, good, ..Kept::default() };
    let mut node = Node::start(0, terms("p0", "s0", false, false, vec![]), Some(kept), &mut host);
    node.in_force(0, version(2), vec![(Scope::Fleet, "a".into(), "no".into())], &mut host);
    node.in_force(0, version(2), vec![], &mut host);
    check(
        &mut host,
        expect![[r#"
        put 1.2 in force: a@1.2
        put 1.2 in force: a@1.1
    "#]],
    );
    let why =
        "Refused { scope: Fleet, resource: \"a\", version: Version { epoch: 1, number: 2 }, reason: \"no\" }";
    assert_eq!(summed(&node.sum(0)), format!("1.2 at 1, but p0 {why}"));
}

#[test]
fn a_silent_parent_is_left_and_the_next_called() {
    let mut host = acts();
    let mut node = leaf(&mut host, &["c0", "c1", "c2"]);
    for _ in 0..2 {
        while node.parent().is_none() {
            let due = node.due();
            node.tick(due, &mut host);
            node.parent_up(due, &mut host);
        }
        while node.parent().is_some() {
            node.tick(node.due(), &mut host);
        }
    }
    let due = node.due();
    node.tick(due, &mut host);
    node.parent_up(due, &mut host);
    node.told(due, Down::Full, &mut host);
    node.tick(node.due(), &mut host);
    check(
        &mut host,
        expect![[r#"
            dial c0
            up: p0 subscribes with 0.0
            up: 0.0 at 1
            up: 0.0 at 1
            hang up
            dial c2
            up: p0 subscribes with 0.0
            up: 0.0 at 1
            up: 0.0 at 1
            up: 0.0 at 1
            up: 0.0 at 1
            hang up
            dial c1
            up: p0 subscribes with 0.0
            up: 0.0 at 1
            hang up
            dial c0
        "#]],
    );
}

#[test]
fn whoever_lags_is_late_and_whoever_goes_is_lost_for_a_minute() {
    let mut host = acts();
    let mut node = root(&mut host);
    for (child, name) in [(1, "p1"), (2, "p2")] {
        node.child_up(0, child, &mut host);
        node.child_said(0, child, subscribe(name, version(0)), &mut host);
        node.child_said(0, child, sum(if child == 1 { 1 } else { 0 }), &mut host);
        // Its digest differs, so it is sent the whole set, once.
        for _ in 0..3 {
            node.child_said(0, child, Up::Holds { version: version(1), digest: 0 }, &mut host);
        }
    }
    let mut said = String::new();
    for (at, what) in [(2, ""), (3, ""), (4, "p2 goes"), (63, ""), (65, "")] {
        if !what.is_empty() {
            node.child_lost(at * SECOND, 2, &mut host);
        }
        if at > 4 {
            node.child_said(at * SECOND, 1, sum(1), &mut host);
        }
        said += &format!("{at} s: {}\n", summed(&node.sum(at * SECOND)));
    }
    expect![[r#"
        2 s: 1.0 at 3
        3 s: 1.1 at 3, but p2 Late
        4 s: 1.1 at 3, but p2 Lost { attachment: 1 }
        63 s: 1.1 at 3, but p2 Lost { attachment: 1 }
        65 s: 1.1 at 2
    "#]]
    .assert_eq(&said);
}

/// A relay that lost a child, and under whom it had arrived before, may come after that child: what the relay then says
/// of both is older than the child's own link.
#[test]
fn whoever_is_a_child_here_is_not_lost_by_another() {
    let mut host = acts();
    let mut node = root(&mut host);
    let relay = Sum { arrived: vec![link("p1", 1)], ..sum_of_relay(Some(("p1", 1))) };
    for (child, name, number, said) in [(1, "p1", 2, sum(1)), (2, "r1", 1, Up::Sum(relay))] {
        node.child_up(0, child, &mut host);
        node.child_said(0, child, subscribe_again(name, number, version(1)), &mut host);
        node.child_said(0, child, said, &mut host);
    }
    let mut said = format!("{}\n", summed(&node.sum(SECOND)));
    // Once its link is gone it is lost, and counts once.
    node.child_lost(SECOND, 1, &mut host);
    said += &summed(&node.sum(SECOND));
    expect![[r#"
        1.1 at 3
        1.1 at 3, but p1 Lost { attachment: 2 }"#]]
    .assert_eq(&said);
}

/// What a relay with one child says, which it has lost or has.
fn sum_of_relay(lost: Option<(&str, u64)>) -> Sum {
    let exception = |(name, number): (&str, u64)| Exception {
        who: link(name, number).member,
        in_force: version(0),
        why: Why::Lost { attachment: number },
    };
    let exceptions = lost.into_iter().map(exception).collect();
    Sum { in_force: version(1), members: 2, exceptions, ..Sum::default() }
}

/// A member moves from one relay to another and back while each of the two tells what it saw before: in whatever order
/// that comes, nobody who lives is named as lost.
#[test]
fn news_of_a_member_that_moves_may_cross() {
    let came = |number: u64| Sum { arrived: vec![link("p1", number)], ..sum_of_relay(None) };
    let lost = |number: u64| sum_of_relay(Some(("p1", number)));
    let gone = Sum { members: 1, ..sum_of_relay(None) };
    // By which relay, and what it says; p1 lives at the relay of its last link.
    let stories = [
        vec![(1, came(1)), (2, came(2)), (1, lost(1))],
        vec![(1, came(1)), (1, lost(1)), (2, came(2))],
        vec![(1, came(1)), (2, came(2)), (1, came(3)), (2, lost(2))],
        vec![(1, came(1)), (1, came(3)), (2, came(2)), (2, lost(2))],
        vec![(1, came(3)), (2, lost(2)), (2, gone)],
    ];
    for story in stories {
        let mut host = acts();
        let mut node = root(&mut host);
        for (child, name) in [(1, "r1"), (2, "r2")] {
            node.child_up(0, child, &mut host);
            node.child_said(0, child, subscribe(name, version(1)), &mut host);
        }
        for (child, said) in &story {
            node.child_said(SECOND, *child, Up::Sum(said.clone()), &mut host);
        }
        let exceptions = node.sum(2 * SECOND).exceptions;
        assert_eq!(exceptions, [], "{story:#?}");
    }
}

/// A child goes to a relay: its arrival there is told before the end of its own link is seen here.
#[test]
fn the_end_of_a_link_may_be_seen_after_the_next_one_came_up() {
    let mut host = acts();
    let mut node = root(&mut host);
    let relay = Sum { arrived: vec![link("p1", 2)], ..sum_of_relay(None) };
    for (child, name, said) in [(1, "p1", sum(1)), (2, "r1", Up::Sum(relay))] {
        node.child_up(0, child, &mut host);
        node.child_said(0, child, subscribe(name, version(1)), &mut host);
        node.child_said(0, child, said, &mut host);
    }
    node.child_lost(SECOND, 1, &mut host);
    assert_eq!(summed(&node.sum(SECOND)), "1.1 at 3");
    // Lost there too, it is lost.
    node.child_said(SECOND, 2, Up::Sum(sum_of_relay(Some(("p1", 2)))), &mut host);
    assert_eq!(summed(&node.sum(SECOND)), "1.1 at 3, but p1 Lost { attachment: 2 }");
}

/// A publisher that dies was nobody's child: the next one names it all the same, until it is there.
#[test]
fn a_control_machine_that_nobody_hears_is_named() {
    let mut host = acts();
    let mut at = terms("c0", "s0", true, false, vec![]);
    at.control_machines = vec!["c1".into()];
    let mut node = Node::start(0, at, None, &mut host);
    node.root_is(0, Some("c0"), &mut host);
    let mut said = format!("{}\n", summed(&node.sum(SECOND)));
    node.child_up(SECOND, 1, &mut host);
    node.child_said(SECOND, 1, subscribe("c1", version(0)), &mut host);
    said += &summed(&node.sum(SECOND));
    expect![[r#"
        0.0 at 2, but c1 Lost { attachment: 0 }
        0.0 at 1"#]]
    .assert_eq(&said);
}

#[test]
fn the_absurd_is_not_believed() {
    let mut host = acts();
    let mut node = root(&mut host);
    node.child_up(0, 1, &mut host);
    let future = Version { epoch: 9, number: u64::MAX };
    node.child_said(0, 1, subscribe("p1", future), &mut host);
    let claim = Sum { in_force: future, members: u32::MAX, unnamed: u32::MAX, ..Sum::default() };
    node.child_said(0, 1, Up::Sum(claim), &mut host);
    node.child_said(0, 1, Up::Took, &mut host);
    let said = node.sum(0);
    assert_eq!((said.in_force, said.members), (version(1), u32::MAX));
    // Who sends parts without an end is left.
    let mut node = leaf(&mut host, &["c0"]);
    node.tick(node.due(), &mut host);
    node.parent_up(0, &mut host);
    let mut parts = 0;
    while node.parent().is_some() {
        let part = resource(Scope::Fleet, &format!("n{parts}"), 1, &"x".repeat(60_000));
        let (after, version) = (Version::default(), version(1));
        node.told(
            0,
            Down::Delta { after, version, whole: true, last: false, cut: false, resources: vec![part] },
            &mut host,
        );
        parts += 1;
    }
    assert_eq!((parts, node.holds()), (70, Version::default()));
}
