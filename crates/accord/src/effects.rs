//! A host that only notes down what a voter asks for, to be carried out once something has happened to it.

use crate::Nanos;
use crate::message::{Answer, Message, Shared};
use crate::record::Store;
use crate::voter::{Host, Kept, Standing, Voter};

/// What a voter asked for, in order.
#[derive(Debug, Default)]
pub struct Acts {
    /// The last is what its disk is to have before anything below goes out.
    pub kept: Vec<Kept>,
    pub sent: Vec<(Store, Message)>,
    pub answers: Vec<Answer>,
    pub settled: Vec<Shared>,
    /// The earliest that it wants to be woken.
    pub wake: Option<Nanos>,
    pub standing: Option<Standing>,
    /// What chance says meanwhile, drawn by whoever owns this.
    pub chance: f64,
}

impl Acts {
    /// What a voter says to itself needs no link, only its turn.
    pub fn hear_itself(&mut self, now: Nanos, voter: &mut Voter) {
        let own = voter.kept().store;
        while let Some(at) = self.sent.iter().position(|(to, _)| *to == own) {
            let (_, message) = self.sent.remove(at);
            voter.got(now, own, message, self);
        }
    }
}

impl Host for Acts {
    fn keep(&mut self, kept: &Kept) {
        self.kept.push(kept.clone());
    }
    fn send(&mut self, to: Store, message: Message) {
        self.sent.push((to, message));
    }
    fn answer(&mut self, answer: Answer) {
        self.answers.push(answer);
    }
    fn settled(&mut self, record: &Shared) {
        self.settled.push(record.clone());
    }
    fn wake(&mut self, at: Nanos) {
        self.wake = Some(self.wake.map_or(at, |set| set.min(at)));
    }
    fn chance(&mut self) -> f64 {
        self.chance
    }
    fn stands(&mut self, standing: Standing) {
        self.standing = Some(standing);
    }
}
