//! A [`Host`] that queues what a replica requests, so that the caller can carry it out after the replica's
//! method has returned.

use crate::link::LinkId;
use crate::map::Snapshot;
use crate::message::Message;
use crate::order::ServiceState;
use crate::replica::{Host, Report};
use std::collections::VecDeque;

/// An effect that a replica requested through [`Host`]; each variant corresponds to the method of that name.
#[derive(Debug)]
pub enum Action {
    /// Dial this peer.
    Dial(String),
    /// Send a message over a link.
    Send(LinkId, Message),
    /// Close a link.
    Close(LinkId),
    /// Take a node out of service or put it back.
    Apply(String, ServiceState),
    /// Write a snapshot to disk.
    Persist(Snapshot),
    /// Log or count an event.
    Report(Report),
}

/// The requested actions in the order of the calls, with a seeded random generator for the replica.
pub struct ActionQueue {
    /// Actions that the caller has not yet carried out, the oldest first.
    pub actions: VecDeque<Action>,
    random: oorandom::Rand64,
}

impl ActionQueue {
    /// Creates an empty queue; `seed` seeds the generator behind [`Host::random`].
    pub fn new(seed: u64) -> ActionQueue {
        ActionQueue { actions: VecDeque::new(), random: oorandom::Rand64::new(u128::from(seed)) }
    }
}

impl Host for ActionQueue {
    fn dial(&mut self, peer: &str) {
        self.actions.push_back(Action::Dial(peer.into()));
    }
    fn send(&mut self, link: LinkId, message: Message) {
        self.actions.push_back(Action::Send(link, message));
    }
    fn close(&mut self, link: LinkId) {
        self.actions.push_back(Action::Close(link));
    }
    fn apply(&mut self, node: &str, service: ServiceState) {
        self.actions.push_back(Action::Apply(node.into(), service));
    }
    fn persist(&mut self, snapshot: Snapshot) {
        self.actions.push_back(Action::Persist(snapshot));
    }
    fn report(&mut self, report: Report) {
        self.actions.push_back(Action::Report(report));
    }
    fn random(&mut self) -> f64 {
        self.random.rand_float()
    }
}
