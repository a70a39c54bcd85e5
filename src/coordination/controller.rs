//! One node: takes requests, answers and the passing of time, and says what is to be done.

use super::catalogue::Catalogue;
use super::election::{Election, Outcome, Times};
use super::frontend::Frontend;
use super::leader::{Leader, Notice, ReportAnswer, STATE_SHARE};
use super::outbox::{Action, CloudAsk, Outbox, StoreAsk, Tag};
use super::peers::Peers;
use super::routes::Route;
use super::terminations::TerminationQueue;
use super::watch::{Watch, WatchUpdate};
use crate::bookkeeping::invariants::{self, Invariant};
use crate::bookkeeping::permits::ViewFreshness;
use crate::bookkeeping::quotas::Quotas;
use crate::bookkeeping::rate_limit;
use crate::bookkeeping::records::{self, LeaderRecord};
use crate::bookkeeping::workers::Resources;
use crate::policy::Policy;
use crate::protocol::cloud::{CloudResponse, InstanceType};
use crate::protocol::job::{self, JobSpec};
use crate::protocol::kv::KvResponse;
use crate::protocol::peer::PeerHeartbeat;
use crate::protocol::token::{InvalidFencingToken, MAX_EPOCH};
use crate::protocol::worker::{NotLeader, WorkerHeartbeat, WorkerResponse};
use crate::protocol::{cbor, kv};
use crate::settings::Settings;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The times of an input.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Steady clock, in seconds since the node started.
    pub steady: f64,
    /// Time of day, in seconds.
    pub wall: f64,
}

/// A node.
pub struct Controller {
    settings: Rc<Settings>,
    policy: Rc<Policy>,
    out: Outbox,
    frontend: Frontend,
    jobs_watch: Watch,
    leader_watch: Watch,
    election: Election,
    leader: Option<Leader>,
    catalogue: Catalogue,
    quotas: Quotas,
    peers: Peers,
    ends: TerminationQueue,
    /// Workers that knocked here while another node leads, and when.
    redirected: BTreeMap<String, f64>,
    heartbeat_at: f64,
    /// When the users' changes were last shared out.
    shared_at: f64,
    state_ok_at: Option<f64>,
    /// When the state service last refused this node, or left a call of it unanswered.
    doubt_at: f64,
    hold_over_s: f64,
    rng: SmallRng,
}

/// Workers that were redirected lately and are remembered.
const MAX_REDIRECTED: usize = 4096;

/// Waits of the watch on the open jobs in a report interval: the longest time by which the view of them
/// is less current than it could be.
const WATCHES_PER_REPORT: f64 = 4.0;

/// Report intervals of silence from all workers that are more than chance.
const SILENT_REPORTS: f64 = 1.6;

impl Controller {
    /// A node that has just started; `seed` tells this life from others.
    pub fn new(settings: Rc<Settings>, policy: Rc<Policy>, seed: u64) -> Controller {
        let workers = &settings.deployment.workers;
        let times = Times::new(workers);
        let patience_s = workers.report_s / 2.0;
        let nodes = f64::from(settings.deployment.initial_size).max(1.0);
        let share = (1.0 - STATE_SHARE) / nodes;
        Controller {
            out: Outbox::default(),
            frontend: Frontend::new(&settings.deployment.state, share, patience_s),
            jobs_watch: Watch::new(
                records::OPEN_PREFIX,
                StoreAsk::Mirror,
                workers.report_s / WATCHES_PER_REPORT,
                patience_s,
            ),
            leader_watch: Watch::new(
                records::LEADER_KEY,
                StoreAsk::LeaderWatch,
                workers.lease_s,
                patience_s,
            ),
            election: Election::new(&settings.label, seed, times),
            leader: None,
            catalogue: Catalogue::new(workers),
            quotas: Quotas::new(&settings.deployment.teams),
            peers: Peers::default(),
            ends: TerminationQueue::new(
                &settings.label,
                seed,
                settings.seeds.iter().map(|seed| seed.label.clone()),
                workers.cancel_s,
            ),
            redirected: BTreeMap::new(),
            heartbeat_at: 0.0,
            shared_at: 0.0,
            state_ok_at: None,
            doubt_at: f64::NEG_INFINITY,
            hold_over_s: times.hold_over_s,
            rng: SmallRng::seed_from_u64(seed),
            settings,
            policy,
        }
    }

    /// Takes the actions that have come together.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out.actions)
    }

    /// Whether this node leads, confirmed or held over.
    pub fn leads(&self) -> bool {
        self.leader.is_some()
    }

    fn report_s(&self) -> f64 {
        self.settings.deployment.workers.report_s
    }

    // ---- requests of users and workers

    /// Takes a request.
    pub fn request(&mut self, to: u64, method: &str, path: &str, body: &[u8], now: Now) {
        match Route::parse(method, path) {
            Ok(Route::Health) => self.health(to, now.steady),
            Ok(Route::Report) => self.report(to, body, now.steady),
            Ok(Route::Submit) => self.submit(to, body, now),
            Ok(Route::Poll(id)) => self.frontend.poll(to, id, &mut self.out, now.steady),
            Ok(Route::Cancel(id)) => self.frontend.cancel(to, id, &mut self.out, now.steady),
            Err(error) => self
                .out
                .refuse(to, error.status(), &error.to_string(), None),
        }
    }

    fn submit(&mut self, to: u64, body: &[u8], now: Now) {
        let spec = match job::parse_submission(body, now.wall) {
            Ok(spec) => spec,
            Err(error) => {
                tracing::debug!(%error, "malformed submission");
                self.out.refuse(to, 400, &error.to_string(), None);
                return;
            }
        };
        let Some(flavors) = self.catalogue.flavors().cloned() else {
            self.out
                .refuse(to, 503, "the machine types are not known yet", Some(1));
            return;
        };
        let verdict = self.could_run(&spec, &flavors);
        self.frontend
            .submit(to, spec, verdict.err(), &mut self.out, now.steady);
    }

    fn could_run(&self, spec: &JobSpec, flavors: &[InstanceType]) -> Result<(), &'static str> {
        if !self.quotas.contains_team(&spec.team) {
            return Err("unknown team");
        }
        if !self.quotas.can_ever_run(spec) {
            return Err("more than the team's limit");
        }
        let need = super::scheduler::need(spec);
        let fits = flavors.iter().any(|flavor| {
            Resources::of_instance_type(flavor).fits(&need)
                && flavor.zones.iter().any(|zone| {
                    spec.allows(&flavor.name, zone, false)
                        || (spec.spot && spec.allows(&flavor.name, zone, true))
                })
        });
        if fits {
            Ok(())
        } else {
            Err("fits no allowed machine type")
        }
    }

    fn health(&mut self, to: u64, now: f64) {
        let window_s = self.report_s();
        let own = self.state_ok_at.is_some_and(|at| now - at < window_s);
        // A node that the state service refuses says so only while a peer is served: removals
        // back off for long, and during an outage all nodes are equally good.
        let better = self.peers.any_served(window_s, now);
        if self.catalogue.flavors().is_some() && self.jobs_watch.listed() && (own || !better) {
            self.out.answer(to, 200, &"ok");
        } else {
            self.out.refuse(to, 503, "not ready", Some(1));
        }
    }

    fn report(&mut self, to: u64, body: &[u8], now: f64) {
        let report = match read_report(body) {
            Ok(report) => report,
            Err(error) => {
                tracing::warn!(%error, "report refused");
                self.out.refuse(to, 400, &error.to_string(), None);
                return;
            }
        };
        let outcome = self.election.notice(report.token.epoch());
        self.follow_outcome(outcome, now);
        let knowledge = self.knowledge(now);
        if let Some(leader) = &mut self.leader {
            let open = &self.frontend.open;
            let is_open = |id: &str| open.contains_key(id);
            match leader.report(&report, &knowledge, is_open, now) {
                ReportAnswer::Orders(answer) if is_within_hold_over(&knowledge, &report) => {
                    // What else follows from it waits for the next tick: reports are many.
                    self.out.answer(to, 200, &answer);
                    return;
                }
                // An answer that renews no lease: the worker comes again.
                ReportAnswer::Orders(_) | ReportAnswer::NotNow => {
                    self.out.refuse(to, 503, "the open jobs aren't known", None);
                    return;
                }
                ReportAnswer::Superseded => {}
            }
        }
        if self.redirected.len() < MAX_REDIRECTED {
            self.redirected.insert(report.worker, now);
        }
        let foreman = self.foreman(now);
        self.out.answer(
            to,
            421,
            &NotLeader {
                leader_hint: foreman,
            },
        );
    }

    /// What this node knows, and how old that is.
    fn knowledge(&self, now: f64) -> ViewFreshness {
        let view_at = self.jobs_watch.current_at();
        self.election.knowledge(view_at, self.doubt_at, now)
    }

    /// The node to which workers are sent: the leader, unless that is this node or it is not
    /// certain that it still leads.
    fn foreman(&self, now: f64) -> Option<String> {
        let known = match self.peers.latest_leader(self.report_s(), now) {
            Some((epoch, leader)) if epoch >= self.election.highest() => leader,
            _ => self.election.leader(),
        };
        let known = known.map(str::to_owned);
        known.filter(|label| *label != self.settings.label)
    }

    // ---- answers

    /// Takes an answer of the state service.
    pub fn store_reply(&mut self, tag: Tag, reply: KvResponse, now: Now) {
        let Some((ask, sent)) = self.out.store_ask(tag) else {
            return;
        };
        let t = now.steady;
        let frontend_only = matches!(
            ask,
            StoreAsk::Check(_) | StoreAsk::Look(_) | StoreAsk::Renew | StoreAsk::Write(_)
        );
        if matches!(reply, KvResponse::Unavailable | KvResponse::OutcomeUnknown) {
            self.doubt_at = t;
        } else {
            self.state_ok_at = Some(t);
        }
        match ask {
            StoreAsk::Mirror => {
                for news in self.jobs_watch.reply(reply, sent, t) {
                    self.apply_job_update(news, now);
                }
            }
            StoreAsk::LeaderWatch => {
                for news in self.leader_watch.reply(reply, sent, t) {
                    self.apply_leader_update(news, t);
                }
            }
            StoreAsk::Grant | StoreAsk::Take | StoreAsk::Renew | StoreAsk::Drop => {
                let outcome = self.election.reply(&ask, &reply, sent, &mut self.out, t);
                self.follow_outcome(outcome, t);
            }
            StoreAsk::Check(call) => self.frontend.checked(call, reply, &mut self.out, t),
            StoreAsk::Write(call) => {
                let opened = self.frontend.written(call, reply, &mut self.out, t);
                if let Some(leader) = &mut self.leader {
                    for (stamp, spec) in opened {
                        leader.opened(stamp, &spec, t, now.wall);
                    }
                }
            }
            StoreAsk::Look(id) => self.frontend.looked(&id, reply, &mut self.out, t),
            StoreAsk::Load(epoch) => {
                if let Some(leader) = self.leader_of(epoch) {
                    leader.loaded(reply, t, now.wall);
                }
            }
            StoreAsk::Ledger(epoch) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.written(reply, &mut self.out, t);
                }
            }
            StoreAsk::Witness(epoch) => {
                if let Some(leader) = self.leader.as_mut().filter(|l| l.epoch() == epoch) {
                    leader.witnessed(reply, &mut self.out, t);
                }
            }
            StoreAsk::Catalogue => {
                if self.catalogue.loaded(&reply) {
                    self.flavors_changed();
                }
            }
            StoreAsk::Ignored => {}
        }
        self.tell_ended();
        if !frontend_only {
            self.drive(t);
        }
    }

    /// Tells the leader of the jobs that the frontend has learnt to be over: from its own transactions,
    /// from a look, or from a peer, long before the watch may tell.
    fn tell_ended(&mut self) {
        for id in self.frontend.take_over() {
            if let Some(leader) = &mut self.leader {
                leader.closed(&id);
            }
        }
    }

    fn leader_of(&mut self, epoch: u64) -> Option<&mut Leader> {
        self.leader
            .as_mut()
            .filter(|leader| leader.epoch() == epoch)
    }

    /// Takes an answer of the cloud.
    pub fn cloud_reply(&mut self, tag: Tag, reply: CloudResponse, now: Now) {
        let Some(ask) = self.out.cloud_ask(tag) else {
            return;
        };
        let t = now.steady;
        match ask {
            CloudAsk::Types => {
                if self.catalogue.told(reply, t) {
                    self.flavors_changed();
                }
            }
            CloudAsk::List(epoch) => {
                if let Some(leader) = self.leader_of(epoch) {
                    leader.listed(reply, t);
                }
            }
            CloudAsk::Rent(epoch, bid) => {
                if let Some(leader) = self.leader_of(epoch) {
                    leader.rented(&bid, reply, t);
                }
            }
            CloudAsk::Delete(epoch, hosts) => {
                if let Some(leader) = self.leader_of(epoch) {
                    leader.deleted(&hosts, &reply, t);
                }
            }
        }
        self.drive(t);
    }

    /// Takes what came of a direct call to a worker.
    pub fn worker_reply(&mut self, tag: Tag, reply: WorkerResponse, now: Now) {
        let Some(ask) = self.out.worker_ask(tag) else {
            return;
        };
        if let Some(leader) = self.leader_of(ask.epoch) {
            leader.pushed(&ask, reply, now.steady);
        }
    }

    /// Takes a peer's word.
    pub fn heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Now) {
        let known = self
            .settings
            .seeds
            .iter()
            .any(|seed| seed.label == heartbeat.label);
        if !known {
            return;
        }
        if heartbeat.epoch > MAX_EPOCH {
            tracing::warn!(
                label = heartbeat.label,
                epoch = heartbeat.epoch,
                "heartbeat refused: epoch: above what the state service can count; restart that node"
            );
            return;
        }
        let outcome = self.election.notice(heartbeat.epoch);
        self.follow_outcome(outcome, now.steady);
        self.ends.heard(&heartbeat.label, &heartbeat.terminations);
        self.frontend.note_ended(&heartbeat.terminations.entries);
        self.tell_ended();
        match &mut self.leader {
            Some(leader) if heartbeat.epoch >= leader.epoch() => {
                leader.informed(&heartbeat.label, now.steady);
            }
            Some(_) => {}
            None => self.frontend.note_counts(&heartbeat.counts),
        }
        self.peers.take(heartbeat, now.steady);
    }

    fn flavors_changed(&mut self) {
        if let (Some(leader), Some(flavors)) = (&mut self.leader, self.catalogue.flavors()) {
            leader.set_flavors(flavors.clone());
        }
    }

    fn apply_job_update(&mut self, news: WatchUpdate, now: Now) {
        match news {
            WatchUpdate::Reset(items, revision) => {
                let listed: BTreeMap<String, kv::KeyValue> = items
                    .into_iter()
                    .filter_map(|item| {
                        let id = item.key.strip_prefix(records::OPEN_PREFIX)?.to_owned();
                        Some((id, item))
                    })
                    .collect();
                let closed: Vec<String> = self
                    .frontend
                    .open
                    .iter()
                    .filter(|(id, (stamp, _))| *stamp <= revision && !listed.contains_key(*id))
                    .map(|(id, _)| id.clone())
                    .collect();
                for id in closed {
                    self.job_closed(&id);
                }
                if let Some(leader) = &mut self.leader {
                    leader.keep_open(revision, listed.keys().cloned().collect());
                }
                for (id, item) in listed {
                    self.job_opened(&id, item.mod_revision, &item.value, now);
                }
            }
            WatchUpdate::Set(key, value, stamp) => {
                if let Some(id) = key.strip_prefix(records::OPEN_PREFIX) {
                    self.job_opened(id, stamp, &value, now);
                }
            }
            WatchUpdate::Removed(key) => {
                if let Some(id) = key.strip_prefix(records::OPEN_PREFIX) {
                    self.job_closed(id);
                }
            }
        }
    }

    fn job_opened(&mut self, id: &str, stamp: u64, value: &ciborium::Value, now: Now) {
        match cbor::from_value::<JobSpec>(value) {
            Ok(spec) => {
                if let Some(leader) = &mut self.leader {
                    leader.opened(stamp, &spec, now.steady, now.wall);
                }
                self.frontend.note_open(stamp, spec);
            }
            Err(error) => tracing::error!(id, %error, "unreadable job"),
        }
    }

    fn job_closed(&mut self, id: &str) {
        self.frontend.note_closed(id);
        if let Some(leader) = &mut self.leader {
            leader.closed(id);
        }
    }

    fn apply_leader_update(&mut self, news: WatchUpdate, now: f64) {
        let jitter = self.rng.random::<f64>();
        let outcome = match news {
            WatchUpdate::Reset(items, _) => {
                let known = items
                    .iter()
                    .find(|item| item.key == records::LEADER_KEY)
                    .and_then(|item| Some((read_leader(&item.value)?, item.mod_revision)));
                self.election.observe(known, jitter, now)
            }
            WatchUpdate::Set(key, value, stamp) if key == records::LEADER_KEY => {
                match read_leader(&value) {
                    Some(record) => self.election.observe(Some((record, stamp)), jitter, now),
                    None => Outcome::Same,
                }
            }
            WatchUpdate::Removed(key) if key == records::LEADER_KEY => {
                self.election.removed(jitter, now)
            }
            _ => Outcome::Same,
        };
        self.follow_outcome(outcome, now);
    }

    // ---- leadership

    fn follow_outcome(&mut self, outcome: Outcome, now: f64) {
        match outcome {
            Outcome::Same => {}
            Outcome::Won(epoch) => {
                tracing::info!(epoch, "this node leads");
                let flavors = self.catalogue.flavors().cloned().unwrap_or_default();
                let mut leader = Leader::new(
                    epoch,
                    self.settings.clone(),
                    self.policy.clone(),
                    flavors,
                    self.hold_over_s,
                    SmallRng::from_rng(&mut self.rng),
                    now,
                );
                let told_s = self.settings.deployment.workers.cancel_s;
                leader.inherit_suspects(self.peers.suspects(told_s, now));
                self.leader = Some(leader);
                self.heartbeat_at = now;
            }
            Outcome::Lost => {
                if let Some(leader) = self.leader.take() {
                    tracing::info!(epoch = leader.epoch(), "this node no longer leads");
                }
            }
        }
    }

    /// Does all that is due.
    pub fn tick(&mut self, now: Now) {
        let t = now.steady;
        self.jobs_watch.drive(&mut self.out, t);
        self.leader_watch.drive(&mut self.out, t);
        let watching = self.leader_watch.listed();
        let outcome = self
            .election
            .drive(watching, self.jobs_watch.current_at(), &mut self.out, t);
        self.follow_outcome(outcome, t);
        let leads = self.leader.is_some();
        self.catalogue.drive(leads, &mut self.out, t);
        self.frontend.drive(&mut self.out, t);
        self.drive_heartbeats(t);
        self.yield_if_unreachable(t);
        self.drive(t);
    }

    /// Leader's work, and what it has to tell the rest of the node.
    fn drive(&mut self, now: f64) {
        self.jobs_watch.drive(&mut self.out, now);
        self.leader_watch.drive(&mut self.out, now);
        let knowledge = self.knowledge(now);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.drive(&knowledge, &mut self.out, now);
        for notice in leader.take_notices() {
            let outcome = match notice {
                Notice::Over(id, record) => {
                    self.frontend.announce_over(&id, record);
                    Outcome::Same
                }
                Notice::Epoch(epoch) => self.election.notice(epoch),
                Notice::Deposed => self.election.deposed(),
            };
            self.follow_outcome(outcome, now);
        }
    }

    fn drive_heartbeats(&mut self, now: f64) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + self.report_s() / 2.5;
        self.out.log_refused();
        let window_s = self.report_s() * 2.0;
        self.redirected.retain(|_, at| now - *at < window_s);
        let counts = match &self.leader {
            Some(leader) => leader.counts(),
            None => Vec::new(),
        };
        let suspects = match &self.leader {
            Some(leader) => leader.suspects(),
            None => Vec::new(),
        };
        self.frontend.note_counts(&counts);
        let changes_per_s = self.share_changes(now);
        self.ends.add(self.frontend.take_news(), now);
        let heartbeat = PeerHeartbeat {
            label: self.settings.label.clone(),
            epoch: self.election.highest(),
            leader: self.election.leader().map(str::to_owned),
            state_service_ok: self
                .state_ok_at
                .is_some_and(|at| now - at < self.report_s()),
            redirected_workers: self.redirected.len() as u32,
            counts,
            crash_looping_jobs: suspects,
            changes_per_s,
            terminations: self.ends.word(now),
        };
        self.out.actions.push(Action::Heartbeat(heartbeat));
    }

    /// Takes the part of the users' changes that peers don't use, and returns the rate at which this
    /// node has used it since the last time.
    fn share_changes(&mut self, now: f64) -> f64 {
        let window_s = self.report_s() * 2.0;
        let others: Vec<Option<f64>> = self
            .settings
            .seeds
            .iter()
            .map(|seed| {
                let peers = &self.peers;
                peers.changes_per_s(&seed.label, window_s, now)
            })
            .collect();
        let budget = self.settings.deployment.state.write_rps * (1.0 - STATE_SHARE);
        self.frontend
            .set_changes_rate(rate_limit::fair_share_rate(budget, &others), now);
        let since_s = (now - self.shared_at).max(f64::EPSILON);
        self.shared_at = now;
        self.frontend.take_changes_made() / since_s
    }

    /// A leader that workers can't reach gives up its lease, when they knock at its peers or when
    /// the peers are silent too.
    fn yield_if_unreachable(&mut self, now: f64) {
        let Some(leader) = &self.leader else { return };
        let silent_s = leader.silent_for(now);
        if self.settings.seeds.is_empty() || silent_s < SILENT_REPORTS * self.report_s() {
            return;
        }
        let fresh = self.report_s() * 2.0;
        let alone = self.peers.are_silent(fresh, now);
        let knocked = self.peers.any_redirected(fresh, now);
        if knocked || (alone && silent_s > self.settings.deployment.workers.lease_s / 2.0) {
            tracing::info!("workers can't reach this node: giving up the lead");
            let outcome = self.election.give_up(&mut self.out, now);
            self.follow_outcome(outcome, now);
        }
    }
}

/// Why a report is refused.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error("not a report: {0}")]
    Malformed(#[from] cbor::CborError),
    #[error(transparent)]
    FencingToken(#[from] InvalidFencingToken),
}

fn read_report(body: &[u8]) -> Result<WorkerHeartbeat, ReportError> {
    let report = cbor::decode::<WorkerHeartbeat>(body)?;
    report.token.check()?;
    Ok(report)
}

/// Whether an answer that renews a worker's lease may leave, by other means than those that allowed it.
fn is_within_hold_over(knowledge: &ViewFreshness, report: &WorkerHeartbeat) -> bool {
    let age_s = knowledge.lease_age_s.max(knowledge.view_age_s);
    let within = age_s <= knowledge.limits.lease_grace_s;
    let details = format_args!("host {}, after {age_s} s", report.worker);
    invariants::uphold(Invariant::NoRenewalBeyondLeaseGrace, within, details)
}

fn read_leader(value: &ciborium::Value) -> Option<LeaderRecord> {
    cbor::from_value(value).ok()
}
