//! The exchange of terminations between peers, and the time as of which a watch is current.

use cedarladder::coordination::effects::{Effect, Effects, KvRequestContext};
use cedarladder::coordination::terminations::TerminationQueue;
use cedarladder::coordination::watch::Watch;
use cedarladder::protocol::kv::{KvRequest, KvResponse};
use cedarladder::protocol::peer::{MAX_TERMINATIONS, Termination, TerminationLog};

const RETENTION_S: f64 = 30.0;

fn queue(label: &str, process_incarnation: u64) -> TerminationQueue {
    let peers = ["a", "b", "c"].into_iter().filter(|peer| *peer != label);
    TerminationQueue::new(
        label,
        process_incarnation,
        peers.map(str::to_owned),
        RETENTION_S,
    )
}

fn termination(n: usize) -> Termination {
    Termination {
        job: format!("j-{n:06}"),
        aborted: true,
        done: 0,
    }
}

fn jobs(message: &TerminationLog) -> Vec<&str> {
    message
        .entries
        .iter()
        .map(|entry| entry.job.as_str())
        .collect()
}

/// A termination is sent again until every peer has acknowledged it, whichever messages are lost.
#[test]
fn terminations_are_resent_until_all_peers_acknowledge() {
    let (mut a, mut b, mut c) = (queue("a", 1), queue("b", 2), queue("c", 3));
    a.push(vec![termination(1), termination(2)], 0.0);
    // The first message reaches only peer b, whose acknowledgement is lost.
    let message = a.next_message(1.0);
    assert_eq!(jobs(&message), ["j-000001", "j-000002"]);
    b.on_message("a", &message);
    assert_eq!(
        jobs(&a.next_message(2.0)),
        ["j-000001", "j-000002"],
        "terminations were not resent although no acknowledgement has arrived"
    );
    a.on_message("b", &b.next_message(2.0));
    assert_eq!(
        jobs(&a.next_message(3.0)),
        ["j-000001", "j-000002"],
        "terminations were not resent although peer c has not acknowledged them"
    );
    a.push(vec![termination(3)], 3.0);
    c.on_message("a", &message);
    a.on_message("c", &c.next_message(4.0));
    assert_eq!(
        jobs(&a.next_message(5.0)),
        ["j-000003"],
        "expected only the termination that was not acknowledged by both peers"
    );
    // A restarted peer receives what its previous process has not acknowledged.
    let message = a.next_message(6.0);
    let mut b = queue("b", 20);
    b.on_message("a", &message);
    c.on_message("a", &message);
    a.on_message("b", &b.next_message(7.0));
    a.on_message("c", &c.next_message(7.0));
    assert_eq!(jobs(&a.next_message(8.0)), Vec::<&str>::new());
    // Acknowledgements for the previous process of this controller do not apply to the terminations of this one.
    let mut a = queue("a", 10);
    a.push(vec![termination(4)], 9.0);
    a.on_message("b", &b.next_message(9.0));
    a.on_message("c", &c.next_message(9.0));
    assert_eq!(jobs(&a.next_message(10.0)), ["j-000004"]);
}

/// Unacknowledged terminations are dropped beyond a maximum number and age. Acknowledgements of the terminations that
/// are queued afterwards are still matched to them.
#[test]
fn unacknowledged_terminations_are_bounded() {
    let (mut a, mut b, mut c) = (queue("a", 1), queue("b", 2), queue("c", 3));
    a.push((0..MAX_TERMINATIONS + 5).map(termination).collect(), 0.0);
    let message = a.next_message(1.0);
    assert_eq!(message.entries.len(), MAX_TERMINATIONS);
    assert_eq!(
        (message.first_sequence, message.entries[0].clone()),
        (5, termination(5))
    );
    a.push(vec![termination(9_999)], 20.0);
    let message = a.next_message(RETENTION_S + 1.0);
    assert_eq!(
        jobs(&message),
        ["j-009999"],
        "expected only the termination that is not older than the retention period"
    );
    b.on_message("a", &message);
    c.on_message("a", &message);
    a.on_message("b", &b.next_message(32.0));
    a.on_message("c", &c.next_message(32.0));
    assert!(a.next_message(33.0).entries.is_empty());
    a.on_message("an unknown peer", &message);
    a.push(vec![termination(7)], 34.0);
    assert_eq!(jobs(&a.next_message(35.0)), ["j-000007"]);
}

/// A watch is current as of the sending of its latest successful request. Neither the arrival of the response counts,
/// nor requests that were rejected or had no response.
#[test]
fn a_watch_is_current_as_of_its_latest_successful_request() {
    let page = || KvResponse::Page {
        items: Vec::new(),
        more: false,
        revision: 9,
    };
    let events = || KvResponse::Events {
        events: Vec::new(),
        revision: 9,
    };
    // (name, [(response, when its request was sent, when the response arrived)], time as of which the watch is current)
    type Case = (&'static str, Vec<(KvResponse, f64, f64)>, f64);
    let cases: Vec<Case> = vec![
        (
            "only a listing",
            vec![(page(), 1.0, 1.1)],
            f64::NEG_INFINITY,
        ),
        (
            "a request that returned no changes",
            vec![(page(), 1.0, 1.1), (events(), 1.1, 2.1)],
            1.1,
        ),
        (
            "a response that arrived late",
            vec![(page(), 1.0, 1.1), (events(), 1.1, 9.0)],
            1.1,
        ),
        (
            "later requests were rejected or had no response",
            vec![
                (page(), 1.0, 1.1),
                (events(), 1.1, 2.1),
                (KvResponse::Unavailable, 2.1, 3.0),
                (KvResponse::OutcomeUnknown, 3.1, 5.0),
            ],
            1.1,
        ),
        (
            "the revision was compacted, and the keys were listed again",
            vec![
                (page(), 1.0, 1.1),
                (events(), 1.1, 1.2),
                (KvResponse::Compacted, 1.2, 2.0),
                (page(), 2.0, 2.1),
            ],
            1.1,
        ),
    ];
    for (name, responses, expected) in cases {
        let mut watch = Watch::new("open/", KvRequestContext::OpenJobsWatch, 1.0, 0.5);
        for (response, sent_at, now) in responses {
            watch.on_response(response, sent_at, now);
        }
        assert_eq!(watch.current_as_of(), expected, "{name}");
    }
}

/// After an interruption the first request of a watch does not wait, so that it soon confirms that the content is
/// current.
#[test]
fn the_first_watch_request_after_an_interruption_does_not_wait() {
    let mut watch = Watch::new("open/", KvRequestContext::OpenJobsWatch, 1.0, 0.5);
    let wait_ms = |watch: &mut Watch, now: f64| {
        let mut effects = Effects::default();
        watch.poll(&mut effects, now);
        effects.queue.into_iter().find_map(|effect| match effect {
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
    assert_eq!(
        wait_ms(&mut watch, 1.2),
        Some(0),
        "wait_ms of the first request after the listing"
    );
    watch.on_response(
        KvResponse::Events {
            events: Vec::new(),
            revision: 9,
        },
        1.2,
        1.3,
    );
    assert_eq!(
        wait_ms(&mut watch, 1.3),
        Some(1_000),
        "wait_ms of a request while the watch is caught up"
    );
    watch.on_response(KvResponse::Unavailable, 1.3, 20.0);
    assert_eq!(
        wait_ms(&mut watch, 20.2),
        Some(0),
        "wait_ms of the first request after an outage"
    );
}
