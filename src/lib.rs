//! cedarladder: a cluster scheduler for rented instances.
//!
//! Users submit jobs to any one of a few controllers. One controller is the leader: it scales pools of instances out
//! and in through the cloud's API, schedules tasks on the workers of the instances, and writes its decisions to a
//! write-ahead log in the state service, a consensus-backed key-value store. Any controller may fail at any time.
//!
//! `docs/architecture.md` describes the programs, which component owns which state, and what happens on each path;
//! `docs/design.md` holds the design decisions with their reasons, and a glossary.
//!
//! # Layers
//!
//! | module | content | uses |
//! | --- | --- | --- |
//! | [`coordination`] | decisions: election, job API, leader, scheduler, autoscaler | [`bookkeeping`], [`protocol`] |
//! | [`bookkeeping`] | tables of jobs and workers, records in the state service, the write-ahead log | [`protocol`] |
//! | [`protocol`] | types of messages and records, and their encodings | |
//! | [`transport`] | sockets, HTTP, and frames between controllers | |
//!
//! [`coordination`] and [`bookkeeping`] do no I/O: they are given inputs and the time, and return
//! [`effects`](coordination::effects), which are actions for the caller to execute. [`daemon`] is the event loop: it
//! owns the sockets and the clock, passes inputs to the controller and executes the effects. [`cli`] is the command
//! line. [`settings`] and [`policy`] read the two files that a controller reads when it starts. [`latency`] records and
//! logs the latencies of requests and calls.
//!
//! # Suggested reading order
//!
//! 1. [`coordination::effects`] and [`coordination::controller`]: the inputs of a controller, the component that
//!    handles each of them, and the resulting effects.
//! 2. [`protocol`]: messages to and from the state service ([`protocol::kv`]), workers ([`protocol::worker`]), the
//!    cloud ([`protocol::cloud`]) and users ([`protocol::job`]).
//! 3. [`coordination::election`], then [`bookkeeping::permits`]: which actions a controller may take, and how recent
//!    its view of the state must be for each.
//! 4. [`bookkeeping`]: records and tables, then the write-ahead log.
//! 5. [`coordination::leader`], [`coordination::scheduler`], [`coordination::autoscaler`] and
//!    [`coordination::job_api`].
//! 6. [`daemon`] and [`transport`], which read and write sockets.

#![warn(missing_docs)]

pub mod bookkeeping;
pub mod cli;
pub mod coordination;
pub mod daemon;
pub mod latency;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod transport;
