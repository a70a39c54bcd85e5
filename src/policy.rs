//! Reads, checks and evaluates the policy file, in which operators set the parameters of the autoscaler.
//!
//! Each line of a policy file assigns an expression in the language CEL to a parameter. `default.policy` is the
//! built-in policy file; its expressions apply to the parameters that the operators' file does not define.
//!
//! A pool consists of the instances of one instance type in one zone, either on-demand or spot. The names of parameters
//! and variables call an instance a machine.

use crate::settings::Settings;
use cel::{Context, Program, Value};
use std::cell::Cell;
use std::fmt;
use std::path::Path;

/// The text of the built-in policy file.
pub const BUILT_IN_POLICY: &str = include_str!("default.policy");

/// The autoscaler's parameters for one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScalingParameters {
    /// Time within which an instance should start a waiting task, in seconds.
    pub pickup_s: f64,
    /// Least number of instances that the pool keeps, idle ones included.
    pub min: u32,
    /// Largest number of instances that the pool may have; at least `min`.
    pub max: u32,
    /// Time for which an instance must be idle before the autoscaler may delete it, in seconds.
    pub cooldown_s: f64,
    /// Window over which the rates of task starts and finishes are measured, in seconds.
    pub window_s: f64,
    /// Share of the forecast demand that is kept as additional instances.
    pub headroom: f64,
}

/// The state of a pool, which expressions can use as variables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolState {
    /// Whether the pool consists of spot instances.
    pub spot: bool,
    /// Usual boot time of an instance, in seconds.
    pub boot_time_s: f64,
    /// Price of an instance per hour, in the unit of the cloud's list of instance types.
    pub hourly: f64,
    /// Number of CPUs of an instance.
    pub cpus: f64,
    /// Number of instances that have tasks.
    pub busy: u32,
    /// Number of instances, idle ones included.
    pub machines: u32,
    /// Number of tasks that wait for an instance of the pool.
    pub waiting: u32,
}

/// A problem in a policy file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicyProblem {
    /// Path of the file.
    pub file: String,
    /// Line number, from 1; 0 if the problem concerns the file as a whole.
    pub line: usize,
    /// Name of the parameter: the text to the left of the '=', or the whole line if it has none. Empty if the file
    /// cannot be read.
    pub name: String,
    /// Description of the problem, for the operator.
    pub message: String,
}

impl fmt::Display for PolicyProblem {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.name.is_empty() {
            write!(f, "{}: ", self.name)?;
        }
        f.write_str(&self.message)
    }
}

/// The parameters, each with its least and its largest allowed value. [`Policy::parameters`] relies on the order of the
/// array.
const PARAMETERS: [(&str, f64, f64); 6] = [
    ("pickup_s", 0.1, 86_400.0),
    ("min_machines", 0.0, 100_000.0),
    ("max_machines", 0.0, 100_000.0),
    ("cooldown_s", 0.0, 86_400.0),
    ("window_s", 1.0, 86_400.0),
    ("headroom", 0.0, 10.0),
];

/// The variables that expressions can use. All are decimal numbers except `spot`, which is a boolean.
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

/// Longest expression allowed, in bytes.
const MAX_EXPRESSION_LEN: usize = 1000;

/// Values of the settings file that expressions can use as variables.
#[derive(Debug, Clone, Copy)]
struct SettingsVariables {
    heartbeat_interval_s: f64,
    lease_s: f64,
    list_lag_s: f64,
}

/// The compiled expressions of a policy.
#[derive(Debug)]
pub struct Policy {
    /// Expressions that apply, in the order of [`PARAMETERS`].
    programs: Vec<Program>,
    /// Expressions of the built-in policy, in the order of [`PARAMETERS`].
    defaults: Vec<Program>,
    settings_variables: SettingsVariables,
    /// Whether a failed expression was logged; only the first one is.
    failure_logged: Cell<bool>,
}

impl Policy {
    /// Creates the built-in policy.
    pub fn built_in(settings: &Settings) -> Policy {
        match Policy::parse(BUILT_IN_POLICY, "built-in", settings) {
            Ok(policy) => policy,
            // Cannot happen: a test checks that the built-in policy is valid. An empty policy would give each
            // parameter its least value; the largest number of instances would be 0, and none would be provisioned.
            Err(_) => Policy::empty(settings),
        }
    }

    fn empty(settings: &Settings) -> Policy {
        let deployment = &settings.deployment;
        Policy {
            programs: Vec::new(),
            defaults: Vec::new(),
            settings_variables: SettingsVariables {
                heartbeat_interval_s: deployment.workers.heartbeat_interval_s,
                lease_s: deployment.workers.lease_s,
                list_lag_s: deployment.cloud.list_lag_s,
            },
            failure_logged: Cell::new(false),
        }
    }

    /// Reads and checks a policy file. For parameters that the file does not define, the expressions of the built-in
    /// policy apply.
    pub fn load(path: &Path, settings: &Settings) -> Result<Policy, Vec<PolicyProblem>> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            vec![PolicyProblem {
                file: file.clone(),
                line: 0,
                name: String::new(),
                message: error.to_string(),
            }]
        })?;
        Policy::parse(&text, &file, settings)
    }

    /// Parses and checks the text of a policy file. Returns all problems if there are any; `file` is the path that they
    /// state.
    pub fn parse(
        text: &str,
        file: &str,
        settings: &Settings,
    ) -> Result<Policy, Vec<PolicyProblem>> {
        let mut policy = Policy::empty(settings);
        let mut problems = Vec::new();
        let defaults = parse_expressions(BUILT_IN_POLICY, "built-in", &mut problems);
        let expressions = parse_expressions(text, file, &mut problems);
        for (name, min_value, max_value) in PARAMETERS {
            let default = defaults.iter().find(|e| e.name == name);
            let Some(expression) = expressions.iter().find(|e| e.name == name).or(default) else {
                problems.push(PolicyProblem {
                    file: file.to_owned(),
                    line: 0,
                    name: name.to_owned(),
                    message: "has no expression".to_owned(),
                });
                continue;
            };
            match expression.compile(&policy.settings_variables, min_value, max_value) {
                Ok(program) => policy.programs.push(program),
                Err(message) => problems.push(PolicyProblem {
                    file: expression.file.clone(),
                    line: expression.line,
                    name: name.to_owned(),
                    message,
                }),
            }
            if let Some(Ok(program)) =
                default.map(|e| e.compile(&policy.settings_variables, min_value, max_value))
            {
                policy.defaults.push(program);
            }
        }
        if problems.is_empty() {
            return Ok(policy);
        }
        problems.sort_by_key(|problem| problem.line);
        Err(problems)
    }

    /// Evaluates the parameters for a pool. If an expression fails for this pool, the expression of the built-in policy
    /// is used, and if that fails too, the least allowed value. Only the first failure of an expression of this policy
    /// is logged.
    pub fn parameters(&self, pool: &PoolState) -> ScalingParameters {
        let value = |i: usize| -> f64 {
            let (name, min_value, max_value) = PARAMETERS[i];
            let result = self
                .programs
                .get(i)
                .ok_or_else(|| "no expression".to_owned())
                .and_then(|program| {
                    evaluate(
                        program,
                        &self.settings_variables,
                        pool,
                        min_value,
                        max_value,
                    )
                });
            result.unwrap_or_else(|reason| {
                if !self.failure_logged.replace(true) {
                    tracing::error!(
                        name,
                        what = reason,
                        "policy expression failed: default used"
                    );
                }
                self.defaults
                    .get(i)
                    .and_then(|p| {
                        evaluate(p, &self.settings_variables, pool, min_value, max_value).ok()
                    })
                    .unwrap_or(min_value)
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

/// An assignment in a policy file.
struct Expression {
    file: String,
    /// Line number, from 1.
    line: usize,
    /// Name of the parameter.
    name: String,
    /// CEL source of the expression.
    text: String,
}

/// Returns the assignments in a policy file. Empty lines and comments are skipped; for every other line that is not a
/// valid assignment, a problem is added to `problems`.
fn parse_expressions(text: &str, file: &str, problems: &mut Vec<PolicyProblem>) -> Vec<Expression> {
    let mut expressions: Vec<Expression> = Vec::new();
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (name, expression) = line.split_once('=').unwrap_or((line, ""));
        let (name, expression) = (name.trim(), expression.trim());
        let message = if !PARAMETERS.iter().any(|(parameter, ..)| *parameter == name) {
            let names: Vec<&str> = PARAMETERS
                .iter()
                .map(|(parameter, ..)| *parameter)
                .collect();
            format!("unknown parameter; the parameters are {}", names.join(", "))
        } else if expression.is_empty() {
            "an expression is missing after '='".to_owned()
        } else if expression.len() > MAX_EXPRESSION_LEN {
            format!("the expression is longer than {MAX_EXPRESSION_LEN} bytes")
        } else if expressions.iter().any(|other| other.name == name) {
            "is defined twice".to_owned()
        } else {
            expressions.push(Expression {
                file: file.to_owned(),
                line: i + 1,
                name: name.to_owned(),
                text: expression.to_owned(),
            });
            continue;
        };
        problems.push(PolicyProblem {
            file: file.to_owned(),
            line: i + 1,
            name: name.to_owned(),
            message,
        });
    }
    expressions
}

impl Expression {
    /// Compiles the expression and evaluates it for six sample pools, so that most values of a wrong type or out of
    /// range are found when the file is checked. Returns a description of the first problem as the error.
    fn compile(
        &self,
        settings_variables: &SettingsVariables,
        min_value: f64,
        max_value: f64,
    ) -> Result<Program, String> {
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
                "unknown variable {}; the variables are {}",
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
                evaluate(&program, settings_variables, &pool, min_value, max_value)?;
            }
        }
        Ok(program)
    }
}

/// Evaluates an expression for a pool. Returns a description of the problem if the value is not a decimal number or is
/// out of range.
fn evaluate(
    program: &Program,
    settings_variables: &SettingsVariables,
    pool: &PoolState,
    min_value: f64,
    max_value: f64,
) -> Result<f64, String> {
    let mut context = Context::default();
    let numbers = [
        ("report_s", settings_variables.heartbeat_interval_s),
        ("lease_s", settings_variables.lease_s),
        ("list_lag_s", settings_variables.list_lag_s),
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
                "wrong type: the value is of type {}, not float; write decimal numbers with a point, such as 2.0",
                other.type_of()
            ));
        }
        Err(error) => return Err(format!("wrong type or value: {error}")),
    };
    if !value.is_finite() || value < min_value || value > max_value {
        return Err(format!(
            "out of range: {value} is not between {min_value} and {max_value}"
        ));
    }
    Ok(value)
}
