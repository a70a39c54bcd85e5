//! The stored instance types (`catalogue`) are the leader's to write.
//!
//! Their put had no compare. One that was held on its way from a leader that has since been deposed replaced the
//! newer types of its successor when it arrived: a controller that started while the cloud was out then offered types
//! that the cloud no longer has. The put is in `a_late_put_of_a_deposed_leader_is_refused`, with no compare on `leader`
//! on the sources before.

mod common;
mod harness;

use cedarladder::bookkeeping::records::INSTANCE_CATALOG_KEY;
use cedarladder::protocol::kv::{KvResponse, Txn, WriteOp};
use common::instance_type;
use harness::{Harness, HeldResponses};

/// When a leader has read what is stored, and has put its types.
const STORED_AFTER_S: f64 = 45.0;

fn stored(harness: &Harness) -> Option<ciborium::Value> {
    match harness.store.get(INSTANCE_CATALOG_KEY) {
        KvResponse::Value(item) => Some(item.value),
        _ => None,
    }
}

#[test]
fn a_late_put_of_a_deposed_leader_is_refused() {
    let mut harness = Harness::default();
    harness.hold(HeldResponses::CatalogPuts);
    harness.run_for(STORED_AFTER_S);
    let late = harness.puts_of(INSTANCE_CATALOG_KEY);
    assert!(!late.is_empty(), "the types were put");
    harness.elect_other_controller();
    let newer = WriteOp::put(INSTANCE_CATALOG_KEY, &vec![instance_type("newer")]);
    harness.store.transact(&Txn {
        compares: Vec::new(),
        writes: vec![newer],
    });
    let before = stored(&harness);
    for txn in late {
        let response = harness.store.transact(&txn);
        assert!(
            matches!(response, KvResponse::CompareFailed(_)),
            "{response:?}"
        );
    }
    assert_eq!(stored(&harness), before);
}

/// A put whose outcome is unknown, or that was refused, is made again.
#[test]
fn types_that_were_not_stored_are_put_again() {
    let mut harness = Harness::default();
    harness.hold(HeldResponses::CatalogPuts);
    harness.run_for(STORED_AFTER_S);
    assert_eq!(stored(&harness), None);
    harness.release(HeldResponses::CatalogPuts);
    harness.clear_sent();
    harness.run_for(STORED_AFTER_S);
    assert!(stored(&harness).is_some());
    assert_eq!(
        harness.puts_of(INSTANCE_CATALOG_KEY).len(),
        1,
        "once it is stored"
    );
}
