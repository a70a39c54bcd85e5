//! Each guard of `bookkeeping::permits::freshness` alone: a case in which no other guard stands behind it.
//!
//! All three hold in the cases of `tests/combined_faults.rs` too, but there another guard holds as well, so that none of those
//! failed with one of the three removed. Each case here does (the invariants muted).
//!
//! - Renewals end with the lease grace period. The election ends leadership at the same time, by a timer; a leader that
//!   stood still until then may serve the heartbeats that have come before its timers run.
//! - No starts on an old view. Mostly a view gets old because the state service fails, which is another guard; a watch
//!   that is over the rate limit is no failure.
//! - No starts while the state service is in doubt. A view that gets old is noticed only after two heartbeat
//!   intervals; a refusal shows at once that cancellations may have been missed.

mod world;

use world::{CANCEL_S, LEASE_S, World};

/// When the faults begin: the machines are up and the first jobs run.
const BEGIN: f64 = 30.0;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Jobs that are cancelled before their starts are delivered.
const JOBS: std::ops::Range<u32> = 10..18;

/// Runs to `at` after the faults' begin.
fn to(world: &mut World, at: f64) {
    world.run_until(BEGIN + at);
}

fn check(world: &mut World, name: &str) {
    world.end_faults(world.now);
    world.run_until(world.now + 100.0);
    world.check_with_starvation(name);
}

/// A leader that is partitioned together with its workers stands still while the grace period ends, and the workers
/// hang for as long as their leases allow. Jobs were cancelled through the others right after the partition began.
#[test]
fn no_lease_is_renewed_beyond_the_grace_period() {
    let mut waited = 0;
    for seed in SEEDS {
        // The grace period ends 18.98 s after the leader's view was last current.
        for pause_at in [17.6, 18.0, 18.4] {
            let mut world = World::new(seed);
            for n in 0..8 {
                world.add_user(n, 0.5, (2, 0.0, true, false), None);
            }
            to(&mut world, 0.0);
            assert!(world.partition_zone("a", true, 0, 2.0 * CANCEL_S));
            to(&mut world, 0.1);
            assert!(world.cancel_jobs(8, 0, 0.0) >= 4);
            to(&mut world, pause_at);
            world.hang_workers("a", LEASE_S - 2.2);
            assert_eq!(world.pause_partitioned_controllers(LEASE_S - 1.0), 1);
            to(&mut world, 2.0 * CANCEL_S);
            let name = format!("seed {seed}, paused from {pause_at} s");
            assert!(
                world.cancellations_confirmed(BEGIN, BEGIN + 5.0) >= 4,
                "{name}"
            );
            waited += world.counts.heartbeats_served_before_timers;
            check(&mut world, &name);
        }
    }
    assert!(waited > 0, "heartbeats were served before timers");
}

/// Jobs that begin at `at`, when there is room for them. Their starts can't be delivered: nothing reaches the workers
/// for `blocked_s`.
fn with_undelivered_starts(world: &mut World, at: f64, blocked_s: f64) {
    to(world, at);
    world.block_traffic_to_workers(blocked_s);
    for n in JOBS {
        world.add_user(n, BEGIN + at, (1, 60.0, false, false), None);
    }
    to(world, at + 0.6);
}

/// A world with work that has left room before the faults begin.
fn with_room(seed: u64) -> World {
    let mut world = World::new(seed);
    world.add_user(0, 0.5, (12, 24.0, false, false), None);
    world.add_user(1, 0.5, (4, 0.0, true, false), None);
    to(&mut world, 0.0);
    world
}

fn cancel(world: &mut World, at: f64) {
    for n in JOBS {
        world.cancel_job_at(n, BEGIN + at);
    }
}

/// The leader's view gets old while all that it asks but the watch is answered. It learns of new jobs from the
/// submissions that come to it.
#[test]
fn no_task_is_started_on_an_old_view() {
    for seed in SEEDS {
        let mut world = with_room(seed);
        assert!(world.rate_limit_leader_watch(12.0));
        world.refuse_peer_connections(12.0);
        with_undelivered_starts(&mut world, 2.4, 2.3);
        assert!(world.divert_users_from_leader(9.0));
        cancel(&mut world, 3.5);
        to(&mut world, 13.0);
        let name = format!("seed {seed}");
        assert!(world.counts.rate_limited_watches > 20, "{name}");
        assert!(
            world.cancellations_confirmed(BEGIN + 3.5, BEGIN + 4.6) >= 4,
            "{name}"
        );
        assert_eq!(world.counts.starts_after_cancel, 0, "{name}");
        check(&mut world, &name);
    }
}

/// The state service refuses the leader alone, and jobs are cancelled through the others in the seconds for which it
/// still holds its lease.
#[test]
fn no_task_is_started_while_the_state_service_is_in_doubt() {
    for seed in SEEDS {
        let mut world = with_room(seed);
        with_undelivered_starts(&mut world, 0.0, 1.2);
        assert!(world.fail_state_requests_of_leader(4.0));
        assert!(world.divert_users_from_leader(4.0));
        world.refuse_peer_connections(4.0);
        cancel(&mut world, 0.65);
        to(&mut world, 5.0);
        let name = format!("seed {seed}");
        assert!(
            world.cancellations_confirmed(BEGIN + 0.6, BEGIN + 1.3) >= 4,
            "{name}"
        );
        assert_eq!(world.counts.starts_after_cancel, 0, "{name}");
        check(&mut world, &name);
    }
}
