//! The files that operators write, settings and policies: all names in them, and the error messages for mistakes.

use super::pinned::PinnedFile;
use cedarladder::policy::{BUILT_IN_POLICY, Policy, PoolState};
use cedarladder::settings::{self, Settings};

/// A settings file that sets all keys.
const SETTINGS: &str = include_str!("settings.toml");
/// A policy file that sets all keys and uses all variables. In its text, keys are called figures.
const POLICY: &str = include_str!("every.policy");

fn parse(text: &str) -> Settings {
    Settings::parse(text).expect("the settings were rejected")
}

/// All values of the settings with their keys in the file, and two values that are not in the file: the number of
/// sockets for direct calls and the maximum drift of clocks.
fn values_of(settings: &Settings) -> Vec<(String, String)> {
    let deployment = &settings.deployment;
    let (workers, state) = (&deployment.workers, &deployment.state);
    let (cloud, quota) = (&deployment.cloud, &deployment.quota);
    let services = &settings.services;
    let single = [
        ("label", settings.label.clone()),
        ("site", settings.zone.clone()),
        ("bind", settings.bind.to_string()),
        ("peer_bind", settings.peer_bind.to_string()),
        ("services.cloud", services.cloud.to_string()),
        ("services.state", services.state.to_string()),
        (
            "deployment.initial_size",
            deployment.initial_size.to_string(),
        ),
        ("deployment.zones", deployment.zones.join(" ")),
        ("deployment.skew_ms", deployment.skew_ms.to_string()),
        (
            "deployment.workers.report_s",
            workers.heartbeat_interval_s.to_string(),
        ),
        ("deployment.workers.lease_s", workers.lease_s.to_string()),
        ("deployment.workers.cancel_s", workers.cancel_s.to_string()),
        ("deployment.state.rps", state.rps.to_string()),
        ("deployment.state.write_rps", state.write_rps.to_string()),
        ("deployment.state.value_kb", state.value_kb.to_string()),
        ("deployment.state.txn_ops", state.txn_ops.to_string()),
        ("deployment.cloud.rps", cloud.rps.to_string()),
        ("deployment.cloud.list_lag_s", cloud.list_lag_s.to_string()),
        ("deployment.quota.core_share", quota.core_share.to_string()),
        ("deployment.quota.mem_mb", quota.mem_mb.to_string()),
        (
            "deployment.quota.max_sockets",
            quota.max_sockets.to_string(),
        ),
        (
            "sockets for direct calls",
            quota.direct_sockets().to_string(),
        ),
        ("drift of clocks", settings::MAX_CLOCK_DRIFT.to_string()),
    ];
    let mut values: Vec<(String, String)> = single
        .into_iter()
        .map(|(key, value)| (key.to_owned(), value))
        .collect();
    let mut push = |list: &str, i: usize, fields: Vec<(&str, String)>| {
        for (name, value) in fields {
            values.push((format!("{list}[{i}].{name}"), value));
        }
    };
    for (i, seed) in settings.peers.iter().enumerate() {
        let fields = vec![
            ("label", seed.label.clone()),
            ("site", seed.zone.clone()),
            ("address", seed.address.to_string()),
        ];
        push("seeds", i, fields);
    }
    for (i, team) in deployment.teams.iter().enumerate() {
        let fields = vec![
            ("name", team.name.clone()),
            ("cpus", team.cpus.to_string()),
            ("cpus_max", team.cpus_max.to_string()),
            ("gpus", team.gpus.to_string()),
            ("gpus_max", team.gpus_max.to_string()),
        ];
        push("deployment.teams", i, fields);
    }
    let optional = |value: Option<f64>| value.map_or("none".to_owned(), |value| value.to_string());
    for (i, objective) in deployment.objectives.iter().enumerate() {
        let fields = vec![
            ("kind", objective.kind.clone()),
            ("class", objective.class.clone()),
            ("within_s", optional(objective.within_s)),
            ("share", optional(objective.share)),
        ];
        push("deployment.objectives", i, fields);
    }
    values
}

/// The lines of the settings file that set a known key.
fn lines_with_keys() -> Vec<&'static str> {
    SETTINGS
        .lines()
        .filter(|line| line.contains('=') && !line.starts_with("unknown_field"))
        .collect()
}

#[test]
fn every_key_of_the_settings_keeps_its_meaning() {
    let mut file = PinnedFile::open("settings");
    for (key, value) in values_of(&parse(SETTINGS)) {
        file.pin_text(&key, &value);
    }
    file.finish();
}

/// Removes each line with a key from the settings in turn, and pins the default or the error that results. If several
/// lines are equal, only the first of them is removed.
#[test]
fn settings_without_a_key_keep_their_defaults_and_errors() {
    let mut file = PinnedFile::open("settings_without_a_key");
    let mut seen = Vec::new();
    for line in lines_with_keys() {
        let text = SETTINGS.replacen(&format!("{line}\n"), "\n", 1);
        let result = match Settings::parse(&text) {
            Err(error) => error.to_string(),
            Ok(settings) => {
                let whole = values_of(&parse(SETTINGS));
                let changed: Vec<String> = values_of(&settings)
                    .into_iter()
                    .filter(|pair| !whole.contains(pair))
                    .map(|(key, value)| format!("{key} = {value}"))
                    .collect();
                format!("changed: {}", changed.join(", "))
            }
        };
        if !seen.contains(&line) {
            file.pin_text(&format!("without {line}"), &result);
            seen.push(line);
        }
    }
    file.finish();
}

#[test]
fn error_messages_of_the_settings_keep_their_texts() {
    let mut file = PinnedFile::open("settings_errors");
    let positive_keys = [
        "report_s = 2.5",
        "lease_s = 10.5",
        "cancel_s = 30.25",
        "rps = 150.0",
        "write_rps = 60.0",
        "value_kb = 8.0",
        "rps = 4.0",
        "core_share = 0.12",
        "mem_mb = 104.0",
        "list_lag_s = 5.0",
        "skew_ms = 101.0",
        "cpus = 16.0",
        "cpus_max = 40.0",
        "gpus = 2.0",
        "gpus_max = 9.0",
    ];
    let mut cases = Vec::new();
    for line in positive_keys {
        let (key, _) = line
            .split_once(" = ")
            .expect("the line has no equals sign between spaces");
        for value in ["-1.0", "0.0", "nan", "inf", "\"long\""] {
            cases.push((line, format!("{key} = {value}")));
        }
    }
    for (line, wrong) in [
        ("label = \"rung-1\"", "label = \"\""),
        ("label = \"rung-1\"", "label = 5"),
        ("label = \"rung-2\"", "label = \"\""),
        ("label = \"rung-2\"", "label = \"rung-1\""),
        ("label = \"rung-3\"", "label = \"rung-2\""),
        (
            "peer_bind = \"10.0.0.1:8081\"",
            "peer_bind = \"10.0.0.1:8080\"",
        ),
        ("bind = \"10.0.0.1:8080\"", "bind = \"nowhere\""),
        ("initial_size = 3", "initial_size = 0"),
        ("initial_size = 3", "initial_size = -1"),
        ("zones = [\"a\", \"b\"]", "zones = []"),
        ("txn_ops = 48", "txn_ops = 3"),
        ("max_sockets = 1000", "max_sockets = 31"),
        ("lease_s = 10.5", "lease_s = 2.5"),
        ("name = \"vision\"", "name = \"\""),
        ("name = \"guest\"", "name = \"vision\""),
        // Each of these exceeds its maximum: `cpus_max` is 40.0, and `gpus_max` is 9.0.
        ("cpus = 16.0", "cpus = 40.5"),
        ("gpus = 2.0", "gpus = 9.5"),
        ("[services]", "[services"),
    ] {
        cases.push((line, wrong.to_owned()));
    }
    for (line, wrong) in cases {
        assert!(
            SETTINGS.contains(&format!("{line}\n")),
            "the settings file does not contain the line {line:?}"
        );
        let text = SETTINGS.replacen(&format!("{line}\n"), &format!("{wrong}\n"), 1);
        let result = match Settings::parse(&text) {
            Ok(_) => "taken".to_owned(),
            Err(error) => error.to_string(),
        };
        file.pin_text(&format!("{line} -> {wrong}"), &result);
    }
    file.finish();
}

/// A pool of on-demand instances and a pool of spot instances. Within a pool, all variables have different values.
fn pools() -> [(&'static str, PoolState); 2] {
    let ordinary = PoolState {
        spot: false,
        boot_time_s: 20.0,
        hourly: 1.25,
        cpus: 8.0,
        busy: 3,
        machines: 50,
        waiting: 700,
    };
    let spot = PoolState {
        spot: true,
        busy: 0,
        machines: 6,
        ..ordinary
    };
    [("ordinary", ordinary), ("spot", spot)]
}

#[test]
fn figures_of_policies_keep_their_names_and_values() {
    let mut file = PinnedFile::open("policy");
    file.pin_text("built-in file", BUILT_IN_POLICY);
    let settings = parse(SETTINGS);
    for (name, text) in [
        ("built-in", BUILT_IN_POLICY),
        ("every name", POLICY),
        ("empty", ""),
    ] {
        let policy = Policy::parse(text, name, &settings).expect("the policy was rejected");
        for (kind, pool) in pools() {
            let parameters = policy.parameters(&pool);
            for (figure, value) in [
                ("pickup_s", parameters.pickup_s),
                ("min_machines", f64::from(parameters.min)),
                ("max_machines", f64::from(parameters.max)),
                ("cooldown_s", parameters.cooldown_s),
                ("window_s", parameters.window_s),
                ("headroom", parameters.headroom),
            ] {
                file.pin_text(&format!("{name}, {kind}, {figure}"), &value.to_string());
            }
        }
    }
    file.finish();
}

#[test]
fn each_variable_of_policies_keeps_its_meaning() {
    let mut file = PinnedFile::open("policy_variables");
    let settings = parse(SETTINGS);
    for variable in [
        "report_s",
        "lease_s",
        "list_lag_s",
        "ready_s",
        "hourly",
        "cpus",
        "busy",
        "machines",
        "waiting",
    ] {
        let text = format!("cooldown_s = {variable}");
        let policy = Policy::parse(&text, "my.policy", &settings).expect("the policy was rejected");
        for (kind, pool) in pools() {
            let value = policy.parameters(&pool).cooldown_s;
            file.pin_text(&format!("{variable}, {kind}"), &value.to_string());
        }
    }
    file.finish();
}

#[test]
fn error_messages_of_policies_keep_their_texts() {
    let mut file = PinnedFile::open("policy_problems");
    let settings = parse(SETTINGS);
    let too_long = format!("pickup_s = {}1.0", "1.0 + ".repeat(200));
    let cases = [
        ("no figure", "nonsense"),
        ("unknown figure", "# a remark\n\nspeed = 2.0"),
        ("no expression", "pickup_s ="),
        ("too long", too_long.as_str()),
        ("unknown variable", "pickup_s = report + rapport"),
        ("integer", "pickup_s = 2"),
        ("truth value", "pickup_s = spot"),
        ("integer times decimal", "pickup_s = 2 * report_s"),
        ("too low", "pickup_s = -report_s"),
        ("too high", "headroom = spot ? 0.0 : 11.0"),
        ("division by zero", "cooldown_s = ready_s / busy"),
        ("twice", "headroom = 0.1\nheadroom = 0.2"),
        ("several", "window_s = x\npickup_s = 0.0\nfoo = 1.0"),
        ("least pickup_s", "pickup_s = 0.09"),
        ("least min_machines", "min_machines = -1.0"),
        ("least max_machines", "max_machines = -1.0"),
        ("least cooldown_s", "cooldown_s = -1.0"),
        ("least window_s", "window_s = 0.9"),
        ("least headroom", "headroom = -1.0"),
        ("most pickup_s", "pickup_s = 86401.0"),
        ("most min_machines", "min_machines = 100001.0"),
        ("most max_machines", "max_machines = 100001.0"),
        ("most cooldown_s", "cooldown_s = 86401.0"),
        ("most window_s", "window_s = 86401.0"),
        ("most headroom", "headroom = 10.1"),
    ];
    for (case, text) in cases {
        let problems = Policy::parse(text, "my.policy", &settings).expect_err(case);
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        file.pin_text(case, &lines.join("\n"));
    }
    file.finish();
}
