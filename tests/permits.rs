//! Permits: which actions the age of the view (what the controller knows of the open jobs) and of the leader's lease
//! allow, the reason of each denial, and the check of invariants.

mod common;

use cedarladder::bookkeeping::invariants::{Invariant, check};
use cedarladder::bookkeeping::permits::{Denial, ViewFreshness};
use common::freshness;

/// A view allows starts until it is 4 s old, and lease renewals until it is older than the lease grace period of 10
/// s. Each case: what differs from a leader whose lease and view have just been confirmed, the expected denial of
/// starts, and the expected denial of renewals; `None` if they are permitted.
#[test]
fn starts_and_renewals_are_permitted_by_the_freshness_of_the_view() {
    type Case = (
        &'static str,
        fn(&mut ViewFreshness),
        Option<Denial>,
        Option<Denial>,
    );
    let cases: [Case; 7] = [
        ("all is fresh", |_| {}, None, None),
        (
            "the controller does not lead",
            |freshness| freshness.is_leader = false,
            Some(Denial::NotLeader),
            Some(Denial::NotLeader),
        ),
        (
            "the leader's lease may have expired",
            |freshness| freshness.lease_held = false,
            Some(Denial::LeaseNotHeld),
            None,
        ),
        (
            "the state service has refused a request since the view was current",
            |freshness| freshness.state_failure_age_s = 0.05,
            Some(Denial::StateServiceUncertain),
            None,
        ),
        (
            "the view is too old for starts",
            |freshness| freshness.view_age_s = 4.0,
            Some(Denial::ViewStale),
            None,
        ),
        (
            "the view is too old for anything",
            |freshness| freshness.view_age_s = 10.1,
            Some(Denial::ViewStale),
            Some(Denial::LeaseGraceExpired),
        ),
        (
            "the leader's lease was renewed too long ago",
            |freshness| {
                freshness.lease_held = false;
                freshness.lease_age_s = 10.1;
            },
            Some(Denial::LeaseNotHeld),
            Some(Denial::LeaseGraceExpired),
        ),
    ];
    for (name, change, start, renew) in cases {
        let mut freshness = freshness();
        change(&mut freshness);
        assert_eq!(
            freshness.may_start().err(),
            start,
            "{name}: denial of starts"
        );
        assert_eq!(
            freshness.may_renew().err(),
            renew,
            "{name}: denial of lease renewals"
        );
    }
}

/// An action is allowed if its invariant holds, and refused otherwise. Builds with debug assertions panic on a
/// violation instead.
#[test]
#[cfg_attr(
    debug_assertions,
    should_panic(expected = "NoStartOfEndedJob: worker h")
)]
fn violations_are_refused_and_panic_in_debug_builds() {
    let invariant = Invariant::NoStartOfEndedJob;
    assert!(check(invariant, true, format_args!("worker h")));
    assert!(!check(invariant, false, format_args!("worker h")));
}
