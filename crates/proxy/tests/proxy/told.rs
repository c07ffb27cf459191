//! What attempts tell their servers: never more time than their clients have left, by the clients' own clocks, whatever
//! kept a request waiting on the way. A client's time counts from the last byte that it wrote.

use crate::cli::{File, program};
use crate::endings::{Late, move_node};
use crate::operations::{Folder, start_process};
use crate::{Told, Trace, World, configuration, target};
use pumicebay::client_stream::enable_timestamps;
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

/// How long each request is kept waiting, and what a measurement may be off by.
const KEPT: Duration = Duration::from_millis(400);
const SLACK: u64 = 50;
/// What clients say that they wait.
const PATIENCE: u64 = 3000;

/// A command whose client waits so long, as bytes.
fn get(key: &str, labels: &str) -> Vec<u8> {
    let words = ["C.GET", key, "id-kept", labels];
    let bulk = |word: &str| format!("${}\r\n{word}\r\n", word.len());
    format!("*4\r\n{}", words.map(bulk).concat()).into_bytes()
}

/// Each attempt told no more than what was left of a patience that began then; and there were so many of them.
fn within(told: &[Told], asked: Instant, patience: u64, attempts: usize) {
    let kept: Vec<&Told> = told.iter().filter(|told| told.id == "id-kept").collect();
    assert_eq!(kept.len(), attempts, "{kept:?}");
    for told in kept {
        let gone = told.at.saturating_duration_since(asked).as_millis() as u64;
        let left = patience.saturating_sub(gone);
        let millis = told.millis.expect("every attempt tells");
        assert!(millis >= 1 && millis <= left + SLACK, "told {millis} ms, {left} ms left after {gone} ms");
    }
}

/// What all stand-ins were told.
fn all(world: &World) -> Vec<Told> {
    [world.cache.told(), world.origin.told()].concat()
}

#[test]
fn what_is_told_is_rounded_down_and_never_past_either_end() {
    const MS: u64 = 1_000_000;
    let cases = [
        (0, 124 * MS - 1, 900 * MS, Some(123)),
        (0, 900 * MS, 124 * MS - 1, Some(123)),
        (5 * MS, 6 * MS, 6 * MS, Some(1)),
        (5 * MS, 6 * MS - 1, 900 * MS, None),
        (5 * MS, 900 * MS, 4 * MS, None),
        (0, u64::MAX, u64::MAX, Some(u64::MAX / MS)),
    ];
    for (now, attempt_ends, client_ends, expected) in cases {
        assert_eq!(
            advertised_timeout_ms(now, attempt_ends, client_ends),
            expected,
            "{now} {attempt_ends} {client_ends}"
        );
    }
}

/// The first attempt, and the next one after a miss, an error, a cut, a refusal and a time-out.
#[tokio::test]
async fn further_attempts_tell_what_is_left() {
    for (key, attempts) in
        [("hit", 1), ("miss", 2), ("late", 2), ("fail", 2), ("cut", 2), ("busy", 2), ("hang", 2)]
    {
        let world = World::start(&[("/settings/routes/0/latency-objective-us", json!(600_000))]).await;
        let mut client = world.client().await;
        client.0.get_mut().write_all(&get(key, "c=read,d=3000")).await.unwrap();
        let asked = Instant::now();
        client.reply().await;
        within(&all(&world), asked, PATIENCE, attempts);
    }
}

/// A class may have its own end before the client's, or the client one before the class's.
#[tokio::test]
async fn the_earlier_end_of_class_and_client_counts() {
    for (labels, patience) in [
        ("c=quick,d=60000", 200),
        ("c=quick", 200),
        ("c=quick,d=18446744073709551615", 200),
        ("c=read,d=120", 120),
        ("c=read,d=120,r=1", 120),
    ] {
        let world = World::start(&[]).await;
        let mut client = world.client().await;
        client.0.get_mut().write_all(&get("miss", labels)).await.unwrap();
        let asked = Instant::now();
        assert_eq!(client.reply().await, "origin's id-kept\n", "{labels}");
        within(&all(&world), asked, patience, 2);
    }
    // No time at all: answered at once, and nothing is begun.
    let world = World::start(&[]).await;
    let mut client = world.client().await;
    client.0.get_mut().write_all(&get("hit", "c=read,d=0")).await.unwrap();
    let reply = client.reply().await;
    assert!(reply.starts_with("-BUSY"), "{reply}");
    within(&all(&world), Instant::now(), 0, 0);
}

/// Behind the fetch of another, behind its key's turn, for room at a node.
#[tokio::test]
async fn what_waits_for_others_tells_what_is_left() {
    let ordered = ("/settings/routes/0/keep-order", json!(true));
    let one_of_many = ("/settings/fleet-size", json!(300));
    let rows = [
        (None, vec!["miss-held"], "miss-held", 2),
        (Some(ordered), vec!["held-1"], "held-1", 1),
        (Some(one_of_many), vec!["miss-held", "held-1"], "held-2", 1),
    ];
    for (set, holds, key, attempts) in rows {
        let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
        let overall = ("/settings/routes/0/overall-timeout-us", json!(20_000_000));
        let set: Vec<(&str, Json)> = set.into_iter().chain([objective, overall]).collect();
        let world = World::start(&set).await;
        let mut holders = Vec::new();
        for held in holds {
            let mut client = world.client().await;
            client.send(&["C.GET", held, &format!("id-{held}"), "c=read,d=20000"]).await;
            let holder = if held.starts_with("miss") { &world.origin } else { &world.cache };
            holder.until(&format!("id-{held}")).await;
            holders.push(client);
        }
        let mut client = world.client().await;
        client.0.get_mut().write_all(&get(key, "c=read,d=3000")).await.unwrap();
        let asked = Instant::now();
        sleep(KEPT).await;
        world.cache.release(2);
        world.origin.release(2);
        client.reply().await;
        within(&all(&world), asked, PATIENCE, attempts);
    }
}

/// The connection comes up 1.5 s late.
#[tokio::test]
async fn an_attempt_on_a_late_connection_tells_what_is_left() {
    let connect = ("/settings/permissions/connect-timeout-us", json!(5_000_000));
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let world = World::start(&[connect, objective]).await;
    let late = Late::start().await;
    move_node(&world, "s-cache", "node", &late).await;
    let mut client = world.client().await;
    client.0.get_mut().write_all(&get("hit", "c=read,d=3000")).await.unwrap();
    let asked = Instant::now();
    world.until_counted("tries_sent 1").await;
    sleep(Duration::from_millis(1500)).await;
    let trace = Trace::default();
    late.let_in(trace.clone());
    assert_eq!(client.reply().await, "value\n");
    let told = trace.text().split("d=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok());
    let left = PATIENCE.saturating_sub(asked.elapsed().as_millis() as u64);
    assert!(told.is_some_and(|told| told <= left + SLACK), "{told:?} ms told, {left} left");
}

/// Behind a command on its own connection, while the proxy has taken as many as it takes.
#[tokio::test]
async fn a_command_left_unread_tells_what_is_left() {
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let world = World::start_with(&[objective], |config| config.max_pipelined_commands = 0).await;
    let mut client = world.client().await;
    client.send(&["C.GET", "held-1", "id-first", "c=read,d=3000"]).await;
    world.cache.until("id-first").await;
    client.0.get_mut().write_all(&get("miss", "c=read,d=3000")).await.unwrap();
    let asked = Instant::now();
    sleep(KEPT).await;
    world.cache.release(1);
    assert_eq!(client.reply().await + &client.reply().await, "value of id-first\norigin's id-kept\n");
    within(&all(&world), asked, PATIENCE, 2);
}

/// In the proxy's own buffer, behind as many as are taken of one connection.
#[tokio::test]
async fn a_command_read_with_others_tells_what_is_left() {
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let world = World::start(&[objective]).await;
    let mut client = world.client().await;
    let mut commands = Vec::new();
    for number in 0..32 {
        let id = format!("id-{number}");
        commands.extend(
            String::from_utf8(get("held-1", "c=read,d=3000"))
                .unwrap()
                .replace("$7\r\nid-kept", &format!("${}\r\n{id}", id.len()))
                .into_bytes(),
        );
    }
    commands.extend(get("hit", "c=read,d=3000"));
    client.0.get_mut().write_all(&commands).await.unwrap();
    let asked = Instant::now();
    world.until_counted("exchanges_taken 32").await;
    sleep(KEPT).await;
    world.cache.release(32);
    for _ in 0..33 {
        client.reply().await;
    }
    within(&all(&world), asked, PATIENCE, 1);
}

/// A command comes in pieces: its client's time counts from its last byte, no sooner and no later.
#[tokio::test]
async fn a_command_in_pieces_counts_from_its_last_byte() {
    let world = World::start(&[]).await;
    let mut client = world.client().await;
    let command = get("miss", "c=read,d=3000");
    let (first, last) = command.split_at(command.len() - 1);
    for byte in first {
        client.0.get_mut().write_all(&[*byte]).await.unwrap();
        sleep(KEPT / first.len() as u32).await;
    }
    client.0.get_mut().write_all(last).await.unwrap();
    let asked = Instant::now();
    assert_eq!(client.reply().await, "origin's id-kept\n");
    within(&all(&world), asked, PATIENCE, 2);
    // The last attempt has all that is left.
    let told = world.origin.told()[0].millis.unwrap();
    assert!(told + KEPT.as_millis() as u64 / 2 > PATIENCE, "told {told} ms of {PATIENCE}");
}

/// The proxy has no turn for a while: another task of its thread holds it up.
#[tokio::test]
async fn a_command_that_came_while_the_thread_was_held_up_tells_what_is_left() {
    let world = World::start(&[]).await;
    for connected in [true, false] {
        let mut client = std::net::TcpStream::connect(world.address).unwrap();
        if connected {
            world.until_counted("clients_accepted 1").await;
            sleep(Duration::from_millis(20)).await;
        }
        client.write_all(&get("miss", "c=read,d=3000")).unwrap();
        let (asked, before) = (Instant::now(), all(&world).len());
        std::thread::sleep(KEPT);
        world.until_counted(&format!("exchanges_completed {}", if connected { 1 } else { 2 })).await;
        within(&all(&world)[before..], asked, PATIENCE, 2);
    }
}

/// There is no room for the client's connection for a while.
#[tokio::test]
async fn a_command_on_a_connection_that_waits_for_room_tells_what_is_left() {
    let objective = ("/settings/routes/0/latency-objective-us", json!(10_000_000));
    let world = World::start_with(&[objective], |config| config.max_client_connections = 1).await;
    let mut holds = world.client().await;
    holds.send(&["C.GET", "held-1", "id-holds", "c=read,d=3000"]).await;
    world.cache.until("id-holds").await;
    let mut client = world.client().await;
    client.0.get_mut().write_all(&get("miss", "c=read,d=3000")).await.unwrap();
    let asked = Instant::now();
    sleep(KEPT).await;
    world.cache.release(1);
    holds.reply().await;
    drop(holds);
    assert_eq!(client.reply().await, "origin's id-kept\n");
    within(&all(&world), asked, PATIENCE, 2);
}

/// A long value is passed on as it comes: its client's time counts from its last byte, so what is left at the head is
/// less than what is left at the end.
#[tokio::test]
async fn a_long_write_tells_no_more_than_is_left_at_its_end() {
    let world = World::start(&[]).await;
    let mut client = world.client().await;
    let value = vec![b'v'; 200_000];
    let head = format!(
        "*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$7\r\nid-kept\r\n$12\r\nc=put,d=3000\r\n${}\r\n",
        value.len()
    );
    client.0.get_mut().write_all(head.as_bytes()).await.unwrap();
    client.0.get_mut().write_all(&value[..100_000]).await.unwrap();
    sleep(KEPT).await;
    client.0.get_mut().write_all(&value[100_000..]).await.unwrap();
    client.0.get_mut().write_all(b"\r\n").await.unwrap();
    let asked = Instant::now();
    assert_eq!(client.reply().await, "origin's id-kept\n");
    within(&all(&world), asked, PATIENCE, 1);
}

/// A request lies in the listening socket that the platform holds, before the process that takes it is there. The
/// process before it serves on the same socket, as at an upgrade, so the kernel stamps what comes.
#[test]
fn a_request_older_than_its_process_tells_what_is_left() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(enable_timestamps(&socket));
    let mut client = std::net::TcpStream::connect(socket.local_addr().unwrap()).unwrap();
    client.write_all(&get("miss", "c=read,d=3000")).unwrap();
    let asked = Instant::now();
    let world = runtime.block_on(async {
        sleep(KEPT).await;
        World::start(&[]).await
    });
    let mut targets = world.json["known"].clone();
    targets["targets"].as_array_mut().unwrap().push(target("s-gone", "127.0.0.1:9", "node", "leaving"));
    let json = configuration(&[("/known", targets), ("/discovery", json!("127.0.0.1:9"))]);
    let (file, folder) = (File::new("told", &json.to_string()), Folder::new("told"));
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
    within(&all(&world), asked, PATIENCE, 2);
}

/// A write that may have run is sent again where copies are discarded, within their window.
#[tokio::test]
async fn a_resend_in_the_window_tells_what_is_left() {
    let world = World::start(&[("/settings/routes/1/effect", json!("by_key"))]).await;
    let mut client = world.client().await;
    let command = "*5\r\n$5\r\nC.SET\r\n$6\r\nx-mute\r\n$7\r\nid-kept\r\n$12\r\nc=put,d=3000\r\n$1\r\nv\r\n";
    client.0.get_mut().write_all(command.as_bytes()).await.unwrap();
    let asked = Instant::now();
    let reply = client.reply().await;
    assert!(reply.starts_with("-BUSY"), "{reply}");
    within(&all(&world), asked, PATIENCE, 4);
}

/// A connection goes over to the process that takes this one's place, with a command that lies in it unread, whole or in
/// part.
#[tokio::test]
async fn a_request_handed_over_tells_what_is_left() {
    let world = World::start(&[]).await;
    let folder = Folder::new("told-handed-over");
    let own = folder.0.join(format!("pumicebay-{:016x}", stable_hash("n0")));
    std::fs::create_dir(&own).unwrap();
    std::fs::set_permissions(&own, std::fs::Permissions::from_mode(0o700)).unwrap();
    let old = TakeoverSocket::bind(&own).unwrap();
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(enable_timestamps(&socket));
    let command = get("miss", "c=read,d=3000");
    let mut waiting = Vec::new();
    for read_before in [0, 20] {
        let mut client = std::net::TcpStream::connect(socket.local_addr().unwrap()).unwrap();
        let (mut stream, _) = socket.accept().unwrap();
        client.write_all(&command[..read_before]).unwrap();
        let mut read = vec![0; read_before];
        stream.read_exact(&mut read).unwrap();
        client.write_all(&command[read_before..]).unwrap();
        stream.set_nonblocking(true).unwrap();
        waiting.push((client, tokio::net::TcpStream::from_std(stream).unwrap(), read));
    }
    let asked = Instant::now();
    sleep(KEPT).await;
    let list = Some(world.json["known"].clone());
    let (mut new, _) = start_process(&world, &socket, &folder, "told-handed-over", list).await;
    for (mut client, stream, read) in waiting {
        old.successor().expect("another process").pass(&stream, &read, true).await.unwrap();
        drop(stream);
        let reply = tokio::task::spawn_blocking(move || {
            let mut reply = [0; 4];
            client.read_exact(&mut reply).map(|()| reply)
        });
        assert_eq!(reply.await.unwrap().unwrap(), *b"$16\r");
    }
    tokio::task::spawn_blocking(move || new.stop()).await.unwrap();
    within(&all(&world), asked, PATIENCE, 4);
}
