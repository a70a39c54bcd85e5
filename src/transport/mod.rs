//! Non-blocking sockets, HTTP connections, and length-prefixed frames between controllers. The module does not
//! interpret the bodies of messages.

pub mod client;
pub mod frames;
pub mod http;
pub mod server;
pub mod socket;
