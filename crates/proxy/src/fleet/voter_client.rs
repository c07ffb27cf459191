//! Asks voters until one answers: the same ask, under the same number, at one after the other.

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

const MAILBOX_CAPACITY: usize = 256;
/// How long one voter has before the next is asked, and after one that had too much to do.
const VOTER_TIMEOUT: Duration = Duration::from_millis(600);
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

struct Submission {
    operation: Operation,
    deadline: Instant,
    reply_sender: oneshot::Sender<Reply>,
}

/// The way to ask.
#[derive(Clone)]
pub struct VoterClient {
    pub local: LocalProcess,
    submissions: mpsc::Sender<Submission>,
    last_number: Arc<AtomicU64>,
}

impl VoterClient {
    /// A number higher than any before in this process.
    pub fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// `Unknown` where nobody answered in time: it may have been done.
    pub async fn submit_operation(&self, operation: Operation, timeout: Duration) -> Reply {
        let (reply_sender, answer) = oneshot::channel();
        let submission = Submission { operation, deadline: Instant::now() + timeout, reply_sender };
        if self.submissions.send(submission).await.is_err() {
            return Reply::Unknown;
        }
        answer.await.unwrap_or(Reply::Unknown)
    }

    pub async fn submit(&self, kind: OperationKind, timeout: Duration) -> Reply {
        let id = OperationId { process: self.local.id.clone(), number: self.next_number() };
        self.submit_operation(Operation { id, kind }, timeout).await
    }
}

struct Pending {
    submission: Submission,
    last_voter: Option<Name>,
    retry_at: Instant,
}

struct Actor {
    name: Name,
    links: VoterLinks,
    own_voter: Option<VoterHandle>,
    own_voter_answers: mpsc::Sender<Frame>,
    pending: HashMap<OperationId, Pending>,
    /// Who answered last: the first to be asked next.
    preferred: Option<Name>,
}

pub fn start(
    local: &LocalProcess,
    links: VoterLinks,
    mut answers: mpsc::Receiver<Answer>,
    own_voter: Option<VoterHandle>,
    actors: &mut JoinSet<()>,
) -> VoterClient {
    let (submissions, mut submitted) = mpsc::channel::<Submission>(MAILBOX_CAPACITY);
    let (own_voter_answers, mut own_voter_answered) = mpsc::channel(MAILBOX_CAPACITY);
    let name = local.id.name.clone();
    let mut actor =
        Actor { name, links, own_voter, own_voter_answers, pending: HashMap::new(), preferred: None };
    actors.spawn(async move {
        let mut check = interval(CHECK_INTERVAL);
        check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let idle = actor.pending.is_empty();
            tokio::select! {
                submission = submitted.recv() => match submission {
                    Some(submission) => {
                        let id = submission.operation.id.clone();
                        actor.pending.insert(id.clone(), Pending { submission, last_voter: None, retry_at: Instant::now() });
                        actor.send_to_next_voter(&id);
                    }
                    None => return,
                },
                Some(answer) = answers.recv() => actor.answer_received(answer),
                Some(frame) = own_voter_answered.recv() => if let Frame::Answer(answer) = frame {
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
            // Another may know; this one does not.
            pending.retry_at = Instant::now() + BUSY_RETRY_DELAY;
            return;
        }
        if let Some(pending) = self.pending.remove(&answer.id) {
            self.preferred = pending.last_voter;
            let _ = pending.submission.reply_sender.send(answer.reply);
        }
    }

    fn expire_and_retry(&mut self) {
        let now = Instant::now();
        let finished = |pending: &Pending| {
            pending.submission.deadline <= now || pending.submission.reply_sender.is_closed()
        };
        let ended: Vec<OperationId> =
            self.pending.iter().filter(|(_, pending)| finished(pending)).map(|(id, _)| id.clone()).collect();
        for id in &ended {
            let Some(pending) = self.pending.remove(id) else { continue };
            self.demote(pending.last_voter);
            let _ = pending.submission.reply_sender.send(Reply::Unknown);
        }
        let due: Vec<OperationId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.retry_at <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter().for_each(|id| self.send_to_next_voter(id));
    }

    /// Who did not answer is not asked first again: with asks that wait no longer than one voter has for its answer, it
    /// would be the only one ever asked.
    fn demote(&mut self, last_voter: Option<Name>) {
        if last_voter.is_some() && (self.preferred.is_none() || self.preferred == last_voter) {
            let next = self.links.connected().find(|name| Some(*name) > last_voter.as_ref()).cloned();
            self.preferred = next.or_else(|| self.links.connected().next().cloned());
        }
    }

    /// Asks who answered last, or the next after whom it was asked last.
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
                own_voter.try_send(VoterEvent::Submit(operation, self.own_voter_answers.clone()))
            }
            _ => _ = self.links.send(voter, Frame::Submit(operation)),
        }
        pending.last_voter = Some(voter.clone());
        pending.retry_at = Instant::now() + VOTER_TIMEOUT;
    }
}
