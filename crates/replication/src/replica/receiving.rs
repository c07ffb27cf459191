//! Messages from peers: heartbeats, summaries, orders in chunks, and acknowledgements of chunks sent here.

use super::sending::RESEND_DELAY;
use super::{Host, Now, Replica, ReplicaConfig, Report};
use crate::fault_injection::{Fault, is_injected};
use crate::link::{InFlight, Incoming, LinkId};
use crate::map::{JoinOutcome, stable_hash};
use crate::message::{Chunk, Knowledge, Message, Summary};
use crate::order::{Entry, Slot};
use crate::vector::VersionVector;
use std::collections::BTreeSet;

/// The maximum number of entries in a full copy being received; no valid copy has more.
const MAX_INCOMING_ENTRIES: usize = 1 << 15;
/// How many possibly superseded orders are listed in the status.
const MAX_POSSIBLY_SUPERSEDED: usize = 256;

impl Replica {
    /// Handles a message received over a link. Messages of unknown links are ignored.
    pub fn receive(&mut self, now: Now, id: LinkId, message: Message, host: &mut impl Host) {
        if !self.links.contains_key(&id) {
            return;
        }
        self.as_of = now.unix;
        match message {
            Message::Heartbeat(digest) => self.handle_heartbeat(now, id, digest),
            Message::Summary(summary) => self.handle_summary(now, id, summary),
            Message::Chunk(chunk) => self.handle_chunk(now, id, chunk, host),
            Message::Ack { number, accepted } => self.handle_ack(now, id, number, accepted),
        }
        self.tick(now, host);
    }

    fn handle_heartbeat(&mut self, now: Now, id: LinkId, digest: u64) {
        let own_digest = self.digest();
        let vector = self.map.vector.clone();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.record_peer_digest(now.monotonic, digest == own_digest);
        if link.digests_equal {
            link.peer_covers.join(&vector);
            self.seen_elsewhere.join(&vector);
        } else {
            // On different digests both ends send their summary; this schedules the one of this end.
            (link.last_summary_digest, link.summary_due) = (None, link.summary_due.min(now.monotonic));
        }
    }

    fn handle_summary(&mut self, now: Now, id: LinkId, summary: Summary) {
        let own_digest = self.digest();
        self.seen_elsewhere.join(&summary.knowledge.vector);
        let Some(link) = self.links.get_mut(&id) else { return };
        link.record_peer_digest(
            now.monotonic,
            stable_hash(&(&summary.knowledge.vector, summary.digest)) == own_digest,
        );
        // Orders sent a short while ago may not have been part of the summary, so they stay covered until
        // `resend_after`.
        if now.monotonic >= link.resend_after && link.in_flight.is_none() {
            link.peer_covers = VersionVector::default();
        }
        link.peer_covers.join(&summary.knowledge.vector);
        // Orders that the peer has dropped and that are covered here count as dropped here too, so that every
        // replica recognizes a peer that has missed them.
        if self.map.vector.covers_all(&summary.knowledge.gc_horizon) {
            self.map.gc_horizon.join(&summary.knowledge.gc_horizon);
        }
        link.peer_summary = Some(summary);
    }

    fn handle_ack(&mut self, now: Now, id: LinkId, number: u64, accepted: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let acknowledged = link.in_flight.take_if(|in_flight| in_flight.number == number);
        let Some(InFlight { covers_after_ack, .. }) = acknowledged else { return };
        if let Some(covers) = covers_after_ack.filter(|_| accepted) {
            link.peer_covers.join(&covers);
        }
        if !accepted {
            (link.transfer, link.backoff_until) = (None, now.monotonic + RESEND_DELAY);
        }
    }

    /// Joins the entries of a chunk or, for a full copy, collects them, and acknowledges the chunk.
    fn handle_chunk(&mut self, now: Now, id: LinkId, chunk: Chunk, host: &mut impl Host) {
        let Chunk { number, full_copy, entries, sender_knowledge } = chunk;
        let Some(link) = self.links.get_mut(&id) else { return };
        let incoming = link.incoming.entries.len() + entries.len();
        if !entries.iter().all(Entry::is_valid) || incoming > MAX_INCOMING_ENTRIES {
            // Invalid entries violate the protocol, so the link is closed.
            self.links.remove(&id);
            return host.close(id);
        }
        if full_copy != link.incoming.full_copy {
            link.incoming = Incoming { full_copy, ..Incoming::default() };
        }
        if full_copy {
            link.incoming.entries.extend(entries);
        } else {
            self.join_entries(now, id, &entries, host);
        }
        let accepted = match sender_knowledge {
            Some(knowledge) => self.complete_transfer(now, id, knowledge, host),
            None => true,
        };
        self.send(now, id, Message::Ack { number, accepted }, host);
        let summary = self.links.get(&id).and_then(|link| link.peer_summary.clone());
        if let Some(summary) = summary.filter(|_| is_injected(Fault::VectorWithFirstChunk)) {
            self.map.vector.join(&summary.knowledge.vector);
        }
    }

    /// All chunks of a transfer have arrived. Returns whether the sender's knowledge has been adopted, that
    /// is, whether no order was rejected.
    fn complete_transfer(
        &mut self,
        now: Now,
        id: LinkId,
        knowledge: Knowledge,
        host: &mut impl Host,
    ) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        let Incoming { entries, full_copy, rejected } = std::mem::take(&mut link.incoming);
        if full_copy {
            return self.join_full_copy(now, id, &entries, knowledge, host);
        }
        if !rejected {
            self.map.vector.join(&knowledge.vector);
        }
        self.on_change(now, host);
        !rejected
    }

    /// Joins the full copy of a peer, which is sent if this replica lacks orders that the peer has dropped,
    /// or if the digests have differed for too long. Orders here that have been superseded according to the
    /// copy are dropped. Returns whether the sender's knowledge has been adopted.
    fn join_full_copy(
        &mut self,
        now: Now,
        id: LinkId,
        entries: &[Entry],
        knowledge: Knowledge,
        host: &mut impl Host,
    ) -> bool {
        let retention = self.config.retention;
        let slots: BTreeSet<Slot> = entries.iter().map(|entry| entry.slot.clone()).collect();
        let superseded = self.map.drop_superseded(&slots, &knowledge.vector);
        let possibly_superseded = self.map.possibly_superseded(now.unix, retention, &knowledge.vector);
        if let Some(link) = self.links.get(&id) {
            host.report(Report::StaleCopy { peer: link.peer.clone(), superseded });
        }
        for entry in possibly_superseded {
            host.report(Report::PossiblySuperseded { entry: entry.clone() });
            self.possibly_superseded.push(entry);
            self.possibly_superseded.truncate(MAX_POSSIBLY_SUPERSEDED);
        }
        self.join_entries(now, id, entries, host);
        let incoming = self.links.get_mut(&id).map(|link| std::mem::take(&mut link.incoming));
        let accepted = incoming.is_some_and(|incoming| !incoming.rejected);
        if accepted {
            self.map.vector.join(&knowledge.vector);
            self.map.gc_horizon.join(&knowledge.gc_horizon);
        }
        self.on_change(now, host);
        accepted
    }

    /// Joins entries, reports the rejected and conflicting ones, and notes in the link whether any was
    /// rejected.
    fn join_entries(&mut self, now: Now, id: LinkId, entries: &[Entry], host: &mut impl Host) {
        let ReplicaConfig { max_clock_skew, retention, .. } = self.config;
        let (mut rejected, mut changed) = (false, false);
        for entry in entries {
            match self.map.join(now.unix, entry, max_clock_skew, retention) {
                JoinOutcome::Changed => changed = true,
                JoinOutcome::Known => {}
                JoinOutcome::LimitReached => rejected = true,
                JoinOutcome::FutureStamp => {
                    rejected = true;
                    self.report_future_stamp(now, entry, host);
                }
                JoinOutcome::Conflict => {
                    changed = true;
                    self.counters.conflicts += 1;
                    host.report(Report::Conflict { entry: entry.clone() });
                }
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.incoming.rejected |= rejected;
        }
        if changed {
            self.on_change(now, host);
        }
    }

    /// Counts a stamp in the future, and reports the first one of each issuer.
    fn report_future_stamp(&mut self, now: Now, entry: &Entry, host: &mut impl Host) {
        self.counters.future_stamps += 1;
        if self.future_stamp_issuers.insert(entry.order.stamp.issuer.clone()) {
            let ahead = entry.order.stamp.time.saturating_sub(now.unix);
            host.report(Report::FutureStamp { entry: entry.clone(), ahead });
        }
    }
}
