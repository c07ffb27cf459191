//! A list as long as those of the largest deployments.

use crate::{StubState, TestEnvironment, serve_cache_node, target};
use serde_json::{Value as Json, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Where a node of this number is called; one listener takes what comes for all.
fn address(number: usize, port: u16) -> String {
    format!("127.{}.{}.{}:{port}", 1 + number / 40_000, number / 200 % 200, 1 + number % 200)
}

fn list(revision: u64, nodes: usize, port: u16, origin: &Json) -> Json {
    let node = |number| target(&format!("s-{number:05}"), &address(number, port), "node", "active");
    let targets: Vec<Json> = (0..nodes).map(node).chain([origin.clone()]).collect();
    json!({"rev": revision, "all": true, "targets": targets})
}

/// Stand-ins for any number of cache nodes: which of them took a connection.
async fn nodes() -> (u16, Arc<Mutex<BTreeSet<SocketAddr>>>) {
    let listener = TcpListener::bind("0.0.0.0:0").await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let called: Arc<Mutex<BTreeSet<SocketAddr>>> = Arc::default();
    let seen = called.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            seen.lock().unwrap().insert(stream.local_addr().unwrap());
            tokio::spawn(serve_cache_node(stream, StubState::default(), 0));
        }
    });
    (port, called)
}

/// Tells a list until it is counted: an answer to a watch that the proxy gave up as silent is lost.
async fn tell(world: &TestEnvironment, list: &Json, counted: &str) {
    for _ in 0..40 {
        if world.discovery_replies.capacity() == world.discovery_replies.max_capacity() {
            world.discovery_replies.send(list.to_string()).await.unwrap();
        }
        sleep(Duration::from_millis(500)).await;
        if world.counter_lines("nodes_known") == format!("{counted}\n") {
            return;
        }
    }
    panic!("never counted: {counted}\n{}", world.counters);
}

/// One process serves from 1,024 nodes, and from 1,100 once these are listed.
#[tokio::test]
async fn a_thousand_nodes_are_listed_and_serve() {
    let (port, called) = nodes().await;
    let world = TestEnvironment::start(&[]).await;
    let origin = world.config_json["known"]["targets"][1].clone();
    for (revision, count, asked, least) in [(42, 1024, 3000, 900), (43, 1100, 3000, 1000)] {
        // The stand-in of the world's own is known too, and the origin.
        tell(&world, &list(revision, count, port, &origin), &format!("nodes_known {}", count + 2)).await;
        let mut client = world.client().await;
        for number in 0..asked {
            let (key, id) = (format!("hit-{revision}-{number}"), format!("id-{revision}-{number}"));
            let reply = client.execute(&["C.GET", &key, &id, "c=read,d=3000"]).await;
            assert_eq!(reply, format!("{key}: value of {id}\n"));
        }
        let nodes = called.lock().unwrap().len();
        assert!(nodes >= least, "{nodes} of {count} nodes were asked for {asked} keys");
    }
}
