//! Who there is and where: control machines first, then proxies; names, places and ways.

use super::plan::Plan;
use pumicebay_carrier::{Location, Member, Nanos, Scope, TreeNodeConfig};
use rand::RngExt;
use rand::rngs::SmallRng;

/// What a lost segment costs.
const SENT_AGAIN: Nanos = 200_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Proxy,
    Relay,
    Control,
}

pub struct Site {
    pub name: String,
    pub role: Role,
    pub place: Location,
    pub region: usize,
    pub zone: usize,
    /// Control machines have sites of their own.
    pub site: usize,
}

/// A process that travels the same ways as these: voters are in regions of their own.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Spot {
    pub region: usize,
    pub site: usize,
    pub voter: bool,
}

pub fn everyone(plan: &Plan) -> Vec<Site> {
    let place = |region: usize, zone: &str, site: &str| Location {
        region: format!("region-{region:02}"),
        zone: zone.into(),
        site: site.into(),
    };
    let control = (0..plan.control).map(|at| {
        let region = at % plan.regions;
        let own = format!("control-{at:02}");
        Site {
            name: own.clone(),
            role: Role::Control,
            place: place(region, &own, &own),
            region,
            zone: plan.zones + at,
            site: plan.sites + at,
        }
    });
    let proxies = (0..plan.proxies).map(|at| {
        let site = at % plan.sites;
        let zone = site % plan.zones;
        let region = zone % plan.regions;
        let order = at / plan.sites;
        Site {
            name: proxy(plan, at),
            role: if order < plan.relays_per_site { Role::Relay } else { Role::Proxy },
            place: place(region, &format!("zone-{zone:02}"), &format!("site-{site:03}")),
            region,
            zone,
            site,
        }
    });
    control.chain(proxies).collect()
}

pub fn proxy(plan: &Plan, at: usize) -> String {
    format!("proxy-{:03}-{:02}", at % plan.sites, at / plan.sites)
}

pub fn terms(plan: &Plan, sites: &[Site], at: usize, incarnation: u64) -> TreeNodeConfig {
    let who = &sites[at];
    let control: Vec<String> = sites[..plan.control].iter().map(|site| site.name.clone()).collect();
    let relays: Vec<String> =
        (0..plan.relays_per_site).map(|order| proxy(plan, order * plan.sites + who.site)).collect();
    let tiers = match who.role {
        Role::Control => Vec::new(),
        Role::Relay => vec![control],
        Role::Proxy if relays.is_empty() => vec![control],
        Role::Proxy => vec![relays, control],
    };
    TreeNodeConfig {
        member: Member { name: who.name.clone(), incarnation },
        location: who.place.clone(),
        is_control: who.role == Role::Control,
        is_relay: who.role == Role::Relay,
        parent_tiers: tiers,
        max_children: plan.children,
        child_bytes_per_second: plan.child_bytes_per_second,
        control_bytes_per_second: 1_000_000,
        control_part_bytes: 48 * 1024,
        control_machines: Vec::new(),
        part_bytes: plan.part_bytes,
        max_exceptions: plan.named,
    }
}

pub fn concerns(site: &Site, scope: &Scope) -> bool {
    site.role != Role::Control
        && match scope {
            Scope::Fleet => true,
            Scope::Region(name) => *name == site.place.region,
            Scope::Zone(name) => *name == site.place.zone,
            Scope::Site(name) => *name == site.place.site,
            Scope::Proxy(_, name) => *name == site.name,
        }
}

/// All resources of a plan, by scope: fleet, regions, zones, sites, proxies.
pub fn resources(plan: &Plan, sites: &[Site]) -> [Vec<Scope>; 5] {
    let each = |count: usize, scope: &dyn Fn(usize) -> Scope| {
        (0..count).flat_map(|at| vec![scope(at); plan.resources.each]).collect::<Vec<_>>()
    };
    let proxies = (plan.proxies as f64 * plan.resources.proxies) as usize;
    let step = plan.proxies / proxies.max(1);
    [
        vec![Scope::Fleet; plan.resources.fleet],
        each(plan.regions, &|at| Scope::Region(format!("region-{at:02}"))),
        each(plan.zones, &|at| Scope::Zone(format!("zone-{at:02}"))),
        each(plan.sites, &|at| Scope::Site(format!("site-{at:03}"))),
        (0..proxies)
            .map(|at| {
                let site = &sites[plan.control + at * step];
                Scope::Proxy(site.place.site.clone(), site.name.clone())
            })
            .collect(),
    ]
}

pub fn spot(site: &Site) -> Spot {
    Spot { region: site.region, site: site.site, voter: false }
}

/// One message's time on its way.
pub fn way(plan: &Plan, from: Spot, to: Spot, segments: u64, random: &mut SmallRng) -> Nanos {
    let delays = &plan.delays_ms;
    let millis = match () {
        () if from.voter && to.voter => delays.voters,
        () if from.site == to.site => delays.site,
        () if from.region == to.region => delays.region,
        () => delays.between,
    };
    let mut way = (millis * 1e6 * random.random_range(0.9..1.2)) as Nanos;
    for _ in 0..segments {
        if plan.loss > 0.0 && random.random_bool(plan.loss) {
            way += SENT_AGAIN;
        }
    }
    way
}
