//! The page on the target size holds the tables generated from the file of slopes, an invalid file is
//! rejected with an error that names what is wrong, and the measurements work on small sizes.

use pumicebay_lab::capacity::fit::Line;
use pumicebay_lab::capacity::slopes::{SlopesFile, TARGET_FIGURES};
use pumicebay_lab::capacity::{self, PAGE_PATH, SLOPES_PATH, tables};
use pumicebay_lab::rig::Programs;
use serde_json::{Value as Json, json};
use std::path::{Path, PathBuf};
use std::process::Command;

const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The repository's file of slopes.
fn shipped() -> Json {
    let text = std::fs::read_to_string(root().join(SLOPES_PATH)).expect("the slopes");
    serde_json::from_str(&text).expect("JSON")
}

/// The error with which a file is rejected.
fn rejection(json: &Json) -> String {
    format!("{:#}", SlopesFile::parse(&json.to_string()).expect_err("an invalid file was accepted"))
}

#[test]
fn page_holds_the_generated_tables() {
    let file = SlopesFile::read(&root().join(SLOPES_PATH)).expect("a valid file of slopes");
    capacity::check_page(&root().join(PAGE_PATH), &file)
        .expect("page and slopes differ: run pumicebay-lab capacity --page docs/CAPACITY.md");
}

#[test]
fn a_page_that_differs_is_rejected_with_the_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let page = std::fs::read_to_string(root().join(PAGE_PATH)).expect("the page");
    let other = page.replacen("| nodes | 7,200 |", "| nodes | 7,201 |", 1);
    assert_ne!(page, other, "the page has no such line");
    let path = folder.path().join("page.md");
    std::fs::write(&path, other).expect("a page");
    let run = Command::new(LAB)
        .current_dir(root())
        .args(["capacity", "--check", "--page"])
        .arg(&path)
        .output()
        .expect("the lab");
    let stderr = String::from_utf8_lossy(&run.stderr);
    assert_eq!(run.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("7,201") && stderr.contains("7,200") && stderr.contains("line "), "{stderr}");
    let run = Command::new(LAB).current_dir(root()).args(["capacity", "--check"]).output().expect("the lab");
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
}

#[test]
fn a_page_without_a_marker_is_rejected() {
    let file = SlopesFile::read(&root().join(SLOPES_PATH)).expect("a valid file of slopes");
    let page = std::fs::read_to_string(root().join(PAGE_PATH)).expect("the page");
    for (name, _) in tables::all(&file) {
        let without = page.replace(&format!("<!-- table: {name} -->"), "");
        let error = capacity::update_page(&without, &file).expect_err("a page without a table");
        assert!(format!("{error:#}").contains(&format!("table: {name}")), "{error:#}");
    }
    let error = capacity::update_page(&page.replace("<!-- end of table -->", ""), &file)
        .expect_err("a page without end markers");
    assert!(format!("{error:#}").contains("end of table"), "{error:#}");
}

/// A key that was left out or misspelt must not pass unnoticed: every key is required and no other is
/// accepted.
#[test]
fn missing_and_unknown_keys_are_named() {
    let good = shipped();
    SlopesFile::parse(&good.to_string()).expect("a valid file of slopes");
    for name in TARGET_FIGURES {
        let mut json = good.clone();
        json["target"].as_object_mut().expect("target").remove(*name);
        assert!(rejection(&json).contains(&format!("target.{name}: missing")), "{}", rejection(&json));
    }
    let slope = good["slopes"][0].as_object().expect("a slope").clone();
    assert_eq!(slope.len(), 12, "keys of a slope: {:?}", slope.keys());
    for name in slope.keys() {
        let mut json = good.clone();
        json["slopes"][0].as_object_mut().expect("a slope").remove(name);
        assert!(rejection(&json).contains(&format!("missing field `{name}`")), "{}", rejection(&json));
    }
    for place in ["", "/target", "/slopes/0"] {
        let mut json = good.clone();
        json.pointer_mut(place).expect("a place")["horses"] = json!(1);
        assert!(rejection(&json).contains("horses"), "{}", rejection(&json));
    }
    for name in ["target", "slopes"] {
        let mut json = good.clone();
        json.as_object_mut().expect("a file").remove(name);
        assert!(rejection(&json).contains(name), "{}", rejection(&json));
    }
    assert!(SlopesFile::parse("{").is_err(), "a truncated file was accepted");
}

#[test]
fn implausible_values_are_named() {
    let cases = [
        ("/target/nodes", json!(0), "target.nodes: expected more than 0"),
        ("/target/objects", json!(1e13), "target.objects: expected more than 0 and at most 1e12"),
        ("/target/core_percent", json!(101), "target.core_percent: expected at most 100"),
        ("/target/zone_nodes", json!(7201), "target.zone_nodes: expected at most nodes"),
        ("/target/zone_proxies", json!(16_001), "target.zone_proxies: expected at most proxies"),
        ("/target/memory_mb", json!("much"), "invalid type: string \"much\""),
        ("/slopes", json!([]), "slopes: expected one or more"),
        ("/slopes/0/name", json!(" "), "slopes[0].name: empty"),
        ("/slopes/0/role", json!("king"), "unknown variant `king`"),
        ("/slopes/0/kind", json!("dreamt"), "unknown variant `dreamt`"),
        ("/slopes/0/unit", json!(""), "unit: empty"),
        ("/slopes/0/quantity", json!("a|b"), "quantity: has a sign that breaks a table"),
        ("/slopes/0/command", json!(""), "command: empty"),
        ("/slopes/0/date", json!("yesterday"), "date: expected YYYY-MM-DD"),
        ("/slopes/0/date", json!("2026-13-01"), "date: expected YYYY-MM-DD"),
        ("/slopes/0/at", json!([]), "at: expected one figure"),
        ("/slopes/0/at", json!(["horses"]), "at: the target has no figure \"horses\""),
        ("/slopes/0/at", json!(["nodes/horses"]), "at: the target has no figure \"nodes/horses\""),
        ("/slopes/0/limit", json!(0), "limit: expected more than 0"),
        ("/slopes/0/limit", json!(-4), "limit: expected more than 0"),
        ("/slopes/0/seed", json!(-1), "invalid value: integer `-1`"),
        ("/slopes/0/points/0", json!([-1.0, 2.0]), "points: expected 0 to 1e12, found [-1, 2]"),
        ("/slopes/0/points/0", json!([1.0, 2e12]), "points: expected 0 to 1e12"),
        ("/slopes/0/points/0", json!([1.0]), "invalid length 1"),
    ];
    for (place, value, wanted) in cases {
        let mut json = shipped();
        *json.pointer_mut(place).expect("a place") = value.clone();
        let error = rejection(&json);
        assert!(error.contains(wanted), "{place} {value}: {error}");
        if place.starts_with("/slopes/0/") && !error.contains(" at line ") && !place.ends_with("/name") {
            assert!(error.starts_with("slopes[0], "), "{place}: the slope is not named: {error}");
        }
    }
    let mut json = shipped();
    json["slopes"][1]["name"] = json["slopes"][0]["name"].clone();
    assert!(rejection(&json).contains("is there twice"), "{}", rejection(&json));
}

#[test]
fn too_few_points_and_too_short_a_span_are_rejected() {
    let with = |points: Json| {
        let mut json = shipped();
        json["slopes"][0]["points"] = points;
        json
    };
    SlopesFile::parse(&with(json!([[1, 1], [5, 5], [20, 20], [100, 100]])).to_string())
        .expect("enough points and span");
    let three = rejection(&with(json!([[1, 1], [10, 5], [100, 20]])));
    assert!(three.contains("points: expected 4 or more with different x above 0, found 3"), "{three}");
    // Neither a repeated x nor x = 0 counts as another point.
    for more in [json!([100, 21]), json!([0, 0])] {
        let error = rejection(&with(json!([[1, 1], [10, 5], [100, 20], more])));
        assert!(error.contains("found 3"), "{error}");
    }
    let short = rejection(&with(json!([[0, 0], [1, 1], [5, 5], [20, 20], [99, 99]])));
    assert!(short.contains("points: expected two decades of x or more, found 1 to 99"), "{short}");
}

#[test]
fn a_line_and_its_verdict() {
    let line = Line::fit(&[(0.0, 5.0), (10.0, 25.0), (100.0, 205.0)]).expect("a line");
    assert!((line.intercept - 5.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!(line.residual < 1e-9 && (line.value_at(1000.0) - 2005.0).abs() < 1e-6, "{line:?}");
    let off = Line::fit(&[(0.0, 1.0), (0.0, 3.0), (2.0, 1.0), (2.0, 3.0)]).expect("a line");
    assert!((off.residual - 1.0).abs() < 1e-9 && off.slope.abs() < 1e-9, "{off:?}");
    assert_eq!(Line::fit(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(tables::verdict(10.0, 0.0, Some(10.0)), "undecided");
    assert_eq!(tables::verdict(9.0, 0.5, Some(10.0)), "fits");
    assert_eq!(tables::verdict(11.0, 0.5, Some(10.0)), "**does not**");
    assert_eq!(tables::verdict(11.0, 1.5, Some(10.0)), "undecided");
    assert_eq!(tables::verdict(11.0, 1.5, None), "no limit stated");
}

/// A verdict far beyond the last measured point must say that it depends on the extrapolation.
#[test]
fn a_verdict_far_beyond_the_points_is_conditional() {
    let verdicts_at = |times: f64| {
        let mut json = shipped();
        let nodes = json["target"]["nodes"].as_f64().expect("nodes") / times;
        let points = [1.0, 0.3, 0.1, 0.01].map(|part| json!([nodes * part, part]));
        json["slopes"] = json!([json["slopes"][0]]);
        json["slopes"][0]["points"] = json!(points);
        json["slopes"][0]["at"] = json!(["nodes"]);
        json["slopes"][0]["limit"] = json!(1000);
        let file = SlopesFile::parse(&json.to_string()).expect("a valid file of slopes");
        tables::all(&file)[1].1.clone()
    };
    assert!(verdicts_at(11.0).contains("| fits, if the line holds |"), "{}", verdicts_at(11.0));
    assert!(verdicts_at(9.0).contains("| fits |"), "{}", verdicts_at(9.0));
}

#[test]
fn figures_are_written_with_three_digits_and_commas() {
    let cases = [
        (0.0, "0"),
        (0.0813, "0.0813"),
        (1.0, "1"),
        (5.04, "5.04"),
        (12.345, "12.3"),
        (99.96, "100"),
        (126.0, "126"),
        (7200.0, "7,200"),
        (1.3e9, "1,300,000,000"),
        (-1234.0, "-1,234"),
    ];
    for (value, text) in cases {
        assert_eq!(tables::format_figure(value), text, "{value}");
    }
}

#[test]
fn invalid_arguments_are_rejected() {
    for (args, wanted) in [
        (&["capacity", "weigh"][..], "expected measure, measure-voters or nothing"),
        (&["capacity", "measure", "--check"][..], "not allowed with measure"),
        (&["capacity", "measure-voters", "--page", "a.md"][..], "not allowed with measure"),
        (&["capacity", "--slopes", "no-such-file.json"][..], "no-such-file.json"),
    ] {
        let run = Command::new(LAB).current_dir(root()).args(args).output().expect("the lab");
        let stderr = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(2), "{args:?}: {stderr}");
        assert!(stderr.contains(wanted), "{args:?}: {stderr}");
    }
}

/// One short measurement of a process that has its list of nodes and follows its changes.
#[test]
fn an_idle_proxy_is_measured() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let duration = std::time::Duration::from_secs(1);
    let idle =
        |nodes| runtime.block_on(capacity::measure::measure_idle(Path::new(LAB), nodes, 10.0, duration));
    let (none, some) = (idle(0).expect("a measurement"), idle(400).expect("a measurement"));
    assert!(none.resident_mb > 1.0 && some.resident_mb > none.resident_mb, "{none:?} {some:?}");
    assert!(some.peak_mb >= some.resident_mb && some.list_bytes > 400 * 100, "{some:?}");
    assert!(some.change_answers >= 5 && some.core_percent > 0.0 && some.bytes_per_second > 500.0, "{some:?}");
}

/// The same for a proxy that forwards values, short and long ones.
#[test]
fn a_busy_proxy_is_measured() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let duration = std::time::Duration::from_secs(1);
    for bytes in [200, 150_000] {
        let busy = capacity::measure::measure_busy(Path::new(LAB), 30.0, bytes, duration);
        let busy = runtime.block_on(busy).expect("a measurement");
        assert!(busy.failed == 0, "answers other than the value: {busy:?}");
        assert!(busy.core_percent > 0.0, "no processor time was measured: {busy:?}");
        assert!(busy.requests_per_second > 5.0, "too few requests were sent: {busy:?}");
    }
}

/// And the first voter of a small fleet, while no process wants a lease.
#[test]
fn a_voter_is_measured() {
    let programs = Programs { proxy: LAB.into(), lab: LAB.into() };
    let voter = capacity::voter_usage::measure_voter(&programs, 3, 1).expect("a measurement");
    assert!(voter.resident_mb > 1.0 && voter.core_percent > 0.0, "{voter:?}");
    assert!(voter.frames_per_second > 10.0 && voter.kilobytes_per_second > 0.5, "{voter:?}");
}
