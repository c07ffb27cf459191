//! The decisions of pumicebay, free of wire, I/O and clock. Start reading at [`balance`].

pub mod balance;
pub mod fetches;
pub mod host;
pub mod ring;
pub mod settings;
pub mod state;
pub mod table;

pub use balance::Balance;
pub use host::{Ask, Host, Listed, Nanos, Node, Outcome, Standing, Xchg};
pub use settings::Settings;
