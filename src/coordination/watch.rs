//! Follows a prefix of the state service: one listing, then changes.

use super::effects::{Effects, KvRequestContext};
use crate::protocol::kv::{KeyValue, KvRequest, KvResponse, WatchEvent};

/// What a watch has learned.
#[derive(Debug)]
pub enum WatchUpdate {
    /// The whole content was listed anew.
    Reset {
        /// All keys under the prefix.
        items: Vec<KeyValue>,
        /// The revision of the listing's first page: changes up to it are in the items.
        revision: u64,
        /// Whether these are all keys: if not, one that is missing may exist.
        is_complete: bool,
    },
    /// A key was put.
    Put(KeyValue),
    /// A key was deleted.
    Deleted {
        /// The key.
        key: String,
        /// Revision of the deletion.
        mod_revision: u64,
    },
}

/// A watch on a prefix.
#[derive(Debug)]
pub struct Watch {
    prefix: &'static str,
    context: KvRequestContext,
    wait_s: f64,
    request_timeout_s: f64,
    revision: Option<u64>,
    partial: Vec<KeyValue>,
    listing_revision: Option<u64>,
    in_flight: bool,
    complete: bool,
    /// The last call had no usable answer.
    failed: bool,
    retry_at: f64,
    current_as_of: f64,
}

/// How often a watch that waits asks anew before it is no longer thought to be in step.
const CAUGHT_UP_FACTOR: f64 = 2.0;

/// Retries in the timeout of a request, after a response that is of no use.
const RETRIES_PER_TIMEOUT: f64 = 4.0;

/// Keys that a watch keeps of an unfinished listing; more are not held.
const MAX_ITEMS: usize = 50_000;

impl Watch {
    /// A watch whose waits last `wait_s`; other calls may take `patience_s`.
    ///
    /// The shorter the waits, the better it is known up to when the content is current.
    pub fn new(
        prefix: &'static str,
        context: KvRequestContext,
        wait_s: f64,
        request_timeout_s: f64,
    ) -> Watch {
        Watch {
            prefix,
            context,
            wait_s,
            request_timeout_s,
            revision: None,
            partial: Vec::new(),
            listing_revision: None,
            in_flight: false,
            complete: false,
            failed: false,
            retry_at: 0.0,
            current_as_of: f64::NEG_INFINITY,
        }
    }

    /// Whether the content is known, though perhaps late.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Up to when the content is certainly current: every change that was made before is known. That
    /// is when the last call was sent whose answer told all changes.
    pub fn current_as_of(&self) -> f64 {
        self.current_as_of
    }

    /// Makes the next call if it is time.
    pub fn poll(&mut self, effects: &mut Effects, now: f64) {
        if self.in_flight || now < self.retry_at {
            return;
        }
        self.in_flight = true;
        let (call, within_s) = match self.revision {
            Some(from) => {
                // After an interruption it catches up first, and waits for news then.
                let in_step = now - self.current_as_of
                    < CAUGHT_UP_FACTOR * self.wait_s + self.request_timeout_s;
                let wait_s = if in_step { self.wait_s } else { 0.0 };
                let call = KvRequest::Watch {
                    prefix: self.prefix.to_owned(),
                    after: from,
                    wait_ms: (wait_s * 1000.0) as u64,
                };
                (call, wait_s + self.request_timeout_s)
            }
            None => (
                KvRequest::List {
                    prefix: self.prefix.to_owned(),
                    after: self.partial.last().map(|item| item.key.clone()),
                },
                self.request_timeout_s,
            ),
        };
        effects.call_kv(self.context.clone(), call, within_s, now);
    }

    /// Takes the answer to the call that was made at `sent`.
    pub fn on_response(&mut self, response: KvResponse, sent: f64, now: f64) -> Vec<WatchUpdate> {
        self.in_flight = false;
        match response {
            KvResponse::Page {
                items,
                more,
                revision,
            } => self.on_page(items, more, revision, now),
            KvResponse::Events { events, revision } => self.on_events(events, revision, sent, now),
            KvResponse::Compacted => {
                self.revision = None;
                Vec::new()
            }
            // A watch without a usable answer may have brought more than we take: once more, then the
            // keys are read anew, in pages.
            KvResponse::OutcomeUnknown if self.revision.is_some() && self.failed => {
                self.failed = false;
                self.revision = None;
                Vec::new()
            }
            other => {
                self.failed = matches!(other, KvResponse::OutcomeUnknown);
                self.retry_later(now);
                Vec::new()
            }
        }
    }

    fn retry_later(&mut self, now: f64) {
        self.retry_at = now + self.request_timeout_s / RETRIES_PER_TIMEOUT;
    }

    /// Takes a page of the listing. The last one completes it.
    fn on_page(
        &mut self,
        items: Vec<KeyValue>,
        more: bool,
        revision: u64,
        now: f64,
    ) -> Vec<WatchUpdate> {
        let at = *self.listing_revision.get_or_insert(revision);
        if revision < at {
            // Pages of different states make no listing.
            tracing::error!(
                prefix = self.prefix,
                revision,
                first_page = at,
                "listing begun anew: a page is of an earlier revision than the first"
            );
            self.listing_revision = None;
            self.partial.clear();
            self.retry_later(now);
            return Vec::new();
        }
        let progress = !items.is_empty();
        self.partial.extend(items);
        let is_full = self.partial.len() >= MAX_ITEMS;
        if more && progress && !is_full {
            return Vec::new();
        }
        if more {
            tracing::error!(
                prefix = self.prefix,
                keys = self.partial.len(),
                "listing cut short: keys that it does not show are kept"
            );
        }
        let mut items = std::mem::take(&mut self.partial);
        let keys_listed = items.len();
        // Each page shows a revision of its own, and the last one the latest.
        items.retain(|item| is_possible(&item.key, item.mod_revision, 0, revision));
        self.listing_revision = None;
        self.revision = Some(at);
        self.complete = true;
        vec![WatchUpdate::Reset {
            revision: at,
            is_complete: !more && items.len() == keys_listed,
            items,
        }]
    }

    /// Takes the changes up to a revision, which the call that was made at `sent` has brought.
    fn on_events(
        &mut self,
        events: Vec<WatchEvent>,
        revision: u64,
        sent: f64,
        now: f64,
    ) -> Vec<WatchUpdate> {
        self.failed = false;
        let known = self.revision.unwrap_or(0);
        if revision < known {
            tracing::error!(
                prefix = self.prefix,
                revision,
                known,
                "changes ignored: they lead to an earlier revision than is known"
            );
            self.retry_later(now);
            return Vec::new();
        }
        self.revision = Some(revision);
        self.current_as_of = sent;
        let updates = events.into_iter().map(WatchUpdate::from);
        updates
            .filter(|update| update.is_between(known, revision))
            .collect()
    }
}

/// Whether a key can have been changed last at a revision: later than `after`, and at `latest` at the latest. If
/// not, that is logged.
fn is_possible(key: &str, mod_revision: u64, after: u64, latest: u64) -> bool {
    let possible = mod_revision > after && mod_revision <= latest;
    if !possible {
        tracing::error!(
            key,
            mod_revision,
            after,
            latest,
            "record ignored: impossible revision"
        );
    }
    possible
}

impl WatchUpdate {
    /// Whether a change was made after a revision, and not after the latest.
    fn is_between(&self, after: u64, latest: u64) -> bool {
        match self {
            WatchUpdate::Reset { .. } => true,
            WatchUpdate::Put(item) => is_possible(&item.key, item.mod_revision, after, latest),
            WatchUpdate::Deleted { key, mod_revision } => {
                is_possible(key, *mod_revision, after, latest)
            }
        }
    }
}

impl From<WatchEvent> for WatchUpdate {
    fn from(event: WatchEvent) -> WatchUpdate {
        match event {
            WatchEvent::Put {
                key,
                value,
                mod_revision,
            } => WatchUpdate::Put(KeyValue {
                key,
                value,
                mod_revision,
                lease_id: None,
            }),
            WatchEvent::Delete { key, mod_revision } => WatchUpdate::Deleted { key, mod_revision },
        }
    }
}
