//! Deliberate faults that tests inject to check that they would detect them. Only builds with the feature
//! `planted` can inject one; in all others the check is a constant `false`.

pub use injection::{inject_fault, is_injected};

/// A deliberate fault in the decisions of this crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum InjectedFault {
    /// A summary reports the version that is held instead of the version that is in force.
    SummaryFromHeldVersion = 1,
    /// A parent sends what it holds to a child that holds a newer version, and the child accepts it.
    AcceptsOlderVersion,
    /// The first part of a delta is treated as the complete delta.
    AppliesIncompleteDelta,
    /// A child is forgotten as soon as its link is lost.
    ForgetsLostChildren,
}

impl InjectedFault {
    /// Every fault that can be injected.
    pub const ALL: [InjectedFault; 4] = [
        InjectedFault::SummaryFromHeldVersion,
        InjectedFault::AcceptsOlderVersion,
        InjectedFault::AppliesIncompleteDelta,
        InjectedFault::ForgetsLostChildren,
    ];
}

#[cfg(feature = "planted")]
mod injection {
    std::thread_local!(static INJECTED: std::cell::Cell<u8> = const { std::cell::Cell::new(0) });

    /// Injects this fault into the current thread, or removes the injected one if `None`.
    pub fn inject_fault(fault: Option<super::InjectedFault>) {
        INJECTED.set(fault.map_or(0, |fault| fault as u8));
    }

    /// Whether this fault is injected into the current thread.
    pub fn is_injected(fault: super::InjectedFault) -> bool {
        INJECTED.get() == fault as u8
    }
}

#[cfg(not(feature = "planted"))]
mod injection {
    /// Does nothing: this build has no fault injection.
    pub fn inject_fault(_: Option<super::InjectedFault>) {}

    /// Always `false`: this build has no fault injection.
    #[inline(always)]
    pub fn is_injected(_: super::InjectedFault) -> bool {
        false
    }
}
