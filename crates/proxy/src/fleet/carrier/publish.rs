//! The host of a publisher: reads and writes the record under the lease, and answers commands. It also holds
//! the lease.

use crate::fleet::carrier::handle::{Event, Handle};
use crate::fleet::lease::LeaseHandle;
use crate::fleet::voter_client::VoterClient;
use crate::fleet::wire::Frame;
use pumicebay_accord::{HeldLease, OperationKind, Reply, SharedRecord, Token};
use pumicebay_carrier::{ChangeOutcome, PublisherHost, Resource, Version, WriteOutcome};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The name of the lease, and of the value in the record.
pub const LEASE_NAME: &str = "carrier";
/// The time for which each grant of the lease is valid.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// The timeout of a read or write of the record. After it, whether a write was executed is unknown.
const RECORD_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after giving the lease back, so that another control machine can acquire it.
const RELEASE_PAUSE: Duration = Duration::from_secs(5);

/// An action that the publisher requested, to be executed by the actor.
pub enum Action {
    /// Pass settled changes to the tree node.
    Publish(Version, Vec<Resource>),
    /// Give the lease back, and drop the publisher.
    ReleaseLease,
}

/// The host of one publisher; it exists while the lease is held.
pub struct RecordHost {
    voter_client: VoterClient,
    handle: Handle,
    /// Identifies the publisher; answers to earlier publishers are ignored.
    pub number: u64,
    token: Token,
    /// Actions that were requested and are not yet executed.
    pub actions: Vec<Action>,
    /// Offers without an outcome yet, by the publisher's number of the proposal: the command's own number of
    /// the offer, and the link for the answer.
    pub pending_offers: BTreeMap<u64, (u64, mpsc::Sender<Frame>)>,
    /// The number of the newest proposal.
    last_proposal: u64,
}

impl RecordHost {
    /// Creates the host of the publisher with this number, which holds the lease with this token.
    pub fn new(voter_client: VoterClient, handle: Handle, number: u64, token: Token) -> RecordHost {
        RecordHost {
            voter_client,
            handle,
            number,
            token,
            actions: Vec::new(),
            pending_offers: BTreeMap::new(),
            last_proposal: 0,
        }
    }

    /// Registers an offer whose answer goes to this link, and returns the number of the proposal.
    pub fn add_pending_offer(&mut self, command: u64, link: mpsc::Sender<Frame>) -> u64 {
        self.last_proposal += 1;
        self.pending_offers.insert(self.last_proposal, (command, link));
        self.last_proposal
    }

    /// Answers all pending offers that their outcome is unknown.
    pub fn fail_pending_offers(&mut self) {
        for (command, link) in std::mem::take(&mut self.pending_offers).into_values() {
            let _ = link.try_send(Frame::ChangeOutcome(command, ChangeOutcome::Unknown));
        }
    }
}

impl PublisherHost for RecordHost {
    fn read_record(&mut self) {
        let (voter_client, handle, number) = (self.voter_client.clone(), self.handle.clone(), self.number);
        tokio::spawn(async move {
            let reply = voter_client.submit(OperationKind::Read, RECORD_TIMEOUT).await;
            handle.send(Event::RecordRead(number, reply)).await;
        });
    }

    fn write_record(&mut self, text: String, version: u64) {
        let (voter_client, handle, number) = (self.voter_client.clone(), self.handle.clone(), self.number);
        let fence = Some((LEASE_NAME.into(), self.token));
        let operation =
            OperationKind::Put { name: LEASE_NAME.into(), text, expected_version: Some(version), fence };
        tokio::spawn(async move {
            let reply = voter_client.submit(operation, RECORD_TIMEOUT).await;
            handle.send(Event::RecordWritten(number, reply)).await;
        });
    }

    fn publish(&mut self, version: Version, resources: Vec<Resource>) {
        self.actions.push(Action::Publish(version, resources));
    }

    fn answer(&mut self, number: u64, outcome: ChangeOutcome) {
        if let Some((command, link)) = self.pending_offers.remove(&number) {
            let _ = link.try_send(Frame::ChangeOutcome(command, outcome));
        }
    }

    fn release_lease(&mut self) {
        self.actions.push(Action::ReleaseLease);
    }
}

/// The time at which the record was founded, and the text and version of the value; `None` if there is no
/// value.
pub fn founding_and_value(record: &SharedRecord) -> (u64, Option<(&str, u64)>) {
    let value = record.0.values.get(LEASE_NAME).map(|entry| (entry.text.as_str(), entry.version));
    (record.0.founded, value)
}

/// Converts the reply to a write.
pub fn write_outcome(reply: Reply) -> WriteOutcome {
    match reply {
        Reply::Written(version) => WriteOutcome::Committed(version),
        Reply::Refused(why) => {
            tracing::warn!("carrier: the write to the record was refused: {why}");
            WriteOutcome::Refused
        }
        _ => WriteOutcome::Unknown,
    }
}

/// Tries to hold the lease until the process ends, and reports each change of the holder. Each message in
/// `release_requests` makes it give the lease back.
pub async fn hold_lease(voter_client: VoterClient, handle: Handle, mut release_requests: mpsc::Receiver<()>) {
    loop {
        let mut lease = LeaseHandle::acquire(voter_client.clone(), LEASE_NAME, LEASE_DURATION);
        let (mut held, mut holder) = (lease.held.clone(), lease.other_holder.clone());
        let mut reported: Option<(Option<HeldLease>, Option<String>)> = None;
        loop {
            let current = (*held.borrow_and_update(), holder.borrow_and_update().clone());
            // Another grant with the same token is only a renewal.
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
                    lease.release().await;
                    handle.send(Event::LeaseChanged(None, None)).await;
                    sleep(RELEASE_PAUSE).await;
                    break;
                }
            }
        }
    }
}
