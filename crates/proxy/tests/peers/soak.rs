//! Seeded runs that mix slow nodes, spoilt replies, fast, slow and bad clients, clients that leave, repeated ids, new
//! configurations and other signals in series, and upgrades.
//! `SOAK_SEEDS=FIRST..END` plays other seeds than the few of the usual test run.

use crate::bad_long_writes;
use crate::clients::{Answer, Client, Timed, command};
use crate::fast_clients::{self, Block};
use crate::nodes::{Framing, Nodes, Plan, Position, Spoilt, value_for};
use crate::process::{Options, ProxyProcess, configuration};
use crate::slow_crowds::{self, Kind};
use oorandom::Rand32;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// The seeds of a usual test run.
const USUAL_SEEDS: std::ops::Range<u64> = 1..5;
/// Runs that go on side by side.
const SIDE_BY_SIDE: usize = 2;
/// How long the clients send before the first process is told to end.
const SERVING_TIME: Duration = Duration::from_millis(2500);
/// From SIGTERM to SIGKILL at the earliest: the longest deadline of a route here, and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(2700);
/// How much later than its time an answer is not lost yet.
const LATE: Duration = Duration::from_millis(500);
/// Longer values are timed by their first byte.
const MAX_WHOLE_VALUE: usize = 64 * 1024;

/// The longest pause between two of several new configurations. Within the time of all of them no rule that they replace ends.
const MAX_RECONFIGURE_PAUSE_MS: u32 = 260;
/// How replies are spoilt.
const SPOILT: [Spoilt; 8] = [
    Spoilt::Failed,
    Spoilt::Length(-1),
    Spoilt::Length(-900),
    Spoilt::Length(9),
    Spoilt::Members(-1),
    Spoilt::Tail(b"noise"),
    Spoilt::Closed(b"\r"),
    Spoilt::Cut(1),
];

/// What was seen to be wrong in a run.
type Faults = Arc<Mutex<Vec<String>>>;
/// The ids of requests that must run once.
type OnceIds = Arc<Mutex<HashSet<String>>>;

/// A request of a usual client.
struct Request {
    key: String,
    id: String,
    route: &'static str,
    timeout_ms: u64,
    plan: Plan,
    spoilt: Option<Spoilt>,
    write: Option<usize>,
}

impl Request {
    fn random(rng: &mut Rand32, name: &str, has_origin: bool) -> Request {
        let route = ["read", "read", "tile", "once"][rng.rand_range(0..4) as usize];
        let longest = if route == "tile" { 1000 } else { 2000 };
        let framings = [Framing::Length, Framing::Length, Framing::Chunked, Framing::UntilClose];
        let framing = framings[rng.rand_range(0..4) as usize];
        let origin = (has_origin && rng.rand_range(0..5) == 0).then_some(framing);
        let mut length = [20, 20, 3000, 30_000, 150_000, 600_000][rng.rand_range(0..6) as usize];
        if matches!(origin, Some(Framing::Chunked | Framing::UntilClose)) {
            length = length.min(30_000);
        }
        let pauses_ms = [0, 0, 0, 60, 150, 400, 900, 20_000];
        let pause = Duration::from_millis(pauses_ms[rng.rand_range(0..8) as usize]);
        let position = Position::ALL[rng.rand_range(0..5) as usize];
        let writes = [None, None, None, Some(100), Some(60_000), Some(400_000)];
        let write = writes[rng.rand_range(0..6) as usize].filter(|_| has_origin);
        let plan = if write.is_some() {
            Plan { length: 20, pause, position, origin: None }
        } else {
            Plan { origin, length, position, pause }
        };
        let timeout_ms = u64::from(rng.rand_range(80..longest));
        let may_be_spoilt = origin.is_none() && write.is_none() && rng.rand_range(0..8) == 0;
        let spoilt = may_be_spoilt.then(|| SPOILT[rng.rand_range(0..SPOILT.len() as u32) as usize]);
        Request {
            key: format!("key-{name}"),
            id: format!("id-{name}"),
            route,
            timeout_ms,
            plan,
            spoilt,
            write,
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let labels = format!("c={},d={}", self.route, self.timeout_ms);
        let words = [self.key.as_bytes(), self.id.as_bytes(), labels.as_bytes()];
        match self.write {
            Some(length) => command(&[b"C.SET", words[0], words[1], words[2], &vec![b'v'; length]]),
            None => command(&[b"C.GET", words[0], words[1], words[2]]),
        }
    }

    /// What is wrong with an answer, if anything.
    fn fault(&self, got: &Timed, nodes: &Nodes) -> Option<String> {
        let due = Duration::from_millis(self.timeout_ms) + LATE;
        let Timed { answer, first_byte, last_byte } = got;
        let timed = if self.plan.length > MAX_WHOLE_VALUE { first_byte } else { last_byte };
        match answer {
            Answer::Value(value) if *value != value_for(&self.id, self.plan.length) => {
                Some("wrong value".into())
            }
            Answer::Value(_) | Answer::Line(_) if *timed > due => Some(format!("late, after {timed:?}")),
            Answer::Value(_) => None,
            Answer::Line(line)
                if line.starts_with("-BUSY") && self.route == "once" && nodes.runs(&self.id) > 0 =>
            {
                Some(format!("{line}, but it has run"))
            }
            Answer::Line(_) => None,
            Answer::Cut | Answer::Silence if nodes.runs(&self.id) == 0 => None,
            Answer::Cut | Answer::Silence if self.plan.length > MAX_WHOLE_VALUE && *first_byte <= due => {
                self.cut_fault()
            }
            Answer::Cut | Answer::Silence => Some(format!("no answer, though it has run: {answer:?}")),
        }
    }

    /// A value that has begun may break off only where its node gives no more of it.
    fn cut_fault(&self) -> Option<String> {
        let sound = self.plan.pause < Duration::from_secs(2) && self.spoilt.is_none();
        sound.then(|| "a sound value was cut off".into())
    }
}

/// What the usual clients of a run share.
#[derive(Clone)]
struct Run {
    proxy: SocketAddr,
    nodes: Nodes,
    faults: Faults,
    once: OnceIds,
    seed: u64,
    has_origin: bool,
    ends: Instant,
}

/// Sends requests one by one on a connection that it keeps, until the proxy ends it for good.
async fn usual_client(run: Run, number: u64) {
    let Run { proxy, nodes, faults, once, seed, has_origin, ends } = run;
    let mut rng = Rand32::new(seed * 1000 + number);
    let mut client = Client::try_connect(proxy).await;
    let mut count = 0;
    while Instant::now() < ends {
        let Some(open) = &mut client else {
            sleep(Duration::from_millis(10)).await;
            client = Client::try_connect(proxy).await;
            continue;
        };
        count += 1;
        let request = Request::random(&mut rng, &format!("{number}-{count}"), has_origin);
        nodes.plan(&request.key, request.plan);
        request
            .spoilt
            .into_iter()
            .for_each(|spoilt| nodes.spoil(&request.key, spoilt, rng.rand_range(0..2) == 0));
        if request.route == "once" {
            once.lock().unwrap().insert(request.id.clone());
        }
        let leaves = rng.rand_range(0..12) == 0;
        if !open.try_send(&request.bytes()).await {
            client = None;
            continue;
        }
        // Its time counts from its last byte.
        let sent_at = Instant::now();
        if leaves {
            // It leaves, and its id comes again.
            sleep(Duration::from_millis(u64::from(rng.rand_range(0..80)))).await;
            client = Client::try_connect(proxy).await;
            if let Some(again) = &mut client
                && again.try_send(&request.bytes()).await
            {
                let _ = again.answer(Instant::now()).await;
            }
            client = None;
            continue;
        }
        let got = open.answer(sent_at).await;
        if let Some(fault) = request.fault(&got, &nodes).filter(|_| sent_at < ends) {
            let Request { route, timeout_ms, plan, spoilt, write, id, .. } = &request;
            faults.lock().unwrap().push(format!(
                "{id} {route} {timeout_ms} ms, write {write:?}, {plan:?}, {spoilt:?}: {fault}\n"
            ));
        }
        if matches!(got.answer, Answer::Cut | Answer::Silence) {
            client = None;
        }
        sleep(Duration::from_millis(u64::from(rng.rand_range(0..20)))).await;
    }
}

/// Sends long writes that are no valid commands, one by one, until the run ends. None may be served or run.
async fn bad_client(run: Run) {
    let mut rng = Rand32::new(run.seed ^ 0xbad);
    let writes: Vec<_> = bad_long_writes::writes().into_iter().filter(|write| !write.sound).collect();
    for number in 0.. {
        if Instant::now() > run.ends {
            return;
        }
        let id = format!("bad-{number}");
        let write = writes[rng.rand_range(0..writes.len() as u32) as usize];
        let length = 70_000 + rng.rand_range(0..400_000) as usize;
        let answer = write.try_send(run.proxy, &id, length, rng.rand_range(0..2) == 0).await;
        sleep(Duration::from_millis(u64::from(rng.rand_range(5..60)))).await;
        if matches!(answer, Some(Answer::Value(_))) || run.nodes.runs(&id) > 0 {
            run.faults.lock().unwrap().push(format!("{id}: {write:?} ran or was served, {answer:?}\n"));
        }
    }
}

/// Allows the route that must run once to be repeated, in up to three configurations in a row, and then no more.
async fn reconfigure(proxy: &ProxyProcess, options: &Options, rng: &mut Rand32) {
    let usual = configuration(options);
    let mut series = Vec::new();
    for _ in 0..rng.rand_range(0..4) {
        let mut next = usual.clone();
        next["settings"]["routes"][1]["effect"] =
            ["repeatable", "by_key"][rng.rand_range(0..2) as usize].into();
        next["settings"]["permissions"]["most-upstream-tries"] = rng.rand_range(2..5).into();
        series.push(next);
    }
    series.push(usual);
    for next in series {
        proxy.reconfigure(&next);
        sleep(Duration::from_millis(u64::from(rng.rand_range(0..MAX_RECONFIGURE_PAUSE_MS)))).await;
    }
}

/// Plays one seed. Returns what was wrong.
async fn play(seed: u64) -> Vec<String> {
    let mut rng = Rand32::new(seed);
    let (nodes, faults, once) = (Nodes::default(), Faults::default(), OnceIds::default());
    let mut targets = nodes.start(2 + rng.rand_range(0..4) as usize).await;
    let has_origin = rng.rand_range(0..4) > 0;
    targets.retain(|target| has_origin || target["model"] != "origin");
    let upgrades = rng.rand_range(0..2) == 0;
    let mut options = Options { second_copies: rng.rand_range(0..3) > 0, ..Options::new(targets) };
    if upgrades {
        options = options.with_inherited_listener();
    }
    let mut proxy = ProxyProcess::start(&options).await;
    let address = proxy.address;
    let ends = Instant::now() + SERVING_TIME + KILL_DELAY;
    let run = Run {
        proxy: address,
        nodes: nodes.clone(),
        faults: faults.clone(),
        once: once.clone(),
        seed,
        has_origin,
        ends,
    };
    let mut usual = JoinSet::new();
    for number in 0..6 {
        usual.spawn(usual_client(run.clone(), number));
    }
    let fast_kind = (rng.rand_range(0..2) == 0).then(|| rng.rand_range(0..fast_clients::KINDS.len() as u32));
    let fast = fast_kind.map(|kind| {
        let make = fast_clients::KINDS[kind as usize];
        (0..3).map(|client| fast_clients::fast_client(address, Block::new(make(client)))).collect::<Vec<_>>()
    });
    let mut crowd = JoinSet::new();
    let crowd_kind = (rng.rand_range(0..3) == 0).then(|| rng.rand_range(0..Kind::ALL.len() as u32));
    if let Some(kind) = crowd_kind.map(|kind| Kind::ALL[kind as usize]) {
        slow_crowds::plan_values(&nodes);
        for number in 0..100 {
            crowd.spawn(slow_crowds::slow_client(address, number, kind));
        }
    }
    if rng.rand_range(0..2) == 0 {
        usual.spawn(bad_client(run.clone()));
    }
    sleep(SERVING_TIME / 4).await;
    reconfigure(&proxy, &options, &mut rng).await;
    sleep(SERVING_TIME / 4).await;
    for _ in 0..rng.rand_range(0..4) {
        proxy.reload();
        sleep(Duration::from_millis(u64::from(rng.rand_range(0..30)))).await;
    }
    sleep(SERVING_TIME / 2).await;
    proxy.assert_alive();
    let successor = if upgrades { Some(ProxyProcess::start(&options).await) } else { None };
    for _ in 0..1 + rng.rand_range(0..3) {
        proxy.terminate();
        sleep(Duration::from_millis(u64::from(rng.rand_range(0..10)))).await;
    }
    sleep(KILL_DELAY).await;
    let peak_mb = proxy.peak_mb();
    let log = proxy.log();
    drop(proxy);
    usual.join_all().await;
    crowd.shutdown().await;
    drop(fast);
    if let Some(mut successor) = successor {
        successor.assert_alive();
    }
    let mut faults = std::mem::take(&mut *faults.lock().unwrap());
    let once = once.lock().unwrap();
    let repeated = nodes.repeated().into_iter().filter(|id| once.contains(id));
    faults.extend(repeated.map(|id| format!("{id} ran twice\n")));
    if !faults.is_empty() {
        faults.push(format!(
            "upgrades {upgrades}, fast {fast_kind:?}, crowd {crowd_kind:?}, peak {peak_mb:.1} MB; the log ends:\n{}\n",
            last_lines(&log, 12)
        ));
    }
    faults.into_iter().map(|fault| format!("seed {seed}: {fault}")).collect()
}

fn last_lines(log: &str, count: usize) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(count)..].join("\n")
}

/// The seeds to play.
fn seeds() -> std::ops::Range<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else { return USUAL_SEEDS };
    let (first, end) = range.split_once("..").expect("SOAK_SEEDS=FIRST..END");
    first.parse().expect("a number")..end.parse().expect("a number")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn seeded_runs_lose_nothing() {
    let mut seeds = seeds();
    let (mut runs, mut faults) = (JoinSet::new(), Vec::new());
    seeds.by_ref().take(SIDE_BY_SIDE).for_each(|seed| drop(runs.spawn(play(seed))));
    while let Some(run) = runs.join_next().await {
        faults.extend(run.expect("a run failed"));
        seeds.next().into_iter().for_each(|seed| drop(runs.spawn(play(seed))));
    }
    assert!(faults.is_empty(), "{}", faults.concat());
}
