//! Fencing: a resource compares the token of each action with the highest token that it has seen of the same
//! lease, so that a former holder of the lease can no longer act.

use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// The result of checking an action's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceCheck {
    /// No higher token of the lease is known: the action may go on.
    Current,
    /// A higher token, which is given, has been used since.
    Superseded(Token),
    /// Too many leases are known already to remember another one.
    TooManyLeases,
}

/// The highest known token of each lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FencingTokens(BTreeMap<Name, Token>);

impl FencingTokens {
    /// How many leases are remembered. None is ever forgotten, as an action under a lower token could still
    /// come.
    pub const MAX_LEASES: usize = 256;

    /// Records a token that was used before: by this process, by another one, or in an earlier incarnation.
    pub fn observe(&mut self, lease: &str, token: Token) {
        let known = self.0.entry(lease.into()).or_default();
        *known = token.max(*known);
    }

    /// Checks whether an action under this token may go on. Changes nothing: the caller first stores a token
    /// that passes, and then calls [`observe`](FencingTokens::observe).
    pub fn check(&self, lease: &str, token: Token) -> FenceCheck {
        match self.0.get(lease) {
            Some(&highest) if token < highest => FenceCheck::Superseded(highest),
            None if self.0.len() >= FencingTokens::MAX_LEASES => FenceCheck::TooManyLeases,
            _ => FenceCheck::Current,
        }
    }
}
