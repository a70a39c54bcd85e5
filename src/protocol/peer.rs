//! Heartbeats between controllers: one-way messages in `rkyv` archives.
//!
//! The order of the fields is the wire form. Nothing relies on a heartbeat's arrival: each repeats what still matters.

use rkyv::{Archive, Deserialize, Serialize};

/// The longest frame in bytes; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The most jobs whose counts fit into one message.
pub const MAX_JOB_COUNTS: usize = 2000;

/// The most crash-looping jobs that fit into one message; the others are found to be so once more.
pub const MAX_CRASH_LOOPING_JOBS: usize = 500;
/// The most terminations that fit into one message; others are looked up when somebody asks.
pub const MAX_TERMINATIONS: usize = 1000;

/// Display counts of one job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct JobCounts {
    /// Job id.
    pub job: String,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// How a job has ended; this never changes.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Termination {
    /// Job id.
    pub job: String,
    /// Cancelled, rather than done.
    pub aborted: bool,
    /// Completed tasks.
    pub done: u32,
}

/// Up to which number a controller has received a peer's terminations.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationAck {
    /// The peer.
    pub label: String,
    /// Which process of the peer.
    pub process_incarnation: u64,
    /// All terminations before this number were received.
    pub up_to: u64,
}

/// Terminations of jobs that some peer has not acknowledged yet; peers need not look them up.
#[derive(Debug, Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationLog {
    /// Tells this process from earlier ones of the same controller.
    pub process_incarnation: u64,
    /// Number of the first of the list.
    pub first_sequence: u64,
    /// The terminations, numbered in order.
    pub entries: Vec<Termination>,
    /// What was received of each peer.
    pub acks: Vec<TerminationAck>,
}

/// A controller's regular message to its peers.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Sender.
    pub label: String,
    /// Highest epoch that the sender knows.
    pub epoch: u64,
    /// The leader, as far as the sender knows.
    pub leader: Option<String>,
    /// Whether the state service has lately answered the sender.
    pub state_service_ok: bool,
    /// Workers that the sender has lately redirected to another leader.
    pub redirected_workers: u32,
    /// From the leader: display counts of the open jobs.
    pub counts: Vec<JobCounts>,
    /// From the leader: jobs that are crash-looping, since their tasks fail on several machines.
    pub crash_looping_jobs: Vec<String>,
    /// Writes per second that the sender has lately made in the state service for its users.
    pub user_writes_per_s: f64,
    /// Jobs that the sender has lately ended.
    pub terminations: TerminationLog,
}

/// A message that cannot be encoded, or bytes that are none.
#[derive(Debug, thiserror::Error)]
pub enum PeerMessageError {
    /// The archive cannot be written.
    #[error("cannot be encoded: {0}")]
    Encode(rkyv::rancor::Error),
    /// The bytes are no valid archive of a heartbeat, such as those of another version.
    #[error("is no heartbeat: {0}")]
    Decode(rkyv::rancor::Error),
}

/// Encodes a message, without its frame.
///
/// # Errors
/// If the archive cannot be written; our own messages always can.
pub fn encode(heartbeat: &PeerHeartbeat) -> Result<Vec<u8>, PeerMessageError> {
    rkyv::to_bytes::<rkyv::rancor::Error>(heartbeat)
        .map(|bytes| bytes.to_vec())
        .map_err(PeerMessageError::Encode)
}

/// Decodes and validates a message.
///
/// # Errors
/// If the bytes are no valid archive of a heartbeat.
pub fn decode(bytes: &[u8]) -> Result<PeerHeartbeat, PeerMessageError> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerHeartbeat, rkyv::rancor::Error>(&aligned)
        .map_err(PeerMessageError::Decode)
}
