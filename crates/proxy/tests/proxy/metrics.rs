//! What the proxy tells of itself while something is wrong.

use crate::TestEnvironment;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards on-call staff from requests that fail without an attempt and without a reason.
#[tokio::test]
async fn a_request_refused_without_an_attempt_is_counted_by_its_reason() {
    let world = TestEnvironment::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let mut client = world.client().await;
    world.discovery_replies.send(json!({"rev": 42, "all": true, "targets": []}).to_string()).await.unwrap();
    world.wait_for_counter("list_answers 1").await;
    let mut refused = 0;
    while world.counter_lines("unattempted_no_node 0").starts_with("unattempted") {
        let reply = client.get(&format!("hit-{refused}")).await;
        refused += usize::from(reply.contains("-BUSY"));
        assert!(refused < 100, "{}", world.counters);
    }
    assert!(refused > 0);
    let mut call = TcpStream::connect(world.operator_address.unwrap()).await.unwrap();
    call.write_all(b"GET /counters HTTP/1.1\r\nHost: n0\r\n\r\n").await.unwrap();
    let mut answer = String::new();
    call.read_to_string(&mut answer).await.unwrap();
    for name in ["unattempted_no_node 1", "memory_peak_kb ", "longest_turn_us ", "fetches_bound_milli "] {
        assert!(answer.contains(name), "{name}: {answer}");
    }
}
