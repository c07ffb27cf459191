//! Faults planted on purpose, to see that the proofs find them. In a build without the feature nothing is planted and
//! nothing is asked.

pub use now::{plant, planted};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A voter answers before its disk has what it says.
    AnswerBeforeSync = 1,
    /// A holder counts its time from the answer.
    LeaseCountedFromAnswer,
    /// A lease goes to another under the old token.
    TokenNotIncremented,
    /// Neither side allows for clocks that differ.
    DriftIgnored,
    /// A voter that comes back empty votes as if it remembered.
    EmptyDiskVotes,
    /// A renewal that comes late brings an ended lease back to its old holder.
    LateRenewalRevivesLease,
    /// A write under a lease does not look at the token.
    FencingTokenIgnored,
    /// One voter settles a change alone.
    MinorityCommits,
    /// A voter takes a renewal for one that it has seen before, and so judges a lease too old.
    RenewalNotObserved,
    /// What is asked next is built on an exchange of voters that is not settled yet.
    UncommittedVoterChange,
}

impl Fault {
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

    /// Plants this fault, or none, for this thread.
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

    /// Plants this fault, or none, in the whole process.
    pub fn plant(fault: Option<super::Fault>) {
        PLANTED.store(fault.map_or(0, |fault| fault as u8), Ordering::Relaxed);
    }

    pub fn planted(fault: super::Fault) -> bool {
        PLANTED.load(Ordering::Relaxed) == fault as u8
    }
}

#[cfg(not(any(test, feature = "planted")))]
mod now {
    /// Nothing can be planted in this build.
    pub fn plant(_: Option<super::Fault>) {}

    #[inline(always)]
    pub fn planted(_: super::Fault) -> bool {
        false
    }
}
