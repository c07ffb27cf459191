//! Parses clients' commands.

use crate::clock::MILLIS;
use crate::config::Config;
use crate::messages::ClientRequest;
use crate::resp::Frame;
use crate::routes::{NamedRoute, Routes};
use bytes::Bytes;
use pumicebay_core::RequestParams;
use pumicebay_names::{NANOS_PER_MICROSECOND, stable_hash};
use std::sync::Weak;
use std::sync::atomic::AtomicBool;

/// A parsed client command.
pub enum Command {
    /// A request for the dispatcher.
    Request(RequestParams, ClientRequest),
    /// A command that is answered at once.
    Reply(Frame),
    /// A request for the counters.
    Counters,
}

/// Whether these are the arguments of a write up to its value.
pub fn is_write(words: &[Frame]) -> bool {
    matches!(words, [Frame::Bulk(name), _, _, _] if name.eq_ignore_ascii_case(b"C.SET"))
}

/// Parses a client command. The error is the text sent to the client.
pub fn parse_command(frame: Frame, config: &Config, routes: &Routes) -> Result<Command, String> {
    let Frame::Array(words) = frame else { return Err("expected a command".into()) };
    let word = |word: Frame| if let Frame::Bulk(word) = word { Some(word) } else { None };
    let words: Option<Vec<Bytes>> = words.into_iter().map(word).collect();
    let words = words.ok_or("expected a command of bulk strings")?;
    let Some((name, rest)) = words.split_first() else { return Err("empty command".into()) };
    let arity = || format!("wrong number of arguments for '{}'", String::from_utf8_lossy(name));
    let is = |word: &[u8]| name.eq_ignore_ascii_case(word);
    match rest {
        [key, id, labels] if is(b"C.GET") => parse_request(config, routes, key, id, labels, None),
        [key, id, labels, value] if is(b"C.SET") => {
            parse_request(config, routes, key, id, labels, Some(value))
        }
        [] if is(b"PING") => Ok(Command::Reply(Frame::simple("PONG"))),
        [text] if is(b"PING") => Ok(Command::Reply(Frame::Bulk(text.clone()))),
        _ if is(b"CLIENT") || is(b"SELECT") => Ok(Command::Reply(Frame::simple("OK"))),
        [what] if is(b"INFO") && what.eq_ignore_ascii_case(b"counters") => Ok(Command::Counters),
        _ if is(b"C.GET") || is(b"C.SET") || is(b"PING") => Err(arity()),
        _ => Err(format!("unknown command '{}'", String::from_utf8_lossy(name))),
    }
}

/// Parses the arguments of a read, or of a write if there is a `value`.
fn parse_request(
    config: &Config,
    routes: &Routes,
    key: &Bytes,
    id: &Bytes,
    labels: &Bytes,
    value: Option<&Bytes>,
) -> Result<Command, String> {
    let text = std::str::from_utf8(labels).map_err(|_| "labels are no text")?;
    if text.chars().any(char::is_control)
        || id.iter().any(u8::is_ascii_control)
        || key.is_empty()
        || id.is_empty()
    {
        return Err("empty key or id, or control characters in id or labels".into());
    }
    let (mut route, mut ask) = (None, RequestParams { write: value.is_some(), ..RequestParams::default() });
    let mut grace = None;
    for label in text.split(',').filter(|label| !label.is_empty()) {
        let (name, value) = label.split_once('=').ok_or_else(|| format!("label '{label}' without value"))?;
        let number = || value.parse::<u64>().map_err(|_| format!("label '{name}': expected a number"));
        match name {
            "c" => route = routes.find(value),
            "t" => ask.tenant = config.tenants.iter().position(|known| known == value),
            "d" => grace = Some(number()?),
            "r" => ask.is_retry = value == "1",
            "work-hint-us" => ask.work_hint = Some(number()?.saturating_mul(NANOS_PER_MICROSECOND)),
            _ => {}
        }
    }
    let NamedRoute { number, overall_timeout, may_run_twice } =
        route.ok_or("label 'c': unknown or missing class")?;
    ask.route = number;
    ask.client_timeout =
        grace.map_or(overall_timeout, |grace| grace.saturating_mul(MILLIS).min(overall_timeout));
    ask.key = Some(stable_hash(&String::from_utf8_lossy(key)));
    let value = value.cloned().unwrap_or_default();
    let (key, id, labels) = (key.clone(), id.clone(), labels.clone());
    let request = ClientRequest {
        received_at: 0,
        deadline: 0,
        client_alive: Weak::new(),
        may_run_twice,
        write: ask.write,
        key,
        id,
        labels,
        value,
        upload: None,
        answered: AtomicBool::new(false),
    };
    Ok(Command::Request(ask, request))
}
