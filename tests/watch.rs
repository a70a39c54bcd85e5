//! A watch must ignore inconsistent responses of the state service and log an error.
//!
//! The tests guard against two failures of an earlier version. It treated an incomplete listing (of more than 50,000
//! keys, or with an empty page that announces more) as complete, closed all jobs missing from it and evicted their
//! tasks. And it did not check revisions, so a state service that was restored from an older state, or a proxy that
//! served an older state, could reopen jobs that had ended.

use cedarladder::coordination::effects::KvRequestContext;
use cedarladder::coordination::watch::{Watch, WatchUpdate};
use cedarladder::protocol::kv::{KeyValue, KvResponse, WatchEvent};
use ciborium::Value;

fn watch() -> Watch {
    Watch::new("open/", KvRequestContext::OpenJobsWatch, 1.0, 0.5)
}

fn item(n: u64, mod_revision: u64) -> KeyValue {
    KeyValue {
        key: format!("open/j-{n:06}"),
        value: Value::Null,
        mod_revision,
        lease_id: None,
    }
}

fn page(items: Vec<KeyValue>, more: bool, revision: u64) -> KvResponse {
    KvResponse::Page {
        items,
        more,
        revision,
    }
}

fn put(n: u64, mod_revision: u64) -> WatchEvent {
    let item = item(n, mod_revision);
    WatchEvent::Put {
        key: item.key,
        value: item.value,
        mod_revision,
    }
}

fn delete(n: u64, mod_revision: u64) -> WatchEvent {
    WatchEvent::Delete {
        key: item(n, 1).key,
        mod_revision,
    }
}

/// The keys in the updates, with their mod revisions.
fn keys(updates: &[WatchUpdate]) -> Vec<(String, u64)> {
    let mut keys = Vec::new();
    for update in updates {
        match update {
            WatchUpdate::Reset { items, .. } => {
                keys.extend(
                    items
                        .iter()
                        .map(|item| (item.key.clone(), item.mod_revision)),
                );
            }
            WatchUpdate::Put(item) => keys.push((item.key.clone(), item.mod_revision)),
            WatchUpdate::Deleted { key, mod_revision } => keys.push((key.clone(), *mod_revision)),
        }
    }
    keys
}

/// The job numbers in the updates.
fn job_numbers(updates: &[WatchUpdate]) -> Vec<u64> {
    let keys = keys(updates);
    keys.iter()
        .map(|(key, _)| {
            key["open/j-".len()..]
                .parse()
                .expect("the part of the key after open/j- is not a number")
        })
        .collect()
}

#[test]
fn events_with_revisions_out_of_range_are_ignored() {
    let mut watch = watch();
    watch.on_response(page(vec![item(1, 5)], false, 9), 0.0, 0.1);
    let events = vec![
        put(2, 10),
        put(3, 9),
        put(4, 0),
        delete(1, 5),
        put(5, 13),
        delete(2, 12),
    ];
    let response = KvResponse::Events {
        events,
        revision: 12,
    };
    let updates = watch.on_response(response, 0.2, 0.3);
    assert_eq!(
        job_numbers(&updates),
        [2, 2],
        "job numbers of the events; expected those of revisions 10 to 12 and no others"
    );
    // A response with a lower revision than the known one is ignored as a whole.
    let response = KvResponse::Events {
        events: vec![put(6, 8)],
        revision: 8,
    };
    assert!(keys(&watch.on_response(response, 0.4, 0.5)).is_empty());
}

#[test]
fn items_with_revisions_out_of_range_are_ignored() {
    let mut watch = watch();
    let items = vec![item(1, 5), item(2, 0), item(3, 10), item(4, 9)];
    let updates = watch.on_response(page(items, false, 9), 0.0, 0.1);
    assert_eq!(job_numbers(&updates), [1, 4]);
    assert!(
        !is_complete(&updates),
        "the listing counts as complete although two of its items were ignored"
    );
}

/// If a later page has a lower revision than the first page, the listing starts again.
#[test]
fn a_listing_with_decreasing_revisions_is_restarted() {
    let mut watch = watch();
    assert!(
        watch
            .on_response(page(vec![item(1, 5)], true, 9), 0.0, 0.1)
            .is_empty()
    );
    assert!(
        watch
            .on_response(page(vec![item(2, 6)], false, 8), 0.2, 0.3)
            .is_empty()
    );
    assert!(!watch.is_complete());
    let updates = watch.on_response(page(vec![item(3, 5)], false, 9), 1.0, 1.1);
    assert_eq!(job_numbers(&updates), [3]);
}

/// Whether the updates are a single listing that contains all keys.
fn is_complete(updates: &[WatchUpdate]) -> bool {
    matches!(
        updates,
        [WatchUpdate::Reset {
            is_complete: true,
            ..
        }]
    )
}

#[test]
fn a_listing_that_ends_early_is_not_complete() {
    let mut watch = watch();
    let updates = watch.on_response(page(vec![item(1, 5)], false, 9), 0.0, 0.1);
    assert!(is_complete(&updates));
    watch.on_response(KvResponse::Compacted, 0.2, 0.3);
    assert!(
        watch
            .on_response(page(vec![item(1, 5)], true, 9), 0.4, 0.5)
            .is_empty()
    );
    let updates = watch.on_response(page(Vec::new(), true, 9), 0.6, 0.7);
    assert_eq!(job_numbers(&updates), [1]);
    assert!(
        !is_complete(&updates),
        "the listing counts as complete although it ended with an empty page that announces more"
    );
    watch.on_response(KvResponse::Compacted, 0.8, 0.9);
    let mut updates = Vec::new();
    for n in 0..60 {
        let items = (n * 1000..(n + 1) * 1000).map(|n| item(n, 5)).collect();
        updates = watch.on_response(page(items, true, 9), 1.0, 1.1);
        if !updates.is_empty() {
            break;
        }
    }
    assert_eq!(job_numbers(&updates).len(), 50_000);
    assert!(
        !is_complete(&updates),
        "the listing counts as complete although it has more than 50,000 keys"
    );
}
