//! What an act's token is held against by whatever it acts on: the highest that was seen of each lease.

use crate::record::{Name, Token};
use std::collections::BTreeMap;

/// Leases that are kept in mind. None is ever forgotten: its next call could come with a lower token.
const LEASES: usize = 256;

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
    /// What was seen before: by another process, or in an earlier life.
    pub fn saw(&mut self, lease: &str, token: Token) {
        let known = self.0.entry(lease.into()).or_default();
        *known = token.max(*known);
    }

    /// Whether an act under this token may go on. It changes nothing: what passes is kept first, and `saw` after.
    pub fn passes(&self, lease: &str, token: Token) -> Passage {
        match self.0.get(lease) {
            Some(&highest) if token < highest => Passage::Late(highest),
            None if self.0.len() >= LEASES => Passage::Full,
            _ => Passage::Passes,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        (0..LEASES).for_each(|lease| fences.saw(&format!("{lease}"), 7));
        assert_eq!(fences.passes("one more", 9), Passage::Full);
        assert_eq!(fences.passes("0", 6), Passage::Late(7));
        assert_eq!(fences.passes("0", 8), Passage::Passes);
    }
}
