//! Fencing: which tokens are accepted, and what is remembered of them.

use pumicebay_accord::{FenceCheck, FencingTokens};

/// Guards against a former lease holder that still acts, and against refusing the present holder.
#[test]
fn only_lower_tokens_are_superseded() {
    let mut tokens = FencingTokens::default();
    assert_eq!(tokens.check("a", 5), FenceCheck::Current);
    // A check alone remembers nothing: the host may have failed to store the token.
    assert_eq!(tokens.check("a", 4), FenceCheck::Current);
    tokens.observe("a", 5);
    tokens.observe("a", 3);
    assert_eq!(tokens.check("a", 4), FenceCheck::Superseded(5));
    assert_eq!(tokens.check("a", 5), FenceCheck::Current);
    assert_eq!(tokens.check("b", 1), FenceCheck::Current);
}

/// Guards against forgetting the token of one lease when too many others become known.
#[test]
fn no_lease_is_forgotten_for_another() {
    let mut tokens = FencingTokens::default();
    (0..FencingTokens::MAX_LEASES).for_each(|lease| tokens.observe(&format!("{lease}"), 7));
    assert_eq!(tokens.check("one more", 9), FenceCheck::TooManyLeases);
    assert_eq!(tokens.check("0", 6), FenceCheck::Superseded(7));
    assert_eq!(tokens.check("0", 8), FenceCheck::Current);
}
