//! The inventory: reads the cloud's list of instances, page by page.

use super::{CallSchedule, ScaleInReason};
use crate::bookkeeping::workers::Worker;
use crate::coordination::effects::{CloudRequestContext, Effects};
use crate::coordination::leader::Leader;
use crate::protocol::cloud::{CloudRequest, CloudResponse, Instance, InstanceStatus};

/// The state of reading the cloud's list.
#[derive(Debug, Default)]
pub(super) struct Inventory {
    call: CallSchedule,
    /// Instances on the pages of the list that were read so far.
    partial_listing: Vec<Instance>,
    /// When the first page of the list that is being read, or was read last, was requested.
    first_page_requested_at: f64,
    /// When the latest complete reading of the list was begun; `None` before the first.
    pub(super) listed_as_of: Option<f64>,
}

impl Leader {
    /// Requests the next page of the list, if one is due.
    pub(super) fn list_instances(&mut self, effects: &mut Effects, now: f64) {
        let fleet = &mut self.fleet;
        let inventory = &mut fleet.inventory;
        if !inventory.call.is_due(now) || !fleet.rate_limiter.take(1.0, now) {
            return;
        }
        inventory.call.in_flight = true;
        if inventory.partial_listing.is_empty() {
            inventory.first_page_requested_at = now;
        }
        let after = inventory
            .partial_listing
            .last()
            .map(|instance| instance.name.clone());
        effects.call_cloud(
            CloudRequestContext::ListInstances(fleet.epoch),
            CloudRequest::ListInstances(after),
            fleet.call_timeout_s(),
        );
    }

    /// Handles the response to a request for a page of the list. The last page completes the list, and the workers
    /// are updated from the list. If the response contains no page, the list is read again from the beginning after a
    /// heartbeat interval.
    pub fn on_instances_listed(&mut self, response: CloudResponse, now: f64) {
        let fleet = &mut self.fleet;
        let inventory = &mut fleet.inventory;
        inventory.call.in_flight = false;
        let CloudResponse::Page { instances, more } = response else {
            inventory.partial_listing.clear();
            inventory.call.not_before = now + fleet.heartbeat_interval_s;
            return;
        };
        let more = more && !instances.is_empty();
        inventory.partial_listing.extend(instances);
        if more {
            return;
        }
        let instances = std::mem::take(&mut inventory.partial_listing);
        inventory.call.not_before = now + fleet.list_lag_s;
        inventory.listed_as_of = Some(inventory.first_page_requested_at);
        for instance in instances {
            self.observe_instance(&instance, now);
        }
        self.fleet.forget_old_deletions(now);
        self.complete_provisioning();
    }

    /// Updates the worker of a listed instance; adds the worker if it is not known yet, and releases it if the cloud
    /// lists the instance as failed. Deleted instances are ignored.
    fn observe_instance(&mut self, instance: &Instance, now: f64) {
        if self.fleet.is_deleted(&instance.name) {
            return;
        }
        let previous_leader_deadline = self.leases.previous_leader_deadline();
        let worker = self.workers.get_or_insert_with(&instance.name, || {
            let mut worker = Worker::new(
                &instance.name,
                &instance.instance_type,
                &instance.zone,
                instance.spot,
                now - instance.age_s,
            );
            worker.lease_renewed_at = previous_leader_deadline;
            worker
        });
        if worker.endpoint.is_empty() {
            worker.endpoint.clone_from(&instance.endpoint);
        }
        worker.last_listed_at = Some(now);
        match instance.status {
            InstanceStatus::Running if !worker.listed_running => {
                worker.listed_running = true;
                self.dispatcher.mark_due(&instance.name);
            }
            InstanceStatus::Failed if !worker.terminating => {
                self.scale_in(&instance.name, ScaleInReason::Failed);
            }
            _ => {}
        }
    }
}
