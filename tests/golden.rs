//! The bytes on the wire and in the state service, the files that operators write, and what the program
//! prints: all as they were before identifiers were renamed in the sources. Every case is one line of a data
//! file in `tests/golden/`, `name<TAB>hex`; only the `.rs` files name Rust items, so that a renaming never
//! touches a data file.
//!
//! `GOLDEN_WRITE=1 cargo test --locked --test golden` writes the data files anew. That is right only for a
//! change that is meant to alter the protocol, the records or the program's texts, or for a new version of a
//! library whose words stand in them.

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
