//! Three controllers in a simulated world, with crashes, outages, cuts, and lost and late messages.

mod world;

use world::{NetworkFaults, World};

#[test]
fn days() {
    type Trouble = fn(&mut World);
    let cases: [(&str, Trouble); 9] = [
        ("quiet", |_| {}),
        ("a controller crashes", |w| w.crash(0, 20.0, 25.0)),
        ("each controller in turn", |w| {
            for i in 0..3 {
                w.crash(i, 20.0 + 12.0 * i as f64, 25.0 + 12.0 * i as f64);
            }
        }),
        ("all controllers at once, one back at once", |w| {
            w.crash(0, 30.0, 30.2);
            w.crash(1, 30.0, 35.0);
            w.crash(2, 30.0, 36.0);
        }),
        (
            "the state service is out for longer than a worker's lease",
            |w| w.state_service_outage(25.0, 45.0),
        ),
        ("a crash during an outage", |w| {
            w.state_service_outage(25.0, 40.0);
            w.crash(1, 30.0, 35.0);
            w.crash(0, 38.0, 43.0);
        }),
        ("machines are taken", |w| {
            for at in [25.0, 35.0, 50.0] {
                w.run_until(at);
                w.reclaim_instance();
            }
        }),
        (
            "machines are cut off for shorter and longer than their lease",
            |w| {
                w.run_until(20.0);
                w.disconnect_worker(0, 6.0);
                w.disconnect_worker(1, 25.0);
                w.run_until(50.0);
                w.disconnect_worker(1, 14.0);
            },
        ),
        ("answers are lost and requests late", |w| {
            w.faults = NetworkFaults {
                lost_responses: 0.03,
                late_requests: 0.03,
                duplicate_heartbeats: 0.1,
                ..NetworkFaults::default()
            };
            w.run_until(90.0);
            w.faults = NetworkFaults::default();
        }),
    ];
    for (name, trouble) in cases {
        let mut world = World::new(7);
        world.add_mixed_jobs();
        trouble(&mut world);
        world.run_until(200.0);
        assert_eq!(world.violations, Vec::<String>::new(), "{name}");
        assert_eq!(world.unfinished_jobs(), Vec::<&str>::new(), "{name}");
        assert!(world.starts >= 24, "{name}: {} starts", world.starts);
        assert!(
            world.instance_count() < 12,
            "{name}: idle machines are given back"
        );
    }
}

/// Many times more than the machines can do: heartbeats are answered ahead of all leases, no rule is
/// broken, and a cancelled job still goes at once.
#[test]
fn far_too_much() {
    let mut world = World::new(3);
    for n in 0..40 {
        let cancel = (n % 4 == 0).then_some(30.0);
        let at = 1.0 + 0.2 * f64::from(n);
        world.add_user(n, at, (60, 5.0, false, n % 2 == 0), cancel);
    }
    world.run_until(60.0);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.workers_with_new_incarnation(), 0);
    assert!(world.starts > 100, "{} starts", world.starts);
    let told = world.users.iter().filter(|u| {
        u.cancel_at.is_some()
            && (u.cancellation_confirmed_at.is_some() || u.completion_confirmed_at.is_some())
    });
    assert_eq!(told.count(), 10);
}

/// A leader partitioned from all but the state service takes itself for the one that is partitioned: it
/// gives up leadership, and releases none of the machines it doesn't hear.
#[test]
fn a_leader_alone() {
    for seed in [0, 1, 2, 6, 18] {
        let mut world = World::new(seed);
        world.add_mixed_jobs();
        world.run_until(30.0 + seed as f64);
        let before = world.deleted_while_busy.clone();
        assert!(world.isolate_leader_except_state_service(30.0));
        world.run_until(200.0);
        assert_eq!(world.deleted_while_busy, before, "seed {seed}");
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<&str>::new(), "seed {seed}");
    }
}

/// Days on which something was found, in the order of the finds:
/// - 22: bindings of a deleted machine came back with a record that was read again, and were never
///   counted off;
/// - 253: a new incarnation, first heard of in a direct answer, was taken to have the old lease;
/// - 342: a job cancelled between the leader's listing and its watch's was never stopped;
/// - 1408: a task was meant for the one machine that may not have it, for ever.
const FOUND: [u64; 4] = [22, 253, 342, 1408];

/// Many short days with all kinds of trouble at once; the seeds are fixed.
#[test]
fn storms() {
    for seed in (0..16).chain(FOUND) {
        let mut world = World::new(seed);
        world.add_mixed_jobs();
        world.faults = NetworkFaults {
            lost_responses: 0.02,
            late_requests: 0.02,
            ..NetworkFaults::default()
        };
        let shift = (seed % 10) as f64;
        world.crash((seed % 3) as usize, 14.0 + shift, 14.3 + shift * 0.7);
        world.crash(((seed + 1) % 3) as usize, 33.0 + shift, 38.0 + shift);
        if seed % 2 == 0 {
            world.state_service_outage(28.0 + shift, 36.0 + 2.0 * shift);
        }
        for i in 0..5u32 {
            world.run_until(15.0 + 12.0 * f64::from(i) + shift);
            world.disconnect_worker((seed % 4) as usize + i as usize, 3.0 + 4.0 * f64::from(i));
            if i % 2 == 1 {
                world.reclaim_instance();
            }
        }
        world.faults = NetworkFaults::default();
        world.run_until(260.0);
        assert_eq!(world.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(world.unfinished_jobs(), Vec::<&str>::new(), "seed {seed}");
    }
}
