//! The election, step by step.

use cedarladder::bookkeeping::permits::Denial;
use cedarladder::bookkeeping::records::LeaderRecord;
use cedarladder::coordination::effects::{Effect, Effects, KvRequestKind};
use cedarladder::coordination::election::{Election, ElectionTimeouts, LeadershipChange};
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::settings::WorkerSettings;

const LEASE_S: f64 = 10.0;
/// What is left of `CANCEL_S` after a lease and half a heartbeat interval, by the slower of two clocks.
const HOLD_OVER_S: f64 = 18.98;

fn workers() -> WorkerSettings {
    WorkerSettings {
        heartbeat_interval_s: 2.0,
        lease_s: LEASE_S,
        cancel_s: 30.0,
    }
}

struct Bed {
    election: Election,
    out: Effects,
}

impl Bed {
    fn new() -> Bed {
        Bed {
            election: Election::new("n0", 1, ElectionTimeouts::new(&workers())),
            out: Effects::default(),
        }
    }
    fn calls(&mut self) -> Vec<KvRequest> {
        std::mem::take(&mut self.out.queue)
            .into_iter()
            .filter_map(|action| match action {
                Effect::CallKv { request: call, .. } => Some(call),
                _ => None,
            })
            .collect()
    }
    fn reply(
        &mut self,
        ask: KvRequestKind,
        reply: KvResponse,
        sent: f64,
        now: f64,
    ) -> LeadershipChange {
        self.election
            .on_response(&ask, &reply, sent, &mut self.out, now)
    }
    /// Wins with epoch 42 at time 0.1; the lease was asked for at time 0.
    fn won(mut self) -> Bed {
        self.election.poll(true, 0.0, &mut self.out, 0.0);
        self.reply(
            KvRequestKind::GrantLease,
            KvResponse::LeaseGranted(9),
            0.0,
            0.05,
        );
        let outcome = self.reply(
            KvRequestKind::Campaign,
            KvResponse::Committed(42),
            0.05,
            0.1,
        );
        assert_eq!(outcome, LeadershipChange::Elected(42));
        self.calls();
        self
    }
}

/// A step of a controller whose view of the open jobs was current at `current_at`.
fn drive(bed: &mut Bed, current_at: f64, now: f64) -> LeadershipChange {
    bed.election.poll(true, current_at, &mut bed.out, now)
}

fn record(label: &str, life: u64) -> LeaderRecord {
    LeaderRecord {
        label: label.into(),
        process_incarnation: life,
    }
}

#[test]
fn campaigns() {
    type Known = Option<(LeaderRecord, u64)>;
    let cases: [(&str, Known, bool, Option<u64>); 5] = [
        ("nobody leads", None, true, Some(0)),
        ("the key is not known yet", None, false, None),
        ("another leads", Some((record("n1", 5), 7)), true, None),
        (
            "an earlier life of this node",
            Some((record("n0", 5), 7)),
            true,
            Some(7),
        ),
        (
            "this life, after a lost answer",
            Some((record("n0", 1), 7)),
            true,
            Some(7),
        ),
    ];
    for (name, known, watching, takes) in cases {
        let mut bed = Bed::new();
        bed.election.observe_leader(known, 0.0, 0.0);
        bed.election.poll(watching, 1.0, &mut bed.out, 1.0);
        let granted = bed.calls();
        let Some(mod_revision) = takes else {
            assert_eq!(granted, vec![], "{name}");
            continue;
        };
        assert_eq!(granted, vec![KvRequest::GrantLease(2000)], "{name}");
        bed.reply(
            KvRequestKind::GrantLease,
            KvResponse::LeaseGranted(9),
            1.0,
            1.1,
        );
        let [KvRequest::Txn(txn)] = &bed.calls()[..] else {
            panic!("{name}: a transaction");
        };
        assert_eq!(txn.compares[0].mod_revision, mod_revision, "{name}");
    }
}

#[test]
fn reigns() {
    type Steps = fn(&mut Bed) -> LeadershipChange;
    // (name, steps, outcome of the last, still leading)
    let cases: [(&str, Steps, LeadershipChange, bool); 12] = [
        (
            "a renewal",
            |b| b.reply(KvRequestKind::KeepAlive, KvResponse::LeaseOk, 1.0, 1.1),
            LeadershipChange::None,
            true,
        ),
        (
            "the lease is over",
            |b| b.reply(KvRequestKind::KeepAlive, KvResponse::LeaseExpired, 1.0, 1.1),
            LeadershipChange::Deposed,
            false,
        ),
        (
            "a refused renewal: hold-over",
            |b| b.reply(KvRequestKind::KeepAlive, KvResponse::Unavailable, 1.0, 1.1),
            LeadershipChange::None,
            true,
        ),
        (
            "a lower Epoch is seen",
            |b| b.election.observe_epoch(41),
            LeadershipChange::None,
            true,
        ),
        (
            "a higher Epoch is seen",
            |b| b.election.observe_epoch(43),
            LeadershipChange::Deposed,
            false,
        ),
        (
            "the watch is late and shows an earlier leader",
            |b| {
                b.election
                    .observe_leader(Some((record("n1", 5), 30)), 0.0, 1.0)
            },
            LeadershipChange::None,
            true,
        ),
        (
            "the watch shows a later leader",
            |b| {
                b.election
                    .observe_leader(Some((record("n1", 5), 50)), 0.0, 1.0)
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "no renewal until the hold-over ends",
            |b| drive(b, HOLD_OVER_S - 0.1, HOLD_OVER_S - 0.1),
            LeadershipChange::None,
            true,
        ),
        (
            "no renewal beyond the hold-over",
            |b| drive(b, HOLD_OVER_S + 0.1, HOLD_OVER_S + 0.1),
            LeadershipChange::Deposed,
            false,
        ),
        (
            "renewed, with a view of the open jobs as old as a hold-over may be",
            |b| {
                b.reply(KvRequestKind::KeepAlive, KvResponse::LeaseOk, 25.0, 25.1);
                drive(b, 9.0, 9.0 + HOLD_OVER_S - 0.1)
            },
            LeadershipChange::None,
            true,
        ),
        (
            "renewed, with a view of the open jobs that is older than that",
            |b| {
                b.reply(KvRequestKind::KeepAlive, KvResponse::LeaseOk, 25.0, 25.1);
                drive(b, 9.0, 9.0 + HOLD_OVER_S + 0.1)
            },
            LeadershipChange::Deposed,
            false,
        ),
        (
            "just won, with an old view: it has time to catch up",
            |b| drive(b, -100.0, 1.0),
            LeadershipChange::None,
            true,
        ),
    ];
    for (name, steps, outcome, leads) in cases {
        let mut bed = Bed::new().won();
        assert_eq!(steps(&mut bed), outcome, "{name}");
        assert_eq!(bed.election.epoch().is_some(), leads, "{name}");
    }
}

/// The lead is certain only for the life of the lease, counted from when the renewal was sent.
#[test]
fn confirmation() {
    let mut bed = Bed::new().won();
    for (now, confirmed) in [(0.1, true), (1.9, true), (2.0, false), (5.0, false)] {
        assert_eq!(bed.election.holds_lease(now), confirmed, "at {now}");
    }
    bed.reply(KvRequestKind::KeepAlive, KvResponse::LeaseOk, 1.5, 5.0);
    for (now, confirmed) in [(3.4, true), (3.5, false)] {
        assert_eq!(
            bed.election.holds_lease(now),
            confirmed,
            "renewed, at {now}"
        );
    }
}

/// Workers' leases are renewed while both the lease and the view of the open jobs are new enough: the
/// one shows that no successor has acted, the other that no cancellation is unknown.
#[test]
fn renewing() {
    // Each: when the view was current, now, and whether leases may be renewed; the lease itself was
    // last renewed at second 10.
    let end = 10.0 + HOLD_OVER_S;
    let cases = [
        ("both are new", 10.0, 10.5, true),
        ("both are old, but not too old", 10.0, end - 0.1, true),
        ("the lease is too old", 20.0, end + 0.1, false),
        ("the view is too old", 5.0, 5.0 + HOLD_OVER_S + 0.1, false),
        ("no view yet", f64::NEG_INFINITY, 10.5, false),
    ];
    for (name, current_at, now, expected) in cases {
        let mut bed = Bed::new().won();
        bed.reply(KvRequestKind::KeepAlive, KvResponse::LeaseOk, 10.0, 10.1);
        let freshness = bed
            .election
            .view_freshness(current_at, f64::NEG_INFINITY, now);
        let may_renew = freshness.may_renew().is_ok();
        assert_eq!(may_renew, expected, "{name}");
    }
    let not_elected = Bed::new().election.view_freshness(10.0, 10.0, 10.0);
    assert_eq!(not_elected.may_renew(), Err(Denial::NotLeader));
}

/// Another controller takes leadership while this controller's lease is on its way: its key is left alone. Taking
/// over by the version just seen, as if it were one's own, deposed a leader of a few milliseconds.
#[test]
fn beaten_to_it() {
    let mut bed = Bed::new();
    bed.election.poll(true, 0.0, &mut bed.out, 0.0);
    bed.election
        .observe_leader(Some((record("n1", 5), 7)), 0.0, 0.05);
    bed.calls();
    bed.reply(
        KvRequestKind::GrantLease,
        KvResponse::LeaseGranted(9),
        0.0,
        0.1,
    );
    assert_eq!(bed.calls(), vec![KvRequest::RevokeLease(9)]);
    assert_eq!(bed.election.leader(), Some("n1"));
}

/// A take without an answer may be applied late; its lease is ended so that it can't be.
#[test]
fn unanswered_take() {
    let mut bed = Bed::new();
    bed.election.poll(true, 0.0, &mut bed.out, 0.0);
    bed.reply(
        KvRequestKind::GrantLease,
        KvResponse::LeaseGranted(9),
        0.0,
        0.1,
    );
    bed.calls();
    bed.reply(
        KvRequestKind::Campaign,
        KvResponse::OutcomeUnknown,
        0.1,
        0.8,
    );
    assert_eq!(bed.calls(), vec![KvRequest::RevokeLease(9)]);
    assert_eq!(bed.election.epoch(), None);
}
