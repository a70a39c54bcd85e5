//! Permits: whether an action may be taken on what this node knows now, and if not, why.
//!
//! An action on knowledge that has become old is what breaks the rules of the protocol, so the age of what a
//! decision rests on is part of it, and the reason for each denial is a type. The module knows no clocks:
//! ages are worked out by who asks.

use std::collections::BTreeMap;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Action {
    /// Orders to start tasks go out.
    Start,
    /// A worker's lease is renewed.
    Renew,
}

/// Why something may not be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Denial {
    /// This node does not lead.
    NotLeading,
    /// The leader's lease in the state service may have run out.
    LeaseNotHeld,
    /// The state service has refused a call, or left one unanswered, since the open jobs were last seen.
    StateServiceInDoubt,
    /// The view of the open jobs is too old.
    ViewTooOld,
    /// Jobs may have been cancelled long enough ago that their tasks must be gone by the end of a lease.
    HoldOverEnded,
}

/// How old a node's knowledge may be.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// For how long leases are renewed after the lease and the view were last confirmed.
    pub hold_over_s: f64,
    /// The oldest view of the open jobs that allows starts.
    pub start_view_s: f64,
}

/// What a node knows, and how old that is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Knowledge {
    /// This node leads, as far as it knows.
    pub leads: bool,
    /// It certainly holds the leader's lease.
    pub lease_held: bool,
    /// Seconds since that lease was last renewed.
    pub lease_age_s: f64,
    /// Seconds since the view of the open jobs was certainly current.
    pub view_age_s: f64,
    /// Seconds since the state service last refused a call or left one unanswered.
    pub doubt_age_s: f64,
    /// How old these may be.
    pub limits: Limits,
}

impl Knowledge {
    /// Whether orders to start tasks may go out. After an outage a lease has its full time again, while
    /// jobs may have been cancelled before of which this node hasn't heard yet.
    pub fn may_start(&self) -> Result<(), Denial> {
        if !self.leads {
            return Err(Denial::NotLeading);
        }
        if !self.lease_held {
            return Err(Denial::LeaseNotHeld);
        }
        if self.doubt_age_s <= self.view_age_s {
            return Err(Denial::StateServiceInDoubt);
        }
        if self.view_age_s >= self.limits.start_view_s {
            return Err(Denial::ViewTooOld);
        }
        Ok(())
    }

    /// Whether workers' leases may be renewed: only by who knows of every cancellation that could be due.
    pub fn may_renew(&self) -> Result<(), Denial> {
        if !self.leads {
            return Err(Denial::NotLeading);
        }
        if self.lease_age_s.max(self.view_age_s) > self.limits.hold_over_s {
            return Err(Denial::HoldOverEnded);
        }
        Ok(())
    }
}

/// How often actions were allowed and denied, and why.
#[derive(Debug, Default)]
pub struct Tally {
    counts: BTreeMap<(Action, Option<Denial>), u64>,
}

impl Tally {
    /// Counts a decision.
    pub fn count(&mut self, action: Action, decision: Result<(), Denial>) {
        *self.counts.entry((action, decision.err())).or_default() += 1;
    }

    /// Logs the totals since the last time.
    pub fn log(&mut self) {
        for ((action, denial), count) in std::mem::take(&mut self.counts) {
            match denial {
                None => tracing::info!(?action, count, "allowed"),
                Some(reason) => tracing::info!(?action, ?reason, count, "denied"),
            }
        }
    }
}
