//! What becomes of an ask: the one place that changes a record, and the one that says when a lease has ended.

use crate::message::{Answer, Ask, Reply, Shared, Want};
use crate::planted::{Fault, planted};
use crate::record::{Entry, Holder, LARGEST, Lease, Member, Name, Record, Token};
use crate::{Nanos, Presence};
use std::collections::BTreeMap;

/// Leases as this voter has seen them, each since when by its clock. A lease is judged by its sight alone: its holder
/// counted from before it asked, and nobody can see it before that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Sights(BTreeMap<Name, (Lease, Nanos)>);

impl Sights {
    /// Takes in a record, agreed or not: what is on its way may have been answered already.
    pub fn saw(&mut self, now: Nanos, record: &Record) {
        self.0.retain(|name, _| record.leases.contains_key(name));
        for (name, lease) in &record.leases {
            match self.0.get_mut(name) {
                Some((seen, _)) if same(seen, lease) => {}
                Some(seen) => *seen = (lease.clone(), now),
                None => _ = self.0.insert(name.clone(), (lease.clone(), now)),
            }
        }
    }

    /// How much longer its holder may believe that it holds it, at the most. One that was not seen as it stands, such as
    /// one given a moment ago in the same batch, counts from now: two who ask together must not both get it.
    pub fn left(&self, now: Nanos, name: &str, lease: &Lease, drift_ppm: u64) -> Nanos {
        if lease.holder.is_none() {
            return 0;
        }
        let since = self.0.get(name).filter(|(seen, _)| same(seen, lease)).map_or(now, |(_, since)| *since);
        (since + longer(lease.time, drift_ppm)).saturating_sub(now)
    }
}

/// Whether these are one state of a lease.
fn same(seen: &Lease, lease: &Lease) -> bool {
    if planted(Fault::OldSight) {
        return seen.token == lease.token && seen.holder == lease.holder;
    }
    seen == lease
}

/// A time by a clock that may be fast, when the other's may be slow.
pub fn longer(time: Nanos, drift_ppm: u64) -> Nanos {
    if planted(Fault::NoDrift) {
        return time;
    }
    time.saturating_add(part(time, drift_ppm))
}

/// The same by the clock of who holds.
pub fn shorter(time: Nanos, drift_ppm: u64) -> Nanos {
    if planted(Fault::NoDrift) {
        return time;
    }
    time - part(time, drift_ppm)
}

/// Rounded up: what is allowed for drift is never less than stated.
fn part(time: Nanos, ppm: u64) -> Nanos {
    let part = (u128::from(time) * u128::from(ppm)).div_ceil(1_000_000);
    Nanos::try_from(part).unwrap_or(Nanos::MAX)
}

/// How long until no lease of this record can be held any more, from when none is renewed: its holder's clock and that of
/// who waits may both be off.
pub fn outlasted(record: &Record, drift_ppm: u64) -> Nanos {
    let longest = record.leases.values().map(|lease| lease.time).max().unwrap_or(0);
    longer(longest, 2 * drift_ppm)
}

/// What asks are judged by.
pub struct Judge<'a> {
    pub now: Nanos,
    pub sights: &'a Sights,
    pub drift_ppm: u64,
    /// Names that may vote.
    pub may_vote: &'a [Name],
}

impl Judge<'_> {
    /// Changes the record as asked, or leaves it; `None` for a read, which is answered with what gets settled.
    pub fn judge(&self, record: &mut Record, ask: &Ask) -> Option<Answer> {
        let old = record.clone();
        let reply = match &ask.want {
            Want::Acquire(name, time) => self.acquire(record, ask, name, *time),
            Want::Renew(name, time, token) => self.renew(record, ask, name, *time, *token),
            Want::GiveBack(name, token) => give_back(record, ask, name, *token),
            Want::TakeAway(name) => match record.leases.get_mut(name) {
                Some(lease) => {
                    lease.taken = lease.holder.is_some();
                    Reply::Done
                }
                None => Reply::Refused(format!("no lease {name:?}")),
            },
            Want::Put { name, text, version, fence } => {
                put(record, ask, name, text, *version, fence.as_ref())
            }
            Want::Seat { out, voter } => self.seat(record, out, voter),
            Want::Read => return None,
        };
        let reply = if record.size() > LARGEST {
            *record = old;
            Reply::Refused(format!("the record would be over {LARGEST} bytes"))
        } else {
            reply
        };
        Some(Answer { id: ask.id.clone(), reply })
    }

    fn acquire(&self, record: &mut Record, ask: &Ask, name: &str, time: Nanos) -> Reply {
        let number = ask.id.number;
        if let Some(lease) = record.leases.get(name) {
            if lease.held_by(&ask.id.who) && !lease.taken {
                // Asked again after the round that did it was given up, or from before a later ask.
                match number.cmp(&lease.ask) {
                    std::cmp::Ordering::Equal => return Reply::Granted(lease.token),
                    std::cmp::Ordering::Less => return Reply::Refused("an old ask".into()),
                    std::cmp::Ordering::Greater => {}
                }
            } else if lease.holder.is_some() {
                let left = self.left(name, lease);
                if left > 0 {
                    return Reply::Denied(lease.holder.clone(), left);
                }
            }
        }
        let floor = record.founded;
        let lease = record.leases.entry(name.into()).or_insert_with(|| Lease {
            holder: None,
            ask: 0,
            time,
            token: floor,
            taken: false,
        });
        let token = if planted(Fault::TokenNotGrown) { lease.token } else { lease.token + 1 };
        *lease = Lease { holder: Some(ask.id.who.clone()), ask: number, time, token, taken: false };
        Reply::Granted(token)
    }

    fn left(&self, name: &str, lease: &Lease) -> Nanos {
        self.sights.left(self.now, name, lease, self.drift_ppm)
    }

    fn renew(&self, record: &mut Record, ask: &Ask, name: &str, time: Nanos, token: Token) -> Reply {
        let Some(lease) = record.leases.get_mut(name) else { return Reply::Denied(None, 0) };
        let left = self.left(name, lease);
        let revived = planted(Fault::RenewalRevives);
        if !revived && (!lease.held_by(&ask.id.who) || lease.token != token) {
            return Reply::Denied(lease.holder.clone(), left);
        }
        if ask.id.number == lease.ask && lease.held_by(&ask.id.who) {
            return Reply::Granted(token);
        }
        // Whoever may have been told that it ended must not be told otherwise.
        if !revived && (lease.taken || left == 0 || ask.id.number < lease.ask) {
            return Reply::Denied(None, left);
        }
        *lease = Lease { holder: Some(ask.id.who.clone()), ask: ask.id.number, time, token, taken: false };
        Reply::Granted(token)
    }

    fn seat(&self, record: &mut Record, out: &str, voter: &Member) -> Reply {
        if record.votes(voter.store) {
            return Reply::Done;
        }
        if !self.may_vote.contains(&voter.name) {
            return Reply::Refused(format!(
                "{:?} is not among the fleet's voters in the configuration",
                voter.name
            ));
        }
        if out != voter.name && record.member(&voter.name).is_some() {
            return Reply::Refused(format!("{:?} votes already", voter.name));
        }
        match record.voters.iter_mut().find(|member| member.name == out) {
            Some(member) => *member = voter.clone(),
            None => return Reply::Refused(format!("{out:?} is no voter")),
        }
        Reply::Done
    }
}

fn give_back(record: &mut Record, ask: &Ask, name: &str, token: Token) -> Reply {
    if let Some(lease) = record.leases.get_mut(name)
        && lease.held_by(&ask.id.who)
        && lease.token == token
        && lease.ask < ask.id.number
    {
        lease.holder = None;
        lease.taken = false;
    }
    Reply::Done
}

fn put(
    record: &mut Record,
    ask: &Ask,
    name: &str,
    text: &str,
    version: Option<u64>,
    fence: Option<&(Name, Token)>,
) -> Reply {
    let by = (ask.id.who.clone(), ask.id.number);
    let now = record.values.get(name);
    if let Some(entry) = now.filter(|entry| entry.by == by) {
        return Reply::Written(entry.version);
    }
    let at = now.map_or(0, |entry| entry.version);
    if let Some((lease, token)) = fence {
        let newest = record.leases.get(lease).map_or(0, |lease| lease.token);
        let ours = |lease: &Lease| lease.token == *token && lease.held_by(&ask.id.who);
        if !planted(Fault::IgnoresToken) && !record.leases.get(lease).is_some_and(ours) {
            return Reply::Refused(format!(
                "{lease:?} is no longer held under {token}, its newest is {newest}"
            ));
        }
    }
    if let Some(wanted) = version.filter(|wanted| *wanted != at) {
        return Reply::Refused(format!("{name:?} is at version {at}, not {wanted}"));
    }
    if text.is_empty() {
        record.values.remove(name);
    } else {
        record.values.insert(name.into(), Entry { text: text.into(), version: record.version + 1, by });
    }
    Reply::Written(record.version + 1)
}

/// Answers to reads, from a record that is settled.
pub fn told(ask: &Ask, record: &Shared) -> Answer {
    Answer { id: ask.id.clone(), reply: Reply::Record(record.clone()) }
}

/// Who voters take in again: a process under a voter's name whose store is new, seen here by its own link.
pub fn to_seat(record: &Record, present: &Presence, now: Nanos) -> Option<Want> {
    let back = |member: &&Member| {
        present.store(&member.name, now).is_some_and(|store| store != member.store)
            && present.empty(&member.name)
    };
    let member = record.voters.iter().find(back)?;
    let store = present.store(&member.name, now)?;
    Some(Want::Seat { out: member.name.clone(), voter: Member { name: member.name.clone(), store } })
}

/// A holder as words.
impl std::fmt::Display for Holder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}
