//! Users: they submit, poll and cancel through any controller, and repeat requests as the pages say.

use crate::cbor::{Value, int, map, text};
use crate::http::call;
use crate::record::sleep;
use crate::world::World;

pub struct Job<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub team: &'a str,
    pub shape: &'a str,
    pub rank: &'a str,
    pub steps: u64,
    pub cores: f64,
    pub ram_gb: f64,
    pub windfall: bool,
    pub spread: bool,
    /// The only allowed zone.
    pub grove: Option<&'a str>,
    pub expect_s: f64,
    pub due_s: Option<f64>,
    /// How long its tasks really run.
    pub run_s: f64,
    /// Submitted with a mistake: its tasks fail on every machine.
    pub broken: bool,
}

impl Job<'_> {
    pub fn body(&self) -> Value {
        map(vec![
            ("NameId", text(self.id)),
            ("Jobclass", text(self.class)),
            ("Owner", text(self.team)),
            ("Shape", text(self.shape)),
            ("Rank", text(self.rank)),
            ("Steps", int(self.steps)),
            ("Cores", Value::Float(self.cores)),
            ("Gpus", Value::Float(0.0)),
            ("RamGb", Value::Float(self.ram_gb)),
            ("Bundle", text("img-01")),
            ("PullGb", Value::Float(0.5)),
            ("Flavors", Value::Null),
            ("Grove", self.grove.map_or(Value::Null, text)),
            ("OneZone", Value::Bool(false)),
            ("Spread", Value::Bool(self.spread)),
            ("Windfall", Value::Bool(self.windfall)),
            ("ExpectS", Value::Float(self.expect_s)),
            ("SnapshotS", Value::Float(0.0)),
            ("FlushS", Value::Float(0.0)),
            ("DueS", self.due_s.map_or(Value::Null, Value::Float)),
        ])
    }
}

/// Sends a request to the controllers in turn, until one answers with a status that isn't to be repeated, for up to
/// 60 s. Returns that status and the body.
fn persist(world: &World, method: &str, path: &str, body: &[u8]) -> Option<(u16, Value)> {
    let begin = world.record.now();
    let nodes = world.node_addresses();
    let mut turn = 0;
    while world.record.now() - begin < 60.0 {
        let node = turn % nodes.len();
        turn += 1;
        let answer = call(nodes[node], method, path, body, 5.0);
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        if matches!(status, 200 | 201 | 400 | 422) {
            let body = answer
                .and_then(|(_, body)| Value::decode(&body))
                .unwrap_or(Value::Null);
            world.record.log(
                "user",
                format!(
                    "{method} {path} to rung-{node}: {status} {}",
                    body.str("Status").unwrap_or("")
                ),
            );
            return Some((status, body));
        }
        sleep(1.0);
    }
    world
        .record
        .log("user", format!("{method} {path}: given up"));
    None
}

/// Submits a job. Returns whether it was accepted.
pub fn submit(world: &World, job: &Job) -> bool {
    let body = job.body();
    world.upload(job.id, &body, job.run_s, job.broken);
    world.record.log(
        "user",
        format!(
            "submits {}: {} tasks of {} CPUs, team {}",
            job.id, job.steps, job.cores, job.team
        ),
    );
    matches!(
        persist(world, "POST", "/work", &body.encode()),
        Some((200 | 201, _))
    )
}

/// Cancels a job. Returns the status that the answer gives.
pub fn cancel(world: &World, id: &str) -> Option<String> {
    let (_, body) = persist(world, "POST", &format!("/work/{id}/cancel"), b"")?;
    body.str("Status").map(str::to_owned)
}

/// Asks for the status of a job at one controller. Returns the HTTP status and the job's.
pub fn poll(world: &World, node: usize, id: &str) -> Option<(u16, String)> {
    let (status, body) = call(
        world.node_addresses()[node],
        "GET",
        &format!("/work/{id}"),
        b"",
        2.0,
    )?;
    let body = Value::decode(&body).unwrap_or(Value::Null);
    let state = body.str("Status").unwrap_or("").to_owned();
    Some((status, state))
}
