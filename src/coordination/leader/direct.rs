//! Direct commands to workers: probes of late workers, and orders that cannot wait for a report.

use super::reports::MAX_ORDERS;
use super::{Leader, Notice};
use crate::bookkeeping::hosts::{Host, Way};
use crate::bookkeeping::pending_starts::CallFate;
use crate::bookkeeping::permits::Knowledge;
use crate::coordination::outbox::{Outbox, WorkerAsk};
use crate::protocol::worker::{Order, Verb, WorkerCall, WorkerReply};

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
            let orders = if host.acked {
                host.orders(may_start, MAX_ORDERS)
            } else {
                Vec::new()
            };
            let revoke = host.acked && host.revocation().is_some_and(|reason| reason.is_urgent());
            // A worker that has missed its latest report is asked directly, before it is thought
            // silent: it may only be on its way from a node that does not answer it.
            let probe = host.acked && !host.marked && missed(host);
            let up = host.heard.is_some() || host.listed_up || !host.bindings.is_empty();
            // Clears can wait for the next report.
            let pressing = orders.iter().any(|order| order.verb != Verb::Clear);
            let revokes = revoke || (host.acked && host.waits_for_fence());
            let wanted = pressing || revokes || probe || (!host.acked && !host.marked && up);
            if !wanted || host.endpoint.is_empty() {
                self.push_due.remove(&name);
                continue;
            }
            // What has just been sent is not repeated before its answer could show.
            let last = self.pushed_at.get(&name);
            let repeats =
                |(sent, at): &(Vec<Order>, f64)| *sent == orders && now - at < report_s / 2.0;
            if !revoke && last.is_some_and(repeats) {
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
        let Some(host) = self.hosts.get(name) else {
            return;
        };
        let endpoint = host.endpoint.clone();
        if host.acked {
            self.revoke_where_due(name);
        }
        let commands = self.send_off(name, orders, Way::Direct, knowledge);
        self.push_due.remove(name);
        self.pushing.insert(name.to_owned(), doubtful);
        self.pushed_at
            .insert(name.to_owned(), (commands.orders.clone(), now));
        let ask = WorkerAsk {
            epoch: self.epoch,
            host: name.to_owned(),
            orders: commands.orders.clone(),
        };
        let within_s = self.settings.deployment.workers.report_s / 2.0;
        out.worker(ask, endpoint, WorkerCall::Commands(commands), within_s);
    }

    /// Takes what came of a direct call.
    pub fn pushed(&mut self, ask: &WorkerAsk, reply: WorkerReply, now: f64) {
        self.pushing.remove(&ask.host);
        self.push_due.insert(ask.host.clone());
        if let Some(host) = self.hosts.get_mut(&ask.host) {
            host.settle_call(&ask.orders, fate_of(&reply));
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
        if let Err(error) = report.token.check() {
            tracing::error!(host = ask.host, %error, "answer of a worker refused");
            return;
        }
        if report.token.epoch() > self.epoch {
            self.note(Notice::Epoch(report.token.epoch()));
            return;
        }
        self.take_report(&report, false, now);
    }
}

/// What became of a direct call, as its outcome tells.
fn fate_of(reply: &WorkerReply) -> CallFate {
    match reply {
        WorkerReply::Done(_) | WorkerReply::Mismatch(_) => CallFate::Answered,
        WorkerReply::Silent => CallFate::Unanswered,
        WorkerReply::NotSent | WorkerReply::Unreached => CallFate::NotSent,
    }
}
