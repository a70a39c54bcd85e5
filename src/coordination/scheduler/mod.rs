//! The scheduler: assigns waiting tasks to workers.
//!
//! A [`SchedulingCycle`] goes through the queue of jobs. For each job it *filters* the workers that
//! the tasks may run on, and *scores* these workers. For each task it *reserves* capacity on the best
//! worker, counts the task towards the team's limit, and *binds* the task to the worker. If no
//! capacity is free, it may preempt tasks of lower priority, or tasks of teams that exceed their quota.
//! A cycle performs no I/O and changes neither jobs nor workers; it returns [`Assignments`].
//!
//! A team's *quota* is the amount of resources that is guaranteed to the team, and its *limit* is the
//! maximum that the team may use. A *gang* is a job whose tasks are placed all together or not at all.

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
