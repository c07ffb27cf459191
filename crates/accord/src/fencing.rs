//! What an act's token is held against by whatever it acts on: the highest that was seen of each lease.

use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// What becomes of an act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// Its token is the highest so far.
    Passes,
    /// Another has had a higher one since, which is given.
    Late(Token),
    /// Too many leases are known already to keep this one in mind.
    Full,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fences(BTreeMap<Name, Token>);

impl Fences {
    /// Leases that are kept in mind. None is ever forgotten: its next call could come with a lower token.
    pub const LEASES: usize = 256;

    /// What was seen before: by another process, or in an earlier life.
    pub fn saw(&mut self, lease: &str, token: Token) {
        let known = self.0.entry(lease.into()).or_default();
        *known = token.max(*known);
    }

    /// Whether an act under this token may go on. It changes nothing: what passes is kept first, and `saw` after.
    pub fn passes(&self, lease: &str, token: Token) -> Passage {
        match self.0.get(lease) {
            Some(&highest) if token < highest => Passage::Late(highest),
            None if self.0.len() >= Fences::LEASES => Passage::Full,
            _ => Passage::Passes,
        }
    }
}
