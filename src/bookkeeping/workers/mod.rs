//! The leader's records of workers, which run the tasks, one worker on each instance.
//!
//! [`Worker`] holds the tasks that the leader has bound to a worker and the tasks that the worker's heartbeats list.
//! This module does not decide which actions to take: [`super::permits`] and [`super::reconciliation`] do, based on
//! these records.

mod availability;
mod binding;
mod delivery;
mod pending_starts;
mod registry;
mod resources;
mod revocation;
mod worker;

pub use availability::{Unavailability, UnavailableReason};
pub use binding::{Binding, Eviction, EvictionReason};
pub use delivery::DeliveryPath;
pub use pending_starts::{CallOutcome, PendingStarts};
pub use registry::Workers;
pub use resources::Resources;
pub use revocation::RevocationReason;
pub use worker::Worker;
