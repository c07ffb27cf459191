//! Long replies that are spoilt behind their value, or whose length is wrong: a client must be able to tell that such a value
//! is not whole. Short ones are read as a whole and must be judged alike.

use crate::clients::{Answer, Client, command};
use crate::nodes::{CACHE_TAIL, Framing, Nodes, Plan, Spoilt, value_for};
use crate::play_all;
use crate::process::{Options, ProxyProcess};
use futures_util::future::join_all;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// The lengths of the values. All but the last are streamed; it comes last since nodes that spoil it are ejected.
const LENGTHS: [usize; 5] = [4 * 1024 * 1024 - 5000, 600_000, 150_000, 65_600, 30_000];
/// Whether a reply pauses behind its value, and whether a command is sent behind the read.
const FORMS: [(bool, bool); 4] = [(false, false), (false, true), (true, false), (true, true)];
/// How long a client waits here. Its time, and half a second in which an answer is late and not lost.
const PATIENCE: Duration = Duration::from_millis(2000);

/// One read, with or without a command behind it. Returns the answers.
async fn read(proxy: &ProxyProcess, key: &str, id: &str, behind: bool) -> Vec<Answer> {
    let mut client = Client::connect(proxy.address).await;
    let mut commands = command(&[b"C.GET", key.as_bytes(), id.as_bytes(), b"c=read,d=1500"]);
    if behind {
        commands.extend(command(&[b"C.GET", b"short", format!("{id}-b").as_bytes(), b"c=read,d=1500"]));
    }
    client.send(&commands).await;
    let mut answers = Vec::new();
    for _ in 0..1 + usize::from(behind) {
        let answer = timeout(PATIENCE, client.answer(Instant::now())).await;
        answers.push(answer.map_or(Answer::Silence, |timed| timed.answer));
    }
    answers
}

/// Reads one value in each form, all at once. Returns what was wrong, and how many requests ran.
async fn read_forms(nodes: &Nodes, proxy: &ProxyProcess, case: Case, length: usize) -> (Vec<String>, usize) {
    let read_form = async |(pauses, behind)| {
        let name = format!("{length}-{pauses}-{behind}");
        let framing = case.origin.then_some(Framing::Length);
        nodes.plan(&name, Plan { length, origin: framing, ..Plan::prompt() });
        nodes.spoil(&name, case.spoilt, pauses);
        let answers = read(proxy, &name, &name, behind).await;
        let served_whole = match &answers[0] {
            Answer::Value(value) if case.sound => *value == value_for(&name, length),
            answer => matches!(answer, Answer::Value(_)),
        };
        let lost_behind = behind && matches!(answers[1], Answer::Cut | Answer::Silence);
        let as_it_should = served_whole == case.sound && !lost_behind;
        let seen = answers.iter().map(describe).collect::<Vec<_>>().join(", behind it ");
        ((!as_it_should).then(|| format!("{case:?}, {name}: {seen}")), nodes.runs(&name))
    };
    let (faults, ran): (Vec<_>, Vec<_>) = join_all(FORMS.map(read_form)).await.into_iter().unzip();
    (faults.into_iter().flatten().collect(), ran.into_iter().sum())
}

/// Reads values of all lengths.
async fn read_all(case: Case) -> (Case, Vec<String>, usize) {
    let nodes = Nodes::default();
    let mut targets = nodes.start(3).await;
    targets.retain(|target| case.origin || target["model"] != "origin");
    let proxy = ProxyProcess::start(&Options { memory_mb: 192, ..Options::new(targets) }).await;
    let (mut faults, mut ran) = (Vec::new(), 0);
    for length in LENGTHS {
        let (wrong, runs) = read_forms(&nodes, &proxy, case, length).await;
        faults.extend(wrong);
        ran += runs;
    }
    (case, faults, ran)
}

fn describe(answer: &Answer) -> String {
    match answer {
        Answer::Value(value) => format!("a whole value of {} bytes", value.len()),
        other => format!("{other:?}"),
    }
}

/// What is unusual, whether the reply is whole and valid all the same, and whether it is the origin's.
#[derive(Clone, Copy, Debug)]
struct Case {
    spoilt: Spoilt,
    sound: bool,
    origin: bool,
}

fn cases() -> Vec<Case> {
    let lengths = [-1000, -33, -7, -2, -1, 1, 2, 4, 9, 1000].map(Spoilt::Length);
    let members = [-2, -1, 1, 61].map(Spoilt::Members);
    let tails: [&[u8]; 9] = [
        b"",
        b"\r\r$-1\r\n$-1\r\n",
        b"\n\r$-1\r\n$-1\r\n",
        b"x\r\n$-1\r\n$-1\r\n",
        b"\r\n",
        b"\r\n$-1\r\n",
        b"\r\n$-1\r\n$x\r\n",
        b"\r\n$-1\r\nnoise\r\n",
        b"\r\n$3\r\nhitXX$-1\r\n",
    ];
    let closed: [&[u8]; 4] = [b"", b"\r", b"\r\n", b"\r\n$-1\r\n$-1\r"];
    let of_caches = lengths.into_iter().chain(members).chain(tails.map(Spoilt::Tail));
    let of_caches = of_caches.chain(closed.map(Spoilt::Closed)).chain([1, 1000].map(Spoilt::Cut));
    let of_origin = [1, 1000].map(Spoilt::Length).into_iter().chain([1, 1000].map(Spoilt::Cut));
    let noise_behind = b"\r\n$-1\r\n$-1\r\nnoise behind it";
    let cache = |sound| move |spoilt| Case { spoilt, sound, origin: false };
    let origin = |sound| move |spoilt| Case { spoilt, sound, origin: true };
    let mut cases: Vec<Case> = of_caches.map(cache(false)).chain(of_origin.map(origin(false))).collect();
    cases.extend([Spoilt::Tail(noise_behind), Spoilt::Closed(CACHE_TAIL)].map(cache(true)));
    cases.extend([Spoilt::Tail(b"noise"), Spoilt::Closed(b"")].map(origin(true)));
    cases
}

/// Guards against a part of a long value that is served as if it were whole: its last piece was passed on before its end and
/// the rest of its reply had been read.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn a_spoilt_reply_is_never_served_as_a_whole_value() {
    let mut faults = Vec::new();
    for (case, wrong, ran) in play_all(cases(), read_all).await {
        assert!(ran >= FORMS.len(), "{case:?}: {ran} ran");
        faults.extend(wrong);
    }
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}
