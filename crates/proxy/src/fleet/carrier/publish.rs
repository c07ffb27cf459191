//! What a publisher asks for, carried out: reads and writes of the record under the lease, and answers to commands.

use crate::fleet::carrier::door::{Door, Event};
use crate::fleet::lease::LeaseHandle;
use crate::fleet::voter_client::VoterClient;
use crate::fleet::wire::Frame;
use pumicebay_accord::{HeldLease, OperationKind, Reply, SharedRecord, Token};
use pumicebay_carrier::{ChangeOutcome, PublisherHost, Resource, Version, WriteOutcome};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The lease, and the value in the record.
pub const NAME: &str = "carrier";
pub const LEASE: Duration = Duration::from_secs(3);
/// How long the voters are asked before it is not known whether it was done.
const PATIENCE: Duration = Duration::from_secs(2);
/// Who gave the lease back lets others have it before it wants it again.
const AFTER_GIVING_BACK: Duration = Duration::from_secs(5);

/// What the decisions ask for, once the actor has the time.
pub enum Act {
    Publish(Version, Vec<Resource>),
    GiveBack,
}

/// The host of one publisher, for as long as its lease.
pub struct Host {
    asker: VoterClient,
    door: Door,
    /// Of the publisher: answers to an earlier one count no more.
    pub number: u64,
    token: Token,
    pub acts: Vec<Act>,
    /// Who waits for what became of an offer, by the number that the publisher has for it, and that of the command.
    pub waiting: BTreeMap<u64, (u64, mpsc::Sender<Frame>)>,
    last: u64,
}

impl Host {
    pub fn new(asker: VoterClient, door: Door, number: u64, token: Token) -> Host {
        Host { asker, door, number, token, acts: Vec::new(), waiting: BTreeMap::new(), last: 0 }
    }

    /// A number for an offer, whose answer goes there.
    pub fn waits(&mut self, command: u64, link: mpsc::Sender<Frame>) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, (command, link));
        self.last
    }

    /// Whoever still waits is told that it is not known.
    pub fn end(&mut self) {
        for (command, link) in std::mem::take(&mut self.waiting).into_values() {
            let _ = link.try_send(Frame::ChangeOutcome(command, ChangeOutcome::Unknown));
        }
    }
}

impl PublisherHost for Host {
    fn read_record(&mut self) {
        let (asker, door, number) = (self.asker.clone(), self.door.clone(), self.number);
        tokio::spawn(async move {
            let reply = asker.submit(OperationKind::Read, PATIENCE).await;
            door.say(Event::Read(number, reply)).await;
        });
    }

    fn write_record(&mut self, text: String, version: u64) {
        let (asker, door, number) = (self.asker.clone(), self.door.clone(), self.number);
        let fence = Some((NAME.into(), self.token));
        let want = OperationKind::Put { name: NAME.into(), text, expected_version: Some(version), fence };
        tokio::spawn(async move {
            let reply = asker.submit(want, PATIENCE).await;
            door.say(Event::Written(number, reply)).await;
        });
    }

    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.acts.push(Act::Publish(version, resources));
    }

    fn answer(&mut self, number: u64, outcome: ChangeOutcome) {
        if let Some((command, link)) = self.waiting.remove(&number) {
            let _ = link.try_send(Frame::ChangeOutcome(command, outcome));
        }
    }

    fn release_lease(&mut self) {
        self.acts.push(Act::GiveBack);
    }
}

/// When the record was founded, and the value in it.
pub fn entry(record: &SharedRecord) -> (u64, Option<(&str, u64)>) {
    let entry = record.0.values.get(NAME).map(|entry| (entry.text.as_str(), entry.version));
    (record.0.founded, entry)
}

pub fn written(reply: Reply) -> WriteOutcome {
    match reply {
        Reply::Written(version) => WriteOutcome::Committed(version),
        Reply::Refused(why) => {
            tracing::warn!("carrier: the record was not written: {why}");
            WriteOutcome::Refused
        }
        _ => WriteOutcome::Unknown,
    }
}

/// Wants the lease as long as the process lives, and says who has it. `given` has a word in it each time it is to be given
/// back.
pub async fn want(asker: VoterClient, door: Door, mut given: mpsc::Receiver<()>) {
    loop {
        let mut lease = LeaseHandle::acquire(asker.clone(), NAME, LEASE);
        let (mut held, mut holder) = (lease.held.clone(), lease.other_holder.clone());
        let mut told: Option<(Option<HeldLease>, Option<String>)> = None;
        loop {
            let now = (*held.borrow_and_update(), holder.borrow_and_update().clone());
            // Another grant of the same token only prolongs it.
            let token = |held: &Option<HeldLease>| held.map(|held| held.token);
            let same = told.as_ref().is_some_and(|(was, by)| token(was) == token(&now.0) && *by == now.1);
            if !same {
                door.say(Event::Lease(now.0, now.1.clone())).await;
                told = Some(now);
            }
            tokio::select! {
                changed = held.changed() => if changed.is_err() { break },
                changed = holder.changed() => if changed.is_err() { break },
                asked = given.recv() => {
                    if asked.is_none() {
                        return;
                    }
                    lease.release().await;
                    door.say(Event::Lease(None, None)).await;
                    sleep(AFTER_GIVING_BACK).await;
                    break;
                }
            }
        }
    }
}
