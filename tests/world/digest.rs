//! A digest of the controllers' behaviour: a seed plays a storm of all troubles amid job traffic of all
//! kinds, and all that the controllers say meanwhile becomes one hash.

use super::recorder::RecordKind;
use super::*;
use std::fmt;

/// Troubles begin when the machines are up and the first jobs run.
const TROUBLES_FROM_S: f64 = 20.0;
/// When the last trouble has begun, and when the world ends: outages last beyond the first, and the second
/// leaves time to recover.
const TROUBLES_UNTIL_S: f64 = 110.0;
const END_S: f64 = 150.0;
/// The longest time between two troubles.
const BETWEEN_TROUBLES_S: f64 = 6.0;

/// Machines of each of the cloud's four pools. Small worlds have a limit for their team.
const TINY_POOL: u32 = 1;
const SMALL_POOL: u32 = 3;
const MIDDLE_POOL: u32 = 12;
const LARGE_POOL: u32 = 30;
const LARGEST_POOL: u32 = 80;
/// Every so many seeds have a world of this size; odd numbers, so that both numbers of controllers get each.
const LARGEST_EVERY: u64 = 35;
const LARGE_EVERY: u64 = 15;
const TINY_EVERY: u64 = 9;
const MIDDLE_EVERY: u64 = 5;

/// Numbers of the jobs of the traffic; those below are of `World::add_mixed_jobs`.
const FIRST_JOB: u32 = 100;
/// Jobs of the traffic in any world, and more for each machine of a pool.
const JOBS_AT_LEAST: u32 = 24;
/// The most tasks of a job in any world, and more for each machine of a pool.
const TASKS_AT_MOST: u32 = 4;
/// The most replicas of a service in any world: few enough for the team's limit.
const REPLICAS_AT_MOST: u32 = 8;

/// How long tasks run: so long at least, and up to so much longer.
const RUN_AT_LEAST_S: f64 = 2.0;
const RUN_LONGER_S: f64 = 18.0;
/// Each task of a job runs for up to so much longer than the one before it.
const TASKS_APART_S: f64 = 9.0;
/// How soon after their submission jobs are cancelled, and how many of those that may be.
const CANCELLED_WITHIN_S: f64 = 40.0;
const CANCELLED_SHARE: f64 = 0.25;
/// The kinds of jobs that `traffic` tells apart, and those of troubles that `trouble` does.
const JOB_KINDS: u32 = 12;
const TROUBLE_KINDS: u32 = 25;

/// The longest time for which a leader is restarted, and all controllers; these come back
/// one after the other, so far apart.
const LEADER_BACK_S: f64 = 15.0;
const ALL_BACK_S: f64 = 20.0;
const BACK_APART_S: f64 = 0.1;
/// The most machines or jobs that one trouble hits.
const MAX_TARGETS: usize = 3;

/// How likely each trouble of the network is in a seed.
const WEATHER_LIKELIHOOD: f64 = 0.4;

/// What came of a seed.
pub struct Digest {
    pub seed: u64,
    pub controllers: usize,
    /// The most machines that were rented at a time.
    pub workers: usize,
    pub hash: String,
    /// How many records of each kind are in the hash.
    pub records: BTreeMap<RecordKind, u64>,
    /// Rules broken, in words; they aren't part of the hash.
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

/// Plays the storm of a seed from its beginning to its end.
pub fn run_seed(seed: u64) -> Digest {
    let controllers = if seed.is_multiple_of(2) { 3 } else { 5 };
    let pool = pool_of(seed);
    let mut chance = SmallRng::seed_from_u64(seed);
    let mut world = World::with_size(seed, controllers, pool);
    world.recorder = Some(Recorder::default());
    world.add_mixed_jobs();
    traffic(&mut world, &mut chance, pool);
    world.faults = weather(&mut chance);
    world.run_until(TROUBLES_FROM_S);
    let mut workers = world.instance_count();
    while world.now < TROUBLES_UNTIL_S {
        let next = world.now + chance.random::<f64>() * BETWEEN_TROUBLES_S;
        world.run_until(next);
        workers = workers.max(world.instance_count());
        trouble(&mut world, &mut chance);
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

fn pool_of(seed: u64) -> u32 {
    let last_of = |every: u64| seed % every == every - 1;
    if last_of(LARGEST_EVERY) {
        LARGEST_POOL
    } else if last_of(LARGE_EVERY) {
        LARGE_POOL
    } else if last_of(TINY_EVERY) {
        TINY_POOL
    } else if last_of(MIDDLE_EVERY) {
        MIDDLE_POOL
    } else {
        SMALL_POOL
    }
}

/// Jobs of all kinds, throughout the storm.
fn traffic(world: &mut World, chance: &mut SmallRng, pool: u32) {
    for n in FIRST_JOB..FIRST_JOB + JOBS_AT_LEAST + pool {
        let at = 1.0 + chance.random::<f64>() * TROUBLES_UNTIL_S;
        let tasks = chance.random_range(1..=TASKS_AT_MOST + pool);
        let run_s = RUN_AT_LEAST_S + chance.random::<f64>() * RUN_LONGER_S;
        let later = at + chance.random::<f64>() * CANCELLED_WITHIN_S;
        let cancel_at = chance.random_bool(CANCELLED_SHARE).then_some(later);
        let zone = [None, None, Some("a"), Some("b")][chance.random_range(0..4)];
        let spot = chance.random_bool(0.5);
        match chance.random_range(0..JOB_KINDS) {
            0 => world.add_guest_job(n, at, (tasks, run_s)),
            1 => world.add_failing_job(n, at, (tasks.min(REPLICAS_AT_MOST), spot), later),
            2 | 3 => {
                let service = (tasks.min(REPLICAS_AT_MOST), 0.0, true, false);
                world.add_user_in_zone(n, at, service, zone, cancel_at);
            }
            4 => {
                world.add_user(n, at, (tasks, run_s, false, spot), None);
                world.cancel_job_at(n, later);
            }
            5 => {
                world.add_user(n, at, (tasks, run_s, false, spot), cancel_at);
                if let Some(user) = world.users.last_mut() {
                    user.runtime_step_s = chance.random::<f64>() * TASKS_APART_S;
                }
            }
            6 => world.add_user_in_zone(n, at, (tasks, run_s, false, spot), zone, cancel_at),
            _ => world.add_user(n, at, (tasks, run_s, false, spot), cancel_at),
        }
    }
}

/// Some of the network's troubles, each of a random strength.
fn weather(chance: &mut SmallRng) -> NetworkFaults {
    let mut up_to = |most: f64| NetworkFaults::random_strength(chance, WEATHER_LIKELIHOOD, most);
    NetworkFaults {
        lost_responses: up_to(0.04),
        late_requests: up_to(0.04),
        duplicate_heartbeats: up_to(0.5),
        repeated_requests: up_to(0.1),
        state_service_delay_s: up_to(0.15),
        late_transactions: up_to(0.2),
        delayed_heartbeats: up_to(0.2),
        cancels_at_end: up_to(0.4),
        requests_at_end: up_to(0.4),
        extra_polls: up_to(8.0),
        instant_boots: up_to(0.8),
        failed_boots: up_to(0.3),
    }
}

/// One of all troubles, at random.
fn trouble(world: &mut World, chance: &mut SmallRng) {
    let now = world.now;
    let nth = chance.random_range(0..world.instance_count().max(1));
    let few = chance.random_range(1..=MAX_TARGETS);
    let by_chance = chance.random_bool(0.5);
    let zone = if by_chance { "a" } else { "b" };
    let for_s = NetworkFaults::random_duration(chance);
    match chance.random_range(0..TROUBLE_KINDS) {
        0 => drop(world.restart_leader(for_s.min(LEADER_BACK_S))),
        1 => drop(world.fail_state_requests_of_leader(for_s)),
        2 => drop(world.isolate_leader_except_workers(for_s)),
        3 => drop(world.pause_leader(for_s)),
        4 => drop(world.isolate_leader_except_state_service(for_s)),
        5 => drop(world.pause_leader_before_sending(for_s)),
        6 => drop(world.hang_leader(for_s)),
        7 => drop(world.bypass_leader(for_s)),
        8 => drop(world.hang_watch(for_s)),
        9 => world.hang_listings(for_s),
        10 => world.refuse_peer_connections(for_s),
        11 => drop(world.partition_zone(zone, chance.random_bool(0.5), few - 1, for_s)),
        12 => drop(world.disconnect_worker(nth, for_s)),
        13 => drop(world.block_traffic_to_worker(nth, for_s)),
        14 => drop(world.block_traffic_from_worker(nth, for_s)),
        15 => world.restart_worker(nth, by_chance),
        16 => drop(world.make_worker_faulty(nth)),
        17 => drop(world.reclaim_instance()),
        18 => drop(world.lose_instances(zone, few)),
        19 => drop(world.cancel_jobs(few, few - 1, for_s.min(LEASE_S - 1.0))),
        20 => world.send_invalid_requests(),
        21 => world.repeat_requests(),
        22 => {
            world.delayed_commands = DelayedCommands {
                until: now + for_s,
                delay_s: CANCEL_S * chance.random::<f64>(),
                copies_only: by_chance,
            }
        }
        23 => {
            for controller in 0..world.controllers() {
                let apart_s = BACK_APART_S * (controller + 1) as f64;
                world.crash(controller, now, now + apart_s + for_s.min(ALL_BACK_S));
            }
        }
        _ => {
            // Cancellations come in its midst.
            world.state_service_outage_for(for_s);
            world.run_until(now + 0.5 * for_s);
            world.cancel_jobs(1, 1, 5.0);
        }
    }
}
