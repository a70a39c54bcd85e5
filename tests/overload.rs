//! Several times the usual load: answers stay prompt, and every table bounded.

mod common;

use cedarladder::bookkeeping::records::{Ending, OverRecord};
use cedarladder::coordination::desk::Desk;
use cedarladder::coordination::outbox::{Action, Outbox, StoreAsk};
use cedarladder::protocol::state::{StoreCall, StoreReply};
use cedarladder::settings::StateLimits;
use cedarladder::transport::server::{After, Server};
use common::spec;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// Submits, polls and cancels at many times what the state service lets a node do: each gets a
/// final answer soon, a refusal tells when to come back, and the limits are kept.
#[test]
fn prompt_answers() {
    const PATIENCE_S: f64 = 1.0;
    for (name, asks_per_step, write_rps) in [
        ("the usual", 1, 60.0),
        ("ten times as much", 10, 60.0),
        ("a flood", 100, 20.0),
    ] {
        let limits = StateLimits {
            rps: 150.0,
            write_rps,
            value_kb: 8.0,
            txn_ops: 48,
        };
        let mut desk = Desk::new(&limits, 1.0, PATIENCE_S);
        let mut out = Outbox::default();
        let mut asked: BTreeMap<u64, f64> = BTreeMap::new();
        let (mut next, mut calls, mut changes, mut accepted) = (1, 0, 0, 0);
        for step in 0..100 {
            let now = f64::from(step) * 0.05;
            if step < 60 {
                for _ in 0..asks_per_step {
                    let id = format!("j-{next}");
                    asked.insert(next, now);
                    match next % 4 {
                        0 => desk.poll(next, &id, &mut out, now),
                        1 => desk.cancel(next, "j-2", &mut out, now),
                        _ => desk.submit(next, spec(&id, 5), None, &mut out, now),
                    }
                    next += 1;
                }
            }
            desk.drive(&mut out, now);
            for _ in 0..10 {
                for action in std::mem::take(&mut out.actions) {
                    match action {
                        Action::Answer {
                            to,
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
                        Action::Store { tag, call, .. } => {
                            calls += 1;
                            let (ask, _) = out.store_ask(tag).expect("a call");
                            if let StoreCall::Txn(txn) = &call {
                                assert!(txn.writes.len() <= limits.txn_ops, "{name}");
                                changes += txn.writes.len();
                            }
                            match ask {
                                StoreAsk::Check(call) => {
                                    desk.checked(call, StoreReply::Committed(9), &mut out, now);
                                }
                                StoreAsk::Write(call) => {
                                    desk.written(call, StoreReply::Committed(9), &mut out, now);
                                }
                                StoreAsk::Look(id) => {
                                    desk.looked(&id, StoreReply::Missing, &mut out, now);
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

/// Final states are kept in memory up to a bound; older ones are looked up again.
#[test]
fn final_states_are_bounded() {
    let limits = StateLimits {
        rps: 150.0,
        write_rps: 60.0,
        value_kb: 8.0,
        txn_ops: 48,
    };
    let mut desk = Desk::new(&limits, 1.0, 1.0);
    let mut out = Outbox::default();
    let record = OverRecord {
        ending: Ending::Done,
        done: 1,
    };
    for i in 0..30_000 {
        desk.note_over(&format!("j-{i}"), record);
    }
    for (id, from_memory) in [("j-29999", true), ("j-0", false)] {
        out.actions.clear();
        desk.poll(1, id, &mut out, 0.0);
        let answered = matches!(&out.actions[..], [Action::Answer { status: 200, .. }]);
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
            let mut after = After::Keep;
            while after == After::Keep {
                after = server.ready(id, now);
            }
            let After::Serve(request, got) = after else {
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
    assert_eq!((id, after), (first, After::Keep));
    let mut bytes = [0; 15];
    user.read_exact(&mut bytes).expect("an answer");
    assert_eq!(&bytes, b"HTTP/1.1 200 OK");
    let mut overdue = server.overdue(100.0);
    overdue.sort_unstable();
    assert_eq!(overdue.len(), 3, "all are idle for too long");
}
