//! The schedule of faults, worked out from a seed before a run begins.

use super::clock::ProtocolTimes;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// What may go wrong for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// A controller is killed, and restarted when the fault ends.
    KillNode,
    /// A controller is stopped by a signal, and continued when the fault ends.
    PauseNode,
    /// The state service refuses one controller.
    RefuseNode,
    /// The state service refuses all.
    StateOutage,
    /// The state service executes what a controller asks, and its answers are lost.
    LoseStateAnswers,
    /// The state service hears nothing of a controller.
    CutFromState,
    /// Part of the transactions get no answer, and are executed later.
    LateTransactions,
    /// A controller and its peers don't hear one another.
    CutPeers,
    /// Direct commands are held, unanswered, and executed later.
    HoldCommands,
    /// Direct commands arrive twice.
    CopyCommands,
    /// Copies of heartbeats arrive later, at any controller.
    CopyReports,
    /// Heartbeats are lost, or arrive after their sender has given up.
    HoldReports,
    /// Neither answers nor commands reach some machines; their heartbeats arrive.
    DeafMachines,
    /// Some machines reach no controller; direct commands reach them.
    MuteMachines,
    /// Some machines stand still.
    HangMachines,
    /// Some machines are partitioned in both directions.
    CutMachines,
    /// A controller and the workers don't reach one another.
    CutFromWorkers,
    /// Spot machines are taken away.
    TakeSpot,
    /// Users cancel many jobs at once.
    CancelStorm,
    /// Many small jobs come, and are cancelled within a heartbeat interval: before most workers have reported.
    PromptCancels,
    /// The cloud refuses all, or carries requests out late.
    DisturbCloud,
}

const ALL: [Fault; 21] = [
    Fault::KillNode,
    Fault::PauseNode,
    Fault::RefuseNode,
    Fault::StateOutage,
    Fault::LoseStateAnswers,
    Fault::CutFromState,
    Fault::LateTransactions,
    Fault::CutPeers,
    Fault::HoldCommands,
    Fault::CopyCommands,
    Fault::CopyReports,
    Fault::HoldReports,
    Fault::DeafMachines,
    Fault::MuteMachines,
    Fault::HangMachines,
    Fault::CutMachines,
    Fault::CutFromWorkers,
    Fault::TakeSpot,
    Fault::CancelStorm,
    Fault::PromptCancels,
    Fault::DisturbCloud,
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
pub struct Planned {
    pub fault: Fault,
    pub at: f64,
    pub for_s: f64,
    pub target: Target,
    /// Share of messages or machines that it is for.
    pub share: f64,
    /// For how long messages are held or late.
    pub late_s: f64,
}

/// Seconds of the protocol before the first fault: machines are up and jobs run.
const WARM_UP_S: f64 = 60.0;
/// Seconds of the protocol between two moments at which faults begin.
const PAUSE_S: (f64, f64) = (15.0, 55.0);
/// Share of the moments that have a meeting of faults of their own, beside what chance draws.
const MEETINGS: f64 = 0.08;
/// Faults that begin at a moment.
const AT_ONCE: (usize, usize) = (1, 3);

/// The faults of a run whose last one begins before `duration` is over.
pub fn schedule(seed: u64, nodes: usize, duration: f64, scale: f64) -> Vec<Planned> {
    let mut chance = SmallRng::seed_from_u64(seed);
    let times = ProtocolTimes::new(scale);
    let mut plan = Vec::new();
    let mut at = WARM_UP_S * scale;
    while at < duration {
        if plan.is_empty() {
            plan = starts_held_past_cancellations(at, &times, &mut chance);
        } else if chance.random_bool(MEETINGS) {
            plan.extend(refused_alone_then_outage(at, &times));
        }
        let count = chance.random_range(AT_ONCE.0..=AT_ONCE.1);
        let drawn: Vec<&Fault> = ALL.choose_multiple(&mut chance, count).collect();
        for fault in drawn {
            let delay = chance.random::<f64>() * 3.0 * scale;
            plan.push(planned(*fault, at + delay, nodes, &times, &mut chance));
        }
        at += scale * chance.random_range(PAUSE_S.0..PAUSE_S.1);
    }
    plan.sort_by(|a, b| a.at.total_cmp(&b.at));
    plan
}

/// The meeting of late starts and cancellations, with which every run begins: direct commands are held for
/// longer than cancelled tasks may last, and users cancel meanwhile.
fn starts_held_past_cancellations(
    at: f64,
    times: &ProtocolTimes,
    chance: &mut SmallRng,
) -> Vec<Planned> {
    let held = Planned {
        fault: Fault::HoldCommands,
        at,
        for_s: times.lease_s,
        target: Target::Leader,
        share: chance.random_range(0.6..1.0),
        late_s: times.cancel_s * 2.0,
    };
    let storm = |delay_s: f64| Planned {
        fault: Fault::CancelStorm,
        at: at + delay_s,
        for_s: 0.0,
        share: 0.8,
        ..held
    };
    let prompt = Planned {
        fault: Fault::PromptCancels,
        ..held
    };
    vec![
        held,
        prompt,
        storm(times.report_s),
        storm(times.report_s * 3.0),
        storm(times.lease_s),
    ]
}

/// The state service refuses the leader alone, users cancel in that moment, and then it is out for longer than
/// cancelled tasks may last. The leader's peers don't reach it either: nobody can tell it.
fn refused_alone_then_outage(at: f64, times: &ProtocolTimes) -> Vec<Planned> {
    let refused = Planned {
        fault: Fault::RefuseNode,
        at,
        for_s: times.report_s,
        target: Target::Leader,
        share: 0.8,
        late_s: 0.0,
    };
    let storm = Planned {
        fault: Fault::CancelStorm,
        at: at + times.change_s / 5.0,
        ..refused
    };
    let outage = Planned {
        fault: Fault::StateOutage,
        at: at + times.report_s,
        for_s: 1.3 * times.cancel_s,
        ..refused
    };
    let cut = Planned {
        fault: Fault::CutPeers,
        for_s: refused.for_s + outage.for_s,
        ..refused
    };
    vec![refused, cut, storm, outage]
}

fn planned(
    fault: Fault,
    at: f64,
    nodes: usize,
    times: &ProtocolTimes,
    chance: &mut SmallRng,
) -> Planned {
    // Moments, less than a lease, more than one, or more than a cancellation takes.
    let lengths = [
        times.retry_s,
        times.lease_s,
        1.5 * times.lease_s,
        1.4 * times.cancel_s,
    ];
    let length = lengths[chance.random_range(0..lengths.len())];
    let target = if chance.random_bool(0.6) {
        Target::Leader
    } else {
        Target::Node(chance.random_range(0..nodes))
    };
    let late_s = match fault {
        Fault::LateTransactions => chance.random_range(2.0..12.0) * times.retry_s,
        Fault::CopyReports | Fault::HoldReports => chance.random_range(0.1..2.0) * times.lease_s,
        _ => chance.random_range(0.1..2.0) * times.cancel_s,
    };
    Planned {
        fault,
        at,
        for_s: length * chance.random_range(0.1..1.1),
        target,
        share: chance.random_range(0.15..1.0),
        late_s,
    }
}
