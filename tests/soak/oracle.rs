//! What is really so, as users and workers see it, and the protocol's rules.

use super::clock::{Clock, ProtocolTimes};
use super::faults::Faults;
use super::machines::Machine;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// The protocol's rules, and what is asked for beyond them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    RanTwice,
    QuotaExceeded,
    WrongPlacement,
    RanAfterCancellation,
    JobForgotten,
    NonexistentJobFound,
    DoneTooEarly,
    StateReverted,
    NoTaskStarted,
    /// A task waits beside room long after all faults.
    WaitsDespiteCapacity,
    /// A controller ended by itself, or logged a violated invariant.
    ControllerFailure,
}

/// A broken rule, with what shows it.
#[derive(Debug, Clone)]
pub struct Violation {
    pub at: f64,
    pub rule: Rule,
    pub details: String,
}

/// The job that a task belongs to.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// A team's limit.
pub const TEAM: &str = "limited";
pub const FREE_TEAM: &str = "free";

/// What a job is.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub tasks: u32,
    pub is_service: bool,
    pub cpus: f64,
    pub team: &'static str,
    pub zone: Option<&'static str>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub run_s: f64,
    pub image: String,
}

/// A job, as its user knows it, and what its tasks have done.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Spec,
    pub accepted_at: Option<f64>,
    pub cancel_requested_at: Option<f64>,
    pub reported_cancelled_at: Option<f64>,
    pub reported_done_at: Option<f64>,
    /// When it was last told its state, and since when it is asked about.
    pub last_response_at: f64,
    pub done: BTreeSet<u32>,
    pub violation_reported: bool,
}

impl Job {
    pub fn new(spec: Spec, now: f64) -> Job {
        Job {
            spec,
            accepted_at: None,
            cancel_requested_at: None,
            reported_cancelled_at: None,
            reported_done_at: None,
            last_response_at: now,
            done: BTreeSet::new(),
            violation_reported: false,
        }
    }

    /// Whether its user has been told how it ended.
    pub fn has_ended(&self) -> bool {
        self.reported_cancelled_at.is_some() || self.reported_done_at.is_some()
    }
}

/// What took place, beside the faults.
#[derive(Debug, Default, Clone)]
pub struct Counters {
    pub submitted: u64,
    pub accepted: u64,
    pub cancelled: u64,
    pub done: u64,
    pub polls: u64,
    pub starts: u64,
    pub starts_after_confirmed_cancellation: u64,
    pub late_commands_executed: u64,
    pub late_commands_rejected: u64,
    pub late_starts_after_cancellation: u64,
    pub leases_expired: u64,
    pub leader_changes: u64,
    pub start_revocations: u64,
    pub machines_rented: u64,
    pub machines_deleted: u64,
}

/// Everything that the stand-ins share.
pub struct Oracle {
    pub clock: Clock,
    pub times: ProtocolTimes,
    pub rng: SmallRng,
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub faults: Faults,
    pub counters: Counters,
    pub violations: Vec<Violation>,
    /// CPUs that the limited team may use.
    pub team_cpus: f64,
    /// The controller that last answered a heartbeat with 200.
    pub leader: usize,
    /// The longest delay of the stand-ins lately, by which their times may be off.
    pub scheduling_delay_s: f64,
    /// No fault begins any more.
    pub faults_ended_at: Option<f64>,
}

/// The truth as all tasks share it.
pub type Shared = Arc<Mutex<Oracle>>;

/// Locks the truth. A task that has panicked while it held the lock has shown itself elsewhere.
pub fn lock(shared: &Shared) -> MutexGuard<'_, Oracle> {
    shared
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Delays of the stand-ins that are let pass in any case, as a share of `cancel_s`.
const TOLERANCE: f64 = 0.01;

impl Oracle {
    pub fn new(seed: u64, clock: Clock, team_cpus: f64) -> Oracle {
        Oracle {
            clock,
            times: ProtocolTimes::new(clock.scale),
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            faults: Faults::default(),
            counters: Counters::default(),
            violations: Vec::new(),
            team_cpus,
            leader: 0,
            scheduling_delay_s: 0.0,
            faults_ended_at: None,
        }
    }

    /// Notes a broken rule.
    pub fn record_violation(&mut self, rule: Rule, details: String) {
        let at = self.clock.now();
        self.violations.push(Violation { at, rule, details });
    }

    fn tolerance_s(&self) -> f64 {
        TOLERANCE * self.times.cancel_s + self.scheduling_delay_s
    }

    /// Whether all tasks of a job have to be gone by now.
    pub fn must_have_ended(&self, job: &str) -> bool {
        let told = self.jobs.get(job).and_then(|job| job.reported_cancelled_at);
        let limit_s = self.times.cancel_s + self.tolerance_s();
        told.is_some_and(|at| self.clock.now() > at + limit_s)
    }

    /// The tasks that are on machines, with their machine.
    fn running_tasks(&self) -> impl Iterator<Item = (&Machine, &str)> {
        self.machines.values().flat_map(|machine| {
            let on = machine.tasks.iter().filter(|task| task.is_running());
            on.map(move |task| (machine, task.name.as_str()))
        })
    }

    /// A task begins on a machine: all rules about where and when are checked.
    pub fn check_start(&mut self, host: &str, name: &str, attempt: u64) {
        self.counters.starts += 1;
        let job = job_of(name);
        let Some(known) = self.jobs.get(job) else {
            return;
        };
        let spec = known.spec.clone();
        if known.reported_cancelled_at.is_some() {
            self.counters.starts_after_confirmed_cancellation += 1;
        }
        let told = known.reported_cancelled_at;
        let where_ = format!("{name} attempt {attempt} on {host}");
        let mut broken: Vec<(Rule, String)> = Vec::new();
        if self.must_have_ended(job) {
            let details = format!("{where_} starts, cancelled at {told:?}");
            broken.push((Rule::RanAfterCancellation, details));
        }
        let twin = self
            .running_tasks()
            .find(|(machine, task)| *task == name && machine.name != host);
        if let Some((machine, _)) = twin {
            let details = format!("{where_} starts while on {}", machine.name);
            broken.push((Rule::RanTwice, details));
        }
        if spec.team == TEAM {
            let used = self.team_cpus_used() + spec.cpus;
            if used > self.team_cpus + 1e-6 {
                let details = format!("{where_}: {used} CPUs of {}", self.team_cpus);
                broken.push((Rule::QuotaExceeded, details));
            }
        }
        if let Some(details) = self.placement_violation(host, name, &spec) {
            broken.push((Rule::WrongPlacement, format!("{where_}: {details}")));
        }
        for (rule, details) in broken {
            self.record_violation(rule, details);
        }
    }

    /// CPUs that the limited team's tasks use.
    pub fn team_cpus_used(&self) -> f64 {
        let cpus = |job: &Job| (job.spec.team == TEAM).then_some(job.spec.cpus);
        self.running_tasks()
            .filter_map(|(_, task)| self.jobs.get(job_of(task)))
            .filter_map(cpus)
            .sum()
    }

    /// Why a task must not be on a machine, given its job's other tasks.
    fn placement_violation(&self, host: &str, name: &str, spec: &Spec) -> Option<String> {
        let machine = self.machines.get(host)?;
        let zone = machine.zone;
        if machine.spot && !spec.spot {
            return Some("on a spot machine".to_owned());
        }
        if spec.zone.is_some_and(|only| only != zone) {
            return Some(format!("in zone {zone}"));
        }
        let others = self
            .running_tasks()
            .filter(|(_, task)| job_of(task) == spec.id && *task != name);
        let zones: Vec<&str> = others.map(|(machine, _)| machine.zone).collect();
        if spec.one_zone && zones.iter().any(|other| *other != zone) {
            return Some(format!("in zone {zone}, others are in {zones:?}"));
        }
        let here = zones.iter().filter(|other| **other == zone).count() as u32;
        let most = spec.tasks.div_ceil(2);
        if spec.spread && here + 1 > most {
            return Some(format!(
                "{} of {} tasks in zone {zone}",
                here + 1,
                spec.tasks
            ));
        }
        None
    }

    /// Tasks that are on machines past the cancellation of their job.
    pub fn check_cancelled(&mut self) {
        let late: Vec<(String, String)> = self
            .running_tasks()
            .filter(|(_, task)| self.must_have_ended(job_of(task)))
            .map(|(machine, task)| (machine.name.clone(), task.to_owned()))
            .collect();
        for (host, task) in late {
            let job = job_of(&task).to_owned();
            let Some(known) = self.jobs.get_mut(&job) else {
                continue;
            };
            if std::mem::replace(&mut known.violation_reported, true) {
                continue;
            }
            let told = known.reported_cancelled_at;
            let details = format!("{task} is on {host}, cancelled at {told:?}");
            self.record_violation(Rule::RanAfterCancellation, details);
        }
    }
}
