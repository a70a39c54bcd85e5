//! What a watch makes of responses that cannot be: nothing, but a line in the log.
//!
//! A listing that was cut short (more than 50,000 keys, or a page without keys that says that more follow) counted as
//! complete: all jobs that it did not show were closed, and their tasks evicted. Revisions were not looked at, so that a
//! state service that was set back, or a proxy that answers from an older state, could reopen what had ended.

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

/// Keys of the updates, each with its mod revision.
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

fn numbers(updates: &[WatchUpdate]) -> Vec<u64> {
    let keys = keys(updates);
    keys.iter()
        .map(|(key, _)| key["open/j-".len()..].parse().expect("a number"))
        .collect()
}

#[test]
fn events_of_impossible_revisions_are_ignored() {
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
    assert_eq!(numbers(&updates), [2, 2], "those of revisions 10 to 12");
    // A response that leads to an earlier revision than is known tells nothing.
    let response = KvResponse::Events {
        events: vec![put(6, 8)],
        revision: 8,
    };
    assert!(keys(&watch.on_response(response, 0.4, 0.5)).is_empty());
}

#[test]
fn items_of_impossible_revisions_are_ignored() {
    let mut watch = watch();
    let items = vec![item(1, 5), item(2, 0), item(3, 10), item(4, 9)];
    let updates = watch.on_response(page(items, false, 9), 0.0, 0.1);
    assert_eq!(numbers(&updates), [1, 4]);
    assert!(!is_complete(&updates), "the others have not been deleted");
}

/// A later page shows an earlier state than the first: the keys are listed anew.
#[test]
fn a_listing_that_goes_back_begins_anew() {
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
    assert_eq!(numbers(&updates), [3]);
}

/// Whether a listing shows all keys.
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
fn a_listing_that_was_cut_short_is_not_complete() {
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
    assert_eq!(numbers(&updates), [1]);
    assert!(!is_complete(&updates), "an empty page, and more to come");
    watch.on_response(KvResponse::Compacted, 0.8, 0.9);
    let mut updates = Vec::new();
    for n in 0..60 {
        let items = (n * 1000..(n + 1) * 1000).map(|n| item(n, 5)).collect();
        updates = watch.on_response(page(items, true, 9), 1.0, 1.1);
        if !updates.is_empty() {
            break;
        }
    }
    assert_eq!(numbers(&updates).len(), 50_000);
    assert!(!is_complete(&updates), "too many keys");
}
