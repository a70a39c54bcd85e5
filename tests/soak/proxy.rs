//! A proxy for the connections from one controller to another. While one of the two is partitioned from its peers (the
//! other controllers), the proxy forwards no bytes.

use super::clock::Clock;
use super::oracle::{Shared, lock};
use super::plan::Fault;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Largest number of bytes that are forwarded at a time.
const CHUNK: usize = 16 * 1024;
/// Interval at which the proxy checks whether the partition has ended, in seconds.
const POLL_INTERVAL_S: f64 = 0.01;

/// The proxy for connections that one controller opens to another.
#[derive(Clone)]
pub struct Proxy {
    pub oracle: Shared,
    pub clock: Clock,
    /// Number of the controller that connects to the proxy.
    pub from: usize,
    /// Number of the controller to which the proxy connects.
    pub to: usize,
    /// Address on which the controller `to` accepts connections of other controllers.
    pub address: SocketAddr,
}

impl Proxy {
    /// Forwards connections until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let Ok((incoming, _)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().forward_connection(incoming));
        }
    }

    async fn forward_connection(self, incoming: TcpStream) {
        self.wait_while_partitioned().await;
        let Ok(outgoing) = TcpStream::connect(self.address).await else {
            return;
        };
        let (in_read, in_write) = incoming.into_split();
        let (out_read, out_write) = outgoing.into_split();
        let requests = self.clone().forward_bytes(in_read, out_write);
        let responses = self.forward_bytes(out_read, in_write);
        tokio::join!(requests, responses);
    }

    async fn forward_bytes(
        self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
    ) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(read) = from.read(&mut chunk).await {
            if read == 0 {
                break;
            }
            self.wait_while_partitioned().await;
            if to.write_all(&chunk[..read]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    /// Waits until neither of the two controllers is partitioned from its peers. Counts the fault once per wait.
    async fn wait_while_partitioned(&self) {
        let mut is_counted = false;
        loop {
            {
                let faults = &mut lock(&self.oracle).faults;
                let is_partitioned = [self.from, self.to]
                    .into_iter()
                    .any(|node| faults.affects_node(Fault::PartitionPeers, node));
                if !is_partitioned {
                    return;
                }
                if !std::mem::replace(&mut is_counted, true) {
                    faults.count(Fault::PartitionPeers);
                }
            }
            self.clock.sleep(POLL_INTERVAL_S).await;
        }
    }
}
