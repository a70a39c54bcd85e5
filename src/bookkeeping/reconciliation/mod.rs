//! What is to be sent to a worker: its latest heartbeat compared with its bindings.

mod commands;
mod revocation;
mod revocation_counters;

pub use commands::commands;
pub use revocation::pending_revocation;
pub use revocation_counters::RevocationCounters;
