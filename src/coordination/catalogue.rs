//! The machine types, as the cloud tells them and as the state service keeps them for nodes that start while
//! the cloud is out.

use super::outbox::{CloudAsk, Outbox, StoreAsk};
use crate::bookkeeping::records;
use crate::protocol::cbor;
use crate::protocol::cloud::{CloudRequest, CloudResponse, InstanceType};
use crate::protocol::kv::{KvRequest, KvResponse, Txn, WriteOp};
use crate::settings::WorkerSettings;
use std::rc::Rc;

/// Leases between two questions to the cloud that was answered.
const LEASES_PER_LOOK: f64 = 2.0;
/// Report intervals in which a call must be answered.
const PATIENCE_REPORTS: f64 = 2.0;

/// What is known of the machine types.
#[derive(Debug)]
pub struct Catalogue {
    lease_s: f64,
    report_s: f64,
    flavors: Option<Rc<Vec<InstanceType>>>,
    stored: Option<Rc<Vec<InstanceType>>>,
    ask_at: f64,
    /// What the state service keeps has been read, or is certainly missing.
    read: bool,
}

impl Catalogue {
    /// Nothing is known yet.
    pub fn new(workers: &WorkerSettings) -> Catalogue {
        Catalogue {
            lease_s: workers.lease_s,
            report_s: workers.report_s,
            flavors: None,
            stored: None,
            ask_at: 0.0,
            read: false,
        }
    }

    /// The machine types, once they are known.
    pub fn flavors(&self) -> Option<&Rc<Vec<InstanceType>>> {
        self.flavors.as_ref()
    }

    /// Asks the cloud if it is time, and reads or keeps the types in the state service.
    pub fn drive(&mut self, leads: bool, out: &mut Outbox, now: f64) {
        if now < self.ask_at {
            return;
        }
        self.ask_at = now + self.lease_s;
        let within_s = self.report_s * PATIENCE_REPORTS;
        out.cloud(CloudAsk::Types, CloudRequest::ListInstanceTypes, within_s);
        if !self.read {
            let call = KvRequest::Get(records::INSTANCE_CATALOG_KEY.to_owned());
            out.store(StoreAsk::Catalogue, call, within_s, now);
        } else if leads {
            self.keep(within_s, out, now);
        }
    }

    /// Keeps the types in the state service, unless that has the same.
    fn keep(&mut self, within_s: f64, out: &mut Outbox, now: f64) {
        let Some(flavors) = &self.flavors else {
            return;
        };
        let kept = self.stored.as_ref();
        if kept.is_some_and(|kept| same_types(kept, flavors)) {
            return;
        }
        let txn = Txn {
            compares: Vec::new(),
            writes: vec![WriteOp::put(
                records::INSTANCE_CATALOG_KEY,
                flavors.as_ref(),
            )],
        };
        self.stored = Some(flavors.clone());
        out.store(StoreAsk::Ignored, KvRequest::Txn(txn), within_s, now);
    }

    /// Takes the cloud's answer. True: the types are new.
    pub fn told(&mut self, reply: CloudResponse, now: f64) -> bool {
        let CloudResponse::InstanceTypes(flavors) = reply else {
            self.ask_at = now + self.report_s;
            return false;
        };
        self.ask_at = now + LEASES_PER_LOOK * self.lease_s;
        self.flavors = Some(Rc::new(flavors));
        true
    }

    /// Takes what the state service keeps. True: the types are new.
    pub fn loaded(&mut self, reply: &KvResponse) -> bool {
        self.read |= matches!(reply, KvResponse::Value(_) | KvResponse::NotFound);
        let KvResponse::Value(item) = reply else {
            return false;
        };
        let Ok(flavors) = cbor::from_value::<Vec<InstanceType>>(&item.value) else {
            return false;
        };
        let flavors = Rc::new(flavors);
        self.stored = Some(flavors.clone());
        let new = self.flavors.is_none();
        self.flavors.get_or_insert(flavors);
        new
    }
}

/// Whether two catalogues differ in their prices at most.
fn same_types(a: &[InstanceType], b: &[InstanceType]) -> bool {
    let plain = |flavors: &[InstanceType]| {
        flavors
            .iter()
            .map(|flavor| InstanceType {
                spot_price: flavor.spot_price.map(|_| 0.0),
                ..flavor.clone()
            })
            .collect::<Vec<_>>()
    };
    plain(a) == plain(b)
}
