//! The interface between the decisions and the process that runs them, and the plain types that both sides
//! use. Nodes and routes are small indices that the host assigns; times are whole nanoseconds.

/// A point in time or a duration, in nanoseconds. Points in time count from the host's own epoch.
pub type Nanos = u64;
/// Index of a cache node or of the origin.
pub type Node = usize;
/// Id of an accepted client request, which must get exactly one final answer. Ids count from 1.
pub type RequestId = u64;

/// The actions that the decisions can ask for. Each takes effect immediately, in the order of the calls.
pub trait Host {
    /// Starts the request's next upstream attempt, which ends as `Overdue` after `timeout`. A request's
    /// attempts are numbered from 0.
    fn send(&mut self, id: RequestId, node: Node, timeout: Nanos);
    /// Cancels the request's attempt unless its last byte has been sent; a cancelled attempt ends as
    /// `Unsent`. Hosts that send attempts immediately have nothing to cancel.
    fn cancel_unsent(&mut self, _id: RequestId) {}
    /// Sends the final answer that the client may safely retry, after `pause` where it honours that; 0 for no
    /// pause.
    fn shed(&mut self, id: RequestId, pause: Nanos);
    /// Sends the final answer that the request failed, with no statement on whether a retry is safe.
    fn error(&mut self, id: RequestId);
    /// The request has its final answer and no attempt in flight: its id is not used again.
    fn release_request(&mut self, id: RequestId);
    /// Asks for a call of `Balancer::timer_fired` with this token at this time.
    fn set_timer(&mut self, at: Nanos, token: u64);
    /// Sends a health probe, to be answered by a call of `Balancer::probe_finished`.
    fn probe(&mut self, node: Node);
    /// The node is gone and has nothing in flight: its index may be given to another node.
    fn release_node(&mut self, node: Node);
    /// Asks discovery to report changes of the node list from now on.
    fn watch_node_list(&mut self);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
    /// The request was given up for this reason, after this many attempts. Its final answer was asked for
    /// just before.
    fn given_up(&mut self, _id: RequestId, _reason: GiveUpReason, _attempts: usize) {}
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// Earlier requests for its key, which must keep their order, would delay it for too long.
    KeyBusy,
    /// No cache had capacity left, and its tenant has exceeded its quota.
    OverQuota,
    /// No cache had capacity left, and the queue for capacity was full.
    QueueFull,
    /// It waited for capacity, for its turn on the key or for a fetch until its waiting time was over.
    WaitedTooLong,
    /// The queue for the origin was full, and the other queued fetches have a higher payoff.
    FetchQueueFull,
    /// No node may be sent the request: none is ready, or its attempts are used up.
    NoNode,
    /// The origin refused it because of overload.
    OriginBusy,
    /// The host could not send its attempt.
    NotSent,
    /// Its response broke off after the client had received a part of it.
    BrokeOff,
    /// Its client's deadline has passed.
    OutOfTime,
    /// The proxy stops, and no attempt can answer it any more.
    Stopping,
}

impl GiveUpReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [GiveUpReason; 11] = {
        use GiveUpReason::*;
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
            Stopping,
        ]
    };

    /// The name in counters and logs.
    pub fn name(self) -> &'static str {
        match self {
            GiveUpReason::KeyBusy => "key_busy",
            GiveUpReason::OverQuota => "over_quota",
            GiveUpReason::QueueFull => "queue_full",
            GiveUpReason::WaitedTooLong => "waited_too_long",
            GiveUpReason::FetchQueueFull => "fetch_queue_full",
            GiveUpReason::NoNode => "no_node",
            GiveUpReason::OriginBusy => "origin_busy",
            GiveUpReason::NotSent => "not_sent",
            GiveUpReason::BrokeOff => "broke_off",
            GiveUpReason::OutOfTime => "out_of_time",
            GiveUpReason::Stopping => "stopping",
        }
    }
}

/// Parameters of a client request.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestParams {
    /// Index of the route in the settings.
    pub route: usize,
    /// Index of the tenant in the settings; None where the client names none or an unknown one.
    pub tenant: Option<usize>,
    /// Hash of the cache key; None for a request without a key.
    pub key: Option<u64>,
    /// Whether the request writes. Writes go to the origin.
    pub write: bool,
    /// The work that the client expects the request to cause, where it says so.
    pub work_hint: Option<Nanos>,
    /// How long the client waits for the final answer, from its arrival.
    pub client_timeout: Nanos,
    /// The client says that this is a retry.
    pub is_retry: bool,
}

impl RequestParams {
    /// Work of the request: the client's hint in milliseconds, otherwise 1.
    pub fn work(&self) -> f64 {
        self.work_hint.map_or(1.0, |work_hint| work_hint as f64 / 1e6)
    }
}

/// The load that a node reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReportedLoad {
    /// Requests waiting and in service.
    InFlight(f64),
    /// Requests waiting only.
    Queued(f64),
}

/// How an upstream attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The node answered with a value.
    Completed,
    /// The node answered with an error.
    Errored,
    /// The node refused the request because of overload, without running it.
    Saturated,
    /// No answer within the attempt's timeout.
    Overdue,
    /// No connection could be established.
    Unreachable,
    /// The connection broke while the attempt was in flight.
    Severed,
    /// The attempt was cancelled after it had been sent.
    Withdrawn,
    /// The host did not send it: it lacked resources, or the attempt was cancelled first.
    Unsent,
    /// The cache node does not have the key.
    Missed,
    /// The node rejected the request as invalid: the fault is the client's.
    Rejected,
}

impl Outcome {
    /// Whether the node worked as intended: it had the value, or reported that it does not have it.
    pub fn is_success(self) -> bool {
        matches!(self, Outcome::Completed | Outcome::Missed)
    }

    /// Whether the attempt may still be running at the node although nobody waits for it.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::Overdue | Outcome::Severed | Outcome::Withdrawn)
    }

    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        use Outcome::{Missed, Rejected, Saturated, Unreachable, Unsent};
        matches!(self, Saturated | Unreachable | Unsent | Missed | Rejected)
    }
}

/// Whether a node may be sent requests, as discovery lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeStatus {
    /// May be sent requests.
    Ready,
    /// Gets no new requests; those in flight may end.
    Draining,
    /// Has left, or was never listed.
    #[default]
    Gone,
}

/// A node as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub struct ListedNode {
    /// A hash of the node's address, the same at every proxy.
    pub identity: u64,
    /// Index of its zone.
    pub zone: usize,
    /// Number of its cell, a group of nodes that share what they have deduplicated.
    pub cell: u64,
    /// Whether it may be sent requests.
    pub status: NodeStatus,
    /// When its process started; 0 if that is long ago.
    pub started: Nanos,
    /// Whether this is the origin.
    pub origin: bool,
    /// Index of its machine type. Nodes of one type are about equally fast.
    pub machine_type: usize,
    /// Its capacity relative to other nodes, as discovery states it.
    pub weight: f64,
}

impl Default for ListedNode {
    fn default() -> Self {
        ListedNode {
            identity: 0,
            zone: 0,
            cell: 0,
            status: NodeStatus::Gone,
            started: 0,
            origin: false,
            machine_type: 0,
            weight: 1.0,
        }
    }
}

impl ListedNode {
    /// Whether, under this scope, a retry at one of the two nodes is discarded if the other has run the
    /// request.
    pub fn shares_dedup_scope(&self, scope: DedupScope, other: &ListedNode) -> bool {
        match scope {
            DedupScope::Fleet => true,
            DedupScope::Zone => self.zone == other.zone,
            DedupScope::Cell => self.cell == other.cell,
        }
    }
}

/// Whether requests of a route may run more than once; the strictest variant is last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetrySafety {
    /// May run any number of times on any node.
    Retriable,
    /// May be repeated on nodes within this scope, which discard duplicates.
    Deduped(DedupScope),
    /// Must not be repeated once it may have run.
    NonRetriable,
}

impl RetrySafety {
    /// Whether a client may be told to retry.
    pub fn client_may_retry(self, may_have_run: bool) -> bool {
        !may_have_run || matches!(self, RetrySafety::Retriable | RetrySafety::Deduped(DedupScope::Fleet))
    }
}

/// The nodes that share their record of requests for deduplication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DedupScope {
    /// All nodes.
    Fleet,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell.
    Cell,
}
