//! Workers that can't take tasks, in fleets of a few workers: each must become usable again, be replaced or be released
//! within a bounded time, so that no accepted job is left waiting.

mod world;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use world::{LEASE_S, World};

/// Time after which a job that could run must no longer be waiting: the users' bound, counted from the end of a lease.
const MAX_WAIT_S: f64 = 90.0;
/// Number of random schedules of faults.
const RANDOM_SEEDS: u64 = 40;
/// A time that is longer than any simulation.
const FOR_EVER_S: f64 = 1e6;
/// Number of tasks that fill a worker.
const TASKS_PER_WORKER: u32 = 4;

/// Returns a world with a service, or an array, whose tasks fill a number of on-demand workers in one zone and run on
/// them.
fn world_with_busy_workers(
    workers: u32,
    (is_service, run_s): (bool, f64),
    controllers: usize,
) -> World {
    let mut world = World::with_size(43, controllers, 12);
    let tasks = workers * TASKS_PER_WORKER;
    world.add_user_in_zone(1, 5.0, (tasks, run_s, is_service, false), Some("a"), None);
    while world.running_tasks_of(&[1]) < tasks as usize {
        assert!(world.now < 60.0, "the tasks were not started");
        world.run_until(world.now + 0.25);
    }
    world.run_until(world.now + 4.0);
    world
}

/// Returns a world with a single worker that a service or an array fills. The tasks of the array are so short that the
/// forecast of starts needs no further worker.
fn world_with_one_worker(is_service: bool, controllers: usize) -> World {
    let world = world_with_busy_workers(1, (is_service, 10.0), controllers);
    assert_eq!(world.instance_count(), 1, "number of instances at first");
    world
}

/// Returns the names of the workers that run tasks.
fn busy_workers(world: &World) -> BTreeSet<String> {
    let mut names = world.instances_in("a", false);
    names.retain(|name| world.tasks_on(name) > 0);
    names
}

/// Asserts that the jobs have completed a lease and `MAX_WAIT_S` after the fault, and that no rule was broken.
fn assert_jobs_end(world: &mut World, name: &str) {
    world.run_until(world.now + LEASE_S + MAX_WAIT_S);
    world.check(name);
}

/// Guards against a silent worker that counts as capacity for ever: with no other worker in contact, its silence was
/// taken for a partition, and the tasks that had run on it waited for ever.
#[test]
fn tasks_of_the_only_worker_run_elsewhere_after_it_has_failed() {
    type Inject = fn(&mut World);
    let cases: [(&str, Inject); 6] = [
        ("taken back without notice", |world| {
            assert!(world.reclaim_instance());
        }),
        (
            "taken back without notice, and the leader restarts",
            |world| {
                assert!(world.reclaim_instance());
                assert!(world.restart_leader(4.0));
            },
        ),
        ("disconnected", |world| {
            assert!(world.disconnect_worker(0, FOR_EVER_S).is_some());
        }),
        ("hung", |world| {
            world.hang_workers("a", FOR_EVER_S);
        }),
        ("sends no heartbeats, but answers calls", |world| {
            assert!(world.block_traffic_from_worker(0, FOR_EVER_S).is_some());
        }),
        ("receives nothing", |world| {
            assert!(world.block_traffic_to_worker(0, FOR_EVER_S).is_some());
        }),
    ];
    for (name, inject) in cases {
        for (is_service, controllers) in [(false, 3), (true, 3), (true, 5)] {
            let name = format!("{name}, service: {is_service}, {controllers} controllers");
            let mut world = world_with_one_worker(is_service, controllers);
            inject(&mut world);
            assert_jobs_end(&mut world, &name);
        }
    }
}

/// The other side of the release of silent workers: a partition between the controllers and all workers, also those that
/// are rented meanwhile, does not get the fleet released as long as its tasks wait, and no task runs twice when the
/// partition ends. In a small fleet, the workers whose heartbeats are missed first are released before the silence of
/// most shows a partition.
#[test]
fn a_partition_from_all_workers_does_not_release_the_fleet() {
    // The last fleet is large enough for its zone to be found partitioned.
    for (workers, leases) in [(1, 0.8), (1, 2.0), (2, 5.0), (4, 5.0), (8, 2.0), (8, 6.0)] {
        for is_service in [false, true] {
            let name = format!("{workers} workers, {leases} leases, service: {is_service}");
            let mut world = world_with_busy_workers(workers, (is_service, 40.0), 3);
            let busy = busy_workers(&world);
            world.disconnect_all_workers(leases * LEASE_S);
            world.run_until(world.now + leases * LEASE_S);
            let remaining = world.instances_in("a", false);
            let released = busy.difference(&remaining).count();
            assert!(
                2 * released <= busy.len(),
                "{name}: {released} workers released during the partition"
            );
            assert_jobs_end(&mut world, &name);
        }
    }
}

/// Guards against workers that are kept for ever because most workers are silent, or that keep their zone partitioned:
/// most or all workers of a zone fall silent for good, and new ones are in contact. The tasks run on others, and the
/// silent workers are released.
#[test]
fn silent_workers_are_replaced_although_most_are_silent() {
    // In the last case, the cloud has no capacity for others while it has the silent ones.
    for (workers, silent) in [(2, 2), (4, 3), (5, 4), (8, 7), (8, 8), (12, 12)] {
        for is_service in [false, true] {
            let name = format!("{silent} of {workers} workers, service: {is_service}");
            let mut world = world_with_busy_workers(workers, (is_service, 40.0), 3);
            let disconnected: Vec<String> = (0..silent)
                .filter_map(|nth| world.disconnect_worker(nth, FOR_EVER_S))
                .collect();
            assert_jobs_end(&mut world, &name);
            let kept = disconnected.iter().filter(|name| world.has_instance(name));
            assert_eq!(kept.count(), 0, "{name}: silent workers that are kept");
        }
    }
}

/// A fleet that is silent for good and that no task waits for is released.
#[test]
fn silent_workers_that_nothing_waits_for_are_released() {
    for controllers in [3, 5] {
        let mut world = world_with_one_worker(true, controllers);
        let names = world.instances_in("a", false);
        assert!(world.disconnect_worker(0, FOR_EVER_S).is_some());
        world.cancel_job_at(1, world.now + 0.5);
        world.run_until(world.now + LEASE_S + MAX_WAIT_S);
        let kept: Vec<&String> = names
            .iter()
            .filter(|name| world.has_instance(name))
            .collect();
        assert!(kept.is_empty(), "{controllers} controllers: kept {kept:?}");
        world.check("a silent worker that nothing waits for");
    }
}

/// Usual boot time in the tests of consolidation. It makes rounds of the autoscaler rare, and idle workers are kept for
/// longer than it takes to notice a failed one.
const LISTED_BOOT_TIME_S: f64 = 25.0;
/// Numbers of the services in the tests of consolidation, each of one replica.
const SERVICES: std::ops::RangeInclusive<u32> = 1..=5;

/// Guards against a drained worker that is never used again: consolidation moves the replica of one worker to another,
/// which has just failed, so that replicas wait. While any waited, no drained worker became usable. It must
/// within a lease, unless it is released because the failure of the other is not known yet.
#[test]
fn a_drained_worker_is_used_again_if_replicas_wait() {
    let mut used_again = 0;
    // The other worker fails at different times before and after the decision to move the replica.
    for quarter_seconds in 0..20 {
        let mut world = World::with_size(44, 3, 3);
        world.listed_boot_time_s = LISTED_BOOT_TIME_S;
        for n in SERVICES {
            world.add_user_in_zone(n, 5.0, (1, 0.0, true, false), Some("a"), None);
        }
        world.run_until(25.0);
        let mut workers: Vec<String> = busy_workers(&world).into_iter().collect();
        workers.sort_by_key(|name| world.tasks_on(name));
        let [emptier, fuller] = &workers[..] else {
            panic!("the services run on {} workers", workers.len());
        };
        assert_eq!(world.tasks_on(fuller), TASKS_PER_WORKER as usize);
        let on_fuller: Vec<u32> = SERVICES.filter(|n| world.runs_job_on(fuller, *n)).collect();
        for n in on_fuller.into_iter().take(2) {
            world.cancel_job_at(n, world.now);
        }
        world.run_until(world.now + 0.25 * f64::from(quarter_seconds));
        let was_busy = world.tasks_on(emptier) > 0;
        world.lose_instance(fuller);
        let drained_by = world.now + 0.5 * LEASE_S;
        while world.tasks_on(emptier) > 0 && world.now < drained_by {
            world.run_until(world.now + 0.25);
        }
        let name = format!("failure after {quarter_seconds} quarters of a second");
        if was_busy && world.tasks_on(emptier) == 0 {
            world.run_until(world.now + LEASE_S);
            let is_used = world.tasks_on(emptier) > 0;
            used_again += u32::from(is_used);
            assert!(
                is_used || !world.has_instance(emptier),
                "{name}: the drained worker is neither used nor released"
            );
        }
        assert_jobs_end(&mut world, &name);
    }
    assert!(used_again > 0, "no drained worker was used again");
}

/// Guards against consolidation that compares sizes on average only: a replica that fits on none of the other workers was
/// stopped to be moved there, started again on a new worker, and so on, with no disruption at all.
#[test]
fn a_replica_that_fits_nowhere_else_is_not_moved() {
    let mut world = World::with_size(45, 3, 3);
    // The last replica fills half of a worker. The others leave room for two replicas of average size, but not for it.
    for n in 1..=4 {
        world.add_replica(n, 5.0, "a", (1.0, 4.2));
    }
    world.add_replica(5, 15.0, "a", (1.0, 16.0));
    world.run_until(120.0);
    assert_eq!(world.starts, 5, "starts of the five replicas");
    world.check("replicas of different sizes");
}

/// Guards against a cordoned worker that is kept for ever: several jobs fail on the only worker, so it gets no more tasks
/// until one completes there, and none is started there. Another worker takes its place, or it is tried again.
#[test]
fn tasks_that_failed_on_the_only_worker_run() {
    // Each case: for how long the worker is faulty, and the number of instances that the cloud has in a pool.
    let cases = [(6.0, 3), (6.0, 1), (FOR_EVER_S, 3)];
    for (faulty_s, pool) in cases {
        for is_service in [false, true] {
            let name =
                format!("faulty for {faulty_s} s, service: {is_service}, {pool} instances a pool");
            let mut world = World::with_size(46, 3, pool);
            for n in SERVICES.take(TASKS_PER_WORKER as usize) {
                world.add_user_in_zone(n, 5.0, (1, 6.0, is_service, false), Some("a"), None);
            }
            let faulty = loop {
                world.run_until(world.now + 0.05);
                if let Some(faulty) = world.make_worker_faulty(0) {
                    break faulty;
                }
            };
            world.run_until(world.now + 6.0);
            assert!(
                world.failures_on(&faulty) >= 3,
                "{name}: too few failures on the faulty worker"
            );
            if faulty_s < FOR_EVER_S {
                world.repair_worker(&faulty);
            }
            assert_jobs_end(&mut world, &name);
            assert!(
                faulty_s < FOR_EVER_S || !world.has_instance(&faulty),
                "{name}: the faulty worker is kept"
            );
        }
    }
}

/// Guards against demand that is left to workers which the job may not use: short tasks that end all the time in one zone
/// were taken to make room for a job that may run in another zone only, so that no worker was requested for it.
#[test]
fn capacity_in_another_zone_serves_no_job() {
    for spot in [false, true] {
        let mut world = World::with_size(47, 3, 3);
        world.add_guest_job(1, 5.0, (2000, 3.0));
        world.restrict_last_job("b");
        world.run_until(40.0);
        let running = world.running_tasks_of(&[1]);
        assert!(running > 10, "{running} tasks run in the other zone");
        world.add_user_in_zone(2, 40.0, (2, 5.0, false, spot), Some("a"), None);
        world.run_until(40.0 + 2.0 * LEASE_S);
        let begun = world.users[1].first_started_at.is_some();
        assert!(begun, "spot {spot}: no task began while the others ran");
    }
}

/// Lasting faults of random workers in small fleets, some with a restart of the leader: all jobs end or run.
#[test]
fn random_lasting_faults_in_small_fleets() {
    for seed in 0..RANDOM_SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let controllers = if rng.random_bool(0.5) { 3 } else { 5 };
        let mut world = World::with_size(100 + seed, controllers, 4);
        for n in 1..=rng.random_range(1..=4) {
            let zone = [None, Some("a"), Some("b")][rng.random_range(0..3)];
            let tasks = rng.random_range(1..=TASKS_PER_WORKER);
            let is_service = rng.random_bool(0.5);
            let shape = (tasks, rng.random_range(3.0..40.0), is_service, !is_service);
            world.add_user_in_zone(n, rng.random_range(3.0..30.0), shape, zone, None);
        }
        world.run_until(rng.random_range(15.0..30.0));
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(1..=4) {
            let nth = rng.random_range(0..4);
            let fault = rng.random_range(0..7);
            match fault {
                0 => drop(world.reclaim_instance()),
                1 => drop(world.disconnect_worker(nth, FOR_EVER_S)),
                2 => drop(world.block_traffic_to_worker(nth, FOR_EVER_S)),
                3 => drop(world.make_worker_faulty(nth)),
                4 => drop(world.block_traffic_from_worker(nth, FOR_EVER_S)),
                5 => world.hang_workers(["a", "b"][nth % 2], FOR_EVER_S),
                _ => drop(world.restart_leader(rng.random_range(0.1..12.0))),
            }
            faults.push(format!("{fault} at {:.1}", world.now));
            world.run_until(world.now + rng.random_range(0.0..12.0));
        }
        assert_jobs_end(&mut world, &format!("seed {seed}, faults {faults:?}"));
    }
}

/// Guards against a worker that gets tasks for ever and loses all of them with each lease: it answers direct calls, but its
/// heartbeats reach no controller. Tasks that run for longer than a lease must end on another worker.
#[test]
fn tasks_end_although_the_only_worker_does_not_report() {
    for controllers in [3, 5] {
        let name = format!("{controllers} controllers");
        let mut world = world_with_busy_workers(1, (false, 3.0 * LEASE_S), controllers);
        let mute = world.block_traffic_from_worker(0, FOR_EVER_S);
        let mute = mute.expect("there is no worker");
        assert_jobs_end(&mut world, &name);
        world.run_until(world.now + 2.0 * LEASE_S);
        assert!(!world.has_instance(&mute), "{name}: the worker is kept");
    }
}
