//! What goes out on a link: heartbeats, summaries, and in parts within the byte budget the orders that the other end lacks.

use super::{Host, Now, Replica};
use crate::link::{InFlight, Link, LinkId, Transfer};
use crate::message::{Knowledge, Message, Part, Summary};
use crate::vector::Vector;
use crate::{Nanos, SECOND};

/// How often a link is told the digest.
const HEARTBEAT: Nanos = 5 * SECOND;
/// A part without an answer for so long ends its link.
const STALLED: Nanos = 3 * SECOND;
/// Copies that differ for so long though both cover the same are compared whole.
const REPAIR: Nanos = 12 * SECOND;
/// No part is cut smaller than this.
const LEAST_PART: usize = 512;
/// What was sent and is lacked all the same is sent again after this.
pub(super) const RESEND: Nanos = 5 * SECOND;

impl Replica {
    /// Says on a link what is to be said there now; `own` is this replica's digest.
    pub(super) fn serve(&mut self, now: Now, id: LinkId, own: u64, host: &mut impl Host) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let stalled = |in_flight: &InFlight| now.steady >= in_flight.since + STALLED;
        if link.in_flight.as_ref().is_some_and(stalled) {
            self.links.remove(&id);
            return host.close(id);
        }
        if now.steady >= link.say_at {
            link.say_at = Nanos::MAX;
            if link.said != Some(own) {
                link.said = Some(own);
                link.beat_at = now.steady + HEARTBEAT;
                let summary = self.own_summary();
                self.send(now, id, Message::Summary(summary), host);
            }
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        if now.steady >= link.beat_at {
            link.beat_at = now.steady + HEARTBEAT;
            self.send(now, id, Message::Heartbeat(own), host);
        }
        self.transfer(now, id, host);
    }

    /// Begins what the other end lacks, or sends the next part of it.
    fn transfer(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let Some(link) = self.links.get(&id) else { return };
        if link.summary.is_none() || link.in_flight.is_some() || now.steady < link.refused_until {
            return;
        }
        if link.transfer.is_none() {
            let whole = self.misses_dropped(link) || self.differs_for_long(now, link);
            let nothing_new = link.covers.covers_all(&self.map.vector);
            let wanted = if whole { now.steady >= link.not_before } else { !nothing_new };
            if !wanted {
                return;
            }
            let nothing = Vector::default();
            let slots = self.map.beyond(if whole { &nothing } else { &link.covers });
            let knowledge = match whole {
                true => self.knowledge(),
                false => {
                    Knowledge { vector: self.map.vector.beyond(&link.covers), horizon: Vector::default() }
                }
            };
            if let Some(link) = self.links.get_mut(&id) {
                link.transfer = Some(Transfer { slots: slots.into(), whole, knowledge });
            }
        }
        self.next_part(now, id, host);
    }

    fn next_part(&mut self, now: Now, id: LinkId, host: &mut impl Host) {
        let room = self.room(now.steady);
        if room < LEAST_PART {
            return;
        }
        let room = room.min(self.terms.part_bytes.max(LEAST_PART));
        let (map, Some(link)) = (&self.map, self.links.get_mut(&id)) else { return };
        let Some(transfer) = &mut link.transfer else { return };
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some(slot) = transfer.slots.front() {
            match map.get(slot) {
                Some(entry) => {
                    bytes += postcard::experimental::serialized_size(&entry).unwrap_or(0);
                    if bytes > room && !entries.is_empty() {
                        break;
                    }
                    entries.push(entry);
                }
                // It was dropped meanwhile: only all there is tells the other what had ended by it.
                None if !transfer.whole => {
                    link.transfer = None;
                    return;
                }
                None => {}
            }
            transfer.slots.pop_front();
        }
        let whole = transfer.whole;
        let last = transfer.slots.is_empty().then(|| transfer.knowledge.clone());
        link.parts += 1;
        let covers = last.as_ref().map(|knowledge| knowledge.vector.clone());
        link.in_flight = Some(InFlight { number: link.parts, since: now.steady, covers });
        if last.is_some() {
            link.transfer = None;
            link.not_before = now.steady + RESEND;
        }
        let number = link.parts;
        self.send(now, id, Message::Part(Part { number, whole, entries, last }), host);
    }

    pub(super) fn send(&mut self, now: Now, id: LinkId, message: Message, host: &mut impl Host) {
        let bytes = message.size();
        self.spent.push_back((now.steady, bytes));
        self.counts.bytes += bytes as u64;
        host.send(id, message);
    }

    /// Bytes that may still be sent in this second.
    fn room(&mut self, now: Nanos) -> usize {
        while self.spent.front().is_some_and(|(at, _)| at + SECOND <= now) {
            self.spent.pop_front();
        }
        let spent: usize = self.spent.iter().map(|(_, bytes)| bytes).sum();
        self.terms.bytes_per_second.max(2 * LEAST_PART).saturating_sub(spent)
    }

    pub(super) fn link_due(&self, link: &Link) -> Nanos {
        let stalled = link.in_flight.as_ref().map(|in_flight| in_flight.since + STALLED);
        // The next part waits for room: that is when the oldest bytes of the second are a second old.
        let waits = link.transfer.is_some() && link.in_flight.is_none();
        let room = waits.then(|| self.spent.front().map_or(0, |(at, _)| at + SECOND));
        // What else is lacked goes out at once; a whole copy is not sent again at once.
        let idle = link.transfer.is_none() && link.in_flight.is_none();
        let resend = (idle && self.misses_dropped(link)).then_some(link.not_before.max(link.refused_until));
        let lacks = idle && !link.covers.covers_all(&self.map.vector) && !self.misses_dropped(link);
        let refused = (lacks && link.refused_until > 0).then_some(link.refused_until);
        let repair = link.differs_since.filter(|_| idle && !lacks).map(|since| since + REPAIR);
        let repair = repair.map(|at| at.max(link.not_before).max(link.refused_until));
        let next = [stalled, room, resend, refused, repair].into_iter().flatten().min().unwrap_or(Nanos::MAX);
        next.min(link.say_at).min(link.beat_at)
    }

    /// Whether a peer misses an order that was dropped here: it may have what that one ended.
    fn misses_dropped(&self, link: &Link) -> bool {
        link.summary.is_some() && !link.covers.covers_all(&self.map.horizon)
    }

    /// Whether a peer that covers the same has had other orders for longer than news may take.
    fn differs_for_long(&self, now: Now, link: &Link) -> bool {
        let same = link.covers.covers_all(&self.map.vector);
        same && link.differs_since.is_some_and(|since| now.steady >= since + REPAIR)
    }

    fn knowledge(&self) -> Knowledge {
        Knowledge { vector: self.map.vector.clone(), horizon: self.map.horizon.clone() }
    }

    fn own_summary(&self) -> Summary {
        Summary { knowledge: self.knowledge(), digest: self.map.digest() }
    }
}
