//! Takes down all that leaves the controllers, and all that users are told, as one hash.
//!
//! Only bytes as on the wire and explicit numbers go into it, so that it stays the same when types, fields
//! or functions get other names.

use super::*;
use cedarladder::protocol::peer;
use sha2::{Digest as _, Sha256};

/// What a record is about; the numbers are part of the hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum RecordKind {
    /// A request to the state service.
    ToStateService = 1,
    /// A request to the cloud.
    ToCloud = 2,
    /// A direct command to a worker.
    ToWorker = 3,
    /// An answer to a user or a worker.
    Answer = 4,
    /// A heartbeat to the other controllers.
    PeerHeartbeat = 5,
    /// An answer that has reached its user, or the end of the user's patience.
    UserAnswered = 6,
    /// The same for a request that can't be taken.
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

/// Records of one world, in the order in which things happened.
#[derive(Default)]
pub struct Recorder {
    hasher: Sha256,
    /// How many records there are of each kind.
    pub records: BTreeMap<RecordKind, u64>,
}

impl Recorder {
    /// An action of a controller, at the moment at which the world carries it out.
    pub(super) fn sent(&mut self, now: f64, controller: usize, action: &Effect) {
        match action {
            Effect::Respond {
                request_id: to,
                status,
                body,
                retry_after_s,
            } => {
                self.begin(RecordKind::Answer, now, controller);
                self.number(*to);
                self.number(u64::from(*status));
                self.bytes(body);
                self.bytes(&retry_after_s.map_or(Vec::new(), |s| s.to_le_bytes().to_vec()));
            }
            Effect::CallKv {
                request: call,
                timeout_s: within_s,
                ..
            } => {
                self.begin(RecordKind::ToStateService, now, controller);
                self.request(call.http_request(), *within_s);
            }
            Effect::CallCloud {
                request: call,
                timeout_s: within_s,
                ..
            } => {
                self.begin(RecordKind::ToCloud, now, controller);
                self.request(call.http_request(), *within_s);
            }
            Effect::CallWorker {
                endpoint,
                request: call,
                timeout_s: within_s,
                ..
            } => {
                self.begin(RecordKind::ToWorker, now, controller);
                self.bytes(endpoint.as_bytes());
                self.request(call.http_request(), *within_s);
            }
            Effect::BroadcastHeartbeat(heartbeat) => {
                self.begin(RecordKind::PeerHeartbeat, now, controller);
                self.bytes(&peer::encode(heartbeat).expect("encodes"));
            }
        }
    }

    /// What a user is told about its job.
    pub(super) fn user_answered(&mut self, now: f64, user: usize, status: u16, body: &[u8]) {
        self.begin(RecordKind::UserAnswered, now, user);
        self.number(u64::from(status));
        self.bytes(body);
    }

    /// What a user is told who asked for what can't be taken.
    pub(super) fn invalid_request_answered(&mut self, now: f64, status: u16) {
        self.begin(RecordKind::InvalidRequestAnswered, now, 0);
        self.number(u64::from(status));
    }

    /// The hash of all records, in hexadecimal digits.
    pub fn hash(self) -> String {
        hexadecimal(&self.hasher.finalize())
    }

    /// Begins a record: its kind, the simulated time, and the number of the controller or user.
    fn begin(&mut self, kind: RecordKind, now: f64, of: usize) {
        *self.records.entry(kind).or_default() += 1;
        self.hasher.update([kind as u8]);
        self.number(now.to_bits());
        self.number(of as u64);
    }

    fn request(&mut self, (method, path, body): (&str, String, Vec<u8>), within_s: f64) {
        self.bytes(method.as_bytes());
        self.bytes(path.as_bytes());
        self.bytes(&body);
        self.number(within_s.to_bits());
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(number.to_le_bytes());
    }

    /// Bytes behind their length, so that neighbours can't be mistaken for one another.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }
}

/// The SHA-256 hash of a text, in hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    hexadecimal(&Sha256::digest(text))
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
