//! What a publisher asks for, call by call.

mod common;

use common::{Ask, Asked, SECOND};
use expect_test::{Expect, expect};
use pumicebay_carrier::*;

fn change(name: &str, patch: &str) -> Change {
    Change { scope: Scope::Fleet, name: name.into(), patch: Some(patch.into()) }
}

fn version(epoch: u64, number: u64) -> Version {
    Version { epoch, number }
}

fn check(host: &mut Asked, expected: Expect) {
    let line = |ask: Ask| match ask {
        Ask::Read => "read".into(),
        Ask::Write(text, version) => {
            let text = text.replace("{\"epoch\":7,\"number\":", "{").replace('"', "");
            format!("write over {version}: {}", text.chars().take(160).collect::<String>())
        }
        Ask::Publish(version, resources) => format!("publish {version}: {} resources", resources.len()),
        Ask::Answer(number, outcome) => format!("answer {number}: {outcome:?}"),
        Ask::GiveBack => "give back".into(),
    };
    expected.assert_eq(&host.acts.drain(..).map(|ask| line(ask) + "\n").collect::<String>());
}

fn written(host: &Asked) -> String {
    let text = host.acts.iter().rev().find_map(|ask| match ask {
        Ask::Write(text, _) => Some(text.clone()),
        _ => None,
    });
    text.unwrap()
}

/// Of an empty record that was founded as 7, at its version 1.
fn ready(host: &mut Asked) -> Publisher {
    let mut publisher = Publisher::start(0, host);
    publisher.read(0, 7, None, Version::default(), host);
    publisher.written(0, Written::Done(10), host);
    host.acts.clear();
    publisher
}

#[test]
fn changes_are_settled_in_batches_and_leave_once_confirmed() {
    let mut host = Asked::default();
    let mut publisher = Publisher::start(0, &mut host);
    publisher.read(0, 7, None, Version::default(), &mut host);
    publisher.offered(0, 1, vec![change("a", "{}")], &mut host);
    publisher.written(0, Written::Done(10), &mut host);
    publisher.offered(0, 2, vec![change("b", "{}")], &mut host);
    publisher.offered(0, 3, vec![change("a", "{\"x\":1}"), change("c", "{}")], &mut host);
    publisher.written(0, Written::Done(11), &mut host);
    publisher.confirmed(0, version(7, 2), &mut host);
    publisher.written(0, Written::Done(12), &mut host);
    publisher.offered(0, 4, vec![change("d", "{}")], &mut host);
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
fn an_unknown_write_is_read_before_anything_else() {
    let mut host = Asked::default();
    let mut publisher = ready(&mut host);
    let nothing =
        "{\"version\":{\"epoch\":7,\"number\":1},\"base\":{\"epoch\":0,\"number\":0},\"changes\":[]}";
    publisher.offered(0, 1, vec![change("a", "{}")], &mut host);
    let text = written(&host);
    publisher.written(0, Written::Unknown, &mut host);
    publisher.offered(0, 2, vec![change("b", "{}")], &mut host);
    publisher.read_failed(0, &mut host);
    assert_eq!(publisher.due(), SECOND / 4);
    publisher.tick(publisher.due(), &mut host);
    // It is not there: the same again. Then it is.
    publisher.read(0, 7, Some((nothing, 10)), version(7, 1), &mut host);
    publisher.written(0, Written::Refused, &mut host);
    publisher.read(0, 7, Some((&text, 11)), version(7, 1), &mut host);
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
    // The next is written by nobody, and the lease is lost.
    publisher.written(0, Written::Unknown, &mut host);
    publisher.read(0, 7, Some((&text, 11)), version(7, 2), &mut host);
    publisher.written(0, Written::Refused, &mut host);
    publisher.read(0, 7, Some((&text, 11)), version(7, 2), &mut host);
    publisher.offered(0, 3, vec![change("c", "{}")], &mut host);
    check(
        &mut host,
        expect![[r#"
        read
        write over 11: {version:{3},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}},{scope:Fleet,name:b,version:{3},patch:{}}]}
        read
        answer 2: Unknown
        give back
        answer 3: Refused("the lease `carrier` was lost, or somebody else wrote")
    "#]],
    );
}

#[test]
fn whoever_may_not_publish_gives_the_lease_back() {
    let mut host = Asked::default();
    let mut publisher = ready(&mut host);
    publisher.offered(0, 1, vec![change("a", "{}")], &mut host);
    publisher.offered(0, 2, vec![change("b", "{}")], &mut host);
    publisher.written(0, Written::Refused, &mut host);
    check(
        &mut host,
        expect![[r#"
        write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{}}]}
        answer 1: Refused("this process publishes no more: the lease `carrier` was lost, or somebody else wrote")
        answer 2: Refused("this process publishes no more: the lease `carrier` was lost, or somebody else wrote")
        give back
    "#]],
    );
    for (text, holds) in [
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
        publisher.offered(0, 3, vec![change("a", "{}")], &mut host);
        publisher.read(0, 7, Some((text, 10)), holds, &mut host);
    }
    check(
        &mut host,
        expect![[r#"
            read
            answer 3: Refused("this process holds 7.4, the record only what came after 7.5")
            give back
            read
            answer 3: Refused("the record's value `carrier` can't be read: expected ident at line 1 column 2")
            give back
            read
            answer 3: Refused("this process holds 8.1, of a later founding than 7")
            give back
            read
            answer 3: Refused("no numbers are left after 7.18446744073709551615 and 7.9")
            give back
        "#]],
    );
}

#[test]
fn a_record_founded_anew_gets_a_version_above_all_others() {
    let mut host = Asked::default();
    let mut publisher = Publisher::start(0, &mut host);
    let text = "{\"version\":{\"epoch\":6,\"number\":9},\"base\":{\"epoch\":6,\"number\":8},\"changes\":\
                [{\"scope\":\"Fleet\",\"name\":\"a\",\"version\":{\"epoch\":6,\"number\":9},\"patch\":\"{}\"}]}";
    publisher.read(0, 7, Some((text, 10)), version(6, 11), &mut host);
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
fn what_is_too_much_or_wrong_is_refused_in_words() {
    let mut host = Asked::default();
    let mut publisher = ready(&mut host);
    let long = format!("{{\"x\":\"{}\"}}", "y".repeat(12_000));
    let too_long = format!("{{\"x\":\"{}\"}}", "y".repeat(16_400));
    publisher.offered(0, 1, vec![change(&"n".repeat(201), "{}")], &mut host);
    publisher.offered(0, 2, vec![change("a", "[1]")], &mut host);
    publisher.offered(0, 3, vec![change("a", &too_long)], &mut host);
    publisher.offered(0, 4, vec![change("a", &long), change("b", &long), change("c", &long)], &mut host);
    publisher.offered(0, 5, vec![change("a", "{}"); 1_025], &mut host);
    check(
        &mut host,
        expect![[r#"
        answer 1: Refused("the name `nnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnnn` has 201 bytes, 1 to 200 are allowed")
        answer 2: Refused("the patch of `a` for fleet is no JSON object: invalid type: sequence, expected a map at line 1 column 0")
        answer 3: Refused("the patch of `a` for fleet has 16408 bytes, 16384 at most are allowed")
        answer 4: Refused("the changes take 36369 bytes of the record, 24576 at most may")
        answer 5: Refused("1024 changes at most may wait to be written")
    "#]],
    );
    // Two fill the record; the third waits for a majority to have them, five seconds.
    for (number, name) in [(6, "a"), (7, "b"), (8, "c")] {
        publisher.offered(SECOND, number, vec![change(name, &long)], &mut host);
        publisher.written(SECOND, Written::Done(10 + number), &mut host);
    }
    assert_eq!(publisher.due(), 6 * SECOND);
    publisher.tick(6 * SECOND, &mut host);
    publisher.offered(7 * SECOND, 9, vec![change("d", &long)], &mut host);
    publisher.confirmed(8 * SECOND, version(7, 2), &mut host);
    publisher.offered(8 * SECOND, 10, vec![change("d", &long)], &mut host);
    check(
        &mut host,
        expect![[r#"
            write over 10: {version:{2},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{\x\:\yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy
            publish 7.2: 1 resources
            answer 6: Settled(Version { epoch: 7, number: 2 })
            write over 16: {version:{3},base:{epoch:0,number:0},changes:[{scope:Fleet,name:a,version:{2},patch:{\x\:\yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy
            publish 7.3: 1 resources
            answer 7: Settled(Version { epoch: 7, number: 3 })
            answer 8: Refused("the record has no room: 32768 bytes of changes wait in it for a majority of the control machines to have them on disk")
            answer 9: Refused("the record has no room: 32768 bytes of changes wait in it for a majority of the control machines to have them on disk")
            write over 17: {version:{4},base:{2},changes:[{scope:Fleet,name:b,version:{3},patch:{\x\:\yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy
        "#]],
    );
}
