//! The available instance types. They are read from the cloud, and also stored in the state service for controllers
//! that start while the cloud is unavailable.

use super::effects::{CloudRequestContext, Effects, KvRequestContext};
use crate::bookkeeping::records;
use crate::protocol::cbor;
use crate::protocol::cloud::{CloudRequest, CloudResponse, InstanceType};
use crate::protocol::kv::{Compare, KeyValue, KvRequest, KvResponse, Txn, WriteOp};
use crate::settings::WorkerSettings;
use std::rc::Rc;

/// Interval from a successful read from the cloud to the next read, as a multiple of the duration of a worker's lease.
const LEASES_PER_CATALOG_REFRESH: f64 = 2.0;
/// Timeout of requests to the cloud and the state service, in heartbeat intervals of workers.
const REQUEST_TIMEOUT_HEARTBEATS: f64 = 2.0;

/// The known instance types, and those stored in the state service.
#[derive(Debug)]
pub struct InstanceCatalog {
    lease_s: f64,
    heartbeat_interval_s: f64,
    instance_types: Option<Rc<Vec<InstanceType>>>,
    /// The instance types stored in the state service, as far as known.
    stored: Option<Rc<Vec<InstanceType>>>,
    /// The instance types that a put in flight writes.
    being_stored: Option<Rc<Vec<InstanceType>>>,
    refresh_at: f64,
    /// The stored instance types have been read, or the state service has responded that there are none.
    stored_read: bool,
}

impl InstanceCatalog {
    /// Creates an empty catalog.
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

    /// The instance types, or `None` before they have been read.
    pub fn instance_types(&self) -> Option<&Rc<Vec<InstanceType>>> {
        self.instance_types.as_ref()
    }

    /// Refreshes the catalog if that is due: requests the instance types from the cloud, and the stored ones if they
    /// have not been read yet. If the stored ones have been read, and this controller leads with `epoch`, stores the
    /// known types if these differ from the stored ones in more than spot prices.
    pub fn poll(&mut self, epoch: Option<u64>, effects: &mut Effects, now: f64) {
        if now < self.refresh_at {
            return;
        }
        self.refresh_at = now + self.lease_s;
        let timeout_s = self.heartbeat_interval_s * REQUEST_TIMEOUT_HEARTBEATS;
        effects.call_cloud(
            CloudRequestContext::ListInstanceTypes,
            CloudRequest::ListInstanceTypes,
            timeout_s,
        );
        if !self.stored_read {
            let request = KvRequest::Get(records::INSTANCE_CATALOG_KEY.to_owned());
            effects.call_kv(KvRequestContext::InstanceCatalog, request, timeout_s, now);
        } else if let Some(epoch) = epoch {
            self.store_types(epoch, timeout_s, effects, now);
        }
    }

    /// Stores the types in the state service unless it has the same ones apart from spot prices. The put may be applied
    /// late, so it is conditional on the `leader` key: it must not overwrite what a later leader has stored.
    fn store_types(&mut self, epoch: u64, timeout_s: f64, effects: &mut Effects, now: f64) {
        let Some(instance_types) = &self.instance_types else {
            return;
        };
        let stored = self.stored.as_ref();
        if stored.is_some_and(|stored| equal_except_spot_prices(stored, instance_types)) {
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
        effects.call_kv(context, KvRequest::Txn(txn), timeout_s, now);
    }

    /// Processes the response of the cloud. Returns true if it contains the types, which may have changed.
    pub fn on_cloud_response(&mut self, response: CloudResponse, now: f64) -> bool {
        let CloudResponse::InstanceTypes(instance_types) = response else {
            self.refresh_at = now + self.heartbeat_interval_s;
            return false;
        };
        self.refresh_at = now + LEASES_PER_CATALOG_REFRESH * self.lease_s;
        self.instance_types = Some(Rc::new(instance_types));
        true
    }

    /// Processes the response of the state service to a read or put of the stored types. Returns true if the types were
    /// unknown before and have now been read.
    pub fn on_kv_response(&mut self, response: &KvResponse) -> bool {
        match response {
            KvResponse::Value(item) => return self.on_stored_types(item),
            KvResponse::NotFound => self.stored_read = true,
            KvResponse::Committed(_) => self.stored = self.being_stored.take(),
            // The next refresh retries the read or the put.
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
        let was_unknown = self.instance_types.is_none();
        self.instance_types.get_or_insert(instance_types);
        was_unknown
    }
}

/// Whether two lists of instance types are equal apart from the amounts of spot prices. A spot price that only one of
/// the lists has is a difference.
fn equal_except_spot_prices(a: &[InstanceType], b: &[InstanceType]) -> bool {
    let without_spot_prices = |instance_types: &[InstanceType]| {
        instance_types
            .iter()
            .map(|instance_type| InstanceType {
                spot_price: instance_type.spot_price.map(|_| 0.0),
                ..instance_type.clone()
            })
            .collect::<Vec<_>>()
    };
    without_spot_prices(a) == without_spot_prices(b)
}
