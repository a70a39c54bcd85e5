//! Users and their jobs.

use super::*;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ask {
    Submit,
    Poll,
    Cancel,
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

    pub(super) fn user_acts(&mut self, user: usize) {
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

    pub(super) fn user_told(&mut self, user: usize, ask: Ask, status: u16, body: &[u8]) {
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
}
