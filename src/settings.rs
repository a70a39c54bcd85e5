//! Reads and checks the settings file.
//!
//! A controller reads the file once, when it starts. Where the key in the file differs from the name of the field, the
//! field has a `serde(rename)`. `docs/architecture.md` says where each value is used.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Why a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error that the operating system reported.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing or of the wrong type. Contains the message of the parser.
    #[error("{0}")]
    Malformed(String),
    /// A field has a value that is not allowed.
    #[error("invalid setting {field}: {reason}")]
    Invalid {
        /// Path of the field in the file.
        field: String,
        /// Which rule the value breaks.
        reason: String,
    },
}

/// The settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, which differs from the names of the others.
    pub label: String,
    /// Zone in which this controller runs.
    #[serde(rename = "site")]
    pub zone: String,
    /// Address on which the controller accepts requests from users and workers, and health checks.
    pub bind: SocketAddr,
    /// Address on which the controller accepts connections from the other controllers.
    pub peer_bind: SocketAddr,
    /// Names and addresses of the other controllers.
    #[serde(rename = "seeds", default)]
    pub peers: Vec<PeerAddress>,
    /// Addresses of the cloud API and the state service.
    pub services: Services,
    /// Settings that all controllers of the deployment have in common.
    pub deployment: Deployment,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerAddress {
    /// Name of the other controller: the `label` in its own settings.
    pub label: String,
    /// Zone in which the other controller runs; empty if not given.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Address to connect to: the `peer_bind` in the settings of the other controller.
    pub address: SocketAddr,
}

/// Addresses of the services that a controller calls.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// Address of the cloud API.
    pub cloud: SocketAddr,
    /// Address of the state service.
    pub state: SocketAddr,
}

/// Settings that all controllers of the deployment have in common.
#[derive(Debug, Clone, Deserialize)]
pub struct Deployment {
    /// Number of controllers in the deployment, this one included.
    pub initial_size: u32,
    /// Zones in which instances can be provisioned.
    pub zones: Vec<String>,
    /// Largest difference between a controller's wall clock and the true time, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
    /// Teams that may submit jobs; a job of any other team is rejected.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service objectives for classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Durations that the worker protocol prescribes.
    pub workers: WorkerSettings,
    /// Limits that the state service imposes.
    pub state: StateServiceLimits,
    /// Limits of the cloud API, and the lag of its list.
    pub cloud: CloudLimits,
    /// Resources that a controller may use.
    pub quota: ControllerLimits,
}

/// The resources that are guaranteed to a team and the limits on its use; 0 means no guarantee or no limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as jobs state it; unique.
    pub name: String,
    /// Number of CPUs that are guaranteed to the team.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs that the team's tasks may use together.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of GPUs that are guaranteed to the team.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs that the team's tasks may use together.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of objective: `finished` for the completion of a job, `wait` for the start of its tasks. Other kinds are
    /// accepted and have no effect.
    pub kind: String,
    /// Class of the jobs that the objective is for; empty for the jobs whose class is empty.
    #[serde(default)]
    pub class: String,
    /// Time within which the objective is to be met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the cases in which it is to be met within that time.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Durations that the worker protocol prescribes, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Interval between a worker's heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Duration of a worker's lease: a worker that has had no response to a heartbeat for this long ends its tasks.
    pub lease_s: f64,
    /// Time after the confirmation of a cancellation within which all tasks of the job must have ended.
    pub cancel_s: f64,
}

/// Limits that the state service imposes.
#[derive(Debug, Clone, Deserialize)]
pub struct StateServiceLimits {
    /// Most requests per second from all controllers together.
    pub rps: f64,
    /// Most writes per second from all controllers together.
    pub write_rps: f64,
    /// Largest size of a stored value, in KiB.
    pub value_kb: f64,
    /// Most writes in a transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud API, and the lag of its list.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Most requests per second from all controllers together.
    pub rps: f64,
    /// Usual time after which the list of instances shows that an instance was created or deleted, in seconds.
    pub list_lag_s: f64,
}

/// Resources that a controller may use.
#[derive(Debug, Clone, Deserialize)]
pub struct ControllerLimits {
    /// Share of one CPU core that the process may use; 1.0 is a whole core.
    pub core_share: f64,
    /// Memory that the process may use, in MB.
    pub mem_mb: f64,
    /// Most sockets that the process may have open.
    pub max_sockets: usize,
}

/// Least value allowed for `txn_ops`.
const MIN_TXN_OPS: usize = 4;
/// Least value allowed for `max_sockets`: with fewer sockets a controller cannot work.
const MIN_SOCKETS: usize = 32;
/// Share of `max_sockets` that is set aside for direct calls, which are requests to workers (see
/// [`protocol::worker`](crate::protocol::worker)).
const DIRECT_CALL_SHARE: f64 = 0.12;

impl ControllerLimits {
    /// Number of sockets that are set aside for direct calls to workers.
    pub fn direct_sockets(&self) -> usize {
        (self.max_sockets as f64 * DIRECT_CALL_SHARE) as usize
    }
}

/// Largest relative difference between the rates of the steady clocks of two hosts: 0.0005 s per second.
pub const MAX_CLOCK_DRIFT: f64 = 0.0005;

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.display().to_string(),
            source,
        })?;
        Settings::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Malformed(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the values, and returns the first problem found.
    fn check(&self) -> Result<(), SettingsError> {
        self.deployment.check_numbers()?;
        self.check_controller()?;
        self.deployment.check_minimums()?;
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
                "must be the name of another controller",
            )?;
            let named_before = self.peers[..i]
                .iter()
                .any(|other| other.label == peer.label);
            require(!named_before, &field, "must be unique")?;
        }
        Ok(())
    }
}

impl Deployment {
    fn check_numbers(&self) -> Result<(), SettingsError> {
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
            require_non_negative(value, field)?;
        }
        Ok(())
    }

    fn check_minimums(&self) -> Result<(), SettingsError> {
        require(
            self.initial_size > 0,
            "deployment.initial_size",
            "must be at least 1",
        )?;
        require(
            !self.zones.is_empty(),
            "deployment.zones",
            "must contain at least one zone",
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
                "must be unique and not empty",
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
            require_non_negative(value, &field(name))?;
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

fn require(is_met: bool, field: &str, reason: &str) -> Result<(), SettingsError> {
    if is_met {
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

fn require_non_negative(value: f64, field: &str) -> Result<(), SettingsError> {
    require(
        value.is_finite() && value >= 0.0,
        field,
        "must be a number of at least 0",
    )
}
