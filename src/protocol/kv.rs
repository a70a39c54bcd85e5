//! The state service's interface: a consensus-backed key-value store with transactions, leases and watches.
//!
//! Each change increments the revision of the store. A key's mod revision is the revision of its last change, and 0 if
//! the key does not exist. A transaction compares the mod revisions of some keys. If all compares hold, it executes all
//! of its writes, otherwise none. A key that is attached to a lease is deleted when the lease ends. A watch waits for
//! changes of keys with a prefix. A request whose response is lost may have been executed, or may be executed at any
//! later time.

use super::cbor;
use super::http_status::{self, UnusableResponse, decode_body};
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// Maximum number of bytes of a transaction as JSON.
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// The maximum number of compares in a transaction is this many times the maximum number of writes.
pub const COMPARES_PER_WRITE: usize = 4;
/// Number of keys in a page of a listing.
pub const PAGE_SIZE: u32 = 1000;

/// A condition of a transaction: the key has this mod revision, where 0 means that the key does not exist.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Compare {
    /// The key whose mod revision is compared.
    #[serde(rename = "Path")]
    pub key: String,
    /// The mod revision that the key must have; 0 if the key must not exist.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
}

impl Compare {
    /// The condition that the key has this mod revision.
    pub fn new(key: impl Into<String>, mod_revision: u64) -> Compare {
        Compare {
            key: key.into(),
            mod_revision,
        }
    }
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Put a value, which creates the key or replaces its value.
    Put {
        /// The key to put.
        #[serde(rename = "Set")]
        key: String,
        /// The new value.
        #[serde(rename = "V")]
        value: Value,
        /// Lease to attach the key to; with `None` the key stays until it is deleted.
        #[serde(rename = "Hold", skip_serializing_if = "Option::is_none", default)]
        lease_id: Option<u64>,
    },
    /// Delete a key with its value.
    Delete {
        /// The key to delete.
        #[serde(rename = "Remove")]
        key: String,
    },
}

impl WriteOp {
    /// The write that puts a record under a key that is not attached to a lease.
    pub fn put<T: Serialize>(key: impl Into<String>, value: &T) -> WriteOp {
        WriteOp::Put {
            key: key.into(),
            value: cbor::to_value(value),
            lease_id: None,
        }
    }
    /// The write that deletes a key.
    pub fn delete(key: impl Into<String>) -> WriteOp {
        WriteOp::Delete { key: key.into() }
    }
    /// Upper bound of the number of bytes of the write as JSON, the form in which the protocol counts the size of a
    /// transaction.
    pub fn json_size(&self) -> usize {
        match self {
            WriteOp::Put { key, value, .. } => key.len() + 48 + cbor::json_size(value),
            WriteOp::Delete { key } => key.len() + 16,
        }
    }
}

/// A transaction: writes that are executed together, under conditions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold for the writes to be executed.
    #[serde(rename = "When", default)]
    pub compares: Vec<Compare>,
    /// Writes to execute if the conditions hold; empty if the transaction only compares.
    #[serde(rename = "Writes", default)]
    pub writes: Vec<WriteOp>,
}

/// A key with its value and mod revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key as text, such as `open/j-000412`.
    #[serde(rename = "Path")]
    pub key: String,
    /// The value that the key had when it was read.
    #[serde(rename = "V")]
    pub value: Value,
    /// Revision of the key's last change.
    #[serde(rename = "Stamp")]
    pub mod_revision: u64,
    /// Lease that the key is attached to; `None` if it is not attached to any.
    #[serde(rename = "Hold", default)]
    pub lease_id: Option<u64>,
}

/// A change that a watch reports.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(untagged)]
pub enum WatchEvent {
    /// A key was put.
    Put {
        /// The key that was put.
        #[serde(rename = "Set")]
        key: String,
        /// The new value.
        #[serde(rename = "V")]
        value: Value,
        /// Revision of the put.
        #[serde(rename = "Stamp")]
        mod_revision: u64,
    },
    /// A key was deleted.
    Delete {
        /// The key that was deleted.
        #[serde(rename = "Remove")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "Stamp")]
        mod_revision: u64,
    },
}

#[derive(Deserialize)]
struct CommittedBody {
    #[serde(rename = "Ledger")]
    revision: u64,
}

#[derive(Deserialize)]
struct CompareFailedBody {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct PageBody {
    #[serde(rename = "Items", default)]
    items: Vec<KeyValue>,
    #[serde(rename = "More", default)]
    more: bool,
    #[serde(rename = "Ledger")]
    revision: u64,
}

#[derive(Deserialize)]
struct EventsBody {
    #[serde(rename = "Ledger")]
    revision: u64,
    #[serde(rename = "Events", default)]
    events: Vec<WatchEvent>,
}

#[derive(Serialize, Deserialize)]
struct LeaseBody {
    #[serde(rename = "Hold")]
    lease_id: u64,
}

#[derive(Serialize)]
struct GrantLeaseBody {
    #[serde(rename = "LifeMs")]
    ttl_ms: u64,
}

/// A request to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum KvRequest {
    /// Read a key.
    Get(String),
    /// Read a page of the keys with a prefix.
    List {
        /// Prefix of the keys to read.
        prefix: String,
        /// Key after which the page starts; `None` for the first page.
        after: Option<String>,
    },
    /// Execute a transaction.
    Txn(Txn),
    /// Grant a lease that expires after this many milliseconds.
    GrantLease(u64),
    /// Renew the lease with this id.
    KeepAlive(u64),
    /// End the lease with this id, and delete the keys attached to it.
    RevokeLease(u64),
    /// Wait for changes of keys with a prefix.
    Watch {
        /// Prefix of the keys whose changes are reported.
        prefix: String,
        /// Report changes after this revision.
        after: u64,
        /// Maximum time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// The outcome of a request to the state service.
#[derive(Debug, Clone)]
pub enum KvResponse {
    /// The requested key with its value.
    Value(KeyValue),
    /// The key does not exist.
    NotFound,
    /// A page of keys.
    Page {
        /// The keys with their values, in the order of the keys.
        items: Vec<KeyValue>,
        /// Whether more pages follow.
        more: bool,
        /// The revision of the store at which the page was read.
        revision: u64,
    },
    /// The transaction was committed at this revision.
    Committed(u64),
    /// The transaction was not committed: the compares of these keys do not hold.
    CompareFailed(Vec<String>),
    /// The id of the new lease.
    LeaseGranted(u64),
    /// The lease was renewed or ended, as requested.
    LeaseOk,
    /// The lease to renew or to end does not exist any more.
    LeaseExpired,
    /// The store no longer has the changes after the requested revision: the keys must be listed again.
    Compacted,
    /// Changes of keys with the prefix.
    Events {
        /// The changes, in the order of their revisions.
        events: Vec<WatchEvent>,
        /// The revision up to which all changes have been reported.
        revision: u64,
    },
    /// Not executed: the rate limit is exceeded.
    RateLimited,
    /// Not executed: the state service has an outage, or rejects this controller.
    Unavailable,
    /// Not executed: the request is malformed, or writes with an expired lease.
    InvalidRequest,
    /// There was no usable response; the request may be executed at any later time.
    OutcomeUnknown,
}

impl KvRequest {
    /// Method, path and body of the HTTP request.
    pub fn http_request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            KvRequest::Get(key) => ("GET", format!("/keys/{key}"), Vec::new()),
            KvRequest::List { prefix, after } => {
                let from = after
                    .as_ref()
                    .map(|key| format!("&From={key}"))
                    .unwrap_or_default();
                (
                    "GET",
                    format!("/keys?Under={prefix}{from}&Page={PAGE_SIZE}"),
                    Vec::new(),
                )
            }
            KvRequest::Txn(txn) => ("POST", "/txn".to_owned(), cbor::encode(txn)),
            KvRequest::GrantLease(ttl_ms) => (
                "POST",
                "/holds".to_owned(),
                cbor::encode(&GrantLeaseBody { ttl_ms: *ttl_ms }),
            ),
            KvRequest::KeepAlive(lease_id) => {
                ("POST", format!("/holds/{lease_id}/renew"), Vec::new())
            }
            KvRequest::RevokeLease(lease_id) => {
                ("DELETE", format!("/holds/{lease_id}"), Vec::new())
            }
            KvRequest::Watch {
                prefix,
                after,
                wait_ms,
            } => (
                "GET",
                format!("/follow?Under={prefix}&From={after}&WaitMs={wait_ms}"),
                Vec::new(),
            ),
        }
    }

    /// Interprets the status and body of the response to this request. If the response is unusable, the outcome of the
    /// request is unknown.
    pub fn response(&self, status: u16, body: &[u8]) -> KvResponse {
        self.parse_response(status, body)
            .unwrap_or(KvResponse::OutcomeUnknown)
    }

    fn parse_response(&self, status: u16, body: &[u8]) -> Result<KvResponse, UnusableResponse> {
        match status {
            http_status::TOO_MANY_REQUESTS => return Ok(KvResponse::RateLimited),
            http_status::SERVICE_UNAVAILABLE => return Ok(KvResponse::Unavailable),
            http_status::BAD_REQUEST => return Ok(KvResponse::InvalidRequest),
            _ => {}
        }
        match (self, status) {
            (KvRequest::Get(_), http_status::OK) => decode_body(body, KvResponse::Value),
            (KvRequest::Get(_), http_status::NOT_FOUND) => Ok(KvResponse::NotFound),
            (KvRequest::List { .. }, http_status::OK) => {
                decode_body(body, |page: PageBody| KvResponse::Page {
                    items: page.items,
                    more: page.more,
                    revision: page.revision,
                })
            }
            (KvRequest::Txn(_), http_status::OK) => decode_body(body, |body: CommittedBody| {
                KvResponse::Committed(body.revision)
            }),
            (KvRequest::Txn(_), http_status::CONFLICT) => {
                decode_body(body, |body: CompareFailedBody| {
                    KvResponse::CompareFailed(body.failed)
                })
            }
            (KvRequest::GrantLease(_), http_status::OK) => decode_body(body, |body: LeaseBody| {
                KvResponse::LeaseGranted(body.lease_id)
            }),
            (KvRequest::KeepAlive(_) | KvRequest::RevokeLease(_), 200..=299) => {
                Ok(KvResponse::LeaseOk)
            }
            (KvRequest::KeepAlive(_) | KvRequest::RevokeLease(_), http_status::NOT_FOUND) => {
                Ok(KvResponse::LeaseExpired)
            }
            (KvRequest::Watch { .. }, http_status::OK) => {
                decode_body(body, |body: EventsBody| KvResponse::Events {
                    events: body.events,
                    revision: body.revision,
                })
            }
            (KvRequest::Watch { .. }, http_status::GONE) => Ok(KvResponse::Compacted),
            _ => Err(UnusableResponse::UnexpectedStatus(status)),
        }
    }
}
