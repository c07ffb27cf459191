//! Attempts at cache nodes and at the origin, and the connections that carry them. What this costs follows from what is
//! sent, never from how many nodes are listed. It decides nothing: the decisions say what goes where.

pub mod attempt;
pub mod connection;
pub mod forms;
pub mod pool;
