//! The checker of histories, over small ones.

use pumicebay_lab::rig::history::{Operation, check};

fn op(who: &str, write: bool, times: (f64, f64), text: &str, version: Option<u64>, over: u64) -> Operation {
    Operation {
        client: who.into(),
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
    let fits = [
        op("a", true, (0.0, 1.0), "x", Some(3), 0),
        op("b", false, (0.5, 0.6), "x", Some(3), 0),
        op("a", true, (2.0, 9.0), "y", None, 3),
        op("b", false, (3.0, 4.0), "y", Some(5), 0),
    ];
    assert!(check(&fits).is_empty());
    let stale = [op("a", true, (0.0, 1.0), "x", Some(3), 0), op("b", false, (2.0, 3.0), "w", Some(2), 0)];
    let split = [op("a", true, (0.0, 1.0), "x", Some(3), 0), op("b", true, (0.0, 1.0), "y", Some(3), 0)];
    let lost = [op("a", true, (0.0, 1.0), "x", Some(3), 0), op("b", true, (0.5, 2.0), "y", Some(4), 2)];
    for wrong in [&stale[..], &split, &lost] {
        assert!(!check(wrong).is_empty(), "{wrong:?}");
    }
}
