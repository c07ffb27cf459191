//! The operators' HTTP/1.1 listener, on an address of its own, with one call per connection. It answers in time under any
//! load: it has a few connections of its own, of which the longest silent one is closed for a new one, and its own
//! mailbox at the module.

use crate::bans::{MAX_LEASE_BYTES, Maintenance, MaintenanceResult};
use crate::connection_limit::{ConnectionLimit, EvictionClass};
use crate::counters::Counters;
use crate::fleet::carrier::actor::ConfigFreshness;
use crate::fleet::replication::handle::Handle;
use crate::http::{Call, CallCodec, CallResponse};
use crate::phases::{Phase, PhaseWatch};
use futures_util::{SinkExt, StreamExt};
use serde_json::Value as Json;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy, sink};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Connections at a time; their descriptors are reserved.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// How long a caller may take to send its call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long writing the answer may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long, and how many bytes, the rest of a refused call is still read: closing a connection with unread bytes resets
/// it, which could lose the answer.
const LINGER: Duration = Duration::from_millis(200);
const LINGER_BYTES: u64 = 64 * 1024;
/// How long a maintenance call waits for a proxy that is still starting.
const READY_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the replica may take to report its status.
const REPLICA_STATUS_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Answers the operators' calls.
#[derive(Clone)]
pub struct OperatorService {
    /// The phase of the process.
    pub watch: PhaseWatch,
    /// The counters that `/counters` returns.
    pub counters: Arc<Counters>,
    /// The actor that takes nodes out of service.
    pub maintenance: Maintenance,
    /// The replica of maintenance orders, if there is one.
    pub replication: Option<Handle>,
    /// How old the configuration from the carrier is, if there is a carrier.
    pub carrier: Option<tokio::sync::watch::Receiver<ConfigFreshness>>,
}

/// Accepts connections until the task is dropped.
pub async fn accept(operator: OperatorService, listener: TcpListener) {
    let room = ConnectionLimit::new(MAX_OPERATOR_CONNECTIONS);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!("operator listener: accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (operator, room, permit) = (operator.clone(), room.clone(), room.acquire().await);
        tokio::spawn(async move {
            if let Err(error) = serve_connection(operator, &room, stream).await {
                tracing::debug!("operator connection failed: {error}");
            }
            drop(permit);
        });
    }
}

async fn serve_connection(
    operator: OperatorService,
    room: &ConnectionLimit,
    stream: TcpStream,
) -> std::io::Result<()> {
    let mut framed = Framed::new(stream, CallCodec::default());
    let call = tokio::select! {
        call = timeout(CALL_TIMEOUT, framed.next()) => match call {
            Ok(Some(call)) => call,
            Ok(None) | Err(_) => return Ok(()),
        },
        () = room.eviction_requested(EvictionClass::Unused) => return Ok(()),
    };
    let response = match call {
        Ok(call) => operator.answer(call).await,
        Err(error) => error_response(&error).ok_or(error)?,
    };
    if response.0 >= 300 {
        tracing::info!("operator call refused: {} {}", response.0, response.1);
    }
    timeout(WRITE_TIMEOUT, framed.send(response)).await??;
    let stream = framed.get_mut();
    stream.shutdown().await?;
    let _ = timeout(LINGER, copy(&mut stream.take(LINGER_BYTES), &mut sink())).await;
    Ok(())
}

/// The response to an invalid call: the codec's error texts begin with the status code. `None` for an I/O error.
fn error_response(error: &std::io::Error) -> Option<CallResponse> {
    let text = error.to_string();
    let (status, why) = text.split_once(' ')?;
    Some(CallResponse(status.parse().ok()?, why.into()))
}

impl OperatorService {
    /// The status line of a process that serves.
    async fn serving_status(&self) -> String {
        let mut line = "serving".to_string();
        if let Some(carrier) = &self.carrier {
            line += &format!(", carrier: {}", *carrier.borrow());
        }
        let status = match &self.replication {
            Some(handle) => timeout(REPLICA_STATUS_TIMEOUT, handle.status()).await.ok().flatten(),
            None => None,
        };
        if let Some(status) = status {
            let age = status
                .last_heard_age
                .map_or("nothing heard yet".into(), |age| format!("as of {:.1} s ago", age as f64 / 1e9));
            let (linked, differing, out) =
                (status.linked_peers.len(), status.differing_peers.len(), status.out_of_service.len());
            line += &format!(
                ", replication: {} orders {age}, {out} nodes out, {linked} peers linked, {differing} differ",
                status.order_count
            );
        }
        line
    }

    /// Carries out a call. The response is 2xx on success, otherwise an error status with a line that says why.
    pub async fn answer(&self, call: Call) -> CallResponse {
        let method = match call.path.as_str() {
            "/status" | "/counters" => "GET",
            "/maintenance/enter" | "/maintenance/exit" => "POST",
            path => return CallResponse(404, format!("no such call: {path:?}")),
        };
        if call.method != method {
            return CallResponse(405, format!("{} wants {method}, found {:?}", call.path, call.method));
        }
        if call.path == "/counters" {
            return CallResponse(200, self.counters.to_string());
        }
        if method == "GET" {
            return match self.watch.current() {
                Phase::Serving | Phase::Draining => CallResponse(200, self.serving_status().await),
                phase => CallResponse(503, format!("takes no clients: {phase:?}")),
            };
        }
        let mut body = match serde_json::from_slice::<Json>(&call.body) {
            Ok(Json::Object(body)) => body,
            Ok(other) => return CallResponse(400, format!("expected {{\"who\":\"ID\"}}, found {other}")),
            Err(error) => return CallResponse(400, format!("the body is no JSON: {error}")),
        };
        let uid = match body.remove("who") {
            Some(Json::String(uid)) => uid,
            Some(other) => return CallResponse(400, format!("who: expected a text, found {other}")),
            None => return CallResponse(400, "who: missing".into()),
        };
        let lease = match (body.remove("lease"), body.remove("token")) {
            (None, None) => None,
            (Some(Json::String(lease)), Some(Json::Number(token)))
                if (1..=MAX_LEASE_BYTES).contains(&lease.len()) && token.is_u64() =>
            {
                token.as_u64().map(|token| (lease, token))
            }
            (lease, token) => {
                let (lease, token) = (lease.unwrap_or(Json::Null), token.unwrap_or(Json::Null));
                return CallResponse(
                    400,
                    format!(
                        "lease, token: expected a name of 1 to {MAX_LEASE_BYTES} bytes and a number, found {lease} and {token}"
                    ),
                );
            }
        };
        // Until the list of nodes has been read, every uid would be unknown.
        if timeout(READY_TIMEOUT, self.watch.clone().reached(Phase::Serving)).await.is_err() {
            return CallResponse(503, "has no list yet, call again".into());
        }
        let out_of_service = call.path == "/maintenance/enter";
        let result = self.maintenance.set_service(uid.clone(), out_of_service, lease).await;
        let status = match &result {
            MaintenanceResult::Done | MaintenanceResult::Replicated(_) => 200,
            MaintenanceResult::UnknownNode => 404,
            MaintenanceResult::IsOrigin
            | MaintenanceResult::StaleToken(..)
            | MaintenanceResult::Refused(_) => 409,
            MaintenanceResult::Failed(_) => 500,
        };
        CallResponse(status, result.message(&uid, out_of_service))
    }
}
