//! Messages to peers: heartbeats, summaries and, in chunks within the byte budget, the orders that a peer
//! lacks.

use super::{Host, Now, Replica};
use crate::link::{InFlight, Link, LinkId, Transfer};
use crate::message::{Chunk, Knowledge, Message, Summary};
use crate::vector::VersionVector;
use crate::{Nanos, SECOND};

/// How often the digest is sent on a link.
const HEARTBEAT_INTERVAL: Nanos = 5 * SECOND;
/// A link is closed if a chunk is not acknowledged within this time.
const ACK_TIMEOUT: Nanos = 3 * SECOND;
/// If the digests differ for this long although the peer covers all that is covered here, a full copy is
/// sent.
const REPAIR_DELAY: Nanos = 12 * SECOND;
/// The minimum size of a chunk: none is sent while the remaining budget is smaller.
const MIN_CHUNK_BYTES: usize = 512;
/// Orders that were sent and are still lacking are sent again after this time.
pub(super) const RESEND_DELAY: Nanos = 5 * SECOND;

impl Replica {
    /// Sends what is due on a link, or closes the link if a chunk was not acknowledged in time. `own_digest` is
    /// the digest of this replica.
    pub(super) fn send_due_messages(&mut self, now: Now, id: LinkId, own_digest: u64, host: &mut impl Host) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let stalled = |in_flight: &InFlight| now.monotonic >= in_flight.sent_at + ACK_TIMEOUT;
        if link.in_flight.as_ref().is_some_and(stalled) {
            self.links.remove(&id);
            return host.close(id);
        }
        if now.monotonic >= link.summary_due {
            link.summary_due = Nanos::MAX;
            if link.last_summary_digest != Some(own_digest) {
                link.last_summary_digest = Some(own_digest);
                link.heartbeat_due = now.monotonic + HEARTBEAT_INTERVAL;
                let summary = self.summary();
                self.send(now, id, Message::Summary(summary), host);
            }
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        if now.monotonic >= link.heartbeat_due {
            link.heartbeat_due = now.monotonic + HEARTBEAT_INTERVAL;
            self.send(now, id, Message::Heartbeat(own_digest), host);
        }
        self.continue_transfer(now, id, host);
    }

    /// Starts a transfer if the peer lacks orders, or sends the next chunk of the current one.
    fn continue_transfer(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let Some(link) = self.links.get(&id) else { return };
        if link.peer_summary.is_none() || link.in_flight.is_some() || now.monotonic < link.backoff_until {
            return;
        }
        if link.transfer.is_none() {
            let full_copy = self.lacks_dropped_orders(link) || self.needs_repair(now, link);
            let fully_covered = link.peer_covers.covers_all(&self.map.vector);
            let needed = if full_copy { now.monotonic >= link.resend_after } else { !fully_covered };
            if !needed {
                return;
            }
            let empty = VersionVector::default();
            let slots = self.map.not_covered_by(if full_copy { &empty } else { &link.peer_covers });
            let knowledge = match full_copy {
                true => self.knowledge(),
                false => Knowledge {
                    vector: self.map.vector.difference(&link.peer_covers),
                    gc_horizon: VersionVector::default(),
                },
            };
            if let Some(link) = self.links.get_mut(&id) {
                link.transfer = Some(Transfer { remaining: slots.into(), full_copy, knowledge });
            }
        }
        self.send_next_chunk(now, id, host);
    }

    fn send_next_chunk(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let budget = self.remaining_budget(now.monotonic);
        if budget < MIN_CHUNK_BYTES {
            return;
        }
        let budget = budget.min(self.config.chunk_bytes.max(MIN_CHUNK_BYTES));
        let (map, Some(link)) = (&self.map, self.links.get_mut(&id)) else { return };
        let Some(transfer) = &mut link.transfer else { return };
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some(slot) = transfer.remaining.front() {
            match map.get(slot) {
                Some(entry) => {
                    bytes += postcard::experimental::serialized_size(&entry).unwrap_or(0);
                    if bytes > budget && !entries.is_empty() {
                        break;
                    }
                    entries.push(entry);
                }
                // The order was dropped in the meantime, so this transfer can no longer show the peer what it
                // superseded; only a full copy can.
                None if !transfer.full_copy => {
                    link.transfer = None;
                    return;
                }
                None => {}
            }
            transfer.remaining.pop_front();
        }
        let full_copy = transfer.full_copy;
        let sender_knowledge = transfer.remaining.is_empty().then(|| transfer.knowledge.clone());
        link.chunks_sent += 1;
        let covers_after_ack = sender_knowledge.as_ref().map(|knowledge| knowledge.vector.clone());
        link.in_flight =
            Some(InFlight { number: link.chunks_sent, sent_at: now.monotonic, covers_after_ack });
        if sender_knowledge.is_some() {
            link.transfer = None;
            link.resend_after = now.monotonic + RESEND_DELAY;
        }
        let number = link.chunks_sent;
        self.send(now, id, Message::Chunk(Chunk { number, full_copy, entries, sender_knowledge }), host);
    }

    /// Sends a message, and counts its bytes towards the budget.
    pub(super) fn send(&mut self, now: Now, id: LinkId, message: Message, host: &mut impl Host) {
        let bytes = message.size();
        self.recent_sends.push_back((now.monotonic, bytes));
        self.counters.bytes_sent += bytes as u64;
        host.send(id, message);
    }

    /// The bytes that may still be sent within the current second.
    fn remaining_budget(&mut self, now: Nanos) -> usize {
        while self.recent_sends.front().is_some_and(|(at, _)| at + SECOND <= now) {
            self.recent_sends.pop_front();
        }
        let sent: usize = self.recent_sends.iter().map(|(_, bytes)| bytes).sum();
        self.config.bytes_per_second.max(2 * MIN_CHUNK_BYTES).saturating_sub(sent)
    }

    /// When `tick` must be called next for this link at the latest.
    pub(super) fn link_deadline(&self, link: &Link) -> Nanos {
        let stalled = link.in_flight.as_ref().map(|in_flight| in_flight.sent_at + ACK_TIMEOUT);
        // The next chunk waits for budget, which grows when the oldest message of the last second becomes a
        // second old.
        let awaiting_budget = link.transfer.is_some() && link.in_flight.is_none();
        let budget = awaiting_budget.then(|| self.recent_sends.front().map_or(0, |(at, _)| at + SECOND));
        // Other orders that the peer lacks are sent at once; a full copy is not repeated before
        // `resend_after`.
        let idle = link.transfer.is_none() && link.in_flight.is_none();
        let resend =
            (idle && self.lacks_dropped_orders(link)).then_some(link.resend_after.max(link.backoff_until));
        let lacks_orders =
            idle && !link.peer_covers.covers_all(&self.map.vector) && !self.lacks_dropped_orders(link);
        let rejected = (lacks_orders && link.backoff_until > 0).then_some(link.backoff_until);
        let repair = link.differs_since.filter(|_| idle && !lacks_orders).map(|since| since + REPAIR_DELAY);
        let repair = repair.map(|at| at.max(link.resend_after).max(link.backoff_until));
        let deadline =
            [stalled, budget, resend, rejected, repair].into_iter().flatten().min().unwrap_or(Nanos::MAX);
        deadline.min(link.summary_due).min(link.heartbeat_due)
    }

    /// Whether the peer does not cover an order that was dropped here. It may still keep orders which that
    /// one superseded.
    fn lacks_dropped_orders(&self, link: &Link) -> bool {
        link.peer_summary.is_some() && !link.peer_covers.covers_all(&self.map.gc_horizon)
    }

    /// Whether a peer that covers all that is covered here has had another digest for longer than changes
    /// take to arrive.
    fn needs_repair(&self, now: Now, link: &Link) -> bool {
        let covers_same = link.peer_covers.covers_all(&self.map.vector);
        covers_same && link.differs_since.is_some_and(|since| now.monotonic >= since + REPAIR_DELAY)
    }

    fn knowledge(&self) -> Knowledge {
        Knowledge { vector: self.map.vector.clone(), gc_horizon: self.map.gc_horizon.clone() }
    }

    fn summary(&self) -> Summary {
        Summary { knowledge: self.knowledge(), digest: self.map.digest() }
    }
}
