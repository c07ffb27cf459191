//! New configurations at run time: from the file, and from the carrier on top of it.

use crate::config::{self, Config};
use crate::event_loop;
use crate::fleet::carrier::{self, apply};
use crate::serve::Proxy;
use anyhow::Result;
use std::sync::Arc;
use tokio::task::spawn_blocking;

impl Proxy {
    /// Applies the parts of a new configuration that can change at run time. A configuration that can't be
    /// read, or that lacks something the last one had, changes nothing.
    pub(super) async fn reload(&mut self, file_config: Result<Config>) {
        let keeps = |file_config: Config| {
            config::check_nothing_removed(&self.file_config.json, &file_config.json).map(|()| file_config)
        };
        let what = || "checking a new configuration".into();
        match event_loop::timed(&self.counters, what, || file_config.and_then(keeps)) {
            Ok(file_config) => {
                self.file_config = file_config;
                // A list in the configuration is only used at the start.
                self.file_config.known.take();
                self.counters.reloads.add();
                let config = self.apply_config().await.config;
                tracing::info!("configuration read again: {}", config.summary().replace('\n', "; "));
                let restart = config::keys_needing_restart(&self.config.json, &config.json);
                if !restart.is_empty() {
                    tracing::warn!("configuration: needs a restart: {}", restart.join(", "));
                }
                if let Some(carrier) = &self.carrier {
                    carrier.send(carrier::handle::Event::FileReloaded).await;
                }
            }
            Err(error) => {
                self.counters.reloads_failed.add();
                tracing::error!("the old configuration stays: {error:#}");
            }
        }
    }

    /// Puts the file's configuration in force, with the carrier's resources applied on top of it.
    async fn apply_config(&mut self) -> apply::AppliedConfig {
        let applied = if self.carrier_resources.is_empty() {
            apply::AppliedConfig {
                config: self.file_config.clone(),
                accepted: Vec::new(),
                refused: Vec::new(),
            }
        } else {
            let (file_config, carrier_resources, accepted_resources) =
                (self.file_config.clone(), self.carrier_resources.clone(), self.accepted_resources.clone());
            // If many resources fail they are checked one by one, so this runs on a blocking thread and
            // requests don't wait.
            let applied = spawn_blocking(move || {
                apply::apply_resources(&file_config, &carrier_resources, &accepted_resources)
            })
            .await;
            applied.unwrap_or_else(|error| {
                tracing::error!("carrier: applying its resources failed, none is in force: {error}");
                apply::AppliedConfig {
                    config: self.file_config.clone(),
                    accepted: Vec::new(),
                    refused: Vec::new(),
                }
            })
        };
        self.accepted_resources.clone_from(&applied.accepted);
        let (settings, routes) = self.route_registry.apply(&applied.config.json["settings"]);
        self.control.apply_settings(settings).await;
        self.routes.send_replace(Arc::new(routes));
        let discovery = applied.config.discovery;
        self.discovery.send_if_modified(|at| std::mem::replace(at, discovery) != discovery);
        for (scope, name, why) in &applied.refused {
            tracing::error!("carrier: resource {name} for {scope} is refused: {why}");
        }
        applied
    }

    /// Executes a command of the carrier.
    pub(super) async fn handle_carrier_order(&mut self, order: apply::Command) {
        match order {
            apply::Command::Apply(resources, answer) => {
                self.carrier_resources = resources;
                let applied = self.apply_config().await;
                let _ = answer.send(applied.refused);
            }
            apply::Command::Check(new, answer) => {
                let (file_config, accepted_resources) =
                    (self.file_config.clone(), self.accepted_resources.clone());
                spawn_blocking(move || answer.send(apply::check(&file_config, &accepted_resources, &new)));
            }
        }
    }
}
