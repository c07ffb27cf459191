//! Traces the calls that a tree node makes to its host, one by one, on its main paths.

mod common;

use common::{HostCall, MS, RecordingHost, Rng, SECOND, node_config};
use expect_test::{Expect, expect};
use pumicebay_carrier::*;

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

fn resource(scope: Scope, name: &str, number: u64, patch: &str) -> Resource {
    Resource { scope, name: name.into(), version: version(number), patch: Some(patch.into()) }
}

fn recording_host() -> RecordingHost {
    RecordingHost { calls: Vec::new(), rng: Rng(1) }
}

/// The calls since the last trace, one a line, without digests.
fn trace(host: &mut RecordingHost) -> String {
    let line = |call: HostCall| match call {
        HostCall::ConnectParent(name) => format!("connect to {name}"),
        HostCall::DisconnectParent => "disconnect from parent".into(),
        HostCall::SendToParent(ChildMessage::Subscribe { attachment, version, .. }) => {
            format!("up: {} subscribes with {version}", attachment.member.name)
        }
        HostCall::SendToParent(ChildMessage::Holds { version, .. }) => format!("up: holds {version}"),
        HostCall::SendToParent(ChildMessage::PartAck) => "up: part acknowledged".into(),
        HostCall::SendToParent(ChildMessage::Persisted(version)) => format!("up: {version} is on disk"),
        HostCall::SendToParent(ChildMessage::Summary(summary)) => {
            format!("up: {}", describe_summary(&summary))
        }
        HostCall::SendToChild(child, ParentMessage::Heartbeat { version, age, .. }) => {
            let age = if age == Nanos::MAX { "unknown".into() } else { format!("{} ms", age / MS) };
            format!("to {child}: heartbeat {version}, age {age}")
        }
        HostCall::SendToChild(
            child,
            ParentMessage::Delta { after, version, full_set, last, truncated, resources },
        ) => {
            let flags = [(full_set, " full set"), (last, " last"), (truncated, " truncated")];
            let flags: String = flags.iter().filter(|(set, _)| *set).map(|(_, flag)| *flag).collect();
            let names: Vec<String> =
                resources.iter().map(|resource| format!("{} {}", resource.scope, resource.name)).collect();
            format!("to {child}: {after} to {version}{flags}: {}", names.join(", "))
        }
        HostCall::SendToChild(child, ParentMessage::AtCapacity) => format!("to {child}: at capacity"),
        HostCall::DisconnectChild(child) => format!("disconnect {child}"),
        HostCall::Apply(version, resources) => {
            let names: Vec<String> =
                resources.iter().map(|resource| format!("{}@{}", resource.name, resource.version)).collect();
            format!("apply {version}: {}", names.join(", "))
        }
        HostCall::Persist(snapshot) => format!("persist {}", snapshot.version),
    };
    host.calls.drain(..).map(|call| line(call) + "\n").collect()
}

/// A summary in one line: its version, the number of members, and the exceptions.
fn describe_summary(summary: &Summary) -> String {
    let exceptions: Vec<String> = summary
        .exceptions
        .iter()
        .map(|exception| format!("{} {:?}", exception.member.name, exception.kind))
        .collect();
    format!(
        "{} at {}{}{}",
        summary.in_force,
        summary.members,
        if exceptions.is_empty() { "" } else { ", but " },
        exceptions.join(", ")
    )
}

/// Compares the calls since the last trace with the expected ones.
fn check(host: &mut RecordingHost, expected: Expect) {
    expected.assert_eq(&trace(host));
}

/// A subscription by the first link of a proxy.
fn subscribe(name: &str, version: Version) -> ChildMessage {
    subscribe_by_link(name, 1, version)
}

/// The link of a member in its first incarnation.
fn link(name: &str, number: u64) -> Attachment {
    Attachment { member: Member { name: name.into(), incarnation: 1 }, number }
}

fn subscribe_by_link(name: &str, number: u64, version: Version) -> ChildMessage {
    let attachment = link(name, number);
    let location = node_config(name, "s0", false, false, vec![]).location;
    ChildMessage::Subscribe {
        attachment,
        interest: Interest::Proxy(location, name.into()),
        version,
        digest: 0,
    }
}

/// The summary of a proxy that has this version in force.
fn summary_message(number: u64) -> ChildMessage {
    ChildMessage::Summary(Summary { in_force: version(number), members: 1, ..Summary::default() })
}

/// A root that holds version 1: one resource for the fleet.
fn root(host: &mut RecordingHost) -> TreeNode {
    let mut node = TreeNode::start(0, node_config("c0", "s0", true, false, vec![]), None, host);
    node.set_root(0, Some("c0"), host);
    node.publish(0, version(1), vec![resource(Scope::Fleet, "a", 1, "{}")], host);
    node.applied(0, version(1), vec![], host);
    node.persisted(0, version(1), host);
    trace(host);
    node
}

/// A proxy with one tier of parent candidates.
fn proxy(host: &mut RecordingHost, candidates: &[&str]) -> TreeNode {
    let tier = candidates.iter().map(|name| name.to_string()).collect();
    TreeNode::start(0, node_config("p0", "s0", false, false, vec![tier]), None, host)
}

#[test]
fn a_child_receives_a_delta_part_by_part() {
    let mut host = recording_host();
    let mut node = root(&mut host);
    node.publish(0, version(2), vec![resource(Scope::Fleet, "b", 2, &"x".repeat(1_500))], &mut host);
    node.child_connected(SECOND, 7, &mut host);
    node.child_message(SECOND, 7, subscribe("p0", Version::default()), &mut host);
    node.tick(SECOND + MS, &mut host);
    node.child_message(SECOND + MS, 7, ChildMessage::PartAck, &mut host);
    node.child_message(SECOND + MS, 7, ChildMessage::Holds { version: version(2), digest: 1 }, &mut host);
    check(
        &mut host,
        expect![[r#"
        apply 1.2: a@1.1, b@1.2
        to 7: 0.0 to 1.2 full set truncated: fleet a, fleet b
        to 7: heartbeat 1.2, age 0 ms
        persist 1.2
        to 7: 0.0 to 1.2 full set last: fleet b
        to 7: heartbeat 1.2, age 0 ms
    "#]],
    );
}

#[test]
fn a_version_without_changes_for_a_child_comes_by_an_early_heartbeat() {
    let mut host = recording_host();
    let mut node = root(&mut host);
    node.child_connected(0, 7, &mut host);
    node.child_message(0, 7, subscribe("p0", version(1)), &mut host);
    let digest = host.calls.iter().find_map(|call| match call {
        HostCall::SendToChild(_, ParentMessage::Heartbeat { digest, .. }) => Some(*digest),
        _ => None,
    });
    node.child_message(0, 7, ChildMessage::Holds { version: version(1), digest: digest.unwrap() }, &mut host);
    trace(&mut host);
    node.publish(50 * MS, version(2), vec![resource(Scope::Site("s9".into()), "b", 2, "{}")], &mut host);
    assert_eq!(node.due(), 250 * MS);
    node.tick(250 * MS, &mut host);
    check(
        &mut host,
        expect![[r#"
        to 7: heartbeat 1.2, age 0 ms
        persist 1.2
    "#]],
    );
}

#[test]
fn a_proxy_applies_deltas_and_reports_refusals() {
    let mut host = recording_host();
    let mut node = proxy(&mut host, &["c0"]);
    node.tick(node.due(), &mut host);
    node.parent_connected(SECOND, &mut host);
    let delta = |after, number, resources| ParentMessage::Delta {
        after: version(after),
        version: version(number),
        full_set: after == 0,
        last: true,
        truncated: false,
        resources,
    };
    node.parent_message(SECOND, delta(0, 1, vec![resource(Scope::Fleet, "a", 1, "{}")]), &mut host);
    node.parent_message(SECOND, delta(1, 2, vec![resource(Scope::Fleet, "a", 2, "{\"bad\":1}")]), &mut host);
    node.applied(2 * SECOND, version(1), vec![], &mut host);
    node.applied(2 * SECOND, version(2), vec![(Scope::Fleet, "a".into(), "no".into())], &mut host);
    node.tick(2 * SECOND + 250 * MS, &mut host);
    node.parent_message(3 * SECOND, delta(0, 1, vec![resource(Scope::Fleet, "a", 1, "{}")]), &mut host);
    node.parent_message(3 * SECOND, delta(2, 3, vec![resource(Scope::Fleet, "b", 3, "{}")]), &mut host);
    check(
        &mut host,
        expect![[r#"
        connect to c0
        up: p0 subscribes with 0.0
        up: 0.0 at 1
        apply 1.1: a@1.1
        persist 1.1
        up: holds 1.1
        up: holds 1.2
        apply 1.2: a@1.2
        up: 1.1 at 1
        up: 1.2 at 1, but p0 Refused { scope: Fleet, resource: "a", version: Version { epoch: 1, number: 2 }, reason: "no" }
        up: holds 1.2
        apply 1.3: a@1.1, b@1.3
        up: holds 1.3
    "#]],
    );
}

#[test]
fn the_last_good_version_survives_a_restart() {
    let mut host = recording_host();
    let last_good = vec![resource(Scope::Fleet, "a", 1, "{}")];
    let resources = vec![resource(Scope::Fleet, "a", 2, "{\"bad\":1}")];
    let snapshot = Snapshot { version: version(2), resources, last_good, ..Snapshot::default() };
    let mut node =
        TreeNode::start(0, node_config("p0", "s0", false, false, vec![]), Some(snapshot), &mut host);
    node.applied(0, version(2), vec![(Scope::Fleet, "a".into(), "no".into())], &mut host);
    node.applied(0, version(2), vec![], &mut host);
    check(
        &mut host,
        expect![[r#"
        apply 1.2: a@1.2
        apply 1.2: a@1.1
    "#]],
    );
    let refusal =
        "Refused { scope: Fleet, resource: \"a\", version: Version { epoch: 1, number: 2 }, reason: \"no\" }";
    assert_eq!(describe_summary(&node.summary(0)), format!("1.2 at 1, but p0 {refusal}"));
}

#[test]
fn a_silent_or_full_parent_is_replaced_by_the_next_candidate() {
    let mut host = recording_host();
    let mut node = proxy(&mut host, &["c0", "c1", "c2"]);
    for _ in 0..2 {
        while node.parent().is_none() {
            let due = node.due();
            node.tick(due, &mut host);
            node.parent_connected(due, &mut host);
        }
        while node.parent().is_some() {
            node.tick(node.due(), &mut host);
        }
    }
    let due = node.due();
    node.tick(due, &mut host);
    node.parent_connected(due, &mut host);
    node.parent_message(due, ParentMessage::AtCapacity, &mut host);
    node.tick(node.due(), &mut host);
    check(
        &mut host,
        expect![[r#"
            connect to c0
            up: p0 subscribes with 0.0
            up: 0.0 at 1
            up: 0.0 at 1
            disconnect from parent
            connect to c2
            up: p0 subscribes with 0.0
            up: 0.0 at 1
            up: 0.0 at 1
            up: 0.0 at 1
            up: 0.0 at 1
            disconnect from parent
            connect to c1
            up: p0 subscribes with 0.0
            up: 0.0 at 1
            disconnect from parent
            connect to c0
        "#]],
    );
}

#[test]
fn a_lagging_member_is_late_and_a_disconnected_one_is_lost_for_a_minute() {
    let mut host = recording_host();
    let mut node = root(&mut host);
    for (child, name) in [(1, "p1"), (2, "p2")] {
        node.child_connected(0, child, &mut host);
        node.child_message(0, child, subscribe(name, version(0)), &mut host);
        node.child_message(0, child, summary_message(if child == 1 { 1 } else { 0 }), &mut host);
        // Its digest differs, so it is sent the full set, but only once.
        for _ in 0..3 {
            node.child_message(0, child, ChildMessage::Holds { version: version(1), digest: 0 }, &mut host);
        }
    }
    let mut descriptions = String::new();
    for (seconds, event) in [(2, ""), (3, ""), (4, "p2 disconnects"), (63, ""), (65, "")] {
        if !event.is_empty() {
            node.child_disconnected(seconds * SECOND, 2, &mut host);
        }
        if seconds > 4 {
            node.child_message(seconds * SECOND, 1, summary_message(1), &mut host);
        }
        descriptions += &format!("{seconds} s: {}\n", describe_summary(&node.summary(seconds * SECOND)));
    }
    expect![[r#"
        2 s: 1.0 at 3
        3 s: 1.1 at 3, but p2 Late
        4 s: 1.1 at 3, but p2 Lost { attachment: 1 }
        63 s: 1.1 at 3, but p2 Lost { attachment: 1 }
        65 s: 1.1 at 2
    "#]]
    .assert_eq(&descriptions);
}

/// Guards against listing a connected child as lost: a relay that lost a child, and to which the child had
/// come before, may connect here after that child. What the relay then reports of the child is older than the
/// child's own link.
#[test]
fn a_connected_child_is_not_listed_as_lost_by_its_former_parent() {
    let mut host = recording_host();
    let mut node = root(&mut host);
    let relay = Summary { arrived: vec![link("p1", 1)], ..relay_summary(Some(("p1", 1))) };
    for (child, name, number, message) in
        [(1, "p1", 2, summary_message(1)), (2, "r1", 1, ChildMessage::Summary(relay))]
    {
        node.child_connected(0, child, &mut host);
        node.child_message(0, child, subscribe_by_link(name, number, version(1)), &mut host);
        node.child_message(0, child, message, &mut host);
    }
    let mut descriptions = format!("{}\n", describe_summary(&node.summary(SECOND)));
    // Once its link is lost, the child is listed as lost and counted once.
    node.child_disconnected(SECOND, 1, &mut host);
    descriptions += &describe_summary(&node.summary(SECOND));
    expect![[r#"
        1.1 at 3
        1.1 at 3, but p1 Lost { attachment: 2 }"#]]
    .assert_eq(&descriptions);
}

/// The summary of a relay with one child, which is connected or lost.
fn relay_summary(lost: Option<(&str, u64)>) -> Summary {
    let exception = |(name, number): (&str, u64)| Exception {
        member: link(name, number).member,
        in_force: version(0),
        kind: ExceptionKind::Lost { attachment: number },
    };
    let exceptions = lost.into_iter().map(exception).collect();
    Summary { in_force: version(1), members: 2, exceptions, ..Summary::default() }
}

/// Guards against listing a running member as lost while it moves from one relay to another and back: each
/// relay reports what it saw, and the reports may arrive in any order.
#[test]
fn reports_about_a_moving_member_may_arrive_in_any_order() {
    let arrived_by = |number: u64| Summary { arrived: vec![link("p1", number)], ..relay_summary(None) };
    let lost = |number: u64| relay_summary(Some(("p1", number)));
    let left = Summary { members: 1, ..relay_summary(None) };
    // Which relay reports which summary; p1 is connected to the relay of its last link.
    let sequences = [
        vec![(1, arrived_by(1)), (2, arrived_by(2)), (1, lost(1))],
        vec![(1, arrived_by(1)), (1, lost(1)), (2, arrived_by(2))],
        vec![(1, arrived_by(1)), (2, arrived_by(2)), (1, arrived_by(3)), (2, lost(2))],
        vec![(1, arrived_by(1)), (1, arrived_by(3)), (2, arrived_by(2)), (2, lost(2))],
        vec![(1, arrived_by(3)), (2, lost(2)), (2, left)],
    ];
    for sequence in sequences {
        let mut host = recording_host();
        let mut node = root(&mut host);
        for (child, name) in [(1, "r1"), (2, "r2")] {
            node.child_connected(0, child, &mut host);
            node.child_message(0, child, subscribe(name, version(1)), &mut host);
        }
        for (child, summary) in &sequence {
            node.child_message(SECOND, *child, ChildMessage::Summary(summary.clone()), &mut host);
        }
        let exceptions = node.summary(2 * SECOND).exceptions;
        assert_eq!(exceptions, [], "{sequence:#?}");
    }
}

/// Guards against listing a child that moved to a relay as lost: the relay may report its arrival before the
/// loss of the child's own link is noticed here.
#[test]
fn the_loss_of_a_link_may_be_noticed_after_the_next_link_is_up() {
    let mut host = recording_host();
    let mut node = root(&mut host);
    let relay = Summary { arrived: vec![link("p1", 2)], ..relay_summary(None) };
    for (child, name, message) in [(1, "p1", summary_message(1)), (2, "r1", ChildMessage::Summary(relay))] {
        node.child_connected(0, child, &mut host);
        node.child_message(0, child, subscribe(name, version(1)), &mut host);
        node.child_message(0, child, message, &mut host);
    }
    node.child_disconnected(SECOND, 1, &mut host);
    assert_eq!(describe_summary(&node.summary(SECOND)), "1.1 at 3");
    // Once the relay has lost it too, it is listed as lost.
    node.child_message(SECOND, 2, ChildMessage::Summary(relay_summary(Some(("p1", 2)))), &mut host);
    assert_eq!(describe_summary(&node.summary(SECOND)), "1.1 at 3, but p1 Lost { attachment: 2 }");
}

/// Guards against forgetting a publisher that died: it was nobody's child, so no process notices the loss of
/// its link. The next publisher lists it as lost until it connects.
#[test]
fn a_control_machine_without_a_link_is_listed_as_lost() {
    let mut host = recording_host();
    let mut config = node_config("c0", "s0", true, false, vec![]);
    config.control_machines = vec!["c1".into()];
    let mut node = TreeNode::start(0, config, None, &mut host);
    node.set_root(0, Some("c0"), &mut host);
    let mut descriptions = format!("{}\n", describe_summary(&node.summary(SECOND)));
    node.child_connected(SECOND, 1, &mut host);
    node.child_message(SECOND, 1, subscribe("c1", version(0)), &mut host);
    descriptions += &describe_summary(&node.summary(SECOND));
    expect![[r#"
        0.0 at 2, but c1 Lost { attachment: 0 }
        0.0 at 1"#]]
    .assert_eq(&descriptions);
}

#[test]
fn implausible_messages_are_limited() {
    let mut host = recording_host();
    let mut node = root(&mut host);
    node.child_connected(0, 1, &mut host);
    let future = Version { epoch: 9, number: u64::MAX };
    node.child_message(0, 1, subscribe("p1", future), &mut host);
    let claim = Summary { in_force: future, members: u32::MAX, unnamed: u32::MAX, ..Summary::default() };
    node.child_message(0, 1, ChildMessage::Summary(claim), &mut host);
    node.child_message(0, 1, ChildMessage::PartAck, &mut host);
    let summary = node.summary(0);
    assert_eq!((summary.in_force, summary.members), (version(1), u32::MAX));
    // A parent that sends parts without an end is left.
    let mut node = proxy(&mut host, &["c0"]);
    node.tick(node.due(), &mut host);
    node.parent_connected(0, &mut host);
    let mut parts = 0;
    while node.parent().is_some() {
        let part = resource(Scope::Fleet, &format!("n{parts}"), 1, &"x".repeat(60_000));
        let (after, version) = (Version::default(), version(1));
        node.parent_message(
            0,
            ParentMessage::Delta {
                after,
                version,
                full_set: true,
                last: false,
                truncated: false,
                resources: vec![part],
            },
            &mut host,
        );
        parts += 1;
    }
    assert_eq!((parts, node.version()), (70, Version::default()));
}
