//! What an operator types, again and again until it is done: processes may still be starting.

use anyhow::{Context, Result, bail};
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{Instant, sleep, timeout_at};

const AGAIN: Duration = Duration::from_millis(50);

/// `pumicebay fleet WORDS --config FILE`, by this program.
pub async fn fleet(program: &Path, words: &[&str], config: &Path, within: Duration) -> Result<()> {
    let until = Instant::now() + within;
    loop {
        let mut command = Command::new(program);
        command.args(["as-proxy", "fleet"]).args(words).arg("--config").arg(config).kill_on_drop(true);
        let said = timeout_at(until, command.output()).await;
        let output = said.with_context(|| format!("fleet {}: not done in time", words.join(" ")))??;
        if output.status.success() {
            return Ok(());
        }
        if Instant::now() + AGAIN > until {
            bail!("fleet {}: {}", words.join(" "), String::from_utf8_lossy(&output.stderr));
        }
        sleep(AGAIN).await;
    }
}
