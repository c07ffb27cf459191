//! What the decisions need from whoever runs them, and the plain types that both sides use.
//! Nodes and routes are small indices given out at the door; times are whole nanoseconds.

pub type Nanos = u64;
/// A cache node, or the origin.
pub type Node = usize;
/// A request: one client attempt that a proxy has accepted and owes one final answer.
pub type RequestId = u64;

/// The acts that the decisions can ask for. Each takes effect at once, in the order of the calls.
pub trait Host {
    /// Starts the request's next upstream attempt; the attempts of a request count from 0.
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos);
    /// Takes back the request's attempt unless its last byte has been sent: it then ends as `Unsent`. A host whose
    /// attempts go out at once has none to take back.
    fn recall(&mut self, _xchg: RequestId) {}
    /// Final answer: the client may safely come back, after `pause` where it heeds that.
    fn shed(&mut self, id: RequestId, pause: Nanos);
    /// Final answer without any promise.
    fn error(&mut self, id: RequestId);
    /// The request has its answer and no attempt is out: its number will not be used again.
    fn forget(&mut self, id: RequestId);
    /// Asks for `Balance::woke` with this token at that time.
    fn wake(&mut self, at: Nanos, token: u64);
    /// Asks for `Balance::probed`.
    fn probe(&mut self, node: Node);
    /// The node is gone and owes nothing: its number may be given to another.
    fn dismiss(&mut self, node: Node);
    /// Asks discovery for changes from now on.
    fn follow(&mut self);
    fn log(&mut self, line: &str);
    /// The request is given up for this reason, after so many attempts; its final answer was asked for just before.
    fn given_up(&mut self, _id: RequestId, _reason: GiveUp, _attempts: usize) {}
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// Those of its key that were taken before it would keep it for too long.
    KeyBusy,
    /// Its tenant has had more than its quota while there was no room.
    OverQuota,
    /// There was no room, and none in the wait queue.
    QueueFull,
    /// It waited for room, for its key or for a fetch for as long as it may.
    WaitedTooLong,
    /// Others are worth more than this one in the queue for the origin.
    FetchQueueFull,
    /// No node may be sent it: none is ready, or its attempts are used up.
    NoNode,
    /// The origin turned it away.
    OriginBusy,
    /// The host could not send its attempt.
    NotSent,
    /// Its answer broke off after the client had some of it.
    BrokeOff,
    /// Its client waits no longer.
    OutOfTime,
}

impl GiveUp {
    /// All of them, in the order of their numbers.
    pub const ALL: [GiveUp; 10] = {
        use GiveUp::*;
        [
            KeyBusy,
            OverQuota,
            QueueFull,
            WaitedTooLong,
            FetchQueueFull,
            NoNode,
            OriginBusy,
            NotSent,
            BrokeOff,
            OutOfTime,
        ]
    };

    /// As counters and logs have it.
    pub fn name(self) -> &'static str {
        match self {
            GiveUp::KeyBusy => "key_busy",
            GiveUp::OverQuota => "over_quota",
            GiveUp::QueueFull => "queue_full",
            GiveUp::WaitedTooLong => "waited_too_long",
            GiveUp::FetchQueueFull => "fetch_queue_full",
            GiveUp::NoNode => "no_node",
            GiveUp::OriginBusy => "origin_busy",
            GiveUp::NotSent => "not_sent",
            GiveUp::BrokeOff => "broke_off",
            GiveUp::OutOfTime => "out_of_time",
        }
    }
}

/// A request as the client asked for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ask {
    pub route: usize,
    pub tenant: Option<usize>,
    pub key: Option<u64>,
    pub write: bool,
    /// The work to expect, where clients say so.
    pub hint: Option<Nanos>,
    /// How long this client waits.
    pub grace: Nanos,
    /// The client says that it asked before.
    pub retry: bool,
}

impl Ask {
    /// Its work as far as known: by the client's hint, in milliseconds, else each alike.
    pub fn work(&self) -> f64 {
        self.hint.map_or(1.0, |hint| hint as f64 / 1e6)
    }
}

/// What a node says that it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Held {
    /// Requests waiting and in work.
    InFlight(f64),
    /// Requests waiting alone.
    Waiting(f64),
}

/// How an upstream attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Completed,
    Errored,
    /// Turned away unseen.
    Saturated,
    Overdue,
    /// No connection came about.
    Unreachable,
    Severed,
    Withdrawn,
    /// The host did not send it, for want of its own or because it was taken back.
    Unsent,
    /// The cache node lacks the key.
    Missed,
    /// The node can't use what was asked, and said so: the fault is the client's.
    Rejected,
}

impl Outcome {
    /// The node did what it was asked: it had the value or could tell that it lacks it.
    pub fn serves(self) -> bool {
        matches!(self, Outcome::Completed | Outcome::Missed)
    }

    /// Whether the attempt may run yet, though nobody waits for it.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::Overdue | Outcome::Severed | Outcome::Withdrawn)
    }

    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        use Outcome::{Missed, Rejected, Saturated, Unreachable, Unsent};
        matches!(self, Saturated | Unreachable | Unsent | Missed | Rejected)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// A node as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub struct Listed {
    /// A hash of the node's address, the same at every proxy.
    pub identity: u64,
    pub zone: usize,
    pub cell: u64,
    pub standing: Standing,
    /// When its process started; 0 for long ago.
    pub started: Nanos,
    pub origin: bool,
    /// Its kind of machine: nodes of one kind are about as fast.
    pub kind: usize,
    /// Its size beside that of others, as the list states it.
    pub rating: f64,
}

impl Default for Listed {
    fn default() -> Self {
        Listed {
            identity: 0,
            zone: 0,
            cell: 0,
            standing: Standing::Gone,
            started: 0,
            origin: false,
            kind: 0,
            rating: 1.0,
        }
    }
}

impl Listed {
    /// Whether a repeat at one of these nodes is discarded if the other ran it.
    pub fn shares(&self, scope: Scope, other: &Listed) -> bool {
        match scope {
            Scope::Fleet => true,
            Scope::Zone => self.zone == other.zone,
            Scope::Cell => self.cell == other.cell,
        }
    }
}

/// Whether a request of a route may run again, the strictest last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Repeat {
    Retriable,
    /// Repeats are discarded by the nodes of this scope.
    Deduped(Scope),
    NonRetriable,
}

impl Repeat {
    /// Whether a client may be told to come back.
    pub fn harmless(self, may_have_run: bool) -> bool {
        !may_have_run || matches!(self, Repeat::Retriable | Repeat::Deduped(Scope::Fleet))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    Fleet,
    Zone,
    Cell,
}
