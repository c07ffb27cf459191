//! Joining orders is commutative, associative and idempotent, and what holds for a node follows from what is known alone.

mod common;

use common::{MOST_AHEAD, RETENTION, SECOND, expected, rank};
use proptest::collection::vec;
use proptest::prelude::*;
use pumicebay_replication::*;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Before all stamps, so that none has expired.
const NOW: Nanos = 100 * SECOND;

fn order(service: Service, token: u64, time: Nanos, origin: u64, version: u64) -> Order {
    let origin = Origin { name: format!("p{origin}"), incarnation: 1 };
    Order { service, token, stamp: Stamp { time, origin, version } }
}

fn slot(node: u64, lease: u64) -> Slot {
    let lease = (lease > 0).then(|| format!("lease{lease}"));
    Slot { node: format!("n{node}"), lease }
}

/// A history: each order of an origin has a version of its own, so no stamp comes twice.
fn history() -> impl Strategy<Value = Vec<Entry>> {
    let one = (0..3u64, 0..3u64, any::<bool>(), 0..4u64, 0..6u64, 0..3u64);
    vec(one, 0..14).prop_map(|drawn| {
        let mut versions = BTreeMap::new();
        let entry = |(node, lease, out, token, time, origin): (u64, u64, bool, u64, u64, u64)| {
            let version = versions.entry(origin).and_modify(|version| *version += 1).or_insert(1);
            let service = if out { Service::Out } else { Service::In };
            let token = if lease > 0 { token } else { 0 };
            let order = order(service, token, NOW + time, origin, *version);
            Entry { slot: slot(node, lease), order }
        };
        drawn.into_iter().map(entry).collect()
    })
}

fn joined(entries: &[Entry]) -> Map {
    let mut map = Map::default();
    for entry in entries {
        map.join(NOW, entry, MOST_AHEAD, RETENTION);
    }
    map
}

/// All that both have.
fn merged(one: &Map, other: &Map) -> Map {
    let mut map = one.clone();
    for entry in other.entries() {
        map.join(NOW, &entry, MOST_AHEAD, RETENTION);
    }
    map.vector.join(&other.vector);
    map
}

/// What is known: all but the clock of stamps given next.
fn known(map: &Map) -> (Vec<Entry>, Vector, u64) {
    (map.entries().collect(), map.vector.clone(), map.digest())
}

proptest! {
    #[test]
    fn any_order_and_any_repetition_comes_to_the_same(
        entries in history().prop_flat_map(|entries| (Just(entries.clone()), Just(entries).prop_shuffle())),
        again in 0..14usize,
    ) {
        let (entries, mut shuffled) = entries;
        shuffled.extend(entries.iter().take(again).cloned().collect::<Vec<_>>());
        let (one, other) = (joined(&entries), joined(&shuffled));
        prop_assert_eq!(known(&one), known(&other));
    }

    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        (one, two, three) in history().prop_flat_map(|all| {
            let cut = 0..=all.len();
            (Just(all), cut.clone(), cut).prop_map(|(all, one, two)| {
                let (low, high) = (one.min(two), one.max(two));
                (all[..high].to_vec(), all[low..].to_vec(), [&all[..low], &all[high..]].concat())
            })
        }),
    ) {
        let (one, two, three) = (joined(&one), joined(&two), joined(&three));
        prop_assert_eq!(known(&merged(&one, &two)), known(&merged(&two, &one)));
        let grouped = merged(&one, &merged(&two, &three));
        prop_assert_eq!(known(&merged(&merged(&one, &two), &three)), known(&grouped));
        prop_assert_eq!(known(&merged(&one, &one)), known(&one));
    }

    #[test]
    fn the_greatest_of_each_slot_stays_and_what_holds_follows_from_them(entries in history()) {
        let map = joined(&entries);
        let kept: Vec<Entry> = map.entries().collect();
        for entry in &entries {
            let greatest = entries.iter().filter(|other| other.slot == entry.slot).map(|other| rank(&other.order));
            prop_assert_eq!(map.get(&entry.slot).map(|entry| rank(&entry.order)), greatest.max());
            let holds = map.holds(&entry.slot.node);
            prop_assert_eq!(holds, Some(expected(&kept, &entry.slot.node)));
        }
    }
}

/// Token 5 of lease L at time 1, lease M at time 2, token 4 of L at time 3: comparing by token within a lease and by time
/// otherwise goes round in a circle. Slots do not.
#[test]
fn comparing_by_token_or_time_is_a_circle_and_slots_are_none() {
    let [first, second, third] = [(1, 5, 1), (2, 7, 2), (1, 4, 3)].map(|(lease, token, time)| Entry {
        slot: slot(0, lease),
        order: order(if token == 7 { Service::In } else { Service::Out }, token, NOW + time, time, 1),
    });
    let beats = |one: &Entry, other: &Entry| match one.slot == other.slot {
        true => one.order.token > other.order.token,
        false => one.order.stamp.time > other.order.stamp.time,
    };
    assert!(beats(&second, &first) && beats(&third, &second) && beats(&first, &third));
    let all = [&first, &second, &third];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let entries = order.map(|at| all[at].clone());
        // Token 4 of L counts for nothing beside token 5; of the two leases M was the later.
        assert_eq!(joined(&entries).holds("n0"), Some(Service::In));
    }
    assert_eq!(third.order.wins_over(&first.order), Ordering::Less);
}

/// An order without a token never undoes one with a token, and a lower token none with a higher.
#[test]
fn who_may_not_is_refused_in_words() {
    let me = Origin { name: "p0".into(), incarnation: 1 };
    let lease = |token| Some(Lease { name: "repair".into(), token });
    let mut map = Map::default();
    let mut give = |node: &str, service, lease| map.give(NOW, &me, node, service, lease).map(|_| ());
    assert_eq!(give("n0", Service::Out, None), Ok(()));
    assert_eq!(give("n0", Service::Out, lease(5)), Ok(()));
    assert_eq!(give("n0", Service::In, None), Err(Refusal::UnderLease { lease: "repair".into() }));
    assert_eq!(give("n0", Service::In, lease(4)), Err(Refusal::Late { token: 5 }));
    assert_eq!(give("", Service::In, None), Err(Refusal::Name));
    assert_eq!(give(&"n".repeat(300), Service::In, None), Err(Refusal::Name));
    assert_eq!(give("n0", Service::In, lease(5)), Ok(()));
    for number in 0..14 {
        let other = Some(Lease { name: format!("lease{number}"), token: 1 });
        assert_eq!(give("n0", Service::In, other), Ok(()));
    }
    let one_more = Some(Lease { name: "one-more".into(), token: 1 });
    assert_eq!(give("n0", Service::In, one_more), Err(Refusal::Full));
    assert_eq!(map.holds("n0"), Some(Service::In));
}

/// The same stamp with other contents is a conflict; out of service is kept, whichever came first.
#[test]
fn one_stamp_with_two_contents_keeps_the_safe_side() {
    let [out, back] = [Service::Out, Service::In]
        .map(|service| Entry { slot: slot(0, 0), order: order(service, 0, NOW, 1, 1) });
    for (one, other) in [(&out, &back), (&back, &out)] {
        let mut map = Map::default();
        map.join(NOW, one, MOST_AHEAD, RETENTION);
        assert_eq!(map.join(NOW, other, MOST_AHEAD, RETENTION), Joined::Conflict);
        assert_eq!(map.holds("n0"), Some(Service::Out));
    }
}
