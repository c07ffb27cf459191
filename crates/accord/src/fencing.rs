//! What an act's token is held against by whatever it acts on: the highest that was seen of each lease.

use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// What becomes of an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceCheck {
    /// Its token is the highest so far.
    Current,
    /// Another has had a higher one since, which is given.
    Superseded(Token),
    /// Too many leases are known already to keep this one in mind.
    TooManyLeases,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FencingTokens(BTreeMap<Name, Token>);

impl FencingTokens {
    /// Leases that are kept in mind. None is ever forgotten: its next call could come with a lower token.
    pub const MAX_LEASES: usize = 256;

    /// What was seen before: by another process, or in an earlier life.
    pub fn observe(&mut self, lease: &str, token: Token) {
        let known = self.0.entry(lease.into()).or_default();
        *known = token.max(*known);
    }

    /// Whether an act under this token may go on. It changes nothing: what passes is kept first, and `saw` after.
    pub fn check(&self, lease: &str, token: Token) -> FenceCheck {
        match self.0.get(lease) {
            Some(&highest) if token < highest => FenceCheck::Superseded(highest),
            None if self.0.len() >= FencingTokens::MAX_LEASES => FenceCheck::TooManyLeases,
            _ => FenceCheck::Current,
        }
    }
}
