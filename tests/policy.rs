//! Tests of policy files, in which operators set the parameters of the autoscaler: the values of the built-in policy,
//! the messages for invalid files, and expressions that fail at run time.

use cedarladder::policy::{BUILT_IN_POLICY, Policy, PoolState};
use cedarladder::settings::Settings;

fn settings() -> Settings {
    Settings::parse(include_str!("world/settings.toml")).expect("the settings are invalid")
}

/// A pool of busy instances that take 20 s to boot.
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

/// The built-in policy is valid and gives the documented values for a heartbeat interval of 2 s and a boot time of 20
/// s.
#[test]
fn built_in_policy_is_valid() {
    let policy = Policy::parse(BUILT_IN_POLICY, "built-in", &settings())
        .expect("the built-in policy is invalid");
    let on_demand = policy.parameters(&pool(false, 3));
    let spot = policy.parameters(&pool(true, 3));
    assert_eq!((on_demand.cooldown_s, spot.cooldown_s), (4.0, 14.0));
    assert_eq!((on_demand.pickup_s, on_demand.window_s), (2.0, 24.0));
    assert_eq!((on_demand.min, on_demand.max), (0, 10_000));
}

/// Each invalid file gives one problem, with its line, the name of the parameter and a message.
#[test]
fn problems_are_reported_with_line_and_name() {
    // Text of the file, line of the problem, name in the problem, and a part of the message.
    let cases = [
        ("nonsense", 1, "nonsense", "unknown parameter"),
        ("# a remark\n\nspeed = 2.0", 3, "speed", "unknown parameter"),
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
    for (text, line, name, part) in cases {
        let problems = Policy::parse(text, "my.policy", &settings()).expect_err(text);
        assert_eq!(problems.len(), 1, "{text}: {problems:?}");
        let message = problems[0].to_string();
        assert!(
            message.starts_with(&format!("my.policy:{line}: {name}: ")),
            "{message}"
        );
        assert!(message.contains(part), "{text}: {message}");
    }
    let invalid = "pickup_s = x\nwindow_s = 0.0\nfoo = 1.0";
    assert_eq!(
        Policy::parse(invalid, "f", &settings())
            .expect_err(invalid)
            .len(),
        3,
        "one problem is expected for each of the three lines"
    );
}

/// An expression can be valid for the sample pools for which a file is checked, and still fail for another pool. For
/// that pool, the expression of the built-in policy is used.
#[test]
fn expression_that_fails_at_run_time_is_replaced_by_the_built_in_one() {
    let text = "min_machines = 1.0\ncooldown_s = busy == 7.0 ? -1.0 : 5.0";
    let policy =
        Policy::parse(text, "f", &settings()).expect("the policy is invalid for the sample pools");
    assert_eq!(policy.parameters(&pool(false, 3)).cooldown_s, 5.0);
    assert_eq!(policy.parameters(&pool(false, 7)).cooldown_s, 4.0);
    assert_eq!(policy.parameters(&pool(false, 7)).min, 1);
}
