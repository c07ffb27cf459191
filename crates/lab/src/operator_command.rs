//! Runs an operator's command until it succeeds, because the processes that it needs may still be starting.

use anyhow::{Context, Result, bail};
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout_at};

/// The wait between two attempts of the command.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs `pumicebay fleet WORDS --config FILE` with the lab's or another program until it succeeds. Returns an
/// error if it does not succeed within the time limit.
pub async fn fleet(program: &Path, words: &[&str], config: &Path, time_limit: Duration) -> Result<()> {
    let deadline = Instant::now() + time_limit;
    loop {
        let mut command = Command::new(program);
        command.args(["as-proxy", "fleet"]).args(words).arg("--config").arg(config).kill_on_drop(true);
        let result = timeout_at(deadline, command.output()).await;
        let output = result.with_context(|| format!("fleet {}: timed out", words.join(" ")))??;
        if output.status.success() {
            return Ok(());
        }
        if Instant::now() + RETRY_INTERVAL > deadline {
            bail!("fleet {}: {}", words.join(" "), String::from_utf8_lossy(&output.stderr));
        }
        sleep(RETRY_INTERVAL).await;
    }
}
