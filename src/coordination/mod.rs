//! The decisions: election, the users' desk, scheduling, scaling and the loops that reconcile what
//! is with what is wanted. Pure: inputs and the time come in, actions go out.

pub mod autoscaler;
pub mod controller;
pub mod desk;
pub mod election;
pub mod ends;
pub mod leader;
pub mod outbox;
pub mod scheduler;
pub mod watch;
