//! A real proxy process that gets damaged messages from nodes and clients, and new configurations in quick succession. These
//! tests use the machine fully, so they are apart from those with narrow time limits.

#[path = "../peers/bad_long_writes.rs"]
mod bad_long_writes;
mod bad_writes;
#[allow(dead_code, reason = "shared with other tests, which use more of it")]
#[path = "../peers/clients.rs"]
mod clients;
#[allow(dead_code, reason = "shared with other tests, which use more of it")]
#[path = "../peers/nodes.rs"]
mod nodes;
#[allow(dead_code, reason = "shared with other tests, which use more of it")]
#[path = "../peers/process.rs"]
mod process;
mod settings_series;
mod spoilt_replies;

use futures_util::{StreamExt, stream};

/// How many plays of one test go on at a time.
const PLAYS_AT_A_TIME: usize = 6;

/// Plays each case in a task of its own, a few at a time, and returns all results.
pub async fn play_all<Case, Play>(cases: Vec<Case>, play: impl Fn(Case) -> Play) -> Vec<Play::Output>
where
    Play: Future<Output: Send> + Send + 'static,
{
    let plays = stream::iter(cases.into_iter().map(|case| tokio::spawn(play(case))));
    plays.buffer_unordered(PLAYS_AT_A_TIME).map(|played| played.expect("a play failed")).collect().await
}
