//! Following discovery's list of nodes, the identity of nodes, and the clock that the list's times are
//! compared with.

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

/// After an answer that is not JSON and a connection that closes without an answer, the next call asks for
/// changes since the last version that was received.
#[tokio::test]
async fn the_watch_continues_from_the_known_version_after_failures() {
    let env = TestEnvironment::start(&[]).await;
    let send_answer = |text: String| env.discovery_replies.send(text);
    send_answer(json!({"rev": 42, "all": false, "targets": []}).to_string()).await.unwrap();
    send_answer("{not json".into()).await.unwrap();
    send_answer("close".into()).await.unwrap();
    let leaving = target("s-cache", &env.cache_address.to_string(), "node", "leaving");
    send_answer(json!({"rev": 43, "all": false, "targets": [leaving, {"uid": 7}]}).to_string())
        .await
        .unwrap();
    env.discovery.wait_for("index=43").await;
    // A node that drains gets no new request, so the origin answers.
    let reply = env.client().await.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        GET /registry/instances?index=43&wait=2000 HTTP/1.1
        hit: origin's id-hit
    "#]]
    .assert_eq(&format!("{}{reply}{}", env.discovery.log(), env.cache.log()));
}

/// A call that discovery never answers is abandoned and repeated; meanwhile requests go to the nodes of the
/// old list.
#[tokio::test]
async fn a_silent_watch_is_restarted_and_the_old_list_stays_in_use() {
    let env = TestEnvironment::start(&[]).await;
    env.discovery.wait_for("index=41").await;
    let mut client = env.client().await;
    let mut reply = client.get("hit").await;
    env.wait_for_counter("list_failures 1").await;
    // The stand-in gives the first answer to the abandoned call.
    for version in [42, 43] {
        let answer = json!({"rev": version, "all": false, "targets": []}).to_string();
        env.discovery_replies.send(answer).await.unwrap();
    }
    env.discovery.wait_for("index=43").await;
    reply += &client.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=43&wait=2000 HTTP/1.1
        hit: value of id-hit
        hit: value of id-hit
    "#]]
    .assert_eq(&format!("{}{reply}", env.discovery.log()));
}

/// An answer of which only a part arrives must have no effect; the next call asks for changes since the
/// version before it.
#[tokio::test]
async fn a_watch_that_stalls_within_an_answer_is_restarted() {
    let env = TestEnvironment::start(&[]).await;
    let leaving = target("s-cache", &env.cache_address.to_string(), "node", "leaving");
    let answer = json!({"rev": 42, "all": false, "targets": [leaving]}).to_string();
    let start = Instant::now();
    env.discovery_replies.send(format!("half {answer}")).await.unwrap();
    env.wait_for_counter("list_failures 1").await;
    assert!(start.elapsed() < Duration::from_secs(5));
    let mut client = env.client().await;
    let mut reply = client.get("hit").await;
    env.discovery_replies.send(answer).await.unwrap();
    env.discovery.wait_for("index=42").await;
    reply += &client.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        hit: value of id-hit
        hit: origin's id-hit
    "#]]
    .assert_eq(&format!("{}{reply}", env.discovery.log()));
}

/// An outdated whole list, such as one from a cache, must not bring a draining node back into use. The proxy
/// fetches the whole list again and accepts that answer whatever its version.
#[tokio::test]
async fn a_whole_list_older_than_the_known_version_is_fetched_again() {
    let env = TestEnvironment::start(&[]).await;
    let send_answer = |text: String| env.discovery_replies.send(text);
    let list = |version: u64, state| {
        let cache = target("s-cache", &env.cache_address.to_string(), "node", state);
        json!({"rev": version, "all": true, "targets": [cache, env.config_json["known"]["targets"][1]]})
            .to_string()
    };
    send_answer(list(43, "leaving")).await.unwrap();
    send_answer(list(42, "active")).await.unwrap();
    env.wait_for_counter("list_failures 1").await;
    let mut client = env.client().await;
    let mut reply = client.get("hit").await;
    send_answer(list(42, "active")).await.unwrap();
    env.discovery.wait_for("index=42").await;
    reply += &client.get("hit").await;
    expect![[r#"
        GET /registry/instances?index=41&wait=2000 HTTP/1.1
        GET /registry/instances?index=43&wait=2000 HTTP/1.1
        GET /registry/instances HTTP/1.1
        GET /registry/instances?index=42&wait=2000 HTTP/1.1
        hit: origin's id-hit
        hit: value of id-hit
    "#]]
    .assert_eq(&format!("{}{reply}", env.discovery.log()));
}

/// After a reload, discovery at its new address is asked for the whole list at once, though a call still
/// waits at the old address. An invalid configuration changes nothing.
#[tokio::test]
async fn a_reload_moves_discovery_to_its_new_address() {
    for mode in ["push", "ask"] {
        let mut env = TestEnvironment::start(&[("/settings/discovery", json!(mode))]).await;
        env.discovery.wait_for("index=41").await;
        env.configs.send(Err(anyhow::anyhow!("discovery: missing"))).await.unwrap();
        env.wait_for_counter("reloads_failed 1").await;
        let (new_discovery, tell) = env.move_discovery().await;
        new_discovery.wait_for("instances HTTP").await;
        let origin = env.config_json["known"]["targets"][1].clone();
        tell.send(json!({"rev": 7, "all": true, "targets": [origin]}).to_string()).await.unwrap();
        new_discovery.wait_for("index=7").await;
        // The new list no longer contains the cache node.
        let reply = env.client().await.get("hit").await;
        expect![[r#"
            GET /registry/instances?index=41&wait=2000 HTTP/1.1
            GET /registry/instances HTTP/1.1
            GET /registry/instances?index=7&wait=2000 HTTP/1.1
            hit: origin's id-hit
        "#]]
        .assert_eq(&format!("{}{}{reply}", env.discovery.log(), new_discovery.log()));
    }
}

/// The connections of a removed node are closed. A node with a new uid at the same address is a new node and
/// gets connections of its own.
#[tokio::test]
async fn a_removed_node_is_forgotten_with_its_connections() {
    let env = TestEnvironment::start(&[]).await;
    let mut client = env.client().await;
    let mut replies = client.get("hit-1").await;
    let (old, origin) =
        (env.config_json["known"]["targets"][0].clone(), env.config_json["known"]["targets"][1].clone());
    let unknown_node = target("s-9", "127.0.0.1:9", "node", "left");
    let whole = json!({"rev": 42, "all": true, "targets": [origin, unknown_node]});
    env.discovery_replies.send(whole.to_string()).await.unwrap();
    env.discovery.wait_for("index=42").await;
    replies += &client.get("hit-2").await;
    env.wait_for_counter("nodes_dismissed 1").await;
    let new = target("s-new", old["endpoint"].as_str().unwrap(), "node", "active");
    env.discovery_replies.send(json!({"rev": 43, "all": false, "targets": [new]}).to_string()).await.unwrap();
    env.discovery.wait_for("index=43").await;
    replies += &(client.get("hit-3").await + &env.counter_lines("nodes_"));
    env.assert_traffic(
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

/// In pull mode the core decides when discovery is called again; this must happen after failed calls as well.
#[tokio::test]
async fn discovery_in_pull_mode_is_called_again_after_a_failure() {
    let env = TestEnvironment::start(&[("/settings/discovery", json!("ask"))]).await;
    for answer in ["close", "{}", r#"{"rev": 50, "all": false, "targets": []}"#] {
        env.discovery_replies.send(answer.into()).await.unwrap();
    }
    env.discovery.wait_for("index=50").await;
    env.wait_for_counter("list_failures 2").await;
    env.wait_for_counter("list_answers 1").await;
}

/// The proxy must have a change within this time of the moment when discovery has it and can be reached.
/// Operators are told to expect changes within it.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(6);
/// An answer that brings the list to a new version.
const CHANGE: &str = r#"{"rev": 42, "all": false, "targets": []}"#;
/// A whole list older than the known version, which the proxy rejects as a failure.
const OLDER_LIST: &str = r#"{"rev": 40, "all": true, "targets": []}"#;

/// A bound socket that refuses connections until it listens.
fn refusing_socket() -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket
}

/// A discovery that handles each call as the next word of the script says: `close` closes the connection,
/// `500` answers with that status, `half` sends only a part of an answer, `silence` sends nothing, anything
/// else is the body of the answer. Later calls get no answer. Returns the times at which calls arrive.
fn scripted_discovery<const N: usize>(
    socket: TcpSocket,
    script: [&'static str; N],
) -> mpsc::UnboundedReceiver<Instant> {
    let (arrivals, calls) = mpsc::unbounded_channel();
    let (listener, mut script) = (socket.listen(16).unwrap(), script.into_iter());
    tokio::spawn(async move {
        let mut stalled = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            while let Ok(1..) = stream.read(&mut [0; 4096]).await {
                let _ = arrivals.send(Instant::now());
                let (status, answer, withheld) = match script.next() {
                    Some("close") => break,
                    Some("500") => (500, "", 0),
                    Some("half") => (200, "{", 9),
                    Some("silence") | None => (0, "", 0),
                    Some(answer) => (200, answer, 0),
                };
                let length = answer.len() + withheld;
                let head = format!("HTTP/1.1 {status} Scripted\r\nContent-Length: {length}\r\n\r\n{answer}");
                if status > 0 && stream.write_all(head.as_bytes()).await.is_err() {
                    break;
                }
                if status == 0 || withheld > 0 {
                    // The connection stays open, but nothing more is sent on it.
                    stalled.push(stream);
                    break;
                }
            }
        }
    });
    calls
}

/// The worst case: a change becomes available just after a call began that will hang, and the call after it
/// fails as well.
#[tokio::test]
async fn a_change_arrives_in_time_after_two_failed_calls() {
    let mut cases = JoinSet::new();
    for mode in ["ask", "push"] {
        for hang in ["silence", "half"] {
            for failure in ["close", "500", "{not json", OLDER_LIST] {
                cases.spawn(async move {
                    let (socket, settings) = (refusing_socket(), [("/settings/discovery", json!(mode))]);
                    let address = socket.local_addr().unwrap();
                    let env =
                        TestEnvironment::start_with(&settings, |config| config.discovery = address).await;
                    env.wait_for_counter("list_failures 1").await;
                    let mut calls =
                        scripted_discovery(socket, ["close", "500", "close", hang, failure, CHANGE]);
                    for _ in 0..3 {
                        calls.recv().await.unwrap();
                    }
                    let change_available = calls.recv().await.unwrap();
                    env.wait_for_counter("list_answers 1").await;
                    (change_available.elapsed(), format!("{mode}, {hang}, then {failure}"))
                });
            }
        }
    }
    let mut results = cases.join_all().await;
    results.sort();
    assert!(results.iter().all(|(took, _)| *took < MAX_CHANGE_DELAY), "{results:#?}");
}

/// After a long outage the delays between calls are long, so that all proxies together do not overload
/// discovery when it comes back. The first call that reaches it fails as well.
#[tokio::test]
async fn a_change_arrives_in_time_after_a_long_discovery_outage() {
    let (socket, settings) = (refusing_socket(), [("/settings/discovery", json!("ask"))]);
    let (address, start) = (socket.local_addr().unwrap(), Instant::now());
    let env = TestEnvironment::start_with(&settings, |config| config.discovery = address).await;
    env.wait_for_counter("list_failures 6").await;
    let change_available = Instant::now();
    assert!(change_available - start > Duration::from_secs(1), "{:?}", change_available - start);
    let _calls = scripted_discovery(socket, ["500", CHANGE]);
    env.wait_for_counter("list_answers 1").await;
    let took = change_available.elapsed();
    assert!(took < MAX_CHANGE_DELAY, "{took:?}");
}

/// While a call hangs, a reload changes the address of discovery, and the first call to the new address
/// fails.
#[tokio::test]
async fn a_change_arrives_in_time_if_discovery_moves_during_a_call() {
    let (old, new, settings) =
        (refusing_socket(), refusing_socket(), [("/settings/discovery", json!("ask"))]);
    let address = old.local_addr().unwrap();
    let mut calls = scripted_discovery(old, ["close", "close", "close", "close", "silence"]);
    let mut env = TestEnvironment::start_with(&settings, |config| config.discovery = address).await;
    for _ in 0..4 {
        calls.recv().await.unwrap();
    }
    let change_available = calls.recv().await.unwrap();
    sleep(Duration::from_secs(3)).await;
    env.config_json["discovery"] = json!(new.local_addr().unwrap().to_string());
    let _calls = scripted_discovery(new, ["500", CHANGE]);
    env.configs.send(config::parse(&env.config_json)).await.unwrap();
    env.wait_for_counter("list_answers 1").await;
    let took = change_available.elapsed();
    assert!(took < MAX_CHANGE_DELAY, "{took:?}");
}

/// A node may have a different endpoint at each proxy, but must have the same identity at all of them.
#[test]
fn the_identity_of_a_node_depends_on_its_uid_not_its_endpoint() {
    let config = config::parse(&configuration(&[])).unwrap();
    let list = |endpoint| json!({"rev": 1, "all": true, "targets": [target("s-5be2a07c", endpoint, "node", "active")]});
    let (one, other) = (list("127.8.1.1:6379"), list("127.9.1.1:6379"));
    let identity =
        |list: &Json| parse_list(list.to_string().as_bytes(), &config).unwrap().2[0].listed.identity;
    assert_eq!(identity(&one), identity(&other));
}

/// An entry with an invalid address or an unknown state, or that is no entry at all, must not prevent the
/// others from being used. A list without a version or without entries is an error.
#[test]
fn invalid_entries_of_a_list_are_skipped() {
    let config = config::parse(&configuration(&[])).unwrap();
    let mut with_boot_time = target("s-2", "127.0.0.1:2", "node", "left");
    with_boot_time["boot_ms"] = json!(1_700_000_000_123_u64);
    with_boot_time["az"] = json!("elsewhere");
    let list = json!({"rev": 9, "all": true, "targets": [
        target("s-1", "127.0.0.1:1", "origin", "leaving"), with_boot_time,
        target("s-3", "nowhere", "node", "active"), target("s-4", "127.0.0.1:4", "node", "odd"), {}, 7
    ]});
    let (version, whole, entries) = parse_list(list.to_string().as_bytes(), &config).unwrap();
    let mut trace = format!("{version} {whole}\n");
    for entry in entries {
        let listed = entry.listed;
        trace += &format!(
            "{} {} {:?} zone {} cell {} started {} origin {}\n",
            entry.uid, entry.address, listed.status, listed.zone, listed.cell, listed.started, listed.origin
        );
    }
    for invalid in
        [json!({}), json!({"rev": "x", "all": true, "targets": []}), json!({"rev": 1, "all": true})]
    {
        trace += &format!("{:#}\n", parse_list(invalid.to_string().as_bytes(), &config).unwrap_err());
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

/// The clock starts at the system's Unix time and then advances with monotonic time, so a change of the
/// system's time cannot turn it back.
#[tokio::test(start_paused = true)]
async fn the_clock_follows_unix_time_and_never_goes_back() {
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
        "a time before the start of the clock must count as its start"
    );
    assert_eq!(clock.instant(now + 7), start + Duration::from_nanos(7));
}
