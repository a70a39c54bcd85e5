//! The worker protocol: heartbeats with the tasks of a worker, the commands that respond to them, and direct calls.
//!
//! A worker sends a heartbeat at intervals to one controller. A response with commands renews its lease; when that
//! expires, the worker ends all its tasks and goes on with the next incarnation. A direct call carries commands, too,
//! and renews nothing. A worker ignores whatever carries a [fencing token](FencingToken) below the highest that it has
//! seen. (Incarnation and sequence) order its messages.

use super::cbor;
use super::http_status::{self, UnusableResponse, decode_body};
use super::token::FencingToken;
use serde::{Deserialize, Serialize};

/// A task: its job and its number there, written `j-000412/3` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job id.
    pub job: String,
    /// Number of the task in the job.
    pub index: u32,
}

impl TaskId {
    /// Reads the wire form.
    ///
    /// # Errors
    /// If there is no slash, or no number after the last one.
    pub fn parse(text: &str) -> Result<TaskId, InvalidTaskId> {
        let invalid = || InvalidTaskId(text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(invalid)?;
        Ok(TaskId {
            job: job.to_owned(),
            index: index.parse().map_err(|_| invalid())?,
        })
    }
}

/// A text that names no task.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no task: a job, a slash and a number are expected")]
pub struct InvalidTaskId(String);

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// State of a task on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for its container image.
    Fetching,
    /// Running.
    Running,
    /// Stopped by command, and saving a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended; see [`ExitReason`].
    Exited,
    /// A state that this version does not know; the task counts as being on the worker.
    #[serde(rename = "other", other)]
    Unknown,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    #[serde(rename = "done")]
    Completed,
    /// Stopped by command.
    Stopped,
    /// Failed.
    #[serde(rename = "error")]
    Failed,
    /// Start refused: not enough free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Start refused: the worker has this task with another attempt.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// Start refused: no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this version does not know.
    #[serde(rename = "other", other)]
    Unknown,
}

/// One task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Task, in wire form.
    #[serde(rename = "Step")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// State.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why it exited.
    #[serde(rename = "Cause", default)]
    pub exit_reason: Option<ExitReason>,
}

/// A worker's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The worker, by the name of its instance.
    #[serde(rename = "Host")]
    pub worker: String,
    /// Address for direct commands.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Instance type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Spot instance, rather than on-demand.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Incarnation of the worker, from 1; grows each time its lease expires.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Order of messages within the incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// Highest token that the worker has seen.
    #[serde(rename = "Epoch")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the spot instance; none: not announced.
    #[serde(
        rename = "WarningS",
        default,
        deserialize_with = "cbor::optional_amount"
    )]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the worker, with exited ones until they are cleared.
    #[serde(rename = "Steps", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a command does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Start a task.
    Start,
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop,
    /// Drop an exited task from the heartbeats.
    Clear,
}

/// One command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What to do.
    #[serde(rename = "Verb")]
    pub kind: CommandKind,
    /// To which task.
    #[serde(rename = "Step")]
    pub task: String,
    /// Attempt.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// For a stop: seconds to save a checkpoint in; 0: at once.
    #[serde(rename = "DrainS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat, and the body of direct calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Who commands, and from which fence on.
    #[serde(rename = "Epoch")]
    pub token: FencingToken,
    /// The incarnation that is meant; only in direct calls.
    #[serde(rename = "Tenure", skip_serializing_if = "Option::is_none", default)]
    pub incarnation: Option<u64>,
    /// Commands in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421: this controller does not lead.
#[derive(Debug, Serialize, Deserialize)]
pub struct NotLeader {
    /// The leader, as far as known.
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader_hint: Option<String>,
}

/// A direct call to a worker.
#[derive(Debug, Clone)]
pub enum WorkerRequest {
    /// Commands that cannot wait for a heartbeat, or none to probe the worker.
    Commands(CommandBatch),
}

/// What came of a direct call.
#[derive(Debug, Clone)]
pub enum WorkerResponse {
    /// Executed; with the worker's state after the commands.
    Executed(Box<WorkerHeartbeat>),
    /// Nothing executed: the token is too low, or the incarnation is not the worker's.
    Rejected(Box<WorkerHeartbeat>),
    /// The call was never sent: no connection was free for it in time.
    NotSent,
    /// The call was never sent: the worker accepts no connection.
    Unreachable,
    /// No usable response; the call may be executed at any later time.
    OutcomeUnknown,
}

impl WorkerRequest {
    /// Method, path and body of the HTTP request.
    pub fn http_request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            WorkerRequest::Commands(commands) => {
                ("POST", "/commands".to_owned(), cbor::encode(commands))
            }
        }
    }

    /// The meaning of a response. One that is not usable leaves the outcome unknown.
    pub fn response(status: u16, body: &[u8]) -> WorkerResponse {
        parse_response(status, body).unwrap_or(WorkerResponse::OutcomeUnknown)
    }
}

fn parse_response(status: u16, body: &[u8]) -> Result<WorkerResponse, UnusableResponse> {
    let boxed = |response: fn(Box<WorkerHeartbeat>) -> WorkerResponse| {
        decode_body(body, move |heartbeat| response(Box::new(heartbeat)))
    };
    match status {
        http_status::OK => boxed(WorkerResponse::Executed),
        http_status::CONFLICT => boxed(WorkerResponse::Rejected),
        _ => Err(UnusableResponse::UnexpectedStatus(status)),
    }
}
