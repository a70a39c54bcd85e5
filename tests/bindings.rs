//! The commands for a worker, by what its heartbeat shows and what is bound to it, and the revocation of starts.

mod common;

use cedarladder::bookkeeping::reconciliation::{commands, pending_revocation};
use cedarladder::bookkeeping::workers::{
    CallOutcome, DeliveryPath, Eviction, EvictionReason, RevocationReason, Worker,
};
use cedarladder::protocol::worker::{Command, CommandKind, ExitReason, TaskState};
use common::{binding, freshness, spec, task, task_status, worker};

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
    steps.push(task_status(&task, attempt, status, cause));
}

#[test]
fn commands_reconcile_observed_tasks_with_bindings() {
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
            "no starts on a view that is not fresh",
            |h| bound(h, |_| {}),
            false,
            vec![],
        ),
        (
            "not committed yet: no start",
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
            "bound for an earlier incarnation: no start",
            |h| bound(h, |b| b.incarnation = 0),
            true,
            vec![],
        ),
        (
            "a worker that is being released starts nothing",
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
                    });
                });
                shows(h, 7, Running);
            },
            false,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "writing a checkpoint within the grace period: no second stop",
            |h| {
                bound(h, |b| {
                    b.eviction = Some(Eviction {
                        grace_s: 3.0,
                        reason: EvictionReason::Drained,
                    });
                });
                shows(h, 7, Checkpointing);
            },
            true,
            vec![],
        ),
        (
            "writing a checkpoint for a job that has ended: a second stop",
            |h| {
                bound(h, |b| b.eviction = Some(Eviction::JOB_ENDED));
                shows(h, 7, Checkpointing);
            },
            true,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "exited, but the end of the binding is not committed: no clear",
            |h| {
                bound(h, |b| b.unbinding = true);
                shows(h, 7, Exited);
            },
            true,
            vec![],
        ),
        (
            "exited and not bound any more: clear",
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
            "running and not bound: stop",
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
        let got: Vec<(CommandKind, u64)> = commands(&worker, confirmed, 100)
            .into_iter()
            .map(|order| (order.kind, order.attempt))
            .collect();
        assert_eq!(got, expected, "{name}");
    }
}

/// Commands that are sent in a direct call, and its outcome.
fn sent_directly(worker: &mut Worker, sent: &[Command], fate: CallOutcome) {
    worker.record_sent(sent, DeliveryPath::DirectCall, freshness().view_age_s);
    worker.record_call_outcome(sent, fate);
}

/// A direct start may arrive once more, answered or not, until the worker shows a higher fence. An attempt
/// that was stopped is kept till then: cleared, it would run beside its successor.
#[test]
fn a_stopped_attempt_is_cleared_only_after_its_starts_are_revoked() {
    use cedarladder::protocol::worker::TaskState::Exited;
    let answered: Steps = |h, o| sent_directly(h, o, CallOutcome::Answered);
    let unanswered: Steps = |h, o| sent_directly(h, o, CallOutcome::Unanswered);
    let in_answer: Steps = |h, o| {
        h.record_sent(
            o,
            DeliveryPath::HeartbeatResponse(5),
            freshness().view_age_s,
        );
        h.pending_starts.drop_responses_before(6);
    };
    for (name, steps, cause, cleared) in [
        (
            "direct call, completed",
            answered,
            ExitReason::Completed,
            true,
        ),
        (
            "direct call without answer, completed",
            unanswered,
            ExitReason::Completed,
            false,
        ),
        ("direct call, stopped", answered, ExitReason::Stopped, false),
        (
            "direct call, refused",
            answered,
            ExitReason::InsufficientResources,
            false,
        ),
        (
            "in a heartbeat response, stopped",
            in_answer,
            ExitReason::Stopped,
            true,
        ),
    ] {
        let mut worker = worker("h", "a", false);
        bound(&mut worker, |_| {});
        let sent = commands(&worker, true, 10);
        steps(&mut worker, &sent);
        let task = task("j-1", 0);
        worker.bindings.remove(&task);
        worker.observed_tasks.insert(
            task.clone(),
            vec![task_status(&task, 7, Exited, Some(cause))],
        );
        assert_eq!(!commands(&worker, true, 10).is_empty(), cleared, "{name}");
        let reason = (!cleared).then_some(RevocationReason::Clear);
        assert_eq!(pending_revocation(&worker), reason, "{name}");
        // Once the worker shows a higher fence it may be cleared, and nothing is kept of it.
        assert!(worker.revoke_starts(RevocationReason::Clear));
        assert_eq!(pending_revocation(&worker), None, "{name}: revoked once");
        assert_eq!(
            !commands(&worker, true, 10).is_empty(),
            cleared,
            "{name}: not shown yet"
        );
        worker.observe_fence(worker.pending_starts.fence());
        assert_eq!(commands(&worker, true, 10).len(), 1, "{name}: shown");
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

/// A start is pending until every copy of it is accounted for.
#[test]
fn a_start_is_pending_until_every_copy_is_accounted_for() {
    let cases: [(&str, Steps, Arrival); 10] = [
        (
            "sent directly",
            |h, o| h.record_sent(o, DeliveryPath::DirectCall, freshness().view_age_s),
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
            "in the response to heartbeat 5",
            |h, o| {
                h.record_sent(
                    o,
                    DeliveryPath::HeartbeatResponse(5),
                    freshness().view_age_s,
                );
            },
            Arrival::Start,
        ),
        (
            "a later heartbeat settles it",
            |h, o| {
                h.record_sent(
                    o,
                    DeliveryPath::HeartbeatResponse(5),
                    freshness().view_age_s,
                );
                h.pending_starts.drop_responses_before(6);
            },
            Arrival::Nothing,
        ),
        (
            "the same heartbeat does not",
            |h, o| {
                h.record_sent(
                    o,
                    DeliveryPath::HeartbeatResponse(5),
                    freshness().view_age_s,
                );
                h.pending_starts.drop_responses_before(5);
            },
            Arrival::Start,
        ),
    ];
    for (name, steps, expected) in cases {
        let mut worker = worker("h", "a", false);
        bound(&mut worker, |_| {});
        let sent = commands(&worker, true, 10);
        steps(&mut worker, &sent);
        let task = task("j-1", 0);
        let arrival = match worker.pending_starts.may_arrive(&task, 7) {
            false => Arrival::Nothing,
            true if worker.pending_starts.has_only_answered_duplicates(&task, 7) => Arrival::Copies,
            true => Arrival::Start,
        };
        assert_eq!(arrival, expected, "{name}");
    }
}

/// The answer to a stop says nothing of a start that is in flight.
#[test]
fn an_answered_stop_settles_no_start() {
    let mut worker = worker("h", "a", false);
    bound(&mut worker, |_| {});
    let sent = commands(&worker, true, 10);
    worker.record_sent(&sent, DeliveryPath::DirectCall, freshness().view_age_s);
    let mut stop = sent.clone();
    stop[0].kind = CommandKind::Stop;
    worker.record_call_outcome(&stop, CallOutcome::Answered);
    assert!(worker.pending_starts.may_arrive(&task("j-1", 0), 7));
    assert!(
        !worker
            .pending_starts
            .has_only_answered_duplicates(&task("j-1", 0), 7)
    );
}

/// When the starts that went out are revoked, and whether the worker is told at once.
#[test]
fn starts_are_revoked_when_due_and_urgently_for_evictions() {
    use cedarladder::protocol::worker::TaskState::Running;
    fn evict(worker: &mut Worker, reason: EvictionReason) {
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
            "its job has ended",
            |h| evict(h, EvictionReason::JobEnded),
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its job has ended, and it runs",
            |h| {
                evict(h, EvictionReason::JobEnded);
                shows(h, 7, Running);
            },
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "preempted before it was seen",
            |h| evict(h, EvictionReason::Preempted),
            Some((RevocationReason::Evicted, true)),
        ),
        (
            "drained, and it runs: the stop is enough",
            |h| {
                evict(h, EvictionReason::Drained);
                shows(h, 7, Running);
            },
            None,
        ),
        (
            "its job has ended and it completed here: copies may follow",
            |h| {
                h.bindings.clear();
                h.revoke_starts_of_ended_jobs = true;
            },
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its job has ended, and the incarnation as well",
            |h| {
                evict(h, EvictionReason::JobEnded);
                h.pending_starts.clear_for_new_incarnation();
            },
            None,
        ),
    ];
    for (name, setup, expected) in cases {
        let mut worker = worker("h", "a", false);
        bound(&mut worker, |_| {});
        let sent = commands(&worker, true, 10);
        sent_directly(&mut worker, &sent, CallOutcome::Unanswered);
        setup(&mut worker);
        let revocation = pending_revocation(&worker);
        let got = revocation.map(|reason| (reason, reason.is_urgent()));
        assert_eq!(got, expected, "{name}");
    }
}

/// Starts of tasks that are long done don't pile up.
#[test]
fn pending_starts_are_bounded() {
    let mut worker = worker("h", "a", false);
    for n in 0..300 {
        worker.pending_starts.record_direct_call(task("j-1", n), 7);
        worker
            .pending_starts
            .record_call_outcome(&task("j-1", n), 7, CallOutcome::Answered);
    }
    assert_eq!(
        pending_revocation(&worker),
        Some(RevocationReason::TooManyPending)
    );
    assert!(worker.revoke_starts(RevocationReason::TooManyPending));
    assert_eq!(pending_revocation(&worker), None);
    worker.observe_fence(1);
    assert!(worker.pending_starts.is_empty());
}
