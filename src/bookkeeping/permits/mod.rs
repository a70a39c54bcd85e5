//! Permits: whether an action may be taken on what this controller knows now, and if not, why.
//!
//! Actions on stale knowledge are what breaks the rules of the protocol, so the age of the knowledge that a
//! decision rests on is part of it, and the reason of each denial is a type. The module reads no clock:
//! the caller works out the ages.

mod decision_counters;
mod denial;
mod freshness;
mod worker_actions;

pub use decision_counters::DecisionCounters;
pub use denial::{Denial, GuardedAction};
pub use freshness::{FreshnessLimits, ViewFreshness};
pub use worker_actions::{may_clear, may_delete, may_start_task, may_unbind_absent};
