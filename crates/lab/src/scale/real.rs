//! Real processes of the program on loopback as one fleet that takes its configuration by the carrier, with faults drawn
//! from a seed. A witness outside them asks each, all the while, at its operators' door what it holds and as a client
//! which classes it knows; what is known of a class is what is in force, whatever the carrier says of it.

use super::plan::Plan;
use crate::operator_command;
use crate::rig::procs::Home;
use crate::rig::relay::{Mode, Relay};
use anyhow::{Context, Result, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// More would not be served by one machine within the bounds below.
const MOST: usize = 64;
const VOTERS: usize = 3;
/// From one question of the witness to a process to the next one.
const LOOK: Duration = Duration::from_millis(250);
const ANSWERS: Duration = Duration::from_secs(2);
const READY: Duration = Duration::from_secs(30);
/// A link that is lost as processes start on a busy machine has its member lost for a minute.
const WHOLE: Duration = Duration::from_secs(80);
/// After the last fault all that live have what was settled last within this time, and within this one it is said so: what
/// is lost is carried for 75 s.
const BACK: Duration = Duration::from_secs(20);
const SAID: Duration = Duration::from_secs(90);
/// Between faults, on the average, and before the first.
const EVERY: f64 = 3.5;
const QUIET: f64 = 2.0;
/// Who restarted is counted as it was until its link is gone.
const YOUNG: Duration = Duration::from_secs(3);
/// A change's class stays for so many more changes, so that one who is late is seen to be.
const CLASSES: u64 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    KillRelay,
    KillPublisher,
    KillLeaf,
    /// SIGSTOP, and later SIGCONT.
    StopRelay,
    /// All links of the carrier from and to it are swallowed, delayed, or reset again and again.
    Drop,
    Delay(u64),
    Reset,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fault {
    pub kind: Kind,
    pub at: f64,
    pub seconds: f64,
    /// `None`: whoever publishes then.
    pub who: Option<String>,
}

impl Fault {
    fn words(&self) -> String {
        let who = self.who.as_deref().unwrap_or("the publisher");
        format!("{:?} {who} at {:.1} for {:.1} s", self.kind, self.at, self.seconds)
    }
}

/// What came of a play.
#[derive(Debug, Serialize)]
pub struct Outcome {
    pub seed: u64,
    pub processes: usize,
    pub faults: Vec<Fault>,
    pub settled: usize,
    /// Not known to be written, and known not to be.
    pub unknown: usize,
    pub refused: usize,
    pub why: String,
    /// What `fleet changes` said, and how often it was judged by the witness.
    pub claims: usize,
    /// After the last fault was undone, in seconds: all have it in force, and the publisher says so.
    pub converged: Option<f64>,
    pub said: Option<f64>,
    /// From settled to in force at a process, each pair of a change and a process that lived all the while: the middle one,
    /// the 99th of a hundred, the longest.
    pub in_force: (f64, f64, f64),
    pub pairs: usize,
    pub wrong: Vec<String>,
    /// The last lines of each process's log that speak of the carrier, where something went wrong.
    pub logs: Vec<String>,
}

/// Heads of the columns of `row`.
pub fn head() -> &'static str {
    "seed  processes  faults  changes  unknown  refused  claims  wrong  converged s  said s  in force s: middle  99 in 100  longest\n"
}

impl Outcome {
    pub fn summary(&self) -> String {
        let seconds = |time: Option<f64>| time.map_or("never".into(), |time| format!("{time:.1}"));
        let (middle, most, longest) = self.in_force;
        let mut lines = format!(
            "{:4}  {:9}  {:6}  {:7}  {:7}  {:7}  {:6}  {:5}  {:>11}  {:>6}  {middle:18.2}  {most:9.2}  {longest:7.2}\n",
            self.seed,
            self.processes,
            self.faults.len(),
            self.settled,
            self.unknown,
            self.refused,
            self.claims,
            self.wrong.len(),
            seconds(self.converged),
            seconds(self.said),
        );
        let faults: Vec<String> = self.faults.iter().map(Fault::words).collect();
        let _ = writeln!(lines, "      {}", faults.join("; "));
        if !self.why.is_empty() {
            let _ = writeln!(lines, "      not written: {}", self.why);
        }
        for wrong in &self.wrong {
            let _ = writeln!(lines, "  WRONG: {wrong}");
        }
        lines
    }
}

/// Who there is: control machines of which the first three vote, and of each site relays and leaves.
struct Who {
    control: Vec<String>,
    relays: Vec<Vec<String>>,
    leaves: Vec<Vec<String>>,
}

impl Who {
    fn of(plan: &Plan) -> Who {
        let control = (1..=plan.control).map(|number| format!("c{number}")).collect();
        let (mut relays, mut leaves) = (vec![Vec::new(); plan.sites], vec![Vec::new(); plan.sites]);
        for number in 0..plan.proxies {
            let (site, turn) = (number % plan.sites, number / plan.sites);
            let relay = turn < plan.relays_per_site;
            let (of, kind) = if relay { (&mut relays, "r") } else { (&mut leaves, "l") };
            of[site].push(format!("{kind}{}-{}", site + 1, turn + 1));
        }
        Who { control, relays, leaves }
    }
}

/// The faults of a seed: one after the other begins, each on somebody whom neither of the two before hits.
pub fn drawn(plan: &Plan, seed: u64) -> Vec<Fault> {
    let (who, mut random) = (Who::of(plan), SmallRng::seed_from_u64(seed));
    let (relays, leaves) = (who.relays.concat(), who.leaves.concat());
    let proxies = [relays.clone(), leaves.clone()].concat();
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = QUIET;
    while at + 2.0 < plan.seconds {
        let kinds = [
            Kind::KillRelay,
            Kind::KillPublisher,
            Kind::KillLeaf,
            Kind::StopRelay,
            Kind::Drop,
            Kind::Delay(random.random_range(100..400)),
            Kind::Reset,
        ];
        let kind = *kinds.choose(&mut random).unwrap_or(&Kind::KillRelay);
        let of = match kind {
            Kind::KillRelay | Kind::StopRelay => &relays,
            Kind::KillLeaf => &leaves,
            _ => &proxies,
        };
        let hit = of.choose(&mut random).cloned().filter(|_| kind != Kind::KillPublisher);
        let seconds = random.random_range(2.0..6.0_f64).min(plan.seconds - at);
        let step = EVERY * random.random_range(0.6..1.4);
        let none = hit.is_none() && kind != Kind::KillPublisher;
        if none || faults.iter().rev().take(2).any(|fault| fault.who == hit) {
            continue;
        }
        faults.push(Fault { kind, at, seconds, who: hit });
        at += step;
    }
    faults
}

/// What the witness saw of one life of a process.
#[derive(Default)]
struct Life {
    began: Option<Instant>,
    /// The version that it holds, and the last change that is in force.
    holds: Option<(u64, u64)>,
    in_force: u64,
    /// When a change was first seen to be in force.
    seen: BTreeMap<u64, Instant>,
    /// When it last answered.
    answered: Option<Instant>,
}

struct Proc {
    listen: SocketAddr,
    door: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// The lives so far, of which the last is now's while `child` is there.
    lives: Vec<Life>,
    relays: BTreeMap<String, Relay>,
}

#[derive(Default)]
struct Seen {
    procs: BTreeMap<String, Proc>,
    /// The newest change that somebody may have; all were numbered, those too that came to nothing.
    newest: u64,
    /// When each was settled, and at which version.
    settled: BTreeMap<u64, (Instant, (u64, u64))>,
    unknown: usize,
    refused: usize,
    /// What was said to the last one.
    why: String,
    claims: usize,
    publisher: Option<String>,
    /// Since when it is said that all have the newest version.
    said: Option<(Instant, (u64, u64))>,
    wrong: BTreeSet<String>,
}

#[derive(Clone)]
struct Play {
    program: PathBuf,
    operator: PathBuf,
    sites: usize,
    folder: Arc<TempDir>,
    seen: Arc<Mutex<Seen>>,
}

pub fn play(plan: &Plan, seed: u64, program: &Path) -> Result<Outcome> {
    ensure!(plan.proxies + plan.control <= MOST, "proxies: expected {MOST} processes at the most");
    ensure!(plan.control >= VOTERS, "control: expected {VOTERS} or more, the first of them vote");
    ensure!(plan.faults.is_empty(), "fault: the faults of real processes are drawn from the seed");
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let outcome = runtime.block_on(run(plan, seed, program));
    runtime.shutdown_timeout(Duration::from_secs(1));
    outcome
}

async fn run(plan: &Plan, seed: u64, program: &Path) -> Result<Outcome> {
    let play = Play::start(plan, program).await?;
    let names: Vec<String> = play.seen().procs.keys().cloned().collect();
    for name in &names {
        let (play, name) = (play.clone(), name.clone());
        tokio::spawn(async move { play.witness(&name).await });
    }
    let claims = play.clone();
    tokio::spawn(async move { claims.hear_claims().await });
    let start = Instant::now();
    let second = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let (changes, every) = (play.clone(), 1.0 / plan.changes_per_second.max(0.01));
    let last = second(plan.seconds);
    let changing = tokio::spawn(async move {
        let mut next = Instant::now();
        while next < last {
            sleep_until(next).await;
            changes.change().await?;
            next = Instant::now().max(next + Duration::from_secs_f64(every));
        }
        anyhow::Ok(())
    });
    let faults = drawn(plan, seed);
    let mut steps: Vec<(f64, bool, usize)> = Vec::new();
    for (at, fault) in faults.iter().enumerate() {
        steps.extend([(fault.at, true, at), (fault.at + fault.seconds, false, at)]);
    }
    steps.sort_by(|one, two| one.0.total_cmp(&two.0));
    let mut hit: BTreeMap<usize, String> = BTreeMap::new();
    for (at, begins, number) in steps {
        sleep_until(second(at)).await;
        let fault = &faults[number];
        if begins {
            let publisher = play.seen().publisher.clone();
            let who = fault.who.clone().or(publisher).context("nobody ever published")?;
            play.begin(fault.kind, &who).await?;
            hit.insert(number, who);
        } else if let Some(who) = hit.remove(&number) {
            play.end(fault.kind, &who)?;
        }
    }
    changing.await??;
    let healed = Instant::now();
    let (mut converged, mut said) = (None, None);
    while healed.elapsed() < SAID && said.is_none() {
        play.look_after();
        let after = |instant: Instant| instant.saturating_duration_since(healed).as_secs_f64();
        if converged.is_none() {
            converged = play.converged().map(after);
        }
        said = play.said_everywhere().map(after);
        if converged.is_none() && healed.elapsed() > BACK {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    play.stop().await;
    Ok(play.outcome(seed, faults, converged, said))
}

impl Play {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn start(plan: &Plan, program: &Path) -> Result<Play> {
        let folder = Arc::new(tempfile::tempdir().context("a folder for the processes")?);
        let operator = folder.path().join("operator.json");
        let seen = Arc::new(Mutex::new(Seen::default()));
        let play = Play { program: program.into(), operator, sites: plan.sites, folder, seen };
        let (who, mut home) = (Who::of(plan), Home::new());
        let mut at = BTreeMap::new();
        for name in who.control.iter().chain(who.relays.iter().flatten()) {
            at.insert(name.clone(), home.next());
        }
        let votes: BTreeMap<String, SocketAddr> =
            who.control[..VOTERS].iter().map(|name| (name.clone(), home.next())).collect();
        let straight = json!({"name": "real", "voters": called(&votes), "carrier":
            {"control": called(&at.iter().filter(|(name, _)| who.control.contains(name))
                .map(|(name, at)| (name.clone(), *at)).collect())}});
        std::fs::write(&play.operator, json!({"fleet": straight}).to_string())?;
        let everyone = who.control.iter().map(|name| (name, 0));
        let in_sites = (0..plan.sites)
            .flat_map(|site| who.relays[site].iter().chain(&who.leaves[site]).map(move |name| (name, site)));
        for (name, site) in everyone.chain(in_sites) {
            let mut relays = BTreeMap::new();
            for parent in who.control.iter().chain(&who.relays[site]).filter(|parent| *parent != name) {
                relays.insert(parent.clone(), Relay::start(at[parent]).await?);
            }
            let called_at = |of: &[String]| -> Json {
                let through = |name: &String| relays.get(name).map_or(at[name], |relay| relay.address);
                called(&of.iter().map(|name| (name.clone(), through(name))).collect())
            };
            let folder = play.folder.path().join(name);
            let carrier = json!({
                "control": called_at(&who.control), "relays": called_at(&who.relays[site]), "region": "north",
                "site": format!("s{}", site + 1), "folder": folder.join("carrier"),
            });
            let (listen, door) = (home.next(), home.next());
            let config = json!({
                "name": name, "listen": listen, "discovery": home.next(), "operator": door,
                "limits": {"sockets": 256, "memory_mb": 64},
                "settings": {
                    "fleet-size": 1, "me": 0, "skus": ["cache", "origin"], "failure-domains": ["a"],
                    "domain": {"mode": "aside", "origin-kind": 1}, "routes": routes(0),
                    // There from the first: a section that a file lacks can't come by a patch.
                    "permissions": {"most-upstream-tries": 2},
                },
                "fleet": {"name": "real", "zone": "hall", "voters": called(&votes), "folder": folder.join("voter"),
                          "carrier": carrier},
            });
            let (file, log) = (folder.with_extension("json"), folder.with_extension("log"));
            std::fs::write(&file, config.to_string())?;
            let proc = Proc { listen, door, config: file, log, child: None, lives: Vec::new(), relays };
            play.seen().procs.insert(name.clone(), proc);
            play.spawn(name)?;
        }
        operator_command::fleet(&play.program, &["found"], &play.operator, READY).await?;
        // Links come up: what is played begins with a fleet that is whole.
        play.whole().await?;
        Ok(play)
    }

    async fn whole(&self) -> Result<()> {
        let until = Instant::now() + WHOLE;
        loop {
            let said = self.say(&["changes"]).await?;
            if said.status.success() {
                return Ok(());
            }
            let words =
                String::from_utf8_lossy(&said.stdout).to_string() + &String::from_utf8_lossy(&said.stderr);
            ensure!(Instant::now() < until, "the fleet is not whole before any fault: {words}");
            sleep(LOOK).await;
        }
    }

    fn spawn(&self, name: &str) -> Result<()> {
        let mut seen = self.seen();
        let proc = seen.procs.get_mut(name).with_context(|| format!("nobody is {name:?}"))?;
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&proc.log)?;
        let mut command = Command::new(&self.program);
        command.args(["as-proxy", "serve", "--config"]).arg(&proc.config);
        for name in
            ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_OPERATOR", "PROXY_CONFIG", "PROXY_FD"]
        {
            command.env_remove(name);
        }
        command.env("TMPDIR", self.folder.path());
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log).kill_on_drop(true);
        proc.child = Some(command.spawn().with_context(|| self.program.display().to_string())?);
        proc.lives.push(Life { began: Some(Instant::now()), ..Life::default() });
        Ok(())
    }

    async fn begin(&self, kind: Kind, who: &str) -> Result<()> {
        match kind {
            Kind::KillRelay | Kind::KillPublisher | Kind::KillLeaf => {
                let child = self.seen().procs.get_mut(who).and_then(|proc| proc.child.take());
                if let Some(mut child) = child {
                    child.kill().await?;
                }
            }
            Kind::StopRelay => self.signal(who, Signal::SIGSTOP),
            Kind::Drop => self.links(who, Mode::Drop { there: true, back: true }),
            Kind::Delay(millis) => self.links(who, Mode::Delay(Duration::from_millis(millis))),
            Kind::Reset => self.links(who, Mode::Reset),
        }
        Ok(())
    }

    fn end(&self, kind: Kind, who: &str) -> Result<()> {
        match kind {
            Kind::KillRelay | Kind::KillPublisher | Kind::KillLeaf => {
                let down = self.seen().procs.get(who).is_some_and(|proc| proc.child.is_none());
                if down {
                    self.spawn(who)?;
                }
            }
            Kind::StopRelay => self.signal(who, Signal::SIGCONT),
            _ => self.links(who, Mode::Pass),
        }
        Ok(())
    }

    fn signal(&self, who: &str, signal: Signal) {
        let seen = self.seen();
        let id = seen.procs.get(who).and_then(|proc| proc.child.as_ref()).and_then(Child::id);
        if let Some(id) = id.and_then(|id| i32::try_from(id).ok()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Those that it dials, and those that others dial to it.
    fn links(&self, who: &str, mode: Mode) {
        for (name, proc) in &self.seen().procs {
            for (_, relay) in proc.relays.iter().filter(|(parent, _)| name == who || *parent == who) {
                relay.set(mode);
            }
        }
    }

    /// Notices who ended by itself.
    fn look_after(&self) {
        let mut seen = self.seen();
        let Seen { procs, wrong, .. } = &mut *seen;
        for (name, proc) in procs {
            if let Some(status) = proc.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                proc.child = None;
                wrong.insert(format!("{name} ended by itself: {status}"));
            }
        }
    }

    /// The output of `pumicebay fleet` with these words.
    async fn say(&self, words: &[&str]) -> Result<std::process::Output> {
        let mut command = Command::new(&self.program);
        command.args(["as-proxy", "fleet"]).args(words).arg("--config").arg(&self.operator);
        Ok(command.stdin(Stdio::null()).kill_on_drop(true).output().await?)
    }

    /// The routes of the fleet with a class more; every third one concerns a site alone, and is seen by its version.
    async fn change(&self) -> Result<()> {
        let number = {
            let mut seen = self.seen();
            seen.newest += 1;
            seen.newest
        };
        let of_site = format!("site/s{}", number as usize % self.sites + 1);
        let (scope, patch) = if number % 3 == 2 {
            (of_site.as_str(), json!({"settings": {"permissions": {"most-upstream-tries": 1 + number % 4}}}))
        } else {
            ("fleet", json!({"settings": {"routes": routes(number)}}))
        };
        let file = self.folder.path().join("patch.json");
        std::fs::write(&file, patch.to_string())?;
        let said = self.say(&["set", scope, "rig", &file.to_string_lossy()]).await?;
        let mut seen = self.seen();
        let text = String::from_utf8_lossy(&said.stdout);
        match (said.status.code(), version(text.trim())) {
            (Some(0), Some(version)) => {
                if let Some((before, (_, was))) = seen.settled.last_key_value()
                    && *was >= version
                {
                    let text =
                        format!("change {number} was settled at {version:?}, {before} before it at {was:?}");
                    seen.wrong.insert(text);
                }
                seen.settled.insert(number, (Instant::now(), version));
            }
            (Some(3), _) => seen.unknown += 1,
            _ => {
                seen.refused += 1;
                seen.why = String::from_utf8_lossy(&said.stderr).trim().into();
            }
        }
        Ok(())
    }

    /// Asks one process, all the while.
    async fn witness(&self, name: &str) {
        loop {
            let now = {
                let seen = self.seen();
                seen.procs.get(name).and_then(|proc| {
                    proc.child.as_ref().map(|_| (proc.listen, proc.door, proc.lives.len(), seen.newest))
                })
            };
            if let Some((listen, door, life, newest)) = now {
                let holds = timeout(ANSWERS, status(door)).await;
                let known = timeout(ANSWERS, classes(listen, newest)).await;
                let mut seen = self.seen();
                if let (Ok(Ok(holds)), Ok(Ok(known))) = (holds, known) {
                    seen.take(name, life, holds, known);
                }
            }
            sleep(LOOK).await;
        }
    }

    /// Judges what the publisher says to be in force.
    async fn hear_claims(&self) {
        loop {
            sleep(LOOK * 2).await;
            let Ok(Ok(said)) = timeout(ANSWERS * 5, self.say(&["changes", "--json"])).await else { continue };
            let Ok(claim) = serde_json::from_slice::<Json>(&said.stdout) else { continue };
            let heard = Instant::now();
            if let Some(publisher) = claim["publisher"].as_str() {
                self.seen().publisher = Some(publisher.into());
            }
            if claim["gathered"] == true {
                self.judge(&claim, heard).await;
            }
        }
    }

    /// Whoever is counted and not excepted has it in force by now; what is in force does not go back in a life, so that asking
    /// after the claim is no harder than what was claimed.
    async fn judge(&self, claim: &Json, heard: Instant) {
        let Some(in_force) = claim["in_force"].as_str().and_then(version) else { return };
        let of = claim["version"].as_str().and_then(version);
        let named: BTreeSet<&str> = claim["exceptions"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|one| one["name"].as_str())
            .collect();
        let (wanted, living, all) = {
            let seen = self.seen();
            let settled = |(number, (_, at)): (&u64, &(Instant, (u64, u64)))| {
                (*at <= in_force && number % 3 != 2).then_some(*number)
            };
            let wanted = seen.settled.iter().rev().find_map(settled);
            let old = |life: &Life| life.began.is_some_and(|began| heard.duration_since(began) > YOUNG);
            let lives = seen.procs.iter().filter(|(name, proc)| {
                proc.child.is_some() && proc.lives.last().is_some_and(old) && !named.contains(name.as_str())
            });
            let living: Vec<_> =
                lives.map(|(name, proc)| (name.clone(), proc.listen, proc.lives.len())).collect();
            (wanted, living, seen.procs.len())
        };
        let Some(wanted) = wanted else { return };
        let newest = self.seen().newest;
        let asked = living.iter().map(|(_, listen, _)| timeout(ANSWERS, classes(*listen, newest)));
        let answers = futures_util::future::join_all(asked).await;
        let mut seen = self.seen();
        seen.claims += 1;
        let lack: Vec<String> = living
            .iter()
            .zip(answers)
            .filter_map(|((name, _, life), answer)| match answer {
                Ok(Ok(Some(known))) if known < wanted && seen.lives(name, *life) => {
                    Some(format!("{name} has {known}"))
                }
                _ => None,
            })
            .collect();
        let members = claim["members"].as_u64().unwrap_or(0) as usize;
        let unnamed = claim["unnamed"].as_u64().unwrap_or(0) as usize;
        if lack.len() > all.saturating_sub(members) + unnamed {
            let lack = lack.join(", ");
            seen.wrong.insert(format!(
                "said to be in force is change {wanted} at {members} members, but {lack}: {claim}"
            ));
        }
        if claim["everywhere"] == true && members == all {
            seen.said = of.map(|of| (heard, of));
        }
    }

    /// When the last one was seen to have the newest that was settled, if all have.
    fn converged(&self) -> Option<Instant> {
        let seen = self.seen();
        let (_, (_, version)) = seen.settled.last_key_value()?;
        let (wanted, _) = seen.settled.iter().rev().find(|(number, _)| *number % 3 != 2)?;
        let mut last = None;
        for proc in seen.procs.values() {
            proc.child.as_ref()?;
            let life = proc.lives.last()?;
            if life.holds? < *version || life.in_force < *wanted {
                return None;
            }
            last = last.max(life.answered);
        }
        last
    }

    fn said_everywhere(&self) -> Option<Instant> {
        let seen = self.seen();
        let (_, (_, version)) = seen.settled.last_key_value()?;
        seen.said.filter(|(_, said)| said >= version).map(|(at, _)| at)
    }

    async fn stop(&self) {
        let mut children = Vec::new();
        for proc in self.seen().procs.values_mut() {
            children.extend(proc.child.take());
        }
        for child in &mut children {
            let _ = child.kill().await;
        }
    }

    fn outcome(&self, seed: u64, faults: Vec<Fault>, converged: Option<f64>, said: Option<f64>) -> Outcome {
        let mut seen = self.seen();
        let (mut times, mut wrong) = (Vec::new(), std::mem::take(&mut seen.wrong));
        for (number, (settled, _)) in seen.settled.iter().filter(|(number, _)| *number % 3 != 2) {
            for life in seen.procs.values().flat_map(|proc| &proc.lives) {
                if life.began.is_some_and(|began| began < *settled)
                    && let Some((_, at)) = life.seen.range(number..).next()
                {
                    times.push(at.saturating_duration_since(*settled).as_secs_f64());
                }
            }
        }
        times.sort_by(f64::total_cmp);
        let part =
            |part: f64| times.get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)));
        let part = |share: f64| part(share).copied().unwrap_or(f64::NAN);
        if converged.is_none_or(|seconds| seconds > BACK.as_secs_f64()) {
            let behind = seen.procs.iter().map(|(name, proc)| {
                let life = proc.lives.last();
                format!(
                    "{name} {:?} {}",
                    life.and_then(|life| life.holds),
                    life.map_or(0, |life| life.in_force)
                )
            });
            let behind = behind.collect::<Vec<_>>().join(", ");
            let last = seen.settled.last_key_value().map(|(number, (_, version))| (*number, *version));
            wrong.insert(format!("not converged in {} s on {last:?}: {behind}", BACK.as_secs()));
        } else if said.is_none() {
            wrong.insert(format!("in force everywhere, but not said so in {} s", SAID.as_secs()));
        }
        let logs = if wrong.is_empty() { Vec::new() } else { seen.logs() };
        Outcome {
            seed,
            processes: seen.procs.len(),
            faults,
            settled: seen.settled.len(),
            unknown: seen.unknown,
            refused: seen.refused,
            why: seen.why.clone(),
            claims: seen.claims,
            converged,
            said,
            in_force: (part(0.5), part(0.99), part(1.0)),
            pairs: times.len(),
            wrong: wrong.into_iter().take(10).collect(),
            logs,
        }
    }
}

impl Seen {
    /// Whether this life of it goes on.
    fn lives(&self, name: &str, life: usize) -> bool {
        self.procs.get(name).is_some_and(|proc| proc.child.is_some() && proc.lives.len() == life)
    }

    /// What a process answered; nothing in it may be older than what it answered before.
    fn take(&mut self, name: &str, number: usize, holds: Option<(u64, u64)>, known: Option<u64>) {
        if !self.lives(name, number) {
            return;
        }
        let Some(life) = self.procs.get_mut(name).and_then(|proc| proc.lives.last_mut()) else { return };
        life.answered = Some(Instant::now());
        if holds < life.holds {
            self.wrong.insert(format!("{name} held {:?} and then {holds:?}", life.holds));
        }
        life.holds = holds;
        // `None`: older than all classes that were asked for.
        let known = known.unwrap_or(0);
        if known != 0 && known < life.in_force {
            self.wrong.insert(format!("{name} had change {} in force and then {known}", life.in_force));
        }
        if known > life.in_force {
            life.in_force = known;
            life.seen.insert(known, Instant::now());
        }
    }

    fn logs(&self) -> Vec<String> {
        let last = |(name, proc): (&String, &Proc)| {
            let text = std::fs::read_to_string(&proc.log).unwrap_or_default();
            let lines: Vec<&str> = text.lines().filter(|line| line.contains("carrier")).collect();
            format!("{name}:\n{}", lines[lines.len().saturating_sub(20)..].join("\n"))
        };
        self.procs.iter().map(last).collect()
    }
}

fn called(of: &BTreeMap<String, SocketAddr>) -> Json {
    of.iter().map(|(name, at)| (name.clone(), json!(at.to_string()))).collect()
}

/// The classes that are known once this change is in force.
fn routes(number: u64) -> Json {
    let first = (number + 1).saturating_sub(CLASSES);
    let route = |number: u64| {
        json!({"name": format!("f{number}"), "effect": "repeatable", "payoff": 1.0,
               "latency-objective-us": 150_000, "overall-timeout-us": 1_000_000})
    };
    (first..=number).map(route).collect()
}

/// A version as it is written: when it was founded, and a number.
fn version(text: &str) -> Option<(u64, u64)> {
    let (epoch, number) = text.split_once('.')?;
    Some((epoch.parse().ok()?, number.parse().ok()?))
}

/// The version that a process says it holds; `None` before it holds any.
async fn status(door: SocketAddr) -> Result<Option<(u64, u64)>> {
    let mut stream = TcpStream::connect(door).await?;
    stream.write_all(b"GET /status HTTP/1.1\r\nContent-Length: 0\r\n\r\n").await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    let after = answer.split_once("carrier: version ").with_context(|| answer.clone())?.1;
    Ok(version(after.split([' ', ',']).next().unwrap_or_default()))
}

/// The newest change whose class a client may ask for.
async fn classes(listen: SocketAddr, newest: u64) -> Result<Option<u64>> {
    let mut stream = BufReader::new(TcpStream::connect(listen).await?);
    let asked: Vec<u64> = ((newest + 1).saturating_sub(2 * CLASSES)..=newest).rev().collect();
    let mut text = String::new();
    for number in &asked {
        let labels = format!("c=f{number},t=rig,d=200,size=9,k=x");
        let words = ["C.GET", "key", "rig", &labels];
        let _ = write!(text, "*{}\r\n", words.len());
        for word in words {
            let _ = write!(text, "${}\r\n{word}\r\n", word.len());
        }
        stream.write_all(text.as_bytes()).await?;
        text.clear();
        stream.read_line(&mut text).await?;
        ensure!(!text.is_empty(), "closed");
        if !text.contains("unknown or missing class") {
            return Ok(Some(*number));
        }
        text.clear();
    }
    Ok(None)
}
