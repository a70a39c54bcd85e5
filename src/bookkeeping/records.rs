//! Keys and values in the state service.

use serde::{Deserialize, Serialize};

/// Who leads.
pub const LEADER: &str = "leader";
/// The catalogue, kept for nodes that start while the cloud is out.
pub const CATALOGUE: &str = "catalogue";
/// Prefix of open jobs.
pub const OPEN: &str = "open/";
/// Prefix of finished jobs.
pub const OVER: &str = "over/";
/// Prefix of completed tasks.
pub const PROGRESS: &str = "progress/";
/// Prefix of hosts.
pub const HOST: &str = "host/";
/// Prefix of rentals.
pub const RENTAL: &str = "rental/";

/// Key of an open job.
pub fn open(id: &str) -> String {
    format!("{OPEN}{id}")
}
/// Key of a finished job.
pub fn over(id: &str) -> String {
    format!("{OVER}{id}")
}
/// Key of a chunk of completed tasks.
pub fn progress(id: &str, chunk: u32) -> String {
    format!("{PROGRESS}{id}/{chunk}")
}
/// Key of a host.
pub fn host(name: &str) -> String {
    format!("{HOST}{name}")
}
/// Key of a rental.
pub fn rental(bid: &str) -> String {
    format!("{RENTAL}{bid}")
}

/// Value of `leader`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leading node.
    #[serde(rename = "Label")]
    pub label: String,
    /// Tells one life of the node's process from another.
    #[serde(rename = "Life")]
    pub life: u64,
}

/// A task bound to a host, with what it takes, so that it can be counted even after its job is over.
/// Written as a list, to fit many into a value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "BoundTuple", into = "BoundTuple")]
pub struct BoundTask {
    /// Job id.
    pub job: String,
    /// Number of the task.
    pub index: u32,
    /// Attempt.
    pub attempt: u64,
    /// Session of the worker for which it was bound.
    pub tenure: u64,
    /// Team that it counts for.
    pub team: String,
    /// CPUs, GPUs and memory.
    pub need: [f64; 3],
}

type BoundTuple = (String, u32, u64, u64, String, Amount, Amount, Amount);

/// A number that may have been written as an integer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Amount(#[serde(deserialize_with = "crate::protocol::cbor::amount")] f64);

impl From<BoundTuple> for BoundTask {
    fn from(t: BoundTuple) -> BoundTask {
        BoundTask {
            job: t.0,
            index: t.1,
            attempt: t.2,
            tenure: t.3,
            team: t.4,
            need: [t.5.0, t.6.0, t.7.0],
        }
    }
}

impl From<BoundTask> for BoundTuple {
    fn from(b: BoundTask) -> BoundTuple {
        let [cpus, gpus, ram] = b.need.map(Amount);
        (b.job, b.index, b.attempt, b.tenure, b.team, cpus, gpus, ram)
    }
}

/// Value of `host/<name>`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct HostRecord {
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub flavor: String,
    /// Zone.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Worker's address.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Given back, or about to be: nothing may be placed here ever again.
    #[serde(rename = "Returning", default)]
    pub returning: bool,
    /// Tasks bound to it.
    #[serde(rename = "Steps", default)]
    pub steps: Vec<BoundTask>,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// All tasks are done.
    Done,
    /// Cancelled.
    Aborted,
}

/// Value of `over/<id>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverRecord {
    /// How it ended.
    #[serde(rename = "Status")]
    pub ending: Ending,
    /// Completed tasks, for display.
    #[serde(rename = "Done", default)]
    pub done: u32,
}

/// Value of `progress/<id>/<chunk>`: completed tasks as a bitmap in hexadecimal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// Number of the first task of the chunk.
    #[serde(rename = "First")]
    pub first: u32,
    /// Four tasks a digit, the lowest bit first.
    #[serde(rename = "Bits")]
    pub bits: String,
}

impl ProgressRecord {
    /// Encodes the tasks of a chunk that starts at `first`.
    pub fn encode(first: u32, flags: impl Iterator<Item = bool>) -> ProgressRecord {
        let flags: Vec<bool> = flags.collect();
        let bits = flags
            .chunks(4)
            .map(|four| {
                let digit = four
                    .iter()
                    .enumerate()
                    .fold(0, |sum, (i, done)| sum | (u32::from(*done) << i));
                char::from_digit(digit, 16).unwrap_or('0')
            })
            .collect();
        ProgressRecord { first, bits }
    }

    /// Numbers of the completed tasks.
    pub fn tasks(&self) -> impl Iterator<Item = u32> + '_ {
        self.bits.chars().enumerate().flat_map(move |(i, digit)| {
            let digit = digit.to_digit(16).unwrap_or(0);
            (0..4)
                .filter(move |bit| digit & (1 << bit) != 0)
                .map(move |bit| self.first + (i as u32) * 4 + bit)
        })
    }
}

/// Value of `rental/<bid>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RentalRecord {
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub flavor: String,
    /// Zone.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Spot machines.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "Count")]
    pub count: u32,
}
