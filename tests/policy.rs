//! Operators' files: what is good, and what is said of what is not.

use cedarladder::policy::{BUILT_IN_POLICY, Policy, PoolState};
use cedarladder::settings::Settings;

fn settings() -> Settings {
    Settings::parse(include_str!("world/settings.toml")).expect("settings")
}

fn pool(spot: bool, busy: u32) -> PoolState {
    PoolState {
        spot,
        boot_time_s: 20.0,
        hourly: 1.0,
        cpus: 8.0,
        busy,
        machines: busy,
        waiting: 0,
    }
}

#[test]
fn built_in() {
    let policy = Policy::parse(BUILT_IN_POLICY, "built-in", &settings()).expect("no problems");
    let ordinary = policy.parameters(&pool(false, 3));
    let spot = policy.parameters(&pool(true, 3));
    assert_eq!((ordinary.cooldown_s, spot.cooldown_s), (4.0, 14.0));
    assert_eq!((ordinary.pickup_s, ordinary.window_s), (2.0, 24.0));
    assert_eq!((ordinary.min, ordinary.max), (0, 10_000));
}

#[test]
fn problems() {
    // (file, line, name, words of the message)
    let cases = [
        ("nonsense", 1, "nonsense", "no such figure"),
        ("# a remark\n\nspeed = 2.0", 3, "speed", "no such figure"),
        ("pickup_s =", 1, "pickup_s", "missing"),
        ("pickup_s = 2.0 +", 1, "pickup_s", "does not parse"),
        (
            "pickup_s = report",
            1,
            "pickup_s",
            "unknown variable report",
        ),
        ("pickup_s = 2", 1, "pickup_s", "wrong type"),
        ("pickup_s = spot", 1, "pickup_s", "wrong type"),
        ("pickup_s = 2 * report_s", 1, "pickup_s", "wrong type"),
        ("pickup_s = -report_s", 1, "pickup_s", "out of range"),
        (
            "cooldown_s = ready_s / busy",
            1,
            "cooldown_s",
            "out of range",
        ),
        (
            "headroom = spot ? 0.0 : 11.0",
            1,
            "headroom",
            "out of range",
        ),
        ("headroom = 0.1\nheadroom = 0.2", 2, "headroom", "twice"),
    ];
    for (text, line, name, words) in cases {
        let found = Policy::parse(text, "my.policy", &settings()).expect_err(text);
        assert_eq!(found.len(), 1, "{text}: {found:?}");
        let said = found[0].to_string();
        assert!(
            said.starts_with(&format!("my.policy:{line}: {name}: ")),
            "{said}"
        );
        assert!(said.contains(words), "{text}: {said}");
    }
    let all = "pickup_s = x\nwindow_s = 0.0\nfoo = 1.0";
    assert_eq!(
        Policy::parse(all, "f", &settings()).expect_err(all).len(),
        3,
        "all are reported"
    );
}

/// An expression that passes the samples may still fail later; the default takes its place.
#[test]
fn run_time_failure() {
    let text = "min_machines = 1.0\ncooldown_s = busy == 7.0 ? -1.0 : 5.0";
    let policy = Policy::parse(text, "f", &settings()).expect("passes the samples");
    assert_eq!(policy.parameters(&pool(false, 3)).cooldown_s, 5.0);
    assert_eq!(policy.parameters(&pool(false, 7)).cooldown_s, 4.0);
    assert_eq!(policy.parameters(&pool(false, 7)).min, 1);
}
