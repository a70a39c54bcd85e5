//! Operators' own settings: a file of expressions for the autoscaler's figures, with a checker.
//!
//! The language is CEL. The built-in figures are such a file too, `default.policy`.

use crate::settings::Settings;
use cel::{Context, Program, Value};
use std::cell::Cell;
use std::fmt;
use std::path::Path;

/// The built-in figures.
pub const BUILT_IN_POLICY: &str = include_str!("default.policy");

/// ScalingParameters for one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingParameters {
    /// Time within which a waiting task should be picked up.
    pub pickup_s: f64,
    /// Least machines.
    pub min: u32,
    /// Most machines.
    pub max: u32,
    /// How long a machine stays idle before it may be given back.
    pub cooldown_s: f64,
    /// Window over which rates are counted.
    pub window_s: f64,
    /// Machines kept beyond the forecast, as a share of it.
    pub headroom: f64,
}

/// What a pool's figures may depend on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolState {
    /// Spot machines.
    pub spot: bool,
    /// Usual boot time.
    pub boot_time_s: f64,
    /// Price per hour.
    pub hourly: f64,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Machines with tasks.
    pub busy: u32,
    /// All machines.
    pub machines: u32,
    /// Tasks that wait for the pool.
    pub waiting: u32,
}

/// A problem in a policy file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, from 1; 0: the file as a whole.
    pub line: usize,
    /// The figure, if it is known.
    pub name: String,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.name.is_empty() {
            write!(f, "{}: ", self.name)?;
        }
        f.write_str(&self.what)
    }
}

/// Names of the figures with the least and largest value that each may have.
const NAMES: [(&str, f64, f64); 6] = [
    ("pickup_s", 0.1, 86_400.0),
    ("min_machines", 0.0, 100_000.0),
    ("max_machines", 0.0, 100_000.0),
    ("cooldown_s", 0.0, 86_400.0),
    ("window_s", 1.0, 86_400.0),
    ("headroom", 0.0, 10.0),
];

/// What expressions may use; all are numbers but `spot`.
const VARIABLES: [&str; 10] = [
    "report_s",
    "lease_s",
    "list_lag_s",
    "spot",
    "ready_s",
    "hourly",
    "cpus",
    "busy",
    "machines",
    "waiting",
];

/// The longest expression taken.
const MAX_LENGTH: usize = 1000;

/// ScalingParameters of the settings that expressions may use.
#[derive(Debug, Clone, Copy)]
struct Platform {
    heartbeat_interval_s: f64,
    lease_s: f64,
    list_lag_s: f64,
}

/// ScalingParameters as expressions.
#[derive(Debug)]
pub struct Policy {
    programs: Vec<Program>,
    defaults: Vec<Program>,
    platform: Platform,
    complained: Cell<bool>,
}

impl Policy {
    /// The built-in figures.
    pub fn built_in(settings: &Settings) -> Policy {
        match Policy::parse(BUILT_IN_POLICY, "built-in", settings) {
            Ok(policy) => policy,
            // A test checks the built-in file; without figures nothing is scaled.
            Err(_) => Policy::empty(settings),
        }
    }

    fn empty(settings: &Settings) -> Policy {
        let d = &settings.deployment;
        Policy {
            programs: Vec::new(),
            defaults: Vec::new(),
            platform: Platform {
                heartbeat_interval_s: d.workers.heartbeat_interval_s,
                lease_s: d.workers.lease_s,
                list_lag_s: d.cloud.list_lag_s,
            },
            complained: Cell::new(false),
        }
    }

    /// Reads and checks a file; figures that it does not name keep their default.
    pub fn load(path: &Path, settings: &Settings) -> Result<Policy, Vec<Problem>> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![Problem {
                file: file.clone(),
                line: 0,
                name: String::new(),
                what: error.to_string(),
            }]
        })?;
        Policy::parse(&text, &file, settings)
    }

    /// Reads and checks a text, and names all its problems.
    pub fn parse(text: &str, file: &str, settings: &Settings) -> Result<Policy, Vec<Problem>> {
        let mut policy = Policy::empty(settings);
        let mut problems = Vec::new();
        let defaults = read(BUILT_IN_POLICY, "built-in", &mut problems);
        let given = read(text, file, &mut problems);
        for (name, least, most) in NAMES {
            let default = defaults.iter().find(|e| e.name == name);
            let Some(expression) = given.iter().find(|e| e.name == name).or(default) else {
                problems.push(Problem {
                    file: file.to_owned(),
                    line: 0,
                    name: name.to_owned(),
                    what: "has no expression".to_owned(),
                });
                continue;
            };
            match expression.compile(&policy.platform, least, most) {
                Ok(program) => policy.programs.push(program),
                Err(what) => problems.push(Problem {
                    file: expression.file.clone(),
                    line: expression.line,
                    name: name.to_owned(),
                    what,
                }),
            }
            if let Some(Ok(program)) = default.map(|e| e.compile(&policy.platform, least, most)) {
                policy.defaults.push(program);
            }
        }
        if problems.is_empty() {
            return Ok(policy);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(problems)
    }

    /// The figures of a pool. An expression that fails for these values gives way to the default.
    pub fn parameters(&self, pool: &PoolState) -> ScalingParameters {
        let value = |i: usize| -> f64 {
            let (name, least, most) = NAMES[i];
            let own = self
                .programs
                .get(i)
                .ok_or_else(|| "no expression".to_owned())
                .and_then(|program| evaluate(program, &self.platform, pool, least, most));
            own.unwrap_or_else(|what| {
                if !self.complained.replace(true) {
                    tracing::error!(name, what, "policy expression failed: default used");
                }
                self.defaults
                    .get(i)
                    .and_then(|p| evaluate(p, &self.platform, pool, least, most).ok())
                    .unwrap_or(least)
            })
        };
        let min = value(1) as u32;
        ScalingParameters {
            pickup_s: value(0),
            min,
            max: (value(2) as u32).max(min),
            cooldown_s: value(3),
            window_s: value(4),
            headroom: value(5),
        }
    }
}

struct Expression {
    file: String,
    line: usize,
    name: String,
    text: String,
}

/// Splits a file into its expressions; notes the lines that are none.
fn read(text: &str, file: &str, problems: &mut Vec<Problem>) -> Vec<Expression> {
    let mut found: Vec<Expression> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (name, expression) = line.split_once('=').unwrap_or((line, ""));
        let (name, expression) = (name.trim(), expression.trim());
        let what = if !NAMES.iter().any(|(known, ..)| *known == name) {
            let names: Vec<&str> = NAMES.iter().map(|(known, ..)| *known).collect();
            format!("no such figure; there are {}", names.join(", "))
        } else if expression.is_empty() {
            "an expression is missing after '='".to_owned()
        } else if expression.len() > MAX_LENGTH {
            format!("longer than {MAX_LENGTH} characters")
        } else if found.iter().any(|other| other.name == name) {
            "is given twice".to_owned()
        } else {
            found.push(Expression {
                file: file.to_owned(),
                line: i + 1,
                name: name.to_owned(),
                text: expression.to_owned(),
            });
            continue;
        };
        problems.push(Problem {
            file: file.to_owned(),
            line: i + 1,
            name: name.to_owned(),
            what,
        });
    }
    found
}

impl Expression {
    /// Compiles it and tries it on samples, so that a wrong type or range shows before it matters.
    fn compile(&self, platform: &Platform, least: f64, most: f64) -> Result<Program, String> {
        let program = Program::compile(&self.text).map_err(|errors| {
            let first = errors.errors.first();
            format!(
                "does not parse: {}",
                first.map_or("", |error| error.msg.trim())
            )
        })?;
        let references = program.references();
        let mut unknown: Vec<&str> = references
            .variables()
            .into_iter()
            .filter(|name| !VARIABLES.contains(name))
            .collect();
        unknown.sort_unstable();
        if !unknown.is_empty() {
            return Err(format!(
                "unknown variable {}; there are {}",
                unknown.join(", "),
                VARIABLES.join(", ")
            ));
        }
        for spot in [false, true] {
            for (busy, machines, waiting) in [(0, 0, 0), (3, 5, 0), (40, 40, 1000)] {
                let pool = PoolState {
                    spot,
                    boot_time_s: 30.0,
                    hourly: 1.0,
                    cpus: 8.0,
                    busy,
                    machines,
                    waiting,
                };
                evaluate(&program, platform, &pool, least, most)?;
            }
        }
        Ok(program)
    }
}

fn evaluate(
    program: &Program,
    platform: &Platform,
    pool: &PoolState,
    least: f64,
    most: f64,
) -> Result<f64, String> {
    let mut context = Context::default();
    let numbers = [
        ("report_s", platform.heartbeat_interval_s),
        ("lease_s", platform.lease_s),
        ("list_lag_s", platform.list_lag_s),
        ("ready_s", pool.boot_time_s),
        ("hourly", pool.hourly),
        ("cpus", pool.cpus),
        ("busy", f64::from(pool.busy)),
        ("machines", f64::from(pool.machines)),
        ("waiting", f64::from(pool.waiting)),
    ];
    for (name, number) in numbers {
        context.add_variable_from_value(name, number);
    }
    context.add_variable_from_value("spot", pool.spot);
    let value = match program.execute(&context) {
        Ok(Value::Float(value)) => value,
        Ok(other) => {
            return Err(format!(
                "wrong type: gives a value of type {}, not a decimal number",
                other.type_of()
            ));
        }
        Err(error) => return Err(format!("wrong type or value: {error}")),
    };
    if !value.is_finite() || value < least || value > most {
        return Err(format!(
            "out of range: {value} is not within {least} to {most}"
        ));
    }
    Ok(value)
}
