//! Heartbeats between controllers: one-way messages, encoded as `rkyv` archives.
//!
//! The wire form depends on the order and the types of the fields. A lost heartbeat does no harm, since each heartbeat
//! repeats all information that is still relevant.

use rkyv::{Archive, Deserialize, Serialize};

/// Maximum length of a received frame, which carries one heartbeat, in bytes. A longer frame ends the connection.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Maximum number of jobs whose task counts are sent in one heartbeat.
pub const MAX_JOB_COUNTS: usize = 2000;

/// Maximum number of crash-looping jobs in one heartbeat. A new leader has to detect again that the others are
/// crash-looping.
pub const MAX_CRASH_LOOPING_JOBS: usize = 500;
/// Maximum number of terminations in one heartbeat. Peers look up other terminations in the state service when they
/// need them.
pub const MAX_TERMINATIONS: usize = 1000;

/// Task counts of one job, for display to users.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct JobCounts {
    /// Id of the job.
    pub job: String,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// The end of a job. A job that has ended never changes again.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Termination {
    /// Id of the job that has ended.
    pub job: String,
    /// Whether the job was cancelled, rather than completed.
    pub aborted: bool,
    /// Number of tasks that were complete when the job ended.
    pub done: u32,
}

/// Acknowledges the terminations that a controller has received from a peer.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationAck {
    /// Label of the peer that has sent the terminations.
    pub label: String,
    /// Incarnation of the peer's process, from its [`TerminationLog`].
    pub process_incarnation: u64,
    /// All terminations with lower sequence numbers than this one were received.
    pub up_to: u64,
}

/// Terminations of jobs that at least one peer has not acknowledged yet. Peers that receive these terminations need not
/// look up the jobs in the state service.
#[derive(Debug, Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationLog {
    /// Distinguishes the sender's process from earlier ones with the same label.
    pub process_incarnation: u64,
    /// Sequence number of the first entry.
    pub first_sequence: u64,
    /// The terminations, with consecutive sequence numbers.
    pub entries: Vec<Termination>,
    /// For each peer, which of its terminations the sender has received.
    pub acks: Vec<TerminationAck>,
}

/// A controller's regular message to its peers.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Label of the sender.
    pub label: String,
    /// Highest epoch that the sender knows.
    pub epoch: u64,
    /// Label of the leader, if the sender knows one.
    pub leader: Option<String>,
    /// Whether the state service has recently answered the sender.
    pub state_service_ok: bool,
    /// Number of workers that the sender has recently redirected to the leader.
    pub redirected_workers: u32,
    /// Sent by the leader only: task counts of the open jobs.
    pub counts: Vec<JobCounts>,
    /// Sent by the leader only: ids of the jobs that are crash-looping, since their tasks fail on several workers.
    pub crash_looping_jobs: Vec<String>,
    /// Recent rate at which the sender has written to the state service for its users.
    pub user_writes_per_s: f64,
    /// Terminations of jobs that some peer has not acknowledged to the sender yet, and the sender's acknowledgements to
    /// its peers.
    pub terminations: TerminationLog,
}

/// Failure to encode or decode a heartbeat.
#[derive(Debug, thiserror::Error)]
pub enum PeerMessageError {
    /// The archive can't be written.
    #[error("peer heartbeat could not be encoded: {0}")]
    Encode(rkyv::rancor::Error),
    /// The bytes are not a valid archive of a heartbeat of this version.
    #[error("not a valid peer heartbeat: {0}")]
    Decode(rkyv::rancor::Error),
}

/// Encodes a message, without its frame.
///
/// # Errors
/// If the archive can't be written, which does not happen with the messages of this program.
pub fn encode(heartbeat: &PeerHeartbeat) -> Result<Vec<u8>, PeerMessageError> {
    rkyv::to_bytes::<rkyv::rancor::Error>(heartbeat)
        .map(|bytes| bytes.to_vec())
        .map_err(PeerMessageError::Encode)
}

/// Decodes and validates a message.
///
/// # Errors
/// If the bytes are not a valid archive of a heartbeat.
pub fn decode(bytes: &[u8]) -> Result<PeerHeartbeat, PeerMessageError> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerHeartbeat, rkyv::rancor::Error>(&aligned)
        .map_err(PeerMessageError::Decode)
}
