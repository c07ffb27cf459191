//! A list of nodes as long as in the largest deployments.

use crate::{StubState, TestEnvironment, serve_cache_node, target};
use serde_json::{Value as Json, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// The address of the node with this number; one listener accepts the connections to all of them.
fn address(number: usize, port: u16) -> String {
    format!("127.{}.{}.{}:{port}", 1 + number / 40_000, number / 200 % 200, 1 + number % 200)
}

/// A whole list of `nodes` cache nodes and the origin.
fn list(version: u64, nodes: usize, port: u16, origin: &Json) -> Json {
    let node = |number| target(&format!("s-{number:05}"), &address(number, port), "node", "active");
    let targets: Vec<Json> = (0..nodes).map(node).chain([origin.clone()]).collect();
    json!({"rev": version, "all": true, "targets": targets})
}

/// Starts one stub for any number of cache nodes. Returns its port, and the addresses that the proxy has
/// connected to.
async fn start_nodes() -> (u16, Arc<Mutex<BTreeSet<SocketAddr>>>) {
    let listener = TcpListener::bind("0.0.0.0:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let connected_addresses: Arc<Mutex<BTreeSet<SocketAddr>>> = Arc::default();
    let recorded_addresses = connected_addresses.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            recorded_addresses.lock().unwrap().insert(stream.local_addr().unwrap());
            tokio::spawn(serve_cache_node(stream, StubState::default(), 0));
        }
    });
    (port, connected_addresses)
}

/// Sends a list, repeatedly if needed, until the counters contain `known_line`: a reply to a long poll that
/// the proxy has given up is lost.
async fn send_list(env: &TestEnvironment, list: &Json, known_line: &str) {
    for _ in 0..40 {
        if env.discovery_replies.capacity() == env.discovery_replies.max_capacity() {
            env.discovery_replies.send(list.to_string()).await.unwrap();
        }
        sleep(Duration::from_millis(500)).await;
        if env.counter_lines("nodes_known") == format!("{known_line}\n") {
            return;
        }
    }
    panic!("the counters never contained: {known_line}\n{}", env.counters);
}

/// Guards against a list too long to be parsed, kept or served from: one process serves from 1,024 nodes, and
/// from 1,100 once these are listed.
#[tokio::test]
async fn a_proxy_serves_from_a_list_of_a_thousand_nodes() {
    let (port, connected_addresses) = start_nodes().await;
    let env = TestEnvironment::start(&[]).await;
    let origin = env.config_json["known"]["targets"][1].clone();
    for (version, count, requests, min_nodes) in [(42, 1024, 3000, 900), (43, 1100, 3000, 1000)] {
        // The nodes known also include the cache node of the test environment, and the origin.
        send_list(&env, &list(version, count, port, &origin), &format!("nodes_known {}", count + 2)).await;
        let mut client = env.client().await;
        for number in 0..requests {
            let (key, id) = (format!("hit-{version}-{number}"), format!("id-{version}-{number}"));
            let reply = client.execute(&["C.GET", &key, &id, "c=read,d=3000"]).await;
            assert_eq!(reply, format!("{key}: value of {id}\n"));
        }
        let nodes = connected_addresses.lock().unwrap().len();
        assert!(nodes >= min_nodes, "{nodes} of {count} nodes were connected to for {requests} keys");
    }
}
