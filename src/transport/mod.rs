//! Sockets, HTTP and frames. This module carries bytes and does not interpret the content of messages.

pub mod client;
pub mod frames;
pub mod http;
pub mod server;
pub mod socket;
