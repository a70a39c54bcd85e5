//! Keys and values of the records in the state service.
//!
//! Keys and serialized names are part of the stored format and must not change.

use serde::{Deserialize, Serialize};

/// Key of the record that names the current leader. Its mod revision is the leader's epoch.
pub const LEADER_KEY: &str = "leader";
/// Key of the instance catalog, kept for controllers that start while the cloud is unavailable.
pub const INSTANCE_CATALOG_KEY: &str = "catalogue";
/// Prefix of the keys of open jobs.
pub const OPEN_PREFIX: &str = "open/";
/// Prefix of the keys of finished jobs, which are those that are complete or were cancelled.
pub const FINISHED_PREFIX: &str = "over/";
/// Prefix of the keys of the write-ahead log's slots, each of which holds one segment.
pub const LOG_PREFIX: &str = "log/";
/// Prefix of the keys of provisioning requests.
pub const PROVISIONING_PREFIX: &str = "rental/";

/// Key of the specification of the open job with this id.
pub fn open_key(id: &str) -> String {
    format!("{OPEN_PREFIX}{id}")
}

/// Key of the [`FinishedRecord`] of the job with this id.
pub fn finished_key(id: &str) -> String {
    format!("{FINISHED_PREFIX}{id}")
}

/// Key of the slot of the write-ahead log with this number.
pub fn log_key(slot: u32) -> String {
    format!("{LOG_PREFIX}{slot:05}")
}

/// Key of the [`ProvisioningRecord`] of the request with this idempotency key.
pub fn provisioning_key(idempotency_key: &str) -> String {
    format!("{PROVISIONING_PREFIX}{idempotency_key}")
}

/// Value of [`LEADER_KEY`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Label of the leading controller.
    #[serde(rename = "Label")]
    pub label: String,
    /// Distinguishes the leading process from earlier controller processes with the same label.
    #[serde(rename = "Life")]
    pub process_incarnation: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks are complete.
    Done,
    /// The job was cancelled.
    Aborted,
}

/// Value of a finished job's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedRecord {
    /// How the job ended.
    #[serde(rename = "Status")]
    pub outcome: JobOutcome,
    /// Number of tasks that were complete when the job ended; only displayed to users.
    #[serde(rename = "Done", default)]
    pub completed_tasks: u32,
}

/// Value of a provisioning request's key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// Name of the requested instance type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone in which the instances are requested.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Whether spot instances are requested.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Number of instances requested.
    #[serde(rename = "Count")]
    pub count: u32,
}
