//! Permits: checks whether this controller's data permits an action, and if not, why.
//!
//! An action that is based on stale data can violate the protocol's safety rules. So each decision takes the age of
//! its data into account, and gives the reason of a denial as a [`Denial`]. The module reads no clock: the caller
//! computes the ages.

mod decision_counters;
mod denial;
mod freshness;
mod worker_actions;

pub use decision_counters::DecisionCounters;
pub use denial::{Denial, GuardedAction};
pub use freshness::{FreshnessLimits, ViewFreshness};
pub use worker_actions::{may_clear, may_delete, may_start_task, may_unbind_absent};
