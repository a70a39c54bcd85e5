//! How a leader handles heartbeats of workers: which of them show contact, which renew a lease, and what it
//! responds.

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

/// Creates a leader that has completed its recovery and found no records.
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

/// Creates a leader that has not read any record yet.
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

/// Returns the outcome for a response with status 200, which carries these commands and the leader's token.
fn ok_with(commands: Vec<Command>) -> HeartbeatOutcome {
    HeartbeatOutcome::Commands(CommandBatch {
        token: FencingToken::new(EPOCH, 0),
        incarnation: None,
        commands,
    })
}

/// Duplicates and late heartbeats must not hide that the leader's responses no longer reach any worker. Checked at
/// second 30.
#[test]
fn only_new_heartbeats_of_this_epoch_show_that_responses_arrive() {
    // Each case: heartbeats with the seconds at which they arrive, and the expected time without contact in seconds.
    type Case = (&'static str, Vec<(f64, WorkerHeartbeat)>, f64);
    let cases: Vec<Case> = vec![
        (
            "a heartbeat with the leader's epoch",
            vec![
                (5.0, heartbeat(1, 1, EPOCH)),
                (29.0, heartbeat(1, 2, EPOCH)),
            ],
            1.0,
        ),
        (
            "a duplicate of the latest heartbeat",
            vec![
                (5.0, heartbeat(1, 2, EPOCH)),
                (29.0, heartbeat(1, 2, EPOCH)),
            ],
            25.0,
        ),
        (
            "a duplicate of an earlier heartbeat",
            vec![
                (5.0, heartbeat(1, 2, EPOCH)),
                (29.0, heartbeat(1, 1, EPOCH)),
            ],
            25.0,
        ),
        (
            "a duplicate from an earlier incarnation",
            vec![
                (5.0, heartbeat(2, 1, EPOCH)),
                (29.0, heartbeat(1, 90, EPOCH)),
            ],
            25.0,
        ),
        (
            "a worker's first heartbeat: it has not received a response yet",
            vec![(29.0, heartbeat(1, 1, 0))],
            1.0,
        ),
        (
            "heartbeats with an earlier epoch: they do not show that the leader's responses arrive",
            vec![
                (5.0, heartbeat(1, 90, EPOCH - 1)),
                (29.0, heartbeat(1, 91, EPOCH - 1)),
            ],
            25.0,
        ),
    ];
    for (name, heartbeats, lost_s) in cases {
        let mut leader = recovered_leader();
        for (at, heartbeat) in heartbeats {
            let got = leader.on_heartbeat(&heartbeat, &freshness(), |_| true, at);
            assert_eq!(got, ok_with(Vec::new()), "{name}: response at second {at}");
        }
        assert_eq!(
            leader.worker_contact_lost_s(30.0),
            lost_s,
            "{name}: seconds without contact"
        );
    }
}

/// A worker that has seen a higher epoch is redirected to the newer leader, even if its heartbeat is a late duplicate.
#[test]
fn a_worker_that_knows_a_higher_epoch_is_redirected() {
    for (name, epoch, expected) in [
        ("an earlier epoch", EPOCH - 1, false),
        ("the leader's epoch", EPOCH, false),
        ("a higher epoch", EPOCH + 1, true),
    ] {
        let outcome =
            recovered_leader().on_heartbeat(&heartbeat(1, 1, epoch), &freshness(), |_| true, 1.0);
        assert_eq!(
            outcome == HeartbeatOutcome::NewerLeaderExists,
            expected,
            "{name}: whether the worker is redirected"
        );
    }
}

/// A response with status 200 renews the worker's lease, so only a leader that knows of every cancellation that
/// workers must carry out by the end of that lease may send it. During recovery, however long it takes, the leader
/// can't stop any task, so it renews no lease of a worker that runs tasks of ended jobs.
#[test]
fn no_lease_is_renewed_while_a_cancellation_may_be_unknown() {
    let task = |state| TaskStatus {
        task: "j-000001/0".into(),
        attempt: 7,
        state,
        exit_reason: None,
    };
    let running = || vec![task(TaskState::Running)];
    // Each case: whether recovery has completed, the tasks in the heartbeat, whether the view is fresh enough
    // to renew leases, whether it shows the job as open, and whether the lease is renewed.
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
            "a view that is too old, during recovery",
            false,
            vec![],
            false,
            true,
            false,
        ),
        (
            "during recovery, the job is open",
            false,
            running(),
            true,
            true,
            true,
        ),
        (
            "during recovery, the job has ended",
            false,
            running(),
            true,
            false,
            false,
        ),
        (
            "during recovery, the job has ended and the task has exited",
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
            ok_with(Vec::new())
        } else {
            HeartbeatOutcome::LeaseNotRenewed
        };
        assert_eq!(got, expected, "{name}: response to the heartbeat");
    }
    // After recovery, tasks of jobs that are not open are stopped by a command in the response that renews
    // the lease.
    let mut heartbeat = heartbeat(1, 1, EPOCH);
    heartbeat.tasks = running();
    let got = recovered_leader().on_heartbeat(&heartbeat, &freshness_of_age(9.0), |_| false, 1.0);
    let stop = Command {
        kind: CommandKind::Stop,
        task: "j-000001/0".into(),
        attempt: 7,
        grace_s: Some(0.0),
    };
    assert_eq!(
        got,
        ok_with(vec![stop]),
        "response to a heartbeat with a task of a job that is not open"
    );
}

/// A log segment of a higher epoch than the leader's should not exist. If one does, its bindings are kept all the
/// same, so that no task is stopped or started a second time because of the segment.
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
    assert_eq!(
        got,
        ok_with(Vec::new()),
        "response to a heartbeat that shows the bound task running"
    );
}
