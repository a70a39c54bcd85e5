//! Stale updates must not change newer state. This file has the cases that concern neither records of closed jobs (see
//! `tests/stale_records.rs`) nor the `leader` key (see `tests/late_leader_records.rs`).
//!
//! The tests guard against these failures of earlier versions:
//!
//! - A lookup that found no keys removed a job that the watch had added in the meantime, and left its progress in
//!   memory for ever.
//! - A former leader that had not noticed its successor yet sent its job counts, and other controllers showed these to
//!   users.
//! - A peer's message replaced a known terminal state.
//! - The response to a cancellation contained the number of completed tasks known when the response arrived, instead of
//!   the number that was written. The watch had already removed the progress by then, so controllers showed different
//!   numbers of completed tasks.

mod common;
mod harness;

use cedarladder::bookkeeping::jobs::ClosedJobs;
use cedarladder::coordination::effects::Effects;
use cedarladder::coordination::job_api::JobApi;
use cedarladder::protocol::job::JobStatus;
use cedarladder::protocol::kv::KvResponse;
use cedarladder::protocol::peer::JobCounts;
use cedarladder::settings::StateServiceLimits;
use common::spec;
use harness::{Harness, HeldResponses, peer_heartbeat};

const ID: &str = "j-000001";

fn job_api() -> JobApi {
    let limits = StateServiceLimits {
        rps: 600.0,
        write_rps: 600.0,
        value_kb: 8.0,
        txn_ops: 48,
    };
    JobApi::new(&limits, 1.0, 1.0)
}

/// The lookup reads both keys before the job is opened, but its response arrives after the watch has returned the job.
#[test]
fn a_lookup_without_result_does_not_close_a_job() {
    let (mut job_api, mut effects) = (job_api(), Effects::default());
    job_api.on_cancel(1, ID, &mut effects, 0.0);
    job_api.on_lookup_completed(ID, KvResponse::NotFound, &mut effects, 0.1);
    job_api.on_job_opened(7, spec(ID, 1));
    job_api.on_lookup_completed(ID, KvResponse::NotFound, &mut effects, 0.2);
    let mod_revision = job_api.open_jobs().get(ID).map(|job| job.mod_revision);
    assert_eq!(mod_revision, Some(7));
}

/// Neither lookups of unknown ids nor jobs that were cancelled may leave entries in memory, apart from the bounded list
/// of closed jobs.
#[test]
fn unknown_and_cancelled_jobs_leave_no_entries() {
    let (mut job_api, mut effects) = (job_api(), Effects::default());
    for n in 0..50_000_u64 {
        let id = format!("j-{n:06}");
        let counts = JobCounts {
            job: id.clone(),
            done: 1,
            running: 1,
        };
        if n % 2 == 0 {
            job_api.on_job_opened(n + 1, spec(&id, 1));
            job_api.on_job_counts(&[counts]);
            job_api.on_job_closed(&id);
        } else {
            job_api.on_cancel(n, &id, &mut effects, n as f64);
            job_api.on_lookup_completed(&id, KvResponse::NotFound, &mut effects, n as f64);
            job_api.on_job_opened(n + 1, spec(&id, 1));
            job_api.on_job_counts(&[counts]);
            job_api.on_lookup_completed(&id, KvResponse::NotFound, &mut effects, n as f64);
        }
        effects = Effects::default();
    }
    // Close the remaining jobs, as a listing without any open job does.
    let open_ids: Vec<String> = job_api
        .open_jobs()
        .ids_opened_up_to(u64::MAX)
        .map(str::to_owned)
        .collect();
    for id in open_ids {
        job_api.on_job_closed(&id);
    }
    let open = job_api.open_jobs();
    assert_eq!(open.ids_opened_up_to(u64::MAX).count(), 0);
    assert_eq!(open.jobs_with_progress(), 0);
}

/// Beyond its capacity the list of closed jobs evicts the jobs that were added first.
#[test]
fn the_list_of_closed_jobs_is_bounded() {
    let mut closed = ClosedJobs::default();
    for n in 0..20_001 {
        closed.insert(&format!("j-{n}"), Some(n));
        // The second insertion of an id must not take another entry.
        closed.insert(&format!("j-{n}"), None);
    }
    assert!(!closed.contains("j-0"));
    assert!(closed.accepts_open_record("j-0", 1));
    for id in ["j-1", "j-20000"] {
        assert!(closed.contains(id), "{id} is not in the list");
        assert!(
            !closed.accepts_open_record(id, 1),
            "{id}: a record that is older than the end of the job was accepted"
        );
        assert!(
            !closed.accepts_open_record(id, 50_000),
            "{id}: a record with the id of a closed job was accepted"
        );
    }
}

/// Creates a controller that does not lead and has accepted the submission of a job.
fn follower_with_job(tasks: u32) -> Harness {
    let mut harness = Harness::default();
    harness.elect_other_controller();
    harness.run_for(1.0);
    let submission = harness.submit(ID, tasks);
    harness.run_until("the submission", |harness| {
        harness.answer(submission).is_some()
    });
    harness
}

#[test]
fn job_counts_of_a_former_leader_are_ignored() {
    let mut harness = follower_with_job(4);
    let counts = |done, running| JobCounts {
        job: ID.to_owned(),
        done,
        running,
    };
    let mut from_leader = peer_heartbeat("n1", 30);
    from_leader.counts.push(counts(2, 1));
    let mut from_former_leader = peer_heartbeat("n2", 20);
    from_former_leader.counts.push(counts(0, 0));
    harness.receive_peer_heartbeat(from_leader);
    harness.receive_peer_heartbeat(from_former_leader);
    let view = harness.view(ID);
    assert_eq!(
        (view.status, view.done, view.running),
        (JobStatus::Running, 2, 1)
    );
}

/// The watch returns the end of the job before the response to the cancellation arrives.
#[test]
fn a_cancelled_job_is_shown_with_the_stored_count() {
    let mut harness = follower_with_job(4);
    let mut from_leader = peer_heartbeat("n1", 30);
    from_leader.counts.push(JobCounts {
        job: ID.to_owned(),
        done: 3,
        running: 1,
    });
    harness.receive_peer_heartbeat(from_leader);
    harness.hold(HeldResponses::Cancellations);
    harness.cancel(ID);
    harness.run_for(0.2);
    assert!(harness.is_holding(HeldResponses::Cancellations));
    harness.release(HeldResponses::Cancellations);
    let view = harness.view(ID);
    assert_eq!((view.status, view.done), (JobStatus::Aborted, 3));
}

#[test]
fn a_terminal_state_never_changes() {
    let mut harness = follower_with_job(1);
    let cancellation = harness.cancel(ID);
    harness.run_until("the cancellation", |harness| {
        harness.answer(cancellation).is_some()
    });
    harness.receive_termination_from_peer(ID, false);
    assert_eq!(harness.view(ID).status, JobStatus::Aborted);
}
