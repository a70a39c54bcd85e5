//! Open jobs, and which of their tasks are bound, running or complete.

mod closed_jobs;
mod job;
mod registry;
mod task_set;

pub use closed_jobs::ClosedJobs;
pub use job::{BoundWorker, Job};
pub use registry::Jobs;
pub use task_set::TaskSet;
