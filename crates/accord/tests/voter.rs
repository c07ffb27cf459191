//! One voter by itself: what it says when, as a trace.

use expect_test::expect;
use pumicebay_accord::{
    Answer, Ask, AskId, Ballot, Holder, Host, Kept, Member, Message, Nanos, Record, Shared, Standing, Store,
    Terms, Voter, Want,
};

const MILLI: Nanos = 1_000_000;

#[derive(Default)]
struct Trace {
    lines: String,
    prepared: Vec<Ballot>,
    wake: Nanos,
}

impl Host for Trace {
    fn keep(&mut self, kept: &Kept) {
        self.lines += &format!("keep {} promised {}\n", kept.written, kept.promised.round);
    }
    fn send(&mut self, to: Store, message: Message) {
        if let Message::Prepare(ballot, _) = message {
            self.prepared.push(ballot);
        }
        let words = format!("{message:?}");
        self.lines += &format!("to {to}: {}\n", words.split(['(', ' ']).next().unwrap_or_default());
    }
    fn answer(&mut self, answer: Answer) {
        self.lines += &format!("{} {}: {:?}\n", answer.id.who, answer.id.number, answer.reply);
    }
    fn settled(&mut self, record: &Shared) {
        self.lines += &format!("settled {}\n", record.0.version);
    }
    fn wake(&mut self, at: Nanos) {
        self.wake = at;
    }
    fn chance(&mut self) -> f64 {
        1.0
    }
    fn stands(&mut self, standing: Standing) {
        self.lines += &format!("{standing:?}\n");
    }
}

fn voter(trace: &mut Trace, asks: usize) -> Voter {
    let voters = ["a", "b", "c"].iter().zip(1..).map(|(name, store)| Member { name: (*name).into(), store });
    let terms = Terms {
        drift_ppm: 10_000,
        round: 200 * MILLI,
        ask: 2000 * MILLI,
        asks,
        may_vote: vec!["a".into(), "b".into(), "c".into()],
        cautious: false,
    };
    let mut voter = Voter::start(0, "a", Kept::empty("harbour", 1), terms, trace);
    assert!(voter.found(0, Record::found(7, voters.collect()), trace));
    voter
}

fn ask(number: u64, want: Want) -> Ask {
    Ask { id: AskId { who: Holder { name: "h".into(), incarnation: 1 }, number }, want }
}

fn put(number: u64) -> Ask {
    let (name, text) = ("x".into(), number.to_string());
    ask(number, Want::Put { name, text, version: None, fence: None })
}

/// A voter that others are quicker than comes back soon each time: with pauses that grew it was kept out for good by one
/// that ran round after round.
#[test]
fn who_is_always_beaten_does_not_wait_longer_and_longer() {
    let mut trace = Trace::default();
    let mut voter = voter(&mut trace, 8);
    let mut now = 0;
    voter.asked(now, put(1), &mut trace);
    for _ in 0..8 {
        let ours = *trace.prepared.last().unwrap();
        let theirs = Ballot { round: ours.round + 1, store: 2, incarnation: 1 };
        voter.got(now, 2, Message::Refuse(ours, theirs), &mut trace);
        assert!(trace.wake <= now + 50 * MILLI, "waits {} ms", (trace.wake - now) / MILLI);
        now = trace.wake;
        voter.woke(now, &mut trace);
        assert!(trace.prepared.last().unwrap().round > theirs.round);
    }
}

/// Too much to do: what is needed least goes first, and renewals never do.
#[test]
fn a_full_voter_turns_away_what_is_needed_least() {
    let mut trace = Trace::default();
    let mut voter = voter(&mut trace, 2);
    trace.lines.clear();
    voter.asked(0, put(1), &mut trace);
    voter.asked(0, ask(2, Want::Read), &mut trace);
    voter.asked(0, put(3), &mut trace);
    voter.asked(0, ask(4, Want::Renew("l".into(), 9, 8)), &mut trace);
    voter.asked(0, ask(5, Want::Read), &mut trace);
    voter.asked(0, ask(6, Want::GiveBack("l".into(), 8)), &mut trace);
    expect![[r#"
        keep 2 promised 2
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
