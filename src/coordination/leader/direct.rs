//! Direct commands to workers: probes of late workers, and orders that cannot wait for a report.

use super::reports::MAX_ORDERS;
use super::{Leader, Notice};
use crate::bookkeeping::hosts::Host;
use crate::bookkeeping::permits::Knowledge;
use crate::coordination::outbox::{Outbox, WorkerAsk};
use crate::protocol::worker::{Commands, Order, Verb, WorkerCall, WorkerReply};

/// Report intervals without a report after which a worker is asked directly. They come with a
/// quarter more at most.
const PROBE_AFTER: f64 = 1.3;

impl Leader {
    /// Sends direct commands where the workers don't yet do what is wanted, and this leader's Epoch
    /// where it is not known yet. Calls at a time are bounded, and workers that may not answer get a
    /// part of them only: a zone that is cut off must not keep commands from the others.
    pub(super) fn drive_pushes(&mut self, knowledge: &Knowledge, out: &mut Outbox, now: f64) {
        let may_start = knowledge.may_start().is_ok();
        let report_s = self.settings.deployment.workers.report_s;
        let limit = self.settings.deployment.quota.direct_sockets();
        let missed = |host: &Host| {
            host.unreached.is_some()
                || host
                    .heard
                    .is_some_and(|at| now - at > PROBE_AFTER * report_s)
        };
        for host in self.hosts.iter().filter(|host| missed(host)) {
            self.push_due.insert(host.name.clone());
        }
        let due: Vec<String> = self.push_due.iter().cloned().collect();
        let mut doubtful: Vec<(f64, String, Vec<Order>)> = Vec::new();
        for name in due {
            if self.pushing.contains_key(&name) {
                continue;
            }
            let Some(host) = self.hosts.get_mut(&name) else {
                self.push_due.remove(&name);
                continue;
            };
            let mut orders = if host.acked {
                host.orders(may_start, MAX_ORDERS)
            } else {
                Vec::new()
            };
            if host.keeps_many() {
                orders.retain(|order| order.verb != Verb::Start);
            }
            // A worker that has missed its latest report is asked directly, before it is thought
            // silent: it may only be on its way from a node that does not answer it.
            let probe = host.acked && !host.marked && missed(host);
            let up = host.heard.is_some() || host.listed_up || !host.bindings.is_empty();
            // Clears can wait for the next report.
            let pressing = orders.iter().any(|order| order.verb != Verb::Clear);
            let wanted = pressing || probe || (!host.acked && !host.marked && up);
            if !wanted || host.endpoint.is_empty() {
                self.push_due.remove(&name);
                continue;
            }
            // What has just been sent is not repeated before its answer could show.
            let last = self.pushed_at.get(&name);
            if last.is_some_and(|(sent, at)| *sent == orders && now - at < report_s / 2.0) {
                continue;
            }
            if !host.acked || missed(host) {
                let at = last.map_or(f64::NEG_INFINITY, |(_, at)| *at);
                doubtful.push((at, name, orders));
            } else if self.pushing.len() < limit {
                self.push(&name, orders, false, knowledge, out, now);
            }
        }
        let probing = self.pushing.values().filter(|doubtful| **doubtful).count();
        let free = (limit / 2).saturating_sub(probing);
        // Those not asked for longest go first.
        doubtful.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, name, orders) in doubtful.into_iter().take(free) {
            self.push(&name, orders, true, knowledge, out, now);
        }
    }

    fn push(
        &mut self,
        name: &str,
        orders: Vec<Order>,
        doubtful: bool,
        knowledge: &Knowledge,
        out: &mut Outbox,
        now: f64,
    ) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        self.push_due.remove(name);
        self.pushing.insert(name.to_owned(), doubtful);
        host.note_sent(&orders, None, knowledge);
        let tenure = host
            .tenure
            .max(host.bindings.values().map(|b| b.tenure).max().unwrap_or(1));
        let commands = Commands {
            epoch: self.epoch,
            tenure: Some(tenure.max(1)),
            orders: orders.clone(),
        };
        let ask = WorkerAsk {
            epoch: self.epoch,
            host: name.to_owned(),
            orders: orders.clone(),
        };
        out.worker(
            ask,
            host.endpoint.clone(),
            WorkerCall::Commands(commands),
            self.settings.deployment.workers.report_s / 2.0,
        );
        self.pushed_at.insert(name.to_owned(), (orders, now));
    }

    /// Takes what came of a direct call.
    pub fn pushed(&mut self, ask: &WorkerAsk, reply: WorkerReply, now: f64) {
        self.pushing.remove(&ask.host);
        self.push_due.insert(ask.host.clone());
        if let Some(host) = self.hosts.get_mut(&ask.host) {
            host.settle_direct(&ask.orders, matches!(reply, WorkerReply::Silent));
            match reply {
                WorkerReply::Done(_) | WorkerReply::Mismatch(_) => host.unreached = None,
                WorkerReply::Silent | WorkerReply::Unreached => {
                    host.unreached.get_or_insert(now);
                }
                WorkerReply::NotSent => {}
            }
            self.schedule_due = true;
        }
        let report = match reply {
            WorkerReply::Done(report) => report,
            WorkerReply::Mismatch(report) => {
                // Its session is known now: the next call can follow at once.
                self.pushed_at.remove(&ask.host);
                report
            }
            WorkerReply::NotSent | WorkerReply::Unreached | WorkerReply::Silent => return,
        };
        if report.host != ask.host {
            tracing::warn!(host = ask.host, "another worker answers at its address");
            return;
        }
        if report.epoch > self.epoch {
            self.note(Notice::Epoch(report.epoch));
            return;
        }
        self.take_report(&report, false, now);
    }
}
