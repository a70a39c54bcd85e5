//! Keys and values in the state service.

use serde::{Deserialize, Serialize};

/// Who leads.
pub const LEADER_KEY: &str = "leader";
/// The instance catalog, kept for controllers that start while the cloud is out.
pub const INSTANCE_CATALOG_KEY: &str = "catalogue";
/// Prefix of open jobs.
pub const OPEN_PREFIX: &str = "open/";
/// Prefix of finished jobs.
pub const FINISHED_PREFIX: &str = "over/";
/// Prefix of the log's segments.
pub const LOG_PREFIX: &str = "log/";
/// Prefix of provisioning requests.
pub const PROVISIONING_PREFIX: &str = "rental/";

/// Key of an open job.
pub fn open_key(id: &str) -> String {
    format!("{OPEN_PREFIX}{id}")
}
/// Key of a finished job.
pub fn finished_key(id: &str) -> String {
    format!("{FINISHED_PREFIX}{id}")
}
/// Key of a slot of the log.
pub fn log_key(slot: u32) -> String {
    format!("{LOG_PREFIX}{slot:05}")
}
/// Key of a provisioning request.
pub fn provisioning_key(idempotency_key: &str) -> String {
    format!("{PROVISIONING_PREFIX}{idempotency_key}")
}

/// Value of `leader`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leading controller.
    #[serde(rename = "Label")]
    pub label: String,
    /// Tells one life of the controller's process from another.
    #[serde(rename = "Life")]
    pub process_incarnation: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks are done.
    Done,
    /// Cancelled.
    Aborted,
}

/// Value of `over/<id>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRecord {
    /// How it ended.
    #[serde(rename = "Status")]
    pub outcome: JobOutcome,
    /// Completed tasks, for display.
    #[serde(rename = "Done", default)]
    pub completed_tasks: u32,
}

/// Value of `rental/<bid>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
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
