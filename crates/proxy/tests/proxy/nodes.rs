//! Tries: what goes out, what each end means, and what becomes of connections.

use crate::TestEnvironment;
use crate::cancellation::DelayedNode;
use expect_test::expect;
use pumicebay::upstream::connection::is_open_and_empty;
use serde_json::json;
use std::io::Write;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

#[tokio::test]
async fn each_end_of_a_try_is_told_apart_and_answered_once() {
    let world = TestEnvironment::start(&[]).await;
    let mut client = world.client().await;
    let mut replies = String::new();
    for key in [
        "hit",
        "miss",
        "miss-error",
        "miss-away",
        "miss-maybe",
        "miss-mute",
        "fail",
        "busy",
        "garbage",
        "odd",
        "cut",
        "short",
        "twice",
        "miss-early",
        "miss-flood",
    ] {
        replies += &client.get(key).await;
    }
    replies += &client.execute(&["C.SET", "hit/é", "w1", "c=put,t=acme,d=3000,size=5", "bytes"]).await;
    replies += &client.execute(&["C.SET", "x-error", "w2", "c=put,d=3000", "bytes"]).await;
    replies += &client.execute(&["C.SET", "x-away", "w3", "c=put,d=3000", "bytes"]).await;
    let counted = world.counter_lines("tries");
    let tries: Vec<&str> = counted.lines().filter(|line| !line.ends_with(" 0")).collect();
    replies += &format!("{}\n", tries.join(", "));
    world.assert_traffic(
        &replies,
        expect![[r#"
            hit: value of id-hit
            miss: origin's id-miss
            miss-error: -BUSY 250
            miss-away: -BUSY 250
            miss-maybe: -BUSY 250
            miss-mute: -BUSY 250
            fail: origin's id-fail
            busy: origin's id-busy
            garbage: origin's id-garbage
            odd: origin's id-odd
            cut: origin's id-cut
            short: origin's id-short
            twice: value
            miss-early: origin's id-miss-early
            miss-flood: -BUSY 250
            hit/é: origin's w1
            x-error: -ERR failed
            x-away: -BUSY 250
            tries_sent 36, tries_completed 11, tries_missed 7, tries_errored 11, tries_saturated 3, tries_severed 4
            -- cache node
            1: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET miss id-miss c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET miss-error id-miss-error c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET miss-away id-miss-away c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET miss-maybe id-miss-maybe c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET miss-mute id-miss-mute c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET fail id-fail c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET busy id-busy c=read,t=acme,d=LEFT,size=9,k=x
            1: C.GET garbage id-garbage c=read,t=acme,d=LEFT,size=9,k=x
            1: closed
            2: C.GET odd id-odd c=read,t=acme,d=LEFT,size=9,k=x
            2: closed
            3: C.GET cut id-cut c=read,t=acme,d=LEFT,size=9,k=x
            3: closed
            4: C.GET short id-short c=read,t=acme,d=LEFT,size=9,k=x
            4: closed
            5: C.GET twice id-twice c=read,t=acme,d=LEFT,size=9,k=x
            5: closed
            6: C.GET miss-early id-miss-early c=read,t=acme,d=LEFT,size=9,k=x
            6: C.GET miss-flood id-miss-flood c=read,t=acme,d=LEFT,size=9,k=x
            -- origin
            1: GET /miss id-miss c=read,t=acme,d=LEFT,size=9,k=x
            1: GET /miss-error id-miss-error c=read,t=acme,d=LEFT,size=9,k=x
            1: GET /miss-error id-miss-error c=read,t=acme,d=LEFT,size=9,k=x
            1: GET /miss-away id-miss-away c=read,t=acme,d=LEFT,size=9,k=x
            1: GET /miss-maybe id-miss-maybe c=read,t=acme,d=LEFT,size=9,k=x
            1: GET /miss-maybe id-miss-maybe c=read,t=acme,d=LEFT,size=9,k=x
            1: GET /miss-mute id-miss-mute c=read,t=acme,d=LEFT,size=9,k=x
            2: GET /miss-mute id-miss-mute c=read,t=acme,d=LEFT,size=9,k=x
            3: GET /miss-mute id-miss-mute c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /fail id-fail c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /busy id-busy c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /garbage id-garbage c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /odd id-odd c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /cut id-cut c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /short id-short c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /miss-early id-miss-early c=read,t=acme,d=LEFT,size=9,k=x
            4: GET /miss-flood id-miss-flood c=read,t=acme,d=LEFT,size=9,k=x
            4: closed
            5: GET /miss-flood id-miss-flood c=read,t=acme,d=LEFT,size=9,k=x
            5: closed
            6: PUT /hit%2F%C3%A9 w1 c=put,t=acme,d=LEFT,size=5 bytes
            6: PUT /x-error w2 c=put,d=LEFT bytes
            6: PUT /x-away w3 c=put,d=LEFT bytes
        "#]],
    );
}

/// Guards the origin from work for those who have left: it once was told what the client had said at first.
#[tokio::test]
async fn a_further_try_tells_no_more_time_than_its_client_has_left() {
    let world = TestEnvironment::start(&[]).await;
    assert_eq!(world.client().await.get("late").await, "late: origin's id-late\n");
    let origin = world.origin.log();
    let told = origin.split("d=").nth(1).and_then(|rest| rest.split(',').next()).unwrap();
    let told: u64 = told.parse().unwrap();
    assert!((1..=2700).contains(&told), "{told} ms of 3000 after a miss of 300");
}

/// What comes behind a good answer is seen before the connection is used again, also where the runtime has
/// not looked since.
#[tokio::test]
async fn a_second_copy_is_seen_at_once() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (mut node, _) = listener.accept().unwrap();
    node.write_all(b"answer").unwrap();
    stream.readable().await.unwrap();
    assert_eq!(stream.try_read(&mut [0; 64]).unwrap(), 6);
    assert!(is_open_and_empty(&stream));
    node.write_all(b"answer").unwrap();
    assert!(!is_open_and_empty(&stream));
}

/// Answers come in order, so a try that is given up takes its connection with it, and no other try.
#[tokio::test]
async fn giving_up_a_try_closes_its_connection_alone() {
    let world = TestEnvironment::start(&[]).await;
    let (mut one, mut other) = (world.client().await, world.client().await);
    one.send(&["C.GET", "hang", "id-1", "c=quick,d=150"]).await;
    world.cache.wait_for("hang").await;
    other.send(&["C.GET", "slow", "id-2", "c=read,d=3000"]).await;
    let mut replies = one.reply().await;
    world.cache.wait_for("1: closed").await;
    replies += &other.reply().await;
    replies += &other.get("hit").await;
    world.assert_traffic(
        &replies,
        expect![[r#"
            origin's id-1
            value of id-2
            hit: value of id-hit
            -- cache node
            1: C.GET hang id-1 c=quick,d=LEFT
            1: closed
            2: C.GET slow id-2 c=read,d=LEFT
            2: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
            -- origin
            1: GET /hang id-1 c=quick,d=LEFT
        "#]],
    );
}

#[tokio::test]
async fn idle_connections_are_used_again_and_dropped_before_their_time() {
    let world = TestEnvironment::start(&[("/settings/permissions/conn-idle-us", json!(3_000_000))]).await;
    let mut client = world.client().await;
    let mut replies = client.get("hit-1").await + &client.get("hit-2").await;
    world.cache.wait_for("1: closed").await;
    replies += &client.get("hit-3").await;
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit-1: value of id-hit-1
        hit-2: value of id-hit-2
        hit-3: value of id-hit-3
        -- cache node
        1: C.GET hit-1 id-hit-1 c=read,t=acme,d=LEFT,size=9,k=x
        1: C.GET hit-2 id-hit-2 c=read,t=acme,d=LEFT,size=9,k=x
        1: closed
        2: C.GET hit-3 id-hit-3 c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
    "#]],
    );
}

/// No connection to the cache node comes up, so the try never ran and the origin is asked.
async fn a_miss_goes_by_the_cache_at(endpoint: &str) {
    let world = TestEnvironment::start(&[]).await;
    let moved = crate::target("s-cache", endpoint, "node", "active");
    world
        .discovery_replies
        .send(json!({"rev": 42, "all": false, "targets": [moved]}).to_string())
        .await
        .unwrap();
    world.discovery.wait_for("index=42").await;
    let reply = world.client().await.get("miss").await;
    world.wait_for_counter("tries_unreachable 1").await;
    world.assert_traffic(
        &reply,
        expect![[r#"
        miss: origin's id-miss
        -- cache node
        -- origin
        1: GET /miss id-miss c=read,t=acme,d=LEFT,size=9,k=x
    "#]],
    );
}

#[tokio::test]
async fn a_node_that_is_not_there_never_ran_a_try() {
    let dead = {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap().to_string()
    };
    a_miss_goes_by_the_cache_at(&dead).await;
}

/// As with a machine that is cut off: its queue for connections is full, so the next never comes up.
#[tokio::test]
async fn a_connection_that_never_comes_up_is_given_up_in_time() {
    let late = DelayedNode::start().await;
    a_miss_goes_by_the_cache_at(&late.address.to_string()).await;
}

#[tokio::test]
async fn without_a_connection_to_spare_a_try_is_not_sent() {
    let world = TestEnvironment::start_with(&[], |config| config.max_node_connections = 1).await;
    let (mut one, mut other) = (world.client().await, world.client().await);
    one.send(&["C.GET", "hang", "id-1", "c=read,d=1000"]).await;
    world.cache.wait_for("hang").await;
    let mut replies = other.get("hit").await + &one.reply().await;
    world.cache.wait_for("1: closed").await;
    replies += &other.get("hit").await;
    world.wait_for_counter("tries_unsent 1").await;
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit: -BUSY 250
        -BUSY 250
        hit: value of id-hit
        -- cache node
        1: C.GET hang id-1 c=read,d=LEFT
        1: closed
        2: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
    "#]],
    );
}

#[tokio::test]
async fn an_idle_connection_makes_room_for_one_to_another_node() {
    let world = TestEnvironment::start_with(&[], |config| config.max_node_connections = 1).await;
    let mut client = world.client().await;
    let mut replies = client.get("hit").await + &client.get("miss").await;
    world.wait_for_counter("connections_closed_for_room 1").await;
    replies += &client.get("hit").await;
    world.origin.wait_for("1: closed").await;
    world.assert_traffic(
        &replies,
        expect![[r#"
        hit: value of id-hit
        miss: origin's id-miss
        hit: value of id-hit
        -- cache node
        1: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        1: C.GET miss id-miss c=read,t=acme,d=LEFT,size=9,k=x
        1: closed
        2: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
        1: GET /miss id-miss c=read,t=acme,d=LEFT,size=9,k=x
        1: closed
    "#]],
    );
}

#[tokio::test]
async fn a_client_that_left_costs_nobody_a_connection() {
    let world = TestEnvironment::start(&[]).await;
    let mut leaver = world.client().await;
    leaver.send(&["C.GET", "slow", "id-1", "c=read,d=3000"]).await;
    world.cache.wait_for("slow").await;
    drop(leaver);
    world.wait_for_counter("exchanges_dropped 1").await;
    world.wait_for_counter("tries_completed 1").await;
    sleep(Duration::from_millis(20)).await;
    let reply = world.client().await.get("hit").await;
    world.assert_traffic(
        &reply,
        expect![[r#"
        hit: value of id-hit
        -- cache node
        1: C.GET slow id-1 c=read,d=LEFT
        1: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        -- origin
    "#]],
    );
}
