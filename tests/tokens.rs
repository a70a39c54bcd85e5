//! Fencing tokens: their order across leaders, fences and versions, and the rejection of tokens that no controller can
//! have issued.

mod common;

use cedarladder::coordination::controller::{Controller, Now};
use cedarladder::coordination::effects::Effect;
use cedarladder::policy::Policy;
use cedarladder::protocol::cbor;
use cedarladder::protocol::peer::{PeerHeartbeat, TerminationLog};
use cedarladder::protocol::token::{FencingToken, MAX_EPOCH, MAX_FENCE};
use cedarladder::settings::Settings;
use ciborium::Value;
use std::rc::Rc;

const START: Now = Now {
    monotonic: 0.0,
    wall: 0.0,
};

fn controller() -> Controller {
    let settings = Rc::new(
        Settings::parse(include_str!("world/settings.toml")).expect("the settings were rejected"),
    );
    let policy = Rc::new(Policy::built_in(&settings));
    Controller::new(settings, policy, 1)
}

/// A worker's heartbeat with this value as its token.
fn heartbeat(token: Value) -> Vec<u8> {
    let text = |s: &str| Value::Text(s.to_owned());
    let fields = vec![
        (text("Host"), text("h")),
        (text("Endpoint"), text("10.1.0.1:9000")),
        (text("Flavor"), text("f")),
        (text("Grove"), text("a")),
        (text("Windfall"), Value::Bool(false)),
        (text("Tenure"), Value::from(1)),
        (text("Tick"), Value::from(1)),
        (text("Epoch"), token),
        (text("Steps"), Value::Array(Vec::new())),
    ];
    cbor::encode(&Value::Map(fields))
}

/// Status and body of the response to a heartbeat with this token.
fn response_to(token: Value) -> (u16, String) {
    let mut controller = controller();
    controller.on_request(1, "POST", "/v1/report", &heartbeat(token), START);
    let response = controller.take_effects().into_iter().find_map(|effect| {
        let Effect::Respond { status, body, .. } = effect else {
            return None;
        };
        let body: Value = cbor::decode(&body).expect("the body is not CBOR");
        Some((status, format!("{body:?}")))
    });
    response.expect("the controller has not responded")
}

/// All tokens of a later leader are higher than those of an earlier one, whatever their fences. Versions without fences
/// issued plain epochs as tokens, which are lower than the tokens of any later leader.
#[test]
fn a_later_leader_has_higher_tokens() {
    let rising = [
        ("the default token", FencingToken::default()),
        (
            "an epoch of a version without fences",
            FencingToken::from_wire(5),
        ),
        ("epoch 9, fence 0", FencingToken::new(9, 0)),
        ("epoch 9, fence 1", FencingToken::new(9, 1)),
        ("epoch 9, maximum fence", FencingToken::new(9, MAX_FENCE)),
        ("epoch 10, fence 0", FencingToken::new(10, 0)),
        (
            "maximum epoch and fence",
            FencingToken::new(MAX_EPOCH, MAX_FENCE),
        ),
    ];
    for pair in rising.windows(2) {
        assert!(
            pair[0].1 < pair[1].1,
            "the token ({}) is not lower than the token ({})",
            pair[0].0,
            pair[1].0
        );
    }
    let high_plain_epoch = FencingToken::from_wire(20_000_000);
    assert!(high_plain_epoch < FencingToken::new(20_000_001, 0));
    assert!(high_plain_epoch.epoch() < 20_000_001);
    let token = FencingToken::new(41, 7);
    assert_eq!((token.epoch(), token.fence()), (41, 7));
    assert_eq!(
        cbor::decode::<FencingToken>(&cbor::encode(&token)).ok(),
        Some(token)
    );
}

/// A received token beyond the limits is refused. Parts of a new token that would not fit are capped; they don't wrap
/// around.
#[test]
fn tokens_beyond_the_limits_are_refused_or_capped() {
    assert!(FencingToken::new(MAX_EPOCH, MAX_FENCE).validate().is_ok());
    assert!(FencingToken::from_wire(u64::MAX).validate().is_err());
    assert_eq!(FencingToken::new(3, MAX_FENCE).epoch(), 3);
    assert_eq!(
        FencingToken::new(u64::MAX, u32::MAX),
        FencingToken::new(MAX_EPOCH, MAX_FENCE)
    );
}

/// A heartbeat with a token that no controller can have issued is refused; the error names the field and a remedy.
#[test]
fn heartbeats_with_impossible_tokens_are_refused() {
    for (name, token, remedy) in [
        ("too high", Value::from(u64::MAX), "restart the worker"),
        ("below zero", Value::from(-1), "an integer from 0"),
        ("a text", Value::Text("41".into()), "an integer from 0"),
    ] {
        let (status, body) = response_to(token);
        assert_eq!(
            status, 400,
            "status of the response to a token that is {name}"
        );
        assert!(
            body.contains("Epoch: "),
            "the error for a token that is {name} does not name the field: {body}"
        );
        assert!(
            body.contains(remedy),
            "the error for a token that is {name} has no remedy: {body}"
        );
    }
    assert_eq!(
        response_to(Value::from(41)).0,
        421,
        "status of the response to a valid token"
    );
}

/// A peer's heartbeat with an epoch above the maximum is ignored: workers are not redirected to the leader that the
/// heartbeat names.
#[test]
fn peer_heartbeats_with_impossible_epochs_are_ignored() {
    let peer_heartbeat = |epoch: u64| PeerHeartbeat {
        label: "n1".into(),
        epoch,
        leader: Some("n1".into()),
        state_service_ok: true,
        redirected_workers: 0,
        counts: Vec::new(),
        crash_looping_jobs: Vec::new(),
        user_writes_per_s: 0.0,
        terminations: TerminationLog::default(),
    };
    for (name, epoch, is_accepted) in [("possible", 7, true), ("too high", MAX_EPOCH + 1, false)] {
        let mut controller = controller();
        controller.on_peer_heartbeat(peer_heartbeat(epoch), START);
        controller.on_request(1, "POST", "/v1/report", &heartbeat(Value::from(0)), START);
        let is_redirected = controller
            .take_effects()
            .into_iter()
            .any(|effect| match effect {
                Effect::Respond {
                    status: 421, body, ..
                } => {
                    let body: Value = cbor::decode(&body).expect("the body is not CBOR");
                    format!("{body:?}").contains("n1")
                }
                _ => false,
            });
        assert_eq!(
            is_redirected, is_accepted,
            "whether the worker was redirected to the peer, whose epoch is {name}"
        );
    }
}
