//! The worker protocol: heartbeats that list a worker's tasks, responses with commands, and direct calls.
//!
//! A worker regularly sends a heartbeat to one controller. A response with a list of commands, which may be empty,
//! renews the worker's lease. When the lease expires, the worker stops all its tasks and begins its next incarnation. A
//! direct call from a controller carries commands too, but does not renew the lease. A worker ignores all messages
//! whose [fencing token](FencingToken) is lower than the highest token that the worker has seen. The heartbeats of a
//! worker are ordered by incarnation, then by sequence number.

use super::cbor;
use super::http_status::{self, UnusableResponse, decode_body};
use super::token::FencingToken;
use serde::{Deserialize, Serialize};

/// Identifies a task by its job and its index in the job; written `j-000412/3` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: String,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses the wire form.
    ///
    /// # Errors
    /// If the text has no slash, or no number after the last slash.
    pub fn parse(text: &str) -> Result<TaskId, InvalidTaskId> {
        let invalid = || InvalidTaskId(text.to_owned());
        let (job, index) = text.rsplit_once('/').ok_or_else(invalid)?;
        Ok(TaskId {
            job: job.to_owned(),
            index: index.parse().map_err(|_| invalid())?,
        })
    }
}

/// A string that is not the wire form of a task id.
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
    /// The worker is fetching the task's container image.
    Fetching,
    /// The task is running.
    Running,
    /// The task was told to stop and is saving a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has ended, or was not started; see [`ExitReason`].
    Exited,
    /// A state that this version does not know; the task counts as present on the worker.
    #[serde(rename = "other", other)]
    Unknown,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task has run to completion.
    #[serde(rename = "done")]
    Completed,
    /// The task was stopped by a command.
    Stopped,
    /// The task has ended with an error.
    #[serde(rename = "error")]
    Failed,
    /// The task was not started: the worker has too few free resources.
    #[serde(rename = "full")]
    InsufficientResources,
    /// The task was not started: the worker has another attempt of the task.
    #[serde(rename = "busy")]
    AttemptConflict,
    /// The task was not started: there is no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A reason that this version does not know.
    #[serde(rename = "other", other)]
    Unknown,
}

/// One task in a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task, in wire form.
    #[serde(rename = "Step")]
    pub task: String,
    /// Attempt number: tells the attempts of the task apart.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// State of the attempt on the worker.
    #[serde(rename = "Status")]
    pub state: TaskState,
    /// Why the task has exited; `None` in other states.
    #[serde(rename = "Cause", default)]
    pub exit_reason: Option<ExitReason>,
}

/// A worker's heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the worker, which is that of its instance.
    #[serde(rename = "Host")]
    pub worker: String,
    /// Address for direct calls.
    #[serde(rename = "Endpoint")]
    pub endpoint: String,
    /// Name of the type of the worker's instance.
    #[serde(rename = "Flavor")]
    pub instance_type: String,
    /// Zone in which the instance runs.
    #[serde(rename = "Grove")]
    pub zone: String,
    /// Whether the instance is a spot instance, rather than on-demand.
    #[serde(rename = "Windfall")]
    pub spot: bool,
    /// Incarnation of the worker, from 1; incremented each time its lease expires.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// Highest token that the worker has seen.
    #[serde(rename = "Epoch")]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the spot instance; `None` if that has not been announced.
    #[serde(
        rename = "WarningS",
        default,
        deserialize_with = "cbor::optional_amount"
    )]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the worker, including exited ones until they are cleared.
    #[serde(rename = "Steps", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a command does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandKind {
    /// Start an attempt of a task.
    Start,
    /// Stop an attempt, after the time that `grace_s` gives it.
    #[serde(rename = "halt")]
    Stop,
    /// Forget an exited attempt, so that heartbeats no longer list it.
    Clear,
}

/// One command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// What the worker is to do.
    #[serde(rename = "Verb")]
    pub kind: CommandKind,
    /// Id of the task, in wire form.
    #[serde(rename = "Step")]
    pub task: String,
    /// Attempt number: tells the attempts of the task apart.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// For a stop command: seconds that the task is given to save a checkpoint; 0 stops it at once. `None` in other
    /// commands.
    #[serde(rename = "DrainS", skip_serializing_if = "Option::is_none", default)]
    pub grace_s: Option<f64>,
}

/// Response to a heartbeat, and the body of direct calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Token of the leader that sends the commands.
    #[serde(rename = "Epoch")]
    pub token: FencingToken,
    /// The incarnation of the worker that is to execute the commands. Set in direct calls; `None` in responses to
    /// heartbeats.
    #[serde(rename = "Tenure", skip_serializing_if = "Option::is_none", default)]
    pub incarnation: Option<u64>,
    /// Commands, in the order of execution.
    #[serde(rename = "Orders")]
    pub commands: Vec<Command>,
}

/// Body of a 421 response to a heartbeat: this controller is not the leader.
#[derive(Debug, Serialize, Deserialize)]
pub struct NotLeader {
    /// Label of the leader, if this controller knows one.
    #[serde(rename = "Foreman", skip_serializing_if = "Option::is_none", default)]
    pub leader_hint: Option<String>,
}

/// A direct call to a worker.
#[derive(Debug, Clone)]
pub enum WorkerRequest {
    /// Commands that can't wait for a heartbeat; an empty batch probes the worker.
    Commands(CommandBatch),
}

/// The outcome of a direct call.
#[derive(Debug, Clone)]
pub enum WorkerResponse {
    /// The worker has executed the commands; contains the worker's state afterwards.
    Executed(Box<WorkerHeartbeat>),
    /// The worker has executed nothing, because the token is too low or the incarnation is not the worker's current
    /// one; contains the worker's state.
    Rejected(Box<WorkerHeartbeat>),
    /// The call was never sent: no connection became free in time.
    NotSent,
    /// The call was never sent: the worker accepts no connection.
    Unreachable,
    /// There was no usable response; the worker may execute the call at any later time.
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

    /// Interprets the status and body of the response to a direct call. If the response is unusable, the outcome of the
    /// call is unknown.
    pub fn response(status: u16, body: &[u8]) -> WorkerResponse {
        parse_response(status, body).unwrap_or(WorkerResponse::OutcomeUnknown)
    }
}

fn parse_response(status: u16, body: &[u8]) -> Result<WorkerResponse, UnusableResponse> {
    let decode_heartbeat = |variant: fn(Box<WorkerHeartbeat>) -> WorkerResponse| {
        decode_body(body, move |heartbeat| variant(Box::new(heartbeat)))
    };
    match status {
        http_status::OK => decode_heartbeat(WorkerResponse::Executed),
        http_status::CONFLICT => decode_heartbeat(WorkerResponse::Rejected),
        _ => Err(UnusableResponse::UnexpectedStatus(status)),
    }
}
