//! One run of the soak: starts the stand-ins and the controllers, injects the scheduled faults, and checks the rules
//! until the end of the run.

use super::clock::{Clock, ProtocolTimes};
use super::cloud::Cloud;
use super::controllers::{Addresses, Controller};
use super::http::serve;
use super::machines::CPUS;
use super::options::Options;
use super::oracle::{Counters, Oracle, Rule, Shared, TEAM, Violation, job_of, lock};
use super::plan::{Fault, PlannedFault, Target, schedule};
use super::proxy::Proxy;
use super::state::StateService;
use super::users::{Users, draw_job, draw_job_to_cancel};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Longest duration of the recovery phase after the last fault, in seconds of the protocol.
const RECOVERY_S: f64 = 240.0;
/// Longest time in the recovery phase for which the user of a job may get no response, in seconds of the protocol.
const MAX_UNANSWERED_S: f64 = 75.0;
/// Longest time in the recovery phase for which a task may wait while a suitable machine has capacity, in seconds of
/// the protocol.
const MAX_WAIT_S: f64 = 90.0;
/// No new job is submitted while the open jobs request more than this share of the machines' CPUs, except during
/// [`Fault::CancelNewJobs`].
const MAX_LOAD: f64 = 0.7;
/// Share of the machines' CPUs that the limited team may use.
const TEAM_SHARE: f64 = 0.4;
/// Interval between new jobs if there were one machine, in seconds of the protocol. The interval is divided by the
/// number of machines.
const JOB_INTERVAL_S: f64 = 24.0;
/// During [`Fault::CancelNewJobs`], jobs are submitted more often than usual by this factor.
const CANCELLED_JOBS_FACTOR: f64 = 4.0;
/// A step of the run counts as slow if it is delayed by more than this share of a heartbeat interval.
const SLOW_SHARE: f64 = 0.3;
/// Intended interval between two steps of the run, in seconds. If the interval is longer, this process was delayed, and
/// with it every stand-in.
const STEP_S: f64 = 0.02;
/// A run with more slow steps than this is inconclusive: the host of the test is too slow for the scaled times.
const MAX_SLOW_STEPS: u64 = 10;

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// Some rule was broken.
    Failed,
    /// The host of the test was too slow for the scaled times of the protocol, so the run proves nothing.
    TooSlow,
}

/// Result and statistics of a run.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub seed: u64,
    /// Duration of the run, in seconds of the run.
    pub seconds: f64,
    pub verdict: Verdict,
    pub violations: Vec<Violation>,
    pub counters: Counters,
    pub fault_counts: BTreeMap<Fault, u64>,
    /// Number of steps of the run that were slow (see `SLOW_SHARE`).
    pub slow_steps: u64,
    /// Recent scheduling delay of this process at the end of the run.
    pub scheduling_delay_s: f64,
}

struct Run {
    oracle: Shared,
    clock: Clock,
    times: ProtocolTimes,
    nodes: Vec<Controller>,
    /// Controllers that are paused, each with the time at which it is continued.
    paused: BTreeMap<usize, f64>,
    /// Controllers that were killed, each with the time at which it is restarted.
    dead: BTreeMap<usize, f64>,
    background_tasks: JoinSet<()>,
    users: Users,
    slow_steps: u64,
    /// Earliest time of the next submission.
    next_job: f64,
    /// Number of the job that was submitted last.
    job_number: u64,
    /// Number of machines that the cloud can provide; if it is not a multiple of the number of pools, the
    /// cloud can provide a few more.
    machines: usize,
}

async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// The addresses on which a controller accepts requests of users, and connections of other controllers. Each controller
/// has a loopback IP address of its own, derived from the process id, the seed and its number, so that concurrent runs
/// do not collide.
fn node_addresses(seed: u64, node: usize) -> (SocketAddr, SocketAddr) {
    let process = (std::process::id() % 200) as u8 + 10;
    let [run, ..] = seed.to_le_bytes();
    let ip = [127, process, run, node as u8 + 1];
    (SocketAddr::from((ip, 8080)), SocketAddr::from((ip, 8081)))
}

/// Runs the soak with one seed. The controllers' settings and logs are written to `directory`.
pub async fn run(
    options: &Options,
    program: &Path,
    directory: &Path,
    seed: u64,
) -> io::Result<Outcome> {
    let nodes = options.nodes as usize;
    let plan = schedule(seed, nodes, options.duration, options.scale);
    let mut run = Run::begin(options, program, directory, seed).await?;
    for planned in plan {
        run.run_until(planned.at).await?;
        run.begin_fault(planned)?;
    }
    run.run_until(options.duration).await?;
    run.recover().await?;
    Ok(run.finish(seed))
}

impl Run {
    /// Starts the stand-ins, the proxies and the controllers.
    async fn begin(
        options: &Options,
        program: &Path,
        directory: &Path,
        seed: u64,
    ) -> io::Result<Run> {
        let clock = Clock::new(options.scale);
        let count = options.nodes as usize;
        let machines = options.machines as usize;
        let team_cpus = (machines as f64 * CPUS * TEAM_SHARE).round();
        let oracle: Shared = Arc::new(Mutex::new(Oracle::new(seed, clock, team_cpus)));
        let times = ProtocolTimes::new(options.scale);
        let mut background_tasks = JoinSet::new();
        let state = StateService::new(oracle.clone(), clock);
        background_tasks.spawn(state.clone().expire_leases());
        let (cloud_listener, cloud_address) = listen().await?;
        let mut users_at = Vec::new();
        let mut peers_at = Vec::new();
        for node in 0..count {
            let (users, peers) = node_addresses(seed, node);
            users_at.push(users);
            peers_at.push(peers);
        }
        // There are four pools: on-demand and spot machines in each of two zones.
        let cloud = Cloud::new(oracle.clone(), users_at.clone(), machines.div_ceil(4));
        background_tasks.spawn(serve(cloud_listener, move |request| {
            cloud.clone().handle(request)
        }));
        let mut nodes = Vec::new();
        for node in 0..count {
            let (listener, state_address) = listen().await?;
            let service = state.clone();
            background_tasks.spawn(serve(listener, move |request| {
                service.clone().handle(node, request)
            }));
            let mut seeds = Vec::new();
            for to in (0..count).filter(|to| *to != node) {
                let (listener, address) = listen().await?;
                let proxy = Proxy {
                    oracle: oracle.clone(),
                    clock,
                    from: node,
                    to,
                    address: peers_at[to],
                };
                background_tasks.spawn(proxy.run(listener));
                seeds.push((to, address));
            }
            let addresses = Addresses {
                users: users_at[node],
                peers: peers_at[node],
                seeds,
                state: state_address,
                cloud: cloud_address,
            };
            let mut controller =
                Controller::new(node, program, directory, &addresses, &times, team_cpus)?;
            controller.start()?;
            nodes.push(controller);
        }
        let users = Users {
            oracle: oracle.clone(),
            clock,
            nodes: users_at,
        };
        background_tasks.spawn(users.clone().poll_nonexistent_jobs());
        Ok(Run {
            oracle,
            clock,
            times,
            nodes,
            paused: BTreeMap::new(),
            dead: BTreeMap::new(),
            background_tasks,
            users,
            slow_steps: 0,
            next_job: 0.0,
            job_number: 0,
            machines,
        })
    }

    /// Runs until a time of the run.
    async fn run_until(&mut self, at: f64) -> io::Result<()> {
        while self.clock.now() < at {
            self.run_step().await?;
        }
        Ok(())
    }

    /// Runs one step: waits, ends faults whose time is over, checks for tasks of cancelled jobs, restarts controllers
    /// and submits jobs.
    async fn run_step(&mut self) -> io::Result<()> {
        let before = self.clock.now();
        self.clock.sleep(STEP_S).await;
        let now = self.clock.now();
        let delay_s = now - before - STEP_S;
        self.slow_steps += u64::from(delay_s > SLOW_SHARE * self.times.heartbeat_interval_s);
        {
            let oracle = &mut *lock(&self.oracle);
            oracle.scheduling_delay_s = (oracle.scheduling_delay_s * 0.9).max(delay_s);
            oracle.faults.expire(now);
            oracle.check_cancelled();
        }
        self.watch_processes(now)?;
        self.submit(now);
        Ok(())
    }

    /// Continues paused controllers and restarts killed ones whose fault is over. If a controller has ended by itself,
    /// records a violation and restarts the controller.
    fn watch_processes(&mut self, now: f64) -> io::Result<()> {
        let due = |until: &BTreeMap<usize, f64>| -> Vec<usize> {
            let ended = until.iter().filter(|(_, at)| now >= **at);
            ended.map(|(node, _)| *node).collect()
        };
        for node in due(&self.paused) {
            self.paused.remove(&node);
            self.nodes[node].resume();
        }
        for node in due(&self.dead) {
            self.dead.remove(&node);
            self.nodes[node].start()?;
        }
        for node in 0..self.nodes.len() {
            if let Some(details) = self.nodes[node].ended() {
                lock(&self.oracle).record_violation(Rule::ControllerFailure, details);
                self.nodes[node].start()?;
            }
        }
        Ok(())
    }

    /// Submits a job if the next one is due, the open jobs request at most [`MAX_LOAD`] of the CPUs, and the recovery
    /// phase has not begun. During [`Fault::CancelNewJobs`], the load is not checked.
    fn submit(&mut self, now: f64) {
        if now < self.next_job {
            return;
        }
        let interval_s = self.clock.scaled(JOB_INTERVAL_S) / self.machines as f64;
        let oracle = &mut *lock(&self.oracle);
        if oracle.faults_ended_at.is_some() {
            return;
        }
        if oracle.faults.is_active(Fault::CancelNewJobs) {
            oracle.faults.count(Fault::CancelNewJobs);
            self.next_job = now + interval_s / CANCELLED_JOBS_FACTOR;
            self.job_number += 1;
            let heartbeat_interval_s = self.times.heartbeat_interval_s;
            let (spec, cancel) =
                draw_job_to_cancel(self.job_number, heartbeat_interval_s, &mut oracle.rng);
            self.background_tasks
                .spawn(self.users.clone().simulate_user(spec, cancel));
            return;
        }
        self.next_job = now + interval_s;
        let open_jobs = oracle.jobs.values().filter(|job| !job.has_ended());
        let requested_cpus: f64 = open_jobs
            .map(|job| f64::from(job.spec.tasks) * job.spec.cpus)
            .sum();
        if requested_cpus > MAX_LOAD * CPUS * self.machines as f64 {
            return;
        }
        self.job_number += 1;
        let (spec, cancel) = draw_job(
            self.job_number,
            oracle.team_cpus,
            &self.clock,
            &mut oracle.rng,
        );
        self.background_tasks
            .spawn(self.users.clone().simulate_user(spec, cancel));
    }

    /// Begins a planned fault. A controller that is not running or is paused is not killed or paused again.
    fn begin_fault(&mut self, planned: PlannedFault) -> io::Result<()> {
        let now = self.clock.now();
        let oracle = &mut *lock(&self.oracle);
        let node = match planned.target {
            Target::Leader => oracle.leader,
            Target::Node(node) => node,
        };
        let machines = match planned.fault {
            Fault::PartitionMachinesInbound
            | Fault::PartitionMachinesOutbound
            | Fault::HangMachines
            | Fault::PartitionMachines => draw_machines(oracle, planned.share, |_| true),
            Fault::ReclaimSpotMachines => draw_machines(oracle, planned.share / 2.0, |spot| spot),
            _ => BTreeSet::new(),
        };
        let until = now + planned.duration_s;
        let running = !self.paused.contains_key(&node) && !self.dead.contains_key(&node);
        match planned.fault {
            Fault::KillController | Fault::PauseController if !running => return Ok(()),
            Fault::KillController => {
                oracle.faults.count(planned.fault);
                self.nodes[node].kill();
                self.dead.insert(node, until);
            }
            Fault::PauseController => {
                oracle.faults.count(planned.fault);
                self.nodes[node].pause();
                self.paused.insert(node, until);
            }
            Fault::ReclaimSpotMachines => self.reclaim_spot_machines(oracle, &machines, now),
            Fault::CancelManyJobs => cancel_many_jobs(oracle, planned.share),
            _ => oracle.faults.begin(planned, node, machines, now),
        }
        Ok(())
    }

    /// Removes spot machines. Every second removal is announced to the worker 20 s of the protocol before.
    fn reclaim_spot_machines(&self, oracle: &mut Oracle, machines: &BTreeSet<String>, now: f64) {
        let notice_s = self.clock.scaled(20.0);
        for (position, name) in machines.iter().enumerate() {
            oracle.faults.count(Fault::ReclaimSpotMachines);
            if position % 2 == 0 {
                oracle.remove_machine(name);
                continue;
            }
            oracle.announce_reclaim(name, now + notice_s);
            let (shared, clock, name) = (self.oracle.clone(), self.clock, name.clone());
            tokio::spawn(async move {
                clock.sleep(notice_s).await;
                lock(&shared).remove_machine(&name);
            });
        }
    }

    /// Runs the recovery phase: ends all faults, and runs until all accepted jobs have ended, for at least
    /// [`MAX_UNANSWERED_S`] and at most [`RECOVERY_S`].
    async fn recover(&mut self) -> io::Result<()> {
        for node in 0..self.nodes.len() {
            self.nodes[node].resume();
            self.nodes[node].start()?;
        }
        self.paused.clear();
        self.dead.clear();
        let faults_ended_at = self.clock.now();
        {
            let oracle = &mut *lock(&self.oracle);
            oracle.faults.end_all();
            oracle.faults_ended_at = Some(faults_ended_at);
        }
        let mut waits_since: BTreeMap<String, f64> = BTreeMap::new();
        let end = faults_ended_at + self.clock.scaled(RECOVERY_S);
        let earliest_end = faults_ended_at + self.clock.scaled(MAX_UNANSWERED_S);
        while self.clock.now() < end {
            self.run_step().await?;
            let now = self.clock.now();
            let oracle = &mut *lock(&self.oracle);
            check_unanswered(oracle, faults_ended_at, now);
            check_waiting(oracle, &mut waits_since, now);
            let unfinished = oracle
                .jobs
                .values()
                .any(|job| job.accepted_at.is_some() && !job.has_ended());
            if !unfinished && now > earliest_end {
                break;
            }
        }
        Ok(())
    }

    /// Kills the controllers, checks their logs, and returns the result of the run.
    fn finish(mut self, seed: u64) -> Outcome {
        let mut start_revocations = 0;
        for node in &mut self.nodes {
            node.kill();
            start_revocations += node.count_in_log("starts revoked");
            for violation in node.log_errors() {
                lock(&self.oracle).record_violation(Rule::ControllerFailure, violation.line);
            }
        }
        self.background_tasks.abort_all();
        let oracle = &mut *lock(&self.oracle);
        oracle.counters.start_revocations = start_revocations;
        if oracle.counters.starts == 0 {
            oracle.record_violation(Rule::NoTaskStarted, "no task was started".to_owned());
        }
        let verdict = if !oracle.violations.is_empty() {
            Verdict::Failed
        } else if self.slow_steps > MAX_SLOW_STEPS {
            Verdict::TooSlow
        } else {
            Verdict::Passed
        };
        Outcome {
            seed,
            seconds: self.clock.now(),
            verdict,
            violations: std::mem::take(&mut oracle.violations),
            counters: oracle.counters.clone(),
            fault_counts: oracle.faults.fault_counts.clone(),
            slow_steps: self.slow_steps,
            scheduling_delay_s: oracle.scheduling_delay_s,
        }
    }
}

/// Draws a share of the machines that are up and have not been removed. `fits` is called with whether a machine is a
/// spot machine, and returns whether it may be drawn.
fn draw_machines(oracle: &mut Oracle, share: f64, fits: impl Fn(bool) -> bool) -> BTreeSet<String> {
    let candidates: Vec<String> = oracle
        .machines
        .values()
        .filter(|machine| {
            machine.up_at.is_some() && machine.gone_at.is_none() && fits(machine.spot)
        })
        .map(|machine| machine.name.clone())
        .collect();
    let count = (candidates.len() as f64 * share).ceil() as usize;
    let drawn = candidates.choose_multiple(&mut oracle.rng, count);
    drawn.cloned().collect()
}

/// Draws open jobs, each with a probability of half of `share`, and marks them so that their users cancel them with
/// their next request.
fn cancel_many_jobs(oracle: &mut Oracle, share: f64) {
    let now = oracle.clock.now();
    let Oracle {
        jobs, rng, faults, ..
    } = oracle;
    for job in jobs
        .values_mut()
        .filter(|job| job.accepted_at.is_some() && !job.has_ended())
    {
        if rng.random::<f64>() < share / 2.0 {
            job.cancel_requested_at.get_or_insert(now);
            faults.count(Fault::CancelManyJobs);
        }
    }
}

/// Records a violation for each accepted job whose user has had no response for too long since the last fault ended.
fn check_unanswered(oracle: &mut Oracle, faults_ended_at: f64, now: f64) {
    let limit_s = oracle.clock.scaled(MAX_UNANSWERED_S) + oracle.scheduling_delay_s;
    let mut unanswered = Vec::new();
    for job in oracle.jobs.values_mut() {
        let since = job.last_response_at.max(faults_ended_at);
        if job.accepted_at.is_some() && !job.violation_reported && now - since > limit_s {
            job.violation_reported = true;
            unanswered.push(format!(
                "{}: no response since {:.3}",
                job.spec.id, job.last_response_at
            ));
        }
    }
    for details in unanswered {
        oracle.record_violation(Rule::JobForgotten, details);
    }
}

/// Records a violation for each job that has had a task waiting to start for too long although a suitable machine had
/// capacity and the limit of the team allowed one more task. `waiting_since` holds when each job began to wait.
fn check_waiting(oracle: &mut Oracle, waiting_since: &mut BTreeMap<String, f64>, now: f64) {
    let limit_s = oracle.clock.scaled(MAX_WAIT_S) + oracle.scheduling_delay_s;
    let team_cpus_used = oracle.team_cpus_used();
    let mut waiting = Vec::new();
    for job in oracle.jobs.values() {
        let running = oracle
            .machines
            .values()
            .flat_map(|machine| &machine.tasks)
            .filter(|task| task.is_running() && job_of(&task.name) == job.spec.id)
            .count() as u32;
        let has_unstarted_tasks = job.spec.tasks > running + job.done.len() as u32;
        let is_within_limit =
            job.spec.team != TEAM || team_cpus_used + job.spec.cpus <= oracle.team_cpus;
        let is_open =
            job.accepted_at.is_some() && !job.has_ended() && job.cancel_requested_at.is_none();
        // Jobs with a zone rule are not checked, because the zones in which a task may run depend on the other tasks.
        let has_no_zone_rule = !job.spec.one_zone && !job.spec.spread;
        let has_capacity = oracle.machines.values().any(|machine| {
            let cpus = |task: &str| oracle.jobs[job_of(task)].spec.cpus;
            machine.up_at.is_some()
                && machine.gone_at.is_none()
                && (job.spec.spot || !machine.spot)
                && job.spec.zone.is_none_or(|zone| zone == machine.zone)
                && machine.used(cpus) + job.spec.cpus <= CPUS
        });
        if is_open && has_unstarted_tasks && is_within_limit && has_no_zone_rule && has_capacity {
            waiting.push(job.spec.id.clone());
        }
    }
    waiting_since.retain(|id, _| waiting.contains(id));
    for id in waiting {
        let waits_since = *waiting_since.entry(id.clone()).or_insert(now);
        if now - waits_since > limit_s {
            waiting_since.insert(id.clone(), f64::INFINITY);
            let details = format!(
                "{id}: a task has waited to start since {waits_since:.3} despite free capacity"
            );
            oracle.record_violation(Rule::WaitsDespiteCapacity, details);
        }
    }
}
