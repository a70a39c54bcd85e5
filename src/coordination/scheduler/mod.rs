//! The scheduler: assigns waiting tasks to workers.
//!
//! A [`SchedulingCycle`] goes through the queue of jobs. For each job it *filters* the workers that
//! the tasks may run on, *scores* them, and for each task *reserves* capacity on the best worker and
//! quota of the team, and *binds* the task to that worker. If no capacity is free, it may preempt
//! tasks of lower priority. A cycle performs no I/O and changes neither jobs nor workers; it returns
//! [`Assignments`].

mod assignments;
mod capacity;
mod cycle;
mod placement;
mod preemption;
mod queue;
mod scoring;

pub use assignments::{Assignments, PendingDemand};
pub use capacity::resource_request;
pub use cycle::{CycleLimits, SchedulingCycle};
