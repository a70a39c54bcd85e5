//! Behaviour under overload: responses stay prompt, and memory and the use of shared limits stay bounded.

mod common;

use cedarladder::bookkeeping::rate_limit::fair_share_rate;
use cedarladder::bookkeeping::records::{FinishedRecord, JobOutcome};
use cedarladder::coordination::effects::{Effect, Effects, KvRequestContext};
use cedarladder::coordination::job_api::JobApi;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, KvRequest, KvResponse};
use cedarladder::protocol::peer::Termination;
use cedarladder::settings::StateServiceLimits;
use cedarladder::transport::server::{ConnectionAction, Server};
use common::spec;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Users submit, poll and cancel jobs, at up to many times the rate that the limits of the state service allow. Every
/// request gets a timely response, every rejection has a `Retry-After` header, and the limits are respected.
#[test]
fn overload_gets_prompt_responses_within_the_limits() {
    const REQUEST_TIMEOUT_S: f64 = 1.0;
    for (name, requests_per_step, write_rps) in [
        ("normal load", 1, 60.0),
        ("ten times the normal load", 10, 60.0),
        ("a hundred times the normal load", 100, 20.0),
    ] {
        let limits = StateServiceLimits {
            rps: 150.0,
            write_rps,
            value_kb: 8.0,
            txn_ops: 48,
        };
        let mut job_api = JobApi::new(&limits, 1.0, REQUEST_TIMEOUT_S);
        let mut effects = Effects::default();
        let mut awaiting_response: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut next_id, mut requests_sent, mut writes, mut accepted) = (1, 0, 0, 0);
        for step in 0..100 {
            let now = f64::from(step) * 0.05;
            if step < 60 {
                for _ in 0..requests_per_step {
                    let id = format!("j-{next_id}");
                    awaiting_response.insert(next_id, now);
                    match next_id % 4 {
                        0 => job_api.on_status_request(next_id, &id, &mut effects, now),
                        1 => job_api.on_cancel(next_id, "j-2", &mut effects, now),
                        _ => job_api.on_submit(next_id, spec(&id, 5), Ok(()), &mut effects, now),
                    }
                    next_id += 1;
                }
            }
            job_api.send_due_requests(&mut effects, now);
            for _ in 0..10 {
                for effect in std::mem::take(&mut effects.queue) {
                    match effect {
                        Effect::Respond {
                            request_id,
                            status,
                            retry_after_s,
                            ..
                        } => {
                            let sent_at = awaiting_response
                                .remove(&request_id)
                                .expect("response to a request that is unknown or already has one");
                            assert!(
                                now - sent_at <= 2.0 * REQUEST_TIMEOUT_S,
                                "{name}: response after {} s, expected at most {} s",
                                now - sent_at,
                                2.0 * REQUEST_TIMEOUT_S
                            );
                            let rejected = status == 503 || status == 429;
                            assert_eq!(
                                retry_after_s.is_some(),
                                rejected,
                                "{name}: Retry-After is {retry_after_s:?} with status {status}; expected only with \
                                 429 and 503"
                            );
                            accepted += u32::from(status == 201);
                        }
                        Effect::CallKv {
                            correlation_id,
                            request,
                            ..
                        } => {
                            requests_sent += 1;
                            let context = effects
                                .take_kv_request(correlation_id)
                                .expect("the request is not pending")
                                .context;
                            if let KvRequest::Txn(txn) = &request {
                                assert!(
                                    txn.writes.len() <= limits.txn_ops,
                                    "{name}: {} writes in a transaction, expected at most {}",
                                    txn.writes.len(),
                                    limits.txn_ops
                                );
                                writes += txn.writes.len();
                            }
                            match context {
                                KvRequestContext::RevisionCheck(check) => {
                                    job_api.on_revision_check_completed(
                                        check,
                                        KvResponse::Committed(9),
                                        &mut effects,
                                        now,
                                    );
                                }
                                KvRequestContext::JobWrites(batch) => {
                                    job_api.on_writes_completed(
                                        batch,
                                        KvResponse::Committed(9),
                                        &mut effects,
                                        now,
                                    );
                                }
                                KvRequestContext::JobLookup(id) => {
                                    job_api.on_lookup_completed(
                                        &id,
                                        KvResponse::NotFound,
                                        &mut effects,
                                        now,
                                    );
                                }
                                other => panic!("{name}: unexpected request for {other:?}"),
                            }
                        }
                        other => panic!("{name}: unexpected effect {other:?}"),
                    }
                }
            }
        }
        assert!(
            awaiting_response.is_empty(),
            "{name}: {} requests without a response",
            awaiting_response.len()
        );
        assert!(
            accepted > 20,
            "{name}: {accepted} submissions accepted, expected more than 20"
        );
        // The test runs for five seconds. Another second's worth may be sent as the initial burst, and one more because
        // a transaction may put the budget into debt by up to a burst.
        assert!(
            f64::from(requests_sent) <= 7.0 * limits.rps,
            "{name}: {requests_sent} requests sent, expected at most {}",
            7.0 * limits.rps
        );
        assert!(
            writes as f64 <= 7.0 * write_rps,
            "{name}: {writes} writes sent, expected at most {}",
            7.0 * write_rps
        );
    }
}

/// One controller receives all polls. Polls of finished jobs, which need lookups, must not be starved by the revision
/// checks for open jobs. Jobs whose termination a peer has announced need no lookup.
#[test]
fn lookups_are_not_starved_by_revision_checks() {
    let limits = StateServiceLimits {
        rps: 300.0,
        write_rps: 100.0,
        value_kb: 8.0,
        txn_ops: 40,
    };
    for announced_by_peer in [false, true] {
        let mut job_api = JobApi::new(&limits, 0.1, 2.5);
        let mut effects = Effects::default();
        for i in 0..600 {
            job_api.on_job_opened(1, spec(&format!("j-{i}"), 5));
        }
        let is_finished =
            |id: &str| id[2..].parse::<u32>().expect("job id without a number") >= 600;
        let mut awaiting_response: BTreeMap<u64, (f64, bool)> = BTreeMap::new();
        let mut in_flight: std::collections::VecDeque<(f64, u64, KvRequest)> = Default::default();
        let (mut next_id, mut lookups, mut next_finished) = (0u64, 0, 600);
        for step in 0..1_200u32 {
            let now = f64::from(step) * 0.01;
            if step < 1_000 {
                // About 150 polls per second of open jobs, and three of finished jobs, each of another job.
                let mut ids = vec![format!("j-{}", (next_id * 7) % 600)];
                if step % 2 == 0 {
                    ids.push(format!("j-{}", (next_id * 11) % 600));
                }
                if step % 33 == 0 {
                    ids.push(format!("j-{next_finished}"));
                    if announced_by_peer {
                        job_api.on_peer_terminations(&[Termination {
                            job: format!("j-{next_finished}"),
                            aborted: false,
                            done: 5,
                        }]);
                    }
                    next_finished += 1;
                }
                for id in ids {
                    next_id += 1;
                    awaiting_response.insert(next_id, (now, is_finished(&id)));
                    job_api.on_status_request(next_id, &id, &mut effects, now);
                }
            }
            while in_flight.front().is_some_and(|(at, ..)| *at <= now) {
                let (_, correlation_id, request) =
                    in_flight.pop_front().expect("no request is in flight");
                let context = effects
                    .take_kv_request(correlation_id)
                    .expect("the request is not pending")
                    .context;
                match (context, request) {
                    (KvRequestContext::RevisionCheck(check), KvRequest::Txn(txn)) => {
                        let failed: Vec<String> = txn
                            .compares
                            .iter()
                            .filter(|c| c.key.strip_prefix("over/").is_some_and(is_finished))
                            .map(|c| c.key.clone())
                            .collect();
                        let response = if failed.is_empty() {
                            KvResponse::Committed(9)
                        } else {
                            KvResponse::CompareFailed(failed)
                        };
                        job_api.on_revision_check_completed(check, response, &mut effects, now);
                    }
                    (KvRequestContext::JobLookup(id), KvRequest::Get(key)) => {
                        lookups += 1;
                        let response = if key.starts_with("over/") {
                            let record = FinishedRecord {
                                outcome: JobOutcome::Done,
                                completed_tasks: 5,
                            };
                            KvResponse::Value(KeyValue {
                                value: cbor::to_value(&record),
                                key,
                                mod_revision: 2,
                                lease_id: None,
                            })
                        } else {
                            KvResponse::NotFound
                        };
                        job_api.on_lookup_completed(&id, response, &mut effects, now);
                    }
                    other => panic!("{other:?}"),
                }
            }
            job_api.send_due_requests(&mut effects, now);
            for effect in std::mem::take(&mut effects.queue) {
                match effect {
                    Effect::Respond {
                        request_id, status, ..
                    } => {
                        let (sent_at, is_finished) = awaiting_response
                            .remove(&request_id)
                            .expect("response to a request that is unknown or already has one");
                        assert_eq!(
                            status, 200,
                            "status of a poll at {now} s (finished job: {is_finished})"
                        );
                        assert!(
                            now - sent_at < 1.0,
                            "poll took {} s, expected less than 1 s (finished job: {is_finished})",
                            now - sent_at
                        );
                    }
                    Effect::CallKv {
                        correlation_id,
                        request,
                        ..
                    } => in_flight.push_back((now + 0.02, correlation_id, request)),
                    other => panic!("{other:?}"),
                }
            }
        }
        assert!(
            awaiting_response.is_empty(),
            "{} requests without a response",
            awaiting_response.len()
        );
        assert_eq!(
            lookups == 0,
            announced_by_peer,
            "{lookups} lookups with announced_by_peer {announced_by_peer}; expected none if it is true, and at \
             least one otherwise"
        );
    }
}

/// The number of terminal states in memory is bounded. An evicted state is read again from the state service.
#[test]
fn the_terminal_state_cache_is_bounded() {
    let limits = StateServiceLimits {
        rps: 150.0,
        write_rps: 60.0,
        value_kb: 8.0,
        txn_ops: 48,
    };
    let mut job_api = JobApi::new(&limits, 1.0, 1.0);
    let mut effects = Effects::default();
    let record = FinishedRecord {
        outcome: JobOutcome::Done,
        completed_tasks: 1,
    };
    for i in 0..30_000 {
        job_api.on_job_finished(&format!("j-{i}"), record);
    }
    for (id, from_memory) in [("j-29999", true), ("j-0", false)] {
        effects.queue.clear();
        job_api.on_status_request(1, id, &mut effects, 0.0);
        let has_response = matches!(&effects.queue[..], [Effect::Respond { status: 200, .. }]);
        assert_eq!(
            has_response, from_memory,
            "{id}: whether the state was served from memory"
        );
    }
}

/// At the connection limit an idle connection is evicted, but never one that waits for a response.
#[test]
fn connections_are_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no port could be bound");
    let address = listener.local_addr().expect("the listener has no address");
    let mut server = Server::new(3, 60.0, 10.0);
    let mut users = Vec::new();
    let mut first = 0;
    for i in 0..8 {
        let mut user = TcpStream::connect(address).expect("the connection failed");
        let (stream, _) = listener.accept().expect("the connection failed");
        stream
            .set_nonblocking(true)
            .expect("the stream could not be made non-blocking");
        let now = f64::from(i);
        let (id, evicted) = server.accept(stream, now);
        if let Some(old) = evicted {
            assert_ne!(
                old, first,
                "the connection that waits for a response was evicted"
            );
            server.close(old);
        }
        if i == 0 {
            first = id;
            user.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
                .expect("the request could not be sent");
            let mut action = ConnectionAction::Keep;
            while action == ConnectionAction::Keep {
                action = server.on_ready(id, now);
            }
            let ConnectionAction::Serve(request, received) = action else {
                panic!("the server did not receive a complete request");
            };
            assert_eq!(received.path, "/healthz");
            users.push((user, Some(request)));
        } else {
            users.push((user, None));
        }
        assert!(server.len() <= 3);
    }
    let (user, request) = &mut users[0];
    let request = request.expect("the first connection has no request");
    let (id, action, _) = server
        .answer(request, 200, b"", None, 8.0)
        .expect("the connection is not open");
    assert_eq!((id, action), (first, ConnectionAction::Keep));
    let mut bytes = [0; 15];
    user.read_exact(&mut bytes)
        .expect("no response could be read");
    assert_eq!(&bytes, b"HTTP/1.1 200 OK");
    let mut timed_out = server.timed_out(100.0);
    timed_out.sort_unstable();
    assert_eq!(
        timed_out.len(),
        3,
        "number of connections that have timed out"
    );
}

/// A controller may use the part of a shared budget that the others leave unused, but always at least an equal part.
#[test]
fn fair_shares_of_a_budget() {
    let idle = Some(0.0);
    let cases: [(&str, &[Option<f64>], f64); 8] = [
        ("no other controllers", &[], 25.0),
        ("all others are idle", &[idle; 4], 25.0),
        ("the rates of all others are unknown", &[None; 4], 5.0),
        (
            "two others are idle, the rates of two are unknown",
            &[idle, idle, None, None],
            15.0,
        ),
        ("one other is busy", &[Some(12.0), idle, idle, idle], 13.0),
        (
            "one other uses the whole budget",
            &[Some(25.0), idle, idle, idle],
            5.0,
        ),
        ("all others use their equal part", &[Some(5.0); 4], 5.0),
        (
            "invalid rates",
            &[Some(f64::NAN), Some(-3.0), Some(f64::INFINITY), Some(1e9)],
            5.0,
        ),
    ];
    for (name, others, expected) in cases {
        assert_eq!(fair_share_rate(25.0, others), expected, "{name}");
    }
}

/// All submissions arrive at one of five controllers. They are accepted at once while the other controllers are idle.
/// While the rates of the others are unknown, the controller stays within its equal part of the budget.
#[test]
fn submissions_at_one_of_five_controllers() {
    let limits = StateServiceLimits {
        rps: 150.0,
        write_rps: 50.0,
        value_kb: 8.0,
        txn_ops: 40,
    };
    for (name, others, max_writes) in [
        ("the peers are idle", [Some(0.0); 4], 130),
        ("the rates of the peers are unknown", [None; 4], 56),
    ] {
        let mut job_api = JobApi::new(&limits, 0.1, 1.25);
        job_api.set_write_rate(fair_share_rate(25.0, &others), 0.0);
        let mut effects = Effects::default();
        let mut awaiting_response: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut next_id, mut writes, mut slowest_s) = (0u64, 0, 0.0_f64);
        // 12 submissions per second for ten seconds. The state service responds at once.
        for step in 0..500u32 {
            let now = f64::from(step) * 0.02;
            if step % 4 == 0 {
                next_id += 1;
                awaiting_response.insert(next_id, now);
                let job = spec(&format!("j-{next_id}"), 1);
                job_api.on_submit(next_id, job, Ok(()), &mut effects, now);
            }
            job_api.send_due_requests(&mut effects, now);
            for effect in std::mem::take(&mut effects.queue) {
                match effect {
                    Effect::Respond {
                        request_id,
                        status: 201,
                        ..
                    } => {
                        let sent_at = awaiting_response
                            .remove(&request_id)
                            .expect("response to a request that is unknown or already has one");
                        slowest_s = slowest_s.max(now - sent_at);
                    }
                    Effect::CallKv {
                        correlation_id,
                        request,
                        ..
                    } => {
                        let pending = effects.take_kv_request(correlation_id);
                        let Some(KvRequestContext::JobWrites(batch)) =
                            pending.map(|pending| pending.context)
                        else {
                            continue;
                        };
                        let KvRequest::Txn(txn) = &request else {
                            panic!("job writes are not a transaction: {request:?}");
                        };
                        writes += txn.writes.len();
                        job_api.on_writes_completed(
                            batch,
                            KvResponse::Committed(9),
                            &mut effects,
                            now,
                        );
                    }
                    _ => {}
                }
            }
        }
        assert!(
            writes <= max_writes,
            "{name}: {writes} writes sent, expected at most {max_writes}"
        );
        if others[0].is_some() {
            assert!(
                awaiting_response.len() <= 1,
                "{name}: {} submissions without a response, expected at most one",
                awaiting_response.len()
            );
            assert!(
                slowest_s < 0.1,
                "{name}: slowest response after {slowest_s} s, expected less than 0.1 s"
            );
        }
    }
}
