//! One directed link through the rig: who dials is one process, where it leads is another. What it does to what passes can
//! be changed at any time.

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

/// What happens to what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Swallowed, on the way there and on the way back.
    Drop {
        there: bool,
        back: bool,
    },
    Reset,
    Delay(Duration),
    Slow,
    /// Some bytes of what comes next, and then a reset.
    Cut,
    /// The far end is closed, the near end is left as it is.
    HalfOpen,
}

const CHUNK: usize = 4096;
/// What still passes of a link that is cut: less than any frame.
const CUT: usize = 5;
/// A slow link's bytes and the pause after them.
const SLOW: usize = 256;
const SLOW_PAUSE: Duration = Duration::from_millis(4);

pub struct Relay {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    carried: Arc<Carried>,
}

/// What has passed, both ways.
#[derive(Debug, Default)]
pub struct Carried {
    bytes: AtomicU64,
    frames: AtomicU64,
}

/// Finds frames in a stream: four bytes of length, then so many.
#[derive(Default)]
struct Frames {
    head: Vec<u8>,
    left: usize,
}

impl Frames {
    /// How many begin in these bytes.
    fn begin_in(&mut self, mut bytes: &[u8]) -> u64 {
        let mut count = 0;
        while !bytes.is_empty() {
            let body = self.left.min(bytes.len());
            (self.left, bytes) = (self.left - body, &bytes[body..]);
            let part = bytes.len().min(4 - self.head.len());
            self.head.extend(&bytes[..part]);
            bytes = &bytes[part..];
            if let Some(length) = self.head.first_chunk() {
                self.left = u32::from_be_bytes(*length) as usize;
                self.head.clear();
                count += 1;
            }
        }
        count
    }
}

#[test]
fn frames_are_found_however_they_are_cut() {
    let stream = [0, 0, 0, 2, 7, 7, 0, 0, 0, 0, 0, 0, 0, 1, 9, 0, 0];
    for piece in 1..=stream.len() {
        let mut frames = Frames::default();
        let counts = stream.chunks(piece).map(|bytes| frames.begin_in(bytes));
        assert_eq!(counts.sum::<u64>(), 3, "pieces of {piece}");
    }
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, seen) = watch::channel(Mode::Pass);
        let carried = Arc::new(Carried::default());
        let counts = carried.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(link(near, to, seen.clone(), counts.clone()));
            }
        });
        Ok(Relay { address, mode, carried })
    }

    /// Bytes and frames that have passed so far.
    pub fn carried(&self) -> (u64, u64) {
        (self.carried.bytes.load(Ordering::Relaxed), self.carried.frames.load(Ordering::Relaxed))
    }

    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn link(near: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>, carried: Arc<Carried>) {
    let now = *mode.borrow();
    if matches!(now, Mode::Reset | Mode::Cut) {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let cut = Arc::new(watch::Sender::new(false));
    let mut changed = mode.clone();
    let there = pass(near_in, far_out, mode.clone(), true, cut.clone(), &carried);
    let back = pass(far_in, near_out, mode, false, cut.clone(), &carried);
    let mut cutting = cut.subscribe();
    tokio::select! {
        // Both ways, until each is at its end.
        _ = async { tokio::join!(there, back) } => {}
        // Dropped with what has not been read: the ends see a reset.
        _ = changed.wait_for(|mode| *mode == Mode::Reset) => {}
        _ = cutting.wait_for(|cut| *cut) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: watch::Receiver<Mode>,
    there: bool,
    cut: Arc<watch::Sender<bool>>,
    carried: &Carried,
) {
    let (mut bytes, mut frames) = ([0; CHUNK], Frames::default());
    loop {
        let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
        let chunk = &bytes[..read];
        carried.bytes.fetch_add(read as u64, Ordering::Relaxed);
        carried.frames.fetch_add(frames.begin_in(chunk), Ordering::Relaxed);
        let now = *mode.borrow();
        let sent = match now {
            Mode::Pass | Mode::Reset => to.write_all(chunk).await,
            Mode::Drop { there: yes, back } => {
                if there && yes || !there && back {
                    continue;
                }
                to.write_all(chunk).await
            }
            Mode::Delay(time) => {
                sleep(time).await;
                to.write_all(chunk).await
            }
            Mode::Slow => {
                let mut sent = Ok(());
                for piece in chunk.chunks(SLOW) {
                    sleep(SLOW_PAUSE).await;
                    sent = sent.and(to.write_all(piece).await);
                }
                sent
            }
            Mode::Cut => {
                let _ = to.write_all(&chunk[..read.min(CUT)]).await;
                cut.send_replace(true);
                return;
            }
            Mode::HalfOpen => {
                // The far end hears a close; the near one may go on writing into nothing.
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
