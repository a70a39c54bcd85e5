//! What a worker is ordered to do for a given report and given bindings.

mod common;

use cedarladder::bookkeeping::hosts::{HaltReason, Host};
use cedarladder::protocol::worker::{Cause, StepStatus, Verb};
use common::{binding, host, knowledge, spec, step, task};

type Setup = fn(&mut Host);

fn bound(host: &mut Host, change: impl Fn(&mut cedarladder::bookkeeping::hosts::Binding)) {
    let mut b = binding(&spec("j-1", 4), 7);
    change(&mut b);
    host.bindings.insert(task("j-1", 0), b);
}

fn shows(host: &mut Host, attempt: u64, status: StepStatus) {
    let task = task("j-1", 0);
    let cause = (status == StepStatus::Exited).then_some(Cause::Done);
    let steps = host.steps.entry(task.clone()).or_default();
    steps.push(step(&task, attempt, status, cause));
}

#[test]
fn orders() {
    use StepStatus::{Exited, Flushing, Running};
    type Case = (&'static str, Setup, bool, Vec<(Verb, u64)>);
    let cases: Vec<Case> = vec![
        ("nothing bound, nothing shown", |_| {}, true, vec![]),
        (
            "bound and not shown: start",
            |h| bound(h, |_| {}),
            true,
            vec![(Verb::Start, 7)],
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
            |h| bound(h, |b| b.tenure = 0),
            true,
            vec![],
        ),
        (
            "a returning host starts nothing",
            |h| {
                bound(h, |_| {});
                h.returning = true;
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
                bound(h, |b| b.halt = Some((3.0, HaltReason::Drained)));
                shows(h, 7, Running);
            },
            false,
            vec![(Verb::Halt, 7)],
        ),
        (
            "saving, and may go on saving",
            |h| {
                bound(h, |b| b.halt = Some((3.0, HaltReason::Drained)));
                shows(h, 7, Flushing);
            },
            true,
            vec![],
        ),
        (
            "saving for a job that is over: a second halt",
            |h| {
                bound(h, |b| b.halt = Some((0.0, HaltReason::Over)));
                shows(h, 7, Flushing);
            },
            true,
            vec![(Verb::Halt, 7)],
        ),
        (
            "exited, but its end is not written down: no clear",
            |h| {
                bound(h, |b| b.ending = true);
                shows(h, 7, Exited);
            },
            true,
            vec![],
        ),
        (
            "exited and written down: clear",
            |h| shows(h, 7, Exited),
            true,
            vec![(Verb::Clear, 7)],
        ),
        (
            "a start may still arrive: no clear",
            |h| {
                shows(h, 7, Exited);
                h.in_flight.entry((task("j-1", 0), 7)).or_default().lost = true;
            },
            true,
            vec![],
        ),
        (
            "running and bound by nobody: halt",
            |h| shows(h, 7, Running),
            true,
            vec![(Verb::Halt, 7)],
        ),
        (
            "an old attempt is cleared before the new one starts",
            |h| {
                shows(h, 6, Exited);
                bound(h, |_| {});
            },
            true,
            vec![(Verb::Clear, 6), (Verb::Start, 7)],
        ),
    ];
    for (name, setup, confirmed, expected) in cases {
        let mut host = host("h", "a", false);
        setup(&mut host);
        let got: Vec<(Verb, u64)> = host
            .orders(confirmed, 100)
            .into_iter()
            .map(|order| (order.verb, order.attempt))
            .collect();
        assert_eq!(got, expected, "{name}");
    }
}

/// A copy of a direct start that was answered may follow as long as the session and the Epoch last.
/// An attempt that was stopped is kept till then: cleared, it would run beside its successor.
#[test]
fn copies_of_starts() {
    use cedarladder::protocol::worker::StepStatus::Exited;
    type Steps = fn(&mut Host, &[cedarladder::protocol::worker::Order]);
    let direct: Steps = |h, o| {
        h.note_sent(o, None, &knowledge());
        h.settle_direct(o, false);
    };
    let answer: Steps = |h, o| {
        h.note_sent(o, Some(5), &knowledge());
        h.settle_answers(6);
    };
    for (name, steps, cause, cleared) in [
        ("direct, done", direct, Cause::Done, true),
        ("direct, stopped", direct, Cause::Stopped, false),
        ("direct, refused", direct, Cause::Full, false),
        ("in an answer, stopped", answer, Cause::Stopped, true),
    ] {
        let mut host = host("h", "a", false);
        bound(&mut host, |_| {});
        let orders = host.orders(true, 10);
        steps(&mut host, &orders);
        let task = task("j-1", 0);
        host.bindings.remove(&task);
        host.steps
            .insert(task.clone(), vec![step(&task, 7, Exited, Some(cause))]);
        host.forget_cleared();
        assert_eq!(!host.orders(true, 10).is_empty(), cleared, "{name}");
        // Once it is cleared nothing is kept of it.
        host.steps.clear();
        host.forget_cleared();
        assert!(host.in_flight.is_empty(), "{name}");
    }
}

/// A start is on its way until every copy of it is accounted for.
#[test]
fn starts_on_their_way() {
    type Steps = fn(&mut Host, &[cedarladder::protocol::worker::Order]);
    let cases: [(&str, Steps, bool); 7] = [
        (
            "sent directly",
            |h, o| h.note_sent(o, None, &knowledge()),
            true,
        ),
        (
            "sent directly and answered",
            |h, o| {
                h.note_sent(o, None, &knowledge());
                h.settle_direct(o, false);
            },
            false,
        ),
        (
            "the first copy lost, the second answered: the first may still arrive",
            |h, o| {
                h.note_sent(o, None, &knowledge());
                h.settle_direct(o, true);
                h.note_sent(o, None, &knowledge());
                h.settle_direct(o, false);
            },
            true,
        ),
        (
            "in the answer to report 5",
            |h, o| h.note_sent(o, Some(5), &knowledge()),
            true,
        ),
        (
            "a later report by itself settles it",
            |h, o| {
                h.note_sent(o, Some(5), &knowledge());
                h.settle_answers(6);
            },
            false,
        ),
        (
            "the same report does not",
            |h, o| {
                h.note_sent(o, Some(5), &knowledge());
                h.settle_answers(5);
            },
            true,
        ),
        (
            "an answered halt says nothing of an unanswered start",
            |h, o| {
                h.note_sent(o, None, &knowledge());
                let mut halt = o.to_vec();
                halt[0].verb = Verb::Halt;
                h.settle_direct(&halt, false);
            },
            true,
        ),
    ];
    for (name, steps, expected) in cases {
        let mut host = host("h", "a", false);
        bound(&mut host, |_| {});
        let orders = host.orders(true, 10);
        steps(&mut host, &orders);
        assert_eq!(host.start_in_flight(&task("j-1", 0), 7), expected, "{name}");
    }
}
