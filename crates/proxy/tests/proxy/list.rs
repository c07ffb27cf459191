//! Discovery, the identity of nodes, and the clock that its times are compared with.

use crate::{TestEnvironment, configuration, target};
use expect_test::expect;
use pumicebay::clock::Clock;
use pumicebay::config;
use pumicebay::discovery::entries::parse_list;
use serde_json::{Value as Json, json};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn the_watch_goes_on_from_what_was_known_and_survives_failures() {
    let world = TestEnvironment::start(&[]).await;
    let say = |text: String| world.discovery_replies.send(text);
    say(json!({"rev": 42, "all": false, "targets": []}).to_string()).await.unwrap();
    say("{not json".into()).await.unwrap();
    say("close".into()).await.unwrap();
    let leaving = target("s-cache", &world.cache_address.to_string(), "node", "leaving");
    say(json!({"rev": 43, "all": false, "targets": [leaving, {"uid": 7}]}).to_string()).await.unwrap();
    world.discovery.wait_for("index=43").await;
    // A node that leaves gets nothing new; the origin serves.
    let reply = world.client().await.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        GET /registry/instances?index=43&wait=2000 HTTP/1.1
        hit: origin's id-hit
    "#]]
    .assert_eq(&format!("{}{reply}{}", world.discovery.log(), world.cache.log()));
}

#[tokio::test]
async fn a_watch_that_falls_silent_is_begun_anew_while_the_old_list_serves() {
    let world = TestEnvironment::start(&[]).await;
    world.discovery.wait_for("index=41").await;
    let mut client = world.client().await;
    let mut reply = client.get("hit").await;
    world.wait_for_counter("list_failures 1").await;
    // The first answer goes to the call that was given up.
    for version in [42, 43] {
        let answer = json!({"rev": version, "all": false, "targets": []}).to_string();
        world.discovery_replies.send(answer).await.unwrap();
    }
    world.discovery.wait_for("index=43").await;
    reply += &client.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=43&wait=2000 HTTP/1.1
        hit: value of id-hit
        hit: value of id-hit
    "#]]
    .assert_eq(&format!("{}{reply}", world.discovery.log()));
}

/// What has come of an answer counts for nothing before the rest; the next call is from the version before it.
#[tokio::test]
async fn a_watch_that_falls_silent_amid_its_answer_is_begun_anew() {
    let world = TestEnvironment::start(&[]).await;
    let leaving = target("s-cache", &world.cache_address.to_string(), "node", "leaving");
    let answer = json!({"rev": 42, "all": false, "targets": [leaving]}).to_string();
    let began = Instant::now();
    world.discovery_replies.send(format!("half {answer}")).await.unwrap();
    world.wait_for_counter("list_failures 1").await;
    assert!(began.elapsed() < Duration::from_secs(5));
    let mut client = world.client().await;
    let mut reply = client.get("hit").await;
    world.discovery_replies.send(answer).await.unwrap();
    world.discovery.wait_for("index=42").await;
    reply += &client.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        hit: value of id-hit
        hit: origin's id-hit
    "#]]
    .assert_eq(&format!("{}{reply}", world.discovery.log()));
}

/// An old whole list, as from a cache, brings no node back that was told to drain: it is asked for anew, and what
/// comes then holds, whatever its version.
#[tokio::test]
async fn a_list_that_is_older_than_what_was_told_is_asked_for_anew() {
    let world = TestEnvironment::start(&[]).await;
    let say = |text: String| world.discovery_replies.send(text);
    let list = |version: u64, state| {
        let cache = target("s-cache", &world.cache_address.to_string(), "node", state);
        json!({"rev": version, "all": true, "targets": [cache, world.config_json["known"]["targets"][1]]})
            .to_string()
    };
    say(list(43, "leaving")).await.unwrap();
    say(list(42, "active")).await.unwrap();
    world.wait_for_counter("list_failures 1").await;
    let mut client = world.client().await;
    let mut reply = client.get("hit").await;
    say(list(42, "active")).await.unwrap();
    world.discovery.wait_for("index=42").await;
    reply += &client.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=43&wait=2000 HTTP/1.1
        GET /registry/instances HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        hit: origin's id-hit
        hit: value of id-hit
    "#]]
    .assert_eq(&format!("{}{reply}", world.discovery.log()));
}

/// A new address is asked for the whole list while a call still waits at the old one; a configuration that
/// can't be read changes nothing.
#[tokio::test]
async fn discovery_is_followed_to_where_a_new_configuration_says_it_is() {
    for asked in ["push", "ask"] {
        let mut world = TestEnvironment::start(&[("/settings/discovery", json!(asked))]).await;
        world.discovery.wait_for("index=41").await;
        world.configs.send(Err(anyhow::anyhow!("discovery: missing"))).await.unwrap();
        world.wait_for_counter("reloads_failed 1").await;
        let (moved, tell) = world.move_discovery().await;
        moved.wait_for("instances HTTP").await;
        let origin = world.config_json["known"]["targets"][1].clone();
        tell.send(json!({"rev": 7, "all": true, "targets": [origin]}).to_string()).await.unwrap();
        moved.wait_for("index=7").await;
        // The cache node is in the new list no more.
        let reply = world.client().await.get("hit").await;
        expect![[r#"
            GET /registry/instances?index=41&wait=2000 HTTP/1.1
            GET /registry/instances HTTP/1.1
            GET /registry/instances?index=7&wait=2000 HTTP/1.1
            hit: origin's id-hit
        "#]]
        .assert_eq(&format!("{}{}{reply}", world.discovery.log(), moved.log()));
    }
}

/// What is gone is forgotten with its connections, and one with a new uid at its address begins anew.
#[tokio::test]
async fn a_node_that_is_gone_is_forgotten() {
    let world = TestEnvironment::start(&[]).await;
    let mut client = world.client().await;
    let mut replies = client.get("hit-1").await;
    let (old, origin) =
        (world.config_json["known"]["targets"][0].clone(), world.config_json["known"]["targets"][1].clone());
    let stranger = target("s-9", "127.0.0.1:9", "node", "left");
    let whole = json!({"rev": 42, "all": true, "targets": [origin, stranger]});
    world.discovery_replies.send(whole.to_string()).await.unwrap();
    world.discovery.wait_for("index=42").await;
    replies += &client.get("hit-2").await;
    world.wait_for_counter("nodes_dismissed 1").await;
    let new = target("s-new", old["endpoint"].as_str().unwrap(), "node", "active");
    world
        .discovery_replies
        .send(json!({"rev": 43, "all": false, "targets": [new]}).to_string())
        .await
        .unwrap();
    world.discovery.wait_for("index=43").await;
    replies += &(client.get("hit-3").await + &world.counter_lines("nodes_"));
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit-1: value of id-hit-1
        hit-2: origin's id-hit-2
        hit-3: value of id-hit-3
        nodes_known 3
        nodes_dismissed 1
        -- cache node
        1: C.GET hit-1 id-hit-1 c=read,t=acme,d=LEFT,size=9,k=x
        1: closed
        2: C.GET hit-3 id-hit-3 c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
        1: GET /hit-2 id-hit-2 c=read,t=acme,d=LEFT,size=9,k=x
    "#]],
    );
}

/// Where the list must be asked for, the decisions say when it is asked for again.
#[tokio::test]
async fn a_list_that_must_be_asked_for_is_asked_for_again_after_a_failure() {
    let world = TestEnvironment::start(&[("/settings/discovery", json!("ask"))]).await;
    for answer in ["close", "{}", r#"{"rev": 50, "all": false, "targets": []}"#] {
        world.discovery_replies.send(answer.into()).await.unwrap();
    }
    world.discovery.wait_for("index=50").await;
    world.wait_for_counter("list_failures 2").await;
    world.wait_for_counter("list_answers 1").await;
}

/// When the operators' page counts a change as told, from when discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
const CHANGE: &str = r#"{"rev": 42, "all": false, "targets": []}"#;
const OLDER: &str = r#"{"rev": 40, "all": true, "targets": []}"#;

/// A port that refuses until it listens.
fn refusing() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// Meets one call after the other as the script says; further ones wait. Tells when each came.
fn scripted<const N: usize>(
    socket: TcpSocket,
    script: [&'static str; N],
) -> mpsc::UnboundedReceiver<Instant> {
    let (came, calls) = mpsc::unbounded_channel();
    let (listener, mut script) = (socket.listen(16).unwrap(), script.into_iter());
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            while let Ok(1..) = stream.read(&mut [0; 4096]).await {
                let _ = came.send(Instant::now());
                let (status, answer, more) = match script.next() {
                    Some("close") => break,
                    Some("500") => (500, "", 0),
                    Some("half") => (200, "{", 9),
                    Some("silence") | None => (0, "", 0),
                    Some(answer) => (200, answer, 0),
                };
                let length = answer.len() + more;
                let head = format!("HTTP/1.1 {status} Met\r\nContent-Length: {length}\r\n\r\n{answer}");
                if status > 0 && stream.write_all(head.as_bytes()).await.is_err() {
                    break;
                }
                if status == 0 || more > 0 {
                    // Stays up, and nothing more is said on it.
                    open.push(stream);
                    break;
                }
            }
        }
    });
    calls
}

/// The change is there as soon as a call has begun that will hang, and the next one fails as well.
#[tokio::test]
async fn a_change_is_told_in_time_whatever_the_calls_before_it_met() {
    let mut tests = JoinSet::new();
    for asked in ["ask", "push"] {
        for hung in ["silence", "half"] {
            for met in ["close", "500", "{not json", OLDER] {
                tests.spawn(async move {
                    let (socket, set) = (refusing(), [("/settings/discovery", json!(asked))]);
                    let address = socket.local_addr().unwrap();
                    let world = TestEnvironment::start_with(&set, |config| config.discovery = address).await;
                    world.wait_for_counter("list_failures 1").await;
                    let mut calls = scripted(socket, ["close", "500", "close", hung, met, CHANGE]);
                    for _ in 0..3 {
                        calls.recv().await.unwrap();
                    }
                    let there = calls.recv().await.unwrap();
                    world.wait_for_counter("list_answers 1").await;
                    (there.elapsed(), format!("{asked}, {hung}, then {met}"))
                });
            }
        }
    }
    let mut all = tests.join_all().await;
    all.sort();
    assert!(all.iter().all(|(took, _)| *took < TOLD), "{all:#?}");
}

/// Refused for so long that the pauses are long, as they must be for the sake of discovery; the first call that gets
/// through fails as well.
#[tokio::test]
async fn a_change_is_told_in_time_after_a_discovery_that_was_long_down() {
    let (socket, set) = (refusing(), [("/settings/discovery", json!("ask"))]);
    let (address, began) = (socket.local_addr().unwrap(), Instant::now());
    let world = TestEnvironment::start_with(&set, |config| config.discovery = address).await;
    world.wait_for_counter("list_failures 6").await;
    let there = Instant::now();
    assert!(there - began > Duration::from_secs(1), "{:?}", there - began);
    let _calls = scripted(socket, ["500", CHANGE]);
    world.wait_for_counter("list_answers 1").await;
    let took = there.elapsed();
    assert!(took < TOLD, "{took:?}");
}

/// A call hangs; amid it a new configuration says where discovery is, and the first call there fails.
#[tokio::test]
async fn a_change_is_told_in_time_though_discovery_moves_amid_a_call() {
    let (old, new, set) = (refusing(), refusing(), [("/settings/discovery", json!("ask"))]);
    let address = old.local_addr().unwrap();
    let mut calls = scripted(old, ["close", "close", "close", "close", "silence"]);
    let mut world = TestEnvironment::start_with(&set, |config| config.discovery = address).await;
    for _ in 0..4 {
        calls.recv().await.unwrap();
    }
    let there = calls.recv().await.unwrap();
    sleep(Duration::from_secs(3)).await;
    world.config_json["discovery"] = json!(new.local_addr().unwrap().to_string());
    let _calls = scripted(new, ["500", CHANGE]);
    world.configs.send(config::parse(&world.config_json)).await.unwrap();
    world.wait_for_counter("list_answers 1").await;
    let took = there.elapsed();
    assert!(took < TOLD, "{took:?}");
}

#[test]
fn a_node_is_known_by_its_uid_whatever_its_endpoint_at_this_proxy() {
    let config = config::parse(&configuration(&[])).unwrap();
    let list = |endpoint| json!({"rev": 1, "all": true, "targets": [target("s-5be2a07c", endpoint, "node", "active")]});
    let (here, there) = (list("127.8.1.1:6379"), list("127.9.1.1:6379"));
    let identity =
        |list: &Json| parse_list(list.to_string().as_bytes(), &config).unwrap().2[0].listed.identity;
    assert_eq!(identity(&here), identity(&there));
}

#[test]
fn entries_that_cannot_be_read_are_left_out() {
    let config = config::parse(&configuration(&[])).unwrap();
    let mut booted = target("s-2", "127.0.0.1:2", "node", "left");
    booted["boot_ms"] = json!(1_700_000_000_123_u64);
    booted["az"] = json!("elsewhere");
    let list = json!({"rev": 9, "all": true, "targets": [
        target("s-1", "127.0.0.1:1", "origin", "leaving"), booted,
        target("s-3", "nowhere", "node", "active"), target("s-4", "127.0.0.1:4", "node", "odd"), {}, 7
    ]});
    let (version, whole, named) = parse_list(list.to_string().as_bytes(), &config).unwrap();
    let mut trace = format!("{version} {whole}\n");
    for named in named {
        let listed = named.listed;
        trace += &format!(
            "{} {} {:?} zone {} cell {} started {} origin {}\n",
            named.uid, named.address, listed.status, listed.zone, listed.cell, listed.started, listed.origin
        );
    }
    for broken in [json!({}), json!({"rev": "x", "all": true, "targets": []}), json!({"rev": 1, "all": true})]
    {
        trace += &format!("{:#}\n", parse_list(broken.to_string().as_bytes(), &config).unwrap_err());
    }
    expect![[r#"
        9 true
        s-1 127.0.0.1:1 Draining zone 0 cell 3 started 0 origin true
        s-2 127.0.0.1:2 Gone zone 2 cell 3 started 1700000000123000000 origin false
        rev: expected a number
        rev: expected a number
        targets: expected a list
    "#]]
    .assert_eq(&trace);
}

#[tokio::test(start_paused = true)]
async fn the_clock_compares_with_unix_time_and_never_steps_back() {
    let unix = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
    let before = unix();
    let clock = Clock::start();
    let (after, start, now) = (unix(), Instant::now(), clock.now());
    assert!((before..=after).contains(&now), "{before} {now} {after}");
    tokio::time::advance(Duration::from_millis(1500)).await;
    assert_eq!(clock.now() - now, 1_500_000_000);
    assert_eq!(clock.at(start), now);
    assert_eq!(
        clock.at(start - Duration::from_secs(1)),
        now,
        "what was before its start counts as its start"
    );
    assert_eq!(clock.instant(now + 7), start + Duration::from_nanos(7));
}
