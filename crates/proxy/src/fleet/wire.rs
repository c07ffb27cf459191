//! What goes over a link: frames of bounded length, a hello first each way. Who dials sends calls, who was dialled
//! answers them; voters dial each other.

use anyhow::{Context, Result, bail, ensure};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use pumicebay_accord::{
    Answer, MAX_RECORD_BYTES, Message, Name, Nanos, Operation, PeerState, ProcessId, Record, SharedRecord,
    StoreId, Token, VotingState,
};
use pumicebay_carrier::{Change, ChangeOutcome, ChildMessage, ParentMessage, Summary, Version};
use pumicebay_replication::{Message as Replicated, Stamp, Status as ReplicationStatus};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The versions of these frames that this program speaks. A later program that adds frames raises the newest, and sends
/// them only on links whose other end speaks them too.
pub const OLDEST_VERSION: u16 = 1;
pub const NEWEST_VERSION: u16 = 3;
/// Since when the carrier's frames are spoken in their present form: those of version 2 number no links.
pub const MIN_CARRIER_VERSION: u16 = 3;
/// Since when those of replication are.
pub const MIN_REPLICATION_VERSION: u16 = 3;
/// A record and what goes with it.
const MAX_FRAME_BYTES: usize = MAX_RECORD_BYTES + 16 * 1024;
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a hello may take, and a frame to leave.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How often something is said on a link, and how long until silence ends it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2000);
/// First bytes of a hello: what else may call is told apart by them.
const MAGIC: u32 = 0x7075_6d62;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Serves, and is shown among those that are there.
    Proxy,
    /// A command of an operator.
    Command,
}

/// Later versions may add fields at the end: an older program passes over them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    magic: u32,
    oldest: u16,
    newest: u16,
    pub fleet: String,
    pub id: ProcessId,
    pub role: Role,
    /// Of a voter.
    pub voter: Option<DiskSummary>,
}

/// What a voter says of its disk, and what it knows of others'.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiskSummary {
    pub store: StoreId,
    pub empty: bool,
    pub write_count: u64,
    pub founded: u64,
    pub known_write_counts: Vec<(StoreId, u64)>,
}

/// What a voter shows of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    pub name: String,
    pub disk: DiskSummary,
    pub voting_state: VotingState,
    /// Whether the newest record that it knows counts its store.
    pub is_current_voter: bool,
    /// Why it can't write, if so.
    pub disk_error: Option<String>,
    /// As its disk has it; what is agreed a read tells.
    pub record: SharedRecord,
    /// How much longer each lease may be held, in nanoseconds.
    pub remaining_leases: Vec<(String, Nanos)>,
    /// Who is there as it sees it: name, incarnation, how, and nanoseconds since it was heard.
    pub peers: Vec<(String, u64, PeerState, Nanos)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProbeOutcome {
    pub zone: Name,
    pub token: Token,
    /// The holder's own number: voters may pass on one twice.
    pub number: u64,
    pub node: Name,
    pub answered: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The link is up; of a voter, what it says of its disk now.
    Heartbeat(Option<DiskSummary>),
    /// To the voter with this store, from the one with that.
    VoterMessage(StoreId, StoreId, Message),
    Submit(Operation),
    Answer(Answer),
    Bootstrap(Record),
    /// A person's word that the voter's disk is no older copy.
    TrustDisk,
    /// Whether that was taken.
    Accepted(bool),
    StatusRequest,
    #[serde(rename = "StatusIs")]
    Status(Box<VoterStatus>),
    /// What a zone's holder of the lease on probes found of a node; and that somebody of the zone wants one probed. Voters
    /// pass both on to all.
    ProbeOutcome(ProbeOutcome),
    ProbeRequest(Name, Name),
    /// Ends in order.
    Bye,
    // Since version 2:
    /// What a child of the carrier says to its parent, and a parent to its child.
    ToParent(Box<ChildMessage>),
    ToChild(Box<ParentMessage>),
    /// Changes of configuration, to the control machine that publishes; with their number, which the answer bears.
    SubmitChanges(u64, Vec<Change>),
    ChangeOutcome(u64, ChangeOutcome),
    /// Asks a control machine what it knows of changes; also its answer to an offer where another publishes.
    CarrierStatusRequest,
    #[serde(rename = "CarrierIs")]
    CarrierStatus(Box<CarrierStatus>),
    // Since version 3:
    /// What two replicas say to each other.
    Replication(Box<Replicated>),
    /// A command's order of maintenance, and what became of it.
    MaintenanceOrder(Box<MaintenanceOrder>),
    MaintenanceAnswer(Box<MaintenanceAnswer>),
    /// Asks a replica what it knows.
    ReplicationStatusRequest,
    #[serde(rename = "ReplicationIs")]
    ReplicationStatus(Box<ReplicationStatus>),
}

/// An order of maintenance as a command gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceOrder {
    /// The node's `uid`.
    pub node: String,
    /// Out of service, or back.
    pub out_of_service: bool,
    /// The lease and token that it is given under.
    pub lease: Option<(String, Token)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MaintenanceAnswer {
    /// It holds at the process that answers, under this stamp.
    Applied(Stamp),
    /// Why it was not given.
    Refused(String),
}

/// What a control machine shows of the carrier.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CarrierStatus {
    pub name: String,
    /// Who publishes, as far as it knows.
    pub publisher: Option<String>,
    /// For how long it has published, if it does: at first not all that are there have come to it.
    pub publishing_for: Option<Nanos>,
    pub version: Version,
    /// How long ago the publisher is known to have held just this; `None` where it never was.
    pub age: Option<Nanos>,
    /// What is in force at it and below it: of the publisher, everywhere.
    pub summary: Summary,
    /// Offered and not settled yet.
    pub queued_changes: u64,
    pub children: u64,
}

impl Hello {
    pub fn new(fleet: &str, id: &ProcessId, role: Role, voter: Option<DiskSummary>) -> Hello {
        let (fleet, id) = (fleet.into(), id.clone());
        Hello { magic: MAGIC, oldest: OLDEST_VERSION, newest: NEWEST_VERSION, fleet, id, role, voter }
    }

    /// As a program of other versions would say it.
    pub fn with_versions(mut self, oldest: u16, newest: u16) -> Hello {
        (self.oldest, self.newest) = (oldest, newest);
        self
    }

    /// Why these two can't talk, in words for both.
    fn check_compatible(&self, other: &Hello) -> Result<()> {
        ensure!(other.magic == MAGIC, "no process of a fleet");
        ensure!(other.fleet == self.fleet, "of fleet {:?}, not {:?}", other.fleet, self.fleet);
        ensure!(
            other.newest >= self.oldest && other.oldest <= self.newest,
            "speaks links {} to {}, not {} to {}",
            other.oldest,
            other.newest,
            self.oldest,
            self.newest
        );
        let founded = |hello: &Hello| hello.voter.as_ref().map_or(0, |disk| disk.founded);
        let (own_founding, other_founding) = (founded(self), founded(other));
        ensure!(
            own_founding == other_founding || own_founding == 0 || other_founding == 0,
            "of a founding at {other_founding}, not {own_founding}: its folder is another fleet's, or from before"
        );
        Ok(())
    }
}

/// The answer to a hello: one's own, or why not.
#[derive(Serialize, Deserialize)]
enum Welcome {
    Hello(Hello),
    Refused(String),
}

/// A link that is up.
pub struct Link {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    /// When it was heard last: who waits for a frame may be called away again and again.
    last_received: Instant,
    /// When something was sent last.
    last_sent: Instant,
    /// The newest version that both ends speak.
    version: u16,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}

impl Link {
    /// Connects and says hello; the other end's hello, or why there is none.
    pub async fn connect(address: SocketAddr, hello: &Hello) -> Result<(Link, Hello)> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .context("no connection in time")??;
        Link::initiate(stream, hello).await
    }

    /// Says hello first; the other end's hello, or why there is none.
    pub async fn initiate(stream: TcpStream, hello: &Hello) -> Result<(Link, Hello)> {
        stream.set_nodelay(true)?;
        let mut framed = framed(stream);
        let handshake = async {
            framed.send(Bytes::from(postcard::to_stdvec(hello)?)).await?;
            let answer = framed.next().await.context("closed at the hello")??;
            match postcard::take_from_bytes::<Welcome>(&answer).context("an answer that is no hello")?.0 {
                Welcome::Hello(other) => {
                    hello.check_compatible(&other).with_context(|| format!("{} is", other.id))?;
                    Ok(other)
                }
                Welcome::Refused(why) => bail!("refused: {why}"),
            }
        };
        let other = timeout(HELLO_TIMEOUT, handshake).await.context("no hello in time")??;
        Ok((Link::established(framed, &other), other))
    }

    /// Hears the other end's hello and answers it with one's own.
    pub async fn accept(stream: TcpStream, own: impl AsyncFnOnce() -> Hello) -> Result<(Link, Hello)> {
        stream.set_nodelay(true)?;
        let mut framed = framed(stream);
        let handshake = async {
            let first = framed.next().await.context("closed before a hello")??;
            let other = postcard::take_from_bytes::<Hello>(&first).context("no hello")?.0;
            let hello = own().await;
            let refused = hello.check_compatible(&other).with_context(|| format!("{} is", other.id));
            let welcome = match &refused {
                Ok(()) => Welcome::Hello(hello),
                Err(why) => Welcome::Refused(format!("{why:#}")),
            };
            framed.send(Bytes::from(postcard::to_stdvec(&welcome)?)).await?;
            refused.map(|()| other)
        };
        let other = timeout(HELLO_TIMEOUT, handshake).await.context("no hello in time")??;
        Ok((Link::established(framed, &other), other))
    }

    fn established(framed: Framed<TcpStream, LengthDelimitedCodec>, other: &Hello) -> Link {
        let now = Instant::now();
        Link { framed, last_received: now, last_sent: now, version: NEWEST_VERSION.min(other.newest) }
    }

    /// The newest version that both ends speak.
    pub fn version(&self) -> u16 {
        self.version
    }

    /// An error where an end does not speak this version of links.
    pub fn ensure_version(&self, version: u16) -> Result<()> {
        ensure!(self.version() >= version, "speaks links up to {}, not {version}", self.version());
        Ok(())
    }

    /// A peer that does not read loses its link; nobody waits for it any longer.
    pub async fn send(&mut self, frame: &Frame) -> Result<()> {
        let bytes = Bytes::from(postcard::to_stdvec(frame)?);
        timeout(SEND_TIMEOUT, self.framed.send(bytes)).await.context("does not read")??;
        self.last_sent = Instant::now();
        Ok(())
    }

    /// What the other end says next, `None` at its end; meanwhile what waits goes out in these frames, and beats
    /// where nothing does. A mailbox that is closed ends the link in order.
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

    /// The next frame; an error also after silence.
    pub async fn next(&mut self) -> Result<Frame> {
        let bytes = timeout_at(self.last_received + SILENCE_TIMEOUT, self.framed.next())
            .await
            .context("silent")?
            .context("closed")??;
        self.last_received = Instant::now();
        postcard::from_bytes(&bytes).context("a frame that can't be read")
    }
}
