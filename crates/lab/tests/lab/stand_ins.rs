//! The stand-ins speak the protocols as the proxy's own codecs and parsers read them.

use crate::parse_scenario;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use pumicebay::http::{ClientCodec, Request};
use pumicebay::resp::{Frame, Resp};
use pumicebay::upstream::protocol::{parse_cache_reply, parse_origin_response, parse_probe_reply};
use pumicebay_core::{NodeStatus, Outcome};
use pumicebay_lab::platform;
use pumicebay_lab::real::fleet::Fleet;
use pumicebay_lab::real::http::{Response, ServerCodec};
use pumicebay_lab::real::stand_ins::request_id_of_value;
use pumicebay_lab::simulated_proxy::key_text;
use pumicebay_model::faults::WorldChange;
use pumicebay_model::traffic::{Operation, key_at_rank};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed};

async fn fleet() -> Arc<Fleet> {
    let scenario =
        parse_scenario("[nodes]\ncount = 2\n[clients]\nkeys = 50\n[discovery]\ntold_ms = 5\nnotice_ms = 10");
    let fleet = Fleet::start(&scenario, 1).await.expect("stand-ins");
    fleet.begin();
    fleet
}

/// Registers a request with the stand-ins, as the load generator does, and returns its operation.
fn accept_request(fleet: &Fleet, request_id: u64, rank: u64) -> Operation {
    let operation =
        Operation { start: 0, route: 0, tenant: 0, key: key_at_rank(rank), value_bytes: 900, proxy: 0 };
    fleet.request_accepted(request_id, &operation, 0, 1_000_000_000);
    operation
}

async fn send_get(node: &mut Framed<TcpStream, Resp>, operation: &Operation, request_id: u64) -> Frame {
    let (key, id) = (key_text(operation.key), format!("{request_id:016x}"));
    let command = Frame::command([b"C.GET", key.as_bytes(), id.as_bytes(), b"c=read,d=500"]);
    node.send(&command).await.expect("a command sent");
    node.next().await.expect("a reply").expect("a frame")
}

async fn connect(fleet: &Fleet, node: usize) -> Framed<TcpStream, Resp> {
    let address = fleet.address(node).expect("an address");
    Framed::new(TcpStream::connect(address).await.expect("a connection"), Resp)
}

#[tokio::test]
async fn cache_nodes_speak_as_the_proxy_reads() {
    let fleet = fleet().await;
    let mut node = connect(&fleet, 0).await;
    let operation = accept_request(&fleet, 77, 3);
    let reply =
        parse_cache_reply(send_get(&mut node, &operation, 77).await).expect("a reply that can be parsed");
    let value = reply.value.whole().expect("a whole value");
    assert_eq!((reply.outcome, request_id_of_value(value), value.len()), (Outcome::Completed, Some(77), 900));
    let operation = accept_request(&fleet, 78, 1_000_000);
    let reply =
        parse_cache_reply(send_get(&mut node, &operation, 78).await).expect("a reply that can be parsed");
    assert_eq!(reply.outcome, Outcome::Missed);
    node.send(&Frame::command([b"PING"])).await.expect("a probe sent");
    let pong = node.next().await.expect("a reply").expect("a frame");
    assert_eq!(parse_probe_reply(pong).expect("a probe's answer").outcome, Outcome::Completed);
    // An attempt of an unknown request is rejected, and corrupted replies can't be parsed.
    let operation = accept_request(&fleet, 79, 3);
    let unknown =
        parse_cache_reply(send_get(&mut node, &operation, 4000).await).expect("a reply that can be parsed");
    assert_eq!(unknown.outcome, Outcome::Saturated);
    fleet.apply_change(WorldChange::Errors(0, 1.0)).await;
    assert_eq!(
        parse_cache_reply(send_get(&mut node, &operation, 79).await).expect("a reply").outcome,
        Outcome::Errored
    );
    fleet.apply_change(WorldChange::Errors(0, 0.0)).await;
    fleet.apply_change(WorldChange::Spoils(0, 1.0)).await;
    let operation = accept_request(&fleet, 80, 3);
    let id = format!("{:016x}", 80);
    let key = key_text(operation.key);
    let command = Frame::command([b"C.GET", key.as_bytes(), id.as_bytes(), b"c=read,d=500"]);
    node.send(&command).await.expect("a command sent");
    assert!(node.next().await.is_none_or(|frame| frame.is_err()));
}

#[tokio::test]
async fn a_node_that_dies_breaks_its_connections_and_listens_again() {
    let fleet = fleet().await;
    let mut node = connect(&fleet, 0).await;
    fleet.apply_change(WorldChange::Stop(0)).await;
    let end =
        timeout(Duration::from_secs(5), node.next()).await.expect("an end of the connection within 5 s");
    assert!(end.is_none_or(|frame| frame.is_err()));
    let address = fleet.address(0).expect("an address");
    let mut refused = false;
    for _ in 0..200 {
        refused = TcpStream::connect(address).await.is_err();
        if refused {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    assert!(refused);
    fleet.apply_change(WorldChange::Start(0)).await;
    let mut connected = false;
    for _ in 0..200 {
        connected = TcpStream::connect(address).await.is_ok();
        if connected {
            break;
        }
        sleep(Duration::from_millis(5)).await;
    }
    assert!(connected);
    // The restarted node has an empty cache.
    let mut node = connect(&fleet, 0).await;
    let operation = accept_request(&fleet, 90, 3);
    assert_eq!(
        parse_cache_reply(send_get(&mut node, &operation, 90).await).expect("a reply").outcome,
        Outcome::Missed
    );
}

#[tokio::test]
async fn the_origin_speaks_as_the_proxy_reads() {
    let fleet = fleet().await;
    let address = fleet.address(fleet.origin()).expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let mut origin = Framed::new(stream, ClientCodec::new(64 * 1024));
    let operation = accept_request(&fleet, 5, 4);
    let id = format!("{:016x}", 5);
    let path = format!("/{}", key_text(operation.key));
    let headers = vec![("X-Txn", id.as_bytes()), ("X-Labels", &b"c=read,d=500"[..])];
    origin.send(Request { headers, ..Request::get(path) }).await.expect("a request sent");
    let response = origin.next().await.expect("an answer").expect("a valid response");
    let reply = parse_origin_response(response);
    let value = reply.value.whole().expect("a whole value");
    assert_eq!((reply.outcome, request_id_of_value(value)), (Outcome::Completed, Some(5)));
}

#[tokio::test]
async fn discovery_speaks_as_the_proxy_reads() {
    let fleet = fleet().await;
    let config = json!({
        "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "settings": platform::settings(fleet.scenario(), 0)
    });
    let config = pumicebay::config::parse(&config).expect("a valid proxy configuration");
    let address = fleet.discovery(0).expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let mut agent = Framed::new(stream, ClientCodec::new(64 * 1024));
    agent.send(Request::get("/registry/instances".into())).await.expect("a request sent");
    let whole = agent.next().await.expect("an answer").expect("a valid response");
    let (version, all, named) =
        pumicebay::discovery::entries::parse_list(&whole.body, &config).expect("a list");
    assert!(all && named.len() == 3 && named[2].listed.origin);
    let watch = format!("/registry/instances?index={version}&wait=5000");
    agent.send(Request::get(watch)).await.expect("a request sent");
    fleet.apply_change(WorldChange::Drain(1)).await;
    let changes = agent.next().await.expect("an answer").expect("a valid response");
    let (later, all, named) =
        pumicebay::discovery::entries::parse_list(&changes.body, &config).expect("a list");
    assert!(later > version && !all);
    assert_eq!((&*named[0].uid, named[0].listed.status), ("n2", NodeStatus::Draining));
}

#[test]
fn http_comes_whole_or_not_at_all() {
    let mut buffer =
        BytesMut::from(&b"PUT /k?index=4 HTTP/1.1\r\nX-Txn: 9\r\nContent-Length: 3\r\n\r\nab"[..]);
    let mut codec = ServerCodec;
    assert_eq!(codec.decode(&mut buffer).expect("a valid prefix"), None);
    buffer.extend_from_slice(b"cGET");
    let request = codec.decode(&mut buffer).expect("a valid request").expect("a complete request");
    assert_eq!((request.query("index"), &request.body[..], &buffer[..]), (Some(4), &b"abc"[..], &b"GET"[..]));
    let mut buffer = BytesMut::from(&b"GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n"[..]);
    assert!(codec.decode(&mut buffer).is_err());
    let mut buffer = BytesMut::new();
    let response = Response { status: 503, header: Some(("X-Turned-Away", "1")), body: "no".into() };
    codec.encode(response, &mut buffer).expect("an encoded response");
    let response =
        ClientCodec::new(100).decode(&mut buffer).expect("a valid response").expect("a complete response");
    assert_eq!(parse_origin_response(response).outcome, Outcome::Saturated);
}
