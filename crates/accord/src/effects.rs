//! A host that records what a voter requests, so that it can be carried out once the voter has handled an
//! event.

use crate::Nanos;
use crate::message::{Answer, Message, SharedRecord};
use crate::record::StoreId;
use crate::voter::{DurableState, Host, Voter, VotingState};

/// The requests of a voter, in order.
#[derive(Debug, Default)]
pub struct Effects {
    /// States to persist. The last one must be on disk before any message or answer below is sent.
    pub to_persist: Vec<DurableState>,
    /// Messages to voters, by store.
    pub messages: Vec<(StoreId, Message)>,
    /// Answers to operations.
    pub answers: Vec<Answer>,
    /// Records that were found to be committed.
    pub committed: Vec<SharedRecord>,
    /// The earliest time at which the voter wants to be woken.
    pub wake_at: Option<Nanos>,
    /// The voting state, if it has changed.
    pub voting_state: Option<VotingState>,
    /// The random number between 0 and 1 that the voter gets, drawn by the owner of this value.
    pub random: f64,
}

impl Effects {
    /// Delivers the messages that the voter sent to itself: they need no link.
    pub fn deliver_to_self(&mut self, now: Nanos, voter: &mut Voter) {
        let own_store = voter.durable_state().store;
        while let Some(at) = self.messages.iter().position(|(to, _)| *to == own_store) {
            let (_, message) = self.messages.remove(at);
            voter.message_received(now, own_store, message, self);
        }
    }
}

impl Host for Effects {
    fn persist(&mut self, state: &DurableState) {
        self.to_persist.push(state.clone());
    }
    fn send(&mut self, to: StoreId, message: Message) {
        self.messages.push((to, message));
    }
    fn answer(&mut self, answer: Answer) {
        self.answers.push(answer);
    }
    fn committed(&mut self, record: &SharedRecord) {
        self.committed.push(record.clone());
    }
    fn wake_at(&mut self, at: Nanos) {
        self.wake_at = Some(self.wake_at.map_or(at, |set| set.min(at)));
    }
    fn random(&mut self) -> f64 {
        self.random
    }
    fn voting_state_changed(&mut self, state: VotingState) {
        self.voting_state = Some(state);
    }
}
