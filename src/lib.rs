//! cedarladder: a cluster scheduler for rented instances.
//!
//! Users submit jobs to any of a few controllers. One controller is the leader: it scales pools of instances out
//! and in through the cloud's API, schedules tasks on the workers that run there, and writes what it decides to a
//! write-ahead log in the state service, a consensus-backed key-value store. Any controller may fail at any time.
//!
//! `docs/architecture.md` describes the programs, who owns which state, and what happens on each path;
//! `docs/design.md` has the decisions with their reasons and a glossary.
//!
//! # Layers
//!
//! | module | what it holds | uses |
//! | --- | --- | --- |
//! | [`coordination`] | decisions: election, job API, leader, scheduler, autoscaler | [`bookkeeping`], [`protocol`] |
//! | [`bookkeeping`] | what is known and what is written down | [`protocol`] |
//! | [`protocol`] | wire types and their encodings | |
//! | [`transport`] | sockets, HTTP, frames between controllers | |
//!
//! The first two are pure: inputs, the time and a random generator are passed in, and
//! [`effects`](coordination::effects) come out. [`daemon`] is the event loop that owns the sockets and the clock, passes
//! inputs in and carries effects out. [`cli`] is the command line; [`settings`] and [`policy`] are the two files that a
//! controller reads at its start; [`latency`] counts how long calls take.
//!
//! # Order of reading
//!
//! 1. [`coordination::effects`] and [`coordination::controller`]: what goes into a controller, who handles it, and
//!    what comes out.
//! 2. [`protocol`]: the state service ([`protocol::kv`]), workers ([`protocol::worker`]), the cloud
//!    ([`protocol::cloud`]) and users ([`protocol::job`]).
//! 3. [`coordination::election`], then [`bookkeeping::permits`]: who may do what, on how old a view.
//! 4. [`bookkeeping`]: the records and tables, then the write-ahead log.
//! 5. [`coordination::leader`], [`coordination::scheduler`], [`coordination::autoscaler`] and
//!    [`coordination::job_api`].
//! 6. [`daemon`] and [`transport`], which carry bytes.

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
