//! Permits: functions that check whether this controller's data permits an action, and return a [`Denial`] if not.
//!
//! An action that is based on stale data can violate the protocol's safety rules. So the view of the open jobs, this
//! controller's local copy of the `open/` keys, must be recent enough before tasks are started or workers' leases are
//! renewed; [`ViewFreshness`] checks this. The other functions check actions on one worker against its bindings and its
//! latest heartbeat. The module reads no clock: the caller computes the ages.

mod decision_counters;
mod denial;
mod freshness;
mod worker_actions;

pub use decision_counters::DecisionCounters;
pub use denial::{Denial, GuardedAction};
pub use freshness::{FreshnessLimits, ViewFreshness};
pub use worker_actions::{may_clear, may_delete, may_start_task, may_unbind_absent};
