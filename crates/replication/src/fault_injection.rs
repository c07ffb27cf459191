//! Faults planted on purpose, to see that the tests find them. In a build without the feature nothing is planted and
//! nothing is asked.

pub use switch::{inject, is_injected};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// A sender's vector is taken with the first of several parts.
    VectorWithFirstChunk = 1,
    /// Orders of one lease are compared by time before their tokens.
    TimeBeforeToken,
    /// An order that puts a node back removes the one before it and is not kept itself.
    NoTombstones,
    /// A replica that was away for longer than dropped orders are kept keeps what had ended meanwhile.
    KeepsStaleCopy,
    /// A process that restarts goes on under the origin that it had, from its first version.
    ReusesIncarnation,
    /// Stamps from far in the future are taken.
    AcceptsFutureStamps,
}

impl Fault {
    pub const ALL: [Fault; 6] = [
        Fault::VectorWithFirstChunk,
        Fault::TimeBeforeToken,
        Fault::NoTombstones,
        Fault::KeepsStaleCopy,
        Fault::ReusesIncarnation,
        Fault::AcceptsFutureStamps,
    ];
}

#[cfg(feature = "planted")]
mod switch {
    std::thread_local!(static INJECTED: std::cell::Cell<u8> = const { std::cell::Cell::new(0) });

    /// Plants this fault, or none, for this thread.
    pub fn inject(fault: Option<super::Fault>) {
        INJECTED.set(fault.map_or(0, |fault| fault as u8));
    }

    pub fn is_injected(fault: super::Fault) -> bool {
        INJECTED.get() == fault as u8
    }
}

#[cfg(not(feature = "planted"))]
mod switch {
    pub fn inject(_fault: Option<super::Fault>) {}

    pub const fn is_injected(_fault: super::Fault) -> bool {
        false
    }
}
