//! Simulated workers and their tasks.

use super::*;

/// An attempt of a task that a worker runs, or has run and not cleared yet.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) attempt: u64,
    pub(super) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    /// When the task completes, infinity for replicas of services.
    pub(super) until: f64,
}

/// A worker and what it knows.
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) cpus: f64,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    /// The highest token that the worker has seen.
    pub(super) token: FencingToken,
    /// When the heartbeat was sent whose response last renewed the lease. The lease expires `LEASE_S` later.
    pub(super) lease_renewed_at: f64,
    /// The attempts of each task, by the task's id.
    pub(super) tasks: BTreeMap<String, Vec<Task>>,
    /// Index of the controller to which the worker sends its heartbeats.
    pub(super) controller: usize,
    /// Sequence and sending time of the heartbeat for whose response the worker waits.
    pub(super) awaiting_response: Option<(u64, f64)>,
    pub(super) next_heartbeat_at: f64,
    pub(super) disconnected_until: f64,
    /// Until when no response or direct call reaches the worker, while its heartbeats reach the controllers.
    pub(super) inbound_blocked_until: f64,
    /// Until when the worker's heartbeats reach no controller, while direct calls reach the worker.
    pub(super) outbound_blocked_until: f64,
    /// Each task that the worker starts fails at once.
    pub(super) faulty: bool,
    /// Until when the worker and its tasks are paused. Afterwards they go on, unless the worker's lease has expired
    /// meanwhile.
    pub(super) hung_until: f64,
}

/// Number of CPUs that each task requests.
pub(super) const TASK_CPUS: f64 = 2.0;
/// CPU limit of the team in worlds with at most three instances in each pool. In larger worlds the team has no limit.
pub(super) const TEAM_CPUS: f64 = 40.0;

/// Returns the id of the job that a task belongs to.
pub(super) fn job_of(task_id: &str) -> &str {
    task_id.split('/').next().unwrap_or("")
}

impl Worker {
    pub(super) fn runs(&self, task_id: &str) -> bool {
        let tasks = self.tasks.get(task_id).into_iter().flatten();
        tasks.into_iter().any(|t| t.state != TaskState::Exited)
    }

    /// Returns whether the worker has no capacity for one more task.
    pub(super) fn is_full(&self) -> bool {
        TASK_CPUS * (self.running().count() + 1) as f64 > self.cpus
    }

    /// Returns whether a task of a job runs on the worker.
    pub(super) fn runs_job(&self, job: &str) -> bool {
        self.running().any(|(task_id, _)| job_of(task_id) == job)
    }

    pub(super) fn running(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.tasks.iter().flat_map(|(task_id, tasks)| {
            tasks
                .iter()
                .filter(|t| t.state != TaskState::Exited)
                .map(move |t| (task_id.as_str(), t))
        })
    }

    pub(super) fn heartbeat(&mut self) -> WorkerHeartbeat {
        self.sequence += 1;
        WorkerHeartbeat {
            worker: self.name.clone(),
            endpoint: self.name.clone(),
            instance_type: "f".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .flat_map(|(task_id, tasks)| {
                    tasks.iter().map(|t| TaskStatus {
                        task: task_id.clone(),
                        attempt: t.attempt,
                        state: t.state,
                        exit_reason: t.exit_reason,
                    })
                })
                .collect(),
        }
    }
}

impl World {
    /// Runs a worker for one step of 0.25 s: completes tasks whose time is up, and sends a heartbeat if one is due. The
    /// first call for an instance creates its worker.
    pub(super) fn run_worker(&mut self, name: &str) {
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        if instance.status == InstanceStatus::Starting {
            instance.status = InstanceStatus::Running;
            let worker = Worker {
                name: name.to_owned(),
                zone: instance.zone.clone(),
                spot: instance.spot,
                cpus: 8.0,
                incarnation: 1,
                sequence: 0,
                token: FencingToken::default(),
                lease_renewed_at: self.now,
                tasks: BTreeMap::new(),
                controller: self.rng.random_range(0..self.controllers.len()),
                awaiting_response: None,
                next_heartbeat_at: self.now,
                disconnected_until: self.new_workers_disconnected_until,
                inbound_blocked_until: 0.0,
                outbound_blocked_until: 0.0,
                faulty: false,
                hung_until: 0.0,
            };
            self.workers.insert(name.to_owned(), worker);
        }
        let now = self.now;
        let controllers = self.controllers.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if now < worker.hung_until {
            // The worker's tasks are paused too, so they end later.
            for task in worker.tasks.values_mut().flatten() {
                task.until += 0.25;
            }
            self.schedule_after(0.25, SimEvent::WorkerRuns(name.to_owned()));
            return;
        }
        for tasks in worker.tasks.values_mut() {
            for task in tasks.iter_mut() {
                if task.state == TaskState::Running && now >= task.until {
                    task.state = TaskState::Exited;
                    task.exit_reason = Some(ExitReason::Completed);
                    worker.next_heartbeat_at = now;
                }
            }
        }
        let mut changed_jobs = BTreeSet::new();
        for (task_id, tasks) in &worker.tasks {
            if tasks
                .iter()
                .any(|t| t.exit_reason == Some(ExitReason::Completed))
                && self.completed_tasks.insert(task_id.clone())
            {
                changed_jobs.insert(job_of(task_id).to_owned());
            }
        }
        for job in changed_jobs {
            self.on_task_completed(&job);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker
            .awaiting_response
            .is_some_and(|(_, at)| now - at > 4.0)
        {
            worker.awaiting_response = None;
            worker.controller = (worker.controller + 1) % controllers;
            worker.next_heartbeat_at = now + 1.0;
        }
        if worker.awaiting_response.is_none() && now >= worker.next_heartbeat_at {
            let heartbeat = worker.heartbeat();
            worker.awaiting_response = Some((heartbeat.sequence, now));
            let (controller, is_unreachable) = (
                worker.controller,
                now < worker.disconnected_until.max(worker.outbound_blocked_until),
            );
            if !is_unreachable {
                if self.rng.random::<f64>() < self.faults.duplicate_heartbeats {
                    let delay = 1.0 + self.rng.random::<f64>() * 3.0 * LEASE_S;
                    // The duplicate may arrive at a controller other than the recipient of the original.
                    let recipient = self.rng.random_range(0..controllers);
                    self.schedule_after(
                        delay,
                        SimEvent::DuplicateHeartbeatArrives(recipient, Box::new(heartbeat.clone())),
                    );
                }
                if self.faults.delayed_heartbeats > 0.0
                    && self.rng.random::<f64>() < self.faults.delayed_heartbeats
                {
                    let delay = 4.0 + self.rng.random::<f64>() * 2.0 * LEASE_S;
                    let recipient = self.rng.random_range(0..controllers);
                    self.schedule_after(
                        delay,
                        SimEvent::DuplicateHeartbeatArrives(recipient, Box::new(heartbeat)),
                    );
                } else {
                    self.schedule_after(
                        0.003,
                        SimEvent::WorkerHeartbeatArrives(
                            controller,
                            name.to_owned(),
                            Box::new(heartbeat),
                        ),
                    );
                }
            }
        }
        self.schedule_after(0.25, SimEvent::WorkerRuns(name.to_owned()));
    }

    /// Handles the response to a worker's heartbeat. `heartbeat_id` is the incarnation and the sequence of the
    /// heartbeat; the response is ignored if the worker does not wait for it any more.
    pub(super) fn on_heartbeat_answered(
        &mut self,
        name: &str,
        heartbeat_id: (u64, u64),
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let controllers = self.controllers.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((sequence, sent_at)) = worker.awaiting_response else {
            return;
        };
        let inbound_blocked_until = worker.disconnected_until.max(worker.inbound_blocked_until);
        let outbound_blocked_until = worker.outbound_blocked_until.max(worker.hung_until);
        if (worker.incarnation, sequence) != heartbeat_id
            || now < inbound_blocked_until.max(outbound_blocked_until)
        {
            return;
        }
        let (controller, zone) = (worker.controller, worker.zone.clone());
        if self.is_partitioned_from(controller, &zone) {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.awaiting_response = None;
        worker.next_heartbeat_at = now + 2.0;
        match status {
            200 => {
                let commands: CommandBatch =
                    cbor::decode(body).expect("the response to a heartbeat is no command batch");
                if commands.token < worker.token {
                    return;
                }
                if commands.token > worker.token {
                    worker.next_heartbeat_at = now + 0.5;
                }
                worker.token = commands.token;
                worker.lease_renewed_at = sent_at;
                self.execute(name, &commands);
            }
            421 => {
                let redirect: NotLeader = cbor::decode(body)
                    .expect("the response with status 421 is no redirect to the leader");
                match redirect
                    .leader_hint
                    .as_deref()
                    .map(|label| label[1..].parse::<usize>())
                {
                    Some(Ok(controller)) if controller != worker.controller => {
                        worker.controller = controller;
                        worker.next_heartbeat_at = now;
                    }
                    _ => {
                        worker.controller = (worker.controller + 1) % controllers;
                        worker.next_heartbeat_at = now + 1.0;
                    }
                }
            }
            _ => {
                worker.controller = (worker.controller + 1) % controllers;
                worker.next_heartbeat_at = now + 1.0;
            }
        }
    }

    pub(super) fn on_worker_request(
        &mut self,
        i: usize,
        process_incarnation: u64,
        correlation_id: u64,
        name: &str,
        request: &WorkerRequest,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if now < worker.inbound_blocked_until {
            return;
        }
        let zone = worker.zone.clone();
        let is_partitioned = self.is_partitioned_from(i, &zone);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if now < worker.disconnected_until.max(worker.hung_until) || is_partitioned {
            // The call is delivered when the worker can be reached again.
            let deferred = SimEvent::WorkerRequestArrives(
                i,
                process_incarnation,
                correlation_id,
                name.to_owned(),
                request.clone(),
            );
            let partition_until = self
                .partition
                .as_ref()
                .filter(|_| is_partitioned)
                .map_or(0.0, |partition| partition.until);
            let until = worker
                .disconnected_until
                .max(worker.hung_until)
                .max(partition_until);
            self.schedule_at(until, deferred);
            return;
        }
        let response = match request {
            WorkerRequest::Commands(commands) => {
                if commands.token < worker.token || commands.incarnation != Some(worker.incarnation)
                {
                    WorkerResponse::Rejected(Box::new(worker.heartbeat()))
                } else {
                    if commands.token > worker.token {
                        worker.next_heartbeat_at = now;
                    }
                    worker.token = commands.token;
                    let commands = commands.clone();
                    self.execute(name, &commands);
                    let worker = self.workers.get_mut(name).expect("no such worker");
                    WorkerResponse::Executed(Box::new(worker.heartbeat()))
                }
            }
        };
        self.send_response(
            0.003,
            SimEvent::WorkerResponseArrives(i, process_incarnation, correlation_id, response),
        );
    }

    pub(super) fn execute(&mut self, name: &str, commands: &CommandBatch) {
        for command in &commands.commands {
            match command.kind {
                CommandKind::Start => self.start(name, &command.task, command.attempt),
                CommandKind::Stop => {
                    let worker = self.workers.get_mut(name).expect("no such worker");
                    for task in worker.tasks.get_mut(&command.task).into_iter().flatten() {
                        if task.attempt == command.attempt && task.state == TaskState::Running {
                            task.state = TaskState::Exited;
                            task.exit_reason = Some(ExitReason::Stopped);
                        }
                    }
                }
                CommandKind::Clear => {
                    let worker = self.workers.get_mut(name).expect("no such worker");
                    if let Some(tasks) = worker.tasks.get_mut(&command.task) {
                        tasks.retain(|t| {
                            t.attempt != command.attempt || t.state != TaskState::Exited
                        });
                        if tasks.is_empty() {
                            worker.tasks.remove(&command.task);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn start(&mut self, name: &str, task_id: &str, attempt: u64) {
        let now = self.now;
        let job = job_of(task_id).to_owned();
        let Some(user) = self.users.iter().find(|u| u.id == job) else {
            self.violations.push(format!(
                "{now}: {name} received a start of {task_id}, whose job does not exist"
            ));
            return;
        };
        let index = task_id.rsplit('/').next().and_then(|n| n.parse().ok());
        let run_s = user.run_s + user.runtime_step_s * f64::from(index.unwrap_or(0u32));
        let (is_service, always_fails, is_guest) =
            (user.is_service, user.always_fails, user.is_guest);
        let past_cancellation = user
            .cancellation_confirmed_at
            .is_some_and(|at| now > at + CANCEL_S);
        if past_cancellation {
            self.violations.push(format!(
                "{now}: {name} received a start of {task_id} more than cancel_s after the cancellation of its job"
            ));
        }
        let allowed_zone = user.zone;
        if let Some(at) = user.cancellation_confirmed_at {
            self.counts.starts_after_cancel += 1;
            let delay_s = now - at;
            self.counts.latest_after_cancel = self.counts.latest_after_cancel.max(delay_s);
        }
        let max_in_zone = user.max_tasks_in_zone();
        let worker = &self.workers[name];
        let tasks = worker.tasks.get(task_id).cloned().unwrap_or_default();
        if tasks.iter().any(|t| t.attempt == attempt) {
            return;
        }
        let is_running = tasks.iter().any(|t| t.state == TaskState::Running);
        let is_full = worker.is_full();
        let zone = worker.zone.clone();
        let exit_reason = if self.completed_tasks.contains(task_id) {
            // The task has been completed before, so it exits at once with the stored result.
            Some(ExitReason::Completed)
        } else if is_running {
            Some(ExitReason::AttemptConflict)
        } else if is_full {
            Some(ExitReason::InsufficientResources)
        } else if always_fails || worker.faulty {
            Some(ExitReason::Failed)
        } else {
            None
        };
        if exit_reason == Some(ExitReason::Failed) {
            *self.counts.failures_per_job.entry(job.clone()).or_default() += 1;
            let count = self.counts.failures_per_worker.entry(name.to_owned());
            *count.or_default() += 1;
        }
        if exit_reason.is_none() {
            self.starts += 1;
            self.counts.tasks_begun_past_cancellation += u32::from(past_cancellation);
            if allowed_zone.is_some_and(|allowed_zone| allowed_zone != zone) {
                self.violations.push(format!(
                    "{now}: {task_id} starts in zone {zone}, which its job does not allow"
                ));
            }
            if let Some(user) = self.users.iter_mut().find(|u| u.id == job) {
                user.first_started_at.get_or_insert(now);
            }
            let running_on: Vec<&Worker> = self
                .workers
                .values()
                .filter(|w| w.name != name && w.runs(task_id))
                .collect();
            if let Some(other) = running_on.first() {
                self.violations.push(format!(
                    "{now}: {task_id} starts on {name} while it runs on {}",
                    other.name
                ));
            }
            if max_in_zone.is_some_and(|max| self.running_in(&zone, &job) >= max) {
                self.violations.push(format!(
                    "{now}: {task_id} starts in zone {zone}, where its job has the maximum number of tasks"
                ));
            }
            if !is_guest && self.at_limit() {
                self.violations.push(format!(
                    "{now}: {task_id} starts although the team is at its limit"
                ));
            }
        }
        let until = if is_service {
            f64::INFINITY
        } else {
            now + run_s
        };
        let state = if exit_reason.is_some() {
            TaskState::Exited
        } else {
            TaskState::Running
        };
        let worker = self.workers.get_mut(name).expect("no such worker");
        worker.next_heartbeat_at = worker.next_heartbeat_at.min(now + 0.5);
        worker
            .tasks
            .entry(task_id.to_owned())
            .or_default()
            .push(Task {
                attempt,
                state,
                exit_reason,
                until,
            });
    }

    /// Begins a new incarnation, without tasks, of each worker whose lease has expired. Records a violation for each
    /// job of which a task runs more than `CANCEL_S` after its cancellation was confirmed.
    pub(super) fn check_deadlines(&mut self) {
        let now = self.now;
        // Checking thousands of workers at each event would take too long.
        if now < self.next_lease_check_at {
            return;
        }
        self.next_lease_check_at = now + 0.01;
        for worker in self.workers.values_mut() {
            if now > worker.lease_renewed_at + LEASE_S {
                worker.tasks.clear();
                worker.incarnation += 1;
                worker.lease_renewed_at = now;
                worker.awaiting_response = None;
                worker.next_heartbeat_at = now;
            }
        }
        for user in &mut self.users {
            if let Some(at) = user.cancellation_confirmed_at
                && now > at + CANCEL_S
                && self.workers.values().any(|w| w.runs_job(&user.id))
            {
                self.violations.push(format!(
                    "{now}: {} has running tasks more than cancel_s after its cancellation",
                    user.id
                ));
                user.cancellation_confirmed_at = Some(f64::INFINITY);
            }
        }
    }

    /// Returns whether a task of job number `n` runs on a worker.
    pub fn runs_job_on(&self, name: &str, n: u32) -> bool {
        let id = format!("j-{n:06}");
        self.workers.get(name).is_some_and(|w| w.runs_job(&id))
    }

    /// Returns the number of tasks that run on a worker, 0 if the worker does not exist.
    pub fn tasks_on(&self, name: &str) -> usize {
        self.workers.get(name).map_or(0, |w| w.running().count())
    }
}
