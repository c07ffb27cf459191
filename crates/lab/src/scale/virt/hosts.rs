//! What nodes and publishers ask for, noted down in order.

use pumicebay_carrier::{Child, Down, Host, Kept, Outcome, PublisherHost, Resource, Up, Version};
use rand::RngExt;
use rand::rngs::SmallRng;

/// What a node asked for, in order.
pub(super) enum Act {
    Dial(String),
    HangUp,
    Up(Up),
    Down(Child, Down),
    Drop(Child),
    Force(Version, Vec<Resource>),
    Keep(Kept),
}

pub(super) struct Acts<'a> {
    pub(super) acts: Vec<Act>,
    pub(super) random: &'a mut SmallRng,
    pub(super) keeps: bool,
}

impl Host for Acts<'_> {
    fn dial(&mut self, parent: &str) {
        self.acts.push(Act::Dial(parent.into()));
    }
    fn hang_up(&mut self) {
        self.acts.push(Act::HangUp);
    }
    fn send_up(&mut self, message: Up) {
        self.acts.push(Act::Up(message));
    }
    fn send_down(&mut self, child: Child, message: Down) {
        self.acts.push(Act::Down(child, message));
    }
    fn drop_child(&mut self, child: Child) {
        self.acts.push(Act::Drop(child));
    }
    fn put_in_force(&mut self, version: Version, resources: Vec<Resource>) {
        self.acts.push(Act::Force(version, resources));
    }
    fn keep(&mut self, kept: &Kept) {
        // Of a disk that is never read again the version is enough.
        let kept = match self.keeps {
            true => kept.clone(),
            false => Kept { version: kept.version, ..Kept::default() },
        };
        self.acts.push(Act::Keep(kept));
    }
    fn chance(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }
}

pub(super) enum PublisherAct {
    Read,
    Write(String, u64),
    Publish(Version, Vec<Resource>),
    Answer(u64, Outcome),
    GiveBack,
}

#[derive(Default)]
pub(super) struct PublisherActs(pub(super) Vec<PublisherAct>);

impl PublisherHost for PublisherActs {
    fn read(&mut self) {
        self.0.push(PublisherAct::Read);
    }
    fn write(&mut self, text: String, version: u64) {
        self.0.push(PublisherAct::Write(text, version));
    }
    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.0.push(PublisherAct::Publish(version, resources));
    }
    fn answer(&mut self, number: u64, outcome: Outcome) {
        self.0.push(PublisherAct::Answer(number, outcome));
    }
    fn give_back(&mut self) {
        self.0.push(PublisherAct::GiveBack);
    }
}
