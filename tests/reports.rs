//! What a heartbeat tells a leader, and what an old one does not.

mod common;

use cedarladder::bookkeeping::segment::SegmentBuilder;
use cedarladder::bookkeeping::workers::Resources;
use cedarladder::coordination::leader::{HeartbeatOutcome, Leader};
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, KvResponse};
use cedarladder::protocol::token::FencingToken;
use cedarladder::protocol::worker::{
    Command, CommandBatch, CommandKind, TaskState, TaskStatus, WorkerHeartbeat,
};
use cedarladder::settings::Settings;
use ciborium::Value;
use common::{freshness, freshness_of_age, instance_type, spec, worker};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::rc::Rc;

const EPOCH: u64 = 10;

/// A leader that has just found all its tables empty.
fn leader() -> Leader {
    let mut leader = loading();
    for _ in 0..3 {
        leader.on_recovery_page(
            KvResponse::Page {
                items: Vec::new(),
                more: false,
                revision: 9,
            },
            0.0,
            0.0,
        );
    }
    assert!(!leader.recovery());
    leader
}

/// A leader that has not read anything yet.
fn loading() -> Leader {
    let settings = Rc::new(Settings::parse(include_str!("world/settings.toml")).expect("settings"));
    let policy = Rc::new(Policy::built_in(&settings));
    let instance_types = Rc::new(vec![instance_type("f")]);
    let rng = SmallRng::seed_from_u64(1);
    Leader::new(EPOCH, settings, policy, instance_types, 30.0, rng, 0.0)
}

fn report(incarnation: u64, tick: u64, epoch: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: "h".into(),
        endpoint: "10.1.0.1:9000".into(),
        instance_type: "f".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        sequence: tick,
        token: FencingToken::new(epoch, 0),
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// 200 with these commands, under the leader's token.
fn answer(orders: Vec<Command>) -> HeartbeatOutcome {
    HeartbeatOutcome::Commands(CommandBatch {
        token: FencingToken::new(EPOCH, 0),
        incarnation: None,
        commands: orders,
    })
}

/// For how long the leader thinks that nobody hears it, at second 30.
#[test]
fn who_is_heard() {
    // Each: reports with the time they come, and the silence.
    type Case = (&'static str, Vec<(f64, WorkerHeartbeat)>, f64);
    let cases: Vec<Case> = vec![
        (
            "a report with our Epoch",
            vec![(5.0, report(1, 1, EPOCH)), (29.0, report(1, 2, EPOCH))],
            1.0,
        ),
        (
            "a copy of the latest report",
            vec![(5.0, report(1, 2, EPOCH)), (29.0, report(1, 2, EPOCH))],
            25.0,
        ),
        (
            "a copy of an earlier report",
            vec![(5.0, report(1, 2, EPOCH)), (29.0, report(1, 1, EPOCH))],
            25.0,
        ),
        (
            "a copy of an earlier session",
            vec![(5.0, report(2, 1, EPOCH)), (29.0, report(1, 90, EPOCH))],
            25.0,
        ),
        (
            "a machine's first word: it has not had our answer yet",
            vec![(29.0, report(1, 1, 0))],
            1.0,
        ),
        (
            "words from before the takeover: they do not show that we are heard",
            vec![
                (5.0, report(1, 90, EPOCH - 1)),
                (29.0, report(1, 91, EPOCH - 1)),
            ],
            25.0,
        ),
    ];
    for (name, reports, silence) in cases {
        let mut leader = leader();
        for (at, report) in reports {
            let got = leader.on_heartbeat(&report, &freshness(), |_| true, at);
            assert_eq!(got, answer(Vec::new()), "{name}");
        }
        assert_eq!(leader.unresponsive_for(30.0), silence, "{name}");
    }
}

/// Who has seen a higher epoch is sent away at once, by a late copy too.
#[test]
fn superseded() {
    for (name, epoch, expected) in [
        ("an earlier Epoch", EPOCH - 1, false),
        ("ours", EPOCH, false),
        ("a higher one", EPOCH + 1, true),
    ] {
        let answer = leader().on_heartbeat(&report(1, 1, epoch), &freshness(), |_| true, 1.0);
        assert_eq!(
            answer == HeartbeatOutcome::NewerLeaderExists,
            expected,
            "{name}"
        );
    }
}

/// An answer with 200 renews the worker's lease: only who knows of every cancellation that could be due
/// gives one. A leader that loads its tables can't stop anything yet, however long that takes.
#[test]
fn whose_lease_is_renewed() {
    let step = |status| TaskStatus {
        task: "j-000001/0".into(),
        attempt: 7,
        state: status,
        exit_reason: None,
    };
    let running = || vec![step(TaskState::Running)];
    // Each: whether the tables are loaded, the tasks, whether the controller may renew, whether it knows the
    // job as open, and whether the lease is renewed.
    let cases = [
        (
            "a view that is too old",
            true,
            running(),
            false,
            true,
            false,
        ),
        ("too old, while loading", false, vec![], false, true, false),
        (
            "loading, and the job is open",
            false,
            running(),
            true,
            true,
            true,
        ),
        (
            "loading, and the job is over",
            false,
            running(),
            true,
            false,
            false,
        ),
        (
            "loading, and the task has exited",
            false,
            vec![step(TaskState::Exited)],
            true,
            false,
            true,
        ),
    ];
    for (name, loaded, steps, may_renew, open, renewed) in cases {
        let mut leader = if loaded { leader() } else { loading() };
        let mut report = report(1, 1, EPOCH);
        report.tasks = steps;
        let freshness = if may_renew {
            freshness()
        } else {
            freshness_of_age(11.0)
        };
        let got = leader.on_heartbeat(&report, &freshness, |_| open, 1.0);
        let expected = if renewed {
            answer(Vec::new())
        } else {
            HeartbeatOutcome::LeaseNotRenewed
        };
        assert_eq!(got, expected, "{name}");
    }
    // Once loaded, what belongs to no open job is stopped with the same answer.
    let mut report = report(1, 1, EPOCH);
    report.tasks = running();
    let got = leader().on_heartbeat(&report, &freshness_of_age(9.0), |_| false, 1.0);
    let halt = Command {
        kind: CommandKind::Stop,
        task: "j-000001/0".into(),
        attempt: 7,
        grace_s: Some(0.0),
    };
    assert_eq!(got, answer(vec![halt]));
}

/// A segment of the log whose leader came after this one can't be; what it says of bindings is kept all the
/// same, so that no task is stopped or started twice for it.
#[test]
fn segments_of_impossible_leaders() {
    let page = |key: &str, value: Value| {
        let item = KeyValue {
            key: key.to_owned(),
            value,
            mod_revision: 5,
            lease_id: None,
        };
        KvResponse::Page {
            items: vec![item],
            more: false,
            revision: 9,
        }
    };
    let spec = spec("j-000001", 1);
    let mut builder = SegmentBuilder::new(EPOCH + 1, 1);
    builder.describe_worker(&worker("h", "a", false), false);
    builder.bind("h", ("j-000001", 0), ("t", Resources::default()), (7, 1));
    let segment = cbor::to_value(&builder.finish());
    let mut leader = loading();
    leader.on_recovery_page(page("open/j-000001", cbor::to_value(&spec)), 0.0, 0.0);
    leader.on_recovery_page(page("log/0", segment), 0.0, 0.0);
    leader.on_recovery_page(
        KvResponse::Page {
            items: Vec::new(),
            more: false,
            revision: 9,
        },
        0.0,
        0.0,
    );
    assert!(!leader.recovery());
    let mut report = report(1, 1, EPOCH);
    report.tasks = vec![TaskStatus {
        task: "j-000001/0".into(),
        attempt: 7,
        state: TaskState::Running,
        exit_reason: None,
    }];
    let got = leader.on_heartbeat(&report, &freshness(), |_| true, 1.0);
    assert_eq!(got, answer(Vec::new()), "its task goes on");
}
