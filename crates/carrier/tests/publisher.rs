//! Traces the calls that a publisher makes to its host, one by one.

mod common;

use common::{PublisherCall, RecordingPublisherHost, SECOND};
use expect_test::{Expect, expect};
use pumicebay_carrier::*;

fn change(name: &str, patch: &str) -> Change {
    Change { scope: Scope::Fleet, name: name.into(), patch: Some(patch.into()) }
}

fn version(epoch: u64, number: u64) -> Version {
    Version { epoch, number }
}

/// Compares the calls since the last check with the expected ones, a line each; epoch 7 is left out.
fn check(host: &mut RecordingPublisherHost, expected: Expect) {
    let line = |call: PublisherCall| match call {
        PublisherCall::ReadRecord => "read".into(),
        PublisherCall::WriteRecord(text, version) => {
            let text = text.replace("{\"epoch\":7,\"number\":", "{").replace('"', "");
            format!("write over {version}: {}", text.chars().take(160).collect::<String>())
        }
        PublisherCall::Publish(version, resources) => {
            format!("publish {version}: {} resources", resources.len())
        }
        PublisherCall::Answer(number, outcome) => format!("answer {number}: {outcome:?}"),
        PublisherCall::ReleaseLease => "release lease".into(),
    };
    expected.assert_eq(&host.calls.drain(..).map(|call| line(call) + "\n").collect::<String>());
}

/// The text of the last write to the record.
fn last_written(host: &RecordingPublisherHost) -> String {
    let text = host.calls.iter().rev().find_map(|call| match call {
        PublisherCall::WriteRecord(text, _) => Some(text.clone()),
        _ => None,
    });
    text.unwrap()
}

/// A publisher that has written version 1 of epoch 7 into an empty record.
fn ready(host: &mut RecordingPublisherHost) -> Publisher {
    let mut publisher = Publisher::start(0, host);
    publisher.record_read(0, 7, None, Version::default(), host);
    publisher.record_written(0, WriteOutcome::Committed(10), host);
    host.calls.clear();
    publisher
}

#[test]
fn changes_are_settled_in_batches_and_leave_the_record_once_confirmed() {
    let mut host = RecordingPublisherHost::default();
    let mut publisher = Publisher::start(0, &mut host);
    publisher.record_read(0, 7, None, Version::default(), &mut host);
    publisher.propose(0, 1, vec![change("a", "{}")], &mut host);
    publisher.record_written(0, WriteOutcome::Committed(10), &mut host);
    publisher.propose(0, 2, vec![change("b", "{}")], &mut host);
    publisher.propose(0, 3, vec![change("a", "{\"x\":1}"), change("c", "{}")], &mut host);
    publisher.record_written(0, WriteOutcome::Committed(11), &mut host);
    publisher.majority_persisted(0, version(7, 2), &mut host);
    publisher.record_written(0, WriteOutcome::Committed(12), &mut host);
    publisher.propose(0, 4, vec![change("d", "{}")], &mut host);
    check(
        &mut host,
        expect![[r#"
        read
        publish 0.0: 0 resources
        write over 0: {version:{1},base:{epoch:0,number:0},changes:[]}
        publish 7.1: 0 resources
        write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}}]}
        publish 7.2: 1 resources
        answer 1: Settled(Version { epoch: 7, number: 2 })
        write over 11: {version:{4},base:{epoch:0,number:0},changes:[{scope:Fleet,name:b,version:{3},patch:{}},{scope:Fleet,name:a,version:{4},patch:{\x\:1}},{scope:Fleet,name:c,versi
        publish 7.4: 3 resources
        answer 2: Settled(Version { epoch: 7, number: 3 })
        answer 3: Settled(Version { epoch: 7, number: 4 })
        write over 12: {version:{5},base:{2},changes:[{scope:Fleet,name:b,version:{3},patch:{}},{scope:Fleet,name:a,version:{4},patch:{\x\:1}},{scope:Fleet,name:c,version:{4},patch:{}
    "#]],
    );
}

#[test]
fn after_a_write_of_unknown_outcome_the_record_is_read_first() {
    let mut host = RecordingPublisherHost::default();
    let mut publisher = ready(&mut host);
    let empty = "{\"version\":{\"epoch\":7,\"number\":1},\"base\":{\"epoch\":0,\"number\":0},\"changes\":[]}";
    publisher.propose(0, 1, vec![change("a", "{}")], &mut host);
    let text = last_written(&host);
    publisher.record_written(0, WriteOutcome::Unknown, &mut host);
    publisher.propose(0, 2, vec![change("b", "{}")], &mut host);
    publisher.record_read_failed(0, &mut host);
    assert_eq!(publisher.due(), SECOND / 4);
    publisher.tick(publisher.due(), &mut host);
    // The record does not have the value: the same write is sent again. Then the record has it.
    publisher.record_read(0, 7, Some((empty, 10)), version(7, 1), &mut host);
    publisher.record_written(0, WriteOutcome::Refused, &mut host);
    publisher.record_read(0, 7, Some((&text, 11)), version(7, 1), &mut host);
    check(
        &mut host,
        expect![[r#"
        write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}}]}
        read
        read
        write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}}]}
        read
        answer 1: Settled(Version { epoch: 7, number: 2 })
        publish 7.2: 1 resources
        write over 11: {version:{3},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}},{scope:Fleet,name:b,version:{3},patch:{}}]}
    "#]],
    );
    // The next write does not reach the record, and the lease is lost.
    publisher.record_written(0, WriteOutcome::Unknown, &mut host);
    publisher.record_read(0, 7, Some((&text, 11)), version(7, 2), &mut host);
    publisher.record_written(0, WriteOutcome::Refused, &mut host);
    publisher.record_read(0, 7, Some((&text, 11)), version(7, 2), &mut host);
    publisher.propose(0, 3, vec![change("c", "{}")], &mut host);
    check(
        &mut host,
        expect![[r#"
        read
        write over 11: {version:{3},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}},{scope:Fleet,name:b,version:{3},patch:{}}]}
        read
        answer 2: Unknown
        release lease
        answer 3: Refused("the lease `carrier` was lost, or another process wrote the record")
    "#]],
    );
}

#[test]
fn a_publisher_that_may_not_publish_releases_the_lease() {
    let mut host = RecordingPublisherHost::default();
    let mut publisher = ready(&mut host);
    publisher.propose(0, 1, vec![change("a", "{}")], &mut host);
    publisher.propose(0, 2, vec![change("b", "{}")], &mut host);
    publisher.record_written(0, WriteOutcome::Refused, &mut host);
    check(
        &mut host,
        expect![[r#"
        write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}}]}
        answer 1: Refused("this process no longer publishes: the lease `carrier` was lost, or another process wrote the record")
        answer 2: Refused("this process no longer publishes: the lease `carrier` was lost, or another process wrote the record")
        release lease
    "#]],
    );
    for (text, held) in [
        (
            "{\"version\":{\"epoch\":7,\"number\":9},\"base\":{\"epoch\":7,\"number\":5},\"changes\":[]}",
            version(7, 4),
        ),
        ("not written by us", version(7, 4)),
        (
            "{\"version\":{\"epoch\":7,\"number\":9},\"base\":{\"epoch\":7,\"number\":5},\"changes\":[]}",
            version(8, 1),
        ),
        (
            "{\"version\":{\"epoch\":7,\"number\":18446744073709551615},\"base\":{\"epoch\":7,\"number\":5},\"changes\":[]}",
            version(7, 9),
        ),
    ] {
        let mut publisher = Publisher::start(0, &mut host);
        publisher.propose(0, 3, vec![change("a", "{}")], &mut host);
        publisher.record_read(0, 7, Some((text, 10)), held, &mut host);
    }
    check(
        &mut host,
        expect![[r#"
            read
            answer 3: Refused("this process holds version 7.4, but the record only has changes after 7.5")
            release lease
            read
            answer 3: Refused("cannot parse the record's value `carrier`: expected ident at line 1 column 2")
            release lease
            read
            answer 3: Refused("this process holds version 8.1, of a later epoch than the record's epoch 7")
            release lease
            read
            answer 3: Refused("no version numbers are left after 7.18446744073709551615 in the record and 7.9 here")
            release lease
        "#]],
    );
}

#[test]
fn a_new_record_gets_a_version_above_all_others() {
    let mut host = RecordingPublisherHost::default();
    let mut publisher = Publisher::start(0, &mut host);
    let text = "{\"version\":{\"epoch\":6,\"number\":9},\"base\":{\"epoch\":6,\"number\":8},\"changes\":\
                [{\"scope\":\"Fleet\",\"name\":\"a\",\"version\":{\"epoch\":6,\"number\":9},\"patch\":\"{}\"}]}";
    publisher.record_read(0, 7, Some((text, 10)), version(6, 11), &mut host);
    check(
        &mut host,
        expect![[r#"
        read
        publish 6.9: 1 resources
        write over 10: {version:{12},base:{epoch:6,number:8},changes:[{scope:Fleet,name:a,version:{epoch:6,number:9},patch:{}}]}
    "#]],
    );
}

#[test]
fn invalid_or_too_many_changes_are_refused_with_a_reason() {
    let mut host = RecordingPublisherHost::default();
    let mut publisher = ready(&mut host);
    let long = format!("{{\"x\":\"{}\"}}", "y".repeat(12_000));
    let too_long = format!("{{\"x\":\"{}\"}}", "y".repeat(16_400));
    publisher.propose(0, 1, vec![change(&"n".repeat(201), "{}")], &mut host);
    publisher.propose(0, 2, vec![change("a", "[1]")], &mut host);
    publisher.propose(0, 3, vec![change("a", &too_long)], &mut host);
    publisher.propose(0, 4, vec![change("a", &long), change("b", &long), change("c", &long)], &mut host);
    publisher.propose(0, 5, vec![change("a", "{}"); 1_025], &mut host);
    check(
        &mut host,
        expect![[r#"
        answer 1: Refused("the name `nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn` has 201 bytes, 1 to 200 are allowed")
        answer 2: Refused("the patch of `a` for fleet is not a JSON object: invalid type: sequence, expected a map at line 1 column 0")
        answer 3: Refused("the patch of `a` for fleet has 16408 bytes, 16384 at most are allowed")
        answer 4: Refused("the changes take 36369 bytes of the record, 24576 at most are allowed")
        answer 5: Refused("at most 1024 changes may wait to be written")
    "#]],
    );
    // Two changes fill the record; the third waits five seconds for a majority to have them on disk.
    for (number, name) in [(6, "a"), (7, "b"), (8, "c")] {
        publisher.propose(SECOND, number, vec![change(name, &long)], &mut host);
        publisher.record_written(SECOND, WriteOutcome::Committed(10 + number), &mut host);
    }
    assert_eq!(publisher.due(), 6 * SECOND);
    publisher.tick(6 * SECOND, &mut host);
    publisher.propose(7 * SECOND, 9, vec![change("d", &long)], &mut host);
    publisher.majority_persisted(8 * SECOND, version(7, 2), &mut host);
    publisher.propose(8 * SECOND, 10, vec![change("d", &long)], &mut host);
    check(
        &mut host,
        expect![[r#"
            write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{\x\:\yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy
            publish 7.2: 1 resources
            answer 6: Settled(Version { epoch: 7, number: 2 })
            write over 16: {version:{3},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{\x\:\yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy
            publish 7.3: 1 resources
            answer 7: Settled(Version { epoch: 7, number: 3 })
            answer 8: Refused("the record is full: it has room for 32768 bytes of changes that are not yet on the disks of a majority of the control machines")
            answer 9: Refused("the record is full: it has room for 32768 bytes of changes that are not yet on the disks of a majority of the control machines")
            write over 17: {version:{4},base:{2},changes:[{scope:Fleet,name:b,version:{3},patch:{\x\:\yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy
        "#]],
    );
}
