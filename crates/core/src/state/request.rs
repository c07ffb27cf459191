//! A request that is not wholly over, and its attempts. A plain record, no choices.

use crate::host::{Ask, Nanos, Node, Outcome, Repeat};
use crate::state::Route;
use smallvec::SmallVec;

/// A request that is not wholly over: it awaits its final answer, or outcomes of its attempts.
#[derive(Clone, Debug)]
pub struct RequestState {
    pub ask: Ask,
    /// Its route as it was when the request arrived, whatever became of the settings since.
    pub route: Route,
    pub arrived: Nanos,
    pub attempts: SmallVec<[Attempt; 2]>,
    /// Has its final answer.
    pub over: bool,
    /// The answer has begun to stream.
    pub under_way: bool,
    /// Fetches its key for others too.
    pub fetching: bool,
    /// What its answer is worth.
    pub worth: u64,
    /// How long it is held at most, and how long its client waits once an attempt is out.
    pub until: Nanos,
    /// Waits until those of its key that were taken before it are over.
    pub waits: bool,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub node: Node,
    pub sent: Nanos,
    pub out: bool,
    pub missed: bool,
    /// Ended in an error that nobody has been blamed for.
    pub errored: bool,
    pub may_have_run: bool,
}

impl RequestState {
    pub fn new(ask: Ask, route: Route, now: Nanos, worth: u64) -> Self {
        RequestState {
            ask,
            route,
            arrived: now,
            attempts: SmallVec::new(),
            over: false,
            under_way: false,
            fetching: false,
            until: 0,
            waits: false,
            worth,
        }
    }

    pub fn start(&mut self, now: Nanos, node: Node) {
        self.attempts.push(Attempt {
            node,
            sent: now,
            out: true,
            missed: false,
            errored: false,
            may_have_run: true,
        });
    }

    /// Notes how an attempt ended; nothing for one that is not out.
    pub fn end(&mut self, attempt: usize, outcome: Outcome, over: bool) -> Option<Attempt> {
        let this = self.attempts.get_mut(attempt).filter(|t| t.out)?;
        self.over |= over;
        this.out = false;
        this.missed = outcome == Outcome::Missed;
        this.errored = outcome == Outcome::Errored;
        this.may_have_run = !outcome.never_ran();
        Some(*this)
    }

    /// Until when its last attempt is discarded where an earlier one ran; for ever where it need not be. Guards rule 2
    /// from a repeat that waits to go out: it goes out within the window or not at all.
    pub fn discarded_until(&self) -> Nanos {
        let earlier =
            self.attempts.split_last().and_then(|(_, earlier)| earlier.iter().find(|t| t.may_have_run));
        match (self.route.repeat, earlier) {
            (Repeat::Deduped(_), Some(first)) => first.sent + self.route.window,
            _ => Nanos::MAX,
        }
    }

    pub fn tried(&self, node: Node) -> bool {
        self.attempts.iter().any(|t| t.node == node)
    }

    /// The nodes that were tried, by number, each once.
    pub fn nodes(&self, into: &mut Vec<Node>) {
        into.clear();
        into.extend(self.attempts.iter().map(|t| t.node));
        into.sort_unstable();
        into.dedup();
    }

    /// The nodes of attempts that ended in errors; each is named once.
    pub fn blamed(&mut self) -> SmallVec<[Node; 2]> {
        let errored = |t: &mut Attempt| std::mem::take(&mut t.errored).then_some(t.node);
        self.attempts.iter_mut().filter_map(errored).collect()
    }

    pub fn errors(&self) -> usize {
        self.attempts.iter().filter(|t| t.errored).count()
    }

    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|t| t.may_have_run)
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|t| t.out).count()
    }

    /// The key whose order it keeps.
    pub fn ordered(&self) -> Option<u64> {
        self.ask.key.filter(|_| self.route.ordered)
    }

    /// Awaits a decision: no answer yet and nothing out.
    pub fn held(&self) -> bool {
        !self.over && self.out() == 0
    }

    pub fn ends(&self) -> Nanos {
        self.arrived + self.ask.grace
    }

    /// The first node that lacked the key: the origin's answer will be kept there.
    pub fn missed(&self) -> Option<Node> {
        self.attempts.iter().find(|t| t.missed).map(|t| t.node)
    }
}
