//! A machine that restarts at once and has forgotten its incarnations begins at 1 again, which PROTOCOL does not
//! know. What is known of its first life must not pass for news of the second.
//!
//! Storms of the digest broke `ran_twice` and `quota` with it. A heartbeat of the first life was late, and by its
//! incarnation or sequence newer than all of the second: the leader took the second life's tasks for lost and started
//! them elsewhere. Its token gave it away, which is the highest that a worker has seen and never sinks. In another the
//! leader counted the lease of the second life from the last heartbeat that it had answered in the first.
//!
//! The storms are in `tests/digest_regressions.rs`. What showed the cause, seed 292 of `examples/digest.rs` (heartbeats of host-000013, taken by the leader c2):
//!
//! ```text
//!  98.201 the machine restarts, incarnation 3 -> 1
//! 110.051 Request incarnation=1 sequence=48 token=167.1 tasks=4
//! 111.355 Request incarnation=3 sequence=9  token=121.0 tasks=0   (a late copy)
//! 111.355 binding lost j-000126/0 ...
//! 111.664 broken: j-000126/0 starts on host-000015 while on host-000013
//! ```
//!
//! and seed 332 (host-000010; the second life began at 79.510, and its lease ran until 90.2):
//!
//! ```text
//! 78.894 DirectAnswer incarnation=1 sequence=4 token=140.0 tasks=4 lease from 78.715
//! 87.658 DirectAnswer incarnation=1 sequence=6 token=140.0 tasks=0 lease from 78.894
//! 89.331 worker lease expired; binding lost j-000008/0 ...
//! 89.548 broken: j-000008/0 starts on host-000011 while on host-000010
//! ```

mod common;
mod harness;

use cedarladder::bookkeeping::records;
use cedarladder::protocol::kv::WriteOp;
use cedarladder::protocol::token::FencingToken;
use harness::Harness;

/// `lease_s` of the settings.
const LEASE_S: f64 = 10.0;
const JOB: &str = "j-000001";
const OTHER_JOB: &str = "j-000002";
const TASKS: u32 = 2;

/// A leader whose worker runs a job.
fn running() -> Harness {
    let mut harness = Harness::default();
    harness.run_until("an election", Harness::is_leader);
    harness.submit(JOB, TASKS);
    harness.run_until("its start", |harness| {
        harness.running_tasks(JOB) == TASKS as usize
    });
    harness.run_for(1.0);
    harness.clear_sent();
    harness
}

/// Transactions of the log: here the leader has nothing to write but ends of bindings.
fn bindings_ended(harness: &Harness) -> usize {
    let is_log = |write: &WriteOp| matches!(write, WriteOp::Put { key, .. } if key.starts_with(records::LOG_PREFIX));
    let transactions = harness.sent.transactions.iter();
    transactions
        .filter(|(txn, _)| txn.writes.iter().any(is_log))
        .count()
}

#[test]
fn a_heartbeat_with_a_lower_token_changes_nothing() {
    // The leader's epoch here is 1, the lowest that there is.
    let lower = FencingToken::default();
    // Each: by what the late heartbeat of the former life seems to be newer.
    type Case = (&'static str, fn(&Harness) -> (u64, u64));
    let cases: [Case; 3] = [
        ("its incarnation", |_| (3, 9)),
        ("its sequence", |harness| (1, harness.sequence() + 50)),
        ("both", |harness| (2, harness.sequence() + 50)),
    ];
    for (name, numbers) in cases {
        let mut harness = running();
        let (incarnation, sequence) = numbers(&harness);
        harness.send_stale_heartbeat(incarnation, sequence, lower);
        harness.run_for(3.0);
        assert_eq!(bindings_ended(&harness), 0, "{name}");
        let counts = harness
            .broadcast_counts
            .iter()
            .find(|counts| counts.job == JOB);
        assert_eq!(counts.map(|counts| counts.running), Some(TASKS), "{name}");
        assert_eq!(harness.running_tasks(JOB), TASKS as usize, "{name}");
    }
}

/// A machine that has restarted is heard again once it has learnt the token.
#[test]
fn a_restarted_machine_is_heard_again() {
    let mut harness = running();
    harness.restart_worker();
    harness.run_for(3.0);
    assert_eq!(harness.running_tasks(JOB), TASKS as usize, "started again");
    harness.clear_sent();
    harness.run_for(2.0 * LEASE_S);
    assert_eq!(bindings_ended(&harness), 0, "its lease is renewed");
}

/// Tasks that are gone without an exit show that the machine began anew, after the last heartbeat that was answered.
#[test]
fn the_lease_of_a_restarted_machine_counts_from_when_that_shows() {
    let mut harness = running();
    harness.stop_worker_heartbeats();
    harness.run_for(0.8 * LEASE_S);
    harness.restart_worker();
    // A start is sent directly, and its response shows what is on the machine.
    harness.submit(OTHER_JOB, 1);
    harness.run_until("started again", |harness| {
        harness.running_tasks(JOB) == TASKS as usize && harness.running_tasks(OTHER_JOB) == 1
    });
    harness.clear_sent();
    harness.run_for(0.8 * LEASE_S);
    assert_eq!(
        bindings_ended(&harness),
        0,
        "within the second life's lease"
    );
    harness.run_for(0.5 * LEASE_S);
    assert!(
        bindings_ended(&harness) > 0,
        "the second life's lease is over"
    );
}

/// A call for an incarnation that the machine has forgotten is rejected each time, and its answer teaches nothing: it
/// was made again at each tick, twenty times a second (seed 292, host-000013, 98.3 to 103.7 s).
#[test]
fn a_call_that_is_always_rejected_is_not_made_at_each_tick() {
    let mut harness = Harness::default();
    harness.expire_worker_lease();
    harness.run_until("an election", Harness::is_leader);
    harness.submit(JOB, TASKS);
    harness.run_until("tasks in the second incarnation", |harness| {
        harness.running_tasks(JOB) == TASKS as usize
    });
    harness.run_for(1.0);
    harness.stop_worker_heartbeats();
    harness.forget_incarnations();
    harness.run_for(3.0);
    harness.clear_sent();
    harness.run_for(2.0);
    let calls = harness.sent.worker_calls;
    assert!((1..=4).contains(&calls), "{calls} calls in two seconds");
}

/// The answer that shows a new incarnation is followed by the next call at once.
#[test]
fn a_rejection_that_shows_a_new_incarnation_is_followed_at_once() {
    let mut harness = running();
    harness.stop_worker_heartbeats();
    harness.expire_worker_lease();
    harness.submit(OTHER_JOB, 1);
    harness.run_for(0.5);
    assert_eq!(harness.running_tasks(OTHER_JOB), 1);
}
