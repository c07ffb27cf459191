//! The command line: what to do, and with which configuration.

use crate::config::{self, Config};
use crate::counters::Counters;
use crate::event_loop;
use crate::fleet;
use crate::migrate::{self, Answers, OWN};
use crate::resp::{Frame, Resp};
use crate::serve::{self, Proxy};
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

  serve              run the proxy until SIGTERM; SIGHUP reads FILE again
  check              read and check the configuration, and print what it says
  migrate            write FILE's counterpart for a proxy beside each client, all in one location
  fleet              what the proxies of a fleet agree on: pumicebay fleet help
  counters [ADDRESS] print the counters of the proxy that listens there
  version            print the version
  help               print this

FILE is by default what $PROXY_CONFIG names; $PROXY_NAME, $PROXY_LISTEN, $PROXY_DISCOVERY and
$PROXY_OPERATOR go before what it says; $PROXY_LOG is what is logged, info or, with each request, debug; read again, FILE alone says where discovery is. ADDRESS is by default where
that configuration listens.

migrate --config FILE --output NEW [--dry-run] [--force]
  --proxies N        how many proxies there will be, all clients' together
  --probes yes|no    whether they may probe the nodes
  --zone NAME        which of the old zones is the one location, where there are several
  --name, --listen, --seed, --me
                     what this proxy has for itself; else as in FILE
  It lists what it changes, can't carry over and is not told. --dry-run prints the same list and writes
  nothing; a file already at NEW is replaced with --force only. FILE is never changed.";

const LOG_LINES: usize = 4096;
const ANSWERS: Duration = Duration::from_secs(2);

/// Carries out what these arguments ask for.
pub fn main(args: lexopt::Parser) -> Result<ExitCode> {
    let mut args = args;
    let (mut command, mut file, mut address) = (None, None, None);
    let (mut output, mut dry, mut over, mut answers) = (None, false, false, Answers::default());
    while let Some(arg) = args.next()? {
        match arg {
            // So the lab is told, which has commands of its own; here it changes nothing.
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
                "dry-run" => dry = true,
                "force" => over = true,
                "proxies" => answers.proxies = Some(args.value()?.parse().context("--proxies")?),
                "zone" => answers.zone = Some(args.value()?.string()?),
                "probes" => {
                    answers.probes = Some(match args.value()?.string()?.as_str() {
                        "yes" => true,
                        "no" => false,
                        other => bail!("--probes: expected yes or no, found {other:?}"),
                    });
                }
                option => {
                    let Some((own, _)) = OWN.iter().find(|(own, _)| *own == option) else {
                        return Err(Long(option).unexpected().into());
                    };
                    let value = args.value()?;
                    let number = *own == "me";
                    let value = if number {
                        Json::from(value.parse::<u64>().context("--me")?)
                    } else {
                        Json::from(value.string()?)
                    };
                    answers.own.push((own, value));
                }
            },
            other => return Err(other.unexpected().into()),
        }
    }
    let file = || {
        let file = file.clone().or_else(|| variable("PROXY_CONFIG"));
        file.context("no configuration: neither --config nor $PROXY_CONFIG is given")
    };
    let config = || config::read(&file()?, variable);
    let done = match command.as_deref() {
        Some("serve") => run(config()?, file()?),
        Some("check") => {
            println!("{}", config()?.summary());
            Ok(())
        }
        Some("migrate") => {
            let output = output.context("migrate: --output NEW is missing")?;
            migrate::run(file()?.as_ref(), output.as_ref(), &answers, dry, over)
        }
        Some("counters") => {
            let address = match address {
                Some(address) => address,
                None => config()?.listen.to_string(),
            };
            print!("{}", runtime()?.block_on(counters(&address))?);
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
    done.map(|()| ExitCode::SUCCESS)
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// One core is all a proxy has.
fn runtime() -> Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread().enable_all().build()?)
}

/// What is logged: `$PROXY_LOG` names the level.
fn log_level() -> Result<LevelFilter> {
    let Some(level) = variable("PROXY_LOG") else { return Ok(LevelFilter::INFO) };
    level
        .parse()
        .ok()
        .with_context(|| format!("PROXY_LOG: expected error, warn, info or debug, found {level:?}"))
}

fn run(config: Config, file: String) -> Result<()> {
    // Lines that nobody reads are lost after a while, rather than wait for.
    let lossy = NonBlockingBuilder::default().buffered_lines_limit(LOG_LINES);
    let (log, _flush) = lossy.finish(std::io::stderr());
    let log = tracing_subscriber::fmt().with_writer(log).log_internal_errors(false);
    log.with_ansi(false).with_target(false).with_max_level(log_level()?).init();
    let counters = Arc::new(Counters::default());
    let runtime = runtime()?;
    let served = runtime.block_on(async {
        let noted = counters.clone();
        let reread = move || {
            event_loop::timed(
                &noted,
                || "reading the configuration".into(),
                || config::reread(&file, variable),
            )
        };
        let (stop, configs) = (serve::termination_signal().await?, serve::reload_on_hangup(reread)?);
        Proxy::start(config, counters.clone()).await?.run(stop, configs).await
    });
    tracing::info!("counters: {}", counters.to_string().trim_end().replace('\n', ", "));
    runtime.shutdown_background();
    served
}

/// Asks a running proxy for its counters.
async fn counters(address: &str) -> Result<String> {
    let asked = tokio::time::timeout(ANSWERS, async {
        let mut framed = Framed::new(TcpStream::connect(address).await?, Resp);
        framed.send(&Frame::command([b"INFO", b"counters"])).await?;
        match framed.next().await {
            Some(Ok(Frame::Bulk(text))) => Ok(String::from_utf8_lossy(&text).into_owned()),
            other => bail!("unexpected answer {other:?}"),
        }
    });
    asked.await.context("no answer")?.with_context(|| address.to_string())
}
