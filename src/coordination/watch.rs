//! Watch on a key prefix of the state service: lists the keys once, and then follows the changes.

use super::effects::{Effects, KvRequestContext};
use crate::protocol::kv::{KeyValue, KvRequest, KvResponse, WatchEvent};

/// A change of the watched keys.
#[derive(Debug)]
pub enum WatchUpdate {
    /// The keys have been listed, which replaces the known content.
    Reset {
        /// The listed keys under the prefix.
        items: Vec<KeyValue>,
        /// Revision of the listing's first page. The items include all changes up to this revision.
        revision: u64,
        /// Whether these are all keys. If not, a key that is not listed may still exist.
        is_complete: bool,
    },
    /// A key was created or its value replaced.
    Put(KeyValue),
    /// A key was deleted.
    Deleted {
        /// The deleted key.
        key: String,
        /// Revision of the deletion.
        mod_revision: u64,
    },
}

/// A watch on a key prefix.
#[derive(Debug)]
pub struct Watch {
    prefix: &'static str,
    context: KvRequestContext,
    /// How long a watch request waits for changes.
    wait_s: f64,
    request_timeout_s: f64,
    /// Revision up to which all changes are known; `None` while the keys are being listed.
    revision: Option<u64>,
    /// Items of the unfinished listing.
    partial: Vec<KeyValue>,
    /// Revision of the first page of the unfinished listing.
    listing_revision: Option<u64>,
    in_flight: bool,
    /// A listing has ended, although it may have been incomplete.
    complete: bool,
    /// The latest response, apart from those with pages of a listing, had an unknown outcome, and the keys have not
    /// been listed again because of it.
    outcome_unknown: bool,
    retry_at: f64,
    current_as_of: f64,
}

/// A watch counts as caught up if less than this many times `wait_s`, plus one request timeout, has passed since
/// [`Watch::current_as_of`].
const CAUGHT_UP_WAITS: f64 = 2.0;

/// After an unusable response, the watch sends the next request after the request timeout divided by this number.
const RETRIES_PER_TIMEOUT: f64 = 4.0;

/// Number of keys in a listing after which no more pages are read, to bound memory. If there are more pages, the
/// listing counts as incomplete.
const MAX_ITEMS: usize = 50_000;

impl Watch {
    /// Creates a watch whose requests wait up to `wait_s` for changes. `request_timeout_s` is the timeout of a listing
    /// request, and of a watch request in addition to its wait.
    ///
    /// Shorter waits confirm more often that the content is current, at the cost of more requests.
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
            outcome_unknown: false,
            retry_at: 0.0,
            current_as_of: f64::NEG_INFINITY,
        }
    }

    /// Whether the keys have been listed once: to the end, to an empty page, or up to the maximum number of keys. The
    /// known content may be out of date.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The time as of which the content is known to be current: every earlier change is known. This is the time
    /// when the latest successful watch request was sent; listings do not count. Negative infinity if there was none.
    pub fn current_as_of(&self) -> f64 {
        self.current_as_of
    }

    /// Sends the next request if it is due.
    pub fn poll(&mut self, effects: &mut Effects, now: f64) {
        if self.in_flight || now < self.retry_at {
            return;
        }
        self.in_flight = true;
        let (request, timeout_s) = match self.revision {
            Some(known) => {
                // After an interruption the first request does not wait, so that it confirms sooner that the
                // content is current.
                let caught_up = now - self.current_as_of
                    < CAUGHT_UP_WAITS * self.wait_s + self.request_timeout_s;
                let wait_s = if caught_up { self.wait_s } else { 0.0 };
                let request = KvRequest::Watch {
                    prefix: self.prefix.to_owned(),
                    after: known,
                    wait_ms: (wait_s * 1000.0) as u64,
                };
                (request, wait_s + self.request_timeout_s)
            }
            None => (
                KvRequest::List {
                    prefix: self.prefix.to_owned(),
                    after: self.partial.last().map(|item| item.key.clone()),
                },
                self.request_timeout_s,
            ),
        };
        effects.call_kv(self.context.clone(), request, timeout_s, now);
    }

    /// Processes the response to the request that was sent at `sent_at`.
    pub fn on_response(
        &mut self,
        response: KvResponse,
        sent_at: f64,
        now: f64,
    ) -> Vec<WatchUpdate> {
        self.in_flight = false;
        match response {
            KvResponse::Page {
                items,
                more,
                revision,
            } => self.on_page(items, more, revision, now),
            KvResponse::Events { events, revision } => {
                self.on_events(events, revision, sent_at, now)
            }
            KvResponse::Compacted => {
                self.revision = None;
                Vec::new()
            }
            // The response may have been too large to accept. After a first unknown outcome the request is repeated.
            // After a second one in a row the keys are listed again, because a listing is split into pages.
            KvResponse::OutcomeUnknown if self.revision.is_some() && self.outcome_unknown => {
                self.outcome_unknown = false;
                self.revision = None;
                Vec::new()
            }
            other => {
                self.outcome_unknown = matches!(other, KvResponse::OutcomeUnknown);
                self.retry_later(now);
                Vec::new()
            }
        }
    }

    fn retry_later(&mut self, now: f64) {
        self.retry_at = now + self.request_timeout_s / RETRIES_PER_TIMEOUT;
    }

    /// Processes a page of the listing. Returns the listing as a [`WatchUpdate::Reset`] after the last page, after an
    /// empty page, or once there are [`MAX_ITEMS`] keys; otherwise returns no updates. Starts the listing again if the
    /// page is older than the first one.
    fn on_page(
        &mut self,
        items: Vec<KeyValue>,
        more: bool,
        revision: u64,
        now: f64,
    ) -> Vec<WatchUpdate> {
        let first_revision = *self.listing_revision.get_or_insert(revision);
        if revision < first_revision {
            // This page is older than the first one, so together they are not a consistent listing.
            tracing::error!(
                prefix = self.prefix,
                revision,
                first_page = first_revision,
                "listing restarted: a page has a lower revision than the first page"
            );
            self.listing_revision = None;
            self.partial.clear();
            self.retry_later(now);
            return Vec::new();
        }
        let made_progress = !items.is_empty();
        self.partial.extend(items);
        let is_full = self.partial.len() >= MAX_ITEMS;
        if more && made_progress && !is_full {
            return Vec::new();
        }
        if more {
            tracing::error!(
                prefix = self.prefix,
                keys = self.partial.len(),
                "listing incomplete: keys missing from it are not treated as deleted"
            );
        }
        let mut items = std::mem::take(&mut self.partial);
        let keys_listed = items.len();
        // Each page has its own revision. No item can be newer than the revision of the last page.
        items.retain(|item| is_in_range(&item.key, item.mod_revision, 0, revision));
        self.listing_revision = None;
        self.revision = Some(first_revision);
        self.complete = true;
        vec![WatchUpdate::Reset {
            revision: first_revision,
            is_complete: !more && items.len() == keys_listed,
            items,
        }]
    }

    /// Processes the events up to `revision`, from the response to the request that was sent at `sent_at`.
    fn on_events(
        &mut self,
        events: Vec<WatchEvent>,
        revision: u64,
        sent_at: f64,
        now: f64,
    ) -> Vec<WatchUpdate> {
        self.outcome_unknown = false;
        let known = self.revision.unwrap_or(0);
        if revision < known {
            tracing::error!(
                prefix = self.prefix,
                revision,
                known,
                "watch events ignored: their revision is lower than the known revision"
            );
            self.retry_later(now);
            return Vec::new();
        }
        self.revision = Some(revision);
        self.current_as_of = sent_at;
        let updates = events.into_iter().map(WatchUpdate::from);
        updates
            .filter(|update| update.is_in_range(known, revision))
            .collect()
    }
}

/// Whether a mod revision is in the possible range: above `after`, and at most `latest`. Logs an error if it is not.
fn is_in_range(key: &str, mod_revision: u64, after: u64, latest: u64) -> bool {
    let in_range = mod_revision > after && mod_revision <= latest;
    if !in_range {
        tracing::error!(
            key,
            mod_revision,
            after,
            latest,
            "record ignored: mod revision out of range"
        );
    }
    in_range
}

impl WatchUpdate {
    /// Whether the mod revision of a put or deletion is above `after` and at most `latest`. Always true for a listing,
    /// whose items are checked when it ends.
    fn is_in_range(&self, after: u64, latest: u64) -> bool {
        match self {
            WatchUpdate::Reset { .. } => true,
            WatchUpdate::Put(item) => is_in_range(&item.key, item.mod_revision, after, latest),
            WatchUpdate::Deleted { key, mod_revision } => {
                is_in_range(key, *mod_revision, after, latest)
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
