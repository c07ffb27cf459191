//! A host that only notes down what a replica asks for, to be carried out once something has happened to it.

use crate::link::LinkId;
use crate::map::Snapshot;
use crate::message::Message;
use crate::order::ServiceState;
use crate::replica::{Host, Report};
use std::collections::VecDeque;

/// One thing that a replica asked for, see [`Host`].
#[derive(Debug)]
pub enum Action {
    Dial(String),
    Send(LinkId, Message),
    Close(LinkId),
    Apply(String, ServiceState),
    Persist(Snapshot),
    Report(Report),
}

/// What a replica asked for, in order.
pub struct ActionQueue {
    pub actions: VecDeque<Action>,
    random: oorandom::Rand64,
}

impl ActionQueue {
    /// Nothing yet; chance is drawn from this seed.
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
