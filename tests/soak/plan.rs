//! The schedule of faults of a run, which is drawn with the seed of the run before the run begins.

use super::clock::ProtocolTimes;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Kind of a fault. Each fault has a duration, unless its comment says otherwise. A machine is an instance with its
/// worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A controller is killed, and restarted when the fault ends.
    KillController,
    /// A controller is paused by a signal, and continued when the fault ends.
    PauseController,
    /// The state service rejects the requests of one controller.
    RejectController,
    /// The state service rejects all requests.
    StateServiceOutage,
    /// The state service executes the requests of one controller, but its responses are lost.
    LoseStateServiceResponses,
    /// The requests of one controller do not reach the state service.
    PartitionFromStateService,
    /// A share of the transactions get no response, and are executed later.
    DelayTransactions,
    /// One controller is partitioned from its peers.
    PartitionPeers,
    /// A share of the direct calls to workers get no response, and their commands are executed later.
    DelayCommands,
    /// The commands of a share of the direct calls to workers arrive a second time, later.
    DuplicateCommands,
    /// Duplicates of a share of the heartbeats arrive later, at a random controller.
    DuplicateHeartbeats,
    /// A share of the heartbeats arrive later at a random controller, and their senders get no response.
    DelayHeartbeats,
    /// Heartbeats of some machines reach the controllers, but no response or command reaches these machines.
    PartitionMachinesInbound,
    /// Heartbeats of some machines are lost, but direct calls reach these machines.
    PartitionMachinesOutbound,
    /// Some machines hang: their tasks make no progress, and their workers send nothing and execute no commands.
    HangMachines,
    /// Some machines are partitioned in both directions.
    PartitionMachines,
    /// One controller is partitioned from all workers.
    PartitionFromWorkers,
    /// The cloud reclaims spot machines, every second one after a notice to the worker. Has no duration.
    ReclaimSpotMachines,
    /// Users cancel many jobs at the same time. Has no duration.
    CancelManyJobs,
    /// Many small jobs are submitted, and each is cancelled within a heartbeat interval: before most workers have sent
    /// a heartbeat since the submission.
    CancelNewJobs,
    /// The cloud rejects each request, or executes it late without a response.
    CloudErrors,
}

const ALL_FAULTS: [Fault; 21] = [
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

/// The controller that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// The leader at the time at which the fault begins.
    Leader,
    /// The controller with this number.
    Node(usize),
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlannedFault {
    pub fault: Fault,
    /// When the fault begins, in seconds of the run.
    pub at: f64,
    pub duration_s: f64,
    pub target: Target,
    /// Share of the messages or machines that the fault affects. For `ReclaimSpotMachines` half of this share of the
    /// spot machines is reclaimed, and for `CancelManyJobs` each open job is cancelled with a probability of half of
    /// it.
    pub share: f64,
    /// Longest delay of an affected message, in seconds of the run.
    pub delay_s: f64,
}

/// Time before the first fault, in which machines boot and jobs start, in seconds of the protocol.
const WARM_UP_S: f64 = 60.0;
/// Range of the interval between two moments at which faults begin, in seconds of the protocol.
const MOMENT_INTERVAL_S: (f64, f64) = (15.0, 55.0);
/// Probability that the combination [`rejected_leader_then_outage`] begins at a moment after the first, in addition to
/// the faults that are drawn.
const COMBINATION_SHARE: f64 = 0.08;
/// Range of the number of faults that are drawn for a moment.
const FAULTS_PER_MOMENT: (usize, usize) = (1, 3);

/// Draws the faults of a run, in the order in which they begin. The moments lie before `duration` (seconds of the run);
/// a drawn fault begins up to 3 s of the protocol after its moment.
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
        let kinds: Vec<&Fault> = ALL_FAULTS.choose_multiple(&mut rng, count).collect();
        for fault in kinds {
            let delay = rng.random::<f64>() * 3.0 * scale;
            plan.push(draw_fault(*fault, at + delay, nodes, &times, &mut rng));
        }
        at += scale * rng.random_range(MOMENT_INTERVAL_S.0..MOMENT_INTERVAL_S.1);
    }
    plan.sort_by(|a, b| a.at.total_cmp(&b.at));
    plan
}

/// The combination with which each run begins: commands to start tasks are delayed by longer than the time within which
/// cancelled tasks must end, and users cancel jobs in the meantime.
fn delayed_starts_with_cancellations(
    at: f64,
    times: &ProtocolTimes,
    rng: &mut SmallRng,
) -> Vec<PlannedFault> {
    let delayed_commands = PlannedFault {
        fault: Fault::DelayCommands,
        at,
        duration_s: times.lease_s,
        target: Target::Leader,
        share: rng.random_range(0.6..1.0),
        delay_s: times.cancel_s * 2.0,
    };
    let cancel_many = |delay_s: f64| PlannedFault {
        fault: Fault::CancelManyJobs,
        at: at + delay_s,
        duration_s: 0.0,
        share: 0.8,
        ..delayed_commands
    };
    let cancel_new = PlannedFault {
        fault: Fault::CancelNewJobs,
        ..delayed_commands
    };
    vec![
        delayed_commands,
        cancel_new,
        cancel_many(times.heartbeat_interval_s),
        cancel_many(times.heartbeat_interval_s * 3.0),
        cancel_many(times.lease_s),
    ]
}

/// The combination in which the state service first rejects only the requests of the leader while users cancel jobs,
/// and is then out for longer than the time within which cancelled tasks must end. The leader is also partitioned from
/// its peers, so that no controller can tell it of the cancellations.
fn rejected_leader_then_outage(at: f64, times: &ProtocolTimes) -> Vec<PlannedFault> {
    let rejection = PlannedFault {
        fault: Fault::RejectController,
        at,
        duration_s: times.heartbeat_interval_s,
        target: Target::Leader,
        share: 0.8,
        delay_s: 0.0,
    };
    let cancel_many = PlannedFault {
        fault: Fault::CancelManyJobs,
        at: at + times.min_heartbeat_interval_s / 5.0,
        ..rejection
    };
    let outage = PlannedFault {
        fault: Fault::StateServiceOutage,
        at: at + times.heartbeat_interval_s,
        duration_s: 1.3 * times.cancel_s,
        ..rejection
    };
    let partition = PlannedFault {
        fault: Fault::PartitionPeers,
        duration_s: rejection.duration_s + outage.duration_s,
        ..rejection
    };
    vec![rejection, partition, cancel_many, outage]
}

fn draw_fault(
    fault: Fault,
    at: f64,
    nodes: usize,
    times: &ProtocolTimes,
    rng: &mut SmallRng,
) -> PlannedFault {
    // From short to long: much shorter than a lease, as long as a lease, longer than a lease, and longer than the time
    // within which cancelled tasks must end.
    let longest_durations_s = [
        times.retry_delay_s,
        times.lease_s,
        1.5 * times.lease_s,
        1.4 * times.cancel_s,
    ];
    let longest_duration_s = longest_durations_s[rng.random_range(0..longest_durations_s.len())];
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
        duration_s: longest_duration_s * rng.random_range(0.1..1.1),
        target,
        share: rng.random_range(0.15..1.0),
        delay_s,
    }
}
