//! A record that is older than the end of its job must not reopen the job.
//!
//! A controller learns that a job has ended from its own transaction, from a peer or from a failed comparison, often
//! long before the watch returns the deletion. A paged listing that began before the end, or a late response to the
//! controller's own submission, still contains the record of the open job. In an earlier version such a record reopened
//! the job in the leader's tables, with none of its tasks bound or completed. All its tasks counted as pending, urgent
//! ones preempted other tasks, and instances were provisioned for them. When a remaining binding of the job ended, the
//! number of running tasks was decremented below zero, which panicked.
//!
//! Log of such a failure, from the simulation in `tests/determinism.rs` (seed 2, controller 2 leads):
//!
//! ```text
//! c0 68.543 job cancelled j-000105 mod_revision=144
//! c2 68.552 termination received from a peer j-000105 aborted=true
//! c2 68.552 job ended: tasks evicted j-000105 mod_revision=51 bound=3
//! c2 68.738 open jobs listed revision=141 jobs=13
//! c2 68.738 job opened j-000105 mod_revision=51
//! c2 68.746 commit applied mod_revision=147          (ends the binding of j-000105/1 and panics)
//! ```

mod common;
mod harness;

use cedarladder::bookkeeping::records;
use cedarladder::protocol::job::JobStatus;
use cedarladder::protocol::worker::{CommandKind, ExitReason};
use harness::{Harness, HeldResponses};

/// The job that ends. It uses half of the worker.
const ENDED_JOB: &str = "j-000001";
/// A job that uses the other half of the worker and keeps running.
const RUNNING_JOB: &str = "j-000002";
/// A job that takes the place of the ended job on the worker.
const LATER_JOB: &str = "j-000003";
const TASKS: u32 = 2;

/// A way in which the job ends and the controller learns of it before its watch does: a name and the steps.
type JobEnd = (&'static str, fn(&mut Harness));

const JOB_ENDS: [JobEnd; 4] = [
    ("its last task completes", |harness| {
        harness.exit_tasks(ENDED_JOB, ExitReason::Completed);
        harness.send_worker_heartbeat();
        harness.run_for(0.3);
    }),
    ("cancelled through this controller", |harness| {
        let request = harness.cancel(ENDED_JOB);
        harness.run_until("the cancellation", |harness| {
            harness.answer(request).is_some()
        });
    }),
    ("cancelled through another controller", |harness| {
        harness.cancel_through_other_controller(ENDED_JOB);
        harness.receive_cancellation_from_peer(ENDED_JOB);
    }),
    ("a comparison fails", |harness| {
        harness.cancel_through_other_controller(ENDED_JOB);
        harness.exit_tasks(ENDED_JOB, ExitReason::Completed);
        harness.send_worker_heartbeat();
        harness.run_for(0.3);
    }),
];

/// Creates a controller that leads and has one worker.
fn leading_harness() -> Harness {
    let mut harness = Harness::default();
    harness.run_until("an election", Harness::is_leader);
    harness
}

/// Submits an urgent or a normal job: [`Harness::submit_urgent`] or [`Harness::submit`].
type Submit = fn(&mut Harness, &str, u32) -> u64;

/// Creates a leader with both jobs running. A paged listing has begun, and its first page, which contains the job that
/// is going to end, has arrived. The responses with the later pages are delayed.
fn harness_with_partial_listing(submit: Submit) -> Harness {
    let mut harness = leading_harness();
    submit(&mut harness, ENDED_JOB, TASKS);
    harness.submit(RUNNING_JOB, TASKS);
    for id in [ENDED_JOB, RUNNING_JOB] {
        harness.run_until("the start of the job", |harness| {
            harness.running_tasks(id) == TASKS as usize
        });
    }
    harness.run_for(1.0);
    harness.hold(HeldResponses::LaterPages);
    harness.compact_next_watch = true;
    harness.run_until("the second page of a listing", |harness| {
        harness.is_holding(HeldResponses::LaterPages)
    });
    harness
}

/// Completes the listing. The responses to the following watch requests on the open jobs are delayed.
fn complete_listing(harness: &mut Harness) {
    harness.clear_sent();
    harness.hold(HeldResponses::OpenJobWatches);
    harness.release(HeldResponses::LaterPages);
}

/// Whether the `open/` key of the job is gone from the state service.
fn is_ended(harness: &Harness) -> bool {
    let open_key = records::open_key(ENDED_JOB);
    !matches!(
        harness.store.get(&open_key),
        cedarladder::protocol::kv::KvResponse::Value(_)
    )
}

/// Lists the signs that the controller treats the ended job as open, as texts for the failure message.
fn signs_of_reopening(harness: &mut Harness) -> Vec<String> {
    let mut found = Vec::new();
    if harness
        .broadcast_counts
        .iter()
        .any(|counts| counts.job == ENDED_JOB)
    {
        found.push("its counts are sent to the peers".to_owned());
    }
    let open_key = records::open_key(ENDED_JOB);
    let rejected = harness
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
    if rejected > 0 {
        found.push(format!("{rejected} rejected transactions"));
    }
    if harness.sent.instances_requested > 0 {
        let instances = harness.sent.instances_requested;
        found.push(format!("{instances} instances requested"));
    }
    let stops = harness
        .sent
        .commands
        .iter()
        .filter(|command| command.kind == CommandKind::Stop && !command.task.starts_with(ENDED_JOB))
        .count();
    if stops > 0 {
        found.push(format!("{stops} tasks of other jobs stopped"));
    }
    let view = harness.view(ENDED_JOB);
    if !matches!(view.status, JobStatus::Done | JobStatus::Aborted) || view.running > 0 {
        found.push(format!("users see {view:?}"));
    }
    found
}

/// Runs a test case for each way in which the job ends. Returns the names of the failing ones with their signs of a
/// reopened job.
fn failing_cases(
    ends: &[JobEnd],
    run: impl Fn(&JobEnd) -> Vec<String>,
) -> Vec<(&'static str, Vec<String>)> {
    let found = ends.iter().map(|end| (end.0, run(end)));
    found.filter(|(_, found)| !found.is_empty()).collect()
}

#[test]
fn a_listing_begun_before_the_end_does_not_reopen_the_job() {
    let failing = failing_cases(&JOB_ENDS, |end| {
        let mut harness = harness_with_partial_listing(Harness::submit);
        end.1(&mut harness);
        assert!(is_ended(&harness), "{}: the job has not ended", end.0);
        complete_listing(&mut harness);
        harness.run_for(3.0);
        let mut found = signs_of_reopening(&mut harness);
        harness.release(HeldResponses::OpenJobWatches);
        harness.run_for(1.0);
        harness.clear_sent();
        harness.run_for(3.0);
        found.extend(signs_of_reopening(&mut harness));
        assert_eq!(
            harness.running_tasks(ENDED_JOB),
            0,
            "{}: running tasks of the ended job",
            end.0
        );
        assert_eq!(
            harness.running_tasks(RUNNING_JOB),
            TASKS as usize,
            "{}: running tasks of the other job",
            end.0
        );
        found
    });
    assert_eq!(failing, []);
}

/// When the listing completes, the tasks of the ended job are still bound to a disconnected worker. The worker
/// reconnects and the ends of the bindings are committed before the watch returns the end of the job.
#[test]
fn a_binding_that_outlasts_its_job_does_not_change_counts() {
    let failing = failing_cases(&JOB_ENDS[1..3], |end| {
        let mut harness = harness_with_partial_listing(Harness::submit);
        harness.disconnect_worker();
        end.1(&mut harness);
        complete_listing(&mut harness);
        harness.run_for(0.2);
        assert_eq!(
            harness.running_tasks(ENDED_JOB),
            TASKS as usize,
            "{}: tasks of the ended job on the disconnected worker",
            end.0
        );
        harness.reconnect_worker();
        harness.run_for(2.0);
        assert_eq!(
            harness.running_tasks(ENDED_JOB),
            0,
            "{}: running tasks of the ended job",
            end.0
        );
        let counts = harness
            .broadcast_counts
            .iter()
            .find(|counts| counts.job == RUNNING_JOB);
        assert_eq!(
            counts.map(|counts| counts.running),
            Some(TASKS),
            "{}: running tasks of the other job in the heartbeats to the peers",
            end.0
        );
        signs_of_reopening(&mut harness)
    });
    assert_eq!(failing, []);
}

/// An urgent job that has ended must not preempt tasks of other jobs.
#[test]
fn an_ended_job_in_a_listing_preempts_nothing() {
    let failing = failing_cases(&JOB_ENDS, |end| {
        let mut harness = harness_with_partial_listing(Harness::submit_urgent);
        end.1(&mut harness);
        harness.submit(LATER_JOB, TASKS);
        harness.run_until("the start of the job", |harness| {
            harness.running_tasks(LATER_JOB) == TASKS as usize
        });
        complete_listing(&mut harness);
        harness.run_for(3.0);
        signs_of_reopening(&mut harness)
    });
    assert_eq!(failing, []);
}

/// The response to the submission arrives after the watch has returned the job, and after the end of the job.
#[test]
fn a_late_response_to_a_submission_does_not_reopen_the_job() {
    let ends: [JobEnd; 3] = [
        ("cancelled through another controller", |harness| {
            harness.cancel_through_other_controller(ENDED_JOB);
            harness.run_for(0.1);
        }),
        (
            "cancelled through another controller, which announces the cancellation",
            |harness| {
                harness.hold(HeldResponses::OpenJobWatches);
                harness.cancel_through_other_controller(ENDED_JOB);
                harness.receive_cancellation_from_peer(ENDED_JOB);
            },
        ),
        ("cancelled through this controller", |harness| {
            let request = harness.cancel(ENDED_JOB);
            harness.run_until("the cancellation", |harness| {
                harness.answer(request).is_some()
            });
        }),
    ];
    let failing = failing_cases(&ends, |(name, end)| {
        let mut harness = leading_harness();
        harness.submit(RUNNING_JOB, 2 * TASKS);
        harness.run_until("the start of the job", |harness| {
            harness.running_tasks(RUNNING_JOB) == 4
        });
        harness.hold(HeldResponses::Submissions);
        let submission = harness.submit(ENDED_JOB, TASKS);
        harness.run_for(0.2);
        assert!(
            harness.is_holding(HeldResponses::Submissions),
            "{name}: the response to the submission is not delayed"
        );
        end(&mut harness);
        assert!(is_ended(&harness), "{name}: the job has not ended");
        harness.clear_sent();
        harness.release(HeldResponses::Submissions);
        harness.release(HeldResponses::OpenJobWatches);
        harness.run_for(8.0);
        let status = harness.answer(submission).map(|(status, _)| status);
        assert!(
            matches!(status, Some(200 | 201)),
            "{name}: response to the submission has status {status:?}, expected 200 or 201"
        );
        signs_of_reopening(&mut harness)
    });
    assert_eq!(failing, []);
}
