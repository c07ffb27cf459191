//! Settings that a newer configuration has replaced and that still bind for a while, because clients may not refer to the
//! newer ones yet. Each of several changes in a row must keep binding for its whole time, so none may be forgotten early.

use std::collections::VecDeque;

/// The most replaced values that are kept apart. Bounds the memory of changes in quick succession.
const MAX_REPLACED: usize = 32;

/// A value that can be restricted to what another one allows as well.
pub trait Restrict {
    /// Removes everything from this value that `other` does not allow.
    fn restrict(&mut self, other: &Self);
}

/// The value in force, and those that were replaced recently. `Time` is a point in time of any clock.
#[derive(Clone, Debug)]
pub struct Superseded<Time, Value> {
    current: Value,
    /// The oldest first, each with the time until which it binds.
    replaced: VecDeque<(Time, Value)>,
}

impl<Time: Copy + Ord, Value: Clone + PartialEq + Restrict> Superseded<Time, Value> {
    /// A value that replaces none.
    pub fn new(value: Value) -> Self {
        Superseded { current: value, replaced: VecDeque::new() }
    }

    /// The value in force, regardless of those that it has replaced.
    pub fn current(&self) -> &Value {
        &self.current
    }

    /// Puts another value in force. The one before binds until `binds_until`.
    pub fn replace(&mut self, now: Time, binds_until: Time, value: Value) {
        self.replaced.retain(|(until, _)| *until > now);
        if value == self.current {
            return;
        }
        let before = std::mem::replace(&mut self.current, value);
        self.replaced.push_back((binds_until, before));
        if self.replaced.len() > MAX_REPLACED {
            self.merge_oldest();
        }
    }

    /// What the value in force and all that still bind at this time allow.
    pub fn strictest(&self, now: Time) -> Value {
        let mut value = self.current.clone();
        let binding = self.replaced.iter().filter(|(until, _)| *until > now);
        binding.for_each(|(_, replaced)| value.restrict(replaced));
        value
    }

    /// Makes one of the two oldest values. It binds for as long as the later of them would.
    fn merge_oldest(&mut self) {
        let Some((oldest_until, oldest)) = self.replaced.pop_front() else { return };
        if let Some((until, next)) = self.replaced.front_mut() {
            next.restrict(&oldest);
            *until = oldest_until.max(*until);
        }
    }
}
