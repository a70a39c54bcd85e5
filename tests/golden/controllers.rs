//! Encoding of heartbeats between controllers, and of the HTTP messages and frames that carry messages.

use super::pinned::PinnedFile;
use cedarladder::protocol::peer::{
    self, JobCounts, PeerHeartbeat, Termination, TerminationAck, TerminationLog,
};
use cedarladder::transport::frames;
use cedarladder::transport::http;

/// A heartbeat in which all fields have different values, so that a mix-up of two fields is noticed.
fn full_heartbeat() -> PeerHeartbeat {
    let counts = |job: &str, done, running| JobCounts {
        job: job.into(),
        done,
        running,
    };
    let termination = |job: &str, aborted, done| Termination {
        job: job.into(),
        aborted,
        done,
    };
    let ack = |label: &str, process_incarnation, up_to| TerminationAck {
        label: label.into(),
        process_incarnation,
        up_to,
    };
    PeerHeartbeat {
        label: "rung-1-with-a-long-name".into(),
        epoch: 41,
        leader: Some("rung-2".into()),
        state_service_ok: true,
        redirected_workers: 6,
        counts: vec![counts("j-000412", 3, 13), counts("j-1", 4, 0)],
        crash_looping_jobs: vec!["j-000398".into(), "j-3".into()],
        user_writes_per_s: 4.5,
        terminations: TerminationLog {
            process_incarnation: 5,
            first_sequence: 8,
            entries: vec![
                termination("j-000377", true, 9),
                termination("j-000378", false, 10),
            ],
            acks: vec![
                ack("rung-2", 11, 12),
                ack("rung-3-with-a-long-name", 14, 15),
            ],
        },
    }
}

fn empty_heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        label: String::new(),
        epoch: 0,
        leader: None,
        state_service_ok: false,
        redirected_workers: 0,
        counts: Vec::new(),
        crash_looping_jobs: Vec::new(),
        user_writes_per_s: 0.0,
        terminations: TerminationLog::default(),
    }
}

#[test]
fn heartbeats_keep_their_bytes_and_are_decoded_from_them() {
    let mut file = PinnedFile::open("heartbeats");
    for (case, heartbeat) in [("full", full_heartbeat()), ("empty", empty_heartbeat())] {
        let pinned = file.pin(
            case,
            &peer::encode(&heartbeat).expect("the heartbeat can't be encoded"),
        );
        assert_eq!(
            peer::decode(&pinned).ok(),
            Some(heartbeat),
            "the {case} heartbeat, decoded"
        );
        let cut = &pinned[..pinned.len() - 1];
        assert_eq!(
            peer::decode(cut).ok(),
            None,
            "the {case} heartbeat was accepted without its last byte"
        );
    }
    file.finish();
}

/// Statuses of controllers' responses, and three that they never have: 413, 500 and 599. The status 501, for an unknown
/// transfer encoding, is not among them.
const STATUSES: [u16; 14] = [
    200, 201, 400, 404, 405, 408, 413, 421, 422, 429, 431, 500, 503, 599,
];
/// An arbitrary body of a request, response or frame.
const BODY: &[u8] = b"body";
/// Value of the `Retry-After` header in seconds.
const RETRY_AFTER_S: u32 = 1;
/// Maximum frame length, which no frame in these tests exceeds.
const MAX_FRAME_BYTES: usize = 100;

#[test]
fn http_heads_keep_their_bytes() {
    let mut file = PinnedFile::open("http");
    for status in STATUSES {
        let response = http::write_response(status, BODY, None, true);
        file.pin(&format!("answer {status}"), &response);
    }
    let with_retry_after = http::write_response(503, BODY, Some(RETRY_AFTER_S), true);
    file.pin("answer with a time to come back", &with_retry_after);
    let last = http::write_response(200, &[], None, false);
    file.pin("last answer of a connection", &last);
    for (method, body) in [
        ("GET", &[] as &[u8]),
        ("POST", &[]),
        ("POST", BODY),
        ("DELETE", &[]),
    ] {
        let request = http::write_request(method, "10.2.0.1:2379", "/keys/a/b", body);
        file.pin(&format!("{method} with {} bytes", body.len()), &request);
    }
    file.finish();
}

#[test]
fn frames_are_split_from_their_bytes() {
    let mut file = PinnedFile::open("frames");
    let mut buffer = file.pin("two frames", b"\x04\0\0\0body\0\0\0\0");
    let frames = frames::split_frames(&mut buffer, MAX_FRAME_BYTES)
        .expect("a frame within the limit was refused");
    assert_eq!(frames, [BODY, &[]]);
    assert!(buffer.is_empty());
    file.finish();
}
