//! The history checker on small histories: it must accept a consistent one and report a stale read, two
//! writes with one version, and a write over a version that was no longer the newest.

use pumicebay_lab::rig::history::{Operation, check};

fn operation(
    client: &str,
    write: bool,
    times: (f64, f64),
    text: &str,
    version: Option<u64>,
    over: u64,
) -> Operation {
    Operation {
        client: client.into(),
        write,
        begin: times.0,
        end: times.1,
        value: text.into(),
        version,
        expected_version: over,
    }
}

#[test]
fn what_fits_passes_and_what_does_not_is_told() {
    let consistent = [
        operation("a", true, (0.0, 1.0), "x", Some(3), 0),
        operation("b", false, (0.5, 0.6), "x", Some(3), 0),
        operation("a", true, (2.0, 9.0), "y", None, 3),
        operation("b", false, (3.0, 4.0), "y", Some(5), 0),
    ];
    assert!(check(&consistent).is_empty());
    let stale_read = [
        operation("a", true, (0.0, 1.0), "x", Some(3), 0),
        operation("b", false, (2.0, 3.0), "w", Some(2), 0),
    ];
    let duplicate_version = [
        operation("a", true, (0.0, 1.0), "x", Some(3), 0),
        operation("b", true, (0.0, 1.0), "y", Some(3), 0),
    ];
    let lost_update = [
        operation("a", true, (0.0, 1.0), "x", Some(3), 0),
        operation("b", true, (0.5, 2.0), "y", Some(4), 2),
    ];
    for inconsistent in [&stale_read[..], &duplicate_version, &lost_update] {
        assert!(!check(inconsistent).is_empty(), "{inconsistent:?}");
    }
}
