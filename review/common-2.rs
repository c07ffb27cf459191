//! Stand-ins and helpers that the cases 6 to 10 share: a record, processes of the proxy as the platform starts them, discovery,
//! cache nodes, the origin, and clients. Threads and the standard library alone; every address is a loopback address.
#![allow(dead_code)]

use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn fcntl(descriptor: i32, command: i32, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// The descriptor under which the platform passes the clients' listening socket.
const PROXY_FD: i32 = 7;
/// Sets the flags of a descriptor; without flags it stays open in a program that is started.
const F_SETFD: i32 = 2;
/// A case that has not ended by then could not run.
const TIME_LIMIT: Duration = Duration::from_secs(100);

pub fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// A free port of the loopback interface.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("its address")
}

/// What was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn note(line: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_millis();
        let mut file = record.file.lock().unwrap_or_else(|held| held.into_inner());
        let _ = writeln!(file, "{at:>6} ms  {}", line.as_ref());
    }
}

/// What a case is run with.
pub struct Case {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// A temporary folder of this run.
    pub folder: PathBuf,
    /// The command line of the deploy file.
    pub run: String,
    processes: Arc<Mutex<Vec<i32>>>,
}

impl Case {
    /// Opens the record, and ends the case with exit code 2 if it takes too long. The arguments are the folder of the case
    /// and a temporary one.
    pub fn start() -> Case {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let here = arguments.next().expect("the folder of the case");
        let folder = arguments.next().expect("a temporary folder");
        let file = Mutex::new(File::create(here.join("record.txt")).expect("record.txt"));
        let _ = RECORD.set(Record { start: Instant::now(), file });
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.expect("a line `run` in the deploy file").replace("\\\"", "\"");
        note(format!("TROUBLE={}; run: {run}", u8::from(trouble)));
        let processes: Arc<Mutex<Vec<i32>>> = Arc::default();
        let started = processes.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            note("the case took too long");
            started.lock().unwrap().iter().for_each(|&pid| _ = unsafe { kill(pid, SIGKILL) });
            std::process::exit(2);
        });
        Case { trouble, folder, run, processes }
    }

    /// Ends the case: 1 if the rule was broken, 0 if it held, 2 if nothing can be said.
    pub fn end(&self, broken: &[String], able: bool) -> ! {
        broken.iter().for_each(|line| note(format!("BROKEN: {line}")));
        let code = match (broken.is_empty(), able) {
            (false, _) => 1,
            (true, true) => 0,
            (true, false) => 2,
        };
        note(format!("exit code {code}"));
        std::process::exit(code);
    }
}

/// A process of the proxy.
pub struct Proxy {
    child: Child,
    name: String,
    log: PathBuf,
    processes: Arc<Mutex<Vec<i32>>>,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
}

impl Proxy {
    /// Starts the command of the deploy file as the platform does. `listener` is the clients' socket that the platform
    /// holds, if it does.
    pub fn start(
        case: &Case,
        name: &str,
        config: &Path,
        listen: SocketAddr,
        listener: Option<&TcpListener>,
    ) -> Proxy {
        let operator = free_address();
        let log = case.folder.join(format!("{name}.log"));
        let temporary = case.folder.join("tmp");
        std::fs::create_dir_all(&temporary).expect("a folder for $TMPDIR");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&case.run).stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(File::create(&log).expect("a log file"));
        for variable in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_FD", "PROXY_LOG"] {
            command.env_remove(variable);
        }
        command.env("PROXY_CONFIG", config).env("PROXY_OPERATOR", operator.to_string());
        command.env("PROXY_LISTEN", listen.to_string()).env("TMPDIR", &temporary).env("PROXY_LOG", "debug");
        if let Some(listener) = listener {
            let descriptor = listener.as_raw_fd();
            command.env("PROXY_FD", PROXY_FD.to_string());
            let pass = move || {
                let passed = match descriptor {
                    PROXY_FD => unsafe { fcntl(PROXY_FD, F_SETFD, 0) },
                    _ => unsafe { dup2(descriptor, PROXY_FD) },
                };
                if passed == -1 { Err(std::io::Error::last_os_error()) } else { Ok(()) }
            };
            unsafe { command.pre_exec(pass) };
        }
        let child = command.spawn().expect("the proxy starts");
        case.processes.lock().unwrap().push(child.id() as i32);
        note(format!("process {name} started"));
        let processes = case.processes.clone();
        Proxy { child, name: name.into(), log, processes, listen, operator }
    }

    pub fn signal(&self, signal: i32, word: &str) {
        note(format!("{word} to process {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Waits until it answers `PING`.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Some(mut client) = Client::connect(self.listen) {
                client.send(&[b"PING"]);
                if matches!(client.reply(millis(500)), Reply::Simple(_)) {
                    note(format!("process {} answers PING", self.name));
                    return true;
                }
            }
            thread::sleep(millis(20));
        }
        false
    }

    /// Waits until the operators' address says that the process takes clients.
    pub fn wait_status(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if operator_call(self.operator, "GET", "/status", "") == Some(200) {
                note(format!("process {} says that it takes clients", self.name));
                return true;
            }
            thread::sleep(millis(20));
        }
        false
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        self.processes.lock().unwrap_or_else(|held| held.into_inner()).retain(|other| *other != pid);
    }
}

/// A call at the operators' address: its status code.
pub fn operator_call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, millis(500)).ok()?;
    stream.set_read_timeout(Some(millis(1000))).ok()?;
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: operator\r\nContent-Length: {length}\r\n\r\n{body}")
        .ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// An entry of the node list.
pub fn entry(uid: &str, address: SocketAddr, model: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"hall-1","model":"{model}","pod_group":1,"state":"active","capacity_hint":1.0,"boot_ms":0}}"#
    )
}

/// Discovery with a list that never changes.
pub fn discovery(entries: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let whole = Arc::new(format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(",")));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let whole = whole.clone();
            thread::spawn(move || {
                let Ok(mut output) = stream.try_clone() else { return };
                let mut input = BufReader::new(stream);
                while let Some(request) = read_http(&mut input) {
                    let body = if request.path.contains("index=1&") {
                        let wait = request.path.split("wait=").nth(1).and_then(|text| text.parse().ok());
                        thread::sleep(millis(wait.unwrap_or(0)));
                        r#"{"rev":1,"all":false,"targets":[]}"#
                    } else {
                        &whole
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                    if output.write_all(format!("{head}{body}").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// The configuration of a small deployment: two halls, one proxy, the routes as given.
pub fn config(
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &[String],
    routes: &str,
    tries: u32,
) -> String {
    let known = known.join(",");
    format!(
        r#"{{"name":"p1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"rev":0,"all":true,"targets":[{known}]}},
"settings":{{"discovery":"push","domain":{{"mode":"aside","origin-kind":1,"origin-fall-multiple":3}},
"skus":["cache","origin"],"failure-domains":["hall-1"],"my-zone":"hall-1","fleet-size":1,"me":0,
"routes":[{routes}],"orgs":[{{"name":"town","quota-per-s":500}}],
"permissions":{{"may-probe":true,"retry-after":true,"second-copies":true,"most-upstream-tries":{tries},
"conn-idle-us":15000000,"connect-timeout-us":200000}},
"rules":{{"cold-us":10000000,"start-capacity":0.2,"fall-us":1000000,"fall-multiple":3.0,
"drain-grace-us":1000000,"turn-gap-us":300000,"answer-slack-us":20000}},
"telemetry":{{"columns":[],"via":"silent"}}}}}}"#
    )
}

pub fn write_config(path: &Path, text: &str) {
    let new = path.with_extension("new");
    std::fs::write(&new, text).expect("the configuration is written");
    std::fs::rename(&new, path).expect("the configuration is replaced");
}

/// A server that handles each connection on a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// A command that a cache node got.
pub struct CacheCommand {
    pub write: bool,
    pub key: String,
    pub id: String,
    pub labels: String,
    pub value: Vec<u8>,
}

/// A cache node: `answer` writes the whole answer to a read or a write.
pub fn cache_node(
    answer: impl Fn(&CacheCommand, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    serve(move |stream| {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(words) = read_command(&mut input) {
            let text =
                |at: usize| String::from_utf8_lossy(words.get(at).map_or(&b""[..], |word| word)).into_owned();
            let written = match text(0).as_str() {
                "C.GET" | "C.SET" => {
                    let value = words.get(4).cloned().unwrap_or_default();
                    let write = text(0) == "C.SET";
                    let command = CacheCommand { write, key: text(1), id: text(2), labels: text(3), value };
                    answer(&command, &mut output)
                }
                "PING" => output.write_all(b"+PONG\r\n"),
                _ => output.write_all(b"-ERR unknown command\r\n"),
            };
            if written.is_err() {
                return;
            }
        }
    })
}

/// A miss, as a cache node answers it.
pub const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

/// A request that the origin or discovery got.
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }
}

/// The next whole request; `None` at the end of the connection, also in the middle of one.
pub fn read_http(input: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut line = String::new();
    input.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let mut words = line.split_whitespace().map(str::to_string);
    let (method, path) = (words.next()?, words.next()?);
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    let mut request = HttpRequest { method, path, headers, body: Vec::new() };
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body.resize(length, 0);
    input.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// The origin: `answer` writes the whole answer to a request that came whole.
pub fn origin(
    answer: impl Fn(&HttpRequest, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    serve(move |stream| {
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Some(request) = read_http(&mut input) {
            let written = match request.path.as_str() {
                "/health/live" | "/stats" => http_answer(&mut output, 200, b""),
                _ => answer(&request, &mut output),
            };
            if written.is_err() {
                return;
            }
        }
    })
}

pub fn http_answer(output: &mut TcpStream, status: u16, body: &[u8]) -> std::io::Result<()> {
    let reason = if status == 200 { "OK" } else { "No" };
    let mut bytes =
        format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    output.write_all(&bytes)
}

/// A RESP command.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A line without its end, and the number behind its first byte.
fn read_line(input: &mut impl BufRead) -> std::io::Result<Vec<u8>> {
    let mut line = Vec::new();
    input.read_until(b'\n', &mut line)?;
    if line.ends_with(b"\r\n") {
        line.truncate(line.len() - 2);
        return Ok(line);
    }
    let kind = if line.is_empty() { ErrorKind::UnexpectedEof } else { ErrorKind::InvalidData };
    Err(kind.into())
}

fn number(line: &[u8]) -> std::io::Result<i64> {
    let text = std::str::from_utf8(&line[1..]).ok();
    text.and_then(|text| text.parse().ok()).ok_or_else(|| ErrorKind::InvalidData.into())
}

fn read_command(input: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    let line = read_line(input).ok().filter(|line| line.first() == Some(&b'*'))?;
    (0..number(&line).ok()?)
        .map(|_| {
            let line = read_line(input).ok().filter(|line| line.first() == Some(&b'$'))?;
            let mut word = vec![0; usize::try_from(number(&line).ok()?).ok()? + 2];
            input.read_exact(&mut word).ok()?;
            word.truncate(word.len() - 2);
            Some(word)
        })
        .collect()
}

/// What a client reads.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Simple(String),
    Error(String),
    Bulk(Vec<u8>),
    Null,
    /// The connection ended; with how many bytes of a value that was not whole.
    Closed(usize),
    /// Nothing, or not all, came in time.
    Late,
    /// Something that is no reply.
    Noise,
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Reply::Bulk(value) => {
                format!(
                    "a value of {} bytes: {}..",
                    value.len(),
                    String::from_utf8_lossy(&value[..value.len().min(40)])
                )
            }
            other => format!("{other:?}"),
        }
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    input: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, millis(500)).ok()?;
        let _ = stream.set_nodelay(true);
        let input = BufReader::new(stream.try_clone().ok()?);
        Some(Client { stream, input })
    }

    pub fn send(&mut self, words: &[&[u8]]) -> bool {
        self.send_bytes(&command(words))
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next reply, as far as it comes within this time.
    pub fn reply(&mut self, within: Duration) -> Reply {
        let _ = self.stream.set_read_timeout(Some(within));
        let mut received = 0;
        match self.read_reply(&mut received) {
            Ok(reply) => reply,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Reply::Late,
            Err(error) if error.kind() == ErrorKind::InvalidData => Reply::Noise,
            Err(_) => Reply::Closed(received),
        }
    }

    fn read_reply(&mut self, received: &mut usize) -> std::io::Result<Reply> {
        let line = read_line(&mut self.input)?;
        let text = String::from_utf8_lossy(line.get(1..).unwrap_or_default()).into_owned();
        Ok(match line.first() {
            Some(b'+') => Reply::Simple(text),
            Some(b'-') => Reply::Error(text),
            Some(b'$') if text == "-1" => Reply::Null,
            Some(b'$') => {
                let length = usize::try_from(number(&line)?).map_err(|_| ErrorKind::InvalidData)?;
                let mut value = vec![0; length + 2];
                while *received < value.len() {
                    match self.input.read(&mut value[*received..])? {
                        0 => return Err(ErrorKind::UnexpectedEof.into()),
                        more => *received += more,
                    }
                }
                if !value.ends_with(b"\r\n") {
                    return Err(ErrorKind::InvalidData.into());
                }
                value.truncate(length);
                Reply::Bulk(value)
            }
            _ => return Err(ErrorKind::InvalidData.into()),
        })
    }
}

/// A value of this length that names the request that it was made for, all over.
pub fn value_for(id: &str, length: usize) -> Vec<u8> {
    let mut value = Vec::with_capacity(length + 64);
    let mut at = 0;
    while value.len() < length {
        value.extend_from_slice(format!("{id}/{at:06};").as_bytes());
        at += 1;
    }
    value.truncate(length);
    value
}

/// A condition that threads wait for.
#[derive(Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    pub fn open(&self) {
        *self.0.lock().unwrap() = true;
        self.1.notify_all();
    }

    pub fn wait(&self, within: Duration) -> bool {
        let open = self.0.lock().unwrap();
        *self.1.wait_timeout_while(open, within, |open| !*open).unwrap().0
    }
}
