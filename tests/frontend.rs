//! The users' job API: every wish against every state of the job's keys.

mod common;

use cedarladder::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use cedarladder::coordination::effects::{Effect, Effects, KvRequestKind};
use cedarladder::coordination::job_api::JobApi;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, KvRequest, KvResponse, Txn};
use cedarladder::settings::StateLimits;
use common::spec;

const ID: &str = "j-1";

#[derive(Clone, Copy, PartialEq, Debug)]
enum Truth {
    Never,
    Open,
    Done,
    Aborted,
}

fn limits() -> StateLimits {
    StateLimits {
        rps: 600.0,
        write_rps: 600.0,
        value_kb: 8.0,
        txn_ops: 48,
    }
}

fn over(truth: Truth) -> FinishedRecord {
    let ending = match truth {
        Truth::Aborted => JobOutcome::Aborted,
        _ => JobOutcome::Done,
    };
    FinishedRecord {
        outcome: ending,
        completed_tasks: 1,
    }
}

/// Answers the job API's calls as a state service in this state would, until the user is answered.
fn serve(frontend: &mut JobApi, out: &mut Effects, truth: Truth) -> (u16, String) {
    for _ in 0..10 {
        for action in std::mem::take(&mut out.queue) {
            match action {
                Effect::Respond { status, body, .. } => {
                    let body: ciborium::Value = cbor::decode(&body).unwrap();
                    return (status, format!("{body:?}"));
                }
                Effect::CallKv {
                    correlation_id,
                    request: call,
                    ..
                } => {
                    let (ask, _) = out.take_kv_request(correlation_id).unwrap();
                    let reply = state_service(&call, truth);
                    match ask {
                        KvRequestKind::RevisionCheck(call) => {
                            frontend.on_revision_check_completed(call, reply, out, 0.1)
                        }
                        KvRequestKind::JobWrites(call) => {
                            frontend.on_writes_completed(call, reply, out, 0.1);
                        }
                        KvRequestKind::JobLookup(id) => {
                            frontend.on_lookup_completed(&id, reply, out, 0.1)
                        }
                        _ => unreachable!(),
                    }
                }
                _ => unreachable!(),
            }
        }
    }
    panic!("no answer");
}

fn state_service(call: &KvRequest, truth: Truth) -> KvResponse {
    let mod_revision = |key: &str| {
        let open = key == records::open_key(ID) && truth == Truth::Open;
        let over =
            key == records::finished_key(ID) && matches!(truth, Truth::Done | Truth::Aborted);
        if open || over { 5 } else { 0 }
    };
    match call {
        KvRequest::Txn(Txn { compares: when, .. }) => {
            let failed: Vec<String> = when
                .iter()
                .filter(|c| mod_revision(&c.key) != c.mod_revision)
                .map(|c| c.key.clone())
                .collect();
            if failed.is_empty() {
                KvResponse::Committed(9)
            } else {
                KvResponse::CompareFailed(failed)
            }
        }
        KvRequest::Get(key) if mod_revision(key) != 0 => {
            let value = if truth == Truth::Open {
                cbor::to_value(&spec(ID, 1))
            } else {
                cbor::to_value(&over(truth))
            };
            KvResponse::Value(KeyValue {
                key: key.clone(),
                value,
                mod_revision: 5,
                lease_id: None,
            })
        }
        _ => KvResponse::NotFound,
    }
}

#[test]
fn answers() {
    use Truth::{Aborted, Done, Never, Open};
    // (wish, truth, status, a word of the answer)
    let cases = [
        ("submit", Never, 201, "queued"),
        ("submit", Open, 200, "queued"),
        ("submit", Done, 200, "done"),
        ("submit", Aborted, 200, "aborted"),
        ("unsatisfiable", Never, 422, "why"),
        ("unsatisfiable", Open, 200, "queued"),
        ("unsatisfiable", Done, 200, "done"),
        ("poll", Never, 404, "no such job"),
        ("poll", Open, 200, "queued"),
        ("poll", Done, 200, "done"),
        ("poll", Aborted, 200, "aborted"),
        ("cancel", Never, 404, "no such job"),
        ("cancel", Open, 200, "aborted"),
        ("cancel", Done, 200, "done"),
        ("cancel", Aborted, 200, "aborted"),
    ];
    for (wish, truth, status, word) in cases {
        // What the controller believes may be late in either way.
        for belief in [Never, Open] {
            let mut frontend = JobApi::new(&limits(), 1.0, 1.0);
            let mut out = Effects::default();
            if belief == Open {
                frontend.on_job_opened(5, spec(ID, 1));
            }
            match wish {
                "submit" => frontend.on_submit(1, spec(ID, 1), None, &mut out, 0.0),
                "unsatisfiable" => frontend.on_submit(1, spec(ID, 1), Some("why"), &mut out, 0.0),
                "poll" => frontend.on_status_request(1, ID, &mut out, 0.0),
                _ => frontend.on_cancel(1, ID, &mut out, 0.0),
            }
            let (got, body) = serve(&mut frontend, &mut out, truth);
            let name = format!("{wish}, job {truth:?}, believed {belief:?}");
            assert_eq!(got, status, "{name}: {body}");
            assert!(body.contains(word), "{name}: {body}");
        }
    }
}

/// A job that was compared as open and has been closed before the answer came is not denied.
#[test]
fn closed_while_compared() {
    let mut frontend = JobApi::new(&limits(), 1.0, 1.0);
    let mut out = Effects::default();
    frontend.on_job_opened(5, spec(ID, 1));
    frontend.on_status_request(1, ID, &mut out, 0.0);
    out.queue.clear();
    frontend.on_job_closed(ID);
    frontend.on_revision_check_completed(1, KvResponse::Committed(9), &mut out, 0.1);
    assert_eq!(serve(&mut frontend, &mut out, Truth::Done).0, 200);
}

/// Who asks while a look is on its way gets a look of its own: what the first one found may be
/// older than the question.
#[test]
fn asked_while_looking() {
    let mut frontend = JobApi::new(&limits(), 1.0, 1.0);
    let mut out = Effects::default();
    frontend.on_cancel(1, ID, &mut out, 0.0);
    out.queue.clear();
    frontend.on_cancel(2, ID, &mut out, 0.0);
    frontend.on_lookup_completed(ID, KvResponse::NotFound, &mut out, 0.1);
    out.queue.clear();
    frontend.on_lookup_completed(ID, KvResponse::NotFound, &mut out, 0.1);
    let first: Vec<u64> = out
        .queue
        .iter()
        .filter_map(|a| match a {
            Effect::Respond {
                request_id: to,
                status: 404,
                ..
            } => Some(*to),
            _ => None,
        })
        .collect();
    assert_eq!(first, vec![1]);
    out.queue.retain(|a| !matches!(a, Effect::Respond { .. }));
    assert_eq!(serve(&mut frontend, &mut out, Truth::Open).0, 200);
}

/// What can't be taken is answered at once.
#[test]
fn refusals() {
    type Steps = fn(&mut JobApi, &mut Effects);
    let cases: [(&str, Steps, u16); 3] = [
        (
            "the state service refuses",
            |d, out| {
                d.on_submit(1, spec(ID, 1), None, out, 0.0);
                out.queue.clear();
                d.on_writes_completed(1, KvResponse::Unavailable, out, 0.0);
            },
            503,
        ),
        (
            "it has just refused another",
            |d, out| {
                d.on_status_request(1, "j-2", out, 0.0);
                d.on_revision_check_completed(1, KvResponse::Unavailable, out, 0.0);
                out.queue.clear();
                d.on_submit(2, spec(ID, 1), None, out, 0.1);
            },
            503,
        ),
        (
            "too many wait",
            |d, out| {
                for i in 0..3000 {
                    d.on_status_request(i, &format!("j-{i}"), out, 0.0);
                }
                out.queue.retain(|a| matches!(a, Effect::Respond { .. }));
                out.queue.truncate(1);
            },
            429,
        ),
    ];
    for (name, steps, expected) in cases {
        let mut frontend = JobApi::new(&limits(), 1.0, 1.0);
        let mut out = Effects::default();
        steps(&mut frontend, &mut out);
        let [
            Effect::Respond {
                status,
                retry_after_s,
                ..
            },
        ] = &out.queue[..]
        else {
            panic!("{name}: one answer");
        };
        assert_eq!(*status, expected, "{name}");
        assert_eq!(*retry_after_s, Some(1), "{name}");
    }
}
