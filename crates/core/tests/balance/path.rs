use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::{Ask, Listed, Outcome, Standing};

#[test]
fn a_key_is_seeded_then_its_set_grows_past_t() {
    let mut rig = rig(4, "retriable", &[]);
    (1..=7).for_each(|id| rig.arrive(id));
    rig.note("four in flight were more than T and another cache joined; now the less loaded of both serves");
    rig.arrive(8);
    rig.check(expect![[r#"
        1 to node 4, 2 to node 4, 3 to node 4, 4 to node 4, 5 to origin, 6 to origin, 7 to origin
        -- four in flight were more than T and another cache joined; now the less loaded of both serves
        8 to origin
    "#]]);
}

#[test]
fn a_busy_member_serves_when_all_are_over_t() {
    let mut rig = rig(2, "retriable", &[]);
    (0..10).for_each(|key| rig.arrive_for(key + 1, key));
    rig.check(expect![[r#"
        1 to node 2, 2 to node 1, 3 to node 2, 4 to node 2, 5 to node 2, 6 to origin, 7 to node 1, 8 to node 1, 9 to node 1, 10 to origin
    "#]]);
}

#[test]
fn members_leave_when_unpicked_or_draining() {
    let mut rig = rig(4, "retriable", &[]);
    rig.arrive(1);
    rig.end(1, 0, Outcome::Completed);
    rig.note("twelve seconds later the key is seeded anew");
    rig.pass(12 * SECOND);
    rig.arrive(2);
    rig.end(2, 0, Outcome::Completed);
    rig.note("both of its first caches drain");
    for node in [1, 2, 3] {
        rig.balance.listed(rig.now, node, Listed { standing: Standing::Draining, ..listed(node) });
    }
    rig.arrive(3);
    rig.check(expect![[r#"
        1 to node 4
        -- twelve seconds later the key is seeded anew
        2 to node 4
        -- both of its first caches drain
        3 to node 4
    "#]]);
}

#[test]
fn a_refusal_counts_as_over_t() {
    let mut rig = rig(3, "retriable", &[]);
    rig.arrive(1);
    rig.end(1, 0, Outcome::Saturated);
    rig.note("for a while the member is passed over");
    rig.arrive(2);
    rig.check(expect![[r#"
        1 to node 1, 1 to node 2
        -- for a while the member is passed over
        2 to node 2
    "#]]);
}

#[test]
fn misses_of_a_key_share_one_fetch() {
    let mut rig = rig(3, "retriable", &[]);
    rig.arrive(1);
    rig.arrive(2);
    rig.end(1, 0, Outcome::Missed);
    rig.end(2, 0, Outcome::Missed);
    rig.note("the cache is about to have the key: no use to ask it now");
    rig.arrive(3);
    rig.end(1, 1, Outcome::Completed);
    rig.check(expect![[r#"
        1 to node 1, 2 to node 1, 1 to origin
        -- the cache is about to have the key: no use to ask it now
        2 to node 1, 3 to node 1
    "#]]);
}

#[test]
fn who_waited_for_a_failed_fetch_looks_again() {
    let mut rig = rig(3, "retriable", &[]);
    rig.arrive(1);
    rig.arrive(2);
    rig.end(1, 0, Outcome::Missed);
    rig.end(2, 0, Outcome::Missed);
    rig.end(1, 1, Outcome::Saturated);
    rig.check(expect![[r#"
        1 to node 1, 2 to node 1, 1 to origin, 1 shed, 2 to node 1
    "#]]);
}

#[test]
fn exchanges_without_key_and_writes_find_their_way() {
    let mut rig = rig(3, "retriable", &[]);
    rig.balance.arrived(rig.now, 1, Ask { key: None, ..rig.ask });
    rig.end(1, 0, Outcome::Missed);
    rig.balance.arrived(rig.now + MS, 2, Ask { write: true, ..rig.ask });
    rig.check(expect![[r#"
        1 to node 2, 1 to origin, 2 to origin
    "#]]);
}
