//! Open jobs, and which of their tasks are bound, running or complete.

mod job;
mod registry;
mod task_set;

pub use job::Job;
pub use registry::Jobs;
pub use task_set::TaskSet;
