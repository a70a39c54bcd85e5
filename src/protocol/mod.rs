//! Wire types of every interface and their encodings.

pub mod cbor;
pub mod cloud;
pub mod job;
pub mod kv;
pub mod peer;
pub mod token;
pub mod worker;
