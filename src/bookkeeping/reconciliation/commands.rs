//! The commands that bring a worker's tasks in line with its bindings.

use crate::bookkeeping::permits;
use crate::bookkeeping::workers::Worker;
use crate::protocol::worker::{Command, CommandKind, TaskId, TaskState, TaskStatus};

/// Compares the tasks in the worker's latest heartbeat with those bound to the worker, and returns at most `limit`
/// commands that remove the difference, with start commands last. Start commands are included only if `may_start` is
/// set; the caller sets it only on a leader with a fresh view of the open jobs.
pub fn commands(worker: &Worker, may_start: bool, limit: usize) -> Vec<Command> {
    let mut commands: Vec<Command> = worker
        .observed_tasks
        .iter()
        .flat_map(|(task, statuses)| statuses.iter().map(move |status| (task, status)))
        .filter_map(|(task, status)| command_for_observed(worker, task, status))
        .collect();
    if may_start {
        commands.extend(start_commands(worker));
    }
    commands.truncate(limit);
    commands
}

/// The clear or stop command for an attempt that the worker's heartbeat lists; `None` if neither is to be sent.
fn command_for_observed(worker: &Worker, task: &TaskId, status: &TaskStatus) -> Option<Command> {
    let (kind, grace_s) = if permits::may_clear(worker, task, status).is_ok() {
        (CommandKind::Clear, None)
    } else {
        (CommandKind::Stop, Some(stop_grace_s(worker, task, status)?))
    };
    Some(Command {
        kind,
        task: status.task.clone(),
        attempt: status.attempt,
        grace_s,
    })
}

/// Start commands for the bound tasks that may be started.
fn start_commands(worker: &Worker) -> impl Iterator<Item = Command> + '_ {
    worker
        .bindings
        .iter()
        .filter(|(task, binding)| permits::may_start_task(worker, task, binding).is_ok())
        .map(|(task, binding)| Command {
            kind: CommandKind::Start,
            task: task.to_string(),
            attempt: binding.attempt,
            grace_s: None,
        })
}

/// Seconds that the stop command for an attempt gives it to save a checkpoint; 0 if the attempt is not bound. `None` if
/// no stop command is to be sent, because the attempt has exited, is to go on running, or is already saving a
/// checkpoint within the grace period of its eviction.
fn stop_grace_s(worker: &Worker, task: &TaskId, status: &TaskStatus) -> Option<f64> {
    if status.state == TaskState::Exited {
        return None;
    }
    let bound = worker.bindings.get(task);
    let Some(binding) = bound.filter(|binding| binding.attempt == status.attempt) else {
        return Some(0.0);
    };
    let grace_s = binding.eviction?.grace_s;
    let is_saving_checkpoint = status.state == TaskState::Checkpointing && grace_s > 0.0;
    (!is_saving_checkpoint).then_some(grace_s)
}
