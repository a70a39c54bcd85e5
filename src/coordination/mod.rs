//! The decisions: election, the users' API, scheduling, scaling and the loops that reconcile what
//! is with what is wanted. Pure: inputs and the time come in, actions go out.

pub mod autoscaler;
pub mod controller;
pub mod effects;
pub mod election;
pub mod instance_catalog;
pub mod job_api;
pub mod leader;
pub mod peers;
pub mod rate_meter;
pub mod routes;
pub mod scheduler;
pub mod terminations;
pub mod watch;
