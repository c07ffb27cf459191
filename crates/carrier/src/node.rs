//! A process of the fleet: it has one parent at most, any number of children, and what it holds.

use crate::children::{Children, Served, Subscriber};
use crate::force::Force;
use crate::message::{Attachment, Down, Exception, Member, Sum, Up, Why};
use crate::parents::{OLD, Parents};
use crate::planted::{Fault, planted};
use crate::resource::{Interest, Name, Place, Resource, Scope, Version, wrong_name};
use crate::store::{Kept, Store};
use crate::sums::{self, LATE, Moves, Own};
use crate::{MILLISECOND, Nanos, SECOND};

/// A link from a child: a number that the host gives, and never gives again in a process.
pub type Child = u64;

/// What a node asks of the process that it lives in.
pub trait Host {
    /// Calls this parent; comes back as `parent_up` or `parent_lost`.
    fn dial(&mut self, parent: &str);
    /// Ends the link, or the call, to the parent; nothing comes back for it.
    fn hang_up(&mut self);
    fn send_up(&mut self, message: Up);
    fn send_down(&mut self, child: Child, message: Down);
    /// Ends the link once what was sent is out; nothing comes back for it.
    fn drop_child(&mut self, child: Child);
    /// All that concerns this process now, the widest scope first, then by name. Comes back as `in_force`, and none is
    /// asked for before. Of those that it refuses the process leaves in force what it had.
    fn put_in_force(&mut self, version: Version, resources: Vec<Resource>);
    /// To disk; comes back as `kept` once it is synced, and none is asked for before. At most four times a second. Where
    /// there is no disk nothing comes back: what only memory has counts for no majority.
    fn keep(&mut self, kept: &Kept);
    /// Between 0 and 1.
    fn chance(&mut self) -> f64;
}

/// What a process is, and its limits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    pub me: Member,
    pub place: Place,
    /// It holds everything and has its parent by `root_is`.
    pub control: bool,
    /// It holds what concerns anybody of its site.
    pub relay: bool,
    /// Whom it may call, the tiers in the order given, within each in an order of its own. None of a control machine.
    pub tiers: Vec<Vec<Name>>,
    /// At most so many children, control machines and relays not counted.
    pub children: usize,
    /// At most so many bytes to a child in any second, pulses included.
    pub child_bytes_per_second: u64,
    /// At most so many bytes in a part of a difference.
    pub part_bytes: usize,
    /// The same for a control machine: all others wait for what these have, and nothing leaves the record before a majority
    /// of them has it. Proxies are what is spared.
    pub control_bytes_per_second: u64,
    pub control_part_bytes: usize,
    /// The other control machines: the root names those that it does not hear, also where none that lives ever did.
    pub control_machines: Vec<Name>,
    /// At most so many exceptions by name in a sum.
    pub named: usize,
}

/// Places beyond those for proxies: for control machines, relays, and links on which nobody has said who calls.
const SPARE: usize = 64;
/// Parts of a difference that are not its end, in bytes at most: who sends more is no parent.
const COLLECTED: usize = 4 * 1024 * 1024;
/// A sum goes up this soon after the last one where it has changed, and else as late as the other.
const SUM: [Nanos; 2] = [250 * MILLISECOND, SECOND];
/// The disk is written this soon after the last time; where nothing but the version has moved, of others than control
/// machines, as late as the other.
const KEEP: [Nanos; 2] = [250 * MILLISECOND, 10 * SECOND];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Collected {
    whole: bool,
    resources: Vec<Resource>,
    bytes: usize,
    cut: bool,
}

/// What is on disk, and what is to go there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Disk {
    has: Option<Version>,
    out: Option<Version>,
    wrote: Option<Nanos>,
    due: Option<Nanos>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    terms: Terms,
    /// What it holds, and what it puts in force itself.
    wants: Interest,
    concerns: Interest,
    store: Store,
    parents: Parents,
    children: Children,
    force: Force,
    moves: Moves,
    /// How many links to a parent it has had.
    attachments: u64,
    disk: Disk,
    collected: Option<Collected>,
    /// It publishes: from when it has published once on, what it holds is what the root holds.
    root: bool,
    /// When the root is known to have held just this.
    known: Option<Nanos>,
    published: bool,
    /// What went up last and when, when it was summed last, and when that is due again.
    sent: Sum,
    summed: Nanos,
    looked: Nanos,
    sum_due: Nanos,
}

impl Node {
    /// From what was on the disk.
    pub fn start(now: Nanos, terms: Terms, kept: Option<Kept>, host: &mut impl Host) -> Node {
        let Terms { me, place, .. } = &terms;
        let concerns = Interest::Proxy(place.clone(), me.name.clone());
        let wants = match () {
            () if terms.control => Interest::All,
            () if terms.relay => Interest::Site(place.clone()),
            () => concerns.clone(),
        };
        let parents = Parents::new(now, &me.name, if terms.control { &[] } else { &terms.tiers }, host);
        let on_disk = kept.is_some();
        let mut kept = kept.unwrap_or_default();
        // Its place may have changed since.
        kept.resources.retain(|resource| wants.wants(&resource.scope));
        let store = Store::from(&kept);
        let force = Force::from(kept.good);
        let has = on_disk.then_some(store.version);
        let mut node = Node {
            terms,
            wants,
            concerns,
            store,
            parents,
            children: Children::default(),
            force,
            moves: Moves::default(),
            attachments: 0,
            disk: Disk { has, ..Disk::default() },
            collected: None,
            root: false,
            known: None,
            published: false,
            sent: Sum::default(),
            summed: now,
            looked: now,
            sum_due: Nanos::MAX,
        };
        node.force.look(now, &node.store, &node.concerns, host);
        node
    }

    /// Of a control machine: who holds the lease `carrier`. Its own name makes it the root; where nobody is known it
    /// keeps a parent that works.
    pub fn root_is(&mut self, now: Nanos, root: Option<&str>, host: &mut impl Host) {
        if !self.terms.control {
            return;
        }
        let own = root == Some(self.terms.me.name.as_str());
        if own != self.root {
            if self.root && self.published {
                self.known = Some(now);
            }
            (self.root, self.published) = (own, false);
        }
        match root {
            Some(_) if own => self.parents.set(now, Vec::new(), host),
            Some(root) => self.parents.set(now, vec![root.into()], host),
            None => {}
        }
        if self.parents.parent().is_none() {
            self.collected = None;
        }
    }

    /// The call was answered.
    pub fn parent_up(&mut self, now: Nanos, host: &mut impl Host) {
        if !self.parents.up(now) {
            return;
        }
        self.collected = None;
        self.attachments += 1;
        let who = Attachment { member: self.terms.me.clone(), number: self.attachments };
        let wants = self.wants.clone();
        host.send_up(Up::Subscribe { who, wants, holds: self.store.version, digest: self.digest() });
        self.say_kept(host);
        self.send_sum(now, host);
    }

    /// The call failed, or the link is gone.
    pub fn parent_lost(&mut self, now: Nanos, host: &mut impl Host) {
        self.collected = None;
        self.parents.lost(now, host);
    }

    /// The parent said this.
    pub fn told(&mut self, now: Nanos, message: Down, host: &mut impl Host) {
        if self.parents.parent().is_none() {
            return;
        }
        self.parents.heard(now);
        match message {
            Down::Full => self.leave(now, host),
            Down::Pulse { holds, digest, age } => self.pulsed(now, holds, digest, age, host),
            Down::Delta { after, version, whole, last, cut, resources } => {
                let passed = version < self.store.version || (version == self.store.version && !whole);
                let gap = !whole && after > self.store.version;
                if (passed && !planted(Fault::TakesOlder)) || gap {
                    self.collected = None;
                    return self.say_held(host);
                }
                // What is newer than the whole, or has a name that fits into no part, no parent sends.
                let absurd =
                    |one: &Resource| one.version > version || wrong_name(&one.scope, &one.name).is_some();
                if resources.iter().any(absurd) {
                    return self.leave(now, host);
                }
                self.collect(whole, cut, resources);
                if self.collected.as_ref().is_some_and(|collected| collected.bytes > COLLECTED) {
                    return self.leave(now, host);
                }
                if !last && !planted(Fault::PartForAll) {
                    return host.send_up(Up::Took);
                }
                let Some(Collected { mut resources, .. }) = self.collected.take() else { return };
                // What does not concern anybody here would make its digest differ for ever.
                resources.retain(|resource| self.wants.wants(&resource.scope));
                if whole {
                    self.store.replace(version, resources);
                } else {
                    self.store.take(version, resources);
                }
                self.moved(now, true, host);
                self.say_held(host);
            }
        }
    }

    fn collect(&mut self, whole: bool, cut: bool, resources: Vec<Resource>) {
        // A whole set that is begun while a difference is on its way takes its place.
        let mut collected = self
            .collected
            .take()
            .filter(|collected| collected.whole == whole)
            .unwrap_or_else(|| Collected { whole, resources: Vec::new(), bytes: 0, cut: false });
        let mut resources = resources.into_iter();
        if collected.cut
            && let Some(begun) = collected.resources.pop()
            && let Some(first) = resources.next()
        {
            let same =
                (&begun.scope, &begun.name, begun.version) == (&first.scope, &first.name, first.version);
            collected.bytes += crate::store::size(&first);
            collected.resources.push(match (&begun.patch, &first.patch) {
                (Some(begun), Some(rest)) if same => {
                    let patch = Some(format!("{begun}{rest}").into());
                    Resource { patch, ..first }
                }
                // It has changed since; the rest will not come.
                _ => first,
            });
        }
        for resource in resources {
            collected.bytes += crate::store::size(&resource);
            collected.resources.push(resource);
        }
        collected.cut = cut;
        self.collected = Some(collected);
    }

    fn pulsed(&mut self, now: Nanos, holds: Version, digest: u64, age: Nanos, host: &mut impl Host) {
        let behind = holds < self.store.version;
        self.parents.pulse(now, (!behind).then_some(age), host);
        if behind || digest != self.digest() || self.parents.parent().is_none() {
            return;
        }
        if age != Nanos::MAX {
            self.known = self.known.max(Some(now.saturating_sub(age)));
        }
        if holds > self.store.version {
            // Nothing changed for it: it holds the newer version by holding this.
            self.store.take(holds, []);
            self.moved(now, false, host);
            self.say_held(host);
        }
    }

    fn say_held(&mut self, host: &mut impl Host) {
        host.send_up(Up::Holds { version: self.store.version, digest: self.digest() });
    }

    fn say_kept(&mut self, host: &mut impl Host) {
        if let (true, Some(version)) = (self.terms.control, self.disk.has) {
            host.send_up(Up::Kept(version));
        }
    }

    /// This parent won't do: to the next.
    fn leave(&mut self, now: Nanos, host: &mut impl Host) {
        self.collected = None;
        self.parents.end(host);
        self.parents.lost(now, host);
    }

    /// What is held has changed, or its version alone.
    fn moved(&mut self, now: Nanos, content: bool, host: &mut impl Host) {
        self.force.look(now, &self.store, &self.concerns, host);
        let soon = KEEP[usize::from(!content && !self.terms.control)];
        let due = self.disk.wrote.map_or(now, |wrote| now.max(wrote + soon));
        self.disk.due = Some(self.disk.due.map_or(due, |other| other.min(due)));
        self.keep(now, host);
        let holds = self.store.version;
        for child in self.children.numbers() {
            if let Some(one) = self.children.get(child)
                && one.sum.as_ref().is_some_and(|sum| sum.in_force < holds)
            {
                one.behind.get_or_insert((holds, now));
            }
            self.serve(now, child, host);
        }
        self.changed(now, host);
    }

    fn keep(&mut self, now: Nanos, host: &mut impl Host) {
        if self.disk.out.is_some() || self.disk.due.is_none_or(|due| now < due) {
            return;
        }
        (self.disk.due, self.disk.wrote) = (None, Some(now));
        self.disk.out = Some(self.store.version);
        host.keep(&Kept { good: self.force.good(), ..self.store.kept() });
    }

    /// Its disk has this version.
    pub fn kept(&mut self, now: Nanos, version: Version, host: &mut impl Host) {
        if self.disk.out == Some(version) {
            (self.disk.has, self.disk.out) = (Some(version), None);
            if self.parents.parent().is_some() {
                self.say_kept(host);
            }
        }
        self.keep(now, host);
    }

    /// Of the root, by its publisher: these changes are settled, and this version with them.
    pub fn publish(&mut self, now: Nanos, version: Version, resources: Vec<Resource>, host: &mut impl Host) {
        if !self.root {
            return;
        }
        self.published = true;
        if version > self.store.version {
            self.store.take(version, resources);
            self.moved(now, true, host);
        }
    }

    /// This version is in force, but for those that were refused, by scope and name, with the reason: of them what was in
    /// force before still is.
    pub fn in_force(
        &mut self,
        now: Nanos,
        version: Version,
        refused: Vec<(Scope, Name, String)>,
        host: &mut impl Host,
    ) {
        let (asked, good) = self.force.done(now, version, refused);
        if !asked {
            return;
        }
        self.force.look(now, &self.store, &self.concerns, host);
        if good {
            self.disk.due = Some(self.disk.wrote.map_or(now, |wrote| now.max(wrote + KEEP[0])));
            self.keep(now, host);
        }
        self.changed(now, host);
    }

    /// What resources are laid over here has changed, say a file was read again: all are asked for anew.
    pub fn reread(&mut self, now: Nanos, host: &mut impl Host) {
        self.force.again();
        self.force.look(now, &self.store, &self.concerns, host);
        self.changed(now, host);
    }

    /// A child calls.
    pub fn child_up(&mut self, now: Nanos, child: Child, host: &mut impl Host) {
        self.children.add(now, child);
        // Whoever has not said yet who it is has no place; a crowd of them must not take all there are.
        if self.children.len() > self.terms.children + SPARE {
            self.turn_away(now, child, host);
        }
    }

    fn turn_away(&mut self, now: Nanos, child: Child, host: &mut impl Host) {
        host.send_down(child, Down::Full);
        self.drop(now, child, host);
    }

    /// A child said this.
    pub fn child_said(&mut self, now: Nanos, child: Child, message: Up, host: &mut impl Host) {
        let Some(one) = self.children.get(child) else { return };
        one.heard(now);
        match message {
            Up::Subscribe { who, wants, holds, digest } => {
                self.drop_earlier_links(now, child, &who, host);
                if self.children.get(child).is_none() {
                    return;
                }
                // A control machine can go nowhere else than to the root, and others wait for a relay: they find a place
                // where proxies have taken all there are for them.
                if matches!(wants, Interest::Proxy(..)) && self.children.proxies() >= self.terms.children {
                    return self.turn_away(now, child, host);
                }
                if let Some(one) = self.children.get(child) {
                    one.subscribed(now, who, wants, holds, digest);
                }
            }
            Up::Holds { version, digest } => one.holds(version, digest),
            Up::Kept(version) => one.on_disk = Some(version),
            Up::Took => one.took(),
            Up::Sum(sum) => self.summed(now, child, sum),
        }
        self.serve(now, child, host);
        self.changed(now, host);
    }

    /// The same process on two links: only the later one lives.
    fn drop_earlier_links(&mut self, now: Nanos, child: Child, who: &Attachment, host: &mut impl Host) {
        let subscribed = |(link, other): (&Child, &Subscriber)| Some((*link, other.who.clone()?.0));
        let others: Vec<(Child, Attachment)> = self.children.iter().filter_map(subscribed).collect();
        for (link, other) in others {
            if link == child || other.member.name != who.member.name {
                continue;
            }
            let earlier = if other.is_later_than(who) { child } else { link };
            self.drop(now, earlier, host);
        }
    }

    fn summed(&mut self, now: Nanos, child: Child, mut sum: Sum) {
        let holds = self.store.version;
        let named = self.terms.named;
        if sum.exceptions.len() > named {
            let more = (sum.exceptions.len() - named) as u32;
            sum.unnamed = sum.unnamed.saturating_add(more);
            sum.exceptions.truncate(named);
        }
        sum.arrived.truncate(named);
        let Some(one) = self.children.get(child) else { return };
        let Some((who, _)) = one.who.clone() else { return };
        if one.behind.is_none_or(|(version, _)| sum.in_force >= version) {
            one.behind = (sum.in_force < holds).then_some((holds, now));
        }
        let before = one.sum.replace(sum.clone());
        if before.is_none() {
            self.moves.arrived(now, &who);
        }
        let known = before.map(|before| before.arrived).unwrap_or_default();
        for who in sum.arrived.iter().filter(|who| !known.contains(who)) {
            self.moves.arrived(now, who);
        }
    }

    /// Its link is gone.
    pub fn child_lost(&mut self, now: Nanos, child: Child, host: &mut impl Host) {
        let Some(one) = self.children.remove(child) else { return };
        if let (Some((who, _)), Some(sum)) = (one.who, one.sum) {
            self.moves.lost(now, who, sum.in_force, self.terms.children + SPARE);
        }
        self.changed(now, host);
    }

    fn drop(&mut self, now: Nanos, child: Child, host: &mut impl Host) {
        host.drop_child(child);
        self.child_lost(now, child, host);
    }

    fn serve(&mut self, now: Nanos, child: Child, host: &mut impl Host) {
        let age = self.age(now).unwrap_or(Nanos::MAX);
        let terms = &self.terms;
        let control = self.children.get(child).is_some_and(|one| matches!(one.who, Some((_, Interest::All))));
        let (bytes_per_second, part_bytes) = match control {
            true => (terms.control_bytes_per_second, terms.control_part_bytes),
            false => (terms.child_bytes_per_second, terms.part_bytes),
        };
        let bytes_per_second = usize::try_from(bytes_per_second).unwrap_or(usize::MAX);
        let of = Served { store: &self.store, age, bytes_per_second, part_bytes };
        if !self.children.serve(now, child, of, host) {
            self.drop(now, child, host);
        }
    }

    /// The sum may have changed: if so it goes up soon. With a thousand children it is not made for each thing they say.
    fn changed(&mut self, now: Nanos, host: &mut impl Host) {
        self.sum_due = self.sum_due.min(self.looked + SUM[0]);
        self.sum_if_due(now, host);
    }

    fn sum_if_due(&mut self, now: Nanos, host: &mut impl Host) {
        if now >= self.sum_due && self.parents.parent().is_some() {
            (self.looked, self.sum_due) = (now, self.summed + SUM[1]);
            if now >= self.sum_due || self.sum(now) != self.sent {
                self.send_sum(now, host);
            }
        }
    }

    fn send_sum(&mut self, now: Nanos, host: &mut impl Host) {
        (self.summed, self.looked, self.sum_due) = (now, now, now + SUM[1]);
        self.sent = self.sum(now);
        host.send_up(Up::Sum(self.sent.clone()));
    }

    /// Some time has passed.
    pub fn tick(&mut self, now: Nanos, host: &mut impl Host) {
        if self.parents.tick(now, host) {
            self.collected = None;
        }
        for child in self.children.at(now) {
            self.serve(now, child, host);
        }
        self.keep(now, host);
        self.moves.forget_old(now);
        self.sum_if_due(now, host);
    }

    /// When `tick` wants to be called next, at the latest; any event may move it.
    pub fn due(&self) -> Nanos {
        let sum = if self.parents.parent().is_some() { self.sum_due } else { Nanos::MAX };
        let keep = self.disk.due.filter(|_| self.disk.out.is_none()).unwrap_or(Nanos::MAX);
        self.parents.due().min(self.children.due()).min(sum).min(keep)
    }

    fn digest(&self) -> u64 {
        self.store.digest(&self.wants)
    }

    pub fn holds(&self) -> Version {
        self.store.version
    }

    /// How long ago the root is known to have held just this; `None` where nothing is known.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        if self.root && self.published { Some(0) } else { self.known.map(|known| now.saturating_sub(known)) }
    }

    /// Whether what it holds may be older than what is promised.
    pub fn is_old(&self, now: Nanos) -> bool {
        self.age(now).is_none_or(|age| age > OLD)
    }

    /// What is in force at it and below.
    pub fn sum(&self, now: Nanos) -> Sum {
        let Force { in_force, behind, .. } = self.force;
        let late = behind.is_some_and(|since| now >= since + LATE[0]);
        let me = &self.terms.me;
        let mut exceptions = self.force.exceptions(me);
        if late {
            exceptions.insert(0, Exception { who: me.clone(), in_force, why: Why::Late });
        }
        let own = Own { me: me.clone(), in_force, late, exceptions };
        let mut sum = sums::sum(now, self.store.version, own, &self.children, &self.moves, self.terms.named);
        if self.root {
            self.name_unheard(&mut sum);
        }
        sum
    }

    /// Guards the answer "in force everywhere" from a publisher that died: it was nobody's child, so nobody lost it.
    fn name_unheard(&self, sum: &mut Sum) {
        let linked = |name: &Name| {
            let named = |who: &Attachment| who.member.name == *name;
            self.children.iter().any(|(_, one)| one.who.as_ref().is_some_and(|(who, _)| named(who)))
        };
        let here = |name: &Name| linked(name) || sum.exceptions.iter().any(|one| one.who.name == *name);
        let unheard: Vec<&Name> = self.terms.control_machines.iter().filter(|name| !here(name)).collect();
        for name in unheard {
            sum.members = sum.members.saturating_add(1);
            let who = Member { name: name.clone(), incarnation: 0 };
            match sum.exceptions.len() < self.terms.named {
                true => {
                    let why = Why::Lost { attachment: 0 };
                    sum.exceptions.push(Exception { who, in_force: Version::default(), why });
                }
                false => sum.unnamed = sum.unnamed.saturating_add(1),
            }
        }
    }

    /// The parent that it has a link to.
    pub fn parent(&self) -> Option<&str> {
        self.parents.parent()
    }

    pub fn children(&self) -> usize {
        self.children.len()
    }

    /// What it holds, marks of removed ones included, the widest scope first, then by name.
    pub fn resources(&self) -> impl Iterator<Item = &Resource> {
        self.store.iter()
    }

    /// Which control machines have what on disk: itself, and those that are its children.
    pub fn confirmed(&self) -> impl Iterator<Item = (&str, Version)> {
        let own = self.disk.has.map(|version| (self.terms.me.name.as_str(), version));
        let holds = self.store.version;
        let children = self.children.iter().filter_map(move |(_, one)| match &one.who {
            Some((who, Interest::All)) => Some((who.member.name.as_str(), one.on_disk?.min(holds))),
            _ => None,
        });
        own.into_iter().chain(children)
    }

    /// What a majority of so many control machines has on disk.
    pub fn majority(&self, of: usize) -> Version {
        let mut confirmed: Vec<Version> = self.confirmed().map(|(_, version)| version).collect();
        confirmed.sort_by(|one, other| other.cmp(one));
        confirmed.get(of / 2).copied().unwrap_or_default()
    }
}
