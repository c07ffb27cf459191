//! Long writes that are no valid commands: none may run or be served.

use crate::bad_long_writes::{Afterwards, Write, writes};
use crate::clients::Answer;
use crate::nodes::Nodes;
use crate::play_all;
use crate::process::{Options, ProxyProcess};
use futures_util::future::join_all;
use std::time::Duration;
use tokio::time::sleep;

/// The lengths of the values that are sent. All are streamed.
const LENGTHS: [usize; 4] = [66_600, 100_000, 700_000, 3 << 20];
/// How long after the last answer a write may still come to a node.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Sends the write with values of all lengths. Returns what was wrong.
async fn send_all(write: Write) -> Vec<String> {
    let nodes = Nodes::default();
    let targets = nodes.start(1).await;
    let proxy = ProxyProcess::start(&Options::new(targets)).await;
    let address = proxy.address;
    let send = async |(length, pauses): (usize, bool)| {
        let id = format!("id-{length}-{pauses}");
        (write.try_send(address, &id, length, pauses).await.expect("the proxy listens"), id)
    };
    let forms = LENGTHS.iter().flat_map(|&length| [(length, false), (length, true)]);
    let answers = join_all(forms.map(send)).await;
    sleep(SETTLING_TIME).await;
    let mut faults = Vec::new();
    for (answer, id) in answers {
        let (served, runs) = (matches!(answer, Answer::Value(_)), nodes.runs(&id));
        let answered = write.afterwards != Afterwards::Stays || answer != Answer::Silence;
        if served != write.sound || runs != usize::from(write.sound) || !answered {
            faults.push(format!("{write:?}, {id}: ran {runs} times, {answer:?}"));
        }
    }
    faults
}

/// Guards against writes that run though no client sent them as a command: the last byte of a long value was passed on before
/// its end, and the rest of its command, had been read.
#[tokio::test(flavor = "multi_thread", worker_threads = 6)]
async fn a_long_write_that_is_no_valid_command_never_runs() {
    let faults = play_all(writes(), send_all).await.concat();
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}
