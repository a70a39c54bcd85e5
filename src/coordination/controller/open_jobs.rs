//! Passes updates of the open jobs from the watch to the job API and the leader.

use super::Now;
use crate::bookkeeping::records;
use crate::coordination::job_api::JobApi;
use crate::coordination::leader::Leader;
use crate::coordination::watch::WatchUpdate;
use crate::protocol::cbor;
use crate::protocol::job::JobSpec;
use crate::protocol::kv::KeyValue;
use std::collections::BTreeMap;

/// The components that track the open jobs.
pub(super) struct OpenJobsObservers<'a> {
    pub(super) job_api: &'a mut JobApi,
    pub(super) leader: Option<&'a mut Leader>,
}

impl OpenJobsObservers<'_> {
    /// Applies one update of the watch on `open/`.
    pub(super) fn apply(&mut self, update: WatchUpdate, now: Now) {
        match update {
            WatchUpdate::Reset {
                items,
                revision,
                is_complete,
            } => self.on_listed(items, revision, is_complete, now),
            WatchUpdate::Put(item) => {
                if let Some(id) = item.key.strip_prefix(records::OPEN_PREFIX) {
                    self.on_opened(id, &item, now);
                }
            }
            WatchUpdate::Deleted { key, mod_revision } => {
                if let Some(id) = key.strip_prefix(records::OPEN_PREFIX) {
                    tracing::debug!(job = id, mod_revision, "job deletion watched");
                    self.job_api.on_job_closed_at(id, mod_revision);
                    self.notify_leader_of_closed(id);
                }
            }
        }
    }

    /// Applies a listing of the open jobs at `revision`. If the listing is complete, every job that was opened
    /// at or before this revision and is not listed has been closed.
    fn on_listed(&mut self, items: Vec<KeyValue>, revision: u64, is_complete: bool, now: Now) {
        let listed: BTreeMap<String, KeyValue> = items
            .into_iter()
            .filter_map(|item| {
                let id = item.key.strip_prefix(records::OPEN_PREFIX)?.to_owned();
                Some((id, item))
            })
            .collect();
        tracing::debug!(
            revision,
            jobs = listed.len(),
            is_complete,
            "open jobs listed"
        );
        if is_complete {
            self.close_unlisted(&listed, revision);
        }
        for (id, item) in listed {
            self.on_opened(&id, &item, now);
        }
    }

    fn close_unlisted(&mut self, listed: &BTreeMap<String, KeyValue>, revision: u64) {
        let closed: Vec<String> = self
            .job_api
            .open_jobs()
            .ids_opened_up_to(revision)
            .filter(|id| !listed.contains_key(*id))
            .map(str::to_owned)
            .collect();
        for id in closed {
            self.job_api.on_job_closed(&id);
            self.notify_leader_of_closed(&id);
        }
        self.job_api
            .on_open_jobs_listed(|id| listed.contains_key(id));
        if let Some(leader) = &mut self.leader {
            leader.on_open_jobs_listed(revision, listed.keys().cloned().collect());
        }
    }

    fn on_opened(&mut self, id: &str, item: &KeyValue, now: Now) {
        let spec = match cbor::from_value::<JobSpec>(&item.value) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::error!(id, %error, "job record unreadable");
                return;
            }
        };
        // The job may have been closed after this record was written. `on_job_opened` then returns false.
        if self.job_api.on_job_opened(item.mod_revision, spec)
            && let Some(leader) = &mut self.leader
            && let Some(job) = self.job_api.open_jobs().get(id)
        {
            leader.on_job_opened(job.mod_revision, &job.spec, now.monotonic, now.wall);
        }
    }

    fn notify_leader_of_closed(&mut self, id: &str) {
        if let Some(leader) = &mut self.leader {
            leader.on_job_closed(id);
        }
    }
}
