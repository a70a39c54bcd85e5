//! The election: what each call, response and observation does to a controller's state.

use cedarladder::bookkeeping::permits::Denial;
use cedarladder::bookkeeping::records::LeaderRecord;
use cedarladder::coordination::effects::{Effect, Effects, KvRequestContext};
use cedarladder::coordination::election::{
    Election, ElectionTimeouts, LeadershipChange, ObservedLeader,
};
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::settings::WorkerSettings;

const LEASE_S: f64 = 10.0;
/// What a worker's lease, by the slower of two clocks, and half a heartbeat interval leave of `cancel_s`.
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
    fn calls(&mut self) -> Vec<KvRequest> {
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
        sent: f64,
        now: f64,
    ) -> LeadershipChange {
        self.election
            .on_response(&context, &response, sent, &mut self.effects, now)
    }
    /// Elected with epoch 42 at time 0.1; the lease was asked for at time 0.
    fn elected(mut self) -> Harness {
        self.election.poll(true, 0.0, &mut self.effects, 0.0);
        self.respond(
            KvRequestContext::GrantLease,
            KvResponse::LeaseGranted(9),
            0.0,
            0.05,
        );
        let outcome = self.respond(
            KvRequestContext::Campaign,
            KvResponse::Committed(42),
            0.05,
            0.1,
        );
        assert_eq!(outcome, LeadershipChange::Elected(42));
        self.calls();
        self
    }
}

/// A tick of a controller whose view of the open jobs was current at `current_at`.
fn poll(harness: &mut Harness, current_at: f64, now: f64) -> LeadershipChange {
    harness
        .election
        .poll(true, current_at, &mut harness.effects, now)
}

fn observed(label: &str, process_incarnation: u64, mod_revision: u64) -> ObservedLeader {
    ObservedLeader {
        record: LeaderRecord {
            label: label.into(),
            process_incarnation,
        },
        mod_revision,
    }
}

#[test]
fn a_controller_campaigns_if_nobody_else_leads() {
    let cases: [(&str, Option<ObservedLeader>, bool, Option<u64>); 5] = [
        ("nobody leads", None, true, Some(0)),
        ("the key is not known yet", None, false, None),
        ("another leads", Some(observed("n1", 5, 7)), true, None),
        (
            "an earlier process of this controller",
            Some(observed("n0", 5, 7)),
            true,
            Some(7),
        ),
        (
            "this process, after a lost response",
            Some(observed("n0", 1, 7)),
            true,
            Some(7),
        ),
    ];
    for (name, known, watching, replaces) in cases {
        let mut harness = Harness::new();
        harness.election.observe_leader(known, 0.0, 0.0);
        harness
            .election
            .poll(watching, 1.0, &mut harness.effects, 1.0);
        let granted = harness.calls();
        let Some(mod_revision) = replaces else {
            assert_eq!(granted, vec![], "{name}");
            continue;
        };
        assert_eq!(granted, vec![KvRequest::GrantLease(2000)], "{name}");
        harness.respond(
            KvRequestContext::GrantLease,
            KvResponse::LeaseGranted(9),
            1.0,
            1.1,
        );
        let [KvRequest::Txn(txn)] = &harness.calls()[..] else {
            panic!("{name}: a transaction");
        };
        assert_eq!(txn.compares[0].mod_revision, mod_revision, "{name}");
    }
}

#[test]
fn what_ends_leadership() {
    type Steps = fn(&mut Harness) -> LeadershipChange;
    // (name, steps, change by the last step, still leading)
    let cases: [(&str, Steps, LeadershipChange, bool); 12] = [
        (
            "a renewal",
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
            "a refused renewal: the lease grace period",
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
            "the watch is late and shows an earlier leader",
            |harness| {
                harness
                    .election
                    .observe_leader(Some(observed("n1", 5, 30)), 0.0, 1.0)
            },
            LeadershipChange::None,
            true,
        ),
        (
            "the watch shows a later leader",
            |harness| {
                harness
                    .election
                    .observe_leader(Some(observed("n1", 5, 50)), 0.0, 1.0)
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "no renewal until the lease grace period ends",
            |harness| poll(harness, LEASE_GRACE_S - 0.1, LEASE_GRACE_S - 0.1),
            LeadershipChange::None,
            true,
        ),
        (
            "no renewal beyond the lease grace period",
            |harness| poll(harness, LEASE_GRACE_S + 0.1, LEASE_GRACE_S + 0.1),
            LeadershipChange::Deposed,
            false,
        ),
        (
            "renewed, with a view of the open jobs as old as the lease grace period",
            |harness| {
                harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 25.0, 25.1);
                poll(harness, 9.0, 9.0 + LEASE_GRACE_S - 0.1)
            },
            LeadershipChange::None,
            true,
        ),
        (
            "renewed, with a view of the open jobs that is older than that",
            |harness| {
                harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 25.0, 25.1);
                poll(harness, 9.0, 9.0 + LEASE_GRACE_S + 0.1)
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "just elected, with an old view: it has time to catch up",
            |harness| poll(harness, -100.0, 1.0),
            LeadershipChange::None,
            true,
        ),
    ];
    for (name, steps, outcome, leads) in cases {
        let mut harness = Harness::new().elected();
        assert_eq!(steps(&mut harness), outcome, "{name}");
        assert_eq!(harness.election.epoch().is_some(), leads, "{name}");
    }
}

/// The lease is certainly held only for its lifetime, counted from when the renewal was sent.
#[test]
fn the_lease_is_held_from_when_its_renewal_was_sent() {
    let mut harness = Harness::new().elected();
    for (now, held) in [(0.1, true), (1.9, true), (2.0, false), (5.0, false)] {
        assert_eq!(harness.election.holds_lease(now), held, "at {now}");
    }
    harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 1.5, 5.0);
    for (now, held) in [(3.4, true), (3.5, false)] {
        assert_eq!(harness.election.holds_lease(now), held, "renewed, at {now}");
    }
}

/// Workers' leases are renewed while both the lease and the view of the open jobs are new enough: the
/// one shows that no successor has acted, the other that no cancellation is unknown.
#[test]
fn worker_leases_are_renewed_within_the_lease_grace_period() {
    // Each: when the view was current, now, and whether leases may be renewed; the lease itself was
    // last renewed at second 10.
    let end = 10.0 + LEASE_GRACE_S;
    let cases = [
        ("both are new", 10.0, 10.5, true),
        ("both are old, but not too old", 10.0, end - 0.1, true),
        ("the lease is too old", 20.0, end + 0.1, false),
        ("the view is too old", 5.0, 5.0 + LEASE_GRACE_S + 0.1, false),
        ("no view yet", f64::NEG_INFINITY, 10.5, false),
    ];
    for (name, current_at, now, expected) in cases {
        let mut harness = Harness::new().elected();
        harness.respond(KvRequestContext::KeepAlive, KvResponse::LeaseOk, 10.0, 10.1);
        let freshness = harness
            .election
            .view_freshness(current_at, f64::NEG_INFINITY, now);
        let may_renew = freshness.may_renew().is_ok();
        assert_eq!(may_renew, expected, "{name}");
    }
    let not_elected = Harness::new().election.view_freshness(10.0, 10.0, 10.0);
    assert_eq!(not_elected.may_renew(), Err(Denial::NotLeader));
}

/// Another controller is elected while this one's lease is being granted: its key is left alone.
/// Replacing the mod revision just seen, as if the key were one's own, deposed a leader of a few
/// milliseconds.
#[test]
fn a_key_taken_while_the_lease_is_granted_is_left_alone() {
    let mut harness = Harness::new();
    harness.election.poll(true, 0.0, &mut harness.effects, 0.0);
    harness
        .election
        .observe_leader(Some(observed("n1", 5, 7)), 0.0, 0.05);
    harness.calls();
    harness.respond(
        KvRequestContext::GrantLease,
        KvResponse::LeaseGranted(9),
        0.0,
        0.1,
    );
    assert_eq!(harness.calls(), vec![KvRequest::RevokeLease(9)]);
    assert_eq!(harness.election.leader(), Some("n1"));
}

/// A campaign's transaction without a response may be applied late; its lease is revoked so that it
/// can't be.
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
    harness.calls();
    harness.respond(
        KvRequestContext::Campaign,
        KvResponse::OutcomeUnknown,
        0.1,
        0.8,
    );
    assert_eq!(harness.calls(), vec![KvRequest::RevokeLease(9)]);
    assert_eq!(harness.election.epoch(), None);
}
