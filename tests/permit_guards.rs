//! Tests of each guard of `bookkeeping::permits::freshness`: a condition under which the leader denies the permission
//! to renew a worker's lease or to start a task. Each guard is tested in a case in which no other guard denies the
//! same permission.
//!
//! Each test fails if its guard is removed and the invariant checks of the controllers are disabled. The cases of
//! `tests/combined_faults.rs` would not fail without the guard, because in each of them another guard applies too.
//!
//! - No worker's lease is renewed after the lease grace period (the time for which a leader goes on although it can't
//!   confirm its own lease). At the end of the period a timer also ends the leadership. But after a pause, a leader may
//!   handle heartbeats that arrived meanwhile before it handles this timer.
//! - No task is started while the view of the open jobs is too old. A view usually gets old because requests to the
//!   state service fail, in which case the next guard applies too. But the rejection of a watch because of the rate
//!   limit does not count as a failure.
//! - No task is started after a request to the state service has failed, until the view has been confirmed again. A
//!   failed request shows at once that the leader may not know of all cancellations, while a view counts as too old
//!   only after two heartbeat intervals.

mod world;

use world::{CANCEL_S, LEASE_S, World};

/// When the faults begin, in simulated seconds. By then, the instances and the first jobs are running.
const FAULTS_BEGIN_S: f64 = 30.0;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Numbers of the jobs that are cancelled before their starts can be delivered.
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

/// A leader and the workers of its zone are partitioned, and jobs are cancelled through other controllers. While the
/// leader's lease grace period ends, the leader is paused, and the workers hang for almost as long as their leases
/// last. After the pause, the leader must not renew the leases, as the workers may run tasks of cancelled jobs.
#[test]
fn no_lease_is_renewed_beyond_the_grace_period() {
    let mut served_before_timers = 0;
    for seed in SEEDS {
        // The lease grace period ends 18.98 s after the leader last confirmed its view.
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
                "{name}: too few cancellations were confirmed"
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

/// Submits jobs, for which there is free capacity, `offset_s` seconds after the faults begin. Their starts can't be
/// delivered, because no commands or responses reach the workers for `blocked_s` seconds.
fn submit_with_undelivered_starts(world: &mut World, offset_s: f64, blocked_s: f64) {
    run_until_offset(world, offset_s);
    world.block_traffic_to_workers(blocked_s);
    for n in CANCELLED_JOBS {
        world.add_user(n, FAULTS_BEGIN_S + offset_s, (1, 60.0, false, false), None);
    }
    run_until_offset(world, offset_s + 0.6);
}

/// Returns a world at the time when the faults begin. There is free capacity, because tasks have been completed.
fn world_with_free_capacity(seed: u64) -> World {
    let mut world = World::new(seed);
    world.add_user(0, 0.5, (12, 24.0, false, false), None);
    world.add_user(1, 0.5, (4, 0.0, true, false), None);
    run_until_offset(&mut world, 0.0);
    world
}

/// Lets the users of the jobs of [`submit_with_undelivered_starts`] cancel them `offset_s` seconds after the faults
/// begin.
fn cancel_jobs(world: &mut World, offset_s: f64) {
    for n in CANCELLED_JOBS {
        world.cancel_job_at(n, FAULTS_BEGIN_S + offset_s);
    }
}

/// The leader's view gets old because its watch is rejected, while the state service executes its other requests. The
/// leader learns of new jobs only from the submissions that it receives itself.
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
        assert!(
            world.counts.rate_limited_watches > 20,
            "{name}: only {} rejected watches, instead of more than 20",
            world.counts.rate_limited_watches
        );
        assert!(
            world.cancellations_confirmed(FAULTS_BEGIN_S + 3.5, FAULTS_BEGIN_S + 4.6) >= 4,
            "{name}: too few cancellations were confirmed"
        );
        assert_eq!(
            world.counts.starts_after_cancel, 0,
            "{name}: starts after a confirmed cancellation"
        );
        recover_and_check(&mut world, &name);
    }
}

/// The state service fails for the leader alone, and jobs are cancelled through other controllers while the leader
/// still holds its lease.
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
            "{name}: too few cancellations were confirmed"
        );
        assert_eq!(
            world.counts.starts_after_cancel, 0,
            "{name}: starts after a confirmed cancellation"
        );
        recover_and_check(&mut world, &name);
    }
}
