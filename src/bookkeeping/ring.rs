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
pub enum Item {
    /// What a host is, and whether it returns.
    Kind(String),
    /// A binding.
    Bound(String, TaskId),
    /// Completed tasks of a chunk of a job.
    Done(String, u32),
}

/// A slot of the ring with the segment that it holds.
#[derive(Debug)]
pub struct Slot {
    /// Number of its key.
    pub number: u32,
    /// Version of its key.
    pub stamp: u64,
    /// What stands here and nowhere else.
    pub items: BTreeSet<Item>,
}

/// The log's slots in the order of their segments.
#[derive(Debug, Default)]
pub struct Ring {
    /// By the number of the segment.
    pub slots: BTreeMap<u64, Slot>,
    /// In which segment an item stands.
    pub place: BTreeMap<Item, u64>,
    /// Number of the next segment.
    pub next_seq: u64,
}

impl Ring {
    /// An item now stands in this segment and in no other.
    pub fn put(&mut self, item: Item, seq: u64) {
        self.drop(&item);
        if let Some(slot) = self.slots.get_mut(&seq) {
            slot.items.insert(item.clone());
            self.place.insert(item, seq);
        }
    }

    /// An item is over.
    pub fn drop(&mut self, item: &Item) {
        if let Some(seq) = self.place.remove(item)
            && let Some(slot) = self.slots.get_mut(&seq)
        {
            slot.items.remove(item);
        }
    }

    fn drop_all(&mut self, from: Item, belongs: impl Fn(&Item) -> bool) {
        let over: Vec<Item> = self
            .place
            .range(from..)
            .map(|(item, _)| item)
            .take_while(|item| belongs(item))
            .cloned()
            .collect();
        for item in over {
            self.drop(&item);
        }
    }

    /// Whether the oldest slot may be used again, rather than a new one.
    pub fn is_large_enough(&self, value_bytes: usize) -> bool {
        let filled = (self.place.len() * ITEM_BYTES).div_ceil(value_bytes);
        self.slots.len() >= (SPARE * filled).max(MIN_SLOTS)
    }

    /// Takes over a segment that an earlier leader wrote; they come in the log's order.
    pub fn inherit(&mut self, key: &str, stamp: u64, segment: &Segment) {
        let Some(number) = key
            .strip_prefix(records::LOG)
            .and_then(|slot| slot.parse().ok())
        else {
            return;
        };
        let seq = segment.seq;
        self.next_seq = self.next_seq.max(seq + 1);
        let items = BTreeSet::new();
        let slot = Slot {
            number,
            stamp,
            items,
        };
        self.slots.insert(seq, slot);
        let host = |number: u32| segment.host(number).unwrap_or_default().to_owned();
        let task = |number: u32, index: u32| TaskId {
            job: segment.job(number).map_or(String::new(), |j| j.0.clone()),
            index,
        };
        for kind in &segment.kinds {
            self.put(Item::Kind(host(kind.0)), seq);
        }
        for bind in &segment.binds {
            self.put(Item::Bound(host(bind.0), task(bind.1, bind.2)), seq);
        }
        for end in &segment.ends {
            self.drop(&Item::Bound(host(end.0), task(end.1, end.2)));
        }
        for gone in &segment.gone {
            self.host_gone(&host(*gone));
        }
        for (job, chunk, _) in &segment.done {
            let job = task(*job, 0).job;
            self.put(Item::Done(job, *chunk), seq);
        }
    }

    /// A host is gone, with all that was bound to it.
    pub fn host_gone(&mut self, host: &str) {
        self.drop(&Item::Kind(host.to_owned()));
        let first = TaskId {
            job: String::new(),
            index: 0,
        };
        let from = Item::Bound(host.to_owned(), first);
        self.drop_all(from, |item| matches!(item, Item::Bound(h, _) if h == host));
    }

    /// A job is over: its completed tasks need not be kept.
    pub fn job_over(&mut self, job: &str) {
        let from = Item::Done(job.to_owned(), 0);
        self.drop_all(from, |item| matches!(item, Item::Done(j, _) if j == job));
    }
}
