//! cedarladder: a cluster scheduler for rented machines.
//!
//! The layers, each using only those below it: [`coordination`], [`bookkeeping`], [`protocol`],
//! [`transport`]. Beside them: [`settings`], [`policy`], [`latency`], [`cli`] and [`daemon`],
//! which wires the event loop.

pub mod bookkeeping;
pub mod cli;
pub mod coordination;
pub mod daemon;
pub mod latency;
pub mod policy;
pub mod protocol;
pub mod settings;
pub mod transport;
