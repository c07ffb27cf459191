//! Processes of the fleet, control machines first, then proxies: names, locations, configuration, and network
//! delays.

use super::plan::Plan;
use pumicebay_carrier::{Location, Member, Nanos, Scope, TreeNodeConfig};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Time after which a lost segment is sent again.
const RETRANSMIT_DELAY: Nanos = 200_000_000;

/// Role of a process in the distribution tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Leaf.
    Proxy,
    /// Proxy that accepts children of its site.
    Relay,
    /// Control machine: the root while it publishes, otherwise a child of the root.
    Control,
}

/// A process with its role and location.
pub struct Placement {
    /// Unique name of the process.
    pub name: String,
    /// Role in the distribution tree.
    pub role: Role,
    /// Location as the carrier sees it, by names.
    pub location: Location,
    /// Index of the region.
    pub region: usize,
    /// Index of the zone.
    pub zone: usize,
    /// Index of the site; control machines have sites of their own.
    pub site: usize,
}

/// Network location of a process or voter, which determines delays.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Index of the region.
    pub region: usize,
    /// Index of the site; unique for each voter.
    pub site: usize,
    /// Whether the delays between voters apply.
    pub is_voter: bool,
}

/// Places all control machines and proxies of a plan.
pub fn place_processes(plan: &Plan) -> Vec<Placement> {
    let location = |region: usize, zone: &str, site: &str| Location {
        region: format!("region-{region:02}"),
        zone: zone.into(),
        site: site.into(),
    };
    let control = (0..plan.control_machines).map(|index| {
        let region = index % plan.regions;
        let name = format!("control-{index:02}");
        Placement {
            name: name.clone(),
            role: Role::Control,
            location: location(region, &name, &name),
            region,
            zone: plan.zones + index,
            site: plan.sites + index,
        }
    });
    let proxies = (0..plan.proxies).map(|index| {
        let site = index % plan.sites;
        let zone = site % plan.zones;
        let region = zone % plan.regions;
        let rank = index / plan.sites;
        Placement {
            name: proxy_name(plan, index),
            role: if rank < plan.relays_per_site { Role::Relay } else { Role::Proxy },
            location: location(region, &format!("zone-{zone:02}"), &format!("site-{site:03}")),
            region,
            zone,
            site,
        }
    });
    control.chain(proxies).collect()
}

/// Name of the proxy with this index: site, then rank within the site.
pub fn proxy_name(plan: &Plan, index: usize) -> String {
    format!("proxy-{:03}-{:02}", index % plan.sites, index / plan.sites)
}

/// Carrier configuration of the process with this index. Proxies try the relays of their site, then the
/// control machines.
pub fn node_config(plan: &Plan, placements: &[Placement], index: usize, incarnation: u64) -> TreeNodeConfig {
    let placement = &placements[index];
    let control: Vec<String> =
        placements[..plan.control_machines].iter().map(|site| site.name.clone()).collect();
    let relays: Vec<String> =
        (0..plan.relays_per_site).map(|rank| proxy_name(plan, rank * plan.sites + placement.site)).collect();
    let tiers = match placement.role {
        Role::Control => Vec::new(),
        Role::Relay => vec![control],
        Role::Proxy if relays.is_empty() => vec![control],
        Role::Proxy => vec![relays, control],
    };
    TreeNodeConfig {
        member: Member { name: placement.name.clone(), incarnation },
        location: placement.location.clone(),
        is_control: placement.role == Role::Control,
        is_relay: placement.role == Role::Relay,
        parent_tiers: tiers,
        max_children: plan.max_children,
        child_bytes_per_second: plan.child_bytes_per_second,
        control_bytes_per_second: 1_000_000,
        control_part_bytes: 48 * 1024,
        control_machines: Vec::new(),
        part_bytes: plan.part_bytes,
        max_exceptions: plan.max_exceptions,
    }
}

/// Whether a resource of this scope applies to the process; none applies to control machines.
pub fn in_scope(site: &Placement, scope: &Scope) -> bool {
    site.role != Role::Control
        && match scope {
            Scope::Fleet => true,
            Scope::Region(name) => *name == site.location.region,
            Scope::Zone(name) => *name == site.location.zone,
            Scope::Site(name) => *name == site.location.site,
            Scope::Proxy(_, name) => *name == site.name,
        }
}

/// Scopes of all resources of a plan, grouped into fleet, regions, zones, sites and proxies.
pub fn resource_scopes(plan: &Plan, placements: &[Placement]) -> [Vec<Scope>; 5] {
    let per_location = |count: usize, scope: &dyn Fn(usize) -> Scope| {
        (0..count).flat_map(|index| vec![scope(index); plan.resources.per_location]).collect::<Vec<_>>()
    };
    let proxies = (plan.proxies as f64 * plan.resources.proxies) as usize;
    let step = plan.proxies / proxies.max(1);
    [
        vec![Scope::Fleet; plan.resources.fleet],
        per_location(plan.regions, &|index| Scope::Region(format!("region-{index:02}"))),
        per_location(plan.zones, &|index| Scope::Zone(format!("zone-{index:02}"))),
        per_location(plan.sites, &|index| Scope::Site(format!("site-{index:03}"))),
        (0..proxies)
            .map(|index| {
                let site = &placements[plan.control_machines + index * step];
                Scope::Proxy(site.location.site.clone(), site.name.clone())
            })
            .collect(),
    ]
}

/// Network location of a process.
pub fn endpoint(site: &Placement) -> Endpoint {
    Endpoint { region: site.region, site: site.site, is_voter: false }
}

/// Draws the one-way delay of a message of so many segments, with the retransmission of lost ones.
pub fn transit_time(
    plan: &Plan,
    from: Endpoint,
    to: Endpoint,
    segments: u64,
    random: &mut SmallRng,
) -> Nanos {
    let delays = &plan.delays_ms;
    let millis = match () {
        () if from.is_voter && to.is_voter => delays.voters,
        () if from.site == to.site => delays.site,
        () if from.region == to.region => delays.region,
        () => delays.inter_region,
    };
    let mut transit = (millis * 1e6 * random.random_range(0.9..1.2)) as Nanos;
    for _ in 0..segments {
        if plan.loss > 0.0 && random.random_bool(plan.loss) {
            transit += RETRANSMIT_DELAY;
        }
    }
    transit
}
