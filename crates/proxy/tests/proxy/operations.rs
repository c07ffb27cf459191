//! The operators' door, maintenance and what outlives a process.

use crate::{Trace, World, target};
use expect_test::expect;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// A private folder, gone with the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("pumicebay-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One call as it is; the status and the line of the answer, within the second that it is due in.
pub async fn raw(door: SocketAddr, call: &[u8]) -> String {
    let answer = timeout(Duration::from_secs(1), async {
        let mut stream = TcpStream::connect(door).await.expect("a door");
        stream.write_all(call).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        text
    });
    let text = answer.await.expect("an answer in time");
    let status = text.split(' ').nth(1).unwrap_or_default().to_string();
    format!("{status} {}\n", text.split("\r\n\r\n").nth(1).unwrap_or_default().trim_end())
}

pub async fn call(door: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let call = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    raw(door, call.as_bytes()).await
}

async fn maintain(door: SocketAddr, what: &str, who: &str) -> String {
    call(door, "POST", &format!("/maintenance/{what}"), &json!({"who": who}).to_string()).await
}

#[tokio::test]
async fn calls_are_answered_yes_or_no_with_a_line_that_says_why() {
    let world = World::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let door = world.operator.expect("a door");
    let mut trace = call(door, "GET", "/status", "").await;
    for (method, path, body) in [
        ("POST", "/status", ""),
        ("GET", "/maintenance/enter", r#"{"who":"s-cache"}"#),
        ("GET", "/", ""),
        ("POST", "/maintenance/enter", ""),
        ("POST", "/maintenance/enter", "[1]"),
        ("POST", "/maintenance/enter", "{}"),
        ("POST", "/maintenance/enter", r#"{"who":7}"#),
        ("POST", "/maintenance/enter", r#"{"who":"s-nobody"}"#),
        ("POST", "/maintenance/enter", r#"{"who":"s-origin"}"#),
        ("POST", "/maintenance/exit", r#"{"who":"s-nobody"}"#),
        ("POST", "/maintenance/exit", r#"{"who":"s-cache"}"#),
    ] {
        trace += &call(door, method, path, body).await;
    }
    let long = format!("GET /status HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    trace += &raw(door, long.as_bytes()).await;
    trace +=
        &raw(door, b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n").await;
    trace += &raw(door, b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: -1\r\n\r\n").await;
    trace += &raw(door, b"POST /maintenance/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    trace += &raw(door, b"\x00\x01\x02\r\n\r\n").await;
    expect![[r#"
        200 serving
        405 /status wants GET, found "POST"
        405 /maintenance/enter wants POST, found "GET"
        404 no such call: "/"
        400 the body is no JSON: EOF while parsing a value at line 1 column 0
        400 expected {"who":"ID"}, found [1]
        400 who: missing
        400 who: expected a text, found 7
        404 no cache node "s-nobody" is known
        409 s-origin is the origin, not a cache node
        404 no cache node "s-nobody" is known
        200 s-cache is back
        431 head too long
        413 body too long
        400 invalid Content-Length
        411 a body needs its Content-Length
        400 malformed call
    "#]]
    .assert_eq(&trace);
}

#[tokio::test]
async fn callers_that_say_nothing_or_half_take_no_place_from_others() {
    let world = World::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let door = world.operator.expect("a door");
    let mut silent = Vec::new();
    for at in 0..60 {
        let mut stream = TcpStream::connect(door).await.unwrap();
        if at % 2 == 0 {
            stream
                .write_all(b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 5\r\n\r\n{")
                .await
                .unwrap();
        }
        silent.push(stream);
    }
    let begun = Instant::now();
    for _ in 0..20 {
        assert_eq!(call(door, "GET", "/status", "").await, "200 serving\n");
    }
    assert!(begun.elapsed() < Duration::from_secs(10));
}

#[tokio::test]
async fn a_node_out_of_service_gets_nothing_until_it_is_back() {
    let folder = Folder::new("bans");
    let out = |config: &mut pumicebay::config::Config| config.folder = Some(folder.0.clone());
    let door = [("/operator", json!("127.0.0.1:0"))];
    let world = World::start_with(&door, out).await;
    let mut client = world.client().await;
    let mut trace = client.get("hit-1").await;
    for what in ["enter", "enter"] {
        trace += &maintain(world.operator.unwrap(), what, "s-cache").await;
    }
    trace += &client.get("hit-2").await;
    // A process that comes after it knows, and so does one beside it when the node is put back.
    let next = World::start_with(&door, out).await;
    trace += &next.client().await.get("hit-3").await;
    assert_eq!(next.cache.text(), "");
    trace += &maintain(next.operator.unwrap(), "exit", "s-cache").await;
    let there = |trace: &Trace| trace.text().contains("hit-back");
    while !there(&world.cache) {
        client.get("hit-back").await;
        sleep(Duration::from_millis(20)).await;
    }
    trace += &world.cache.text();
    expect![[r#"
        hit-1: value of id-hit-1
        200 s-cache gets nothing more
        200 s-cache gets nothing more
        hit-2: origin's id-hit-2
        hit-3: origin's id-hit-3
        200 s-cache is back
        1: C.GET hit-1 id-hit-1 c=read,t=acme,d=LEFT,size=9,k=x
        1: C.GET hit-back id-hit-back c=read,t=acme,d=LEFT,size=9,k=x
    "#]]
    .assert_eq(&trace);
    assert_eq!(std::fs::read_dir(&folder.0).unwrap().count(), 0);
}

#[tokio::test]
async fn a_ban_outlives_all_that_discovery_says() {
    let world = World::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let (door, mut client) = (world.operator.unwrap(), world.client().await);
    let mut trace = maintain(door, "enter", "s-cache").await;
    let node = target("s-cache", &world.cache_address.to_string(), "node", "active");
    for (at, state) in ["leaving", "left", "active"].into_iter().enumerate() {
        let mut node = node.clone();
        (node["state"], node["boot_ms"]) = (json!(state), json!(at));
        world.tell.send(json!({"rev": 50 + at, "all": false, "targets": [node]}).to_string()).await.unwrap();
        world.until_counted(&format!("list_answers {}", at + 1)).await;
        trace += &client.get(&format!("hit-{state}")).await;
    }
    trace += &world.cache.text();
    expect![[r#"
        200 s-cache gets nothing more
        hit-leaving: origin's id-hit-leaving
        hit-left: origin's id-hit-left
        hit-active: origin's id-hit-active
    "#]]
    .assert_eq(&trace);
}
