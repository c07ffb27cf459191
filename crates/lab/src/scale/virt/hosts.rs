//! What nodes and publishers ask for, noted down in order.

use pumicebay_carrier::{
    ChangeOutcome, ChildId, ChildMessage, Host, ParentMessage, PublisherHost, Resource, Snapshot, Version,
};
use rand::RngExt;
use rand::rngs::SmallRng;

/// What a node asked for, in order.
pub(super) enum Act {
    Dial(String),
    HangUp,
    Up(ChildMessage),
    Down(ChildId, ParentMessage),
    Drop(ChildId),
    Force(Version, Vec<Resource>),
    Keep(Snapshot),
}

pub(super) struct Acts<'a> {
    pub(super) acts: Vec<Act>,
    pub(super) random: &'a mut SmallRng,
    pub(super) keeps: bool,
}

impl Host for Acts<'_> {
    fn connect_parent(&mut self, parent: &str) {
        self.acts.push(Act::Dial(parent.into()));
    }
    fn disconnect_parent(&mut self) {
        self.acts.push(Act::HangUp);
    }
    fn send_to_parent(&mut self, message: ChildMessage) {
        self.acts.push(Act::Up(message));
    }
    fn send_to_child(&mut self, child: ChildId, message: ParentMessage) {
        self.acts.push(Act::Down(child, message));
    }
    fn disconnect_child(&mut self, child: ChildId) {
        self.acts.push(Act::Drop(child));
    }
    fn apply(&mut self, version: Version, resources: Vec<Resource>) {
        self.acts.push(Act::Force(version, resources));
    }
    fn persist(&mut self, kept: &Snapshot) {
        // Of a disk that is never read again the version is enough.
        let kept = match self.keeps {
            true => kept.clone(),
            false => Snapshot { version: kept.version, ..Snapshot::default() },
        };
        self.acts.push(Act::Keep(kept));
    }
    fn random(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }
}

pub(super) enum PublisherAct {
    Read,
    Write(String, u64),
    Publish(Version, Vec<Resource>),
    Answer(u64, ChangeOutcome),
    GiveBack,
}

#[derive(Default)]
pub(super) struct PublisherActs(pub(super) Vec<PublisherAct>);

impl PublisherHost for PublisherActs {
    fn read_record(&mut self) {
        self.0.push(PublisherAct::Read);
    }
    fn write_record(&mut self, text: String, version: u64) {
        self.0.push(PublisherAct::Write(text, version));
    }
    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.0.push(PublisherAct::Publish(version, resources));
    }
    fn answer(&mut self, number: u64, outcome: ChangeOutcome) {
        self.0.push(PublisherAct::Answer(number, outcome));
    }
    fn release_lease(&mut self) {
        self.0.push(PublisherAct::GiveBack);
    }
}
