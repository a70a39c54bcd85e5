//! The state service's interface.

use super::cbor;
use ciborium::Value;
use serde::{Deserialize, Serialize};

/// The most a transaction may hold in all, counted as JSON.
pub const TXN_BYTES: usize = 64 * 1024;
/// Conditions per write that a transaction may have.
pub const CONDITIONS_PER_OP: usize = 4;
/// Items in a page of keys.
pub const PAGE: u32 = 1000;

/// A condition of a transaction: the key has this version (0: it does not exist).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key.
    #[serde(rename = "Path")]
    pub key: String,
    /// Version.
    #[serde(rename = "Stamp")]
    pub stamp: u64,
}

impl Condition {
    /// The key has this version.
    pub fn new(key: impl Into<String>, stamp: u64) -> Condition {
        Condition {
            key: key.into(),
            stamp,
        }
    }
}

/// A change in a transaction.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
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

impl Write {
    /// Puts one of our own types.
    pub fn set<T: Serialize>(key: impl Into<String>, value: &T) -> Write {
        Write::Set {
            key: key.into(),
            value: cbor::to_value(value),
            hold: None,
        }
    }
    /// Deletes a key.
    pub fn remove(key: impl Into<String>) -> Write {
        Write::Remove { key: key.into() }
    }
    /// Size as the protocol counts it.
    pub fn json_size(&self) -> usize {
        match self {
            Write::Set { key, value, .. } => key.len() + 48 + cbor::json_size(value),
            Write::Remove { key } => key.len() + 16,
        }
    }
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions.
    #[serde(rename = "When", default)]
    pub when: Vec<Condition>,
    /// Changes.
    #[serde(rename = "Writes", default)]
    pub writes: Vec<Write>,
}

/// A key with its value and version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
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
pub enum Event {
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
    items: Vec<Item>,
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
    events: Vec<Event>,
}

#[derive(Serialize, Deserialize)]
struct HoldBody {
    #[serde(rename = "Hold")]
    hold: u64,
}

#[derive(Serialize)]
struct Life {
    #[serde(rename = "LifeMs")]
    life_ms: u64,
}

/// A call to the state service.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreCall {
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
pub enum StoreReply {
    /// The key.
    Found(Item),
    /// The key does not exist.
    Missing,
    /// A page of keys, whether more follow, and the revision.
    Page(Vec<Item>, bool, u64),
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
    Events(Vec<Event>, u64),
    /// Over the rate limit; not executed.
    Busy,
    /// Not executed.
    Refused,
    /// Malformed, says the service.
    Bad,
    /// No usable answer; the call may be executed at any later time.
    Silent,
}

impl StoreCall {
    /// Method, path and body.
    pub fn request(&self) -> (&'static str, String, Vec<u8>) {
        match self {
            StoreCall::Get(key) => ("GET", format!("/keys/{key}"), Vec::new()),
            StoreCall::List { under, from } => {
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
            StoreCall::Txn(txn) => ("POST", "/txn".to_owned(), cbor::encode(txn)),
            StoreCall::Grant(life_ms) => (
                "POST",
                "/holds".to_owned(),
                cbor::encode(&Life { life_ms: *life_ms }),
            ),
            StoreCall::Renew(hold) => ("POST", format!("/holds/{hold}/renew"), Vec::new()),
            StoreCall::Drop(hold) => ("DELETE", format!("/holds/{hold}"), Vec::new()),
            StoreCall::Follow {
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
    pub fn reply(&self, status: u16, body: &[u8]) -> StoreReply {
        match status {
            429 => return StoreReply::Busy,
            503 => return StoreReply::Refused,
            400 => return StoreReply::Bad,
            _ => {}
        }
        self.read(status, body).unwrap_or(StoreReply::Silent)
    }

    fn read(&self, status: u16, body: &[u8]) -> Option<StoreReply> {
        Some(match (self, status) {
            (StoreCall::Get(_), 200) => StoreReply::Found(cbor::decode(body).ok()?),
            (StoreCall::Get(_), 404) => StoreReply::Missing,
            (StoreCall::List { .. }, 200) => {
                let page: ItemPage = cbor::decode(body).ok()?;
                StoreReply::Page(page.items, page.more, page.ledger)
            }
            (StoreCall::Txn(_), 200) => {
                StoreReply::Committed(cbor::decode::<Revision>(body).ok()?.ledger)
            }
            (StoreCall::Txn(_), 409) => {
                StoreReply::Conflict(cbor::decode::<Failed>(body).ok()?.failed)
            }
            (StoreCall::Grant(_), 200) => {
                StoreReply::Granted(cbor::decode::<HoldBody>(body).ok()?.hold)
            }
            (StoreCall::Renew(_) | StoreCall::Drop(_), 200..=299) => StoreReply::Ok,
            (StoreCall::Renew(_) | StoreCall::Drop(_), 404) => StoreReply::Gone,
            (StoreCall::Follow { .. }, 200) => {
                let page: Events = cbor::decode(body).ok()?;
                StoreReply::Events(page.events, page.ledger)
            }
            (StoreCall::Follow { .. }, 410) => StoreReply::Gone,
            _ => return None,
        })
    }
}
