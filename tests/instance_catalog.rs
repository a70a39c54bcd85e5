//! Only the current leader may write the stored instance types (`catalogue`).
//!
//! Guards against a put without a compare on `leader`: if such a put is delayed until its leader has been deposed, it
//! replaces the newer types of the next leader when it arrives. A controller that starts while the cloud is unavailable
//! then offers instance types that the cloud no longer has. See `a_late_put_of_a_deposed_leader_is_refused`.

mod common;
mod harness;

use cedarladder::bookkeeping::records::INSTANCE_CATALOG_KEY;
use cedarladder::protocol::kv::{KvResponse, Txn, WriteOp};
use common::instance_type;
use harness::{Harness, HeldResponses};

/// Time within which a new leader reads the stored instance types and puts those that the cloud offers, and within
/// which a leader repeats a put whose outcome is unknown.
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
    assert!(
        !late.is_empty(),
        "the leader has not put any instance types"
    );
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
            "the late put was not refused: {response:?}"
        );
    }
    assert_eq!(stored(&harness), before);
}

/// A put whose outcome is unknown is repeated until the instance types are stored.
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
        "number of puts of the instance types since the state service accepts them"
    );
}
