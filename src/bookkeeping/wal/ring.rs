//! The ring of slots: records which segment holds each live entry, and selects the slot to write next.

use super::log_entry::LogEntry;
use super::segment::Segment;
use crate::bookkeeping::records;
use crate::protocol::worker::TaskId;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of slots.
const MIN_SLOTS: usize = 8;
/// The ring has at least this many times the number of slots that its live entries would fill.
const SPARE_FACTOR: usize = 3;
/// Approximate number of bytes of an entry in a segment; used only to choose the number of slots in the ring.
const LIVE_ENTRY_BYTES: usize = 64;

/// An entry that must stay in the log until what it describes has ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LiveEntry {
    /// The description of a worker.
    Worker(String),
    /// A binding.
    Binding {
        /// Name of the worker.
        worker: String,
        /// The bound task.
        task: TaskId,
    },
    /// The completed tasks of a chunk of a job.
    Completed {
        /// Id of the job.
        job: String,
        /// Number of the chunk.
        chunk: u32,
    },
}

impl LiveEntry {
    fn is_binding_of(&self, name: &str) -> bool {
        matches!(self, LiveEntry::Binding { worker, .. } if worker == name)
    }

    fn is_completed_of(&self, id: &str) -> bool {
        matches!(self, LiveEntry::Completed { job, .. } if job == id)
    }
}

/// The slot that the next segment is written to.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetSlot {
    /// Number of the slot, which is part of its key.
    pub number: u32,
    /// Mod revision of the slot's key; 0 if the slot is new.
    pub mod_revision: u64,
    /// Sequence number of the segment that is overwritten; `None` if the slot is new.
    pub overwritten_seq: Option<u64>,
}

/// A slot of the ring with the segment that it holds.
#[derive(Debug)]
struct Slot {
    number: u32,
    /// Mod revision of the slot's key.
    mod_revision: u64,
    /// Live entries that the slot's segment holds and no later segment does.
    live_entries: BTreeSet<LiveEntry>,
}

/// The slots, in the order of their segments' sequence numbers.
#[derive(Debug, Default)]
pub(super) struct SegmentRing {
    /// The slots, by the sequence number of their segment.
    slots: BTreeMap<u64, Slot>,
    /// For each live entry, the sequence number of the segment that holds it; must agree with `slots`.
    location: BTreeMap<LiveEntry, u64>,
    next_seq: u64,
}

impl SegmentRing {
    /// Number of slots.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Sequence number of the next segment.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the sequence number of the next segment, and increments it.
    pub fn take_next_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq += 1;
        seq
    }

    /// Whether some committed segment holds this live entry.
    pub fn contains(&self, entry: &LiveEntry) -> bool {
        self.location.contains_key(entry)
    }

    /// The live entries of a segment.
    pub fn live_entries(&self, seq: u64) -> impl Iterator<Item = &LiveEntry> {
        self.slots
            .get(&seq)
            .into_iter()
            .flat_map(|slot| &slot.live_entries)
    }

    /// The slot for the next segment: the oldest one, or a new one while the ring has too few slots for its live
    /// entries. `max_value_bytes` is the maximum size of a segment.
    pub fn target_slot(&self, max_value_bytes: usize) -> TargetSlot {
        let oldest = self.slots.iter().next();
        match oldest.filter(|_| self.is_large_enough(max_value_bytes)) {
            Some((seq, slot)) => TargetSlot {
                number: slot.number,
                mod_revision: slot.mod_revision,
                overwritten_seq: Some(*seq),
            },
            None => TargetSlot {
                // Slots are numbered without gaps and never removed.
                number: self.slots.len() as u32,
                mod_revision: 0,
                overwritten_seq: None,
            },
        }
    }

    fn is_large_enough(&self, max_value_bytes: usize) -> bool {
        let filled = (self.location.len() * LIVE_ENTRY_BYTES).div_ceil(max_value_bytes);
        self.slots.len() >= (SPARE_FACTOR * filled).max(MIN_SLOTS)
    }

    /// Records that a segment with these live entries was committed to a slot.
    pub fn commit_segment(
        &mut self,
        seq: u64,
        target: TargetSlot,
        mod_revision: u64,
        live_entries: Vec<LiveEntry>,
    ) {
        self.insert_slot(seq, target.number, mod_revision);
        for entry in live_entries {
            self.insert(entry, seq);
        }
        let overwritten = target
            .overwritten_seq
            .and_then(|seq| self.slots.remove(&seq));
        if let Some(slot) = overwritten {
            for entry in slot.live_entries {
                self.location.remove(&entry);
            }
        }
    }

    /// Applies a committed change: removes the live entries for what the change ends.
    pub fn apply(&mut self, entry: &LogEntry) {
        match entry {
            LogEntry::Unbind { worker, task, .. } => self.remove(&LiveEntry::Binding {
                worker: worker.clone(),
                task: task.clone(),
            }),
            LogEntry::RemoveWorker { worker } => self.remove_worker(worker),
            LogEntry::FinishJob { job } => self.remove_job(job),
            LogEntry::Bind { .. }
            | LogEntry::RecordTermination { .. }
            | LogEntry::WriteKey { .. } => {}
        }
    }

    /// Adds a segment that an earlier leader committed, with the key and mod revision of its slot. The caller must pass
    /// segments in the order of their sequence numbers. A segment whose key is not that of a slot is ignored.
    pub fn replay_segment(&mut self, key: &str, mod_revision: u64, segment: &Segment) {
        let Some(number) = key
            .strip_prefix(records::LOG_PREFIX)
            .and_then(|slot| slot.parse().ok())
        else {
            return;
        };
        let seq = segment.seq;
        self.next_seq = self.next_seq.max(seq + 1);
        self.insert_slot(seq, number, mod_revision);
        for entry in &segment.workers {
            self.insert(LiveEntry::Worker(worker_name(segment, entry.worker)), seq);
        }
        for entry in &segment.bindings {
            let live = live_binding(segment, entry.worker, entry.job, entry.index);
            self.insert(live, seq);
        }
        for entry in &segment.ended_bindings {
            self.remove(&live_binding(segment, entry.worker, entry.job, entry.index));
        }
        for number in &segment.removed_workers {
            self.remove_worker(&worker_name(segment, *number));
        }
        for entry in &segment.completed {
            let live = LiveEntry::Completed {
                job: job_id(segment, entry.job),
                chunk: entry.chunk,
            };
            self.insert(live, seq);
        }
    }

    /// Drops the completed tasks of a job that has ended from the live entries.
    pub fn remove_job(&mut self, job: &str) {
        let first = LiveEntry::Completed {
            job: job.to_owned(),
            chunk: 0,
        };
        self.remove_while(first, |entry| entry.is_completed_of(job));
    }

    /// Drops the description and the bindings of a worker that no longer exists from the live entries.
    fn remove_worker(&mut self, worker: &str) {
        self.remove(&LiveEntry::Worker(worker.to_owned()));
        let first = LiveEntry::Binding {
            worker: worker.to_owned(),
            task: TaskId {
                job: String::new(),
                index: 0,
            },
        };
        self.remove_while(first, |entry| entry.is_binding_of(worker));
    }

    fn insert_slot(&mut self, seq: u64, number: u32, mod_revision: u64) {
        let slot = Slot {
            number,
            mod_revision,
            live_entries: BTreeSet::new(),
        };
        self.slots.insert(seq, slot);
    }

    /// Records that the segment with this sequence number holds a live entry, and that no earlier segment does.
    fn insert(&mut self, entry: LiveEntry, seq: u64) {
        self.remove(&entry);
        if let Some(slot) = self.slots.get_mut(&seq) {
            slot.live_entries.insert(entry.clone());
            self.location.insert(entry, seq);
        }
    }

    fn remove(&mut self, entry: &LiveEntry) {
        if let Some(seq) = self.location.remove(entry)
            && let Some(slot) = self.slots.get_mut(&seq)
        {
            slot.live_entries.remove(entry);
        }
    }

    /// Removes live entries in ascending order, starting at `first`, until an entry doesn't match.
    fn remove_while(&mut self, first: LiveEntry, matches: impl Fn(&LiveEntry) -> bool) {
        let ended: Vec<LiveEntry> = self
            .location
            .range(first..)
            .map(|(entry, _)| entry)
            .take_while(|entry| matches(entry))
            .cloned()
            .collect();
        for entry in ended {
            self.remove(&entry);
        }
    }
}

fn worker_name(segment: &Segment, number: u32) -> String {
    segment.worker_name(number).unwrap_or_default().to_owned()
}

fn job_id(segment: &Segment, number: u32) -> String {
    segment
        .job(number)
        .map_or(String::new(), |job| job.id.clone())
}

fn live_binding(segment: &Segment, worker: u32, job: u32, index: u32) -> LiveEntry {
    LiveEntry::Binding {
        worker: worker_name(segment, worker),
        task: TaskId {
            job: job_id(segment, job),
            index,
        },
    }
}
