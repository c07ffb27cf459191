//! The clients' side: order, bad input, limits, slow readers.

use crate::cancellation::wait_until_all_attempts_ended;
use crate::{Client, TestEnvironment, patterned_value};
use expect_test::expect;
use futures_util::StreamExt;
use pumicebay::resp::Frame;
use serde_json::{Value as Json, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

#[tokio::test]
async fn answers_come_in_the_order_of_commands_while_others_go_on() {
    let world = TestEnvironment::start(&[]).await;
    let (mut client, mut other) = (world.client().await, world.client().await);
    client.send(&["C.GET", "slow", "id-1", "c=read,d=3000"]).await;
    world.cache.wait_for("slow").await;
    client.send(&["C.GET", "hit", "id-2", "c=read,d=3000"]).await;
    client.send(&["PING"]).await;
    world.cache.wait_for("hit").await;
    let mut replies = other.get("hit-other").await;
    for _ in 0..3 {
        replies += &client.reply().await;
    }
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit-other: value of id-hit-other
        value of id-1
        value of id-2
        +PONG
        -- cache node
        1: C.GET slow id-1 c=read,d=LEFT
        2: C.GET hit id-2 c=read,d=LEFT
        2: C.GET hit-other id-hit-other c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
    "#]],
    );
}

/// Commands ahead of their answers share a bound, which connections with nothing pending do not use up.
#[tokio::test]
async fn only_commands_ahead_of_their_answers_count_against_the_bound() {
    let world = TestEnvironment::start_with(&patient(), |config| config.max_pipelined_commands = 1).await;
    let (mut idle, mut client) = (world.client().await, world.client().await);
    let mut replies = idle.execute(&["PING"]).await;
    for key in ["slow", "hit-1", "hit-2"] {
        client.send(&["C.GET", key, key, "c=read,d=3000"]).await;
        if key != "hit-2" {
            world.cache.wait_for(key).await;
        }
    }
    for _ in 0..3 {
        replies += &client.reply().await;
    }
    world.assert_traffic(
        &replies,
        expect![[r#"
        PING: +PONG
        value of slow
        value of hit-1
        value of hit-2
        -- cache node
        1: C.GET slow slow c=read,d=LEFT
        2: C.GET hit-1 hit-1 c=read,d=LEFT
        2: C.GET hit-2 hit-2 c=read,d=LEFT
        -- origin
    "#]],
    );
}

#[tokio::test]
async fn bad_commands_get_a_plain_error_and_the_connection_goes_on() {
    let world = TestEnvironment::start(&[]).await;
    let mut client = world.client().await;
    let mut replies = String::new();
    for words in [
        &["PING"][..],
        &["PING", "text"],
        &["HELLO", "3"],
        &["CLIENT", "SETNAME", "x"],
        &["SELECT", "0"],
        &["GET", "key"],
        &["C.GET", "key"],
        &["C.SET", "key", "id", "c=read,d=9"],
        &["C.GET", "key", "id", "c=nothing,d=9"],
        &["C.GET", "key", "id", "t=acme,d=9"],
        &["C.GET", "key", "id", "c=read,d=soon"],
        &["C.GET", "key", "id", "c=read,d=-1"],
        &["C.GET", "key", "id", "c=read,d"],
        &["C.GET", "", "id", "c=read,d=9"],
        &["C.GET", "key", "", "c=read"],
        &["C.GET", "key", "a\r\nX-Bad: 1", "c=read,d=9"],
        &["C.GET", "key", "id", "c=read,x=\r\n,d=9"],
        &["C.GET", "hit", "id", "c=read,t=nobody,d=99999999999999999999"],
        &["C.GET", "hit", "no-d", "c=read"],
        &["C.GET", "hit", "large-d", "c=read,d=18446744073709551615"],
    ] {
        replies += &format!("{}: ", words.join(" ").escape_debug());
        client.send(words).await;
        replies += &client.reply().await;
    }
    replies += &world.counter_lines("bad_commands");
    world.assert_traffic(
        &replies,
        expect![[r#"
            PING: +PONG
            PING text: text
            HELLO 3: -ERR unknown command 'HELLO'
            CLIENT SETNAME x: +OK
            SELECT 0: +OK
            GET key: -ERR unknown command 'GET'
            C.GET key: -ERR wrong number of arguments for 'C.GET'
            C.SET key id c=read,d=9: -ERR wrong number of arguments for 'C.SET'
            C.GET key id c=nothing,d=9: -ERR label 'c': unknown or missing class
            C.GET key id t=acme,d=9: -ERR label 'c': unknown or missing class
            C.GET key id c=read,d=soon: -ERR label 'd': expected a number
            C.GET key id c=read,d=-1: -ERR label 'd': expected a number
            C.GET key id c=read,d: -ERR label 'd' without value
            C.GET  id c=read,d=9: -ERR empty key or id, or control characters in id or labels
            C.GET key  c=read: -ERR empty key or id, or control characters in id or labels
            C.GET key a\r\nX-Bad: 1 c=read,d=9: -ERR empty key or id, or control characters in id or labels
            C.GET key id c=read,x=\r\n,d=9: -ERR empty key or id, or control characters in id or labels
            C.GET hit id c=read,t=nobody,d=99999999999999999999: -ERR label 'd': expected a number
            C.GET hit no-d c=read: value of no-d
            C.GET hit large-d c=read,d=18446744073709551615: value of large-d
            bad_commands 14
            -- cache node
            1: C.GET hit no-d c=read,d=LEFT
            1: C.GET hit large-d c=read,d=LEFT
            -- origin
        "#]],
    );
}

/// What nodes can't use is told to the client alone: no other node is asked, and none is set aside for it.
#[tokio::test]
async fn what_a_node_rejects_is_no_fault_of_the_node() {
    let world = TestEnvironment::start(&[]).await;
    let mut client = world.client().await;
    let mut replies = client.get("miss-reject").await;
    for _ in 0..12 {
        replies = replies + &client.get("reject").await;
    }
    replies += &client.get("hit").await;
    replies += &world.counter_lines("exchanges_rejected");
    expect![[r#"
        miss-reject: -ERR origin: status 400
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        reject: -ERR bad request
        hit: value of id-hit
        exchanges_rejected 13
    "#]]
    .assert_eq(&replies);
}

#[tokio::test]
async fn the_id_of_an_open_request_is_answered_to_its_own_client_alone() {
    let world = TestEnvironment::start(&[]).await;
    let (mut client, mut other) = (world.client().await, world.client().await);
    client.send(&["C.GET", "slow", "id-1", "c=read,d=3000"]).await;
    world.cache.wait_for("slow").await;
    let mut replies = other.execute(&["C.GET", "hit", "id-1", "c=read,d=3000"]).await;
    replies += &client.reply().await;
    replies += &other.execute(&["C.GET", "hit", "id-1", "c=read,d=3000"]).await;
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit: -ERR id of an open request
        value of id-1
        hit: value of id-1
        -- cache node
        1: C.GET slow id-1 c=read,d=LEFT
        1: C.GET hit id-1 c=read,d=LEFT
        -- origin
    "#]],
    );
}

#[tokio::test]
async fn what_is_no_resp_is_told_and_closed_after_what_came_before() {
    let world = TestEnvironment::start(&[]).await;
    let ping = "*1\r\n$4\r\nPING\r\n";
    let mut replies = String::new();
    for bytes in [
        "PING\r\n".to_string(),
        format!("{ping}*1\r\n$-7\r\n"),
        "*1\r\n$65537\r\n".into(),
        "*99999\r\n".into(),
        "*1\r\n$4\r\nPINGxx".into(),
        "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n".into(),
        format!("*{}", "1".repeat(1100)),
        "*1\r\n:5\r\n*-1\r\n$1\r\nx\r\n*0\r\n!".into(),
        "\0\0\0".into(),
        format!("*2\r\n$65536\r\n{0}\r\n$65536\r\n{0}\r\n", "x".repeat(65536)),
    ] {
        let mut stream = TcpStream::connect(world.address).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut reply = String::new();
        let _ = timeout(Duration::from_secs(5), stream.read_to_string(&mut reply)).await.expect("closed");
        replies += &format!(
            "{}: {}\n",
            bytes.chars().take(40).collect::<String>().escape_debug(),
            reply.escape_debug()
        );
    }
    let alive = world.client().await.get("hit").await;
    world.assert_traffic(&(replies + &alive), expect![[r#"
        PING\r\n: -ERR Protocol error: expected a RESP type\r\n
        *1\r\n$4\r\nPING\r\n*1\r\n$-7\r\n: +PONG\r\n-ERR Protocol error: invalid bulk length\r\n
        *1\r\n$65537\r\n: -ERR Protocol error: bulk string too long\r\n
        *99999\r\n: -ERR Protocol error: array too long or too deep\r\n
        *1\r\n$4\r\nPINGxx: -ERR Protocol error: bulk string without end\r\n
        *1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n: -ERR Protocol error: array too long or too deep\r\n
        *111111111111111111111111111111111111111: -ERR Protocol error: line too long\r\n
        *1\r\n:5\r\n*-1\r\n$1\r\nx\r\n*0\r\n!: -ERR expected a command of bulk strings\r\n-ERR expected a command\r\n-ERR expected a command\r\n-ERR empty command\r\n-ERR Protocol error: expected a RESP type\r\n
        \0\0\0: -ERR Protocol error: expected a RESP type\r\n
        *2\r\n$65536\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxx: -ERR Protocol error: frame too long\r\n
        hit: value of id-hit
        -- cache node
        1: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
    "#]]);
}

/// So many clients that have had an answer to a PING.
async fn greeted(world: &TestEnvironment, clients: usize) -> Vec<Client> {
    let mut greeted = Vec::new();
    for _ in 0..clients {
        let mut client = world.client().await;
        assert_eq!(client.execute(&["PING"]).await, "PING: +PONG\n");
        greeted.push(client);
    }
    greeted
}

#[tokio::test]
async fn past_the_cap_the_connection_that_is_idle_longest_makes_room() {
    // 96 descriptors leave 38 for clients.
    let world = TestEnvironment::start(&[("/limits/sockets", json!(96))]).await;
    let mut clients = greeted(&world, 38).await;
    clients[0].send(&["C.GET", "slow", "busy-one", "c=read,d=3000"]).await;
    world.cache.wait_for("slow").await;
    let mut late = world.client().await;
    let mut replies = late.get("hit").await;
    replies += &clients[0].reply().await;
    replies += &clients[1].reply().await;
    replies += &clients[2].execute(&["PING"]).await;
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit: value of id-hit
        value of busy-one
        closed
        PING: +PONG
        -- cache node
        1: C.GET slow busy-one c=read,d=LEFT
        2: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
    "#]],
    );
}

/// Those that never asked for anything go first, and with room for all they go in time, also amid a command.
/// Who has asked before may write slowly.
#[tokio::test]
async fn what_says_nothing_whole_is_closed_in_time_and_first_for_room() {
    let world = TestEnvironment::start(&[("/limits/sockets", json!(96))]).await;
    let mut usual = greeted(&world, 20).await;
    let (mut silent, mut half) = (world.client().await, world.client().await);
    half.0.get_mut().write_all(b"*4\r\n$5\r\nC.G").await.unwrap();
    usual[0].0.get_mut().write_all(b"*1\r\n$4\r\nPI").await.unwrap();
    let mut replies = silent.reply().await + &half.reply().await + &half.reply().await;
    usual[0].0.get_mut().write_all(b"NG\r\n").await.unwrap();
    replies += &format!("slowly: {}", usual[0].reply().await);
    replies += &usual[1].execute(&["PING"]).await;
    replies += &format!("--\n{}", world.counter_lines("clients_"));
    // Eighteen that say nothing fill the room beside the twenty; the others are left before the door.
    let mut crowd = Vec::new();
    for _ in 0..60 {
        crowd.push(world.client().await);
    }
    world.wait_for_counter("clients_accepted 82").await;
    for client in &mut usual[1..] {
        assert_eq!(client.execute(&["PING"]).await, "PING: +PONG\n");
    }
    expect![[r#"
        -ERR Protocol error: no whole command in time
        -ERR Protocol error: no whole command in time
        closed
        slowly: +PONG
        PING: +PONG
        --
        clients_accepted 22
        clients_taken_over 0
        clients_passed_on 0
        clients_closed_for_room 0
        clients_silent 2
    "#]]
    .assert_eq(&replies);
}

/// Clients that use each connection once and keep it would have none left: the one kept longest is closed
/// while there is room for others yet.
#[tokio::test]
async fn used_connections_are_closed_before_they_fill_the_clients_allowance() {
    // Of 96 descriptors clients hold 32 for requests, and may keep 24.
    let world = TestEnvironment::start(&[("/limits/sockets", json!(96))]).await;
    let mut kept = Vec::new();
    for at in 0..26 {
        let mut client = world.client().await;
        client.get(&format!("hit-{at}")).await;
        kept.push(client);
    }
    let mut trace = String::new();
    for at in [0, 1] {
        trace += &format!("{at}: {}", kept[at].reply().await);
    }
    trace += &kept[2].get("hit-again").await;
    trace += &world.counter_lines("clients_closed");
    expect![[r#"
        0: closed
        1: closed
        hit-again: value of id-hit-again
        clients_closed_for_room 2
    "#]]
    .assert_eq(&trace);
}

/// Clients that stop amid a command hold no place that others need.
#[tokio::test]
async fn half_a_command_holds_no_place() {
    let world = TestEnvironment::start(&[("/limits/sockets", json!(96))]).await;
    let mut halves = Vec::new();
    for _ in 0..38 {
        let mut half = world.client().await;
        half.0.get_mut().write_all(b"*4\r\n$5\r\nC.G").await.unwrap();
        halves.push(half);
    }
    world.wait_for_counter("clients_accepted 38").await;
    let reply = world.client().await.get("hit").await;
    assert_eq!(reply, "hit: value of id-hit\n");
    world.wait_for_counter("clients_closed_for_room 1").await;
}

#[tokio::test]
async fn a_slow_reader_holds_up_nobody() {
    let world = TestEnvironment::start(&[]).await;
    let mut slow = world.client().await;
    for at in 0..500 {
        let (key, patience) = (format!("large-{at}"), Duration::from_millis(200));
        if timeout(patience, slow.send(&["C.GET", &key, &key, "c=read,d=3000"])).await.is_err() {
            break;
        }
    }
    // While its asks are still out a cache may have no room, and the origin serves as well.
    wait_until_all_attempts_ended(&world).await;
    let reply = world.client().await.get("hit").await;
    expect![[r#"
        hit: value of id-hit
    "#]]
    .assert_eq(&reply);
}

#[tokio::test]
async fn the_largest_value_passes_both_ways() {
    let world = TestEnvironment::start(&[]).await;
    let mut client = world.client().await;
    let value = "v".repeat(64 * 1024);
    let mut replies = client.execute(&["C.SET", "key", "w", "c=put,d=3000", &value]).await;
    replies += &client.get("large").await;
    expect![[r#"
        key: origin's w
        large: 60000 bytes
    "#]]
    .assert_eq(&replies);
}

/// The place that a long answer takes is had again after each, also after one that broke off: then the client's
/// connection ends, so that it can tell. What only claims to be long is tried elsewhere.
#[tokio::test]
async fn long_answers_pass_by_turns() {
    let world = TestEnvironment::start_with(&[], |config| config.max_streamed_values = 1).await;
    let mut replies = String::new();
    for key in ["huge", "huge", "miss-huge", "endless", "claims", "breaks", "hit", "huge"] {
        replies += &world.client().await.get(key).await;
    }
    expect![[r#"
        huge: 400000 bytes
        huge: 400000 bytes
        miss-huge: 300000 bytes
        endless: origin's id-endless
        claims: origin's id-claims
        breaks: broken: Other
        hit: value of id-hit
        huge: 400000 bytes
    "#]]
    .assert_eq(&replies);
    assert_eq!(world.counter_lines("values_broken"), "values_broken 1\n");
}

/// Settings under which no try is given up halfway to its objective while a busy machine is slow with the pieces.
fn patient() -> [(&'static str, Json); 2] {
    [
        ("/settings/routes/0/latency-objective-us", json!(20_000_000)),
        ("/settings/routes/0/overall-timeout-us", json!(40_000_000)),
    ]
}

#[tokio::test]
async fn four_mebibytes_pass_byte_for_byte_through_pieces_cut_anywhere() {
    let world = TestEnvironment::start(&patient()).await;
    let mut client = world.client().await;
    let value = patterned_value(4 << 20);
    for key in
        ["long-1-999", "long-2-1460", "long-3-16384", "long-4-65536", "long-5-1000003", "long-6-8000000"]
    {
        client.send(&["C.GET", key, key, "c=read,d=40000"]).await;
        let Some(Ok(Frame::Bulk(came))) = client.0.next().await else { panic!("{key}: no value") };
        assert!(came == value, "{key}: {} bytes", came.len());
    }
    assert_eq!(client.get("hit").await, "hit: value of id-hit\n");
}

/// Many at once, each far more than its place in memory, while most of their readers are slow: the others get theirs.
#[tokio::test]
async fn slow_readers_of_long_answers_hold_up_nobody() {
    // A connection may come up late where the machine is busy: forty do at once, on one thread with all that they bring.
    let patient = ("/settings/permissions/connect-timeout-us", json!(10_000_000));
    let world = TestEnvironment::start(&[("/limits/memory_mb", json!(32)), patient]).await;
    let mut slow = Vec::new();
    for at in 0..40 {
        let mut client = world.client().await;
        let key = format!("long-{at}-8000000");
        client.send(&["C.GET", &key, &key, "c=read,d=4000"]).await;
        slow.push(client);
        // One has begun before the next asks: the node's concurrency limit is 36 while nothing is measured.
        world.wait_for_counter(&format!("exchanges_completed {}", at + 1)).await;
    }
    let mut quick = world.client().await;
    assert_eq!(quick.get("hit").await, "hit: value of id-hit\n");
    assert_eq!(quick.get("huge").await, "huge: 400000 bytes\n");
    for mut client in slow {
        assert_eq!(client.reply().await, format!("{} bytes\n", 4 << 20), "{}", world.counters);
    }
}

/// Sends a long write in pieces; returns before its last byte.
async fn begin_write(client: &mut Client, key: &str, labels: &str, value: &[u8], cut: usize) {
    let words = ["C.SET", key, key, labels].map(|word| format!("${}\r\n{word}\r\n", word.len()));
    let head = format!("*5\r\n{}${}\r\n", words.concat(), value.len());
    let stream = client.0.get_mut();
    stream.write_all(head.as_bytes()).await.unwrap();
    for some in value[..value.len() - 1].chunks(cut) {
        stream.write_all(some).await.unwrap();
    }
}

async fn end_write(client: &mut Client, value: &[u8]) {
    let end = [&value[value.len() - 1..], b"\r\n"].concat();
    client.0.get_mut().write_all(&end).await.unwrap();
}

#[tokio::test]
async fn long_writes_go_to_the_origin_as_they_come_and_once() {
    let world = TestEnvironment::start(&[]).await;
    let mut client = world.client().await;
    let value = patterned_value(4 << 20);
    let mut replies = String::new();
    // An origin that errs or turns away the first try: the value is gone, and no other try is made.
    for (key, route) in
        [("w-good", "put"), ("w-error", "put"), ("w-error-2", "read"), ("w-away", "put"), ("w-no", "none")]
    {
        begin_write(&mut client, key, &format!("c={route},d=3000"), &value, 100_000).await;
        end_write(&mut client, &value).await;
        replies += &format!("{key}: {}", client.reply().await);
    }
    replies += &client.get("hit").await;
    expect![[r#"
        w-good: origin's w-good
        w-error: -ERR failed
        w-error-2: -BUSY 250
        w-away: -BUSY 250
        w-no: -ERR label 'c': unknown or missing class
        hit: value of id-hit
        1: PUT /w-good w-good c=put,d=LEFT 4194304 bytes
        1: PUT /w-error w-error c=put,d=LEFT 4194304 bytes
        1: PUT /w-error-2 w-error-2 c=read,d=LEFT 4194304 bytes
        1: PUT /w-away w-away c=put,d=LEFT 4194304 bytes
    "#]]
    .assert_eq(&format!("{replies}{}", world.origin.log()));
}

#[tokio::test]
async fn a_long_write_that_stops_ends_for_the_origin_too_and_slow_ones_are_awaited() {
    let world = TestEnvironment::start(&[("/settings/routes/1/overall-timeout-us", json!(300_000))]).await;
    let (mut stops, mut slow) = (world.client().await, world.client().await);
    let value = patterned_value(200_000);
    begin_write(&mut stops, "stops", "c=put,d=300", &value, 50_000).await;
    drop(stops);
    begin_write(&mut slow, "w-slow", "c=put,d=300", &value, 50_000).await;
    // Longer than its route waits: the time counts from the last byte.
    tokio::time::sleep(Duration::from_millis(600)).await;
    end_write(&mut slow, &value).await;
    let reply = slow.reply().await;
    world.origin.wait_for("closed").await;
    assert_eq!(reply, "origin's w-slow\n");
    assert!(!world.origin.log().contains("PUT /stops"), "{}", world.origin.log());
}

#[tokio::test]
async fn a_long_write_without_a_place_is_answered_by_its_length_alone() {
    let world = TestEnvironment::start_with(&[], |config| config.max_streamed_values = 1).await;
    let (mut one, mut other) = (world.client().await, world.client().await);
    let value = patterned_value(100_000);
    begin_write(&mut one, "w-one", "c=put,d=3000", &value, 50_000).await;
    world.wait_for_counter("exchanges_taken 1").await;
    begin_write(&mut other, "w-other", "c=put,d=3000", &value, 50_000).await;
    let mut replies = other.reply().await;
    end_write(&mut other, &value).await;
    end_write(&mut one, &value).await;
    replies += &one.reply().await;
    replies += &other.get("hit").await;
    expect![[r#"
        -BUSY
        origin's w-one
        hit: value of id-hit
    "#]]
    .assert_eq(&replies);
}
