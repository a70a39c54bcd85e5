//! What a heartbeat tells a leader, and what an old one does not.

mod common;

use cedarladder::bookkeeping::wal::SegmentBuilder;
use cedarladder::bookkeeping::workers::{Binding, Resources};
use cedarladder::coordination::leader::{HeartbeatOutcome, Leader, LeaderConfig};
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{KeyValue, KvResponse};
use cedarladder::protocol::token::FencingToken;
use cedarladder::protocol::worker::{
    Command, CommandBatch, CommandKind, TaskState, TaskStatus, WorkerHeartbeat,
};
use cedarladder::settings::Settings;
use ciborium::Value;
use common::{binding, freshness, freshness_of_age, instance_type, spec, task, worker};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::rc::Rc;

const EPOCH: u64 = 10;

/// A leader that has completed its recovery and found no records.
fn recovered_leader() -> Leader {
    let mut leader = recovering_leader();
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
    assert!(!leader.is_recovering());
    leader
}

/// A leader that has not read any record yet.
fn recovering_leader() -> Leader {
    let settings = Rc::new(Settings::parse(include_str!("world/settings.toml")).expect("settings"));
    let policy = Rc::new(Policy::built_in(&settings));
    let instance_types = Rc::new(vec![instance_type("f")]);
    let rng = SmallRng::seed_from_u64(1);
    let config = LeaderConfig {
        epoch: EPOCH,
        settings,
        policy,
        instance_types,
        lease_grace_s: 30.0,
    };
    Leader::new(config, rng, 0.0)
}

fn heartbeat(incarnation: u64, sequence: u64, epoch: u64) -> WorkerHeartbeat {
    WorkerHeartbeat {
        worker: "h".into(),
        endpoint: "10.1.0.1:9000".into(),
        instance_type: "f".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        sequence,
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

/// For how long no worker has shown that it receives the leader's answers, at second 30.
#[test]
fn only_new_heartbeats_of_this_epoch_show_that_answers_arrive() {
    // Each: heartbeats with the time they come, and the silence.
    type Case = (&'static str, Vec<(f64, WorkerHeartbeat)>, f64);
    let cases: Vec<Case> = vec![
        (
            "a heartbeat with our epoch",
            vec![
                (5.0, heartbeat(1, 1, EPOCH)),
                (29.0, heartbeat(1, 2, EPOCH)),
            ],
            1.0,
        ),
        (
            "a copy of the latest heartbeat",
            vec![
                (5.0, heartbeat(1, 2, EPOCH)),
                (29.0, heartbeat(1, 2, EPOCH)),
            ],
            25.0,
        ),
        (
            "a copy of an earlier heartbeat",
            vec![
                (5.0, heartbeat(1, 2, EPOCH)),
                (29.0, heartbeat(1, 1, EPOCH)),
            ],
            25.0,
        ),
        (
            "a copy from an earlier incarnation",
            vec![
                (5.0, heartbeat(2, 1, EPOCH)),
                (29.0, heartbeat(1, 90, EPOCH)),
            ],
            25.0,
        ),
        (
            "a worker's first heartbeat: it has not had our answer yet",
            vec![(29.0, heartbeat(1, 1, 0))],
            1.0,
        ),
        (
            "heartbeats with an earlier epoch: they do not show that our answers arrive",
            vec![
                (5.0, heartbeat(1, 90, EPOCH - 1)),
                (29.0, heartbeat(1, 91, EPOCH - 1)),
            ],
            25.0,
        ),
    ];
    for (name, heartbeats, silence) in cases {
        let mut leader = recovered_leader();
        for (at, heartbeat) in heartbeats {
            let got = leader.on_heartbeat(&heartbeat, &freshness(), |_| true, at);
            assert_eq!(got, answer(Vec::new()), "{name}");
        }
        assert_eq!(leader.worker_contact_lost_s(30.0), silence, "{name}");
    }
}

/// Who has seen a higher epoch is sent away at once, by a late copy too.
#[test]
fn a_worker_that_knows_a_higher_epoch_is_redirected() {
    for (name, epoch, expected) in [
        ("an earlier epoch", EPOCH - 1, false),
        ("ours", EPOCH, false),
        ("a higher one", EPOCH + 1, true),
    ] {
        let answer =
            recovered_leader().on_heartbeat(&heartbeat(1, 1, epoch), &freshness(), |_| true, 1.0);
        assert_eq!(
            answer == HeartbeatOutcome::NewerLeaderExists,
            expected,
            "{name}"
        );
    }
}

/// An answer with 200 renews the worker's lease: only a leader that knows of every cancellation that
/// could be due gives one. During recovery it can't stop anything yet, however long that takes.
#[test]
fn no_lease_is_renewed_while_a_cancellation_may_be_unknown() {
    let task = |state| TaskStatus {
        task: "j-000001/0".into(),
        attempt: 7,
        state,
        exit_reason: None,
    };
    let running = || vec![task(TaskState::Running)];
    // Each: whether the tables are loaded, the tasks, whether the node may renew, whether it knows the
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
        (
            "too old, during recovery",
            false,
            vec![],
            false,
            true,
            false,
        ),
        (
            "recovery, and the job is open",
            false,
            running(),
            true,
            true,
            true,
        ),
        (
            "recovery, and the job has ended",
            false,
            running(),
            true,
            false,
            false,
        ),
        (
            "recovery, and the task has exited",
            false,
            vec![task(TaskState::Exited)],
            true,
            false,
            true,
        ),
    ];
    for (name, recovered, tasks, may_renew, open, renewed) in cases {
        let mut leader = if recovered {
            recovered_leader()
        } else {
            recovering_leader()
        };
        let mut heartbeat = heartbeat(1, 1, EPOCH);
        heartbeat.tasks = tasks;
        let freshness = if may_renew {
            freshness()
        } else {
            freshness_of_age(11.0)
        };
        let got = leader.on_heartbeat(&heartbeat, &freshness, |_| open, 1.0);
        let expected = if renewed {
            answer(Vec::new())
        } else {
            HeartbeatOutcome::LeaseNotRenewed
        };
        assert_eq!(got, expected, "{name}");
    }
    // Once recovered, what belongs to no open job is stopped with the same answer.
    let mut heartbeat = heartbeat(1, 1, EPOCH);
    heartbeat.tasks = running();
    let got = recovered_leader().on_heartbeat(&heartbeat, &freshness_of_age(9.0), |_| false, 1.0);
    let stop = Command {
        kind: CommandKind::Stop,
        task: "j-000001/0".into(),
        attempt: 7,
        grace_s: Some(0.0),
    };
    assert_eq!(got, answer(vec![stop]));
}

/// A segment of the log whose leader came after this one can't be; what it says of bindings is kept all the
/// same, so that no task is stopped or started twice for it.
#[test]
fn bindings_in_a_segment_of_a_later_epoch_are_kept() {
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
    let bound = Binding {
        request: Resources::default(),
        ..binding(&spec, 7)
    };
    builder.bind("h", &task("j-000001", 0), &bound);
    let segment = cbor::to_value(&builder.finish());
    let mut leader = recovering_leader();
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
    assert!(!leader.is_recovering());
    let mut heartbeat = heartbeat(1, 1, EPOCH);
    heartbeat.tasks = vec![TaskStatus {
        task: "j-000001/0".into(),
        attempt: 7,
        state: TaskState::Running,
        exit_reason: None,
    }];
    let got = leader.on_heartbeat(&heartbeat, &freshness(), |_| true, 1.0);
    assert_eq!(got, answer(Vec::new()), "its task goes on");
}
