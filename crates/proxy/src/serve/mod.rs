//! Starts the actors of a proxy and runs them through its phases.

mod maintenance;
mod reload;

use crate::clock::Clock;
use crate::config::Config;
use crate::connection_limit::ConnectionLimit;
use crate::control::ControlHandle;
use crate::counters::Counters;
use crate::descriptors;
use crate::discovery::entries::parse_list;
use crate::discovery::list::ListWatcher;
use crate::dispatcher::Dispatcher;
use crate::fleet::carrier::{self, apply};
use crate::fleet::{self, voter_client::VoterClient};
use crate::front::frontend::Frontend;
use crate::front::listener;
use crate::front::pacing::BusyConnections;
use crate::listen::listen;
use crate::messages;
use crate::operator::{self, OperatorService};
use crate::phases::{Phase, PhaseWatch, Phases};
use crate::routes::{RouteRegistry, Routes};
use crate::shared::Shared;
use crate::streaming::BufferedValueLimit;
use crate::takeover::{Successor, TakeoverSocket};
use crate::upstream::pool::{self, ConnectionPool};
use anyhow::{Context, Result, bail, ensure};
use pumicebay_carrier::Resource;
use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::task::TaskTracker;

/// How long the previous process may keep serving after this one has begun to. Until then this one uses half
/// of the limits.
const TAKEOVER_OVERLAP: Duration = Duration::from_secs(4);
/// How long a process that takes over waits for the first list. Short, since operators wait only some seconds
/// for the confirmation that it serves.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1500);

/// A running proxy.
pub struct Proxy {
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The address of the operator interface, if it is enabled.
    pub operator: Option<SocketAddr>,
    /// Sends commands to the fleet's voters, if the proxy is part of a fleet.
    pub fleet: Option<VoterClient>,
    /// Handle of the carrier actor, if there is one.
    carrier: Option<carrier::handle::Handle>,
    phases: Phases,
    config: Arc<Config>,
    counters: Arc<Counters>,
    connections: TaskTracker,
    /// The current address of discovery.
    discovery: watch::Sender<SocketAddr>,
    /// The routes and their numbers, the channel that publishes them, and the handle of the dispatcher.
    route_registry: RouteRegistry,
    routes: watch::Sender<Arc<Routes>>,
    control: ControlHandle,
    /// The socket at which the next process finds this one.
    takeover_socket: Option<Arc<TakeoverSocket>>,
    successor: Arc<OnceLock<Successor>>,
    /// The configuration file as last read, the resources that the carrier last wanted applied on top of it,
    /// and those of them that are in force.
    file_config: Config,
    carrier_resources: Vec<Resource>,
    accepted_resources: Vec<Resource>,
    /// Commands from the carrier.
    carrier_orders: mpsc::Receiver<apply::Command>,
    /// Actors that the proxy can't run without.
    actors: JoinSet<()>,
}

impl Proxy {
    /// Starts all actors. Opens the clients' socket only when the proxy is able to serve.
    ///
    /// # Errors
    /// If a socket can't be opened.
    pub async fn start(config: Config, counters: Arc<Counters>) -> Result<Proxy> {
        let file_config = config;
        let (kept, applied) = carrier::load_snapshot(&file_config).await;
        let (mut config, accepted_resources) = match applied {
            Some(applied) => (applied.config, applied.accepted),
            None => (file_config.clone(), Vec::new()),
        };
        // The list is used once, below, and its memory is freed after that.
        let mut file_config = file_config;
        file_config.known.take();
        let known_list = config.known.take();
        let (phases, config) = (Phases::new(counters.clone()), Arc::new(config));
        tracing::info!("{}", config.summary().replace('\n', "; "));
        let (handle, control, mailbox) = messages::channels();
        let (follow_sender, follow_receiver) = mpsc::channel(1);
        if let Some(folder) = &config.folder
            && let Err(error) = std::fs::create_dir_all(folder)
        {
            tracing::warn!("creating the folder {} failed: {error}", folder.display());
        }
        let (clock, phase, successor) = (Clock::start(), phases.watch(), Arc::new(OnceLock::new()));
        // During a takeover both processes together must stay within the limits of one: this one starts with
        // half.
        let taking_over = config.listener_inherited
            && config.folder.as_deref().is_some_and(TakeoverSocket::predecessor_exists);
        let share = |whole: usize| if taking_over { whole.div_ceil(2) } else { whole };
        let upstream = ConnectionPool::new(
            share(config.max_node_connections),
            config.node_idle_timeout,
            counters.clone(),
        );
        let streamed_values = Arc::new(Semaphore::new(share(config.max_streamed_values)));
        let pipeline_permits = Arc::new(Semaphore::new(share(config.max_pipelined_commands)));
        let max_buffered = config.max_buffered_value_bytes;
        let buffered_values = BufferedValueLimit::new(max_buffered, share(max_buffered));
        let mut route_registry = RouteRegistry::default();
        let (settings, routes) = route_registry.apply(&config.json["settings"]);
        let (routes_sender, routes) = watch::channel(Arc::new(routes));
        let shared = Shared {
            clock,
            config,
            counters,
            dispatcher: handle,
            phase,
            routes,
            upstream,
            streamed_values,
            successor,
        };
        let config = &shared.config;
        let mut dispatcher = Dispatcher::new(shared.clone(), settings, follow_sender, mailbox);
        let mut version = None;
        match parse_list(known_list.as_deref().unwrap_or("{}").as_bytes(), config) {
            Ok((list_version, full, nodes)) => {
                version = Some(list_version);
                dispatcher.apply_list(full, nodes);
            }
            Err(error) => {
                tracing::warn!("configuration: no node list to start from under `known`: {error:#}")
            }
        }
        drop(known_list);
        let mut list = ListWatcher::new(shared.clone(), follow_receiver, version);
        if config.listener_inherited {
            // The list that the previous process wrote, then the one that discovery has now.
            match list.load_saved_list(config.folder.as_deref()) {
                Ok(nodes) => dispatcher.apply_list(true, nodes),
                Err(error) => tracing::info!("no node list from a previous process: {error:#}"),
            }
            match timeout(FIRST_LIST_TIMEOUT, list.fetch_whole_list())
                .await
                .context("no answer in time")
                .flatten()
            {
                Ok(nodes) => dispatcher.apply_list(true, nodes),
                Err(error) => {
                    tracing::warn!("discovery: no list at the start, the known one is used: {error:#}")
                }
            }
        }
        let mut actors = JoinSet::new();
        let operator = config.operator.map(|at| listen("operator", at)).transpose()?;
        let operator_address = operator.as_ref().map(TcpListener::local_addr).transpose()?;
        let has_carrier = config.fleet.as_ref().is_some_and(|fleet| fleet.carrier.is_some());
        let (carrier_status_sender, carrier_status) =
            has_carrier.then(|| watch::channel(carrier::actor::ConfigFreshness::default())).unzip();
        let me = config
            .fleet
            .as_ref()
            .map(|section| fleet::local_process::LocalProcess::new(&config.name, section.clone()));
        let replication = me.as_ref().and_then(|me| me.config.replication.clone());
        if operator.is_some() || replication.is_some() {
            let group = me.as_ref().zip(replication);
            let handles = maintenance::start(group, &shared, &control, &mut dispatcher, &mut actors);
            if let Some(listener) = operator {
                let service = OperatorService {
                    watch: shared.phase.clone(),
                    counters: shared.counters.clone(),
                    maintenance: handles.calls,
                    replication: handles.replication,
                    carrier: carrier_status,
                };
                actors.spawn(operator::accept(service, listener));
            }
        }
        let fleet = me.as_ref().filter(|me| me.config.connects_to_voters(&config.name)).map(|me| {
            let (prober, probes) = fleet::probe_handle::channel();
            dispatcher.use_prober(prober);
            let (voter_client, parts) = fleet::start(me, control.clone(), probes);
            actors.spawn(parts);
            voter_client
        });
        let (layer, carrier_orders) = apply::channel();
        let carrier = me.as_ref().zip(carrier_status_sender).and_then(|(me, carrier_status_sender)| {
            let section = me.config.carrier.clone()?;
            let (carrier_handle, parts) =
                carrier::start(me, section, fleet.clone(), layer, kept, carrier_status_sender);
            actors.spawn(parts);
            Some(carrier_handle)
        });
        let listener =
            if config.listener_inherited { inherited_listener()? } else { listen("listen", config.listen)? };
        let address = listener.local_addr()?;
        let connections = TaskTracker::new();
        let frontend = Frontend {
            shared: shared.clone(),
            connections: connections.clone(),
            limit: ConnectionLimit::new(config.max_client_connections),
            used_connections: Arc::default(),
            pipeline_permits: pipeline_permits.clone(),
            busy_connections: BusyConnections::default(),
            buffered_values: buffered_values.clone(),
        };
        let (config, counters) = (config.clone(), shared.counters.clone());
        let discovery = watch::Sender::new(config.discovery);
        actors.spawn(dispatcher.run());
        actors.spawn(list.run(discovery.subscribe()));
        let takeover_socket =
            config.folder.as_deref().filter(|_| config.listener_inherited).map(TakeoverSocket::bind);
        let takeover_socket = takeover_socket.transpose().unwrap_or_else(|error| {
            tracing::warn!("client connections can't be passed to this process: {error}");
            None
        });
        let takeover_socket = takeover_socket.map(Arc::new);
        if let Some(takeover_socket) = takeover_socket.clone() {
            actors.spawn(listener::take_over(frontend.clone(), takeover_socket));
        }
        if taking_over {
            let (upstream, streamed_values, limits) =
                (shared.upstream.clone(), shared.streamed_values.clone(), config.clone());
            tokio::spawn(async move {
                sleep(TAKEOVER_OVERLAP).await;
                upstream.grow(limits.max_node_connections / 2);
                streamed_values.add_permits(limits.max_streamed_values / 2);
                pipeline_permits.add_permits(limits.max_pipelined_commands / 2);
                buffered_values.extend(limits.max_buffered_value_bytes / 2);
            });
        }
        actors.spawn(descriptors::reserve_descriptors(frontend.limit.clone()));
        actors.spawn(pool::sweep(shared.clone()));
        actors.spawn(listener::accept(frontend, listener));
        phases.enter(Phase::Serving);
        tracing::info!("listens on {address}");
        let (routes, operator) = (routes_sender, operator_address);
        let successor = shared.successor.clone();
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
            route_registry,
            routes,
            control,
            takeover_socket,
            successor,
            file_config,
            carrier_resources: accepted_resources.clone(),
            accepted_resources,
            carrier_orders,
            actors,
        })
    }

    /// A watch on the proxy's phase.
    pub fn watch(&self) -> PhaseWatch {
        self.phases.watch()
    }

    /// Serves until `stop` completes and the accepted requests are answered. New configurations come by
    /// `configs`.
    ///
    /// # Errors
    /// If an actor ends.
    pub async fn run(
        mut self,
        stop: impl Future<Output = ()>,
        mut configs: mpsc::Receiver<Result<Config>>,
    ) -> Result<()> {
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                ended = self.actors.join_next() => bail!("an actor ended unexpectedly: {ended:?}"),
                Some(config) = configs.recv() => self.reload(config).await,
                Some(order) = self.carrier_orders.recv() => self.handle_carrier_order(order).await,
            }
        }
        let longest_timeout = self.routes.borrow().longest_timeout();
        let mut draining = self.config.drain_period;
        if let Some(successor) = self.takeover_socket.and_then(|socket| socket.successor()) {
            tracing::info!("another process takes over: {} client connections", self.connections.len());
            // New clients connect to the other process.
            draining = Duration::ZERO;
            let _ = self.successor.set(successor);
        }
        self.phases.stop(draining, longest_timeout, &self.connections).await;
        Ok(())
    }
}

/// The listening socket that the platform passes on as standard input (`0<&$PROXY_FD` in the deploy files),
/// the one descriptor that can be taken over safely.
fn inherited_listener() -> Result<TcpListener> {
    let why = "PROXY_FD: standard input is no listening socket; start with 0<&$PROXY_FD";
    let socket = Socket::from(std::io::stdin().as_fd().try_clone_to_owned()?);
    ensure!(socket.is_listener().context(why)?, why);
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into())?)
}
