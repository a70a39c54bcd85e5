//! Records of jobs, workers, bindings and quotas, the rules that depend on them, and their form in the state service.
//!
//! A binding is the assignment of a task to a worker. Nothing in this module opens a socket or reads a clock; times
//! are arguments, in seconds of a monotonic clock.

pub mod failure_attribution;
pub mod invariants;
pub mod jobs;
pub mod permits;
pub mod quotas;
pub mod rate_limit;
pub mod reconciliation;
pub mod records;
pub mod wal;
pub mod workers;
