//! Reconciliation: compares a worker's latest heartbeat with its bindings to decide which commands to send to it, and
//! whether to revoke start commands that were sent before.

mod commands;
mod revocation;
mod revocation_counters;

pub use commands::commands;
pub use revocation::pending_revocation;
pub use revocation_counters::RevocationCounters;
