//! News between proxies.

use crate::World;
use expect_test::expect;
use pumicebay_names::mark;
use serde_json::json;
use tokio::net::UdpSocket;

#[tokio::test]
async fn peers_are_told_and_heard_and_garbage_is_counted() {
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let world = World::start(&[
        ("/settings/permissions/peers", json!(true)),
        ("/settings/fleet-size", json!(2)),
        ("/peers", json!([peer.local_addr().unwrap().to_string()])),
        ("/peer_listen", json!(own.to_string())),
    ])
    .await;
    let reply = world.client().await.get("hit").await;
    let mut buffer = [0; 256];
    let length = peer.recv(&mut buffer).await.unwrap();
    let heard = String::from_utf8_lossy(&buffer[..length]).replace(&format!("{:x}", mark("s-cache")), "MARK");
    for news in [format!("1 l {:x} 3", mark("s-cache")), "1 l 0 3".into(), "9 l 0 3".into(), "\u{1}".into()] {
        peer.send_to(news.as_bytes(), own).await.unwrap();
    }
    world.until_counted("news_received 2").await;
    world.until_counted("news_bad 3").await;
    expect![[r#"
        hit: value of id-hit
        0 j MARK 33732819300680aa
    "#]]
    .assert_eq(&format!("{reply}{heard}\n"));
}
