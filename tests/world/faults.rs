//! The network and the troubles.

use super::workers::job_of;
use super::*;

/// What may go wrong, as chances for each message.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// A request is carried out but its answer is lost.
    pub lost_responses: f64,
    /// A request is carried out long after its sender gave up.
    pub late_requests: f64,
    /// A copy of a heartbeat comes late, by seconds to well over a lease.
    pub duplicate_heartbeats: f64,
    /// A request that was carried out comes once more, by seconds to well over a lease later.
    pub repeated_requests: f64,
    /// Seconds that the state service takes for an answer, beyond the usual.
    pub state_service_delay_s: f64,
    /// A transaction gets no answer, and is carried out 2 to 12 s later.
    pub late_transactions: f64,
    /// A heartbeat arrives seconds later, when its sender has given up; it may come to another controller.
    pub delayed_heartbeats: f64,
    /// A job whose last task ends is called off by its user within moments.
    pub cancels_at_end: f64,
    /// A job whose last task ends is submitted once more and asked about at several controllers at once.
    pub requests_at_end: f64,
    /// Users ask more often, by so many times the usual.
    pub extra_polls: f64,
    /// A machine is up at once.
    pub instant_boots: f64,
    /// A machine never comes up.
    pub failed_boots: f64,
}

impl NetworkFaults {
    /// With this likelihood a random part of `of`, else nothing.
    pub fn random_strength(chance: &mut SmallRng, likelihood: f64, of: f64) -> f64 {
        let there = chance.random::<f64>() < likelihood;
        if there {
            chance.random::<f64>() * of
        } else {
            0.0
        }
    }

    /// How long a trouble lasts: moments, less than a lease, more than one, or more than a cancellation takes.
    pub fn random_duration(chance: &mut SmallRng) -> f64 {
        let scale = [1.0, LEASE_S, 1.5 * LEASE_S, 1.4 * CANCEL_S][chance.random_range(0..4)];
        (0.1 + chance.random::<f64>()) * scale
    }
}

/// Direct commands with starts that arrive long after their sender gave up, if token and incarnation still
/// match then. Heartbeats, their answers and all other direct commands go through meanwhile.
#[derive(Debug, Clone, Copy, Default)]
pub struct DelayedCommands {
    /// Commands sent before this time are held.
    pub until: f64,
    /// For how long each is held.
    pub delay_s: f64,
    /// Each is carried out at once as well; what is held is a copy.
    pub copies_only: bool,
}

/// A zone that is partitioned from everything, with the controllers in it.
pub(super) struct ZonePartition {
    pub(super) zone: &'static str,
    pub(super) controllers: Vec<usize>,
    pub(super) until: f64,
}

impl World {
    pub fn crash(&mut self, controller: usize, at: f64, back: f64) {
        self.schedule_at(at, SimEvent::ControllerCrashes(controller));
        self.schedule_at(back, SimEvent::ControllerStarts(controller));
    }

    pub fn state_service_outage(&mut self, from: f64, to: f64) {
        self.schedule_at(from, SimEvent::StateServiceOutage(true));
        self.schedule_at(to, SimEvent::StateServiceOutage(false));
    }

    /// An outage of the state service that begins now.
    pub fn state_service_outage_for(&mut self, for_s: f64) {
        self.state_service_outage(self.now, self.now + for_s);
    }

    /// Whether the cut is between a controller and a zone.
    pub(super) fn is_partitioned_from(&self, controller: usize, zone: &str) -> bool {
        let cut = self.partition.as_ref().filter(|cut| self.now < cut.until);
        cut.is_some_and(|cut| cut.controllers.contains(&controller) != (cut.zone == zone))
    }

    /// Whether a controller is within the zone that is partitioned.
    pub(super) fn is_in_partition(&self, controller: usize) -> bool {
        let cut = self.partition.as_ref().filter(|cut| self.now < cut.until);
        cut.is_some_and(|cut| cut.controllers.contains(&controller))
    }

    /// A request on its way: usually soon there, at times long after its sender gave up.
    pub(super) fn send_request(&mut self, event: SimEvent) {
        if self.faults.repeated_requests > 0.0
            && self.rng.random::<f64>() < self.faults.repeated_requests
        {
            // Whoever asked has its answer already, and takes no notice of another.
            let later = 1.0 + self.rng.random::<f64>() * 3.0 * LEASE_S;
            self.schedule_after(later, event.clone());
        }
        if let SimEvent::KvRequestArrives(_, _, _, KvRequest::Txn(txn)) = &event
            && !txn.writes.is_empty()
            && self.faults.late_transactions > 0.0
            && self.rng.random::<f64>() < self.faults.late_transactions
        {
            // Its sender has given up by then, and gets no answer.
            let later = 2.0 + self.rng.random::<f64>() * 10.0;
            self.counts.late_txns += 1;
            self.schedule_after(later, event);
            return;
        }
        let late = self.rng.random::<f64>() < self.faults.late_requests;
        let delay = if late {
            2.0 + self.rng.random::<f64>() * 20.0
        } else {
            0.003
        };
        self.schedule_after(delay, event);
    }

    /// For how long a direct command is held, if it is.
    pub(super) fn command_delay(&mut self, call: &WorkerRequest) -> Option<f64> {
        let WorkerRequest::Commands(commands) = call;
        let starts = commands
            .commands
            .iter()
            .any(|command| command.kind == CommandKind::Start);
        if !starts || self.now >= self.delayed_commands.until {
            return None;
        }
        self.counts.delayed_commands += 1;
        Some(self.delayed_commands.delay_s)
    }

    /// Notes a held command that arrives, whether or not it is carried out.
    pub(super) fn count_delayed_command(&mut self, host: &str, call: &WorkerRequest) {
        let WorkerRequest::Commands(commands) = call;
        let Some(worker) = self.workers.get(host) else {
            return;
        };
        let same_session = commands.incarnation == Some(worker.incarnation);
        let too_late = |task_id: &str| {
            let user = self.users.iter().find(|u| u.id == job_of(task_id));
            let told = user.and_then(|u| u.cancellation_confirmed_at);
            told.is_some_and(|at| self.now > at + CANCEL_S)
        };
        let starts = commands
            .commands
            .iter()
            .filter(|o| o.kind == CommandKind::Start);
        let late = starts.filter(|command| too_late(&command.task)).count() as u32;
        self.counts.starts_past_cancellation += late;
        self.counts.starts_past_cancellation_in_incarnation += if same_session { late } else { 0 };
    }

    /// An answer on its way, which may get lost.
    pub(super) fn send_response(&mut self, delay: f64, event: SimEvent) {
        if self.rng.random::<f64>() >= self.faults.lost_responses {
            self.schedule_after(delay, event);
        } else if let SimEvent::UserResponseArrives(user, user_request, ..) = event {
            self.schedule_after(
                5.0,
                SimEvent::UserResponseArrives(user, user_request, 599, Vec::new()),
            );
        }
    }

    /// Takes a machine away, as the cloud does with spot machines. False: there is none.
    pub fn reclaim_instance(&mut self) -> bool {
        let Some(name) = self.workers.keys().next().cloned() else {
            return false;
        };
        self.remove_instance(&name);
        true
    }

    /// Takes that many machines of a zone away. Returns how many there were.
    pub fn lose_instances(&mut self, zone: &str, count: usize) -> usize {
        let there = self.workers.values().filter(|w| w.zone == zone);
        let names: Vec<String> = there.map(|w| w.name.clone()).take(count).collect();
        for name in &names {
            self.remove_instance(name);
        }
        names.len()
    }

    /// Sets one of the troubles that controllers have for a while upon the leader, if there is one.
    fn set_leader_fault(
        &mut self,
        for_s: f64,
        of: impl Fn(&mut World) -> &mut Vec<f64>,
    ) -> Option<usize> {
        let leader = self.leader()?;
        let until = self.now + for_s;
        of(self)[leader] = until;
        Some(leader)
    }

    /// Cuts the leader off from all but the state service. False: nobody leads.
    pub fn isolate_leader_except_state_service(&mut self, for_s: f64) -> bool {
        self.set_leader_fault(for_s, |world| &mut world.isolated_except_state_service)
            .is_some()
    }

    /// Cuts the leader off from the state service and the other controllers, not from its workers. False:
    /// nobody leads.
    pub fn isolate_leader_except_workers(&mut self, for_s: f64) -> bool {
        let leader = self.set_leader_fault(for_s, |world| &mut world.isolated_except_workers);
        // Watches that are open stay open, and bring nothing.
        self.kv
            .watches
            .retain(|watch| Some(watch.controller) != leader);
        leader.is_some()
    }

    /// The leader stands still for a while; its clocks run on. False: nobody leads.
    pub fn pause_leader(&mut self, for_s: f64) -> bool {
        self.set_leader_fault(for_s, |world| &mut world.paused_until)
            .is_some()
    }

    /// The leader pauses in the middle of its next turn: what it has decided goes out afterwards. False:
    /// nobody leads.
    pub fn pause_leader_before_sending(&mut self, for_s: f64) -> bool {
        let leader = self.leader();
        if let Some(leader) = leader {
            self.pause_before_sending_s[leader] = Some(for_s);
        }
        leader.is_some()
    }

    /// The leader ends without a word, and connections to it hang until it is back. False: nobody leads.
    pub fn hang_leader(&mut self, for_s: f64) -> bool {
        let Some(leader) = self.set_leader_fault(for_s, |world| &mut world.hung_until) else {
            return false;
        };
        let now = self.now;
        self.crash(leader, now, now + for_s);
        true
    }

    /// Cuts a zone off from everything, with the leader inside or outside, and as many of the other
    /// controllers as are said. False: nobody leads.
    pub fn partition_zone(
        &mut self,
        zone: &'static str,
        leader: bool,
        others: usize,
        for_s: f64,
    ) -> bool {
        let Some(first) = self.leader() else {
            return false;
        };
        let rest = (0..self.controllers.len())
            .filter(|i| *i != first)
            .take(others);
        let controllers = rest.chain(leader.then_some(first)).collect();
        let until = self.now + for_s;
        self.partition = Some(ZonePartition {
            zone,
            controllers,
            until,
        });
        // Watches that are open stay open, and bring nothing.
        let inside: Vec<usize> = (0..self.controllers.len())
            .filter(|i| self.is_in_partition(*i))
            .collect();
        self.kv
            .watches
            .retain(|watch| !inside.contains(&watch.controller));
        true
    }

    /// The state service refuses the leader alone: its calls get 503, its open watches wait. False:
    /// nobody leads.
    pub fn fail_state_requests_of_leader(&mut self, for_s: f64) -> bool {
        self.set_leader_fault(for_s, |world| &mut world.state_requests_fail_until)
            .is_some()
    }

    /// The leader's watch on the open jobs gets no answers, while all its other calls do.
    pub fn hang_watch(&mut self, for_s: f64) -> bool {
        self.set_leader_fault(for_s, |world| &mut world.watch_hangs_until)
            .is_some()
    }

    /// The leader's watch on the open jobs is over the state service's rate limit, while all its other calls
    /// are served. False: nobody leads.
    pub fn limit_watch(&mut self, for_s: f64) -> bool {
        self.set_leader_fault(for_s, |world| &mut world.watch_limited_until)
            .is_some()
    }

    /// The controllers in the partitioned zone stand still for a while; after that they serve what has come
    /// before their timers run. Returns how many there are.
    pub fn pause_partitioned_controllers(&mut self, for_s: f64) -> usize {
        let inside: Vec<usize> = (0..self.controllers.len())
            .filter(|i| self.is_in_partition(*i))
            .collect();
        for i in &inside {
            self.paused_until[*i] = self.now + for_s;
            self.requests_before_timers[*i] = true;
        }
        inside.len()
    }

    /// The machines of a zone stand still for a while, and go on then unless their leases are over.
    pub fn hang_workers(&mut self, zone: &str, for_s: f64) {
        let until = self.now + for_s;
        for worker in self.workers.values_mut().filter(|w| w.zone == zone) {
            worker.hung_until = until;
        }
    }

    /// Commands and answers to all machines are lost for a while; their heartbeats arrive.
    pub fn block_traffic_to_workers(&mut self, for_s: f64) {
        let until = self.now + for_s;
        for worker in self.workers.values_mut() {
            worker.inbound_blocked_until = until;
        }
    }

    /// No user comes to the leader.
    pub fn bypass_leader(&mut self, for_s: f64) -> bool {
        self.set_leader_fault(for_s, |world| &mut world.users_avoid_until)
            .is_some()
    }

    /// Listings get no answers; all other calls do.
    pub fn hang_listings(&mut self, for_s: f64) {
        self.listings_hang_until = self.now + for_s;
    }

    /// Users call off that many jobs that run and have long to go, within a fifth of a second; so many
    /// of their machines hang. Returns how many jobs.
    pub fn cancel_jobs(&mut self, count: usize, machines: usize, hang_s: f64) -> usize {
        let running = |u: &User| {
            let on = |w: &Worker| w.runs_job(&u.id);
            u.accepted
                && u.cancel_at.is_none()
                && u.completion_confirmed_at.is_none()
                && self.workers.values().any(on)
        };
        let users: Vec<usize> = (0..self.users.len())
            .filter(|n| running(&self.users[*n]))
            .take(count)
            .collect();
        let mut left = machines;
        for n in &users {
            let id = self.users[*n].id.clone();
            let until = self.now + hang_s;
            for worker in self.workers.values_mut().filter(|w| w.runs_job(&id)) {
                if left > 0 && worker.hung_until < self.now {
                    worker.hung_until = until;
                    left -= 1;
                }
            }
            let at = self.now + self.rng.random::<f64>() * 0.2;
            self.users[*n].cancel_at = Some(at);
            self.schedule_at(at, SimEvent::UserActs(*n));
        }
        users.len()
    }

    /// A machine reaches no controller, while direct commands reach it.
    pub fn block_traffic_from_worker(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.outbound_blocked_until = until;
        Some(worker.name.clone())
    }

    /// Users send what can't be taken, and ask for jobs that nobody has submitted, at every controller.
    pub fn send_invalid_requests(&mut self) {
        let all = [
            InvalidRequest::FitsNoInstance,
            InvalidRequest::UnknownTeam,
            InvalidRequest::MissingField,
            InvalidRequest::UnknownJob,
            InvalidRequest::ExceedsTeamLimit,
        ];
        // The teams of large worlds have no limit.
        let invalid = &all[..all.len() - usize::from(self.instances_per_pool > 3)];
        for controller in 0..self.controllers.len() {
            for invalid in invalid {
                self.schedule_after(0.002, SimEvent::InvalidRequestArrives(controller, *invalid));
            }
        }
    }

    /// Users submit unfinished jobs once more, and cancel jobs that are done.
    pub fn repeat_requests(&mut self) {
        for n in 0..self.users.len() {
            let what = match &self.users[n] {
                u if !u.accepted || u.cancellation_confirmed_at.is_some() => continue,
                u if u.completion_confirmed_at.is_some() => UserRequestKind::Cancel,
                _ => UserRequestKind::Submit,
            };
            let controller = self.rng.random_range(0..self.controllers.len());
            let user_request = UserRequest {
                kind: what,
                sent_at: self.now,
                is_extra: true,
            };
            self.schedule_after(
                0.002,
                SimEvent::UserRequestArrives(controller, n, user_request),
            );
        }
    }

    /// Controllers refuse one another's connections.
    pub fn refuse_peer_connections(&mut self, for_s: f64) {
        self.peer_connections_refused_until = self.now + for_s;
    }

    /// Restarts the leader, which is back after a moment. False: nobody leads.
    pub fn restart_leader(&mut self, back_s: f64) -> bool {
        let leader = self.leader();
        if let Some(leader) = leader {
            let now = self.now;
            self.crash(leader, now, now + back_s);
        }
        leader.is_some()
    }

    /// Keeps all answers and commands from a machine, whose reports still arrive.
    pub fn block_traffic_to_worker(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.inbound_blocked_until = until;
        Some(worker.name.clone())
    }

    /// Restarts a machine, which is back at once and empty: in a new incarnation, or as one that has
    /// forgotten even that there were any.
    pub fn restart_worker(&mut self, nth: usize, forgets: bool) {
        let now = self.now;
        let Some(worker) = self.workers.values_mut().nth(nth) else {
            return;
        };
        worker.tasks.clear();
        worker.awaiting_response = None;
        worker.lease_renewed_at = now;
        worker.next_heartbeat_at = now + 0.2;
        if forgets {
            (worker.incarnation, worker.sequence, worker.token) = (1, 0, FencingToken::default());
        } else {
            worker.incarnation += 1;
        }
    }

    /// Makes a machine faulty: every task that starts there from now on fails.
    pub fn make_worker_faulty(&mut self, nth: usize) -> Option<String> {
        let worker = self.workers.values_mut().nth(nth)?;
        worker.faulty = true;
        Some(worker.name.clone())
    }

    /// Makes a machine deaf and mute for a while.
    pub fn disconnect_worker(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.disconnected_until = until;
        Some(worker.name.clone())
    }
}
