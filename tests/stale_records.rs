//! What is known of a job never goes back: a record that is older than the end of the job opens it no more.
//!
//! A controller learns of a job's end from its own transaction, from a peer or from a compare that fails, often long
//! before the watch shows it. A listing in pages that began before that end, or the late response to the controller's
//! own submission, then still holds the job's record. Such a record opened the job again in the leader's tables, with
//! no task bound or complete: all tasks counted as waiting, urgent ones preempted other work, instances were rented
//! for them, and the end of a binding that was left took one off a count of zero running tasks.
//!
//! What showed the cause is the log of the storm in `tests/determinism.rs` (seed 2, controller 2 leads):
//!
//! ```text
//! c0 68.543 job cancelled j-000105 mod_revision=144
//! c2 68.552 termination received from a peer j-000105 aborted=true
//! c2 68.552 job ended: tasks evicted j-000105 mod_revision=51 bound=3
//! c2 68.738 open jobs listed revision=141 jobs=13
//! c2 68.738 job opened j-000105 mod_revision=51
//! c2 68.746 commit applied mod_revision=147          (ends the binding of j-000105/1, and panics)
//! ```

mod common;
mod harness;

use cedarladder::bookkeeping::records;
use cedarladder::protocol::job::JobStatus;
use cedarladder::protocol::worker::{CommandKind, ExitReason};
use harness::{Harness, HeldResponses};

/// Fills half of the worker.
const ENDED: &str = "j-000001";
/// Fills the other half, and goes on.
const STEADY: &str = "j-000002";
/// Takes the room of the ended job.
const NEXT: &str = "j-000003";
const TASKS: u32 = 2;

/// How a job ends, and how the controller learns of it while its watch shows nothing.
type End = (&'static str, fn(&mut Harness));

const ENDS: [End; 4] = [
    ("its last task completes", |harness| {
        harness.exit_tasks(ENDED, ExitReason::Completed);
        harness.send_worker_heartbeat();
        harness.run_for(0.3);
    }),
    ("cancelled here", |harness| {
        let request = harness.cancel(ENDED);
        harness.run_until("the cancellation", |harness| {
            harness.answer(request).is_some()
        });
    }),
    ("cancelled through another controller", |harness| {
        harness.cancel_through_other_controller(ENDED);
        harness.receive_cancellation_from_peer(ENDED);
    }),
    ("a compare that fails", |harness| {
        harness.cancel_through_other_controller(ENDED);
        harness.exit_tasks(ENDED, ExitReason::Completed);
        harness.send_worker_heartbeat();
        harness.run_for(0.3);
    }),
];

/// A leader with a worker.
fn leading() -> Harness {
    let mut harness = Harness::default();
    harness.run_until("an election", Harness::is_leader);
    harness
}

/// Submits a job that goes first, or one that does not.
type Submit = fn(&mut Harness, &str, u32) -> u64;

/// Both jobs run, and of a listing in pages the first page has come, which holds the job that is to end.
fn half_listed(submit: Submit) -> Harness {
    let mut harness = leading();
    submit(&mut harness, ENDED, TASKS);
    harness.submit(STEADY, TASKS);
    for id in [ENDED, STEADY] {
        harness.run_until("its start", |harness| {
            harness.running_tasks(id) == TASKS as usize
        });
    }
    harness.run_for(1.0);
    harness.hold(HeldResponses::LaterPages);
    harness.compact_next_watch = true;
    harness.run_until("a listing", |harness| {
        harness.is_holding(HeldResponses::LaterPages)
    });
    harness
}

/// The listing completes, and the watch that follows it is slow.
fn complete_listing(harness: &mut Harness) {
    harness.clear_sent();
    harness.hold(HeldResponses::OpenJobWatches);
    harness.release(HeldResponses::LaterPages);
}

fn is_ended(harness: &Harness) -> bool {
    let open_key = records::open_key(ENDED);
    !matches!(
        harness.store.get(&open_key),
        cedarladder::protocol::kv::KvResponse::Value(_)
    )
}

/// What the leader does for a job that has ended, in words.
fn revived(harness: &mut Harness) -> Vec<String> {
    let mut found = Vec::new();
    if harness
        .broadcast_counts
        .iter()
        .any(|counts| counts.job == ENDED)
    {
        found.push("the peers are told its counts".to_owned());
    }
    let open_key = records::open_key(ENDED);
    let bindings = harness
        .sent
        .transactions
        .iter()
        .filter(|(txn, committed)| {
            !committed
                && txn
                    .compares
                    .iter()
                    .any(|compare| compare.key == open_key && compare.mod_revision > 0)
        })
        .count();
    if bindings > 0 {
        found.push(format!("{bindings} rejected transactions"));
    }
    if harness.sent.instances_requested > 0 {
        let instances = harness.sent.instances_requested;
        found.push(format!("{instances} instances requested"));
    }
    let stops = harness
        .sent
        .commands
        .iter()
        .filter(|command| command.kind == CommandKind::Stop && !command.task.starts_with(ENDED))
        .count();
    if stops > 0 {
        found.push(format!("{stops} tasks of other jobs stopped"));
    }
    let view = harness.view(ENDED);
    if !matches!(view.status, JobStatus::Done | JobStatus::Aborted) || view.running > 0 {
        found.push(format!("its user is told {view:?}"));
    }
    found
}

/// What each way to end leads to; only those are kept that lead to anything.
fn findings(ends: &[End], play: impl Fn(&End) -> Vec<String>) -> Vec<(&'static str, Vec<String>)> {
    let found = ends.iter().map(|end| (end.0, play(end)));
    found.filter(|(_, found)| !found.is_empty()).collect()
}

#[test]
fn a_listing_begun_before_the_end_opens_no_job() {
    let found = findings(&ENDS, |end| {
        let mut harness = half_listed(Harness::submit);
        end.1(&mut harness);
        assert!(is_ended(&harness), "{}: it has ended", end.0);
        complete_listing(&mut harness);
        harness.run_for(3.0);
        let mut found = revived(&mut harness);
        harness.release(HeldResponses::OpenJobWatches);
        harness.run_for(1.0);
        harness.clear_sent();
        harness.run_for(3.0);
        found.extend(revived(&mut harness));
        assert_eq!(harness.running_tasks(ENDED), 0, "{}", end.0);
        assert_eq!(harness.running_tasks(STEADY), TASKS as usize, "{}", end.0);
        found
    });
    assert_eq!(found, []);
}

/// The tasks of the ended job are still on a worker that can't be reached when the listing completes. It is back, and
/// the ends of their bindings are committed, before the watch shows the end of the job.
#[test]
fn a_binding_that_outlasts_its_job_is_taken_off_no_count() {
    let found = findings(&ENDS[1..3], |end| {
        let mut harness = half_listed(Harness::submit);
        harness.disconnect_worker();
        end.1(&mut harness);
        complete_listing(&mut harness);
        harness.run_for(0.2);
        assert_eq!(harness.running_tasks(ENDED), TASKS as usize, "{}", end.0);
        harness.reconnect_worker();
        harness.run_for(2.0);
        assert_eq!(harness.running_tasks(ENDED), 0, "{}", end.0);
        let counts = harness
            .broadcast_counts
            .iter()
            .find(|counts| counts.job == STEADY);
        assert_eq!(
            counts.map(|counts| counts.running),
            Some(TASKS),
            "{}",
            end.0
        );
        revived(&mut harness)
    });
    assert_eq!(found, []);
}

/// Tasks of an urgent job that has ended take no room from those of others.
#[test]
fn an_ended_job_that_is_listed_preempts_nothing() {
    let found = findings(&ENDS, |end| {
        let mut harness = half_listed(Harness::submit_urgent);
        end.1(&mut harness);
        harness.submit(NEXT, TASKS);
        harness.run_until("its start", |harness| {
            harness.running_tasks(NEXT) == TASKS as usize
        });
        complete_listing(&mut harness);
        harness.run_for(3.0);
        revived(&mut harness)
    });
    assert_eq!(found, []);
}

/// The response to the submission comes after the watch has shown the job, and after its end.
#[test]
fn a_late_response_to_a_submission_opens_no_job() {
    let ends: [End; 3] = [
        ("cancelled through another controller", |harness| {
            harness.cancel_through_other_controller(ENDED);
            harness.run_for(0.1);
        }),
        (
            "cancelled through another controller, told by it",
            |harness| {
                harness.hold(HeldResponses::OpenJobWatches);
                harness.cancel_through_other_controller(ENDED);
                harness.receive_cancellation_from_peer(ENDED);
            },
        ),
        ("cancelled here", |harness| {
            let request = harness.cancel(ENDED);
            harness.run_until("the cancellation", |harness| {
                harness.answer(request).is_some()
            });
        }),
    ];
    let found = findings(&ends, |(name, end)| {
        let mut harness = leading();
        harness.submit(STEADY, 2 * TASKS);
        harness.run_until("its start", |harness| harness.running_tasks(STEADY) == 4);
        harness.hold(HeldResponses::Submissions);
        let submission = harness.submit(ENDED, TASKS);
        harness.run_for(0.2);
        assert!(harness.is_holding(HeldResponses::Submissions), "{name}");
        end(&mut harness);
        assert!(is_ended(&harness), "{name}: it has ended");
        harness.clear_sent();
        harness.release(HeldResponses::Submissions);
        harness.release(HeldResponses::OpenJobWatches);
        harness.run_for(8.0);
        let told = harness.answer(submission).map(|(status, _)| status);
        assert!(matches!(told, Some(200 | 201)), "{name}: {told:?}");
        revived(&mut harness)
    });
    assert_eq!(found, []);
}
