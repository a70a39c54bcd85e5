//! Control logic: leader election, the job API, scheduling, autoscaling and the reconciliation of the actual with
//! the desired state. The modules perform no I/O: they take inputs and the current time, and return or queue effects.

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
