//! State transitions of the leader election: requests, responses and observations.

use cedarladder::bookkeeping::permits::Denial;
use cedarladder::bookkeeping::records::LeaderRecord;
use cedarladder::coordination::effects::{Effect, Effects, KvRequestContext};
use cedarladder::coordination::election::{
    Election, ElectionTimeouts, LeadershipChange, ObservedLeader,
};
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::settings::WorkerSettings;

const LEASE_S: f64 = 10.0;
/// The expected lease grace period for [`workers`]: `cancel_s` minus a worker's lease, measured by the slower of two
/// clocks, and minus half a heartbeat interval.
const LEASE_GRACE_S: f64 = 18.98;

fn workers() -> WorkerSettings {
    WorkerSettings {
        heartbeat_interval_s: 2.0,
        lease_s: LEASE_S,
        cancel_s: 30.0,
    }
}

struct Harness {
    election: Election,
    effects: Effects,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            election: Election::new("n0", 1, ElectionTimeouts::new(&workers())),
            effects: Effects::default(),
        }
    }
    fn take_requests(&mut self) -> Vec<KvRequest> {
        std::mem::take(&mut self.effects.queue)
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::CallKv { request, .. } => Some(request),
                _ => None,
            })
            .collect()
    }
    fn respond(
        &mut self,
        context: KvRequestContext,
        response: KvResponse,
        sent_at: f64,
        now: f64,
    ) -> LeadershipChange {
        self.election
            .on_response(&context, &response, sent_at, &mut self.effects, now)
    }
    /// Wins the election at time 0.1 with epoch 42. The lease was requested at time 0.
    fn elected(mut self) -> Harness {
        self.election.poll(true, 0.0, &mut self.effects, 0.0);
        self.respond(
            KvRequestContext::GrantLease,
            KvResponse::LeaseGranted(9),
            0.0,
            0.05,
        );
        let change = self.respond(
            KvRequestContext::Campaign,
            KvResponse::Committed(42),
            0.05,
            0.1,
        );
        assert_eq!(change, LeadershipChange::Elected(42));
        self.take_requests();
        self
    }
}

/// Polls the election of a controller whose view of the open jobs is current as of `view_current_as_of`.
fn poll(harness: &mut Harness, view_current_as_of: f64, now: f64) -> LeadershipChange {
    harness
        .election
        .poll(true, view_current_as_of, &mut harness.effects, now)
}

fn observed_leader(label: &str, process_incarnation: u64, mod_revision: u64) -> ObservedLeader {
    ObservedLeader {
        record: LeaderRecord {
            label: label.into(),
            process_incarnation,
        },
        mod_revision,
    }
}

#[test]
fn a_controller_campaigns_unless_another_one_leads() {
    // (name, observed leader, whether the watch has read the key, mod revision to replace if it campaigns)
    let cases: [(&str, Option<ObservedLeader>, bool, Option<u64>); 5] = [
        ("there is no leader", None, true, Some(0)),
        ("the key has not been read yet", None, false, None),
        (
            "another controller leads",
            Some(observed_leader("n1", 5, 7)),
            true,
            None,
        ),
        (
            "the key is of an earlier process of this controller",
            Some(observed_leader("n0", 5, 7)),
            true,
            Some(7),
        ),
        (
            "the key is of this process, after a lost response",
            Some(observed_leader("n0", 1, 7)),
            true,
            Some(7),
        ),
    ];
    for (name, observed, leader_key_known, replaces) in cases {
        let mut harness = Harness::new();
        harness.election.observe_leader(observed, 0.0, 0.0);
        harness
            .election
            .poll(leader_key_known, 1.0, &mut harness.effects, 1.0);
        let requests = harness.take_requests();
        let Some(mod_revision) = replaces else {
            assert_eq!(requests, vec![], "{name}");
            continue;
        };
        assert_eq!(requests, vec![KvRequest::GrantLease(2000)], "{name}");
        harness.respond(
            KvRequestContext::GrantLease,
            KvResponse::LeaseGranted(9),
            1.0,
            1.1,
        );
        let [KvRequest::Txn(txn)] = &harness.take_requests()[..] else {
            panic!(
                "{name}: the requests after the grant of the lease are not a single transaction"
            );
        };
        assert_eq!(txn.compares[0].mod_revision, mod_revision, "{name}");
    }
}

#[test]
fn events_that_end_leadership() {
    type Steps = fn(&mut Harness) -> LeadershipChange;
    // (name, steps, leadership change of the last step, whether the controller still leads afterwards)
    let cases: [(&str, Steps, LeadershipChange, bool); 12] = [
        (
            "the lease is renewed",
            |harness| harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 1.0, 1.1),
            LeadershipChange::None,
            true,
        ),
        (
            "the lease has expired",
            |harness| {
                harness.respond(
                    KvRequestContext::KeepAlive,
                    KvResponse::LeaseExpired,
                    1.0,
                    1.1,
                )
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "a renewal fails: the lease grace period has begun",
            |harness| {
                harness.respond(
                    KvRequestContext::KeepAlive,
                    KvResponse::Unavailable,
                    1.0,
                    1.1,
                )
            },
            LeadershipChange::None,
            true,
        ),
        (
            "a lower epoch is seen",
            |harness| harness.election.observe_epoch(41),
            LeadershipChange::None,
            true,
        ),
        (
            "a higher epoch is seen",
            |harness| harness.election.observe_epoch(43),
            LeadershipChange::Deposed,
            false,
        ),
        (
            "the watch lags behind and shows an earlier leader",
            |harness| {
                harness
                    .election
                    .observe_leader(Some(observed_leader("n1", 5, 30)), 0.0, 1.0)
            },
            LeadershipChange::None,
            true,
        ),
        (
            "the watch shows a later leader",
            |harness| {
                harness
                    .election
                    .observe_leader(Some(observed_leader("n1", 5, 50)), 0.0, 1.0)
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "not renewed until just before the end of the lease grace period",
            |harness| poll(harness, LEASE_GRACE_S - 0.1, LEASE_GRACE_S - 0.1),
            LeadershipChange::None,
            true,
        ),
        (
            "not renewed until after the end of the lease grace period",
            |harness| poll(harness, LEASE_GRACE_S + 0.1, LEASE_GRACE_S + 0.1),
            LeadershipChange::Deposed,
            false,
        ),
        (
            "renewed, but the view of the open jobs is nearly as old as the lease grace period",
            |harness| {
                harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 25.0, 25.1);
                poll(harness, 9.0, 9.0 + LEASE_GRACE_S - 0.1)
            },
            LeadershipChange::None,
            true,
        ),
        (
            "renewed, but the view of the open jobs is older than the lease grace period",
            |harness| {
                harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 25.0, 25.1);
                poll(harness, 9.0, 9.0 + LEASE_GRACE_S + 0.1)
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "just elected, with an old view: the leader has one lease grace period to bring the view up to date",
            |harness| poll(harness, -100.0, 1.0),
            LeadershipChange::None,
            true,
        ),
    ];
    for (name, steps, change, leads) in cases {
        let mut harness = Harness::new().elected();
        assert_eq!(steps(&mut harness), change, "{name}");
        assert_eq!(harness.election.epoch().is_some(), leads, "{name}");
    }
}

/// A leader may rely on its lease for the lease duration, less a small margin for clock drift, counted from the sending
/// of the renewal.
#[test]
fn the_lease_duration_counts_from_the_sending_of_the_renewal() {
    let mut harness = Harness::new().elected();
    for (now, held) in [(0.1, true), (1.9, true), (2.0, false), (5.0, false)] {
        assert_eq!(
            harness.election.holds_lease(now),
            held,
            "whether the lease, requested at 0 s, is held at {now} s"
        );
    }
    harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 1.5, 5.0);
    for (now, held) in [(3.4, true), (3.5, false)] {
        assert_eq!(
            harness.election.holds_lease(now),
            held,
            "whether the lease is held at {now} s, after a renewal sent at 1.5 s"
        );
    }
}

/// Workers' leases are renewed only while both the leader's lease and its view of the open jobs are recent enough.
/// A recent lease guarantees that no successor has acted, a recent view that no cancellation has been missed.
#[test]
fn worker_leases_are_renewed_within_the_lease_grace_period() {
    // (name, time as of which the view is current, now, whether leases may be renewed)
    // The leader's own lease was last renewed at second 10.
    let end = 10.0 + LEASE_GRACE_S;
    let cases = [
        ("both are recent", 10.0, 10.5, true),
        ("both are just within the limit", 10.0, end - 0.1, true),
        ("the lease is too old", 20.0, end + 0.1, false),
        ("the view is too old", 5.0, 5.0 + LEASE_GRACE_S + 0.1, false),
        ("no view yet", f64::NEG_INFINITY, 10.5, false),
    ];
    for (name, view_current_as_of, now, expected) in cases {
        let mut harness = Harness::new().elected();
        harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 10.0, 10.1);
        let freshness = harness
            .election
            .view_freshness(view_current_as_of, f64::NEG_INFINITY, now);
        let may_renew = freshness.may_renew().is_ok();
        assert_eq!(may_renew, expected, "{name}: may renew");
    }
    let follower = Harness::new().election.view_freshness(10.0, 10.0, 10.0);
    assert_eq!(follower.may_renew(), Err(Denial::NotLeader));
}

/// If another controller is elected while this one's lease is being granted, this one must not replace the key.
/// In an earlier version the transaction compared the key with the latest observed mod revision, whoever owned the key.
/// It replaced the key of a leader that had been elected a few milliseconds earlier.
#[test]
fn a_leader_elected_during_the_lease_grant_is_not_replaced() {
    let mut harness = Harness::new();
    harness.election.poll(true, 0.0, &mut harness.effects, 0.0);
    harness
        .election
        .observe_leader(Some(observed_leader("n1", 5, 7)), 0.0, 0.05);
    harness.take_requests();
    harness.respond(
        KvRequestContext::GrantLease,
        KvResponse::LeaseGranted(9),
        0.0,
        0.1,
    );
    assert_eq!(harness.take_requests(), vec![KvRequest::RevokeLease(9)]);
    assert_eq!(harness.election.leader(), Some("n1"));
}

/// The transaction of a campaign may still be applied after its response was lost. The controller revokes the lease, so
/// that the transaction fails.
#[test]
fn an_unanswered_campaign_revokes_its_lease() {
    let mut harness = Harness::new();
    harness.election.poll(true, 0.0, &mut harness.effects, 0.0);
    harness.respond(
        KvRequestContext::GrantLease,
        KvResponse::LeaseGranted(9),
        0.0,
        0.1,
    );
    harness.take_requests();
    harness.respond(
        KvRequestContext::Campaign,
        KvResponse::OutcomeUnknown,
        0.1,
        0.8,
    );
    assert_eq!(harness.take_requests(), vec![KvRequest::RevokeLease(9)]);
    assert_eq!(harness.election.epoch(), None);
}
