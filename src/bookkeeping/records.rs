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
/// Prefix of the log's segments.
pub const LOG: &str = "log/";
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
/// Key of a slot of the log.
pub fn log(slot: u32) -> String {
    format!("{LOG}{slot:05}")
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
