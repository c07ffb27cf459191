//! Plays of the carrier over a whole fleet: plans that can't be are turned away by key, a play tells the same twice, and
//! nothing of what must hold breaks on the small plan, which has every kind of fault.

use pumicebay_lab::scale::plan::Plan;
use pumicebay_lab::scale::{real, virt, voters};
use std::path::Path;

fn shipped(name: &str) -> Plan {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale").join(name);
    Plan::read(&path).unwrap()
}

/// Of a plan that fits but for one line.
fn refused(line: &str) -> String {
    let mut lines: Vec<String> =
        "proxies = 40\nsites = 4\nzones = 2\nregions = 2\ncontrol = 3\nchanges_per_second = 1.0\n\
         purges_per_second = 1.0\nseconds = 10"
            .lines()
            .map(str::to_string)
            .collect();
    let key = line.split(' ').next().unwrap_or_default();
    lines.retain(|other| other.split(' ').next() != Some(key));
    let missing = line.strip_suffix(" missing");
    lines.extend(missing.is_none().then(|| line.to_string()));
    format!("{:#}", Plan::parse(&lines.join("\n")).unwrap_err())
}

#[test]
fn a_plan_that_cannot_be_is_refused_by_its_key() {
    let fault = |rest: &str| refused(&format!("[[fault]]\n{rest}"));
    for (error, key) in [
        (refused("proxies missing"), "proxies"),
        (refused("purges_per_second missing"), "purges_per_second"),
        (refused("proxys = 3"), "proxys"),
        (refused("proxies = 1000000"), "proxies: expected 1 to 100000, found 1000000"),
        (refused("sites = 41"), "sites: expected 1 to 40, found 41"),
        (refused("zones = 5"), "zones"),
        (refused("control = 0"), "control: expected 1 to 64, found 0"),
        (refused("voters = 4"), "voters: expected three or five, found 4"),
        (refused("relays_per_site = 11"), "relays_per_site: expected 0 to 10"),
        (refused("seconds = -1"), "seconds: expected 1 to 86400, found -1"),
        (refused("loss = 0.9"), "loss"),
        (refused("clocks_ppm = 20000"), "clocks_ppm"),
        (refused("[scopes]\nfleet = 1\nregion = 0\nzone = 0\nsite = 0\nproxy = 1"), "scopes"),
        (refused("[delays_ms]\nsite = -1\nregion = 0\nbetween = 0\nvoters = 0"), "delays_ms.site"),
        (fault("kind = \"melts\"\nat = 1"), "melts"),
        (fault("kind = \"dies\"\nat = 1"), "fault 0: who: missing"),
        (fault("kind = \"dies\"\nat = 9\nwho = \"root\""), "fault 0: seconds: ends at 11"),
        (
            fault("kind = \"dies\"\nat = 1\nwho = \"control-3\""),
            "fault 0: who: nobody of this fault is \"control-3\"",
        ),
        (fault("kind = \"refused\"\nat = 1\nwho = \"root\""), "fault 0: who"),
        (
            fault("kind = \"region_cut\"\nat = 1\nregion = 2"),
            "fault 0: region: expected less than 2, found 2",
        ),
    ] {
        assert!(error.contains(key), "{key}: {error}");
    }
}

#[test]
fn all_shipped_plans_can_be_read() {
    for name in
        ["target", "target-direct", "target-faults", "burst", "region-cut", "control-gone", "voters-only"]
    {
        let plan = shipped(&format!("{name}.toml"));
        assert_eq!((plan.proxies, plan.sites, plan.zones, plan.regions), (16_000, 960, 52, 21), "{name}");
    }
}

#[test]
fn a_play_tells_the_same_twice_and_nothing_goes_wrong() {
    let plan = shipped("small.toml");
    let (first, _) = virt::play(&plan, 1);
    let (again, _) = virt::play(&plan, 1);
    let text = |found| serde_json::to_string(found).unwrap();
    assert_eq!(text(&first), text(&again));
    assert_eq!(first.wrong.all(), 0, "{}", first.summary());
    assert_eq!((first.unfinished.0, first.refusals_named), (0, 1), "{}", first.summary());
    assert!(
        first.changes > 100 && first.orphans.count > 0 && first.caught_up.count > 0,
        "{}",
        first.summary()
    );
    let (other, _) = virt::play(&plan, 2);
    assert_ne!(text(&first), text(&other));
    assert_eq!(other.wrong.all(), 0, "{}", other.summary());
}

#[test]
fn a_burst_stays_within_what_a_proxy_may_carry() {
    let mut plan = shipped("burst.toml");
    (plan.proxies, plan.sites, plan.zones, plan.regions) = (160, 10, 10, 10);
    plan.relays_per_site = 0;
    let (found, _) = virt::play(&plan, 2);
    assert_eq!((found.traffic["proxy"].over, found.late.0), (0, 0), "{}", found.summary());
    assert_eq!(found.wrong.all(), 0, "{}", found.summary());
}

#[test]
fn without_the_carrier_the_links_of_a_voter_are_the_first_limit() {
    let mut plan = shipped("voters-only.toml");
    (plan.proxies, plan.seconds) = (1_200, 20.0);
    let found = voters::play(&plan, 1);
    assert!(found.limits[0].contains("links: 1204 at each voter, 1024 at most"), "{:?}", found.limits);
    assert_eq!(found, voters::play(&plan, 1));
}

/// What a plan asks of real processes and they can't play is refused by its key.
#[test]
fn real_processes_are_refused_by_key() {
    let refused = |plan: &Plan| real::play(plan, 1, Path::new("none")).unwrap_err().to_string();
    let small = shipped("small.toml");
    let error = refused(&small);
    assert!(error.contains("proxies: expected 64 processes at the most"), "{error}");
    let error = refused(&Plan { proxies: 40, ..small.clone() });
    assert!(error.contains("fault: the faults of real processes are drawn from the seed"), "{error}");
    let error = refused(&Plan { proxies: 40, control: 2, ..small });
    assert!(error.contains("control: expected 3 or more"), "{error}");
}

/// The judge is not blind: each fault planted in the carrier's decisions breaks something. It takes long there until a change
/// is in force, so that what is only held shows.
#[cfg(feature = "planted")]
#[test]
fn a_fault_planted_in_the_carrier_is_found() {
    let mut plan = shipped("small.toml");
    plan.apply_ms = 1500.0;
    let found = pumicebay_carrier::InjectedFault::ALL.map(|fault| {
        pumicebay_carrier::inject_fault(Some(fault));
        let wrong: Vec<_> = (1..=2).map(|seed| virt::play(&plan, seed).0.wrong).collect();
        pumicebay_carrier::inject_fault(None);
        (fault, wrong)
    });
    let sound = (1..=2).map(|seed| virt::play(&plan, seed).0.wrong.all()).sum::<usize>();
    assert_eq!(sound, 0, "without a fault");
    let missed = found.iter().filter(|(_, wrong)| wrong.iter().all(|wrong| wrong.all() == 0));
    assert_eq!(missed.count(), 0, "{found:#?}");
}
