//! Terminations of jobs. They are sent to the peers with every heartbeat until all peers have acknowledged them.
//!
//! A leader that the state service does not serve learns of cancellations only from its peers. Correctness does not
//! depend on the peers: a leader that misses a cancellation stops renewing workers' leases in time (see
//! [`ElectionTimeouts::lease_grace_s`](super::election::ElectionTimeouts::lease_grace_s)). Therefore the queue may drop
//! terminations: those older than `retention_s`, when all tasks of a cancelled job must have stopped, and the oldest
//! ones if there are too many.

use crate::protocol::peer::{MAX_TERMINATIONS, Termination, TerminationAck, TerminationLog};
use std::collections::{BTreeMap, VecDeque};

/// A termination that at least one peer has not acknowledged.
#[derive(Debug)]
struct QueuedTermination {
    queued_at: f64,
    termination: Termination,
}

/// How far the terminations of a peer have been received, for the acknowledgement to it.
#[derive(Debug)]
struct ReceivedTerminations {
    /// The process of the peer that has sent them.
    process_incarnation: u64,
    /// All terminations with a sequence number below this one have been received, or were dropped by the peer without
    /// having been received.
    up_to: u64,
}

/// Terminations to send to the peers, and the acknowledgements to send for theirs.
#[derive(Debug)]
pub struct TerminationQueue {
    label: String,
    /// Distinguishes this process from earlier processes of the same controller, whose sequence numbers are unrelated.
    process_incarnation: u64,
    /// Sequence number of the first termination in the queue.
    first_sequence: u64,
    queue: VecDeque<QueuedTermination>,
    /// Seconds after which a termination is dropped even if peers have not acknowledged it.
    retention_s: f64,
    /// For each peer, the sequence number below which it has acknowledged all terminations.
    acknowledged: BTreeMap<String, u64>,
    received: BTreeMap<String, ReceivedTerminations>,
}

impl TerminationQueue {
    /// Creates an empty queue. `peers` holds the labels of the peers.
    pub fn new(
        label: &str,
        process_incarnation: u64,
        peers: impl Iterator<Item = String>,
        retention_s: f64,
    ) -> TerminationQueue {
        TerminationQueue {
            label: label.to_owned(),
            process_incarnation,
            first_sequence: 0,
            queue: VecDeque::new(),
            retention_s,
            acknowledged: peers.map(|label| (label, 0)).collect(),
            received: BTreeMap::new(),
        }
    }

    /// Queues terminations for the peers, and drops the oldest ones if there are more than `MAX_TERMINATIONS`.
    pub fn push(&mut self, terminations: Vec<Termination>, now: f64) {
        for termination in terminations {
            self.queue.push_back(QueuedTermination {
                queued_at: now,
                termination,
            });
        }
        while self.queue.len() > MAX_TERMINATIONS {
            self.drop_first();
        }
    }

    /// Drops the terminations that are older than the retention period, and builds the message with the others and the
    /// acknowledgements for the next heartbeat to the peers.
    pub fn next_message(&mut self, now: f64) -> TerminationLog {
        self.drop_expired(now);
        let acks = self
            .received
            .iter()
            .map(|(label, received)| TerminationAck {
                label: label.clone(),
                process_incarnation: received.process_incarnation,
                up_to: received.up_to,
            });
        let entries = self.queue.iter().map(|queued| queued.termination.clone());
        TerminationLog {
            process_incarnation: self.process_incarnation,
            first_sequence: self.first_sequence,
            entries: entries.collect(),
            acks: acks.collect(),
        }
    }

    /// Processes the message of a peer. Drops the terminations that all peers have acknowledged, and records which
    /// terminations of the peer to acknowledge with the next heartbeat. Messages of unknown peers are ignored.
    pub fn on_message(&mut self, peer: &str, message: &TerminationLog) {
        let Some(acknowledged) = self.acknowledged.get_mut(peer) else {
            return;
        };
        let own_acks = message.acks.iter().filter(|ack| {
            ack.label == self.label && ack.process_incarnation == self.process_incarnation
        });
        *acknowledged = own_acks.map(|ack| ack.up_to).fold(*acknowledged, u64::max);
        self.drop_acknowledged();
        let received = ReceivedTerminations {
            process_incarnation: message.process_incarnation,
            up_to: message
                .first_sequence
                .saturating_add(message.entries.len() as u64),
        };
        self.received.insert(peer.to_owned(), received);
    }

    fn drop_expired(&mut self, now: f64) {
        while let Some(first) = self.queue.front()
            && now - first.queued_at > self.retention_s
        {
            self.drop_first();
        }
    }

    fn drop_acknowledged(&mut self) {
        let by_all = self.acknowledged.values().copied().min().unwrap_or(0);
        while self.first_sequence < by_all && !self.queue.is_empty() {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        self.queue.pop_front();
        self.first_sequence += 1;
    }
}
