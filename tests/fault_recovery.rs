//! The users' later rules and troubles, in the simulated world: at three and at five controllers,
//! each job is run or stays known, and is answered for soon after the troubles.

mod world;

use world::{NetworkFaults, World};

#[test]
fn each_trouble() {
    type Trouble = fn(&mut World);
    let cases: [(&str, Trouble); 22] = [
        ("copies of reports come late", |w| {
            w.faults.duplicate_heartbeats = 0.5;
            w.run_until(90.0);
            w.faults.duplicate_heartbeats = 0.0;
        }),
        ("copies come to a leader that has heard nothing yet", |w| {
            w.faults.duplicate_heartbeats = 0.5;
            for at in [20.0, 35.0, 50.0, 65.0] {
                w.run_until(at);
                w.restart_leader(6.0);
            }
            w.faults.duplicate_heartbeats = 0.0;
        }),
        (
            "no answer reaches two machines, for less than a lease",
            |w| {
                w.run_until(22.0);
                w.block_traffic_to_worker(0, 7.0);
                w.block_traffic_to_worker(1, 9.0);
            },
        ),
        ("no answer reaches two machines, for several leases", |w| {
            w.run_until(22.0);
            w.block_traffic_to_worker(0, 35.0);
            w.block_traffic_to_worker(1, 45.0);
        }),
        ("a leader is alone with its workers for a moment", |w| {
            w.run_until(25.0);
            w.isolate_leader_except_workers(1.5);
        }),
        (
            "a leader is alone until just before its hold-over ends",
            |w| {
                w.run_until(25.0);
                w.isolate_leader_except_workers(18.5);
            },
        ),
        ("a leader is alone until just after its hold-over", |w| {
            w.run_until(25.0);
            w.isolate_leader_except_workers(19.5);
        }),
        ("a leader is alone and copies come late", |w| {
            w.faults.duplicate_heartbeats = 0.3;
            w.run_until(25.0);
            w.isolate_leader_except_workers(45.0);
            w.run_until(80.0);
            w.faults.duplicate_heartbeats = 0.0;
        }),
        ("the leader is back at once, again and again", |w| {
            for i in 0..12 {
                w.run_until(20.0 + 2.7 * f64::from(i));
                w.restart_leader(0.1 + 0.02 * f64::from(i));
            }
        }),
        ("all controllers are back at once, amid elections", |w| {
            w.faults.late_requests = 0.05;
            for i in 0..8 {
                let at = 20.0 + 2.2 * f64::from(i);
                for node in 0..3 {
                    let shift = 0.07 * node as f64;
                    w.crash(node, at + shift, at + shift + 0.15);
                }
            }
            w.run_until(60.0);
            w.faults.late_requests = 0.0;
        }),
        ("what was carried out is asked once more", |w| {
            w.faults.repeated_requests = 0.3;
            for at in [20.0, 33.0, 46.0] {
                w.run_until(at);
                w.restart_worker(0, false);
                w.restart_leader(0.2);
                w.run_until(at + 4.0);
                w.block_traffic_to_worker(1, 5.0);
            }
            w.run_until(90.0);
            w.faults.repeated_requests = 0.0;
        }),
        ("a leader stands still for less than its lease", |w| {
            for i in 0..6 {
                w.run_until(20.0 + 5.0 * f64::from(i));
                w.pause_leader(0.4 + 0.25 * f64::from(i));
            }
        }),
        ("a leader stands still, and another takes over", |w| {
            w.run_until(25.0);
            w.pause_leader(6.0);
            w.run_until(40.0);
            w.pause_leader(16.0);
        }),
        ("a leader stands still for longer than its hold-over", |w| {
            w.run_until(25.0);
            w.pause_leader(34.0);
        }),
        ("a zone is cut off, with the leader outside", |w| {
            w.run_until(25.0);
            w.partition_zone("b", false, 0, 21.0);
            w.run_until(32.0);
            w.restart_leader(3.0);
        }),
        ("a zone is cut off, with the leader in it", |w| {
            w.run_until(25.0);
            w.partition_zone("b", true, 0, 21.0);
        }),
        (
            "a zone is cut off with the leader and another node, for longer than its hold-over",
            |w| {
                w.run_until(25.0);
                w.partition_zone("a", true, 1, 36.0);
            },
        ),
        ("many machines are lost at once", |w| {
            w.run_until(25.0);
            for _ in 0..4 {
                w.reclaim_instance();
            }
            w.disconnect_worker(0, 8.0);
            w.disconnect_worker(1, 25.0);
            w.disconnect_worker(2, 40.0);
        }),
        ("all controllers end twice, once in an outage", |w| {
            w.state_service_outage(24.0, 31.0);
            for (node, at) in [(0, 27.0), (1, 27.0), (2, 27.1)] {
                w.crash(node, at, at + 3.0);
                w.crash(node, at + 20.0, at + 23.0);
            }
            for node in 3..w.controllers() {
                w.crash(node, 27.0, 30.0);
                w.crash(node, 47.0, 50.0);
            }
        }),
        ("the state service is slow while the leader changes", |w| {
            w.run_until(18.0);
            w.faults.state_service_delay_s = 0.12;
            w.run_until(25.0);
            w.restart_leader(3.0);
            w.run_until(33.0);
            w.isolate_leader_except_workers(12.0);
            w.run_until(60.0);
            w.faults.state_service_delay_s = 0.0;
        }),
        ("nodes refuse one another while the leader changes", |w| {
            w.run_until(24.0);
            w.refuse_peer_connections(30.0);
            w.restart_leader(4.0);
            w.run_until(40.0);
            w.isolate_leader_except_state_service(9.0);
        }),
        ("machines are back at once and empty", |w| {
            for i in 0..6 {
                w.run_until(20.0 + 6.0 * f64::from(i));
                w.restart_worker(i as usize, i % 2 == 0);
            }
        }),
    ];
    for (name, trouble) in cases {
        for nodes in [3, 5] {
            let mut world = World::with_size(11, nodes, 3);
            world.add_mixed_jobs();
            trouble(&mut world);
            world.run_until(200.0);
            world.check(&format!("{name}, {nodes} controllers"));
        }
    }
}

/// A zone that is partitioned keeps its on-demand machines, wherever the leader is: they come back with it,
/// where others would have to boot. With the leader inside, no incarnation is lost there.
#[test]
fn a_zone_cut_off() {
    for nodes in [3, 5] {
        for inside in [false, true] {
            let name = format!("{nodes} controllers, leader inside: {inside}");
            let mut world = World::with_size(7, nodes, 12);
            for n in 0..8 {
                world.add_user(n, 0.5, (8, 0.0, true, false), None);
                world.add_user(
                    100 + n,
                    1.0 + 4.0 * f64::from(n),
                    (12, 6.0, false, true),
                    None,
                );
            }
            world.run_until(40.0);
            let before = world.instances_in("b", false);
            assert!(before.len() >= 8, "{name}: {before:?}");
            assert!(world.partition_zone("b", inside, 0, 21.0), "{name}");
            world.run_until(61.0);
            let kept = world.instances_in("b", false);
            assert!(kept.is_superset(&before), "{name}: {before:?}, {kept:?}");
            if inside {
                assert_eq!(world.workers_with_new_incarnation_in("b"), 0, "{name}");
            }
            world.run_until(75.0);
            assert_eq!(world.replicas_not_running(), 0, "{name}: replicas are back");
            world.run_until(200.0);
            world.check(&name);
        }
    }
}

/// A leader that is partitioned with a zone hears of no cancellation, and goes on renewing its workers'
/// leases for a while only: tasks of jobs cancelled meanwhile are gone in time.
#[test]
fn cancelled_while_cut_off() {
    for nodes in [3, 5] {
        let mut world = World::with_size(7, nodes, 12);
        for n in 0..10 {
            let cancel = Some(40.2 + 0.4 * f64::from(n));
            world.add_user(n, 0.5, (8, 0.0, true, false), cancel);
        }
        world.run_until(40.0);
        assert!(world.partition_zone("b", true, 0, 60.0));
        world.run_until(60.0);
        let told = world
            .users
            .iter()
            .filter(|u| u.cancellation_confirmed_at.is_some());
        assert!(
            told.count() >= 8,
            "most are told so while the zone is cut off"
        );
        world.run_until(200.0);
        world.check(&format!("{nodes} controllers"));
    }
}

/// After a standstill nobody counts as silent for the time in which the controller did not listen.
#[test]
fn a_standstill_gives_back_nothing() {
    for nodes in [3, 5] {
        let mut world = World::with_size(3, nodes, 12);
        for n in 0..8 {
            world.add_user(n, 0.5, (8, 0.0, true, false), None);
        }
        world.run_until(40.0);
        for i in 0..5 {
            world.run_until(40.0 + 12.0 * f64::from(i));
            world.pause_leader(1.0 + 1.6 * f64::from(i));
        }
        world.run_until(120.0);
        assert_eq!(
            world.deleted_while_busy,
            Vec::<String>::new(),
            "{nodes} controllers"
        );
        assert_eq!(
            world.workers_with_new_incarnation(),
            0,
            "{nodes} controllers"
        );
        world.check(&format!("{nodes} controllers"));
    }
}

/// A leader that workers can't reach, nor it them, releases none of their machines, whatever kind
/// they are: when all zones fall silent at once, it is the leader that is partitioned.
#[test]
fn a_leader_cut_off_from_workers_gives_back_nothing() {
    for nodes in [3, 5] {
        for seed in 1..=4 {
            let name = format!("{nodes} controllers, seed {seed}");
            let mut world = World::with_size(seed, nodes, 12);
            for n in 0..6 {
                world.add_user(n, 0.5, (8, 0.0, true, false), None);
                world.add_user(20 + n, 1.0, (12, 60.0, false, true), None);
            }
            world.run_until(40.0);
            assert!(
                world.instances_in("a", true).len() >= 6,
                "{name}: spot machines"
            );
            assert!(world.isolate_leader_except_state_service(9.0), "{name}");
            world.run_until(70.0);
            assert!(world.leader_changes() >= 2, "{name}: another leads");
            assert_eq!(world.deleted_while_busy, Vec::<String>::new(), "{name}");
            world.run_until(200.0);
            world.check(&name);
        }
    }
}

/// A dead machine leaves direct calls unanswered, and is replaced before its lease is half over.
#[test]
fn dead_machines_are_replaced_soon() {
    let mut world = World::with_size(9, 3, 30);
    for n in 0..24 {
        world.add_user(n, 0.5, (8, 0.0, true, false), None);
    }
    world.run_until(40.0);
    let dead: Vec<String> = [1, 4, 7]
        .iter()
        .filter_map(|nth| world.disconnect_worker(*nth, 1000.0))
        .collect();
    assert_eq!(dead.len(), 3);
    world.run_until(41.5);
    assert!(dead.iter().all(|name| world.has_instance(name)), "too soon");
    // A heartbeat interval with its quarter more, a call, and half a second to be released.
    world.run_until(40.0 + 1.3 * 2.0 + 1.0 + 0.6);
    assert!(
        dead.iter().all(|name| !world.has_instance(name)),
        "too late"
    );
    world.run_until(58.0);
    assert_eq!(world.replicas_not_running(), 0);
    world.run_until(120.0);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// A machine that hears nothing gets no new work, and is released if this lasts; its tasks run
/// elsewhere.
#[test]
fn reports_without_answers() {
    for nodes in [3, 5] {
        let mut world = World::with_size(5, nodes, 3);
        world.add_mixed_jobs();
        world.run_until(24.0);
        let name = world.block_traffic_to_worker(0, 100.0).expect("a machine");
        world.run_until(48.0);
        assert_eq!(world.tasks_on(&name), 0, "its session is over");
        world.run_until(75.0);
        assert!(!world.has_instance(&name), "given back");
        world.run_until(200.0);
        world.check(&format!("{nodes} controllers"));
    }
}

/// A leader that is alone with its workers goes on for them and starts nothing; its successor's
/// epoch moves them on, and no incarnation is lost over it.
#[test]
fn a_leader_alone_with_its_workers() {
    for nodes in [3, 5] {
        let mut world = World::with_size(2, nodes, 3);
        world.add_mixed_jobs();
        world.run_until(40.0);
        assert!(world.isolate_leader_except_workers(40.0));
        world.run_until(60.0);
        assert_eq!(
            world.workers_with_new_incarnation(),
            0,
            "{nodes} controllers"
        );
        world.run_until(200.0);
        world.check(&format!("{nodes} controllers"));
    }
}

/// A job that takes the whole of its team's limit begins within four minutes beside a stream of
/// small ones, which go on meanwhile.
#[test]
fn the_largest_begins() {
    for standing in [false, true] {
        let mut world = World::new(4);
        for n in 0..200 {
            let at = 0.5 + f64::from(n);
            world.add_user(n, at, (5, 6.0, false, n % 2 == 0), None);
        }
        // An array of the same rank, or replicas that are cancelled later, of 20 tasks: the limit.
        let (run_s, cancel) = if standing {
            (0.0, Some(90.0))
        } else {
            (6.0, None)
        };
        world.add_user(900, 30.0, (20, run_s, standing, false), cancel);
        world.run_until(270.0);
        let large = world.users.iter().find(|u| u.id == "j-000900");
        let begun = large.and_then(|u| u.first_started_at).expect("it begins");
        assert!(begun < 270.0, "{begun}");
        let small = world.users.iter().filter(|u| u.tasks == 5);
        let served = small.filter(|u| u.first_started_at.is_some()).count();
        assert!(served >= 50, "{served} small ones begin");
        assert_eq!(world.violations, Vec::<String>::new());
    }
}

/// All troubles at once, old and new, at three and five controllers; the seeds are fixed.
#[test]
fn storms() {
    for seed in 0..20u64 {
        let nodes = if seed % 2 == 0 { 5 } else { 3 };
        // Every fifth world is large enough for a zone to count as partitioned.
        let large = seed % 5 == 4;
        let mut world = World::with_size(seed, nodes, if large { 12 } else { 3 });
        world.add_mixed_jobs();
        for n in (20..32).filter(|_| large) {
            world.add_user(n, 1.0, (8, 0.0, true, false), (n % 3 == 0).then_some(60.0));
            world.add_user(
                100 + n,
                2.0 + 2.0 * f64::from(n - 20),
                (12, 6.0, false, true),
                None,
            );
        }
        world.faults = NetworkFaults {
            lost_responses: 0.02,
            late_requests: 0.02,
            duplicate_heartbeats: 0.1,
            repeated_requests: 0.05,
            state_service_delay_s: if seed % 4 == 1 { 0.06 } else { 0.0 },
            ..NetworkFaults::default()
        };
        let shift = (seed % 7) as f64;
        if seed % 3 == 0 {
            world.state_service_outage(27.0 + shift, 33.0 + 3.0 * shift);
        }
        for i in 0..9u32 {
            world.run_until(15.0 + 7.0 * f64::from(i) + shift);
            let nth = (seed + u64::from(i)) as usize % 5;
            match (u64::from(i) + seed) % 11 {
                0 => {
                    world.restart_leader(0.2);
                }
                1 => {
                    world.block_traffic_to_worker(nth, 5.0 + 4.0 * shift);
                }
                2 => world.restart_worker(nth, seed % 4 < 2),
                3 => {
                    world.isolate_leader_except_workers(8.0 + 5.0 * shift);
                }
                4 => {
                    world.disconnect_worker(nth, 3.0 + 3.0 * shift);
                }
                5 => {
                    world.isolate_leader_except_state_service(5.0 + 3.0 * shift);
                }
                6 => {
                    world.reclaim_instance();
                }
                7 => {
                    world.pause_leader(1.0 + 2.0 * shift);
                }
                8 => {
                    world.partition_zone("b", seed % 2 == 0, 1, 6.0 + 4.0 * shift);
                }
                9 => world.refuse_peer_connections(15.0),
                _ => {
                    world.restart_leader(5.0);
                }
            }
        }
        world.faults = NetworkFaults::default();
        world.run_until(300.0);
        world.check(&format!("seed {seed}"));
    }
}

/// Replicas that are left on half empty machines are moved together, and the machines released.
#[test]
fn replicas_are_moved_together() {
    let mut world = World::with_size(6, 3, 20);
    for n in 0..24 {
        // Every second one is cancelled, which leaves gaps everywhere.
        let cancel = (n % 2 == 1).then_some(45.0);
        world.add_user(n, 0.5 + 0.3 * f64::from(n), (4, 0.0, true, false), cancel);
    }
    world.run_until(44.0);
    let before = world.instance_count();
    world.run_until(110.0);
    let after = world.instance_count();
    // 48 replicas fill twelve machines; a little room is kept in both zones.
    assert!(
        before >= 24 && after <= 16,
        "{before}, then {after} machines"
    );
    world.check("moved together");
}

/// Hundreds of machines: what the controllers ask of the state service and of workers is bounded
/// by counts, and all is done.
#[test]
fn hundreds_of_machines() {
    let mut world = World::with_size(1, 5, 60);
    for n in 0..40 {
        let at = 0.5 + 1.2 * f64::from(n);
        world.add_user(n, at, (60, 8.0, false, n % 2 == 0), None);
    }
    for n in 40..60 {
        world.add_user(n, 1.0, (8, 0.0, true, false), None);
    }
    world.run_until(150.0);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.unfinished_jobs(), Vec::<&str>::new());
    assert!(world.starts >= 40 * 60 + 20 * 8);
    let counts = &world.counts;
    let most = |of: &std::collections::BTreeMap<u64, u32>| of.values().copied().max().unwrap_or(0);
    // The limits in the settings, which allow bursts of one second's worth.
    assert!(
        most(&counts.state_requests) <= 2 * 150,
        "{:?}",
        counts.state_requests
    );
    assert!(most(&counts.writes) <= 2 * 60, "{:?}", counts.writes);
    let changes: u32 = counts.writes.values().sum();
    assert!(
        changes < world.starts,
        "{changes} changes for {} starts",
        world.starts
    );
    assert!(
        counts.worker_calls < 3 * world.starts,
        "{} direct calls for {} starts",
        counts.worker_calls,
        world.starts
    );
}

/// More than two thousand machines and fifteen thousand running tasks: what the scheduler, the
/// autoscaler and the controllers' calls do is bounded by counts, and nothing is cut short silently.
#[test]
fn thousands_of_machines() {
    const TASKS: u32 = 250;
    let mut world = World::with_size(1, 3, 600);
    for n in 0..64 {
        world.add_user(
            n,
            0.5 + 0.02 * f64::from(n),
            (TASKS, 25.0, false, n % 2 == 0),
            None,
        );
    }
    for n in 64..124 {
        world.add_user(n, 1.0, (16, 0.0, true, false), None);
    }
    world.run_until(20.0);
    let rented = world.instance_count();
    assert!(rented > 2_000, "{rented} machines for 17,000 tasks");
    world.run_until(40.0);
    let reports = world.counts.heartbeats;
    world.restart_leader(1.0);
    world.run_until(50.0);
    // All workers have come to the new leader, by two reports each at most.
    assert!(
        world.counts.heartbeats - reports < 9 * world.instance_count() as u32,
        "{} reports in ten seconds",
        world.counts.heartbeats - reports
    );
    assert_eq!(world.workers_with_new_incarnation(), 0);
    world.run_until(95.0);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.unfinished_jobs(), Vec::<&str>::new());
    let counts = &world.counts;
    let most = |of: &std::collections::BTreeMap<u64, u32>| of.values().copied().max().unwrap_or(0);
    assert!(
        most(&counts.state_requests) <= 2 * 150,
        "{:?}",
        counts.state_requests
    );
    assert!(most(&counts.writes) <= 2 * 60, "{:?}", counts.writes);
    let changes: u32 = counts.writes.values().sum();
    assert!(changes < world.starts / 8, "{changes} for {}", world.starts);
    assert!(
        counts.max_pending_worker_calls <= 121,
        "{} direct calls at a time",
        counts.max_pending_worker_calls
    );
}

/// Many machines are lost at once, by each kind of end, while the leader is restarted: replicas are
/// back within half a minute, and what hung for a moment finds its work still its own.
#[test]
fn mass_loss() {
    for nodes in [3, 5] {
        let name = format!("{nodes} controllers");
        let mut world = World::with_size(8, nodes, 150);
        for n in 0..60 {
            world.add_user(n, 0.5, (16, 0.0, true, false), None);
        }
        for n in 60..80 {
            world.add_user(n, 10.0 + f64::from(n - 60), (60, 8.0, false, true), None);
        }
        world.run_until(40.0);
        assert!(
            world.instance_count() > 240,
            "{name}: {}",
            world.instance_count()
        );
        for _ in 0..40 {
            world.reclaim_instance();
        }
        for nth in 0..40 {
            world.disconnect_worker(3 * nth, 1000.0);
        }
        let hung: Vec<String> = (0..20)
            .filter_map(|nth| world.disconnect_worker(3 * nth + 1, 2.0))
            .collect();
        world.run_until(41.0);
        world.restart_leader(0.5);
        world.run_until(70.0);
        assert!(hung.iter().all(|name| world.has_instance(name)), "{name}");
        assert_eq!(world.replicas_not_running(), 0, "{name}");
        world.run_until(110.0);
        world.check(&name);
    }
}
