//! The scaling arithmetic, as a table.

use cedarladder::coordination::autoscaler::{Decision, Load, Meter, Reason, decide};
use cedarladder::policy::Figures;

fn figures() -> Figures {
    Figures {
        pickup_s: 60.0,
        min: 0,
        max: 50,
        cooldown_s: 30.0,
        window_s: 30.0,
        headroom: 0.0,
    }
}

fn load() -> Load {
    Load {
        pending: 0,
        oldest_s: 0.0,
        rate: 0.0,
        forecast: 0.0,
        task_s: 0.0,
        per_machine: 1.0,
        standing: 0.0,
        spare: 0,
        busy: 0,
        fill: 0,
    }
}

#[test]
fn targets() {
    let cases = [
        ("idle", load(), figures(), (0, 0, 0), 0, Reason::Little),
        (
            "the source's example of Little's law",
            Load {
                pending: 100,
                rate: 10.0,
                fill: 9,
                ..load()
            },
            figures(),
            (1, 0, 1),
            1,
            Reason::Little,
        ),
        (
            "the source's example of the backlog: margin 1.23 at 91.7% of the target",
            Load {
                pending: 500,
                oldest_s: 55.0,
                rate: 8.0,
                fill: 40,
                ..load()
            },
            figures(),
            (2, 0, 16),
            16,
            Reason::Drain,
        ),
        (
            "at breach the drain target is the maximum, but never beyond what waits would fill",
            Load {
                pending: 4,
                oldest_s: 61.0,
                rate: 0.5,
                busy: 3,
                fill: 2,
                ..load()
            },
            figures(),
            (1, 0, 50),
            5,
            Reason::Fill,
        ),
        (
            "the forecast: 2 tasks a second of 30 s, 4 on a machine",
            Load {
                forecast: 2.0,
                task_s: 30.0,
                per_machine: 4.0,
                busy: 10,
                ..load()
            },
            figures(),
            (0, 15, 0),
            15,
            Reason::Trend,
        ),
        (
            "replicas count as they are",
            Load {
                standing: 2.4,
                ..load()
            },
            figures(),
            (0, 3, 0),
            3,
            Reason::Trend,
        ),
        (
            "headroom comes on top of what is busy and what the waiting fill",
            Load {
                pending: 8,
                oldest_s: 100.0,
                rate: 1.0,
                busy: 4,
                fill: 2,
                spare: 3,
                standing: 4.0,
                ..load()
            },
            figures(),
            (1, 4, 50),
            9,
            Reason::Headroom,
        ),
        (
            "busy machines stay",
            Load { busy: 4, ..load() },
            figures(),
            (0, 0, 0),
            4,
            Reason::Busy,
        ),
        (
            "the minimum holds when nothing is asked",
            load(),
            Figures {
                min: 2,
                ..figures()
            },
            (2, 0, 2),
            2,
            Reason::Min,
        ),
        (
            "the maximum holds against the forecast",
            Load {
                forecast: 100.0,
                task_s: 100.0,
                ..load()
            },
            figures(),
            (0, 50, 0),
            50,
            Reason::Trend,
        ),
        (
            "the maximum holds against the busy",
            Load { busy: 60, ..load() },
            figures(),
            (0, 0, 0),
            50,
            Reason::Max,
        ),
    ];
    for (name, load, figures, (little, trend, drain), target, reason) in cases {
        let expected = Decision {
            little,
            trend,
            drain,
            target,
            reason,
        };
        assert_eq!(decide(&load, &figures), expected, "{name}");
    }
}

#[test]
fn meter_rates() {
    let mut meter = Meter::default();
    for i in 0..60 {
        // One event a second for 30 s, then two.
        meter.add(if i < 30 { 1.0 } else { 2.0 }, f64::from(i) + 0.5);
    }
    let cases = [
        ("the latest window", meter.rate(30.0, 0.0, 60.0), 2.0),
        ("a shorter life", meter.rate(30.0, 50.0, 60.0), 2.0),
        ("the trend carried on", meter.forecast(30.0, 0.0, 60.0), 3.0),
        ("no trend yet", meter.forecast(30.0, 30.0, 60.0), 2.0),
    ];
    for (name, got, expected) in cases {
        assert!((got - expected).abs() < 1e-9, "{name}: {got}");
    }
}
