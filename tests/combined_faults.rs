//! Meetings of troubles: rules mostly break where two troubles meet. Each case brings its meeting about,
//! shows that it took place, and then asks for all that holds on any other day.

mod world;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use world::{CANCEL_S, InvalidRequest, LEASE_S, NetworkFaults, World};

/// When the troubles begin: the machines are up and the first jobs run.
const BEGIN: f64 = 30.0;

/// Services, long arrays and short ones, up to the team's limit of twenty tasks.
fn crowd(world: &mut World) {
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

/// Runs to `at` after the troubles' begin.
fn to(world: &mut World, at: f64) {
    world.run_until(BEGIN + at);
}

/// Confirmed cancellations between two times after the troubles' begin.
fn told(world: &World, from: f64, to: f64) -> usize {
    world.cancellations_confirmed(BEGIN + from, BEGIN + to)
}

type Meeting = (&'static str, fn(&mut World));

/// Plays each meeting at three and five controllers, with two seeds.
fn play(meetings: &[Meeting]) {
    for (name, meeting) in meetings {
        for (nodes, seed) in [(3, 1), (3, 2), (5, 3), (5, 4)] {
            let mut world = World::with_size(seed, nodes, 3);
            crowd(&mut world);
            to(&mut world, 0.0);
            meeting(&mut world);
            let calm = world.now.max(BEGIN + 60.0);
            world.end_faults(calm);
            let end = world.now.max(BEGIN + 60.0) + 130.0;
            world.run_until(end);
            let name = format!("{name}, {nodes} controllers, seed {seed}");
            // However soon it would have been ended.
            assert_eq!(world.counts.starts_after_cancel, 0, "{name}");
            world.check_with_starvation(&name);
        }
    }
}

/// Who renews a worker's lease knows of every cancellation that could be due, or stops in time.
#[test]
fn cancellations_that_the_leader_does_not_hear_of() {
    play(&[
        ("refused alone, then an outage longer than cancel_s", |w| {
            assert!(w.fail_state_requests_of_leader(6.0));
            to(w, 0.1);
            assert!(w.cancel_jobs(6, 0, 0.0) >= 4);
            to(w, 1.6);
            assert!(told(w, 0.0, 1.6) >= 2, "confirmed while it was refused");
            w.state_service_outage_for(CANCEL_S + 8.0);
            to(w, 50.0);
        }),
        ("the same, and the machines of the cancelled hang", |w| {
            assert!(w.fail_state_requests_of_leader(6.0));
            to(w, 0.1);
            assert!(w.cancel_jobs(6, 4, LEASE_S - 2.0) >= 4);
            to(w, 1.6);
            assert!(told(w, 0.0, 1.6) >= 2, "confirmed while it was refused");
            w.state_service_outage_for(CANCEL_S + 8.0);
            to(w, 50.0);
        }),
        (
            "the same, with copies of reports, and the leader standing still",
            |w| {
                w.faults.duplicate_heartbeats = 0.4;
                w.faults.delayed_heartbeats = 0.1;
                assert!(w.fail_state_requests_of_leader(6.0));
                to(w, 0.1);
                assert!(w.cancel_jobs(6, 2, 5.0) >= 4);
                to(w, 1.6);
                assert!(told(w, 0.0, 1.6) >= 2, "confirmed while it was refused");
                w.state_service_outage_for(CANCEL_S + 8.0);
                w.pause_leader(12.0);
                to(w, 50.0);
            },
        ),
        (
            "cut from the state service and the peers, not from workers",
            |w| {
                assert!(w.isolate_leader_except_workers(60.0));
                to(w, 0.5);
                assert!(w.cancel_jobs(8, 2, 6.0) >= 4);
                to(w, 20.0);
                assert!(told(w, 0.0, 20.0) >= 4, "confirmed through the new leader");
                to(w, 62.0);
            },
        ),
        (
            "its watch hangs, and listings do, while its lease is renewed",
            |w| {
                assert!(w.hang_leader_watch(CANCEL_S + 18.0));
                w.hang_listings(CANCEL_S + 18.0);
                // Nor do users who ask bring it any word.
                assert!(w.divert_users_from_leader(CANCEL_S + 18.0));
                w.refuse_peer_connections(CANCEL_S + 18.0);
                to(w, 3.0);
                assert!(w.cancel_jobs(8, 0, 0.0) >= 4);
                to(w, 12.0);
                assert!(told(w, 3.0, 12.0) >= 4, "confirmed while it saw nothing");
                to(w, CANCEL_S + 20.0);
            },
        ),
        ("its watch hangs, while its lease is renewed", |w| {
            let reigns = w.leader_changes();
            assert!(w.hang_leader_watch(60.0));
            // Peers are no help either.
            w.refuse_peer_connections(60.0);
            to(w, 3.0);
            assert!(w.cancel_jobs(8, 0, 0.0) >= 4);
            // Jobs may have been cancelled of which it doesn't know.
            to(w, 6.0);
            let starts = w.starts;
            to(w, 12.0);
            assert!(told(w, 3.0, 12.0) >= 4, "confirmed while the watch hung");
            assert_eq!(w.starts, starts, "no starts meanwhile");
            assert_eq!(w.leader_changes(), reigns, "it still leads then");
            to(w, 62.0);
        }),
        ("the successor can't read its records", |w| {
            w.hang_listings(45.0);
            assert!(w.cancel_jobs(6, 0, 0.0) >= 4);
            to(w, 0.15);
            w.restart_leader(40.0);
            to(w, 10.0);
            assert!(
                told(w, 0.0, 10.0) >= 4,
                "confirmed while nobody could stop them"
            );
            to(w, 46.0);
        }),
        ("refused and back again and again", |w| {
            for i in 0..6 {
                to(w, 9.0 * f64::from(i));
                w.fail_state_requests_of_leader(1.2);
                let at = 9.0 * f64::from(i) + 0.2;
                to(w, at);
                w.cancel_jobs(1, 1, 4.0);
                to(w, at + 1.0);
                w.state_service_outage_for(4.0 + f64::from(i));
            }
            to(w, 60.0);
            assert!(told(w, 0.0, 60.0) >= 3);
        }),
        (
            "the state service is slow, refuses the leader, then everybody",
            |w| {
                w.faults.state_service_delay_s = 0.15;
                to(w, 5.0);
                assert!(w.fail_state_requests_of_leader(8.0));
                assert!(w.cancel_jobs(6, 0, 0.0) >= 4);
                w.repeat_requests();
                to(w, 8.5);
                assert!(told(w, 5.0, 8.5) >= 2, "confirmed while it was refused");
                w.state_service_outage_for(CANCEL_S + 5.0);
                to(w, 20.0);
                w.repeat_requests();
                w.send_invalid_requests();
                to(w, 45.0);
            },
        ),
    ]);
}

/// Leaders change, all end, or are away; machines can't be asked meanwhile.
#[test]
fn changes_of_leader() {
    play(&[
        ("tasks of a job end far apart across a change", |w| {
            for n in 40..46 {
                w.add_user(n, BEGIN + 0.1, (2 + n % 2, 4.0, false, false), None);
                if let Some(user) = w.users.last_mut() {
                    user.runtime_step_s = 14.0;
                }
            }
            to(w, 14.0);
            assert!(w.partly_done_jobs() >= 2, "the first tasks have ended");
            w.restart_leader(3.0);
            to(w, 26.0);
            w.restart_leader(0.2);
            to(w, 60.0);
        }),
        (
            "a leader ends while machines with long tasks can't be reached",
            |w| {
                for nth in 0..3 {
                    w.disconnect_worker(nth, LEASE_S + 6.0);
                }
                for nth in 3..6 {
                    w.block_traffic_to_worker(nth, LEASE_S + 4.0);
                }
                to(w, 1.0);
                let reigns = w.leader_changes();
                w.restart_leader(20.0);
                to(w, 9.0);
                assert!(
                    w.leader_changes() > reigns,
                    "a successor leads while they can't be reached"
                );
                to(w, 40.0);
            },
        ),
        ("reports are held until a new leader has acted", |w| {
            w.faults.delayed_heartbeats = 0.3;
            for i in 0..5 {
                to(w, 6.0 * f64::from(i));
                w.restart_leader(0.3 + 2.0 * f64::from(i % 2));
            }
            to(w, 40.0);
            assert!(
                w.counts.stale_heartbeats >= 5,
                "{}",
                w.counts.stale_heartbeats
            );
        }),
        (
            "a team at its limit, machines that can't be asked, a cancellation",
            |w| {
                for n in 70..76 {
                    w.add_user(n, BEGIN, (3, 25.0, false, n % 2 == 0), None);
                }
                to(w, 8.0);
                assert!(w.used_cpus() >= 32.0, "{} of 40 CPUs", w.used_cpus());
                w.disconnect_worker(0, LEASE_S + 8.0);
                w.block_traffic_to_worker(1, LEASE_S + 8.0);
                w.restart_leader(4.0);
                to(w, 9.0);
                assert!(w.cancel_jobs(5, 2, 5.0) >= 3);
                to(w, 16.0);
                assert!(told(w, 9.0, 16.0) >= 3, "confirmed within the spell");
                to(w, 40.0);
            },
        ),
        (
            "controllers hand over and back, all end, one returns",
            |w| {
                let reigns = w.leader_changes();
                for i in 0..4 {
                    to(w, 3.0 * f64::from(i));
                    w.restart_leader(0.4);
                }
                to(w, 12.0);
                let now = w.now;
                for node in 0..w.controllers() {
                    let back = if node == 1 { 0.3 } else { 18.0 };
                    w.crash(node, now, now + back);
                }
                to(w, 24.0);
                assert!(
                    w.leader_changes() >= reigns + 4,
                    "{} reigns",
                    w.leader_changes() - reigns
                );
                to(w, 40.0);
            },
        ),
        ("ten changes in two minutes, also inside an outage", |w| {
            let reigns = w.leader_changes();
            for i in 0..10 {
                to(w, 12.0 * f64::from(i));
                w.restart_leader(if i % 3 == 0 { 5.0 } else { 0.5 });
                if i == 4 {
                    let now = w.now;
                    w.state_service_outage(now + 1.0, now + 14.0);
                }
                if i % 4 == 1 {
                    w.cancel_jobs(1, 1, 4.0);
                }
            }
            to(w, 121.0);
            assert!(
                w.leader_changes() >= reigns + 8,
                "{} reigns",
                w.leader_changes() - reigns
            );
        }),
        ("all controllers are away for longer than a lease", |w| {
            let now = w.now;
            for node in 0..w.controllers() {
                w.crash(node, now, now + LEASE_S + 3.0 + 0.2 * node as f64);
            }
            to(w, LEASE_S + 2.5);
            assert!(w.workers_with_new_incarnation() >= 3, "sessions end");
            to(w, 30.0);
        }),
        (
            "workers can't reach any controller, commands reach them",
            |w| {
                for nth in 0..4 {
                    w.block_traffic_from_worker(nth, LEASE_S + 4.0);
                }
                to(w, 3.0);
                w.cancel_jobs(2, 0, 0.0);
                w.restart_leader(2.0);
                to(w, LEASE_S + 2.0);
                assert!(
                    w.workers_with_new_incarnation() >= 2,
                    "{}",
                    w.workers_with_new_incarnation()
                );
                to(w, 30.0);
            },
        ),
    ]);
}

/// Messages, commands and transactions arrive late, after newer ones.
#[test]
fn late_messages() {
    play(&[
        ("transactions are carried out after newer ones", |w| {
            w.faults.late_transactions = 0.25;
            for i in 0..6 {
                to(w, 8.0 * f64::from(i));
                w.cancel_jobs(1, 0, 0.0);
                if i % 2 == 1 {
                    w.restart_leader(0.5);
                }
            }
            to(w, 50.0);
            assert!(w.counts.late_txns >= 8, "{}", w.counts.late_txns);
            assert!(
                w.counts.out_of_order_txns >= 1,
                "{}",
                w.counts.out_of_order_txns
            );
        }),
        ("old reports, of earlier sessions and attempts too", |w| {
            w.faults.duplicate_heartbeats = 0.6;
            for i in 0..6 {
                to(w, 7.0 * f64::from(i));
                w.restart_worker(i as usize % 4, i % 3 == 2);
                w.block_traffic_to_worker((i as usize + 1) % 4, LEASE_S + 2.0);
                if i % 2 == 0 {
                    w.restart_leader(0.4);
                }
            }
            to(w, 60.0);
            assert!(
                w.counts.stale_heartbeats >= 20,
                "{}",
                w.counts.stale_heartbeats
            );
            assert!(
                w.counts.heartbeats_of_old_incarnations >= 2,
                "{}",
                w.counts.heartbeats_of_old_incarnations
            );
        }),
        ("commands are held up, and the machine goes on", |w| {
            for i in 0..5 {
                to(w, 8.0 * f64::from(i));
                w.faults.late_requests = 0.15;
                w.cancel_jobs(2, 2, LEASE_S - 3.0);
                w.disconnect_worker(i as usize % 5, 6.0);
            }
            to(w, 45.0);
            assert!(told(w, 0.0, 45.0) >= 3);
        }),
        ("more work than room, over slow links", |w| {
            for n in 50..80 {
                let standing = n % 5 == 0;
                let cancel = standing.then_some(BEGIN + 50.0);
                w.add_user(n, BEGIN + 0.1, (4, 6.0, standing, n % 2 == 0), cancel);
            }
            w.faults.state_service_delay_s = 0.1;
            w.faults.lost_responses = 0.03;
            w.faults.late_requests = 0.03;
            to(w, 15.0);
            assert!(w.used_cpus() >= 32.0, "{} of 40 CPUs", w.used_cpus());
            to(w, 60.0);
            w.faults = NetworkFaults::default();
            to(w, 160.0);
        }),
    ]);
}

/// What users do at the very end of a job, and what they should not do at all.
#[test]
fn users_at_the_end() {
    play(&[
        ("called off at the end of the last task", |w| {
            w.faults.cancels_at_end = 0.5;
            to(w, 70.0);
            assert!(w.counts.cancels_at_end >= 3, "{}", w.counts.cancels_at_end);
        }),
        (
            "submitted again and asked about at the end of the last task",
            |w| {
                w.faults.requests_at_end = 0.7;
                to(w, 70.0);
                assert!(
                    w.counts.requests_at_end >= 4,
                    "{}",
                    w.counts.requests_at_end
                );
            },
        ),
        ("odd requests, amid an outage and a change", |w| {
            for i in 0..12 {
                to(w, 4.0 * f64::from(i));
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
            to(w, 55.0);
            for odd in [
                InvalidRequest::FitsNoInstance,
                InvalidRequest::UnknownTeam,
                InvalidRequest::ExceedsTeamLimit,
                InvalidRequest::MissingField,
                InvalidRequest::UnknownJob,
            ] {
                let answers = w
                    .counts
                    .invalid_request_answers
                    .get(&odd)
                    .copied()
                    .unwrap_or(0);
                assert!(answers >= 12, "{odd:?}: {answers} answers");
            }
        }),
    ]);
}

/// Zones: partitioned with workers and a controller, and jobs that are bound to one.
#[test]
fn zones() {
    play(&[
        (
            "a zone with workers and a controller, for longer than a lease",
            |w| {
                assert!(w.partition_zone("b", false, 1, LEASE_S + 8.0));
                to(w, 2.0);
                w.cancel_jobs(3, 0, 0.0);
                to(w, 30.0);
                assert!(told(w, 2.0, 18.0) >= 2, "confirmed during the cut");
            },
        ),
        (
            "the same with the leader, for longer than its hold-over",
            |w| {
                assert!(w.partition_zone("b", true, 0, CANCEL_S + 5.0));
                to(w, 2.0);
                w.cancel_jobs(5, 2, 4.0);
                to(w, 45.0);
                assert!(told(w, 2.0, 34.0) >= 2, "confirmed during the cut");
            },
        ),
        ("jobs bound to one zone lose machines", |w| {
            w.add_user_in_zone(60, BEGIN, (3, 0.0, true, false), Some("b"), None);
            w.add_user_in_zone(61, BEGIN, (6, 15.0, false, false), Some("b"), None);
            w.add_user_in_zone(62, BEGIN, (6, 15.0, false, true), Some("a"), None);
            to(w, 14.0);
            assert!(w.running_tasks_of(&[60, 61, 62]) >= 3, "they run");
            let before: BTreeSet<String> = w.instances_in("b", false);
            assert!(!before.is_empty());
            let lost = w.lose_instances("b", 2);
            assert!(lost >= 1, "{lost} lost");
            w.restart_leader(2.0);
            to(w, 50.0);
        }),
    ]);
}

/// All meetings at once, in an order that the seed gives; the seeds are fixed.
#[test]
fn storms_of_meetings() {
    for seed in 0..16u64 {
        let nodes = if seed % 2 == 0 { 3 } else { 5 };
        let large = seed % 4 == 3;
        let mut world = World::with_size(seed, nodes, if large { 12 } else { 3 });
        crowd(&mut world);
        let mut chance = SmallRng::seed_from_u64(seed);
        for n in 40..60 {
            let at = 10.0 + chance.random::<f64>() * 70.0;
            let standing = n % 10 == 0;
            let cancel = (n % 3 == 0).then_some(at + chance.random::<f64>() * 40.0);
            let zone = [None, None, Some("a"), Some("b")][n as usize % 4 * usize::from(n % 5 < 2)];
            let tasks = chance.random_range(1..4);
            world.add_user_in_zone(n, at, (tasks, 9.0, standing, n % 2 == 0), zone, cancel);
            if let Some(user) = world.users.last_mut() {
                user.runtime_step_s = chance.random::<f64>() * 9.0;
            }
        }
        let some = |chance: &mut SmallRng, of: f64| NetworkFaults::random_strength(chance, 0.4, of);
        world.faults = NetworkFaults {
            lost_responses: some(&mut chance, 0.04),
            late_requests: some(&mut chance, 0.04),
            duplicate_heartbeats: some(&mut chance, 0.5),
            repeated_requests: some(&mut chance, 0.1),
            state_service_delay_s: some(&mut chance, 0.15),
            late_transactions: some(&mut chance, 0.2),
            delayed_heartbeats: some(&mut chance, 0.2),
            cancels_at_end: some(&mut chance, 0.4),
            requests_at_end: some(&mut chance, 0.4),
            ..NetworkFaults::default()
        };
        to(&mut world, 0.0);
        for _ in 0..14 {
            let next = world.now + chance.random::<f64>() * 9.0;
            world.run_until(next);
            let nth = chance.random_range(0..8);
            let for_s = NetworkFaults::random_duration(&mut chance);
            match chance.random_range(0..18) {
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
                    for node in 0..nodes {
                        let back = now + 0.2 + for_s.min(20.0) + 0.1 * node as f64;
                        world.crash(node, now, back);
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
        let calm = world.now + 1.5 * CANCEL_S;
        world.end_faults(calm);
        let end = world.now + 1.5 * CANCEL_S + 150.0;
        world.run_until(end);
        world.check_with_starvation(&format!("seed {seed}"));
    }
}
