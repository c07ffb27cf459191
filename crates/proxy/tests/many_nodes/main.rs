//! Proxy processes with thousands of listed cache nodes, in front of stand-ins on loopback. The limits of the
//! platform apply: a process that exceeds its memory limit is killed.

mod audit;
mod platform;
mod stand_ins;

use audit::{Audit, Load};
use futures_util::{SinkExt, StreamExt};
use platform::{Process, StartOptions};
use pumicebay::resp::{Frame, Resp};
use stand_ins::{Discovery, Nodes};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// The number of nodes on a usual day.
const USUAL_NODES: usize = 200;
/// Sixteen times as many.
const MANY_NODES: usize = 3_200;
/// The peak memory allowed with many nodes, as a multiple of the peak on a usual day. The next two constants
/// are added to it.
const PEAK_FACTOR: f64 = 1.5;
/// A fixed addition to the allowed peak.
const PEAK_ALLOWANCE_MB: f64 = 8.0;
/// The addition to the allowed peak for each thousand nodes more than on a usual day.
const PEAK_MB_PER_THOUSAND_NODES: f64 = 4.0;
/// The most memory that each listed node without requests may add to the peak.
const MAX_LISTED_NODE_KB: f64 = 2.0;
/// A list of this many nodes must fit into this memory limit.
const LONGEST_LIST: usize = 7_200;
const LONGEST_LIST_LIMIT_MB: u64 = 64;
/// The most lines that may be logged in the first seconds with a list of thousands of nodes, half of which
/// are replaced.
const MAX_LOG_LINES: usize = 400;
/// How long a process is observed after it has its list.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// The peak memory of a process that starts with this many nodes in its configuration, gets them again as a
/// whole list and then as changes to single nodes.
async fn peak_mb(nodes: usize, limit_mb: u64) -> f64 {
    let stand_ins = Nodes::start().await;
    let discovery = Discovery::start(stand_ins.entries(nodes)).await;
    let mut process =
        Process::start(&StartOptions { discovery: &discovery, list_in_config: true, limit_mb }).await;
    for number in 0..20 {
        discovery.publish_node(number % nodes);
        sleep(WATCH_TIME / 20).await;
        process.assert_alive();
    }
    process.peak_mb()
}

/// The platform kills a process that exceeds its memory limit, so memory must grow only slowly with the list.
#[tokio::test]
async fn peak_memory_with_many_listed_nodes_stays_within_its_limit() {
    let usual = peak_mb(USUAL_NODES, 512).await;
    let many = peak_mb(MANY_NODES, 512).await;
    let thousands = (MANY_NODES - USUAL_NODES) as f64 / 1000.0;
    let allowed = PEAK_FACTOR * usual + PEAK_ALLOWANCE_MB + PEAK_MB_PER_THOUSAND_NODES * thousands;
    println!("{usual:.1} MB at {USUAL_NODES} nodes, {many:.1} MB at {MANY_NODES}, {allowed:.1} MB allowed");
    assert!(many <= allowed, "{many:.1} MB at {MANY_NODES} nodes, {allowed:.1} MB allowed");
    let each_kb = (many - usual) * 1024.0 / (MANY_NODES - USUAL_NODES) as f64;
    assert!(each_kb < MAX_LISTED_NODE_KB, "{each_kb:.2} KB per listed node");
}

#[tokio::test]
async fn a_list_of_thousands_of_nodes_fits_into_the_memory_limit() {
    let peak = peak_mb(LONGEST_LIST, LONGEST_LIST_LIMIT_MB).await;
    println!("{peak:.1} MB at {LONGEST_LIST} nodes");
}

#[tokio::test]
async fn a_list_of_thousands_of_nodes_does_not_flood_the_log() {
    let stand_ins = Nodes::start().await;
    let discovery = Discovery::start(stand_ins.entries(MANY_NODES)).await;
    let mut process =
        Process::start(&StartOptions { discovery: &discovery, list_in_config: true, limit_mb: 512 }).await;
    discovery.replace_half();
    sleep(WATCH_TIME).await;
    process.assert_alive();
    let lines = process.log().lines().count();
    assert!(lines < MAX_LOG_LINES, "{lines} lines");
}

/// Clients send requests while whole lists arrive, reloads change the address of discovery, and the process
/// is stopped. Reading a long list must neither delay answers nor exceed the memory limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_is_lost_while_long_lists_are_read() {
    let stand_ins = Nodes::start().await;
    let discovery = Discovery::start(stand_ins.entries(MANY_NODES)).await;
    let options =
        StartOptions { discovery: &discovery, list_in_config: true, limit_mb: LONGEST_LIST_LIMIT_MB };
    let mut process = Process::start(&options).await;
    let audit = Audit::new(stand_ins.clone(), process.core_waits.clone());
    let load = Load::start(process.address, audit.clone());
    for round in 0..4 {
        sleep(Duration::from_millis(500)).await;
        discovery.publish_all();
        sleep(Duration::from_millis(500)).await;
        if process.was_killed() {
            break;
        }
        if round % 2 == 0 {
            process.move_discovery(&discovery.listen_again().await);
        }
    }
    sleep(Duration::from_millis(300)).await;
    process.terminate();
    load.finish_open_connections().await;
    let stopped_in_time = process.stopped_in_time().await;
    audit.wait_for_late_attempts().await;
    println!("{}\n{:.1} MB", process.log(), process.peak_mb());
    audit.assert_no_violation();
    assert!(
        stopped_in_time && !process.was_killed(),
        "the process did not stop in time or was killed for its memory"
    );
}

/// Sends one command on a new connection and returns the reply.
async fn send_command(address: std::net::SocketAddr, arguments: &[&[u8]]) -> Option<Frame> {
    let mut framed = Framed::new(TcpStream::connect(address).await.ok()?, Resp);
    let arguments = arguments.iter().map(|argument| Frame::Bulk(argument.to_vec().into())).collect();
    framed.send(&Frame::Array(arguments)).await.ok()?;
    framed.next().await?.ok()
}
