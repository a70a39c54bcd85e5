//! Several times the usual load: answers stay prompt, and every table bounded.

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

/// Submits, polls and cancels at many times what the state service lets a controller do: each gets a
/// final answer soon, a refusal tells when to come back, and the limits are kept.
#[test]
fn prompt_answers() {
    const PATIENCE_S: f64 = 1.0;
    for (name, asks_per_step, write_rps) in [
        ("the usual", 1, 60.0),
        ("ten times as much", 10, 60.0),
        ("a flood", 100, 20.0),
    ] {
        let limits = StateServiceLimits {
            rps: 150.0,
            write_rps,
            value_kb: 8.0,
            txn_ops: 48,
        };
        let mut frontend = JobApi::new(&limits, 1.0, PATIENCE_S);
        let mut out = Effects::default();
        let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut next, mut calls, mut changes, mut accepted) = (1, 0, 0, 0);
        for step in 0..100 {
            let now = f64::from(step) * 0.05;
            if step < 60 {
                for _ in 0..asks_per_step {
                    let id = format!("j-{next}");
                    asked.insert(next, now);
                    match next % 4 {
                        0 => frontend.on_status_request(next, &id, &mut out, now),
                        1 => frontend.on_cancel(next, "j-2", &mut out, now),
                        _ => frontend.on_submit(next, spec(&id, 5), Ok(()), &mut out, now),
                    }
                    next += 1;
                }
            }
            frontend.send_due_requests(&mut out, now);
            for _ in 0..10 {
                for action in std::mem::take(&mut out.queue) {
                    match action {
                        Effect::Respond {
                            request_id: to,
                            status,
                            retry_after_s,
                            ..
                        } => {
                            let since = asked.remove(&to).expect("asked once");
                            assert!(now - since <= 2.0 * PATIENCE_S, "{name}: held back");
                            let refused = status == 503 || status == 429;
                            assert_eq!(retry_after_s.is_some(), refused, "{name}");
                            accepted += u32::from(status == 201);
                        }
                        Effect::CallKv {
                            correlation_id,
                            request: call,
                            ..
                        } => {
                            calls += 1;
                            let ask = out.take_kv_request(correlation_id).expect("a call").context;
                            if let KvRequest::Txn(txn) = &call {
                                assert!(txn.writes.len() <= limits.txn_ops, "{name}");
                                changes += txn.writes.len();
                            }
                            match ask {
                                KvRequestContext::RevisionCheck(call) => {
                                    frontend.on_revision_check_completed(
                                        call,
                                        KvResponse::Committed(9),
                                        &mut out,
                                        now,
                                    );
                                }
                                KvRequestContext::JobWrites(call) => {
                                    frontend.on_writes_completed(
                                        call,
                                        KvResponse::Committed(9),
                                        &mut out,
                                        now,
                                    );
                                }
                                KvRequestContext::JobLookup(id) => {
                                    frontend.on_lookup_completed(
                                        &id,
                                        KvResponse::NotFound,
                                        &mut out,
                                        now,
                                    );
                                }
                                other => panic!("{name}: {other:?}"),
                            }
                        }
                        other => panic!("{name}: {other:?}"),
                    }
                }
            }
        }
        assert!(asked.is_empty(), "{name}: {} without answer", asked.len());
        assert!(accepted > 20, "{name}: {accepted} accepted");
        // Five seconds and a burst, and a last transaction that may lead into debt.
        assert!(
            f64::from(calls) <= 7.0 * limits.rps,
            "{name}: {calls} calls"
        );
        assert!(
            changes as f64 <= 7.0 * write_rps,
            "{name}: {changes} changes"
        );
    }
}

/// A controller that all users ask answers for jobs that have ended too: looks are not starved by the
/// comparisons for those that are open. What a peer has told needs no look.
#[test]
fn ended_jobs_beside_many_polls() {
    let limits = StateServiceLimits {
        rps: 300.0,
        write_rps: 100.0,
        value_kb: 8.0,
        txn_ops: 40,
    };
    for told in [false, true] {
        let mut frontend = JobApi::new(&limits, 0.1, 2.5);
        let mut out = Effects::default();
        for i in 0..600 {
            frontend.on_job_opened(1, spec(&format!("j-{i}"), 5));
        }
        let over = |id: &str| id[2..].parse::<u32>().expect("a number") >= 600;
        let mut asked: BTreeMap<u64, (f64, bool)> = BTreeMap::new();
        let mut back: std::collections::VecDeque<(f64, u64, KvRequest)> = Default::default();
        let (mut next, mut looks, mut ended) = (0u64, 0, 600);
        for step in 0..1_200u32 {
            let now = f64::from(step) * 0.01;
            if step < 1_000 {
                // Some 150 polls a second for open jobs, and three for ended ones, new ones each time.
                let mut ids = vec![format!("j-{}", (next * 7) % 600)];
                if step % 2 == 0 {
                    ids.push(format!("j-{}", (next * 11) % 600));
                }
                if step % 33 == 0 {
                    ids.push(format!("j-{ended}"));
                    if told {
                        frontend.on_peer_terminations(&[Termination {
                            job: format!("j-{ended}"),
                            aborted: false,
                            done: 5,
                        }]);
                    }
                    ended += 1;
                }
                for id in ids {
                    next += 1;
                    asked.insert(next, (now, over(&id)));
                    frontend.on_status_request(next, &id, &mut out, now);
                }
            }
            while back.front().is_some_and(|(at, ..)| *at <= now) {
                let (_, correlation_id, call) = back.pop_front().expect("a call");
                let ask = out.take_kv_request(correlation_id).expect("a call").context;
                match (ask, call) {
                    (KvRequestContext::RevisionCheck(check), KvRequest::Txn(txn)) => {
                        let failed: Vec<String> = txn
                            .compares
                            .iter()
                            .filter(|c| c.key.strip_prefix("over/").is_some_and(over))
                            .map(|c| c.key.clone())
                            .collect();
                        let reply = if failed.is_empty() {
                            KvResponse::Committed(9)
                        } else {
                            KvResponse::CompareFailed(failed)
                        };
                        frontend.on_revision_check_completed(check, reply, &mut out, now);
                    }
                    (KvRequestContext::JobLookup(id), KvRequest::Get(key)) => {
                        looks += 1;
                        let reply = if key.starts_with("over/") {
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
                        frontend.on_lookup_completed(&id, reply, &mut out, now);
                    }
                    other => panic!("{other:?}"),
                }
            }
            frontend.send_due_requests(&mut out, now);
            for action in std::mem::take(&mut out.queue) {
                match action {
                    Effect::Respond {
                        request_id: to,
                        status,
                        ..
                    } => {
                        let (since, over) = asked.remove(&to).expect("asked once");
                        assert_eq!(status, 200, "over: {over}, at {now}");
                        assert!(now - since < 1.0, "{} s, over: {over}", now - since);
                    }
                    Effect::CallKv {
                        correlation_id,
                        request: call,
                        ..
                    } => back.push_back((now + 0.02, correlation_id, call)),
                    other => panic!("{other:?}"),
                }
            }
        }
        assert!(asked.is_empty(), "{} without answer", asked.len());
        assert_eq!(looks == 0, told, "{looks} looks");
    }
}

/// Final states are kept in memory up to a bound; older ones are looked up again.
#[test]
fn final_states_are_bounded() {
    let limits = StateServiceLimits {
        rps: 150.0,
        write_rps: 60.0,
        value_kb: 8.0,
        txn_ops: 48,
    };
    let mut frontend = JobApi::new(&limits, 1.0, 1.0);
    let mut out = Effects::default();
    let record = FinishedRecord {
        outcome: JobOutcome::Done,
        completed_tasks: 1,
    };
    for i in 0..30_000 {
        frontend.on_job_finished(&format!("j-{i}"), record);
    }
    for (id, from_memory) in [("j-29999", true), ("j-0", false)] {
        out.queue.clear();
        frontend.on_status_request(1, id, &mut out, 0.0);
        let answered = matches!(&out.queue[..], [Effect::Respond { status: 200, .. }]);
        assert_eq!(answered, from_memory, "{id}");
    }
}

/// More connections than allowed: idle ones go first, and one that waits for its answer is kept.
#[test]
fn connections_are_bounded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let mut server = Server::new(3, 60.0, 10.0);
    let mut users = Vec::new();
    let mut first = 0;
    for i in 0..8 {
        let mut user = TcpStream::connect(address).expect("a connection");
        let (stream, _) = listener.accept().expect("a connection");
        stream.set_nonblocking(true).expect("non-blocking");
        let now = f64::from(i);
        let (id, evicted) = server.accept(stream, now);
        if let Some(old) = evicted {
            assert_ne!(old, first, "it waits for its answer");
            server.close(old);
        }
        if i == 0 {
            first = id;
            user.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
                .expect("sent");
            let mut after = ConnectionAction::Keep;
            while after == ConnectionAction::Keep {
                after = server.on_ready(id, now);
            }
            let ConnectionAction::Serve(request, got) = after else {
                panic!("a request");
            };
            assert_eq!(got.path, "/healthz");
            users.push((user, Some(request)));
        } else {
            users.push((user, None));
        }
        assert!(server.len() <= 3);
    }
    let (user, request) = &mut users[0];
    let request = request.expect("it waits");
    let (id, after, _) = server
        .answer(request, 200, b"", None, 8.0)
        .expect("it is there");
    assert_eq!((id, after), (first, ConnectionAction::Keep));
    let mut bytes = [0; 15];
    user.read_exact(&mut bytes).expect("an answer");
    assert_eq!(&bytes, b"HTTP/1.1 200 OK");
    let mut overdue = server.timed_out(100.0);
    overdue.sort_unstable();
    assert_eq!(overdue.len(), 3, "all are idle for too long");
}

/// What a controller may use of a budget that all share: what the others leave, and its equal part at least.
#[test]
fn shares_of_a_budget() {
    let idle = Some(0.0);
    let cases: [(&str, &[Option<f64>], f64); 8] = [
        ("alone", &[], 25.0),
        ("all others are idle", &[idle; 4], 25.0),
        ("none was heard", &[None; 4], 5.0),
        (
            "two were heard, and are idle",
            &[idle, idle, None, None],
            15.0,
        ),
        ("one is busy", &[Some(12.0), idle, idle, idle], 13.0),
        ("one uses all", &[Some(25.0), idle, idle, idle], 5.0),
        ("all use their part", &[Some(5.0); 4], 5.0),
        (
            "nonsense",
            &[Some(f64::NAN), Some(-3.0), Some(f64::INFINITY), Some(1e9)],
            5.0,
        ),
    ];
    for (name, others, expected) in cases {
        assert_eq!(fair_share_rate(25.0, others), expected, "{name}");
    }
}

/// Many small jobs submitted at one of five controllers are accepted at once while the other controllers are idle,
/// and no faster than the controller's equal part while it hears nothing of them.
#[test]
fn submissions_at_one_of_many_nodes() {
    let limits = StateServiceLimits {
        rps: 150.0,
        write_rps: 50.0,
        value_kb: 8.0,
        txn_ops: 40,
    };
    for (name, others, most_changes) in [
        ("idle peers", [Some(0.0); 4], 130),
        ("unheard peers", [None; 4], 56),
    ] {
        let mut frontend = JobApi::new(&limits, 0.1, 1.25);
        frontend.set_write_rate(fair_share_rate(25.0, &others), 0.0);
        let mut out = Effects::default();
        let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut next, mut changes, mut slowest_s) = (0u64, 0, 0.0_f64);
        // 12 submissions a second for ten seconds; the state service answers at once.
        for step in 0..500u32 {
            let now = f64::from(step) * 0.02;
            if step % 4 == 0 {
                next += 1;
                asked.insert(next, now);
                let job = spec(&format!("j-{next}"), 1);
                frontend.on_submit(next, job, Ok(()), &mut out, now);
            }
            frontend.send_due_requests(&mut out, now);
            for action in std::mem::take(&mut out.queue) {
                match action {
                    Effect::Respond {
                        request_id: to,
                        status: 201,
                        ..
                    } => {
                        let since = asked.remove(&to).expect("asked for");
                        slowest_s = slowest_s.max(now - since);
                    }
                    Effect::CallKv {
                        correlation_id,
                        request: call,
                        ..
                    } => {
                        let pending = out.take_kv_request(correlation_id);
                        let Some(KvRequestContext::JobWrites(number)) =
                            pending.map(|pending| pending.context)
                        else {
                            continue;
                        };
                        let KvRequest::Txn(txn) = &call else {
                            panic!("{call:?}");
                        };
                        changes += txn.writes.len();
                        frontend.on_writes_completed(
                            number,
                            KvResponse::Committed(9),
                            &mut out,
                            now,
                        );
                    }
                    _ => {}
                }
            }
        }
        assert!(changes <= most_changes, "{name}: {changes} changes");
        if others[0].is_some() {
            assert!(asked.len() <= 1, "{name}: {} wait", asked.len());
            assert!(slowest_s < 0.1, "{name}: {slowest_s} s");
        }
    }
}
