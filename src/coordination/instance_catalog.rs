//! The instance types, as the cloud tells them and as the state service keeps them for controllers that start while
//! the cloud is out.

use super::effects::{CloudRequestContext, Effects, KvRequestContext};
use crate::bookkeeping::records;
use crate::protocol::cbor;
use crate::protocol::cloud::{CloudRequest, CloudResponse, InstanceType};
use crate::protocol::kv::{Compare, KeyValue, KvRequest, KvResponse, Txn, WriteOp};
use crate::settings::WorkerSettings;
use std::rc::Rc;

/// Leases between two questions to the cloud that was answered.
const LEASES_PER_CATALOG_REFRESH: f64 = 2.0;
/// Heartbeat intervals in which a call must be answered.
const REQUEST_TIMEOUT_HEARTBEATS: f64 = 2.0;

/// What is known of the instance types.
#[derive(Debug)]
pub struct InstanceCatalog {
    lease_s: f64,
    heartbeat_interval_s: f64,
    instance_types: Option<Rc<Vec<InstanceType>>>,
    /// What the state service keeps, as far as known.
    stored: Option<Rc<Vec<InstanceType>>>,
    /// What a put in flight writes.
    being_stored: Option<Rc<Vec<InstanceType>>>,
    refresh_at: f64,
    /// What the state service keeps has been read, or is certainly missing.
    stored_read: bool,
}

impl InstanceCatalog {
    /// Nothing is known yet.
    pub fn new(worker_settings: &WorkerSettings) -> InstanceCatalog {
        InstanceCatalog {
            lease_s: worker_settings.lease_s,
            heartbeat_interval_s: worker_settings.heartbeat_interval_s,
            instance_types: None,
            stored: None,
            being_stored: None,
            refresh_at: 0.0,
            stored_read: false,
        }
    }

    /// The instance types, once they are known.
    pub fn instance_types(&self) -> Option<&Rc<Vec<InstanceType>>> {
        self.instance_types.as_ref()
    }

    /// Asks the cloud if it is time, and reads the types in the state service, or keeps them there if this
    /// controller leads with an epoch.
    pub fn poll(&mut self, epoch: Option<u64>, effects: &mut Effects, now: f64) {
        if now < self.refresh_at {
            return;
        }
        self.refresh_at = now + self.lease_s;
        let within_s = self.heartbeat_interval_s * REQUEST_TIMEOUT_HEARTBEATS;
        effects.call_cloud(
            CloudRequestContext::ListInstanceTypes,
            CloudRequest::ListInstanceTypes,
            within_s,
        );
        if !self.stored_read {
            let call = KvRequest::Get(records::INSTANCE_CATALOG_KEY.to_owned());
            effects.call_kv(KvRequestContext::InstanceCatalog, call, within_s, now);
        } else if let Some(epoch) = epoch {
            self.store_types(epoch, within_s, effects, now);
        }
    }

    /// Keeps the types in the state service, unless that has the same. The put may arrive late: it compares
    /// the leader's key, so that it replaces nothing that a successor has put.
    fn store_types(&mut self, epoch: u64, within_s: f64, effects: &mut Effects, now: f64) {
        let Some(instance_types) = &self.instance_types else {
            return;
        };
        let kept = self.stored.as_ref();
        if kept.is_some_and(|kept| same_types(kept, instance_types)) {
            return;
        }
        let txn = Txn {
            compares: vec![Compare::new(records::LEADER_KEY, epoch)],
            writes: vec![WriteOp::put(
                records::INSTANCE_CATALOG_KEY,
                instance_types.as_ref(),
            )],
        };
        self.being_stored = Some(instance_types.clone());
        let context = KvRequestContext::InstanceCatalog;
        effects.call_kv(context, KvRequest::Txn(txn), within_s, now);
    }

    /// Takes the cloud's answer. True: the types are new.
    pub fn on_cloud_response(&mut self, response: CloudResponse, now: f64) -> bool {
        let CloudResponse::InstanceTypes(instance_types) = response else {
            self.refresh_at = now + self.heartbeat_interval_s;
            return false;
        };
        self.refresh_at = now + LEASES_PER_CATALOG_REFRESH * self.lease_s;
        self.instance_types = Some(Rc::new(instance_types));
        true
    }

    /// Takes the state service's response to a read or a put of the types. True: the types are new.
    pub fn on_kv_response(&mut self, response: &KvResponse) -> bool {
        match response {
            KvResponse::Value(item) => return self.on_stored_types(item),
            KvResponse::NotFound => self.stored_read = true,
            KvResponse::Committed(_) => self.stored = self.being_stored.take(),
            // Read or put again at the next refresh.
            _ => self.being_stored = None,
        }
        false
    }

    fn on_stored_types(&mut self, item: &KeyValue) -> bool {
        self.stored_read = true;
        let instance_types = match cbor::from_value::<Vec<InstanceType>>(&item.value) {
            Ok(instance_types) => instance_types,
            Err(error) => {
                tracing::error!(key = item.key, %error, "instance types unreadable");
                return false;
            }
        };
        let instance_types = Rc::new(instance_types);
        self.stored = Some(instance_types.clone());
        let new = self.instance_types.is_none();
        self.instance_types.get_or_insert(instance_types);
        new
    }
}

/// Whether two instance catalogs differ in their prices at most.
fn same_types(a: &[InstanceType], b: &[InstanceType]) -> bool {
    let plain = |instance_types: &[InstanceType]| {
        instance_types
            .iter()
            .map(|instance_type| InstanceType {
                spot_price: instance_type.spot_price.map(|_| 0.0),
                ..instance_type.clone()
            })
            .collect::<Vec<_>>()
    };
    plain(a) == plain(b)
}
