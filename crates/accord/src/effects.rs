//! A host that only notes down what a voter asks for, to be carried out once something has happened to it.

use crate::Nanos;
use crate::message::{Answer, Message, SharedRecord};
use crate::record::StoreId;
use crate::voter::{DurableState, Host, Voter, VotingState};

/// What a voter asked for, in order.
#[derive(Debug, Default)]
pub struct Effects {
    /// The last is what its disk is to have before anything below goes out.
    pub to_persist: Vec<DurableState>,
    pub messages: Vec<(StoreId, Message)>,
    pub answers: Vec<Answer>,
    pub committed: Vec<SharedRecord>,
    /// The earliest that it wants to be woken.
    pub wake_at: Option<Nanos>,
    pub voting_state: Option<VotingState>,
    /// What chance says meanwhile, drawn by whoever owns this.
    pub random: f64,
}

impl Effects {
    /// What a voter says to itself needs no link, only its turn.
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
