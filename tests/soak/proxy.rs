//! What stands between two controllers: while they are partitioned from each other, it holds all bytes.

use super::clock::Clock;
use super::oracle::{Shared, lock};
use super::plan::Fault;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 * 1024;
/// Seconds between two looks at whether the cut is over.
const POLL_INTERVAL_S: f64 = 0.01;

/// One direction between two controllers.
#[derive(Clone)]
pub struct Proxy {
    pub oracle: Shared,
    pub clock: Clock,
    pub from: usize,
    pub to: usize,
    pub address: SocketAddr,
}

impl Proxy {
    /// Passes connections on until the task is dropped.
    pub async fn run(self, listener: TcpListener) {
        loop {
            let Ok((incoming, _)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(self.clone().pass(incoming));
        }
    }

    async fn pass(self, incoming: TcpStream) {
        self.wait_while_cut().await;
        let Ok(outgoing) = TcpStream::connect(self.address).await else {
            return;
        };
        let (in_read, in_write) = incoming.into_split();
        let (out_read, out_write) = outgoing.into_split();
        let there = self.clone().copy(in_read, out_write);
        let back = self.copy(out_read, in_write);
        tokio::join!(there, back);
    }

    async fn copy(self, mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(read) = from.read(&mut chunk).await {
            if read == 0 {
                break;
            }
            self.wait_while_cut().await;
            if to.write_all(&chunk[..read]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    async fn wait_while_cut(&self) {
        let mut counted = false;
        loop {
            {
                let faults = &mut lock(&self.oracle).faults;
                let cut = [self.from, self.to]
                    .into_iter()
                    .any(|node| faults.affects_node(Fault::PartitionPeers, node));
                if !cut {
                    return;
                }
                if !std::mem::replace(&mut counted, true) {
                    faults.count(Fault::PartitionPeers);
                }
            }
            self.clock.sleep(POLL_INTERVAL_S).await;
        }
    }
}
