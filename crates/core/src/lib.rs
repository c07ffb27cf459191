//! The decisions of pumicebay, free of wire, I/O and clock. Start reading at [`balance`].

pub mod balance;
pub mod classes;
pub mod fetches;
pub mod fleet;
pub mod groups;
pub mod host;
pub mod policy;
pub mod ranks;
pub mod ring;
pub mod settings;
pub mod state;
pub mod status;
pub mod table;
pub mod turns;

pub use balance::Balance;
pub use host::{Ask, GiveUp, Held, Host, Listed, Nanos, Node, Outcome, RequestId, Standing};
pub use settings::Settings;
pub use status::Status;
