//! What is known and what is written down: jobs, hosts, bindings, quotas and their records in the
//! state service. Pure: no sockets, no clocks; times are passed in, in seconds of a steady clock.

pub mod budget;
pub mod failures;
pub mod hosts;
pub mod invariants;
pub mod jobs;
pub mod ledger;
pub mod pending_starts;
pub mod permits;
pub mod quotas;
pub mod records;
pub mod ring;
pub mod segment;
