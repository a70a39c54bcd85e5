//! Wire types of every interface and their encodings.

pub mod cbor;
pub mod cloud;
pub mod job;
pub mod peer;
pub mod state;
pub mod token;
pub mod worker;
