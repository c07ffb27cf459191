//! How attempts read on the wires of cache nodes and of the origin, and what their answers mean. No I/O.

use crate::http::{self, Request, Response};
use crate::messages::{AttemptResult, ClientRequest};
use crate::resp::Frame;
use anyhow::{Context, Result, bail};
use bytes::Bytes;
use pumicebay_core::{Outcome, ReportedLoad};
use pumicebay_names as names;
use smallvec::SmallVec;
use std::io::Write;

/// No node holds as many exchanges as this.
const MOST_HELD: f64 = 1e9;
/// What a label of its own takes at most.
const LEFT: usize = 24;

/// An attempt as a cache node reads it: all as it came, but for how many milliseconds it will be waited for. Without a
/// value that is still to come.
pub fn command(cargo: &ClientRequest, tell: u64) -> Vec<Frame> {
    let word: &'static [u8] = if cargo.write { b"C.SET" } else { b"C.GET" };
    let mut words = Vec::with_capacity(5);
    words.extend([Bytes::from_static(word), cargo.key.clone(), cargo.id.clone()].map(Frame::Bulk));
    words.push(Frame::Bulk(Bytes::copy_from_slice(&labels(&cargo.labels, tell))));
    if cargo.write && cargo.upload.is_none() {
        words.push(Frame::Bulk(cargo.value.clone()));
    }
    words
}

/// The labels as a node gets them; most lists fit in place.
type Labels = SmallVec<[u8; 256]>;

/// The labels as they came, with `d` as what is left, in milliseconds: put at its place, or at the end.
pub fn labels(came: &[u8], tell: u64) -> Labels {
    let mut told = false;
    let mut own = [0; LEFT];
    let free = {
        let mut free = &mut own[..];
        let _ = write!(free, "d={tell}");
        free.len()
    };
    let own = &own[..LEFT - free];
    let mut labels = Labels::new();
    for (place, label) in came.split(|&byte| byte == b',').enumerate() {
        if place > 0 {
            labels.push(b',');
        }
        let is_left = label.starts_with(b"d=");
        labels.extend_from_slice(if is_left { own } else { label });
        told |= is_left;
    }
    if !told {
        labels.push(b',');
        labels.extend_from_slice(own);
    }
    labels
}

/// A try as the origin reads it, with the labels that go to it.
pub fn request<'a>(cargo: &'a ClientRequest, labels: &'a [u8]) -> Request<'a> {
    Request {
        method: if cargo.write { "PUT" } else { "GET" },
        path: http::path(&cargo.key),
        headers: vec![("X-Txn", &cargo.id), ("X-Labels", labels)],
        body: (cargo.write && cargo.upload.is_none()).then_some(&cargo.value[..]),
        follows: cargo.upload.as_ref().map(|upload| upload.length),
    }
}

/// What a cache node's reply to a try means.
pub fn replied(frame: Frame) -> Result<AttemptResult> {
    match frame {
        Frame::Array(parts) => {
            let [first, _, report] = <[Frame; 3]>::try_from(parts).ok().context("unexpected array")?;
            let (outcome, value) = match first {
                Frame::Bulk(value) => (Outcome::Completed, value),
                Frame::Null => (Outcome::Missed, Bytes::new()),
                other => bail!("unexpected value {other:?}"),
            };
            let held = if let Frame::Bulk(report) = report { held(&report) } else { None };
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

pub fn probed(frame: Frame) -> Result<AttemptResult> {
    match frame {
        Frame::Simple(_) => Ok(Outcome::Completed.into()),
        Frame::Bulk(report) => {
            Ok(AttemptResult { reported_load: held(&report), ..Outcome::Completed.into() })
        }
        Frame::Error(_) => Ok(Outcome::Errored.into()),
        other => bail!("unexpected reply {other:?}"),
    }
}

/// What the origin's answer means.
pub fn answered(response: Response) -> AttemptResult {
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
            tracing::warn!("origin: status {status}");
            Outcome::Errored
        }
    };
    let held = response.header("x-pressure").and_then(held);
    AttemptResult { outcome, value: response.body.into(), reported_load: held }
}

/// How much a node says it holds, in a report of names and values; one that can't be is none.
fn held(report: &[u8]) -> Option<ReportedLoad> {
    let report = std::str::from_utf8(report).ok()?;
    let mut fields = report.split([',', ';', ' ']).filter_map(|field| field.split_once(['=', ':']));
    fields.find_map(|(name, value)| {
        let count = value.trim().parse().ok().filter(|count| (0.0..MOST_HELD).contains(count))?;
        names::reported_load(name.trim(), count)
    })
}
