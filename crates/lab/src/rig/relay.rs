//! A TCP relay for one directed link between two processes: one process dials the relay, which connects to
//! the other. Its fault mode can be changed at any time.

use anyhow::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What a relay does to its connections and the bytes that pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards everything.
    Pass,
    /// Discards bytes towards the dialed end (`there`), towards the dialing end (`back`), or both.
    Drop { there: bool, back: bool },
    /// Resets open connections and closes new ones at once.
    Reset,
    /// Forwards each chunk after this time.
    Delay(Duration),
    /// Forwards small chunks with a pause before each.
    Slow,
    /// Forwards a few more bytes and then resets the connection.
    Cut,
    /// Closes the connection at the dialed end and leaves it open at the dialing end.
    HalfOpen,
}

/// Bytes that are read at once.
const READ_BYTES: usize = 4096;
/// Bytes that [`LinkMode::Cut`] still forwards: fewer than any frame has.
const CUT_AFTER_BYTES: usize = 5;
/// Bytes per chunk of a slow link.
const SLOW_CHUNK_BYTES: usize = 256;
/// The pause of a slow link before each chunk.
const SLOW_PAUSE: Duration = Duration::from_millis(4);

/// A running relay. It serves connections until the runtime ends.
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    traffic: Arc<Traffic>,
}

/// Counts what has passed in both directions.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes: AtomicU64,
    frames: AtomicU64,
}

/// Counts the frames of a stream. A frame is a length of four bytes followed by that many bytes.
#[derive(Default)]
struct FrameCounter {
    /// The bytes of the current length field so far.
    header: Vec<u8>,
    /// Bytes left of the current frame's body.
    body_left: usize,
}

impl FrameCounter {
    /// How many frame headers end in these bytes.
    fn count_headers(&mut self, mut bytes: &[u8]) -> u64 {
        let mut count = 0;
        while !bytes.is_empty() {
            let body_bytes = self.body_left.min(bytes.len());
            (self.body_left, bytes) = (self.body_left - body_bytes, &bytes[body_bytes..]);
            let header_bytes = bytes.len().min(4 - self.header.len());
            self.header.extend(&bytes[..header_bytes]);
            bytes = &bytes[header_bytes..];
            if let Some(length) = self.header.first_chunk() {
                self.body_left = u32::from_be_bytes(*length) as usize;
                self.header.clear();
                count += 1;
            }
        }
        count
    }
}

#[test]
fn frames_are_counted_for_every_chunk_size() {
    let stream = [0, 0, 0, 2, 7, 7, 0, 0, 0, 0, 0, 0, 0, 1, 9, 0, 0];
    for piece in 1..=stream.len() {
        let mut frames = FrameCounter::default();
        let counts = stream.chunks(piece).map(|bytes| frames.count_headers(bytes));
        assert_eq!(counts.sum::<u64>(), 3, "pieces of {piece}");
    }
}

impl Relay {
    /// Starts a relay to this address on a free loopback port. Returns an error if it can't listen.
    pub async fn start(to: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, mode_watch) = watch::channel(LinkMode::Pass);
        let traffic = Arc::new(Traffic::default());
        let counts = traffic.clone();
        tokio::spawn(async move {
            while let Ok((dialer, _)) = listener.accept().await {
                tokio::spawn(relay_connection(dialer, to, mode_watch.clone(), counts.clone()));
            }
        });
        Ok(Relay { address, mode, traffic })
    }

    /// Bytes and frames received so far in both directions, those that were then discarded included.
    pub fn traffic(&self) -> (u64, u64) {
        (self.traffic.bytes.load(Ordering::Relaxed), self.traffic.frames.load(Ordering::Relaxed))
    }

    /// Sets the mode for open and for new connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

/// Relays one connection until both directions have ended, or until a mode resets it.
async fn relay_connection(
    dialer: TcpStream,
    to: SocketAddr,
    mode: watch::Receiver<LinkMode>,
    traffic: Arc<Traffic>,
) {
    let current = *mode.borrow();
    if matches!(current, LinkMode::Reset | LinkMode::Cut) {
        return;
    }
    let Ok(target) = TcpStream::connect(to).await else { return };
    let _ = (dialer.set_nodelay(true), target.set_nodelay(true));
    let ((dialer_in, dialer_out), (target_in, target_out)) = (dialer.into_split(), target.into_split());
    let cut = Arc::new(watch::Sender::new(false));
    let mut changed = mode.clone();
    let there = forward(dialer_in, target_out, mode.clone(), true, cut.clone(), &traffic);
    let back = forward(target_in, dialer_out, mode, false, cut.clone(), &traffic);
    let mut cut_watch = cut.subscribe();
    tokio::select! {
        // Both directions until each has ended.
        _ = async { tokio::join!(there, back) } => {}
        // Closing a socket with unread bytes makes the peer see a reset.
        _ = changed.wait_for(|mode| *mode == LinkMode::Reset) => {}
        _ = cut_watch.wait_for(|cut| *cut) => {}
    }
}

/// Forwards one direction of a connection, as the mode says.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<LinkMode>,
    there: bool,
    cut: Arc<watch::Sender<bool>>,
    traffic: &Traffic,
) {
    let (mut bytes, mut frames) = ([0; READ_BYTES], FrameCounter::default());
    loop {
        let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
        let chunk = &bytes[..read];
        traffic.bytes.fetch_add(read as u64, Ordering::Relaxed);
        traffic.frames.fetch_add(frames.count_headers(chunk), Ordering::Relaxed);
        let current = *mode.borrow();
        let sent = match current {
            LinkMode::Pass | LinkMode::Reset => to.write_all(chunk).await,
            LinkMode::Drop { there: drop_there, back } => {
                if there && drop_there || !there && back {
                    continue;
                }
                to.write_all(chunk).await
            }
            LinkMode::Delay(time) => {
                sleep(time).await;
                to.write_all(chunk).await
            }
            LinkMode::Slow => {
                let mut sent = Ok(());
                for piece in chunk.chunks(SLOW_CHUNK_BYTES) {
                    sleep(SLOW_PAUSE).await;
                    sent = sent.and(to.write_all(piece).await);
                }
                sent
            }
            LinkMode::Cut => {
                let _ = to.write_all(&chunk[..read.min(CUT_AFTER_BYTES)]).await;
                cut.send_replace(true);
                return;
            }
            LinkMode::HalfOpen => {
                // The dialed end sees a close; what the dialing end writes from now on is discarded.
                if there {
                    let _ = to.shutdown().await;
                }
                while let Ok(1..) = from.read(&mut bytes).await {}
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
