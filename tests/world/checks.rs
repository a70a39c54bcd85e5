//! What tests ask of the world.

use super::workers::{TASK_CPUS, TEAM_CPUS, Task, job_of};
use super::*;

/// What the controllers have asked of others.
#[derive(Debug, Default)]
pub struct Counters {
    /// Calls to the state service, in each second.
    pub requests: BTreeMap<u64, u32>,
    /// Puts and deletes, in each second.
    pub changes: BTreeMap<u64, u32>,
    /// Transactions that put the key `leader`.
    pub puts_of_leader: usize,
    /// Direct calls to workers.
    pub worker_calls: u32,
    /// The most direct calls of a controller that waited for their answers at a time.
    pub most_calls: usize,
    /// Heartbeats of workers.
    pub heartbeats: u32,
    /// Transactions carried out late, without an answer.
    pub late_txns: u32,
    /// Transactions carried out after newer ones of the same controller.
    pub overtaken_txns: u32,
    /// Heartbeats that came after newer ones of the same machine, and those of earlier incarnations.
    pub old_heartbeats: u32,
    pub old_incarnations: u32,
    /// Starts after their user was told that the job is cancelled, and the latest of them.
    pub starts_after_cancel: u32,
    pub latest_after_cancel: f64,
    /// Direct commands with starts that were held on their way.
    pub delayed_commands: u32,
    /// Starts that arrived with them when their job's tasks had to be gone already, and those of them for
    /// an incarnation that still went on.
    pub starts_past_cancellation: u32,
    pub starts_past_cancellation_in_incarnation: u32,
    /// Tasks that began to run when all tasks of their cancelled job had to be gone.
    pub tasks_begun_past_cancellation: u32,
    /// Tasks of each job that failed, and on each machine.
    pub failures_per_job: BTreeMap<String, u32>,
    pub failures_per_worker: BTreeMap<String, u32>,
    /// Heartbeats that came during a pause and were served before the controller's timers.
    pub heartbeats_before_timers: u32,
    /// Watches that were refused for their rate.
    pub limited_watches: u32,
    /// Pauses of a controller between a decision and what follows from it.
    pub pauses_before_sending: u32,
    /// Requests of users to a controller that has ended without a word.
    pub requests_to_hung_controllers: u32,
    /// Machines that never come up, and those that are up at once.
    pub failed_boots: u32,
    pub instant_boots: u32,
    /// Questions that users asked.
    pub polls: u32,
    /// Users that acted at the end of their job's last task.
    pub cancels_at_end: u32,
    pub requests_at_end: u32,
    /// Final answers to what can't be taken.
    pub invalid_request_answers: BTreeMap<InvalidRequest, u32>,
}

/// For how long after all troubles a job may go without an answer; users poll every three seconds.
const ANSWERED_S: f64 = 20.0;

impl World {
    /// Nothing broken, all jobs at their end, and each answered for lately.
    pub fn check(&self, name: &str) {
        assert_eq!(self.violations, Vec::<String>::new(), "{name}");
        assert_eq!(self.unfinished_jobs(), Vec::<&str>::new(), "{name}");
        assert_eq!(
            self.unanswered_jobs(ANSWERED_S),
            Vec::<&str>::new(),
            "{name}"
        );
    }

    /// The same, and the largest jobs have begun in time.
    pub fn check_with_starvation(&self, name: &str) {
        self.check(name);
        assert_eq!(self.starved_largest_jobs(), Vec::<&str>::new(), "{name}");
    }

    /// Notes a heartbeat that comes late.
    pub(super) fn count_old_heartbeat(&mut self, report: &WorkerHeartbeat) {
        if let Some(worker) = self.workers.get(&report.worker) {
            self.counts.old_heartbeats += u32::from(report.sequence < worker.sequence);
            self.counts.old_incarnations += u32::from(report.incarnation < worker.incarnation);
        }
    }

    /// Jobs of which some tasks are done, and some not.
    pub fn half_done(&self) -> usize {
        let half = |u: &&User| (1..u.tasks).contains(&u.done_of(&self.done));
        self.users.iter().filter(half).count()
    }

    /// All tasks that run.
    fn running(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.workers.values().flat_map(Worker::running)
    }

    /// What the running tasks use, but those of guests.
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

    /// Whether one more task would be more than the team's limit.
    pub(super) fn at_limit(&self) -> bool {
        self.pool <= 3 && self.used_cpus() + TASK_CPUS > TEAM_CPUS
    }

    /// Running tasks of a job in a zone.
    pub(super) fn running_in(&self, zone: &str, job: &str) -> u32 {
        let there = self.workers.values().filter(|w| w.zone == zone);
        let tasks = there.flat_map(Worker::running);
        tasks.filter(|(task_id, _)| job_of(task_id) == job).count() as u32
    }

    /// Running tasks of these jobs.
    pub fn running_tasks_of(&self, jobs: &[u32]) -> usize {
        let ids: BTreeSet<String> = jobs.iter().map(|n| format!("j-{n:06}")).collect();
        let of = |task_id: &str| ids.contains(job_of(task_id));
        self.running().filter(|(task_id, _)| of(task_id)).count()
    }

    /// The attempts of a job that run.
    pub fn running_attempts_of(&self, job: u32) -> BTreeMap<String, u64> {
        let id = format!("j-{job:06}");
        let of = self.running().filter(|(task_id, _)| job_of(task_id) == id);
        of.map(|(task_id, task)| (task_id.to_owned(), task.attempt))
            .collect()
    }

    /// All troubles end: from here on no job may wait for long beside room.
    pub fn end_faults(&mut self, at: f64) {
        self.faults = NetworkFaults::default();
        self.faults_end_at = at;
    }

    /// Whether a task of this job could start now: a machine that fits has room, its team is under its
    /// limit, and of a job that is spread the machine's zone has not too many yet.
    fn has_room_for(&self, user: &User) -> bool {
        let fits = |w: &Worker| {
            !w.is_full()
                && (user.spot || !w.spot)
                && user.zone.is_none_or(|zone| zone == w.zone)
                && user
                    .most_in_zone()
                    .is_none_or(|most| self.running_in(&w.zone, &user.id) < most)
        };
        (user.is_guest || !self.at_limit()) && self.workers.values().any(fits)
    }

    /// Once all troubles are over, no job may wait for 90 s beside room that it could use.
    pub(super) fn check_waiting_jobs(&mut self) {
        let now = self.now;
        if now < self.next_wait_check_at.max(self.faults_end_at) {
            return;
        }
        self.next_wait_check_at = now + 1.0;
        for n in 0..self.users.len() {
            let user = &self.users[n];
            let over = user.completion_confirmed_at.is_some()
                || user.cancel_at.is_some_and(|at| now >= at);
            let there = |t: u32| {
                let task_id = format!("{}/{t}", user.id);
                self.done.contains(&task_id) || self.workers.values().any(|w| w.runs(&task_id))
            };
            let waits = user.accepted && !user.always_fails && !over && !(0..user.tasks).all(there);
            if !waits || !self.has_room_for(user) {
                self.users[n].waits_since = None;
                continue;
            }
            let since = *self.users[n].waits_since.get_or_insert(now);
            if now - since > 90.0 {
                self.violations
                    .push(format!("{now}: {} waits beside room", self.users[n].id));
                self.users[n].waits_since = None;
            }
        }
    }

    /// Jobs with the most tasks that began later than four minutes after they were submitted.
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

    /// Users who were told between two times that their job is cancelled.
    pub fn cancellations_confirmed(&self, from: f64, to: f64) -> usize {
        let told = self
            .users
            .iter()
            .filter_map(|u| u.cancellation_confirmed_at);
        told.filter(|at| (from..to).contains(at)).count()
    }

    /// Changes of the leader so far: `leader` was put so often.
    pub fn leader_changes(&self) -> usize {
        self.counts.puts_of_leader
    }

    pub(super) fn count(&mut self, call: &KvRequest) {
        let second = self.now as u64;
        *self.counts.requests.entry(second).or_default() += 1;
        if let KvRequest::Txn(txn) = call {
            *self.counts.changes.entry(second).or_default() += txn.writes.len() as u32;
        }
    }

    /// The controller that leads, confirmed or within the lease grace period.
    pub(super) fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Controller>| n.as_ref().is_some_and(Controller::is_leader);
        self.controllers.iter().position(leads)
    }

    /// Number of controllers.
    pub fn controllers(&self) -> usize {
        self.controllers.len()
    }

    /// Users of accepted jobs who have had no answer for so long.
    pub fn unanswered_jobs(&self, for_s: f64) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| u.accepted && self.now - u.last_answered_at > for_s)
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Users whose job has not come to its end.
    pub fn unfinished_jobs(&self) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| {
                let over =
                    u.completion_confirmed_at.is_some() || u.cancellation_confirmed_at.is_some();
                let serves = u.is_service && u.cancel_at.is_none() && {
                    let on = self
                        .running()
                        .filter(|(task_id, _)| job_of(task_id) == u.id);
                    on.count() as u32 == u.tasks
                };
                !over && !serves
            })
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Workers of a zone that have lost an incarnation to their lease.
    pub fn workers_with_new_incarnation_in(&self, zone: &str) -> usize {
        let there = self.workers.values().filter(|w| w.zone == zone);
        there.filter(|w| w.incarnation > 1).count()
    }

    /// Workers that have lost an incarnation to their lease.
    pub fn workers_with_new_incarnation(&self) -> usize {
        self.workers.values().filter(|w| w.incarnation > 1).count()
    }

    /// Replicas that run on no machine that can be reached.
    pub fn replicas_not_running(&self) -> usize {
        let wanted: u32 = self
            .users
            .iter()
            .filter(|u| u.is_service && u.accepted && u.cancellation_confirmed_at.is_none())
            .map(|u| u.tasks)
            .sum();
        let standing = |task_id: &str| {
            let job = job_of(task_id);
            self.users.iter().any(|u| u.is_service && job == u.id)
        };
        let there = self
            .workers
            .values()
            .filter(|w| self.now >= w.disconnected_until)
            .flat_map(Worker::running)
            .filter(|(task_id, _)| standing(task_id))
            .count();
        (wanted as usize).saturating_sub(there)
    }
}
