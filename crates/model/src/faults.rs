//! The faults of a scenario, one at a time or overlapping, and the timeline of changes that they cause.

use crate::spec::Scenario;
use crate::{Nanos, seconds};
use serde::Deserialize;

/// What goes wrong. The names in scenario files are the variants in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nodes die, all at once if there are several, and restart cold when the fault ends.
    Crash,
    /// Nodes take `factor` times as long for their jobs.
    Slow,
    /// Nodes complete nothing until the fault ends.
    Stall,
    /// Nodes die and restart repeatedly, each `every` seconds.
    Flap,
    /// Nodes respond to `share` of their jobs at once with an error.
    Errors,
    /// Nodes corrupt `share` of their responses that carry a value or confirm a write.
    Spoilt,
    /// Nodes refuse connections.
    Refuse,
    /// Nodes accept requests and never answer.
    Silent,
    /// Nodes drain, and are ready again when the fault ends.
    Drain,
    /// Nodes are drained, stopped and restarted cold, one after another, `every` seconds apart.
    Replace,
    /// Nodes that were absent at the start join, cold.
    Growth,
    /// Nodes drain and leave for good.
    Shrink,
    /// The origin takes `factor` times as long for its jobs.
    OriginSlow,
    /// The origin is down.
    OriginStop,
    /// All nodes lose all stored values at once.
    Void,
    /// Requests for one-off keys are added, at `share` of the usual rate.
    Scan,
    /// `share` of all requests go to a single key.
    HotKey,
    /// The request rate is `factor` times the usual one.
    Burst,
    /// Proxies are killed without warning, and restart.
    KillProxy,
    /// Proxies are killed and restart, one after another, `every` seconds apart.
    RestartProxies,
    /// Discovery answers no requests.
    DiscoverySilent,
    /// Discovery delivers all changes `factor` seconds later.
    DiscoveryLate,
    /// Discovery keeps reporting the earlier entries of nodes, whatever happens to them.
    DiscoveryStale,
    /// Discovery reports healthy nodes as having left.
    DiscoveryLies,
    /// Nodes report a start time `factor` seconds ahead of the time of the report.
    Clock,
    /// Proxies cannot reach nodes.
    Partition,
}

/// One fault of a scenario.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, in seconds from the start of the scenario.
    #[serde(rename = "at")]
    pub start_seconds: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts", default = "Fault::five")]
    pub duration_seconds: f64,
    /// The affected nodes: `n1`, `n2` and so on, or an inclusive range such as `n1..n5`.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// The affected proxies: `p1`, `p2` and so on, or a range; empty for all.
    #[serde(default)]
    pub proxies: Vec<String>,
    /// A multiple or a number of seconds, depending on the kind.
    #[serde(default = "Fault::five")]
    pub factor: f64,
    /// A share from 0 to 1, of jobs or requests depending on the kind.
    #[serde(default = "Fault::half")]
    pub share: f64,
    /// The seconds between repetitions, or between one node or proxy and the next.
    #[serde(rename = "every", default = "Fault::two")]
    pub interval_seconds: f64,
}

/// A change of the world that a fault causes when it begins, ends or proceeds. Nodes and proxies are given by
/// their indices, from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum WorldChange {
    /// The node's process dies.
    Stop(usize),
    /// A new process of the node starts.
    Start(usize),
    /// Sets the factor on the node's service times.
    NodeSpeed(usize, f64),
    /// The node completes nothing until that time.
    Pause(usize, Nanos),
    /// Sets the share of jobs to which the node responds with an error.
    Errors(usize, f64),
    /// Sets the share of responses that the node corrupts.
    Spoils(usize, f64),
    /// Sets whether the node refuses connections.
    Refuses(usize, bool),
    /// Sets whether the node leaves all requests unanswered.
    Silent(usize, bool),
    /// The node begins to drain.
    Drain(usize),
    /// The node no longer drains.
    Undrain(usize),
    /// The node's process ends as planned, and the node leaves the list.
    Leave(usize),
    /// Sets the factor on the origin's service times.
    OriginSpeed(f64),
    /// Sets whether the origin is down.
    OriginDown(bool),
    /// All nodes lose all stored values.
    Void,
    /// The proxy's process is killed.
    Kill(usize),
    /// Sets whether discovery answers.
    Discovery(bool),
    /// Sets the additional delay of discovery's changes.
    DiscoveryLate(Nanos),
    /// Sets whether discovery ignores updates of the node.
    Freeze(usize, bool),
    /// Sets whether discovery reports the node as having left.
    Lie(usize, bool),
    /// Sets the clock offset of the node's reported start time in nanoseconds; 0 for the true start time.
    Clock(usize, i64),
    /// Sets whether the link from the proxy (first) to the node (second) is cut.
    Cut(usize, usize, bool),
}

impl Fault {
    /// Default of `duration_seconds` and `factor`.
    fn five() -> f64 {
        5.0
    }

    /// Default of `share`.
    fn half() -> f64 {
        0.5
    }

    /// Default of `interval_seconds`.
    fn two() -> f64 {
        2.0
    }

    fn requires_nodes(&self) -> bool {
        use FaultKind::{
            Clock, Crash, DiscoveryLies, DiscoveryStale, Drain, Errors, Flap, Growth, Partition, Refuse,
            Replace, Shrink, Silent, Slow, Spoilt, Stall,
        };
        matches!(
            self.kind,
            Crash
                | Slow
                | Stall
                | Flap
                | Errors
                | Spoilt
                | Refuse
                | Silent
                | Drain
                | Replace
                | Growth
                | Shrink
                | DiscoveryStale
                | DiscoveryLies
                | Clock
                | Partition
        )
    }

    /// The invalid values: each key of the fault, and what was expected instead. Empty if the fault is valid.
    pub fn validate(&self, scenario: &Scenario) -> Vec<(&'static str, String)> {
        let mut errors = Vec::new();
        let mut check = |valid: bool, key, message: String| {
            if !valid {
                errors.push((key, message));
            }
        };
        check(
            (0.0..=scenario.seconds).contains(&self.start_seconds),
            "at",
            format!("expected 0 to {}", scenario.seconds),
        );
        check(self.duration_seconds >= 0.0, "lasts", "expected 0 or more".into());
        check(self.factor > 0.0, "factor", "expected more than 0".into());
        check((0.0..=1.0).contains(&self.share), "share", "expected 0 to 1".into());
        check(self.interval_seconds > 0.0, "every", "expected more than 0".into());
        check(
            !self.requires_nodes() || !self.nodes.is_empty(),
            "nodes",
            "expected at least one node for this kind of fault".into(),
        );
        for (key, names, prefix, count) in [
            ("nodes", &self.nodes, 'n', scenario.nodes.count),
            ("proxies", &self.proxies, 'p', scenario.proxies.count),
        ] {
            for name in names {
                let indices =
                    parse_indices(name, prefix).filter(|range| range.end <= count && !range.is_empty());
                let expected = format!("{prefix}1 to {prefix}{count}");
                check(indices.is_some(), key, format!("no {name:?} in this scenario, expected {expected}"));
            }
        }
        errors
    }

    /// The indices of the affected nodes.
    pub fn node_indices(&self) -> Vec<usize> {
        self.nodes.iter().filter_map(|name| parse_indices(name, 'n')).flatten().collect()
    }

    /// The indices of the affected proxies out of `count`; all if the fault names none.
    pub fn proxy_indices(&self, count: usize) -> Vec<usize> {
        if self.proxies.is_empty() {
            return (0..count).collect();
        }
        self.proxies.iter().filter_map(|name| parse_indices(name, 'p')).flatten().collect()
    }

    /// When the fault begins, from the start of the scenario.
    pub fn start_time(&self) -> Nanos {
        seconds(self.start_seconds)
    }

    /// When the fault ends, from the start of the scenario.
    pub fn end_time(&self) -> Nanos {
        seconds(self.start_seconds + self.duration_seconds)
    }

    /// The kind in lower-case words and the affected nodes or proxies, for reports.
    pub fn label(&self) -> String {
        let kind = format!("{:?}", self.kind);
        let mut words = String::new();
        for (at, letter) in kind.char_indices() {
            if letter.is_uppercase() && at > 0 {
                words.push(' ');
            }
            words.push(letter.to_ascii_lowercase());
        }
        match (self.nodes.join(", "), self.proxies.join(", ")) {
            (nodes, _) if !nodes.is_empty() => format!("{words} {nodes}"),
            (_, proxies) if !proxies.is_empty() => format!("{words} {proxies}"),
            _ => words,
        }
    }
}

/// The indices, from 0, that a name such as `n3` or a range such as `n3..n7` stands for. None if it is not of
/// this form.
fn parse_indices(name: &str, prefix: char) -> Option<std::ops::Range<usize>> {
    let parse_index = |name: &str| name.strip_prefix(prefix)?.parse::<usize>().ok()?.checked_sub(1);
    match name.split_once("..") {
        Some((first, last)) => Some(parse_index(first)?..parse_index(last)? + 1),
        None => parse_index(name).map(|index| index..index + 1),
    }
}

/// All changes that the scenario's faults cause, ordered by time. Changes at the same time are in the order
/// of the faults in the scenario.
pub fn timeline(scenario: &Scenario) -> Vec<(Nanos, WorldChange)> {
    let mut timeline = Vec::new();
    for fault in &scenario.fault {
        fault_changes(scenario, fault, &mut |at, change| timeline.push((at, change)));
    }
    timeline.sort_by_key(|(at, _)| *at);
    timeline
}

/// The indices of the nodes that are absent at the start because a growth fault adds them later.
pub fn initially_absent_nodes(scenario: &Scenario) -> Vec<usize> {
    let growth = scenario.fault.iter().filter(|fault| fault.kind == FaultKind::Growth);
    growth.flat_map(Fault::node_indices).collect()
}

/// Passes each change that a fault causes, with its time, to `emit`.
fn fault_changes(scenario: &Scenario, fault: &Fault, emit: &mut dyn FnMut(Nanos, WorldChange)) {
    let (start, end) = (fault.start_time(), fault.end_time());
    let step_time = |step: usize| start + seconds(fault.interval_seconds * step as f64);
    let grace = crate::millis(scenario.nodes.drain_grace_ms);
    for (position, node) in fault.node_indices().into_iter().enumerate() {
        // Emits a change at the start of the fault and the one that reverts it at the end.
        let mut apply_and_revert = |applied: WorldChange, reverted: WorldChange| {
            emit(start, applied);
            emit(end, reverted);
        };
        match fault.kind {
            FaultKind::Crash => apply_and_revert(WorldChange::Stop(node), WorldChange::Start(node)),
            FaultKind::Slow => apply_and_revert(
                WorldChange::NodeSpeed(node, fault.factor),
                WorldChange::NodeSpeed(node, 1.0),
            ),
            FaultKind::Stall => emit(start, WorldChange::Pause(node, end)),
            FaultKind::Errors => {
                apply_and_revert(WorldChange::Errors(node, fault.share), WorldChange::Errors(node, 0.0))
            }
            FaultKind::Spoilt => {
                apply_and_revert(WorldChange::Spoils(node, fault.share), WorldChange::Spoils(node, 0.0))
            }
            FaultKind::Refuse => {
                apply_and_revert(WorldChange::Refuses(node, true), WorldChange::Refuses(node, false))
            }
            FaultKind::Silent => {
                apply_and_revert(WorldChange::Silent(node, true), WorldChange::Silent(node, false))
            }
            FaultKind::Drain => apply_and_revert(WorldChange::Drain(node), WorldChange::Undrain(node)),
            FaultKind::DiscoveryStale => {
                apply_and_revert(WorldChange::Freeze(node, true), WorldChange::Freeze(node, false))
            }
            FaultKind::DiscoveryLies => {
                apply_and_revert(WorldChange::Lie(node, true), WorldChange::Lie(node, false))
            }
            FaultKind::Growth => emit(start, WorldChange::Start(node)),
            FaultKind::Clock => apply_and_revert(
                WorldChange::Clock(node, (fault.factor * 1e9) as i64),
                WorldChange::Clock(node, 0),
            ),
            FaultKind::Shrink => {
                emit(start, WorldChange::Drain(node));
                emit(start + 2 * grace, WorldChange::Leave(node));
            }
            FaultKind::Replace => {
                emit(step_time(position), WorldChange::Drain(node));
                emit(step_time(position) + 2 * grace, WorldChange::Leave(node));
                emit(step_time(position) + 3 * grace, WorldChange::Start(node));
            }
            FaultKind::Flap => {
                for step in 0..((fault.duration_seconds / fault.interval_seconds) as usize).max(1) {
                    emit(step_time(step), WorldChange::Stop(node));
                    emit(step_time(step) + seconds(fault.interval_seconds / 2.0), WorldChange::Start(node));
                }
            }
            FaultKind::Partition => {
                for proxy in fault.proxy_indices(scenario.proxies.count) {
                    emit(start, WorldChange::Cut(proxy, node, true));
                    emit(end, WorldChange::Cut(proxy, node, false));
                }
            }
            _ => {}
        }
    }
    let mut apply_and_revert = |applied: WorldChange, reverted: WorldChange| {
        emit(start, applied);
        emit(end, reverted);
    };
    match fault.kind {
        FaultKind::OriginSlow => {
            apply_and_revert(WorldChange::OriginSpeed(fault.factor), WorldChange::OriginSpeed(1.0))
        }
        FaultKind::OriginStop => {
            apply_and_revert(WorldChange::OriginDown(true), WorldChange::OriginDown(false))
        }
        FaultKind::DiscoverySilent => {
            apply_and_revert(WorldChange::Discovery(false), WorldChange::Discovery(true))
        }
        FaultKind::DiscoveryLate => {
            apply_and_revert(WorldChange::DiscoveryLate(seconds(fault.factor)), WorldChange::DiscoveryLate(0))
        }
        FaultKind::Void => emit(start, WorldChange::Void),
        FaultKind::KillProxy => {
            fault
                .proxy_indices(scenario.proxies.count)
                .into_iter()
                .for_each(|proxy| emit(start, WorldChange::Kill(proxy)));
        }
        FaultKind::RestartProxies => {
            for (position, proxy) in fault.proxy_indices(scenario.proxies.count).into_iter().enumerate() {
                emit(step_time(position), WorldChange::Kill(proxy));
            }
        }
        _ => {}
    }
}
