//! What comes over a link: digests and summaries of the other end, its orders in parts, and answers to own parts.

use super::sending::RESEND;
use super::{Host, Now, Replica, Report, Terms};
use crate::link::{InFlight, Incoming, LinkId};
use crate::map::{Joined, digest_of};
use crate::message::{Knowledge, Message, Part, Summary};
use crate::order::{Entry, Slot};
use crate::planted::{Fault, planted};
use crate::vector::Vector;
use std::collections::BTreeSet;

/// Entries of a whole copy that is on its way, at most: more is no copy.
const MOST_INCOMING: usize = 1 << 15;
/// Doubtful orders that are remembered.
const MOST_DOUBTFUL: usize = 256;

impl Replica {
    /// The other end of a link said this.
    pub fn heard(&mut self, now: Now, id: LinkId, message: Message, host: &mut impl Host) {
        if !self.links.contains_key(&id) {
            return;
        }
        self.as_of = now.unix;
        match message {
            Message::Heartbeat(digest) => self.heartbeat(now, id, digest),
            Message::Summary(summary) => self.summary(now, id, summary),
            Message::Part(part) => self.part(now, id, part, host),
            Message::Took { number, taken } => self.took(now, id, number, taken),
        }
        self.tick(now, host);
    }

    fn heartbeat(&mut self, now: Now, id: LinkId, digest: u64) {
        let own = self.digest();
        let vector = self.map.vector.clone();
        let Some(link) = self.links.get_mut(&id) else { return };
        link.hears(now.steady, digest == own);
        if link.equal {
            link.covers.join(&vector);
            self.seen_elsewhere.join(&vector);
        } else {
            // Both say what they have: this end does now.
            (link.said, link.say_at) = (None, link.say_at.min(now.steady));
        }
    }

    fn summary(&mut self, now: Now, id: LinkId, summary: Summary) {
        let own = self.digest();
        self.seen_elsewhere.join(&summary.knowledge.vector);
        let Some(link) = self.links.get_mut(&id) else { return };
        link.hears(now.steady, digest_of(&(&summary.knowledge.vector, summary.digest)) == own);
        // What was sent a short while ago may be on its way still.
        if now.steady >= link.not_before && link.in_flight.is_none() {
            link.covers = Vector::default();
        }
        link.covers.join(&summary.knowledge.vector);
        // What others have dropped, and is covered here, counts as dropped here too: so that all know who was away.
        if self.map.vector.covers_all(&summary.knowledge.horizon) {
            self.map.horizon.join(&summary.knowledge.horizon);
        }
        link.summary = Some(summary);
    }

    fn took(&mut self, now: Now, id: LinkId, number: u64, taken: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let answered = link.in_flight.take_if(|in_flight| in_flight.number == number);
        let Some(InFlight { covers, .. }) = answered else { return };
        if let Some(covers) = covers.filter(|_| taken) {
            link.covers.join(&covers);
        }
        if !taken {
            (link.transfer, link.refused_until) = (None, now.steady + RESEND);
        }
    }

    fn part(&mut self, now: Now, id: LinkId, part: Part, host: &mut impl Host) {
        let Part { number, whole, entries, last } = part;
        let Some(link) = self.links.get_mut(&id) else { return };
        let incoming = link.incoming.entries.len() + entries.len();
        if !entries.iter().all(Entry::is_sound) || incoming > MOST_INCOMING {
            // Nobody who keeps to this protocol says that.
            self.links.remove(&id);
            return host.close(id);
        }
        if whole != link.incoming.whole {
            link.incoming = Incoming { whole, ..Incoming::default() };
        }
        if whole {
            link.incoming.entries.extend(entries);
        } else {
            self.join(now, id, &entries, host);
        }
        let taken = match last {
            Some(knowledge) => self.last_part(now, id, knowledge, host),
            None => true,
        };
        self.send(now, id, Message::Took { number, taken }, host);
        let summary = self.links.get(&id).and_then(|link| link.summary.clone());
        if let Some(summary) = summary.filter(|_| planted(Fault::VectorWithFirstPart)) {
            self.map.vector.join(&summary.knowledge.vector);
        }
    }

    /// All parts are here: whether what their sender knew is known here now.
    fn last_part(&mut self, now: Now, id: LinkId, knowledge: Knowledge, host: &mut impl Host) -> bool {
        let Some(link) = self.links.get_mut(&id) else { return false };
        let Incoming { entries, whole, refused } = std::mem::take(&mut link.incoming);
        if whole {
            return self.join_whole(now, id, &entries, knowledge, host);
        }
        if !refused {
            self.map.vector.join(&knowledge.vector);
        }
        self.changed(now, host);
        !refused
    }

    /// Joins all that a peer has. This copy missed orders that the peer has dropped: what had ended by them ends here.
    fn join_whole(
        &mut self,
        now: Now,
        id: LinkId,
        entries: &[Entry],
        knowledge: Knowledge,
        host: &mut impl Host,
    ) -> bool {
        let retention = self.terms.retention;
        let slots: BTreeSet<Slot> = entries.iter().map(|entry| entry.slot.clone()).collect();
        let ended = self.map.drop_ended(&slots, &knowledge.vector);
        let doubtful = self.map.doubtful(now.unix, retention, &knowledge.vector);
        if let Some(link) = self.links.get(&id) {
            host.report(Report::WasAway { peer: link.peer.clone(), ended });
        }
        for entry in doubtful {
            host.report(Report::Doubtful { entry: entry.clone() });
            self.doubtful.push(entry);
            self.doubtful.truncate(MOST_DOUBTFUL);
        }
        self.join(now, id, entries, host);
        let incoming = self.links.get_mut(&id).map(|link| std::mem::take(&mut link.incoming));
        let taken = incoming.is_some_and(|incoming| !incoming.refused);
        if taken {
            self.map.vector.join(&knowledge.vector);
            self.map.horizon.join(&knowledge.horizon);
        }
        self.changed(now, host);
        taken
    }

    fn join(&mut self, now: Now, id: LinkId, entries: &[Entry], host: &mut impl Host) {
        let Terms { most_ahead, retention, .. } = self.terms;
        let (mut refused, mut changed) = (false, false);
        for entry in entries {
            match self.map.join(now.unix, entry, most_ahead, retention) {
                Joined::Changed => changed = true,
                Joined::Known => {}
                Joined::Full => refused = true,
                Joined::Future => {
                    refused = true;
                    self.future(now, entry, host);
                }
                Joined::Conflict => {
                    changed = true;
                    self.counts.conflicts += 1;
                    host.report(Report::Conflict { entry: entry.clone() });
                }
            }
        }
        if let Some(link) = self.links.get_mut(&id) {
            link.incoming.refused |= refused;
        }
        if changed {
            self.changed(now, host);
        }
    }

    fn future(&mut self, now: Now, entry: &Entry, host: &mut impl Host) {
        self.counts.future += 1;
        if self.future_origins.insert(entry.order.stamp.origin.clone()) {
            let ahead = entry.order.stamp.time.saturating_sub(now.unix);
            host.report(Report::Future { entry: entry.clone(), ahead });
        }
    }
}
