//! The tables of the page, as Markdown: the target, the slopes with what they say at it, the runs they come from, and
//! the sums that need no run.

use super::fit::Line;
use super::slopes::{File, Kind, Role, Slope, TARGET};

/// Of 15 s that nodes let a connection stand idle, the part after which a proxy uses it no more is left off.
const IDLE_SECONDS: f64 = 13.5;
/// So many times beyond the last point, a verdict says that it hangs on the line.
const FAR: f64 = 10.0;
/// What a proxy's table holds at most.
const TABLE_KEYS: f64 = 65_536.0;
/// A node in a list of all, a purge as a hash and as the text of a key of 42 bytes, one changed setting.
const LISTED_BYTES: f64 = 140.0;
const HASH_BYTES: f64 = 8.0;
const TEXT_BYTES: f64 = 42.0;
const CHANGE_BYTES: f64 = 100.0;

/// The tables by name, in the order of the page.
pub fn all(file: &File) -> Vec<(&'static str, String)> {
    vec![("target", target(file)), ("slopes", slopes(file)), ("sums", sums(file)), ("runs", runs(file))]
}

/// Three digits that count, and commas.
pub fn figure(value: f64) -> String {
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

fn table(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: Vec<String>| format!("| {} |\n", cells.join(" | "));
    let mut text = line(head.iter().map(ToString::to_string).collect());
    text += &line(head.iter().map(|_| "---".to_string()).collect());
    rows.into_iter().for_each(|row| text += &line(row));
    text
}

fn target(file: &File) -> String {
    table(
        &["figure", "value"],
        TARGET.iter().map(|name| vec![name.replace('_', " "), figure(file.figure(name))]),
    )
}

fn role(role: Role) -> &'static str {
    match role {
        Role::Proxy => "proxy",
        Role::Site => "site or zone",
        Role::Control => "control machine",
        Role::Voter => "voter",
        Role::Node => "cache node",
        Role::Discovery => "discovery",
    }
}

fn kind(kind: Kind) -> &'static str {
    match kind {
        Kind::Simulated => "simulated",
        Kind::Hollow => "hollow",
        Kind::Real => "real",
    }
}

/// Undecided where the points lie as far off the line as the line off the limit.
pub fn verdict(value: f64, residual: f64, limit: Option<f64>) -> &'static str {
    match limit {
        None => "no limit stated",
        Some(limit) if (value - limit).abs() <= residual => "undecided",
        Some(limit) if value <= limit => "fits",
        Some(_) => "**does not**",
    }
}

fn slopes(file: &File) -> String {
    let head =
        ["role", "quantity", "by", "points", "line", "off it", "at the size", "limit", "verdict", "kind"];
    let mut all: Vec<&Slope> = file.slopes.iter().collect();
    all.sort_by_key(|slope| slope.role);
    table(&head, all.into_iter().filter_map(|slope| row(file, slope)))
}

fn row(file: &File, slope: &Slope) -> Option<Vec<String>> {
    let line = Line::through(&slope.points)?;
    let most = slope.points.iter().map(|point| point.0).fold(0.0, f64::max);
    let mut points = slope.points.clone();
    points.sort_by(|one, other| one.0.total_cmp(&other.0));
    let points: Vec<String> = points.iter().map(|(x, y)| format!("{}: {}", figure(*x), figure(*y))).collect();
    let at = |name: &String| {
        let x = file.place(name);
        let far =
            if x > most { format!(", {} times the last point", figure(x / most)) } else { String::new() };
        format!("{} at {} {}{far}", figure(line.at(x)), figure(x), name.replace('_', " ").replace('/', " / "))
    };
    let judged = |name: &String| {
        let x = file.place(name);
        let verdict = verdict(line.at(x), line.residual, slope.limit);
        let held = slope.limit.is_some() && x > FAR * most;
        if held { format!("{verdict}, if the line holds") } else { verdict.into() }
    };
    let verdicts = slope.at.iter().map(judged);
    let sign = if line.slope < 0.0 { '-' } else { '+' };
    Some(vec![
        role(slope.role).into(),
        format!("`{}`: {}, {}", slope.name, slope.quantity, slope.unit),
        slope.x.clone(),
        points.join("; "),
        format!("{} {sign} {} x", figure(line.intercept), figure(line.slope.abs())),
        figure(line.residual),
        slope.at.iter().map(at).collect::<Vec<_>>().join("; "),
        slope.limit.map_or("none".into(), figure),
        verdicts.collect::<Vec<_>>().join("; "),
        kind(slope.kind).into(),
    ])
}

fn runs(file: &File) -> String {
    let row = |slope: &Slope| {
        let seed = slope.seed.map_or("none".into(), |seed| seed.to_string());
        vec![format!("`{}`", slope.name), format!("`{}`", slope.command), seed, slope.date.clone()]
    };
    table(&["slope", "command", "seed", "date"], file.slopes.iter().map(row))
}

/// What follows from the target alone.
fn sums(file: &File) -> String {
    let get = |name| file.figure(name);
    let (proxies, nodes) = (get("proxies"), get("nodes"));
    let (zone_proxies, zone_nodes) = (get("zone_proxies"), get("zone_nodes"));
    let (requests, budget) = (get("requests_per_second") / proxies, get("kilobytes_per_second") * 1e3);
    let bytes = get("megabits_per_second") * 1e6 / 8.0;
    let machines = get("control_machines");
    let per_day = 86_400.0;
    let changes = get("changes_per_day") / per_day;
    // Requests of a proxy at one node come by chance; a connection is new where none came while it may stand idle.
    let renewed = |nodes: f64| requests * (-requests / nodes * IDLE_SECONDS).exp();
    let row = |of: &str, quantity: &str, sum: &str, value: f64, unit: &str| {
        vec![of.to_string(), quantity.into(), sum.into(), format!("{} {unit}", figure(value))]
    };
    let rows = vec![
        row("data path", "requests a proxy", "requests / proxies", requests, "a second"),
        row("data path", "bytes a proxy", "bits / proxies", bytes * 8.0 / proxies / 1e9, "Gbit/s"),
        row(
            "data path",
            "bytes a request",
            "bits / 8 / requests",
            bytes / get("requests_per_second") / 1e3,
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
            get("zones") * zone_proxies * zone_nodes / 1e6,
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
            renewed(nodes),
            "a second",
        ),
        row(
            "data path",
            "new connections a node, all",
            "the same x proxies / nodes",
            renewed(nodes) * proxies / nodes,
            "a second",
        ),
        row("data path", "new connections a proxy, zone", "as above", renewed(zone_nodes), "a second"),
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
            TABLE_KEYS / get("objects") * 100.0,
            "%",
        ),
        row("list", "whole list, all", "140 B x nodes", LISTED_BYTES * nodes / 1e3, "KB"),
        row(
            "list",
            "the proxy's byte budget for it, all",
            "that / budget",
            LISTED_BYTES * nodes / budget,
            "s",
        ),
        row("list", "the same, zone", "140 B x zone nodes / budget", LISTED_BYTES * zone_nodes / budget, "s"),
        row(
            "list",
            "entries that change on an ordinary day",
            "(2 x failing + 3 x restarted) / day",
            (2.0 * get("failing_machines_per_day") + 3.0 * get("restarted_machines_per_day")) / per_day,
            "a second",
        ),
        row(
            "list",
            "return of a region: its nodes anew",
            "140 B x nodes / regions / budget",
            LISTED_BYTES * nodes / get("regions") / budget,
            "s",
        ),
        row(
            "list",
            "all proxies of a zone restart, whole lists of all",
            "140 B x nodes x zone proxies",
            LISTED_BYTES * nodes * zone_proxies / 1e6,
            "MB",
        ),
        row(
            "list",
            "the same with lists of the zone",
            "140 B x zone nodes x zone proxies",
            LISTED_BYTES * zone_nodes * zone_proxies / 1e6,
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
            get("burst_changes") * CHANGE_BYTES / budget,
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
            get("purges_per_second") * TEXT_BYTES / 1e3,
            "KB a second",
        ),
        row(
            "purges",
            "bytes a proxy, as 64-bit hashes",
            "purges x 8 B",
            get("purges_per_second") * HASH_BYTES / 1e3,
            "KB a second",
        ),
        row(
            "purges",
            "deliveries, one by one",
            "purges x proxies",
            get("purges_per_second") * proxies / 1e6,
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
            get("purges_per_second") * HASH_BYTES * proxies / machines / 1e6,
            "MB a second",
        ),
        row(
            "purges",
            "bytes of a control machine, as hashes to each site",
            "purges x 8 B x sites / machines",
            get("purges_per_second") * HASH_BYTES * get("sites") / machines / 1e6,
            "MB a second",
        ),
        row(
            "purges",
            "hashes to keep for a copy that is 30 s on its way",
            "purges x 8 B x 30 s",
            get("purges_per_second") * HASH_BYTES * 30.0 / 1e3,
            "KB",
        ),
        row("purges", "calls at a node, one for each purge", "purges", get("purges_per_second"), "a second"),
        row(
            "purges",
            "calls in a zone, one process for all its nodes",
            "purges x zone nodes",
            get("purges_per_second") * zone_nodes,
            "a second",
        ),
        row(
            "purges",
            "calls in a zone, each proxy to all its nodes",
            "that x zone proxies",
            get("purges_per_second") * zone_nodes * zone_proxies / 1e6,
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
            get("sites") / machines,
            "links",
        ),
        row("links", "proxies of a site", "proxies / sites", proxies / get("sites"), "proxies"),
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
            get("list_changes_per_second") * proxies,
            "a second",
        ),
    ];
    table(&["of", "quantity", "sum", "value"], rows)
}
