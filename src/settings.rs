//! The platform's settings file: reading and checking.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// A settings file that the service refuses, with the field and the reason.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// Not TOML, or a field is missing or of the wrong kind.
    #[error("{0}")]
    Malformed(String),
    /// A field has a value that cannot be.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field.
        field: String,
        /// Why.
        reason: String,
    },
}

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub label: String,
    /// This node's zone.
    pub site: String,
    /// Address for users, workers and health checks.
    pub bind: SocketAddr,
    /// Address for the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds", default)]
    pub peers: Vec<PeerAddress>,
    /// Outside systems.
    pub services: Services,
    /// The deployment.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// Its name.
    pub label: String,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its address for controllers.
    pub address: SocketAddr,
}

/// Addresses of the outside systems.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Cloud API.
    pub cloud: SocketAddr,
    /// State service.
    pub state: SocketAddr,
}

/// What is deployed.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers.
    pub initial_size: u32,
    /// Zones with machines.
    pub zones: Vec<String>,
    /// Bound of the error of the time of day.
    #[serde(default)]
    pub skew_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The users' aims.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Worker protocol.
    pub workers: WorkerSettings,
    /// State service.
    pub state: StateLimits,
    /// Cloud.
    pub cloud: CloudLimits,
    /// What a controller may use.
    pub quota: Limits,
}

/// A team's guarantee and limit; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// CPU limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// GPU limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of aim.
    pub kind: String,
    /// Class of jobs.
    #[serde(default)]
    pub class: String,
    /// Time within which it is to happen.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share that is to meet it.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Figures of the worker protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval of reports.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Lease of a session.
    pub lease_s: f64,
    /// Time for the tasks of a cancelled job to be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all nodes together.
    pub rps: f64,
    /// Changes per second, of all nodes together.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, of all nodes together.
    pub rps: f64,
    /// Usual lag of the machine list.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub core_share: f64,
    /// Memory.
    pub mem_mb: f64,
    /// Sockets.
    pub max_sockets: usize,
}

/// Share of the sockets for direct calls to workers.
const DIRECT_SHARE: f64 = 0.12;

impl Limits {
    /// Sockets for direct calls to workers.
    pub fn direct_sockets(&self) -> usize {
        (self.max_sockets as f64 * DIRECT_SHARE) as usize
    }
}

/// Steady clocks run apart by at most this share.
pub const DRIFT: f64 = 0.0005;

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Reads and checks a text.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Malformed(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field: &str, reason: &str| {
            Err(SettingsError::Invalid {
                field: field.to_owned(),
                reason: reason.to_owned(),
            })
        };
        let d = &self.deployment;
        for (field, value) in [
            (
                "deployment.workers.report_s",
                d.workers.heartbeat_interval_s,
            ),
            ("deployment.workers.lease_s", d.workers.lease_s),
            ("deployment.workers.cancel_s", d.workers.cancel_s),
            ("deployment.state.rps", d.state.rps),
            ("deployment.state.write_rps", d.state.write_rps),
            ("deployment.state.value_kb", d.state.value_kb),
            ("deployment.cloud.rps", d.cloud.rps),
            ("deployment.quota.core_share", d.quota.core_share),
            ("deployment.quota.mem_mb", d.quota.mem_mb),
        ] {
            if !(value.is_finite() && value > 0.0) {
                return invalid(field, "must be a number above 0");
            }
        }
        for (field, value) in [
            ("deployment.cloud.list_lag_s", d.cloud.list_lag_s),
            ("deployment.skew_ms", d.skew_ms),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return invalid(field, "must be a number of at least 0");
            }
        }
        if self.label.is_empty() {
            return invalid("label", "must not be empty");
        }
        if self.bind == self.peer_bind {
            return invalid("peer_bind", "must differ from bind");
        }
        if d.initial_size == 0 {
            return invalid("deployment.initial_size", "must be at least 1");
        }
        if d.zones.is_empty() {
            return invalid("deployment.zones", "must name a zone");
        }
        if d.state.txn_ops < 4 {
            return invalid("deployment.state.txn_ops", "must be at least 4");
        }
        if d.quota.max_sockets < 32 {
            return invalid("deployment.quota.max_sockets", "must be at least 32");
        }
        if d.workers.heartbeat_interval_s >= d.workers.lease_s {
            return invalid(
                "deployment.workers.report_s",
                "must be shorter than deployment.workers.lease_s",
            );
        }
        for (i, seed) in self.peers.iter().enumerate() {
            let field = format!("seeds[{i}].label");
            if seed.label.is_empty() || seed.label == self.label {
                return invalid(&field, "must be another node's name");
            }
            if self.peers[..i]
                .iter()
                .any(|other| other.label == seed.label)
            {
                return invalid(&field, "is named twice");
            }
        }
        for (i, team) in d.teams.iter().enumerate() {
            let field = |name: &str| format!("deployment.teams[{i}].{name}");
            if team.name.is_empty() || d.teams[..i].iter().any(|t| t.name == team.name) {
                return invalid(&field("name"), "must be a name of its own");
            }
            for (name, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !(value.is_finite() && value >= 0.0) {
                    return invalid(&field(name), "must be a number of at least 0");
                }
            }
            if team.cpus_max > 0.0 && team.cpus > team.cpus_max {
                return invalid(&field("cpus"), "must not exceed cpus_max");
            }
            if team.gpus_max > 0.0 && team.gpus > team.gpus_max {
                return invalid(&field("gpus"), "must not exceed gpus_max");
            }
        }
        Ok(())
    }
}
