//! Counters that show operators why requests fail.

use crate::TestEnvironment;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Guards against requests that fail without an attempt while no counter tells operators why.
#[tokio::test]
async fn a_request_refused_without_an_attempt_is_counted_by_its_reason() {
    let env = TestEnvironment::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let mut client = env.client().await;
    env.discovery_replies.send(json!({"rev": 42, "all": true, "targets": []}).to_string()).await.unwrap();
    env.wait_for_counter("list_answers 1").await;
    let mut refused = 0;
    while env.counter_lines("unattempted_no_node 0").starts_with("unattempted") {
        let reply = client.get(&format!("hit-{refused}")).await;
        refused += usize::from(reply.contains("-BUSY"));
        assert!(refused < 100, "{}", env.counters);
    }
    assert!(refused > 0);
    let mut operator_call = TcpStream::connect(env.operator_address.unwrap()).await.unwrap();
    operator_call.write_all(b"GET /counters HTTP/1.1\r\nHost: n0\r\n\r\n").await.unwrap();
    let mut response = String::new();
    operator_call.read_to_string(&mut response).await.unwrap();
    for name in ["unattempted_no_node 1", "memory_peak_kb ", "longest_turn_us ", "fetches_bound_milli "] {
        assert!(response.contains(name), "{name}: {response}");
    }
}
