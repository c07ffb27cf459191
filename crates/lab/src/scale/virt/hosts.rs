//! Hosts of nodes and publishers that record the requested effects, in order.

use pumicebay_carrier::{
    ChangeOutcome, ChildId, ChildMessage, Host, ParentMessage, PublisherHost, Resource, Snapshot, Version,
};
use rand::RngExt;
use rand::rngs::SmallRng;

/// Effect that a node requests.
pub(super) enum NodeEffect {
    ConnectParent(String),
    DisconnectParent,
    SendToParent(ChildMessage),
    SendToChild(ChildId, ParentMessage),
    DisconnectChild(ChildId),
    Apply(Version, Vec<Resource>),
    Persist(Snapshot),
}

/// Host of a node during one call.
pub(super) struct NodeEffects<'a> {
    pub(super) effects: Vec<NodeEffect>,
    pub(super) random: &'a mut SmallRng,
    pub(super) disk_is_read: bool,
}

impl Host for NodeEffects<'_> {
    fn connect_parent(&mut self, parent: &str) {
        self.effects.push(NodeEffect::ConnectParent(parent.into()));
    }
    fn disconnect_parent(&mut self) {
        self.effects.push(NodeEffect::DisconnectParent);
    }
    fn send_to_parent(&mut self, message: ChildMessage) {
        self.effects.push(NodeEffect::SendToParent(message));
    }
    fn send_to_child(&mut self, child: ChildId, message: ParentMessage) {
        self.effects.push(NodeEffect::SendToChild(child, message));
    }
    fn disconnect_child(&mut self, child: ChildId) {
        self.effects.push(NodeEffect::DisconnectChild(child));
    }
    fn apply(&mut self, version: Version, resources: Vec<Resource>) {
        self.effects.push(NodeEffect::Apply(version, resources));
    }
    fn persist(&mut self, snapshot: &Snapshot) {
        // A disk that is never read needs only the version, which saves memory.
        let snapshot = match self.disk_is_read {
            true => snapshot.clone(),
            false => Snapshot { version: snapshot.version, ..Snapshot::default() },
        };
        self.effects.push(NodeEffect::Persist(snapshot));
    }
    fn random(&mut self) -> f64 {
        self.random.random_range(0.0..1.0)
    }
}

/// Effect that a publisher requests.
pub(super) enum PublisherEffect {
    Read,
    Write(String, u64),
    Publish(Version, Vec<Resource>),
    Answer(u64, ChangeOutcome),
    ReleaseLease,
}

/// Host of a publisher during one call.
#[derive(Default)]
pub(super) struct PublisherEffects(pub(super) Vec<PublisherEffect>);

impl PublisherHost for PublisherEffects {
    fn read_record(&mut self) {
        self.0.push(PublisherEffect::Read);
    }
    fn write_record(&mut self, text: String, version: u64) {
        self.0.push(PublisherEffect::Write(text, version));
    }
    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.0.push(PublisherEffect::Publish(version, resources));
    }
    fn answer(&mut self, number: u64, outcome: ChangeOutcome) {
        self.0.push(PublisherEffect::Answer(number, outcome));
    }
    fn release_lease(&mut self) {
        self.0.push(PublisherEffect::ReleaseLease);
    }
}
