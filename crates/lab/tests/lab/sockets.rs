//! Short runs on sockets, and proxies that misbehave.

use crate::{exclusive_cores, parse_scenario};
use pumicebay_lab::real;
use pumicebay_lab::results::Results;
use pumicebay_model::spec::Scenario;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

pub const LAB: &str = env!("CARGO_BIN_EXE_pumicebay-lab");

pub fn play(scenario: &Scenario, proxy: &Path) -> anyhow::Result<Results> {
    let _guard = exclusive_cores();
    real::play(scenario, scenario.seed, Some(&proxy.to_path_buf()), &|_| {})
}

/// Writes an executable script that runs instead of the proxy; `$LAB serve ...` in it starts the real one.
fn script(folder: &Path, text: &str) -> PathBuf {
    let path = folder.join("proxy.sh");
    std::fs::write(&path, format!("#!/bin/sh\nLAB={LAB}\n{text}\n")).expect("a script");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).expect("a program");
    path
}

const SHORT: &str = r#"
    seconds = 3
    warm_up_seconds = 0.5
    [proxies]
    count = 1
    ready_seconds = 2
    ends_seconds = 1
    [nodes]
    count = 2
    [clients]
    rate = 50
    keys = 100
"#;

/// A route of retriable reads and one of non-retriable writes.
pub const ROUTES: &str = r#"
    [[route]]
    name = "read"
    share = 0.9
    objective_ms = 500
    [[route]]
    name = "put"
    share = 0.1
    effect = "non_retriable"
    write = true
    objective_ms = 800
    timeout_ms = 1500
"#;

#[test]
fn a_first_day_cut_to_five_seconds() {
    let text = r#"
        seconds = 5
        warm_up_seconds = 1
        [proxies]
        count = 2
        [nodes]
        count = 4
        zones = 2
        warm_up_seconds = 2
        [clients]
        rate = 100
        keys = 500
        [[fault]]
        kind = "crash"
        at = 2
        lasts = 1
        nodes = ["n3"]
        [[fault]]
        kind = "kill_proxy"
        at = 3
        proxies = ["p2"]
    "#;
    let results =
        play(&parse_scenario(&(text.to_string() + ROUTES)), Path::new(LAB)).expect("a completed run");
    assert!(results.rules_kept(), "{:?}", results.violations);
    assert!(results.notes.is_empty(), "{:?}", results.notes);
    assert!(results.share > 0.8, "{}", results.table());
    assert!(results.hit_rate > 0.5 && results.fetches_per_second > 1.0);
    // No attempt announced more time than its client had left, and further attempts were among those checked.
    let time_told = results.advertised_timeouts;
    assert!(time_told.first_attempts > 300 && time_told.retries > 30, "{time_told:?}");
    assert_eq!((time_told.first_excessive, time_told.retries_excessive), (0, 0), "{time_told:?}");
}

#[test]
fn latencies_count_from_when_clients_meant_to_send() {
    // Guards against coordinated omission: all requests scheduled during the stall must show it, not only
    // those open.
    let text = SHORT.to_string()
        + r#"
        retry = "never"
        one_off = 0.0
        [[route]]
        name = "read"
        objective_ms = 100
        timeout_ms = 3000
        [[fault]]
        kind = "stall"
        at = 1
        lasts = 1
        nodes = ["n1", "n2"]
    "#;
    let results = play(&parse_scenario(&text), Path::new(LAB)).expect("a completed run");
    let latency = &results.latency[0];
    assert!(latency.max_ms > 850.0, "{latency:?}");
    // One second of two and a half was lost, so far more than one request in a hundred had to wait.
    assert!(latency.p90_ms > 500.0, "{latency:?}");
}

#[test]
fn a_load_generator_that_is_late_says_so() {
    let text = SHORT.replace("rate = 50", "rate = 60000").replace("seconds = 3", "seconds = 0.6");
    let text = text.replace("warm_up_seconds = 0.5", "warm_up_seconds = 0.0");
    let results = play(&parse_scenario(&text), Path::new(LAB)).expect("a completed run");
    assert!(!results.usable);
    assert!(results.notes.iter().any(|note| note.contains("load generator was late")), "{:?}", results.notes);
}

#[test]
fn a_proxy_that_refuses_to_start() {
    let folder = tempfile::tempdir().expect("a folder");
    let proxy = script(folder.path(), "echo no key for me >&2; exit 3");
    let error = format!("{:#}", play(&parse_scenario(SHORT), &proxy).expect_err("a failed start"));
    assert!(error.contains("p1 did not start") && error.contains("no key for me"), "{error}");
}

#[test]
fn a_proxy_that_prints_without_end_and_never_answers() {
    let folder = tempfile::tempdir().expect("a folder");
    let proxy = script(folder.path(), "exec yes so be it");
    let error = format!("{:#}", play(&parse_scenario(SHORT), &proxy).expect_err("a failed start"));
    assert!(error.contains("did not answer within 2 s") && error.len() < 2000, "{error}");
}

#[test]
fn a_proxy_that_dies_on_the_way() {
    let folder = tempfile::tempdir().expect("a folder");
    let proxy = script(folder.path(), "(sleep 1.5; kill -9 $$) & exec $LAB \"$@\"");
    let results = play(&parse_scenario(SHORT), &proxy).expect("a completed run");
    assert!(!results.usable && results.notes[0].contains("p1 ended by itself"), "{:?}", results.notes);
}

#[test]
fn a_proxy_that_hangs() {
    let folder = tempfile::tempdir().expect("a folder");
    let proxy = script(folder.path(), "(sleep 1.5; kill -STOP $$) & exec $LAB \"$@\"");
    let results = play(&parse_scenario(SHORT), &proxy).expect("a completed run");
    assert!(!results.usable && results.notes[0].contains("p1 hung"), "{:?}", results.notes);
    // It accepted requests and never answered them.
    assert!(results.violations_by_rule[1] > 0, "{:?}", results.violations_by_rule);
}

#[test]
fn exit_codes_and_messages() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("day.toml");
    std::fs::write(&path, "seconds = 6\n[nodes]\ndrain_grace_ms = 300\n[[fault]]\nkind = \"drain\"\nat = 4\nnodes = [\"n1..n3\"]")
        .expect("a file");
    let run = |more: &[&str]| {
        let output = Command::new(LAB).arg("run").arg(&path).args(more).output().expect("the lab");
        let (out, err) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
        (output.status.code(), out.into_owned(), err.into_owned())
    };
    let (code, out, _) = run(&[]);
    assert!(code == Some(0) && out.contains("rules: all four kept"), "{out}");
    let (code, out, _) = run(&["--policy", "careless"]);
    assert!(code == Some(1) && out.contains("rule 3 exchange"), "{out}");
    let (code, _, err) = run(&["--set", "clients.rates=3"]);
    assert!(code == Some(2) && err.contains("rates"), "{err}");
    let (code, _, err) = run(&["--policy", "lucky"]);
    assert!(code == Some(2) && err.contains("expected one of pumicebay, random"), "{err}");
    let report = folder.path().join("report.html");
    let (code, _, err) = run(&["--report", &report.display().to_string()]);
    assert!(code == Some(0), "{err}");
    let page = std::fs::read_to_string(report).expect("a report");
    assert!(
        page.contains("<svg") && page.contains("All four rules were kept") && !page.contains("http-equiv")
    );
}

/// Whether the process runs; a zombie does not.
fn is_running(id: &str) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    stat.rsplit(')').next().is_some_and(|rest| !rest.is_empty() && !rest.trim_start().starts_with('Z'))
}

#[test]
fn an_interrupted_day_leaves_no_proxy_behind() {
    use nix::sys::signal::{Signal, kill};
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("day.toml");
    std::fs::write(&path, SHORT.replace("seconds = 3", "seconds = 60")).expect("a file");
    let mut lab = Command::new(LAB)
        .args(["run", "--clock", "real"])
        .arg(&path)
        .stderr(std::process::Stdio::null())
        .spawn()
        .expect("the lab");
    let until = |done: &mut dyn FnMut() -> bool| {
        (0..400).any(|_| {
            std::thread::sleep(std::time::Duration::from_millis(25));
            done()
        })
    };
    // The kernel lists children under the thread that started them.
    let children = |lab: u32| -> Vec<String> {
        let threads = std::fs::read_dir(format!("/proc/{lab}/task")).expect("a process");
        let lists = threads.flatten().filter_map(|t| std::fs::read_to_string(t.path().join("children")).ok());
        lists.flat_map(|list| list.split_whitespace().map(str::to_string).collect::<Vec<_>>()).collect()
    };
    let mut proxies = Vec::new();
    assert!(until(&mut || {
        proxies = children(lab.id());
        !proxies.is_empty()
    }));
    kill(nix::unistd::Pid::from_raw(lab.id() as i32), Signal::SIGINT).expect("a signal sent");
    assert!(until(&mut || lab.try_wait().expect("a child").is_some()));
    assert!(until(&mut || !proxies.iter().any(|id| is_running(id))));
}
