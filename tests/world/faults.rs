//! The simulated network, and the faults that tests inject.

use super::workers::job_of;
use super::*;

/// Network faults. Each value is the probability that the fault affects a message, unless its comment says otherwise.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    /// A request is executed, but its response is lost.
    pub lost_responses: f64,
    /// A request is executed 2 to 22 s later, usually after its sender has timed out.
    pub late_requests: f64,
    /// A duplicate of a heartbeat arrives at a random controller, between 1 s and `3 * LEASE_S + 1` s after the
    /// heartbeat was sent.
    pub duplicate_heartbeats: f64,
    /// A request is executed a second time, between 1 s and `3 * LEASE_S + 1` s later.
    pub repeated_requests: f64,
    /// Additional response time of the state service, in seconds.
    pub state_service_delay_s: f64,
    /// A transaction is applied only 2 to 12 s after it was sent, usually when its sender has timed out.
    pub late_transactions: f64,
    /// A heartbeat arrives only when the worker no longer waits for its response, between 4 s and `2 * LEASE_S + 4` s
    /// after it was sent, and at a random controller.
    pub delayed_heartbeats: f64,
    /// A user cancels a job within 0.2 s after the end of its last task. Probability for each array job.
    pub cancels_at_end: f64,
    /// A user submits a job again and polls it, at all controllers, within 0.2 s after the end of its last task.
    /// Probability for each array job.
    pub requests_at_end: f64,
    /// Number of additional polls that users send for each regular poll.
    pub extra_polls: f64,
    /// An instance starts at once. Probability for each instance.
    pub instant_boots: f64,
    /// An instance never starts. Probability for each instance.
    pub failed_boots: f64,
}

impl NetworkFaults {
    /// Returns a random value between 0 and `max` in a share `probability` of the calls, and 0 in the others.
    pub fn random_strength(rng: &mut SmallRng, probability: f64, max: f64) -> f64 {
        let is_present = rng.random::<f64>() < probability;
        if is_present {
            rng.random::<f64>() * max
        } else {
            0.0
        }
    }

    /// Returns a random duration of a fault, in seconds: 0.1 to 1.1 times a scale, which is chosen from one second, a
    /// lease, one and a half leases, and a time longer than `CANCEL_S`.
    pub fn random_duration(rng: &mut SmallRng) -> f64 {
        let scale = [1.0, LEASE_S, 1.5 * LEASE_S, 1.4 * CANCEL_S][rng.random_range(0..4)];
        (0.1 + rng.random::<f64>()) * scale
    }
}

/// Delays direct calls with starts until long after their sender has timed out. When such a call arrives, the worker
/// executes it if its token is not too low and its incarnation still matches. Heartbeats, their responses and all other
/// direct calls are not delayed.
#[derive(Debug, Clone, Copy, Default)]
pub struct DelayedCommands {
    /// Calls that are sent before this time are delayed.
    pub until: f64,
    /// Delay of each call, in seconds.
    pub delay_s: f64,
    /// Each call is also delivered without delay, so that the delayed call is a duplicate.
    pub copies_only: bool,
}

/// A network partition. On one side are the workers of a zone and the listed controllers, on the other side is
/// everything else.
pub(super) struct ZonePartition {
    pub(super) zone: &'static str,
    pub(super) controllers: Vec<usize>,
    pub(super) until: f64,
}

impl World {
    /// Schedules the crash of a controller and its restart, at two simulated times in seconds.
    pub fn crash(&mut self, controller: usize, at: f64, restart_at: f64) {
        self.schedule_at(at, SimEvent::ControllerCrashes(controller));
        self.schedule_at(restart_at, SimEvent::ControllerStarts(controller));
    }

    /// Schedules an outage of the state service.
    pub fn state_service_outage(&mut self, from: f64, until: f64) {
        self.schedule_at(from, SimEvent::StateServiceOutage(true));
        self.schedule_at(until, SimEvent::StateServiceOutage(false));
    }

    /// Begins an outage of the state service now.
    pub fn state_service_outage_for(&mut self, for_s: f64) {
        self.state_service_outage(self.now, self.now + for_s);
    }

    /// Returns whether a partition currently separates a controller from the workers of a zone.
    pub(super) fn is_partitioned_from(&self, controller: usize, zone: &str) -> bool {
        let partition = self
            .partition
            .as_ref()
            .filter(|partition| self.now < partition.until);
        partition.is_some_and(|partition| {
            partition.controllers.contains(&controller) != (partition.zone == zone)
        })
    }

    /// Returns whether a partition currently separates a controller from everything outside the partitioned zone.
    pub(super) fn is_in_partition(&self, controller: usize) -> bool {
        let partition = self
            .partition
            .as_ref()
            .filter(|partition| self.now < partition.until);
        partition.is_some_and(|partition| partition.controllers.contains(&controller))
    }

    /// Sends a request. Depending on the network faults, it may arrive late or twice. For transactions there is a
    /// separate probability of arriving late.
    pub(super) fn send_request(&mut self, event: SimEvent) {
        if self.faults.repeated_requests > 0.0
            && self.rng.random::<f64>() < self.faults.repeated_requests
        {
            // The sender ignores the response to the second execution.
            let delay = 1.0 + self.rng.random::<f64>() * 3.0 * LEASE_S;
            self.schedule_after(delay, event.clone());
        }
        if let SimEvent::KvRequestArrives(_, _, _, KvRequest::Txn(txn)) = &event
            && !txn.writes.is_empty()
            && self.faults.late_transactions > 0.0
            && self.rng.random::<f64>() < self.faults.late_transactions
        {
            // When the transaction is applied, its sender has usually timed out.
            let delay = 2.0 + self.rng.random::<f64>() * 10.0;
            self.counts.late_txns += 1;
            self.schedule_after(delay, event);
            return;
        }
        let is_late = self.rng.random::<f64>() < self.faults.late_requests;
        let delay = if is_late {
            2.0 + self.rng.random::<f64>() * 20.0
        } else {
            0.003
        };
        self.schedule_after(delay, event);
    }

    /// Returns the delay of a direct call in seconds, or `None` if the call is not delayed. Only calls with starts are.
    pub(super) fn command_delay(&mut self, request: &WorkerRequest) -> Option<f64> {
        let WorkerRequest::Commands(commands) = request;
        let has_starts = commands
            .commands
            .iter()
            .any(|command| command.kind == CommandKind::Start);
        if !has_starts || self.now >= self.delayed_commands.until {
            return None;
        }
        self.counts.delayed_commands += 1;
        Some(self.delayed_commands.delay_s)
    }

    /// Counts the starts in a delayed call that arrives now, if the cancellation of their job was confirmed more than
    /// `CANCEL_S` ago. The worker may still reject the call.
    pub(super) fn count_delayed_command(&mut self, worker: &str, request: &WorkerRequest) {
        let WorkerRequest::Commands(commands) = request;
        let Some(worker) = self.workers.get(worker) else {
            return;
        };
        let same_incarnation = commands.incarnation == Some(worker.incarnation);
        let too_late = |task_id: &str| {
            let user = self.users.iter().find(|u| u.id == job_of(task_id));
            let cancelled_at = user.and_then(|u| u.cancellation_confirmed_at);
            cancelled_at.is_some_and(|at| self.now > at + CANCEL_S)
        };
        let starts = commands
            .commands
            .iter()
            .filter(|command| command.kind == CommandKind::Start);
        let late = starts.filter(|command| too_late(&command.task)).count() as u32;
        self.counts.starts_past_cancellation += late;
        self.counts.starts_past_cancellation_in_incarnation +=
            if same_incarnation { late } else { 0 };
    }

    /// Sends a response, which may be lost. If the response to a user is lost, the user times out after five seconds,
    /// which the simulation represents as a response with status 599.
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

    /// Removes the running instance whose name comes first, without a warning, as the cloud does when it reclaims spot
    /// instances. Returns false if no instance is running.
    pub fn reclaim_instance(&mut self) -> bool {
        let Some(name) = self.workers.keys().next().cloned() else {
            return false;
        };
        self.remove_instance(&name);
        true
    }

    /// Removes a running instance, with all tasks on it.
    pub fn lose_instance(&mut self, name: &str) {
        self.remove_instance(name);
    }

    /// Removes up to `count` running instances of a zone. Returns how many were removed.
    pub fn lose_instances(&mut self, zone: &str, count: usize) -> usize {
        let in_zone = self.workers.values().filter(|w| w.zone == zone);
        let names: Vec<String> = in_zone.map(|w| w.name.clone()).take(count).collect();
        for name in &names {
            self.remove_instance(name);
        }
        names.len()
    }

    /// Sets the leader's entry in a field of the world that has one time for each controller. The entry is set to the
    /// time `for_s` seconds from now. Returns the index of the leader, or `None` if there is no leader.
    fn set_on_leader(
        &mut self,
        for_s: f64,
        field: impl Fn(&mut World) -> &mut Vec<f64>,
    ) -> Option<usize> {
        let leader = self.leader()?;
        let until = self.now + for_s;
        field(self)[leader] = until;
        Some(leader)
    }

    /// Isolates the leader from workers and from the other controllers, but not from the state service. Returns false
    /// if there is no leader.
    pub fn isolate_leader_except_state_service(&mut self, for_s: f64) -> bool {
        self.set_on_leader(for_s, |world| &mut world.isolated_except_state_service)
            .is_some()
    }

    /// Isolates the leader from the state service and the other controllers, but not from its workers. Returns
    /// false if there is no leader.
    pub fn isolate_leader_except_workers(&mut self, for_s: f64) -> bool {
        let leader = self.set_on_leader(for_s, |world| &mut world.isolated_except_workers);
        // The requests of open watches have already arrived; the controller gets no responses to them.
        self.kv
            .watches
            .retain(|watch| Some(watch.controller) != leader);
        leader.is_some()
    }

    /// Pauses the leader's process, while its clocks go on. Returns false if there is no leader.
    pub fn pause_leader(&mut self, for_s: f64) -> bool {
        self.set_on_leader(for_s, |world| &mut world.paused_until)
            .is_some()
    }

    /// Pauses the leader's process the next time that it has effects to send, before it sends them. They are sent
    /// after the pause. Returns false if there is no leader.
    pub fn pause_leader_before_sending(&mut self, for_s: f64) -> bool {
        let leader = self.leader();
        if let Some(leader) = leader {
            self.pause_before_sending_s[leader] = Some(for_s);
        }
        leader.is_some()
    }

    /// Stops the leader; connections to it hang until it restarts. Returns false if there is no leader.
    pub fn hang_leader(&mut self, for_s: f64) -> bool {
        let Some(leader) = self.set_on_leader(for_s, |world| &mut world.hung_until) else {
            return false;
        };
        let now = self.now;
        self.crash(leader, now, now + for_s);
        true
    }

    /// Partitions the network for `for_s` seconds. On one side are the workers of a zone, `other_controllers` of the
    /// controllers that do not lead and, if `leader_inside` is set, the leader; everything else is on the other side.
    /// Returns false if there is no leader.
    pub fn partition_zone(
        &mut self,
        zone: &'static str,
        leader_inside: bool,
        other_controllers: usize,
        for_s: f64,
    ) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let others = (0..self.controllers.len())
            .filter(|i| *i != leader)
            .take(other_controllers);
        let controllers = others.chain(leader_inside.then_some(leader)).collect();
        let until = self.now + for_s;
        self.partition = Some(ZonePartition {
            zone,
            controllers,
            until,
        });
        // The requests of open watches have already arrived; the controller gets no responses to them.
        let inside: Vec<usize> = (0..self.controllers.len())
            .filter(|i| self.is_in_partition(*i))
            .collect();
        self.kv
            .watches
            .retain(|watch| !inside.contains(&watch.controller));
        true
    }

    /// Makes the state service respond with 503 to all requests of the leader, while it serves the other controllers.
    /// The leader's open watches get no response. Returns false if there is no leader.
    pub fn fail_state_requests_of_leader(&mut self, for_s: f64) -> bool {
        self.set_on_leader(for_s, |world| &mut world.state_requests_fail_until)
            .is_some()
    }

    /// Withholds the responses to the leader's watch on the open jobs. The leader's other requests get responses.
    /// Returns false if there is no leader.
    pub fn hang_leader_watch(&mut self, for_s: f64) -> bool {
        self.set_on_leader(for_s, |world| &mut world.watch_hangs_until)
            .is_some()
    }

    /// Makes the state service reject the leader's watch on the open jobs, as if a rate limit was exceeded. The
    /// leader's other requests are executed. Returns false if there is no leader.
    pub fn rate_limit_leader_watch(&mut self, for_s: f64) -> bool {
        self.set_on_leader(for_s, |world| &mut world.watch_limited_until)
            .is_some()
    }

    /// Pauses the controllers in the partitioned zone. After the pause they first handle the requests that arrived
    /// during it, and then their overdue timers. Returns the number of paused controllers.
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

    /// Hangs the workers of a zone and their tasks for `for_s` seconds. Afterwards they go on; workers whose leases
    /// have expired meanwhile begin a new incarnation without tasks.
    pub fn hang_workers(&mut self, zone: &str, for_s: f64) {
        let until = self.now + for_s;
        for worker in self.workers.values_mut().filter(|w| w.zone == zone) {
            worker.hung_until = until;
        }
    }

    /// Blocks all commands and responses to the existing workers. Their heartbeats still arrive at the controllers.
    pub fn block_traffic_to_workers(&mut self, for_s: f64) {
        let until = self.now + for_s;
        for worker in self.workers.values_mut() {
            worker.inbound_blocked_until = until;
        }
    }

    /// Blocks all messages from and to all workers, those that boot meanwhile included.
    pub fn disconnect_all_workers(&mut self, for_s: f64) {
        let until = self.now + for_s;
        self.new_workers_disconnected_until = until;
        for worker in self.workers.values_mut() {
            worker.disconnected_until = until;
        }
    }

    /// Makes the load balancer send the users' requests to controllers other than the leader. Returns false if there
    /// is no leader.
    pub fn divert_users_from_leader(&mut self, for_s: f64) -> bool {
        self.set_on_leader(for_s, |world| &mut world.users_avoid_until)
            .is_some()
    }

    /// Withholds the responses to listings of keys. All other requests to the state service get responses.
    pub fn hang_listings(&mut self, for_s: f64) {
        self.listings_hang_until = self.now + for_s;
    }

    /// Makes the users of up to `count` running jobs cancel them within 0.2 s, and hangs up to `hung_workers` of the
    /// workers that run these jobs for `hang_s` seconds. Returns the number of jobs that will be cancelled.
    pub fn cancel_jobs(&mut self, count: usize, hung_workers: usize, hang_s: f64) -> usize {
        let is_running = |u: &User| {
            let runs_on = |w: &Worker| w.runs_job(&u.id);
            u.accepted
                && u.cancel_at.is_none()
                && u.completion_confirmed_at.is_none()
                && self.workers.values().any(runs_on)
        };
        let users: Vec<usize> = (0..self.users.len())
            .filter(|n| is_running(&self.users[*n]))
            .take(count)
            .collect();
        let mut remaining = hung_workers;
        for n in &users {
            let id = self.users[*n].id.clone();
            let until = self.now + hang_s;
            for worker in self.workers.values_mut().filter(|w| w.runs_job(&id)) {
                if remaining > 0 && worker.hung_until < self.now {
                    worker.hung_until = until;
                    remaining -= 1;
                }
            }
            let at = self.now + self.rng.random::<f64>() * 0.2;
            self.users[*n].cancel_at = Some(at);
            self.schedule_at(at, SimEvent::UserActs(*n));
        }
        users.len()
    }

    /// Blocks the heartbeats of the worker at position `nth`, in the order of names. Direct calls still reach the
    /// worker. Returns its name, or `None` if there are not enough workers.
    pub fn block_traffic_from_worker(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.outbound_blocked_until = until;
        Some(worker.name.clone())
    }

    /// Sends each kind of invalid request that is possible in this world to every controller.
    pub fn send_invalid_requests(&mut self) {
        let all = [
            InvalidRequest::FitsNoInstance,
            InvalidRequest::UnknownTeam,
            InvalidRequest::MissingField,
            InvalidRequest::UnknownJob,
            InvalidRequest::ExceedsTeamLimit,
        ];
        // In large worlds, with more than 3 instances per pool, teams have no limit that a request could exceed, so the
        // last request of the list, `ExceedsTeamLimit`, is left out.
        let requests = &all[..all.len() - usize::from(self.instances_per_pool > 3)];
        for controller in 0..self.controllers.len() {
            for request in requests {
                self.schedule_after(0.002, SimEvent::InvalidRequestArrives(controller, *request));
            }
        }
    }

    /// Makes the users of accepted jobs send one more request: a submission if the job is unfinished, a cancellation if
    /// it is done. Users of cancelled jobs send none.
    pub fn repeat_requests(&mut self) {
        for n in 0..self.users.len() {
            let kind = match &self.users[n] {
                u if !u.accepted || u.cancellation_confirmed_at.is_some() => continue,
                u if u.completion_confirmed_at.is_some() => UserRequestKind::Cancel,
                _ => UserRequestKind::Submit,
            };
            let controller = self.rng.random_range(0..self.controllers.len());
            let user_request = UserRequest {
                kind,
                sent_at: self.now,
                is_extra: true,
            };
            self.schedule_after(
                0.002,
                SimEvent::UserRequestArrives(controller, n, user_request),
            );
        }
    }

    /// Makes all controllers refuse connections from their peers for `for_s` seconds.
    pub fn refuse_peer_connections(&mut self, for_s: f64) {
        self.peer_connections_refused_until = self.now + for_s;
    }

    /// Crashes the leader, and restarts it after `down_s` seconds. Returns false if there is no leader.
    pub fn restart_leader(&mut self, down_s: f64) -> bool {
        let leader = self.leader();
        if let Some(leader) = leader {
            let now = self.now;
            self.crash(leader, now, now + down_s);
        }
        leader.is_some()
    }

    /// Blocks commands and responses to the worker at position `nth`, in the order of names. Its heartbeats still
    /// arrive at the controllers. Returns its name, or `None` if there are not enough workers.
    pub fn block_traffic_to_worker(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.inbound_blocked_until = until;
        Some(worker.name.clone())
    }

    /// Restarts the worker at position `nth`, in the order of names. The worker is back at once, without its tasks. If
    /// `loses_state` is set, it begins at incarnation 1 with the lowest token, else in its next incarnation.
    pub fn restart_worker(&mut self, nth: usize, loses_state: bool) {
        let now = self.now;
        let Some(worker) = self.workers.values_mut().nth(nth) else {
            return;
        };
        worker.tasks.clear();
        worker.awaiting_response = None;
        worker.lease_renewed_at = now;
        worker.next_heartbeat_at = now + 0.2;
        if loses_state {
            (worker.incarnation, worker.sequence, worker.token) = (1, 0, FencingToken::default());
        } else {
            worker.incarnation += 1;
        }
    }

    /// Makes the worker at position `nth`, in the order of names, faulty: each task that it starts from now on fails.
    /// Returns its name, or `None` if there are not enough workers.
    pub fn make_worker_faulty(&mut self, nth: usize) -> Option<String> {
        let worker = self.workers.values_mut().nth(nth)?;
        worker.faulty = true;
        Some(worker.name.clone())
    }

    /// Ends the fault of [`World::make_worker_faulty`].
    pub fn repair_worker(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.faulty = false;
        }
    }

    /// Blocks all messages from and to the worker at position `nth`, in the order of names. Returns its name, or
    /// `None` if there are not enough workers.
    pub fn disconnect_worker(&mut self, nth: usize, for_s: f64) -> Option<String> {
        let until = self.now + for_s;
        let worker = self.workers.values_mut().nth(nth)?;
        worker.disconnected_until = until;
        Some(worker.name.clone())
    }
}
