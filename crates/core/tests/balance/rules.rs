//! The four rules, and answers when nothing works.

use crate::rig::{MS, ORIGIN, Rig, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{Ask, Listed, Outcome, Standing};

#[test]
fn rule_1_a_held_exchange_is_answered_in_time_and_once() {
    let mut rig = rig(1, "retriable", &[]);
    rig.arrive(1);
    rig.arrive(2);
    rig.end(1, 0, Outcome::Missed);
    rig.end(2, 0, Outcome::Missed);
    rig.note("the fetch hangs: who waits for it is shed when the objective is out of reach");
    rig.now += SECOND;
    rig.balance.woke(rig.now, 2);
    rig.balance.woke(rig.now, 2);
    rig.note("the fetching one ends with its overall timeout; late and double events change nothing");
    rig.now += SECOND;
    rig.end(1, 1, Outcome::Overdue);
    rig.end(1, 1, Outcome::Overdue);
    rig.balance.dropped(rig.now, 1);
    rig.balance.dropped(rig.now, 77);
    rig.check(expect![[r#"
        1 to node 1, 2 to node 1, 1 to origin
        -- the fetch hangs: who waits for it is shed when the objective is out of reach
        2 shed
        -- the fetching one ends with its overall timeout; late and double events change nothing
        1 shed
    "#]]);
}

#[test]
fn rule_2_no_effect_twice() {
    let mut all = String::new();
    for (repeat, outcome) in [
        ("retriable", Outcome::Severed),
        ("non_retriable", Outcome::Unreachable),
        ("non_retriable", Outcome::Severed),
        ("deduped", Outcome::Severed),
    ] {
        let mut rig = rig(4, repeat, &[]);
        rig.note(&format!("{repeat}, {outcome:?}"));
        rig.arrive(1);
        rig.end(1, 0, outcome);
        rig.note("past the window");
        rig.now += SECOND;
        rig.end(1, 1, Outcome::Severed);
        all += &format!("{}\n", rig.balance.host.0);
    }
    expect![[r#"
        -- retriable, Severed
        1 to node 4, 1 to node 1
        -- past the window
        1 to node 2
        -- non_retriable, Unreachable
        1 to node 4, 1 to node 1
        -- past the window
        1 error
        -- non_retriable, Severed
        1 to node 4, 1 error
        -- past the window

        -- deduped, Severed
        1 to node 4, 1 to node 2
        -- past the window
        1 error
    "#]]
    .assert_eq(&all);
}

/// The repeat may wait for its connection, so it ends with the window; a first attempt has all its time.
#[test]
fn rule_2_a_repeat_that_waits_goes_out_within_the_window() {
    let mut rig = rig(4, "deduped", &[]);
    rig.arrive(1);
    rig.now += 900 * MS;
    rig.end(1, 0, Outcome::Severed);
    let given: Vec<u64> = rig.balance.host.1.iter().map(|given| given / MS).collect();
    expect!["[2000, 100]"].assert_eq(&format!("{given:?}"));
}

#[test]
fn rule_3_no_new_work_to_a_node_that_drains_or_is_gone() {
    let mut rig = rig(2, "retriable", &[]);
    rig.balance.listed(rig.now, 1, Listed { standing: Standing::Draining, ..listed(1) });
    (1..=3).for_each(|key| rig.arrive_for(key, key));
    rig.note("a complete list leaves node 2 out");
    rig.balance.listed_all(&[ORIGIN, 1]);
    (4..=5).for_each(|key| rig.arrive_for(key, key));
    rig.note("and then the origin");
    rig.balance.listed_all(&[]);
    rig.arrive_for(6, 6);
    rig.check(expect![[r#"
        1 to node 2, 2 to node 2, 3 to node 2
        -- a complete list leaves node 2 out
        1 taken back, 2 taken back, 3 taken back, 4 to origin, 5 to origin
        -- and then the origin
        1 taken back, 2 taken back, 3 taken back, 4 taken back, 5 taken back, 6 shed
    "#]]);
}

/// Many proxies' first requests at once would push a cold node over; many new nodes shrank the part of each.
#[test]
fn rule_4_a_cold_node_gets_its_part_of_normal_work() {
    let more = [("start_capacity", Value::Number(0.2)), ("fleet", Value::Number(100.0))];
    let (mut rig, mut sent) = (rig(3, "retriable", &more), Vec::new());
    for id in 1..=120 {
        if id == 21 {
            (3..9).for_each(|n| rig.balance.listed(rig.now, n, Listed { started: rig.now, ..listed(n) }));
        }
        rig.arrive_for(id, id);
        rig.end(id, 0, Outcome::Completed);
        rig.pass(100 * MS);
        sent.push(if rig.balance.host.0.contains(&format!("{id} to node 3")) { "x" } else { "." });
    }
    expect![".x.x......xx....xxx...........x..........x...........x........x........x..................x.....x..x.......x....x......."].assert_eq(&sent.concat());
}

/// What all proxies left unused would bury it when they make up for it together: chance allows for two roots.
#[test]
fn rule_4_a_cold_node_gets_no_more_at_once_than_chance_allows() {
    let mut rig =
        rig(2, "retriable", &[("start_capacity", Value::Number(0.2)), ("fleet", Value::Number(1.0))]);
    let mut asks = 0;
    let mut ask = |rig: &mut Rig, count: u64| {
        for _ in 0..count {
            asks += 1;
            rig.arrive_for(asks, asks);
            rig.end(asks, 0, Outcome::Completed);
        }
    };
    for _ in 0..50 {
        ask(&mut rig, 80);
        rig.pass(100 * MS);
    }
    rig.balance.listed(rig.now, 3, Listed { started: rig.now, ..listed(3) });
    rig.pass(SECOND);
    ask(&mut rig, 300);
    let sent = rig.balance.host.0.matches("to node 3").count();
    // Some 400 a second are normal, so that some 90 are its part by then.
    assert!((5..=20).contains(&sent), "{sent} at once");
}

#[test]
fn an_empty_list_and_an_origin_alone() {
    let mut rig = rig(0, "retriable", &[("pauses", Value::Flag(true))]);
    rig.arrive(1);
    rig.balance.listed_all(&[]);
    rig.arrive(2);
    rig.check(expect![[r#"
        1 to origin, 1 taken back, 2 shed for 125 ms
    "#]]);
}

#[test]
fn rule_4_no_heavy_exchange_to_a_cold_node() {
    let mut rig = rig(2, "retriable", &[]);
    rig.ask = Ask { key: None, hint: Some(10 * MS), ..rig.ask };
    (1..=2).for_each(|id| rig.arrive(id));
    rig.pass(100 * MS);
    rig.balance.listed(rig.now, 3, Listed { started: rig.now, ..listed(3) });
    rig.ask.hint = Some(500 * MS);
    (3..=5).for_each(|id| rig.arrive(id));
    rig.ask.hint = Some(5 * MS);
    (6..=7).for_each(|id| rig.arrive(id));
    rig.check(expect![[r#"
        1 to node 1, 2 to node 2
        log: node 3 cold: one exchange in 2.0 s at first
        3 to node 1, 4 to node 2, 5 to node 2, 6 to node 1, 7 to node 2
    "#]]);
}
