//! Segments, the values of the log's slots. A segment holds the bindings, ends of bindings, terminations and completed
//! tasks that one transaction commits. The segment also contains the entries of the segment that it overwrites that are
//! still live, which means that their binding, worker or job has not ended.
//!
//! Each name is stored once, in tables at the head. Entries refer to names by number and are stored as lists, so that
//! many entries fit into a value.

use super::entries::{
    Amount, BindingEntry, CompletedEntry, EndedBindingEntry, JobEntry, WorkerEntry,
};
use crate::bookkeeping::workers::{Binding, Worker};
use crate::protocol::worker::TaskId;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Maximum number of bytes of the brackets and separators of an entry.
const ENTRY_FRAME_BYTES: usize = 8;
/// Maximum number of bytes of a segment without entries.
const EMPTY_SEGMENT_BYTES: usize = 120;
/// Maximum number of bytes of a job in the table of jobs, apart from its id, its team and the amounts of its request.
const JOB_FRAME_BYTES: usize = 2 * ENTRY_FRAME_BYTES + 12;
/// Maximum number of bytes of the description of a worker, apart from its strings.
const WORKER_FRAME_BYTES: usize = 3 * ENTRY_FRAME_BYTES + 4 + 12;
/// Maximum number of bytes of the numbers in an entry: three amounts, two integers of 64 bits and three of 32 bits.
const ENTRY_NUMBER_BYTES: usize = 3 * 24 + 2 * 20 + 3 * 10;

/// Value of `log/<slot>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Sequence number, which gives the order of the log's segments. The order of the keys does not give it, since
    /// slots are overwritten.
    #[serde(rename = "Seq")]
    pub seq: u64,
    /// Epoch of the leader that wrote the segment: the mod revision of that leader's record.
    #[serde(rename = "Epoch")]
    pub epoch: u64,
    /// Table of worker names; the index of a name is the worker's number in this segment.
    #[serde(rename = "H", default)]
    pub worker_names: Vec<String>,
    /// Table of jobs; the index of a job is its number in this segment.
    #[serde(rename = "J", default)]
    pub jobs: Vec<JobEntry>,
    /// Descriptions of workers. The description in the latest segment is valid.
    #[serde(rename = "K", default)]
    pub workers: Vec<WorkerEntry>,
    /// Bindings, which last until a later segment contains their end or the removal of the worker.
    #[serde(rename = "B", default)]
    pub bindings: Vec<BindingEntry>,
    /// Bindings that have ended.
    #[serde(rename = "E", default)]
    pub ended_bindings: Vec<EndedBindingEntry>,
    /// Numbers of workers that no longer exist; all their bindings have ended.
    #[serde(rename = "G", default)]
    pub removed_workers: Vec<u32>,
    /// Completed tasks of open jobs, a chunk in each entry.
    #[serde(rename = "D", default)]
    pub completed: Vec<CompletedEntry>,
}

impl Segment {
    /// The name of the worker with this number; `None` if the table is too short.
    pub fn worker_name(&self, number: u32) -> Option<&str> {
        self.worker_names.get(number as usize).map(String::as_str)
    }

    /// The job with this number; `None` if the table is too short.
    pub fn job(&self, number: u32) -> Option<&JobEntry> {
        self.jobs.get(number as usize)
    }
}

/// Builds a segment, and computes an upper bound of its size as JSON.
#[derive(Debug, Default)]
pub struct SegmentBuilder {
    segment: Segment,
    worker_numbers: HashMap<String, u32>,
    job_numbers: HashMap<String, u32>,
    bytes: usize,
}

impl SegmentBuilder {
    /// A builder whose segment has no entries yet.
    pub fn new(epoch: u64, seq: u64) -> SegmentBuilder {
        SegmentBuilder {
            segment: Segment {
                seq,
                epoch,
                ..Segment::default()
            },
            bytes: EMPTY_SEGMENT_BYTES,
            ..SegmentBuilder::default()
        }
    }

    /// Upper bound of the size of the segment so far as JSON, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Maximum number of bytes that one entry of any kind for this worker and job adds, with its names but without the
    /// bitmap of completed tasks.
    pub fn entry_bytes(worker: &Worker, job: &str, team: &str) -> usize {
        4 * ENTRY_FRAME_BYTES
            + 2 * worker.name.len()
            + worker.instance_type.len()
            + worker.zone.len()
            + worker.endpoint.len()
            + job.len()
            + team.len()
            + ENTRY_NUMBER_BYTES
    }

    /// Adds the description of a worker, and removes an earlier one of the worker from this segment.
    pub fn describe_worker(&mut self, worker: &Worker, terminating: bool) {
        let number = self.worker_number(&worker.name);
        self.segment.workers.retain(|entry| entry.worker != number);
        self.bytes += WORKER_FRAME_BYTES
            + worker.instance_type.len()
            + worker.zone.len()
            + worker.endpoint.len();
        self.segment.workers.push(WorkerEntry {
            worker: number,
            instance_type: worker.instance_type.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            endpoint: worker.endpoint.clone(),
            terminating,
        });
    }

    /// Adds a binding.
    pub fn bind(&mut self, worker: &str, task: &TaskId, binding: &Binding) {
        let entry = BindingEntry {
            worker: self.worker_number(worker),
            job: self.requesting_job_number(&task.job, binding),
            index: task.index,
            attempt: binding.attempt,
            incarnation: binding.incarnation,
        };
        self.bytes += ENTRY_FRAME_BYTES
            + digits([entry.worker, entry.job, entry.index])
            + digits([entry.attempt, entry.incarnation]);
        self.segment.bindings.push(entry);
    }

    /// Adds the end of a binding.
    pub fn end_binding(&mut self, worker: &str, task: &TaskId, attempt: u64) {
        let entry = EndedBindingEntry {
            worker: self.worker_number(worker),
            job: self.job_number(&task.job),
            index: task.index,
            attempt,
        };
        self.bytes += ENTRY_FRAME_BYTES
            + digits([entry.worker, entry.job, entry.index])
            + digits([entry.attempt]);
        self.segment.ended_bindings.push(entry);
    }

    /// Adds a worker that no longer exists.
    pub fn remove_worker(&mut self, worker: &str) {
        let number = self.worker_number(worker);
        self.bytes += digits([number]) + 1;
        self.segment.removed_workers.push(number);
    }

    /// Adds the completed tasks of a chunk.
    pub fn complete(&mut self, job: &str, chunk: u32, bitmap: String) {
        let job = self.job_number(job);
        self.bytes += ENTRY_FRAME_BYTES + digits([job, chunk]) + bitmap.len();
        self.segment
            .completed
            .push(CompletedEntry { job, chunk, bitmap });
    }

    /// Returns the segment.
    pub fn finish(self) -> Segment {
        self.segment
    }

    /// The number of a worker; adds its name to the table if the table doesn't contain it.
    fn worker_number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.worker_numbers.get(name) {
            return *number;
        }
        let number = self.segment.worker_names.len() as u32;
        self.bytes += name.len() + ENTRY_FRAME_BYTES;
        self.worker_numbers.insert(name.to_owned(), number);
        self.segment.worker_names.push(name.to_owned());
        number
    }

    /// The number of a job; adds the job to the table, without a team and a request, if the table doesn't contain it.
    fn job_number(&mut self, id: &str) -> u32 {
        if let Some(number) = self.job_numbers.get(id) {
            return *number;
        }
        let number = self.segment.jobs.len() as u32;
        self.bytes += id.len() + JOB_FRAME_BYTES;
        self.job_numbers.insert(id.to_owned(), number);
        self.segment.jobs.push(JobEntry::with_id(id));
        number
    }

    /// The number of a job. If the job's entry in the table has no team and request yet, adds those of the binding.
    fn requesting_job_number(&mut self, id: &str, binding: &Binding) -> u32 {
        let number = self.job_number(id);
        if let Some(entry) = self.segment.jobs.get_mut(number as usize)
            && entry.team.is_empty()
        {
            let request = binding.request;
            let amounts = [request.cpus, request.gpus, request.ram_gb];
            let amount_bytes: usize = amounts
                .map(|amount| format!("{amount:?}").len())
                .iter()
                .sum();
            self.bytes += binding.team.len() + amount_bytes;
            entry.team.clone_from(&binding.team);
            [entry.cpus, entry.gpus, entry.ram_gb] = amounts.map(Amount);
        }
        number
    }
}

/// Total number of decimal digits of some numbers.
fn digits<N: Into<u64>, const COUNT: usize>(numbers: [N; COUNT]) -> usize {
    let digits_of = |number: u64| number.checked_ilog10().map_or(1, |log| log as usize + 1);
    numbers
        .into_iter()
        .map(|number| digits_of(number.into()))
        .sum()
}
