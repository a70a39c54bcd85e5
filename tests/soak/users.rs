//! Users: they submit, ask, repeat and cancel, at whatever controller, and note what they are told.

use super::clock::Clock;
use super::cloud::ZONES;
use super::http::{Client, Reply};
use super::oracle::{FREE_TEAM, Job, Rule, Shared, Spec, TEAM, lock};
use cedarladder::protocol::cbor;
use ciborium::Value;
use rand::Rng;
use rand::rngs::SmallRng;
use std::net::SocketAddr;

/// Share of the jobs whose users cancel them, and of those the share that do so at once.
const CANCELS: f64 = 0.45;
const PROMPT_CANCELS: f64 = 0.4;
/// Share of the jobs that are services.
const SERVICES: f64 = 0.3;
/// Seconds of the protocol after which a user who knows how a job ended asks again.
const LATER_S: f64 = 25.0;

/// What users need.
#[derive(Clone)]
pub struct Users {
    pub oracle: Shared,
    pub clock: Clock,
    /// The controllers' addresses for users.
    pub nodes: Vec<SocketAddr>,
}

/// What a user asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

/// A small job that is cancelled within a heartbeat interval.
pub fn draw_prompt_job(number: u64, report_s: f64, chance: &mut SmallRng) -> (Spec, Option<f64>) {
    let spec = Spec {
        id: format!("j-{number:06}"),
        tasks: 1,
        standing: chance.random_bool(0.5),
        cpus: 1.0,
        team: FREE_TEAM,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        run_s: 20.0 * report_s,
        image: "img-0".to_owned(),
    };
    (spec, Some(report_s * chance.random_range(0.05..0.8)))
}

/// A new job, with the time after which it is cancelled.
pub fn draw_job(number: u64, clock: &Clock, chance: &mut SmallRng) -> (Spec, Option<f64>) {
    let standing = chance.random_bool(SERVICES);
    let tasks = if standing {
        chance.random_range(1..=4)
    } else {
        chance.random_range(1..=8)
    };
    let zone = chance
        .random_bool(0.1)
        .then(|| ZONES[chance.random_range(0..2)]);
    let spec = Spec {
        id: format!("j-{number:06}"),
        tasks,
        standing,
        cpus: [1.0, 2.0, 4.0][chance.random_range(0..3)],
        team: if chance.random_bool(0.6) {
            TEAM
        } else {
            FREE_TEAM
        },
        zone,
        one_zone: zone.is_none() && !standing && chance.random_bool(0.2),
        spread: zone.is_none() && standing && chance.random_bool(0.5),
        spot: chance.random_bool(0.5),
        run_s: clock.scaled(chance.random_range(5.0..60.0)),
        image: format!("img-{}", chance.random_range(0..5)),
    };
    let cancels = standing || chance.random_bool(CANCELS);
    let after_s = if chance.random_bool(PROMPT_CANCELS) {
        chance.random_range(0.0..3.0)
    } else {
        chance.random_range(3.0..120.0)
    };
    (spec, cancels.then(|| clock.scaled(after_s)))
}

fn body(spec: &Spec) -> Vec<u8> {
    let text = |text: &str| Value::Text(text.to_owned());
    let expect_s = if spec.standing { 0.0 } else { spec.run_s };
    let fields = vec![
        ("NameId", text(&spec.id)),
        ("Jobclass", text("soak")),
        ("Owner", text(spec.team)),
        (
            "Shape",
            text(if spec.standing { "standing" } else { "array" }),
        ),
        (
            "Rank",
            text(if spec.standing {
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

/// The state that an answer tells.
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
    /// The user of one job, until the run ends.
    pub async fn follow(self, spec: Spec, cancel_after_s: Option<f64>) {
        let (submitted, times) = {
            let oracle = &mut *lock(&self.oracle);
            let now = oracle.clock.now();
            oracle.counts.submitted += 1;
            oracle
                .jobs
                .insert(spec.id.clone(), Job::new(spec.clone(), now));
            (now, oracle.times)
        };
        let mut client = Client::default();
        let mut cancel_at = None;
        loop {
            let (accepted, over, stormed) = {
                let oracle = lock(&self.oracle);
                let job = &oracle.jobs[&spec.id];
                (job.accepted, job.is_over(), job.asked_cancel)
            };
            let now = self.clock.now();
            if let Some(after_s) = cancel_after_s
                && accepted.is_some()
            {
                cancel_at.get_or_insert(now + after_s);
            }
            let cancels = stormed.is_some() || cancel_at.is_some_and(|at| now >= at);
            let ask = match accepted {
                None => RequestKind::Submit,
                Some(_) if cancels && !over => RequestKind::Cancel,
                // Now and then a user repeats the submission.
                Some(_) if lock(&self.oracle).chance.random_bool(0.05) => RequestKind::Submit,
                Some(_) => RequestKind::Poll,
            };
            let answered = self.ask(&mut client, &spec, ask).await;
            if answered && ask == RequestKind::Cancel {
                tokio::spawn(self.clone().ask_everywhere(spec.clone()));
            }
            let pause_s = match (answered, over) {
                (false, _) => times.retry_s,
                (true, true) => self.clock.scaled(LATER_S),
                (true, false) => times.poll_every_s,
            };
            let next = self.clock.now() + pause_s;
            let next = cancel_at
                .filter(|at| !over && *at > now)
                .map_or(next, |at| next.min(at));
            self.clock.sleep_until(next).await;
            // The submission may have been accepted just now.
            let accepted = lock(&self.oracle).jobs[&spec.id].accepted;
            if accepted.is_none() && self.clock.now() - submitted > 12.0 * times.user_s {
                return;
            }
        }
    }

    /// Asks all controllers at once: none may give an older answer than another has given.
    async fn ask_everywhere(self, spec: Spec) {
        for node in 0..self.nodes.len() {
            let (users, spec) = (self.clone(), spec.clone());
            tokio::spawn(async move {
                let mut client = Client::default();
                let ask = if node % 2 == 0 {
                    RequestKind::Poll
                } else {
                    RequestKind::Cancel
                };
                users.ask_at(&mut client, node, &spec, ask).await;
            });
        }
    }

    /// Asks some controller; another if no connection comes about. True: there was an answer of use.
    async fn ask(&self, client: &mut Client, spec: &Spec, ask: RequestKind) -> bool {
        let first = lock(&self.oracle).chance.random_range(0..self.nodes.len());
        self.ask_at(client, first, spec, ask).await
    }

    async fn ask_at(
        &self,
        client: &mut Client,
        node: usize,
        spec: &Spec,
        ask: RequestKind,
    ) -> bool {
        let id = &spec.id;
        let (method, path, body) = match ask {
            RequestKind::Submit => ("POST", "/work".to_owned(), body(spec)),
            RequestKind::Poll => ("GET", format!("/work/{id}"), Vec::new()),
            RequestKind::Cancel => ("POST", format!("/work/{id}/cancel"), Vec::new()),
        };
        let (sent, within_s) = {
            let oracle = &mut *lock(&self.oracle);
            let now = oracle.clock.now();
            if let Some(job) = oracle.jobs.get_mut(id)
                && ask == RequestKind::Cancel
            {
                job.asked_cancel.get_or_insert(now);
            }
            oracle.counts.polls += u64::from(ask == RequestKind::Poll);
            let times = oracle.times;
            let poll_s = times.poll_answer_s;
            (
                now,
                if ask == RequestKind::Poll {
                    poll_s
                } else {
                    times.user_s
                },
            )
        };
        let answer = client
            .call(self.nodes[node], method, &path, body, within_s)
            .await;
        match answer {
            Ok(reply) => self.told(spec, ask, sent, node, &reply),
            Err(_) => false,
        }
    }

    /// Takes an answer to a request that was sent at a time: what is older than another answer that had
    /// come before it was sent breaks a rule.
    fn told(&self, spec: &Spec, ask: RequestKind, sent: f64, node: usize, reply: &Reply) -> bool {
        let oracle = &mut *lock(&self.oracle);
        let now = oracle.clock.now();
        let id = &spec.id;
        let Some(job) = oracle.jobs.get_mut(id) else {
            return false;
        };
        let before = |told: Option<f64>| told.is_some_and(|at| at < sent);
        let mut broken: Option<(Rule, String)> = None;
        let mut note = |rule, what: &str| {
            let record = format!("{id}: {ask:?} sent at {sent:.3} to n{node}: {what}");
            broken.get_or_insert((rule, record));
        };
        let useful = match reply.status {
            200 | 201 => {
                job.answered = now;
                if job.accepted.is_none() {
                    job.accepted = Some(now);
                    oracle.counts.accepted += 1;
                }
                let status = status_of(reply).unwrap_or_default();
                if before(job.told_cancelled) && status != "aborted" {
                    note(Rule::WentBack, &format!("'{status}' after 'aborted'"));
                }
                if before(job.told_done) && status != "done" {
                    note(Rule::WentBack, &format!("'{status}' after 'done'"));
                }
                if status == "done" {
                    if (job.done.len() as u32) < spec.tasks {
                        let what = format!("'done' with {} of {}", job.done.len(), spec.tasks);
                        note(Rule::NotDone, &what);
                    }
                    if job.told_done.is_none() {
                        job.told_done = Some(now);
                        oracle.counts.done += 1;
                    }
                }
                if status == "aborted" {
                    if job.asked_cancel.is_none() {
                        note(Rule::WentBack, "'aborted', and nobody cancelled it");
                    }
                    if job.told_cancelled.is_none() {
                        job.told_cancelled = Some(now);
                        oracle.counts.cancelled += 1;
                    }
                }
                true
            }
            404 if before(job.accepted) => {
                note(Rule::Forgotten, "404");
                true
            }
            404 => false,
            400 | 422 => {
                note(Rule::Forgotten, &format!("{}", reply.status));
                true
            }
            _ => false,
        };
        if let Some((rule, record)) = broken {
            oracle.break_rule(rule, record);
        }
        useful
    }

    /// Asks for jobs that nobody has submitted, at every controller in turn.
    pub async fn ask_for_nothing(self) {
        let every_s = lock(&self.oracle).times.poll_every_s;
        let mut client = Client::default();
        for turn in 0.. {
            self.clock.sleep(every_s).await;
            let node = turn % self.nodes.len();
            let path = format!("/work/j-{}", 900_000 + turn % 1000);
            let answer = client
                .call(self.nodes[node], "GET", &path, Vec::new(), every_s)
                .await;
            if answer.is_ok_and(|reply| reply.status == 200) {
                let record = format!("GET {path} at n{node}: 200");
                lock(&self.oracle).break_rule(Rule::Invented, record);
            }
        }
    }
}
