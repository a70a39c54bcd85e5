//! What may be done on knowledge of which age, and the reason of each denial.

mod common;

use cedarladder::bookkeeping::invariants::{Invariant, check};
use cedarladder::bookkeeping::permits::{Denial, ViewFreshness};
use common::freshness;

/// Each: what differs from a leader that has just been confirmed, whether it may start tasks, and whether
/// it may renew leases. Views allow starts for 4 s, the lease grace period lasts 10 s.
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
            "does not lead",
            |k| k.is_leader = false,
            Some(Denial::NotLeader),
            Some(Denial::NotLeader),
        ),
        (
            "the lease may have expired",
            |k| k.lease_held = false,
            Some(Denial::LeaseNotHeld),
            None,
        ),
        (
            "the state service has refused a call since the view was current",
            |k| k.state_failure_age_s = 0.05,
            Some(Denial::StateServiceUncertain),
            None,
        ),
        (
            "the view is too old for starts",
            |k| k.view_age_s = 4.0,
            Some(Denial::ViewStale),
            None,
        ),
        (
            "the view is too old for anything",
            |k| k.view_age_s = 10.1,
            Some(Denial::ViewStale),
            Some(Denial::LeaseGraceExpired),
        ),
        (
            "the lease was renewed too long ago",
            |k| {
                k.lease_held = false;
                k.lease_age_s = 10.1;
            },
            Some(Denial::LeaseNotHeld),
            Some(Denial::LeaseGraceExpired),
        ),
    ];
    for (name, change, start, renew) in cases {
        let mut freshness = freshness();
        change(&mut freshness);
        assert_eq!(freshness.may_start().err(), start, "{name}: start");
        assert_eq!(freshness.may_renew().err(), renew, "{name}: renew");
    }
}

/// What holds may go on; a violation is refused, and ends builds with debug assertions, such as this one.
#[test]
#[cfg_attr(
    debug_assertions,
    should_panic(expected = "NoStartOfEndedJob: worker h")
)]
fn violations_are_refused_and_end_debug_builds() {
    let invariant = Invariant::NoStartOfEndedJob;
    assert!(check(invariant, true, format_args!("worker h")));
    assert!(!check(invariant, false, format_args!("worker h")));
}
