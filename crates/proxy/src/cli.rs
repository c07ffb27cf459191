//! The command line: parses the arguments and runs the command.

use crate::config::{self, Config};
use crate::counters::Counters;
use crate::event_loop;
use crate::fleet;
use crate::migrate::{self, MigrationOptions, PER_PROXY_OPTIONS};
use crate::resp::{Frame, Resp};
use crate::serve::Proxy;
use crate::signals;
use anyhow::{Context, Result, bail};
use futures_util::{SinkExt, StreamExt};
use lexopt::prelude::*;
use serde_json::Value as Json;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::NonBlockingBuilder;

const HELP: &str = "\
pumicebay: spreads keys over cache nodes in front of a slow origin

usage: pumicebay COMMAND [--config FILE]

  serve              run the proxy until SIGTERM; SIGHUP reloads FILE
  check              read and check the configuration, and print a summary
  migrate            convert FILE to the layout with a proxy beside each client, all in one location
  fleet              manage what the proxies of a fleet agree on: pumicebay fleet help
  counters [ADDRESS] print the counters of the proxy that listens at ADDRESS
  version            print the version
  help               print this

FILE defaults to $PROXY_CONFIG. $PROXY_NAME, $PROXY_LISTEN, $PROXY_DISCOVERY and $PROXY_OPERATOR override
its keys; when FILE is reloaded, $PROXY_DISCOVERY is ignored. $PROXY_LOG sets the log level: error, warn,
info (the default) or debug, which logs each request. ADDRESS defaults to where FILE says the proxy listens.

migrate --config FILE --output NEW [--dry-run] [--force]
  --proxies N        the number of proxies of all clients together
  --probes yes|no    whether the proxies may probe the nodes
  --zone NAME        which of the old zones becomes the one location, if there are several
  --name, --listen, --seed, --me
                     values of this proxy alone; taken from FILE by default
  It lists what it changes, what it cannot carry over and which options are missing. --dry-run prints the
  same list and writes nothing; an existing NEW is replaced only with --force. FILE is never changed.";

/// How many log lines may wait for a slow reader; more are dropped.
const MAX_BUFFERED_LOG_LINES: usize = 4096;
/// How long a running proxy may take to send its counters.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the command that the arguments name.
///
/// # Errors
/// When the arguments or the configuration are invalid, or the command fails.
pub fn main(args: lexopt::Parser) -> Result<ExitCode> {
    let mut args = args;
    let (mut command, mut file, mut address) = (None, None, None);
    let (mut output, mut dry_run, mut overwrite, mut options) =
        (None, false, false, MigrationOptions::default());
    while let Some(arg) = args.next()? {
        match arg {
            // Tells the lab, which has commands of its own, to act as the proxy; ignored here.
            Value(word) if command.is_none() && word == "as-proxy" => {}
            Long("config") => file = Some(args.value()?.string()?),
            Short('h') | Long("help") => command = Some("help".to_string()),
            Short('V') | Long("version") => command = Some("version".to_string()),
            Value(word) if command.is_none() => {
                command = Some(word.string()?);
                if command.as_deref() == Some("fleet") {
                    return fleet::command::main(args, &runtime()?);
                }
            }
            Value(word) if command.as_deref() == Some("counters") && address.is_none() => {
                address = Some(word.string()?);
            }
            Long(option) if command.as_deref() == Some("migrate") => match option {
                "output" => output = Some(args.value()?.string()?),
                "dry-run" => dry_run = true,
                "force" => overwrite = true,
                "proxies" => options.proxies = Some(args.value()?.parse().context("--proxies")?),
                "zone" => options.zone = Some(args.value()?.string()?),
                "probes" => {
                    options.probes = Some(match args.value()?.string()?.as_str() {
                        "yes" => true,
                        "no" => false,
                        other => bail!("--probes: expected yes or no, found {other:?}"),
                    });
                }
                option => {
                    let Some((name, _)) = PER_PROXY_OPTIONS.iter().find(|(name, _)| *name == option) else {
                        return Err(Long(option).unexpected().into());
                    };
                    let value = args.value()?;
                    let is_number = *name == "me";
                    let value = if is_number {
                        Json::from(value.parse::<u64>().context("--me")?)
                    } else {
                        Json::from(value.string()?)
                    };
                    options.per_proxy.push((name, value));
                }
            },
            other => return Err(other.unexpected().into()),
        }
    }
    let file = || {
        let file = file.clone().or_else(|| environment_variable("PROXY_CONFIG"));
        file.context("no configuration: neither --config nor $PROXY_CONFIG is given")
    };
    let config = || config::read(&file()?, environment_variable);
    let result = match command.as_deref() {
        Some("serve") => serve(config()?, file()?),
        Some("check") => {
            println!("{}", config()?.summary());
            Ok(())
        }
        Some("migrate") => {
            let output = output.context("migrate: --output NEW is missing")?;
            migrate::run(file()?.as_ref(), output.as_ref(), &options, dry_run, overwrite)
        }
        Some("counters") => {
            let address = match address {
                Some(address) => address,
                None => config()?.listen.to_string(),
            };
            print!("{}", runtime()?.block_on(fetch_counters(&address))?);
            Ok(())
        }
        Some("version") => {
            println!("pumicebay {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some("help") => {
            println!("{HELP}");
            Ok(())
        }
        Some(other) => bail!("unknown command {other:?}; see pumicebay help"),
        None => bail!("no command; see pumicebay help"),
    };
    result.map(|()| ExitCode::SUCCESS)
}

/// The value of an environment variable; `None` if it is unset or empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// A single-threaded runtime: a proxy has only one core.
fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread().enable_all().build()?)
}

/// The log level that `$PROXY_LOG` names, `info` by default.
fn log_level() -> Result<LevelFilter> {
    let Some(level) = environment_variable("PROXY_LOG") else { return Ok(LevelFilter::INFO) };
    level
        .parse()
        .ok()
        .with_context(|| format!("PROXY_LOG: expected error, warn, info or debug, found {level:?}"))
}

/// Runs the proxy until it is told to stop.
fn serve(config: Config, file: String) -> Result<()> {
    // Log lines that nobody reads are dropped in the end, so that the proxy never waits for the reader.
    let writer = NonBlockingBuilder::default().buffered_lines_limit(MAX_BUFFERED_LOG_LINES);
    let (log, _flush) = writer.finish(std::io::stderr());
    let log = tracing_subscriber::fmt().with_writer(log).log_internal_errors(false);
    log.with_ansi(false).with_target(false).with_max_level(log_level()?).init();
    let counters = Arc::new(Counters::default());
    let runtime = runtime()?;
    let result = runtime.block_on(async {
        let turn_counters = counters.clone();
        let reload = move || {
            event_loop::timed(
                &turn_counters,
                || "reading the configuration".into(),
                || config::reload(&file, environment_variable),
            )
        };
        let (stop, configs) = (signals::termination_signal().await?, signals::reload_on_hangup(reload)?);
        Proxy::start(config, counters.clone()).await?.run(stop, configs).await
    });
    tracing::info!("counters: {}", counters.to_string().trim_end().replace('\n', ", "));
    runtime.shutdown_background();
    result
}

/// Fetches the counters of a running proxy.
async fn fetch_counters(address: &str) -> Result<String> {
    let reply = tokio::time::timeout(REPLY_TIMEOUT, async {
        let mut framed = Framed::new(TcpStream::connect(address).await?, Resp);
        framed.send(&Frame::command([b"INFO", b"counters"])).await?;
        match framed.next().await {
            Some(Ok(Frame::Bulk(text))) => Ok(String::from_utf8_lossy(&text).into_owned()),
            other => bail!("unexpected reply {other:?}"),
        }
    });
    reply.await.context("no reply in time")?.with_context(|| address.to_string())
}
