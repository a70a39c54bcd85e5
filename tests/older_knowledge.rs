//! Knowledge that is older than what is known changes nothing: the cases that are not about the end of a job (these
//! are in `tests/stale_records.rs`) or the leader key (`tests/late_leader_records.rs`).
//!
//! - A lookup that read nothing took the job out of the table that the watch had put there meanwhile; its progress
//!   stayed for ever.
//! - A leader that had not learnt yet that it was deposed told its counts, and the controllers showed those.
//! - The word of a peer replaced a final state that was known.
//! - A cancellation was told with the count at its response, which the watch had dropped by then, in place of the count
//!   that was written: controllers differed.

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

/// The lookup reads both keys before the job is opened; its response comes after the watch has shown the job.
#[test]
fn a_lookup_that_found_nothing_closes_no_job() {
    let (mut job_api, mut effects) = (job_api(), Effects::default());
    job_api.on_cancel(1, ID, &mut effects, 0.0);
    job_api.on_lookup_completed(ID, KvResponse::NotFound, &mut effects, 0.1);
    job_api.on_job_opened(7, spec(ID, 1));
    job_api.on_lookup_completed(ID, KvResponse::NotFound, &mut effects, 0.2);
    let known = job_api.open_jobs().get(ID).map(|job| job.mod_revision);
    assert_eq!(known, Some(7));
}

/// Ids that were looked up in vain, and jobs that were cancelled, leave nothing behind but the bounded memory of closed
/// jobs.
#[test]
fn nothing_is_kept_of_unknown_and_cancelled_jobs() {
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
    // A listing of the open jobs shows none.
    let known: Vec<String> = job_api
        .open_jobs()
        .ids_opened_up_to(u64::MAX)
        .map(str::to_owned)
        .collect();
    for id in known {
        job_api.on_job_closed(&id);
    }
    let open = job_api.open_jobs();
    assert_eq!(open.ids_opened_up_to(u64::MAX).count(), 0);
    assert_eq!(open.jobs_with_progress(), 0);
}

/// The memory of closed jobs forgets the ends that were learnt first.
#[test]
fn the_memory_of_closed_jobs_is_bounded() {
    let mut closed = ClosedJobs::default();
    for n in 0..20_001 {
        closed.insert(&format!("j-{n}"), Some(n));
        // Again: it is not kept twice.
        closed.insert(&format!("j-{n}"), None);
    }
    assert!(!closed.contains("j-0"));
    assert!(closed.accepts_open_record("j-0", 1));
    for id in ["j-1", "j-20000"] {
        assert!(closed.contains(id), "{id}");
        assert!(
            !closed.accepts_open_record(id, 1),
            "{id}: older than its end"
        );
        assert!(
            !closed.accepts_open_record(id, 50_000),
            "{id}: an id is used once"
        );
    }
}

/// A controller that follows another, with a job that was submitted to it.
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
fn the_counts_of_a_deposed_leader_are_not_shown() {
    let mut harness = follower_with_job(4);
    let counts = |done, running| JobCounts {
        job: ID.to_owned(),
        done,
        running,
    };
    let mut of_leader = peer_heartbeat("n1", 30);
    of_leader.counts.push(counts(2, 1));
    let mut of_deposed = peer_heartbeat("n2", 20);
    of_deposed.counts.push(counts(0, 0));
    harness.receive_peer_heartbeat(of_leader);
    harness.receive_peer_heartbeat(of_deposed);
    let view = harness.view(ID);
    assert_eq!(
        (view.status, view.done, view.running),
        (JobStatus::Running, 2, 1)
    );
}

/// The watch shows the end of the job before the response to its cancellation arrives.
#[test]
fn a_cancelled_job_is_shown_with_the_count_that_was_written() {
    let mut harness = follower_with_job(4);
    let mut of_leader = peer_heartbeat("n1", 30);
    of_leader.counts.push(JobCounts {
        job: ID.to_owned(),
        done: 3,
        running: 1,
    });
    harness.receive_peer_heartbeat(of_leader);
    harness.hold(HeldResponses::Cancellations);
    harness.cancel(ID);
    harness.run_for(0.2);
    assert!(harness.is_holding(HeldResponses::Cancellations));
    harness.release(HeldResponses::Cancellations);
    let view = harness.view(ID);
    assert_eq!((view.status, view.done), (JobStatus::Aborted, 3));
}

#[test]
fn a_final_state_never_changes() {
    let mut harness = follower_with_job(1);
    let cancellation = harness.cancel(ID);
    harness.run_until("the cancellation", |harness| {
        harness.answer(cancellation).is_some()
    });
    harness.receive_termination_from_peer(ID, false);
    assert_eq!(harness.view(ID).status, JobStatus::Aborted);
}
