//! Submits operations to the voters. An operation is sent to one voter after another, under the same
//! operation id, until one of them answers.

use crate::fleet::local_process::LocalProcess;
use crate::fleet::outbound::VoterLinks;
use crate::fleet::voter_handle::{VoterEvent, VoterHandle};
use crate::fleet::wire::Frame;
use pumicebay_accord::{Answer, Name, Operation, OperationId, OperationKind, Reply};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// The capacity of the channels to the actor.
const MAILBOX_CAPACITY: usize = 256;
/// How long to wait for one voter's answer before the operation is sent to the next voter.
const VOTER_TIMEOUT: Duration = Duration::from_millis(600);
/// The delay before the next voter is tried after a voter was busy or none was connected.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often pending operations are checked for deadlines and retries.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// An operation on its way to the actor.
struct Submission {
    operation: Operation,
    deadline: Instant,
    reply_sender: oneshot::Sender<Reply>,
}

/// A handle that submits operations to the voters. Clones share one actor and one number sequence.
#[derive(Clone)]
pub struct VoterClient {
    /// The process that submits.
    pub local: LocalProcess,
    submissions: mpsc::Sender<Submission>,
    last_number: Arc<AtomicU64>,
}

impl VoterClient {
    /// Returns a number higher than all numbers returned before in this process.
    pub fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Submits an operation and returns the reply. Returns `Reply::Unknown` if no voter answered within
    /// `timeout`; the operation may have been applied nevertheless.
    pub async fn submit_operation(&self, operation: Operation, timeout: Duration) -> Reply {
        let (reply_sender, reply) = oneshot::channel();
        let submission = Submission { operation, deadline: Instant::now() + timeout, reply_sender };
        if self.submissions.send(submission).await.is_err() {
            return Reply::Unknown;
        }
        reply.await.unwrap_or(Reply::Unknown)
    }

    /// Submits an operation of this kind under a new operation id; see `submit_operation`.
    pub async fn submit(&self, kind: OperationKind, timeout: Duration) -> Reply {
        let id = OperationId { process: self.local.id.clone(), number: self.next_number() };
        self.submit_operation(Operation { id, kind }, timeout).await
    }
}

/// An operation without a reply yet.
struct Pending {
    submission: Submission,
    /// The voter that it was sent to last.
    last_voter: Option<Name>,
    retry_at: Instant,
}

/// Sends pending operations to voters and matches the answers.
struct Actor {
    name: Name,
    links: VoterLinks,
    own_voter: Option<VoterHandle>,
    own_voter_answer_sender: mpsc::Sender<Frame>,
    pending: HashMap<OperationId, Pending>,
    /// The voter to which new operations are sent first: normally the one that answered last.
    preferred: Option<Name>,
}

/// Starts the actor and returns its handle. `answers` are the answers from the links; `own_voter` is the
/// voter of this process, if it has one.
pub fn start(
    local: &LocalProcess,
    links: VoterLinks,
    mut answers: mpsc::Receiver<Answer>,
    own_voter: Option<VoterHandle>,
    actors: &mut JoinSet<()>,
) -> VoterClient {
    let (submissions, mut received) = mpsc::channel::<Submission>(MAILBOX_CAPACITY);
    let (own_voter_answer_sender, mut own_voter_answers) = mpsc::channel(MAILBOX_CAPACITY);
    let name = local.id.name.clone();
    let mut actor =
        Actor { name, links, own_voter, own_voter_answer_sender, pending: HashMap::new(), preferred: None };
    actors.spawn(async move {
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let idle = actor.pending.is_empty();
            tokio::select! {
                submission = received.recv() => match submission {
                    Some(submission) => {
                        let id = submission.operation.id.clone();
                        actor.pending.insert(id.clone(), Pending { submission, last_voter: None, retry_at: Instant::now() });
                        actor.send_to_next_voter(&id);
                    }
                    None => return,
                },
                Some(answer) = answers.recv() => actor.answer_received(answer),
                Some(frame) = own_voter_answers.recv() => if let Frame::Answer(answer) = frame {
                    actor.answer_received(answer);
                },
                _ = check.tick(), if !idle => actor.expire_and_retry(),
            }
        }
    });
    VoterClient { local: local.clone(), submissions, last_number: Arc::default() }
}

impl Actor {
    fn answer_received(&mut self, answer: Answer) {
        let Some(pending) = self.pending.get_mut(&answer.id) else { return };
        if matches!(answer.reply, Reply::Busy | Reply::Unknown) {
            // Another voter may be able to answer.
            pending.retry_at = Instant::now() + BUSY_RETRY_DELAY;
            return;
        }
        if let Some(pending) = self.pending.remove(&answer.id) {
            self.preferred = pending.last_voter;
            let _ = pending.submission.reply_sender.send(answer.reply);
        }
    }

    /// Ends operations whose deadline has passed or whose submitter is gone, and resends those that are due.
    fn expire_and_retry(&mut self) {
        let now = Instant::now();
        let is_finished = |pending: &Pending| {
            pending.submission.deadline <= now || pending.submission.reply_sender.is_closed()
        };
        let finished_ids: Vec<OperationId> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_finished(pending))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &finished_ids {
            let Some(pending) = self.pending.remove(id) else { continue };
            self.demote(pending.last_voter);
            let _ = pending.submission.reply_sender.send(Reply::Unknown);
        }
        let due_ids: Vec<OperationId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.retry_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due_ids.iter().for_each(|id| self.send_to_next_voter(id));
    }

    /// Stops preferring a voter that did not answer. Otherwise, operations with a timeout of at most
    /// `VOTER_TIMEOUT` would only ever be sent to that voter.
    fn demote(&mut self, last_voter: Option<Name>) {
        if last_voter.is_some() && (self.preferred.is_none() || self.preferred == last_voter) {
            let next = self.links.connected().find(|name| Some(*name) > last_voter.as_ref()).cloned();
            self.preferred = next.or_else(|| self.links.connected().next().cloned());
        }
    }

    /// Sends the operation to the preferred voter, or to the voter after the one that it was sent to last, by
    /// name.
    fn send_to_next_voter(&mut self, id: &OperationId) {
        if let Some(last_voter) = self.pending.get(id).and_then(|pending| pending.last_voter.clone()) {
            self.demote(Some(last_voter));
        }
        let Some(pending) = self.pending.get_mut(id) else { return };
        let mut voters: Vec<&Name> = self.links.connected().collect();
        if self.own_voter.is_some() {
            voters.push(&self.name);
        }
        voters.sort();
        let preferred =
            self.preferred.as_ref().and_then(|preferred| voters.iter().position(|name| *name == preferred));
        let index = match &pending.last_voter {
            None => preferred.unwrap_or(0),
            Some(last) => voters.iter().position(|name| *name > last).unwrap_or(0),
        };
        let Some(&voter) = voters.get(index) else {
            pending.retry_at = Instant::now() + BUSY_RETRY_DELAY;
            return;
        };
        let operation = pending.submission.operation.clone();
        match &self.own_voter {
            Some(own_voter) if *voter == self.name => {
                own_voter.try_send(VoterEvent::Submit(operation, self.own_voter_answer_sender.clone()))
            }
            _ => _ = self.links.send(voter, Frame::Submit(operation)),
        }
        pending.last_voter = Some(voter.clone());
        pending.retry_at = Instant::now() + VOTER_TIMEOUT;
    }
}
