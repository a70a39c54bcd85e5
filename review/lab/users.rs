//! Users: submit, ask and cancel at the controllers, and check the answers against what they were told before.

use crate::cbor::Value;
use crate::http::Client;
use crate::machine::random;
use crate::world::{Job, Spec, World};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone)]
pub struct Users {
    pub world: World,
    /// The addresses at which users reach the controllers.
    pub nodes: Vec<SocketAddr>,
}

/// What a user was told last about a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Status(String),
    /// Another status than 200 or 201.
    Refused(u16),
    /// No answer in time.
    None,
}

impl Users {
    /// Submits a job until it is accepted, for 60 s at most, as PROTOCOL has it. Returns whether it was.
    pub fn submit(&self, spec: &Spec) -> bool {
        let now = self.world.record.now();
        let job = Job {
            spec: spec.clone(),
            accepted_at: None,
            cancel_sent_at: None,
            told_aborted_at: None,
            told_done_at: None,
            done: BTreeSet::new(),
            saved: BTreeMap::new(),
        };
        self.world.lock().jobs.insert(spec.id.clone(), job);
        let mut node = (random() * self.nodes.len() as f64) as usize;
        while self.world.record.now() < now + 60.0 {
            if let Answer::Status(_) = self.submit_at(node, spec) {
                return true;
            }
            node += 1;
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    pub fn submit_at(&self, node: usize, spec: &Spec) -> Answer {
        let body = spec.body();
        self.request(node, &spec.id, "POST", "/work".to_owned(), Some(&body), 5)
    }

    pub fn ask(&self, node: usize, id: &str) -> Answer {
        self.request(node, id, "GET", format!("/work/{id}"), None, 2)
    }

    pub fn cancel_at(&self, node: usize, id: &str) -> Answer {
        if let Some(job) = self.world.lock().jobs.get_mut(id) {
            job.cancel_sent_at.get_or_insert(self.world.record.now());
        }
        self.request(node, id, "POST", format!("/work/{id}/cancel"), None, 5)
    }

    /// Cancels a job until that is confirmed, for 60 s at most.
    pub fn cancel(&self, id: &str) -> bool {
        let now = self.world.record.now();
        let mut node = (random() * self.nodes.len() as f64) as usize;
        while self.world.record.now() < now + 60.0 {
            if let Answer::Status(_) = self.cancel_at(node, id) {
                return true;
            }
            node += 1;
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    fn request(
        &self,
        node: usize,
        id: &str,
        method: &str,
        path: String,
        body: Option<&Value>,
        timeout_s: u64,
    ) -> Answer {
        let node = node % self.nodes.len();
        let sent_at = self.world.record.now();
        let timeout = Duration::from_secs(timeout_s);
        let reply = Client::default().call(self.nodes[node], method, &path, body, timeout);
        let now = self.world.record.now();
        let answer = match &reply {
            Some((200 | 201, body)) => Answer::Status(body.get("Status").str().to_owned()),
            Some((status, _)) => Answer::Refused(*status),
            None => Answer::None,
        };
        let counts = reply.as_ref().map_or(String::new(), |(_, body)| {
            format!(
                " done {} running {}",
                body.get("done").u64(),
                body.get("running").u64()
            )
        });
        let what =
            format!("{method} {path} ({id}) at node {node}, sent {sent_at:.3}: {answer:?}{counts}");
        self.world.record.line(&format!("user: {what}"));
        let inner = &mut *self.world.lock();
        let mut broken = Vec::new();
        let Some(job) = inner.jobs.get_mut(id) else {
            if let Answer::Status(_) = answer {
                self.world.broken(inner, format!("invented: {what}"));
            }
            return answer;
        };
        let told = |at: Option<f64>| at.is_some_and(|at| at < sent_at);
        match &answer {
            Answer::Status(status) => {
                job.accepted_at.get_or_insert(now);
                if told(job.told_aborted_at) && status != "aborted"
                    || told(job.told_done_at) && status != "done"
                    || status == "aborted" && job.cancel_sent_at.is_none()
                {
                    broken.push(format!("went_back: {what}"));
                }
                if status == "done" {
                    if (job.done.len() as u32) < job.spec.steps {
                        broken.push(format!(
                            "not_done: {what}, {} tasks are done",
                            job.done.len()
                        ));
                    }
                    job.told_done_at.get_or_insert(now);
                }
                if status == "aborted" {
                    job.told_aborted_at.get_or_insert(now);
                }
            }
            Answer::Refused(404) if told(job.accepted_at) => {
                broken.push(format!("forgotten: {what}"))
            }
            Answer::Refused(400 | 422) => broken.push(format!("forgotten: {what}")),
            _ => {}
        }
        for text in broken {
            self.world.broken(inner, text);
        }
        answer
    }
}
