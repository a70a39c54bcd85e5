//! Simulated users, who submit, poll, resubmit and cancel jobs at random controllers, and check the responses.
//!
//! A node is a controller. A poll is a request for the state of a job.

use super::clock::Clock;
use super::cloud::ZONES;
use super::http::{Client, Reply};
use super::oracle::{FREE_TEAM, Job, Rule, Shared, Spec, TEAM, lock};
use cedarladder::protocol::cbor;
use ciborium::Value;
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Share of the array jobs that their users cancel. Users cancel all services, which do not end otherwise.
const CANCEL_SHARE: f64 = 0.45;
/// Share of the cancellations that are drawn to follow within 3 s of the protocol after the job was accepted.
const EARLY_CANCEL_SHARE: f64 = 0.4;
/// Share of the jobs that are services: their tasks run until they are stopped.
const SERVICE_SHARE: f64 = 0.3;
/// Interval between polls for a job whose end has been reported to its user, in seconds of the protocol.
const ENDED_POLL_INTERVAL_S: f64 = 25.0;

/// The simulated users.
#[derive(Clone)]
pub struct Users {
    pub oracle: Shared,
    pub clock: Clock,
    /// Addresses on which the controllers accept requests of users.
    pub nodes: Vec<SocketAddr>,
}

/// Kind of a request of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// Draws a small job, and the time from its acceptance to its cancellation, which is less than a heartbeat interval.
pub fn draw_job_to_cancel(
    number: u64,
    heartbeat_interval_s: f64,
    rng: &mut SmallRng,
) -> (Spec, Option<f64>) {
    let spec = Spec {
        id: format!("j-{number:06}"),
        tasks: 1,
        is_service: rng.random_bool(0.5),
        cpus: 1.0,
        team: FREE_TEAM,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        run_s: 20.0 * heartbeat_interval_s,
        image: "img-0".to_owned(),
    };
    (
        spec,
        Some(heartbeat_interval_s * rng.random_range(0.05..0.8)),
    )
}

/// Draws a job, and the time from its acceptance to its cancellation; `None` if its user does not cancel it. A service of
/// the team with a limit of `team_cpus` requests at most that limit: a larger one could never run, and is rejected.
pub fn draw_job(
    number: u64,
    team_cpus: f64,
    clock: &Clock,
    rng: &mut SmallRng,
) -> (Spec, Option<f64>) {
    let is_service = rng.random_bool(SERVICE_SHARE);
    let tasks = if is_service {
        rng.random_range(1..=4)
    } else {
        rng.random_range(1..=8)
    };
    let zone = rng.random_bool(0.1).then(|| ZONES[rng.random_range(0..2)]);
    let mut spec = Spec {
        id: format!("j-{number:06}"),
        tasks,
        is_service,
        cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
        team: if rng.random_bool(0.6) {
            TEAM
        } else {
            FREE_TEAM
        },
        zone,
        one_zone: zone.is_none() && !is_service && rng.random_bool(0.2),
        spread: zone.is_none() && is_service && rng.random_bool(0.5),
        spot: rng.random_bool(0.5),
        run_s: clock.scaled(rng.random_range(5.0..60.0)),
        image: format!("img-{}", rng.random_range(0..5)),
    };
    if is_service && spec.team == TEAM {
        let most = (team_cpus / spec.cpus).floor().max(1.0) as u32;
        spec.tasks = spec.tasks.min(most);
    }
    let is_cancelled = is_service || rng.random_bool(CANCEL_SHARE);
    let after_s = if rng.random_bool(EARLY_CANCEL_SHARE) {
        rng.random_range(0.0..3.0)
    } else {
        rng.random_range(3.0..120.0)
    };
    (spec, is_cancelled.then(|| clock.scaled(after_s)))
}

/// The body of the request that submits a job.
fn body(spec: &Spec) -> Vec<u8> {
    let text = |text: &str| Value::Text(text.to_owned());
    let expect_s = if spec.is_service { 0.0 } else { spec.run_s };
    let fields = vec![
        ("NameId", text(&spec.id)),
        ("Jobclass", text("soak")),
        ("Owner", text(spec.team)),
        (
            "Shape",
            text(if spec.is_service { "standing" } else { "array" }),
        ),
        (
            "Rank",
            text(if spec.is_service {
                "production"
            } else {
                "normal"
            }),
        ),
        ("Steps", Value::from(spec.tasks)),
        ("Cores", Value::Float(spec.cpus)),
        ("Gpus", Value::Float(0.0)),
        ("RamGb", Value::Float(1.0)),
        ("Flavors", Value::Null),
        ("Grove", spec.zone.map_or(Value::Null, text)),
        ("OneZone", Value::Bool(spec.one_zone)),
        ("Spread", Value::Bool(spec.spread)),
        ("Windfall", Value::Bool(spec.spot)),
        ("Bundle", text(&spec.image)),
        ("PullGb", Value::Float(0.1)),
        ("ExpectS", Value::Float(expect_s)),
        ("SnapshotS", Value::Float(0.0)),
        ("FlushS", Value::Float(0.0)),
        ("DueS", Value::Null),
    ];
    let map = fields.into_iter().map(|(name, value)| (text(name), value));
    cbor::encode(&Value::Map(map.collect()))
}

/// The state of the job in a response; `None` if the response has none.
fn status_of(reply: &Reply) -> Option<String> {
    let Ok(Value::Map(fields)) = cbor::decode::<Value>(&reply.body) else {
        return None;
    };
    fields.into_iter().find_map(|(name, value)| {
        let named = name.as_text() == Some("Status");
        named.then(|| value.as_text().map(str::to_owned)).flatten()
    })
}

impl Users {
    /// Simulates the user of one job until the run ends. The user gives up if the job is not accepted within twelve
    /// times the user timeout.
    pub async fn simulate_user(self, spec: Spec, cancel_after_s: Option<f64>) {
        let (submitted, times) = {
            let oracle = &mut *lock(&self.oracle);
            let now = oracle.clock.now();
            oracle.counters.submitted += 1;
            oracle
                .jobs
                .insert(spec.id.clone(), Job::new(spec.clone(), now));
            (now, oracle.times)
        };
        let mut client = Client::default();
        let mut cancel_at = None;
        loop {
            let (accepted_at, has_ended, cancel_requested_at) = {
                let oracle = lock(&self.oracle);
                let job = &oracle.jobs[&spec.id];
                (job.accepted_at, job.has_ended(), job.cancel_requested_at)
            };
            let now = self.clock.now();
            if let Some(after_s) = cancel_after_s
                && accepted_at.is_some()
            {
                cancel_at.get_or_insert(now + after_s);
            }
            let is_cancelled =
                cancel_requested_at.is_some() || cancel_at.is_some_and(|at| now >= at);
            let request = match accepted_at {
                None => RequestKind::Submit,
                Some(_) if is_cancelled && !has_ended => RequestKind::Cancel,
                // Users occasionally repeat the submission.
                Some(_) if lock(&self.oracle).rng.random_bool(0.05) => RequestKind::Submit,
                Some(_) => RequestKind::Poll,
            };
            let is_answered = self.request(&mut client, &spec, request).await;
            if is_answered && request == RequestKind::Cancel {
                tokio::spawn(self.clone().request_everywhere(spec.clone()));
            }
            let pause_s = match (is_answered, has_ended) {
                (false, _) => times.retry_delay_s,
                (true, true) => self.clock.scaled(ENDED_POLL_INTERVAL_S),
                (true, false) => times.poll_interval_s,
            };
            let next = self.clock.now() + pause_s;
            let next = cancel_at
                .filter(|at| !has_ended && *at > now)
                .map_or(next, |at| next.min(at));
            self.clock.sleep_until(next).await;
            // Read again: the submission may have been accepted during this iteration.
            let accepted_at = lock(&self.oracle).jobs[&spec.id].accepted_at;
            if accepted_at.is_none() && self.clock.now() - submitted > 12.0 * times.user_timeout_s {
                return;
            }
        }
    }

    /// Sends a poll or a cancellation for a job to every controller at the same time, to check that no controller
    /// reports an older state than another controller has reported before.
    async fn request_everywhere(self, spec: Spec) {
        for node in 0..self.nodes.len() {
            let (users, spec) = (self.clone(), spec.clone());
            tokio::spawn(async move {
                let mut client = Client::default();
                let request = if node % 2 == 0 {
                    RequestKind::Poll
                } else {
                    RequestKind::Cancel
                };
                users.request_at(&mut client, node, &spec, request).await;
            });
        }
    }

    /// Sends a request to a random controller. Returns whether there was a conclusive response (see
    /// [`Users::handle_reply`]).
    async fn request(&self, client: &mut Client, spec: &Spec, request: RequestKind) -> bool {
        let first = lock(&self.oracle).rng.random_range(0..self.nodes.len());
        self.request_at(client, first, spec, request).await
    }

    /// Sends a request to a controller and checks the response. Returns whether there was a conclusive response, which
    /// reports the job or breaks a rule by rejecting the request.
    async fn request_at(
        &self,
        client: &mut Client,
        node: usize,
        spec: &Spec,
        request: RequestKind,
    ) -> bool {
        let id = &spec.id;
        let (method, path, body) = match request {
            RequestKind::Submit => ("POST", "/work".to_owned(), body(spec)),
            RequestKind::Poll => ("GET", format!("/work/{id}"), Vec::new()),
            RequestKind::Cancel => ("POST", format!("/work/{id}/cancel"), Vec::new()),
        };
        let (sent_at, timeout_s) = {
            let oracle = &mut *lock(&self.oracle);
            let now = oracle.clock.now();
            if let Some(job) = oracle.jobs.get_mut(id)
                && request == RequestKind::Cancel
            {
                job.cancel_requested_at.get_or_insert(now);
            }
            oracle.counters.polls += u64::from(request == RequestKind::Poll);
            let times = oracle.times;
            let poll_s = times.poll_timeout_s;
            (
                now,
                if request == RequestKind::Poll {
                    poll_s
                } else {
                    times.user_timeout_s
                },
            )
        };
        let answer = client
            .call(self.nodes[node], method, &path, body, timeout_s)
            .await;
        match answer {
            Ok(reply) => self.handle_reply(spec, request, sent_at, node, &reply),
            Err(_) => false,
        }
    }

    /// Checks the response to a request that was sent at `sent_at`, and records the state of the job in it. A response
    /// breaks a rule if its state is older than that in a response that arrived before the request was sent. Returns
    /// whether the response is conclusive: it reports the job, or breaks a rule by rejecting the request.
    fn handle_reply(
        &self,
        spec: &Spec,
        request: RequestKind,
        sent_at: f64,
        node: usize,
        reply: &Reply,
    ) -> bool {
        let oracle = &mut *lock(&self.oracle);
        let now = oracle.clock.now();
        let id = &spec.id;
        let Some(job) = oracle.jobs.get_mut(id) else {
            return false;
        };
        let known_before_sending =
            |reported_at: Option<f64>| reported_at.is_some_and(|at| at < sent_at);
        let mut violation: Option<(Rule, String)> = None;
        let mut report_violation = |rule, what: &str| {
            let details = format!("{id}: {request:?} sent at {sent_at:.3} to n{node}: {what}");
            violation.get_or_insert((rule, details));
        };
        let is_conclusive = match reply.status {
            200 | 201 => {
                job.last_response_at = now;
                if job.accepted_at.is_none() {
                    job.accepted_at = Some(now);
                    oracle.counters.accepted += 1;
                }
                let status = status_of(reply).unwrap_or_default();
                if known_before_sending(job.reported_cancelled_at) && status != "aborted" {
                    report_violation(Rule::StateReverted, &format!("'{status}' after 'aborted'"));
                }
                if known_before_sending(job.reported_done_at) && status != "done" {
                    report_violation(Rule::StateReverted, &format!("'{status}' after 'done'"));
                }
                if status == "done" {
                    if (job.done.len() as u32) < spec.tasks {
                        let what = format!(
                            "'done' with {} of {} tasks done",
                            job.done.len(),
                            spec.tasks
                        );
                        report_violation(Rule::DoneTooEarly, &what);
                    }
                    if job.reported_done_at.is_none() {
                        job.reported_done_at = Some(now);
                        oracle.counters.done += 1;
                    }
                }
                if status == "aborted" {
                    if job.cancel_requested_at.is_none() {
                        report_violation(Rule::StateReverted, "'aborted' without a cancellation");
                    }
                    if job.reported_cancelled_at.is_none() {
                        job.reported_cancelled_at = Some(now);
                        oracle.counters.cancelled += 1;
                    }
                }
                true
            }
            404 if known_before_sending(job.accepted_at) => {
                report_violation(Rule::JobForgotten, "status 404 for an accepted job");
                true
            }
            404 => false,
            400 | 422 => {
                let what = format!("status {} for a valid request", reply.status);
                report_violation(Rule::JobForgotten, &what);
                true
            }
            _ => false,
        };
        if let Some((rule, details)) = violation {
            oracle.record_violation(rule, details);
        }
        is_conclusive
    }

    /// Polls for jobs that were never submitted, at each controller in turn. A response with status 200 breaks a rule.
    pub async fn poll_nonexistent_jobs(self) {
        let interval_s = lock(&self.oracle).times.poll_interval_s;
        let mut client = Client::default();
        for turn in 0.. {
            self.clock.sleep(interval_s).await;
            let node = turn % self.nodes.len();
            let path = format!("/work/j-{}", 900_000 + turn % 1000);
            let answer = client
                .call(self.nodes[node], "GET", &path, Vec::new(), interval_s)
                .await;
            if answer.is_ok_and(|reply| reply.status == 200) {
                let details =
                    format!("GET {path} at n{node}: status 200 for a job that was never submitted");
                lock(&self.oracle).record_violation(Rule::NonexistentJobFound, details);
            }
        }
    }
}
