//! What controllers tell one another: one-way messages in `rkyv` archives.

use rkyv::{Archive, Deserialize, Serialize};

/// The longest frame; a longer one ends the connection.
pub const MAX_FRAME: usize = 256 * 1024;
/// The most jobs whose counts fit into one message.
pub const MAX_JOB_COUNTS: usize = 2000;

/// The most crash-looping jobs that fit into one message; the others are found to be so once more.
pub const MAX_CRASH_LOOPING_JOBS: usize = 500;
/// The most ends of jobs that fit into one message; others are looked up when somebody asks.
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

/// How a job has ended, for ever.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Termination {
    /// Job id.
    pub job: String,
    /// Cancelled, rather than done.
    pub aborted: bool,
    /// Completed tasks.
    pub done: u32,
}

/// Up to which number a controller has heard of a peer's ends.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationAck {
    /// The peer.
    pub label: String,
    /// Which of its processes.
    pub process_incarnation: u64,
    /// All ends before this number were heard.
    pub up_to: u64,
}

/// Terminations of jobs that some peer has not acknowledged yet; peers need not look them up.
#[derive(Debug, Clone, Default, PartialEq, Archive, Serialize, Deserialize)]
pub struct TerminationLog {
    /// Tells this process from earlier ones of the same controller.
    pub process_incarnation: u64,
    /// Number of the first of the list.
    pub first_sequence: u64,
    /// The ends, numbered in order.
    pub entries: Vec<Termination>,
    /// What was heard of each peer.
    pub acks: Vec<TerminationAck>,
}

/// A controller's regular word to its peers.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Sender.
    pub label: String,
    /// Highest epoch the sender knows.
    pub epoch: u64,
    /// Who it thinks leads.
    pub leader: Option<String>,
    /// Whether the state service answered it lately.
    pub state_service_ok: bool,
    /// Workers that came to it lately although another controller leads.
    pub redirected_workers: u32,
    /// From the leader: display counts of the open jobs.
    pub counts: Vec<JobCounts>,
    /// From the leader: jobs that are crash-looping, since their tasks fail on several machines.
    pub crash_looping_jobs: Vec<String>,
    /// Changes a second that this controller has lately made in the state service for its users.
    pub changes_per_s: f64,
    /// Jobs that have ended by this controller's doing.
    pub terminations: TerminationLog,
}

/// Encodes a message, without its frame.
pub fn encode(heartbeat: &PeerHeartbeat) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(heartbeat)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Decodes and validates a message.
pub fn decode(bytes: &[u8]) -> Option<PeerHeartbeat> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<PeerHeartbeat, rkyv::rancor::Error>(&aligned).ok()
}
