//! Puts the actors together and runs them through the phases.

use crate::bans::{self, Bans, Replication};
use crate::clients::{self, Front};
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::counters::Counters;
use crate::desk::Desk;
use crate::discovery::entries::entries;
use crate::discovery::list::List;
use crate::fleet::carrier::{self, apply};
use crate::fleet::replication::handle::Channels;
use crate::fleet::{self, asker::Asker, replication};
use crate::heir::{Heir, Seat};
use crate::listen::listen;
use crate::messages;
use crate::module::Module;
use crate::operator::{self, Operator};
use crate::phases::{Phase, Phases, Watch};
use crate::room::Room;
use crate::shared::Shared;
use crate::tuning::{Routes, Tuning};
use crate::turns;
use crate::upstream::pool::{self, Pool};
use anyhow::{Context, Result, bail, ensure};
use pumicebay_accord::FencingTokens;
use pumicebay_carrier::Resource;
use rustix::io::Errno;
use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::TaskTracker;

/// How long the process before may go on after this one serves.
const OVERLAP: Duration = Duration::from_secs(4);
/// Descriptors that are kept free: discovery, a new configuration and operators must not wait until an idle client leaves.
const FREE: usize = 4;
/// How often it is looked whether so many are, and how often a configuration is read again for want of one.
const LOOK: Duration = Duration::from_millis(100);
/// How long a configuration may wait for a descriptor.
const UNREAD: Duration = Duration::from_secs(10);
/// How long a process that takes over waits for the list: operators wait some seconds for its yes.
const FIRST_LIST: Duration = Duration::from_millis(1500);

/// A proxy that serves.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// Where operators call.
    pub operator: Option<SocketAddr>,
    /// The way to ask the fleet, where it is in one.
    pub fleet: Option<Asker>,
    /// The way to the carrier, where it has one.
    carrier: Option<carrier::door::Door>,
    phases: Phases,
    config: Arc<Config>,
    counters: Arc<Counters>,
    connections: TaskTracker,
    /// Where discovery is now.
    discovery: watch::Sender<SocketAddr>,
    /// The routes and their numbers, who must know of them, and the way to the module.
    tuning: Tuning,
    routes: watch::Sender<Arc<Routes>>,
    desk: Desk,
    /// Where the next process finds this one.
    seat: Option<Arc<Seat>>,
    heir: Arc<OnceLock<Heir>>,
    /// The file as it was read last, what the carrier last wanted laid over it, and what of that is in force.
    file: Config,
    carried: Vec<Resource>,
    good: Vec<Resource>,
    /// What the carrier wants.
    orders: mpsc::Receiver<apply::Order>,
    /// Those without which it can't go on.
    actors: JoinSet<()>,
}

impl Proxy {
    /// Opens its sockets only when it is able to serve what comes.
    pub async fn start(config: Config, counters: Arc<Counters>) -> Result<Proxy> {
        let file = config;
        let (kept, laid) = carrier::kept(&file).await;
        let (mut config, good) = match laid {
            Some(laid) => (laid.config, laid.good),
            None => (file.clone(), Vec::new()),
        };
        // Read once, below, and held by nobody after that.
        let mut file = file;
        file.known.take();
        let known = config.known.take();
        let (phases, config) = (Phases::new(counters.clone()), Arc::new(config));
        tracing::info!("{}", config.summary().replace('\n', "; "));
        let (door, desk, mailbox) = messages::door();
        let (follow, followed) = mpsc::channel(1);
        if let Some(folder) = &config.folder
            && let Err(error) = std::fs::create_dir_all(folder)
        {
            tracing::warn!("{}: {error}", folder.display());
        }
        let (clock, watch, heir) = (Clock::start(), phases.watch(), Arc::new(OnceLock::new()));
        // Both processes together hold no more than one may: this one begins with half.
        let takes_over = config.inherited && config.folder.as_deref().is_some_and(Seat::taken);
        let part = |whole: usize| if takes_over { whole.div_ceil(2) } else { whole };
        let upstream = Pool::new(part(config.upstream), config.idle, counters.clone());
        let long = Arc::new(Semaphore::new(part(config.long)));
        let ahead = Arc::new(Semaphore::new(part(config.ahead)));
        let mut tuning = Tuning::default();
        let (settings, routes) = tuning.take(&config.json["settings"]);
        let (tell_routes, routes) = watch::channel(Arc::new(routes));
        let shared = Shared { clock, config, counters, door, watch, routes, upstream, long, heir };
        let config = &shared.config;
        let mut module = Module::new(shared.clone(), settings, follow, mailbox);
        let mut version = None;
        match entries(known.as_deref().unwrap_or("{}").as_bytes(), config) {
            Ok((known, whole, named)) => {
                version = Some(known);
                module.listed(whole, named);
            }
            Err(error) => tracing::warn!("known: no list to start from: {error:#}"),
        }
        drop(known);
        let mut list = List::new(shared.clone(), followed, version);
        if config.inherited {
            // What the process before knew, and what discovery knows by now.
            match list.left(config.folder.as_deref()) {
                Ok(named) => module.listed(true, named),
                Err(error) => tracing::info!("no list from a process before: {error:#}"),
            }
            match timeout(FIRST_LIST, list.first()).await.context("silent").flatten() {
                Ok(named) => module.listed(true, named),
                Err(error) => tracing::warn!("discovery: starts from the list it was given: {error:#}"),
            }
        }
        let mut actors = JoinSet::new();
        let operator = config.operator.map(|at| listen("operator", at)).transpose()?;
        let door_at = operator.as_ref().map(TcpListener::local_addr).transpose()?;
        let has_carrier = config.fleet.as_ref().is_some_and(|fleet| fleet.carrier.is_some());
        let (tell, told) = has_carrier.then(|| watch::channel(carrier::actor::Told::default())).unzip();
        let me = config.fleet.as_ref().map(|section| fleet::me::Me::new(&config.name, section.clone()));
        let replicated = me.as_ref().and_then(|me| me.config.replication.clone());
        if operator.is_some() || replicated.is_some() {
            let (maintenance, calls) = bans::maintenance();
            let (handle, replication) = match (&me, replicated) {
                (Some(me), Some(section)) => {
                    let Channels { handle, events, tell, ordered } = replication::handle::channels();
                    let maintenance = maintenance.clone();
                    let parts = replication::Parts { handle: handle.clone(), events, tell, maintenance };
                    actors.spawn(replication::start(me, section, parts));
                    (Some(handle.clone()), Some(Replication { handle, ordered }))
                }
                _ => (None, None),
            };
            let (watch, folder) = (shared.watch.clone(), config.folder.clone());
            let cold = Duration::from_nanos(config.settings.time("cold", 0));
            let (out, back) = match folder.as_deref().map(|folder| bans::found(folder, cold)) {
                Some(Ok(found)) => found,
                Some(Err(error)) => {
                    tracing::warn!("maintenance: no bans taken over: {error}");
                    Default::default()
                }
                None => Default::default(),
            };
            out.iter().for_each(|uid| module.maintained(clock.now(), uid, true));
            for uid in &back {
                module.maintained(clock.now(), uid, true);
                module.maintained(clock.now(), uid, false);
            }
            let fences = FencingTokens::default();
            actors.spawn(Bans { desk: desk.clone(), folder, out, fences, replication }.run(calls));
            if let Some(listener) = operator {
                let counters = shared.counters.clone();
                let operator = Operator { watch, counters, maintenance, replication: handle, carrier: told };
                actors.spawn(operator::accept(operator, listener));
            }
        }
        let fleet = me.as_ref().filter(|me| me.config.asks_voters(&config.name)).map(|me| {
            let (prober, probes) = fleet::prober::door();
            module.probes_by(prober);
            let (asker, parts) = fleet::start(me, desk.clone(), probes);
            actors.spawn(parts);
            asker
        });
        let (layer, orders) = apply::door();
        let carrier = me.as_ref().zip(tell).and_then(|(me, tell)| {
            let section = me.config.carrier.clone()?;
            let (door, parts) = carrier::start(me, section, fleet.clone(), layer, kept, tell);
            actors.spawn(parts);
            Some(door)
        });
        let listener = if config.inherited { inherited()? } else { listen("listen", config.listen)? };
        let address = listener.local_addr()?;
        let connections = TaskTracker::new();
        let front = Front {
            shared: shared.clone(),
            connections: connections.clone(),
            room: Room::new(config.clients),
            used: Arc::default(),
            ahead: ahead.clone(),
        };
        let (config, counters) = (config.clone(), shared.counters.clone());
        let discovery = watch::Sender::new(config.discovery);
        actors.spawn(module.run());
        actors.spawn(list.run(discovery.subscribe()));
        let seat = config.folder.as_deref().filter(|_| config.inherited).map(Seat::take);
        let seat = seat.transpose().unwrap_or_else(|error| {
            tracing::warn!("connections can't be passed on here: {error}");
            None
        });
        let seat = seat.map(Arc::new);
        if let Some(seat) = seat.clone() {
            actors.spawn(clients::take_over(front.clone(), seat));
        }
        if takes_over {
            let (upstream, long, whole) = (shared.upstream.clone(), shared.long.clone(), config.clone());
            tokio::spawn(async move {
                sleep(OVERLAP).await;
                upstream.grow(whole.upstream / 2);
                long.add_permits(whole.long / 2);
                ahead.add_permits(whole.ahead / 2);
            });
        }
        actors.spawn(keep_free(front.room.clone()));
        actors.spawn(pool::sweep(shared.clone()));
        actors.spawn(clients::accept(front, listener));
        phases.enter(Phase::Serving);
        tracing::info!("listens on {address}");
        let (routes, operator) = (tell_routes, door_at);
        let heir = shared.heir.clone();
        Ok(Proxy {
            address,
            operator,
            fleet,
            carrier,
            phases,
            config,
            counters,
            connections,
            discovery,
            tuning,
            routes,
            desk,
            seat,
            heir,
            file,
            carried: good.clone(),
            good,
            orders,
            actors,
        })
    }

    /// Takes from a new configuration what can change while it serves; one that can't be read, or lacks what the
    /// last one had, changes nothing.
    async fn reload(&mut self, file: Result<Config>) {
        let keeps = |file: Config| config::keeps(&self.file.json, &file.json).map(|()| file);
        let what = || "checking a new configuration".into();
        match turns::noted(&self.counters, what, || file.and_then(keeps)) {
            Ok(file) => {
                self.file = file;
                // A list is for a start.
                self.file.known.take();
                self.counters.reloads.add();
                let config = self.lay().await.config;
                tracing::info!("configuration read again: {}", config.summary().replace('\n', "; "));
                let restart = config::needs_restart(&self.config.json, &config.json);
                if !restart.is_empty() {
                    tracing::warn!("configuration: needs a restart: {}", restart.join(", "));
                }
                if let Some(carrier) = &self.carrier {
                    carrier.say(carrier::door::Event::Reread).await;
                }
            }
            Err(error) => {
                self.counters.reloads_failed.add();
                tracing::error!("the old configuration stays: {error:#}");
            }
        }
    }

    /// Puts the file in force with what is carried over it.
    async fn lay(&mut self) -> apply::Laid {
        let laid = if self.carried.is_empty() {
            apply::Laid { config: self.file.clone(), good: Vec::new(), refused: Vec::new() }
        } else {
            let (file, carried, good) = (self.file.clone(), self.carried.clone(), self.good.clone());
            // Many that fail are read one by one: exchanges don't wait for that.
            let laid = spawn_blocking(move || apply::lay(&file, &carried, &good)).await;
            laid.unwrap_or_else(|error| {
                tracing::error!("carrier: nothing of it is in force: {error}");
                apply::Laid { config: self.file.clone(), good: Vec::new(), refused: Vec::new() }
            })
        };
        self.good.clone_from(&laid.good);
        let (settings, routes) = self.tuning.take(&laid.config.json["settings"]);
        self.desk.retuned(settings).await;
        self.routes.send_replace(Arc::new(routes));
        let discovery = laid.config.discovery;
        self.discovery.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
        for (scope, name, why) in &laid.refused {
            tracing::error!("carrier: {name} for {scope} is refused: {why}");
        }
        laid
    }

    /// What the carrier wants.
    async fn carry(&mut self, order: apply::Order) {
        match order {
            apply::Order::Lay(resources, answer) => {
                self.carried = resources;
                let laid = self.lay().await;
                let _ = answer.send(laid.refused);
            }
            apply::Order::Check(new, answer) => {
                let (file, good) = (self.file.clone(), self.good.clone());
                spawn_blocking(move || answer.send(apply::check(&file, &good, &new)));
            }
        }
    }

    pub fn watch(&self) -> Watch {
        self.phases.watch()
    }

    /// Serves until it is told to stop and has answered what it took; meanwhile new configurations come.
    pub async fn run(
        mut self,
        stop: impl Future<Output = ()>,
        mut configs: mpsc::Receiver<Result<Config>>,
    ) -> Result<()> {
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                ended = self.actors.join_next() => bail!("an actor ended: {ended:?}"),
                Some(config) = configs.recv() => self.reload(config).await,
                Some(order) = self.orders.recv() => self.carry(order).await,
            }
        }
        let longest = self.routes.borrow().longest();
        let mut draining = self.config.draining;
        if let Some(heir) = self.seat.and_then(|seat| seat.heir()) {
            tracing::info!("another process takes over: {} client connections", self.connections.len());
            // Whoever still connects meets the other one.
            draining = Duration::ZERO;
            let _ = self.heir.set(heir);
        }
        self.phases.stop(draining, longest, &self.connections).await;
        Ok(())
    }
}

/// The clients' listening socket from the platform. Deploy files pass it on as standard input, the one descriptor
/// that can be taken over safely.
fn inherited() -> Result<TcpListener> {
    let why = "PROXY_FD: standard input is no listening socket; start with 0<&$PROXY_FD";
    let socket = Socket::from(std::io::stdin().as_fd().try_clone_to_owned()?);
    ensure!(socket.is_listener().context(why)?, why);
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into())?)
}

/// Asks idle clients to close while hardly a descriptor is left, as where the platform gives fewer than the limits say.
/// A client that can't be accepted asks so too; but what goes out of the proxy may have taken the last ones.
async fn keep_free(room: Room) {
    let Ok(any) = std::fs::File::open("/dev/null") else { return std::future::pending().await };
    loop {
        let free: Vec<_> = (0..FREE).map_while(|_| any.try_clone().ok()).collect();
        let lack = FREE - free.len();
        drop(free);
        (0..lack).for_each(|_| room.ask());
        sleep(LOOK).await;
    }
}

/// Reads the configuration again each time the platform says so. For want of a descriptor it tries again: the word
/// would be lost.
pub fn reread(read: impl Fn() -> Result<Config> + Send + 'static) -> Result<mpsc::Receiver<Result<Config>>> {
    let mut hangup = signal(SignalKind::hangup())?;
    let (tell, configs) = mpsc::channel(1);
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            let (until, mut config) = (Instant::now() + UNREAD, read());
            while config.as_ref().is_err_and(no_descriptor) && Instant::now() < until {
                sleep(LOOK).await;
                config = read();
            }
            if tell.send(config).await.is_err() {
                return;
            }
        }
    });
    Ok(configs)
}

fn no_descriptor(error: &anyhow::Error) -> bool {
    let code = error.chain().find_map(|error| error.downcast_ref::<std::io::Error>()?.raw_os_error());
    code.is_some_and(|code| [Errno::MFILE, Errno::NFILE].contains(&Errno::from_raw_os_error(code)))
}

/// Returns when the platform says to stop.
pub async fn signalled() -> Result<impl Future<Output = ()>> {
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
