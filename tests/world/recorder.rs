//! Hashes all messages that the controllers send, and all responses that users receive.
//!
//! The hash covers only bytes as sent on the wire and explicit numbers. Renaming types, fields or functions
//! therefore does not change it.

use super::*;
use cedarladder::protocol::peer;
use sha2::{Digest as _, Sha256};

/// The kind of a recorded message. The numbers are part of the hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum RecordKind {
    /// A request to the state service.
    ToStateService = 1,
    /// A request to the cloud.
    ToCloud = 2,
    /// A direct call to a worker.
    ToWorker = 3,
    /// A response to a user or a worker.
    Answer = 4,
    /// A heartbeat to the other controllers.
    PeerHeartbeat = 5,
    /// A response to a request about a job that has reached its user, or the user's time-out (status 599).
    UserAnswered = 6,
    /// A response to an invalid request that has reached its user.
    InvalidRequestAnswered = 7,
}

impl RecordKind {
    pub const ALL: [RecordKind; 7] = [
        RecordKind::ToStateService,
        RecordKind::ToCloud,
        RecordKind::ToWorker,
        RecordKind::Answer,
        RecordKind::PeerHeartbeat,
        RecordKind::UserAnswered,
        RecordKind::InvalidRequestAnswered,
    ];
}

/// The hash of one world's messages, in the order in which they were sent or received.
#[derive(Default)]
pub struct Recorder {
    hasher: Sha256,
    /// Number of recorded messages of each kind.
    pub records: BTreeMap<RecordKind, u64>,
}

impl Recorder {
    /// Records a message of a controller at the time when the world sends it.
    pub(super) fn sent(&mut self, now: f64, controller: usize, effect: &Effect) {
        match effect {
            Effect::Respond {
                request_id,
                status,
                body,
                retry_after_s,
            } => {
                self.begin(RecordKind::Answer, now, controller);
                self.number(*request_id);
                self.number(u64::from(*status));
                self.bytes(body);
                self.bytes(
                    &retry_after_s.map_or(Vec::new(), |seconds| seconds.to_le_bytes().to_vec()),
                );
            }
            Effect::CallKv {
                request, timeout_s, ..
            } => {
                self.begin(RecordKind::ToStateService, now, controller);
                self.request(request.http_request(), *timeout_s);
            }
            Effect::CallCloud {
                request, timeout_s, ..
            } => {
                self.begin(RecordKind::ToCloud, now, controller);
                self.request(request.http_request(), *timeout_s);
            }
            Effect::CallWorker {
                endpoint,
                request,
                timeout_s,
                ..
            } => {
                self.begin(RecordKind::ToWorker, now, controller);
                self.bytes(endpoint.as_bytes());
                self.request(request.http_request(), *timeout_s);
            }
            Effect::BroadcastHeartbeat(heartbeat) => {
                self.begin(RecordKind::PeerHeartbeat, now, controller);
                self.bytes(
                    &peer::encode(heartbeat).expect("a peer heartbeat could not be encoded"),
                );
            }
        }
    }

    /// Records a response that a user receives to a request about its job.
    pub(super) fn user_answered(&mut self, now: f64, user: usize, status: u16, body: &[u8]) {
        self.begin(RecordKind::UserAnswered, now, user);
        self.number(u64::from(status));
        self.bytes(body);
    }

    /// Records a response that a user receives to an invalid request.
    pub(super) fn invalid_request_answered(&mut self, now: f64, status: u16) {
        self.begin(RecordKind::InvalidRequestAnswered, now, 0);
        self.number(u64::from(status));
    }

    /// Returns the hash of all records, in hexadecimal digits.
    pub fn hash(self) -> String {
        hexadecimal(&self.hasher.finalize())
    }

    /// Begins a record with its kind, the simulated time, and the index of the sending controller or of the user.
    fn begin(&mut self, kind: RecordKind, now: f64, source: usize) {
        *self.records.entry(kind).or_default() += 1;
        self.hasher.update([kind as u8]);
        self.number(now.to_bits());
        self.number(source as u64);
    }

    fn request(&mut self, (method, path, body): (&str, String, Vec<u8>), timeout_s: f64) {
        self.bytes(method.as_bytes());
        self.bytes(path.as_bytes());
        self.bytes(&body);
        self.number(timeout_s.to_bits());
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(number.to_le_bytes());
    }

    /// Adds the length of the bytes, then the bytes, so that different sequences of fields have different hashes.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }
}

/// Returns the SHA-256 hash of a text, in hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    hexadecimal(&Sha256::digest(text))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
