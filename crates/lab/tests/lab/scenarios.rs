//! Invalid scenarios are refused with the reason and the line.

use expect_test::{Expect, expect};
use pumicebay_lab::scenario::{parse, read};

fn assert_refused(text: &str, expect: Expect) {
    let error = parse(text, &[]).expect_err("a scenario that is refused");
    expect.assert_eq(&format!("{error:#}"));
}

#[test]
fn unknown_and_wrong_keys_are_named_with_their_line() {
    assert_refused(
        "seconds = 20\n[clients]\nrates = 3",
        expect![[r#"
            TOML parse error at line 3, column 1
              |
            3 | rates = 3
              | ^^^^^
            unknown field `rates`, expected one of `rate`, `swing`, `swing_seconds`, `keys`, `zipf`, `drift`, `one_off`, `size_kb`, `warm_keys`, `retry`, `retries`, `wait_ms`, `notice_ms`"#]],
    );
    assert_refused(
        "[proxies]\ncount = \"two\"",
        expect![[r#"
            TOML parse error at line 2, column 9
              |
            2 | count = "two"
              |         ^^^^^
            invalid type: string "two", expected usize"#]],
    );
    assert_refused(
        "[clients]\nrate = 0\n\n[[fault]]\nkind = \"crash\"\nat = 99\nnodes = [\"n12\"]",
        expect![[r#"
            line 2: clients.rate: expected more than 0
            line 6: fault.0.at: expected 0 to 30
            line 7: fault.0.nodes: no "n12" in this scenario, expected n1 to n8"#]],
    );
}

#[test]
fn keys_can_be_set_and_files_stand_on_others() {
    let set = |key: &str, value: &str| vec![(key.to_string(), value.to_string())];
    let scenario =
        parse("[[route]]\nname = \"read\"", &set("route.0.objective_ms", "70")).expect("a valid scenario");
    assert_eq!(scenario.route[0].objective_ms, 70.0);
    assert!(parse("", &set("clients.rat", "70")).is_err());
    assert!(parse("", &set("route.3.share", "70")).is_err());
    let folder = tempfile::tempdir().expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("a file");
        path
    };
    file("base.toml", "seconds = 12\n[clients]\nrate = 70\nkeys = 9");
    let path = file("day.toml", "base = \"base.toml\"\n[clients]\nrate = 80");
    let scenario = read(&path, &[]).expect("a valid scenario");
    assert_eq!(
        (scenario.name.as_str(), scenario.seconds, scenario.clients.rate, scenario.clients.keys),
        ("day", 12.0, 80.0, 9)
    );
    let cyclic = file("endless.toml", "base = \"endless.toml\"");
    let error = format!("{:#}", read(&cyclic, &[]).expect_err("a file that is its own base"));
    assert!(error.contains("more than 8 files"), "{error}");
}
