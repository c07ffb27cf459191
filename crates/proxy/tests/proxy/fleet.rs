//! Tests of the fleet's links, disks and configuration within one process. The lab crate tests several
//! processes together.

use crate::configuration;
use crate::operations::Folder;
use expect_test::expect;
use pumicebay::config::parse;
use pumicebay::fleet::config::FleetConfig;
use pumicebay::fleet::local_process::LocalProcess;
use pumicebay::fleet::start_command;
use pumicebay::fleet::store::{DiskContents, VoterDisk};
use pumicebay::fleet::wire::{Frame, Hello, Link, Role};
use pumicebay_accord::{
    Answer, Ballot, DurableState, Member, Message, OperationKind, ProcessId, Record, Reply, SharedRecord,
};
use serde_json::{Value as Json, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

fn sample_state() -> DurableState {
    let voters = ["a", "b", "c"].iter().zip(1..).map(|(name, store)| Member { name: (*name).into(), store });
    let record = SharedRecord(Arc::new(Record::bootstrap(77, voters.collect())));
    let ballot = Ballot { round: 3, store: 1, incarnation: 2 };
    DurableState {
        promised: ballot,
        accepted: ballot,
        record,
        write_count: 9,
        ..DurableState::empty("harbour", 1)
    }
}

/// A voter must not vote from a damaged file: a file truncated at any byte or with any bit flipped is
/// reported as corrupt.
#[test]
fn a_damaged_voter_file_is_detected() {
    let folder = Folder::new("voter");
    let disk = VoterDisk::open(&folder.0).unwrap().unwrap();
    assert!(matches!(disk.read("harbour").unwrap(), DiskContents::Empty));
    disk.write(&sample_state()).unwrap();
    assert!(matches!(disk.read("harbour").unwrap(), DiskContents::Valid(read) if *read == sample_state()));
    assert!(matches!(disk.read("other").unwrap(), DiskContents::Corrupt(_)));
    assert!(VoterDisk::open(&folder.0).unwrap().is_none(), "the folder is locked");
    let file = folder.0.join("voter");
    let whole = std::fs::read(&file).unwrap();
    let assert_corrupt = |bytes: &[u8]| {
        std::fs::write(&file, bytes).unwrap();
        assert!(matches!(disk.read("harbour").unwrap(), DiskContents::Corrupt(_)), "{bytes:?}");
    };
    for at in 0..whole.len() {
        assert_corrupt(&whole[..at]);
        for bit in 0..8 {
            let mut flipped = whole.clone();
            flipped[at] ^= 1 << bit;
            assert_corrupt(&flipped);
        }
    }
    let mut later = whole.clone();
    later[8] = 2;
    std::fs::write(&file, later).unwrap();
    let DiskContents::Corrupt(why) = disk.read("harbour").unwrap() else {
        panic!("a file of a later version was read")
    };
    expect!["format version 2 is not supported, expected 1"].assert_eq(&why);
}

fn hello(fleet: &str, name: &str) -> Hello {
    Hello::new(fleet, &ProcessId { name: name.into(), incarnation: 1 }, Role::Proxy, None)
}

/// What each end reports after exchanging hellos: the other end's id, or the error.
async fn exchange_hellos(connecting: Hello, accepting: Hello) -> (String, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let (one, two) =
        tokio::join!(Link::initiate(stream, &connecting), Link::accept(accepted, async || accepting));
    let outcome = |exchanged: anyhow::Result<(Link, Hello)>| match exchanged {
        Ok((_, hello)) => format!("met {}", hello.id),
        Err(error) => format!("{error:#}"),
    };
    (outcome(one), outcome(two))
}

#[tokio::test]
async fn refused_links_report_the_reason() {
    let (one, two) = exchange_hellos(hello("harbour", "a"), hello("harbour", "b")).await;
    expect!["met b#1, met a#1"].assert_eq(&format!("{one}, {two}"));
    let (one, two) = exchange_hellos(hello("harbour", "a"), hello("yard", "b")).await;
    expect![[r#"refused: peer a#1: belongs to fleet "harbour", expected "yard"; peer a#1: belongs to fleet "harbour", expected "yard""#]]
        .assert_eq(&format!("{one}; {two}"));
    let later = hello("harbour", "a").with_versions(7, 9);
    let (one, _) = exchange_hellos(later, hello("harbour", "b")).await;
    expect!["refused: peer a#1: supports protocol versions 7 to 9, expected 1 to 3"].assert_eq(&one);
    // A peer that supports further versions is accepted, and so is a peer from before the carrier, whichever
    // end connects.
    let (one, _) = exchange_hellos(hello("harbour", "a").with_versions(1, 9), hello("harbour", "b")).await;
    expect!["met b#1"].assert_eq(&one);
    let before = hello("harbour", "a").with_versions(1, 1);
    let (one, two) = exchange_hellos(before.clone(), hello("harbour", "b")).await;
    expect!["met b#1, met a#1"].assert_eq(&format!("{one}, {two}"));
    let (one, two) = exchange_hellos(hello("harbour", "b"), before).await;
    expect!["met a#1, met b#1"].assert_eq(&format!("{one}, {two}"));
}

/// Frames are encoded by their position in the enum, so the frames of version 1 must keep their positions.
/// Each end must know the other's versions before it sends newer frames.
#[tokio::test]
async fn frames_of_version_1_keep_their_encoding() {
    let first = [
        Frame::Heartbeat(None),
        Frame::VoterMessage(1, 2, Message::Prepare(Ballot { round: 3, store: 1, incarnation: 2 }, 4)),
        Frame::TrustDisk,
        Frame::Accepted(true),
        Frame::StatusRequest,
        Frame::Bye,
    ];
    let numbers: Vec<u8> = first.iter().map(|frame| postcard::to_stdvec(frame).unwrap()[0]).collect();
    expect!["[0, 1, 5, 6, 7, 11]"].assert_eq(&format!("{numbers:?}"));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let (connecting, accepting) = (hello("harbour", "a").with_versions(1, 1), hello("harbour", "b"));
    let (one, two) =
        tokio::join!(Link::initiate(stream, &connecting), Link::accept(accepted, async || accepting));
    let (mut one, mut two) = (one.unwrap().0, two.unwrap().0);
    assert_eq!(two.version(), 1);
    for frame in first {
        one.send(&frame).await.unwrap();
        assert_eq!(two.next().await.unwrap(), frame);
    }
    // A frame that only a later program knows can't be decoded; this ends the link and nothing else.
    let mut later = postcard::to_stdvec(&Frame::Bye).unwrap();
    later[0] = 99;
    assert!(postcard::from_bytes::<Frame>(&later).is_err());
}

/// An invalid hello, a frame that is too long and a silent peer each end the link with an error.
#[tokio::test]
async fn invalid_input_and_silence_end_a_link() {
    for (bytes, why) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], "frame size too big"),
        (&[0, 0, 0, 3, 1, 2, 3], "invalid hello"),
        (&[0, 0, 0, 9, 1], "connection closed before a hello"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (accepted, _) = listener.accept().await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let ended = Link::accept(accepted, async || hello("harbour", "b")).await.err().unwrap();
        let ended = format!("{ended:#}");
        assert!(ended.contains(why) || ended.contains("bytes remaining"), "{why}: {ended}");
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let (connecting, accepting) = (hello("harbour", "a"), hello("harbour", "b"));
    let (one, two) =
        tokio::join!(Link::initiate(stream, &connecting), Link::accept(accepted, async || accepting));
    let (mut one, mut two) = (one.unwrap().0, two.unwrap().0);
    one.send(&Frame::Heartbeat(None)).await.unwrap();
    assert_eq!(two.next().await.unwrap(), Frame::Heartbeat(None));
    assert_eq!(format!("{:#}", two.next().await.unwrap_err()), "no frame in time: deadline has elapsed");
}

/// The error for this section `fleet`, or its summary if it is valid.
fn error_or_summary(fleet: Json) -> String {
    match parse(&configuration(&[("/fleet", fleet)])) {
        Ok(config) => config.summary().lines().last().unwrap_or_default().to_string(),
        Err(error) => format!("{error:#}"),
    }
}

#[test]
fn errors_name_the_wrong_key_of_section_fleet() {
    let voters = json!({"n0": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"});
    let sections = [
        json!(1),
        json!({"voters": voters}),
        json!({"name": "x", "voters": {"a": "127.0.0.1:1"}}),
        json!({"name": "x", "voters": {"a": "127.0.0.1:1", "b": "nowhere", "c": "127.0.0.1:3"}}),
        json!({"name": "x", "voters": voters}),
        json!({"name": "x", "voters": voters, "folder": "/f", "drift-ppm": 0}),
        json!({"name": "x", "voters": voters, "folder": "/f", "spares": {"b": "127.0.0.1:4"}}),
        json!({"name": "x", "voters": voters, "folder": "/f", "cautious": "yes"}),
        json!({"name": "x", "voters": voters, "folder": "/f"}),
    ];
    let text: Vec<String> = sections.into_iter().map(error_or_summary).collect();
    expect![[r#"
        fleet: expected an object, found 1
        fleet.name: missing
        fleet.voters: expected 3 or 5 voters, found 1
        fleet.voters.b: expected ADDRESS:PORT, found "nowhere"
        fleet.folder: missing, but n0 is a voter or spare
        fleet.drift-ppm: expected a number from 1 to 500000, found 0
        fleet.spares: b is already a voter
        fleet.cautious: expected true or false, found "yes"
        fleet x: may vote, 3 voters, drift 10000 ppm"#]]
    .assert_eq(&text.join("\n"));
}

#[test]
fn errors_name_the_wrong_key_of_section_carrier() {
    let voters = json!({"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"});
    let sections = [
        json!(1),
        json!({}),
        json!({"control": {"a": "nowhere"}}),
        json!({"control": {"n0": "127.0.0.1:4"}}),
        json!({"control": {"a": "127.0.0.1:1"}}),
        json!({"control": {"a": "127.0.0.1:4"}, "relays": {"a": "127.0.0.1:5"}}),
        json!({"control": {"a": "127.0.0.1:4"}, "relays": {"r": 5}}),
        json!({"control": {"a": "127.0.0.1:4"}, "site": 1}),
        json!({"control": {"a": "127.0.0.1:4"}, "listen": "here"}),
        json!({"control": {"a": "127.0.0.1:4"}, "children": 0}),
        json!({"control": {"a": "127.0.0.1:4"}, "bytes-per-second": 10}),
        json!({"control": {"a": "127.0.0.1:4"}, "relays": {"n0": "127.0.0.1:5"}, "site": "s"}),
        json!({"control": {"n0": "127.0.0.1:4"}, "folder": "/f"}),
    ];
    let all = |carrier| error_or_summary(json!({"name": "x", "voters": voters, "carrier": carrier}));
    let text: Vec<String> = sections.into_iter().map(all).collect();
    expect![[r#"
        fleet.carrier: expected an object, found 1
        fleet.carrier.control: expected 1 to 64, found 0
        fleet.carrier.control.a: expected ADDRESS:PORT, found "nowhere"
        fleet.carrier.folder: missing, and n0 is among the control machines
        fleet.carrier: a uses 127.0.0.1:1, which is already the address of a voter or spare
        fleet.carrier.relays: a is among the control machines
        fleet.carrier.relays.r: expected ADDRESS:PORT, found 5
        fleet.carrier.site: expected a text, found 1
        fleet.carrier.listen: expected ADDRESS:PORT, found "here": invalid socket address syntax
        fleet.carrier.children: expected a number from 1 to 65536, found 0
        fleet.carrier.bytes-per-second: expected a number from 1000 to 1073741824, found 10
        fleet x: has no links to voters, 3 voters, drift 10000 ppm; carrier: relay of site "s", 1 control machines, 1 relays here
        fleet x: does not vote, 3 voters, drift 10000 ppm; carrier: control machine of site "", 1 control machines, 0 relays here"#]].assert_eq(&text.join("\n"));
    let many: serde_json::Map<String, Json> =
        (0..65).map(|n| (format!("m{n}"), json!(format!("127.0.0.1:{}", 10 + n)))).collect();
    expect!["fleet.carrier.control: expected 1 to 64, found 65"].assert_eq(&all(json!({"control": many})));
}

/// A voter that accepts links and sends heartbeats but does not answer operations must not remain the first
/// choice, even for clients whose timeout is not longer than the timeout for one voter.
#[tokio::test]
async fn a_voter_that_does_not_answer_is_not_preferred() {
    let mut addresses = serde_json::Map::new();
    for (name, answers) in [("a", false), ("b", true), ("c", false)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.insert(name.into(), json!(listener.local_addr().unwrap().to_string()));
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut link = Link::accept(stream, async || hello("harbour", name)).await.unwrap().0;
            while let Ok(frame) = link.next().await {
                let response = match frame {
                    Frame::Submit(operation) if answers => {
                        Frame::Answer(Answer { id: operation.id, reply: Reply::Done })
                    }
                    _ => Frame::Heartbeat(None),
                };
                link.send(&response).await.unwrap();
            }
        });
    }
    let config =
        FleetConfig::parse(&json!({"fleet": {"name": "harbour", "voters": addresses}}), "").unwrap().unwrap();
    let mut actors = JoinSet::new();
    let voters = start_command(&LocalProcess::new("h", config.into()), &mut actors);
    let operation_timeout = Duration::from_millis(500);
    let mut replies = Vec::new();
    for _ in 0..4 {
        replies.push(voters.submit(OperationKind::TakeAway("l".into()), operation_timeout).await);
    }
    assert!(replies[1..].contains(&Reply::Done), "{replies:?}");
    assert_eq!(replies[3], Reply::Done, "the voter that answered is preferred");
}

/// Each own heartbeat restarts the wait for the next frame. The silence timeout must still count from the
/// last received frame.
#[tokio::test]
async fn own_heartbeats_do_not_keep_a_silent_link_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let (connecting, accepting) = (hello("harbour", "a"), hello("harbour", "b"));
    let (one, two) =
        tokio::join!(Link::initiate(stream, &connecting), Link::accept(accepted, async || accepting));
    let (mut one, _two) = (one.unwrap().0, two.unwrap().0);
    for _ in 0..30 {
        if let Ok(ended) = timeout(Duration::from_millis(200), one.next()).await {
            assert_eq!(format!("{:#}", ended.unwrap_err()), "no frame in time: deadline has elapsed");
            return;
        }
        one.send(&Frame::Heartbeat(None)).await.unwrap();
    }
    panic!("still up after six seconds of silence");
}
