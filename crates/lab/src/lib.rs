//! The lab runs scenarios against the balancing decisions in virtual time, or against real proxies on
//! loopback sockets, audits the rules that the proxy must keep, and compares policies and builds. Start
//! reading at [`cli`].

pub mod advertised_timeout;
pub mod audit;
pub mod baselines;
pub mod capacity;
pub mod cli;
pub mod compare;
pub mod hunt;
pub mod metrics;
pub mod operator_command;
pub mod platform;
pub mod policy;
pub mod progress;
pub mod real;
pub mod replicas;
pub mod report;
pub mod results;
pub mod rig;
pub mod scale;
pub mod scenario;
pub mod simulated_proxy;
pub mod stats;
pub mod sweep;
pub mod virt;
pub mod world;
