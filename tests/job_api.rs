//! The job API: every request for every stored state of a job.

mod common;

use cedarladder::bookkeeping::records::{self, FinishedRecord, JobOutcome};
use cedarladder::coordination::effects::{Effect, Effects, KvRequestContext};
use cedarladder::coordination::job_api::{JobApi, UnsatisfiableJob};
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, KvRequest, KvResponse, Txn};
use cedarladder::settings::StateServiceLimits;
use common::spec;

const ID: &str = "j-1";

/// State of the job in the state service.
#[derive(Clone, Copy, PartialEq, Debug)]
enum StoredState {
    Unknown,
    Open,
    Done,
    Aborted,
}

fn limits() -> StateServiceLimits {
    StateServiceLimits {
        rps: 600.0,
        write_rps: 600.0,
        value_kb: 8.0,
        txn_ops: 48,
    }
}

fn finished_record(stored: StoredState) -> FinishedRecord {
    let outcome = match stored {
        StoredState::Aborted => JobOutcome::Aborted,
        _ => JobOutcome::Done,
    };
    FinishedRecord {
        outcome,
        completed_tasks: 1,
    }
}

/// Plays the state service, which stores the job in the given state, until the job API responds to the user. Returns
/// the status and the body of this response.
fn serve_until_response(
    job_api: &mut JobApi,
    effects: &mut Effects,
    stored: StoredState,
) -> (u16, String) {
    for _ in 0..10 {
        for effect in std::mem::take(&mut effects.queue) {
            match effect {
                Effect::Respond { status, body, .. } => {
                    let body: ciborium::Value = cbor::decode(&body).unwrap();
                    return (status, format!("{body:?}"));
                }
                Effect::CallKv {
                    correlation_id,
                    request,
                    ..
                } => {
                    let context = effects.take_kv_request(correlation_id).unwrap().context;
                    let response = kv_response(&request, stored);
                    match context {
                        KvRequestContext::RevisionCheck(check) => {
                            job_api.on_revision_check_completed(check, response, effects, 0.1);
                        }
                        KvRequestContext::JobWrites(batch) => {
                            job_api.on_writes_completed(batch, response, effects, 0.1);
                        }
                        KvRequestContext::JobLookup(id) => {
                            job_api.on_lookup_completed(&id, response, effects, 0.1);
                        }
                        _ => unreachable!(),
                    }
                }
                _ => unreachable!(),
            }
        }
    }
    panic!("no response to the user after ten rounds of requests to the state service");
}

fn kv_response(request: &KvRequest, stored: StoredState) -> KvResponse {
    let mod_revision = |key: &str| {
        let open = key == records::open_key(ID) && stored == StoredState::Open;
        let finished = key == records::finished_key(ID)
            && matches!(stored, StoredState::Done | StoredState::Aborted);
        if open || finished { 5 } else { 0 }
    };
    match request {
        KvRequest::Txn(Txn { compares, .. }) => {
            let failed: Vec<String> = compares
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
            let value = if stored == StoredState::Open {
                cbor::to_value(&spec(ID, 1))
            } else {
                cbor::to_value(&finished_record(stored))
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
fn responses_reflect_the_stored_state() {
    use StoredState::{Aborted, Done, Open, Unknown};
    // (request, stored state, HTTP status, expected text in the response)
    let cases = [
        ("submit", Unknown, 201, "queued"),
        ("submit", Open, 200, "queued"),
        ("submit", Done, 200, "done"),
        ("submit", Aborted, 200, "aborted"),
        ("unsatisfiable", Unknown, 422, "unknown team"),
        ("unsatisfiable", Open, 200, "queued"),
        ("unsatisfiable", Done, 200, "done"),
        ("poll", Unknown, 404, "no such job"),
        ("poll", Open, 200, "queued"),
        ("poll", Done, 200, "done"),
        ("poll", Aborted, 200, "aborted"),
        ("cancel", Unknown, 404, "no such job"),
        ("cancel", Open, 200, "aborted"),
        ("cancel", Done, 200, "done"),
        ("cancel", Aborted, 200, "aborted"),
    ];
    for (request, stored, expected_status, expected_text) in cases {
        // The controller's view may be out of date: it may lack an open job or show a closed one.
        for view in [Unknown, Open] {
            let mut job_api = JobApi::new(&limits(), 1.0, 1.0);
            let mut effects = Effects::default();
            if view == Open {
                job_api.on_job_opened(5, spec(ID, 1));
            }
            match request {
                "submit" => job_api.on_submit(1, spec(ID, 1), Ok(()), &mut effects, 0.0),
                "unsatisfiable" => job_api.on_submit(
                    1,
                    spec(ID, 1),
                    Err(UnsatisfiableJob::UnknownTeam),
                    &mut effects,
                    0.0,
                ),
                "poll" => job_api.on_status_request(1, ID, &mut effects, 0.0),
                _ => job_api.on_cancel(1, ID, &mut effects, 0.0),
            }
            let (status, body) = serve_until_response(&mut job_api, &mut effects, stored);
            let name = format!("{request}, job {stored:?}, controller's view {view:?}");
            assert_eq!(status, expected_status, "{name}: {body}");
            assert!(
                body.contains(expected_text),
                "{name}: expected {expected_text:?} in {body}"
            );
        }
    }
}

/// The response to a poll must not be "no such job" if the job is closed while the revision check is in flight.
#[test]
fn a_job_closed_during_a_revision_check_is_looked_up() {
    let mut job_api = JobApi::new(&limits(), 1.0, 1.0);
    let mut effects = Effects::default();
    job_api.on_job_opened(5, spec(ID, 1));
    job_api.on_status_request(1, ID, &mut effects, 0.0);
    effects.queue.clear();
    job_api.on_job_closed(ID);
    job_api.on_revision_check_completed(1, KvResponse::Committed(9), &mut effects, 0.1);
    assert_eq!(
        serve_until_response(&mut job_api, &mut effects, StoredState::Done).0,
        200
    );
}

/// A request that arrives while a lookup is in flight gets a lookup of its own, because the result of the first one
/// may be older than the request.
#[test]
fn a_request_during_a_lookup_waits_for_the_next_one() {
    let mut job_api = JobApi::new(&limits(), 1.0, 1.0);
    let mut effects = Effects::default();
    job_api.on_cancel(1, ID, &mut effects, 0.0);
    effects.queue.clear();
    job_api.on_cancel(2, ID, &mut effects, 0.0);
    job_api.on_lookup_completed(ID, KvResponse::NotFound, &mut effects, 0.1);
    effects.queue.clear();
    job_api.on_lookup_completed(ID, KvResponse::NotFound, &mut effects, 0.1);
    let with_response: Vec<u64> = effects
        .queue
        .iter()
        .filter_map(|effect| match effect {
            Effect::Respond {
                request_id,
                status: 404,
                ..
            } => Some(*request_id),
            _ => None,
        })
        .collect();
    assert_eq!(
        with_response,
        vec![1],
        "requests with a response after one lookup"
    );
    effects
        .queue
        .retain(|effect| !matches!(effect, Effect::Respond { .. }));
    assert_eq!(
        serve_until_response(&mut job_api, &mut effects, StoredState::Open).0,
        200
    );
}

/// A request that cannot be served is rejected at once, with a `Retry-After` header.
#[test]
fn requests_that_cannot_be_served_are_rejected_at_once() {
    type Steps = fn(&mut JobApi, &mut Effects);
    let cases: [(&str, Steps, u16); 3] = [
        (
            "the state service is unavailable for this request",
            |job_api, effects| {
                job_api.on_submit(1, spec(ID, 1), Ok(()), effects, 0.0);
                effects.queue.clear();
                job_api.on_writes_completed(1, KvResponse::Unavailable, effects, 0.0);
            },
            503,
        ),
        (
            "the state service was unavailable for the previous request",
            |job_api, effects| {
                job_api.on_status_request(1, "j-2", effects, 0.0);
                job_api.on_revision_check_completed(1, KvResponse::Unavailable, effects, 0.0);
                effects.queue.clear();
                job_api.on_submit(2, spec(ID, 1), Ok(()), effects, 0.1);
            },
            503,
        ),
        (
            "too many requests are waiting",
            |job_api, effects| {
                for i in 0..3000 {
                    job_api.on_status_request(i, &format!("j-{i}"), effects, 0.0);
                }
                effects
                    .queue
                    .retain(|effect| matches!(effect, Effect::Respond { .. }));
                effects.queue.truncate(1);
            },
            429,
        ),
    ];
    for (name, steps, expected) in cases {
        let mut job_api = JobApi::new(&limits(), 1.0, 1.0);
        let mut effects = Effects::default();
        steps(&mut job_api, &mut effects);
        let [
            Effect::Respond {
                status,
                retry_after_s,
                ..
            },
        ] = &effects.queue[..]
        else {
            panic!("{name}: expected one response, got {:?}", effects.queue);
        };
        assert_eq!(*status, expected, "{name}: HTTP status");
        assert_eq!(*retry_after_s, Some(1), "{name}: seconds of Retry-After");
    }
}
