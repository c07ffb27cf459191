//! Stand-ins for the cases of the review: the platform that starts a proxy, discovery, cache nodes, the origin and
//! clients. Written from the protocol and deployment pages; standard library only, loopback addresses only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The exit codes that a case may have.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption takes place: not with `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, with the seconds since the start. Clones share it.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<Vec<String>>)>);

impl Record {
    pub fn new() -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(Vec::new()))))
    }

    /// Adds a line at the time of now.
    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:9.4} {}", self.0.0.elapsed().as_secs_f64(), line.as_ref());
        self.0.1.lock().unwrap().push(line);
    }

    /// Writes `record.txt` into the case's folder.
    pub fn write(&self, case: &str) {
        let text = self.0.1.lock().unwrap().join("\n") + "\n";
        fs::write(root().join("review").join(case).join("record.txt"), text).expect("record.txt");
    }
}

/// The root of the repository, which is the current folder.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("current folder")
}

/// A new id of a request, as 16 hex digits.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (u64::from(std::process::id()) << 32 | next).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// A listening socket on a free loopback port. `segment` is the largest TCP segment that its connections take, as a
/// network path would set it; without it the loopback's 64 KiB.
pub fn listen(segment: Option<i32>) -> TcpListener {
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn bind(socket: i32, address: *const u8, length: u32) -> i32;
        fn listen(socket: i32, backlog: i32) -> i32;
    }
    let Some(segment) = segment else { return TcpListener::bind("127.0.0.1:0").expect("a free port") };
    // AF_INET, port 0, 127.0.0.1
    let address: [u8; 16] = [2, 0, 0, 0, 127, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0];
    // SAFETY: plain system calls with valid pointers; the descriptor is owned by the returned listener.
    unsafe {
        // AF_INET, SOCK_STREAM | SOCK_CLOEXEC; IPPROTO_TCP, TCP_MAXSEG
        let fd = socket(2, 1 | 0o2_000_000, 0);
        assert!(fd >= 0 && setsockopt(fd, 6, 2, &segment, 4) == 0);
        assert!(bind(fd, address.as_ptr(), 16) == 0 && listen(fd, 128) == 0);
        TcpListener::from_raw_fd(fd)
    }
}

/// A port that is free now.
fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a free port").port()
}

/// How many sent bytes the other side's machine has not acknowledged yet.
pub fn unacknowledged(stream: &TcpStream) -> i32 {
    unsafe extern "C" {
        fn ioctl(fd: i32, request: u64, value: *mut i32) -> i32;
    }
    let mut bytes = -1;
    // SAFETY: TIOCOUTQ writes one int.
    unsafe { ioctl(stream.as_raw_fd(), 0x5411, &mut bytes) };
    bytes
}

/// Makes the next close of the connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    // SAFETY: SOL_SOCKET, SO_LINGER with a valid struct linger.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

/// Sends a signal to a process that this case started.
pub fn signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let sent = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    assert!(sent.is_ok_and(|status| status.success()), "kill -{name} {pid}");
}

/// A node as discovery lists it.
pub struct Listed {
    pub uid: String,
    pub address: SocketAddr,
    pub origin: bool,
}

/// The whole list in discovery's form, at version 1.
pub fn list_json(nodes: &[Listed]) -> String {
    let entry = |node: &Listed| {
        let model = if node.origin { "origin" } else { "full-node" };
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"{model}","pod_group":1,"state":"active","capacity_hint":1.0,"boot_ms":0}}"#,
            node.uid, node.address
        )
    };
    let entries: Vec<String> = nodes.iter().map(entry).collect();
    format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(","))
}

/// Discovery with a list that does not change: gives the whole list, and answers a watch after its wait with no changes.
pub fn discovery(list: String) -> SocketAddr {
    let listener = listen(None);
    let address = listener.local_addr().unwrap();
    serve(listener, move |stream| {
        let mut reader = Reader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(head) = reader.head()? {
            let path = head.split(' ').nth(1).unwrap_or_default().to_string();
            let body = match path.split_once("wait=") {
                Some((_, wait)) => {
                    thread::sleep(Duration::from_millis(wait.parse().unwrap_or(0)));
                    r#"{"rev":1,"all":false,"targets":[]}"#.to_string()
                }
                None => list.clone(),
            };
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
        }
        Ok(())
    });
    address
}

/// Accepts connections for ever, with a thread for each.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) -> Result<()> + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || _ = handle(stream));
        }
    });
}

/// Reads RESP and HTTP from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more; false at the end of the stream.
    fn fill(&mut self) -> Result<bool> {
        let mut piece = [0; 65536];
        let read = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(read > 0)
    }

    /// The next line without its end; None at the end of the stream.
    pub fn line(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = self.buffer.drain(..end + 2).take(end).collect();
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// The next bytes; fails where the stream ends before.
    pub fn bytes(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// The next command; None at the end of the stream.
    pub fn command(&mut self) -> Result<Option<Vec<Vec<u8>>>> {
        let number = |line: &[u8]| String::from_utf8_lossy(&line[1..]).parse::<usize>().unwrap_or(0);
        let Some(line) = self.line()? else { return Ok(None) };
        let mut words = Vec::new();
        for _ in 0..number(&line) {
            let line = self.line()?.ok_or(ErrorKind::UnexpectedEof)?;
            let mut word = self.bytes(number(&line) + 2)?;
            word.truncate(word.len() - 2);
            words.push(word);
        }
        Ok(Some(words))
    }

    /// The head of an HTTP request; None at the end of the stream.
    pub fn head(&mut self) -> Result<Option<String>> {
        let mut head = String::new();
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(head));
            }
            head += &format!("{}\n", String::from_utf8_lossy(&line));
        }
    }

    /// The next reply: a value, an error line, or None where the connection ended before the reply was whole.
    pub fn reply(&mut self) -> Option<Vec<u8>> {
        let line = self.line().ok()??;
        if line.first() != Some(&b'$') {
            return Some(line);
        }
        let length: usize = String::from_utf8_lossy(&line[1..]).parse().ok()?;
        let mut value = self.bytes(length + 2).ok()?;
        value.truncate(length);
        Some(value)
    }
}

/// A command as an array of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A cache node's answer with this value: hit, no load report.
pub fn hit(value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    bytes
}

/// A cache node that holds every key. `answer` gets each read and writes its answer; an error ends the connection.
pub fn cache_node(
    answer: impl Fn(&TcpStream, &[Vec<u8>]) -> Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = listen(None);
    let address = listener.local_addr().unwrap();
    serve(listener, move |stream| {
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(words) = reader.command()? {
            match &words[0][..] {
                b"PING" => (&stream).write_all(b"+PONG\r\n")?,
                b"INFO" => (&stream).write_all(b"-NOPERM\r\n")?,
                b"C.GET" => answer(&stream, &words)?,
                _ => (&stream).write_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")?,
            }
        }
        Ok(())
    });
    address
}

/// An origin that works `work` on each request and answers it. `ran` gets the id of each request that it has run.
pub fn origin(
    listener: TcpListener,
    work: Duration,
    ran: impl Fn(&str, usize) + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    serve(listener, move |mut stream| {
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            let header = |name: &str| {
                let line = head.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
                Some(line[name.len()..].trim().to_string())
            };
            let length = header("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
            reader.bytes(length)?;
            let value = match header("x-txn:") {
                Some(id) => {
                    thread::sleep(work);
                    ran(&id, length);
                    format!("o:{id}")
                }
                None => "alive".into(),
            };
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}", value.len())?;
        }
        Ok(())
    });
    address
}

/// One class of the settings: name, effect, payoff, latency objective and overall timeout in milliseconds.
pub type Class = (&'static str, &'static str, f64, u64, u64);

/// The settings of a small deployment, with these classes.
pub fn settings(classes: &[Class]) -> String {
    let class = |(name, effect, payoff, objective, timeout): &Class| {
        format!(
            r#"{{"name":"{name}","effect":"{effect}","payoff":{payoff},"late-payoff":0.5,"dedup-scope":"all","window-us":5000000,"stream":false,"latency-objective-us":{objective}000,"overall-timeout-us":{timeout}000}}"#
        )
    };
    let classes: Vec<String> = classes.iter().map(class).collect();
    format!(
        r#"{{"clients":{{"marks-retry":false}},"discovery":"push","family":"cache","fleet-size":1,"me":0,"my-zone":"a",
"domain":{{"mode":"aside","origin-kind":1,"origin-fall-multiple":3.0,"origin-fall-us":3000000,"ordered":true}},
"failure-domains":["a"],"orgs":[],"payoff-by":"request","skus":["full-node","origin"],"surplus-payoff":0.1,
"permissions":{{"cancel":true,"conn-idle-us":15000000,"connect-timeout-us":200000,"may-probe":true,"retry-after":true,
"max-retry-after-us":2000000,"most-upstream-tries":4,"second-copies":true,"streams-per-conn":128}},
"rules":{{"answer-slack-us":20000,"cold-us":24000000,"drain-grace-us":1000000,"fall-multiple":3.0,"fall-us":1000000,"start-capacity":0.12}},
"telemetry":{{"columns":[],"via":"silent"}},
"routes":[{}]}}"#,
        classes.join(",")
    )
}

/// A proxy, started as the platform starts it: by `run` of the deploy file, with a private folder.
pub struct Proxy {
    pub child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
    config_head: String,
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).expect("run");
    line.trim_end().strip_suffix('"').expect("run").replace("\\\"", "\"").replace("\\\\", "\\")
}

impl Proxy {
    /// Starts a proxy and waits until it answers `PING`; None if it does not within 30 s.
    pub fn start(list: &str, discovery: SocketAddr, settings: &str) -> Option<Proxy> {
        let folder =
            std::env::temp_dir().join(format!("pumicebay-review-{}-{}", std::process::id(), new_id()));
        fs::create_dir_all(&folder).ok()?;
        let address: SocketAddr = ([127, 0, 0, 1], free_port()).into();
        let config_head = format!(
            r#""name":"n1","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{list}"#
        );
        fs::write(folder.join("config.json"), format!("{{{config_head},\"settings\":{settings}}}")).ok()?;
        let log = fs::File::create(folder.join("log")).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()])
            .env("PROXY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", &folder)
            .env_remove("PROXY_FD")
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        let proxy = Proxy { child, address, folder, config_head };
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(address)
                && stream.write_all(&command(&[b"PING"])).is_ok()
                && Reader::new(stream).reply().as_deref() == Some(b"+PONG")
            {
                return Some(proxy);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    /// Replaces the settings in the file of the configuration and sends SIGHUP.
    pub fn new_settings(&self, settings: &str) {
        let new = self.folder.join("config.new");
        fs::write(&new, format!("{{{},\"settings\":{settings}}}", self.config_head)).expect("config.new");
        fs::rename(new, self.folder.join("config.json")).expect("config.json");
        signal(&self.child, "HUP");
    }

    /// The lines of the proxy's log with one of these words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|line| words.iter().any(|word| line.contains(word))).map(Into::into).collect()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ids by what became of them, shared by the stand-ins of a case.
pub type Seen = Arc<Mutex<HashMap<String, Instant>>>;

/// A client that sends one small read after another until `until`, and checks that each value was made for it. Returns
/// how many were answered, and how many of these with a value.
pub fn usual_client(proxy: SocketAddr, class: &str, until: Instant) -> (usize, usize) {
    let (mut answered, mut served) = (0, 0);
    while Instant::now() < until {
        let Ok(stream) = TcpStream::connect(proxy) else { break };
        let mut reader = Reader::new(stream.try_clone().expect("a descriptor"));
        while Instant::now() < until {
            let id = new_id();
            let key = format!("usual-{}", answered % 20);
            let words = [b"C.GET", key.as_bytes(), id.as_bytes(), format!("c={class},d=1000").as_bytes()]
                .map(<[u8]>::to_vec);
            let words: Vec<&[u8]> = words.iter().map(|word| &word[..]).collect();
            if (&stream).write_all(&command(&words)).is_err() {
                break;
            }
            let Some(reply) = reader.reply() else { break };
            answered += 1;
            served += usize::from(!reply.starts_with(b"-"));
            thread::sleep(Duration::from_millis(20));
        }
    }
    (answered, served)
}
