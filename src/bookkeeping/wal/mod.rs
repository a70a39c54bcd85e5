//! The write-ahead log: the leader's writes, folded into one transaction at a time.
//!
//! Bindings, their ends, terminations of workers and completed tasks go to the log, a ring of keys
//! `log/<slot>`. Each transaction overwrites the oldest slot with a new [`Segment`], into which it carries over
//! the entries of the old one that are still live; the ring grows only while too little of it is free. Jobs
//! that finish and provisioning requests are keys of their own, written in the same transaction.
//!
//! Every transaction is conditional on the mod revisions of `leader`, of the slot, and of `open/<id>` of
//! every job that it binds tasks of or finishes. So a deposed leader writes nothing, and a cancellation wins.
//! A condition that has failed once can never hold again, and nothing else is written before the outcome of
//! a transaction is known; so none is ever applied late or twice.

mod completed_tasks;
mod draft;
mod entries;
mod log;
mod log_entry;
mod ring;
mod segment;

pub use completed_tasks::{TASKS_PER_CHUNK, decode_chunk, encode_chunk};
pub use draft::TxnLimits;
pub use entries::{Amount, BindingEntry, CompletedEntry, EndedBindingEntry, JobEntry, WorkerEntry};
pub use log::WriteAheadLog;
pub use log_entry::{LogEntry, RejectedBinding};
pub use segment::{Segment, SegmentBuilder};
