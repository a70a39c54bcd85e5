//! What controllers tell one another: one-way messages in `rkyv` archives.

use rkyv::{Archive, Deserialize, Serialize};

/// The longest frame; a longer one ends the connection.
pub const MAX_FRAME: usize = 256 * 1024;
/// The most jobs whose counts fit into one message.
pub const MAX_COUNTS: usize = 2000;

/// The most ends of jobs that fit into one message; others are looked up when somebody asks.
pub const MAX_ENDED: usize = 1000;

/// Display counts of one job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Counts {
    /// Job id.
    pub job: String,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// How a job has ended, for ever.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Ended {
    /// Job id.
    pub job: String,
    /// Cancelled, rather than done.
    pub aborted: bool,
    /// Completed tasks.
    pub done: u32,
}

/// A node's regular word to its peers.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub label: String,
    /// Highest Epoch the sender knows.
    pub epoch: u64,
    /// Who it thinks leads.
    pub leader: Option<String>,
    /// Whether the state service answered it lately.
    pub state_ok: bool,
    /// Workers that knocked at it lately although another node leads.
    pub knocks: u32,
    /// From the leader: display counts of the open jobs.
    pub counts: Vec<Counts>,
    /// Jobs that have ended by this node's doing since its last word: peers need not look them up.
    pub ended: Vec<Ended>,
}

/// Encodes a message, without its frame.
pub fn encode(beat: &Beat) -> Vec<u8> {
    rkyv::to_bytes::<rkyv::rancor::Error>(beat)
        .map(|bytes| bytes.to_vec())
        .unwrap_or_default()
}

/// Decodes and validates a message.
pub fn decode(bytes: &[u8]) -> Option<Beat> {
    let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    rkyv::from_bytes::<Beat, rkyv::rancor::Error>(&aligned).ok()
}
