//! Divides the sockets that the process may use among the kinds of connections. A peer is another controller.

use crate::settings::Settings;

/// Share of the sockets that no kind of connection may use: it is for listeners and for connections that are being
/// closed.
const RESERVED_SHARE: f64 = 0.03;
/// Number of sockets for connections from one peer. After a peer has reconnected, its earlier connections may still be
/// open.
const INCOMING_PER_PEER: usize = 3;
/// Number of sockets for connections to one peer.
const OUTGOING_PER_PEER: usize = 1;
/// Largest number of connections to the state service. Two are occupied by watches. The other 26 are more than the
/// controller has requests in flight at a time, so that the renewal of a lease never waits for a free connection.
const STATE_SERVICE_CONNECTIONS: usize = 28;
/// Largest number of connections to the cloud.
const CLOUD_CONNECTIONS: usize = 4;

/// Largest number of sockets for each kind of connection. The sum stays within `max_sockets` of the settings, unless
/// `max_sockets` is too low for the fixed numbers in this file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBudget {
    /// Connections from workers, users and the load balancer.
    pub requests: usize,
    /// Connections from peers.
    pub incoming_peers: usize,
    /// Connections to the state service.
    pub state_service: usize,
    /// Connections to the cloud.
    pub cloud: usize,
    /// Connections to workers, for direct calls (see [`protocol::worker`](crate::protocol::worker)).
    pub direct_calls: usize,
}

impl SocketBudget {
    /// Returns the budget of a controller with these settings. Connections for requests get the sockets that remain
    /// after those for other purposes, but at least one.
    pub fn new(settings: &Settings) -> SocketBudget {
        let limits = &settings.deployment.quota;
        let peers = settings.peers.len();
        let incoming_peers = INCOMING_PER_PEER * peers;
        let reserved = limits.direct_sockets()
            + OUTGOING_PER_PEER * peers
            + incoming_peers
            + STATE_SERVICE_CONNECTIONS
            + CLOUD_CONNECTIONS
            + (limits.max_sockets as f64 * RESERVED_SHARE) as usize;
        SocketBudget {
            requests: limits.max_sockets.saturating_sub(reserved).max(1),
            incoming_peers,
            state_service: STATE_SERVICE_CONNECTIONS,
            cloud: CLOUD_CONNECTIONS,
            direct_calls: limits.direct_sockets(),
        }
    }
}
