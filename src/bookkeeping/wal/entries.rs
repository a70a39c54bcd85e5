//! Entries of a segment. Each is stored as the list of its fields in their order, without names.

use crate::bookkeeping::workers::Resources;
use crate::protocol::cbor;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A number that may have been written as an integer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Amount(#[serde(deserialize_with = "cbor::amount")] pub f64);

/// A job in the segment's table of jobs, with what is needed to count its bindings after it has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct JobEntry {
    /// Id of the job.
    pub id: String,
    /// Team of the job; empty where only the id matters.
    pub team: String,
    /// CPU cores that a task requests.
    pub cpus: Amount,
    /// GPU devices that a task requests.
    pub gpus: Amount,
    /// Memory in GB that a task requests.
    pub ram_gb: Amount,
}

impl JobEntry {
    /// An entry of which only the id matters.
    pub(super) fn with_id(id: &str) -> JobEntry {
        JobEntry {
            id: id.to_owned(),
            team: String::new(),
            cpus: Amount(0.0),
            gpus: Amount(0.0),
            ram_gb: Amount(0.0),
        }
    }

    /// What one task requests.
    pub fn request(&self) -> Resources {
        Resources {
            cpus: self.cpus.0,
            gpus: self.gpus.0,
            ram_gb: self.ram_gb.0,
        }
    }
}

/// The description of a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Number of the worker's name.
    pub worker: u32,
    /// Name of the instance type.
    pub instance_type: String,
    /// Zone of the instance.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Address of the worker's server; empty if it was unknown.
    pub endpoint: String,
    /// The worker is to be released.
    pub terminating: bool,
}

/// A task that is bound to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BindingEntry {
    /// Number of the worker's name.
    pub worker: u32,
    /// Number of the job.
    pub job: u32,
    /// Index of the task.
    pub index: u32,
    /// Number of the task's attempt.
    pub attempt: u64,
    /// Incarnation of the worker for which the task was bound.
    pub incarnation: u64,
}

/// A binding that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedBindingEntry {
    /// Number of the worker's name.
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
    /// Number of the chunk.
    pub chunk: u32,
    /// The tasks, as [`encode_chunk`](super::encode_chunk) writes them.
    pub bitmap: String,
}

/// Stores a struct as the list of its fields.
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
