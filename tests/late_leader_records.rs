//! A change of the `leader` key, or a response, must not end a leadership that began later.
//!
//! A controller learnt from the response to a renewal that its lease had expired, and was elected again at once. Only
//! then did its watch show the deletion of its old `leader` key. The controller took this for the deletion of its new
//! key, and gave up the new leadership. A late response to a renewal of the old lease had the same effect. Workers
//! and users saw an unnecessary change of leader. The log of the case with the watch:
//!
//! ```text
//! leadership lost      epoch=1      (the renewal: expired)
//! leadership acquired  epoch=3
//! leadership lost      epoch=3      (the watch: the deletion of revision 2)
//! ```

mod common;
mod harness;

use cedarladder::coordination::effects::{Effects, KvRequestContext};
use cedarladder::coordination::election::{Election, ElectionTimeouts, LeadershipChange};
use cedarladder::protocol::kv::KvResponse;
use cedarladder::settings::WorkerSettings;
use harness::{Harness, HeldResponses};

/// Returns a harness whose controller has learnt from a renewal that its lease has expired, and has been elected again,
/// while the responses to its watch on the `leader` key are held back.
fn leader_elected_again() -> Harness {
    let mut harness = Harness::default();
    harness.run_until("an election", Harness::is_leader);
    harness.run_for(1.0);
    harness.hold(HeldResponses::LeaderWatches);
    let first = harness.leader_revision();
    harness.revoke_leader_lease();
    harness.run_until("the expired lease to be noticed", |harness| {
        !harness.is_leader()
    });
    harness.run_until("another election", Harness::is_leader);
    assert!(
        harness.leader_revision() > first,
        "the `leader` key was not put again"
    );
    harness
}

#[test]
fn the_deletion_of_an_earlier_leader_key_ends_no_leadership() {
    let mut harness = leader_elected_again();
    let epoch = harness.leader_revision();
    harness.release(HeldResponses::LeaderWatches);
    assert!(harness.is_leader(), "the leadership ended at once");
    harness.run_for(5.0);
    assert!(harness.is_leader(), "the leadership ended within 5 s");
    assert_eq!(harness.leader_revision(), epoch, "another leadership began");
}

#[test]
fn the_deletion_of_the_own_leader_key_ends_the_leadership() {
    let mut harness = leader_elected_again();
    harness.release(HeldResponses::LeaderWatches);
    harness.run_for(1.0);
    harness.revoke_leader_lease();
    harness.run_for(0.05);
    assert!(!harness.is_leader(), "the leadership did not end");
}

/// Returns an election that was won with lease 9, lost, and won again with lease 10 at 3.3 s. A renewal of lease 9 was
/// sent at 3.0 s and has got no response yet.
fn elected_twice(effects: &mut Effects) -> Election {
    let workers = WorkerSettings {
        heartbeat_interval_s: 2.0,
        lease_s: 10.0,
        cancel_s: 30.0,
    };
    let mut election = Election::new("n0", 1, ElectionTimeouts::new(&workers));
    win(&mut election, 9, 42, 0.0, effects);
    election.poll(true, 3.0, effects, 3.0);
    assert_eq!(election.observe_epoch(43), LeadershipChange::Deposed);
    win(&mut election, 10, 44, 3.1, effects);
    election
}

/// Lets an election be won: requests a lease at `start`, and has the response and that of the campaign arrive 0.1 s and
/// 0.2 s later.
fn win(election: &mut Election, lease_id: u64, epoch: u64, start: f64, effects: &mut Effects) {
    election.poll(true, start, effects, start);
    let granted = KvResponse::LeaseGranted(lease_id);
    election.on_response(
        &KvRequestContext::GrantLease,
        &granted,
        start,
        effects,
        start + 0.1,
    );
    let committed = KvResponse::Committed(epoch);
    let change = election.on_response(
        &KvRequestContext::Campaign,
        &committed,
        start + 0.1,
        effects,
        start + 0.2,
    );
    assert_eq!(change, LeadershipChange::Elected(epoch));
}

/// The response to a renewal of the earlier lease says nothing about the current lease.
#[test]
fn a_late_renewal_of_an_earlier_lease_changes_nothing() {
    for response in [KvResponse::LeaseExpired, KvResponse::LeaseOk] {
        let mut effects = Effects::default();
        let mut election = elected_twice(&mut effects);
        let context = KvRequestContext::KeepAlive;
        let change = election.on_response(&context, &response, 3.0, &mut effects, 3.5);
        assert_eq!(
            change,
            LeadershipChange::None,
            "{response:?}: change of leadership"
        );
        assert_eq!(election.epoch(), Some(44), "{response:?}: epoch");
        // Lease 10 was requested at 3.1 s. The leader's lease is a fifth of a worker's lease of 10 s, so it is
        // certainly held for just under two seconds from then (the clocks may drift). If the late renewal counted for
        // lease 10, it would be held only until just before 5.0 s, since that renewal was sent at 3.0 s.
        assert!(
            election.holds_lease(5.05),
            "{response:?}: lease 10 is not held at 5.05 s"
        );
    }
}
