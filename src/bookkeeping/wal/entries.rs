//! Entries of a segment. Each entry is stored as a list of its fields, in the order of the struct and without names.
//!
//! An entry refers to a worker or job by a number: the index in the segment's table of worker names or of jobs.

use crate::bookkeeping::workers::Resources;
use crate::protocol::cbor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A decimal number; its stored form may also be an integer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Amount(#[serde(deserialize_with = "cbor::amount")] pub f64);

/// A job in the segment's table of jobs. Its team and its request are stored so that the resources of its bindings can
/// be accounted for after the job has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct JobEntry {
    /// Id of the job.
    pub id: String,
    /// Team of the job; empty if the segment has no binding of the job.
    pub team: String,
    /// CPU cores that a task requests.
    pub cpus: Amount,
    /// GPU devices that a task requests.
    pub gpus: Amount,
    /// Memory in GB that a task requests.
    pub ram_gb: Amount,
}

impl JobEntry {
    /// An entry with an id, but without a team and a request.
    pub(super) fn with_id(id: &str) -> JobEntry {
        JobEntry {
            id: id.to_owned(),
            team: String::new(),
            cpus: Amount(0.0),
            gpus: Amount(0.0),
            ram_gb: Amount(0.0),
        }
    }

    /// The resources that one task requests.
    pub fn request(&self) -> Resources {
        Resources {
            cpus: self.cpus.0,
            gpus: self.gpus.0,
            ram_gb: self.ram_gb.0,
        }
    }
}

/// The description of a worker, which a new leader needs to put the worker into its registry.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Number of the worker.
    pub worker: u32,
    /// Name of the instance type.
    pub instance_type: String,
    /// Zone of the instance.
    pub zone: String,
    /// Whether the worker's instance is a spot instance.
    pub spot: bool,
    /// Address of the worker's server; empty if it was unknown when the entry was written.
    pub endpoint: String,
    /// The worker's instance is to be deleted.
    pub terminating: bool,
}

/// A task that is bound to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BindingEntry {
    /// Number of the worker.
    pub worker: u32,
    /// Number of the job.
    pub job: u32,
    /// Index of the task.
    pub index: u32,
    /// Number of the task's attempt.
    pub attempt: u64,
    /// Incarnation of the worker to which the task was bound.
    pub incarnation: u64,
}

/// A binding that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedBindingEntry {
    /// Number of the worker.
    pub worker: u32,
    /// Number of the job.
    pub job: u32,
    /// Index of the task.
    pub index: u32,
    /// Number of the task's attempt.
    pub attempt: u64,
}

/// The completed tasks of one chunk of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedEntry {
    /// Number of the job.
    pub job: u32,
    /// Number of the chunk, from 0; a chunk has [`TASKS_PER_CHUNK`](super::TASKS_PER_CHUNK) tasks.
    pub chunk: u32,
    /// Which tasks of the chunk are complete, as encoded by [`encode_chunk`](super::encode_chunk).
    pub bitmap: String,
}

/// Implements serialization and deserialization of a struct as a list of its fields.
macro_rules! stored_as_list {
    ($entry:ident { $($field:ident),+ }) => {
        impl Serialize for $entry {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                ($(&self.$field,)+).serialize(serializer)
            }
        }

        impl<'de> Deserialize<'de> for $entry {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$entry, D::Error> {
                let ($($field,)+) = Deserialize::deserialize(deserializer)?;
                Ok($entry { $($field),+ })
            }
        }
    };
}

stored_as_list!(JobEntry {
    id,
    team,
    cpus,
    gpus,
    ram_gb
});
stored_as_list!(WorkerEntry {
    worker,
    instance_type,
    zone,
    spot,
    endpoint,
    terminating
});
stored_as_list!(BindingEntry {
    worker,
    job,
    index,
    attempt,
    incarnation
});
stored_as_list!(EndedBindingEntry {
    worker,
    job,
    index,
    attempt
});
stored_as_list!(CompletedEntry { job, chunk, bitmap });
