//! The log's slots: which of them holds what still counts, and which is written next.

use super::records;
use super::segment::Segment;
use crate::protocol::worker::TaskId;
use std::collections::{BTreeMap, BTreeSet};

/// Slots that the ring has at least.
const MIN_SLOTS: usize = 8;
/// The ring has at least this many times the slots that what counts would fill.
const SPARE: usize = 3;
/// Bytes of an item in a segment, about; only the ring's size goes by it.
const ITEM_BYTES: usize = 64;

/// Something that the log must keep until it is over.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum LiveEntry {
    /// What a worker is, and whether it returns.
    Worker(String),
    /// A binding.
    Binding(String, TaskId),
    /// Completed tasks of a chunk of a job.
    Completed(String, u32),
}

/// A slot of the ring with the segment that it holds.
#[derive(Debug)]
pub struct Slot {
    /// Number of its key.
    pub number: u32,
    /// Version of its key.
    pub mod_revision: u64,
    /// What stands here and nowhere else.
    pub live_entries: BTreeSet<LiveEntry>,
}

/// The log's slots in the order of their segments.
#[derive(Debug, Default)]
pub struct SegmentRing {
    /// By the number of the segment.
    pub slots: BTreeMap<u64, Slot>,
    /// In which segment an item stands.
    pub location: BTreeMap<LiveEntry, u64>,
    /// Number of the next segment.
    pub next_seq: u64,
}

impl SegmentRing {
    /// An item now stands in this segment and in no other.
    pub fn insert(&mut self, item: LiveEntry, seq: u64) {
        self.remove(&item);
        if let Some(slot) = self.slots.get_mut(&seq) {
            slot.live_entries.insert(item.clone());
            self.location.insert(item, seq);
        }
    }

    /// An item is over.
    pub fn remove(&mut self, item: &LiveEntry) {
        if let Some(seq) = self.location.remove(item)
            && let Some(slot) = self.slots.get_mut(&seq)
        {
            slot.live_entries.remove(item);
        }
    }

    fn remove_all(&mut self, from: LiveEntry, belongs: impl Fn(&LiveEntry) -> bool) {
        let over: Vec<LiveEntry> = self
            .location
            .range(from..)
            .map(|(item, _)| item)
            .take_while(|item| belongs(item))
            .cloned()
            .collect();
        for item in over {
            self.remove(&item);
        }
    }

    /// Whether the oldest slot may be used again, rather than a new one.
    pub fn is_large_enough(&self, value_bytes: usize) -> bool {
        let filled = (self.location.len() * ITEM_BYTES).div_ceil(value_bytes);
        self.slots.len() >= (SPARE * filled).max(MIN_SLOTS)
    }

    /// Takes over a segment that an earlier leader wrote; they come in the log's order.
    pub fn replay_segment(&mut self, key: &str, mod_revision: u64, segment: &Segment) {
        let Some(number) = key
            .strip_prefix(records::LOG_PREFIX)
            .and_then(|slot| slot.parse().ok())
        else {
            return;
        };
        let seq = segment.seq;
        self.next_seq = self.next_seq.max(seq + 1);
        let items = BTreeSet::new();
        let slot = Slot {
            number,
            mod_revision,
            live_entries: items,
        };
        self.slots.insert(seq, slot);
        let worker = |number: u32| segment.worker_name(number).unwrap_or_default().to_owned();
        let task = |number: u32, index: u32| TaskId {
            job: segment.job(number).map_or(String::new(), |j| j.0.clone()),
            index,
        };
        for kind in &segment.workers {
            self.insert(LiveEntry::Worker(worker(kind.0)), seq);
        }
        for bind in &segment.bindings {
            self.insert(
                LiveEntry::Binding(worker(bind.0), task(bind.1, bind.2)),
                seq,
            );
        }
        for end in &segment.ended_bindings {
            self.remove(&LiveEntry::Binding(worker(end.0), task(end.1, end.2)));
        }
        for gone in &segment.removed_workers {
            self.remove_worker(&worker(*gone));
        }
        for (job, chunk, _) in &segment.completed {
            let job = task(*job, 0).job;
            self.insert(LiveEntry::Completed(job, *chunk), seq);
        }
    }

    /// A worker is gone, with all that was bound to it.
    pub fn remove_worker(&mut self, worker: &str) {
        self.remove(&LiveEntry::Worker(worker.to_owned()));
        let first = TaskId {
            job: String::new(),
            index: 0,
        };
        let from = LiveEntry::Binding(worker.to_owned(), first);
        self.remove_all(
            from,
            |item| matches!(item, LiveEntry::Binding(h, _) if h == worker),
        );
    }

    /// A job is over: its completed tasks need not be kept.
    pub fn remove_job(&mut self, job: &str) {
        let from = LiveEntry::Completed(job.to_owned(), 0);
        self.remove_all(
            from,
            |item| matches!(item, LiveEntry::Completed(j, _) if j == job),
        );
    }
}
