//! Direct commands to workers: probes of late workers, and orders that cannot wait for a report.

use super::reports::MAX_ORDERS;
use super::{Leader, Notice};
use crate::bookkeeping::pending_starts::CallOutcome;
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::workers::{DeliveryPath, Worker};
use crate::coordination::outbox::{Outbox, WorkerAsk};
use crate::protocol::worker::{Command, CommandKind, WorkerRequest, WorkerResponse};

/// Report intervals without a report after which a worker is asked directly. They come with a
/// quarter more at most.
const PROBE_AFTER: f64 = 1.3;

/// A direct call that a worker needs.
struct WantedCall {
    host: String,
    orders: Vec<Command>,
    /// Starts that may still arrive are to be revoked, which can't wait.
    revokes: bool,
    /// The worker may well not answer.
    doubtful: bool,
    /// When it was last called.
    last_at: f64,
}

impl Leader {
    /// Sends direct commands where the workers don't yet do what is wanted, and this leader's Epoch
    /// where it is not known yet. Calls at a time are bounded, and workers that may not answer get a
    /// part of them only: a zone that is cut off must not keep commands from the others.
    pub(super) fn drive_pushes(&mut self, knowledge: &ViewFreshness, out: &mut Outbox, now: f64) {
        let limit = self.settings.deployment.quota.direct_sockets();
        self.note_missed(now);
        let due: Vec<String> = self.push_due.iter().cloned().collect();
        let mut doubtful: Vec<WantedCall> = Vec::new();
        for name in due {
            if self.pushing.contains_key(&name) {
                continue;
            }
            let Some(call) = self.wanted_call(&name, knowledge, now) else {
                self.push_due.remove(&name);
                continue;
            };
            // What has just been sent is not repeated before its answer could show.
            if !call.revokes && self.was_just_sent(&call, now) {
                continue;
            }
            if call.doubtful {
                doubtful.push(call);
            } else if self.pushing.len() < limit {
                self.push(call, knowledge, out, now);
            }
        }
        let probing = self.pushing.values().filter(|doubtful| **doubtful).count();
        let free = (limit / 2).saturating_sub(probing);
        // Those not asked for longest go first.
        doubtful.sort_by(|a, b| a.last_at.total_cmp(&b.last_at));
        for call in doubtful.into_iter().take(free) {
            self.push(call, knowledge, out, now);
        }
    }

    /// Whether a worker has missed its latest report, or could not be reached.
    fn has_missed(&self, host: &Worker, now: f64) -> bool {
        let report_s = self.settings.deployment.workers.report_s;
        let late = |at| now - at > PROBE_AFTER * report_s;
        host.unreachable_since.is_some() || host.last_heartbeat_at.is_some_and(late)
    }

    /// Workers that have missed their latest report are asked directly.
    fn note_missed(&mut self, now: f64) {
        let missed = self.hosts.iter().filter(|host| self.has_missed(host, now));
        let names: Vec<String> = missed.map(|host| host.name.clone()).collect();
        self.push_due.extend(names);
    }

    /// What a worker is to be called for, if it is.
    fn wanted_call(&self, name: &str, knowledge: &ViewFreshness, now: f64) -> Option<WantedCall> {
        let host = self.hosts.get(name)?;
        let missed = self.has_missed(host, now);
        let may_start = knowledge.may_start().is_ok();
        let orders = match host.token_acknowledged {
            true => host.commands(may_start, MAX_ORDERS),
            false => Vec::new(),
        };
        let revocation = host.pending_revocation().filter(|_| host.token_acknowledged);
        let revokes = revocation.is_some_and(|reason| reason.is_urgent());
        let waits = host.token_acknowledged && host.awaits_fence();
        // It is asked before it is thought silent: a report may only be on its way from a node that does
        // not answer it.
        let probe = host.token_acknowledged && !host.termination_recorded && missed;
        let up = host.last_heartbeat_at.is_some() || host.listed_running || !host.bindings.is_empty();
        let greet = !host.token_acknowledged && !host.termination_recorded && up;
        // Clears can wait for the next report.
        let pressing = orders.iter().any(|order| order.kind != CommandKind::Clear);
        let wanted = pressing || revokes || waits || probe || greet;
        if !wanted || host.endpoint.is_empty() {
            return None;
        }
        let last = self.pushed_at.get(name);
        Some(WantedCall {
            host: name.to_owned(),
            orders,
            revokes,
            doubtful: !host.token_acknowledged || missed,
            last_at: last.map_or(f64::NEG_INFINITY, |(_, at)| *at),
        })
    }

    fn was_just_sent(&self, call: &WantedCall, now: f64) -> bool {
        let half_s = self.settings.deployment.workers.report_s / 2.0;
        let last = self.pushed_at.get(&call.host);
        last.is_some_and(|(sent, at)| *sent == call.orders && now - at < half_s)
    }

    fn push(&mut self, call: WantedCall, knowledge: &ViewFreshness, out: &mut Outbox, now: f64) {
        let name = call.host;
        let Some(host) = self.hosts.get(&name) else {
            return;
        };
        let endpoint = host.endpoint.clone();
        if host.token_acknowledged {
            self.revoke_where_due(&name);
        }
        let commands = self.send_off(&name, call.orders, DeliveryPath::DirectCall, knowledge);
        self.push_due.remove(&name);
        self.pushing.insert(name.clone(), call.doubtful);
        self.pushed_at
            .insert(name.clone(), (commands.commands.clone(), now));
        let ask = WorkerAsk {
            epoch: self.epoch,
            host: name,
            orders: commands.commands.clone(),
        };
        let within_s = self.settings.deployment.workers.report_s / 2.0;
        out.worker(ask, endpoint, WorkerRequest::Commands(commands), within_s);
    }

    /// Takes what came of a direct call.
    pub fn pushed(&mut self, ask: &WorkerAsk, reply: WorkerResponse, now: f64) {
        self.pushing.remove(&ask.host);
        self.push_due.insert(ask.host.clone());
        if let Some(host) = self.hosts.get_mut(&ask.host) {
            host.record_call_outcome(&ask.orders, fate_of(&reply));
            match reply {
                WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => host.unreachable_since = None,
                WorkerResponse::OutcomeUnknown | WorkerResponse::Unreachable => {
                    host.unreachable_since.get_or_insert(now);
                }
                WorkerResponse::NotSent => {}
            }
            self.schedule_due = true;
        }
        let report = match reply {
            WorkerResponse::Executed(report) => report,
            WorkerResponse::Rejected(report) => {
                // Its session is known now: the next call can follow at once.
                self.pushed_at.remove(&ask.host);
                report
            }
            WorkerResponse::NotSent
            | WorkerResponse::Unreachable
            | WorkerResponse::OutcomeUnknown => return,
        };
        if report.worker != ask.host {
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
fn fate_of(reply: &WorkerResponse) -> CallOutcome {
    match reply {
        WorkerResponse::Executed(_) | WorkerResponse::Rejected(_) => CallOutcome::Answered,
        WorkerResponse::OutcomeUnknown => CallOutcome::Unanswered,
        WorkerResponse::NotSent | WorkerResponse::Unreachable => CallOutcome::NotSent,
    }
}
