//! Tests of each guard of `bookkeeping::permits::freshness` in a case in which no other guard has the same effect.
//!
//! Each test fails if its guard is removed and the invariant checks of the controllers are disabled. The cases of
//! `tests/combined_faults.rs` do not fail then, because in each of them another guard applies as well.
//!
//! - No lease is renewed after the lease grace period. The election ends the leadership at the same time, but with a
//!   timer: after a pause, a leader may handle the heartbeats that have arrived before its overdue timers.
//! - No task is started on an old view of the open jobs. A view usually gets old because the state service fails, in
//!   which case another guard applies. A watch that is rejected because of the rate limit does not count as a failure.
//! - No task is started after a request to the state service has failed, until the view has been confirmed again. A
//!   view counts as old only after two heartbeat intervals, while a failed request shows at once that cancellations may
//!   have been missed.

mod world;

use world::{CANCEL_S, LEASE_S, World};

/// When the faults begin: the instances are running, and so are the first jobs.
const FAULTS_BEGIN_S: f64 = 30.0;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Jobs that are cancelled before their starts are delivered.
const CANCELLED_JOBS: std::ops::Range<u32> = 10..18;

/// Runs the simulation until `offset_s` seconds after the faults begin.
fn run_until_offset(world: &mut World, offset_s: f64) {
    world.run_until(FAULTS_BEGIN_S + offset_s);
}

/// Ends the faults, lets the system recover for 100 s, and checks the result.
fn recover_and_check(world: &mut World, name: &str) {
    world.end_faults(world.now);
    world.run_until(world.now + 100.0);
    world.check_with_starvation(name);
}

/// A leader that is partitioned together with its workers is paused while its lease grace period ends, and the workers
/// hang for as long as their leases allow. Right after the partition began, jobs were cancelled through other
/// controllers.
#[test]
fn no_lease_is_renewed_beyond_the_grace_period() {
    let mut served_before_timers = 0;
    for seed in SEEDS {
        // The lease grace period ends 18.98 s after the leader's view was last current.
        for pause_at in [17.6, 18.0, 18.4] {
            let mut world = World::new(seed);
            for n in 0..8 {
                world.add_user(n, 0.5, (2, 0.0, true, false), None);
            }
            run_until_offset(&mut world, 0.0);
            assert!(world.partition_zone("a", true, 0, 2.0 * CANCEL_S));
            run_until_offset(&mut world, 0.1);
            assert!(world.cancel_jobs(8, 0, 0.0) >= 4);
            run_until_offset(&mut world, pause_at);
            world.hang_workers("a", LEASE_S - 2.2);
            assert_eq!(world.pause_partitioned_controllers(LEASE_S - 1.0), 1);
            run_until_offset(&mut world, 2.0 * CANCEL_S);
            let name = format!("seed {seed}, paused from {pause_at} s");
            assert!(
                world.cancellations_confirmed(FAULTS_BEGIN_S, FAULTS_BEGIN_S + 5.0) >= 4,
                "{name}"
            );
            served_before_timers += world.counts.heartbeats_served_before_timers;
            recover_and_check(&mut world, &name);
        }
    }
    assert!(
        served_before_timers > 0,
        "no heartbeat was handled before overdue timers"
    );
}

/// Submits jobs at `offset_s` for which there is free capacity. Their starts can't be delivered, because nothing
/// reaches the workers for `blocked_s`.
fn submit_with_undelivered_starts(world: &mut World, offset_s: f64, blocked_s: f64) {
    run_until_offset(world, offset_s);
    world.block_traffic_to_workers(blocked_s);
    for n in CANCELLED_JOBS {
        world.add_user(n, FAULTS_BEGIN_S + offset_s, (1, 60.0, false, false), None);
    }
    run_until_offset(world, offset_s + 0.6);
}

/// Returns a world, at the time when the faults begin, in which completed tasks have left free capacity.
fn world_with_free_capacity(seed: u64) -> World {
    let mut world = World::new(seed);
    world.add_user(0, 0.5, (12, 24.0, false, false), None);
    world.add_user(1, 0.5, (4, 0.0, true, false), None);
    run_until_offset(&mut world, 0.0);
    world
}

/// Cancels the jobs of [`submit_with_undelivered_starts`] at `offset_s`.
fn cancel_jobs(world: &mut World, offset_s: f64) {
    for n in CANCELLED_JOBS {
        world.cancel_job_at(n, FAULTS_BEGIN_S + offset_s);
    }
}

/// The leader's view gets old because its watch is rejected, while its other requests are answered. It learns of new
/// jobs from the submissions that it receives.
#[test]
fn no_task_is_started_on_an_old_view() {
    for seed in SEEDS {
        let mut world = world_with_free_capacity(seed);
        assert!(world.rate_limit_leader_watch(12.0));
        world.refuse_peer_connections(12.0);
        submit_with_undelivered_starts(&mut world, 2.4, 2.3);
        assert!(world.divert_users_from_leader(9.0));
        cancel_jobs(&mut world, 3.5);
        run_until_offset(&mut world, 13.0);
        let name = format!("seed {seed}");
        assert!(world.counts.rate_limited_watches > 20, "{name}");
        assert!(
            world.cancellations_confirmed(FAULTS_BEGIN_S + 3.5, FAULTS_BEGIN_S + 4.6) >= 4,
            "{name}"
        );
        assert_eq!(world.counts.starts_after_cancel, 0, "{name}");
        recover_and_check(&mut world, &name);
    }
}

/// The state service fails for the leader alone, and jobs are cancelled through other controllers in the seconds for
/// which the leader still holds its lease.
#[test]
fn no_task_is_started_after_a_failed_state_request() {
    for seed in SEEDS {
        let mut world = world_with_free_capacity(seed);
        submit_with_undelivered_starts(&mut world, 0.0, 1.2);
        assert!(world.fail_state_requests_of_leader(4.0));
        assert!(world.divert_users_from_leader(4.0));
        world.refuse_peer_connections(4.0);
        cancel_jobs(&mut world, 0.65);
        run_until_offset(&mut world, 5.0);
        let name = format!("seed {seed}");
        assert!(
            world.cancellations_confirmed(FAULTS_BEGIN_S + 0.6, FAULTS_BEGIN_S + 1.3) >= 4,
            "{name}"
        );
        assert_eq!(world.counts.starts_after_cancel, 0, "{name}");
        recover_and_check(&mut world, &name);
    }
}
