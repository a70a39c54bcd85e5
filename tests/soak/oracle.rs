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
    Quota,
    WrongPlace,
    RanCancelled,
    Forgotten,
    Invented,
    NotDone,
    WentBack,
    NothingRan,
    /// A task waits beside room long after all faults.
    WaitsBesideRoom,
    /// A controller ended by itself, or logged a violated invariant.
    Controller,
}

/// A broken rule, with what shows it.
#[derive(Debug, Clone)]
pub struct Finding {
    pub at: f64,
    pub rule: Rule,
    pub record: String,
}

/// The job that a task belongs to.
pub fn job_of(step: &str) -> &str {
    step.split('/').next().unwrap_or("")
}

/// A team's limit.
pub const TEAM: &str = "limited";
pub const FREE_TEAM: &str = "free";

/// What a job is.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub tasks: u32,
    pub standing: bool,
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
    pub accepted: Option<f64>,
    pub asked_cancel: Option<f64>,
    pub told_cancelled: Option<f64>,
    pub told_done: Option<f64>,
    /// When it was last told its state, and since when it is asked about.
    pub answered: f64,
    pub done: BTreeSet<u32>,
    pub reported: bool,
}

impl Job {
    pub fn new(spec: Spec, now: f64) -> Job {
        Job {
            spec,
            accepted: None,
            asked_cancel: None,
            told_cancelled: None,
            told_done: None,
            answered: now,
            done: BTreeSet::new(),
            reported: false,
        }
    }

    /// Whether its user has been told how it ended.
    pub fn is_over(&self) -> bool {
        self.told_cancelled.is_some() || self.told_done.is_some()
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
    pub starts_after_cancel: u64,
    pub late_commands_executed: u64,
    pub late_commands_refused: u64,
    pub late_starts_past_cancellation: u64,
    pub leases_lost: u64,
    pub leaders: u64,
    pub fences: u64,
    pub machines_rented: u64,
    pub machines_deleted: u64,
}

/// Everything that the stand-ins share.
pub struct Oracle {
    pub clock: Clock,
    pub times: ProtocolTimes,
    pub chance: SmallRng,
    pub jobs: BTreeMap<String, Job>,
    pub machines: BTreeMap<String, Machine>,
    pub faults: Faults,
    pub counts: Counters,
    pub findings: Vec<Finding>,
    /// CPUs that the limited team may use.
    pub team_cpus: f64,
    /// The controller that last answered a heartbeat with 200.
    pub leader: usize,
    /// The longest delay of the stand-ins lately, by which their times may be off.
    pub lag_s: f64,
    /// No fault begins any more.
    pub calm_since: Option<f64>,
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
            chance: SmallRng::seed_from_u64(seed ^ 0x5eed),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            faults: Faults::default(),
            counts: Counters::default(),
            findings: Vec::new(),
            team_cpus,
            leader: 0,
            lag_s: 0.0,
            calm_since: None,
        }
    }

    /// Notes a broken rule.
    pub fn break_rule(&mut self, rule: Rule, record: String) {
        let at = self.clock.now();
        self.findings.push(Finding { at, rule, record });
    }

    fn tolerance_s(&self) -> f64 {
        TOLERANCE * self.times.cancel_s + self.lag_s
    }

    /// Whether all tasks of a job have to be gone by now.
    pub fn must_be_gone(&self, job: &str) -> bool {
        let told = self.jobs.get(job).and_then(|job| job.told_cancelled);
        let limit_s = self.times.cancel_s + self.tolerance_s();
        told.is_some_and(|at| self.clock.now() > at + limit_s)
    }

    /// The tasks that are on machines, with their machine.
    fn on_machines(&self) -> impl Iterator<Item = (&Machine, &str)> {
        self.machines.values().flat_map(|machine| {
            let on = machine.steps.iter().filter(|step| step.is_on());
            on.map(move |step| (machine, step.name.as_str()))
        })
    }

    /// A task begins on a machine: all rules about where and when are checked.
    pub fn check_begin(&mut self, host: &str, name: &str, attempt: u64) {
        self.counts.starts += 1;
        let job = job_of(name);
        let Some(known) = self.jobs.get(job) else {
            return;
        };
        let spec = known.spec.clone();
        if known.told_cancelled.is_some() {
            self.counts.starts_after_cancel += 1;
        }
        let told = known.told_cancelled;
        let where_ = format!("{name} attempt {attempt} on {host}");
        let mut broken: Vec<(Rule, String)> = Vec::new();
        if self.must_be_gone(job) {
            let record = format!("{where_} starts, cancelled at {told:?}");
            broken.push((Rule::RanCancelled, record));
        }
        let twin = self
            .on_machines()
            .find(|(machine, step)| *step == name && machine.name != host);
        if let Some((machine, _)) = twin {
            let record = format!("{where_} starts while on {}", machine.name);
            broken.push((Rule::RanTwice, record));
        }
        if spec.team == TEAM {
            let used = self.team_use() + spec.cpus;
            if used > self.team_cpus + 1e-6 {
                let record = format!("{where_}: {used} CPUs of {}", self.team_cpus);
                broken.push((Rule::Quota, record));
            }
        }
        if let Some(record) = self.misplaced(host, name, &spec) {
            broken.push((Rule::WrongPlace, format!("{where_}: {record}")));
        }
        for (rule, record) in broken {
            self.break_rule(rule, record);
        }
    }

    /// CPUs that the limited team's tasks use.
    pub fn team_use(&self) -> f64 {
        let cpus = |job: &Job| (job.spec.team == TEAM).then_some(job.spec.cpus);
        self.on_machines()
            .filter_map(|(_, step)| self.jobs.get(job_of(step)))
            .filter_map(cpus)
            .sum()
    }

    /// Why a task must not be on a machine, given its job's other tasks.
    fn misplaced(&self, host: &str, name: &str, spec: &Spec) -> Option<String> {
        let machine = self.machines.get(host)?;
        let zone = machine.zone;
        if machine.spot && !spec.spot {
            return Some("on a spot machine".to_owned());
        }
        if spec.zone.is_some_and(|only| only != zone) {
            return Some(format!("in zone {zone}"));
        }
        let others = self
            .on_machines()
            .filter(|(_, step)| job_of(step) == spec.id && *step != name);
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
            .on_machines()
            .filter(|(_, step)| self.must_be_gone(job_of(step)))
            .map(|(machine, step)| (machine.name.clone(), step.to_owned()))
            .collect();
        for (host, step) in late {
            let job = job_of(&step).to_owned();
            let Some(known) = self.jobs.get_mut(&job) else {
                continue;
            };
            if std::mem::replace(&mut known.reported, true) {
                continue;
            }
            let told = known.told_cancelled;
            let record = format!("{step} is on {host}, cancelled at {told:?}");
            self.break_rule(Rule::RanCancelled, record);
        }
    }
}
