//! The oracle: holds what the simulated users and workers have observed, and checks it against the rules of the
//! protocol.
//!
//! A machine is an instance that the cloud has created, with its worker.

use super::clock::{Clock, ProtocolTimes};
use super::faults::Faults;
use super::machines::Machine;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

/// The rules that are checked: those of the protocol, and some beyond it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Two attempts of a task ran on different machines at the same time.
    RanTwice,
    /// A team's tasks used more CPUs than its limit.
    QuotaExceeded,
    /// A task ran in a zone, or on a spot machine, that its job does not allow.
    WrongPlacement,
    /// A task ran later than `cancel_s` after its job's cancellation was reported.
    RanAfterCancellation,
    /// A controller did not know an accepted job or rejected a request about a job, or the user of an accepted job got
    /// no response for too long.
    JobForgotten,
    /// A controller reported a job that was never submitted.
    NonexistentJobFound,
    /// A job was reported as done before all its tasks had completed.
    DoneTooEarly,
    /// A job was reported in an older state than before, or as cancelled without a cancellation.
    StateReverted,
    /// No task was started in the whole run.
    NoTaskStarted,
    /// A task waited too long after the last fault although there was capacity for it.
    WaitsDespiteCapacity,
    /// A controller ended by itself, or logged an error.
    ControllerFailure,
}

/// A violation of a rule, with a description of what was observed.
#[derive(Debug, Clone)]
pub struct Violation {
    /// When the violation was recorded, in seconds of the run.
    pub at: f64,
    pub rule: Rule,
    pub details: String,
}

/// The id of the job that a task belongs to. The name of a task is the id, a slash and the index of the task.
pub fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or("")
}

/// Name of the team with a CPU limit.
pub const TEAM: &str = "limited";
/// Name of the team without a limit.
pub const FREE_TEAM: &str = "free";

/// What a user submits.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub tasks: u32,
    pub is_service: bool,
    /// Number of CPUs that each task uses.
    pub cpus: f64,
    pub team: &'static str,
    /// The only zone in which tasks may run; `None` allows all zones.
    pub zone: Option<&'static str>,
    /// All tasks must run in the same zone.
    pub one_zone: bool,
    /// At most half of the tasks, rounded up, may run in the same zone.
    pub spread: bool,
    /// Tasks may run on spot machines.
    pub spot: bool,
    /// Usual run time of a task, in seconds of the run.
    pub run_s: f64,
    pub image: String,
}

/// A submitted job: what its user has requested and was told, and which of its tasks have completed. Times are seconds
/// of the run.
#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Spec,
    pub accepted_at: Option<f64>,
    pub cancel_requested_at: Option<f64>,
    pub reported_cancelled_at: Option<f64>,
    pub reported_done_at: Option<f64>,
    /// When the user last got a response with status 200 or 201 about the job; before the first one, when the user
    /// submitted the job.
    pub last_response_at: f64,
    /// Indexes of the tasks that have completed.
    pub done: BTreeSet<u32>,
    /// Whether a violation of [`Rule::JobForgotten`] for want of a response, or by
    /// [`Oracle::check_cancelled`], was recorded for this job; no further one of these two is recorded.
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

    /// Whether the user was told that the job is done or cancelled.
    pub fn has_ended(&self) -> bool {
        self.reported_cancelled_at.is_some() || self.reported_done_at.is_some()
    }
}

/// Numbers of events in a run. Applied faults are counted in [`Faults`].
#[derive(Debug, Default, Clone)]
pub struct Counters {
    pub submitted: u64,
    pub accepted: u64,
    pub cancelled: u64,
    pub done: u64,
    pub polls: u64,
    pub starts: u64,
    /// Starts of tasks after their job was reported as cancelled. Until `cancel_s` later this breaks no rule.
    pub starts_after_confirmed_cancellation: u64,
    /// Delayed and duplicate direct calls that the worker accepted.
    pub late_commands_executed: u64,
    /// Delayed and duplicate direct calls that the worker rejected.
    pub late_commands_rejected: u64,
    /// Start commands in delayed and duplicate direct calls that arrived when [`Oracle::must_have_ended`] was true.
    pub late_starts_after_cancellation: u64,
    pub leases_expired: u64,
    pub leader_changes: u64,
    /// Lines "starts revoked" in the logs of the controllers.
    pub start_revocations: u64,
    pub machines_rented: u64,
    pub machines_deleted: u64,
}

/// The state that all stand-ins share: the jobs, the machines, and the violations found so far.
pub struct Oracle {
    pub clock: Clock,
    pub times: ProtocolTimes,
    pub rng: SmallRng,
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub faults: Faults,
    pub counters: Counters,
    pub violations: Vec<Violation>,
    /// Number of CPUs that the limited team may use.
    pub team_cpus: f64,
    /// Number of the controller that last responded to a worker's heartbeat with status 200; at first 0.
    pub leader: usize,
    /// Longest recent scheduling delay of this process, in seconds; earlier delays decay. Stand-ins may have observed
    /// an event later than it happened by up to this time, so the checks add it to their limits.
    pub scheduling_delay_s: f64,
    /// When the recovery phase began and all faults ended; `None` before.
    pub faults_ended_at: Option<f64>,
}

/// The oracle, shared by all stand-ins.
pub type Shared = Arc<Mutex<Oracle>>;

/// Locks the oracle. A poisoned lock is ignored, as the panic that poisoned it is reported elsewhere.
pub fn lock(shared: &Shared) -> MutexGuard<'_, Oracle> {
    shared
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Tolerance for delays of the stand-ins in addition to the measured scheduling delay, as a share of `cancel_s`.
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

    /// Records the violation of a rule.
    pub fn record_violation(&mut self, rule: Rule, details: String) {
        let at = self.clock.now();
        self.violations.push(Violation { at, rule, details });
    }

    fn tolerance_s(&self) -> f64 {
        TOLERANCE * self.times.cancel_s + self.scheduling_delay_s
    }

    /// Whether a job was reported as cancelled so long ago that none of its tasks may still run.
    pub fn must_have_ended(&self, job: &str) -> bool {
        let cancelled_at = self.jobs.get(job).and_then(|job| job.reported_cancelled_at);
        let limit_s = self.times.cancel_s + self.tolerance_s();
        cancelled_at.is_some_and(|at| self.clock.now() > at + limit_s)
    }

    /// The names of all running tasks, with their machines.
    fn running_tasks(&self) -> impl Iterator<Item = (&Machine, &str)> {
        self.machines.values().flat_map(|machine| {
            let running = machine.tasks.iter().filter(|task| task.is_running());
            running.map(move |task| (machine, task.name.as_str()))
        })
    }

    /// Checks the start of a task on a machine against the rules about cancellation, duplicate attempts, team limits
    /// and placement.
    pub fn check_start(&mut self, host: &str, name: &str, attempt: u64) {
        self.counters.starts += 1;
        let job = job_of(name);
        let Some(job_state) = self.jobs.get(job) else {
            return;
        };
        let spec = job_state.spec.clone();
        if job_state.reported_cancelled_at.is_some() {
            self.counters.starts_after_confirmed_cancellation += 1;
        }
        let cancelled_at = job_state.reported_cancelled_at;
        let start = format!("{name} attempt {attempt} on {host}");
        let mut violations: Vec<(Rule, String)> = Vec::new();
        if self.must_have_ended(job) {
            let details =
                format!("{start} starts, its job was reported as cancelled at {cancelled_at:?}");
            violations.push((Rule::RanAfterCancellation, details));
        }
        let duplicate = self
            .running_tasks()
            .find(|(machine, task)| *task == name && machine.name != host);
        if let Some((machine, _)) = duplicate {
            let details = format!("{start} starts while the task runs on {}", machine.name);
            violations.push((Rule::RanTwice, details));
        }
        if spec.team == TEAM {
            let used = self.team_cpus_used() + spec.cpus;
            if used > self.team_cpus + 1e-6 {
                let details = format!(
                    "{start}: the team uses {used} CPUs, its limit is {}",
                    self.team_cpus
                );
                violations.push((Rule::QuotaExceeded, details));
            }
        }
        if let Some(details) = self.placement_violation(host, name, &spec) {
            violations.push((Rule::WrongPlacement, format!("{start}: {details}")));
        }
        for (rule, details) in violations {
            self.record_violation(rule, details);
        }
    }

    /// Number of CPUs that the limited team's running tasks use.
    pub fn team_cpus_used(&self) -> f64 {
        let cpus = |job: &Job| (job.spec.team == TEAM).then_some(job.spec.cpus);
        self.running_tasks()
            .filter_map(|(_, task)| self.jobs.get(job_of(task)))
            .filter_map(cpus)
            .sum()
    }

    /// The reason why a task may not run on a machine, given where the other tasks of its job run; `None` if it may.
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
            return Some(format!("in zone {zone}, other tasks are in {zones:?}"));
        }
        let in_zone = zones.iter().filter(|other| **other == zone).count() as u32;
        let limit = spec.tasks.div_ceil(2);
        if spec.spread && in_zone + 1 > limit {
            return Some(format!(
                "{} of {} tasks in zone {zone}",
                in_zone + 1,
                spec.tasks
            ));
        }
        None
    }

    /// Records a violation for each job with a task that still runs although [`Oracle::must_have_ended`] is true.
    pub fn check_cancelled(&mut self) {
        let late: Vec<(String, String)> = self
            .running_tasks()
            .filter(|(_, task)| self.must_have_ended(job_of(task)))
            .map(|(machine, task)| (machine.name.clone(), task.to_owned()))
            .collect();
        for (host, task) in late {
            let job = job_of(&task).to_owned();
            let Some(job_state) = self.jobs.get_mut(&job) else {
                continue;
            };
            if std::mem::replace(&mut job_state.violation_reported, true) {
                continue;
            }
            let cancelled_at = job_state.reported_cancelled_at;
            let details = format!(
                "{task} runs on {host}, its job was reported as cancelled at {cancelled_at:?}"
            );
            self.record_violation(Rule::RanAfterCancellation, details);
        }
    }
}
