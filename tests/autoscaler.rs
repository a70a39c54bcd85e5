//! Table tests of the autoscaler's formulas and of the rate meter. The examples named as those of the article are from
//! "Predictive Queue Autoscaling with Little's Law".

use cedarladder::coordination::autoscaler::{PoolLoad, ScalingDecision, TargetReason, decide};
use cedarladder::coordination::rate_meter::RateMeter;
use cedarladder::policy::ScalingParameters;

fn parameters() -> ScalingParameters {
    ScalingParameters {
        pickup_s: 60.0,
        min: 0,
        max: 50,
        cooldown_s: 30.0,
        window_s: 30.0,
        headroom: 0.0,
    }
}

fn load() -> PoolLoad {
    PoolLoad {
        pending: 0,
        oldest_s: 0.0,
        rate: 0.0,
        forecast: 0.0,
        task_s: 0.0,
        per_machine: 1.0,
        service_machines: 0.0,
        headroom_machines: 0,
        busy: 0,
        machines_to_fill: 0,
    }
}

#[test]
fn targets() {
    // Name, load, parameters, the targets of Little's law, the forecast and the drain rule, the target of the pool, and
    // the rule that determined it.
    let cases = [
        (
            "no load",
            load(),
            parameters(),
            (0, 0, 0),
            0,
            TargetReason::Little,
        ),
        (
            "Little's law: the example of the article",
            PoolLoad {
                pending: 100,
                rate: 10.0,
                machines_to_fill: 9,
                ..load()
            },
            parameters(),
            (1, 0, 1),
            1,
            TargetReason::Little,
        ),
        (
            "drain target: the example of the article, margin 1.23 as 91.7% of the pickup target has passed",
            PoolLoad {
                pending: 500,
                oldest_s: 55.0,
                rate: 8.0,
                machines_to_fill: 40,
                ..load()
            },
            parameters(),
            (2, 0, 16),
            16,
            TargetReason::Drain,
        ),
        (
            "pickup target missed: the drain target is the maximum, limited to what the waiting tasks would fill",
            PoolLoad {
                pending: 4,
                oldest_s: 61.0,
                rate: 0.5,
                busy: 3,
                machines_to_fill: 2,
                ..load()
            },
            parameters(),
            (1, 0, 50),
            5,
            TargetReason::Fill,
        ),
        (
            "forecast target: 2 tasks per second of 30 s each, 4 of which fit on an instance",
            PoolLoad {
                forecast: 2.0,
                task_s: 30.0,
                per_machine: 4.0,
                busy: 10,
                ..load()
            },
            parameters(),
            (0, 15, 0),
            15,
            TargetReason::Trend,
        ),
        (
            "forecast target: running replicas count as the instances that they fill, rounded up",
            PoolLoad {
                service_machines: 2.4,
                ..load()
            },
            parameters(),
            (0, 3, 0),
            3,
            TargetReason::Trend,
        ),
        (
            "headroom is added to the busy instances and those that the waiting tasks would fill",
            PoolLoad {
                pending: 8,
                oldest_s: 100.0,
                rate: 1.0,
                busy: 4,
                machines_to_fill: 2,
                headroom_machines: 3,
                service_machines: 4.0,
                ..load()
            },
            parameters(),
            (1, 4, 50),
            9,
            TargetReason::Headroom,
        ),
        (
            "the target is not below the number of busy instances",
            PoolLoad { busy: 4, ..load() },
            parameters(),
            (0, 0, 0),
            4,
            TargetReason::Busy,
        ),
        (
            "the minimum is the target if there is no load",
            load(),
            ScalingParameters {
                min: 2,
                ..parameters()
            },
            (2, 0, 2),
            2,
            TargetReason::Min,
        ),
        (
            "the maximum limits the forecast target",
            PoolLoad {
                forecast: 100.0,
                task_s: 100.0,
                ..load()
            },
            parameters(),
            (0, 50, 0),
            50,
            TargetReason::Trend,
        ),
        (
            "the maximum limits the target even below the number of busy instances",
            PoolLoad { busy: 60, ..load() },
            parameters(),
            (0, 0, 0),
            50,
            TargetReason::Max,
        ),
    ];
    for (
        name,
        load,
        parameters,
        (littles_law_target, forecast_target, drain_target),
        target,
        reason,
    ) in cases
    {
        let expected = ScalingDecision {
            littles_law_target,
            forecast_target,
            drain_target,
            target,
            reason,
        };
        assert_eq!(decide(&load, &parameters), expected, "{name}");
    }
}

#[test]
fn meter_rates() {
    let mut meter = RateMeter::default();
    for i in 0..60 {
        // One event per second for 30 s, then two per second.
        meter.add(if i < 30 { 1.0 } else { 2.0 }, f64::from(i) + 0.5);
    }
    let cases = [
        (
            "rate over the latest window",
            meter.rate(30.0, 0.0, 60.0),
            2.0,
        ),
        (
            "rate if counting began within the window",
            meter.rate(30.0, 50.0, 60.0),
            2.0,
        ),
        (
            "forecast: the change from the previous window continues",
            meter.forecast(30.0, 0.0, 60.0),
            3.0,
        ),
        (
            "forecast is the rate if counting began less than two windows ago",
            meter.forecast(30.0, 30.0, 60.0),
            2.0,
        ),
    ];
    for (name, got, expected) in cases {
        assert!(
            (got - expected).abs() < 1e-9,
            "{name}: {got} instead of {expected}"
        );
    }
}
