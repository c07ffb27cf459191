//! The protocol of links between processes: length-delimited frames of bounded length, after a hello in each
//! direction. The end that connected sends requests and the other end answers them. Voters connect to each
//! other in both directions.

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pumicebay_accord::{
    Answer, MAX_RECORD_BYTES, Message, Name, Nanos, Operation, PeerState, ProcessId, Record, SharedRecord,
    StoreId, Token, VotingState,
};
use pumicebay_carrier::{Change, ChangeOutcome, ChildMessage, ParentMessage, Summary, Version};
use pumicebay_replication::{Message as ReplicationMessage, Stamp, Status as ReplicationStatus};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The oldest protocol version that this program supports.
pub const OLDEST_VERSION: u16 = 1;
/// The newest protocol version that this program supports. Adding frames raises it; new frames are sent only
/// on links whose other end supports them too.
pub const NEWEST_VERSION: u16 = 3;
/// The minimum version for the carrier's frames. Those of version 2 have another format, without link
/// numbers.
pub const MIN_CARRIER_VERSION: u16 = 3;
/// The minimum version for the frames of replication.
pub const MIN_REPLICATION_VERSION: u16 = 3;
/// The maximum length of a frame: a record of the maximum size and 16 KiB for the fields around it.
const MAX_FRAME_BYTES: usize = MAX_RECORD_BYTES + 16 * 1024;
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for exchanging hellos.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for sending a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval of heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a peer may send nothing before the link ends.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The first bytes of a hello, by which connections of other programs are recognized.
const MAGIC: u32 = 0x7075_6d62;

/// The kind of process that sent a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// A proxy; it is listed among the processes of the fleet.
    Proxy,
    /// An operator's command.
    Command,
}

/// The first frame in each direction. Later versions may add fields at the end, which older programs ignore.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    magic: u32,
    oldest: u16,
    newest: u16,
    /// The name of the fleet.
    pub fleet: String,
    /// The process that sends it.
    pub id: ProcessId,
    /// The kind of process.
    pub role: Role,
    /// The state of the sender's disk, if it is a voter whose disk is open.
    pub voter: Option<DiskSummary>,
}

/// The state of a voter's disk, and what the voter knows about the disks of others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiskSummary {
    /// The id of the store.
    pub store: StoreId,
    /// Whether the store has no record yet.
    pub empty: bool,
    /// The number of writes to the store.
    pub write_count: u64,
    /// When the fleet of its record was founded, as Unix time in milliseconds; 0 without a record.
    pub founded: u64,
    /// The highest write counts that this voter knows of other stores.
    pub known_write_counts: Vec<(StoreId, u64)>,
}

/// The status of a voter, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The name of the process.
    pub name: String,
    /// The state of its disk.
    pub disk: DiskSummary,
    /// Whether it votes, and if not, why.
    pub voting_state: VotingState,
    /// Whether its store is a voter in the newest record that it knows.
    pub is_current_voter: bool,
    /// Why its disk does not work, if so.
    pub disk_error: Option<String>,
    /// The record on its disk. Only a quorum read returns the agreed record.
    pub record: SharedRecord,
    /// How long each lease may still be held, in nanoseconds.
    pub remaining_leases: Vec<(String, Nanos)>,
    /// The processes that it knows: name, incarnation, state, and nanoseconds since the last frame.
    pub peers: Vec<(String, u64, PeerState, Nanos)>,
}

/// The outcome of a probe by the process that holds a zone's lease on probes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeOutcome {
    /// The zone that shares the probe.
    pub zone: Name,
    /// The token of the lease.
    pub token: Token,
    /// A number that is unique to the holder, to drop duplicates: two voters may pass on the same outcome.
    pub number: u64,
    /// The uid of the node.
    pub node: Name,
    /// Whether the node answered.
    pub answered: bool,
}

/// A frame. Postcard encodes a variant by its position, so new variants are added at the end. `rename` keeps
/// the earlier name of a variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Shows that the peer is alive; from a voter, with the current state of its disk.
    #[serde(rename = "Beat")]
    Heartbeat(Option<DiskSummary>),
    /// A message between voters: the receiver's store, the sender's store and the message.
    VoterMessage(StoreId, StoreId, Message),
    /// An operation for the voters.
    Submit(Operation),
    /// The answer to an operation.
    Answer(Answer),
    /// The first record of a new fleet.
    Bootstrap(Record),
    /// An operator's confirmation that the voter's disk is not an older copy.
    TrustDisk,
    /// Whether the voter accepted `Bootstrap` or `TrustDisk`.
    Accepted(bool),
    /// Asks a voter for its status.
    StatusRequest,
    /// The answer to `StatusRequest`.
    #[serde(rename = "StatusIs")]
    Status(Box<VoterStatus>),
    /// The outcome of a shared probe. Voters pass it on to all processes.
    ProbeOutcome(ProbeOutcome),
    /// A request for a probe: the zone and the node's uid. Voters pass it on to all processes.
    ProbeRequest(Name, Name),
    /// Closes the link cleanly.
    Bye,
    // Since version 2:
    /// A message of the carrier from a child to its parent.
    ToParent(Box<ChildMessage>),
    /// A message of the carrier from a parent to its child.
    ToChild(Box<ParentMessage>),
    /// Configuration changes for the control machine that publishes, with a number that the answer repeats.
    SubmitChanges(u64, Vec<Change>),
    /// The answer to `SubmitChanges` with this number.
    #[serde(rename = "Offered")]
    ChangeOutcome(u64, ChangeOutcome),
    /// Asks a control machine for its carrier status.
    CarrierStatusRequest,
    /// The answer to `CarrierStatusRequest`; also the answer to `SubmitChanges` from a control machine that
    /// does not publish.
    #[serde(rename = "CarrierIs")]
    CarrierStatus(Box<CarrierStatus>),
    // Since version 3:
    /// A message between two replicas.
    Replication(Box<ReplicationMessage>),
    /// A maintenance order from an operator's command.
    MaintenanceOrder(Box<MaintenanceOrder>),
    /// The answer to `MaintenanceOrder`.
    #[serde(rename = "Ordered")]
    MaintenanceAnswer(Box<MaintenanceAnswer>),
    /// Asks a replica for its status.
    ReplicationStatusRequest,
    /// The answer to `ReplicationStatusRequest`.
    #[serde(rename = "ReplicationIs")]
    ReplicationStatus(Box<ReplicationStatus>),
}

/// An operator's order to take a cache node out of service or to put it back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceOrder {
    /// The node's `uid`.
    pub node: String,
    /// `true` takes the node out of service, `false` puts it back.
    pub out_of_service: bool,
    /// The lease and token under which the order is given, if any.
    pub lease: Option<(String, Token)>,
}

/// The answer to a maintenance order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MaintenanceAnswer {
    /// The order is in effect at the process that answers, under this stamp.
    Applied(Stamp),
    /// The order was refused, for this reason.
    Refused(String),
}

/// The status of the carrier at a control machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CarrierStatus {
    /// The name of the process.
    pub name: String,
    /// The process that publishes, as far as this one knows.
    pub publisher: Option<String>,
    /// For how long it has been the publisher, in nanoseconds; `None` if it is not. Shortly after it became
    /// the publisher, not all processes have connected yet.
    pub publishing_for: Option<Nanos>,
    /// The version of the configuration that it holds.
    pub version: Version,
    /// How long ago the publisher was known to hold this version, in nanoseconds; `None` if never.
    pub age: Option<Nanos>,
    /// What is in force at this process and its descendants; at the publisher, that is everywhere.
    pub summary: Summary,
    /// The number of submitted changes without an answer yet.
    pub queued_changes: u64,
    /// The number of connected children.
    pub children: u64,
}

impl Hello {
    /// A hello of this program.
    pub fn new(fleet: &str, id: &ProcessId, role: Role, voter: Option<DiskSummary>) -> Hello {
        let (fleet, id) = (fleet.into(), id.clone());
        Hello { magic: MAGIC, oldest: OLDEST_VERSION, newest: NEWEST_VERSION, fleet, id, role, voter }
    }

    /// The same hello from a program that supports other versions, for tests.
    pub fn with_versions(mut self, oldest: u16, newest: u16) -> Hello {
        (self.oldest, self.newest) = (oldest, newest);
        self
    }

    /// Checks that a link with a peer that sent `other` is possible. The error message is meant for both
    /// ends.
    fn check_compatible(&self, other: &Hello) -> Result<()> {
        ensure!(other.magic == MAGIC, "not a process of a fleet");
        ensure!(other.fleet == self.fleet, "belongs to fleet {:?}, expected {:?}", other.fleet, self.fleet);
        ensure!(
            other.newest >= self.oldest && other.oldest <= self.newest,
            "supports protocol versions {} to {}, expected {} to {}",
            other.oldest,
            other.newest,
            self.oldest,
            self.newest
        );
        let founded = |hello: &Hello| hello.voter.as_ref().map_or(0, |disk| disk.founded);
        let (own_founding, other_founding) = (founded(self), founded(other));
        ensure!(
            own_founding == other_founding || own_founding == 0 || other_founding == 0,
            "belongs to a fleet founded at {other_founding}, expected {own_founding}: another or an old folder"
        );
        Ok(())
    }
}

/// The answer to a hello: the own hello, or why the link was refused.
#[derive(Serialize, Deserialize)]
enum Welcome {
    Hello(Hello),
    Refused(String),
}

/// An established link.
pub struct Link {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    /// When the last frame was received. It is kept here because calls of `next` may be cancelled again and
    /// again.
    last_received: Instant,
    /// When the last frame was sent.
    last_sent: Instant,
    /// The newest version that both ends support.
    version: u16,
}

/// Splits a connection into length-delimited frames.
fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

impl Link {
    /// Connects to `address` and exchanges hellos; see `initiate`.
    pub async fn connect(address: SocketAddr, hello: &Hello) -> Result<(Link, Hello)> {
        let stream =
            timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.context("connecting timed out")??;
        Link::initiate(stream, hello).await
    }

    /// Sends the first hello on a connection. Returns the link and the other end's hello, or an error if the
    /// peer refused or does not match.
    pub async fn initiate(stream: TcpStream, hello: &Hello) -> Result<(Link, Hello)> {
        stream.set_nodelay(true)?;
        let mut framed = framed(stream);
        let handshake = async {
            framed.send(Bytes::from(postcard::to_stdvec(hello)?)).await?;
            let answer = framed.next().await.context("connection closed instead of a hello")??;
            match postcard::take_from_bytes::<Welcome>(&answer).context("invalid answer to the hello")?.0 {
                Welcome::Hello(other) => {
                    hello.check_compatible(&other).with_context(|| format!("peer {}", other.id))?;
                    Ok(other)
                }
                Welcome::Refused(reason) => bail!("refused: {reason}"),
            }
        };
        let other = timeout(HELLO_TIMEOUT, handshake).await.context("exchanging hellos timed out")??;
        Ok((Link::established(framed, &other), other))
    }

    /// Waits for the other end's hello and answers it with the own hello, or with the reason for a refusal.
    pub async fn accept(stream: TcpStream, own_hello: impl AsyncFnOnce() -> Hello) -> Result<(Link, Hello)> {
        stream.set_nodelay(true)?;
        let mut framed = framed(stream);
        let handshake = async {
            let first = framed.next().await.context("connection closed before a hello")??;
            let other = postcard::take_from_bytes::<Hello>(&first).context("invalid hello")?.0;
            let hello = own_hello().await;
            let refused = hello.check_compatible(&other).with_context(|| format!("peer {}", other.id));
            let welcome = match &refused {
                Ok(()) => Welcome::Hello(hello),
                Err(error) => Welcome::Refused(format!("{error:#}")),
            };
            framed.send(Bytes::from(postcard::to_stdvec(&welcome)?)).await?;
            refused.map(|()| other)
        };
        let other = timeout(HELLO_TIMEOUT, handshake).await.context("exchanging hellos timed out")??;
        Ok((Link::established(framed, &other), other))
    }

    /// A link over a connection on which hellos were exchanged.
    fn established(framed: Framed<TcpStream, LengthDelimitedCodec>, other: &Hello) -> Link {
        let now = Instant::now();
        Link { framed, last_received: now, last_sent: now, version: NEWEST_VERSION.min(other.newest) }
    }

    /// The newest protocol version that both ends support.
    pub fn version(&self) -> u16 {
        self.version
    }

    /// Returns an error if the other end does not support this protocol version.
    pub fn ensure_version(&self, version: u16) -> Result<()> {
        ensure!(
            self.version() >= version,
            "the peer supports protocol versions up to {}, {version} is needed",
            self.version()
        );
        Ok(())
    }

    /// Sends a frame. Returns an error if the peer does not read in time, which ends the link.
    pub async fn send(&mut self, frame: &Frame) -> Result<()> {
        let bytes = Bytes::from(postcard::to_stdvec(frame)?);
        timeout(SEND_TIMEOUT, self.framed.send(bytes)).await.context("the peer does not read")??;
        self.last_sent = Instant::now();
        Ok(())
    }

    /// Waits for the next frame; `None` when the link was closed cleanly. Meanwhile sends the messages from
    /// `mailbox`, encoded by `framed`, and heartbeats when nothing else is sent. A closed mailbox closes the
    /// link cleanly.
    pub async fn next_while_sending<M>(
        &mut self,
        mailbox: &mut mpsc::Receiver<M>,
        framed: impl Fn(M) -> Frame,
    ) -> Result<Option<Frame>> {
        loop {
            let heartbeat_at = self.last_sent + HEARTBEAT_INTERVAL;
            let frame = tokio::select! {
                frame = self.next() => match frame? {
                    Frame::Bye => return Ok(None),
                    frame => return Ok(Some(frame)),
                },
                message = mailbox.recv() => match message {
                    Some(message) => framed(message),
                    None => return self.send(&Frame::Bye).await.map(|()| None),
                },
                () = sleep_until(heartbeat_at) => Frame::Heartbeat(None),
            };
            self.send(&frame).await?;
        }
    }

    /// Waits for the next frame. Returns an error if the link fails or the peer is silent for too long.
    pub async fn next(&mut self) -> Result<Frame> {
        let bytes = timeout_at(self.last_received + SILENCE_TIMEOUT, self.framed.next())
            .await
            .context("no frame in time")?
            .context("connection closed")??;
        self.last_received = Instant::now();
        postcard::from_bytes(&bytes).context("invalid frame")
    }
}
