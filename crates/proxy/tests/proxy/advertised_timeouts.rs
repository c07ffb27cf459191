//! The timeout that attempts advertise to their servers in label `d`. Guards against a timeout longer than
//! what the client has left, which counts from the last byte that the client wrote, however long the request
//! was delayed on its way: with it, servers, including the origin, would work for clients that have gone.

use crate::cancellation::{DelayedNode, move_node};
use crate::cli::{File, program};
use crate::operations::{Folder, start_process};
use crate::{ReceivedAttempt, StubState, TestEnvironment, configuration, target};
use pumicebay::front::client_stream::enable_timestamps;
use pumicebay::takeover::TakeoverSocket;
use pumicebay_core::policy::deadline::advertised_timeout_ms;
use pumicebay_names::stable_hash;
use serde_json::{Value as Json, json};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};

/// How long each test delays its request.
const HOLD_TIME: Duration = Duration::from_millis(400);
/// The kernel stamps packets some milliseconds after the first socket of the machine asks for it.
const TIMESTAMPS_BEGIN: Duration = Duration::from_millis(100);
/// The tolerance of the measurement, in milliseconds.
const TOLERANCE_MS: u64 = 50;
/// The timeout that clients send, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 3000;

/// A read command in RESP with these labels.
fn get_command(key: &str, labels: &str) -> Vec<u8> {
    let arguments = ["C.GET", key, "id-kept", labels];
    let bulk = |argument: &str| format!("${}\r\n{argument}\r\n", argument.len());
    format!("*4\r\n{}", arguments.map(bulk).concat()).into_bytes()
}

/// Asserts that there were `attempts` attempts of the request, and that each advertised no more than what was
/// left of `client_timeout_ms` counted from `sent_at`.
fn assert_timeouts_within(
    received: &[ReceivedAttempt],
    sent_at: Instant,
    client_timeout_ms: u64,
    attempts: usize,
) {
    let measured: Vec<&ReceivedAttempt> = received.iter().filter(|attempt| attempt.id == "id-kept").collect();
    assert_eq!(measured.len(), attempts, "{measured:?}");
    for attempt in measured {
        let elapsed = attempt.received_at.saturating_duration_since(sent_at).as_millis() as u64;
        let left = client_timeout_ms.saturating_sub(elapsed);
        let timeout_ms = attempt.timeout_ms.expect("an attempt without a timeout");
        assert!(
            timeout_ms >= 1 && timeout_ms <= left + TOLERANCE_MS,
            "advertised {timeout_ms} ms, {left} ms left after {elapsed} ms"
        );
    }
}

/// The attempts that the cache node and the origin received.
fn received_attempts(env: &TestEnvironment) -> Vec<ReceivedAttempt> {
    [env.cache.attempts(), env.origin.attempts()].concat()
}

#[test]
fn advertised_timeout_is_rounded_down_and_ends_by_both_deadlines() {
    const MS: u64 = 1_000_000;
    let cases = [
        (0, 124 * MS - 1, 900 * MS, Some(123)),
        (0, 900 * MS, 124 * MS - 1, Some(123)),
        (5 * MS, 6 * MS, 6 * MS, Some(1)),
        (5 * MS, 6 * MS - 1, 900 * MS, None),
        (5 * MS, 900 * MS, 4 * MS, None),
        (0, u64::MAX, u64::MAX, Some(u64::MAX / MS)),
    ];
    for (now, attempt_deadline, client_deadline, expected) in cases {
        assert_eq!(
            advertised_timeout_ms(now, attempt_deadline, client_deadline),
            expected,
            "{now} {attempt_deadline} {client_deadline}"
        );
    }
}

/// The first attempt, and the next one after a miss, a late miss, an error, a closed connection, a refusal as
/// busy and a timeout.
#[tokio::test]
async fn further_attempts_advertise_the_time_left() {
    for (key, attempts) in
        [("hit", 1), ("miss", 2), ("late", 2), ("fail", 2), ("cut", 2), ("busy", 2), ("hang", 2)]
    {
        let env =
            TestEnvironment::start(&[("/settings/routes/0/latency-objective-us", json!(600_000))]).await;
        let mut client = env.client().await;
        client.0.get_mut().write_all(&get_command(key, "c=read,d=3000")).await.unwrap();
        let sent_at = Instant::now();
        client.reply().await;
        assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, attempts);
    }
}

/// The route may have an earlier deadline than the client, or the client an earlier one than the route.
#[tokio::test]
async fn the_earlier_deadline_of_route_and_client_applies() {
    for (labels, client_timeout_ms) in [
        ("c=quick,d=60000", 200),
        ("c=quick", 200),
        ("c=quick,d=18446744073709551615", 200),
        ("c=read,d=120", 120),
        ("c=read,d=120,r=1", 120),
    ] {
        let env = TestEnvironment::start(&[]).await;
        let mut client = env.client().await;
        client.0.get_mut().write_all(&get_command("miss", labels)).await.unwrap();
        let sent_at = Instant::now();
        assert_eq!(client.reply().await, "origin's id-kept\n", "{labels}");
        assert_timeouts_within(&received_attempts(&env), sent_at, client_timeout_ms, 2);
    }
    // A timeout of zero: the request is answered at once, and no attempt is made.
    let env = TestEnvironment::start(&[]).await;
    let mut client = env.client().await;
    client.0.get_mut().write_all(&get_command("hit", "c=read,d=0")).await.unwrap();
    let reply = client.reply().await;
    assert!(reply.starts_with("-BUSY"), "{reply}");
    assert_timeouts_within(&received_attempts(&env), Instant::now(), 0, 0);
}

/// Requests delayed by another request's fetch, by an earlier request of the key, and by a node at its
/// concurrency limit.
#[tokio::test]
async fn a_request_that_waits_for_others_advertises_the_time_left() {
    let ordered = ("/settings/routes/0/keep-order", json!(true));
    let large_fleet = ("/settings/fleet-size", json!(300));
    let rows = [
        (None, vec!["miss-held"], "miss-held", 2),
        (Some(ordered), vec!["held-1"], "held-1", 1),
        (Some(large_fleet), vec!["miss-held", "held-1"], "held-2", 1),
    ];
    for (overrides, held_keys, key, attempts) in rows {
        let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
        let overall = ("/settings/routes/0/overall-timeout-us", json!(20_000_000));
        let overrides: Vec<(&str, Json)> = overrides.into_iter().chain([objective, overall]).collect();
        let env = TestEnvironment::start(&overrides).await;
        let mut holding_clients = Vec::new();
        for held_key in held_keys {
            let mut client = env.client().await;
            client.send(&["C.GET", held_key, &format!("id-{held_key}"), "c=read,d=20000"]).await;
            let holding_stub = if held_key.starts_with("miss") { &env.origin } else { &env.cache };
            holding_stub.wait_for(&format!("id-{held_key}")).await;
            holding_clients.push(client);
        }
        let mut client = env.client().await;
        client.0.get_mut().write_all(&get_command(key, "c=read,d=3000")).await.unwrap();
        let sent_at = Instant::now();
        sleep(HOLD_TIME).await;
        env.cache.release(2);
        env.origin.release(2);
        client.reply().await;
        assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, attempts);
    }
}

/// The connection to the node is established 1.5 s late.
#[tokio::test]
async fn an_attempt_on_a_late_connection_advertises_the_time_left() {
    let connect = ("/settings/permissions/connect-timeout-us", json!(5_000_000));
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let env = TestEnvironment::start(&[connect, objective]).await;
    let delayed_node = DelayedNode::start().await;
    move_node(&env, "s-cache", "node", &delayed_node).await;
    let mut client = env.client().await;
    client.0.get_mut().write_all(&get_command("hit", "c=read,d=3000")).await.unwrap();
    let sent_at = Instant::now();
    env.wait_for_counter("tries_sent 1").await;
    sleep(Duration::from_millis(1500)).await;
    let stub = StubState::default();
    delayed_node.accept_connections(stub.clone());
    assert_eq!(client.reply().await, "value\n");
    let advertised_ms =
        stub.log().split("d=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    let left = CLIENT_TIMEOUT_MS.saturating_sub(sent_at.elapsed().as_millis() as u64);
    assert!(
        advertised_ms.is_some_and(|advertised| advertised <= left + TOLERANCE_MS),
        "advertised {advertised_ms:?} ms, {left} left"
    );
}

/// A command is unread behind another one on its connection, because the pipeline limit is reached.
#[tokio::test]
async fn an_unread_command_advertises_the_time_left() {
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let env = TestEnvironment::start_with(&[objective], |config| config.max_pipelined_commands = 0).await;
    let mut client = env.client().await;
    client.send(&["C.GET", "held-1", "id-first", "c=read,d=3000"]).await;
    env.cache.wait_for("id-first").await;
    client.0.get_mut().write_all(&get_command("miss", "c=read,d=3000")).await.unwrap();
    let sent_at = Instant::now();
    sleep(HOLD_TIME).await;
    env.cache.release(1);
    assert_eq!(client.reply().await + &client.reply().await, "value of id-first\norigin's id-kept\n");
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 2);
}

/// A command is in the proxy's buffer, behind as many as may await their replies on one connection.
#[tokio::test]
async fn a_buffered_command_advertises_the_time_left() {
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let env = TestEnvironment::start(&[objective]).await;
    let mut client = env.client().await;
    let mut commands = Vec::new();
    for number in 0..32 {
        let id = format!("id-{number}");
        commands.extend(
            String::from_utf8(get_command("held-1", "c=read,d=3000"))
                .unwrap()
                .replace("$7\r\nid-kept", &format!("${}\r\n{id}", id.len()))
                .into_bytes(),
        );
    }
    commands.extend(get_command("hit", "c=read,d=3000"));
    client.0.get_mut().write_all(&commands).await.unwrap();
    let sent_at = Instant::now();
    env.wait_for_counter("exchanges_taken 32").await;
    sleep(HOLD_TIME).await;
    env.cache.release(32);
    for _ in 0..33 {
        client.reply().await;
    }
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 1);
}

/// A command arrives in pieces: its client's timeout counts from its last byte, no earlier and no later.
#[tokio::test]
async fn a_command_in_pieces_counts_from_its_last_byte() {
    let env = TestEnvironment::start(&[]).await;
    let mut client = env.client().await;
    let command = get_command("miss", "c=read,d=3000");
    let (first, last) = command.split_at(command.len() - 1);
    for byte in first {
        client.0.get_mut().write_all(&[*byte]).await.unwrap();
        sleep(HOLD_TIME / first.len() as u32).await;
    }
    client.0.get_mut().write_all(last).await.unwrap();
    let sent_at = Instant::now();
    assert_eq!(client.reply().await, "origin's id-kept\n");
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 2);
    // The last attempt has nearly the whole timeout.
    let advertised_ms = env.origin.attempts()[0].timeout_ms.unwrap();
    assert!(
        advertised_ms + HOLD_TIME.as_millis() as u64 / 2 > CLIENT_TIMEOUT_MS,
        "advertised {advertised_ms} ms of {CLIENT_TIMEOUT_MS}"
    );
}

/// A command arrives while another task blocks the proxy's thread.
#[tokio::test]
async fn a_command_received_by_a_blocked_thread_advertises_the_time_left() {
    let env = TestEnvironment::start(&[]).await;
    for connected in [true, false] {
        let mut client = std::net::TcpStream::connect(env.address).unwrap();
        if connected {
            env.wait_for_counter("clients_accepted 1").await;
            sleep(Duration::from_millis(20)).await;
        }
        client.write_all(&get_command("miss", "c=read,d=3000")).unwrap();
        let (sent_at, before) = (Instant::now(), received_attempts(&env).len());
        std::thread::sleep(HOLD_TIME);
        env.wait_for_counter(&format!("exchanges_completed {}", if connected { 1 } else { 2 })).await;
        assert_timeouts_within(&received_attempts(&env)[before..], sent_at, CLIENT_TIMEOUT_MS, 2);
    }
}

/// A command arrives on a connection that waits at the connection limit.
#[tokio::test]
async fn a_command_on_a_connection_at_the_limit_advertises_the_time_left() {
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let env = TestEnvironment::start_with(&[objective], |config| config.max_client_connections = 1).await;
    let mut holding_client = env.client().await;
    holding_client.send(&["C.GET", "held-1", "id-holds", "c=read,d=3000"]).await;
    env.cache.wait_for("id-holds").await;
    let mut client = env.client().await;
    client.0.get_mut().write_all(&get_command("miss", "c=read,d=3000")).await.unwrap();
    let sent_at = Instant::now();
    sleep(HOLD_TIME).await;
    env.cache.release(1);
    holding_client.reply().await;
    drop(holding_client);
    assert_eq!(client.reply().await, "origin's id-kept\n");
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 2);
}

/// A long value is streamed to the origin. Its client's timeout counts from its last byte, so what is left at
/// its head is less than what is left at its end.
#[tokio::test]
async fn a_long_write_advertises_no_more_than_is_left_at_its_end() {
    let env = TestEnvironment::start(&[]).await;
    let mut client = env.client().await;
    let value = vec![b'v'; 200_000];
    let head = format!(
        "*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$7\r\nid-kept\r\n$12\r\nc=put,d=3000\r\n${}\r\n",
        value.len()
    );
    client.0.get_mut().write_all(head.as_bytes()).await.unwrap();
    client.0.get_mut().write_all(&value[..100_000]).await.unwrap();
    sleep(HOLD_TIME).await;
    client.0.get_mut().write_all(&value[100_000..]).await.unwrap();
    client.0.get_mut().write_all(b"\r\n").await.unwrap();
    let sent_at = Instant::now();
    assert_eq!(client.reply().await, "origin's id-kept\n");
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 1);
}

/// A request arrives at the listening socket, which the platform keeps open, before the process that accepts
/// it has started. The previous process serves on the same socket, as at an upgrade, so the kernel timestamps
/// what arrives.
#[test]
fn a_request_older_than_its_process_advertises_the_time_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(enable_timestamps(&socket));
    std::thread::sleep(TIMESTAMPS_BEGIN);
    let mut client = std::net::TcpStream::connect(socket.local_addr().unwrap()).unwrap();
    client.write_all(&get_command("miss", "c=read,d=3000")).unwrap();
    let sent_at = Instant::now();
    let env = runtime.block_on(async {
        sleep(HOLD_TIME).await;
        TestEnvironment::start(&[]).await
    });
    let mut targets = env.config_json["known"].clone();
    targets["targets"].as_array_mut().unwrap().push(target("s-gone", "127.0.0.1:9", "node", "leaving"));
    let json = configuration(&[("/known", targets), ("/discovery", json!("127.0.0.1:9"))]);
    let (file, folder) = (File::new("older-request", &json.to_string()), Folder::new("older-request"));
    let mut command = program(&["serve", "--config", file.path()]);
    command.stdin(std::os::fd::OwnedFd::from(socket)).env("PROXY_FD", "0").env("TMPDIR", &folder.0);
    let mut child = command.stderr(Stdio::null()).stdout(Stdio::null()).spawn().unwrap();
    let reply = runtime.block_on(async {
        let read = tokio::task::spawn_blocking(move || {
            let mut reply = [0; 4];
            client.read_exact(&mut reply).map(|()| reply)
        });
        read.await.unwrap()
    });
    child.kill().unwrap();
    child.wait().unwrap();
    assert_eq!(reply.unwrap(), *b"$16\r");
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 2);
}

/// A write that may have run is sent again where nodes discard repeats, while they still do.
#[tokio::test]
async fn a_resend_in_the_window_advertises_the_time_left() {
    let env = TestEnvironment::start(&[("/settings/routes/1/effect", json!("by_key"))]).await;
    let mut client = env.client().await;
    let command = "*5\r\n$5\r\nC.SET\r\n$6\r\nx-mute\r\n$7\r\nid-kept\r\n$12\r\nc=put,d=3000\r\n$1\r\nv\r\n";
    client.0.get_mut().write_all(command.as_bytes()).await.unwrap();
    let sent_at = Instant::now();
    let reply = client.reply().await;
    assert!(reply.starts_with("-BUSY"), "{reply}");
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 4);
}

/// A connection is passed to the process that replaces this one, with an unread command in it, whole or in
/// part.
#[tokio::test]
async fn a_request_passed_to_a_successor_advertises_the_time_left() {
    let env = TestEnvironment::start(&[]).await;
    let folder = Folder::new("passed-request");
    let private_folder = folder.0.join(format!("pumicebay-{:016x}", stable_hash("n0")));
    std::fs::create_dir(&private_folder).unwrap();
    std::fs::set_permissions(&private_folder, std::fs::Permissions::from_mode(0o700)).unwrap();
    let old = TakeoverSocket::bind(&private_folder).unwrap();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(enable_timestamps(&socket));
    let command = get_command("miss", "c=read,d=3000");
    let mut passed_connections = Vec::new();
    for read_before in [0, 20] {
        let mut client = std::net::TcpStream::connect(socket.local_addr().unwrap()).unwrap();
        let (mut stream, _) = socket.accept().unwrap();
        client.write_all(&command[..read_before]).unwrap();
        let mut read = vec![0; read_before];
        stream.read_exact(&mut read).unwrap();
        client.write_all(&command[read_before..]).unwrap();
        stream.set_nonblocking(true).unwrap();
        passed_connections.push((client, tokio::net::TcpStream::from_std(stream).unwrap(), read));
    }
    let sent_at = Instant::now();
    sleep(HOLD_TIME).await;
    let list = Some(env.config_json["known"].clone());
    let (mut new, _) = start_process(&env, &socket, &folder, "passed-request", list).await;
    for (mut client, stream, read) in passed_connections {
        old.successor().expect("no successor").pass(&stream, &read, true).await.unwrap();
        drop(stream);
        let reply = tokio::task::spawn_blocking(move || {
            let mut reply = [0; 4];
            client.read_exact(&mut reply).map(|()| reply)
        });
        assert_eq!(reply.await.unwrap().unwrap(), *b"$16\r");
    }
    tokio::task::spawn_blocking(move || new.stop()).await.unwrap();
    assert_timeouts_within(&received_attempts(&env), sent_at, CLIENT_TIMEOUT_MS, 4);
}
