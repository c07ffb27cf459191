//! Long writes whose value the origin does not take in time. The client's time counts from the write's last byte, which may
//! have arrived while the proxy still waits for the origin.

use crate::clients::{begin_write, end_write, long_write};
use crate::{Client, StubState, TestEnvironment, patterned_value, target};
use nix::sys::socket::{setsockopt, sockopt::TcpMaxSeg};
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// The segment size of Ethernet. With the far larger one of loopback the proxy's kernel would buffer whole values.
const SEGMENT_BYTES: u32 = 1460;
/// The receive buffer of the stopped origin's connections.
const RECEIVE_BUFFER_BYTES: u32 = 4096;
/// A value longer than the buffers to the stopped origin, and shorter than the receive buffer of a connection.
const VALUE_BYTES: usize = 127_000;
/// How long the clients wait from the last byte on.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1000);
/// What a busy machine may add.
const MARGIN: Duration = Duration::from_millis(400);
const LABELS: &str = "c=put,d=1000";

/// An origin that reads only the heads of requests until the test releases it, one permit a connection. Then it logs each
/// whole request and answers it, but not one whose key contains `mute`.
async fn start_stopped_origin(state: StubState) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    setsockopt(&socket, TcpMaxSeg, &SEGMENT_BYTES).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(listener, state));
    address
}

async fn accept(listener: TcpListener, state: StubState) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, state.clone()));
    }
}

async fn serve(mut stream: TcpStream, state: StubState) {
    let mut chunk = [0; 1024];
    let Ok(mut received) = stream.read(&mut chunk).await else { return };
    let head = String::from_utf8_lossy(&chunk[..received]).into_owned();
    let Some(head_length) = head.find("\r\n\r\n") else { return };
    if !head.starts_with("PUT") {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
        return;
    }
    let path = head.split(' ').nth(1).unwrap_or_default();
    state.record(&format!("head of {path}"));
    state.wait_for_release().await;
    while received < head_length + 4 + VALUE_BYTES {
        match stream.read(&mut chunk).await {
            Ok(length @ 1..) => received += length,
            _ => return state.record(&format!("cut {path}")),
        }
    }
    state.record(&format!("whole {path}"));
    if path.contains("mute") {
        return std::future::pending().await;
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await;
}

/// Starts a proxy with a stopped origin.
async fn start() -> (TestEnvironment, StubState) {
    start_with(&[]).await
}

/// The same with these settings.
async fn start_with(overrides: &[(&str, Json)]) -> (TestEnvironment, StubState) {
    let (env, origin) = (TestEnvironment::start(overrides).await, StubState::default());
    let moved =
        target("s-origin", &start_stopped_origin(origin.clone()).await.to_string(), "origin", "active");
    let list = json!({"rev": 42, "all": false, "targets": [moved]}).to_string();
    env.discovery_replies.send(list).await.unwrap();
    env.wait_for_counter("list_answers 1").await;
    (env, origin)
}

/// Sends a whole write. Returns when its last byte was sent.
async fn write(client: &mut Client, key: &str) -> Instant {
    let value = patterned_value(VALUE_BYTES);
    begin_write(client, key, LABELS, &value, VALUE_BYTES).await;
    end_write(client, &value).await;
    Instant::now()
}

/// The reply, and how long after `sent_at` it came.
async fn reply_after(client: &mut Client, sent_at: Instant) -> (String, Duration) {
    let reply = timeout(Duration::from_secs(6), client.reply()).await;
    (reply.unwrap_or_else(|_| "none".into()), sent_at.elapsed())
}

/// Guards against a long write without an answer in its client's time while the origin stops in the middle of it. It
/// can't have run, so the client may send it again, and it must never run after that answer.
#[tokio::test]
async fn a_long_write_that_the_origin_does_not_take_is_answered_in_its_clients_time() {
    let (env, origin) = start().await;
    let mut client = env.client().await;
    let sent_at = write(&mut client, "w-stopped").await;
    let (reply, after) = reply_after(&mut client, sent_at).await;
    assert_eq!(reply, "-BUSY 250\n", "{}", env.counters);
    assert!(after < CLIENT_TIMEOUT + MARGIN, "{after:?}");
    // The rest of the value is discarded, and the connection stays usable.
    assert_eq!(client.get("hit").await, "hit: value of id-hit\n");
    origin.release(1);
    origin.wait_for("cut /w-stopped").await;
}

/// Guards against a time limit that begins anew once the origin has taken the last byte: the client's time counts from
/// when the proxy's machine had it. The write may have run, so it must not be shed.
#[tokio::test]
async fn the_time_of_a_long_write_counts_from_its_arrival_not_from_when_the_origin_took_it() {
    let (env, origin) = start().await;
    let mut client = env.client().await;
    let sent_at = write(&mut client, "w-mute").await;
    sleep(CLIENT_TIMEOUT * 6 / 10).await;
    origin.release(1);
    let (reply, after) = reply_after(&mut client, sent_at).await;
    assert_eq!(
        (reply.as_str(), origin.log().contains("whole /w-mute")),
        ("-ERR failed\n", true),
        "{}",
        origin.log()
    );
    assert!(after < CLIENT_TIMEOUT + MARGIN, "{after:?}");
}

/// Guards against a time that counts from the first byte of a write whose client is slow: the origin stops only after
/// that time has passed since the first byte.
#[tokio::test]
async fn a_slow_long_write_keeps_its_time_while_the_origin_stops() {
    let (env, origin) = start().await;
    let mut client = env.client().await;
    let value = patterned_value(VALUE_BYTES);
    begin_write(&mut client, "w-slow", LABELS, &value, VALUE_BYTES).await;
    sleep(CLIENT_TIMEOUT + MARGIN).await;
    end_write(&mut client, &value).await;
    let sent_at = Instant::now();
    sleep(CLIENT_TIMEOUT * 6 / 10).await;
    origin.release(1);
    let (reply, after) = reply_after(&mut client, sent_at).await;
    assert_eq!(reply, "ok\n", "after {after:?}: {}", env.counters);
}

/// Guards against an arrival that is noticed only when the value is read: the write lies behind a read that is not
/// answered yet.
#[tokio::test]
async fn a_long_write_behind_a_slow_read_is_answered_in_its_clients_time() {
    let (env, _origin) = start().await;
    let mut client = env.client().await;
    client.send(&["C.GET", "held", "held", "c=read,d=3000"]).await;
    env.cache.wait_for("C.GET held").await;
    let sent_at = write(&mut client, "w-behind").await;
    sleep(CLIENT_TIMEOUT * 6 / 10).await;
    env.cache.release(1);
    let (read, _) = reply_after(&mut client, sent_at).await;
    let (reply, after) = reply_after(&mut client, sent_at).await;
    assert_eq!((read.as_str(), reply.as_str()), ("value of held\n", "-BUSY 250\n"), "{}", env.counters);
    assert!(after < CLIENT_TIMEOUT + MARGIN, "{after:?}");
}

/// Guards against a wait without end for the reply to a write whose client falls silent: the write waits for the rest of
/// the value, and the error that ends the connection waits for the reply to the write.
#[tokio::test]
async fn a_long_write_whose_client_falls_silent_is_answered_before_the_error() {
    let env = TestEnvironment::start(&[]).await;
    let mut client = env.client().await;
    let value = patterned_value(VALUE_BYTES);
    begin_write(&mut client, "w-silent", LABELS, &value, VALUE_BYTES).await;
    let silent_since = Instant::now();
    let (write, _) = reply_after(&mut client, silent_since).await;
    let (error, after) = reply_after(&mut client, silent_since).await;
    assert_eq!(
        (write.as_str(), error.as_str()),
        ("-BUSY 250\n", "-ERR Protocol error: command without end\n")
    );
    assert!(after < Duration::from_secs(4), "{after:?}");
    env.origin.wait_for("closed").await;
    assert!(!env.origin.log().contains("PUT /w-silent"), "{}", env.origin.log());
}

/// Guards against an attempt for a client that has left: the end of its stream lies behind the value of a long write, and
/// is seen only if the value is read while the replies to the commands before it are awaited.
#[tokio::test]
async fn a_client_that_leaves_behind_a_long_write_gets_no_further_attempt() {
    for length in [200_000, 500_000, 1_000_000, 2_000_000] {
        let env = TestEnvironment::start(&[]).await;
        let mut client = env.client().await;
        // The cache answers with a miss after 0.3 s; the origin would be the further attempt.
        client.send(&["C.GET", "late", "late", "c=read,d=3000"]).await;
        env.cache.wait_for("C.GET late").await;
        let mut stream = client.0.into_inner();
        let writing = tokio::spawn(async move {
            let _ = stream.write_all(&long_write("w-behind", LABELS, &patterned_value(length))).await;
        });
        sleep(Duration::from_millis(50)).await;
        writing.abort();
        let _ = writing.await;
        // By then the cache has answered with a miss.
        sleep(Duration::from_millis(600)).await;
        assert!(!env.origin.log().contains("GET /late"), "{length} bytes: {}", env.origin.log());
    }
}

/// Guards against a node that is told that a client waits longer than it does: a request behind a long write arrives while
/// the reply to a command before the write is awaited.
#[tokio::test]
async fn a_request_behind_a_long_write_keeps_its_time_of_arrival() {
    let env = TestEnvironment::start(&[]).await;
    let mut client = env.client().await;
    client.send(&["C.GET", "held", "held", "c=read,d=3000"]).await;
    env.cache.wait_for("C.GET held").await;
    let value = patterned_value(100_000);
    begin_write(&mut client, "w-before", LABELS, &value, value.len()).await;
    end_write(&mut client, &value).await;
    client.send(&["C.GET", "hit", "behind", "c=read,d=1000"]).await;
    sleep(Duration::from_millis(500)).await;
    env.cache.release(1);
    env.cache.wait_for("C.GET hit behind").await;
    let attempts = env.cache.attempts();
    let behind = attempts.iter().find(|attempt| attempt.id == "behind").unwrap();
    let held = attempts.iter().find(|attempt| attempt.id == "held").unwrap();
    let waited = behind.received_at.duration_since(held.received_at);
    let told = Duration::from_millis(behind.timeout_ms.unwrap());
    assert!(told + waited <= CLIENT_TIMEOUT + Duration::from_millis(50), "told {told:?} after {waited:?}");
}

/// Guards against a long write that is lost with the process: it is on its way to a stopped origin when the proxy leaves.
#[tokio::test]
async fn a_long_write_that_the_origin_does_not_take_is_answered_before_the_process_ends() {
    let long_timeout = |key| (key, json!(60_000_000));
    let overrides = [
        long_timeout("/settings/routes/1/overall-timeout-us"),
        long_timeout("/settings/routes/1/latency-objective-us"),
    ];
    let (mut env, origin) = start_with(&overrides).await;
    let mut client = env.client().await;
    let value = patterned_value(VALUE_BYTES);
    begin_write(&mut client, "w-leaves", "c=put,d=60000", &value, VALUE_BYTES).await;
    end_write(&mut client, &value).await;
    origin.wait_for("head of /w-leaves").await;
    env.stop().await;
    assert_eq!(client.reply().await + &client.reply().await, "-ERR failed\nclosed\n");
    env.proxy_task.await.expect("the proxy panicked");
    origin.release(1);
    origin.wait_for("cut /w-leaves").await;
}
