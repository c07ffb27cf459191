//! What one proxy of hundreds may give_up from the little that it sees: the days of a full fleet.

use crate::rig::{MS, Rig, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{Listed, Outcome};

fn of_300(caches: usize) -> Rig {
    rig(caches, "retriable", &[("fleet", Value::Number(300.0))])
}

/// How long each attempt was given, in milliseconds.
fn given(rig: &Rig) -> String {
    let times: Vec<u64> = rig.balance.host.1.iter().map(|time| time / MS).collect();
    format!("{times:?}")
}

/// A request whose client waits 100 ms of an objective of a second, in vain.
fn in_vain(rig: &mut Rig, id: u64) {
    rig.arrive(id);
    rig.pass(100 * MS);
    rig.end(id, 0, Outcome::Overdue);
}

/// On `join+mass` clients gave up after 129 ms, and each of 300 proxies set a crowded node aside after one time-out:
/// 1,500 a second, whose keys then scattered over nodes that lacked them.
#[test]
fn hasty_clients_time_outs_set_no_node_aside_but_silence_for_an_objective_does() {
    let mut rig = of_300(1);
    rig.ask.grace = 100 * MS;
    (1..=8).for_each(|id| in_vain(&mut rig, id));
    rig.note("a sign of life, then ten in vain");
    rig.arrive(9);
    rig.end(9, 0, Outcome::Completed);
    (10..=19).for_each(|id| in_vain(&mut rig, id));
    rig.check(expect![[r#"
        1 to node 1, 1 shed, 2 to node 1, 2 shed, 3 to node 1, 3 shed, 4 to node 1, 4 shed, 5 to node 1, 5 shed, 6 to node 1, 6 shed, 7 to node 1, 7 shed, 8 to node 1, 8 shed
        -- a sign of life, then ten in vain
        9 to node 1, 10 to node 1, 10 shed, 11 to node 1, 11 shed, 12 to node 1, 12 shed, 13 to node 1, 13 shed, 14 to node 1, 14 shed, 15 to node 1, 15 shed, 16 to node 1, 16 shed, 17 to node 1, 17 shed, 18 to node 1, 18 shed, 19 to node 1
        log: node 1 aside: 1 failures, last Overdue
        19 shed
    "#]]);
}

/// A node that is dead is left after one request that waited long enough, as ever.
#[test]
fn a_node_that_is_silent_for_an_objective_is_left_after_one_exchange() {
    let mut rig = of_300(4);
    rig.arrive(1);
    rig.pass(2 * SECOND);
    rig.end(1, 0, Outcome::Overdue);
    rig.check(expect![[r#"
        1 to node 4
        log: node 4 aside: 1 failures, last Overdue
        1 shed
    "#]]);
}

/// Probes that it answered are signs of life: what was waited for before counts no more.
#[test]
fn a_node_that_is_back_is_not_set_aside_again_for_one_short_wait() {
    let mut rig = of_300(1);
    rig.arrive(1);
    rig.pass(2 * SECOND);
    rig.end(1, 0, Outcome::Overdue);
    (0..2).for_each(|_| rig.balance.probed(1, Outcome::Completed));
    rig.ask.grace = 100 * MS;
    in_vain(&mut rig, 2);
    rig.check(expect![[r#"
        1 to node 1
        log: node 1 aside: 1 failures, last Overdue
        1 shed
        log: node 1 back: 2 probes answered
        2 to node 1, 2 shed
    "#]]);
}

/// On `join+mass` half of what the origin did for hasty clients came too late for them, was thrown away, and was asked
/// for again by their next attempt.
#[test]
fn a_fetch_outlives_its_client_and_those_who_come_next_wait_for_it() {
    let mut rig = of_300(4);
    rig.ask.grace = 100 * MS;
    rig.arrive(1);
    rig.end(1, 0, Outcome::Missed);
    let times = given(&rig);
    rig.note(&format!("given {times} ms; the client's time is over"));
    rig.now += 100 * MS;
    rig.balance.woke(rig.now, 1);
    rig.note("its next try, then another client who leaves, and a third");
    rig.arrive(2);
    rig.arrive(3);
    rig.balance.dropped(rig.now, 3);
    rig.now += 50 * MS;
    rig.arrive(4);
    rig.note("the origin answers");
    rig.balance.ended(rig.now, 1, 1, Outcome::Completed, true);
    rig.check(expect![[r#"
        1 to node 4, 1 to origin
        -- given [100, 1000] ms; the client's time is over
        1 shed, 1 taken back
        -- its next try, then another client who leaves, and a third
        -- the origin answers
        2 to node 4, 4 to origin
    "#]]);
}

/// The same where the client left by itself.
#[test]
fn a_fetch_whose_client_left_is_waited_for() {
    let mut rig = of_300(4);
    rig.arrive(1);
    rig.end(1, 0, Outcome::Missed);
    rig.balance.dropped(rig.now, 1);
    rig.arrive(2);
    rig.note("the origin fails: who waits looks again");
    rig.balance.ended(rig.now, 1, 1, Outcome::Errored, true);
    rig.check(expect![[r#"
        1 to node 4, 1 to origin, 1 taken back
        -- the origin fails: who waits looks again
        2 to node 4
    "#]]);
}

/// A write or a route that may not repeat is given no longer than its client waits.
#[test]
fn only_fetches_of_retriable_routes_outlive_their_clients() {
    let mut rig = rig(4, "deduped", &[("fleet", Value::Number(300.0))]);
    rig.ask.grace = 100 * MS;
    rig.arrive(1);
    rig.end(1, 0, Outcome::Missed);
    rig.ask.write = true;
    rig.arrive(2);
    expect!["[100, 100]"].assert_eq(&given(&rig));
}

/// On `join+mass` most attempts were turned away; each refusal then counted for ten seconds, so that every proxy passed over
/// other nodes and asked for keys where they were not.
#[test]
fn a_refusal_among_many_counts_for_a_moment_only() {
    let mut rig = of_300(2);
    rig.arrive(1);
    rig.note("one answer, eight refusals");
    rig.end(1, 0, Outcome::Completed);
    for id in 2..=5 {
        rig.arrive(id);
        (0..2).for_each(|attempt| rig.end(id, attempt, Outcome::Saturated));
    }
    rig.note("a fifth of a second later both members are asked");
    rig.pass(200 * MS);
    for id in 6..=11 {
        rig.arrive(id);
        rig.end(id, 0, Outcome::Completed);
    }
    rig.check(expect![[r#"
        1 to node 1
        -- one answer, eight refusals
        2 to node 1, 2 to node 2, 2 to origin, 3 to node 1, 3 to node 2, 4 to node 1, 4 to node 2, 5 to node 2, 5 to node 1, 3 shed
        -- a fifth of a second later both members are asked
        6 to node 2, 7 to node 1, 8 to node 2, 9 to node 1, 10 to node 1, 11 to node 1
    "#]]);
}

/// Six nodes in ten were new on `join+mass`, and room was counted as if they could do what warm ones do: the warm ones
/// got it all.
#[test]
fn cold_nodes_count_in_the_room_of_all_by_their_part() {
    let mut counts = Vec::new();
    for cold in [0, 20] {
        let mut rig = rig(40, "retriable", &[("fleet", Value::Number(18.0))]);
        rig.now += 60 * SECOND;
        for node in 1..=cold {
            rig.balance.listed(rig.now, node, Listed { started: rig.now, ..listed(node) });
        }
        // Answers take too long for more than the least room.
        for id in 101..=104 {
            rig.arrive_for(id, id);
            rig.pass(400 * MS);
            rig.end(id, 0, Outcome::Completed);
        }
        rig.balance.host.0.clear();
        (1..=60).for_each(|id| rig.arrive_for(id, id));
        counts.push(rig.balance.host.0.matches("to node").count());
    }
    expect!["[23, 14]"].assert_eq(&format!("{counts:?}"));
}
