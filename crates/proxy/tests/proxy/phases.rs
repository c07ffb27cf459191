//! The phases of a proxy that stops, from the signal to the exit.

use crate::TestEnvironment;
use expect_test::expect;
use pumicebay::config::parse;
use pumicebay::phases::{Phase, Phases};
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;

/// Guards against requests lost at a stop: clients that connect after the signal are served, and open
/// requests answered, before the connections close.
#[tokio::test]
async fn a_stopping_proxy_accepts_new_requests_and_answers_all() {
    let mut env =
        TestEnvironment::start_with(&[], |config| config.drain_period = Duration::from_secs(2)).await;
    let (mut busy, mut idle) = (env.client().await, env.client().await);
    let mut replies = idle.get("hit-1").await;
    busy.send(&["C.GET", "slow", "id-1", "c=read,d=3000"]).await;
    env.cache.wait_for("slow").await;
    env.stop().await;
    let mut new_client = env.client().await;
    replies += &new_client.get("hit-late").await;
    replies += &idle.get("hit-2").await;
    replies += &busy.reply().await;
    for mut client in [busy, idle, new_client] {
        replies += &client.reply().await;
    }
    env.proxy_task.await.expect("the proxy panicked");
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

/// Guards against requests without an answer when the time to stop is over: open attempts are withdrawn, and
/// their requests refused as busy. A command that was partly sent when closing began is still served.
#[tokio::test]
async fn requests_still_open_at_the_end_are_withdrawn_and_answered() {
    let long_timeout = json!(60_000_000);
    let long_timeouts = [
        ("/settings/routes/0/overall-timeout-us", long_timeout.clone()),
        ("/settings/routes/0/latency-objective-us", long_timeout),
    ];
    let mut env = TestEnvironment::start(&long_timeouts).await;
    let mut client = env.client().await;
    for key in ["hang-1", "hang-2"] {
        client.send(&["C.GET", key, key, "c=read,d=60000"]).await;
        env.cache.wait_for(key).await;
    }
    env.stop().await;
    let mut partial = env.client().await;
    partial.0.get_mut().write_all(b"*4\r\n$5\r\nC.GET\r\n$3\r\nhit\r\n$2\r\nid\r\n").await.unwrap();
    env.phase_watch.reached(Phase::Closing).await;
    partial.0.get_mut().write_all(b"$6\r\nc=read\r\n").await.unwrap();
    let mut replies = partial.reply().await + &partial.reply().await;
    for _ in 0..3 {
        replies += &client.reply().await;
    }
    env.wait_for_counter("tries_withdrawn 2").await;
    env.proxy_task.await.expect("the proxy panicked");
    expect![[r#"
        value of id
        closed
        -BUSY 7500
        -BUSY 7500
        closed
    "#]]
    .assert_eq(&replies);
}

/// Guards against requests lost at a stop after a reload: the time for them ended with the longest timeout of any route
/// ever configured, when the platform had killed the process.
#[tokio::test]
async fn a_route_that_was_dropped_does_not_prolong_the_stop() {
    let short_timeouts = [0, 1].map(|route| {
        [
            (format!("/settings/routes/{route}/overall-timeout-us"), json!(400_000)),
            (format!("/settings/routes/{route}/latency-objective-us"), json!(200_000)),
        ]
    });
    let short_timeouts = short_timeouts.as_flattened().iter();
    let mut overrides: Vec<_> = short_timeouts.map(|(key, value)| (key.as_str(), value.clone())).collect();
    overrides.push(("/settings/routes/2/overall-timeout-us", json!(6_000_000)));
    let mut env = TestEnvironment::start(&overrides).await;
    env.config_json["settings"]["routes"].as_array_mut().unwrap().pop();
    env.configs.send(parse(&env.config_json)).await.unwrap();
    env.wait_for_counter("reloads 1").await;
    let mut client = env.client().await;
    // A command in part keeps its connection open until the proxy leaves.
    client.0.get_mut().write_all(b"*1\r\n").await.unwrap();
    env.stop().await;
    env.phase_watch.reached(Phase::Closing).await;
    let closing = Instant::now();
    env.phase_watch.reached(Phase::Leaving).await;
    assert!(closing.elapsed() < Duration::from_millis(1000), "{:?}", closing.elapsed());
}

/// Without open connections the proxy stops once draining is over, with some once they close, and at the
/// latest when the platform's time is over.
#[tokio::test(start_paused = true)]
async fn phases_keep_to_the_time_that_the_platform_grants() {
    let mut trace = String::new();
    for (name, longest_request, work) in [("idle", 2, 0), ("busy", 2, 1200), ("hung", 6, 60_000)] {
        let (phases, connections) = (Phases::default(), TaskTracker::new());
        phases.enter(Phase::Serving);
        connections.spawn(sleep(Duration::from_millis(work)));
        let (start, watch) = (Instant::now(), phases.watch());
        trace += &format!("{name}:");
        let (draining, longest_request) = (Duration::from_millis(500), Duration::from_secs(longest_request));
        let stop = phases.stop(draining, longest_request, &connections);
        let observe_phases = async {
            let mut lines = String::new();
            for phase in [Phase::Draining, Phase::Closing, Phase::Leaving, Phase::Stopped] {
                let mut watch = watch.clone();
                watch.reached(phase).await;
                if watch.current() == phase {
                    lines += &format!(" {phase:?} at {} ms", start.elapsed().as_millis());
                }
            }
            lines
        };
        let ((), lines) = tokio::join!(stop, observe_phases);
        trace += &format!("{lines}\n");
    }
    expect![[r#"
        idle: Draining at 0 ms Stopped at 500 ms
        busy: Draining at 0 ms Closing at 500 ms Stopped at 1200 ms
        hung: Draining at 0 ms Closing at 500 ms Leaving at 3550 ms Stopped at 3630 ms
    "#]]
    .assert_eq(&trace);
}

/// How the process stops while a request waits without an attempt.
struct WaitAtStop {
    /// What the request waits for.
    name: &'static str,
    /// What makes it wait.
    setting: (&'static str, serde_json::Value),
    /// The keys of the requests, each on a connection of its own; the last one waits.
    keys: &'static [&'static str],
    /// The counter line that shows that it waits.
    shown_by: &'static str,
}

/// Guards against a request that is left to its own timer when the process leaves, and is lost with it: whatever it waits
/// for, it is answered before its connection closes, and no attempt follows.
#[tokio::test]
async fn requests_that_wait_without_an_attempt_are_answered_before_the_process_ends() {
    let many_proxies = || ("/settings/fleet-size", json!(300));
    let waits = [
        WaitAtStop {
            name: "room at a cache",
            setting: many_proxies(),
            keys: &["miss-held", "held-1", "hit"],
            shown_by: "exchanges_taken 3",
        },
        WaitAtStop {
            name: "its turn on a key",
            setting: ("/settings/routes/0/keep-order", json!(true)),
            keys: &["held-1", "held-1"],
            shown_by: "exchanges_taken 2",
        },
        WaitAtStop {
            name: "another's fetch",
            setting: ("/settings/routes/0/payoff", json!(1.0)),
            keys: &["miss-held", "miss-held"],
            shown_by: "exchanges_taken 2",
        },
        WaitAtStop {
            name: "room at the origin",
            setting: many_proxies(),
            keys: &["miss-held-1", "miss-held-2"],
            shown_by: "tries_missed 2",
        },
    ];
    for WaitAtStop { name, setting, keys, shown_by } in waits {
        let long_timeout = |key| (key, json!(60_000_000));
        let overrides = [
            setting,
            long_timeout("/settings/routes/0/overall-timeout-us"),
            long_timeout("/settings/routes/0/latency-objective-us"),
        ];
        let mut env = TestEnvironment::start(&overrides).await;
        let mut clients = Vec::new();
        for (number, key) in keys.iter().enumerate() {
            let mut client = env.client().await;
            client.send(&["C.GET", key, &format!("id-{number}"), "c=read,d=60000"]).await;
            env.wait_for_counter(&format!("exchanges_taken {}", number + 1)).await;
            // The first ones hold what the last one waits for.
            let held = |log: String| log.contains(&format!("id-{number}"));
            while number + 1 < keys.len() && !held(env.cache.log()) && !held(env.origin.log()) {
                sleep(Duration::from_millis(5)).await;
            }
            clients.push(client);
        }
        env.wait_for_counter(shown_by).await;
        let sent = env.counter_lines("tries_sent");
        env.stop().await;
        let mut replies = Vec::new();
        for mut client in clients {
            replies.push(client.reply().await + &client.reply().await);
        }
        assert_eq!(replies, vec!["-BUSY 7500\nclosed\n"; keys.len()], "{name}");
        env.proxy_task.await.expect("the proxy panicked");
        assert_eq!(
            env.counters.to_string().lines().find(|line| line.starts_with("tries_sent")),
            sent.lines().next()
        );
    }
}
