//! What a worker is ordered to do for a given report and given bindings.

mod common;

use cedarladder::bookkeeping::pending_starts::CallOutcome;
use cedarladder::bookkeeping::workers::{
    DeliveryPath, Eviction, EvictionReason, RevocationReason, Worker,
};
use cedarladder::protocol::worker::{Command, CommandKind, ExitReason, TaskState};
use common::{binding, freshness, spec, step, task, worker};

type Setup = fn(&mut Worker);
type Steps = fn(&mut Worker, &[Command]);

fn bound(worker: &mut Worker, change: impl Fn(&mut cedarladder::bookkeeping::workers::Binding)) {
    let mut b = binding(&spec("j-1", 4), 7);
    change(&mut b);
    worker.bindings.insert(task("j-1", 0), b);
}

fn shows(worker: &mut Worker, attempt: u64, status: TaskState) {
    let task = task("j-1", 0);
    let cause = (status == TaskState::Exited).then_some(ExitReason::Completed);
    let steps = worker.observed_tasks.entry(task.clone()).or_default();
    steps.push(step(&task, attempt, status, cause));
}

#[test]
fn orders() {
    use TaskState::{Checkpointing, Exited, Running};
    type Case = (&'static str, Setup, bool, Vec<(CommandKind, u64)>);
    let cases: Vec<Case> = vec![
        ("nothing bound, nothing shown", |_| {}, true, vec![]),
        (
            "bound and not shown: start",
            |h| bound(h, |_| {}),
            true,
            vec![(CommandKind::Start, 7)],
        ),
        (
            "no starts without a confirmed lead",
            |h| bound(h, |_| {}),
            false,
            vec![],
        ),
        (
            "not written down yet: no start",
            |h| bound(h, |b| b.durable = false),
            true,
            vec![],
        ),
        (
            "bound by an earlier leader: no start",
            |h| bound(h, |b| b.inherited = true),
            true,
            vec![],
        ),
        (
            "bound for an earlier session: no start",
            |h| bound(h, |b| b.incarnation = 0),
            true,
            vec![],
        ),
        (
            "a returning host starts nothing",
            |h| {
                bound(h, |_| {});
                h.terminating = true;
            },
            true,
            vec![],
        ),
        (
            "running as wanted",
            |h| {
                bound(h, |_| {});
                shows(h, 7, Running);
            },
            true,
            vec![],
        ),
        (
            "running, to be stopped",
            |h| {
                bound(h, |b| {
                    b.eviction = Some(Eviction {
                        grace_s: 3.0,
                        reason: EvictionReason::Drained,
                    })
                });
                shows(h, 7, Running);
            },
            false,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "saving, and may go on saving",
            |h| {
                bound(h, |b| {
                    b.eviction = Some(Eviction {
                        grace_s: 3.0,
                        reason: EvictionReason::Drained,
                    })
                });
                shows(h, 7, Checkpointing);
            },
            true,
            vec![],
        ),
        (
            "saving for a job that is over: a second halt",
            |h| {
                bound(h, |b| b.eviction = Some(Eviction::JOB_ENDED));
                shows(h, 7, Checkpointing);
            },
            true,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "exited, but its end is not written down: no clear",
            |h| {
                bound(h, |b| b.unbinding = true);
                shows(h, 7, Exited);
            },
            true,
            vec![],
        ),
        (
            "exited and written down: clear",
            |h| shows(h, 7, Exited),
            true,
            vec![(CommandKind::Clear, 7)],
        ),
        (
            "a start may still arrive: no clear",
            |h| {
                shows(h, 7, Exited);
                h.pending_starts.record_direct_call(task("j-1", 0), 7);
                h.pending_starts
                    .record_call_outcome(&task("j-1", 0), 7, CallOutcome::Unanswered);
            },
            true,
            vec![],
        ),
        (
            "running and bound by nobody: halt",
            |h| shows(h, 7, Running),
            true,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "an old attempt is cleared before the new one starts",
            |h| {
                shows(h, 6, Exited);
                bound(h, |_| {});
            },
            true,
            vec![(CommandKind::Clear, 6), (CommandKind::Start, 7)],
        ),
    ];
    for (name, setup, confirmed, expected) in cases {
        let mut worker = worker("h", "a", false);
        setup(&mut worker);
        let got: Vec<(CommandKind, u64)> = worker
            .commands(confirmed, 100)
            .into_iter()
            .map(|order| (order.kind, order.attempt))
            .collect();
        assert_eq!(got, expected, "{name}");
    }
}

/// Commands that go out directly, and what became of the call.
fn sent_directly(worker: &mut Worker, orders: &[Command], fate: CallOutcome) {
    worker.record_sent(orders, DeliveryPath::DirectCall, &freshness());
    worker.record_call_outcome(orders, fate);
}

/// A direct start may arrive once more, answered or not, until the worker shows a higher fence. An attempt
/// that was stopped is kept till then: cleared, it would run beside its successor.
#[test]
fn copies_of_starts() {
    use cedarladder::protocol::worker::TaskState::Exited;
    let answered: Steps = |h, o| sent_directly(h, o, CallOutcome::Answered);
    let unanswered: Steps = |h, o| sent_directly(h, o, CallOutcome::Unanswered);
    let in_answer: Steps = |h, o| {
        h.record_sent(o, DeliveryPath::HeartbeatResponse(5), &freshness());
        h.pending_starts.settle_responses(6);
    };
    for (name, steps, cause, cleared) in [
        ("direct, done", answered, ExitReason::Completed, true),
        (
            "direct without answer, done",
            unanswered,
            ExitReason::Completed,
            false,
        ),
        ("direct, stopped", answered, ExitReason::Stopped, false),
        (
            "direct, refused",
            answered,
            ExitReason::InsufficientResources,
            false,
        ),
        (
            "in an answer, stopped",
            in_answer,
            ExitReason::Stopped,
            true,
        ),
    ] {
        let mut worker = worker("h", "a", false);
        bound(&mut worker, |_| {});
        let orders = worker.commands(true, 10);
        steps(&mut worker, &orders);
        let task = task("j-1", 0);
        worker.bindings.remove(&task);
        worker
            .observed_tasks
            .insert(task.clone(), vec![step(&task, 7, Exited, Some(cause))]);
        assert_eq!(!worker.commands(true, 10).is_empty(), cleared, "{name}");
        let reason = (!cleared).then_some(RevocationReason::Clear);
        assert_eq!(worker.pending_revocation(), reason, "{name}");
        // Once the worker shows a higher fence it may be cleared, and nothing is kept of it.
        assert!(worker.revoke_starts(RevocationReason::Clear));
        assert_eq!(worker.pending_revocation(), None, "{name}: revoked once");
        assert_eq!(
            !worker.commands(true, 10).is_empty(),
            cleared,
            "{name}: not shown yet"
        );
        worker.observe_fence(worker.pending_starts.fence());
        assert_eq!(worker.commands(true, 10).len(), 1, "{name}: shown");
        assert!(worker.pending_starts.is_empty(), "{name}");
    }
}

/// What may still arrive of a start.
#[derive(Debug, PartialEq)]
enum Arrival {
    Nothing,
    Copies,
    Start,
}

/// A start is on its way until every copy of it is accounted for.
#[test]
fn starts_on_their_way() {
    let cases: [(&str, Steps, Arrival); 10] = [
        (
            "sent directly",
            |h, o| h.record_sent(o, DeliveryPath::DirectCall, &freshness()),
            Arrival::Start,
        ),
        (
            "sent directly and answered",
            |h, o| sent_directly(h, o, CallOutcome::Answered),
            Arrival::Copies,
        ),
        (
            "never sent",
            |h, o| sent_directly(h, o, CallOutcome::NotSent),
            Arrival::Nothing,
        ),
        (
            "the first copy lost, the second answered: the first may still arrive",
            |h, o| {
                sent_directly(h, o, CallOutcome::Unanswered);
                sent_directly(h, o, CallOutcome::Answered);
            },
            Arrival::Start,
        ),
        (
            "the first copy lost, the second never sent",
            |h, o| {
                sent_directly(h, o, CallOutcome::Unanswered);
                sent_directly(h, o, CallOutcome::NotSent);
            },
            Arrival::Start,
        ),
        (
            "lost, and revoked, but that is not shown",
            |h, o| {
                sent_directly(h, o, CallOutcome::Unanswered);
                assert!(h.revoke_starts(RevocationReason::Evicted));
                h.observe_fence(0);
            },
            Arrival::Start,
        ),
        (
            "lost, revoked, and the fence is shown",
            |h, o| {
                sent_directly(h, o, CallOutcome::Unanswered);
                assert!(h.revoke_starts(RevocationReason::Evicted));
                h.observe_fence(1);
            },
            Arrival::Nothing,
        ),
        (
            "in the answer to report 5",
            |h, o| h.record_sent(o, DeliveryPath::HeartbeatResponse(5), &freshness()),
            Arrival::Start,
        ),
        (
            "a later report by itself settles it",
            |h, o| {
                h.record_sent(o, DeliveryPath::HeartbeatResponse(5), &freshness());
                h.pending_starts.settle_responses(6);
            },
            Arrival::Nothing,
        ),
        (
            "the same report does not",
            |h, o| {
                h.record_sent(o, DeliveryPath::HeartbeatResponse(5), &freshness());
                h.pending_starts.settle_responses(5);
            },
            Arrival::Start,
        ),
    ];
    for (name, steps, expected) in cases {
        let mut worker = worker("h", "a", false);
        bound(&mut worker, |_| {});
        let orders = worker.commands(true, 10);
        steps(&mut worker, &orders);
        let task = task("j-1", 0);
        let arrival = match worker.pending_starts.may_arrive(&task, 7) {
            false => Arrival::Nothing,
            true if worker.pending_starts.only_answered_copies(&task, 7) => Arrival::Copies,
            true => Arrival::Start,
        };
        assert_eq!(arrival, expected, "{name}");
    }
}

/// An answered halt says nothing of a start that is on its way.
#[test]
fn a_halt_settles_no_start() {
    let mut worker = worker("h", "a", false);
    bound(&mut worker, |_| {});
    let orders = worker.commands(true, 10);
    worker.record_sent(&orders, DeliveryPath::DirectCall, &freshness());
    let mut halt = orders.clone();
    halt[0].kind = CommandKind::Stop;
    worker.record_call_outcome(&halt, CallOutcome::Answered);
    assert!(worker.pending_starts.may_arrive(&task("j-1", 0), 7));
    assert!(
        !worker
            .pending_starts
            .only_answered_copies(&task("j-1", 0), 7)
    );
}

/// When the starts that went out are revoked, and whether the worker is told at once.
#[test]
fn revocations() {
    use cedarladder::protocol::worker::TaskState::Running;
    fn halt(worker: &mut Worker, reason: EvictionReason) {
        let binding = worker.bindings.get_mut(&task("j-1", 0)).expect("bound");
        binding.eviction = Some(Eviction {
            grace_s: 0.0,
            reason,
        });
    }
    // Each: what becomes of a start that was sent directly, and the reason with its urgency.
    type Case = (&'static str, Setup, Option<(RevocationReason, bool)>);
    let cases: [Case; 7] = [
        ("wanted, and may still arrive", |_| {}, None),
        (
            "its job is over",
            |h| halt(h, EvictionReason::JobEnded),
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its job is over, and it runs",
            |h| {
                halt(h, EvictionReason::JobEnded);
                shows(h, 7, Running);
            },
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "preempted before it was seen",
            |h| halt(h, EvictionReason::Preempted),
            Some((RevocationReason::Evicted, true)),
        ),
        (
            "drained, and it runs: the halt is enough",
            |h| {
                halt(h, EvictionReason::Drained);
                shows(h, 7, Running);
            },
            None,
        ),
        (
            "its job is over and it was done here: copies may follow",
            |h| {
                h.bindings.clear();
                h.revoke_ended_jobs = true;
            },
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its job is over, and the session as well",
            |h| {
                halt(h, EvictionReason::JobEnded);
                h.pending_starts.end_session();
            },
            None,
        ),
    ];
    for (name, setup, expected) in cases {
        let mut worker = worker("h", "a", false);
        bound(&mut worker, |_| {});
        let orders = worker.commands(true, 10);
        sent_directly(&mut worker, &orders, CallOutcome::Unanswered);
        setup(&mut worker);
        let revocation = worker.pending_revocation();
        let got = revocation.map(|reason| (reason, reason.is_urgent()));
        assert_eq!(got, expected, "{name}");
    }
}

/// Starts of tasks that are long done don't pile up.
#[test]
fn many_pending_starts() {
    let mut worker = worker("h", "a", false);
    for n in 0..300 {
        worker.pending_starts.record_direct_call(task("j-1", n), 7);
        worker
            .pending_starts
            .record_call_outcome(&task("j-1", n), 7, CallOutcome::Answered);
    }
    assert_eq!(
        worker.pending_revocation(),
        Some(RevocationReason::TooManyPending)
    );
    assert!(worker.revoke_starts(RevocationReason::TooManyPending));
    assert_eq!(worker.pending_revocation(), None);
    worker.observe_fence(1);
    assert!(worker.pending_starts.is_empty());
}
