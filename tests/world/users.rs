//! Simulated users, each with one job.

use super::workers::TASK_CPUS;
use super::*;

/// A request that every controller must reject, unless it responds with 503.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvalidRequest {
    /// A submission of a job whose tasks fit on no instance type.
    FitsNoInstance,
    /// A submission for a team that is not in the settings.
    UnknownTeam,
    /// A submission of a service whose replicas together request more than the team's limit.
    ExceedsTeamLimit,
    /// A submission in which a required field is missing.
    MissingField,
    /// A poll of a job that was never submitted.
    UnknownJob,
}

impl InvalidRequest {
    /// Returns the expected status. A controller that can't decide yet may respond with 503 instead, except to a
    /// request with a missing field.
    fn status(self) -> u16 {
        match self {
            InvalidRequest::FitsNoInstance
            | InvalidRequest::UnknownTeam
            | InvalidRequest::ExceedsTeamLimit => 422,
            InvalidRequest::MissingField => 400,
            InvalidRequest::UnknownJob => 404,
        }
    }

    /// Returns the method, path and body of the request.
    pub(super) fn request(self) -> (&'static str, &'static str, Vec<u8>) {
        let mut fields = submission_fields("j-999999", 2, 5.0, true, false);
        let mut set = |name: &str, value: Value| {
            fields
                .iter_mut()
                .filter(|(field, _)| *field == name)
                .for_each(|field| field.1 = value.clone());
        };
        match self {
            InvalidRequest::FitsNoInstance => set("Cores", Value::Float(9.0)),
            InvalidRequest::UnknownTeam => set("Owner", Value::Text("nobody".into())),
            // All replicas of a service count towards the limit.
            InvalidRequest::ExceedsTeamLimit => set("Steps", Value::from(1_000)),
            InvalidRequest::MissingField => fields.retain(|(field, _)| *field != "Rank"),
            InvalidRequest::UnknownJob => return ("GET", "/work/j-888888", Vec::new()),
        }
        ("POST", "/work", submission_body(fields))
    }
}

type Fields = Vec<(&'static str, Value)>;

fn submission_fields(id: &str, tasks: u32, run_s: f64, is_service: bool, spot: bool) -> Fields {
    let text = |s: &str| Value::Text(s.to_owned());
    vec![
        ("NameId", text(id)),
        ("Jobclass", text("c")),
        ("Owner", text("t")),
        ("Shape", text(if is_service { "standing" } else { "array" })),
        (
            "Rank",
            text(if is_service { "production" } else { "normal" }),
        ),
        ("Steps", Value::from(tasks)),
        ("Cores", Value::Float(TASK_CPUS)),
        ("Gpus", Value::Float(0.0)),
        ("RamGb", Value::Float(1.0)),
        ("Flavors", Value::Null),
        ("OneZone", Value::Bool(false)),
        ("Spread", Value::Bool(is_service)),
        ("Windfall", Value::Bool(spot)),
        ("Bundle", text("img")),
        ("PullGb", Value::Float(0.5)),
        (
            "ExpectS",
            Value::Float(if is_service { 0.0 } else { run_s }),
        ),
        ("SnapshotS", Value::Float(0.0)),
        ("FlushS", Value::Float(0.0)),
    ]
}

fn submission_body(fields: Fields) -> Vec<u8> {
    let text = |s: &str| Value::Text(s.to_owned());
    let map = fields.into_iter().map(|(k, v)| (text(k), v)).collect();
    cbor::encode(&Value::Map(map))
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum UserRequestKind {
    Submit,
    Poll,
    Cancel,
}

/// A request of a user. A response may show an older state than an earlier response only if its request was
/// sent before the earlier response arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct UserRequest {
    pub(super) kind: UserRequestKind,
    pub(super) sent_at: f64,
    /// The request is not one of its user's regular requests, so the user's next request is not scheduled when the
    /// response arrives.
    pub(super) is_extra: bool,
}

/// A user with one job, and what the user knows of it.
pub struct User {
    pub id: String,
    /// Body of the submission.
    pub body: Vec<u8>,
    pub tasks: u32,
    /// Run time of the first task of an array, in seconds. Ignored for services.
    pub run_s: f64,
    pub is_service: bool,
    /// The job may use spot instances besides on-demand instances.
    pub spot: bool,
    /// When the job is first submitted.
    pub submitted_at: f64,
    /// Since when tasks of the job have waited although they could use free capacity.
    pub starving_since: Option<f64>,
    /// Each task runs longer than the task with the next lower index, by this time.
    pub runtime_step_s: f64,
    /// The only zone in which the job may run, if it is restricted.
    pub zone: Option<&'static str>,
    /// When the user cancels the job, if ever.
    pub cancel_at: Option<f64>,
    /// All tasks of the job fail, on every instance.
    pub always_fails: bool,
    /// The job belongs to the guest team, which is guaranteed no resources (a quota of zero), and may use any number
    /// (no limit).
    pub is_guest: bool,
    /// The user has received a response that the job is accepted.
    pub accepted: bool,
    pub cancellation_confirmed_at: Option<f64>,
    pub completion_confirmed_at: Option<f64>,
    /// When the user last received a response with the job's state or, before the job was accepted, a response that the
    /// job is unknown. Before any response, the time of the submission.
    pub last_answered_at: f64,
    /// When the first task of the job began to run.
    pub first_started_at: Option<f64>,
}

impl User {
    /// Returns how many tasks of the job are in `completed`, a set of task ids.
    pub(super) fn completed_tasks_in(&self, completed: &BTreeSet<String>) -> u32 {
        let is_completed = |n: &u32| completed.contains(&format!("{}/{n}", self.id));
        (0..self.tasks).filter(is_completed).count() as u32
    }

    /// Returns the maximum number of the job's tasks in one zone, if the job is spread over zones.
    pub(super) fn max_tasks_in_zone(&self) -> Option<u32> {
        let is_spread = self.is_service && self.zone.is_none();
        is_spread.then_some(self.tasks.div_ceil(2))
    }
}

impl World {
    /// Adds eight users with array jobs and services. Two of the jobs are cancelled.
    pub fn add_mixed_jobs(&mut self) {
        self.add_user(1, 0.5, (3, 4.0, false, true), None);
        self.add_user(2, 1.0, (6, 6.0, false, false), None);
        self.add_user(3, 1.5, (2, 0.0, true, false), None);
        self.add_user(4, 2.0, (1, 0.0, true, false), Some(40.0));
        self.add_user(5, 3.0, (30, 8.0, false, true), Some(30.0));
        self.add_user(6, 20.0, (10, 5.0, false, true), None);
        self.add_user(7, 45.0, (4, 5.0, false, false), None);
        self.add_user(8, 60.0, (3, 0.0, true, false), None);
    }

    /// Adds a user who submits job number `n` at the time `at`, polls it and, if `cancel_at` is set, cancels it
    /// instead of polling it once that time has passed. The job has `tasks` tasks and may use spot instances if
    /// `spot` is set. It is a service, or an array whose tasks each run for `run_s` seconds.
    pub fn add_user(
        &mut self,
        n: u32,
        at: f64,
        (tasks, run_s, is_service, spot): (u32, f64, bool, bool),
        cancel_at: Option<f64>,
    ) {
        self.add_user_in_zone(n, at, (tasks, run_s, is_service, spot), None, cancel_at);
    }

    /// Adds a user as [`World::add_user`] does. If `zone` is set, the job may run in this zone only, and is not spread.
    pub fn add_user_in_zone(
        &mut self,
        n: u32,
        at: f64,
        (tasks, run_s, is_service, spot): (u32, f64, bool, bool),
        zone: Option<&'static str>,
        cancel_at: Option<f64>,
    ) {
        let id = format!("j-{n:06}");
        let mut fields = submission_fields(&id, tasks, run_s, is_service, spot);
        if let Some(zone) = zone {
            fields.retain(|(field, _)| !matches!(*field, "Grove" | "Spread"));
            fields.push(("Grove", Value::Text(zone.to_owned())));
            fields.push(("Spread", Value::Bool(false)));
        }
        let index = self.users.len();
        self.users.push(User {
            id,
            body: submission_body(fields),
            tasks,
            run_s,
            is_service,
            spot,
            submitted_at: at,
            starving_since: None,
            runtime_step_s: 0.0,
            zone,
            cancel_at,
            always_fails: false,
            is_guest: false,
            accepted: false,
            cancellation_confirmed_at: None,
            completion_confirmed_at: None,
            last_answered_at: at,
            first_started_at: None,
        });
        self.schedule_at(at, SimEvent::UserActs(index));
    }

    /// Restricts the job that was added last to a zone.
    pub fn restrict_last_job(&mut self, zone: &'static str) {
        let Some(user) = self.users.last_mut() else {
            return;
        };
        let mut fields: Value = cbor::decode(&user.body).expect("the submission is no CBOR");
        if let Value::Map(entries) = &mut fields {
            entries.push((Value::Text("Grove".into()), Value::Text(zone.to_owned())));
        }
        user.body = cbor::encode(&fields);
        user.zone = Some(zone);
    }

    /// Adds a user with a service of one replica in a zone, which requests these amounts.
    pub fn add_replica(&mut self, n: u32, at: f64, zone: &'static str, (cpus, ram_gb): (f64, f64)) {
        self.add_user_in_zone(n, at, (1, 0.0, true, false), Some(zone), None);
        let mut fields = submission_fields(&format!("j-{n:06}"), 1, 0.0, true, false);
        for (field, value) in &mut fields {
            match *field {
                "Cores" => *value = Value::Float(cpus),
                "RamGb" => *value = Value::Float(ram_gb),
                "Grove" => *value = Value::Text(zone.to_owned()),
                "Spread" => *value = Value::Bool(false),
                _ => {}
            }
        }
        fields.push(("Grove", Value::Text(zone.to_owned())));
        if let Some(user) = self.users.last_mut() {
            user.body = submission_body(fields);
        }
    }

    /// Lets the user of job number `n` cancel it at exactly the time `at`, instead of when the user would next
    /// poll it.
    pub fn cancel_job_at(&mut self, n: u32, at: f64) {
        let id = format!("j-{n:06}");
        if let Some(index) = self.users.iter().position(|u| u.id == id) {
            self.users[index].cancel_at = Some(at);
            self.schedule_at(at, SimEvent::UserActs(index));
        }
    }

    /// Adds a user with a job whose tasks all fail. The user cancels the job at `cancel_at`.
    pub fn add_failing_job(
        &mut self,
        n: u32,
        at: f64,
        (tasks, is_service): (u32, bool),
        cancel_at: f64,
    ) {
        self.add_user(n, at, (tasks, 5.0, is_service, false), Some(cancel_at));
        if let Some(user) = self.users.last_mut() {
            user.always_fails = true;
        }
    }

    /// Adds a user with a best-effort job of the guest team, which has a quota of zero and no limit.
    pub fn add_guest_job(&mut self, n: u32, at: f64, (tasks, run_s): (u32, f64)) {
        self.add_user(n, at, (tasks, run_s, false, true), None);
        let id = format!("j-{n:06}");
        let mut fields = submission_fields(&id, tasks, run_s, false, true);
        for (field, value) in &mut fields {
            match *field {
                "Owner" => *value = Value::Text("guest".to_owned()),
                "Rank" => *value = Value::Text("best_effort".to_owned()),
                _ => {}
            }
        }
        if let Some(user) = self.users.last_mut() {
            user.body = submission_body(fields);
            user.is_guest = true;
        }
    }

    pub(super) fn user_acts(&mut self, user: usize) {
        let u = &self.users[user];
        let kind = if !u.accepted {
            UserRequestKind::Submit
        } else if u.cancel_at.is_some_and(|at| self.now >= at)
            && u.cancellation_confirmed_at.is_none()
        {
            UserRequestKind::Cancel
        } else {
            UserRequestKind::Poll
        };
        self.counts.polls += u32::from(kind == UserRequestKind::Poll);
        let mut controller = self.rng.random_range(0..self.controllers.len());
        if self.now < self.users_avoid_until[controller] {
            controller = (controller + 1) % self.controllers.len();
        }
        let user_request = UserRequest {
            kind,
            sent_at: self.now,
            is_extra: false,
        };
        self.schedule_after(
            0.002,
            SimEvent::UserRequestArrives(controller, user, user_request),
        );
    }

    /// Handles the completion of a task of an array. If all tasks of the job are now completed, the user may cancel the
    /// job, or submit it again and poll it, within 0.2 s: `cancels_at_end` and `requests_at_end` of the faults are the
    /// probabilities.
    pub(super) fn on_task_completed(&mut self, job: &str) {
        let Some(n) = self.users.iter().position(|u| u.id == job) else {
            return;
        };
        let user = &self.users[n];
        if user.is_service || user.completed_tasks_in(&self.completed_tasks) < user.tasks {
            return;
        }
        let draw = self.rng.random::<f64>();
        if draw < self.faults.cancels_at_end {
            self.counts.cancels_at_end += 1;
            self.users[n].cancel_at.get_or_insert(self.now);
            let delay = self.rng.random::<f64>() * 0.2;
            self.schedule_after(delay, SimEvent::UserActs(n));
        } else if draw < self.faults.cancels_at_end + self.faults.requests_at_end {
            self.counts.requests_at_end += 1;
            for controller in 0..self.controllers.len() {
                for kind in [UserRequestKind::Submit, UserRequestKind::Poll] {
                    let delay = self.rng.random::<f64>() * 0.2;
                    let user_request = UserRequest {
                        kind,
                        sent_at: self.now + delay,
                        is_extra: true,
                    };
                    self.schedule_after(
                        delay,
                        SimEvent::UserRequestArrives(controller, n, user_request),
                    );
                }
            }
        }
    }

    /// Counts the response to an invalid request if its status is the expected one. Records a violation if the status
    /// is neither that nor a 503 that is allowed.
    pub(super) fn on_invalid_request_answered(&mut self, request: InvalidRequest, status: u16) {
        if status == request.status() {
            *self
                .counts
                .invalid_request_answers
                .entry(request)
                .or_default() += 1;
        } else if status != 503 || request == InvalidRequest::MissingField {
            self.violations.push(format!(
                "{}: status {status} instead of {} for {request:?}",
                self.now,
                request.status()
            ));
        }
    }

    pub(super) fn on_user_answered(
        &mut self,
        user: usize,
        user_request: UserRequest,
        status: u16,
        body: &[u8],
    ) {
        let now = self.now;
        let u = &mut self.users[user];
        match status {
            200 | 201 => {
                u.accepted = true;
                u.last_answered_at = now;
                let status: JobStatus = match user_request.kind {
                    UserRequestKind::Poll => {
                        cbor::decode::<JobView>(body)
                            .expect("the response to a poll is no job view")
                            .status
                    }
                    _ => {
                        let accepted: cedarladder::protocol::job::JobAccepted = cbor::decode(body)
                            .expect(
                                "the response to a submission or cancellation can't be decoded",
                            );
                        accepted.status
                    }
                };
                let was_final = (
                    u.cancellation_confirmed_at
                        .is_some_and(|at| user_request.sent_at > at),
                    u.completion_confirmed_at
                        .is_some_and(|at| user_request.sent_at > at),
                );
                match status {
                    JobStatus::Done => {
                        if u.completed_tasks_in(&self.completed_tasks) < u.tasks {
                            self.violations.push(format!(
                                "{now}: {} is reported done, but not all of its tasks are completed",
                                u.id
                            ));
                        }
                        u.completion_confirmed_at.get_or_insert(now);
                    }
                    JobStatus::Aborted => {
                        if u.cancel_at.is_none() {
                            self.violations.push(format!(
                                "{now}: {} is reported aborted, but its user has not cancelled it",
                                u.id
                            ));
                        }
                        u.cancellation_confirmed_at.get_or_insert(now);
                    }
                    _ => {}
                }
                let reverted = match was_final {
                    (true, _) => status != JobStatus::Aborted,
                    (_, true) => status != JobStatus::Done,
                    _ => false,
                };
                if reverted {
                    self.violations.push(format!(
                        "{now}: {} changed from a final state to {status:?}",
                        u.id
                    ));
                }
            }
            404 if u.accepted => self
                .violations
                .push(format!("{now}: {} was accepted, but is unknown now", u.id)),
            // The job was not accepted yet, so its user will submit it again.
            404 => u.last_answered_at = now,
            400 | 422 => self.violations.push(format!(
                "{now}: a valid request about {} was rejected with status {status}",
                u.id
            )),
            _ => {}
        }
        if user_request.is_extra {
            return;
        }
        let poll_interval_s = if status == 200 || status == 201 {
            3.0 / (1.0 + self.faults.extra_polls)
        } else {
            1.0
        };
        self.schedule_after(poll_interval_s, SimEvent::UserActs(user));
    }
}
