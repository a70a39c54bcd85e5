//! The socket budget: how many of the process's sockets each kind of connection may use.

use crate::settings::Settings;

/// Share of the sockets that is reserved for the listeners and for connections that are being closed.
const RESERVED_SHARE: f64 = 0.03;
/// Sockets for connections from each peer: after a peer has reconnected, its old connections may still be open.
const INCOMING_PER_PEER: usize = 3;
/// Sockets for connections to each peer.
const OUTGOING_PER_PEER: usize = 1;
/// Connections to the state service: two are held by watches, the others serve calls. There are more of them than calls
/// in flight at a time, so that the renewal of a lease never waits for a free connection.
const STATE_SERVICE_CONNECTIONS: usize = 28;
/// Connections to the cloud.
const CLOUD_CONNECTIONS: usize = 4;

/// Number of sockets for each kind of connection; their sum stays within the settings' limit.
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
    /// The budget of a controller with these settings. Connections for requests get the sockets that are not reserved
    /// for other kinds, and at least one.
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
