//! From the signal to stop until the exit.

use crate::TestEnvironment;
use expect_test::expect;
use pumicebay::phases::{Phase, Phases};
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

#[tokio::test]
async fn told_to_stop_it_takes_what_still_comes_and_answers_all() {
    let mut world =
        TestEnvironment::start_with(&[], |config| config.drain_period = Duration::from_secs(2)).await;
    let (mut busy, mut idle) = (world.client().await, world.client().await);
    let mut replies = idle.get("hit-1").await;
    busy.send(&["C.GET", "slow", "id-1", "c=read,d=3000"]).await;
    world.cache.wait_for("slow").await;
    world.stop().await;
    let mut late = world.client().await;
    replies += &late.get("hit-late").await;
    replies += &idle.get("hit-2").await;
    replies += &busy.reply().await;
    for mut client in [busy, idle, late] {
        replies += &client.reply().await;
    }
    world.proxy_task.await.expect("an orderly end");
    expect![[r#"
        hit-1: value of id-hit-1
        hit-late: value of id-hit-late
        hit-2: value of id-hit-2
        value of id-1
        closed
        closed
        closed
    "#]]
    .assert_eq(&replies);
}

#[tokio::test]
async fn what_is_still_out_at_the_end_is_given_up_and_answered() {
    let long = json!(60_000_000);
    let patient = [
        ("/settings/routes/0/overall-timeout-us", long.clone()),
        ("/settings/routes/0/latency-objective-us", long),
    ];
    let mut world = TestEnvironment::start(&patient).await;
    let mut client = world.client().await;
    for key in ["hang-1", "hang-2"] {
        client.send(&["C.GET", key, key, "c=read,d=60000"]).await;
        world.cache.wait_for(key).await;
    }
    world.stop().await;
    let mut half = world.client().await;
    half.0.get_mut().write_all(b"*4\r\n$5\r\nC.GET\r\n$3\r\nhit\r\n$2\r\nid\r\n").await.unwrap();
    world.phase_watch.reached(Phase::Closing).await;
    half.0.get_mut().write_all(b"$6\r\nc=read\r\n").await.unwrap();
    let mut replies = half.reply().await + &half.reply().await;
    for _ in 0..3 {
        replies += &client.reply().await;
    }
    world.wait_for_counter("tries_withdrawn 2").await;
    world.proxy_task.await.expect("an orderly end");
    expect![[r#"
        value of id
        closed
        -BUSY 7500
        -BUSY 7500
        closed
    "#]]
    .assert_eq(&replies);
}

#[tokio::test(start_paused = true)]
async fn phases_follow_the_platform() {
    let mut trace = String::new();
    for (name, longest, work) in [("idle", 2, 0), ("busy", 2, 1200), ("hung", 6, 60_000)] {
        let (phases, connections) = (Phases::default(), TaskTracker::new());
        phases.enter(Phase::Serving);
        connections.spawn(sleep(Duration::from_millis(work)));
        let (start, watch) = (Instant::now(), phases.watch());
        trace += &format!("{name}:");
        let (draining, longest) = (Duration::from_millis(500), Duration::from_secs(longest));
        let stop = phases.stop(draining, longest, &connections);
        let follow = async {
            let mut lines = String::new();
            for phase in [Phase::Draining, Phase::Closing, Phase::Leaving, Phase::Stopped] {
                let mut seen = watch.clone();
                seen.reached(phase).await;
                if seen.current() == phase {
                    lines += &format!(" {phase:?} at {} ms", start.elapsed().as_millis());
                }
            }
            lines
        };
        let ((), lines) = tokio::join!(stop, follow);
        trace += &format!("{lines}\n");
    }
    expect![[r#"
        idle: Draining at 0 ms Stopped at 500 ms
        busy: Draining at 0 ms Closing at 500 ms Stopped at 1200 ms
        hung: Draining at 0 ms Closing at 500 ms Leaving at 3550 ms Stopped at 3630 ms
    "#]]
    .assert_eq(&trace);
}
