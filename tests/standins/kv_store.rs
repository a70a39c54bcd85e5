//! An in-memory implementation of the state service's protocol: keys with revisions, transactions with compares,
//! leases, and the changes that watches read. The simulated world and the test harness call it directly; the soak's
//! state service serves it over HTTP. It reads no clock: times are passed in, in seconds.

use cedarladder::protocol::kv::{KeyValue, KvResponse, Txn, WatchEvent, WriteOp};
use ciborium::Value;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct Entry {
    value: Value,
    mod_revision: u64,
    lease_id: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    ttl_s: f64,
    expires_at: f64,
}

/// The keys and leases of the state service. Each change gets the next revision, which all writes of a transaction
/// share.
#[derive(Debug)]
pub struct KvStore {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    /// The latest changes, oldest first, each with its revision.
    changes: VecDeque<(u64, WatchEvent)>,
    max_changes: usize,
    /// Changes up to and including this revision have been dropped.
    compacted_revision: u64,
}

impl KvStore {
    /// An empty store that keeps at most `max_changes` changes for watches.
    pub fn new(max_changes: usize) -> KvStore {
        KvStore {
            revision: 0,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease_id: 0,
            changes: VecDeque::new(),
            max_changes,
            compacted_revision: 0,
        }
    }

    /// Returns the revision of the latest change, 0 if there was none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns a key with its value and revision, or the response that the key does not exist.
    pub fn get(&self, key: &str) -> KvResponse {
        match self.keys.get(key) {
            Some(entry) => KvResponse::Value(key_value(key, entry)),
            None => KvResponse::NotFound,
        }
    }

    /// Lists up to `page_size` keys with a prefix, in their order. Begins after the key `after`, or with the first
    /// key if `after` is `None`.
    pub fn list(&self, prefix: &str, after: Option<&str>, page_size: usize) -> KvResponse {
        let is_listed =
            |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let mut items: Vec<KeyValue> = self
            .keys
            .iter()
            .filter(|(key, _)| is_listed(key))
            .take(page_size + 1)
            .map(|(key, entry)| key_value(key, entry))
            .collect();
        let more = items.len() > page_size;
        items.truncate(page_size);
        KvResponse::Page {
            items,
            more,
            revision: self.revision,
        }
    }

    /// Applies the writes of a transaction if all its compares hold, else returns the keys of those that failed. A
    /// transaction that puts a key with an unknown lease is rejected as an invalid request.
    pub fn transact(&mut self, txn: &Txn) -> KvResponse {
        let has_unknown_lease = txn.writes.iter().any(|write| {
            matches!(write, WriteOp::Put { lease_id: Some(id), .. } if !self.leases.contains_key(id))
        });
        if has_unknown_lease {
            return KvResponse::InvalidRequest;
        }
        let mod_revision = |key: &str| self.keys.get(key).map_or(0, |entry| entry.mod_revision);
        let failed: Vec<String> = txn
            .compares
            .iter()
            .filter(|compare| mod_revision(&compare.key) != compare.mod_revision)
            .map(|compare| compare.key.clone())
            .collect();
        if !failed.is_empty() {
            return KvResponse::CompareFailed(failed);
        }
        if !txn.writes.is_empty() {
            self.apply(&txn.writes);
        }
        KvResponse::Committed(self.revision)
    }

    /// Grants a lease that expires `ttl_ms` from now.
    pub fn grant_lease(&mut self, ttl_ms: u64, now: f64) -> KvResponse {
        self.last_lease_id += 1;
        let ttl_s = ttl_ms as f64 / 1000.0;
        let expires_at = now + ttl_s;
        let lease = Lease { ttl_s, expires_at };
        self.leases.insert(self.last_lease_id, lease);
        KvResponse::LeaseGranted(self.last_lease_id)
    }

    /// Extends a lease to its full time to live from now, if the lease exists.
    pub fn keep_alive(&mut self, lease_id: u64, now: f64) -> KvResponse {
        match self.leases.get_mut(&lease_id) {
            Some(lease) => {
                lease.expires_at = now + lease.ttl_s;
                KvResponse::LeaseOk
            }
            None => KvResponse::LeaseExpired,
        }
    }

    /// Removes a lease, if it exists, and deletes the keys that are attached to it.
    pub fn revoke_lease(&mut self, lease_id: u64) -> KvResponse {
        if self.leases.remove(&lease_id).is_none() {
            return KvResponse::LeaseExpired;
        }
        let attached: Vec<WriteOp> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.lease_id == Some(lease_id))
            .map(|(key, _)| WriteOp::delete(key.clone()))
            .collect();
        if !attached.is_empty() {
            self.apply(&attached);
        }
        KvResponse::LeaseOk
    }

    /// Extends all leases to their full time to live from now, as the state service does after an outage.
    pub fn extend_leases(&mut self, now: f64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl_s;
        }
    }

    /// Revokes the leases whose time to live has passed.
    pub fn expire_leases(&mut self, now: f64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now > lease.expires_at)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        for lease_id in expired {
            self.revoke_lease(lease_id);
        }
    }

    /// Returns the changes to keys with a prefix after a revision, possibly none, or `Compacted` if changes after
    /// that revision have been dropped.
    pub fn changes_after(&self, prefix: &str, revision: u64) -> KvResponse {
        if revision < self.compacted_revision {
            return KvResponse::Compacted;
        }
        let events = self
            .changes
            .iter()
            .filter(|(changed_at, event)| {
                *changed_at > revision && key_of(event).starts_with(prefix)
            })
            .map(|(_, event)| event.clone())
            .collect();
        KvResponse::Events {
            events,
            revision: self.revision,
        }
    }

    fn apply(&mut self, writes: &[WriteOp]) {
        self.revision += 1;
        for write in writes {
            if let Some(event) = self.write(write) {
                self.changes.push_back((self.revision, event));
            }
        }
        while self.changes.len() > self.max_changes {
            if let Some((revision, _)) = self.changes.pop_front() {
                self.compacted_revision = revision;
            }
        }
    }

    /// Puts or deletes a key, and returns the change for watches. Returns `None` if a key to be deleted does not exist.
    fn write(&mut self, write: &WriteOp) -> Option<WatchEvent> {
        let mod_revision = self.revision;
        match write {
            WriteOp::Put {
                key,
                value,
                lease_id,
            } => {
                let entry = Entry {
                    value: value.clone(),
                    mod_revision,
                    lease_id: *lease_id,
                };
                self.keys.insert(key.clone(), entry);
                Some(WatchEvent::Put {
                    key: key.clone(),
                    value: value.clone(),
                    mod_revision,
                })
            }
            WriteOp::Delete { key } => {
                self.keys.remove(key)?;
                let key = key.clone();
                Some(WatchEvent::Delete { key, mod_revision })
            }
        }
    }
}

fn key_value(key: &str, entry: &Entry) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: entry.value.clone(),
        mod_revision: entry.mod_revision,
        lease_id: entry.lease_id,
    }
}

fn key_of(event: &WatchEvent) -> &str {
    let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = event;
    key
}
