//! Long writes of bad clients: lengths, ends or numbers of words that are wrong. None is a command, so none may run.

use crate::clients::{Answer, Client};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long a client may pause before it sends the end of its command.
const PAUSE: Duration = Duration::from_millis(60);

/// What a client does when it has sent its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Afterwards {
    Stays,
    Closes,
    /// It ends its sending and reads on.
    EndsSending,
}

/// A write of a value, and how it differs from a valid one.
#[derive(Clone, Copy, Debug)]
pub struct Write {
    /// By how much the told length is off.
    length_off: isize,
    /// By how much the told number of words is off.
    words_off: isize,
    /// What follows the value.
    tail: &'static [u8],
    pub afterwards: Afterwards,
    /// Whether it is a whole command, with or without more behind it.
    pub sound: bool,
}

const SOUND: Write =
    Write { length_off: 0, words_off: 0, tail: b"\r\n", afterwards: Afterwards::Stays, sound: true };

/// All kinds of bad writes, and two sound ones.
pub fn writes() -> Vec<Write> {
    let bad = Write { sound: false, ..SOUND };
    let lengths = [-500, -7, -2, -1, 1, 2, 500].map(|length_off| Write { length_off, ..bad });
    let words = [-1, 1, 5].map(|words_off| Write { words_off, ..bad });
    let tails: [&'static [u8]; 7] = [b"", b"\r", b"\n", b"\n\r", b"\r\r", b"xx", b"$3\r\nend\r\n"];
    let tails = tails.map(|tail| Write { tail, ..bad });
    let all = lengths.into_iter().chain(words).chain(tails);
    let ends = [Afterwards::Stays, Afterwards::Closes, Afterwards::EndsSending];
    let mut writes: Vec<_> =
        all.flat_map(|write| ends.map(|afterwards| Write { afterwards, ..write })).collect();
    writes.extend([SOUND, Write { tail: b"\r\nnoise behind it\r\n", ..SOUND }]);
    writes
}

impl Write {
    /// Sends the write of a value and returns the first answer; `None` if nobody listens.
    pub async fn try_send(self, proxy: SocketAddr, id: &str, length: usize, pauses: bool) -> Option<Answer> {
        let told = length.checked_add_signed(self.length_off).unwrap();
        let labels = format!("c={},d=1900", if length.is_multiple_of(200) { "once" } else { "read" });
        let head = format!(
            "*{}\r\n$5\r\nC.SET\r\n$3\r\nmap\r\n${}\r\n{id}\r\n${}\r\n{labels}\r\n${told}\r\n",
            5 + self.words_off,
            id.len(),
            labels.len()
        );
        let mut stream = TcpStream::connect(proxy).await.ok()?;
        let value = vec![b'v'; length];
        // The proxy may have closed the connection before all of it is sent.
        let _ = stream.write_all(&[head.as_bytes(), &value].concat()).await;
        if pauses {
            sleep(PAUSE).await;
        }
        let _ = stream.write_all(self.tail).await;
        match self.afterwards {
            Afterwards::Stays => {}
            Afterwards::Closes => return Some(Answer::Cut),
            Afterwards::EndsSending => _ = stream.shutdown().await,
        }
        Some(Client::from_stream(stream).answer(Instant::now()).await.answer)
    }
}
