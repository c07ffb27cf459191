//! The clients' side of the proxy: takes connections, reads commands and writes the replies in their order. What becomes
//! of a request is decided elsewhere.

pub mod client_stream;
mod commands;
mod connection;
pub mod frontend;
mod input;
pub mod listener;
pub mod pacing;
mod replies;
mod upload_arrival;
mod writer;
