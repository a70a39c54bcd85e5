//! The commands that bring a worker's tasks in line with its bindings.

use crate::bookkeeping::permits;
use crate::bookkeeping::workers::Worker;
use crate::protocol::worker::{Command, CommandKind, TaskId, TaskState, TaskStatus};

/// At most `limit` commands that turn the tasks in the worker's latest heartbeat into those that are bound to it.
/// Starts are among them only with `may_start`, which takes a leader whose view of the open jobs is fresh.
pub fn commands(worker: &Worker, may_start: bool, limit: usize) -> Vec<Command> {
    let mut commands: Vec<Command> = worker
        .observed_tasks
        .iter()
        .flat_map(|(task, statuses)| statuses.iter().map(move |status| (task, status)))
        .filter_map(|(task, status)| command_for_observed(worker, task, status))
        .collect();
    if may_start {
        commands.extend(starts(worker));
    }
    commands.truncate(limit);
    commands
}

/// The command for an attempt that the worker shows: to clear it, to stop it, or none.
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

/// Starts of the bound tasks that may be started.
fn starts(worker: &Worker) -> impl Iterator<Item = Command> + '_ {
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

/// The seconds for a checkpoint of an attempt that is to be stopped, or stopped once more; none if it is to go
/// on.
fn stop_grace_s(worker: &Worker, task: &TaskId, status: &TaskStatus) -> Option<f64> {
    if status.state == TaskState::Exited {
        return None;
    }
    let bound = worker.bindings.get(task);
    let Some(binding) = bound.filter(|binding| binding.attempt == status.attempt) else {
        return Some(0.0);
    };
    let grace_s = binding.eviction?.grace_s;
    let writes_checkpoint = status.state == TaskState::Checkpointing && grace_s > 0.0;
    (!writes_checkpoint).then_some(grace_s)
}
