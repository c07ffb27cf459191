//! What is still owed, or must not happen any more, where something ends while it waits. Each crossing is
//! forced: the stand-in holds a connection or an answer until told, and the proxy's counters tell when it has
//! seen an end.

use crate::operations::Folder;
use crate::{Client, StubState, TestEnvironment, configuration, target};
use bytes::Bytes;
use expect_test::expect;
use futures_util::SinkExt;
use pumicebay::clients::{Frontend, accept};
use pumicebay::clock::Clock;
use pumicebay::config::{Config, parse};
use pumicebay::connection_limit::ConnectionLimit;
use pumicebay::counters::Counters;
use pumicebay::discovery::list::ListWatcher;
use pumicebay::dispatcher::Dispatcher;
use pumicebay::messages::{ClientRequest, Mailbox, channels};
use pumicebay::phases::{Phase, Phases};
use pumicebay::resp::Frame;
use pumicebay::routes::Routes;
use pumicebay::shared::Shared;
use pumicebay::takeover::TakeoverSocket;
use pumicebay::upstream::attempt::{self, NodeOperation, Target};
use pumicebay::upstream::pool::ConnectionPool;
use serde_json::{Value as Json, json};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

const LONG: &[(&str, u64)] = &[
    ("/settings/routes/0/overall-timeout-us", 60_000_000),
    ("/settings/routes/0/latency-objective-us", 60_000_000),
    ("/settings/permissions/connect-timeout-us", 30_000_000),
];

/// Times so long that nothing but what a test does ends anything.
fn patient(more: &[(&'static str, Json)]) -> Vec<(&'static str, Json)> {
    let long = LONG.iter().map(|(place, time)| (*place, json!(time)));
    long.chain(more.iter().cloned()).collect()
}

async fn patient_world(more: &[(&'static str, Json)]) -> TestEnvironment {
    TestEnvironment::start(&patient(more)).await
}

/// A node whose connections come up only once it is let: its queue is full until then.
pub struct DelayedNode {
    listener: TcpListener,
    pub address: SocketAddr,
    _filling: Vec<TcpStream>,
}

impl DelayedNode {
    pub async fn start() -> DelayedNode {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(0).unwrap();
        let (address, mut filling) = (listener.local_addr().unwrap(), Vec::new());
        while let Ok(Ok(stream)) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await {
            filling.push(stream);
        }
        DelayedNode { listener, address, _filling: filling }
    }

    /// From now on connections come up; what they bring is written down, and reads get answers.
    pub fn accept_connections(self, trace: StubState) {
        let DelayedNode { listener, _filling, .. } = self;
        tokio::spawn(async move {
            let _filling = _filling;
            for number in 1.. {
                let Ok((mut stream, _)) = listener.accept().await else { return };
                let trace = trace.clone();
                tokio::spawn(async move {
                    let mut some = [0; 4096];
                    while let Ok(length @ 1..) = stream.read(&mut some).await {
                        let text = String::from_utf8_lossy(&some[..length]).replace("\r\n", " ");
                        trace.record(&format!("{number}: {text}"));
                        let _ = stream.write_all(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n").await;
                    }
                });
            }
        });
    }
}

/// From now on this node is where connections come up late.
pub async fn move_node(world: &TestEnvironment, uid: &str, model: &str, late: &DelayedNode) {
    let moved = target(uid, &late.address.to_string(), model, "active");
    world
        .discovery_replies
        .send(json!({"rev": 42, "all": false, "targets": [moved]}).to_string())
        .await
        .unwrap();
    world.discovery.wait_for("index=42").await;
}

/// What a counter says.
fn count(world: &TestEnvironment, name: &str) -> u64 {
    let counted = world.counter_lines(&format!("{name} "));
    counted.trim().rsplit(' ').next().unwrap().parse().expect("a known counter")
}

/// Nothing of an exchange is left open, and each has had one end.
async fn nothing_is_left(world: &TestEnvironment) {
    let answers = ["completed", "shed", "errored", "rejected", "dropped"];
    until_all_ended(world, "exchanges", "taken", &answers).await;
    wait_until_all_attempts_ended(world).await;
    // Nor did any come meanwhile.
    until_all_ended(world, "exchanges", "taken", &answers).await;
}

/// Waits until as many tries ended as were sent.
pub async fn wait_until_all_attempts_ended(world: &TestEnvironment) {
    let ends = ["completed", "missed", "errored", "saturated", "overdue", "unreachable", "severed"];
    let ends = [&ends[..], &["withdrawn", "unsent", "rejected"]].concat();
    until_all_ended(world, "tries", "sent", &ends).await;
}

async fn until_all_ended(world: &TestEnvironment, what: &str, begun: &str, ends: &[&str]) {
    let count = |name: &str| count(world, &format!("{what}_{name}"));
    for _ in 0..2000 {
        if ends.iter().map(|end| count(end)).sum::<u64>() == count(begun) {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("something is left:\n{}", world.counters);
}

/// How long it takes until the proxy counts this, in rounds of the thread that it shares with the test: one
/// that the machine holds up is longer and not more of them.
async fn counts_after(world: &TestEnvironment, counted: &str) -> Duration {
    let mut rounds = 0;
    let ticks = async {
        loop {
            sleep(ROUND).await;
            rounds += 1;
        }
    };
    tokio::select! {
        () = world.wait_for_counter(counted) => {}
        () = ticks => {}
    }
    ROUND * rounds
}

/// A client leaves: how long it takes until the proxy counts this.
async fn leaves(world: &TestEnvironment, client: Client, counted: &str) -> Duration {
    drop(client);
    counts_after(world, counted).await
}

/// A client asks for this while it has to wait, and leaves.
async fn leaves_unseen(world: &TestEnvironment, key: &str) {
    let taken = count(world, "exchanges_taken");
    let mut client = world.client().await;
    client.send(&["C.GET", key, "id-left", "c=read,d=60000"]).await;
    world.wait_for_counter(&format!("exchanges_taken {}", taken + 1)).await;
    assert!(leaves(world, client, "exchanges_dropped 1").await < SOON);
}

/// No node has seen what it asked for, and nothing is left of it.
async fn never_seen(world: &TestEnvironment) {
    nothing_is_left(world).await;
    let seen = world.cache.log() + &world.origin.log();
    assert!(!seen.contains("id-left"), "{seen}");
}

const SOON: Duration = Duration::from_millis(100);
const ROUND: Duration = Duration::from_millis(5);

/// Clients leave right after the turn in which the proxy counts this, or some turns later, and for a while
/// nothing else gets a turn: this stands in line with the proxy's own tasks, whose thread it shares, and
/// before those that such a turn wakes. Nothing is heard for three times as long as a client may have gone.
async fn leave_before_a_stall(
    world: &TestEnvironment,
    clients: Vec<Client>,
    counted: String,
    mut turns: usize,
) {
    let counters = world.counters.clone();
    let stall = async move {
        let poll = |cx: &mut Context| {
            cx.waker().wake_by_ref();
            if !counters.to_string().lines().any(|line| line == counted) {
                return Poll::Pending;
            }
            turns = turns.wrapping_sub(1);
            if turns == usize::MAX { Poll::Ready(()) } else { Poll::Pending }
        };
        poll_fn(poll).await;
        drop(clients);
        std::thread::sleep(3 * SOON);
    };
    tokio::spawn(stall).await.unwrap();
}

/// How often the nodes have seen what clients asked for that leave.
fn seen(world: &TestEnvironment) -> usize {
    (world.cache.log() + &world.origin.log()).matches("id-left").count()
}

/// A client that leaves amid a turn of the proxy's that is far too long: the attempts that the same turn
/// asked for are not begun after it.
#[tokio::test]
async fn a_client_leaves_amid_a_long_turn() {
    let get = |key| vec!["C.GET", key, "id-left", "c=read,d=60000"];
    let put = vec!["C.SET", "x-mute", "id-left", "c=put,d=60000", "value"];
    let asked = [(get("hit"), 1), (get("miss"), 2), (get("fail"), 2), (get("cut"), 2), (put, 2)];
    // The first attempt; further ones after a miss, after failures and, where nodes discard repeats, after
    // one that may have run. Each on a new connection, which is not yet asked for or comes up, and on one
    // that stands idle.
    for (words, attempts) in asked {
        for (idle, turns) in [(false, 0), (false, 1), (true, 0)] {
            let long = ("/settings/routes/1/overall-timeout-us", json!(60_000_000));
            let world = patient_world(&[long, ("/settings/routes/1/effect", json!("by_key"))]).await;
            let mut tries = attempts;
            if idle {
                world.client().await.get("miss").await;
                tries += 2;
            }
            let mut client = world.client().await;
            client.send(&words).await;
            leave_before_a_stall(&world, vec![client], format!("tries_sent {tries}"), turns).await;
            world.wait_for_counter("exchanges_dropped 1").await;
            nothing_is_left(&world).await;
            assert_eq!(seen(&world), attempts - 1, "{words:?}, idle {idle}, {turns}");
        }
    }
}

/// A client that sends its command and closes within one long silence of the proxy's: both are heard together
/// after it.
#[tokio::test]
async fn a_client_sends_and_leaves_amid_one_long_turn() {
    for connected in [true, false] {
        let world = patient_world(&[]).await;
        let mut client = std::net::TcpStream::connect(world.address).unwrap();
        if connected {
            world.wait_for_counter("clients_accepted 1").await;
            sleep(ROUND * 4).await;
        }
        let words = ["C.GET", "hit", "id-left", "c=read,d=60000"];
        let command = words.map(|word| format!("${}\r\n{word}\r\n", word.len())).concat();
        std::io::Write::write_all(&mut client, format!("*4\r\n{command}").as_bytes()).unwrap();
        drop(client);
        std::thread::sleep(3 * SOON);
        for _ in 0..10 {
            sleep(ROUND).await;
        }
        never_seen(&world).await;
        assert_eq!(count(&world, "clients_accepted"), 1);
    }
}

/// Clients wait for others, and leave all at once amid the turn in which these are answered: what that turn
/// asked for in their place is not begun.
#[tokio::test]
async fn clients_leave_amid_the_turn_that_places_them() {
    let one_proxy_of_many = ("/settings/fleet-size", json!(300));
    let keeps_order = ("/settings/routes/0/keep-order", json!(true));
    let rows = [
        // The fetch of another.
        (None, vec!["miss-held"], "miss-held", 200, "tries_missed 1"),
        // Their turn on a key.
        (Some(keeps_order), vec!["held-1"], "held-1", 200, "tries_missed 0"),
        // In line for the origin.
        (Some(one_proxy_of_many.clone()), vec!["miss-held-1"], "miss-held-2", 1, "tries_missed 2"),
        // Room at a cache.
        (Some(one_proxy_of_many), vec!["miss-held", "held-1"], "hit", 1, "tries_missed 1"),
    ];
    for (set, holds, key, count, ready) in rows {
        let world = patient_world(&set.into_iter().collect::<Vec<_>>()).await;
        let (mut holders, mut clients, mut holder) = (Vec::new(), Vec::new(), &world.cache);
        for held in &holds {
            let mut client = world.client().await;
            client.send(&["C.GET", held, &format!("id-{held}"), "c=read,d=60000"]).await;
            holder = if held.starts_with("miss") { &world.origin } else { &world.cache };
            holder.wait_for(&format!("id-{held}")).await;
            holders.push(client);
        }
        for number in 0..count {
            let mut client = world.client().await;
            client.send(&["C.GET", key, &format!("id-left-{number}"), "c=read,d=60000"]).await;
            clients.push(client);
        }
        world.wait_for_counter(&format!("exchanges_taken {}", holds.len() + count)).await;
        world.wait_for_counter(ready).await;
        let before = (seen(&world), self::count(&world, "tries_sent"));
        holder.release(1);
        leave_before_a_stall(&world, clients, "exchanges_completed 1".into(), 0).await;
        let placed = self::count(&world, "tries_sent");
        world.origin.release(2);
        nothing_is_left(&world).await;
        assert_eq!(seen(&world), before.0, "{holds:?}");
        assert!(placed > before.1, "{holds:?}: nothing was asked for in that turn");
    }
}

#[tokio::test]
async fn a_client_leaves_while_the_connection_to_the_node_comes_up() {
    let world = patient_world(&[]).await;
    let late = DelayedNode::start().await;
    move_node(&world, "s-cache", "node", &late).await;
    let (mut client, mut stays) = (world.client().await, world.client().await);
    client.send(&["C.GET", "hit", "id-left", "c=read,d=60000"]).await;
    world.wait_for_counter("tries_sent 1").await;
    stays.send(&["C.GET", "hit", "id-stays", "c=read,d=60000"]).await;
    world.wait_for_counter("tries_sent 2").await;
    assert!(leaves(&world, client, "tries_taken_back 1").await < SOON);
    late.accept_connections(world.cache.clone());
    let reply = stays.reply().await;
    never_seen(&world).await;
    assert_eq!(world.counter_lines("exchanges_dropped"), "exchanges_dropped 1\n");
    expect!["value\n"].assert_eq(&reply);
}

/// A fetch outlives its client's time, but only one that went out: its final answer is given while the
/// connection to the origin comes up, which then carries nothing.
#[tokio::test]
async fn an_answer_is_final_while_the_connection_to_the_origin_comes_up() {
    let world = patient_world(&[]).await;
    let late = DelayedNode::start().await;
    move_node(&world, "s-origin", "origin", &late).await;
    let mut client = world.client().await;
    let reply = client.execute(&["C.GET", "miss", "id-over", "c=read,d=100"]).await;
    world.wait_for_counter("tries_taken_back 1").await;
    let origin = StubState::default();
    late.accept_connections(origin.clone());
    nothing_is_left(&world).await;
    client.send(&["C.SET", "key", "id-next", "c=put,d=60000", "bytes"]).await;
    origin.wait_for("PUT").await;
    assert!(!origin.log().contains("id-over"), "{}", origin.log());
    expect!["miss: -BUSY 7500\n"].assert_eq(&reply);
}

/// What waits for a connection to a node that begins to drain goes elsewhere instead.
#[tokio::test]
async fn a_node_drains_while_a_try_waits_for_its_connection() {
    let world = patient_world(&[]).await;
    let late = DelayedNode::start().await;
    move_node(&world, "s-cache", "node", &late).await;
    let mut client = world.client().await;
    client.send(&["C.GET", "hit", "id-1", "c=read,d=60000"]).await;
    world.wait_for_counter("tries_sent 1").await;
    let leaving = target("s-cache", &late.address.to_string(), "node", "leaving");
    world
        .discovery_replies
        .send(json!({"rev": 43, "all": false, "targets": [leaving]}).to_string())
        .await
        .unwrap();
    world.wait_for_counter("tries_taken_back 1").await;
    late.accept_connections(world.cache.clone());
    let reply = client.reply().await;
    nothing_is_left(&world).await;
    assert_eq!(world.cache.log(), "");
    expect!["origin's id-1\n"].assert_eq(&reply);
}

/// The same where the drain comes by a whole list as a watch's answer, and by another discovery right after a
/// new configuration.
#[tokio::test]
async fn a_node_drains_by_a_whole_list_and_right_after_a_reload() {
    for reload in [false, true] {
        let mut world = patient_world(&[]).await;
        let late = DelayedNode::start().await;
        move_node(&world, "s-cache", "node", &late).await;
        let mut client = world.client().await;
        client.send(&["C.GET", "hit", "id-1", "c=read,d=60000"]).await;
        world.wait_for_counter("tries_sent 1").await;
        let leaving = target("s-cache", &late.address.to_string(), "node", "leaving");
        let origin = world.config_json["known"]["targets"][1].clone();
        let whole = json!({"rev": 50, "all": true, "targets": [leaving, origin]}).to_string();
        if reload {
            let (moved, tell) = world.move_discovery().await;
            moved.wait_for("instances HTTP").await;
            tell.send(whole).await.unwrap();
        } else {
            world.discovery_replies.send(whole).await.unwrap();
        }
        world.wait_for_counter("tries_taken_back 1").await;
        late.accept_connections(world.cache.clone());
        let reply = client.reply().await;
        nothing_is_left(&world).await;
        assert_eq!((world.cache.log().as_str(), reply.as_str()), ("", "origin's id-1\n"), "reload {reload}");
    }
}

#[tokio::test]
async fn a_client_leaves_while_its_try_waits_for_room_among_the_connections() {
    let world = TestEnvironment::start_with(&patient(&[]), |config| config.max_node_connections = 1).await;
    let (mut holds, mut client) = (world.client().await, world.client().await);
    holds.send(&["C.GET", "held-1", "id-holds", "c=read,d=60000"]).await;
    world.cache.wait_for("id-holds").await;
    client.send(&["C.GET", "hit", "id-left", "c=read,d=60000"]).await;
    world.wait_for_counter("tries_sent 2").await;
    assert!(leaves(&world, client, "tries_taken_back 1").await < SOON);
    world.cache.release(1);
    let mut reply = holds.reply().await;
    reply += &world.client().await.get("hit").await;
    never_seen(&world).await;
    expect![[r#"
        value of id-holds
        hit: value of id-hit
    "#]]
    .assert_eq(&reply);
}

/// Only commands without an answer are before it on its connection, and nothing more of it is read.
#[tokio::test]
async fn a_client_leaves_behind_its_own_commands() {
    let world = TestEnvironment::start_with(&patient(&[]), |config| config.max_pipelined_commands = 0).await;
    let mut client = world.client().await;
    client.send(&["C.GET", "held-1", "id-first", "c=read,d=60000"]).await;
    world.cache.wait_for("id-first").await;
    client.send(&["C.GET", "hit", "id-left", "c=read,d=60000"]).await;
    assert!(leaves(&world, client, "exchanges_dropped 1").await < SOON);
    world.cache.release(1);
    never_seen(&world).await;
    assert_eq!(world.counter_lines("exchanges_taken"), "exchanges_taken 1\n");
}

/// What it asked for is whole when there is room for its connection at last.
#[tokio::test]
async fn a_client_leaves_while_its_connection_waits_for_room() {
    let world = TestEnvironment::start_with(&patient(&[]), |config| config.max_client_connections = 1).await;
    let mut holds = world.client().await;
    holds.send(&["C.GET", "held-1", "id-holds", "c=read,d=60000"]).await;
    world.cache.wait_for("id-holds").await;
    // What says nothing for some milliseconds is turned away: it speaks at once.
    let mut client = world.client().await;
    client.send(&["C.GET", "hit", "id-left", "c=read,d=60000"]).await;
    world.wait_for_counter("clients_accepted 2").await;
    drop(client);
    world.cache.release(1);
    let reply = holds.reply().await;
    drop(holds);
    world.wait_for_counter("exchanges_untaken 1").await;
    never_seen(&world).await;
    expect!["value of id-holds\n"].assert_eq(&reply);
}

/// A command that can't be read is refused once what came before it is answered: until then the client may
/// leave.
#[tokio::test]
async fn a_client_leaves_while_it_is_being_refused() {
    let world = patient_world(&[]).await;
    let late = DelayedNode::start().await;
    move_node(&world, "s-cache", "node", &late).await;
    let mut client = world.client().await;
    client.send(&["C.GET", "hit", "id-left", "c=read,d=60000"]).await;
    client.0.get_mut().write_all(b"no command\r\n").await.unwrap();
    world.wait_for_counter("bad_commands 1").await;
    assert!(leaves(&world, client, "tries_taken_back 1").await < SOON);
    late.accept_connections(world.cache.clone());
    nothing_is_left(&world).await;
    assert_eq!(world.cache.log(), "");
}

/// The same where a long value is to follow, which is not read before what came before it is answered.
#[tokio::test]
async fn a_client_leaves_while_its_value_waits_behind_its_commands() {
    let world = patient_world(&[]).await;
    let late = DelayedNode::start().await;
    move_node(&world, "s-cache", "node", &late).await;
    let mut client = world.client().await;
    client.send(&["C.GET", "hit", "id-left", "c=read,d=60000"]).await;
    world.wait_for_counter("tries_sent 1").await;
    let head = b"*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$2\r\nid\r\n$13\r\nc=put,d=60000\r\n$100000\r\nv";
    client.0.get_mut().write_all(head).await.unwrap();
    // The proxy has read it once it has taken in what another client sent after it.
    assert_eq!(world.client().await.execute(&["PING"]).await, "PING: +PONG\n");
    assert!(leaves(&world, client, "tries_taken_back 1").await < SOON);
    late.accept_connections(world.cache.clone());
    nothing_is_left(&world).await;
    assert_eq!(world.origin.log(), "");
}

/// It closes its side without reading the value that it asked for first.
#[tokio::test]
async fn a_client_leaves_while_it_reads_no_answer() {
    let world = patient_world(&[("/settings/routes/1/overall-timeout-us", json!(60_000_000))]).await;
    let late = DelayedNode::start().await;
    move_node(&world, "s-origin", "origin", &late).await;
    let mut client = world.client().await;
    // More than the sockets between them hold, and behind it what waits for its connection.
    for at in 0..4 {
        let words = ["C.GET", &format!("long-{at}-4194304"), &format!("id-{at}"), "c=read,d=60000"];
        client.0.feed(&Frame::command(words.map(str::as_bytes))).await.unwrap();
    }
    client.send(&["C.SET", "key", "id-left", "c=put,d=60000", "value"]).await;
    world.wait_for_counter("tries_sent 5").await;
    world.wait_for_counter("exchanges_completed 4").await;
    client.0.get_mut().shutdown().await.unwrap();
    assert!(counts_after(&world, "tries_taken_back 1").await < SOON);
    let origin = StubState::default();
    late.accept_connections(origin.clone());
    nothing_is_left(&world).await;
    assert_eq!(origin.log(), "");
    drop(client);
}

/// No cache has room and neither has the origin: what waits for room is not placed once its client has left.
#[tokio::test]
async fn a_client_leaves_while_it_waits_for_room_at_a_cache() {
    let world = patient_world(&[("/settings/fleet-size", json!(300))]).await;
    let (mut fetches, mut holds) = (world.client().await, world.client().await);
    fetches.send(&["C.GET", "miss-held", "id-fetches", "c=read,d=60000"]).await;
    world.origin.wait_for("id-fetches").await;
    holds.send(&["C.GET", "held-1", "id-holds", "c=read,d=60000"]).await;
    world.cache.wait_for("id-holds").await;
    leaves_unseen(&world, "hit").await;
    world.cache.release(1);
    world.origin.release(1);
    let replies = holds.reply().await + &fetches.reply().await;
    never_seen(&world).await;
    expect![[r#"
        value of id-holds
        origin's id-fetches
    "#]]
    .assert_eq(&replies);
}

#[tokio::test]
async fn a_client_leaves_while_it_waits_for_its_turn_on_a_key() {
    let world = patient_world(&[("/settings/routes/0/keep-order", json!(true))]).await;
    let mut first = world.client().await;
    first.send(&["C.GET", "held-1", "id-first", "c=read,d=60000"]).await;
    world.cache.wait_for("id-first").await;
    leaves_unseen(&world, "held-1").await;
    world.cache.release(1);
    let mut replies = first.reply().await;
    // Its place in the line is gone with it.
    world.cache.release(1);
    replies += &world.client().await.execute(&["C.GET", "held-1", "id-next", "c=read,d=60000"]).await;
    never_seen(&world).await;
    expect![[r#"
        value of id-first
        held-1: value of id-next
    "#]]
    .assert_eq(&replies);
}

#[tokio::test]
async fn a_client_leaves_while_it_waits_for_the_fetch_of_another() {
    let world = patient_world(&[]).await;
    let mut first = world.client().await;
    first.send(&["C.GET", "miss-held", "id-first", "c=read,d=60000"]).await;
    world.origin.wait_for("id-first").await;
    leaves_unseen(&world, "miss-held").await;
    world.origin.release(1);
    let reply = first.reply().await;
    never_seen(&world).await;
    expect!["origin's id-first\n"].assert_eq(&reply);
}

/// The origin has room for one fetch; the next one stands in line with its miss, and leaves.
#[tokio::test]
async fn a_client_leaves_while_its_fetch_waits_in_line() {
    let world = patient_world(&[("/settings/fleet-size", json!(300))]).await;
    let mut first = world.client().await;
    first.send(&["C.GET", "miss-held-1", "id-first", "c=read,d=60000"]).await;
    world.origin.wait_for("id-first").await;
    let mut client = world.client().await;
    client.send(&["C.GET", "miss-held-2", "id-left", "c=read,d=60000"]).await;
    world.wait_for_counter("tries_missed 2").await;
    assert!(leaves(&world, client, "exchanges_dropped 1").await < SOON);
    world.origin.release(2);
    let reply = first.reply().await;
    nothing_is_left(&world).await;
    // The cache saw it before its client left, and missed.
    assert!(!world.origin.log().contains("id-left"), "{}", world.origin.log());
    expect!["origin's id-first\n"].assert_eq(&reply);
}

/// An attempt whose task has not run when it is taken back.
#[tokio::test]
async fn a_try_is_taken_back_before_its_task_runs() {
    let (shared, _phases, _mailbox) = shared();
    let (trace, counters) = (StubState::default(), shared.counters.clone());
    let address = crate::start_server(trace.clone(), crate::serve_cache_node).await;
    let (target, recall) = (Target { node: 0, address, origin: false }, CancellationToken::new());
    let here = Arc::new(());
    let cargo = |id: &'static str| {
        let [key, id, labels] = ["hit", id, "c=read"].map(|word| Bytes::from_static(word.as_bytes()));
        let (client, value) = (Arc::downgrade(&here), Bytes::new());
        Arc::new(ClientRequest {
            received_at: 0,
            deadline: u64::MAX,
            client_alive: client,
            write: false,
            key,
            id,
            labels,
            value,
            upload: None,
        })
    };
    let until = Instant::now() + Duration::from_secs(3);
    let errand = |xchg, id, recall| NodeOperation::Attempt {
        request_id: xchg,
        attempt_number: 0,
        request: cargo(id),
        deadline: until,
        cancel: recall,
    };
    attempt::spawn(&shared, target, errand(1, "id-left", recall.clone()));
    attempt::spawn(&shared, target, errand(2, "id-stays", CancellationToken::new()));
    // Nothing else has run since: this task has not waited for anything.
    recall.cancel();
    trace.wait_for("id-stays").await;
    assert_eq!(trace.log(), "1: C.GET hit id-stays c=read,d=LEFT\n");
    assert!(counters.to_string().contains("tries_taken_back 1\n"));
}

/// A command that is whole in the kernel, on a connection that nobody has taken yet, when the proxy begins to
/// close.
#[tokio::test]
async fn what_the_kernel_has_accepted_is_taken_in_before_closing() {
    let (shared, phases, _mailbox) = shared();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let front = Frontend {
        connections: TaskTracker::new(),
        limit: ConnectionLimit::new(4),
        used_connections: Arc::default(),
        pipeline_permits: Arc::new(Semaphore::new(1)),
        shared,
    };
    let mut client = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut client, b"*1\r\n$4\r\nPING\r\n").unwrap();
    phases.enter(Phase::Closing);
    accept(front, listener).await;
    client.set_nonblocking(true).unwrap();
    let mut reply = String::new();
    TcpStream::from_std(client).unwrap().read_to_string(&mut reply).await.unwrap();
    assert_eq!(reply, "+PONG\r\n");
}

/// Told by the old discovery when a new configuration moves it, and still on its way to the module: it is
/// heard.
#[tokio::test]
async fn what_was_told_is_heard_though_discovery_moves() {
    let (shared, _phases, mailbox) = shared();
    let counters = shared.counters.clone();
    let (tell, old) = crate::start_discovery(StubState::default()).await;
    let (_silent, new) = crate::start_discovery(StubState::default()).await;
    let told =
        json!({"rev": 42, "all": false, "targets": [target("s-told", "127.0.0.1:9", "node", "active")]});
    tell.send(told.to_string()).await.unwrap();
    let (follow, followed) = mpsc::channel(1);
    let (moves, discovery) = watch::channel(old);
    // The module's mailbox takes nothing more.
    while timeout(Duration::from_millis(20), shared.dispatcher.list_failed()).await.is_ok() {}
    tokio::spawn(ListWatcher::new(shared.clone(), followed, None).run(discovery));
    while !counters.to_string().contains("list_answers 1\n") {
        sleep(Duration::from_millis(5)).await;
    }
    moves.send_replace(new);
    yield_now().await;
    let settings = shared.config.settings.clone();
    tokio::spawn(Dispatcher::new(shared, settings, follow, mailbox).run());
    for _ in 0..2000 {
        if counters.to_string().contains("nodes_known 1\n") {
            return;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("never heard\n{counters}");
}

/// Times in the settings that no clock can add up are as good as for ever.
#[tokio::test]
async fn absurd_times_end_nothing() {
    let most = json!(u64::MAX);
    let places = ["overall-timeout-us", "latency-objective-us", "window-us"];
    let routes = places.map(|key| (format!("/settings/routes/0/{key}"), most.clone()));
    let rules =
        ["permissions/connect-timeout-us", "permissions/conn-idle-us", "rules/cold-us", "rules/fall-us"];
    let rules = rules.map(|place| (format!("/settings/{place}"), most.clone()));
    let set: Vec<(&str, Json)> =
        routes.iter().chain(&rules).map(|(place, value)| (place.as_str(), value.clone())).collect();
    let mut world = TestEnvironment::start(&set).await;
    let mut client = world.client().await;
    let mut replies = client.execute(&["C.GET", "hit", "id-1", "c=read,d=60000"]).await;
    replies += &client.execute(&["C.GET", "miss", "id-2", "c=read"]).await;
    world.stop().await;
    replies += &client.reply().await;
    expect![[r#"
        hit: value of id-1
        miss: origin's id-2
        closed
    "#]]
    .assert_eq(&replies);
}

/// Commands that lay unread behind another when the proxy begins to close its connections are answered first.
#[tokio::test]
async fn what_lies_unread_is_answered_before_its_connection_closes() {
    let soon =
        |config: &mut Config| (config.max_pipelined_commands, config.drain_period) = (0, Duration::ZERO);
    let mut world = TestEnvironment::start_with(&patient(&[]), soon).await;
    let mut client = world.client().await;
    client.send(&["C.GET", "held-1", "id-1", "c=read,d=60000"]).await;
    world.cache.wait_for("id-1").await;
    for key in ["hit-2", "miss-3"] {
        client.send(&["C.GET", key, key, "c=read,d=60000"]).await;
    }
    world.stop().await;
    world.phase_watch.reached(Phase::Closing).await;
    world.cache.release(1);
    let mut replies = String::new();
    for _ in 0..4 {
        replies += &client.reply().await;
    }
    world.proxy_task.await.unwrap();
    expect![[r#"
        value of id-1
        value of hit-2
        origin's miss-3
        closed
    "#]]
    .assert_eq(&replies);
}

/// A client's connection on its way to a process that dies before it takes it: the client learns of it at
/// once, and what it sends meets no silence.
#[tokio::test]
async fn a_connection_whose_heir_dies_ends_for_its_client() {
    let folder = Folder::new("heir-dies");
    let old = TakeoverSocket::bind(&folder.0).unwrap();
    let new = TakeoverSocket::bind(&folder.0).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    old.successor().expect("another process").pass(&stream, b"", true).await.unwrap();
    drop(stream);
    // Nobody has taken it yet, and it is open.
    assert!(timeout(Duration::from_millis(50), client.read(&mut [0])).await.is_err());
    drop(new);
    // By the clock on the wall, which a busy machine stretches.
    assert!(matches!(timeout(3 * SOON, client.read(&mut [0])).await, Ok(Ok(0) | Err(_))));
    assert!(old.successor().is_none());
}

/// What the actors share, without any that run.
fn shared() -> (Shared, Phases, Mailbox) {
    let config = Arc::new(parse(&configuration(&[])).unwrap());
    let (phases, (dispatcher, _control, mailbox)) = (Phases::default(), channels());
    let (_, routes) = watch::channel(Arc::new(Routes::default()));
    let counters = Arc::<Counters>::default();
    let shared = Shared {
        clock: Clock::start(),
        upstream: ConnectionPool::new(
            config.max_node_connections,
            config.node_idle_timeout,
            counters.clone(),
        ),
        counters,
        dispatcher,
        phase: phases.watch(),
        routes,
        streamed_values: Arc::new(Semaphore::new(config.max_streamed_values)),
        successor: Arc::default(),
        config,
    };
    (shared, phases, mailbox)
}

/// A client that leaves amid a long value: what has come of it is at the origin, its last byte never is.
#[tokio::test]
async fn a_client_leaves_amid_the_writing_of_its_value() {
    let world = patient_world(&[("/settings/routes/1/overall-timeout-us", json!(60_000_000))]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let origin = target("s-origin", &listener.local_addr().unwrap().to_string(), "origin", "active");
    world
        .discovery_replies
        .send(json!({"rev": 42, "all": false, "targets": [origin]}).to_string())
        .await
        .unwrap();
    world.discovery.wait_for("index=42").await;
    let mut client = TcpStream::connect(world.address).await.unwrap();
    let head = "*5\r\n$5\r\nC.SET\r\n$3\r\nkey\r\n$2\r\nid\r\n$13\r\nc=put,d=60000\r\n$100000\r\n";
    client.write_all(head.as_bytes()).await.unwrap();
    client.write_all(&[b'v'; 99_999]).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut came = Vec::new();
    while came.iter().filter(|&&byte| byte == b'v').count() < 99_999 {
        assert!(stream.read_buf(&mut came).await.unwrap() > 0);
    }
    drop(client);
    let dropped = counts_after(&world, "exchanges_dropped 1").await;
    assert!(dropped + counts_after(&world, "tries_unsent 1").await < SOON);
    assert_eq!(stream.read_buf(&mut came).await.unwrap_or(0), 0);
    nothing_is_left(&world).await;
}
