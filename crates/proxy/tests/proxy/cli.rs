//! The program as a person or the platform starts it.

use crate::configuration;
use expect_test::expect;
use serde_json::json;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

fn program(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pumicebay"));
    command.args(args).env_remove("PROXY_CONFIG").stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// A configuration file, gone with the test.
struct File(std::path::PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("pumicebay-{}-{name}.json", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn commands_say_what_they_do_and_what_is_wrong() {
    let good = File::new("good", &configuration(&[]).to_string());
    let bad = File::new("bad", &configuration(&[("/listen", json!("nowhere"))]).to_string());
    let broken = File::new("broken", "{");
    let mut trace = String::new();
    for args in [
        &["version"][..],
        &["check", "--config", good.path()],
        &["check", "--config", bad.path()],
        &["serve", "--config", broken.path()],
        &["serve", "--config", "/nowhere/config.json"],
        &["serve"],
        &["dance"],
        &["check", "--fast"],
        &[],
    ] {
        let done = program(args).output().unwrap();
        let text =
            format!("{}{}", String::from_utf8_lossy(&done.stdout), String::from_utf8_lossy(&done.stderr));
        let text = [&good, &bad, &broken].iter().fold(text, |text, file| text.replace(file.path(), "FILE"));
        trace += &format!("{}: {:?}\n{text}", args.first().unwrap_or(&""), done.status.code());
    }
    expect![[r#"
        version: Some(0)
        pumicebay 0.1.0
        check: Some(0)
        n0 listens on 127.0.0.1:0, discovery at 127.0.0.1:9, 0 nodes known
        at most 384 client connections and 384 to nodes
        routes: read (retriable), put (non-retriable), quick (retriable)
        check: Some(1)
        pumicebay: configuration FILE: listen: expected ADDRESS:PORT, found "nowhere": invalid socket address syntax
        serve: Some(1)
        pumicebay: configuration FILE: EOF while parsing an object at line 1 column 1
        serve: Some(1)
        pumicebay: configuration /nowhere/config.json: No such file or directory (os error 2)
        serve: Some(1)
        pumicebay: no configuration: neither --config nor $PROXY_CONFIG is given
        dance: Some(1)
        pumicebay: unknown command "dance"; see pumicebay help
        check: Some(1)
        pumicebay: invalid option '--fast'
        : Some(1)
        pumicebay: no command; see pumicebay help
    "#]]
    .assert_eq(&trace);
}

#[test]
fn it_serves_tells_its_counters_and_ends_when_told_to() {
    let file = File::new("serve", &configuration(&[]).to_string());
    let mut child = program(&["serve"]).env("PROXY_CONFIG", file.path()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains("listens on 127.0.0.1:") || line.contains("discovery") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "ended before it listened");
    }
    let address = line.trim().rsplit(' ').next().unwrap().to_string();
    let counted = program(&["counters", &address]).output().unwrap();
    let counted = String::from_utf8_lossy(&counted.stdout).into_owned();
    assert!(counted.contains("clients_accepted 1\n") && counted.contains("exchanges_taken 0\n"), "{counted}");
    let killed = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(killed.success());
    let mut rest = String::new();
    log.read_to_string(&mut rest).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{rest}");
    let phases: Vec<&str> = rest.lines().filter_map(|line| line.rsplit("INFO ").next()).collect();
    let told = ["Draining", "Closing", "Stopped"].iter().all(|phase| phases.contains(phase));
    assert!(told && rest.contains("counters: clients_accepted 1, "), "{rest}");
}
