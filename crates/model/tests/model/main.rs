//! Tests of the model: properties under random events, and the behaviour of each part.

mod invariants;
mod nodes;
mod scenario;
