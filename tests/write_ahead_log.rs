//! The write-ahead log: the compares and writes of its transactions, and the effects of their outcomes.

mod common;

use cedarladder::bookkeeping::jobs::{Jobs, TaskSet};
use cedarladder::bookkeeping::wal::{
    LogEntry, Segment, TASKS_PER_CHUNK, TxnLimits, WriteAheadLog, decode_chunk, encode_chunk,
};
use cedarladder::bookkeeping::workers::Workers;
use cedarladder::protocol::cbor;
use cedarladder::protocol::kv::{Txn, WriteOp};
use common::{binding, job, spec, task, worker};

const EPOCH: u64 = 3;
const VALUE_BYTES: usize = 2048;

fn empty_log() -> WriteAheadLog {
    WriteAheadLog::new(TxnLimits {
        max_writes: 6,
        max_value_bytes: VALUE_BYTES,
    })
}

/// An open job with eight tasks, of which four are bound, and the three workers that they are bound to.
fn registries() -> (Workers, Jobs) {
    let mut workers = Workers::default();
    let mut jobs = Jobs::default();
    jobs.insert(job(spec("j-1", 8)));
    for (name, index) in [("h1", 0), ("h1", 1), ("h2", 2), ("h3", 4)] {
        let known = workers.get_or_insert_with(name, || worker(name, "a", false));
        let bound = binding(&spec("j-1", 8), 7);
        known.bindings.insert(task("j-1", index), bound);
    }
    (workers, jobs)
}

fn bind(worker: &str, index: u32) -> LogEntry {
    LogEntry::Bind {
        worker: worker.into(),
        task: task("j-1", index),
        attempt: 7,
    }
}

fn unbind(worker: &str, index: u32, completed: bool) -> LogEntry {
    LogEntry::Unbind {
        worker: worker.into(),
        task: task("j-1", index),
        attempt: 7,
        completed,
    }
}

/// The compares of a transaction as `key=revision`, and its writes as `+key` or `-key`.
fn compares_and_writes(txn: &Txn) -> (Vec<String>, Vec<String>) {
    let compares = txn
        .compares
        .iter()
        .map(|compare| format!("{}={}", compare.key, compare.mod_revision))
        .collect();
    let writes = txn
        .writes
        .iter()
        .map(|write| match write {
            WriteOp::Put { key, .. } => format!("+{key}"),
            WriteOp::Delete { key } => format!("-{key}"),
        })
        .collect();
    (compares, writes)
}

fn segment(txn: &Txn) -> Segment {
    let Some(WriteOp::Put { value, .. }) = txn.writes.first() else {
        panic!("the first write is not a segment: {:?}", txn.writes);
    };
    assert!(
        cbor::json_size(value) <= VALUE_BYTES,
        "the segment has more than {VALUE_BYTES} bytes: {value:?}"
    );
    cbor::from_value(value).expect("the value of the first write is not a segment")
}

#[test]
fn each_change_has_its_compares_and_writes() {
    type Case = (
        &'static str,
        Vec<LogEntry>,
        Vec<&'static str>,
        Vec<&'static str>,
        [usize; 4],
    );
    let slot = "log/00000=0";
    // Each case: name, changes, expected compares, expected writes, and the expected numbers of entries in the segment
    // (workers, bindings, ended bindings, chunks of completed tasks).
    let cases: Vec<Case> = vec![
        (
            "a bind is conditional on leader, slot and job",
            vec![bind("h1", 0)],
            vec!["leader=3", slot, "open/j-1=5"],
            vec!["+log/00000"],
            [1, 1, 0, 0],
        ),
        (
            "binds share a write, and a worker is described once",
            vec![bind("h1", 0), bind("h1", 1), bind("h2", 2)],
            vec!["leader=3", slot, "open/j-1=5"],
            vec!["+log/00000"],
            [2, 3, 0, 0],
        ),
        (
            "a completed task is recorded with the end of its binding",
            vec![unbind("h3", 4, true)],
            vec!["leader=3", slot],
            vec!["+log/00000"],
            [0, 0, 1, 1],
        ),
        (
            "when a binding ends without completion, no task is recorded as completed",
            vec![unbind("h3", 4, false)],
            vec!["leader=3", slot],
            vec!["+log/00000"],
            [0, 0, 1, 0],
        ),
        (
            "finishing a job moves it from the open to the finished jobs",
            vec![LogEntry::FinishJob { job: "j-1".into() }],
            vec!["leader=3", slot, "open/j-1=5", "over/j-1=0"],
            vec!["+log/00000", "-open/j-1", "+over/j-1"],
            [0, 0, 0, 0],
        ),
        (
            "a termination is recorded in the segment alone",
            vec![LogEntry::RecordTermination {
                worker: "h1".into(),
            }],
            vec!["leader=3", slot],
            vec!["+log/00000"],
            [1, 0, 0, 0],
        ),
        (
            "a bind of a job that has ended is rejected",
            vec![
                LogEntry::Bind {
                    worker: "h1".into(),
                    task: task("j-2", 0),
                    attempt: 7,
                },
                bind("h2", 2),
            ],
            vec!["leader=3", slot, "open/j-1=5"],
            vec!["+log/00000"],
            [1, 1, 0, 0],
        ),
    ];
    for (name, changes, compares, writes, entries) in cases {
        let (mut log, (workers, mut jobs)) = (empty_log(), registries());
        jobs.get_mut("j-1").unwrap().complete(4);
        for change in changes {
            log.push(change);
        }
        let txn = log
            .next_transaction(EPOCH, &workers, &jobs, 100)
            .expect(name);
        let (got_compares, got_writes) = compares_and_writes(&txn);
        assert_eq!(got_compares, compares, "compares in the case {name:?}");
        assert_eq!(got_writes, writes, "writes in the case {name:?}");
        let segment = segment(&txn);
        let got_entries = [
            segment.workers.len(),
            segment.bindings.len(),
            segment.ended_bindings.len(),
            segment.completed.len(),
        ];
        assert_eq!(
            got_entries, entries,
            "numbers of entries in the case {name:?}"
        );
        assert!(
            log.next_transaction(EPOCH, &workers, &jobs, 100).is_none(),
            "a second transaction was built before the first had an outcome, in the case {name:?}"
        );
    }
}

/// By the outcome of a transaction, its changes are committed, put back into the queue, or kept in flight.
#[test]
fn changes_are_committed_requeued_or_kept_by_the_outcome() {
    // Reports an outcome to the log, and returns the number of committed changes.
    type Report = fn(&mut WriteAheadLog) -> usize;
    // Each case: name, report, expected backlog, and whether the transaction must be sent again.
    let cases: [(&str, Report, usize, bool); 4] = [
        (
            "committed",
            |log| log.complete_in_flight(20).len(),
            0,
            false,
        ),
        (
            "compare failed: all changes are queued again",
            |log| {
                log.requeue_in_flight();
                0
            },
            2,
            false,
        ),
        (
            "outcome unknown: the transaction is sent again, and no other is sent",
            |log| {
                log.mark_outcome_unknown();
                0
            },
            2,
            true,
        ),
        (
            "outcome unknown, then found executed",
            |log| {
                log.mark_outcome_unknown();
                log.complete_in_flight(20).len()
            },
            0,
            false,
        ),
    ];
    for (name, report, backlog, is_sent_again) in cases {
        let (mut log, (workers, jobs)) = (empty_log(), registries());
        log.push(bind("h1", 0));
        log.push(bind("h2", 2));
        let first = log
            .next_transaction(EPOCH, &workers, &jobs, 100)
            .expect(name);
        let in_flight = segment(&first);
        assert!(
            log.is_in_flight_segment(&in_flight),
            "the segment in flight was not recognized, in the case {name:?}"
        );
        assert_eq!(
            report(&mut log),
            2 - backlog,
            "committed changes in the case {name:?}"
        );
        assert_eq!(log.backlog(), backlog, "backlog in the case {name:?}");
        assert_eq!(
            log.transaction_to_retry(),
            is_sent_again.then_some(first),
            "transaction to send again in the case {name:?}"
        );
        if is_sent_again {
            log.push(bind("h1", 1));
            assert!(
                log.next_transaction(EPOCH, &workers, &jobs, 100).is_none(),
                "another transaction was built in the case {name:?}"
            );
        }
        // A segment of another leader must not be mistaken for the segment in flight.
        let other = Segment {
            epoch: EPOCH + 1,
            ..in_flight.clone()
        };
        assert!(
            !log.is_in_flight_segment(&other),
            "another leader's segment was taken for the one in flight, in the case {name:?}"
        );
    }
}

/// Thousands of bindings begin and end while a few remain: the ring stays small, every segment fits into a value, and a
/// replay of the log restores which tasks are bound and completed.
#[test]
fn replay_restores_the_state_and_the_ring_stays_small() {
    let mut workers = Workers::default();
    let mut jobs = Jobs::default();
    jobs.insert(job(spec("j-1", 4000)));
    let mut log = empty_log();
    let mut written: std::collections::BTreeMap<String, Segment> = Default::default();
    let mut mod_revision = 10;
    let mut changes = 0;
    for round in 0..400u32 {
        for i in 0..8 {
            let index = round * 8 + i;
            let name = format!("host-{:06}", index % 40);
            let known = workers.get_or_insert_with(&name, || worker(&name, "a", false));
            let mut bound = binding(&spec("j-1", 4000), 7);
            bound.running_since = None;
            known.bindings.insert(task("j-1", index), bound);
            log.push(bind(&name, index));
            // Every sixteenth binding remains; the others end four rounds after they began.
            if let Some(old) = index.checked_sub(32).filter(|old| old % 16 != 0) {
                jobs.get_mut("j-1").unwrap().complete(old);
                log.push(unbind(&format!("host-{:06}", old % 40), old, true));
            }
        }
        if round == 200 {
            log.push(LogEntry::RecordTermination {
                worker: "host-000003".into(),
            });
        }
        while let Some(txn) = log.next_transaction(EPOCH, &workers, &jobs, 100) {
            mod_revision += 1;
            let Some(WriteOp::Put { key, .. }) = txn.writes.first() else {
                panic!("the first write is not a segment");
            };
            written.insert(key.clone(), segment(&txn));
            for change in log.complete_in_flight(mod_revision) {
                changes += 1;
                match change {
                    LogEntry::Unbind { worker, task, .. } => {
                        workers.get_mut(&worker).unwrap().bindings.remove(&task);
                    }
                    LogEntry::RecordTermination { worker } => {
                        workers.get_mut(&worker).unwrap().termination_recorded = true;
                    }
                    _ => {}
                }
            }
        }
    }
    assert_eq!(log.backlog(), 0);
    assert!(
        changes > 6000,
        "{changes} changes were committed, expected more than 6000"
    );
    assert!(
        log.slots() <= 32,
        "the ring has {} slots, expected at most 32",
        log.slots()
    );

    // A simplified copy of a new leader's replay: in the order of the sequence numbers, it applies bindings, ended
    // bindings and completed tasks. It ignores removed workers, and for `terminating` it takes the last value, whereas
    // a leader keeps it set once it was set.
    let mut segments: Vec<&Segment> = written.values().collect();
    segments.sort_by_key(|segment| segment.seq);
    let mut bound = std::collections::BTreeSet::new();
    let mut completed = TaskSet::new(4000);
    let mut terminating = std::collections::BTreeMap::new();
    for segment in segments {
        let name = |number| segment.worker_name(number).unwrap().to_owned();
        for entry in &segment.workers {
            terminating.insert(name(entry.worker), entry.terminating);
        }
        for entry in &segment.bindings {
            bound.insert((name(entry.worker), entry.index));
        }
        for entry in &segment.ended_bindings {
            bound.remove(&(name(entry.worker), entry.index));
        }
        for entry in &segment.completed {
            for index in decode_chunk(entry.chunk, &entry.bitmap) {
                completed.insert(index);
            }
        }
    }
    let expected: std::collections::BTreeSet<(String, u32)> = workers
        .iter()
        .flat_map(|worker| {
            worker
                .bindings
                .keys()
                .map(|task| (worker.name.clone(), task.index))
        })
        .collect();
    assert_eq!(bound, expected);
    assert_eq!(&completed, jobs.get("j-1").unwrap().completed());
    assert_eq!(terminating.len(), 40);
    assert!(terminating["host-000003"] && !terminating["host-000004"]);
}

#[test]
fn completed_tasks_round_trip() {
    for (chunk, tasks) in [
        (0, vec![]),
        (0, vec![0, 3, 4, 9, TASKS_PER_CHUNK - 1]),
        (
            2,
            vec![
                2 * TASKS_PER_CHUNK,
                2 * TASKS_PER_CHUNK + 3,
                2 * TASKS_PER_CHUNK + 52,
            ],
        ),
    ] {
        let mut set = TaskSet::new(1000);
        for index in &tasks {
            set.insert(*index);
        }
        let bitmap = encode_chunk(&set, chunk, 1000);
        assert_eq!(decode_chunk(chunk, &bitmap).collect::<Vec<_>>(), tasks);
    }
}
