//! The write-ahead log, through which the leader commits its changes, batched in one transaction at a time.
//!
//! Bindings, ends of bindings, terminations of workers and completed tasks are stored in the log, a ring of keys
//! `log/<slot>`. Each transaction writes a new [`Segment`] to the oldest slot, and copies to it the entries of the
//! overwritten segment that are still live. If the ring has too few slots for its live entries, the transaction adds a
//! new slot instead.
//! Finished jobs and provisioning requests have keys of their own, which are written in the same transaction.
//!
//! Every transaction is conditional on the mod revisions of `leader`, of the slot, and of `open/<id>` for every job
//! that it finishes or whose tasks it binds. So a deposed leader can't write, and a job's cancellation makes the
//! transaction fail if the cancellation is committed first. A condition that has failed once can never hold again, and
//! no other transaction is sent before the outcome of the current one is known. So no transaction is ever executed
//! twice, or after the log has recorded that it failed.

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
