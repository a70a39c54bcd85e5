//! Follows a prefix of the state service: one listing, then changes.

use super::outbox::{Outbox, StoreAsk};
use crate::protocol::kv::{KeyValue, KvRequest, KvResponse, WatchEvent};
use ciborium::Value;

/// What a watch has learned.
#[derive(Debug)]
pub enum WatchUpdate {
    /// The whole content, at a revision.
    Reset(Vec<KeyValue>, u64),
    /// A key was put.
    Set(String, Value, u64),
    /// A key was deleted.
    Removed(String),
}

/// A watch on a prefix.
#[derive(Debug)]
pub struct Watch {
    prefix: &'static str,
    ask: StoreAsk,
    wait_s: f64,
    patience_s: f64,
    revision: Option<u64>,
    partial: Vec<KeyValue>,
    listing_at: Option<u64>,
    in_flight: bool,
    known: bool,
    /// The last call had no usable answer.
    failed: bool,
    retry_at: f64,
    current_at: f64,
}

/// How often a watch that waits asks anew before it is no longer thought to be in step.
const IN_STEP: f64 = 2.0;

/// Keys that a watch keeps of an unfinished listing; more are not held.
const MAX_ITEMS: usize = 50_000;

impl Watch {
    /// A watch whose waits last `wait_s`; other calls may take `patience_s`.
    ///
    /// The shorter the waits, the better it is known up to when the content is current.
    pub fn new(prefix: &'static str, ask: StoreAsk, wait_s: f64, patience_s: f64) -> Watch {
        Watch {
            prefix,
            ask,
            wait_s,
            patience_s,
            revision: None,
            partial: Vec::new(),
            listing_at: None,
            in_flight: false,
            known: false,
            failed: false,
            retry_at: 0.0,
            current_at: f64::NEG_INFINITY,
        }
    }

    /// Whether the content is known, though perhaps late.
    pub fn listed(&self) -> bool {
        self.known
    }

    /// Up to when the content is certainly current: every change that was made before is known. That
    /// is when the last call was sent whose answer told all changes.
    pub fn current_at(&self) -> f64 {
        self.current_at
    }

    /// Makes the next call if it is time.
    pub fn drive(&mut self, out: &mut Outbox, now: f64) {
        if self.in_flight || now < self.retry_at {
            return;
        }
        self.in_flight = true;
        let (call, within_s) = match self.revision {
            Some(from) => {
                // After an interruption it catches up first, and waits for news then.
                let in_step = now - self.current_at < IN_STEP * self.wait_s + self.patience_s;
                let wait_s = if in_step { self.wait_s } else { 0.0 };
                let call = KvRequest::Watch {
                    prefix: self.prefix.to_owned(),
                    after: from,
                    wait_ms: (wait_s * 1000.0) as u64,
                };
                (call, wait_s + self.patience_s)
            }
            None => (
                KvRequest::List {
                    prefix: self.prefix.to_owned(),
                    after: self.partial.last().map(|item| item.key.clone()),
                },
                self.patience_s,
            ),
        };
        out.store(self.ask.clone(), call, within_s, now);
    }

    /// Takes the answer to the call that was made at `sent`.
    pub fn reply(&mut self, reply: KvResponse, sent: f64, now: f64) -> Vec<WatchUpdate> {
        self.in_flight = false;
        match reply {
            KvResponse::Page(items, more, revision) => {
                let at = *self.listing_at.get_or_insert(revision);
                let progress = !items.is_empty();
                self.partial.extend(items);
                if more && progress && self.partial.len() < MAX_ITEMS {
                    return Vec::new();
                }
                self.listing_at = None;
                self.revision = Some(at);
                self.known = true;
                vec![WatchUpdate::Reset(std::mem::take(&mut self.partial), at)]
            }
            KvResponse::Events(events, revision) => {
                self.failed = false;
                self.revision = Some(revision.max(self.revision.unwrap_or(0)));
                self.current_at = sent;
                events
                    .into_iter()
                    .map(|event| match event {
                        WatchEvent::Put {
                            key,
                            value,
                            mod_revision: stamp,
                        } => WatchUpdate::Set(key, value, stamp),
                        WatchEvent::Delete { key, .. } => WatchUpdate::Removed(key),
                    })
                    .collect()
            }
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
                self.retry_at = now + self.patience_s / 4.0;
                Vec::new()
            }
        }
    }
}
