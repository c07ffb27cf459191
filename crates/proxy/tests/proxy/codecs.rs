//! The RESP and HTTP codecs, and the conversion of commands, labels and replies to servers. Decoders must
//! give the same result however their input is cut into pieces.

use bytes::BytesMut;
use expect_test::expect;
use pumicebay::http::{self, ClientCodec, Request};
use pumicebay::messages::ClientRequest;
use pumicebay::resp::{self, Frame, Resp};
use pumicebay::upstream::protocol::{
    cache_command, labels_with_time_left, origin_request, parse_cache_reply, parse_origin_response,
    parse_probe_reply,
};
use std::fmt::Debug;
use std::sync::Weak;
use std::sync::atomic::AtomicBool;
use tokio_util::codec::{Decoder, Encoder};

/// Decodes these bytes and lists the items. Asserts that the result is the same whether they arrive at once
/// or one by one.
fn decode<D: Decoder<Error = std::io::Error>>(new: impl Fn() -> D, bytes: &[u8]) -> String
where
    D::Item: Debug,
{
    let decode_with = |size: usize| {
        let (mut codec, mut buffer, mut trace) = (new(), BytesMut::new(), String::new());
        let mut decode_items = |codec: &mut D, buffer: &mut BytesMut, end: bool| loop {
            match if end { codec.decode_eof(buffer) } else { codec.decode(buffer) } {
                Ok(Some(item)) => trace += &format!("  {item:?}\n"),
                Ok(None) => return true,
                Err(error) => {
                    trace += &format!("  error: {error}\n");
                    return false;
                }
            }
        };
        let valid = bytes.chunks(size).all(|chunk| {
            buffer.extend_from_slice(chunk);
            decode_items(&mut codec, &mut buffer, false)
        });
        if valid {
            decode_items(&mut codec, &mut buffer, true);
        }
        trace
    };
    let whole = decode_with(bytes.len().max(1));
    assert_eq!(whole, decode_with(1), "{:?}", String::from_utf8_lossy(bytes));
    format!("{}\n{whole}", String::from_utf8_lossy(bytes).escape_debug())
}

#[test]
fn resp_decoding_does_not_depend_on_fragmentation() {
    let mut trace = String::new();
    for bytes in [
        "+OK\r\n-BUSY 12\r\n:-7\r\n$-1\r\n*-1\r\n",
        "*3\r\n$3\r\na\r\n\r\n$0\r\n\r\n$-1\r\n*0\r\n",
        "$3\r\nab",
        "$3\r\nabcd\r\n",
        "$x\r\n",
        "$+1\r\na\r\n",
        "*-2\r\n",
        ":\r\n",
        "+no CR\n",
        "*2\r\n+a\r\n?",
    ] {
        trace += &decode(|| Resp, bytes.as_bytes());
    }
    expect![[r#"
        +OK\r\n-BUSY 12\r\n:-7\r\n$-1\r\n*-1\r\n
          Simple(b"OK")
          Error(b"BUSY 12")
          Integer(-7)
          Null
          Null
        *3\r\n$3\r\na\r\n\r\n$0\r\n\r\n$-1\r\n*0\r\n
          Array([Bulk(b"a\r\n"), Bulk(b""), Null])
          Array([])
        $3\r\nab
          error: bytes remaining on stream
        $3\r\nabcd\r\n
          error: bulk string without end
        $x\r\n
          error: expected a number
        $+1\r\na\r\n
          error: expected a number
        *-2\r\n
          error: invalid array length
        :\r\n
          error: expected a number
        +no CR\n
          error: line without CR
        *2\r\n+a\r\n?
          error: expected a RESP type
    "#]]
    .assert_eq(&trace);
}

/// Guards against reply injection: the rest of an error text after a line break must not be read as another
/// reply.
#[test]
fn a_line_break_in_an_error_does_not_start_another_reply() {
    let mut buffer = BytesMut::new();
    Resp.encode(&Frame::error("ERR a\r\n+OK"), &mut buffer).unwrap();
    assert_eq!(&buffer[..], b"-ERR a\r\n");
}

#[test]
fn http_decoding_does_not_depend_on_fragmentation() {
    let mut trace = String::new();
    for bytes in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Pressure: a=1\r\n\r\nhiHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1;x=y\r\n!\r\n0\r\nT: 1\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nConnection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\nto the end",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi",
        "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
        "HELLO\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
    ] {
        trace += &decode(|| ClientCodec::new(1000), bytes.as_bytes());
    }
    expect![[r#"
        HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Pressure: a=1\r\n\r\nhiHTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n
          Response { status: 200, headers: [("content-length", b"2"), ("x-pressure", b"a=1")], body: b"hi", last: false }
          Response { status: 503, headers: [("x-turned-away", b"1"), ("content-length", b"0")], body: b"", last: false }
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1;x=y\r\n!\r\n0\r\nT: 1\r\n\r\n
          Response { status: 200, headers: [("transfer-encoding", b"chunked")], body: b"hi!", last: false }
        HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\nConnection: close\r\n\r\n
          Response { status: 100, headers: [], body: b"", last: false }
          Response { status: 204, headers: [("connection", b"close")], body: b"", last: true }
        HTTP/1.0 200 OK\r\n\r\nto the end
          Response { status: 200, headers: [], body: b"to the end", last: true }
        HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi
          error: unexpected end of file
        HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n
          error: invalid Content-Length
        HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi
          error: conflicting values of Content-Length
        HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n
          error: body too long
        HELLO\r\n\r\n
          error: malformed response
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n
          error: malformed chunk
    "#]].assert_eq(&trace);
}

/// Guards against attempts that change a client's request: only the value of label `d`, the time left, may
/// differ.
#[test]
fn an_attempt_forwards_the_request_with_only_the_time_left_changed() {
    let request = |write| ClientRequest {
        received_at: 0,
        deadline: 0,
        client_alive: Weak::new(),
        answered: AtomicBool::new(false),
        may_run_twice: true,
        upload: None,
        write,
        key: "k/1 é".into(),
        id: "9b1f".into(),
        labels: "c=read,d=480,dd=480,t=acme,k=7,x=d=480".into(),
        value: "VALUE".into(),
    };
    let mut buffer = BytesMut::new();
    for time_left_ms in [123, 1] {
        Resp.encode(&Frame::Array(cache_command(&request(false), time_left_ms)), &mut buffer).unwrap();
    }
    Resp.encode(&Frame::Array(cache_command(&request(true), 9)), &mut buffer).unwrap();
    for write in [false, true] {
        let labels = labels_with_time_left(&request(write).labels, 9);
        ClientCodec::new(0).encode(origin_request(&request(write), &labels), &mut buffer).unwrap();
    }
    ClientCodec::new(0).encode(Request::get(http::segment_path(b"a-b._~%?#")), &mut buffer).unwrap();
    expect![[r#"
        *4
        $5
        C.GET
        $6
        k/1 é
        $4
        9b1f
        $38
        c=read,d=123,dd=480,t=acme,k=7,x=d=480
        *4
        $5
        C.GET
        $6
        k/1 é
        $4
        9b1f
        $36
        c=read,d=1,dd=480,t=acme,k=7,x=d=480
        *5
        $5
        C.SET
        $6
        k/1 é
        $4
        9b1f
        $36
        c=read,d=9,dd=480,t=acme,k=7,x=d=480
        $5
        VALUE
        GET /k%2F1%20%C3%A9 HTTP/1.1
        Host: pumicebay
        X-Txn: 9b1f
        X-Labels: c=read,d=9,dd=480,t=acme,k=7,x=d=480

        PUT /k%2F1%20%C3%A9 HTTP/1.1
        Host: pumicebay
        X-Txn: 9b1f
        X-Labels: c=read,d=9,dd=480,t=acme,k=7,x=d=480
        Content-Length: 5

        VALUEGET /a-b._~%25%3F%23 HTTP/1.1
        Host: pumicebay

    "#]]
    .assert_eq(&String::from_utf8_lossy(&buffer).replace('\r', ""));
}

/// Which outcome each reply of a node, to an attempt or to a probe, and each response of the origin counts
/// as.
#[test]
fn replies_are_classified_by_outcome() {
    let bulk = |text: &str| Frame::Bulk(text.to_string().into());
    let mut trace = String::new();
    for frame in [
        Frame::Array(vec![bulk("v"), bulk("hit"), bulk("util=0.5,inflight=3")]),
        Frame::Array(vec![Frame::Null, Frame::Null, Frame::Null]),
        Frame::Array(vec![bulk(""), Frame::Null, bulk("inflight=many")]),
        bulk("inflight=NaN"),
        bulk("inflight=-1"),
        bulk("inflight=1e300"),
        Frame::Array(vec![bulk("v"), Frame::Null]),
        Frame::error("ERR failed"),
        Frame::error("BUSY"),
        Frame::error("SYNTAX"),
        Frame::Array(vec![]),
        Frame::Null,
    ] {
        let describe = |result: anyhow::Result<pumicebay::messages::AttemptResult>| match result {
            Ok(result) => format!("{:?} {:?} {:?}", result.outcome, result.value, result.reported_load),
            Err(error) => format!("invalid: {error}"),
        };
        trace += &format!(
            "{frame:?}\n  attempt: {}\n  probe: {}\n",
            describe(parse_cache_reply(frame.clone())),
            describe(parse_probe_reply(frame.clone()))
        );
    }
    for (status, header) in
        [(200, ""), (500, ""), (503, "1"), (504, "1"), (503, ""), (504, "0"), (404, ""), (500, "1")]
    {
        let headers = vec![("x-turned-away".to_string(), header.to_string().into())];
        let response = http::Response { status, headers, ..Default::default() };
        trace += &format!("{status} {header}: {:?}\n", parse_origin_response(response).outcome);
    }
    expect![[r#"
        Array([Bulk(b"v"), Bulk(b"hit"), Bulk(b"util=0.5,inflight=3")])
          attempt: Completed Whole(b"v") Some(InFlight(3.0))
          probe: invalid: unexpected reply Array([Bulk(b"v"), Bulk(b"hit"), Bulk(b"util=0.5,inflight=3")])
        Array([Null, Null, Null])
          attempt: Missed Whole(b"") None
          probe: invalid: unexpected reply Array([Null, Null, Null])
        Array([Bulk(b""), Null, Bulk(b"inflight=many")])
          attempt: Completed Whole(b"") None
          probe: invalid: unexpected reply Array([Bulk(b""), Null, Bulk(b"inflight=many")])
        Bulk(b"inflight=NaN")
          attempt: invalid: unexpected reply Bulk(b"inflight=NaN")
          probe: Completed Whole(b"") None
        Bulk(b"inflight=-1")
          attempt: invalid: unexpected reply Bulk(b"inflight=-1")
          probe: Completed Whole(b"") None
        Bulk(b"inflight=1e300")
          attempt: invalid: unexpected reply Bulk(b"inflight=1e300")
          probe: Completed Whole(b"") None
        Array([Bulk(b"v"), Null])
          attempt: invalid: unexpected array
          probe: invalid: unexpected reply Array([Bulk(b"v"), Null])
        Error(b"ERR failed")
          attempt: Errored Whole(b"") None
          probe: Errored Whole(b"") None
        Error(b"BUSY")
          attempt: Saturated Whole(b"") None
          probe: Errored Whole(b"") None
        Error(b"SYNTAX")
          attempt: invalid: unexpected reply Error(b"SYNTAX")
          probe: Errored Whole(b"") None
        Array([])
          attempt: invalid: unexpected array
          probe: invalid: unexpected reply Array([])
        Null
          attempt: invalid: unexpected reply Null
          probe: invalid: unexpected reply Null
        200 : Completed
        500 : Errored
        503 1: Saturated
        504 1: Saturated
        503 : Errored
        504 0: Errored
        404 : Rejected
        500 1: Errored
    "#]]
    .assert_eq(&trace);
}

/// Decodes these bytes cut into pieces of several sizes, and asserts that the result is the same for each.
/// `classify` returns the length of a piece of a long value, or a line on any other item; the lengths are
/// added up.
fn decode_in_pieces<D: Decoder<Error = std::io::Error>>(
    new: impl Fn() -> D,
    bytes: &[u8],
    classify: impl Fn(D::Item) -> Result<usize, String>,
) -> String {
    let decode_with = |size: usize| {
        let (mut codec, mut buffer, mut trace, mut received) = (new(), BytesMut::new(), String::new(), 0);
        for chunk in bytes.chunks(size) {
            buffer.extend_from_slice(chunk);
            loop {
                match codec.decode(&mut buffer) {
                    Ok(None) => break,
                    Ok(Some(part)) => match classify(part) {
                        Ok(length) => received += length,
                        Err(line) => {
                            trace += &format!("  {received} bytes, {line}\n");
                            received = 0;
                        }
                    },
                    Err(error) => return trace + &format!("  error: {error}\n"),
                }
            }
        }
        trace
    };
    let whole = decode_with(bytes.len());
    for size in [1, 2, 7, 1000, 16_384, 65_537] {
        assert_eq!(whole, decode_with(size), "in pieces of {size}");
    }
    whole
}

#[test]
fn long_values_are_streamed_whatever_the_fragmentation() {
    let classify_resp = |part| match part {
        resp::FramePart::Piece(piece) => Ok(piece.len()),
        other => Err(format!("{other:?}")),
    };
    let value = "v".repeat(70_000);
    let mut trace = String::new();
    for bytes in [
        format!("*3\r\n$70000\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n+next\r\n"),
        format!("*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nl\r\n$70000\r\n{value}\r\n+next\r\n"),
        format!("*1\r\n$70000\r\n{value}??"),
        format!("*2\r\n$70000\r\n{value}\r\n$70000\r\n"),
        format!("$70000\r\n{value}\r\n"),
        "*1\r\n*1\r\n$70000\r\n".into(),
        "*1\r\n$4194305\r\n".into(),
    ] {
        trace += &format!("{}\n", bytes[..12].escape_debug());
        trace += &decode_in_pieces(resp::StreamingResp::default, bytes.as_bytes(), classify_resp);
    }
    let classify_http = |part| match part {
        http::Part::Piece(piece) => Ok(piece.len()),
        other => Err(format!("{other:?}")),
    };
    for bytes in [
        format!("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n{value}HTTP/1.1 204 None\r\n\r\n"),
        "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n".into(),
    ] {
        trace += &format!("{}\n", bytes[..12].escape_debug());
        trace += &decode_in_pieces(|| http::StreamingClientCodec::new(1000), bytes.as_bytes(), classify_http);
    }
    expect![[r#"
        *3\r\n$70000\r\n
          0 bytes, Begin { before: [], length: 70000, members_after: 2 }
          70000 bytes, End([Bulk(b"hit"), Null])
          0 bytes, Frame(Simple(b"next"))
        *5\r\n$5\r\nC.SE
          0 bytes, Begin { before: [Bulk(b"C.SET"), Bulk(b"k"), Bulk(b"i"), Bulk(b"l")], length: 70000, members_after: 0 }
          70000 bytes, End([])
          0 bytes, Frame(Simple(b"next"))
        *1\r\n$70000\r\n
          0 bytes, Begin { before: [], length: 70000, members_after: 0 }
          error: bulk string without end
        *2\r\n$70000\r\n
          0 bytes, Begin { before: [], length: 70000, members_after: 1 }
          error: bulk string too long
        $70000\r\nvvvv
          error: bulk string too long
        *1\r\n*1\r\n$700
          error: bulk string too long
        *1\r\n$4194305
          error: bulk string too long
        HTTP/1.1 200
          0 bytes, Begin(Response { status: 200, headers: [("content-length", b"70000")], body: b"", last: false }, 70000)
          70000 bytes, End
          0 bytes, Whole(Response { status: 204, headers: [], body: b"", last: false })
        HTTP/1.1 200
          error: body too long
    "#]].assert_eq(&trace);
}

/// Long commands are looked through only once while they come in pieces. That must find each error, and each end.
#[test]
fn decoding_of_long_commands_does_not_depend_on_fragmentation() {
    let long = |innermost: &str| {
        let members = innermost.repeat(60);
        format!("*3\r\n*60\r\n{}$600\r\n{}\r\n{innermost}", members.as_str(), "x".repeat(600))
    };
    let lines = ["+a\r\n", "-b\r\n", ":-7\r\n", "$-1\r\n", "*-1\r\n", "*0\r\n", "$0\r\n\r\n", "$2\r\nab\r\n"];
    let arrays = ["*2\r\n$1\r\na\r\n*1\r\n:1\r\n", "*3\r\n+a\r\n*0\r\n$-1\r\n"];
    let faults = [
        "$x\r\n",
        "$+1\r\na\r\n",
        "*-2\r\n",
        "*65\r\n",
        "$1\r\nabc",
        "+a\n",
        "what\r\n",
        ":x\r\n",
        "*1\r\n*1\r\n*1\r\n*1\r\n:1\r\n",
        "$70000\r\n",
        "$9000000\r\n",
    ];
    for valid in lines.iter().chain(&arrays) {
        let bytes = long(valid) + "+after\r\n";
        let trace = decode(resp::StreamingResp::default, bytes.as_bytes());
        assert!(!trace.contains("error:") && trace.contains("after"), "{valid:?}: {trace}");
    }
    for fault in faults {
        for valid in lines {
            let bytes = format!("*64\r\n{}{fault}{}", valid.repeat(40).as_str(), "$3\r\nabc\r\n".repeat(60));
            let padded = format!("*2\r\n$600\r\n{}\r\n{bytes}", "x".repeat(600));
            assert!(
                decode(resp::StreamingResp::default, padded.as_bytes()).contains("error:"),
                "{valid:?}, {fault:?}"
            );
        }
    }
}
