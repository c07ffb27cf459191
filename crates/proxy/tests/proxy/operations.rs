//! Calls of operators, maintenance, configuration reloads, upgrades to a new process, and what that process
//! keeps.

use crate::cli::{File, RunningProxy, program};
use crate::{Client, ReplyCodec, StubState, TestEnvironment, target};
use expect_test::expect;
use pumicebay::config::{check_nothing_removed, parse};
use pumicebay_names::stable_hash;
use serde_json::{Value as Json, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// A folder in memory, where a sync takes no time. On a disk that is busy with a build it takes up to a second, which is
/// longer than an operator's call may take.
const MEMORY_FOLDER: &str = "/dev/shm";

/// A private folder for a proxy, removed with its content on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder, in memory if the system can; `name` becomes part of the folder's name.
    pub fn new(name: &str) -> Folder {
        let memory = Path::new(MEMORY_FOLDER);
        let parent = if memory.is_dir() { memory.into() } else { std::env::temp_dir() };
        let path = parent.join(format!("pumicebay-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Sends these bytes to the operators' listener. Returns the status and the text of the answer, which must
/// come within one second.
pub async fn raw_call(operator: SocketAddr, call: &[u8]) -> String {
    let answer = timeout(Duration::from_secs(1), async {
        let mut stream = TcpStream::connect(operator).await.expect("an operator listener");
        stream.write_all(call).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        text
    });
    let text = answer.await.expect("an answer within one second");
    let status = text.split(' ').nth(1).unwrap_or_default().to_string();
    format!("{status} {}\n", text.split("\r\n\r\n").nth(1).unwrap_or_default().trim_end())
}

/// Makes an operator's call. Returns the status and the text of the answer, which must come within one
/// second.
pub async fn call(operator: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let length = body.len();
    let call = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}");
    raw_call(operator, call.as_bytes()).await
}

/// Calls `/maintenance/enter` or `/maintenance/exit` for a node.
async fn maintain(operator: SocketAddr, action: &str, uid: &str) -> String {
    call(operator, "POST", &format!("/maintenance/{action}"), &json!({"who": uid}).to_string()).await
}

#[tokio::test]
async fn each_call_is_answered_with_a_status_and_a_reason() {
    let env = TestEnvironment::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let operator = env.operator_address.expect("an operator listener");
    let mut trace = call(operator, "GET", "/status", "").await;
    for (method, path, body) in [
        ("POST", "/status", ""),
        ("GET", "/maintenance/enter", r#"{"who":"s-cache"}"#),
        ("GET", "/", ""),
        ("POST", "/maintenance/enter", ""),
        ("POST", "/maintenance/enter", "[1]"),
        ("POST", "/maintenance/enter", "{}"),
        ("POST", "/maintenance/enter", r#"{"who":7}"#),
        ("POST", "/maintenance/enter", r#"{"who":"s-nobody"}"#),
        ("POST", "/maintenance/enter", r#"{"who":"s-origin"}"#),
        ("POST", "/maintenance/exit", r#"{"who":"s-nobody"}"#),
        ("POST", "/maintenance/exit", r#"{"who":"s-cache"}"#),
    ] {
        trace += &call(operator, method, path, body).await;
    }
    let long = format!("GET /status HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    trace += &raw_call(operator, long.as_bytes()).await;
    trace += &raw_call(
        operator,
        b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
    )
    .await;
    trace += &raw_call(operator, b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: -1\r\n\r\n").await;
    trace +=
        &raw_call(operator, b"POST /maintenance/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    trace += &raw_call(operator, b"\x00\x01\x02\r\n\r\n").await;
    expect![[r#"
        200 serving
        405 /status wants GET, found "POST"
        405 /maintenance/enter wants POST, found "GET"
        404 no such call: "/"
        400 the body is no JSON: EOF while parsing a value at line 1 column 0
        400 expected {"who":"ID"}, found [1]
        400 who: missing
        400 who: expected a text, found 7
        404 no cache node "s-nobody" is known
        409 s-origin is the origin, not a cache node
        404 no cache node "s-nobody" is known
        200 s-cache is back
        431 head too long
        413 body too long
        400 invalid Content-Length
        411 a body needs its Content-Length
        400 malformed call
    "#]]
    .assert_eq(&trace);
}

/// Connections that send nothing, or only half a call, fill the operators' listener, which allows 16 at a
/// time. Others must still get their answers in time, also while clients send requests.
#[tokio::test]
async fn silent_callers_do_not_block_other_calls() {
    let env = TestEnvironment::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let operator = env.operator_address.expect("an operator listener");
    let mut silent = Vec::new();
    for at in 0..60 {
        let mut stream = TcpStream::connect(operator).await.unwrap();
        if at % 2 == 0 {
            stream
                .write_all(b"POST /maintenance/enter HTTP/1.1\r\nContent-Length: 5\r\n\r\n{")
                .await
                .unwrap();
        }
        silent.push(stream);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..5).map(|at| tokio::spawn(send_requests_until(env.address, stop.clone(), at))).collect();
    // `call` panics if an answer takes longer than one second.
    for _ in 0..10 {
        assert_eq!(call(operator, "GET", "/status", "").await, "200 serving\n");
        assert_eq!(maintain(operator, "enter", "s-cache").await, "200 s-cache gets nothing more\n");
        assert_eq!(maintain(operator, "exit", "s-cache").await, "200 s-cache is back\n");
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        client.await.expect("a client failed");
    }
}

#[tokio::test]
async fn a_node_out_of_service_gets_no_attempts_until_it_is_put_back() {
    let folder = Folder::new("bans");
    let with_folder = |config: &mut pumicebay::config::Config| config.folder = Some(folder.0.clone());
    let settings = [("/operator", json!("127.0.0.1:0"))];
    let env = TestEnvironment::start_with(&settings, with_folder).await;
    let mut client = env.client().await;
    let mut trace = client.get("hit-1").await;
    for action in ["enter", "enter"] {
        trace += &maintain(env.operator_address.unwrap(), action, "s-cache").await;
    }
    trace += &client.get("hit-2").await;
    // A process started later on the same folder keeps the node out. When it puts the node back, the first
    // process, which still runs, does so as well.
    let successor = TestEnvironment::start_with(&settings, with_folder).await;
    trace += &successor.client().await.get("hit-3").await;
    assert_eq!(successor.cache.log(), "");
    trace += &maintain(successor.operator_address.unwrap(), "exit", "s-cache").await;
    let got_request = |trace: &StubState| trace.log().contains("hit-back");
    while !got_request(&env.cache) {
        client.get("hit-back").await;
        sleep(Duration::from_millis(20)).await;
    }
    trace += &env.cache.log();
    expect![[r#"
        hit-1: value of id-hit-1
        200 s-cache gets nothing more
        200 s-cache gets nothing more
        hit-2: origin's id-hit-2
        hit-3: origin's id-hit-3
        200 s-cache is back
        1: C.GET hit-1 id-hit-1 c=read,t=acme,d=LEFT,size=9,k=x
        1: C.GET hit-back id-hit-back c=read,t=acme,d=LEFT,size=9,k=x
    "#]]
    .assert_eq(&trace);
    let remaining_files = std::fs::read_dir(&folder.0).unwrap().map(|file| file.unwrap().file_name());
    let remaining_files: Vec<_> = remaining_files.map(|name| name.into_string().unwrap()).collect();
    assert_eq!(remaining_files, ["pumicebay-back-1-732d6361636865"]);
}

/// A former holder of a lease that was paused and resumes must not undo what the next holder did. This must
/// hold after a restart of the proxy as well.
#[tokio::test]
async fn a_maintenance_call_with_a_lower_token_is_refused() {
    let folder = Folder::new("fences");
    let with_folder = |config: &mut pumicebay::config::Config| config.folder = Some(folder.0.clone());
    let settings = [("/operator", json!("127.0.0.1:0"))];
    let env = TestEnvironment::start_with(&settings, with_folder).await;
    let mut trace = String::new();
    let leased_call = |action: &str, lease: Json, token: Json| {
        let body = json!({"who": "s-cache", "lease": lease, "token": token}).to_string();
        (format!("/maintenance/{action}"), body)
    };
    for (action, lease, token) in [
        ("enter", json!("nodes"), json!(7)),
        ("exit", json!("nodes"), json!(6)),
        ("enter", json!("nodes"), json!(7)),
        ("enter", json!("others"), json!(1)),
        ("exit", json!("nodes"), json!("7")),
        ("exit", json!("nodes"), Json::Null),
        ("exit", json!("x".repeat(101)), json!(8)),
        ("enter", json!("nodes"), json!(u64::MAX)),
        ("exit", json!("nodes"), json!(8)),
    ] {
        let (path, body) = leased_call(action, lease, token);
        let answer = call(env.operator_address.unwrap(), "POST", &path, &body).await;
        trace += &answer.replace(&"x".repeat(101), "x...");
    }
    // A call without a lease comes from an operator directly and is not checked against tokens.
    trace += &maintain(env.operator_address.unwrap(), "exit", "s-cache").await;
    let successor = TestEnvironment::start_with(&settings, with_folder).await;
    for (token, lease) in [(9, "nodes"), (1, "others")] {
        let (path, body) = leased_call("enter", json!(lease), json!(token));
        trace += &call(successor.operator_address.unwrap(), "POST", &path, &body).await;
    }
    expect![[r#"
        200 s-cache gets nothing more
        409 nodes has gone on to token 7
        200 s-cache gets nothing more
        200 s-cache gets nothing more
        400 lease, token: expected a name of 1 to 100 bytes and a number, found "nodes" and "7"
        400 lease, token: expected a name of 1 to 100 bytes and a number, found "nodes" and null
        400 lease, token: expected a name of 1 to 100 bytes and a number, found "x..." and 8
        200 s-cache gets nothing more
        409 nodes has gone on to token 18446744073709551615
        200 s-cache is back
        409 nodes has gone on to token 18446744073709551615
        200 s-cache gets nothing more
    "#]]
    .assert_eq(&trace);
}

/// Only an operator puts a node back: no state that discovery reports may do so.
#[tokio::test]
async fn a_node_out_of_service_stays_out_whatever_discovery_reports() {
    let env = TestEnvironment::start(&[("/operator", json!("127.0.0.1:0"))]).await;
    let (operator, mut client) = (env.operator_address.unwrap(), env.client().await);
    let mut trace = maintain(operator, "enter", "s-cache").await;
    let node = target("s-cache", &env.cache_address.to_string(), "node", "active");
    for (at, state) in ["leaving", "left", "active"].into_iter().enumerate() {
        let mut node = node.clone();
        (node["state"], node["boot_ms"]) = (json!(state), json!(at));
        env.discovery_replies
            .send(json!({"rev": 50 + at, "all": false, "targets": [node]}).to_string())
            .await
            .unwrap();
        env.wait_for_counter(&format!("list_answers {}", at + 1)).await;
        trace += &client.get(&format!("hit-{state}")).await;
    }
    trace += &env.cache.log();
    expect![[r#"
        200 s-cache gets nothing more
        hit-leaving: origin's id-hit-leaving
        hit-left: origin's id-hit-left
        hit-active: origin's id-hit-active
    "#]]
    .assert_eq(&trace);
}

/// A copy of the configuration's first route under another name.
fn route(env: &TestEnvironment, name: &str) -> Json {
    let mut route = env.config_json["settings"]["routes"][0].clone();
    route["name"] = json!(name);
    route
}

/// A reload that removes, adds and reorders routes must not change the route of a request that is already
/// open.
#[tokio::test]
async fn routes_are_added_and_removed_while_requests_are_open() {
    let mut env = TestEnvironment::start(&[]).await;
    let (mut open_client, mut client) = (env.client().await, env.client().await);
    open_client.send(&["C.GET", "slow", "id-open", "c=read,d=3000"]).await;
    env.cache.wait_for("slow").await;
    let mut trace = client.execute(&["C.GET", "hit", "id-1", "c=map,d=3000"]).await;
    // The first route is replaced by another at the same place in the list, and all routes get fewer
    // attempts.
    let map = route(&env, "map");
    env.config_json["settings"]["routes"][0] = map;
    env.config_json["settings"]["permissions"]["most-upstream-tries"] = json!(1);
    env.configs.send(parse(&env.config_json)).await.unwrap();
    env.wait_for_counter("reloads 1").await;
    for (id, labels) in [("2", "c=map,d=3000"), ("3", "c=read,d=3000"), ("4", "c=put,d=3000")] {
        trace += &client.execute(&["C.GET", "hit", id, labels]).await;
    }
    trace += &client.execute(&["C.GET", "fail", "5", "c=map,d=3000"]).await;
    trace += &open_client.reply().await;
    expect![[r#"
        hit: -ERR label 'c': unknown or missing class
        hit: value of 2
        hit: value of 3
        hit: value of 4
        fail: -BUSY 250
        value of id-open
    "#]]
    .assert_eq(&trace);
}

/// Each file also adds a valid route. One invalid or missing value anywhere must reject the whole file, so
/// that no part of it takes effect.
#[tokio::test]
async fn an_invalid_configuration_file_changes_nothing() {
    let mut env = TestEnvironment::start(&[]).await;
    let valid = env.config_json.clone();
    let mut client = env.client().await;
    let mut trace = String::new();
    let map = route(&env, "map");
    for (at, (pointer, value)) in [
        ("/settings/permissions/most-upstream-tries", json!(0)),
        ("/settings/permissions/most-upstream-tries", json!(-2)),
        ("/settings/permissions/most-upstream-tries", json!("3")),
        ("/settings/permissions/most-upstream-tries", json!(2.5)),
        ("/settings/permissions/most-upstream-tries", json!(null)),
        ("/settings/routes/0/overall-timeout-us", json!(0)),
        ("/settings/routes/0/overall-timeout-us", json!(-1)),
        ("/settings/routes/0/effect", json!("sometimes")),
        ("/settings/routes/0/name", json!("put")),
        ("/settings/routes/0/payoff", json!("much")),
        ("/settings/routes/0/window-us", json!(1.5)),
    ]
    .into_iter()
    .enumerate()
    {
        let mut json = valid.clone();
        json["settings"]["routes"].as_array_mut().unwrap().push(map.clone());
        *json.pointer_mut(pointer).unwrap() = value;
        trace += &reload_error(&env, &json, at as u64 + 1).await;
    }
    for (at, pointer) in [
        "/discovery",
        "/limits",
        "/settings",
        "/settings/routes",
        "/settings/rules/fall-us",
        "/settings/permissions/retry-after",
    ]
    .into_iter()
    .enumerate()
    {
        let mut json = valid.clone();
        let (parent, key) = pointer.rsplit_once('/').unwrap();
        json.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key);
        trace += &reload_error(&env, &json, at as u64 + 12).await;
    }
    let mut json = valid.clone();
    json["settings"]["routes"].as_array_mut().unwrap().push(map);
    json["settings"]["routes"][3].as_object_mut().unwrap().remove("payoff");
    trace += &reload_error(&env, &json, 18).await;
    trace += &client.execute(&["C.GET", "hit", "1", "c=map,d=3000"]).await;
    trace += &client.get("hit").await;
    env.config_json = valid;
    expect![[r#"
        settings.permissions.most-upstream-tries: expected 1 or more, found 0
        settings.permissions.most-upstream-tries: expected a whole number, found -2
        settings.permissions.most-upstream-tries: expected a whole number, found "3"
        settings.permissions.most-upstream-tries: expected a whole number, found 2.5
        settings.permissions.most-upstream-tries: missing, but set in the configuration in force
        settings.routes[0].overall-timeout-us: expected microseconds, found 0
        settings.routes[0].overall-timeout-us: expected microseconds, found -1
        settings.routes[0].effect: expected repeatable, by_key or once, found "sometimes"
        settings.routes[1].name: "put" is used twice
        settings.routes[0].payoff: expected 0 or more, found "much"
        settings.routes[0].window-us: expected microseconds, found 1.5
        discovery: missing
        limits: missing, but set in the configuration in force
        settings: missing
        settings.routes: expected a list
        settings.rules.fall-us: missing, but set in the configuration in force
        settings.permissions.retry-after: missing, but set in the configuration in force
        settings.routes[3].payoff: missing
        hit: -ERR label 'c': unknown or missing class
        hit: value of id-hit
    "#]]
    .assert_eq(&trace);
}

/// Reloads an invalid configuration, waits until the counter of failed reloads has this value, and returns
/// the error.
async fn reload_error(env: &TestEnvironment, json: &Json, failures: u64) -> String {
    let parsed = parse(json);
    let parse_result = parsed.as_ref().map_err(|error| format!("{error:#}"));
    let checked = parse_result.and_then(|parsed| {
        check_nothing_removed(&env.config_json, &parsed.json).map_err(|error| format!("{error:#}"))
    });
    env.configs.send(parsed).await.unwrap();
    env.wait_for_counter(&format!("reloads_failed {failures}")).await;
    format!("{}\n", checked.expect_err("the configuration was accepted"))
}

/// Starts a process that accepts clients from the test's listening socket, as the platform does it. `list` is
/// discovery's first answer; without one discovery is silent. Returns the process and its operators' address.
pub async fn start_process(
    env: &TestEnvironment,
    socket: &std::net::TcpListener,
    folder: &Folder,
    name: &str,
    list: Option<Json>,
) -> (RunningProxy, SocketAddr) {
    let operator = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (tell, discovery) = crate::start_discovery(StubState::default()).await;
    let mut json = env.config_json.clone();
    json["discovery"] = json!(discovery.to_string());
    let file = File::new(name, &json.to_string());
    let mut command = program(&["serve", "--config", file.path()]);
    command.stdin(std::os::fd::OwnedFd::from(socket.try_clone().unwrap())).env("PROXY_FD", "0");
    command.env("PROXY_OPERATOR", operator.to_string()).env("TMPDIR", &folder.0);
    // The process asks for the whole list in its first call.
    if let Some(list) = list {
        tell.send(list.to_string()).await.unwrap();
    }
    let running = tokio::task::spawn_blocking(move || (RunningProxy::start(command), file)).await.unwrap().0;
    assert_eq!(call(operator, "GET", "/status", "").await, "200 serving\n");
    (running, operator)
}

/// Sends one request after another on a kept connection until `stop` is set, and returns how many were
/// answered. Panics if the connection ends or an answer is wrong.
async fn send_requests_until(address: SocketAddr, stop: Arc<AtomicBool>, number: usize) -> usize {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let mut client = Client(Framed::new(stream, ReplyCodec));
    for at in 0.. {
        if stop.load(Ordering::Relaxed) {
            return at;
        }
        let id = format!("hit-{number}-{at}");
        let reply = client.execute(&["C.GET", &id, &id, "c=read,d=3000"]).await;
        assert!(reply.ends_with(&format!("value of {id}\n")) || reply.contains("origin's"), "{reply}");
        sleep(Duration::from_millis(number as u64 % 7)).await;
    }
    unreachable!()
}

/// A new process takes over the client connections of the old one and the nodes that are out of service. No
/// client may lose its connection or get a wrong answer, and a node that is out of service gets nothing from
/// the successor either.
#[tokio::test]
async fn upgrades_under_load_lose_no_request_and_keep_nodes_out_of_service() {
    let env = TestEnvironment::start(&[]).await;
    let folder = Folder::new("upgrade");
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let list = || Some(env.config_json["known"].clone());
    let proxy_folder = folder.0.join(format!("pumicebay-{:016x}", stable_hash("n0")));
    let (mut old, mut operator) = start_process(&env, &socket, &folder, "upgrade-0", list()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..5).map(|at| tokio::spawn(send_requests_until(address, stop.clone(), at))).collect();
    sleep(Duration::from_millis(200)).await;
    let mut trace = String::new();
    for round in 1..3 {
        trace += &maintain(operator, if round == 1 { "enter" } else { "exit" }, "s-cache").await;
        let (new, next_operator) =
            start_process(&env, &socket, &folder, &format!("upgrade-{round}"), list()).await;
        let (code, log) = tokio::task::spawn_blocking(move || old.stop()).await.unwrap();
        trace += &format!("{code:?}, takes over: {}\n", log.contains("another process takes over: 5 client"));
        trace += &format!("passed on: {}\n", log.contains("clients_passed_on 5"));
        let sent = || env.cache.log().lines().count();
        let before = sent();
        if round == 1 {
            sleep(Duration::from_millis(300)).await;
            trace += &format!("sent to the node that is out: {}\n", sent() - before);
        } else {
            while sent() == before {
                sleep(Duration::from_millis(10)).await;
            }
        }
        (old, operator) = (new, next_operator);
    }
    // A file in the folder whose name is not a uid in hex must be ignored.
    std::fs::write(proxy_folder.join("pumicebay-ban-1-zz"), "").unwrap();
    trace += &call(operator, "GET", "/status", "").await;
    sleep(Duration::from_millis(200)).await;
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        assert!(client.await.expect("a client failed") > 10);
    }
    let (code, log) = tokio::task::spawn_blocking(move || old.stop()).await.unwrap();
    trace += &format!("{code:?}, takes over: {}\n", log.contains("takes over"));
    expect![[r#"
        200 s-cache gets nothing more
        Some(0), takes over: true
        passed on: true
        sent to the node that is out: 0
        200 s-cache is back
        Some(0), takes over: true
        passed on: true
        200 serving
        Some(0), takes over: false
    "#]]
    .assert_eq(&trace);
}

/// The old process learned from discovery that a node drains; the configuration still lists it as active. A
/// successor that gets no answer from discovery must not send new work to that node.
#[tokio::test]
async fn a_successor_keeps_a_drain_while_discovery_is_silent() {
    let env = TestEnvironment::start(&[]).await;
    let folder = Folder::new("drain");
    let socket = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut list = env.config_json["known"].clone();
    list["targets"][0]["state"] = json!("leaving");
    let (_old, _) = start_process(&env, &socket, &folder, "drain-0", Some(list)).await;
    let (mut new, _) = start_process(&env, &socket, &folder, "drain-1", None).await;
    drop(_old);
    let stream = TcpStream::connect(socket.local_addr().unwrap()).await.unwrap();
    let reply = Client(Framed::new(stream, ReplyCodec)).get("hit").await;
    assert_eq!((&*reply, &*env.cache.log()), ("hit: origin's id-hit\n", ""));
    tokio::task::spawn_blocking(move || new.stop()).await.unwrap();
}

/// On a route that keeps order, a request is sent to a node only after the previous one of its key has ended.
/// Neither requests of other keys nor a queued request whose client leaves may delay the rest.
#[tokio::test]
async fn requests_of_one_key_run_one_at_a_time_where_the_route_keeps_order() {
    let settings = [
        ("/settings/routes/0/keep-order", json!(true)),
        ("/settings/routes/0/latency-objective-us", json!(7_500_000)),
        ("/settings/routes/0/overall-timeout-us", json!(15_000_000)),
        ("/settings/rules/turn-gap-us", json!(100_000)),
    ];
    let env = TestEnvironment::start(&settings).await;
    let mut clients = Vec::new();
    for id in ["1", "2", "3"] {
        let mut client = env.client().await;
        client.send(&["C.GET", "slow", id, "c=read,d=9000"]).await;
        env.wait_for_counter(&format!("exchanges_taken {id}")).await;
        clients.push(client);
    }
    let mut trace = env.client().await.get("hit").await;
    trace += &env.cache.log();
    let (mut first, leaving, mut third) = (clients.remove(0), clients.remove(0), clients.remove(0));
    drop(leaving);
    trace += &first.reply().await;
    trace += &third.reply().await;
    trace += &env.cache.log();
    expect![[r#"
        hit: value of id-hit
        1: C.GET slow 1 c=read,d=LEFT
        2: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        value of 1
        value of 3
        1: C.GET slow 1 c=read,d=LEFT
        2: C.GET hit id-hit c=read,t=acme,d=LEFT,size=9,k=x
        2: C.GET slow 3 c=read,d=LEFT
    "#]]
    .assert_eq(&trace);
}
