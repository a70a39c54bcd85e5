//! The platform's settings file: reading and checking.
//!
//! It is read once, at the start of a controller. Names that differ from the file's are mapped by `serde(rename)`;
//! `docs/architecture.md` says where each value ends up.

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
    /// This controller's name.
    pub label: String,
    /// This controller's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address for users, workers and health checks.
    pub bind: SocketAddr,
    /// Address for the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    #[serde(rename = "seeds", default)]
    pub peers: Vec<PeerAddress>,
    /// The outside services.
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
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its address for controllers.
    pub address: SocketAddr,
}

/// Addresses of the outside services.
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
    /// Bound of the error of the time of day, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// Teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives, by class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Worker protocol.
    pub workers: WorkerSettings,
    /// State service.
    pub state: StateServiceLimits,
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

/// A service objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of objective.
    pub kind: String,
    /// Class of jobs.
    #[serde(default)]
    pub class: String,
    /// Seconds within which it is to happen.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share that is to meet it.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Times of the worker protocol, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval of workers' heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Lease of a worker: without a response to a heartbeat for so long, it ends its tasks.
    pub lease_s: f64,
    /// Time for the tasks of a cancelled job to be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateServiceLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Writes per second, of all controllers together.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Writes in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Usual lag of the instance list, in seconds.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Share of a core.
    pub core_share: f64,
    /// Memory in MB.
    pub mem_mb: f64,
    /// Sockets.
    pub max_sockets: usize,
}

/// The fewest writes that a transaction must be allowed.
const MIN_TXN_OPS: usize = 4;
/// The fewest sockets that a controller can work with.
const MIN_SOCKETS: usize = 32;
/// Share of the sockets for direct calls to workers.
const DIRECT_SHARE: f64 = 0.12;

impl Limits {
    /// Sockets for direct calls to workers.
    pub fn direct_sockets(&self) -> usize {
        (self.max_sockets as f64 * DIRECT_SHARE) as usize
    }
}

/// Steady clocks of different machines run apart by at most this share.
pub const MAX_CLOCK_DRIFT: f64 = 0.0005;

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

    /// Checks the values, section by section, and reports the first problem.
    fn check(&self) -> Result<(), SettingsError> {
        self.deployment.check_amounts()?;
        self.check_controller()?;
        self.deployment.check_sizes()?;
        self.deployment.workers.check()?;
        self.check_peers()?;
        self.deployment.check_teams()
    }

    fn check_controller(&self) -> Result<(), SettingsError> {
        require(!self.label.is_empty(), "label", "must not be empty")?;
        require(
            self.bind != self.peer_bind,
            "peer_bind",
            "must differ from bind",
        )
    }

    fn check_peers(&self) -> Result<(), SettingsError> {
        for (i, peer) in self.peers.iter().enumerate() {
            let field = format!("seeds[{i}].label");
            require(
                !peer.label.is_empty() && peer.label != self.label,
                &field,
                "must be another node's name",
            )?;
            let named_before = self.peers[..i]
                .iter()
                .any(|other| other.label == peer.label);
            require(!named_before, &field, "is named twice")?;
        }
        Ok(())
    }
}

impl Deployment {
    fn check_amounts(&self) -> Result<(), SettingsError> {
        for (field, value) in [
            (
                "deployment.workers.report_s",
                self.workers.heartbeat_interval_s,
            ),
            ("deployment.workers.lease_s", self.workers.lease_s),
            ("deployment.workers.cancel_s", self.workers.cancel_s),
            ("deployment.state.rps", self.state.rps),
            ("deployment.state.write_rps", self.state.write_rps),
            ("deployment.state.value_kb", self.state.value_kb),
            ("deployment.cloud.rps", self.cloud.rps),
            ("deployment.quota.core_share", self.quota.core_share),
            ("deployment.quota.mem_mb", self.quota.mem_mb),
        ] {
            require_positive(value, field)?;
        }
        for (field, value) in [
            ("deployment.cloud.list_lag_s", self.cloud.list_lag_s),
            ("deployment.skew_ms", self.skew_ms),
        ] {
            require_not_negative(value, field)?;
        }
        Ok(())
    }

    fn check_sizes(&self) -> Result<(), SettingsError> {
        require(
            self.initial_size > 0,
            "deployment.initial_size",
            "must be at least 1",
        )?;
        require(
            !self.zones.is_empty(),
            "deployment.zones",
            "must name a zone",
        )?;
        require(
            self.state.txn_ops >= MIN_TXN_OPS,
            "deployment.state.txn_ops",
            "must be at least 4",
        )?;
        require(
            self.quota.max_sockets >= MIN_SOCKETS,
            "deployment.quota.max_sockets",
            "must be at least 32",
        )
    }

    fn check_teams(&self) -> Result<(), SettingsError> {
        for (i, team) in self.teams.iter().enumerate() {
            let named_before = self.teams[..i].iter().any(|other| other.name == team.name);
            require(
                !team.name.is_empty() && !named_before,
                &format!("deployment.teams[{i}].name"),
                "must be a name of its own",
            )?;
            team.check(i)?;
        }
        Ok(())
    }
}

impl WorkerSettings {
    fn check(&self) -> Result<(), SettingsError> {
        require(
            self.heartbeat_interval_s < self.lease_s,
            "deployment.workers.report_s",
            "must be shorter than deployment.workers.lease_s",
        )
    }
}

impl Team {
    fn check(&self, index: usize) -> Result<(), SettingsError> {
        let field = |name: &str| format!("deployment.teams[{index}].{name}");
        for (name, value) in [
            ("cpus", self.cpus),
            ("cpus_max", self.cpus_max),
            ("gpus", self.gpus),
            ("gpus_max", self.gpus_max),
        ] {
            require_not_negative(value, &field(name))?;
        }
        require(
            self.cpus_max <= 0.0 || self.cpus <= self.cpus_max,
            &field("cpus"),
            "must not exceed cpus_max",
        )?;
        require(
            self.gpus_max <= 0.0 || self.gpus <= self.gpus_max,
            &field("gpus"),
            "must not exceed gpus_max",
        )
    }
}

fn require(holds: bool, field: &str, reason: &str) -> Result<(), SettingsError> {
    if holds {
        return Ok(());
    }
    Err(SettingsError::Invalid {
        field: field.to_owned(),
        reason: reason.to_owned(),
    })
}

fn require_positive(value: f64, field: &str) -> Result<(), SettingsError> {
    require(
        value.is_finite() && value > 0.0,
        field,
        "must be a number above 0",
    )
}

fn require_not_negative(value: f64, field: &str) -> Result<(), SettingsError> {
    require(
        value.is_finite() && value >= 0.0,
        field,
        "must be a number of at least 0",
    )
}
