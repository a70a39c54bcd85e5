//! A digest of the controllers' behaviour. Each seed determines a simulation with random jobs and random faults of
//! all kinds. The digest of a seed is one hash over all messages that the controllers send in its simulation.

use super::recorder::RecordKind;
use super::*;
use std::fmt;

/// When the faults begin. By then, the instances and the first jobs are running.
const FAULTS_BEGIN_S: f64 = 20.0;
/// No fault begins later than this, though faults may last longer.
const LAST_FAULT_S: f64 = 110.0;
/// When the simulation ends. The controllers have the time since the last fault to recover.
const END_S: f64 = 150.0;
/// The longest time between two faults.
const MAX_FAULT_INTERVAL_S: f64 = 6.0;

/// Number of instances in each of the cloud's four pools, for each size of world. In tiny and small worlds, the team
/// has a CPU limit.
const TINY_POOL: u32 = 1;
const SMALL_POOL: u32 = 3;
const MEDIUM_POOL: u32 = 12;
const LARGE_POOL: u32 = 30;
const LARGEST_POOL: u32 = 80;
/// One seed in this many has a world of the size; if several sizes apply to a seed, the largest is used, except that
/// tiny comes before medium. All other seeds have small worlds. The numbers are odd, so that each size is combined
/// with both three and five controllers.
const LARGEST_EVERY: u64 = 35;
const LARGE_EVERY: u64 = 15;
const TINY_EVERY: u64 = 9;
const MEDIUM_EVERY: u64 = 5;

/// Number of the first random job; lower numbers belong to `World::add_mixed_jobs`.
const FIRST_JOB: u32 = 100;
/// Number of random jobs, to which the number of instances in a pool is added.
const MIN_JOBS: u32 = 24;
/// Maximum number of tasks of a job, to which the number of instances in a pool is added.
const MAX_TASKS: u32 = 4;
/// Maximum number of tasks of a service or of a failing job; so few that the team's limit allows them.
const MAX_REPLICAS: u32 = 8;

/// Tasks run for at least `MIN_RUN_S`, and up to `RUN_RANGE_S` longer.
const MIN_RUN_S: f64 = 2.0;
const RUN_RANGE_S: f64 = 18.0;
/// In some jobs each task runs longer than the one before it, by up to this time.
const MAX_RUNTIME_STEP_S: f64 = 9.0;
/// Longest time from the submission of a job to its cancellation.
const CANCELLED_WITHIN_S: f64 = 40.0;
/// Probability that a job of a kind that may be cancelled is cancelled.
const CANCELLED_SHARE: f64 = 0.25;
/// Number of equally likely values from which `add_random_jobs` chooses the kind of a job, and `inject_random_fault`
/// that of a fault.
const JOB_KINDS: u32 = 12;
const FAULT_KINDS: u32 = 25;

/// Longest time for which a restarted leader is down.
const MAX_LEADER_DOWN_S: f64 = 15.0;
/// Longest time for which all controllers are down together.
const MAX_ALL_DOWN_S: f64 = 20.0;
/// Time between the starts of two controllers after all were down.
const START_INTERVAL_S: f64 = 0.1;
/// Maximum number of instances or jobs affected by one fault.
const MAX_TARGETS: usize = 3;

/// Probability that the simulation of a seed has network faults of a given kind.
const NETWORK_FAULT_PROBABILITY: f64 = 0.4;

/// The result of a seed's simulation.
pub struct Digest {
    pub seed: u64,
    pub controllers: usize,
    /// Maximum number of instances that existed at a time.
    pub workers: usize,
    pub hash: String,
    /// Number of messages of each kind in the hash.
    pub records: BTreeMap<RecordKind, u64>,
    /// Descriptions of the violated invariants, which are not part of the hash.
    pub violations: Vec<String>,
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {} controllers {} workers {} {}",
            self.seed, self.controllers, self.workers, self.hash
        )
    }
}

/// Runs the simulation of a seed, and returns its digest.
pub fn run_seed(seed: u64) -> Digest {
    let controllers = if seed.is_multiple_of(2) { 3 } else { 5 };
    let pool = instances_per_pool(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::with_size(seed, controllers, pool);
    world.recorder = Some(Recorder::default());
    world.add_mixed_jobs();
    add_random_jobs(&mut world, &mut rng, pool);
    world.faults = random_network_faults(&mut rng);
    world.run_until(FAULTS_BEGIN_S);
    let mut workers = world.instance_count();
    while world.now < LAST_FAULT_S {
        let next = world.now + rng.random::<f64>() * MAX_FAULT_INTERVAL_S;
        world.run_until(next);
        workers = workers.max(world.instance_count());
        inject_random_fault(&mut world, &mut rng);
    }
    world.end_faults(f64::INFINITY);
    world.run_until(END_S);
    let recorder = world.recorder.take().unwrap_or_default();
    Digest {
        seed,
        controllers,
        workers,
        records: recorder.records.clone(),
        hash: recorder.hash(),
        violations: world.violations,
    }
}

fn instances_per_pool(seed: u64) -> u32 {
    let is_last_of = |every: u64| seed % every == every - 1;
    if is_last_of(LARGEST_EVERY) {
        LARGEST_POOL
    } else if is_last_of(LARGE_EVERY) {
        LARGE_POOL
    } else if is_last_of(TINY_EVERY) {
        TINY_POOL
    } else if is_last_of(MEDIUM_EVERY) {
        MEDIUM_POOL
    } else {
        SMALL_POOL
    }
}

/// Adds random jobs of all kinds, which are submitted throughout the simulation.
fn add_random_jobs(world: &mut World, rng: &mut SmallRng, pool: u32) {
    for n in FIRST_JOB..FIRST_JOB + MIN_JOBS + pool {
        let at = 1.0 + rng.random::<f64>() * LAST_FAULT_S;
        let tasks = rng.random_range(1..=MAX_TASKS + pool);
        let run_s = MIN_RUN_S + rng.random::<f64>() * RUN_RANGE_S;
        let cancel_time = at + rng.random::<f64>() * CANCELLED_WITHIN_S;
        let cancel_at = rng.random_bool(CANCELLED_SHARE).then_some(cancel_time);
        let zone = [None, None, Some("a"), Some("b")][rng.random_range(0..4)];
        let spot = rng.random_bool(0.5);
        match rng.random_range(0..JOB_KINDS) {
            0 => world.add_guest_job(n, at, (tasks, run_s)),
            1 => world.add_failing_job(n, at, (tasks.min(MAX_REPLICAS), spot), cancel_time),
            2 | 3 => {
                let service = (tasks.min(MAX_REPLICAS), 0.0, true, false);
                world.add_user_in_zone(n, at, service, zone, cancel_at);
            }
            4 => {
                world.add_user(n, at, (tasks, run_s, false, spot), None);
                world.cancel_job_at(n, cancel_time);
            }
            5 => {
                world.add_user(n, at, (tasks, run_s, false, spot), cancel_at);
                if let Some(user) = world.users.last_mut() {
                    user.runtime_step_s = rng.random::<f64>() * MAX_RUNTIME_STEP_S;
                }
            }
            6 => world.add_user_in_zone(n, at, (tasks, run_s, false, spot), zone, cancel_at),
            _ => world.add_user(n, at, (tasks, run_s, false, spot), cancel_at),
        }
    }
}

/// Returns network faults of which each is present with a certain probability, and then with a random strength.
fn random_network_faults(rng: &mut SmallRng) -> NetworkFaults {
    let mut random_strength =
        |max: f64| NetworkFaults::random_strength(rng, NETWORK_FAULT_PROBABILITY, max);
    NetworkFaults {
        lost_responses: random_strength(0.04),
        late_requests: random_strength(0.04),
        duplicate_heartbeats: random_strength(0.5),
        repeated_requests: random_strength(0.1),
        state_service_delay_s: random_strength(0.15),
        late_transactions: random_strength(0.2),
        delayed_heartbeats: random_strength(0.2),
        cancels_at_end: random_strength(0.4),
        requests_at_end: random_strength(0.4),
        extra_polls: random_strength(8.0),
        instant_boots: random_strength(0.8),
        failed_boots: random_strength(0.3),
    }
}

/// Injects a fault. Its kind, its targets and its duration are chosen at random.
fn inject_random_fault(world: &mut World, rng: &mut SmallRng) {
    let now = world.now;
    let nth = rng.random_range(0..world.instance_count().max(1));
    let target_count = rng.random_range(1..=MAX_TARGETS);
    let random_choice = rng.random_bool(0.5);
    let zone = if random_choice { "a" } else { "b" };
    let for_s = NetworkFaults::random_duration(rng);
    match rng.random_range(0..FAULT_KINDS) {
        0 => drop(world.restart_leader(for_s.min(MAX_LEADER_DOWN_S))),
        1 => drop(world.fail_state_requests_of_leader(for_s)),
        2 => drop(world.isolate_leader_except_workers(for_s)),
        3 => drop(world.pause_leader(for_s)),
        4 => drop(world.isolate_leader_except_state_service(for_s)),
        5 => drop(world.pause_leader_before_sending(for_s)),
        6 => drop(world.hang_leader(for_s)),
        7 => drop(world.divert_users_from_leader(for_s)),
        8 => drop(world.hang_leader_watch(for_s)),
        9 => world.hang_listings(for_s),
        10 => world.refuse_peer_connections(for_s),
        11 => drop(world.partition_zone(zone, rng.random_bool(0.5), target_count - 1, for_s)),
        12 => drop(world.disconnect_worker(nth, for_s)),
        13 => drop(world.block_traffic_to_worker(nth, for_s)),
        14 => drop(world.block_traffic_from_worker(nth, for_s)),
        15 => world.restart_worker(nth, random_choice),
        16 => drop(world.make_worker_faulty(nth)),
        17 => drop(world.reclaim_instance()),
        18 => drop(world.lose_instances(zone, target_count)),
        19 => drop(world.cancel_jobs(target_count, target_count - 1, for_s.min(LEASE_S - 1.0))),
        20 => world.send_invalid_requests(),
        21 => world.repeat_requests(),
        22 => {
            world.delayed_commands = DelayedCommands {
                until: now + for_s,
                delay_s: CANCEL_S * rng.random::<f64>(),
                copies_only: random_choice,
            }
        }
        23 => {
            for controller in 0..world.controllers() {
                let delay_s = START_INTERVAL_S * (controller + 1) as f64;
                world.crash(controller, now, now + delay_s + for_s.min(MAX_ALL_DOWN_S));
            }
        }
        _ => {
            // A job is cancelled halfway through the outage.
            world.state_service_outage_for(for_s);
            world.run_until(now + 0.5 * for_s);
            world.cancel_jobs(1, 1, 5.0);
        }
    }
}
