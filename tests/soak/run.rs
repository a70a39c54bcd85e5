//! One run: everything is started, faults come by their schedule, and the rules are checked to the end.

use super::clock::{Clock, ProtocolTimes};
use super::cloud::Cloud;
use super::controllers::{Addresses, Controller};
use super::http::serve;
use super::machines::CPUS;
use super::options::Options;
use super::oracle::{Counters, Finding, Oracle, Rule, Shared, TEAM, job_of, lock};
use super::plan::{Fault, Planned, Target, schedule};
use super::proxy::Proxy;
use super::state::StateService;
use super::users::{Users, draw_job, draw_prompt_job};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Seconds of the protocol after all faults within which everything is as it should be.
const RECOVERY_S: f64 = 240.0;
/// Seconds of the protocol after which a job without an answer is forgotten, and one that waits beside room
/// waits too long.
const FORGOTTEN_S: f64 = 75.0;
const WAITS_S: f64 = 90.0;
/// Share of the machines' CPUs that open jobs ask for at most.
const LOAD: f64 = 0.7;
/// Share of the machines' CPUs that the limited team may use.
const TEAM_SHARE: f64 = 0.4;
/// Seconds of the protocol between two new jobs, for each machine.
const JOB_EVERY_S: f64 = 24.0;
/// How many small jobs that are cancelled promptly come in place of one other job.
const PROMPT_JOBS: f64 = 4.0;
/// Delays of the stand-ins, as a share of a heartbeat interval, from which a moment counts as slow.
const SLOW: f64 = 0.3;
/// Seconds between two looks at the stand-ins' own delays.
const TICK_S: f64 = 0.02;
/// Slow moments of a run from which it can't be judged.
const MAX_SLOW: u64 = 10;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was broken.
    Green,
    /// Some rule was broken.
    Broken,
    /// This machine was too slow for the run's times: nothing can be said.
    TooSlow,
}

/// What a run has shown.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub seed: u64,
    pub seconds: f64,
    pub verdict: Verdict,
    pub findings: Vec<Finding>,
    pub counts: Counters,
    pub took_place: BTreeMap<Fault, u64>,
    pub slow: u64,
    pub lag_s: f64,
}

struct Run {
    oracle: Shared,
    clock: Clock,
    times: ProtocolTimes,
    nodes: Vec<Controller>,
    /// Controllers that are stopped or dead until then.
    paused: BTreeMap<usize, f64>,
    dead: BTreeMap<usize, f64>,
    tasks: JoinSet<()>,
    users: Users,
    slow: u64,
    next_job: f64,
    job_number: u64,
    machines: usize,
}

async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Addresses of a controller for users and for peers: a loopback address of its own, so that runs at the same
/// time never meet.
fn node_addresses(seed: u64, node: usize) -> (SocketAddr, SocketAddr) {
    let process = (std::process::id() % 200) as u8 + 10;
    let [run, ..] = seed.to_le_bytes();
    let ip = [127, process, run, node as u8 + 1];
    (SocketAddr::from((ip, 8080)), SocketAddr::from((ip, 8081)))
}

/// Plays one seed.
pub async fn play(
    options: &Options,
    program: &Path,
    folder: &Path,
    seed: u64,
) -> io::Result<Outcome> {
    let nodes = options.nodes as usize;
    let plan = schedule(seed, nodes, options.duration, options.scale);
    let mut run = Run::begin(options, program, folder, seed).await?;
    for planned in plan {
        run.until(planned.at).await?;
        run.begin_trouble(planned)?;
    }
    run.until(options.duration).await?;
    run.calm_down().await?;
    Ok(run.finish(seed))
}

impl Run {
    async fn begin(options: &Options, program: &Path, folder: &Path, seed: u64) -> io::Result<Run> {
        let clock = Clock::new(options.scale);
        let count = options.nodes as usize;
        let machines = options.machines as usize;
        let team_cpus = (machines as f64 * CPUS * TEAM_SHARE).round();
        let oracle: Shared = Arc::new(Mutex::new(Oracle::new(seed, clock, team_cpus)));
        let times = ProtocolTimes::new(options.scale);
        let mut tasks = JoinSet::new();
        let state = StateService::new(oracle.clone(), clock);
        tasks.spawn(state.clone().expire_leases());
        let (cloud_listener, cloud_address) = listen().await?;
        let mut users_at = Vec::new();
        let mut peers_at = Vec::new();
        for node in 0..count {
            let (users, peers) = node_addresses(seed, node);
            users_at.push(users);
            peers_at.push(peers);
        }
        // Zones times on-demand and spot: four pools.
        let cloud = Cloud::new(oracle.clone(), users_at.clone(), machines.div_ceil(4));
        tasks.spawn(serve(cloud_listener, move |request| {
            cloud.clone().handle(request)
        }));
        let mut nodes = Vec::new();
        for node in 0..count {
            let (listener, state_address) = listen().await?;
            let service = state.clone();
            tasks.spawn(serve(listener, move |request| {
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
                tasks.spawn(proxy.run(listener));
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
                Controller::new(node, program, folder, &addresses, &times, team_cpus)?;
            controller.start()?;
            nodes.push(controller);
        }
        let users = Users {
            oracle: oracle.clone(),
            clock,
            nodes: users_at,
        };
        tasks.spawn(users.clone().ask_for_nothing());
        Ok(Run {
            oracle,
            clock,
            times,
            nodes,
            paused: BTreeMap::new(),
            dead: BTreeMap::new(),
            tasks,
            users,
            slow: 0,
            next_job: 0.0,
            job_number: 0,
            machines,
        })
    }

    /// Goes on until a time of the run.
    async fn until(&mut self, at: f64) -> io::Result<()> {
        while self.clock.now() < at {
            self.beat().await?;
        }
        Ok(())
    }

    /// One beat: rules are checked, processes are watched, jobs come.
    async fn beat(&mut self) -> io::Result<()> {
        let before = self.clock.now();
        self.clock.sleep(TICK_S).await;
        let now = self.clock.now();
        let lag_s = now - before - TICK_S;
        self.slow += u64::from(lag_s > SLOW * self.times.report_s);
        {
            let oracle = &mut *lock(&self.oracle);
            oracle.lag_s = (oracle.lag_s * 0.9).max(lag_s);
            oracle.faults.expire(now);
            oracle.check_cancelled();
        }
        self.watch_processes(now)?;
        self.submit(now);
        Ok(())
    }

    fn watch_processes(&mut self, now: f64) -> io::Result<()> {
        let due = |until: &BTreeMap<usize, f64>| -> Vec<usize> {
            let over = until.iter().filter(|(_, at)| now >= **at);
            over.map(|(node, _)| *node).collect()
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
            if let Some(record) = self.nodes[node].ended() {
                lock(&self.oracle).break_rule(Rule::Controller, record);
                self.nodes[node].start()?;
            }
        }
        Ok(())
    }

    /// New jobs, as long as open ones ask for less than the machines have.
    fn submit(&mut self, now: f64) {
        if now < self.next_job {
            return;
        }
        let pause_s = self.clock.scaled(JOB_EVERY_S) / self.machines as f64;
        let oracle = &mut *lock(&self.oracle);
        if oracle.calm_since.is_some() {
            return;
        }
        if oracle.faults.any(Fault::PromptCancels) {
            oracle.faults.note(Fault::PromptCancels);
            self.next_job = now + pause_s / PROMPT_JOBS;
            self.job_number += 1;
            let report_s = self.times.report_s;
            let (spec, cancel) = draw_prompt_job(self.job_number, report_s, &mut oracle.chance);
            self.tasks.spawn(self.users.clone().follow(spec, cancel));
            return;
        }
        self.next_job = now + pause_s;
        let open = oracle.jobs.values().filter(|job| !job.is_over());
        let asked: f64 = open
            .map(|job| f64::from(job.spec.tasks) * job.spec.cpus)
            .sum();
        if asked > LOAD * CPUS * self.machines as f64 {
            return;
        }
        self.job_number += 1;
        let (spec, cancel) = draw_job(self.job_number, &self.clock, &mut oracle.chance);
        self.tasks.spawn(self.users.clone().follow(spec, cancel));
    }

    fn begin_trouble(&mut self, planned: Planned) -> io::Result<()> {
        let now = self.clock.now();
        let oracle = &mut *lock(&self.oracle);
        let node = match planned.target {
            Target::Leader => oracle.leader,
            Target::Node(node) => node,
        };
        let machines = match planned.fault {
            Fault::DeafMachines
            | Fault::MuteMachines
            | Fault::HangMachines
            | Fault::CutMachines => draw_machines(oracle, planned.share, |_| true),
            Fault::TakeSpot => draw_machines(oracle, planned.share / 2.0, |spot| spot),
            _ => BTreeSet::new(),
        };
        let until = now + planned.for_s;
        let running = !self.paused.contains_key(&node) && !self.dead.contains_key(&node);
        match planned.fault {
            Fault::KillNode | Fault::PauseNode if !running => return Ok(()),
            Fault::KillNode => {
                oracle.faults.note(planned.fault);
                self.nodes[node].kill();
                self.dead.insert(node, until);
            }
            Fault::PauseNode => {
                oracle.faults.note(planned.fault);
                self.nodes[node].pause();
                self.paused.insert(node, until);
            }
            Fault::TakeSpot => self.take_spot(oracle, &machines, now),
            Fault::CancelStorm => storm(oracle, planned.share),
            _ => oracle.faults.begin(planned, node, machines, now),
        }
        Ok(())
    }

    /// Half of them get a notice.
    fn take_spot(&self, oracle: &mut Oracle, machines: &BTreeSet<String>, now: f64) {
        let notice_s = self.clock.scaled(20.0);
        for (place, name) in machines.iter().enumerate() {
            oracle.faults.note(Fault::TakeSpot);
            if place % 2 == 0 {
                oracle.remove_machine(name);
                continue;
            }
            oracle.warn(name, now + notice_s);
            let (shared, clock, name) = (self.oracle.clone(), self.clock, name.clone());
            tokio::spawn(async move {
                clock.sleep(notice_s).await;
                lock(&shared).remove_machine(&name);
            });
        }
    }

    /// All faults end; then everything must come to its end.
    async fn calm_down(&mut self) -> io::Result<()> {
        for node in 0..self.nodes.len() {
            self.nodes[node].resume();
            self.nodes[node].start()?;
        }
        self.paused.clear();
        self.dead.clear();
        let calm = self.clock.now();
        {
            let oracle = &mut *lock(&self.oracle);
            oracle.faults.end_all();
            oracle.calm_since = Some(calm);
        }
        let mut waits_since: BTreeMap<String, f64> = BTreeMap::new();
        let end = calm + self.clock.scaled(RECOVERY_S);
        let least = calm + self.clock.scaled(FORGOTTEN_S);
        while self.clock.now() < end {
            self.beat().await?;
            let now = self.clock.now();
            let oracle = &mut *lock(&self.oracle);
            check_forgotten(oracle, calm, now);
            check_waiting(oracle, &mut waits_since, now);
            let unfinished = oracle
                .jobs
                .values()
                .any(|job| job.accepted.is_some() && !job.is_over());
            if !unfinished && now > least {
                break;
            }
        }
        Ok(())
    }

    fn finish(mut self, seed: u64) -> Outcome {
        let mut fences = 0;
        for node in &mut self.nodes {
            node.kill();
            fences += node.count_in_log("starts revoked");
            for finding in node.log_findings() {
                lock(&self.oracle).break_rule(Rule::Controller, finding.line);
            }
        }
        self.tasks.abort_all();
        let oracle = &mut *lock(&self.oracle);
        oracle.counts.fences = fences;
        if oracle.counts.starts == 0 {
            oracle.break_rule(Rule::NothingRan, "no task was started".to_owned());
        }
        let verdict = if !oracle.findings.is_empty() {
            Verdict::Broken
        } else if self.slow > MAX_SLOW {
            Verdict::TooSlow
        } else {
            Verdict::Green
        };
        Outcome {
            seed,
            seconds: self.clock.now(),
            verdict,
            findings: std::mem::take(&mut oracle.findings),
            counts: oracle.counts.clone(),
            took_place: oracle.faults.took_place.clone(),
            slow: self.slow,
            lag_s: oracle.lag_s,
        }
    }
}

fn draw_machines(oracle: &mut Oracle, share: f64, fits: impl Fn(bool) -> bool) -> BTreeSet<String> {
    let there: Vec<String> = oracle
        .machines
        .values()
        .filter(|machine| machine.up.is_some() && machine.gone.is_none() && fits(machine.spot))
        .map(|machine| machine.name.clone())
        .collect();
    let count = (there.len() as f64 * share).ceil() as usize;
    let drawn = there.choose_multiple(&mut oracle.chance, count);
    drawn.cloned().collect()
}

/// Users of a share of the open jobs cancel with their next request, which comes soon.
fn storm(oracle: &mut Oracle, share: f64) {
    let now = oracle.clock.now();
    let Oracle {
        jobs,
        chance,
        faults,
        ..
    } = oracle;
    for job in jobs
        .values_mut()
        .filter(|job| job.accepted.is_some() && !job.is_over())
    {
        if chance.random::<f64>() < share / 2.0 {
            job.asked_cancel.get_or_insert(now);
            faults.note(Fault::CancelStorm);
        }
    }
}

/// Jobs about which no question has been answered for long after all faults.
fn check_forgotten(oracle: &mut Oracle, calm: f64, now: f64) {
    let limit_s = oracle.clock.scaled(FORGOTTEN_S) + oracle.lag_s;
    let mut forgotten = Vec::new();
    for job in oracle.jobs.values_mut() {
        let since = job.answered.max(calm);
        if job.accepted.is_some() && !job.reported && now - since > limit_s {
            job.reported = true;
            forgotten.push(format!(
                "{}: no answer since {:.3}",
                job.spec.id, job.answered
            ));
        }
    }
    for record in forgotten {
        oracle.break_rule(Rule::Forgotten, record);
    }
}

/// Tasks that wait although some machine that fits has room and their team is under its limit.
fn check_waiting(oracle: &mut Oracle, since: &mut BTreeMap<String, f64>, now: f64) {
    let limit_s = oracle.clock.scaled(WAITS_S) + oracle.lag_s;
    let team_use = oracle.team_use();
    let mut waiting = Vec::new();
    for job in oracle.jobs.values() {
        let there = oracle
            .machines
            .values()
            .flat_map(|machine| &machine.steps)
            .filter(|step| step.is_on() && job_of(&step.name) == job.spec.id)
            .count() as u32;
        let missing = job.spec.tasks > there + job.done.len() as u32;
        let under = job.spec.team != TEAM || team_use + job.spec.cpus <= oracle.team_cpus;
        let wanted = job.accepted.is_some() && !job.is_over() && job.asked_cancel.is_none();
        // Zones of jobs with such a rule depend on their other tasks: they are not looked at.
        let simple = !job.spec.one_zone && !job.spec.spread;
        let room = oracle.machines.values().any(|machine| {
            let cpus = |step: &str| oracle.jobs[job_of(step)].spec.cpus;
            machine.up.is_some()
                && machine.gone.is_none()
                && (job.spec.spot || !machine.spot)
                && job.spec.zone.is_none_or(|zone| zone == machine.zone)
                && machine.used(cpus) + job.spec.cpus <= CPUS
        });
        if wanted && missing && under && simple && room {
            waiting.push(job.spec.id.clone());
        }
    }
    since.retain(|id, _| waiting.contains(id));
    for id in waiting {
        let from = *since.entry(id.clone()).or_insert(now);
        if now - from > limit_s {
            since.insert(id.clone(), f64::INFINITY);
            let record = format!("{id} has waited since {from:.3}");
            oracle.break_rule(Rule::WaitsBesideRoom, record);
        }
    }
}
