//! What the stand-ins share: the record, the jobs that users have submitted, and what the tasks did.

use crate::cbor::Value;
use crate::record::{Random, Record};
use crate::site::Site;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// A task that is or was on a machine.
#[derive(Clone, Debug)]
pub struct Stay {
    pub machine: String,
    pub step: String,
    pub attempt: u64,
    pub from: f64,
    pub until: Option<f64>,
    pub end: String,
}

pub struct World {
    pub record: Arc<Record>,
    pub site: Site,
    pub random: Random,
    nodes: Mutex<Vec<SocketAddr>>,
    jobs: Mutex<HashMap<String, Value>>,
    run_s: Mutex<HashMap<String, f64>>,
    broken: Mutex<HashSet<String>>,
    done: Mutex<HashSet<String>>,
    stays: Mutex<Vec<Stay>>,
}

impl World {
    pub fn new(record: Arc<Record>, site: Site) -> Arc<World> {
        Arc::new(World {
            record,
            site,
            random: Random::from_time(),
            nodes: Mutex::default(),
            jobs: Mutex::default(),
            run_s: Mutex::default(),
            broken: Mutex::default(),
            done: Mutex::default(),
            stays: Mutex::default(),
        })
    }

    pub fn set_nodes(&self, nodes: Vec<SocketAddr>) {
        *self.nodes.lock().unwrap() = nodes;
    }
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.lock().unwrap().clone()
    }
    pub fn node_of(&self, label: &str) -> Option<usize> {
        label
            .strip_prefix("rung-")?
            .parse()
            .ok()
            .filter(|n| *n < self.site.nodes)
    }

    /// Uploads the description of a job; its tasks run for `run_s` seconds.
    pub fn upload(&self, id: &str, job: &Value, run_s: f64, broken: bool) {
        self.jobs.lock().unwrap().insert(id.to_owned(), job.clone());
        self.run_s.lock().unwrap().insert(id.to_owned(), run_s);
        if broken {
            self.broken.lock().unwrap().insert(id.to_owned());
        }
    }
    pub fn job_of(&self, step: &str) -> Option<Value> {
        let (id, index) = step.rsplit_once('/')?;
        let job = self.jobs.lock().unwrap().get(id).cloned()?;
        let index: u64 = index.parse().ok()?;
        (index < job.u64("Steps")?).then_some(job)
    }
    pub fn run_s(&self, job: &Value) -> f64 {
        let id = job.str("NameId").unwrap_or("");
        self.run_s.lock().unwrap().get(id).copied().unwrap_or(1.0)
    }
    pub fn is_broken(&self, step: &str) -> bool {
        let id = step.rsplit_once('/').map_or("", |(id, _)| id);
        self.broken.lock().unwrap().contains(id)
    }
    pub fn is_done(&self, step: &str) -> bool {
        self.done.lock().unwrap().contains(step)
    }
    pub fn task_done(&self, step: &str) {
        self.done.lock().unwrap().insert(step.to_owned());
    }

    pub fn task_started(&self, machine: &str, step: &str, attempt: u64) {
        self.record
            .log(machine, format!("{step} try {attempt} is on the machine"));
        let from = self.record.now();
        self.stays.lock().unwrap().push(Stay {
            machine: machine.to_owned(),
            step: step.to_owned(),
            attempt,
            from,
            until: None,
            end: String::new(),
        });
    }

    pub fn task_left(&self, machine: &str, step: &str, attempt: u64, how: &str) {
        self.record.log(
            machine,
            format!("{step} try {attempt} left the machine: {how}"),
        );
        let now = self.record.now();
        let mut stays = self.stays.lock().unwrap();
        let stay = stays.iter_mut().rev().find(|s| {
            s.machine == machine && s.step == step && s.attempt == attempt && s.until.is_none()
        });
        if let Some(stay) = stay {
            stay.until = Some(now);
            stay.end = how.to_owned();
        }
    }

    pub fn stays(&self) -> Vec<Stay> {
        self.stays.lock().unwrap().clone()
    }
    /// The stays of the tasks of a job.
    pub fn stays_of(&self, id: &str) -> Vec<Stay> {
        let prefix = format!("{id}/");
        self.stays()
            .into_iter()
            .filter(|s| s.step.starts_with(&prefix))
            .collect()
    }
}
