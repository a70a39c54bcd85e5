//! What is known and what is written down: jobs, workers, bindings, quotas and their records in the
//! state service. Pure: no sockets, no clocks; times are passed in, in seconds of a steady clock.

pub mod failure_attribution;
pub mod invariants;
pub mod jobs;
pub mod pending_starts;
pub mod permits;
pub mod quotas;
pub mod rate_limit;
pub mod records;
pub mod ring;
pub mod segment;
pub mod workers;
pub mod write_ahead_log;
