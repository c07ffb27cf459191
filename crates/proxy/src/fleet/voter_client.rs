//! Asks voters until one answers: the same ask, under the same number, at one after the other.

use crate::fleet::local_process::Me;
use crate::fleet::outbound::Links;
use crate::fleet::voter_handle::{Door, Event};
use crate::fleet::wire::Frame;
use pumicebay_accord::{Answer, Name, Operation, OperationId, OperationKind, Reply};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

const MAILBOX: usize = 256;
/// How long one voter has before the next is asked, and after one that had too much to do.
const PATIENCE: Duration = Duration::from_millis(600);
const BUSY: Duration = Duration::from_millis(50);
const LOOK: Duration = Duration::from_millis(25);

struct Order {
    ask: Operation,
    until: Instant,
    done: oneshot::Sender<Reply>,
}

/// The way to ask.
#[derive(Clone)]
pub struct Asker {
    pub me: Me,
    orders: mpsc::Sender<Order>,
    last: Arc<AtomicU64>,
}

impl Asker {
    /// A number higher than any before in this process.
    pub fn number(&self) -> u64 {
        self.last.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// `Unknown` where nobody answered in time: it may have been done.
    pub async fn ask(&self, ask: Operation, patience: Duration) -> Reply {
        let (done, answer) = oneshot::channel();
        let order = Order { ask, until: Instant::now() + patience, done };
        if self.orders.send(order).await.is_err() {
            return Reply::Unknown;
        }
        answer.await.unwrap_or(Reply::Unknown)
    }

    pub async fn want(&self, want: OperationKind, patience: Duration) -> Reply {
        let id = OperationId { process: self.me.who.clone(), number: self.number() };
        self.ask(Operation { id, kind: want }, patience).await
    }
}

struct Open {
    order: Order,
    asked: Option<Name>,
    next: Instant,
}

struct Actor {
    name: Name,
    links: Links,
    own: Option<Door>,
    own_answers: mpsc::Sender<Frame>,
    open: HashMap<OperationId, Open>,
    /// Who answered last: the first to be asked next.
    good: Option<Name>,
}

pub fn start(
    me: &Me,
    links: Links,
    mut answered: mpsc::Receiver<Answer>,
    own: Option<Door>,
    actors: &mut JoinSet<()>,
) -> Asker {
    let (orders, mut ordered) = mpsc::channel::<Order>(MAILBOX);
    let (own_answers, mut own_answered) = mpsc::channel(MAILBOX);
    let name = me.who.name.clone();
    let mut actor = Actor { name, links, own, own_answers, open: HashMap::new(), good: None };
    actors.spawn(async move {
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let idle = actor.open.is_empty();
            tokio::select! {
                order = ordered.recv() => match order {
                    Some(order) => {
                        let id = order.ask.id.clone();
                        actor.open.insert(id.clone(), Open { order, asked: None, next: Instant::now() });
                        actor.try_next(&id);
                    }
                    None => return,
                },
                Some(answer) = answered.recv() => actor.answered(answer),
                Some(frame) = own_answered.recv() => if let Frame::Answer(answer) = frame {
                    actor.answered(answer);
                },
                _ = look.tick(), if !idle => actor.look(),
            }
        }
    });
    Asker { me: me.clone(), orders, last: Arc::default() }
}

impl Actor {
    fn answered(&mut self, answer: Answer) {
        let Some(open) = self.open.get_mut(&answer.id) else { return };
        if matches!(answer.reply, Reply::Busy | Reply::Unknown) {
            // Another may know; this one does not.
            open.next = Instant::now() + BUSY;
            return;
        }
        if let Some(open) = self.open.remove(&answer.id) {
            self.good = open.asked;
            let _ = open.order.done.send(answer.reply);
        }
    }

    fn look(&mut self) {
        let now = Instant::now();
        let over = |open: &Open| open.order.until <= now || open.order.done.is_closed();
        let ended: Vec<OperationId> =
            self.open.iter().filter(|(_, open)| over(open)).map(|(id, _)| id.clone()).collect();
        for id in &ended {
            let Some(open) = self.open.remove(id) else { continue };
            self.mistrust(open.asked);
            let _ = open.order.done.send(Reply::Unknown);
        }
        let due: Vec<OperationId> =
            self.open.iter().filter(|(_, open)| open.next <= now).map(|(id, _)| id.clone()).collect();
        due.iter().for_each(|id| self.try_next(id));
    }

    /// Who did not answer is not asked first again: with asks that wait no longer than one voter has for its answer, it
    /// would be the only one ever asked.
    fn mistrust(&mut self, asked: Option<Name>) {
        if asked.is_some() && (self.good.is_none() || self.good == asked) {
            let next = self.links.up().find(|name| Some(*name) > asked.as_ref()).cloned();
            self.good = next.or_else(|| self.links.up().next().cloned());
        }
    }

    /// Asks who answered last, or the next after whom it was asked last.
    fn try_next(&mut self, id: &OperationId) {
        if let Some(asked) = self.open.get(id).and_then(|open| open.asked.clone()) {
            self.mistrust(Some(asked));
        }
        let Some(open) = self.open.get_mut(id) else { return };
        let mut all: Vec<&Name> = self.links.up().collect();
        if self.own.is_some() {
            all.push(&self.name);
        }
        all.sort();
        let good = self.good.as_ref().and_then(|good| all.iter().position(|name| *name == good));
        let at = match &open.asked {
            None => good.unwrap_or(0),
            Some(last) => all.iter().position(|name| *name > last).unwrap_or(0),
        };
        let Some(&to) = all.get(at) else {
            open.next = Instant::now() + BUSY;
            return;
        };
        let ask = open.order.ask.clone();
        match &self.own {
            Some(own) if *to == self.name => own.post(Event::Ask(ask, self.own_answers.clone())),
            _ => _ = self.links.send(to, Frame::Ask(ask)),
        }
        open.asked = Some(to.clone());
        open.next = Instant::now() + PATIENCE;
    }
}
