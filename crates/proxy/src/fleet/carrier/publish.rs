//! What a publisher asks for, carried out: reads and writes of the record under the lease, and answers to commands.

use crate::fleet::asker::Asker;
use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::lease::Lease;
use crate::fleet::wire::Frame;
use pumicebay_accord::{HeldLease, OperationKind, Reply, SharedRecord, Token};
use pumicebay_carrier::{ChangeOutcome, PublisherHost, Resource, Version, WriteOutcome};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The lease, and the value in the record.
pub const LEASE_NAME: &str = "carrier";
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// How long the voters are asked before it is not known whether it was done.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// Who gave the lease back lets others have it before it wants it again.
const RELEASE_PAUSE: Duration = Duration::from_secs(5);

/// What the decisions ask for, once the actor has the time.
pub enum Action {
    Publish(Version, Vec<Resource>),
    ReleaseLease,
}

/// The host of one publisher, for as long as its lease.
pub struct RecordHost {
    asker: Asker,
    handle: Handle,
    /// Of the publisher: answers to an earlier one count no more.
    pub number: u64,
    token: Token,
    pub actions: Vec<Action>,
    /// Who waits for what became of an offer, by the number that the publisher has for it, and that of the command.
    pub pending_offers: BTreeMap<u64, (u64, mpsc::Sender<Frame>)>,
    last_proposal: u64,
}

impl RecordHost {
    pub fn new(asker: Asker, handle: Handle, number: u64, token: Token) -> RecordHost {
        RecordHost {
            asker,
            handle,
            number,
            token,
            actions: Vec::new(),
            pending_offers: BTreeMap::new(),
            last_proposal: 0,
        }
    }

    /// A number for an offer, whose answer goes there.
    pub fn add_pending_offer(&mut self, command: u64, link: mpsc::Sender<Frame>) -> u64 {
        self.last_proposal += 1;
        self.pending_offers.insert(self.last_proposal, (command, link));
        self.last_proposal
    }

    /// Whoever still waits is told that it is not known.
    pub fn fail_pending_offers(&mut self) {
        for (command, link) in std::mem::take(&mut self.pending_offers).into_values() {
            let _ = link.try_send(Frame::Offered(command, ChangeOutcome::Unknown));
        }
    }
}

impl PublisherHost for RecordHost {
    fn read_record(&mut self) {
        let (asker, handle, number) = (self.asker.clone(), self.handle.clone(), self.number);
        tokio::spawn(async move {
            let reply = asker.want(OperationKind::Read, RECORD_TIMEOUT).await;
            handle.send(Event::RecordRead(number, reply)).await;
        });
    }

    fn write_record(&mut self, text: String, version: u64) {
        let (asker, handle, number) = (self.asker.clone(), self.handle.clone(), self.number);
        let fence = Some((LEASE_NAME.into(), self.token));
        let operation =
            OperationKind::Put { name: LEASE_NAME.into(), text, expected_version: Some(version), fence };
        tokio::spawn(async move {
            let reply = asker.want(operation, RECORD_TIMEOUT).await;
            handle.send(Event::RecordWritten(number, reply)).await;
        });
    }

    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.actions.push(Action::Publish(version, resources));
    }

    fn answer(&mut self, number: u64, outcome: ChangeOutcome) {
        if let Some((command, link)) = self.pending_offers.remove(&number) {
            let _ = link.try_send(Frame::Offered(command, outcome));
        }
    }

    fn release_lease(&mut self) {
        self.actions.push(Action::ReleaseLease);
    }
}

/// When the record was founded, and the value in it.
pub fn founding_and_value(record: &SharedRecord) -> (u64, Option<(&str, u64)>) {
    let value = record.0.values.get(LEASE_NAME).map(|entry| (entry.text.as_str(), entry.version));
    (record.0.founded, value)
}

pub fn write_outcome(reply: Reply) -> WriteOutcome {
    match reply {
        Reply::Written(version) => WriteOutcome::Committed(version),
        Reply::Refused(why) => {
            tracing::warn!("carrier: the record was not written: {why}");
            WriteOutcome::Refused
        }
        _ => WriteOutcome::Unknown,
    }
}

/// Wants the lease as long as the process lives, and says who has it. `release_requests` has a word in it each time it is to be release_requests
/// back.
pub async fn hold_lease(asker: Asker, handle: Handle, mut release_requests: mpsc::Receiver<()>) {
    loop {
        let mut lease = Lease::want(asker.clone(), LEASE_NAME, LEASE_DURATION);
        let (mut held, mut holder) = (lease.held.clone(), lease.holder.clone());
        let mut reported: Option<(Option<HeldLease>, Option<String>)> = None;
        loop {
            let current = (*held.borrow_and_update(), holder.borrow_and_update().clone());
            // Another grant of the same token only prolongs it.
            let token = |held: &Option<HeldLease>| held.map(|held| held.token);
            let same = reported
                .as_ref()
                .is_some_and(|(was, by)| token(was) == token(&current.0) && *by == current.1);
            if !same {
                handle.send(Event::LeaseChanged(current.0, current.1.clone())).await;
                reported = Some(current);
            }
            tokio::select! {
                changed = held.changed() => if changed.is_err() { break },
                changed = holder.changed() => if changed.is_err() { break },
                request = release_requests.recv() => {
                    if request.is_none() {
                        return;
                    }
                    lease.give_back().await;
                    handle.send(Event::LeaseChanged(None, None)).await;
                    sleep(RELEASE_PAUSE).await;
                    break;
                }
            }
        }
    }
}
