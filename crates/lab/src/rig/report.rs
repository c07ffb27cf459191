//! An HTML page with a timeline of the actions of each lease's holders and of the faults.

use super::Outcome;
use std::collections::BTreeSet;
use std::fmt::Write;

/// Size of the drawing, its column of labels and its rows, in pixels.
const WIDTH: f64 = 1100.0;
const LABEL_WIDTH: f64 = 130.0;
const ROW_HEIGHT: f64 = 18.0;

/// The page for one run.
pub fn html_timeline(outcome: &Outcome) -> String {
    let end_second =
        outcome.actions.iter().filter_map(|action| action.end).fold(outcome.plan.seconds, f64::max);
    let x = |second: f64| LABEL_WIDTH + second / end_second * (WIDTH - LABEL_WIDTH);
    let (mut shapes, mut rows) = (String::new(), 1.0);
    let mut draw_row = |label: &str, bars: &[(f64, f64, String, &str)]| {
        let y = rows * ROW_HEIGHT;
        rows += 1.0;
        let _ = write!(shapes, "<text x='0' y='{:.0}'>{}</text>", y + 13.0, escape(label));
        for (begin, end, title, colour) in bars {
            let width = (x(*end) - x(*begin)).max(1.0);
            let _ = write!(
                shapes,
                "<rect x='{:.1}' y='{:.1}' width='{width:.1}' height='{:.1}' fill='{colour}'><title>{}</title></rect>",
                x(*begin),
                y + 2.0,
                ROW_HEIGHT - 4.0,
                escape(title)
            );
        }
    };
    let holders: BTreeSet<(&str, &str)> =
        outcome.actions.iter().map(|action| (action.lease.as_str(), action.who.as_str())).collect();
    for (lease, who) in holders {
        let actions = outcome.actions.iter().filter(|action| action.lease == lease && action.who == who);
        let bar = |action: &super::Action| {
            let title = format!("token {} from {:.3}", action.token, action.begin);
            (action.begin, action.end.unwrap_or(end_second), title, "#3a7")
        };
        draw_row(&format!("{lease} {who}"), &actions.map(bar).collect::<Vec<_>>());
    }
    for fault in &outcome.plan.faults {
        draw_row(
            &format!("{:?} {}", fault.kind, fault.who),
            &[(fault.at, fault.at + fault.seconds, fault.description(), "#c54")],
        );
    }
    let mut ticks = String::new();
    for second in 0..=end_second as u64 {
        let _ = write!(ticks, "<text x='{:.1}' y='12' fill='#888'>{second}</text>", x(second as f64));
    }
    let violations = if outcome.violations.is_empty() {
        "no violations".into()
    } else {
        escape(&outcome.violations.join("\n"))
    };
    format!(
        "<!doctype html><meta charset='utf-8'><title>fleet, seed {}</title><style>body{{font:13px sans-serif}}\
         svg text{{font-size:11px}}</style><h1>Actions under leases, and faults</h1><pre>{}</pre><pre>{violations}</pre>\
         <svg width='{WIDTH}' height='{:.0}'>{ticks}{shapes}</svg>",
        outcome.seed,
        escape(&outcome.summary()),
        (rows + 1.0) * ROW_HEIGHT
    )
}

/// Escapes a text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('\'', "&#39;")
}
