//! Laws that the model keeps whatever happens, and what its parts do one by one.

mod days;
mod laws;
mod nodes;
