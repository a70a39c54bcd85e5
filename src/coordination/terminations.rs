//! Terminations of jobs that peers are told of, again and again until each has acknowledged them.
//!
//! A leader that the state service refuses learns of cancellations in this way only. Nothing relies on
//! it: what a peer has not heard of, it bounds by time (see `Times::hold_over_s`). So the queue may
//! drop what is older than a cancelled task can be, and the oldest when there are too many.

use crate::protocol::peer::{MAX_TERMINATIONS, Termination, TerminationAck, TerminationLog};
use std::collections::{BTreeMap, VecDeque};

/// What this controller has to tell, and what it has heard.
#[derive(Debug)]
pub struct TerminationQueue {
    label: String,
    /// Tells this process from earlier ones of the same controller, whose numbers are others.
    process_incarnation: u64,
    /// Number of the first end in the queue.
    first_sequence: u64,
    queue: VecDeque<(f64, Termination)>,
    /// For so long a peer may need to hear of an end.
    retention_s: f64,
    /// Each peer's high-water mark: it has heard of all ends before this number.
    acknowledged: BTreeMap<String, u64>,
    /// Each peer's life, and the number up to which it was heard.
    on_message: BTreeMap<String, (u64, u64)>,
}

impl TerminationQueue {
    /// An empty queue for these peers.
    pub fn new(
        me: &str,
        process_incarnation: u64,
        peers: impl Iterator<Item = String>,
        keep_s: f64,
    ) -> TerminationQueue {
        TerminationQueue {
            label: me.to_owned(),
            process_incarnation,
            first_sequence: 0,
            queue: VecDeque::new(),
            retention_s: keep_s,
            acknowledged: peers.map(|label| (label, 0)).collect(),
            on_message: BTreeMap::new(),
        }
    }

    /// Adds ends that peers are to be told of.
    pub fn push(&mut self, ended: Vec<Termination>, now: f64) {
        self.queue.extend(ended.into_iter().map(|e| (now, e)));
        while self.queue.len() > MAX_TERMINATIONS {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        self.queue.pop_front();
        self.first_sequence += 1;
    }

    /// What goes into this controller's next word to its peers.
    pub fn next_message(&mut self, now: f64) -> TerminationLog {
        while let Some((since, _)) = self.queue.front()
            && now - since > self.retention_s
        {
            self.drop_first();
        }
        TerminationLog {
            process_incarnation: self.process_incarnation,
            first_sequence: self.first_sequence,
            entries: self.queue.iter().map(|(_, ended)| ended.clone()).collect(),
            acks: self
                .on_message
                .iter()
                .map(|(label, (process_incarnation, up_to))| TerminationAck {
                    label: label.clone(),
                    process_incarnation: *process_incarnation,
                    up_to: *up_to,
                })
                .collect(),
        }
    }

    /// Takes a peer's word: what it has acknowledged need not be told any more, and what it tells is
    /// acknowledged with this controller's next word.
    pub fn on_message(&mut self, peer: &str, terminations: &TerminationLog) {
        let Some(mark) = self.acknowledged.get_mut(peer) else {
            return;
        };
        let acks = terminations.acks.iter().filter(|ack| {
            ack.label == self.label && ack.process_incarnation == self.process_incarnation
        });
        *mark = acks.map(|ack| ack.up_to).fold(*mark, u64::max);
        let all = self.acknowledged.values().copied().min().unwrap_or(0);
        while self.first_sequence < all && !self.queue.is_empty() {
            self.drop_first();
        }
        let up_to = terminations
            .first_sequence
            .saturating_add(terminations.entries.len() as u64);
        self.on_message
            .insert(peer.to_owned(), (terminations.process_incarnation, up_to));
    }
}
