//! Workers: the machines that run tasks, as the leader knows them.
//!
//! [`Worker`] holds what the leader has bound to a worker and what the worker's heartbeats show. Nothing here
//! decides what may be done: that is the part of [`super::permits`] and [`super::reconciliation`], which
//! build on this module.

mod binding;
mod delivery;
mod pending_starts;
mod registry;
mod resources;
mod revocation;
mod worker;

pub use binding::{Binding, Eviction, EvictionReason};
pub use delivery::DeliveryPath;
pub use pending_starts::{CallOutcome, PendingStarts};
pub use registry::Workers;
pub use resources::Resources;
pub use revocation::RevocationReason;
pub use worker::Worker;
