//! Fault injection: deliberate faults that the tests must detect. The cargo feature `planted` compiles them
//! in; without it (and outside this crate's own tests) no fault can be injected and the checks compile to
//! nothing.

pub use now::{plant, planted};

/// A fault that can be injected. Tools select it by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A voter answers before its state is synced to disk.
    AnswerBeforeSync = 1,
    /// A holder counts the duration of its lease from the answer instead of from before the operation was
    /// sent.
    LeaseCountedFromAnswer,
    /// A lease passes to another holder under the old token.
    TokenNotIncremented,
    /// Neither the holder nor the voter allows for clock drift.
    DriftIgnored,
    /// A voter that restarts with an empty disk votes as if it remembered its promises.
    EmptyDiskVotes,
    /// A late renewal gives an ended lease back to its former holder.
    LateRenewalRevivesLease,
    /// A write under a lease does not check the token.
    FencingTokenIgnored,
    /// A single voter commits a change.
    MinorityCommits,
    /// A voter mistakes a renewal for a lease state that it has already observed, and so takes the lease for
    /// older than it is.
    RenewalNotObserved,
    /// A voter builds the next change on a change of voters that is not committed yet.
    UncommittedVoterChange,
}

impl Fault {
    /// All faults, in the order of their numbers.
    pub const ALL: [Fault; 10] = [
        Fault::AnswerBeforeSync,
        Fault::LeaseCountedFromAnswer,
        Fault::TokenNotIncremented,
        Fault::DriftIgnored,
        Fault::EmptyDiskVotes,
        Fault::LateRenewalRevivesLease,
        Fault::FencingTokenIgnored,
        Fault::MinorityCommits,
        Fault::RenewalNotObserved,
        Fault::UncommittedVoterChange,
    ];
}

#[cfg(test)]
mod now {
    std::thread_local!(static PLANTED: std::cell::Cell<u8> = const { std::cell::Cell::new(0) });

    /// Injects this fault, or none, in this thread.
    pub fn plant(fault: Option<super::Fault>) {
        PLANTED.set(fault.map_or(0, |fault| fault as u8));
    }

    pub fn planted(fault: super::Fault) -> bool {
        PLANTED.get() == fault as u8
    }
}

#[cfg(all(feature = "planted", not(test)))]
mod now {
    use std::sync::atomic::{AtomicU8, Ordering};

    static PLANTED: AtomicU8 = AtomicU8::new(0);

    /// Injects this fault, or none, in the whole process.
    pub fn plant(fault: Option<super::Fault>) {
        PLANTED.store(fault.map_or(0, |fault| fault as u8), Ordering::Relaxed);
    }

    pub fn planted(fault: super::Fault) -> bool {
        PLANTED.load(Ordering::Relaxed) == fault as u8
    }
}

#[cfg(not(any(test, feature = "planted")))]
mod now {
    /// Does nothing: this build has no fault injection.
    pub fn plant(_: Option<super::Fault>) {}

    #[inline(always)]
    pub fn planted(_: super::Fault) -> bool {
        false
    }
}
