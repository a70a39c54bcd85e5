//! The state service's interface.

use super::cbor;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// The most a transaction may hold in all, counted as JSON.
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// Conditions per write that a transaction may have.
pub const COMPARES_PER_WRITE: usize = 4;
/// Items in a page of keys.
pub const PAGE: u32 = 1000;

/// A condition of a transaction: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Version.
    #[serde(rename = "Stamp")]
    pub stamp: u64,
}

impl Compare {
    /// The key has this version.
    pub fn new(key: impl Into<String>, stamp: u64) -> Compare {
        Compare {
            key: key.into(),
            stamp,
        }
    }
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Put a value, attached to a lease or not.
    Set {
        /// Key.
        #[serde(rename = "Set")]
        key: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease.
        #[serde(rename = "Hold", skip_serializing_if = "Option::is_none", default)]
        hold: Option<u64>,
    },
    /// Delete a key.
    Remove {
        /// Key.
        #[serde(rename = "Remove")]
        key: String,
    },
}

impl WriteOp {
    /// Puts one of our own types.
    pub fn set<T: Serialize>(key: impl Into<String>, value: &T) -> WriteOp {
        WriteOp::Set {
            key: key.into(),
            value: cbor::to_value(value),
            hold: None,
        }
    }
    /// Deletes a key.
    pub fn remove(key: impl Into<String>) -> WriteOp {
        WriteOp::Remove { key: key.into() }
    }
    /// Size as the protocol counts it.
    pub fn json_size(&self) -> usize {
        match self {
            WriteOp::Set { key, value, .. } => key.len() + 48 + cbor::json_size(value),
            WriteOp::Remove { key } => key.len() + 16,
        }
    }
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "When", default)]
    pub when: Vec<Compare>,
    /// Changes.
    #[serde(rename = "Writes", default)]
    pub writes: Vec<WriteOp>,
}

/// A key with its value and version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Value.
    #[serde(rename = "V")]
    pub value: Value,
    /// Version.
    #[serde(rename = "Stamp")]
    pub stamp: u64,
    /// Lease.
    #[serde(rename = "Hold", default)]
    pub hold: Option<u64>,
}

/// A change seen by a watch.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was put.
    Set {
        /// Key.
        #[serde(rename = "Set")]
        key: String,
        /// Value.
        #[serde(rename = "V")]
        value: Value,
        /// Version.
        #[serde(rename = "Stamp")]
        stamp: u64,
    },
    /// A key was deleted.
    Remove {
        /// Key.
        #[serde(rename = "Remove")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "Stamp")]
        stamp: u64,
    },
}

#[derive(Deserialize)]
struct Revision {
    #[serde(rename = "Ledger")]
    ledger: u64,
}

#[derive(Deserialize)]
struct Failed {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct ItemPage {
    #[serde(rename = "Items", default)]
    items: Vec<KeyValue>,
    #[serde(rename = "More", default)]
    more: bool,
    #[serde(rename = "Ledger")]
    ledger: u64,
}

#[derive(Deserialize)]
struct Events {
    #[serde(rename = "Ledger")]
    ledger: u64,
    #[serde(rename = "Events", default)]
    events: Vec<WatchEvent>,
}

#[derive(Serialize, Deserialize)]
struct LeaseBody {
    #[serde(rename = "Hold")]
    hold: u64,
}

#[derive(Serialize)]
struct GrantLeaseBody {
    #[serde(rename = "LifeMs")]
    life_ms: u64,
}

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Read a key.
    Get(String),
    /// Read a page of keys under a prefix, after a key.
    List {
        /// Prefix.
        under: String,
        /// Key after which the page starts.
        from: Option<String>,
    },
    /// Compare and change.
    Txn(Txn),
    /// New lease, in milliseconds.
    Grant(u64),
    /// Renew a lease.
    Renew(u64),
    /// End a lease.
    Drop(u64),
    /// Wait for changes under a prefix.
    Follow {
        /// Prefix.
        under: String,
        /// Revision already known.
        from: u64,
        /// Longest wait.
        wait_ms: u64,
    },
}

/// What came of a call to the state service.
#[derive(Debug, Clone)]
pub enum KvResponse {
    /// The key.
    Found(KeyValue),
    /// The key does not exist.
    Missing,
    /// A page of keys, whether more follow, and the revision.
    Page(Vec<KeyValue>, bool, u64),
    /// Committed at a revision.
    Committed(u64),
    /// Conditions that do not hold.
    Conflict(Vec<String>),
    /// The new lease.
    Granted(u64),
    /// The lease was renewed or ended.
    Ok,
    /// The lease has ended, or the watched revision is too old.
    Gone,
    /// Changes and the revision they lead to.
    Events(Vec<WatchEvent>, u64),
    /// Over the rate limit; not executed.
    Busy,
    /// Not executed.
    Refused,
    /// Malformed, says the service.
    Bad,
    /// No usable answer; the call may be executed at any later time.
    Silent,
}

impl KvRequest {
    /// Method, path and body.
    pub fn request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            KvRequest::Get(key) => ("GET", format!("/keys/{key}"), Vec::new()),
            KvRequest::List { under, from } => {
                let from = from
                    .as_ref()
                    .map(|key| format!("&From={key}"))
                    .unwrap_or_default();
                (
                    "GET",
                    format!("/keys?Under={under}{from}&Page={PAGE}"),
                    Vec::new(),
                )
            }
            KvRequest::Txn(txn) => ("POST", "/txn".to_owned(), cbor::encode(txn)),
            KvRequest::Grant(life_ms) => (
                "POST",
                "/holds".to_owned(),
                cbor::encode(&GrantLeaseBody { life_ms: *life_ms }),
            ),
            KvRequest::Renew(hold) => ("POST", format!("/holds/{hold}/renew"), Vec::new()),
            KvRequest::Drop(hold) => ("DELETE", format!("/holds/{hold}"), Vec::new()),
            KvRequest::Follow {
                under,
                from,
                wait_ms,
            } => (
                "GET",
                format!("/follow?Under={under}&From={from}&WaitMs={wait_ms}"),
                Vec::new(),
            ),
        }
    }

    /// Reads the answer.
    pub fn reply(&self, status: u16, body: &[u8]) -> KvResponse {
        match status {
            429 => return KvResponse::Busy,
            503 => return KvResponse::Refused,
            400 => return KvResponse::Bad,
            _ => {}
        }
        self.read(status, body).unwrap_or(KvResponse::Silent)
    }

    fn read(&self, status: u16, body: &[u8]) -> Option<KvResponse> {
        Some(match (self, status) {
            (KvRequest::Get(_), 200) => KvResponse::Found(cbor::decode(body).ok()?),
            (KvRequest::Get(_), 404) => KvResponse::Missing,
            (KvRequest::List { .. }, 200) => {
                let page: ItemPage = cbor::decode(body).ok()?;
                KvResponse::Page(page.items, page.more, page.ledger)
            }
            (KvRequest::Txn(_), 200) => {
                KvResponse::Committed(cbor::decode::<Revision>(body).ok()?.ledger)
            }
            (KvRequest::Txn(_), 409) => {
                KvResponse::Conflict(cbor::decode::<Failed>(body).ok()?.failed)
            }
            (KvRequest::Grant(_), 200) => {
                KvResponse::Granted(cbor::decode::<LeaseBody>(body).ok()?.hold)
            }
            (KvRequest::Renew(_) | KvRequest::Drop(_), 200..=299) => KvResponse::Ok,
            (KvRequest::Renew(_) | KvRequest::Drop(_), 404) => KvResponse::Gone,
            (KvRequest::Follow { .. }, 200) => {
                let page: Events = cbor::decode(body).ok()?;
                KvResponse::Events(page.events, page.ledger)
            }
            (KvRequest::Follow { .. }, 410) => KvResponse::Gone,
            _ => return None,
        })
    }
}
