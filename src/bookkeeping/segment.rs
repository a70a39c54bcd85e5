//! One value of the write-ahead log: what a transaction bound, ended, marked and completed, with
//! what it carried over from the segment that it overwrote.
//!
//! Names stand once, in tables at the head; entries refer to them by number, and all are lists, to
//! fit many into a value.

use super::jobs::TaskSet;
use super::workers::{Resources, Worker};
use crate::protocol::cbor;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Tasks in a chunk of a job's completed tasks.
pub const TASKS_PER_CHUNK: u32 = 256;

/// A number that may have been written as an integer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Amount(#[serde(deserialize_with = "cbor::amount")] pub f64);

/// A job: id, team and what a task takes, so that it can be counted even after the job is over.
pub type JobEntry = (String, String, Amount, Amount, Amount);
/// What a worker is: number of the name, type, zone, spot, worker's address, returning.
pub type WorkerEntry = (u32, String, String, bool, String, bool);
/// A binding: numbers of worker and job, task, attempt, incarnation.
pub type BindingEntry = (u32, u32, u32, u64, u64);
/// The end of a binding: numbers of worker and job, task, attempt.
pub type EndedBindingEntry = (u32, u32, u32, u64);
/// Completed tasks: number of the job, of the chunk, and a bitmap in hexadecimal.
pub type CompletedEntry = (u32, u32, String);

/// Value of `log/<slot>`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Place in the log's order; the keys are used again and again.
    #[serde(rename = "Seq")]
    pub seq: u64,
    /// The leader that wrote it.
    #[serde(rename = "Epoch")]
    pub epoch: u64,
    /// Names of workers.
    #[serde(rename = "H", default)]
    pub worker_names: Vec<String>,
    /// Jobs.
    #[serde(rename = "J", default)]
    pub jobs: Vec<JobEntry>,
    /// What workers are.
    #[serde(rename = "K", default)]
    pub workers: Vec<WorkerEntry>,
    /// Bindings.
    #[serde(rename = "B", default)]
    pub bindings: Vec<BindingEntry>,
    /// Ends of bindings.
    #[serde(rename = "E", default)]
    pub ended_bindings: Vec<EndedBindingEntry>,
    /// Workers that are gone, with all bindings.
    #[serde(rename = "G", default)]
    pub removed_workers: Vec<u32>,
    /// Completed tasks.
    #[serde(rename = "D", default)]
    pub completed: Vec<CompletedEntry>,
}

impl Segment {
    /// Whether a worker's or job's number, if the entry has one, names something.
    pub fn worker_name(&self, number: u32) -> Option<&str> {
        self.worker_names.get(number as usize).map(String::as_str)
    }
    /// The job with a number.
    pub fn job(&self, number: u32) -> Option<&JobEntry> {
        self.jobs.get(number as usize)
    }
}

/// Completed tasks of a chunk: four tasks a digit, the lowest bit first.
pub fn encode_chunk(done: &TaskSet, chunk: u32, tasks: u32) -> String {
    let first = chunk * TASKS_PER_CHUNK;
    let last = (first + TASKS_PER_CHUNK).min(tasks);
    (first..last)
        .step_by(4)
        .filter_map(|four| {
            let digit = (0..4).fold(0, |sum, bit| {
                sum | (u32::from(done.contains(four + bit)) << bit)
            });
            char::from_digit(digit, 16)
        })
        .collect()
}

/// Numbers of the completed tasks of a chunk.
pub fn decode_chunk(chunk: u32, bits: &str) -> impl Iterator<Item = u32> + '_ {
    bits.chars()
        .take(TASKS_PER_CHUNK as usize / 4)
        .enumerate()
        .flat_map(move |(i, digit)| {
            let digit = digit.to_digit(16).unwrap_or(0);
            let four = chunk
                .saturating_mul(TASKS_PER_CHUNK)
                .saturating_add(i as u32 * 4);
            (0..4)
                .filter(move |bit| digit & (1 << bit) != 0)
                .map(move |bit| four + bit)
        })
}

fn digits(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// Brackets and separators of an entry, at most.
const FRAME: usize = 8;
/// The segment without entries.
const EMPTY: usize = 120;

/// Builds a segment and counts its size as JSON, never too low.
#[derive(Debug, Default)]
pub struct SegmentBuilder {
    segment: Segment,
    worker_numbers: HashMap<String, u32>,
    job_numbers: HashMap<String, u32>,
    bytes: usize,
}

impl SegmentBuilder {
    /// An empty segment.
    pub fn new(epoch: u64, seq: u64) -> SegmentBuilder {
        SegmentBuilder {
            segment: Segment {
                seq,
                epoch,
                ..Segment::default()
            },
            bytes: EMPTY,
            ..SegmentBuilder::default()
        }
    }

    /// Its size so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What any one entry with its names may add, apart from a bitmap.
    pub fn entry_bytes(worker: &Worker, job: &str, team: &str) -> usize {
        4 * FRAME
            + 2 * worker.name.len()
            + worker.instance_type.len()
            + worker.zone.len()
            + worker.endpoint.len()
            + job.len()
            + team.len()
            + 3 * 24
            + 2 * 20
            + 3 * 10
    }

    fn worker_number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.worker_numbers.get(name) {
            return *number;
        }
        let number = self.segment.worker_names.len() as u32;
        self.bytes += name.len() + FRAME;
        self.worker_numbers.insert(name.to_owned(), number);
        self.segment.worker_names.push(name.to_owned());
        number
    }

    /// `need` is left out where only the job's name matters.
    fn job_number(&mut self, id: &str, need: Option<(&str, Resources)>) -> u32 {
        let number = match self.job_numbers.get(id) {
            Some(number) => *number,
            None => {
                let number = self.segment.jobs.len() as u32;
                self.bytes += id.len() + 2 * FRAME + 12;
                self.job_numbers.insert(id.to_owned(), number);
                let none = Amount(0.0);
                self.segment
                    .jobs
                    .push((id.to_owned(), String::new(), none, none, none));
                number
            }
        };
        if let Some((team, need)) = need
            && let Some(entry) = self.segment.jobs.get_mut(number as usize)
            && entry.1.is_empty()
        {
            let amounts = [need.cpus, need.gpus, need.ram_gb];
            self.bytes += team.len()
                + amounts
                    .map(|a| format!("{a:?}").len())
                    .iter()
                    .sum::<usize>();
            entry.1 = team.to_owned();
            [entry.2, entry.3, entry.4] = amounts.map(Amount);
        }
        number
    }

    /// Says what a worker is.
    pub fn describe_worker(&mut self, worker: &Worker, returning: bool) {
        let number = self.worker_number(&worker.name);
        self.segment.workers.retain(|kind| kind.0 != number);
        self.bytes += 3 * FRAME
            + 4
            + worker.instance_type.len()
            + worker.zone.len()
            + worker.endpoint.len()
            + 12;
        self.segment.workers.push((
            number,
            worker.instance_type.clone(),
            worker.zone.clone(),
            worker.spot,
            worker.endpoint.clone(),
            returning,
        ));
    }

    /// Adds a binding.
    pub fn bind(
        &mut self,
        worker: &str,
        (job, index): (&str, u32),
        (team, need): (&str, Resources),
        (attempt, incarnation): (u64, u64),
    ) {
        let worker = self.worker_number(worker);
        let job = self.job_number(job, Some((team, need)));
        self.bytes += FRAME
            + [worker, job, index]
                .map(|n| digits(n.into()))
                .iter()
                .sum::<usize>()
            + digits(attempt)
            + digits(incarnation);
        self.segment
            .bindings
            .push((worker, job, index, attempt, incarnation));
    }

    /// Adds the end of a binding.
    pub fn end_binding(&mut self, worker: &str, job: &str, index: u32, attempt: u64) {
        let worker = self.worker_number(worker);
        let job = self.job_number(job, None);
        self.bytes += FRAME
            + [worker, job, index]
                .map(|n| digits(n.into()))
                .iter()
                .sum::<usize>()
            + digits(attempt);
        self.segment
            .ended_bindings
            .push((worker, job, index, attempt));
    }

    /// Adds a worker that is gone.
    pub fn remove_worker(&mut self, worker: &str) {
        let worker = self.worker_number(worker);
        self.bytes += digits(worker.into()) + 1;
        self.segment.removed_workers.push(worker);
    }

    /// Adds the completed tasks of a chunk.
    pub fn complete(&mut self, job: &str, chunk: u32, bits: String) {
        let job = self.job_number(job, None);
        self.bytes += FRAME + digits(job.into()) + digits(chunk.into()) + bits.len();
        self.segment.completed.push((job, chunk, bits));
    }

    /// The segment.
    pub fn finish(self) -> Segment {
        self.segment
    }
}
