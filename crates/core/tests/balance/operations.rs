//! What operators do: nodes out of service and back, and other settings.

use crate::rig::{MS, SECOND, listed, rig};
use expect_test::expect;
use pumicebay_core::settings::Value;
use pumicebay_core::{Listed, Outcome, Settings, Standing};

#[test]
fn a_node_out_of_service_gets_nothing_whatever_is_listed_until_it_is_put_back() {
    let mut rig = rig(2, "retriable", &[]);
    let (one, two) = (listed(1).identity, listed(2).identity);
    for (id, node) in [(1, one), (2, two)] {
        rig.balance.maintained(rig.now, node, true);
        rig.balance.maintained(rig.now, node, true);
        rig.arrive(id);
    }
    rig.note(
        "listed as draining, as gone, and as new: it stays out, and so does one that comes under its number",
    );
    for standing in [Standing::Draining, Standing::Gone, Standing::Ready] {
        let started = rig.now + SECOND;
        rig.balance.listed(rig.now, 1, Listed { standing, started, ..listed(1) });
        rig.balance.listed_all(&[0, 1]);
    }
    rig.arrive(3);
    rig.note("back, though it was never listed since: it counts as cold and gets its part");
    rig.balance.maintained(rig.now, one, false);
    rig.balance.maintained(rig.now, one, false);
    for id in 4..8 {
        rig.pass(2 * SECOND);
        rig.arrive(id);
        rig.end(id, 0, Outcome::Completed);
    }
    rig.check(expect![[r#"
        log: node 1 out of service
        1 to node 2, 1 taken back
        log: node 2 out of service
        2 to origin
        -- listed as draining, as gone, and as new: it stays out, and so does one that comes under its number
        log: node 1 cold: one exchange in 2.0 s at first
        1 taken back, 1 taken back, 1 taken back, 1 taken back, 1 taken back, 1 taken back, 3 to origin
        -- back, though it was never listed since: it counts as cold and gets its part
        log: node 1 cold: one exchange in 2.0 s at first
        4 to node 1, 5 to node 1, 6 to node 1, 7 to node 1
    "#]]);
}

#[test]
fn failures_before_a_maintenance_are_forgotten_after_it() {
    let mut rig = rig(1, "retriable", &[]);
    for id in 1..6 {
        rig.arrive(id);
        rig.end(id, 0, Outcome::Severed);
    }
    rig.balance.maintained(rig.now, listed(1).identity, true);
    rig.pass(SECOND);
    rig.balance.maintained(rig.now, listed(1).identity, false);
    rig.pass(5 * SECOND);
    rig.arrive(6);
    rig.check(expect![[r#"
        1 to node 1, 1 to origin, 2 to node 1, 2 to origin, 3 to node 1, 3 to origin, 4 to node 1, 4 to origin, 5 to node 1
        log: node 1 aside: 5 failures, last Severed
        log: node 1 out of service
        log: node 1 cold: one exchange in 2.0 s at first
        6 to node 1
    "#]]);
}

fn settings(routes: &[(&str, u64)], most: f64) -> Settings {
    let mut settings = Settings::default();
    settings.put("routes", Value::Number(routes.len() as f64));
    settings.put("most_tries", Value::Number(most));
    for (at, (repeat, objective)) in routes.iter().enumerate() {
        settings.put(format!("route.{at}.repeat"), Value::Text((*repeat).into()));
        settings.put(format!("route.{at}.objective"), Value::Time(objective * MS));
        settings.put(format!("route.{at}.window"), Value::Time(SECOND));
    }
    settings
}

#[test]
fn open_exchanges_keep_their_route_and_for_a_while_the_stricter_binds() {
    let mut rig = rig(4, "retriable", &[]);
    rig.arrive(1);
    rig.balance.retuned(rig.now, &settings(&[("non_retriable", 1000), ("retriable", 500)], 2.0));
    rig.note("taken before: as it was, tried three times and more");
    for attempt in 0..3 {
        rig.end(1, attempt, Outcome::Severed);
    }
    rig.note("the route has become non-retriable");
    rig.arrive(2);
    rig.end(2, 0, Outcome::Severed);
    rig.note("a new route, two attempts at most");
    rig.ask.route = 1;
    rig.arrive(3);
    rig.end(3, 0, Outcome::Unreachable);
    rig.end(3, 1, Outcome::Unreachable);
    rig.note("back to retriable: clients may still mean the route that was not");
    rig.balance.retuned(rig.now, &settings(&[("retriable", 1000), ("retriable", 500)], 4.0));
    rig.ask.route = 0;
    rig.arrive(4);
    rig.end(4, 0, Outcome::Severed);
    rig.note("two seconds later they do not");
    rig.pass(2 * SECOND);
    rig.arrive(5);
    rig.end(5, 0, Outcome::Severed);
    rig.check(expect![[r#"
        1 to node 4
        -- taken before: as it was, tried three times and more
        1 to node 1, 1 to node 2, 1 to node 3
        -- the route has become non-retriable
        2 to node 1, 2 error
        -- a new route, two attempts at most
        3 to node 4, 3 to node 1, 3 shed
        -- back to retriable: clients may still mean the route that was not
        4 to node 1, 4 error
        -- two seconds later they do not
        5 to node 2, 5 to node 1
    "#]]);
}
