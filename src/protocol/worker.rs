//! The worker protocol: heartbeats, commands and direct commands.

use super::cbor;
use super::token::FencingToken;
use serde::{Deserialize, Serialize};

/// A task's place in its job, written `j-000412/3` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job id.
    pub job: String,
    /// Number of the task in the job.
    pub index: u32,
}

impl TaskId {
    /// Reads the wire form.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.rsplit_once('/')?;
        Some(TaskId {
            job: job.to_owned(),
            index: index.parse().ok()?,
        })
    }
}

impl std::fmt::Display for TaskId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// State of a task on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Saving before it stops.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    Exited,
    /// A state this version does not know; the task is taken to be on the machine.
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
    /// Refused: not enough free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// Refused: the task is here with another attempt.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// Refused: no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A cause this version does not know.
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

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Machine name.
    #[serde(rename = "Host")]
    pub worker: String,
    /// Address for direct commands.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Machine type.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Spot machine.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Session.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Order within the incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// Highest token the worker has seen.
    #[serde(rename = "Epoch")]
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(
        rename = "WarningS",
        default,
        deserialize_with = "cbor::optional_amount"
    )]
    pub reclaim_in_s: Option<f64>,
    /// Tasks on the machine.
    #[serde(rename = "Steps", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What an order does.
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
    /// Time to save, for `halt`.
    #[serde(rename = "DrainS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// Answer to a heartbeat, and the body of direct commands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Token.
    #[serde(rename = "Epoch")]
    pub token: FencingToken,
    /// Session; only in direct commands.
    #[serde(rename = "Tenure", skip_serializing_if = "Option::is_none", default)]
    pub incarnation: Option<u64>,
    /// Commands in order.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421.
#[derive(Debug, Serialize, Deserialize)]
pub struct NotLeader {
    /// The controller to report to.
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader_hint: Option<String>,
}

/// A direct call to a worker.
#[derive(Debug, Clone)]
pub enum WorkerRequest {
    /// POST /commands.
    Commands(CommandBatch),
}

/// What came of a direct call.
#[derive(Debug, Clone)]
pub enum WorkerResponse {
    /// Executed (or shown).
    Executed(Box<WorkerHeartbeat>),
    /// Nothing executed: token or incarnation do not match.
    Rejected(Box<WorkerHeartbeat>),
    /// The call was never sent, for want of a connection to spare.
    NotSent,
    /// The call was never sent: the worker takes no connection.
    Unreachable,
    /// No usable answer; the call may be executed at any later time.
    OutcomeUnknown,
}

impl WorkerRequest {
    /// Method, path and body.
    pub fn http_request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            WorkerRequest::Commands(commands) => {
                ("POST", "/commands".to_owned(), cbor::encode(commands))
            }
        }
    }

    /// Reads the answer.
    pub fn response(status: u16, body: &[u8]) -> WorkerResponse {
        match (status, cbor::decode::<WorkerHeartbeat>(body)) {
            (200, Ok(heartbeat)) => WorkerResponse::Executed(Box::new(heartbeat)),
            (409, Ok(heartbeat)) => WorkerResponse::Rejected(Box::new(heartbeat)),
            _ => WorkerResponse::OutcomeUnknown,
        }
    }
}
