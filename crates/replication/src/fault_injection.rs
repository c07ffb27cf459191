//! Faults that tests inject to verify that they detect them. Without the feature `planted` no fault can be
//! injected, and the checks compile to `false`.

pub use switch::{inject, is_injected};

/// A fault in the protocol that can be switched on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Fault {
    /// The sender's vector is adopted with the first of several chunks instead of the last.
    VectorWithFirstChunk = 1,
    /// Orders of one lease are compared by time before their tokens.
    TimeBeforeToken,
    /// An order that puts a node back into service removes the previous order and is not kept itself.
    NoTombstones,
    /// A replica that was disconnected for longer than the retention keeps orders that have been superseded
    /// in the meantime.
    KeepsStaleCopy,
    /// A restarted process reuses its previous identity and starts again at its first version.
    ReusesIncarnation,
    /// Orders with stamps far in the future are accepted.
    AcceptsFutureStamps,
}

impl Fault {
    /// All faults.
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

    /// Injects this fault, or none, on the current thread.
    pub fn inject(fault: Option<super::Fault>) {
        INJECTED.set(fault.map_or(0, |fault| fault as u8));
    }

    /// Whether this fault is injected on the current thread.
    pub fn is_injected(fault: super::Fault) -> bool {
        INJECTED.get() == fault as u8
    }
}

#[cfg(not(feature = "planted"))]
mod switch {
    /// Does nothing without the feature `planted`.
    pub fn inject(_fault: Option<super::Fault>) {}

    /// Always false without the feature `planted`.
    pub const fn is_injected(_fault: super::Fault) -> bool {
        false
    }
}
