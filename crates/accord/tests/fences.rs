//! Which tokens pass, and what is kept in mind of them.

use pumicebay_accord::{FenceCheck, FencingTokens};

#[test]
fn only_lower_tokens_are_late() {
    let mut tokens = FencingTokens::default();
    assert_eq!(tokens.check("a", 5), FenceCheck::Current);
    // Not kept yet, as the host may have failed to.
    assert_eq!(tokens.check("a", 4), FenceCheck::Current);
    tokens.observe("a", 5);
    tokens.observe("a", 3);
    assert_eq!(tokens.check("a", 4), FenceCheck::Superseded(5));
    assert_eq!(tokens.check("a", 5), FenceCheck::Current);
    assert_eq!(tokens.check("b", 1), FenceCheck::Current);
}

#[test]
fn none_is_forgotten_for_another() {
    let mut tokens = FencingTokens::default();
    (0..FencingTokens::MAX_LEASES).for_each(|lease| tokens.observe(&format!("{lease}"), 7));
    assert_eq!(tokens.check("one more", 9), FenceCheck::TooManyLeases);
    assert_eq!(tokens.check("0", 6), FenceCheck::Superseded(7));
    assert_eq!(tokens.check("0", 8), FenceCheck::Current);
}
