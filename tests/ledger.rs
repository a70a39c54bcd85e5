//! Transactions: what they are conditional on, and what follows from their answers.

mod common;

use cedarladder::bookkeeping::hosts::Hosts;
use cedarladder::bookkeeping::jobs::Jobs;
use cedarladder::bookkeeping::ledger::{Change, Ledger, TxnLimits};
use cedarladder::bookkeeping::records::ProgressRecord;
use cedarladder::protocol::state::{Txn, Write};
use common::{binding, host, job, spec, task};

const EPOCH: u64 = 3;

fn setup() -> (Ledger, Hosts, Jobs) {
    let limits = TxnLimits {
        ops: 6,
        value_bytes: 1024,
    };
    let mut hosts = Hosts::default();
    let mut jobs = Jobs::default();
    jobs.insert(job(spec("j-1", 8)));
    for name in ["h1", "h2", "h3"] {
        hosts.entry(name, || host(name, "a", false));
    }
    (Ledger::new(limits), hosts, jobs)
}

fn bind(host: &str, index: u32) -> Change {
    Change::Bind {
        host: host.into(),
        task: task("j-1", index),
        attempt: 7,
    }
}

fn unbind(host: &str, index: u32, done: bool) -> Change {
    Change::Unbind {
        host: host.into(),
        task: task("j-1", index),
        attempt: 7,
        done,
    }
}

fn keys(txn: &Txn) -> (Vec<String>, Vec<String>) {
    let when = txn
        .when
        .iter()
        .map(|c| format!("{}={}", c.key, c.stamp))
        .collect();
    let writes = txn
        .writes
        .iter()
        .map(|write| match write {
            Write::Set { key, .. } => format!("+{key}"),
            Write::Remove { key } => format!("-{key}"),
        })
        .collect();
    (when, writes)
}

#[test]
fn conditions_and_writes() {
    type Case = (
        &'static str,
        Vec<Change>,
        Vec<&'static str>,
        Vec<&'static str>,
    );
    let cases: Vec<Case> = vec![
        (
            "a bind is conditional on leader, host and job",
            vec![bind("h1", 0)],
            vec!["leader=3", "open/j-1=5", "host/h1=0"],
            vec!["+host/h1"],
        ),
        (
            "binds on one host share a write",
            vec![bind("h1", 0), bind("h1", 1), bind("h2", 2)],
            vec!["leader=3", "open/j-1=5", "host/h1=0", "host/h2=0"],
            vec!["+host/h1", "+host/h2"],
        ),
        (
            "a done task is recorded with the end of its binding",
            vec![unbind("h3", 4, true)],
            vec!["leader=3", "open/j-1=5", "host/h3=9", "progress/j-1/0=0"],
            vec!["-host/h3", "+progress/j-1/0"],
        ),
        (
            "a lost binding needs no open job",
            vec![unbind("h3", 4, false)],
            vec!["leader=3", "host/h3=9"],
            vec!["-host/h3"],
        ),
        (
            "the end of a job moves it from open to over",
            vec![Change::End { job: "j-1".into() }],
            vec!["leader=3", "open/j-1=5", "over/j-1=0"],
            vec!["-open/j-1", "+over/j-1"],
        ),
        (
            "a mark is written before anything is deleted",
            vec![Change::Mark { host: "h1".into() }],
            vec!["leader=3", "host/h1=0"],
            vec!["+host/h1"],
        ),
        (
            "a bind of a job that is over is void",
            vec![
                Change::Bind {
                    host: "h1".into(),
                    task: task("j-2", 0),
                    attempt: 7,
                },
                bind("h2", 2),
            ],
            vec!["leader=3", "open/j-1=5", "host/h2=0"],
            vec!["+host/h2"],
        ),
    ];
    for (name, changes, when, writes) in cases {
        let (mut ledger, mut hosts, mut jobs) = setup();
        for (host, index) in [("h1", 0), ("h1", 1), ("h2", 2), ("h3", 4)] {
            let spec = spec("j-1", 8);
            let host = hosts.get_mut(host).unwrap();
            host.bindings.insert(task("j-1", index), binding(&spec, 7));
        }
        let h3 = hosts.get_mut("h3").unwrap();
        h3.stamp = 9;
        h3.durable = h3.blank_record();
        let kept = cedarladder::bookkeeping::hosts::Host::bound_task(
            &task("j-1", 4),
            &h3.bindings[&task("j-1", 4)],
        );
        h3.durable.steps.push(kept);
        jobs.get_mut("j-1").unwrap().done.insert(4);
        for change in changes {
            ledger.push(change);
        }
        let txn = ledger.next(EPOCH, &hosts, &jobs, 100).expect(name);
        let (got_when, got_writes) = keys(&txn);
        assert_eq!(got_when, when, "{name}");
        assert_eq!(got_writes, writes, "{name}");
        assert!(
            ledger.next(EPOCH, &hosts, &jobs, 100).is_none(),
            "{name}: one at a time"
        );
    }
}

#[test]
fn limits_and_answers() {
    let (mut ledger, mut hosts, mut jobs) = setup();
    for i in 0..10u32 {
        let name = format!("g{i}");
        let mut h = host(&name, "a", false);
        h.bindings
            .insert(task("j-1", i), binding(&spec("j-1", 8), 7));
        hosts.entry(&name, || h);
        ledger.push(bind(&name, i));
    }
    let first = ledger.next(EPOCH, &hosts, &jobs, 100).unwrap();
    assert_eq!(first.writes.len(), 6, "as many as a transaction takes");
    ledger.not_executed();
    assert_eq!(ledger.backlog(), 10, "refused: all changes wait again");
    let second = ledger.next(EPOCH, &hosts, &jobs, 4).unwrap();
    assert_eq!(second.writes.len(), 4, "as many as the budget has");
    assert_eq!(second.writes[..], first.writes[..4], "in the same order");
    let applied = ledger.committed(20, &mut hosts, &mut jobs);
    assert_eq!(applied.len(), 4);
    assert_eq!(hosts.get("g0").unwrap().stamp, 20);
    assert_eq!(hosts.get("g0").unwrap().durable.steps.len(), 1);

    // No answer: of two binds the records show one.
    let third = ledger.next(EPOCH, &hosts, &jobs, 2).unwrap();
    assert_eq!(third.writes.len(), 2);
    let shown = hosts.get_mut("g4").unwrap();
    let kept = cedarladder::bookkeeping::hosts::Host::bound_task(
        &task("j-1", 4),
        &shown.bindings[&task("j-1", 4)],
    );
    shown.durable.steps.push(kept);
    assert_eq!(ledger.reread(&hosts), vec![bind("g4", 4)]);
    assert_eq!(ledger.backlog(), 5, "the other waits again");
}

#[test]
fn progress_round_trip() {
    for (first, tasks) in [
        (0, vec![]),
        (0, vec![0, 3, 4, 9]),
        (2048, vec![2048, 2051, 2100]),
    ] {
        let flags = (first..first + 64).map(|i| tasks.contains(&i));
        let record = ProgressRecord::encode(first, flags);
        assert_eq!(record.tasks().collect::<Vec<_>>(), tasks);
    }
}
