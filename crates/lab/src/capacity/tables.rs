//! The tables of the page, as Markdown: the target, the measured points with their lines evaluated at the
//! target, the runs that they come from, and the figures that follow from the target by calculation.

use super::fit::Line;
use super::slopes::{PointSource, Role, Slope, SlopesFile, TARGET_FIGURES};

/// How long a proxy reuses an idle connection: nodes close it after 15 s, and the proxy stops using it
/// somewhat earlier.
const IDLE_SECONDS: f64 = 13.5;
/// Beyond this many times the largest measured x, a verdict says that it depends on the extrapolation.
const FAR_EXTRAPOLATION: f64 = 10.0;
/// The most keys that a proxy's table holds.
const MAX_TABLE_KEYS: f64 = 65_536.0;
/// Size of a node's entry in the list of nodes.
const LIST_ENTRY_BYTES: f64 = 140.0;
/// Size of a purge that is sent as a hash of the key.
const HASH_BYTES: f64 = 8.0;
/// Size of a purge that is sent as the text of a key, of 42 bytes.
const KEY_TEXT_BYTES: f64 = 42.0;
/// Size of one changed setting.
const SETTING_CHANGE_BYTES: f64 = 100.0;

/// The tables with the names of their markers, in the order of the page.
pub fn all(file: &SlopesFile) -> Vec<(&'static str, String)> {
    vec![
        ("target", target(file)),
        ("slopes", slopes(file)),
        ("sums", derived_figures(file)),
        ("runs", runs(file)),
    ]
}

/// Formats a number with three significant digits, or as a whole number from 100 on, and commas between
/// thousands.
pub fn format_figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let size = value.abs();
    let digits = if size >= 100.0 { 0 } else { (2.0 - size.log10().floor()).clamp(0.0, 9.0) as usize };
    let text = format!("{size:.digits$}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let mut grouped = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let part = part.trim_end_matches('0');
    let sign = if value < 0.0 { "-" } else { "" };
    if part.is_empty() { format!("{sign}{grouped}") } else { format!("{sign}{grouped}.{part}") }
}

/// A Markdown table with this head.
fn markdown_table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.iter().map(ToString::to_string).collect());
    text += &line(head.iter().map(|_| "---".to_string()).collect());
    rows.into_iter().for_each(|row| text += &line(row));
    text
}

/// The table of the target's figures.
fn target(file: &SlopesFile) -> String {
    markdown_table(
        &["figure", "value"],
        TARGET_FIGURES.iter().map(|name| vec![name.replace('_', " "), format_figure(file.figure(name))]),
    )
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Proxy => "proxy",
        Role::Site => "site or zone",
        Role::Control => "control machine",
        Role::Voter => "voter",
        Role::Node => "cache node",
        Role::Discovery => "discovery",
    }
}

fn source_name(kind: PointSource) -> &'static str {
    match kind {
        PointSource::Simulated => "simulated",
        PointSource::Hollow => "hollow",
        PointSource::Real => "real",
    }
}

/// Compares a line's value with the limit. It is undecided where they differ by no more than the line's
/// residual.
pub fn verdict(value: f64, residual: f64, limit: Option<f64>) -> &'static str {
    match limit {
        None => "no limit stated",
        Some(limit) if (value - limit).abs() <= residual => "undecided",
        Some(limit) if value <= limit => "fits",
        Some(_) => "**does not**",
    }
}

/// The table of the slopes with their lines and verdicts.
fn slopes(file: &SlopesFile) -> String {
    let head =
        ["role", "quantity", "by", "points", "line", "off it", "at the size", "limit", "verdict", "kind"];
    let mut all: Vec<&Slope> = file.slopes.iter().collect();
    all.sort_by_key(|slope| slope.role);
    markdown_table(&head, all.into_iter().filter_map(|slope| row(file, slope)))
}

/// The row of one slope; `None` where no line fits its points.
fn row(file: &SlopesFile, slope: &Slope) -> Option<Vec<String>> {
    let line = Line::fit(&slope.points)?;
    let largest_x = slope.points.iter().map(|point| point.0).fold(0.0, f64::max);
    let mut points = slope.points.clone();
    points.sort_by(|one, other| one.0.total_cmp(&other.0));
    let points: Vec<String> =
        points.iter().map(|(x, y)| format!("{}: {}", format_figure(*x), format_figure(*y))).collect();
    let at = |name: &String| {
        let x = file.evaluate_figure(name);
        let far = if x > largest_x {
            format!(", {} times the last point", format_figure(x / largest_x))
        } else {
            String::new()
        };
        format!(
            "{} at {} {}{far}",
            format_figure(line.value_at(x)),
            format_figure(x),
            name.replace('_', " ").replace('/', " / ")
        )
    };
    let verdict_at = |name: &String| {
        let x = file.evaluate_figure(name);
        let verdict = verdict(line.value_at(x), line.residual, slope.limit);
        let extrapolated = slope.limit.is_some() && x > FAR_EXTRAPOLATION * largest_x;
        if extrapolated { format!("{verdict}, if the line holds") } else { verdict.into() }
    };
    let verdicts = slope.evaluate_at.iter().map(verdict_at);
    let sign = if line.slope < 0.0 { '-' } else { '+' };
    Some(vec![
        role_name(slope.role).into(),
        format!("`{}`: {}, {}", slope.name, slope.quantity, slope.unit),
        slope.x.clone(),
        points.join("; "),
        format!("{} {sign} {} x", format_figure(line.intercept), format_figure(line.slope.abs())),
        format_figure(line.residual),
        slope.evaluate_at.iter().map(at).collect::<Vec<_>>().join("; "),
        slope.limit.map_or("none".into(), format_figure),
        verdicts.collect::<Vec<_>>().join("; "),
        source_name(slope.kind).into(),
    ])
}

/// The table of the commands, seeds and dates of the slopes.
fn runs(file: &SlopesFile) -> String {
    let row = |slope: &Slope| {
        let seed = slope.seed.map_or("none".into(), |seed| seed.to_string());
        vec![format!("`{}`", slope.name), format!("`{}`", slope.command), seed, slope.date.clone()]
    };
    markdown_table(&["slope", "command", "seed", "date"], file.slopes.iter().map(row))
}

/// The figures that follow from the target alone.
fn derived_figures(file: &SlopesFile) -> String {
    let target_figure = |name| file.figure(name);
    let (proxies, nodes) = (target_figure("proxies"), target_figure("nodes"));
    let (zone_proxies, zone_nodes) = (target_figure("zone_proxies"), target_figure("zone_nodes"));
    let (requests, budget) =
        (target_figure("requests_per_second") / proxies, target_figure("kilobytes_per_second") * 1e3);
    let bytes = target_figure("megabits_per_second") * 1e6 / 8.0;
    let machines = target_figure("control_machines");
    let per_day = 86_400.0;
    let changes = target_figure("changes_per_day") / per_day;
    // Connections that a proxy opens per second. Its requests to one node are taken as a Poisson process: a
    // request needs a new connection if none came in the time for which an idle one is reused.
    let new_connections = |nodes: f64| requests * (-requests / nodes * IDLE_SECONDS).exp();
    let row = |of: &str, quantity: &str, sum: &str, value: f64, unit: &str| {
        vec![of.to_string(), quantity.into(), sum.into(), format!("{} {unit}", format_figure(value))]
    };
    let rows = vec![
        row("data path", "requests a proxy", "requests / proxies", requests, "a second"),
        row("data path", "bytes a proxy", "bits / proxies", bytes * 8.0 / proxies / 1e9, "Gbit/s"),
        row(
            "data path",
            "bytes a request",
            "bits / 8 / requests",
            bytes / target_figure("requests_per_second") / 1e3,
            "KB",
        ),
        row(
            "data path",
            "pairs, each proxy with all nodes",
            "proxies x nodes",
            proxies * nodes / 1e6,
            "million",
        ),
        row(
            "data path",
            "pairs, each with its zone's",
            "zones x zone proxies x zone nodes",
            target_figure("zones") * zone_proxies * zone_nodes / 1e6,
            "million",
        ),
        row("data path", "requests a pair, all", "requests a proxy / nodes", requests / nodes, "a second"),
        row(
            "data path",
            "requests a pair, zone",
            "requests a proxy / zone nodes",
            requests / zone_nodes,
            "a second",
        ),
        row(
            "data path",
            "new connections a proxy, all",
            "requests x e^(-requests a pair x 13.5 s)",
            new_connections(nodes),
            "a second",
        ),
        row(
            "data path",
            "new connections a node, all",
            "the same x proxies / nodes",
            new_connections(nodes) * proxies / nodes,
            "a second",
        ),
        row(
            "data path",
            "new connections a proxy, zone",
            "as above",
            new_connections(zone_nodes),
            "a second",
        ),
        row("data path", "connections at a node, all at once", "one from each proxy", proxies, "connections"),
        row(
            "data path",
            "connections at a node, zone",
            "one from each of the zone's proxies",
            zone_proxies,
            "connections",
        ),
        row(
            "data path",
            "part of the objects that a proxy's table can hold",
            "65,536 / objects",
            MAX_TABLE_KEYS / target_figure("objects") * 100.0,
            "%",
        ),
        row("list", "whole list, all", "140 B x nodes", LIST_ENTRY_BYTES * nodes / 1e3, "KB"),
        row(
            "list",
            "the proxy's byte budget for it, all",
            "that / budget",
            LIST_ENTRY_BYTES * nodes / budget,
            "s",
        ),
        row(
            "list",
            "the same, zone",
            "140 B x zone nodes / budget",
            LIST_ENTRY_BYTES * zone_nodes / budget,
            "s",
        ),
        row(
            "list",
            "entries that change on an ordinary day",
            "(2 x failing + 3 x restarted) / day",
            (2.0 * target_figure("failing_machines_per_day")
                + 3.0 * target_figure("restarted_machines_per_day"))
                / per_day,
            "a second",
        ),
        row(
            "list",
            "return of a region: its nodes anew",
            "140 B x nodes / regions / budget",
            LIST_ENTRY_BYTES * nodes / target_figure("regions") / budget,
            "s",
        ),
        row(
            "list",
            "all proxies of a zone restart, whole lists of all",
            "140 B x nodes x zone proxies",
            LIST_ENTRY_BYTES * nodes * zone_proxies / 1e6,
            "MB",
        ),
        row(
            "list",
            "the same with lists of the zone",
            "140 B x zone nodes x zone proxies",
            LIST_ENTRY_BYTES * zone_nodes * zone_proxies / 1e6,
            "MB",
        ),
        row("settings", "changes", "changes a day / 86,400", changes, "a second"),
        row(
            "settings",
            "bytes a change, were all the budget theirs",
            "budget / changes",
            budget / changes / 1e3,
            "KB",
        ),
        row(
            "settings",
            "a burst of changes, 100 B each, of the budget",
            "burst x 100 B / budget",
            target_figure("burst_changes") * SETTING_CHANGE_BYTES / budget,
            "s",
        ),
        row(
            "settings",
            "deliveries, each change to each proxy",
            "changes x proxies",
            changes * proxies,
            "a second",
        ),
        row(
            "settings",
            "the same by a control machine",
            "that / machines",
            changes * proxies / machines,
            "a second",
        ),
        row(
            "purges",
            "bytes a proxy, as texts",
            "purges x 42 B",
            target_figure("purges_per_second") * KEY_TEXT_BYTES / 1e3,
            "KB a second",
        ),
        row(
            "purges",
            "bytes a proxy, as 64-bit hashes",
            "purges x 8 B",
            target_figure("purges_per_second") * HASH_BYTES / 1e3,
            "KB a second",
        ),
        row(
            "purges",
            "deliveries, one by one",
            "purges x proxies",
            target_figure("purges_per_second") * proxies / 1e6,
            "million a second",
        ),
        row(
            "purges",
            "frames of a control machine, a batch each half second straight to each proxy",
            "2 x proxies / machines",
            2.0 * proxies / machines,
            "a second",
        ),
        row(
            "purges",
            "bytes of a control machine, as hashes straight to each proxy",
            "purges x 8 B x proxies / machines",
            target_figure("purges_per_second") * HASH_BYTES * proxies / machines / 1e6,
            "MB a second",
        ),
        row(
            "purges",
            "bytes of a control machine, as hashes to each site",
            "purges x 8 B x sites / machines",
            target_figure("purges_per_second") * HASH_BYTES * target_figure("sites") / machines / 1e6,
            "MB a second",
        ),
        row(
            "purges",
            "hashes to keep for a copy that is 30 s on its way",
            "purges x 8 B x 30 s",
            target_figure("purges_per_second") * HASH_BYTES * 30.0 / 1e3,
            "KB",
        ),
        row(
            "purges",
            "calls at a node, one for each purge",
            "purges",
            target_figure("purges_per_second"),
            "a second",
        ),
        row(
            "purges",
            "calls in a zone, one process for all its nodes",
            "purges x zone nodes",
            target_figure("purges_per_second") * zone_nodes,
            "a second",
        ),
        row(
            "purges",
            "calls in a zone, each proxy to all its nodes",
            "that x zone proxies",
            target_figure("purges_per_second") * zone_nodes * zone_proxies / 1e6,
            "million a second",
        ),
        row(
            "links",
            "links of a control machine, straight to each proxy",
            "proxies / machines",
            proxies / machines,
            "links",
        ),
        row(
            "links",
            "links of a control machine, to each site",
            "sites / machines",
            target_figure("sites") / machines,
            "links",
        ),
        row("links", "proxies of a site", "proxies / sites", proxies / target_figure("sites"), "proxies"),
        row("links", "links of a voter, one from each process", "proxies", proxies, "links"),
        row(
            "discovery",
            "watches that end with nothing, held 2 s",
            "proxies / 2 s",
            proxies / 2.0,
            "a second",
        ),
        row(
            "discovery",
            "answers that tell of a change",
            "list changes x proxies",
            target_figure("list_changes_per_second") * proxies,
            "a second",
        ),
    ];
    markdown_table(&["of", "quantity", "sum", "value"], rows)
}
