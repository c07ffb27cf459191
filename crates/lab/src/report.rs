//! HTML reports: one file with embedded SVG plots.

use crate::results::Results;
use crate::sweep::{self, Point};
use anyhow::{Result, anyhow};
use plotters::prelude::*;
use std::fmt::Write;

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (960, 260);
const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;\
color:#222}table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .8em;border-bottom:1px solid #ddd;\
text-align:right}td:first-child,th:first-child{text-align:left}.bad{color:#a00;font-weight:600}.good{color:#070}\
svg{max-width:100%;height:auto}pre{background:#f6f6f6;padding:.6em;overflow:auto}p.note{color:#555}";

/// A line of a plot: its name, color and points.
type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// The report of one run. Returns an error if a plot cannot be drawn.
pub fn html(results: &Results) -> Result<String> {
    let mut page = head(&format!("{} with {}", results.scenario, results.policy));
    let kind = match results.clock.as_str() {
        "virtual" => "Simulated: run in virtual time against the model, without sockets.",
        _ => {
            "Emulated: real proxies on loopback sockets, with simulated clients, nodes, origin and discovery."
        }
    };
    let _ = writeln!(page, "<p>{kind} Seed {}, {} wishes.</p>", results.seed, results.operations);
    if !results.usable {
        let _ = writeln!(page, "<p class=bad>This run is not usable; see the notes.</p>");
    }
    rules(&mut page, results);
    figures(&mut page, results);
    let share = results.seconds.iter().map(|second| (second.at as f64, second.share)).collect();
    let blue = RGBColor(31, 96, 168);
    let red = RGBColor(178, 34, 34);
    let green = RGBColor(30, 120, 60);
    let faults: Vec<f64> = results.recovery.iter().map(|recovery| recovery.at).collect();
    section(
        &mut page,
        "Payoff within the objective, by second",
        "1 is the payoff of all wishes (operations of clients). Grey lines mark the start of a fault; a wish counts in the \
         second in which it starts.",
        &plot(&[("payoff", blue, share)], &faults, Some(1.0))?,
    );
    let count = |figure: fn(&crate::results::Second) -> u64| -> Vec<(f64, f64)> {
        results.seconds.iter().map(|second| (second.at as f64, figure(second) as f64)).collect()
    };
    let lines: [Line; 3] = [
        ("origin fetches", green, count(|second| second.fetches)),
        ("shed", blue, count(|second| second.shed)),
        ("errored or lost", red, count(|second| second.errored)),
    ];
    section(
        &mut page,
        "Origin fetches, and wishes without a value, by second",
        "Shed wishes were rejected because of overload; errored ones were answered with an error, or not at all.",
        &plot(&lines, &faults, None)?,
    );
    let served = results.load.served_by_node.iter().enumerate();
    let served = served.map(|(node, &count)| ((node + 1) as f64, count as f64)).collect();
    section(
        &mut page,
        "Values served by node",
        "By node number. Popular keys make some nodes busier than others.",
        &plot(&[("served", blue, served)], &[], None)?,
    );
    tables(&mut page, results);
    page += "</body></html>\n";
    Ok(page)
}

/// The report of a sweep over a grid of settings. Returns an error if the plot cannot be drawn.
pub fn sweep_html(name: &str, policy: &str, points: &[Point]) -> Result<String> {
    let mut page = head(&format!("{name} with {policy}, sweep over a grid"));
    let figure = |figure: fn(&Results) -> f64| -> Vec<(f64, f64)> {
        points.iter().enumerate().map(|(at, point)| ((at + 1) as f64, point.mean(figure).mean)).collect()
    };
    let lines: [Line; 3] = [
        ("payoff", RGBColor(31, 96, 168), figure(|run| run.share)),
        ("worst ten seconds", RGBColor(178, 34, 34), figure(|run| run.worst_ten_seconds)),
        ("hit rate", RGBColor(30, 120, 60), figure(|run| run.hit_rate)),
    ];
    section(
        &mut page,
        "By point of the grid",
        "In the order of the table below.",
        &plot(&lines, &[], Some(1.0))?,
    );
    let _ = writeln!(page, "<pre>{}</pre>", escape(&sweep::table(points)));
    page += "</body></html>\n";
    Ok(page)
}

fn head(title: &str) -> String {
    let title = escape(title);
    format!(
        "<!doctype html><html lang=en><head><meta charset=utf-8><title>{title}</title><style>{STYLE}</style>\
         </head><body><h1>{title}</h1>\n"
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn section(page: &mut String, title: &str, note: &str, svg: &str) {
    let _ = writeln!(page, "<h2>{title}</h2><p class=note>{note}</p>{svg}");
}

fn rules(page: &mut String, results: &Results) {
    if results.rules_kept() {
        page.push_str("<p class=good>All four rules were kept.</p>\n");
        return;
    }
    let [values, one, two, three, four] = results.violations_by_rule;
    let _ = writeln!(
        page,
        "<p class=bad>Rules broken: first {one}, second {two}, third {three}, fourth {four} times; {values} \
         values that were made for another exchange.</p><table><tr><th>rule</th><th>exchange</th>\
         <th>node</th><th>at, s</th><th>what</th></tr>"
    );
    for violation in &results.violations {
        let node = violation.node.as_deref().unwrap_or("-");
        let _ = writeln!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{node}</td><td>{:.3}</td><td>{}</td></tr>",
            violation.rule,
            violation.request,
            violation.at,
            escape(&violation.description)
        );
    }
    page.push_str("</table>\n");
}

fn figures(page: &mut String, results: &Results) {
    let rows = [
        ("payoff within the objective, of all asked", results.share, 3),
        ("the same in the worst ten seconds", results.worst_ten_seconds, 3),
        ("reads that a cache node had", results.hit_rate, 3),
        ("origin fetches a second", results.fetches_per_second, 1),
        ("upstream tries per exchange", results.attempts_per_request, 3),
        ("exchanges per wish (retries of clients)", results.requests_per_operation, 3),
        ("part of wishes served late", results.late, 3),
        ("part shed", results.shed, 3),
        ("part errored", results.errored, 3),
        ("part without an answer", results.lost, 3),
        ("busiest node, of the mean", results.load.busiest_to_mean, 2),
    ];
    page.push_str("<table>\n");
    for (name, figure, digits) in rows {
        let _ = writeln!(page, "<tr><td>{name}</td><td>{figure:.digits$}</td></tr>");
    }
    page.push_str("</table>\n");
}

fn tables(page: &mut String, results: &Results) {
    page.push_str(
        "<h2>Routes</h2><p class=note>Milliseconds from the intended start of the operation to the last byte, of served \
         operations.</p><table><tr><th>route</th><th>payoff</th><th>objective</th><th>p50</th><th>p90</th>\
         <th>p99</th><th>p99.9</th><th>most</th></tr>\n",
    );
    for (group, at) in results.routes.iter().zip(&results.latency) {
        let _ = writeln!(
            page,
            "<tr><td>{}</td><td>{:.3}</td><td>{:.0}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td>\
             <td>{:.1}</td><td>{:.1}</td></tr>",
            escape(&group.name),
            group.share,
            at.objective_ms,
            at.p50_ms,
            at.p90_ms,
            at.p99_ms,
            at.p999_ms,
            at.max_ms
        );
    }
    page.push_str("</table>\n");
    if !results.tenants.is_empty() {
        page.push_str("<h2>Tenants</h2><table><tr><th>tenant</th><th>payoff</th><th>wishes</th></tr>\n");
        for group in &results.tenants {
            let name = escape(&group.name);
            let _ = writeln!(
                page,
                "<tr><td>{name}</td><td>{:.3}</td><td>{}</td></tr>",
                group.share, group.operations
            );
        }
        page.push_str("</table>\n");
    }
    if !results.recovery.is_empty() {
        page.push_str(
            "<h2>Faults</h2><table><tr><th>fault</th><th>at, s</th><th>lowest second</th>\
             <th>back after, s</th></tr>\n",
        );
        for recovery in &results.recovery {
            let back = recovery.seconds.map_or("not by the end".into(), |seconds| format!("{seconds:.0}"));
            let _ = writeln!(
                page,
                "<tr><td>{}</td><td>{:.1}</td><td>{:.3}</td><td>{back}</td></tr>",
                escape(&recovery.fault),
                recovery.at,
                recovery.lowest
            );
        }
        page.push_str("</table>\n");
    }
    for note in &results.notes {
        let _ = writeln!(page, "<pre>{}</pre>", escape(note));
    }
}

/// Draws lines over the same axes as SVG. `marks` are the positions of vertical lines, `top` is the upper end
/// of the value axis, by default 5% above the highest value.
fn plot(lines: &[Line], marks: &[f64], top: Option<f64>) -> Result<String> {
    let plot_error = |error: &dyn std::fmt::Display| anyhow!("plot: {error}");
    let points = || lines.iter().flat_map(|(_, _, points)| points);
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let highest = top.unwrap_or_else(|| points().map(|point| point.1).fold(1.0, f64::max) * 1.05);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|error| plot_error(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..right, 0.0..highest)
            .map_err(|error| plot_error(&error))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .bold_line_style(RGBColor(228, 228, 228))
            .draw()
            .map_err(|error| plot_error(&error))?;
        let grey = RGBColor(150, 150, 150);
        for &at in marks {
            let mark = LineSeries::new([(at, 0.0), (at, highest)], grey);
            chart.draw_series(mark).map_err(|error| plot_error(&error))?;
        }
        for (name, colour, points) in lines {
            let series = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(series).map_err(|error| plot_error(&error))?;
            let colour = *colour;
            drawn
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        if lines.len() > 1 {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(grey)
                .draw()
                .map_err(|error| plot_error(&error))?;
        }
        area.present().map_err(|error| plot_error(&error))?;
    }
    Ok(svg)
}
