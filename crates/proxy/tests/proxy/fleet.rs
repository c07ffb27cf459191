//! The fleet's links and disks, one end at a time. What several processes do together is the lab's rig's to show.

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

fn kept() -> DurableState {
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

/// Cut at every byte and flipped at every bit, a voter's file is either whole or known to be spoilt.
#[test]
fn a_voters_file_is_whole_or_known_not_to_be() {
    let folder = Folder::new("voter");
    let disk = VoterDisk::open(&folder.0).unwrap().unwrap();
    assert!(matches!(disk.read("harbour").unwrap(), DiskContents::Empty));
    disk.write(&kept()).unwrap();
    assert!(matches!(disk.read("harbour").unwrap(), DiskContents::Valid(read) if *read == kept()));
    assert!(matches!(disk.read("other").unwrap(), DiskContents::Corrupt(_)));
    assert!(VoterDisk::open(&folder.0).unwrap().is_none(), "another has it");
    let file = folder.0.join("voter");
    let whole = std::fs::read(&file).unwrap();
    let spoilt = |bytes: &[u8]| {
        std::fs::write(&file, bytes).unwrap();
        assert!(matches!(disk.read("harbour").unwrap(), DiskContents::Corrupt(_)), "{bytes:?}");
    };
    for at in 0..whole.len() {
        spoilt(&whole[..at]);
        for bit in 0..8 {
            let mut flipped = whole.clone();
            flipped[at] ^= 1 << bit;
            spoilt(&flipped);
        }
    }
    let mut later = whole.clone();
    later[8] = 2;
    std::fs::write(&file, later).unwrap();
    let DiskContents::Corrupt(why) = disk.read("harbour").unwrap() else { panic!("read") };
    expect!["of version 2, this program reads 1"].assert_eq(&why);
}

fn hello(fleet: &str, name: &str) -> Hello {
    Hello::new(fleet, &ProcessId { name: name.into(), incarnation: 1 }, Role::Proxy, None)
}

/// Both ends' words after one of them dialled.
async fn met(dials: Hello, takes: Hello) -> (String, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (taken, _) = listener.accept().await.unwrap();
    let (one, two) = tokio::join!(Link::initiate(stream, &dials), Link::accept(taken, async || takes));
    let words = |met: anyhow::Result<(Link, Hello)>| match met {
        Ok((_, hello)) => format!("met {}", hello.id),
        Err(error) => format!("{error:#}"),
    };
    (words(one), words(two))
}

#[tokio::test]
async fn links_say_why_they_do_not_come_up() {
    let (one, two) = met(hello("harbour", "a"), hello("harbour", "b")).await;
    expect!["met b#1, met a#1"].assert_eq(&format!("{one}, {two}"));
    let (one, two) = met(hello("harbour", "a"), hello("yard", "b")).await;
    expect![[r#"refused: a#1 is: of fleet "harbour", not "yard"; a#1 is: of fleet "harbour", not "yard""#]]
        .assert_eq(&format!("{one}; {two}"));
    let later = hello("harbour", "a").with_versions(7, 9);
    let (one, _) = met(later, hello("harbour", "b")).await;
    expect!["refused: a#1 is: speaks links 7 to 9, not 1 to 3"].assert_eq(&one);
    // One that speaks more, and this too, is understood; and one of before the carrier, whoever dials.
    let (one, _) = met(hello("harbour", "a").with_versions(1, 9), hello("harbour", "b")).await;
    expect!["met b#1"].assert_eq(&one);
    let before = hello("harbour", "a").with_versions(1, 1);
    let (one, two) = met(before.clone(), hello("harbour", "b")).await;
    expect!["met b#1, met a#1"].assert_eq(&format!("{one}, {two}"));
    let (one, two) = met(hello("harbour", "b"), before).await;
    expect!["met a#1, met b#1"].assert_eq(&format!("{one}, {two}"));
}

/// Frames are told apart by their place among all: what a program of version 1 says and reads stands where it stood, and an
/// end knows what the other speaks before it says anything that is newer.
#[tokio::test]
async fn a_link_of_version_1_carries_what_it_always_did() {
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
    let (taken, _) = listener.accept().await.unwrap();
    let (dials, takes) = (hello("harbour", "a").with_versions(1, 1), hello("harbour", "b"));
    let (one, two) = tokio::join!(Link::initiate(stream, &dials), Link::accept(taken, async || takes));
    let (mut one, mut two) = (one.unwrap().0, two.unwrap().0);
    assert_eq!(two.version(), 1);
    for frame in first {
        one.send(&frame).await.unwrap();
        assert_eq!(two.next().await.unwrap(), frame);
    }
    // What only a later program knows ends the link, and nothing else.
    let mut later = postcard::to_stdvec(&Frame::Bye).unwrap();
    later[0] = 99;
    assert!(postcard::from_bytes::<Frame>(&later).is_err());
}

/// What is no hello, a frame that is too long, and silence each end the link, and nothing else.
#[tokio::test]
async fn links_end_on_what_they_can_t_read() {
    for (bytes, why) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], "frame size too big"),
        (&[0, 0, 0, 3, 1, 2, 3], "no hello"),
        (&[0, 0, 0, 9, 1], "closed before a hello"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (taken, _) = listener.accept().await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        let ended = Link::accept(taken, async || hello("harbour", "b")).await.err().unwrap();
        let ended = format!("{ended:#}");
        assert!(ended.contains(why) || ended.contains("bytes remaining"), "{why}: {ended}");
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (taken, _) = listener.accept().await.unwrap();
    let (dials, takes) = (hello("harbour", "a"), hello("harbour", "b"));
    let (one, two) = tokio::join!(Link::initiate(stream, &dials), Link::accept(taken, async || takes));
    let (mut one, mut two) = (one.unwrap().0, two.unwrap().0);
    one.send(&Frame::Heartbeat(None)).await.unwrap();
    assert_eq!(two.next().await.unwrap(), Frame::Heartbeat(None));
    assert_eq!(format!("{:#}", two.next().await.unwrap_err()), "silent: deadline has elapsed");
}

fn wrong(fleet: Json) -> String {
    match parse(&configuration(&[("/fleet", fleet)])) {
        Ok(config) => config.summary().lines().last().unwrap_or_default().to_string(),
        Err(error) => format!("{error:#}"),
    }
}

#[test]
fn the_section_names_the_key_that_is_wrong() {
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
    let text: Vec<String> = sections.into_iter().map(wrong).collect();
    expect![[r#"
        fleet: expected an object, found 1
        fleet.name: missing
        fleet.voters: expected three or five, found 1
        fleet.voters.b: expected ADDRESS:PORT, found "nowhere"
        fleet.folder: missing, and n0 is among the voters or spares
        fleet.drift-ppm: expected a number from 1 to 500000, found 0
        fleet.spares: b is among the voters
        fleet.cautious: expected true or false, found "yes"
        fleet x: may vote, 3 voters, drift 10000 ppm"#]]
    .assert_eq(&text.join("\n"));
}

#[test]
fn the_carriers_section_names_the_key_that_is_wrong() {
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
    let all = |carrier| wrong(json!({"name": "x", "voters": voters, "carrier": carrier}));
    let text: Vec<String> = sections.into_iter().map(all).collect();
    expect![[r#"
        fleet.carrier: expected an object, found 1
        fleet.carrier.control: expected 1 to 64, found 0
        fleet.carrier.control.a: expected ADDRESS:PORT, found "nowhere"
        fleet.carrier.folder: missing, and n0 is among the control machines
        fleet.carrier: a takes children at 127.0.0.1:1, where a voter or spare takes links
        fleet.carrier.relays: a is among the control machines
        fleet.carrier.relays.r: expected ADDRESS:PORT, found 5
        fleet.carrier.site: expected a text, found 1
        fleet.carrier.listen: expected ADDRESS:PORT, found "here": invalid socket address syntax
        fleet.carrier.children: expected a number from 1 to 65536, found 0
        fleet.carrier.bytes-per-second: expected a number from 1000 to 1073741824, found 10
        fleet x: has no links to voters, 3 voters, drift 10000 ppm; carrier: relay of site "s", 1 control machines, 1 relays here
        fleet x: asks, 3 voters, drift 10000 ppm; carrier: control machine of site "", 1 control machines, 0 relays here"#]].assert_eq(&text.join("\n"));
    let many: serde_json::Map<String, Json> =
        (0..65).map(|n| (format!("m{n}"), json!(format!("127.0.0.1:{}", 10 + n)))).collect();
    expect!["fleet.carrier.control: expected 1 to 64, found 65"].assert_eq(&all(json!({"control": many})));
}

/// A voter that takes links and beats and says nothing to asks: it is not asked first for ever, even by who waits no longer
/// than one voter may take.
#[tokio::test]
async fn who_does_not_answer_is_not_asked_first_again() {
    let mut called = serde_json::Map::new();
    for (name, answers) in [("a", false), ("b", true), ("c", false)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        called.insert(name.into(), json!(listener.local_addr().unwrap().to_string()));
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut link = Link::accept(stream, async || hello("harbour", name)).await.unwrap().0;
            while let Ok(frame) = link.next().await {
                let said = match frame {
                    Frame::Submit(ask) if answers => Frame::Answer(Answer { id: ask.id, reply: Reply::Done }),
                    _ => Frame::Heartbeat(None),
                };
                link.send(&said).await.unwrap();
            }
        });
    }
    let config =
        FleetConfig::parse(&json!({"fleet": {"name": "harbour", "voters": called}}), "").unwrap().unwrap();
    let mut actors = JoinSet::new();
    let asker = start_command(&LocalProcess::new("h", config.into()), &mut actors);
    let patience = Duration::from_millis(500);
    let mut replies = Vec::new();
    for _ in 0..4 {
        replies.push(asker.submit(OperationKind::TakeAway("l".into()), patience).await);
    }
    assert!(replies[1..].contains(&Reply::Done), "{replies:?}");
    assert_eq!(replies[3], Reply::Done, "and then who answers is");
}

/// Waiting is begun anew with each beat of one's own; what ends the link is how long ago the other end was heard.
#[tokio::test]
async fn a_silent_link_ends_whatever_is_said_on_it() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (taken, _) = listener.accept().await.unwrap();
    let (dials, takes) = (hello("harbour", "a"), hello("harbour", "b"));
    let (one, two) = tokio::join!(Link::initiate(stream, &dials), Link::accept(taken, async || takes));
    let (mut one, _two) = (one.unwrap().0, two.unwrap().0);
    for _ in 0..30 {
        if let Ok(ended) = timeout(Duration::from_millis(200), one.next()).await {
            assert_eq!(format!("{:#}", ended.unwrap_err()), "silent: deadline has elapsed");
            return;
        }
        one.send(&Frame::Heartbeat(None)).await.unwrap();
    }
    panic!("still up after six seconds of silence");
}
