//! Workers and the tasks on them.

use super::*;

#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) status: TaskState,
    pub(super) cause: Option<ExitReason>,
    pub(super) until: f64,
}

pub(super) struct Worker {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) cpus: f64,
    pub(super) incarnation: u64,
    pub(super) tick: u64,
    pub(super) token: FencingToken,
    pub(super) lease_from: f64,
    pub(super) tasks: BTreeMap<String, Vec<Task>>,
    pub(super) at: usize,
    pub(super) sent: Option<(u64, f64)>,
    pub(super) next_report: f64,
    pub(super) deaf_until: f64,
    /// Its reports arrive, but no answer or command reaches it.
    pub(super) unreached_until: f64,
    /// It reaches no controller; direct commands reach it.
    pub(super) muted_until: f64,
    /// Every task fails on it.
    pub(super) faulty: bool,
    /// It stands still, and goes on then unless its lease is over.
    pub(super) hung_until: f64,
}

/// What each task takes, and the limit of the team in small worlds.
pub(super) const TASK_CPUS: f64 = 2.0;
pub(super) const TEAM_CPUS: f64 = 40.0;

/// The job that a task belongs to.
pub(super) fn job_of(step: &str) -> &str {
    step.split('/').next().unwrap_or("")
}

impl Worker {
    pub(super) fn runs(&self, step: &str) -> bool {
        let tasks = self.tasks.get(step).into_iter().flatten();
        tasks.into_iter().any(|t| t.status != TaskState::Exited)
    }

    /// Whether one more task would not fit.
    pub(super) fn is_full(&self) -> bool {
        TASK_CPUS * (self.running().count() + 1) as f64 > self.cpus
    }

    /// Whether a task of a job is here.
    pub(super) fn runs_job(&self, job: &str) -> bool {
        self.running().any(|(step, _)| job_of(step) == job)
    }

    pub(super) fn running(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.tasks.iter().flat_map(|(step, tasks)| {
            tasks
                .iter()
                .filter(|t| t.status != TaskState::Exited)
                .map(move |t| (step.as_str(), t))
        })
    }

    pub(super) fn report(&mut self) -> WorkerHeartbeat {
        self.tick += 1;
        WorkerHeartbeat {
            worker: self.name.clone(),
            endpoint: self.name.clone(),
            instance_type: "f".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.tick,
            token: self.token,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .flat_map(|(step, tasks)| {
                    tasks.iter().map(|t| TaskStatus {
                        task: step.clone(),
                        attempt: t.attempt,
                        state: t.status,
                        exit_reason: t.cause,
                    })
                })
                .collect(),
        }
    }
}

impl World {
    pub(super) fn wake(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.status == InstanceStatus::Starting {
            machine.status = InstanceStatus::Running;
            let worker = Worker {
                name: name.to_owned(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                cpus: 8.0,
                incarnation: 1,
                tick: 0,
                token: FencingToken::default(),
                lease_from: self.now,
                tasks: BTreeMap::new(),
                at: self.rng.random_range(0..self.nodes.len()),
                sent: None,
                next_report: self.now,
                deaf_until: 0.0,
                unreached_until: 0.0,
                muted_until: 0.0,
                faulty: false,
                hung_until: 0.0,
            };
            self.workers.insert(name.to_owned(), worker);
        }
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if now < worker.hung_until {
            // Its tasks stand still too.
            for task in worker.tasks.values_mut().flatten() {
                task.until += 0.25;
            }
            self.after(0.25, What::Wake(name.to_owned()));
            return;
        }
        for tasks in worker.tasks.values_mut() {
            for task in tasks.iter_mut() {
                if task.status == TaskState::Running && now >= task.until {
                    task.status = TaskState::Exited;
                    task.cause = Some(ExitReason::Completed);
                    worker.next_report = now;
                }
            }
        }
        let mut ended = BTreeSet::new();
        for (step, tasks) in &worker.tasks {
            if tasks.iter().any(|t| t.cause == Some(ExitReason::Completed))
                && self.done.insert(step.clone())
            {
                ended.insert(job_of(step).to_owned());
            }
        }
        for job in ended {
            self.task_ended(&job);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.sent.is_some_and(|(_, at)| now - at > 4.0) {
            worker.sent = None;
            worker.at = (worker.at + 1) % nodes;
            worker.next_report = now + 1.0;
        }
        if worker.sent.is_none() && now >= worker.next_report {
            let report = worker.report();
            worker.sent = Some((report.sequence, now));
            let (at, deaf) = (worker.at, now < worker.deaf_until.max(worker.muted_until));
            if !deaf {
                if self.rng.random::<f64>() < self.weather.copies {
                    let late = 1.0 + self.rng.random::<f64>() * 3.0 * LEASE_S;
                    // It may come to a node other than it was sent to.
                    let to = self.rng.random_range(0..nodes);
                    self.after(late, What::CopyAt(to, Box::new(report.clone())));
                }
                if self.weather.held > 0.0 && self.rng.random::<f64>() < self.weather.held {
                    let late = 4.0 + self.rng.random::<f64>() * 2.0 * LEASE_S;
                    let to = self.rng.random_range(0..nodes);
                    self.after(late, What::CopyAt(to, Box::new(report)));
                } else {
                    self.after(0.003, What::ReportAt(at, name.to_owned(), Box::new(report)));
                }
            }
        }
        self.after(0.25, What::Wake(name.to_owned()));
    }

    pub(super) fn report_answered(
        &mut self,
        name: &str,
        key: (u64, u64),
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((tick, sent_at)) = worker.sent else {
            return;
        };
        let unheard = worker.deaf_until.max(worker.unreached_until);
        let silent = worker.muted_until.max(worker.hung_until);
        if (worker.incarnation, tick) != key || now < unheard.max(silent) {
            return;
        }
        let (at, zone) = (worker.at, worker.zone.clone());
        if self.is_cut(at, &zone) {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.sent = None;
        worker.next_report = now + 2.0;
        match status {
            200 => {
                let commands: CommandBatch = cbor::decode(body).expect("an answer to a report");
                if commands.token < worker.token {
                    return;
                }
                if commands.token > worker.token {
                    worker.next_report = now + 0.5;
                }
                worker.token = commands.token;
                worker.lease_from = sent_at;
                self.execute(name, &commands);
            }
            421 => {
                let redirect: NotLeader = cbor::decode(body).expect("a redirect");
                match redirect
                    .leader_hint
                    .as_deref()
                    .map(|label| label[1..].parse::<usize>())
                {
                    Some(Ok(node)) if node != worker.at => {
                        worker.at = node;
                        worker.next_report = now;
                    }
                    _ => {
                        worker.at = (worker.at + 1) % nodes;
                        worker.next_report = now + 1.0;
                    }
                }
            }
            _ => {
                worker.at = (worker.at + 1) % nodes;
                worker.next_report = now + 1.0;
            }
        }
    }

    pub(super) fn worker_call(
        &mut self,
        i: usize,
        life: u64,
        correlation_id: u64,
        host: &str,
        call: &WorkerRequest,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        if now < worker.unreached_until {
            return;
        }
        let zone = worker.zone.clone();
        let cut = self.is_cut(i, &zone);
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        if now < worker.deaf_until.max(worker.hung_until) || cut {
            // Held, and delivered after the interruption.
            let again = What::WorkerAt(i, life, correlation_id, host.to_owned(), call.clone());
            let back = self
                .cut
                .as_ref()
                .filter(|_| cut)
                .map_or(0.0, |cut| cut.until);
            let until = worker.deaf_until.max(worker.hung_until).max(back);
            self.at(until, again);
            return;
        }
        let reply = match call {
            WorkerRequest::Commands(commands) => {
                if commands.token < worker.token || commands.incarnation != Some(worker.incarnation)
                {
                    WorkerResponse::Rejected(Box::new(worker.report()))
                } else {
                    if commands.token > worker.token {
                        worker.next_report = now;
                    }
                    worker.token = commands.token;
                    let commands = commands.clone();
                    self.execute(host, &commands);
                    let worker = self.workers.get_mut(host).expect("still there");
                    WorkerResponse::Executed(Box::new(worker.report()))
                }
            }
        };
        self.deliver(0.003, What::WorkerBack(i, life, correlation_id, reply));
    }

    pub(super) fn execute(&mut self, name: &str, commands: &CommandBatch) {
        for order in &commands.commands {
            match order.kind {
                CommandKind::Start => self.start(name, &order.task, order.attempt),
                CommandKind::Stop => {
                    let worker = self.workers.get_mut(name).expect("a worker");
                    for task in worker.tasks.get_mut(&order.task).into_iter().flatten() {
                        if task.attempt == order.attempt && task.status == TaskState::Running {
                            task.status = TaskState::Exited;
                            task.cause = Some(ExitReason::Stopped);
                        }
                    }
                }
                CommandKind::Clear => {
                    let worker = self.workers.get_mut(name).expect("a worker");
                    if let Some(tasks) = worker.tasks.get_mut(&order.task) {
                        tasks.retain(|t| {
                            t.attempt != order.attempt || t.status != TaskState::Exited
                        });
                        if tasks.is_empty() {
                            worker.tasks.remove(&order.task);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn start(&mut self, name: &str, step: &str, attempt: u64) {
        let now = self.now;
        let job = job_of(step).to_owned();
        let Some(user) = self.users.iter().find(|u| u.id == job) else {
            self.broken.push(format!("{step}: no such job"));
            return;
        };
        let index = step.rsplit('/').next().and_then(|n| n.parse().ok());
        let run_s = user.run_s + user.apart_s * f64::from(index.unwrap_or(0u32));
        let (standing, broken, guest) = (user.standing, user.broken, user.guest);
        let past_cancellation = user.told_cancelled.is_some_and(|at| now > at + CANCEL_S);
        if past_cancellation {
            self.broken
                .push(format!("{now}: {step} starts after its cancellation"));
        }
        let grove = user.zone;
        if let Some(at) = user.told_cancelled {
            self.counts.starts_after_cancel += 1;
            let after = now - at;
            self.counts.latest_after_cancel = self.counts.latest_after_cancel.max(after);
        }
        let most_in_zone = user.most_in_zone();
        let worker = &self.workers[name];
        let tasks = worker.tasks.get(step).cloned().unwrap_or_default();
        if tasks.iter().any(|t| t.attempt == attempt) {
            return;
        }
        let busy = tasks.iter().any(|t| t.status == TaskState::Running);
        let full = worker.is_full();
        let zone = worker.zone.clone();
        let refused = if self.done.contains(step) {
            // Its result is kept: it exits at once.
            Some(ExitReason::Completed)
        } else if busy {
            Some(ExitReason::AttemptConflict)
        } else if full {
            Some(ExitReason::InsufficientResources)
        } else if broken || worker.faulty {
            Some(ExitReason::Failed)
        } else {
            None
        };
        if refused == Some(ExitReason::Failed) {
            *self.counts.failures.entry(job.clone()).or_default() += 1;
            let on = self.counts.failures_on.entry(name.to_owned());
            *on.or_default() += 1;
        }
        if refused.is_none() {
            self.starts += 1;
            self.counts.begun_past_cancellation += u32::from(past_cancellation);
            if grove.is_some_and(|grove| grove != zone) {
                self.broken.push(format!(
                    "{now}: {step} starts in {zone}, which its job doesn't allow"
                ));
            }
            if let Some(user) = self.users.iter_mut().find(|u| u.id == job) {
                user.begun.get_or_insert(now);
            }
            let elsewhere: Vec<&Worker> = self
                .workers
                .values()
                .filter(|w| w.name != name && w.runs(step))
                .collect();
            if let Some(other) = elsewhere.first() {
                self.broken.push(format!(
                    "{now}: {step} starts on {name} while on {}",
                    other.name
                ));
            }
            if most_in_zone.is_some_and(|most| self.running_in(&zone, &job) >= most) {
                self.broken
                    .push(format!("{now}: {step} is one too many in {zone}"));
            }
            if !guest && self.at_limit() {
                self.broken
                    .push(format!("{now}: {step} is over the team's limit"));
            }
        }
        let until = if standing { f64::INFINITY } else { now + run_s };
        let status = if refused.is_some() {
            TaskState::Exited
        } else {
            TaskState::Running
        };
        let worker = self.workers.get_mut(name).expect("a worker");
        worker.next_report = worker.next_report.min(now + 0.5);
        worker.tasks.entry(step.to_owned()).or_default().push(Task {
            attempt,
            status,
            cause: refused,
            until,
        });
    }

    /// Ends the sessions whose lease is over, and watches the cancelled.
    pub(super) fn kill_expired(&mut self) {
        let now = self.now;
        // Of thousands of machines, not at every event.
        if now < self.kill_at {
            return;
        }
        self.kill_at = now + 0.01;
        for worker in self.workers.values_mut() {
            if now > worker.lease_from + LEASE_S {
                worker.tasks.clear();
                worker.incarnation += 1;
                worker.lease_from = now;
                worker.sent = None;
                worker.next_report = now;
            }
        }
        for user in &mut self.users {
            if let Some(at) = user.told_cancelled
                && now > at + CANCEL_S
                && self.workers.values().any(|w| w.runs_job(&user.id))
            {
                self.broken
                    .push(format!("{now}: {} runs after its cancellation", user.id));
                user.told_cancelled = Some(f64::INFINITY);
            }
        }
    }

    /// Starts that a machine was sent while no answer reached it are none; what it runs now.
    pub fn tasks_on(&self, name: &str) -> usize {
        self.workers.get(name).map_or(0, |w| w.running().count())
    }
}
