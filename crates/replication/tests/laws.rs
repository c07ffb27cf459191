//! Joining orders is commutative, associative and idempotent, and the state of a node depends on the set of
//! known orders alone.

mod common;

use common::{MAX_CLOCK_SKEW, RETENTION, SECOND, expected, rank};
use proptest::collection::vec;
use proptest::prelude::*;
use pumicebay_replication::*;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// No stamp is older than this, so no order has expired.
const NOW: Nanos = 100 * SECOND;

fn order(service: ServiceState, token: u64, time: Nanos, issuer: u64, version: u64) -> Order {
    let issuer = ReplicaId { name: format!("p{issuer}"), incarnation: 1 };
    Order { service, token, stamp: Stamp { time, issuer, version } }
}

fn slot(node: u64, lease: u64) -> Slot {
    let lease = (lease > 0).then(|| format!("lease{lease}"));
    Slot { node: format!("n{node}"), lease }
}

/// A random history. Each order of an issuer has a version of its own, so all stamps are distinct.
fn arbitrary_history() -> impl Strategy<Value = Vec<Entry>> {
    let fields = (0..3u64, 0..3u64, any::<bool>(), 0..4u64, 0..6u64, 0..3u64);
    vec(fields, 0..14).prop_map(|drawn| {
        let mut versions = BTreeMap::new();
        let entry = |(node, lease, out, token, time, issuer): (u64, u64, bool, u64, u64, u64)| {
            let version = versions.entry(issuer).and_modify(|version| *version += 1).or_insert(1);
            let service = if out { ServiceState::Out } else { ServiceState::In };
            let token = if lease > 0 { token } else { 0 };
            let order = order(service, token, NOW + time, issuer, *version);
            Entry { slot: slot(node, lease), order }
        };
        drawn.into_iter().map(entry).collect()
    })
}

fn join_all(entries: &[Entry]) -> OrderMap {
    let mut map = OrderMap::default();
    for entry in entries {
        map.join(NOW, entry, MAX_CLOCK_SKEW, RETENTION);
    }
    map
}

/// The union of both copies.
fn merge(one: &OrderMap, other: &OrderMap) -> OrderMap {
    let mut map = one.clone();
    for entry in other.entries() {
        map.join(NOW, &entry, MAX_CLOCK_SKEW, RETENTION);
    }
    map.vector.join(&other.vector);
    map
}

/// The orders, the vector and the digest: everything but the time for the next stamp.
fn comparable_state(map: &OrderMap) -> (Vec<Entry>, VersionVector, u64) {
    (map.entries().collect(), map.vector.clone(), map.digest())
}

proptest! {
    #[test]
    fn joining_is_independent_of_order_and_repetition(
        entries in arbitrary_history().prop_flat_map(|entries| (Just(entries.clone()), Just(entries).prop_shuffle())),
        repeated in 0..14usize,
    ) {
        let (entries, mut shuffled) = entries;
        shuffled.extend(entries.iter().take(repeated).cloned().collect::<Vec<_>>());
        let (one, other) = (join_all(&entries), join_all(&shuffled));
        prop_assert_eq!(comparable_state(&one), comparable_state(&other));
    }

    #[test]
    fn merging_is_commutative_associative_and_idempotent(
        (one, two, three) in arbitrary_history().prop_flat_map(|all| {
            let cut = 0..=all.len();
            (Just(all), cut.clone(), cut).prop_map(|(all, one, two)| {
                let (low, high) = (one.min(two), one.max(two));
                (all[..high].to_vec(), all[low..].to_vec(), [&all[..low], &all[high..]].concat())
            })
        }),
    ) {
        let (one, two, three) = (join_all(&one), join_all(&two), join_all(&three));
        prop_assert_eq!(comparable_state(&merge(&one, &two)), comparable_state(&merge(&two, &one)));
        let grouped = merge(&one, &merge(&two, &three));
        prop_assert_eq!(comparable_state(&merge(&merge(&one, &two), &three)), comparable_state(&grouped));
        prop_assert_eq!(comparable_state(&merge(&one, &one)), comparable_state(&one));
    }

    #[test]
    fn each_slot_keeps_its_greatest_order_and_slots_determine_the_effective_state(entries in arbitrary_history()) {
        let map = join_all(&entries);
        let kept_entries: Vec<Entry> = map.entries().collect();
        for entry in &entries {
            let greatest = entries.iter().filter(|other| other.slot == entry.slot).map(|other| rank(&other.order));
            prop_assert_eq!(map.get(&entry.slot).map(|entry| rank(&entry.order)), greatest.max());
            let effective_state = map.effective_state(&entry.slot.node);
            prop_assert_eq!(effective_state, Some(expected(&kept_entries, &entry.slot.node)));
        }
    }
}

/// Token 5 of lease L at time 1, lease M at time 2 and token 4 of L at time 3 form a cycle if orders are
/// compared by token within a lease and by time otherwise. Comparing by slot gives one result for every
/// sequence.
#[test]
fn slots_avoid_the_cycle_of_comparing_by_token_or_time() {
    let [first, second, third] = [(1, 5, 1), (2, 7, 2), (1, 4, 3)].map(|(lease, token, time)| Entry {
        slot: slot(0, lease),
        order: order(
            if token == 7 { ServiceState::In } else { ServiceState::Out },
            token,
            NOW + time,
            time,
            1,
        ),
    });
    let supersedes = |one: &Entry, other: &Entry| match one.slot == other.slot {
        true => one.order.token > other.order.token,
        false => one.order.stamp.time > other.order.stamp.time,
    };
    assert!(supersedes(&second, &first) && supersedes(&third, &second) && supersedes(&first, &third));
    let all = [&first, &second, &third];
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let entries = order.map(|index| all[index].clone());
        // Token 4 of L is superseded by token 5; of the two leases, M has the later order.
        assert_eq!(join_all(&entries).effective_state("n0"), Some(ServiceState::In));
    }
    assert_eq!(third.order.cmp_precedence(&first.order), Ordering::Less);
}

/// An order without a token cannot override one with a token, nor a lower token a higher one of the same
/// lease.
#[test]
fn unauthorized_and_invalid_orders_are_refused_with_a_reason() {
    let issuer = ReplicaId { name: "p0".into(), incarnation: 1 };
    let lease = |token| Some(Lease { name: "repair".into(), token });
    let mut map = OrderMap::default();
    let mut issue = |node: &str, service, lease| map.issue(NOW, &issuer, node, service, lease).map(|_| ());
    assert_eq!(issue("n0", ServiceState::Out, None), Ok(()));
    assert_eq!(issue("n0", ServiceState::Out, lease(5)), Ok(()));
    assert_eq!(issue("n0", ServiceState::In, None), Err(Refusal::LeaseRequired { lease: "repair".into() }));
    assert_eq!(issue("n0", ServiceState::In, lease(4)), Err(Refusal::StaleToken { token: 5 }));
    assert_eq!(issue("", ServiceState::In, None), Err(Refusal::InvalidName));
    assert_eq!(issue(&"n".repeat(300), ServiceState::In, None), Err(Refusal::InvalidName));
    assert_eq!(issue("n0", ServiceState::In, lease(5)), Ok(()));
    for number in 0..14 {
        let other = Some(Lease { name: format!("lease{number}"), token: 1 });
        assert_eq!(issue("n0", ServiceState::In, other), Ok(()));
    }
    let one_more = Some(Lease { name: "one-more".into(), token: 1 });
    assert_eq!(issue("n0", ServiceState::In, one_more), Err(Refusal::LimitReached));
    assert_eq!(map.effective_state("n0"), Some(ServiceState::In));
}

/// An order with a known stamp but other contents is a conflict. Out of service is kept, whichever arrives
/// first.
#[test]
fn one_stamp_with_two_contents_keeps_the_node_out_of_service() {
    let [out, back] = [ServiceState::Out, ServiceState::In]
        .map(|service| Entry { slot: slot(0, 0), order: order(service, 0, NOW, 1, 1) });
    for (one, other) in [(&out, &back), (&back, &out)] {
        let mut map = OrderMap::default();
        map.join(NOW, one, MAX_CLOCK_SKEW, RETENTION);
        assert_eq!(map.join(NOW, other, MAX_CLOCK_SKEW, RETENTION), JoinOutcome::Conflict);
        assert_eq!(map.effective_state("n0"), Some(ServiceState::Out));
    }
}
