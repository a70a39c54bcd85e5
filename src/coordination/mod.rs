//! The decisions: election, the users' API, scheduling, scaling and the loops that reconcile what
//! is with what is wanted. Pure: inputs and the time come in, actions go out.

pub mod autoscaler;
pub mod catalogue;
pub mod controller;
pub mod election;
pub mod frontend;
pub mod leader;
pub mod outbox;
pub mod peers;
pub mod routes;
pub mod scheduler;
pub mod terminations;
pub mod watch;
