//! The state service.

use super::*;
use cedarladder::bookkeeping::records::OPEN_PREFIX;

#[derive(Default)]
pub(super) struct KvService {
    pub(super) revision: u64,
    pub(super) keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub(super) leases: BTreeMap<u64, (f64, f64)>,
    pub(super) next_lease: u64,
    pub(super) log: Vec<(u64, WatchEvent)>,
    pub(super) watches: Vec<(usize, u64, u64, String, u64, f64)>,
    pub(super) is_down: bool,
}

impl KvService {
    pub(super) fn change(&mut self, writes: &[WriteOp]) -> u64 {
        self.revision += 1;
        let mod_revision = self.revision;
        for write in writes {
            match write {
                WriteOp::Put {
                    key,
                    value,
                    lease_id: lease_id,
                } => {
                    self.keys
                        .insert(key.clone(), (value.clone(), mod_revision, *lease_id));
                    let event = WatchEvent::Put {
                        key: key.clone(),
                        value: value.clone(),
                        mod_revision,
                    };
                    self.log.push((mod_revision, event));
                }
                WriteOp::Delete { key } => {
                    if self.keys.remove(key).is_some() {
                        self.log.push((
                            mod_revision,
                            WatchEvent::Delete {
                                key: key.clone(),
                                mod_revision,
                            },
                        ));
                    }
                }
            }
        }
        mod_revision
    }

    pub(super) fn txn(&mut self, txn: &Txn) -> KvResponse {
        for write in &txn.writes {
            if let WriteOp::Put {
                lease_id: Some(lease_id),
                ..
            } = write
                && !self.leases.contains_key(lease_id)
            {
                return KvResponse::InvalidRequest;
            }
        }
        let stamp_of = |key: &String| {
            self.keys
                .get(key)
                .map_or(0, |(_, mod_revision, _)| *mod_revision)
        };
        let failed: Vec<String> = txn
            .compares
            .iter()
            .filter(|c| stamp_of(&c.key) != c.mod_revision)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return KvResponse::CompareFailed(failed);
        }
        if txn.writes.is_empty() {
            return KvResponse::Committed(self.revision);
        }
        KvResponse::Committed(self.change(&txn.writes))
    }

    pub(super) fn revoke_lease(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        let keys: Vec<WriteOp> = self
            .keys
            .iter()
            .filter(|(_, (_, _, h))| *h == Some(lease_id))
            .map(|(key, _)| WriteOp::delete(key.clone()))
            .collect();
        if !keys.is_empty() {
            self.change(&keys);
        }
    }

    pub(super) fn expire(&mut self, now: f64) {
        if self.is_down {
            return;
        }
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| now > *until)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        for lease_id in over {
            self.revoke_lease(lease_id);
        }
    }

    /// How often a key was put.
    pub(super) fn puts_of(&self, wanted: &str) -> usize {
        let put =
            |event: &WatchEvent| matches!(event, WatchEvent::Put { key, .. } if key == wanted);
        self.log.iter().filter(|(_, event)| put(event)).count()
    }

    pub(super) fn events(&self, prefix: &str, from: u64) -> Vec<WatchEvent> {
        self.log
            .iter()
            .filter(|(mod_revision, event)| {
                let (WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. }) = event;
                *mod_revision > from && key.starts_with(prefix)
            })
            .map(|(_, event)| event.clone())
            .collect()
    }

    pub(super) fn call(&mut self, call: &KvRequest, now: f64) -> KvResponse {
        if self.is_down {
            return KvResponse::Unavailable;
        }
        match call {
            KvRequest::Get(key) => match self.keys.get(key) {
                Some((value, mod_revision, lease_id)) => KvResponse::Value(KeyValue {
                    key: key.clone(),
                    value: value.clone(),
                    mod_revision: *mod_revision,
                    lease_id: *lease_id,
                }),
                None => KvResponse::NotFound,
            },
            KvRequest::List {
                prefix: prefix,
                after: from,
            } => {
                // Pages of three, so that paging is used.
                let mut items: Vec<KeyValue> = self
                    .keys
                    .iter()
                    .filter(|(key, _)| {
                        key.starts_with(prefix.as_str()) && from.as_ref().is_none_or(|f| *key > f)
                    })
                    .map(|(key, (value, mod_revision, lease_id))| KeyValue {
                        key: key.clone(),
                        value: value.clone(),
                        mod_revision: *mod_revision,
                        lease_id: *lease_id,
                    })
                    .collect();
                let more = items.len() > 3;
                items.truncate(3);
                KvResponse::Page {
                    items,
                    more,
                    revision: self.revision,
                }
            }
            KvRequest::Txn(txn) => self.txn(txn),
            KvRequest::GrantLease(life_ms) => {
                self.next_lease += 1;
                let life_s = *life_ms as f64 / 1000.0;
                self.leases.insert(self.next_lease, (now + life_s, life_s));
                KvResponse::LeaseGranted(self.next_lease)
            }
            KvRequest::KeepAlive(lease_id) => match self.leases.get_mut(lease_id) {
                Some((until, life_s)) => {
                    *until = now + *life_s;
                    KvResponse::LeaseOk
                }
                None => KvResponse::LeaseExpired,
            },
            KvRequest::RevokeLease(lease_id) => {
                self.revoke_lease(*lease_id);
                KvResponse::LeaseOk
            }
            KvRequest::Watch { .. } => unreachable!("follows are held by the world"),
        }
    }
}

impl World {
    pub(super) fn on_kv_request(
        &mut self,
        i: usize,
        process_incarnation: u64,
        correlation_id: u64,
        call: KvRequest,
    ) {
        if self.now < self.rejected_until[i] {
            self.after(
                0.003,
                SimEvent::KvResponseArrives(
                    i,
                    process_incarnation,
                    correlation_id,
                    KvResponse::Unavailable,
                ),
            );
            return;
        }
        if let KvRequest::Watch {
            prefix: prefix,
            after: from,
            wait_ms,
        } = call
        {
            if self.process_incarnations[i] == process_incarnation {
                let until = self.now + wait_ms as f64 / 1000.0;
                self.kv.watches.push((
                    i,
                    process_incarnation,
                    correlation_id,
                    prefix,
                    from,
                    until,
                ));
            }
            return;
        }
        if self.now < self.listings_hang_until && matches!(call, KvRequest::List { .. }) {
            return;
        }
        let reply = self.kv.call(&call, self.now);
        if let (KvRequest::Txn(txn), KvResponse::Committed(_)) = (&call, &reply)
            && !txn.writes.is_empty()
        {
            let newest = self.newest_txn.entry(i).or_default();
            self.counts.overtaken_txns += u32::from(correlation_id < *newest);
            *newest = correlation_id.max(*newest);
        }
        self.deliver(
            0.003 + self.faults.state_service_delay_s,
            SimEvent::KvResponseArrives(i, process_incarnation, correlation_id, reply),
        );
    }

    pub(super) fn answer_watches(&mut self) {
        if self.kv.is_down {
            return;
        }
        let mut kept = Vec::new();
        for follow in std::mem::take(&mut self.kv.watches) {
            let (i, process_incarnation, correlation_id, prefix, from, until) = &follow;
            let waits = self.now < self.rejected_until[*i]
                || (prefix == OPEN_PREFIX && self.now < self.watch_hangs_until[*i]);
            if waits {
                kept.push(follow);
                continue;
            }
            let events = self.kv.events(prefix, *from);
            if events.is_empty() && self.now < *until {
                kept.push(follow);
            } else {
                let reply = KvResponse::Events {
                    events,
                    revision: self.kv.revision,
                };
                self.after(
                    0.003,
                    SimEvent::KvResponseArrives(*i, *process_incarnation, *correlation_id, reply),
                );
            }
        }
        self.kv.watches = kept;
    }
}
