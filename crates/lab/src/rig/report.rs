//! A page that draws who held what when, and the faults.

use super::Outcome;
use std::collections::BTreeSet;
use std::fmt::Write;

const WIDTH: f64 = 1100.0;
const LEFT: f64 = 130.0;
const ROW: f64 = 18.0;

pub fn page(outcome: &Outcome) -> String {
    let last = outcome.acts.iter().filter_map(|act| act.end).fold(outcome.plan.seconds, f64::max);
    let x = |second: f64| LEFT + second / last * (WIDTH - LEFT);
    let (mut drawn, mut row) = (String::new(), 1.0);
    let mut line = |label: &str, bars: &[(f64, f64, String, &str)]| {
        let y = row * ROW;
        row += 1.0;
        let _ = write!(drawn, "<text x='0' y='{:.0}'>{}</text>", y + 13.0, escape(label));
        for (begin, end, title, colour) in bars {
            let width = (x(*end) - x(*begin)).max(1.0);
            let _ = write!(
                drawn,
                "<rect x='{:.1}' y='{:.1}' width='{width:.1}' height='{:.1}' fill='{colour}'><title>{}</title></rect>",
                x(*begin),
                y + 2.0,
                ROW - 4.0,
                escape(title)
            );
        }
    };
    let holders: BTreeSet<(&str, &str)> =
        outcome.acts.iter().map(|act| (act.lease.as_str(), act.who.as_str())).collect();
    for (lease, who) in holders {
        let acts = outcome.acts.iter().filter(|act| act.lease == lease && act.who == who);
        let bar = |act: &super::Act| {
            let title = format!("token {} from {:.3}", act.token, act.begin);
            (act.begin, act.end.unwrap_or(last), title, "#3a7")
        };
        line(&format!("{lease} {who}"), &acts.map(bar).collect::<Vec<_>>());
    }
    for fault in &outcome.plan.faults {
        line(
            &format!("{:?} {}", fault.kind, fault.who),
            &[(fault.at, fault.at + fault.seconds, fault.words(), "#c54")],
        );
    }
    let mut ticks = String::new();
    for second in 0..=last as u64 {
        let _ = write!(ticks, "<text x='{:.1}' y='12' fill='#888'>{second}</text>", x(second as f64));
    }
    let wrong = if outcome.wrong.is_empty() {
        "nothing went wrong".into()
    } else {
        escape(&outcome.wrong.join("\n"))
    };
    format!(
        "<!doctype html><meta charset='utf-8'><title>fleet, seed {}</title><style>body{{font:13px sans-serif}}\
         svg text{{font-size:11px}}</style><h1>Acts under leases, and faults</h1><pre>{}</pre><pre>{wrong}</pre>\
         <svg width='{WIDTH}' height='{:.0}'>{ticks}{drawn}</svg>",
        outcome.seed,
        escape(&outcome.summary()),
        (row + 1.0) * ROW
    )
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('\'', "&#39;")
}
