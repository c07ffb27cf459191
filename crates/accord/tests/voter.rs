//! A single voter: the trace of what it persists, sends and answers.

use expect_test::expect;
use pumicebay_accord::{
    Answer, Ballot, DurableState, Host, Member, Message, Nanos, Operation, OperationId, OperationKind,
    ProcessId, Record, SharedRecord, StoreId, Voter, VoterConfig, VotingState,
};

const MILLI: Nanos = 1_000_000;

#[derive(Default)]
struct Trace {
    lines: String,
    prepared: Vec<Ballot>,
    wake_at: Nanos,
}

impl Host for Trace {
    fn persist(&mut self, state: &DurableState) {
        self.lines += &format!("persist {} promised {}\n", state.write_count, state.promised.round);
    }
    fn send(&mut self, to: StoreId, message: Message) {
        if let Message::Prepare(ballot, _) = message {
            self.prepared.push(ballot);
        }
        let text_of = format!("{message:?}");
        self.lines += &format!("to {to}: {}\n", text_of.split(['(', ' ']).next().unwrap_or_default());
    }
    fn answer(&mut self, answer: Answer) {
        self.lines += &format!("{} {}: {:?}\n", answer.id.process, answer.id.number, answer.reply);
    }
    fn committed(&mut self, record: &SharedRecord) {
        self.lines += &format!("settled {}\n", record.0.version);
    }
    fn wake_at(&mut self, at: Nanos) {
        self.wake_at = at;
    }
    fn random(&mut self) -> f64 {
        1.0
    }
    fn voting_state_changed(&mut self, state: VotingState) {
        self.lines += &format!("{state:?}\n");
    }
}

fn voter(trace: &mut Trace, max_pending: usize) -> Voter {
    let voters = ["a", "b", "c"].iter().zip(1..).map(|(name, store)| Member { name: (*name).into(), store });
    let config = VoterConfig {
        drift_ppm: 10_000,
        round_timeout: 200 * MILLI,
        operation_timeout: 2000 * MILLI,
        max_pending,
        eligible_voters: vec!["a".into(), "b".into(), "c".into()],
        require_extra_confirmation: false,
    };
    let mut voter = Voter::start(0, "a", DurableState::empty("fleet", 1), config, trace);
    assert!(voter.bootstrap(0, Record::bootstrap(7, voters.collect()), trace));
    voter
}

fn operation(number: u64, kind: OperationKind) -> Operation {
    Operation { id: OperationId { process: ProcessId { name: "h".into(), incarnation: 1 }, number }, kind }
}

fn put(number: u64) -> Operation {
    let (name, text) = ("x".into(), number.to_string());
    operation(number, OperationKind::Put { name, text, expected_version: None, fence: None })
}

/// Guards against starvation: a voter that keeps losing to higher ballots must retry after short pauses. When
/// the pauses grew, another voter that ran round after round kept it out for good.
#[test]
fn pauses_after_higher_ballots_do_not_grow() {
    let mut trace = Trace::default();
    let mut voter = voter(&mut trace, 8);
    let mut now = 0;
    voter.submit(now, put(1), &mut trace);
    for _ in 0..8 {
        let own_ballot = *trace.prepared.last().unwrap();
        let other_ballot = Ballot { round: own_ballot.round + 1, store: 2, incarnation: 1 };
        voter.message_received(now, 2, Message::Refuse(own_ballot, other_ballot), &mut trace);
        assert!(trace.wake_at <= now + 50 * MILLI, "waits {} ms", (trace.wake_at - now) / MILLI);
        now = trace.wake_at;
        voter.timer_fired(now, &mut trace);
        assert!(trace.prepared.last().unwrap().round > other_ballot.round);
    }
}

/// Guards against an overloaded voter dropping renewals: when the queue is full, the least important
/// operations are rejected first, and renewals never are.
#[test]
fn a_full_voter_rejects_the_least_important_operations() {
    let mut trace = Trace::default();
    let mut voter = voter(&mut trace, 2);
    trace.lines.clear();
    voter.submit(0, put(1), &mut trace);
    voter.submit(0, operation(2, OperationKind::Read), &mut trace);
    voter.submit(0, put(3), &mut trace);
    voter.submit(0, operation(4, OperationKind::Renew("l".into(), 9, 8)), &mut trace);
    voter.submit(0, operation(5, OperationKind::Read), &mut trace);
    voter.submit(0, operation(6, OperationKind::GiveBack("l".into(), 8)), &mut trace);
    expect![[r#"
        persist 2 promised 2
        to 1: Promise
        to 2: Prepare
        to 3: Prepare
        h#1 2: Busy
        h#1 3: Busy
        h#1 5: Busy
        h#1 1: Busy
    "#]]
    .assert_eq(&trace.lines);
}
