//! The operators' door: HTTP/1.1, one call a connection, on an address of its own. It answers in time whatever the
//! load: a few connections of its own, of which the one that is silent longest gives way, and a desk of its own at
//! the module.

use crate::bans::{Asked, LONGEST_LEASE, Maintenance};
use crate::counters::Counters;
use crate::fleet::carrier::actor::Told;
use crate::fleet::replication::handle::Handle;
use crate::http::{Call, Calls, Word};
use crate::phases::{Phase, Watch};
use crate::room::{Room, Spare};
use futures_util::{SinkExt, StreamExt};
use serde_json::Value as Json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Calls at a time; their descriptors are set apart.
pub const CALLERS: usize = 16;
/// How long a caller may take for its call, and to read its answer.
const CALLING: Duration = Duration::from_secs(5);
const READING: Duration = Duration::from_secs(1);
/// What is still read of a call that was refused, and for how long: closing on it could lose the answer.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: u64 = 64 * 1024;
/// How long a call waits for a proxy that is about to serve.
const STARTING: Duration = Duration::from_millis(700);
/// How long the replica may take to tell of itself.
const STATUS: Duration = Duration::from_millis(200);
/// The pause after a connection could not be accepted.
const NO_ROOM: Duration = Duration::from_millis(20);

/// What calls are about.
#[derive(Clone)]
pub struct Operator {
    pub watch: Watch,
    pub counters: Arc<Counters>,
    pub maintenance: Maintenance,
    /// The replica of maintenance orders, where there is one.
    pub replication: Option<Handle>,
    /// How old the configuration is that came by the carrier, where there is one.
    pub carrier: Option<tokio::sync::watch::Receiver<Told>>,
}

/// Accepts as long as the process lives.
pub async fn accept(operator: Operator, listener: TcpListener) {
    let room = Room::new(CALLERS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("operators' door: {error}");
                sleep(NO_ROOM).await;
                continue;
            }
        };
        let (operator, room, place) = (operator.clone(), room.clone(), room.take().await);
        tokio::spawn(async move {
            if let Err(error) = serve(operator, &room, stream).await {
                tracing::debug!("operators' door: {error}");
            }
            drop(place);
        });
    }
}

async fn serve(operator: Operator, room: &Room, stream: TcpStream) -> std::io::Result<()> {
    let mut framed = Framed::new(stream, Calls::default());
    let call = tokio::select! {
        call = timeout(CALLING, framed.next()) => match call {
            Ok(Some(call)) => call,
            Ok(None) | Err(_) => return Ok(()),
        },
        () = room.asked(Spare::Unused) => return Ok(()),
    };
    let word = match call {
        Ok(call) => operator.answer(call).await,
        Err(error) => refusal(&error).ok_or(error)?,
    };
    if word.0 >= 300 {
        tracing::info!("operators' door: {} {}", word.0, word.1);
    }
    timeout(READING, framed.send(word)).await??;
    let stream = framed.get_mut();
    stream.shutdown().await?;
    let _ = timeout(LINGER, copy(&mut stream.take(LINGER_BYTES), &mut sink())).await;
    Ok(())
}

/// The codec says what is wrong in words that begin with the status.
fn refusal(error: &std::io::Error) -> Option<Word> {
    let text = error.to_string();
    let (status, why) = text.split_once(' ')?;
    Some(Word(status.parse().ok()?, why.into()))
}

impl Operator {
    /// What a process that serves says of itself.
    async fn serving(&self) -> String {
        let mut words = "serving".to_string();
        if let Some(carrier) = &self.carrier {
            words += &format!(", carrier: {}", *carrier.borrow());
        }
        let status = match &self.replication {
            Some(handle) => timeout(STATUS, handle.show()).await.ok().flatten(),
            None => None,
        };
        if let Some(status) = status {
            let age = status
                .last_heard_age
                .map_or("nothing heard yet".into(), |age| format!("as of {:.1} s ago", age as f64 / 1e9));
            let (linked, differing, out) =
                (status.linked_peers.len(), status.differing_peers.len(), status.out_of_service.len());
            words += &format!(
                ", replication: {} orders {age}, {out} nodes out, {linked} peers linked, {differing} differ",
                status.order_count
            );
        }
        words
    }

    /// The answer to a call: 2xx is yes, all else no with a line that says why.
    pub async fn answer(&self, call: Call) -> Word {
        let method = match call.path.as_str() {
            "/status" | "/counters" => "GET",
            "/maintenance/enter" | "/maintenance/exit" => "POST",
            path => return Word(404, format!("no such call: {path:?}")),
        };
        if call.method != method {
            return Word(405, format!("{} wants {method}, found {:?}", call.path, call.method));
        }
        if call.path == "/counters" {
            return Word(200, self.counters.to_string());
        }
        if method == "GET" {
            return match self.watch.now() {
                Phase::Serving | Phase::Draining => Word(200, self.serving().await),
                phase => Word(503, format!("takes no clients: {phase:?}")),
            };
        }
        let mut body = match serde_json::from_slice::<Json>(&call.body) {
            Ok(Json::Object(body)) => body,
            Ok(other) => return Word(400, format!("expected {{\"who\":\"ID\"}}, found {other}")),
            Err(error) => return Word(400, format!("the body is no JSON: {error}")),
        };
        let who = match body.remove("who") {
            Some(Json::String(who)) => who,
            Some(other) => return Word(400, format!("who: expected a text, found {other}")),
            None => return Word(400, "who: missing".into()),
        };
        let under = match (body.remove("lease"), body.remove("token")) {
            (None, None) => None,
            (Some(Json::String(lease)), Some(Json::Number(token)))
                if (1..=LONGEST_LEASE).contains(&lease.len()) && token.is_u64() =>
            {
                token.as_u64().map(|token| (lease, token))
            }
            (lease, token) => {
                let (lease, token) = (lease.unwrap_or(Json::Null), token.unwrap_or(Json::Null));
                return Word(
                    400,
                    format!(
                        "lease, token: expected a name of 1 to {LONGEST_LEASE} bytes and a number, found {lease} and {token}"
                    ),
                );
            }
        };
        // A process that has yet to hear of its nodes would take each id for unknown.
        if timeout(STARTING, self.watch.clone().reached(Phase::Serving)).await.is_err() {
            return Word(503, "has no list yet, call again".into());
        }
        let out = call.path == "/maintenance/enter";
        let asked = self.maintenance.ask(who.clone(), out, under).await;
        let status = match &asked {
            Asked::Done | Asked::Ordered(_) => 200,
            Asked::Unknown => 404,
            Asked::Origin | Asked::Late(..) | Asked::Refused(_) => 409,
            Asked::Failed(_) => 500,
        };
        Word(status, asked.words(&who, out))
    }
}
