//! The leader's records: jobs, workers, bindings and quotas, and how they are stored in the state service.
//!
//! Nothing here opens a socket or reads a clock; times are arguments, in seconds of a monotonic clock.

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
