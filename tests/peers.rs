//! What peers tell one another of ended jobs, and how a watch knows that it is current.

use cedarladder::coordination::effects::{Effect, Effects, KvRequestContext};
use cedarladder::coordination::terminations::TerminationQueue;
use cedarladder::coordination::watch::Watch;
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::protocol::peer::{MAX_TERMINATIONS, Termination, TerminationLog};

const KEEP_S: f64 = 30.0;

fn queue(label: &str, life: u64) -> TerminationQueue {
    let peers = ["a", "b", "c"].into_iter().filter(|peer| *peer != label);
    TerminationQueue::new(label, life, peers.map(str::to_owned), KEEP_S)
}

fn ended(n: usize) -> Termination {
    Termination {
        job: format!("j-{n:06}"),
        aborted: true,
        done: 0,
    }
}

fn jobs(ends: &TerminationLog) -> Vec<&str> {
    ends.entries.iter().map(|e| e.job.as_str()).collect()
}

/// An end is told again until each peer has acknowledged it, whatever is lost in between.
#[test]
fn ends_are_acknowledged() {
    let (mut a, mut b, mut c) = (queue("a", 1), queue("b", 2), queue("c", 3));
    a.push(vec![ended(1), ended(2)], 0.0);
    // The first word reaches only one of the peers, and its acknowledgement is lost.
    let word = a.next_message(1.0);
    assert_eq!(jobs(&word), ["j-000001", "j-000002"]);
    b.on_message("a", &word);
    assert_eq!(
        jobs(&a.next_message(2.0)),
        ["j-000001", "j-000002"],
        "nobody has acknowledged"
    );
    a.on_message("b", &b.next_message(2.0));
    assert_eq!(
        jobs(&a.next_message(3.0)),
        ["j-000001", "j-000002"],
        "one has not"
    );
    a.push(vec![ended(3)], 3.0);
    c.on_message("a", &word);
    a.on_message("c", &c.next_message(4.0));
    assert_eq!(
        jobs(&a.next_message(5.0)),
        ["j-000003"],
        "what both have heard is done with"
    );
    // A peer's process that ended and came back is told what its former life had not acknowledged.
    let word = a.next_message(6.0);
    let mut b = queue("b", 20);
    b.on_message("a", &word);
    c.on_message("a", &word);
    a.on_message("b", &b.next_message(7.0));
    a.on_message("c", &c.next_message(7.0));
    assert_eq!(jobs(&a.next_message(8.0)), Vec::<&str>::new());
    // An acknowledgement for an earlier life of this controller says nothing about its ends now.
    let mut a = queue("a", 10);
    a.push(vec![ended(4)], 9.0);
    a.on_message("b", &b.next_message(9.0));
    a.on_message("c", &c.next_message(9.0));
    assert_eq!(jobs(&a.next_message(10.0)), ["j-000004"]);
}

/// What nobody acknowledges is bounded by number and by time; acknowledgements stay right beyond both.
#[test]
fn ends_are_bounded() {
    let (mut a, mut b, mut c) = (queue("a", 1), queue("b", 2), queue("c", 3));
    a.push((0..MAX_TERMINATIONS + 5).map(ended).collect(), 0.0);
    let word = a.next_message(1.0);
    assert_eq!(word.entries.len(), MAX_TERMINATIONS);
    assert_eq!(
        (word.first_sequence, word.entries[0].clone()),
        (5, ended(5))
    );
    a.push(vec![ended(9_999)], 20.0);
    let word = a.next_message(KEEP_S + 1.0);
    assert_eq!(
        jobs(&word),
        ["j-009999"],
        "the others are too old to matter"
    );
    b.on_message("a", &word);
    c.on_message("a", &word);
    a.on_message("b", &b.next_message(32.0));
    a.on_message("c", &c.next_message(32.0));
    assert!(a.next_message(33.0).entries.is_empty());
    a.on_message("a stranger", &word);
    a.push(vec![ended(7)], 34.0);
    assert_eq!(jobs(&a.next_message(35.0)), ["j-000007"]);
}

/// A watch is current as of the sending of the last call that told all changes: not of its answer, nor
/// of a call that was refused or not answered.
#[test]
fn how_current_a_watch_is() {
    let page = || KvResponse::Page {
        items: Vec::new(),
        more: false,
        revision: 9,
    };
    let events = || KvResponse::Events {
        events: Vec::new(),
        revision: 9,
    };
    // Each: answers with the time of their calls' sending and their own, and when it was current.
    type Case = (&'static str, Vec<(KvResponse, f64, f64)>, f64);
    let cases: Vec<Case> = vec![
        (
            "a listing alone",
            vec![(page(), 1.0, 1.1)],
            f64::NEG_INFINITY,
        ),
        (
            "a wait that brought nothing",
            vec![(page(), 1.0, 1.1), (events(), 1.1, 2.1)],
            1.1,
        ),
        (
            "an answer long under way",
            vec![(page(), 1.0, 1.1), (events(), 1.1, 9.0)],
            1.1,
        ),
        (
            "refused and unanswered since",
            vec![
                (page(), 1.0, 1.1),
                (events(), 1.1, 2.1),
                (KvResponse::Unavailable, 2.1, 3.0),
                (KvResponse::OutcomeUnknown, 3.1, 5.0),
            ],
            1.1,
        ),
        (
            "too old, and to be read anew",
            vec![
                (page(), 1.0, 1.1),
                (events(), 1.1, 1.2),
                (KvResponse::Compacted, 1.2, 2.0),
                (page(), 2.0, 2.1),
            ],
            1.1,
        ),
    ];
    for (name, replies, expected) in cases {
        let mut watch = Watch::new("open/", KvRequestContext::OpenJobsWatch, 1.0, 0.5);
        for (reply, sent, at) in replies {
            watch.on_response(reply, sent, at);
        }
        assert_eq!(watch.current_as_of(), expected, "{name}");
    }
}

/// After an interruption a watch catches up with a call that doesn't wait, so that it soon knows that it
/// is current.
#[test]
fn a_watch_catches_up_first() {
    let mut watch = Watch::new("open/", KvRequestContext::OpenJobsWatch, 1.0, 0.5);
    let wait_ms = |watch: &mut Watch, now: f64| {
        let mut out = Effects::default();
        watch.poll(&mut out, now);
        out.queue.into_iter().find_map(|action| match action {
            Effect::CallKv {
                request: KvRequest::Watch { wait_ms, .. },
                ..
            } => Some(wait_ms),
            _ => None,
        })
    };
    watch.on_response(
        KvResponse::Page {
            items: Vec::new(),
            more: false,
            revision: 9,
        },
        1.0,
        1.1,
    );
    assert_eq!(wait_ms(&mut watch, 1.2), Some(0), "after the listing");
    watch.on_response(
        KvResponse::Events {
            events: Vec::new(),
            revision: 9,
        },
        1.2,
        1.3,
    );
    assert_eq!(wait_ms(&mut watch, 1.3), Some(1_000), "in step");
    watch.on_response(KvResponse::Unavailable, 1.3, 20.0);
    assert_eq!(wait_ms(&mut watch, 20.2), Some(0), "after an outage");
}
