//! Passes updates of the `leader` key from the watch to the election.

use crate::bookkeeping::records::{self, LeaderRecord};
use crate::coordination::election::{Election, LeadershipChange, ObservedLeader};
use crate::coordination::watch::WatchUpdate;
use crate::protocol::cbor::{self, CborError};
use crate::protocol::kv::KeyValue;

/// Why the record under the `leader` key cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("not a leader record: {0}")]
struct LeaderRecordError(#[from] CborError);

/// Applies one watch update to the election. If the key was deleted, `jitter` (from 0 to 1) sets the delay of this
/// controller's next campaign.
pub(super) fn apply(
    update: WatchUpdate,
    election: &mut Election,
    jitter: f64,
    now: f64,
) -> LeadershipChange {
    match update {
        WatchUpdate::Reset {
            items,
            revision,
            is_complete,
        } => {
            let item = items.iter().find(|item| item.key == records::LEADER_KEY);
            match item.and_then(read_or_log) {
                Some(observed) => election.observe_leader(Some(observed), jitter, now),
                None if is_complete => election.observe_no_leader(revision, jitter, now),
                None => LeadershipChange::None,
            }
        }
        WatchUpdate::Put(item) if item.key == records::LEADER_KEY => match read_or_log(&item) {
            Some(observed) => election.observe_leader(Some(observed), jitter, now),
            None => LeadershipChange::None,
        },
        WatchUpdate::Deleted { key, mod_revision } if key == records::LEADER_KEY => {
            election.on_leader_deleted(mod_revision, jitter, now)
        }
        WatchUpdate::Put(_) | WatchUpdate::Deleted { .. } => LeadershipChange::None,
    }
}

/// Reads the record under the `leader` key. Logs an error and returns `None` if it cannot be decoded.
fn read_or_log(item: &KeyValue) -> Option<ObservedLeader> {
    match read_leader(item) {
        Ok(record) => Some(ObservedLeader {
            record,
            mod_revision: item.mod_revision,
        }),
        Err(error) => {
            tracing::error!(mod_revision = item.mod_revision, %error, "leader record unreadable");
            None
        }
    }
}

fn read_leader(item: &KeyValue) -> Result<LeaderRecord, LeaderRecordError> {
    Ok(cbor::from_value(&item.value)?)
}
