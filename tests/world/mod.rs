//! A small deterministic world for tests: stand-ins for the state service, the cloud, the workers
//! and the users, written from the protocol, around real controllers. Time is simulated, and all
//! chance comes from one seed.

#![allow(dead_code)]

use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::outbox::Action;
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::cloud::{CloudCall, CloudReply, Flavor, Machine, MachineStatus};
use cedarladder::protocol::job::{JobStatus, JobView};
use cedarladder::protocol::peer::Beat;
use cedarladder::protocol::state::{Event, Item, StoreCall, StoreReply, Txn, Write};
use cedarladder::protocol::worker::{
    Cause, Commands, Redirect, Report, StepReport, StepStatus, Verb, WorkerCall, WorkerReply,
};
use cedarladder::settings::{Seed, Settings};
use ciborium::Value;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

pub const SETTINGS: &str = include_str!("settings.toml");
const LEASE_S: f64 = 10.0;
const CANCEL_S: f64 = 30.0;
const WALL: f64 = 1_700_000_000.0;

/// What may go wrong, as chances for each message.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weather {
    /// A request is carried out but its answer is lost.
    pub lost: f64,
    /// A request is carried out long after its sender gave up.
    pub late: f64,
    /// A copy of a report comes late, by seconds to well over a lease.
    pub copies: f64,
    /// A request that was carried out comes once more, by seconds to well over a lease later.
    pub repeats: f64,
    /// Seconds that the state service takes for an answer, beyond the usual.
    pub slow_s: f64,
}

/// A zone that is cut off from everything, with the controllers in it.
struct Cut {
    zone: &'static str,
    nodes: Vec<usize>,
    until: f64,
}

#[derive(Clone)]
enum What {
    Tick(usize, u64),
    StoreAt(usize, u64, u64, StoreCall),
    StoreBack(usize, u64, u64, StoreReply),
    CloudAt(usize, u64, u64, CloudCall),
    CloudBack(usize, u64, u64, CloudReply),
    WorkerAt(usize, u64, u64, String, WorkerCall),
    WorkerBack(usize, u64, u64, WorkerReply),
    BeatAt(usize, Beat),
    Wake(String),
    ReportAt(usize, String, Box<Report>),
    /// A late copy of a report, for whose answer nobody waits.
    CopyAt(usize, Box<Report>),
    Nobody,
    ReportBack(String, u64, u64, u16, Vec<u8>),
    User(usize),
    UserAt(usize, usize, Ask),
    UserBack(usize, Ask, u16, Vec<u8>),
    Crash(usize),
    Restart(usize),
    Outage(bool),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ask {
    Submit,
    Poll,
    Cancel,
}

#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    holds: BTreeMap<u64, (f64, f64)>,
    next_hold: u64,
    log: Vec<(u64, Event)>,
    follows: Vec<(usize, u64, u64, String, u64, f64)>,
    out: bool,
}

impl Store {
    fn change(&mut self, writes: &[Write]) -> u64 {
        self.revision += 1;
        let stamp = self.revision;
        for write in writes {
            match write {
                Write::Set { key, value, hold } => {
                    self.keys.insert(key.clone(), (value.clone(), stamp, *hold));
                    let event = Event::Set {
                        key: key.clone(),
                        value: value.clone(),
                        stamp,
                    };
                    self.log.push((stamp, event));
                }
                Write::Remove { key } => {
                    if self.keys.remove(key).is_some() {
                        self.log.push((
                            stamp,
                            Event::Remove {
                                key: key.clone(),
                                stamp,
                            },
                        ));
                    }
                }
            }
        }
        stamp
    }

    fn txn(&mut self, txn: &Txn) -> StoreReply {
        for write in &txn.writes {
            if let Write::Set {
                hold: Some(hold), ..
            } = write
                && !self.holds.contains_key(hold)
            {
                return StoreReply::Bad;
            }
        }
        let stamp_of = |key: &String| self.keys.get(key).map_or(0, |(_, stamp, _)| *stamp);
        let failed: Vec<String> = txn
            .when
            .iter()
            .filter(|c| stamp_of(&c.key) != c.stamp)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict(failed);
        }
        if txn.writes.is_empty() {
            return StoreReply::Committed(self.revision);
        }
        StoreReply::Committed(self.change(&txn.writes))
    }

    fn end_hold(&mut self, hold: u64) {
        self.holds.remove(&hold);
        let keys: Vec<Write> = self
            .keys
            .iter()
            .filter(|(_, (_, _, h))| *h == Some(hold))
            .map(|(key, _)| Write::remove(key.clone()))
            .collect();
        if !keys.is_empty() {
            self.change(&keys);
        }
    }

    fn expire(&mut self, now: f64) {
        if self.out {
            return;
        }
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, (until, _))| now > *until)
            .map(|(hold, _)| *hold)
            .collect();
        for hold in over {
            self.end_hold(hold);
        }
    }

    fn events(&self, under: &str, from: u64) -> Vec<Event> {
        self.log
            .iter()
            .filter(|(stamp, event)| {
                let (Event::Set { key, .. } | Event::Remove { key, .. }) = event;
                *stamp > from && key.starts_with(under)
            })
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn call(&mut self, call: &StoreCall, now: f64) -> StoreReply {
        if self.out {
            return StoreReply::Refused;
        }
        match call {
            StoreCall::Get(key) => match self.keys.get(key) {
                Some((value, stamp, hold)) => StoreReply::Found(Item {
                    key: key.clone(),
                    value: value.clone(),
                    stamp: *stamp,
                    hold: *hold,
                }),
                None => StoreReply::Missing,
            },
            StoreCall::List { under, from } => {
                // Pages of three, so that paging is used.
                let mut items: Vec<Item> = self
                    .keys
                    .iter()
                    .filter(|(key, _)| {
                        key.starts_with(under.as_str()) && from.as_ref().is_none_or(|f| *key > f)
                    })
                    .map(|(key, (value, stamp, hold))| Item {
                        key: key.clone(),
                        value: value.clone(),
                        stamp: *stamp,
                        hold: *hold,
                    })
                    .collect();
                let more = items.len() > 3;
                items.truncate(3);
                StoreReply::Page(items, more, self.revision)
            }
            StoreCall::Txn(txn) => self.txn(txn),
            StoreCall::Grant(life_ms) => {
                self.next_hold += 1;
                let life_s = *life_ms as f64 / 1000.0;
                self.holds.insert(self.next_hold, (now + life_s, life_s));
                StoreReply::Granted(self.next_hold)
            }
            StoreCall::Renew(hold) => match self.holds.get_mut(hold) {
                Some((until, life_s)) => {
                    *until = now + *life_s;
                    StoreReply::Ok
                }
                None => StoreReply::Gone,
            },
            StoreCall::Drop(hold) => {
                self.end_hold(*hold);
                StoreReply::Ok
            }
            StoreCall::Follow { .. } => unreachable!("follows are held by the world"),
        }
    }
}

#[derive(Debug, Clone)]
struct Task {
    attempt: u64,
    status: StepStatus,
    cause: Option<Cause>,
    until: f64,
}

struct Worker {
    name: String,
    zone: String,
    spot: bool,
    cpus: f64,
    tenure: u64,
    tick: u64,
    epoch: u64,
    lease_from: f64,
    tasks: BTreeMap<String, Vec<Task>>,
    at: usize,
    sent: Option<(u64, f64)>,
    next_report: f64,
    deaf_until: f64,
    /// Its reports arrive, but no answer or command reaches it.
    unreached_until: f64,
}

/// A job as its user sees it.
pub struct User {
    pub id: String,
    pub body: Vec<u8>,
    pub tasks: u32,
    pub run_s: f64,
    pub standing: bool,
    pub cancel_at: Option<f64>,
    pub accepted: bool,
    pub told_cancelled: Option<f64>,
    pub told_done: bool,
    /// When its user last got an answer that tells its state.
    pub answered: f64,
    /// When its first task started.
    pub begun: Option<f64>,
}

pub struct World {
    pub now: f64,
    seq: u64,
    queue: BTreeMap<(u64, u64), What>,
    settings: Vec<Rc<Settings>>,
    nodes: Vec<Option<Controller>>,
    lives: Vec<u64>,
    answers: BTreeMap<(usize, u64), What>,
    next_request: u64,
    store: Store,
    rented: BTreeMap<String, Vec<String>>,
    machines: BTreeMap<String, Machine>,
    workers: BTreeMap<String, Worker>,
    next_machine: u32,
    pub users: Vec<User>,
    done: BTreeSet<String>,
    pub weather: Weather,
    rng: SmallRng,
    /// Rules broken, in words.
    pub broken: Vec<String>,
    pub starts: u32,
    /// Machines deleted while tasks ran on them.
    pub deleted_busy: u32,
    /// Nodes that reach nobody but the state service, and nobody them, until then.
    muted: Vec<f64>,
    /// Nodes that reach neither the state service nor other nodes, but their workers, until then.
    alone: Vec<f64>,
    /// Nodes that stand still until then, while their clocks run on.
    frozen: Vec<f64>,
    cut: Option<Cut>,
    /// Until then nodes refuse one another's connections.
    peers_refuse: f64,
    /// Machines that each pool of the cloud has.
    pool: u32,
    pub counts: Counts,
    kill_at: f64,
    /// Direct calls of each life of a node that wait for their answers.
    calls: BTreeMap<(usize, u64), BTreeSet<u64>>,
}

/// What the controllers have asked of others.
#[derive(Debug, Default)]
pub struct Counts {
    /// Calls to the state service, in each second.
    pub requests: BTreeMap<u64, u32>,
    /// Puts and deletes, in each second.
    pub changes: BTreeMap<u64, u32>,
    /// Direct calls to workers.
    pub worker_calls: u32,
    /// The most direct calls of a node that waited for their answers at a time.
    pub most_calls: usize,
    /// Reports of workers.
    pub reports: u32,
}

/// Jobs of all kinds; some are cancelled.
pub fn jobs(world: &mut World) {
    world.user(1, 0.5, (3, 4.0, false, true), None);
    world.user(2, 1.0, (6, 6.0, false, false), None);
    world.user(3, 1.5, (2, 0.0, true, false), None);
    world.user(4, 2.0, (1, 0.0, true, false), Some(40.0));
    world.user(5, 3.0, (30, 8.0, false, true), Some(30.0));
    world.user(6, 20.0, (10, 5.0, false, true), None);
    world.user(7, 45.0, (4, 5.0, false, false), None);
    world.user(8, 60.0, (3, 0.0, true, false), None);
}

impl World {
    /// Three controllers and a dozen machines at most.
    pub fn new(seed: u64) -> World {
        World::sized(seed, 3, 3)
    }

    /// So many controllers, and machines of each pool.
    pub fn sized(seed: u64, nodes: usize, pool: u32) -> World {
        let settings: Vec<Rc<Settings>> = (0..nodes)
            .map(|i| {
                let mut settings = Settings::parse(SETTINGS).expect("settings");
                settings.label = format!("n{i}");
                settings.deployment.initial_size = nodes as u32;
                settings.seeds = (0..nodes)
                    .filter(|other| *other != i)
                    .map(|other| Seed {
                        label: format!("n{other}"),
                        site: "a".to_owned(),
                        address: ([10, 0, 0, 1 + other as u8], 8081).into(),
                    })
                    .collect();
                if pool > 3 {
                    // Large worlds have large teams.
                    settings.deployment.teams[0].cpus_max = 0.0;
                }
                Rc::new(settings)
            })
            .collect();
        let mut world = World {
            now: 0.0,
            seq: 0,
            queue: BTreeMap::new(),
            settings,
            nodes: (0..nodes).map(|_| None).collect(),
            lives: vec![0; nodes],
            answers: BTreeMap::new(),
            next_request: 1,
            store: Store::default(),
            rented: BTreeMap::new(),
            machines: BTreeMap::new(),
            workers: BTreeMap::new(),
            next_machine: 0,
            users: Vec::new(),
            done: BTreeSet::new(),
            weather: Weather::default(),
            rng: SmallRng::seed_from_u64(seed),
            broken: Vec::new(),
            starts: 0,
            deleted_busy: 0,
            muted: vec![0.0; nodes],
            alone: vec![0.0; nodes],
            frozen: vec![0.0; nodes],
            cut: None,
            peers_refuse: 0.0,
            pool,
            counts: Counts::default(),
            kill_at: 0.0,
            calls: BTreeMap::new(),
        };
        for i in 0..nodes {
            world.at(0.0, What::Restart(i));
        }
        world
    }

    fn at(&mut self, time: f64, what: What) {
        self.seq += 1;
        let micros = (time.max(self.now) * 1e6) as u64;
        self.queue.insert((micros, self.seq), what);
    }

    fn after(&mut self, delay: f64, what: What) {
        let jitter = self.rng.random::<f64>() * 0.002;
        self.at(self.now + delay + jitter, what);
    }

    pub fn crash(&mut self, node: usize, at: f64, back: f64) {
        self.at(at, What::Crash(node));
        self.at(back, What::Restart(node));
    }

    pub fn outage(&mut self, from: f64, to: f64) {
        self.at(from, What::Outage(true));
        self.at(to, What::Outage(false));
    }

    /// Adds a user who submits at a time, polls, and perhaps cancels.
    pub fn user(
        &mut self,
        n: u32,
        at: f64,
        (tasks, run_s, standing, spot): (u32, f64, bool, bool),
        cancel_at: Option<f64>,
    ) {
        let text = |s: &str| Value::Text(s.to_owned());
        let id = format!("j-{n:06}");
        let fields = vec![
            ("NameId", text(&id)),
            ("Jobclass", text("c")),
            ("Owner", text("t")),
            ("Shape", text(if standing { "standing" } else { "array" })),
            ("Rank", text(if standing { "production" } else { "normal" })),
            ("Steps", Value::from(tasks)),
            ("Cores", Value::Float(2.0)),
            ("Gpus", Value::Float(0.0)),
            ("RamGb", Value::Float(1.0)),
            ("Flavors", Value::Null),
            ("OneZone", Value::Bool(false)),
            ("Spread", Value::Bool(standing)),
            ("Windfall", Value::Bool(spot)),
            ("Bundle", text("img")),
            ("PullGb", Value::Float(0.5)),
            ("ExpectS", Value::Float(if standing { 0.0 } else { run_s })),
            ("SnapshotS", Value::Float(0.0)),
            ("FlushS", Value::Float(0.0)),
        ];
        let map = fields.into_iter().map(|(k, v)| (text(k), v)).collect();
        let index = self.users.len();
        self.users.push(User {
            id,
            body: cbor::encode(&Value::Map(map)),
            tasks,
            run_s,
            standing,
            cancel_at,
            accepted: false,
            told_cancelled: None,
            told_done: false,
            answered: at,
            begun: None,
        });
        self.at(at, What::User(index));
    }

    pub fn run(&mut self, until: f64) {
        while let Some((key, what)) = self.queue.pop_first() {
            let time = key.0 as f64 / 1e6;
            if time > until {
                self.queue.insert(key, what);
                break;
            }
            self.now = time;
            self.store.expire(time);
            self.kill_expired();
            self.step(what);
            self.answer_follows();
        }
        self.now = until;
    }

    fn clock(&self) -> Now {
        Now {
            steady: self.now,
            wall: WALL + self.now,
        }
    }

    /// The node that something comes to.
    fn comes_to(what: &What) -> Option<usize> {
        match what {
            What::Tick(i, _)
            | What::StoreBack(i, ..)
            | What::CloudBack(i, ..)
            | What::WorkerBack(i, ..)
            | What::BeatAt(i, _)
            | What::ReportAt(i, ..)
            | What::CopyAt(i, _)
            | What::UserAt(i, ..) => Some(*i),
            _ => None,
        }
    }

    /// Whether the cut is between a node and a zone.
    fn is_cut(&self, node: usize, zone: &str) -> bool {
        let cut = self.cut.as_ref().filter(|cut| self.now < cut.until);
        cut.is_some_and(|cut| cut.nodes.contains(&node) != (cut.zone == zone))
    }

    /// Whether a node is within the zone that is cut off.
    fn is_inside(&self, node: usize) -> bool {
        let cut = self.cut.as_ref().filter(|cut| self.now < cut.until);
        cut.is_some_and(|cut| cut.nodes.contains(&node))
    }

    fn step(&mut self, what: What) {
        let now = self.clock();
        if let Some(until) = World::comes_to(&what).map(|i| self.frozen[i])
            && self.now < until
        {
            // It waits, in order.
            self.at(until, what);
            return;
        }
        match what {
            What::Restart(i) => {
                if self.nodes[i].is_none() {
                    self.lives[i] += 1;
                    let life = self.lives[i] * 10 + i as u64;
                    let settings = self.settings[i].clone();
                    let policy = Rc::new(Policy::built_in(&settings));
                    self.nodes[i] = Some(Controller::new(settings, policy, life));
                    self.after(0.01, What::Tick(i, self.lives[i]));
                }
            }
            What::Crash(i) => {
                self.nodes[i] = None;
                self.lives[i] += 1;
                self.store.follows.retain(|f| f.0 != i);
                let waiting: Vec<_> = self.answers.keys().filter(|k| k.0 == i).copied().collect();
                for key in waiting {
                    // The connection is reset: users and workers come again.
                    if let Some(What::UserBack(user, ask, ..)) = self.answers.remove(&key) {
                        self.after(0.01, What::UserBack(user, ask, 599, Vec::new()));
                    }
                }
            }
            What::Outage(out) => {
                self.store.out = out;
                if !out {
                    for (until, life_s) in self.store.holds.values_mut() {
                        *until = self.now + *life_s;
                    }
                }
            }
            What::Tick(i, life) => {
                if self.lives[i] == life && self.nodes[i].is_some() {
                    self.with(i, |node| node.tick(now));
                    self.after(0.05, What::Tick(i, life));
                }
            }
            What::StoreAt(i, life, tag, call) => self.store_call(i, life, tag, call),
            What::StoreBack(i, life, tag, reply) => {
                if self.lives[i] == life {
                    self.with(i, |node| node.store_reply(tag, reply, now));
                }
            }
            What::CloudAt(i, life, tag, call) => {
                let reply = self.cloud_call(&call);
                self.after(0.1, What::CloudBack(i, life, tag, reply));
            }
            What::CloudBack(i, life, tag, reply) => {
                if self.lives[i] == life {
                    self.with(i, |node| node.cloud_reply(tag, reply, now));
                }
            }
            What::WorkerAt(i, ..)
            | What::ReportAt(i, ..)
            | What::CopyAt(i, _)
            | What::BeatAt(i, _)
                if self.now < self.muted[i] => {}
            What::BeatAt(i, _) if self.now < self.alone[i].max(self.peers_refuse) => {}
            What::ReportAt(i, ref name, _)
                if self
                    .workers
                    .get(name)
                    .is_some_and(|w| self.is_cut(i, &w.zone)) => {}
            What::UserAt(i, user, ask) if self.is_inside(i) => {
                self.after(1.0, What::UserBack(user, ask, 599, Vec::new()));
            }
            What::Nobody => {}
            What::CopyAt(i, report) => {
                let body = cbor::encode(&*report);
                self.request(i, What::Nobody, "POST", "/v1/report", &body);
            }
            What::WorkerAt(i, life, tag, host, call) => {
                self.worker_call(i, life, tag, &host, &call)
            }
            What::WorkerBack(i, life, tag, reply) => {
                if self.lives[i] == life {
                    self.calls.entry((i, life)).or_default().remove(&tag);
                    self.with(i, |node| node.worker_reply(tag, reply, now));
                }
            }
            What::BeatAt(i, beat) => self.with(i, |node| node.beat(beat, now)),
            What::Wake(name) => self.wake(&name),
            What::ReportAt(i, name, report) => {
                self.counts.reports += 1;
                let back = What::ReportBack(name, report.tenure, report.tick, 0, Vec::new());
                let body = cbor::encode(&*report);
                self.request(i, back, "POST", "/v1/report", &body);
            }
            What::ReportBack(name, tenure, tick, status, body) => {
                self.report_answered(&name, (tenure, tick), status, &body);
            }
            What::User(user) => self.user_acts(user),
            What::UserAt(i, user, ask) => {
                let (path, body) = match ask {
                    Ask::Submit => ("/work".to_owned(), self.users[user].body.clone()),
                    Ask::Poll => (format!("/work/{}", self.users[user].id), Vec::new()),
                    Ask::Cancel => (format!("/work/{}/cancel", self.users[user].id), Vec::new()),
                };
                let method = if ask == Ask::Poll { "GET" } else { "POST" };
                let back = What::UserBack(user, ask, 0, Vec::new());
                self.request(i, back, method, &path, &body);
            }
            What::UserBack(user, ask, status, body) => self.user_told(user, ask, status, &body),
        }
    }

    fn request(&mut self, i: usize, back: What, method: &str, path: &str, body: &[u8]) {
        let now = self.clock();
        if self.nodes[i].is_none() {
            if let What::UserBack(user, ask, ..) = back {
                self.after(0.01, What::UserBack(user, ask, 599, Vec::new()));
            }
            return;
        }
        let request = self.next_request;
        self.next_request += 1;
        self.answers.insert((i, request), back);
        self.with(i, |node| node.request(request, method, path, body, now));
    }

    /// Lets a node act, and carries out what it wants.
    fn with(&mut self, i: usize, act: impl FnOnce(&mut Controller)) {
        let Some(node) = &mut self.nodes[i] else {
            return;
        };
        act(node);
        let life = self.lives[i];
        for action in node.take_actions() {
            match action {
                Action::Answer {
                    to, status, body, ..
                } => {
                    let answered = match self.answers.remove(&(i, to)) {
                        Some(What::ReportBack(name, tenure, tick, ..)) => {
                            What::ReportBack(name, tenure, tick, status, body)
                        }
                        Some(What::UserBack(user, ask, ..)) => {
                            What::UserBack(user, ask, status, body)
                        }
                        _ => continue,
                    };
                    self.deliver(0.001, answered);
                }
                Action::Store {
                    tag,
                    call,
                    within_s,
                } => {
                    let silent = What::StoreBack(i, life, tag, StoreReply::Silent);
                    self.after(within_s, silent);
                    self.count(&call);
                    if self.now < self.alone[i] || self.is_inside(i) {
                        continue;
                    }
                    self.send(What::StoreAt(i, life, tag, call));
                }
                Action::Cloud {
                    tag,
                    call,
                    within_s,
                } => {
                    let silent = What::CloudBack(i, life, tag, CloudReply::Silent);
                    self.after(within_s, silent);
                    if self.is_inside(i) {
                        continue;
                    }
                    self.send(What::CloudAt(i, life, tag, call));
                }
                Action::Worker {
                    tag,
                    endpoint,
                    call,
                    within_s,
                } => {
                    let silent = What::WorkerBack(i, life, tag, WorkerReply::Silent);
                    self.after(within_s, silent);
                    self.counts.worker_calls += 1;
                    let open = self.calls.entry((i, life)).or_default();
                    open.insert(tag);
                    self.counts.most_calls = self.counts.most_calls.max(open.len());
                    self.send(What::WorkerAt(i, life, tag, endpoint, call));
                }
                Action::Beat(_) if self.now < self.muted[i].max(self.alone[i]) => {}
                Action::Beat(beat) => {
                    for peer in (0..self.nodes.len()).filter(|peer| *peer != i) {
                        if self.is_inside(i) != self.is_inside(peer) {
                            continue;
                        }
                        self.after(0.001, What::BeatAt(peer, beat.clone()));
                    }
                }
            }
        }
    }

    fn count(&mut self, call: &StoreCall) {
        let second = self.now as u64;
        *self.counts.requests.entry(second).or_default() += 1;
        if let StoreCall::Txn(txn) = call {
            *self.counts.changes.entry(second).or_default() += txn.writes.len() as u32;
        }
    }

    /// A request on its way: usually soon there, at times long after its sender gave up.
    fn send(&mut self, what: What) {
        if self.weather.repeats > 0.0 && self.rng.random::<f64>() < self.weather.repeats {
            // Whoever asked has its answer already, and takes no notice of another.
            let later = 1.0 + self.rng.random::<f64>() * 3.0 * LEASE_S;
            self.after(later, what.clone());
        }
        let late = self.rng.random::<f64>() < self.weather.late;
        let delay = if late {
            2.0 + self.rng.random::<f64>() * 20.0
        } else {
            0.003
        };
        self.after(delay, what);
    }

    /// An answer on its way, which may get lost.
    fn deliver(&mut self, delay: f64, what: What) {
        if self.rng.random::<f64>() >= self.weather.lost {
            self.after(delay, what);
        } else if let What::UserBack(user, ask, ..) = what {
            self.after(5.0, What::UserBack(user, ask, 599, Vec::new()));
        }
    }

    fn store_call(&mut self, i: usize, life: u64, tag: u64, call: StoreCall) {
        if let StoreCall::Follow {
            under,
            from,
            wait_ms,
        } = call
        {
            if self.lives[i] == life {
                let until = self.now + wait_ms as f64 / 1000.0;
                self.store.follows.push((i, life, tag, under, from, until));
            }
            return;
        }
        let reply = self.store.call(&call, self.now);
        self.deliver(
            0.003 + self.weather.slow_s,
            What::StoreBack(i, life, tag, reply),
        );
    }

    fn answer_follows(&mut self) {
        if self.store.out {
            return;
        }
        let mut kept = Vec::new();
        for follow in std::mem::take(&mut self.store.follows) {
            let (i, life, tag, under, from, until) = &follow;
            let events = self.store.events(under, *from);
            if events.is_empty() && self.now < *until {
                kept.push(follow);
            } else {
                let reply = StoreReply::Events(events, self.store.revision);
                self.after(0.003, What::StoreBack(*i, *life, *tag, reply));
            }
        }
        self.store.follows = kept;
    }

    fn cloud_call(&mut self, call: &CloudCall) -> CloudReply {
        match call {
            CloudCall::Types => CloudReply::Types(vec![Flavor {
                name: "f".into(),
                cpus: 8.0,
                gpus: 0.0,
                ram: 32.0,
                cache_gb: 10.0,
                pull_gb_s: 1.0,
                hourly: 1.0,
                market_price: Some(0.3),
                ready_s: 5.0,
                zones: vec!["a".into(), "b".into()],
            }]),
            CloudCall::Rent(rental) => {
                if let Some(names) = self.rented.get(&rental.bid) {
                    return CloudReply::Rented(names.clone());
                }
                let alike = |m: &&Machine| m.zone == rental.zone && m.spot == rental.spot;
                let there = self.machines.values().filter(alike).count() as u32;
                let count = rental.count.min(self.pool.saturating_sub(there));
                if count == 0 {
                    return CloudReply::NoCapacity;
                }
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = format!("host-{:06}", self.next_machine);
                    self.next_machine += 1;
                    self.machines.insert(
                        name.clone(),
                        Machine {
                            name: name.clone(),
                            endpoint: name.clone(),
                            flavor: rental.flavor.clone(),
                            zone: rental.zone.clone(),
                            spot: rental.spot,
                            status: MachineStatus::Starting,
                            age_s: self.now,
                        },
                    );
                    let boot = 3.0 + self.rng.random::<f64>() * 4.0;
                    self.after(boot, What::Wake(name.clone()));
                    names.push(name);
                }
                self.rented.insert(rental.bid.clone(), names.clone());
                CloudReply::Rented(names)
            }
            CloudCall::Delete(names) => {
                for name in names {
                    let busy = |w: &Worker| w.running().next().is_some();
                    self.deleted_busy += u32::from(self.workers.get(name).is_some_and(busy));
                    self.machines.remove(name);
                    self.workers.remove(name);
                }
                CloudReply::Deleted
            }
            CloudCall::List(from) => {
                let machines = self
                    .machines
                    .values()
                    .filter(|m| from.as_ref().is_none_or(|from| m.name > *from))
                    .map(|m| Machine {
                        age_s: self.now - m.age_s,
                        ..m.clone()
                    })
                    .collect();
                CloudReply::Page(machines, false)
            }
        }
    }

    /// Takes a machine away, as the cloud does with spot machines. False: there is none.
    pub fn take_machine(&mut self) -> bool {
        let Some(name) = self.workers.keys().next().cloned() else {
            return false;
        };
        self.machines.remove(&name);
        self.workers.remove(&name);
        true
    }

    /// Cuts the leader off from all but the state service. False: nobody leads.
    pub fn mute_leader(&mut self, for_s: f64) -> bool {
        match self.leader() {
            Some(leader) => {
                self.muted[leader] = self.now + for_s;
                true
            }
            None => false,
        }
    }

    /// Cuts the leader off from the state service and the other nodes, not from its workers. False:
    /// nobody leads.
    pub fn isolate_leader(&mut self, for_s: f64) -> bool {
        match self.leader() {
            Some(leader) => {
                self.alone[leader] = self.now + for_s;
                // Watches that are open stay open, and bring nothing.
                self.store.follows.retain(|f| f.0 != leader);
                true
            }
            None => false,
        }
    }

    /// The node that leads, confirmed or held over.
    fn leader(&self) -> Option<usize> {
        let leads = |n: &Option<Controller>| n.as_ref().is_some_and(Controller::leads);
        self.nodes.iter().position(leads)
    }

    /// The leader stands still for a while; its clocks run on. False: nobody leads.
    pub fn freeze_leader(&mut self, for_s: f64) -> bool {
        let leader = self.leader();
        if let Some(leader) = leader {
            self.frozen[leader] = self.now + for_s;
        }
        leader.is_some()
    }

    /// Cuts a zone off from everything, with the leader inside or outside, and as many of the other
    /// nodes as are said. False: nobody leads.
    pub fn cut_zone(
        &mut self,
        zone: &'static str,
        leader: bool,
        others: usize,
        for_s: f64,
    ) -> bool {
        let Some(first) = self.leader() else {
            return false;
        };
        let rest = (0..self.nodes.len()).filter(|i| *i != first).take(others);
        let nodes = rest.chain(leader.then_some(first)).collect();
        let until = self.now + for_s;
        self.cut = Some(Cut { zone, nodes, until });
        // Watches that are open stay open, and bring nothing.
        let inside: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.is_inside(*i))
            .collect();
        self.store.follows.retain(|f| !inside.contains(&f.0));
        true
    }

    /// Nodes refuse one another's connections.
    pub fn refuse_peers(&mut self, for_s: f64) {
        self.peers_refuse = self.now + for_s;
    }

    /// Names of the machines of a zone.
    pub fn machines_in(&self, zone: &str, spot: bool) -> BTreeSet<String> {
        let there = self
            .machines
            .values()
            .filter(|m| m.zone == zone && m.spot == spot);
        there.map(|m| m.name.clone()).collect()
    }

    /// Restarts the leader, which is back after a moment. False: nobody leads.
    pub fn restart_leader(&mut self, back_s: f64) -> bool {
        let leader = self.leader();
        if let Some(leader) = leader {
            let now = self.now;
            self.crash(leader, now, now + back_s);
        }
        leader.is_some()
    }

    /// Keeps all answers and commands from a machine, whose reports still arrive.
    pub fn unreach_machine(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.unreached_until = until;
        Some(worker.name.clone())
    }

    /// Restarts a machine, which is back at once and empty: in a new session, or as one that has
    /// forgotten even that there were any.
    pub fn reboot_machine(&mut self, nth: usize, forgets: bool) {
        let now = self.now;
        let Some(worker) = self.workers.values_mut().nth(nth) else {
            return;
        };
        worker.tasks.clear();
        worker.sent = None;
        worker.lease_from = now;
        worker.next_report = now + 0.2;
        if forgets {
            (worker.tenure, worker.tick, worker.epoch) = (1, 0, 0);
        } else {
            worker.tenure += 1;
        }
    }

    /// Whether a machine is still rented.
    pub fn has_machine(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Starts that a machine was sent while no answer reached it are none; what it runs now.
    pub fn tasks_on(&self, name: &str) -> usize {
        self.workers.get(name).map_or(0, |w| w.running().count())
    }

    /// Users of accepted jobs who have had no answer for so long.
    pub fn unanswered(&self, for_s: f64) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| u.accepted && self.now - u.answered > for_s)
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Makes a machine deaf and mute for a while.
    pub fn cut_machine(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.deaf_until = until;
        Some(worker.name.clone())
    }

    fn wake(&mut self, name: &str) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.status == MachineStatus::Starting {
            machine.status = MachineStatus::Running;
            let worker = Worker {
                name: name.to_owned(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                cpus: 8.0,
                tenure: 1,
                tick: 0,
                epoch: 0,
                lease_from: self.now,
                tasks: BTreeMap::new(),
                at: self.rng.random_range(0..self.nodes.len()),
                sent: None,
                next_report: self.now,
                deaf_until: 0.0,
                unreached_until: 0.0,
            };
            self.workers.insert(name.to_owned(), worker);
        }
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        for tasks in worker.tasks.values_mut() {
            for task in tasks.iter_mut() {
                if task.status == StepStatus::Running && now >= task.until {
                    task.status = StepStatus::Exited;
                    task.cause = Some(Cause::Done);
                    worker.next_report = now;
                }
            }
        }
        for (step, tasks) in &worker.tasks {
            if tasks.iter().any(|t| t.cause == Some(Cause::Done)) {
                self.done.insert(step.clone());
            }
        }
        if worker.sent.is_some_and(|(_, at)| now - at > 4.0) {
            worker.sent = None;
            worker.at = (worker.at + 1) % nodes;
            worker.next_report = now + 1.0;
        }
        if worker.sent.is_none() && now >= worker.next_report {
            let report = worker.report();
            worker.sent = Some((report.tick, now));
            let (at, deaf) = (worker.at, now < worker.deaf_until);
            if !deaf {
                if self.rng.random::<f64>() < self.weather.copies {
                    let late = 1.0 + self.rng.random::<f64>() * 3.0 * LEASE_S;
                    self.after(late, What::CopyAt(at, Box::new(report.clone())));
                }
                self.after(0.003, What::ReportAt(at, name.to_owned(), Box::new(report)));
            }
        }
        self.after(0.25, What::Wake(name.to_owned()));
    }

    fn report_answered(&mut self, name: &str, key: (u64, u64), status: u16, body: &[u8]) {
        let now = self.now;
        let nodes = self.nodes.len();
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((tick, sent_at)) = worker.sent else {
            return;
        };
        if (worker.tenure, tick) != key || now < worker.deaf_until.max(worker.unreached_until) {
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
                let commands: Commands = cbor::decode(body).expect("an answer to a report");
                if commands.epoch < worker.epoch {
                    return;
                }
                if commands.epoch > worker.epoch {
                    worker.next_report = now + 0.5;
                }
                worker.epoch = commands.epoch;
                worker.lease_from = sent_at;
                self.execute(name, &commands);
            }
            421 => {
                let redirect: Redirect = cbor::decode(body).expect("a redirect");
                match redirect
                    .foreman
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

    fn worker_call(&mut self, i: usize, life: u64, tag: u64, host: &str, call: &WorkerCall) {
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
        if now < worker.deaf_until || cut {
            // Held, and delivered after the interruption.
            let again = What::WorkerAt(i, life, tag, host.to_owned(), call.clone());
            let back = self
                .cut
                .as_ref()
                .filter(|_| cut)
                .map_or(0.0, |cut| cut.until);
            let until = worker.deaf_until.max(back);
            self.at(until, again);
            return;
        }
        let reply = match call {
            WorkerCall::Commands(commands) => {
                if commands.epoch < worker.epoch || commands.tenure != Some(worker.tenure) {
                    WorkerReply::Mismatch(Box::new(worker.report()))
                } else {
                    if commands.epoch > worker.epoch {
                        worker.next_report = now;
                    }
                    worker.epoch = commands.epoch;
                    let commands = commands.clone();
                    self.execute(host, &commands);
                    let worker = self.workers.get_mut(host).expect("still there");
                    WorkerReply::Done(Box::new(worker.report()))
                }
            }
        };
        self.deliver(0.003, What::WorkerBack(i, life, tag, reply));
    }

    fn execute(&mut self, name: &str, commands: &Commands) {
        for order in &commands.orders {
            match order.verb {
                Verb::Start => self.start(name, &order.step, order.attempt),
                Verb::Halt => {
                    let worker = self.workers.get_mut(name).expect("a worker");
                    for task in worker.tasks.get_mut(&order.step).into_iter().flatten() {
                        if task.attempt == order.attempt && task.status == StepStatus::Running {
                            task.status = StepStatus::Exited;
                            task.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Verb::Clear => {
                    let worker = self.workers.get_mut(name).expect("a worker");
                    if let Some(tasks) = worker.tasks.get_mut(&order.step) {
                        tasks.retain(|t| {
                            t.attempt != order.attempt || t.status != StepStatus::Exited
                        });
                        if tasks.is_empty() {
                            worker.tasks.remove(&order.step);
                        }
                    }
                }
            }
        }
    }

    fn start(&mut self, name: &str, step: &str, attempt: u64) {
        let now = self.now;
        let job = step.split('/').next().unwrap_or("").to_owned();
        let Some(user) = self.users.iter().find(|u| u.id == job) else {
            self.broken.push(format!("{step}: no such job"));
            return;
        };
        let (run_s, standing) = (user.run_s, user.standing);
        if user.told_cancelled.is_some_and(|at| now > at + CANCEL_S) {
            self.broken
                .push(format!("{now}: {step} starts after its cancellation"));
        }
        let limit = user.tasks.div_ceil(2);
        let worker = &self.workers[name];
        let tasks = worker.tasks.get(step).cloned().unwrap_or_default();
        if tasks.iter().any(|t| t.attempt == attempt) {
            return;
        }
        let busy = tasks.iter().any(|t| t.status == StepStatus::Running);
        let used = worker.running().count() as f64 * 2.0;
        let full = used + 2.0 > worker.cpus;
        let zone = worker.zone.clone();
        let refused = if self.done.contains(step) {
            // Its result is kept: it exits at once.
            Some(Cause::Done)
        } else if busy {
            Some(Cause::Busy)
        } else if full {
            Some(Cause::Full)
        } else {
            None
        };
        if refused.is_none() {
            self.starts += 1;
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
            let in_zone = |world: &World| {
                let there = world.workers.values().filter(|w| w.zone == zone);
                let tasks = there.flat_map(|w| w.running());
                tasks
                    .filter(|(s, _)| s.split('/').next() == Some(job.as_str()))
                    .count() as u32
            };
            if standing && in_zone(self) >= limit {
                self.broken
                    .push(format!("{now}: {step} is one too many in {zone}"));
            }
            let all = |world: &World| {
                let tasks = world.workers.values().flat_map(|w| w.running());
                tasks.count() as f64
            };
            if self.pool <= 3 && 2.0 * (all(self) + 1.0) > 40.0 {
                self.broken
                    .push(format!("{now}: {step} is over the team's limit"));
            }
        }
        let until = if standing { f64::INFINITY } else { now + run_s };
        let status = if refused.is_some() {
            StepStatus::Exited
        } else {
            StepStatus::Running
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
    fn kill_expired(&mut self) {
        let now = self.now;
        // Of thousands of machines, not at every event.
        if now < self.kill_at {
            return;
        }
        self.kill_at = now + 0.01;
        for worker in self.workers.values_mut() {
            if now > worker.lease_from + LEASE_S {
                worker.tasks.clear();
                worker.tenure += 1;
                worker.lease_from = now;
                worker.sent = None;
                worker.next_report = now;
            }
        }
        for user in &mut self.users {
            if let Some(at) = user.told_cancelled
                && now > at + CANCEL_S
            {
                let there = |w: &Worker| w.running().any(|(s, _)| s.starts_with(&user.id));
                if self.workers.values().any(there) {
                    self.broken
                        .push(format!("{now}: {} runs after its cancellation", user.id));
                    user.told_cancelled = Some(f64::INFINITY);
                }
            }
        }
    }

    fn user_acts(&mut self, user: usize) {
        let u = &self.users[user];
        let ask = if !u.accepted {
            Ask::Submit
        } else if u.cancel_at.is_some_and(|at| self.now >= at) && u.told_cancelled.is_none() {
            Ask::Cancel
        } else {
            Ask::Poll
        };
        let node = self.rng.random_range(0..self.nodes.len());
        self.after(0.002, What::UserAt(node, user, ask));
    }

    fn user_told(&mut self, user: usize, ask: Ask, status: u16, body: &[u8]) {
        let now = self.now;
        let all_done = |done: &BTreeSet<String>, u: &User| {
            (0..u.tasks).all(|n| done.contains(&format!("{}/{n}", u.id)))
        };
        let u = &mut self.users[user];
        match status {
            200 | 201 => {
                u.accepted = true;
                u.answered = now;
                let told: JobStatus = match ask {
                    Ask::Poll => cbor::decode::<JobView>(body).expect("a view").status,
                    _ => {
                        let answer: cedarladder::protocol::job::Accepted =
                            cbor::decode(body).expect("an answer");
                        answer.status
                    }
                };
                let before = (u.told_cancelled.is_some(), u.told_done);
                match told {
                    JobStatus::Done => {
                        if !all_done(&self.done, u) {
                            self.broken.push(format!("{now}: {} is not done", u.id));
                        }
                        u.told_done = true;
                    }
                    JobStatus::Aborted => {
                        if u.cancel_at.is_none() {
                            self.broken
                                .push(format!("{now}: nobody cancelled {}", u.id));
                        }
                        u.told_cancelled.get_or_insert(now);
                    }
                    _ => {}
                }
                let back = match before {
                    (true, _) => told != JobStatus::Aborted,
                    (_, true) => told != JobStatus::Done,
                    _ => false,
                };
                if back {
                    self.broken
                        .push(format!("{now}: {} went back to {told:?}", u.id));
                }
            }
            404 if u.accepted => self.broken.push(format!("{now}: {} is forgotten", u.id)),
            // Before it was accepted: nobody knows it, and its user submits it again.
            404 => u.answered = now,
            400 | 422 => self
                .broken
                .push(format!("{now}: {} is refused: {status}", u.id)),
            _ => {}
        }
        let pause = if status == 200 || status == 201 {
            3.0
        } else {
            1.0
        };
        self.after(pause, What::User(user));
    }

    /// Users whose job has not come to its end.
    pub fn unfinished(&self) -> Vec<&str> {
        self.users
            .iter()
            .filter(|u| {
                let over = u.told_done || u.told_cancelled.is_some();
                let serves = u.standing && u.cancel_at.is_none() && {
                    let on = self
                        .workers
                        .values()
                        .flat_map(|w| w.running())
                        .filter(|(s, _)| s.split('/').next() == Some(u.id.as_str()));
                    on.count() as u32 == u.tasks
                };
                !over && !serves
            })
            .map(|u| u.id.as_str())
            .collect()
    }

    /// Workers of a zone that have lost a session to their lease.
    pub fn lost_sessions_in(&self, zone: &str) -> usize {
        let there = self.workers.values().filter(|w| w.zone == zone);
        there.filter(|w| w.tenure > 1).count()
    }

    /// Replicas that run on no machine that can be reached.
    pub fn standing_without_task(&self) -> usize {
        let wanted: u32 = self
            .users
            .iter()
            .filter(|u| u.standing && u.accepted && u.told_cancelled.is_none())
            .map(|u| u.tasks)
            .sum();
        let standing = |step: &str| {
            let job = step.split('/').next();
            self.users
                .iter()
                .any(|u| u.standing && job == Some(u.id.as_str()))
        };
        let there = self
            .workers
            .values()
            .filter(|w| self.now >= w.deaf_until)
            .flat_map(Worker::running)
            .filter(|(step, _)| standing(step))
            .count();
        (wanted as usize).saturating_sub(there)
    }

    /// Number of controllers.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Workers that have lost a session to their lease.
    pub fn lost_sessions(&self) -> usize {
        self.workers.values().filter(|w| w.tenure > 1).count()
    }

    pub fn machines(&self) -> usize {
        self.machines.len()
    }
}

impl Worker {
    fn runs(&self, step: &str) -> bool {
        let tasks = self.tasks.get(step).into_iter().flatten();
        tasks.into_iter().any(|t| t.status != StepStatus::Exited)
    }

    fn running(&self) -> impl Iterator<Item = (&str, &Task)> {
        self.tasks.iter().flat_map(|(step, tasks)| {
            tasks
                .iter()
                .filter(|t| t.status != StepStatus::Exited)
                .map(move |t| (step.as_str(), t))
        })
    }

    fn report(&mut self) -> Report {
        self.tick += 1;
        Report {
            host: self.name.clone(),
            endpoint: self.name.clone(),
            flavor: "f".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            tenure: self.tenure,
            tick: self.tick,
            epoch: self.epoch,
            warning_s: None,
            steps: self
                .tasks
                .iter()
                .flat_map(|(step, tasks)| {
                    tasks.iter().map(|t| StepReport {
                        step: step.clone(),
                        attempt: t.attempt,
                        status: t.status,
                        cause: t.cause,
                    })
                })
                .collect(),
        }
    }
}
