//! Which tokens pass, and what is kept in mind of them.

use pumicebay_accord::{Fences, Passage};

#[test]
fn only_lower_tokens_are_late() {
    let mut fences = Fences::default();
    assert_eq!(fences.passes("a", 5), Passage::Passes);
    // Not kept yet, as the host may have failed to.
    assert_eq!(fences.passes("a", 4), Passage::Passes);
    fences.saw("a", 5);
    fences.saw("a", 3);
    assert_eq!(fences.passes("a", 4), Passage::Late(5));
    assert_eq!(fences.passes("a", 5), Passage::Passes);
    assert_eq!(fences.passes("b", 1), Passage::Passes);
}

#[test]
fn none_is_forgotten_for_another() {
    let mut fences = Fences::default();
    (0..Fences::LEASES).for_each(|lease| fences.saw(&format!("{lease}"), 7));
    assert_eq!(fences.passes("one more", 9), Passage::Full);
    assert_eq!(fences.passes("0", 6), Passage::Late(7));
    assert_eq!(fences.passes("0", 8), Passage::Passes);
}
