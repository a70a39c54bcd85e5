//! Direct commands that arrive long after their sender gave up. A start among them is carried out as long
//! as the worker's token and incarnation match, which may be past the cancellation of its job.

mod world;

use std::collections::BTreeMap;
use world::{CANCEL_S, DelayedCommands, LEASE_S, World};

/// When the troubles begin: the machines are up and work that must survive runs.
const BEGIN: f64 = 30.0;
/// When all jobs have come to their end.
const END: f64 = 240.0;
/// For how long starts are held in the shorter and the longer variant.
const HELD_S: [f64; 2] = [CANCEL_S + 8.0, 2.0 * CANCEL_S];
/// A service and a long array that run all the while.
const SERVICE: u32 = 1;
const LONG_ARRAY: u32 = 2;
const SHORT_ARRAY: u32 = 3;
/// Jobs that are cancelled while their starts are held.
const CANCELLED: std::ops::Range<u32> = 10..18;

/// Work that must survive, beside short work that has just left room for the jobs to come: no task is
/// preempted for them.
fn steady_work(world: &mut World) {
    world.add_user(SHORT_ARRAY, 0.5, (12, 24.0, false, false), None);
    world.add_user(SERVICE, 0.5, (4, 0.0, true, false), None);
    world.add_user(LONG_ARRAY, 1.0, (4, 110.0, false, false), None);
}

/// Arrays and services that come while starts are held, and are cancelled within two seconds.
fn cancelled_jobs(world: &mut World, held_s: f64, copies_only: bool) {
    world.delayed_commands = DelayedCommands {
        until: BEGIN + 3.0,
        delay_s: held_s,
        copies_only,
    };
    for n in CANCELLED {
        let at = BEGIN + 0.1 * f64::from(n - CANCELLED.start);
        let cancel_at = at + 0.4 + 0.2 * f64::from(n - CANCELLED.start);
        world.add_user(n, at, (1, 200.0, n % 2 == 0, false), None);
        world.cancel_job_at(n, cancel_at);
    }
}

/// A world in which starts begin to be held for the shorter time.
fn with_held_starts(seed: u64, copies_only: bool) -> World {
    let mut world = World::new(seed);
    steady_work(&mut world);
    world.run_until(BEGIN);
    cancelled_jobs(&mut world, HELD_S[0], copies_only);
    world
}

fn surviving_attempts(world: &World) -> (BTreeMap<String, u64>, BTreeMap<String, u64>) {
    (
        world.running_attempts_of(SERVICE),
        world.running_attempts_of(LONG_ARRAY),
    )
}

/// Starts that were held longer than `cancel_s` arrive at workers whose reports were answered all the
/// while: nothing of a cancelled job may run, and what else runs there must not be disturbed.
#[test]
fn starts_held_past_the_cancellation() {
    for (seed, held_s) in [(1, 0), (2, 1), (3, 0), (4, 1), (5, 0), (6, 1)] {
        let name = format!("seed {seed}, held for {} s", HELD_S[held_s]);
        let mut world = World::new(seed);
        steady_work(&mut world);
        world.run_until(BEGIN);
        let before = surviving_attempts(&world);
        assert_eq!((before.0.len(), before.1.len()), (4, 4), "{name}");
        cancelled_jobs(&mut world, HELD_S[held_s], false);
        world.run_until(BEGIN + HELD_S[held_s] + 10.0);
        assert!(
            world.counts.delayed_commands > 0,
            "{name}: starts were held"
        );
        assert!(
            world.counts.starts_past_cancellation_in_incarnation > 0,
            "{name}: held starts arrived past the cancellation, in the same session"
        );
        assert_eq!(
            world.counts.tasks_begun_past_cancellation, 0,
            "{name}: tasks began when they had to be gone"
        );
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
        assert_eq!(surviving_attempts(&world), before, "{name}");
        assert_eq!(world.workers_with_new_incarnation(), 0, "{name}");
    }
}

/// The leader ends while the starts are held: its commands meet a higher token.
#[test]
fn starts_held_past_a_change_of_leader() {
    for seed in 1..5 {
        let name = format!("seed {seed}");
        let mut world = with_held_starts(seed, false);
        world.run_until(BEGIN + 3.0);
        let reigns = world.leader_changes();
        assert!(world.restart_leader(LEASE_S), "{name}");
        world.run_until(END);
        assert!(world.leader_changes() > reigns, "{name}: another leads");
        assert!(
            world.counts.delayed_commands > 0,
            "{name}: starts were held"
        );
        assert!(
            world.counts.starts_past_cancellation > 0,
            "{name}: they arrived"
        );
        world.check(&name);
    }
}

/// Starts are carried out at once, and copies of them arrive past the cancellation: an attempt that was
/// cleared meanwhile would run again.
#[test]
fn copies_of_starts_past_the_cancellation() {
    for seed in 1..5 {
        let name = format!("seed {seed}");
        let mut world = with_held_starts(seed, true);
        world.run_until(END);
        assert!(
            world.counts.starts_past_cancellation_in_incarnation > 0,
            "{name}: copies arrived past the cancellation, in the same session"
        );
        world.check(&name);
    }
}

/// Machines that reach no controller, and machines that no answer or command reaches, while their starts
/// are held: the lease bounds what can't be told.
#[test]
fn starts_held_at_machines_that_can_not_be_told() {
    for seed in 1..5 {
        let name = format!("seed {seed}");
        let mut world = with_held_starts(seed, false);
        world.run_until(BEGIN + 1.0);
        for nth in 0..3 {
            world.block_traffic_from_worker(nth, LEASE_S + 4.0);
            world.block_traffic_to_worker(nth + 3, LEASE_S - 2.0);
        }
        world.run_until(END);
        assert!(
            world.counts.delayed_commands > 0,
            "{name}: starts were held"
        );
        assert!(
            world.counts.starts_past_cancellation > 0,
            "{name}: they arrived"
        );
        world.check(&name);
    }
}
