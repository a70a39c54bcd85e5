//! The commands that follow from a worker's bindings and its latest heartbeat, and the revocation of starts. A start
//! is pending while a message that carries it may still arrive; raising the worker's fence revokes it.

mod common;

use cedarladder::bookkeeping::reconciliation::{commands, pending_revocation};
use cedarladder::bookkeeping::workers::{
    CallOutcome, DeliveryPath, Eviction, EvictionReason, RevocationReason, Worker,
};
use cedarladder::protocol::worker::{Command, CommandKind, ExitReason, TaskState};
use common::{binding, freshness, spec, task, task_status, worker};

/// Brings a new worker into the state that a case is about.
type Setup = fn(&mut Worker);
/// What happens to a worker after these commands were derived for it.
type Steps = fn(&mut Worker, &[Command]);

/// Binds attempt 7 of a task to a worker, with a binding that `change` modifies.
fn bind(worker: &mut Worker, change: impl Fn(&mut cedarladder::bookkeeping::workers::Binding)) {
    let mut binding = binding(&spec("j-1", 4), 7);
    change(&mut binding);
    worker.bindings.insert(task("j-1", 0), binding);
}

/// Adds an attempt of the task that [`bind`] binds to the worker's latest heartbeat. If its state is `Exited`, its
/// exit reason is `Completed`.
fn observe(worker: &mut Worker, attempt: u64, state: TaskState) {
    let task = task("j-1", 0);
    let exit_reason = (state == TaskState::Exited).then_some(ExitReason::Completed);
    let statuses = worker.observed_tasks.entry(task.clone()).or_default();
    statuses.push(task_status(&task, attempt, state, exit_reason));
}

#[test]
fn commands_reconcile_observed_tasks_with_bindings() {
    use TaskState::{Checkpointing, Exited, Running};
    type Case = (&'static str, Setup, bool, Vec<(CommandKind, u64)>);
    let cases: Vec<Case> = vec![
        (
            "nothing bound, nothing in the heartbeat",
            |_| {},
            true,
            vec![],
        ),
        (
            "bound and not in the heartbeat: start",
            |worker| bind(worker, |_| {}),
            true,
            vec![(CommandKind::Start, 7)],
        ),
        (
            "no starts on a view that is not fresh",
            |worker| bind(worker, |_| {}),
            false,
            vec![],
        ),
        (
            "not committed yet: no start",
            |worker| bind(worker, |binding| binding.durable = false),
            true,
            vec![],
        ),
        (
            "bound by an earlier leader: no start",
            |worker| bind(worker, |binding| binding.inherited = true),
            true,
            vec![],
        ),
        (
            "bound for an earlier incarnation: no start",
            |worker| bind(worker, |binding| binding.incarnation = 0),
            true,
            vec![],
        ),
        (
            "a worker that is being released starts nothing",
            |worker| {
                bind(worker, |_| {});
                worker.terminating = true;
            },
            true,
            vec![],
        ),
        (
            "bound and running: no command",
            |worker| {
                bind(worker, |_| {});
                observe(worker, 7, Running);
            },
            true,
            vec![],
        ),
        (
            "running and evicted: stop",
            |worker| {
                bind(worker, |binding| {
                    binding.eviction = Some(Eviction {
                        grace_s: 3.0,
                        reason: EvictionReason::Drained,
                    });
                });
                observe(worker, 7, Running);
            },
            false,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "evicted and writing its checkpoint with a grace period: no second stop",
            |worker| {
                bind(worker, |binding| {
                    binding.eviction = Some(Eviction {
                        grace_s: 3.0,
                        reason: EvictionReason::Drained,
                    });
                });
                observe(worker, 7, Checkpointing);
            },
            true,
            vec![],
        ),
        (
            "writing its checkpoint when its job ends: a second stop",
            |worker| {
                bind(worker, |binding| {
                    binding.eviction = Some(Eviction::JOB_ENDED);
                });
                observe(worker, 7, Checkpointing);
            },
            true,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "exited, but the end of its binding is not committed: no clear",
            |worker| {
                bind(worker, |binding| binding.unbinding = true);
                observe(worker, 7, Exited);
            },
            true,
            vec![],
        ),
        (
            "exited and no longer bound: clear",
            |worker| observe(worker, 7, Exited),
            true,
            vec![(CommandKind::Clear, 7)],
        ),
        (
            "exited, but a start may still arrive: no clear",
            |worker| {
                observe(worker, 7, Exited);
                worker.pending_starts.record_direct_call(task("j-1", 0), 7);
                worker.pending_starts.record_call_outcome(
                    &task("j-1", 0),
                    7,
                    CallOutcome::Unanswered,
                );
            },
            true,
            vec![],
        ),
        (
            "running and not bound: stop",
            |worker| observe(worker, 7, Running),
            true,
            vec![(CommandKind::Stop, 7)],
        ),
        (
            "an earlier attempt has exited: it is cleared before the new one starts",
            |worker| {
                observe(worker, 6, Exited);
                bind(worker, |_| {});
            },
            true,
            vec![(CommandKind::Clear, 6), (CommandKind::Start, 7)],
        ),
    ];
    for (name, setup, may_start, expected) in cases {
        let mut worker = worker("h", "a", false);
        setup(&mut worker);
        let got: Vec<(CommandKind, u64)> = commands(&worker, may_start, 100)
            .into_iter()
            .map(|command| (command.kind, command.attempt))
            .collect();
        assert_eq!(got, expected, "{name}: commands with their attempts");
    }
}

/// Records a direct call with these commands to a worker, and the outcome of the call.
fn record_call(worker: &mut Worker, commands: &[Command], outcome: CallOutcome) {
    worker.record_sent(commands, DeliveryPath::DirectCall, freshness().view_age_s);
    worker.record_call_outcome(commands, outcome);
}

/// A duplicate of a direct call with a start may arrive until the worker shows a higher fence, whether or not the
/// call got a response. An attempt that was stopped or rejected must not be cleared before that: the duplicate would
/// start it again, beside the next attempt of the task.
#[test]
fn a_stopped_attempt_is_cleared_only_after_its_starts_are_revoked() {
    use cedarladder::protocol::worker::TaskState::Exited;
    let answered: Steps = |worker, commands| record_call(worker, commands, CallOutcome::Answered);
    let unanswered: Steps =
        |worker, commands| record_call(worker, commands, CallOutcome::Unanswered);
    let in_response: Steps = |worker, commands| {
        worker.record_sent(
            commands,
            DeliveryPath::HeartbeatResponse(5),
            freshness().view_age_s,
        );
        worker.pending_starts.drop_responses_before(6);
    };
    for (name, steps, cause, cleared) in [
        (
            "direct call, completed",
            answered,
            ExitReason::Completed,
            true,
        ),
        (
            "direct call without response, completed",
            unanswered,
            ExitReason::Completed,
            false,
        ),
        ("direct call, stopped", answered, ExitReason::Stopped, false),
        (
            "direct call, rejected for lack of resources",
            answered,
            ExitReason::InsufficientResources,
            false,
        ),
        (
            "in a heartbeat response, stopped",
            in_response,
            ExitReason::Stopped,
            true,
        ),
    ] {
        let mut worker = worker("h", "a", false);
        bind(&mut worker, |_| {});
        let sent = commands(&worker, true, 10);
        steps(&mut worker, &sent);
        let task = task("j-1", 0);
        worker.bindings.remove(&task);
        worker.observed_tasks.insert(
            task.clone(),
            vec![task_status(&task, 7, Exited, Some(cause))],
        );
        assert_eq!(
            !commands(&worker, true, 10).is_empty(),
            cleared,
            "{name}: whether the attempt is cleared before any revocation"
        );
        let reason = (!cleared).then_some(RevocationReason::Clear);
        assert_eq!(
            pending_revocation(&worker),
            reason,
            "{name}: reason to revoke starts"
        );
        // Once the worker shows a higher fence, the attempt may be cleared and no pending start is kept.
        assert!(worker.revoke_starts(RevocationReason::Clear));
        assert_eq!(
            pending_revocation(&worker),
            None,
            "{name}: revocation still pending after the fence was raised"
        );
        assert_eq!(
            !commands(&worker, true, 10).is_empty(),
            cleared,
            "{name}: whether there are commands before the worker shows the raised fence"
        );
        worker.observe_fence(worker.pending_starts.fence());
        assert_eq!(
            commands(&worker, true, 10).len(),
            1,
            "{name}: number of commands after the worker shows the raised fence"
        );
        assert!(
            worker.pending_starts.is_empty(),
            "{name}: starts still pending after the worker shows the raised fence"
        );
    }
}

/// Which messages with a start may still arrive at the worker.
#[derive(Debug, PartialEq)]
enum PendingMessages {
    None,
    /// Only duplicates of direct calls to which the worker has responded; it has processed the start already.
    AnsweredDuplicates,
    /// A start command that the worker may not have processed yet.
    Start,
}

/// A start is pending until no message that carries it can still arrive.
#[test]
fn a_start_is_pending_until_no_message_with_it_may_arrive() {
    let cases: [(&str, Steps, PendingMessages); 10] = [
        (
            "sent directly",
            |worker, commands| {
                worker.record_sent(commands, DeliveryPath::DirectCall, freshness().view_age_s);
            },
            PendingMessages::Start,
        ),
        (
            "sent directly and answered",
            |worker, commands| record_call(worker, commands, CallOutcome::Answered),
            PendingMessages::AnsweredDuplicates,
        ),
        (
            "never sent",
            |worker, commands| record_call(worker, commands, CallOutcome::NotSent),
            PendingMessages::None,
        ),
        (
            "the first call unanswered, the second answered: the first may still arrive",
            |worker, commands| {
                record_call(worker, commands, CallOutcome::Unanswered);
                record_call(worker, commands, CallOutcome::Answered);
            },
            PendingMessages::Start,
        ),
        (
            "the first call unanswered, the second never sent",
            |worker, commands| {
                record_call(worker, commands, CallOutcome::Unanswered);
                record_call(worker, commands, CallOutcome::NotSent);
            },
            PendingMessages::Start,
        ),
        (
            "unanswered and revoked, but the worker does not show the fence",
            |worker, commands| {
                record_call(worker, commands, CallOutcome::Unanswered);
                assert!(worker.revoke_starts(RevocationReason::Evicted));
                worker.observe_fence(0);
            },
            PendingMessages::Start,
        ),
        (
            "unanswered and revoked, and the worker shows the fence",
            |worker, commands| {
                record_call(worker, commands, CallOutcome::Unanswered);
                assert!(worker.revoke_starts(RevocationReason::Evicted));
                worker.observe_fence(1);
            },
            PendingMessages::None,
        ),
        (
            "in the response to heartbeat 5",
            |worker, commands| {
                worker.record_sent(
                    commands,
                    DeliveryPath::HeartbeatResponse(5),
                    freshness().view_age_s,
                );
            },
            PendingMessages::Start,
        ),
        (
            "in the response to heartbeat 5, and a later heartbeat has arrived",
            |worker, commands| {
                worker.record_sent(
                    commands,
                    DeliveryPath::HeartbeatResponse(5),
                    freshness().view_age_s,
                );
                worker.pending_starts.drop_responses_before(6);
            },
            PendingMessages::None,
        ),
        (
            "in the response to heartbeat 5, and a duplicate of that heartbeat has arrived",
            |worker, commands| {
                worker.record_sent(
                    commands,
                    DeliveryPath::HeartbeatResponse(5),
                    freshness().view_age_s,
                );
                worker.pending_starts.drop_responses_before(5);
            },
            PendingMessages::Start,
        ),
    ];
    for (name, steps, expected) in cases {
        let mut worker = worker("h", "a", false);
        bind(&mut worker, |_| {});
        let sent = commands(&worker, true, 10);
        steps(&mut worker, &sent);
        let task = task("j-1", 0);
        let pending = match worker.pending_starts.may_arrive(&task, 7) {
            false => PendingMessages::None,
            true if worker.pending_starts.has_only_answered_duplicates(&task, 7) => {
                PendingMessages::AnsweredDuplicates
            }
            true => PendingMessages::Start,
        };
        assert_eq!(pending, expected, "{name}: messages that may still arrive");
    }
}

/// The response to a stop command does not show whether the start command of the same attempt, whose direct call is
/// still in flight, has arrived.
#[test]
fn an_answered_stop_settles_no_start() {
    let mut worker = worker("h", "a", false);
    bind(&mut worker, |_| {});
    let sent = commands(&worker, true, 10);
    worker.record_sent(&sent, DeliveryPath::DirectCall, freshness().view_age_s);
    let mut stop = sent.clone();
    stop[0].kind = CommandKind::Stop;
    worker.record_call_outcome(&stop, CallOutcome::Answered);
    assert!(
        worker.pending_starts.may_arrive(&task("j-1", 0), 7),
        "start counted as settled by the response to a stop"
    );
    assert!(
        !worker
            .pending_starts
            .has_only_answered_duplicates(&task("j-1", 0), 7)
    );
}

/// Pending starts are revoked when a task must not start any more. A revocation is urgent if it can't wait for the
/// end of a direct call.
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
    // Each case: what happens after a start was sent in a direct call without response, the expected reason to revoke
    // the start, and whether the revocation is urgent.
    type Case = (&'static str, Setup, Option<(RevocationReason, bool)>);
    let cases: [Case; 7] = [
        ("its task is still bound", |_| {}, None),
        (
            "its job has ended",
            |worker| evict(worker, EvictionReason::JobEnded),
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its job has ended, and the task is running",
            |worker| {
                evict(worker, EvictionReason::JobEnded);
                observe(worker, 7, Running);
            },
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its task was preempted before a heartbeat showed it",
            |worker| evict(worker, EvictionReason::Preempted),
            Some((RevocationReason::Evicted, true)),
        ),
        (
            "its task is drained while running: a stop command suffices",
            |worker| {
                evict(worker, EvictionReason::Drained);
                observe(worker, 7, Running);
            },
            None,
        ),
        (
            "its job has ended after the task completed here: duplicates may still arrive",
            |worker| {
                worker.bindings.clear();
                worker.revoke_starts_of_ended_jobs = true;
            },
            Some((RevocationReason::JobEnded, true)),
        ),
        (
            "its job has ended, and so has the worker's incarnation",
            |worker| {
                evict(worker, EvictionReason::JobEnded);
                worker.pending_starts.clear_for_new_incarnation();
            },
            None,
        ),
    ];
    for (name, setup, expected) in cases {
        let mut worker = worker("h", "a", false);
        bind(&mut worker, |_| {});
        let sent = commands(&worker, true, 10);
        record_call(&mut worker, &sent, CallOutcome::Unanswered);
        setup(&mut worker);
        let revocation = pending_revocation(&worker);
        let got = revocation.map(|reason| (reason, reason.is_urgent()));
        assert_eq!(
            got, expected,
            "{name}: reason to revoke starts, and its urgency"
        );
    }
}

/// Pending starts from direct calls that got a response are kept until the worker shows a higher fence. If too many
/// are kept, all are revoked, so that they don't accumulate without bound.
#[test]
fn pending_starts_are_bounded() {
    let mut worker = worker("h", "a", false);
    for index in 0..300 {
        worker
            .pending_starts
            .record_direct_call(task("j-1", index), 7);
        worker
            .pending_starts
            .record_call_outcome(&task("j-1", index), 7, CallOutcome::Answered);
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
