//! A host that only notes down what a replica asks for, to be carried out once something has happened to it.

use crate::link::LinkId;
use crate::map::Kept;
use crate::message::Message;
use crate::order::Service;
use crate::replica::{Host, Report};
use std::collections::VecDeque;

/// One thing that a replica asked for, see [`Host`].
#[derive(Debug)]
pub enum Act {
    Dial(String),
    Send(LinkId, Message),
    Close(LinkId),
    Apply(String, Service),
    Keep(Kept),
    Report(Report),
}

/// What a replica asked for, in order.
pub struct Acts {
    pub acts: VecDeque<Act>,
    random: oorandom::Rand64,
}

impl Acts {
    /// Nothing yet; chance is drawn from this seed.
    pub fn new(seed: u64) -> Acts {
        Acts { acts: VecDeque::new(), random: oorandom::Rand64::new(u128::from(seed)) }
    }
}

impl Host for Acts {
    fn dial(&mut self, peer: &str) {
        self.acts.push_back(Act::Dial(peer.into()));
    }
    fn send(&mut self, link: LinkId, message: Message) {
        self.acts.push_back(Act::Send(link, message));
    }
    fn close(&mut self, link: LinkId) {
        self.acts.push_back(Act::Close(link));
    }
    fn apply(&mut self, node: &str, service: Service) {
        self.acts.push_back(Act::Apply(node.into(), service));
    }
    fn keep(&mut self, kept: Kept) {
        self.acts.push_back(Act::Keep(kept));
    }
    fn report(&mut self, report: Report) {
        self.acts.push_back(Act::Report(report));
    }
    fn chance(&mut self) -> f64 {
        self.random.rand_float()
    }
}
