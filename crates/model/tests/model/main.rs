//! Tests of the model: properties under random events, and the behaviour of each part.

mod days;
mod laws;
mod nodes;
