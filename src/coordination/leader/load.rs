//! Reading the records: all of them after a takeover, hosts and progress after a transaction whose
//! fate is unknown.

use super::{Leader, Notice};
use crate::bookkeeping::hosts::{Binding, Host, Room};
use crate::bookkeeping::records::{self, HostRecord, ProgressRecord, RentalRecord};
use crate::coordination::outbox::{Outbox, StoreAsk};
use crate::protocol::cbor;
use crate::protocol::job::JobSpec;
use crate::protocol::state::{Item, StoreCall, StoreReply};
use crate::protocol::worker::TaskId;

/// A reading that goes on.
#[derive(Debug)]
pub(super) struct Loading {
    prefixes: Vec<&'static str>,
    items: Vec<Item>,
    from: Option<String>,
    in_flight: bool,
    retry_at: f64,
    first: bool,
}

impl Loading {
    /// Everything, for a new leader.
    pub fn everything() -> Loading {
        Loading::of(
            vec![
                records::OPEN,
                records::HOST,
                records::PROGRESS,
                records::RENTAL,
            ],
            true,
        )
    }

    /// What transactions change, to learn the fate of one.
    pub fn again() -> Loading {
        Loading::of(vec![records::HOST, records::PROGRESS], false)
    }

    fn of(mut prefixes: Vec<&'static str>, first: bool) -> Loading {
        prefixes.reverse();
        Loading {
            prefixes,
            items: Vec::new(),
            from: None,
            in_flight: false,
            retry_at: 0.0,
            first,
        }
    }

    /// Whether this is a new leader's first reading.
    pub fn is_first(&self) -> bool {
        self.first
    }
}

impl Leader {
    pub(super) fn drive_loading(&mut self, out: &mut Outbox, now: f64) {
        let patience_s = self.settings.deployment.workers.report_s / 2.0;
        let Some(loading) = &mut self.loading else {
            return;
        };
        if loading.in_flight || now < loading.retry_at {
            return;
        }
        let Some(prefix) = loading.prefixes.last() else {
            return;
        };
        loading.in_flight = true;
        let call = StoreCall::List {
            under: (*prefix).to_owned(),
            from: loading.from.clone(),
        };
        self.requests.force(1.0, now);
        out.store(StoreAsk::Load(self.epoch), call, patience_s, now);
    }

    /// Takes a page of records.
    pub fn loaded(&mut self, reply: StoreReply, now: f64, wall: f64) {
        let Some(loading) = &mut self.loading else {
            return;
        };
        loading.in_flight = false;
        let StoreReply::Page(items, more, _) = reply else {
            loading.retry_at = now + self.settings.deployment.workers.report_s / 10.0;
            return;
        };
        loading.from = items.last().map(|item| item.key.clone());
        let more = more && !items.is_empty();
        loading.items.extend(items);
        if !more {
            loading.from = None;
            loading.prefixes.pop();
        }
        if loading.prefixes.is_empty() {
            self.finish_loading(now, wall);
        }
    }

    fn finish_loading(&mut self, now: f64, wall: f64) {
        let Some(loading) = self.loading.take() else {
            return;
        };
        if !loading.first {
            // Keys that are not there any more have no version.
            for host in self.hosts.iter_mut() {
                host.stamp = 0;
                host.durable = host.blank_record();
                host.durable.returning = false;
            }
            for job in self.jobs.iter_mut() {
                job.progress_stamps.clear();
            }
        }
        for item in &loading.items {
            if item.key.starts_with(records::OPEN) {
                if let Ok(spec) = cbor::from_value::<JobSpec>(&item.value)
                    && !self.closed_early.contains(&spec.id)
                {
                    self.opened(item.stamp, &spec, now, wall);
                }
            } else if item.key.starts_with(records::PROGRESS) {
                self.load_progress(item);
            }
        }
        for item in &loading.items {
            if let Some(name) = item.key.strip_prefix(records::HOST) {
                if let Ok(record) = cbor::from_value::<HostRecord>(&item.value) {
                    self.load_host(name, item.stamp, record, now);
                }
            } else if let Some(bid) = item.key.strip_prefix(records::RENTAL)
                && let Ok(record) = cbor::from_value::<RentalRecord>(&item.value)
            {
                self.fleet.inherit_rental(bid, record);
            }
        }
        self.closed_early.clear();
        if let Some((revision, listed)) = self.listed_early.take() {
            self.keep_open(revision, listed);
        }
        self.halt_orphans();
        if loading.first {
            tracing::info!(
                epoch = self.epoch,
                jobs = self.jobs.len(),
                hosts = self.hosts.len(),
                after_s = now - self.since,
                "tables loaded"
            );
            self.end_complete_jobs();
            for (_, report) in std::mem::take(&mut self.early) {
                let _ = self.take_report(&report, true, now);
            }
        } else {
            for change in self.ledger.reread(&self.hosts) {
                self.apply(&change, now);
            }
        }
        self.schedule_due = true;
    }

    fn load_progress(&mut self, item: &Item) {
        let mut parts = item.key[records::PROGRESS.len()..].rsplitn(2, '/');
        let (Some(chunk), Some(id)) = (parts.next().and_then(|c| c.parse().ok()), parts.next())
        else {
            return;
        };
        let Ok(record) = cbor::from_value::<ProgressRecord>(&item.value) else {
            return;
        };
        match self.jobs.get_mut(id) {
            Some(job) => {
                job.progress_stamps.insert(chunk, item.stamp);
                for index in record.tasks() {
                    job.done.insert(index);
                }
            }
            // What a cancelled job has left behind.
            None => self.sweep(item.key.clone()),
        }
    }

    fn load_host(&mut self, name: &str, stamp: u64, record: HostRecord, now: f64) {
        let lease_from = self.since + self.hold_over_s;
        let host = self.hosts.entry(name, || {
            let mut host = Host::new(name, &record.flavor, &record.zone, record.spot, now);
            host.endpoint = record.endpoint.clone();
            // An earlier leader may have answered its reports until its hold-over ended.
            host.lease_from = lease_from;
            host
        });
        host.stamp = stamp;
        if record.returning {
            host.returning = true;
            host.marked = true;
        }
        for bound in &record.steps {
            let task = TaskId {
                job: bound.job.clone(),
                index: bound.index,
            };
            if host.bindings.contains_key(&task) {
                continue;
            }
            let need = Room {
                cpus: bound.need[0],
                gpus: bound.need[1],
                ram: bound.need[2],
            };
            let binding = Binding {
                attempt: bound.attempt,
                tenure: bound.tenure,
                need,
                team: bound.team.clone(),
                durable: true,
                inherited: true,
                ending: false,
                halt: None,
                running: None,
            };
            host.bindings.insert(task.clone(), binding);
            self.quotas.take(&bound.team, need.cpus, need.gpus);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.bind(task.index, name, &host.zone);
            }
        }
        host.durable = record;
        self.push_due.insert(name.to_owned());
    }

    /// Jobs of which the last task was recorded, but not the end.
    fn end_complete_jobs(&mut self) {
        let complete: Vec<String> = self
            .jobs
            .iter()
            .filter(|job| job.done.len() == job.spec.tasks && !job.ending)
            .map(|job| job.spec.id.clone())
            .collect();
        for id in complete {
            self.end_job(&id);
        }
    }

    pub(super) fn note(&mut self, notice: Notice) {
        self.notices.push(notice);
    }
}
