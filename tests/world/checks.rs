//! Checks and counters of the simulation, for tests.

use super::workers::{TASK_CPUS, TEAM_CPUS, Task, job_of};
use super::*;

/// Counters of messages, faults and their effects. With them, tests check that a fault had the intended effect.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests to the state service in each second.
    pub state_requests: BTreeMap<u64, u32>,
    /// Puts and deletes in each second.
    pub writes: BTreeMap<u64, u32>,
    /// Committed transactions that put the `leader` key.
    pub leader_key_puts: usize,
    /// Direct calls to workers.
    pub worker_calls: u32,
    /// Maximum number of direct calls of one controller that waited for their responses at a time.
    pub max_pending_worker_calls: usize,
    /// Heartbeats of workers.
    pub heartbeats: u32,
    /// Transactions that were applied 2 to 12 s late, usually when their sender had timed out.
    pub late_txns: u32,
    /// Transactions that were applied after newer ones of the same controller.
    pub out_of_order_txns: u32,
    /// Heartbeats that arrived after newer ones of the same worker.
    pub stale_heartbeats: u32,
    /// Heartbeats that arrived after the worker had begun a newer incarnation.
    pub heartbeats_of_old_incarnations: u32,
    /// Starts that workers received after the cancellation of their job was confirmed to the user.
    pub starts_after_cancel: u32,
    /// Longest time from the confirmed cancellation of a job to a start of one of its tasks that a worker received, in
    /// seconds.
    pub latest_after_cancel: f64,
    /// Direct calls with starts that were delayed in transit.
    pub delayed_commands: u32,
    /// Starts in delayed calls that arrived more than `CANCEL_S` after the confirmed cancellation of their job.
    pub starts_past_cancellation: u32,
    /// Those of `starts_past_cancellation` whose call named the worker's current incarnation.
    pub starts_past_cancellation_in_incarnation: u32,
    /// Tasks that began to run more than `CANCEL_S` after the confirmed cancellation of their job.
    pub tasks_begun_past_cancellation: u32,
    /// Number of failed tasks of each job.
    pub failures_per_job: BTreeMap<String, u32>,
    /// Number of failed tasks on each worker.
    pub failures_per_worker: BTreeMap<String, u32>,
    /// Heartbeats that arrived during a controller's pause and were handled before its overdue timers.
    pub heartbeats_served_before_timers: u32,
    /// Watches that the state service rejected because of its rate limit.
    pub rate_limited_watches: u32,
    /// Pauses of a controller between a decision and sending its effects.
    pub pauses_before_sending: u32,
    /// Requests of users that timed out because the controller was down and the connection to it hung.
    pub requests_to_hung_controllers: u32,
    /// Number of instances that never start.
    pub failed_boots: u32,
    /// Number of instances that start at once.
    pub instant_boots: u32,
    /// Requests of users for the state of their job.
    pub polls: u32,
    /// Jobs that were cancelled just after their last task completed.
    pub cancels_at_end: u32,
    /// Jobs that were submitted again and polled just after their last task completed.
    pub requests_at_end: u32,
    /// Number of responses with the expected status, for each kind of invalid request.
    pub invalid_request_answers: BTreeMap<InvalidRequest, u32>,
}

/// Longest time for which the user of an accepted job may get no response. Users poll every three seconds.
const MAX_TIME_WITHOUT_RESPONSE_S: f64 = 20.0;

impl World {
    /// Asserts that no invariant was violated, that each job has ended or, if it is a service, runs all its replicas,
    /// and that each user of an accepted job has received a response within the last `MAX_TIME_WITHOUT_RESPONSE_S`.
    pub fn check(&self, name: &str) {
        assert_eq!(
            self.violations,
            Vec::<String>::new(),
            "{name}: invariants were violated"
        );
        assert_eq!(
            self.unfinished_jobs(),
            Vec::<&str>::new(),
            "{name}: unfinished jobs"
        );
        assert_eq!(
            self.unanswered_jobs(MAX_TIME_WITHOUT_RESPONSE_S),
            Vec::<&str>::new(),
            "{name}: jobs whose users get no responses"
        );
    }

    /// Makes the assertions of [`World::check`], and asserts that the jobs with the most tasks have not starved.
    pub fn check_with_starvation(&self, name: &str) {
        self.check(name);
        assert_eq!(
            self.starved_largest_jobs(),
            Vec::<&str>::new(),
            "{name}: starved jobs"
        );
    }

    /// Counts a heartbeat as stale if its sequence is lower than the worker's latest, and as one of an old
    /// incarnation if its incarnation is lower than the worker's current one.
    pub(super) fn count_stale_heartbeat(&mut self, heartbeat: &WorkerHeartbeat) {
        if let Some(worker) = self.workers.get(&heartbeat.worker) {
            self.counts.stale_heartbeats += u32::from(heartbeat.sequence < worker.sequence);
            self.counts.heartbeats_of_old_incarnations +=
                u32::from(heartbeat.incarnation < worker.incarnation);
        }
    }

    /// Returns the number of jobs of which at least one task, but not every task, is completed.
    pub fn partly_done_jobs(&self) -> usize {
        let is_partly_done =
            |u: &&User| (1..u.tasks).contains(&u.completed_tasks_in(&self.completed_tasks));
        self.users.iter().filter(is_partly_done).count()
    }

    /// Returns the running tasks of all workers, with their ids.
    fn running(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.workers.values().flat_map(Worker::running)
    }

    /// Returns the CPUs that count towards the team's limit: those of all running tasks except the tasks of guest jobs,
    /// whose team has no limit.
    pub fn used_cpus(&self) -> f64 {
        let guests: BTreeSet<&str> = self
            .users
            .iter()
            .filter(|u| u.is_guest)
            .map(|u| u.id.as_str())
            .collect();
        let own = self
            .running()
            .filter(|(task_id, _)| !guests.contains(job_of(task_id)));
        TASK_CPUS * own.count() as f64
    }

    /// Returns whether one more task would exceed the team's limit. In worlds with more than three instances in each
    /// pool the team has no limit.
    pub(super) fn at_limit(&self) -> bool {
        self.instances_per_pool <= 3 && self.used_cpus() + TASK_CPUS > TEAM_CPUS
    }

    /// Returns the number of running tasks of a job in a zone.
    pub(super) fn running_in(&self, zone: &str, job: &str) -> u32 {
        let in_zone = self.workers.values().filter(|w| w.zone == zone);
        let tasks = in_zone.flat_map(Worker::running);
        tasks.filter(|(task_id, _)| job_of(task_id) == job).count() as u32
    }

    /// Returns the number of running tasks of these jobs.
    pub fn running_tasks_of(&self, jobs: &[u32]) -> usize {
        let ids: BTreeSet<String> = jobs.iter().map(|n| format!("j-{n:06}")).collect();
        let of = |task_id: &str| ids.contains(job_of(task_id));
        self.running().filter(|(task_id, _)| of(task_id)).count()
    }

    /// Returns the ids of the running tasks of a job, each with the number of its attempt.
    pub fn running_attempts_of(&self, job: u32) -> BTreeMap<String, u64> {
        let id = format!("j-{job:06}");
        let of = self.running().filter(|(task_id, _)| job_of(task_id) == id);
        of.map(|(task_id, task)| (task_id.to_owned(), task.attempt))
            .collect()
    }

    /// Ends the network faults. The check that no job starves begins at the time `at`, by which all other faults must
    /// have ended too.
    pub fn end_faults(&mut self, at: f64) {
        self.faults = NetworkFaults::default();
        self.faults_end_at = at;
    }

    /// Returns whether a task of the user's job could start now: the team is below its limit (the guest team has none),
    /// and an instance that the job allows has capacity. If the job is spread over zones, the instance's zone must also
    /// be allowed one more of its tasks.
    fn has_capacity_for(&self, user: &User) -> bool {
        let fits = |w: &Worker| {
            !w.is_full()
                && (user.spot || !w.spot)
                && user.zone.is_none_or(|zone| zone == w.zone)
                && user
                    .max_tasks_in_zone()
                    .is_none_or(|max| self.running_in(&w.zone, &user.id) < max)
        };
        (user.is_guest || !self.at_limit()) && self.workers.values().any(fits)
    }

    /// Once all faults have ended, records a violation for each job that has waited for 90 s although there was free
    /// capacity for it. Runs at most once a second.
    pub(super) fn check_starvation(&mut self) {
        let now = self.now;
        if now < self.next_starvation_check_at.max(self.faults_end_at) {
            return;
        }
        self.next_starvation_check_at = now + 1.0;
        for n in 0..self.users.len() {
            let user = &self.users[n];
            let is_over = user.completion_confirmed_at.is_some()
                || user.cancel_at.is_some_and(|at| now >= at);
            let is_done_or_running = |index: u32| {
                let task_id = format!("{}/{index}", user.id);
                self.completed_tasks.contains(&task_id)
                    || self.workers.values().any(|w| w.runs(&task_id))
            };
            let has_waiting_tasks = user.accepted
                && !user.always_fails
                && !is_over
                && !(0..user.tasks).all(is_done_or_running);
            if !has_waiting_tasks || !self.has_capacity_for(user) {
                self.users[n].starving_since = None;
                continue;
            }
            let starving_since = *self.users[n].starving_since.get_or_insert(now);
            if now - starving_since > 90.0 {
                self.violations.push(format!(
                    "{now}: {} has waited for 90 s although there is capacity",
                    self.users[n].id
                ));
                self.users[n].starving_since = None;
            }
        }
    }

    /// Returns the starved jobs among those with the largest number of tasks: those of which no task began to run
    /// within four minutes of the submission. Jobs that always fail and cancelled jobs are left out.
    pub fn starved_largest_jobs(&self) -> Vec<&str> {
        let most = self.users.iter().map(|u| u.tasks).max().unwrap_or(0);
        let late = |u: &&User| {
            let begun = u.first_started_at.unwrap_or(f64::INFINITY);
            u.tasks == most
                && !u.always_fails
                && u.cancellation_confirmed_at.is_none()
                && begun - u.submitted_at > 240.0
        };
        let largest = self.users.iter().filter(late);
        largest.map(|u| u.id.as_str()).collect()
    }

    /// Returns the number of jobs whose cancellation was confirmed to the user between two simulated times, in seconds.
    pub fn cancellations_confirmed(&self, from: f64, to: f64) -> usize {
        let confirmed_at = self
            .users
            .iter()
            .filter_map(|u| u.cancellation_confirmed_at);
        confirmed_at.filter(|at| (from..to).contains(at)).count()
    }

    /// Returns the number of elections so far, which is the number of committed puts of the `leader` key.
    pub fn leader_changes(&self) -> usize {
        self.counts.leader_key_puts
    }

    pub(super) fn count_state_request(&mut self, request: &KvRequest) {
        let second = self.now as u64;
        *self.counts.state_requests.entry(second).or_default() += 1;
        if let KvRequest::Txn(txn) = request {
            *self.counts.writes.entry(second).or_default() += txn.writes.len() as u32;
        }
    }

    /// Returns the index of the first controller that acts as leader, with a confirmed lease or in the lease grace
    /// period (the time for which a leader goes on although it can't confirm its lease).
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Controller>| n.as_ref().is_some_and(Controller::is_leader);
        self.controllers.iter().position(leads)
    }

    /// Returns the number of controllers.
    pub fn controllers(&self) -> usize {
        self.controllers.len()
    }

    /// Returns the accepted jobs whose users have received no response for more than `for_s` seconds.
    pub fn unanswered_jobs(&self, for_s: f64) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| u.accepted && self.now - u.last_answered_at > for_s)
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Returns the jobs whose users have learnt neither of their completion nor of their cancellation, except
    /// services that are not to be cancelled and of which all replicas run.
    pub fn unfinished_jobs(&self) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| {
                let is_over =
                    u.completion_confirmed_at.is_some() || u.cancellation_confirmed_at.is_some();
                let all_replicas_run = u.is_service && u.cancel_at.is_none() && {
                    let on = self
                        .running()
                        .filter(|(task_id, _)| job_of(task_id) == u.id);
                    on.count() as u32 == u.tasks
                };
                !is_over && !all_replicas_run
            })
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Returns the number of workers of a zone that are no longer in their first incarnation.
    pub fn workers_with_new_incarnation_in(&self, zone: &str) -> usize {
        let in_zone = self.workers.values().filter(|w| w.zone == zone);
        in_zone.filter(|w| w.incarnation > 1).count()
    }

    /// Returns the number of workers that are no longer in their first incarnation.
    pub fn workers_with_new_incarnation(&self) -> usize {
        self.workers.values().filter(|w| w.incarnation > 1).count()
    }

    /// Returns how many replicas are missing: the replicas of all accepted services whose cancellation is not
    /// confirmed, minus those that run on workers that are not disconnected.
    pub fn replicas_not_running(&self) -> usize {
        let wanted: u32 = self
            .users
            .iter()
            .filter(|u| u.is_service && u.accepted && u.cancellation_confirmed_at.is_none())
            .map(|u| u.tasks)
            .sum();
        let is_replica = |task_id: &str| {
            let job = job_of(task_id);
            self.users.iter().any(|u| u.is_service && job == u.id)
        };
        let running = self
            .workers
            .values()
            .filter(|w| self.now >= w.disconnected_until)
            .flat_map(Worker::running)
            .filter(|(task_id, _)| is_replica(task_id))
            .count();
        (wanted as usize).saturating_sub(running)
    }
}
