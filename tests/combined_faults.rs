//! Combinations of faults, as invariants are most often violated where two faults coincide. Each case injects a
//! combination and checks that the faults had the intended effects. At the end, no invariant may have been violated,
//! and the system must have recovered.

mod world;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use world::{CANCEL_S, InvalidRequest, LEASE_S, NetworkFaults, World};

/// When the faults begin, in simulated seconds. By then, the instances and the first jobs are running.
const FAULTS_BEGIN_S: f64 = 30.0;

/// Adds services, long arrays and a sequence of short arrays. The number of tasks that run at a time stays below the
/// team's limit of twenty.
fn add_jobs(world: &mut World) {
    for n in 0..4 {
        world.add_user(n, 0.5, (2, 0.0, true, false), None);
    }
    for n in 10..12 {
        world.add_user(n, 1.0, (2, 70.0, false, n % 2 == 0), None);
    }
    for n in 20..34 {
        let at = 4.0 + 6.0 * f64::from(n - 20);
        world.add_user(n, at, (3, 5.0, false, n % 2 == 0), None);
    }
}

/// Runs the simulation until `offset_s` seconds after the faults begin.
fn run_until_offset(world: &mut World, offset_s: f64) {
    world.run_until(FAULTS_BEGIN_S + offset_s);
}

/// Returns the number of cancellations that were confirmed between two times, in seconds after the faults begin.
fn cancellations_confirmed(world: &World, from: f64, until: f64) -> usize {
    world.cancellations_confirmed(FAULTS_BEGIN_S + from, FAULTS_BEGIN_S + until)
}

type Case = (&'static str, fn(&mut World));

/// Runs each case with three and with five controllers, with two seeds each.
fn run_cases(cases: &[Case]) {
    for (name, inject) in cases {
        for (controllers, seed) in [(3, 1), (3, 2), (5, 3), (5, 4)] {
            let mut world = World::with_size(seed, controllers, 3);
            add_jobs(&mut world);
            run_until_offset(&mut world, 0.0);
            inject(&mut world);
            let faults_end = world.now.max(FAULTS_BEGIN_S + 60.0);
            world.end_faults(faults_end);
            let end = world.now.max(FAULTS_BEGIN_S + 60.0) + 130.0;
            world.run_until(end);
            let name = format!("{name}, {controllers} controllers, seed {seed}");
            // No worker may receive a start after a confirmed cancellation, even if the task would be stopped in time.
            assert_eq!(
                world.counts.starts_after_cancel, 0,
                "{name}: starts after a confirmed cancellation"
            );
            world.check_with_starvation(&name);
        }
    }
}

/// Jobs are cancelled through other controllers while the leader can't learn of the cancellations. The leader must stop
/// renewing the leases of workers in time, so that the tasks of the cancelled jobs end.
#[test]
fn cancellations_that_the_leader_does_not_hear_of() {
    run_cases(&[
        (
            "state service fails for the leader alone, then an outage longer than cancel_s",
            |w| {
                assert!(w.fail_state_requests_of_leader(6.0));
                run_until_offset(w, 0.1);
                assert!(w.cancel_jobs(6, 0, 0.0) >= 4);
                run_until_offset(w, 1.6);
                assert!(
                    cancellations_confirmed(w, 0.0, 1.6) >= 2,
                    "too few cancellations confirmed while the state service failed for the leader"
                );
                w.state_service_outage_for(CANCEL_S + 8.0);
                run_until_offset(w, 50.0);
            },
        ),
        (
            "state service fails for the leader alone, then a long outage, and workers of the cancelled jobs hang",
            |w| {
                assert!(w.fail_state_requests_of_leader(6.0));
                run_until_offset(w, 0.1);
                assert!(w.cancel_jobs(6, 4, LEASE_S - 2.0) >= 4);
                run_until_offset(w, 1.6);
                assert!(
                    cancellations_confirmed(w, 0.0, 1.6) >= 2,
                    "too few cancellations confirmed while the state service failed for the leader"
                );
                w.state_service_outage_for(CANCEL_S + 8.0);
                run_until_offset(w, 50.0);
            },
        ),
        (
            "state service fails for the leader alone, then a long outage, duplicate heartbeats, leader pauses",
            |w| {
                w.faults.duplicate_heartbeats = 0.4;
                w.faults.delayed_heartbeats = 0.1;
                assert!(w.fail_state_requests_of_leader(6.0));
                run_until_offset(w, 0.1);
                assert!(w.cancel_jobs(6, 2, 5.0) >= 4);
                run_until_offset(w, 1.6);
                assert!(
                    cancellations_confirmed(w, 0.0, 1.6) >= 2,
                    "too few cancellations confirmed while the state service failed for the leader"
                );
                w.state_service_outage_for(CANCEL_S + 8.0);
                w.pause_leader(12.0);
                run_until_offset(w, 50.0);
            },
        ),
        (
            "leader isolated from the state service and its peers, not from workers",
            |w| {
                assert!(w.isolate_leader_except_workers(60.0));
                run_until_offset(w, 0.5);
                assert!(w.cancel_jobs(8, 2, 6.0) >= 4);
                run_until_offset(w, 20.0);
                assert!(
                    cancellations_confirmed(w, 0.0, 20.0) >= 4,
                    "too few cancellations confirmed while the old leader was isolated"
                );
                run_until_offset(w, 62.0);
            },
        ),
        (
            "the leader's watch and listings hang while it renews its lease",
            |w| {
                assert!(w.hang_leader_watch(CANCEL_S + 18.0));
                w.hang_listings(CANCEL_S + 18.0);
                // The leader can't learn of the cancellations from user requests either.
                assert!(w.divert_users_from_leader(CANCEL_S + 18.0));
                w.refuse_peer_connections(CANCEL_S + 18.0);
                run_until_offset(w, 3.0);
                assert!(w.cancel_jobs(8, 0, 0.0) >= 4);
                run_until_offset(w, 12.0);
                assert!(
                    cancellations_confirmed(w, 3.0, 12.0) >= 4,
                    "too few cancellations confirmed while the leader could not learn of them"
                );
                run_until_offset(w, CANCEL_S + 20.0);
            },
        ),
        ("the leader's watch hangs while it renews its lease", |w| {
            let elections = w.leader_changes();
            assert!(w.hang_leader_watch(60.0));
            // The leader can't learn of the cancellations from its peers either.
            w.refuse_peer_connections(60.0);
            run_until_offset(w, 3.0);
            assert!(w.cancel_jobs(8, 0, 0.0) >= 4);
            // From here on the leader's view is too old to start tasks.
            run_until_offset(w, 6.0);
            let starts = w.starts;
            run_until_offset(w, 12.0);
            assert!(
                cancellations_confirmed(w, 3.0, 12.0) >= 4,
                "too few cancellations confirmed while the watch hung"
            );
            assert_eq!(w.starts, starts, "tasks were started on an old view");
            assert_eq!(w.leader_changes(), elections, "the leader changed");
            run_until_offset(w, 62.0);
        }),
        ("the new leader can't list the records", |w| {
            w.hang_listings(45.0);
            assert!(w.cancel_jobs(6, 0, 0.0) >= 4);
            run_until_offset(w, 0.15);
            w.restart_leader(40.0);
            run_until_offset(w, 10.0);
            assert!(
                cancellations_confirmed(w, 0.0, 10.0) >= 4,
                "too few cancellations confirmed while no leader could stop the tasks"
            );
            run_until_offset(w, 46.0);
        }),
        (
            "state service fails for the leader, then for all, six times",
            |w| {
                for i in 0..6 {
                    run_until_offset(w, 9.0 * f64::from(i));
                    w.fail_state_requests_of_leader(1.2);
                    let at = 9.0 * f64::from(i) + 0.2;
                    run_until_offset(w, at);
                    w.cancel_jobs(1, 1, 4.0);
                    run_until_offset(w, at + 1.0);
                    w.state_service_outage_for(4.0 + f64::from(i));
                }
                run_until_offset(w, 60.0);
                assert!(cancellations_confirmed(w, 0.0, 60.0) >= 3);
            },
        ),
        (
            "the state service is slow, fails for the leader, then for all",
            |w| {
                w.faults.state_service_delay_s = 0.15;
                run_until_offset(w, 5.0);
                assert!(w.fail_state_requests_of_leader(8.0));
                assert!(w.cancel_jobs(6, 0, 0.0) >= 4);
                w.repeat_requests();
                run_until_offset(w, 8.5);
                assert!(
                    cancellations_confirmed(w, 5.0, 8.5) >= 2,
                    "too few cancellations confirmed while the state service failed for the leader"
                );
                w.state_service_outage_for(CANCEL_S + 5.0);
                run_until_offset(w, 20.0);
                w.repeat_requests();
                w.send_invalid_requests();
                run_until_offset(w, 45.0);
            },
        ),
    ]);
}

/// Changes of leader, and restarts or failures of all controllers, in some cases while workers are unreachable.
#[test]
fn changes_of_leader() {
    run_cases(&[
        (
            "tasks of a job end before and long after a change of leader",
            |w| {
                for n in 40..46 {
                    w.add_user(
                        n,
                        FAULTS_BEGIN_S + 0.1,
                        (2 + n % 2, 4.0, false, false),
                        None,
                    );
                    if let Some(user) = w.users.last_mut() {
                        user.runtime_step_s = 14.0;
                    }
                }
                run_until_offset(w, 14.0);
                assert!(w.partly_done_jobs() >= 2, "too few partly completed jobs");
                w.restart_leader(3.0);
                run_until_offset(w, 26.0);
                w.restart_leader(0.2);
                run_until_offset(w, 60.0);
            },
        ),
        (
            "the leader restarts while workers with long tasks are unreachable",
            |w| {
                for nth in 0..3 {
                    w.disconnect_worker(nth, LEASE_S + 6.0);
                }
                for nth in 3..6 {
                    w.block_traffic_to_worker(nth, LEASE_S + 4.0);
                }
                run_until_offset(w, 1.0);
                let elections = w.leader_changes();
                w.restart_leader(20.0);
                run_until_offset(w, 9.0);
                assert!(
                    w.leader_changes() > elections,
                    "no new leader was elected while workers were unreachable"
                );
                run_until_offset(w, 40.0);
            },
        ),
        ("heartbeats are delayed until a new leader has acted", |w| {
            w.faults.delayed_heartbeats = 0.3;
            for i in 0..5 {
                run_until_offset(w, 6.0 * f64::from(i));
                w.restart_leader(0.3 + 2.0 * f64::from(i % 2));
            }
            run_until_offset(w, 40.0);
            assert!(
                w.counts.stale_heartbeats >= 5,
                "only {} stale heartbeats, instead of at least 5",
                w.counts.stale_heartbeats
            );
        }),
        (
            "a team at its limit, unreachable workers, and cancellations",
            |w| {
                for n in 70..76 {
                    w.add_user(n, FAULTS_BEGIN_S, (3, 25.0, false, n % 2 == 0), None);
                }
                run_until_offset(w, 8.0);
                assert!(
                    w.used_cpus() >= 32.0,
                    "only {} of 40 CPUs are in use, instead of at least 32",
                    w.used_cpus()
                );
                w.disconnect_worker(0, LEASE_S + 8.0);
                w.block_traffic_to_worker(1, LEASE_S + 8.0);
                w.restart_leader(4.0);
                run_until_offset(w, 9.0);
                assert!(w.cancel_jobs(5, 2, 5.0) >= 3);
                run_until_offset(w, 16.0);
                assert!(
                    cancellations_confirmed(w, 9.0, 16.0) >= 3,
                    "too few cancellations confirmed while workers were unreachable"
                );
                run_until_offset(w, 40.0);
            },
        ),
        (
            "frequent changes of leader, then all controllers crash and one restarts early",
            |w| {
                let elections = w.leader_changes();
                for i in 0..4 {
                    run_until_offset(w, 3.0 * f64::from(i));
                    w.restart_leader(0.4);
                }
                run_until_offset(w, 12.0);
                let now = w.now;
                for controller in 0..w.controllers() {
                    let back = if controller == 1 { 0.3 } else { 18.0 };
                    w.crash(controller, now, now + back);
                }
                run_until_offset(w, 24.0);
                assert!(
                    w.leader_changes() >= elections + 4,
                    "only {} elections, instead of at least 4",
                    w.leader_changes() - elections
                );
                run_until_offset(w, 40.0);
            },
        ),
        (
            "ten restarts of the leader in two minutes, one during an outage",
            |w| {
                let elections = w.leader_changes();
                for i in 0..10 {
                    run_until_offset(w, 12.0 * f64::from(i));
                    w.restart_leader(if i % 3 == 0 { 5.0 } else { 0.5 });
                    if i == 4 {
                        let now = w.now;
                        w.state_service_outage(now + 1.0, now + 14.0);
                    }
                    if i % 4 == 1 {
                        w.cancel_jobs(1, 1, 4.0);
                    }
                }
                run_until_offset(w, 121.0);
                assert!(
                    w.leader_changes() >= elections + 8,
                    "only {} elections, instead of at least 8",
                    w.leader_changes() - elections
                );
            },
        ),
        ("all controllers are down for longer than a lease", |w| {
            let now = w.now;
            for controller in 0..w.controllers() {
                w.crash(
                    controller,
                    now,
                    now + LEASE_S + 3.0 + 0.2 * controller as f64,
                );
            }
            run_until_offset(w, LEASE_S + 2.5);
            assert!(
                w.workers_with_new_incarnation() >= 3,
                "too few workers have begun a new incarnation because their lease expired"
            );
            run_until_offset(w, 30.0);
        }),
        (
            "heartbeats of workers are lost, while direct calls reach the workers",
            |w| {
                for nth in 0..4 {
                    w.block_traffic_from_worker(nth, LEASE_S + 4.0);
                }
                run_until_offset(w, 3.0);
                w.cancel_jobs(2, 0, 0.0);
                w.restart_leader(2.0);
                run_until_offset(w, LEASE_S + 2.0);
                assert!(
                    w.workers_with_new_incarnation() >= 2,
                    "only {} workers with a new incarnation, instead of at least 2",
                    w.workers_with_new_incarnation()
                );
                run_until_offset(w, 30.0);
            },
        ),
    ]);
}

/// Heartbeats, direct calls and transactions arrive late, after newer ones were sent.
#[test]
fn late_messages() {
    run_cases(&[
        ("transactions are applied after newer ones", |w| {
            w.faults.late_transactions = 0.25;
            for i in 0..6 {
                run_until_offset(w, 8.0 * f64::from(i));
                w.cancel_jobs(1, 0, 0.0);
                if i % 2 == 1 {
                    w.restart_leader(0.5);
                }
            }
            run_until_offset(w, 50.0);
            assert!(
                w.counts.late_txns >= 8,
                "only {} late transactions, instead of at least 8",
                w.counts.late_txns
            );
            assert!(
                w.counts.out_of_order_txns >= 1,
                "only {} transactions out of order, instead of at least 1",
                w.counts.out_of_order_txns
            );
        }),
        (
            "late duplicates of heartbeats, some of which are of earlier incarnations",
            |w| {
                w.faults.duplicate_heartbeats = 0.6;
                for i in 0..6 {
                    run_until_offset(w, 7.0 * f64::from(i));
                    w.restart_worker(i as usize % 4, i % 3 == 2);
                    w.block_traffic_to_worker((i as usize + 1) % 4, LEASE_S + 2.0);
                    if i % 2 == 0 {
                        w.restart_leader(0.4);
                    }
                }
                run_until_offset(w, 60.0);
                assert!(
                    w.counts.stale_heartbeats >= 20,
                    "only {} stale heartbeats, instead of at least 20",
                    w.counts.stale_heartbeats
                );
                assert!(
                    w.counts.heartbeats_of_old_incarnations >= 2,
                    "only {} heartbeats of old incarnations, instead of at least 2",
                    w.counts.heartbeats_of_old_incarnations
                );
            },
        ),
        (
            "late requests, jobs cancelled on hung workers, and disconnected workers",
            |w| {
                for i in 0..5 {
                    run_until_offset(w, 8.0 * f64::from(i));
                    w.faults.late_requests = 0.15;
                    w.cancel_jobs(2, 2, LEASE_S - 3.0);
                    w.disconnect_worker(i as usize % 5, 6.0);
                }
                run_until_offset(w, 45.0);
                assert!(cancellations_confirmed(w, 0.0, 45.0) >= 3);
            },
        ),
        ("more tasks than capacity, over a slow network", |w| {
            for n in 50..80 {
                let is_service = n % 5 == 0;
                let cancel_at = is_service.then_some(FAULTS_BEGIN_S + 50.0);
                w.add_user(
                    n,
                    FAULTS_BEGIN_S + 0.1,
                    (4, 6.0, is_service, n % 2 == 0),
                    cancel_at,
                );
            }
            w.faults.state_service_delay_s = 0.1;
            w.faults.lost_responses = 0.03;
            w.faults.late_requests = 0.03;
            run_until_offset(w, 15.0);
            assert!(
                w.used_cpus() >= 32.0,
                "only {} of 40 CPUs are in use, instead of at least 32",
                w.used_cpus()
            );
            run_until_offset(w, 60.0);
            w.faults = NetworkFaults::default();
            run_until_offset(w, 160.0);
        }),
    ]);
}

/// User requests just after the end of a job's last task, and invalid requests.
#[test]
fn user_requests_at_the_end_of_a_job() {
    run_cases(&[
        (
            "jobs are cancelled just after the end of their last task",
            |w| {
                w.faults.cancels_at_end = 0.5;
                run_until_offset(w, 70.0);
                assert!(
                    w.counts.cancels_at_end >= 3,
                    "only {} cancellations at the end of a job, instead of at least 3",
                    w.counts.cancels_at_end
                );
            },
        ),
        (
            "jobs are submitted again and polled just after the end of their last task",
            |w| {
                w.faults.requests_at_end = 0.7;
                run_until_offset(w, 70.0);
                assert!(
                    w.counts.requests_at_end >= 4,
                    "only {} requests at the end of a job, instead of at least 4",
                    w.counts.requests_at_end
                );
            },
        ),
        (
            "invalid requests during an outage and a change of leader",
            |w| {
                for i in 0..12 {
                    run_until_offset(w, 4.0 * f64::from(i));
                    w.send_invalid_requests();
                    w.repeat_requests();
                    match i {
                        3 => {
                            w.state_service_outage_for(9.0);
                        }
                        7 => {
                            w.restart_leader(3.0);
                        }
                        _ => {}
                    }
                }
                run_until_offset(w, 55.0);
                for request in [
                    InvalidRequest::FitsNoInstance,
                    InvalidRequest::UnknownTeam,
                    InvalidRequest::ExceedsTeamLimit,
                    InvalidRequest::MissingField,
                    InvalidRequest::UnknownJob,
                ] {
                    let answers = w
                        .counts
                        .invalid_request_answers
                        .get(&request)
                        .copied()
                        .unwrap_or(0);
                    assert!(
                        answers >= 12,
                        "{request:?}: only {answers} responses with the expected status, instead of at least 12"
                    );
                }
            },
        ),
    ]);
}

/// Partitions with the workers of a zone and a controller on one side, and jobs that are restricted to one zone.
#[test]
fn partitioned_zones() {
    run_cases(&[
        (
            "a zone with workers and a follower is partitioned for longer than a lease",
            |w| {
                assert!(w.partition_zone("b", false, 1, LEASE_S + 8.0));
                run_until_offset(w, 2.0);
                w.cancel_jobs(3, 0, 0.0);
                run_until_offset(w, 30.0);
                assert!(
                    cancellations_confirmed(w, 2.0, 18.0) >= 2,
                    "too few cancellations confirmed during the partition"
                );
            },
        ),
        (
            "a zone with workers and the leader is partitioned for longer than the lease grace period",
            |w| {
                assert!(w.partition_zone("b", true, 0, CANCEL_S + 5.0));
                run_until_offset(w, 2.0);
                w.cancel_jobs(5, 2, 4.0);
                run_until_offset(w, 45.0);
                assert!(
                    cancellations_confirmed(w, 2.0, 34.0) >= 2,
                    "too few cancellations confirmed during the partition"
                );
            },
        ),
        (
            "jobs that are restricted to one zone lose instances in it",
            |w| {
                w.add_user_in_zone(60, FAULTS_BEGIN_S, (3, 0.0, true, false), Some("b"), None);
                w.add_user_in_zone(61, FAULTS_BEGIN_S, (6, 15.0, false, false), Some("b"), None);
                w.add_user_in_zone(62, FAULTS_BEGIN_S, (6, 15.0, false, true), Some("a"), None);
                run_until_offset(w, 14.0);
                assert!(
                    w.running_tasks_of(&[60, 61, 62]) >= 3,
                    "fewer than three tasks of the restricted jobs run"
                );
                let before: BTreeSet<String> = w.instances_in("b", false);
                assert!(!before.is_empty(), "no on-demand instance in zone b");
                let lost = w.lose_instances("b", 2);
                assert!(lost >= 1, "no instance was removed");
                w.restart_leader(2.0);
                run_until_offset(w, 50.0);
            },
        ),
    ]);
}

/// Random sequences of 18 kinds of faults, with fixed seeds.
#[test]
fn random_combinations_of_faults() {
    for seed in 0..16u64 {
        let controllers = if seed % 2 == 0 { 3 } else { 5 };
        let large = seed % 4 == 3;
        let mut world = World::with_size(seed, controllers, if large { 12 } else { 3 });
        add_jobs(&mut world);
        let mut rng = SmallRng::seed_from_u64(seed);
        for n in 40..60 {
            let at = 10.0 + rng.random::<f64>() * 70.0;
            let is_service = n % 10 == 0;
            let cancel_at = (n % 3 == 0).then_some(at + rng.random::<f64>() * 40.0);
            let zone = [None, None, Some("a"), Some("b")][n as usize % 4 * usize::from(n % 5 < 2)];
            let tasks = rng.random_range(1..4);
            world.add_user_in_zone(n, at, (tasks, 9.0, is_service, n % 2 == 0), zone, cancel_at);
            if let Some(user) = world.users.last_mut() {
                user.runtime_step_s = rng.random::<f64>() * 9.0;
            }
        }
        let random_strength =
            |rng: &mut SmallRng, max: f64| NetworkFaults::random_strength(rng, 0.4, max);
        world.faults = NetworkFaults {
            lost_responses: random_strength(&mut rng, 0.04),
            late_requests: random_strength(&mut rng, 0.04),
            duplicate_heartbeats: random_strength(&mut rng, 0.5),
            repeated_requests: random_strength(&mut rng, 0.1),
            state_service_delay_s: random_strength(&mut rng, 0.15),
            late_transactions: random_strength(&mut rng, 0.2),
            delayed_heartbeats: random_strength(&mut rng, 0.2),
            cancels_at_end: random_strength(&mut rng, 0.4),
            requests_at_end: random_strength(&mut rng, 0.4),
            ..NetworkFaults::default()
        };
        run_until_offset(&mut world, 0.0);
        for _ in 0..14 {
            let next = world.now + rng.random::<f64>() * 9.0;
            world.run_until(next);
            let nth = rng.random_range(0..8);
            let for_s = NetworkFaults::random_duration(&mut rng);
            match rng.random_range(0..18) {
                0 => drop(world.restart_leader(for_s.min(15.0))),
                1 => drop(world.fail_state_requests_of_leader(for_s)),
                2 => drop(world.isolate_leader_except_workers(for_s)),
                3 => drop(world.pause_leader(for_s)),
                4 => drop(world.isolate_leader_except_state_service(for_s)),
                5 => drop(world.disconnect_worker(nth, for_s)),
                6 => drop(world.block_traffic_to_worker(nth, for_s)),
                7 => drop(world.block_traffic_from_worker(nth, for_s)),
                8 => world.restart_worker(nth, false),
                9 => drop(world.partition_zone("b", nth % 2 == 0, nth % 3, for_s)),
                10 => drop(world.lose_instances("a", 1 + nth % 2)),
                11 => world.refuse_peer_connections(for_s),
                12 => drop(world.hang_leader_watch(for_s)),
                13 => world.hang_listings(for_s),
                14 => {
                    let now = world.now;
                    for controller in 0..controllers {
                        let back = now + 0.2 + for_s.min(20.0) + 0.1 * controller as f64;
                        world.crash(controller, now, back);
                    }
                }
                15 => {
                    world.send_invalid_requests();
                    world.repeat_requests();
                }
                16 => {
                    let now = world.now;
                    world.state_service_outage_for(for_s);
                    world.run_until(now + 0.5 * for_s);
                    world.cancel_jobs(1, 1, 5.0);
                    world.run_until(now + for_s + 0.01);
                }
                _ => drop(world.cancel_jobs(1 + nth % 3, nth % 3, for_s.min(LEASE_S - 1.0))),
            }
        }
        let faults_end = world.now + 1.5 * CANCEL_S;
        world.end_faults(faults_end);
        let end = world.now + 1.5 * CANCEL_S + 150.0;
        world.run_until(end);
        world.check_with_starvation(&format!("seed {seed}"));
    }
}
