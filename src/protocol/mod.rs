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
//! Each type of request to another service converts itself to an HTTP request (`http_request`) and interprets the
//! responses to this request (`response`). After an unusable response, the outcome of the request counts as unknown.
//! Names on the wire appear in this module only, mostly in `serde(rename)`. Amounts are floating-point numbers, with
//! the unit in the field's name.

pub mod cbor;
pub mod cloud;
pub mod http_status;
pub mod job;
pub mod kv;
pub mod peer;
pub mod token;
pub mod worker;
