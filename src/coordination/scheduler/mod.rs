//! The scheduler: assigns waiting tasks to workers.
//!
//! One [`SchedulingCycle`] works through the queue of jobs. For each job it *filters* the workers
//! that its tasks may run on, *scores* these, *reserves* capacity and quota on the best one, and
//! *binds* the task to it. Where no capacity is free, tasks of lower priority may be preempted. A
//! cycle performs no I/O and changes neither jobs nor workers; its result is [`Assignments`].

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
