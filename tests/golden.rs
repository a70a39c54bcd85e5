//! Golden tests: the bytes on the wire and in the state service, the meaning of the files that operators write, and the
//! output of the program must not change when the sources are refactored. Each case is one line `name<TAB>hex` of a
//! data file in `tests/golden/`. Only the `.rs` files name Rust items, so that renaming an item never changes a data
//! file.
//!
//! Names of cases and pinned texts are part of the data files too, and use some older words: a report is a heartbeat, a
//! session an incarnation, a notice the announcement that a spot instance will be reclaimed, a machine an instance, and
//! a rental a provisioning request.
//!
//! `GOLDEN_WRITE=1 cargo test --locked --test golden` writes the data files anew. Use it only for an intended change of
//! the protocol, the stored records or the program's texts, or for a new version of a library whose messages are in the
//! data files.

#[path = "golden/controllers.rs"]
mod controllers;
#[path = "golden/leaders.rs"]
mod leaders;
#[path = "golden/operator_files.rs"]
mod operator_files;
#[path = "golden/pinned.rs"]
mod pinned;
#[path = "golden/program.rs"]
mod program;
#[path = "golden/records.rs"]
mod records;
#[path = "golden/services.rs"]
mod services;
#[path = "golden/users.rs"]
mod users;
#[path = "golden/workers.rs"]
mod workers;
