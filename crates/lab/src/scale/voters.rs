//! Baseline without the carrier: each proxy keeps a link to each voter, as it does today, and reads the whole
//! record from one of them every few seconds, to see whether a value has changed. The voters run the real
//! code; links and heartbeats are computed from their constants.

use super::agree::{self, ANSWER_TIMEOUT, Clock, SimulatedVoter, VoterOutput};
use super::fleet::{self, Placement};
use super::meter::{Meter, heartbeat_rates, segments};
use super::plan::Plan;
use super::report::{PROXY_BYTE_LIMIT, TimeStats, time_stats};
use super::virt::{MILLISECOND, SECOND, frame_bytes};
use pumicebay_accord::{Message, Operation, OperationId, OperationKind, ProcessId, Reply, StoreId};
use pumicebay_carrier::Nanos;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;

/// Links that a voter accepts by default (`fleet.links`).
const MAX_VOTER_LINKS: usize = 1024;
/// Bytes of the configuration in the record: as much as fits beside the leases.
const VALUE_BYTES: usize = 60 * 1024;

/// Results of a run without the carrier.
#[derive(Debug, Default, PartialEq, Serialize)]
pub struct VotersOnlyReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of voters.
    pub voters: usize,
    /// Simulated time.
    pub seconds: f64,
    /// Links at each voter, computed from the size of the fleet.
    pub links: usize,
    /// Links that a voter accepts.
    #[serde(rename = "most_links")]
    pub max_links: usize,
    /// Bytes a second of heartbeats with headers at each voter, computed from the number of links.
    #[serde(rename = "beats_per_second")]
    pub heartbeat_bytes_per_second: f64,
    /// Reads sent, retries among them.
    #[serde(rename = "asks")]
    pub reads: usize,
    /// Reads that a voter rejected.
    #[serde(rename = "turned_away")]
    pub rejected: usize,
    /// Reads without an accepted answer in time.
    pub unanswered: usize,
    /// Reads that returned the record.
    pub answered: usize,
    /// Mean bytes a second at a voter without heartbeats, simulated without the limit on links.
    pub voter_bytes_per_second: f64,
    /// Bytes of the peak second of any voter, with heartbeats.
    #[serde(rename = "voter_worst")]
    pub voter_peak_bytes: u64,
    /// Bytes of the peak second of any proxy, with heartbeats.
    #[serde(rename = "proxy_worst")]
    pub proxy_peak_bytes: u64,
    /// Largest size of the record.
    pub record_bytes: usize,
    /// Time from the write of a value until the last proxy has read it.
    #[serde(rename = "seen")]
    pub read_latency: TimeStats,
    /// Number of writes after the first one.
    pub changes: usize,
    /// Writes that some proxy had not read at the end, though there was time.
    pub unfinished: usize,
    /// Limits that the fleet reaches or exceeds, in words.
    pub limits: Vec<String>,
}

/// Simulated event.
enum Event {
    /// Message to the first voter from the second one.
    VoterMessage(StoreId, StoreId, Message),
    /// Operation arrives at the voter with this index.
    VoterOperation(usize, Operation),
    /// Answer arrives at a proxy: proxy, reply, bytes, operation number.
    VoterAnswer(usize, Reply, usize, u64),
    /// Timer of a voter.
    VoterTimer(usize),
    /// Poll timer of a proxy.
    Poll(usize),
    /// An operator writes the value.
    WriteValue,
    /// The answer to an operation of a proxy is overdue: proxy, operation number.
    AnswerTimeout(usize, u64),
}

/// A proxy that polls the voters.
struct PollingProxy {
    /// Voter that the next read goes to.
    preferred_voter: usize,
    /// Number of the last operation.
    number: u64,
    /// Number and start of the read without an answer.
    open: Option<(u64, Nanos)>,
    /// Newest version of the value that it has read.
    read_version: u64,
    meter: Meter,
}

/// The simulated fleet.
struct Fleet<'a> {
    plan: &'a Plan,
    placements: Vec<Placement>,
    random: SmallRng,
    now: Nanos,
    queue: BinaryHeap<Reverse<(Nanos, u64)>>,
    events: BTreeMap<u64, Event>,
    last_sequence: u64,
    voters: Vec<SimulatedVoter>,
    meters: Vec<Meter>,
    polling_proxies: Vec<PollingProxy>,
    /// Writes of the value: version of the record, time, number of proxies that have not read it, and time
    /// when all have.
    changes: Vec<(u64, Nanos, usize, Option<Nanos>)>,
    report: VotersOnlyReport,
    /// Size of the record by version.
    record_sizes: BTreeMap<u64, usize>,
    writes: u64,
}

/// Simulates a plan without the carrier in virtual time.
pub fn run(plan: &Plan, seed: u64) -> VotersOnlyReport {
    let mut random = SmallRng::seed_from_u64(seed);
    let placements = fleet::place_processes(plan);
    let ppm = plan.clocks_ppm;
    let mut clock =
        || Clock { ppm: if ppm > 0 { random.random_range(-ppm..=ppm) } else { 0 }, started_at: 0 };
    let voters = agree::start_voters(plan, &mut clock);
    let polling_proxies = (0..plan.proxies)
        .map(|at| PollingProxy {
            preferred_voter: at % plan.voters,
            number: 0,
            open: None,
            read_version: 0,
            meter: Meter::default(),
        })
        .collect();
    let links = plan.proxies + plan.voters - 1;
    let (_, heartbeat_bytes, _) = heartbeat_rates();
    let report = VotersOnlyReport {
        seed,
        proxies: plan.proxies,
        voters: plan.voters,
        seconds: plan.seconds,
        links,
        max_links: MAX_VOTER_LINKS,
        heartbeat_bytes_per_second: (links as u64 * heartbeat_bytes) as f64,
        ..VotersOnlyReport::default()
    };
    let mut fleet = Fleet {
        plan,
        placements,
        random,
        now: 0,
        queue: BinaryHeap::new(),
        events: BTreeMap::new(),
        last_sequence: 0,
        meters: vec![Meter::default(); plan.voters],
        voters,
        polling_proxies,
        changes: Vec::new(),
        report,
        record_sizes: BTreeMap::new(),
        writes: 0,
    };
    fleet.run();
    fleet.report
}

impl Fleet<'_> {
    fn run(&mut self) {
        let end = (self.plan.seconds * 1e9) as Nanos;
        let every = (self.plan.poll_seconds * 1e9) as Nanos;
        for voter in 0..self.plan.voters {
            (0..self.report.links).for_each(|_| self.meters[voter].link_changed(0, true));
            self.schedule(100 * MILLISECOND, Event::VoterTimer(voter));
        }
        for proxy in 0..self.polling_proxies.len() {
            (0..self.plan.voters).for_each(|_| self.polling_proxies[proxy].meter.link_changed(0, true));
            let initial_delay = SECOND + self.random.random_range(0..every);
            self.schedule(initial_delay, Event::Poll(proxy));
        }
        self.schedule(SECOND / 2, Event::WriteValue);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.now = end;
        self.finish();
    }

    /// Computes the report.
    fn finish(&mut self) {
        let mut latencies: Vec<f64> = Vec::new();
        // The first write creates the value and is not measured; writes shortly before the end had no time to
        // be read.
        for (_, settled, left, done) in self.changes.iter().skip(1) {
            match done {
                Some(done) => latencies.push((done - settled) as f64 / 1e9),
                None => self.report.unfinished += usize::from(*left > 0 && settled + 9 * SECOND < self.now),
            }
        }
        let bytes = |meter: &Meter| {
            let (sent, received) = (meter.sent, meter.received);
            sent.frames + sent.headers + received.frames + received.headers
        };
        let seconds = self.plan.seconds;
        let report = &mut self.report;
        report.changes = self.changes.len().saturating_sub(1);
        report.read_latency = time_stats(&mut latencies);
        report.voter_bytes_per_second =
            self.meters.iter().map(bytes).sum::<u64>() as f64 / seconds / self.meters.len() as f64;
        report.voter_peak_bytes = self.meters.iter().map(|meter| meter.peak_bytes).max().unwrap_or(0);
        report.proxy_peak_bytes = self
            .polling_proxies
            .iter()
            .map(|polling_proxy| polling_proxy.meter.peak_bytes)
            .max()
            .unwrap_or(0);
        report.record_bytes = self.record_sizes.values().copied().max().unwrap_or(0);
        let mut limits = Vec::new();
        if report.links > MAX_VOTER_LINKS {
            limits.push(format!(
                "links: {} at each voter, {MAX_VOTER_LINKS} at most (fleet.links): exceeded from {} proxies on",
                report.links,
                MAX_VOTER_LINKS + 2 - report.voters
            ));
        }
        let read_bytes_per_second =
            report.record_bytes as f64 * report.proxies as f64 / self.plan.poll_seconds;
        limits.push(format!(
            "bytes: {:.1} MB a second of records from all voters together (computed)",
            read_bytes_per_second / 1e6
        ));
        if report.proxy_peak_bytes > PROXY_BYTE_LIMIT {
            limits.push(format!(
                "traffic of a proxy: at most {PROXY_BYTE_LIMIT} B in any second, peak second {} B",
                report.proxy_peak_bytes
            ));
        }
        report.limits = limits;
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_sequence += 1;
        self.events.insert(self.last_sequence, event);
        self.queue.push(Reverse((at, self.last_sequence)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::VoterMessage(to, from, message) => {
                let at = to as usize - 1;
                let bytes = frame_bytes(&message);
                self.meters[at].record_received(self.now, bytes, segments(bytes));
                self.with_voter(at, |voter, now, effects| {
                    voter.message_received(now, from, message, effects)
                });
            }
            Event::VoterOperation(at, operation) => {
                let bytes = frame_bytes(&operation);
                self.meters[at].record_received(self.now, bytes, segments(bytes));
                self.with_voter(at, |voter, now, effects| voter.submit(now, operation, effects));
            }
            Event::VoterTimer(at) => {
                self.with_voter(at, |voter, now, effects| voter.timer_fired(now, effects))
            }
            Event::VoterAnswer(proxy, reply, bytes, number) => {
                self.answer_received(proxy, reply, bytes, number)
            }
            Event::Poll(proxy) => self.poll(proxy),
            Event::AnswerTimeout(proxy, number) => {
                if self.polling_proxies[proxy].open.is_some_and(|(open, _)| open == number) {
                    self.polling_proxies[proxy].preferred_voter =
                        (self.polling_proxies[proxy].preferred_voter + 1) % self.plan.voters;
                    self.polling_proxies[proxy].open = None;
                    self.report.unanswered += 1;
                    self.submit_read(proxy);
                }
            }
            Event::WriteValue => self.write_value(),
        }
    }

    /// An operator writes a new value through the first voter.
    fn write_value(&mut self) {
        self.writes += 1;
        let text = format!("{:0VALUE_BYTES$}", self.writes);
        let kind =
            OperationKind::Put { name: "configuration".into(), text, expected_version: None, fence: None };
        let process = ProcessId { name: "operator".into(), incarnation: 1 };
        let operation = Operation { id: OperationId { process, number: self.writes }, kind };
        self.schedule(self.now + MILLISECOND, Event::VoterOperation(0, operation));
        let gap =
            -(1.0 - self.random.random_range(0.0..1.0f64)).ln() / self.plan.changes_per_second.max(1e-3);
        let initial_delay = if self.writes == 1 { 2 * self.plan.poll_seconds as Nanos * SECOND } else { 0 };
        self.schedule(self.now + initial_delay + (gap * 1e9) as Nanos, Event::WriteValue);
    }

    /// Schedules the next poll, and reads the record unless a read is under way.
    fn poll(&mut self, proxy: usize) {
        let every = (self.plan.poll_seconds * 1e9) as Nanos;
        self.schedule(self.now + every, Event::Poll(proxy));
        if self.polling_proxies[proxy].open.is_none() {
            self.submit_read(proxy);
        }
    }

    fn submit_read(&mut self, proxy: usize) {
        self.report.reads += 1;
        let polling_proxy = &mut self.polling_proxies[proxy];
        polling_proxy.number += 1;
        polling_proxy.open = Some((polling_proxy.number, self.now));
        let (number, to) = (polling_proxy.number, polling_proxy.preferred_voter);
        let name = self.placements[self.plan.control_machines + proxy].name.clone();
        let id = OperationId { process: ProcessId { name, incarnation: proxy as u64 }, number };
        let operation = Operation { id, kind: OperationKind::Read };
        let bytes = frame_bytes(&operation);
        polling_proxy.meter.record_sent(self.now, bytes, segments(bytes));
        let (here, there) =
            (fleet::endpoint(&self.placements[self.plan.control_machines + proxy]), self.voters[to].endpoint);
        let transit = fleet::transit_time(self.plan, here, there, segments(bytes), &mut self.random);
        self.schedule(self.now + transit, Event::VoterOperation(to, operation));
        self.schedule(self.now + ANSWER_TIMEOUT, Event::AnswerTimeout(proxy, number));
    }

    fn answer_received(&mut self, proxy: usize, reply: Reply, bytes: usize, number: u64) {
        let polling_proxy = &mut self.polling_proxies[proxy];
        polling_proxy.meter.record_received(self.now, bytes, segments(bytes));
        if polling_proxy.open.is_none_or(|(open, _)| open != number) {
            return;
        }
        match reply {
            Reply::Record(record) => {
                self.report.answered += 1;
                polling_proxy.open = None;
                let version = record.0.values.get("configuration").map_or(0, |entry| entry.version);
                let before = polling_proxy.read_version;
                polling_proxy.read_version = version.max(before);
                for (changed, _, left, done) in self.changes.iter_mut().rev() {
                    if *changed <= before {
                        break;
                    }
                    if *changed <= version {
                        *left -= 1;
                        if *left == 0 {
                            *done = Some(self.now);
                        }
                    }
                }
            }
            // Rejected: the read times out, and the next voter is asked.
            _ => self.report.rejected += 1,
        }
    }

    fn with_voter(
        &mut self,
        at: usize,
        call: impl FnOnce(&mut pumicebay_accord::Voter, Nanos, &mut pumicebay_accord::Effects),
    ) {
        let random = self.random.random_range(0.0..1.0);
        let VoterOutput { messages, answers, wake_at, persisted } =
            self.voters[at].run(self.now, random, call);
        if let Some(wake_at) = wake_at {
            self.schedule(wake_at.max(self.now + MILLISECOND), Event::VoterTimer(at));
        }
        let later = if persisted { (self.plan.disk_ms * 1e6) as Nanos } else { 0 };
        let here = self.voters[at].endpoint;
        for (to, message) in messages {
            let there = self.voters[to as usize - 1].endpoint;
            let bytes = frame_bytes(&message);
            self.meters[at].record_sent(self.now, bytes, segments(bytes));
            let transit = fleet::transit_time(self.plan, here, there, segments(bytes), &mut self.random);
            self.schedule(self.now + later + transit, Event::VoterMessage(to, at as StoreId + 1, message));
        }
        for answer in answers {
            if answer.id.process.name == "operator" {
                if let Reply::Written(version) = answer.reply {
                    self.changes.push((version, self.now, self.polling_proxies.len(), None));
                }
                continue;
            }
            let proxy = answer.id.process.incarnation as usize;
            // The same record goes to many proxies, so its size is computed once for each version.
            let bytes = match &answer.reply {
                Reply::Record(record) => {
                    let record_bytes =
                        *self.record_sizes.entry(record.0.version).or_insert_with(|| record.0.encoded_size());
                    record_bytes + 40
                }
                _ => frame_bytes(&answer),
            };
            self.meters[at].record_sent(self.now, bytes, segments(bytes));
            let there = fleet::endpoint(&self.placements[self.plan.control_machines + proxy]);
            let transit = fleet::transit_time(self.plan, here, there, 1, &mut self.random);
            self.schedule(
                self.now + later + transit,
                Event::VoterAnswer(proxy, answer.reply, bytes, answer.id.number),
            );
        }
    }
}

impl VotersOnlyReport {
    /// Text of the report.
    pub fn summary(&self) -> String {
        let mut lines = format!(
            "seed {} (virtual, simulated, without the carrier): {} proxies at {} voters, {} s\n  computed: {} links at each voter, \
             {:.1} MB a second of heartbeats there\n  simulated without a limit on links: {} reads, {} answered, {} refused, {} \
             without an answer in time; a voter {:.1} MB a second, peak second {:.1} MB; peak second of a proxy {} B; {} changes, read \
             by all after {:.2} s (median), longest {:.2} ({}), {} not by the end\n",
            self.seed,
            self.proxies,
            self.voters,
            self.seconds,
            self.links,
            self.heartbeat_bytes_per_second / 1e6,
            self.reads,
            self.answered,
            self.rejected,
            self.unanswered,
            self.voter_bytes_per_second / 1e6,
            self.voter_peak_bytes as f64 / 1e6,
            self.proxy_peak_bytes,
            self.changes,
            self.read_latency.median,
            self.read_latency.longest,
            self.read_latency.count,
            self.unfinished,
        );
        for limit in &self.limits {
            let _ = writeln!(lines, "  limit: {limit}");
        }
        lines
    }
}
