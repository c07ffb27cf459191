//! Faults planted on purpose, to see that the proofs find them. In a build without the feature nothing is planted and
//! nothing is asked.

pub use now::{plant, planted};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A sum is taken from what is held, not from what is in force.
    SumOfHeld = 1,
    /// A parent sends what it holds to a child that holds a newer version, and the child takes it.
    TakesOlder,
    /// A part of a difference is taken for the whole of it.
    PartForAll,
    /// A child whose link is lost is forgotten at once.
    ForgetsLost,
}

impl Fault {
    pub const ALL: [Fault; 4] = [Fault::SumOfHeld, Fault::TakesOlder, Fault::PartForAll, Fault::ForgetsLost];
}

#[cfg(feature = "planted")]
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

#[cfg(not(feature = "planted"))]
mod now {
    /// Nothing can be planted in this build.
    pub fn plant(_: Option<super::Fault>) {}

    #[inline(always)]
    pub fn planted(_: super::Fault) -> bool {
        false
    }
}
