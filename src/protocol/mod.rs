//! Wire types of every interface and their encodings.
//!
//! | interface | module | encoding |
//! | --- | --- | --- |
//! | users | [`job`] | HTTP, CBOR |
//! | workers | [`worker`], [`token`] | HTTP, CBOR |
//! | state service | [`kv`] | HTTP, CBOR |
//! | cloud | [`cloud`] | HTTP, CBOR |
//! | other controllers | [`peer`] | frames, `rkyv` |
//!
//! A request type knows its HTTP form (`http_request`) and the meaning of each response (`response`); a response that
//! is not usable leaves the outcome unknown. Names on the wire are mapped here, by `serde(rename)`, and appear nowhere
//! else. Amounts are floating-point numbers, with the unit in the field's name.

pub mod cbor;
pub mod cloud;
pub mod http_status;
pub mod job;
pub mod kv;
pub mod peer;
pub mod token;
pub mod worker;
