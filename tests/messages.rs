//! Parsing and validation of submissions, HTTP requests, frames between controllers, and settings.

use cedarladder::protocol::job::{InvalidJob, parse_submission};
use cedarladder::protocol::peer::{
    self, JobCounts, PeerHeartbeat, Termination, TerminationAck, TerminationLog,
};
use cedarladder::protocol::token::FencingToken;
use cedarladder::protocol::{cbor, worker};
use cedarladder::settings::Settings;
use cedarladder::transport::frames::split_frames;
use cedarladder::transport::http::{ParseError, Parsed, parse_request, parse_response};
use ciborium::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SETTINGS: &str = include_str!("world/settings.toml");

fn submission() -> Vec<(&'static str, Value)> {
    let text = |s: &str| Value::Text(s.into());
    vec![
        ("NameId", text("j-000412")),
        ("Jobclass", text("train")),
        ("Owner", text("vision")),
        ("Shape", text("array")),
        ("Rank", text("urgent")),
        ("Steps", Value::from(16)),
        ("Cores", Value::Float(8.0)),
        ("Gpus", Value::from(1)),
        ("RamGb", Value::Float(64.0)),
        ("Bundle", text("img-07")),
        ("PullGb", Value::Float(6.2)),
        ("Flavors", Value::Array(vec![text("g8")])),
        ("Grove", Value::Null),
        ("OneZone", Value::Bool(true)),
        ("Spread", Value::Bool(false)),
        ("Windfall", Value::Bool(true)),
        ("ExpectS", Value::Float(240.0)),
        ("SnapshotS", Value::Float(30.0)),
        ("FlushS", Value::Float(4.0)),
        ("DueS", Value::Float(900.0)),
        ("Unknown", text("is ignored")),
    ]
}

fn body(fields: &[(&str, Value)]) -> Vec<u8> {
    let map = fields
        .iter()
        .map(|(k, v)| (Value::Text((*k).into()), v.clone()))
        .collect();
    cbor::encode(&Value::Map(map))
}

#[test]
fn submissions_are_validated() {
    let spec =
        parse_submission(&body(&submission()), 5.0).expect("the valid submission was rejected");
    assert_eq!(
        (spec.tasks, spec.gpus, spec.deadline_s),
        (16, 1.0, Some(900.0))
    );
    let text = |s: &str| Value::Text(s.into());
    let cases: Vec<(&'static str, Option<Value>)> = vec![
        ("NameId", None),
        ("NameId", Some(text("x-1"))),
        ("NameId", Some(text("j-1/2"))),
        ("NameId", Some(text("j-"))),
        ("NameId", Some(Value::from(5))),
        ("Owner", None),
        ("Shape", Some(text("circle"))),
        ("Rank", Some(Value::Null)),
        ("Steps", Some(Value::from(0))),
        ("Steps", Some(Value::from(100_001))),
        ("Steps", Some(Value::from(-1))),
        ("Steps", Some(Value::Float(2.5))),
        ("Cores", Some(Value::Float(f64::NAN))),
        ("Cores", Some(Value::Float(f64::INFINITY))),
        ("Cores", Some(Value::Float(-1.0))),
        ("Cores", Some(Value::Float(1e300))),
        ("RamGb", Some(text("64"))),
        ("Flavors", Some(Value::Array(vec![]))),
        ("Flavors", Some(Value::Array(vec![Value::from(1)]))),
        ("Grove", Some(Value::from(1))),
        ("OneZone", Some(Value::from(1))),
        ("Bundle", Some(text(&"x".repeat(300)))),
        ("DueS", Some(Value::Float(-5.0))),
    ];
    for (field, value) in cases {
        let mut fields = submission();
        fields.retain(|(name, _)| *name != field);
        let missing = value.as_ref().is_none_or(Value::is_null);
        if let Some(value) = value.clone() {
            fields.push((field, value));
        }
        let expected = if missing {
            InvalidJob::Missing(field)
        } else {
            InvalidJob::Invalid(field)
        };
        assert_eq!(
            parse_submission(&body(&fields), 0.0),
            Err(expected),
            "submission in which {field} is {value:?}"
        );
    }
    for bytes in [
        &b""[..],
        b"{}",
        b"\xff\xff",
        b"\x01",
        &body(&submission())[..100],
    ] {
        assert_eq!(parse_submission(bytes, 0.0), Err(InvalidJob::NotAMap));
    }
}

#[test]
fn http_requests_are_parsed() {
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(9000));
    // Method, path, body and whether the connection is kept open. `None` if more bytes are needed; the status of the
    // response as the error if the request is refused.
    type Expected<'a> = Result<Option<(&'a str, &'a str, &'a str, bool)>, u16>;
    let cases: Vec<(&str, Expected)> = vec![
        (
            "GET /work/j-1?x=1 HTTP/1.1\r\n\r\n",
            Ok(Some(("GET", "/work/j-1", "", true))),
        ),
        (
            "GET / HTTP/1.1\r\nConnection: close\r\n\r\n",
            Ok(Some(("GET", "/", "", false))),
        ),
        ("GET / HTTP/1.0\r\n\r\n", Ok(Some(("GET", "/", "", false)))),
        (
            "POST /work HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc",
            Ok(Some(("POST", "/work", "abc", true))),
        ),
        (
            "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            Ok(Some(("POST", "/w", "abc", true))),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\nab",
            Ok(None),
        ),
        ("POST /work HT", Ok(None)),
        ("", Ok(None)),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
            Err(400),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
            Err(400),
        ),
        (
            "POST /work HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
            Err(400),
        ),
        (
            "POST /w HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            Err(400),
        ),
        (
            "POST /w HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
            Err(501),
        ),
        (
            "POST /w HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            Err(400),
        ),
        ("\x16\x03\x01 nonsense", Err(400)),
        (&long, Err(431)),
    ];
    for (bytes, expected) in cases {
        let got = match parse_request(bytes.as_bytes()) {
            Ok(Parsed::Complete(r, used)) => {
                assert_eq!(used, bytes.len(), "bytes that were parsed of {bytes:?}");
                let body = String::from_utf8(r.body).unwrap();
                Ok(Some((r.method, r.path, body, r.keep_alive)))
            }
            Ok(Parsed::Partial { .. }) => Ok(None),
            Err(ParseError(status)) => Err(status),
        };
        let expected = expected.map(|request| {
            request.map(|(m, p, b, k)| (m.to_owned(), p.to_owned(), b.to_owned(), k))
        });
        assert_eq!(got, expected, "request {bytes:?}");
    }
}

/// No parser panics on a truncated or modified message, of its own interface or another one.
#[test]
fn corrupted_messages_cause_no_panic() {
    let mut rng = SmallRng::seed_from_u64(3);
    let heartbeat = PeerHeartbeat {
        label: "n1".into(),
        epoch: 7,
        leader: Some("n0".into()),
        state_service_ok: true,
        redirected_workers: 2,
        counts: vec![JobCounts {
            job: "j-1".into(),
            done: 1,
            running: 2,
        }],
        crash_looping_jobs: vec!["j-3".into()],
        user_writes_per_s: 4.5,
        terminations: TerminationLog {
            process_incarnation: 5,
            first_sequence: 8,
            entries: vec![Termination {
                job: "j-2".into(),
                aborted: true,
                done: 3,
            }],
            acks: vec![TerminationAck {
                label: "n0".into(),
                process_incarnation: 4,
                up_to: 9,
            }],
        },
    };
    let frame = peer::encode(&heartbeat).expect("the heartbeat can't be encoded");
    assert_eq!(peer::decode(&frame).ok(), Some(heartbeat));
    let commands = worker::CommandBatch {
        token: FencingToken::new(5, 2),
        incarnation: Some(1),
        commands: vec![],
    };
    let request = b"POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc".to_vec();
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc".to_vec();
    let messages = [
        frame,
        cbor::encode(&commands),
        body(&submission()),
        request,
        response,
    ];
    for message in &messages {
        for _ in 0..2000 {
            let mut bytes = message.clone();
            match rng.random_range(0..3) {
                0 => bytes.truncate(rng.random_range(0..bytes.len())),
                1 => {
                    let at = rng.random_range(0..bytes.len());
                    bytes[at] = rng.random();
                }
                _ => {
                    let at = rng.random_range(0..bytes.len());
                    bytes.insert(at, rng.random());
                }
            }
            let _ = peer::decode(&bytes);
            let _ = cbor::decode::<worker::WorkerHeartbeat>(&bytes);
            let _ = cbor::decode::<worker::CommandBatch>(&bytes);
            let _ = parse_submission(&bytes, 0.0);
            let _ = parse_request(&bytes);
            let _ = parse_response(&bytes, 1000, true);
            let _ = split_frames(&mut bytes, 1000);
        }
    }
}

#[test]
fn frames_are_split() {
    let frame = |body: &[u8]| {
        let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
        bytes.extend_from_slice(body);
        bytes
    };
    let mut buffer = frame(b"one");
    buffer.extend(frame(b""));
    buffer.extend(&frame(b"half")[..6]);
    let frames = split_frames(&mut buffer, 100).expect("frames within the limit were refused");
    assert_eq!(frames, vec![b"one".to_vec(), vec![]]);
    assert_eq!(
        buffer.len(),
        6,
        "bytes of the incomplete frame that are left in the buffer"
    );
    assert_eq!(
        split_frames(&mut frame(&[0; 101]), 100),
        None,
        "a frame above the limit was not refused"
    );
}

#[test]
fn settings_are_validated() {
    Settings::parse(SETTINGS).expect("the valid settings were rejected");
    let cases = [
        ("label = \"n0\"", "", "label"),
        ("label = \"n0\"", "label = \"\"", "label"),
        ("label = \"n0\"", "label = \"n1\"", "seeds[0].label"),
        ("bind = \"10.0.0.1:8080\"", "bind = \"nowhere\"", "bind"),
        (
            "peer_bind = \"10.0.0.1:8081\"",
            "peer_bind = \"10.0.0.1:8080\"",
            "peer_bind",
        ),
        ("lease_s = 10.0", "lease_s = 1.0", "report_s"),
        ("lease_s = 10.0", "lease_s = nan", "lease_s"),
        ("lease_s = 10.0", "lease_s = \"long\"", "lease_s"),
        ("cpus = 16.0", "cpus = 50.0", "teams[0].cpus"),
        ("cpus_max = 40.0", "cpus_max = -1.0", "teams[0].cpus_max"),
        ("write_rps = 60.0", "write_rps = 0.0", "write_rps"),
        ("initial_size = 3", "initial_size = 0", "initial_size"),
        ("zones = [\"a\", \"b\"]", "zones = []", "zones"),
    ];
    for (from, to, field) in cases {
        let text = SETTINGS.replacen(from, to, 1);
        let error = Settings::parse(&text).expect_err(to).to_string();
        assert!(
            error.contains(field),
            "the error for {to:?} does not name {field}: {error}"
        );
    }
}
