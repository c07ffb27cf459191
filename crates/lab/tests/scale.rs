//! Simulations of a whole fleet with the carrier: invalid plans are refused with an error that names the key,
//! a simulation is deterministic, and the small plan, which has each kind of fault, violates no rule.

use pumicebay_lab::scale::plan::Plan;
use pumicebay_lab::scale::{real, virt, voters};
use std::path::Path;

fn shipped_plan(name: &str) -> Plan {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/scale").join(name);
    Plan::read(&path).unwrap()
}

/// Error of a plan that is valid but for one line, which is replaced, added, or with ` missing` removed.
fn parse_error(line: &str) -> String {
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
fn an_invalid_plan_is_refused_with_an_error_that_names_the_key() {
    let fault = |rest: &str| parse_error(&format!("[[fault]]\n{rest}"));
    for (error, key) in [
        (parse_error("proxies missing"), "proxies"),
        (parse_error("purges_per_second missing"), "purges_per_second"),
        (parse_error("proxys = 3"), "proxys"),
        (parse_error("proxies = 1000000"), "proxies: expected 1 to 100000, found 1000000"),
        (parse_error("sites = 41"), "sites: expected 1 to 40, found 41"),
        (parse_error("zones = 5"), "zones"),
        (parse_error("control = 0"), "control: expected 1 to 64, found 0"),
        (parse_error("voters = 4"), "voters: expected three or five, found 4"),
        (parse_error("relays_per_site = 11"), "relays_per_site: expected 0 to 10"),
        (parse_error("seconds = -1"), "seconds: expected 1 to 86400, found -1"),
        (parse_error("loss = 0.9"), "loss"),
        (parse_error("clocks_ppm = 20000"), "clocks_ppm"),
        (parse_error("[scopes]\nfleet = 1\nregion = 0\nzone = 0\nsite = 0\nproxy = 1"), "scopes"),
        (parse_error("[delays_ms]\nsite = -1\nregion = 0\nbetween = 0\nvoters = 0"), "delays_ms.site"),
        (fault("kind = \"melts\"\nat = 1"), "melts"),
        (fault("kind = \"dies\"\nat = 1"), "fault 0: who: missing"),
        (fault("kind = \"dies\"\nat = 9\nwho = \"root\""), "fault 0: seconds: ends at 11"),
        (
            fault("kind = \"dies\"\nat = 1\nwho = \"control-3\""),
            "fault 0: who: \"control-3\" does not exist or cannot have this fault",
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
        let plan = shipped_plan(&format!("{name}.toml"));
        assert_eq!((plan.proxies, plan.sites, plan.zones, plan.regions), (16_000, 960, 52, 21), "{name}");
    }
}

#[test]
fn a_simulation_is_deterministic_and_violates_no_rule() {
    let plan = shipped_plan("small.toml");
    let (first, _) = virt::run(&plan, 1);
    let (again, _) = virt::run(&plan, 1);
    let json = |report| serde_json::to_string(report).unwrap();
    assert_eq!(json(&first), json(&again));
    assert_eq!(first.violations.total(), 0, "{}", first.summary());
    assert_eq!((first.unfinished.0, first.refusals_named), (0, 1), "{}", first.summary());
    assert!(
        first.changes > 100 && first.reparenting.count > 0 && first.caught_up.count > 0,
        "{}",
        first.summary()
    );
    let (other, _) = virt::run(&plan, 2);
    assert_ne!(json(&first), json(&other));
    assert_eq!(other.violations.total(), 0, "{}", other.summary());
}

#[test]
fn a_burst_stays_within_the_byte_limit_of_a_proxy() {
    let mut plan = shipped_plan("burst.toml");
    (plan.proxies, plan.sites, plan.zones, plan.regions) = (160, 10, 10, 10);
    plan.relays_per_site = 0;
    let (report, _) = virt::run(&plan, 2);
    assert_eq!((report.traffic["proxy"].over_limit, report.late.0), (0, 0), "{}", report.summary());
    assert_eq!(report.violations.total(), 0, "{}", report.summary());
}

#[test]
fn without_the_carrier_the_links_of_a_voter_are_the_first_limit() {
    let mut plan = shipped_plan("voters-only.toml");
    (plan.proxies, plan.seconds) = (1_200, 20.0);
    let report = voters::run(&plan, 1);
    assert!(report.limits[0].contains("links: 1204 at each voter, 1024 at most"), "{:?}", report.limits);
    assert_eq!(report, voters::run(&plan, 1));
}

/// Too many processes, faults in the plan, and too few control machines for the voters.
#[test]
fn a_plan_that_real_processes_cannot_run_is_refused() {
    let refused = |plan: &Plan| real::run(plan, 1, Path::new("none")).unwrap_err().to_string();
    let small = shipped_plan("small.toml");
    let error = refused(&small);
    assert!(error.contains("proxies: expected 64 processes at the most"), "{error}");
    let error = refused(&Plan { proxies: 40, ..small.clone() });
    assert!(error.contains("fault: the faults of real processes are drawn from the seed"), "{error}");
    let error = refused(&Plan { proxies: 40, control_machines: 2, ..small });
    assert!(error.contains("control: expected 3 or more"), "{error}");
}

/// The checker detects each fault that is injected into the decision code of the carrier. Changes take long
/// to be put in force here, so that a fault that reports changes in force when they are only held is detected
/// too.
#[cfg(feature = "planted")]
#[test]
fn a_fault_injected_into_the_carrier_is_detected() {
    let mut plan = shipped_plan("small.toml");
    plan.apply_ms = 1500.0;
    let violations_by_fault = pumicebay_carrier::InjectedFault::ALL.map(|fault| {
        pumicebay_carrier::inject_fault(Some(fault));
        let violations: Vec<_> = (1..=2).map(|seed| virt::run(&plan, seed).0.violations).collect();
        pumicebay_carrier::inject_fault(None);
        (fault, violations)
    });
    let baseline = (1..=2).map(|seed| virt::run(&plan, seed).0.violations.total()).sum::<usize>();
    assert_eq!(baseline, 0, "violations without an injected fault");
    let undetected = violations_by_fault
        .iter()
        .filter(|(_, violations)| violations.iter().all(|violations| violations.total() == 0));
    assert_eq!(undetected.count(), 0, "{violations_by_fault:#?}");
}
