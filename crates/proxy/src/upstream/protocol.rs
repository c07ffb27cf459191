//! Encodes attempts for cache nodes (RESP) and the origin (HTTP), and maps their replies to outcomes. Does no I/O.

use crate::http::{self, Request, Response};
use crate::messages::{AttemptResult, ClientRequest};
use crate::resp::Frame;
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use pumicebay_core::{Outcome, ReportedLoad};
use pumicebay_names as names;
use smallvec::SmallVec;
use std::io::Write;
use std::iter;

/// Load reports of this many requests or more are implausible and ignored.
const MAX_REPORTED_LOAD: f64 = 1e9;
/// The longest encoding of the label `d`, in bytes.
const MAX_TIME_LABEL_BYTES: usize = 24;

/// The members of a cache node's reply with a value or a miss: the value, one that is not used, and a load report.
const CACHE_REPLY_MEMBERS: usize = 3;

/// The command for a cache node: the client's own, with the label `d` set to how many milliseconds the proxy will wait.
/// A streamed value is not part of it.
pub fn cache_command(request: &ClientRequest, time_left_ms: u64) -> Vec<Frame> {
    let word: &'static [u8] = if request.write { b"C.SET" } else { b"C.GET" };
    let mut words = Vec::with_capacity(5);
    words.extend([Bytes::from_static(word), request.key.clone(), request.id.clone()].map(Frame::Bulk));
    words.push(Frame::Bulk(Bytes::copy_from_slice(&labels_with_time_left(&request.labels, time_left_ms))));
    if request.write && request.upload.is_none() {
        words.push(Frame::Bulk(request.value.clone()));
    }
    words
}

/// The labels that are sent to a node. Most lists fit into the inline buffer.
type Labels = SmallVec<[u8; 256]>;

/// The client's labels with `d` set to the milliseconds left, in its place, or at the end if there was none.
pub fn labels_with_time_left(client_labels: &[u8], time_left_ms: u64) -> Labels {
    let mut replaced = false;
    let mut buffer = [0; MAX_TIME_LABEL_BYTES];
    let free = {
        let mut free = &mut buffer[..];
        let _ = write!(free, "d={time_left_ms}");
        free.len()
    };
    let time_label = &buffer[..MAX_TIME_LABEL_BYTES - free];
    let mut labels = Labels::new();
    for (index, label) in client_labels.split(|&byte| byte == b',').enumerate() {
        if index > 0 {
            labels.push(b',');
        }
        let is_time = label.starts_with(b"d=");
        labels.extend_from_slice(if is_time { time_label } else { label });
        replaced |= is_time;
    }
    if !replaced {
        labels.push(b',');
        labels.extend_from_slice(time_label);
    }
    labels
}

/// The HTTP request for the origin, with these labels.
pub fn origin_request<'a>(request: &'a ClientRequest, labels: &'a [u8]) -> Request<'a> {
    Request {
        method: if request.write { "PUT" } else { "GET" },
        path: http::segment_path(&request.key),
        headers: vec![("X-Txn", &request.id), ("X-Labels", labels)],
        body: (request.write && request.upload.is_none()).then_some(&request.value[..]),
        streamed_body_length: request.upload.as_ref().map(|upload| upload.length),
    }
}

/// Parses a cache node's reply to an attempt.
///
/// # Errors
/// When the reply is not one that a cache node gives.
pub fn parse_cache_reply(frame: Frame) -> Result<AttemptResult> {
    match frame {
        Frame::Array(parts) => {
            let [first, _, report] =
                <[Frame; CACHE_REPLY_MEMBERS]>::try_from(parts).ok().context("unexpected array")?;
            let (outcome, value) = match first {
                Frame::Bulk(value) => (Outcome::Completed, value),
                Frame::Null => (Outcome::Missed, Bytes::new()),
                other => bail!("unexpected value {other:?}"),
            };
            let held = if let Frame::Bulk(report) = report { reported_load(&report) } else { None };
            Ok(AttemptResult { outcome, value: value.into(), reported_load: held })
        }
        Frame::Error(text) if text.starts_with(b"BUSY") => Ok(Outcome::Saturated.into()),
        Frame::Error(text) if text.starts_with(b"ERR failed") => Ok(Outcome::Errored.into()),
        Frame::Error(text) if text.starts_with(b"ERR ") => {
            Ok(AttemptResult { value: text.into(), ..Outcome::Rejected.into() })
        }
        other => bail!("unexpected reply {other:?}"),
    }
}

/// Whether an array with a long member may be a cache node's reply with a value: its first member is the value.
pub fn is_cache_value(before: &[Frame], members_after: usize) -> bool {
    before.is_empty() && members_after == CACHE_REPLY_MEMBERS - 1
}

/// Checks the members behind a streamed value as those behind a short one are checked.
///
/// # Errors
/// When the reply is not one that a cache node gives.
pub fn check_cache_value_end(after: Vec<Frame>) -> Result<()> {
    let members = iter::once(Frame::Bulk(Bytes::new())).chain(after).collect();
    parse_cache_reply(Frame::Array(members)).map(|_| ())
}

/// Parses a cache node's reply to a probe.
///
/// # Errors
/// When the reply is not one that a cache node gives.
pub fn parse_probe_reply(frame: Frame) -> Result<AttemptResult> {
    match frame {
        Frame::Simple(_) => Ok(Outcome::Completed.into()),
        Frame::Bulk(report) => {
            Ok(AttemptResult { reported_load: reported_load(&report), ..Outcome::Completed.into() })
        }
        Frame::Error(_) => Ok(Outcome::Errored.into()),
        other => bail!("unexpected reply {other:?}"),
    }
}

/// Maps the origin's response to an outcome.
pub fn parse_origin_response(response: Response) -> AttemptResult {
    let turned_away = response.header("x-turned-away") == Some(b"1");
    let outcome = match response.status {
        200 => Outcome::Completed,
        503 | 504 if turned_away => Outcome::Saturated,
        500 => Outcome::Errored,
        400..500 => {
            let value = Bytes::from(format!("ERR origin: status {}", response.status)).into();
            return AttemptResult { value, ..Outcome::Rejected.into() };
        }
        status => {
            tracing::warn!("origin: unexpected status {status}");
            Outcome::Errored
        }
    };
    let held = response.header("x-pressure").and_then(reported_load);
    AttemptResult { outcome, value: response.body.into(), reported_load: held }
}

/// The load in a node's report, which is a list of names and values; `None` if it has no plausible load.
fn reported_load(report: &[u8]) -> Option<ReportedLoad> {
    let report = std::str::from_utf8(report).ok()?;
    let mut fields = report.split([',', ';', ' ']).filter_map(|field| field.split_once(['=', ':']));
    fields.find_map(|(name, value)| {
        let count = value.trim().parse().ok().filter(|count| (0.0..MAX_REPORTED_LOAD).contains(count))?;
        names::reported_load(name.trim(), count)
    })
}
