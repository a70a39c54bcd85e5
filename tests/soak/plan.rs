//! The schedule of faults, worked out from a seed before a run begins.

use super::clock::ProtocolTimes;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// What may go wrong for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A controller is killed, and restarted when the fault ends.
    KillController,
    /// A controller is stopped by a signal, and continued when the fault ends.
    PauseController,
    /// The state service refuses one controller.
    RejectController,
    /// The state service refuses all.
    StateServiceOutage,
    /// The state service executes what a controller asks, and its answers are lost.
    LoseStateServiceResponses,
    /// The state service hears nothing of a controller.
    PartitionFromStateService,
    /// Part of the transactions get no answer, and are executed later.
    DelayTransactions,
    /// A controller and its peers don't hear one another.
    PartitionPeers,
    /// Direct commands are held, unanswered, and executed later.
    DelayCommands,
    /// Direct commands arrive twice.
    DuplicateCommands,
    /// Copies of heartbeats arrive later, at any controller.
    DuplicateHeartbeats,
    /// Heartbeats are lost, or arrive after their sender has given up.
    DelayHeartbeats,
    /// Neither answers nor commands reach some machines; their heartbeats arrive.
    PartitionMachinesInbound,
    /// Some machines reach no controller; direct commands reach them.
    PartitionMachinesOutbound,
    /// Some machines stand still.
    HangMachines,
    /// Some machines are partitioned in both directions.
    PartitionMachines,
    /// A controller and the workers don't reach one another.
    PartitionFromWorkers,
    /// Spot machines are taken away.
    ReclaimSpotMachines,
    /// Users cancel many jobs at once.
    CancelManyJobs,
    /// Many small jobs come, and are cancelled within a heartbeat interval: before most workers have reported.
    CancelNewJobs,
    /// The cloud refuses all, or carries requests out late.
    CloudErrors,
}

const ALL: [Fault; 21] = [
    Fault::KillController,
    Fault::PauseController,
    Fault::RejectController,
    Fault::StateServiceOutage,
    Fault::LoseStateServiceResponses,
    Fault::PartitionFromStateService,
    Fault::DelayTransactions,
    Fault::PartitionPeers,
    Fault::DelayCommands,
    Fault::DuplicateCommands,
    Fault::DuplicateHeartbeats,
    Fault::DelayHeartbeats,
    Fault::PartitionMachinesInbound,
    Fault::PartitionMachinesOutbound,
    Fault::HangMachines,
    Fault::PartitionMachines,
    Fault::PartitionFromWorkers,
    Fault::ReclaimSpotMachines,
    Fault::CancelManyJobs,
    Fault::CancelNewJobs,
    Fault::CloudErrors,
];

/// Which controller a fault is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// Whoever leads when it begins.
    Leader,
    /// This one.
    Node(usize),
}

/// A fault with its times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    pub fault: Fault,
    pub at: f64,
    pub duration_s: f64,
    pub target: Target,
    /// Share of messages or machines that it is for.
    pub share: f64,
    /// For how long messages are held or late.
    pub delay_s: f64,
}

/// Seconds of the protocol before the first fault: machines are up and jobs run.
const WARM_UP_S: f64 = 60.0;
/// Seconds of the protocol between two moments at which faults begin.
const MOMENT_INTERVAL_S: (f64, f64) = (15.0, 55.0);
/// Share of the moments that have a meeting of faults of their own, beside what chance draws.
const COMBINATION_SHARE: f64 = 0.08;
/// Faults that begin at a moment.
const FAULTS_PER_MOMENT: (usize, usize) = (1, 3);

/// The faults of a run whose last one begins before `duration` is over.
pub fn schedule(seed: u64, nodes: usize, duration: f64, scale: f64) -> Vec<PlannedFault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let times = ProtocolTimes::new(scale);
    let mut plan = Vec::new();
    let mut at = WARM_UP_S * scale;
    while at < duration {
        if plan.is_empty() {
            plan = delayed_starts_with_cancellations(at, &times, &mut rng);
        } else if rng.random_bool(COMBINATION_SHARE) {
            plan.extend(rejected_leader_then_outage(at, &times));
        }
        let count = rng.random_range(FAULTS_PER_MOMENT.0..=FAULTS_PER_MOMENT.1);
        let drawn: Vec<&Fault> = ALL.choose_multiple(&mut rng, count).collect();
        for fault in drawn {
            let delay = rng.random::<f64>() * 3.0 * scale;
            plan.push(planned(*fault, at + delay, nodes, &times, &mut rng));
        }
        at += scale * rng.random_range(MOMENT_INTERVAL_S.0..MOMENT_INTERVAL_S.1);
    }
    plan.sort_by(|a, b| a.at.total_cmp(&b.at));
    plan
}

/// The meeting of late starts and cancellations, with which every run begins: direct commands are held for
/// longer than cancelled tasks may last, and users cancel meanwhile.
fn delayed_starts_with_cancellations(
    at: f64,
    times: &ProtocolTimes,
    rng: &mut SmallRng,
) -> Vec<PlannedFault> {
    let held = PlannedFault {
        fault: Fault::DelayCommands,
        at,
        duration_s: times.lease_s,
        target: Target::Leader,
        share: rng.random_range(0.6..1.0),
        delay_s: times.cancel_s * 2.0,
    };
    let storm = |delay_s: f64| PlannedFault {
        fault: Fault::CancelManyJobs,
        at: at + delay_s,
        duration_s: 0.0,
        share: 0.8,
        ..held
    };
    let prompt = PlannedFault {
        fault: Fault::CancelNewJobs,
        ..held
    };
    vec![
        held,
        prompt,
        storm(times.heartbeat_interval_s),
        storm(times.heartbeat_interval_s * 3.0),
        storm(times.lease_s),
    ]
}

/// The state service refuses the leader alone, users cancel in that moment, and then it is out for longer than
/// cancelled tasks may last. The leader's peers don't reach it either: nobody can tell it.
fn rejected_leader_then_outage(at: f64, times: &ProtocolTimes) -> Vec<PlannedFault> {
    let refused = PlannedFault {
        fault: Fault::RejectController,
        at,
        duration_s: times.heartbeat_interval_s,
        target: Target::Leader,
        share: 0.8,
        delay_s: 0.0,
    };
    let storm = PlannedFault {
        fault: Fault::CancelManyJobs,
        at: at + times.min_heartbeat_interval_s / 5.0,
        ..refused
    };
    let outage = PlannedFault {
        fault: Fault::StateServiceOutage,
        at: at + times.heartbeat_interval_s,
        duration_s: 1.3 * times.cancel_s,
        ..refused
    };
    let cut = PlannedFault {
        fault: Fault::PartitionPeers,
        duration_s: refused.duration_s + outage.duration_s,
        ..refused
    };
    vec![refused, cut, storm, outage]
}

fn planned(
    fault: Fault,
    at: f64,
    nodes: usize,
    times: &ProtocolTimes,
    rng: &mut SmallRng,
) -> PlannedFault {
    // Moments, less than a lease, more than one, or more than a cancellation takes.
    let lengths = [
        times.retry_delay_s,
        times.lease_s,
        1.5 * times.lease_s,
        1.4 * times.cancel_s,
    ];
    let length = lengths[rng.random_range(0..lengths.len())];
    let target = if rng.random_bool(0.6) {
        Target::Leader
    } else {
        Target::Node(rng.random_range(0..nodes))
    };
    let delay_s = match fault {
        Fault::DelayTransactions => rng.random_range(2.0..12.0) * times.retry_delay_s,
        Fault::DuplicateHeartbeats | Fault::DelayHeartbeats => {
            rng.random_range(0.1..2.0) * times.lease_s
        }
        _ => rng.random_range(0.1..2.0) * times.cancel_s,
    };
    PlannedFault {
        fault,
        at,
        duration_s: length * rng.random_range(0.1..1.1),
        target,
        share: rng.random_range(0.15..1.0),
        delay_s,
    }
}
