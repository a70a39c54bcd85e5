//! Sockets, HTTP and frames. Knows nothing of what the bytes mean.

pub mod client;
pub mod frames;
pub mod http;
pub mod server;
pub mod socket;
