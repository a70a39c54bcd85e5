//! The resources that teams use, and the teams' quotas and limits, which come from the settings.
//!
//! A team's quota (`cpus`, `gpus`) is the amount that it is guaranteed. Its limit (`cpus_max`, `gpus_max`) is the most
//! that it may use; a limit of 0 means that there is none.

use crate::protocol::job::{JobKind, JobSpec};
use crate::settings::Team;
use std::collections::HashMap;

/// Tolerance for the rounding errors of sums of decimal amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// CPUs and GPUs in use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPU cores.
    pub cpus: f64,
    /// GPU devices.
    pub gpus: f64,
}

/// A team's settings and the resources that its bound tasks use.
#[derive(Debug, Clone)]
struct TeamUsage {
    team: Team,
    used: ResourceUsage,
}

/// The teams, with the resources that their bound tasks use.
#[derive(Debug, Clone, Default)]
pub struct Quotas {
    teams: HashMap<String, TeamUsage>,
}

impl Quotas {
    /// The teams of the settings, without any bound tasks.
    pub fn new(teams: &[Team]) -> Quotas {
        let unused = |team: &Team| TeamUsage {
            team: team.clone(),
            used: ResourceUsage::default(),
        };
        Quotas {
            teams: teams
                .iter()
                .map(|team| (team.name.clone(), unused(team)))
                .collect(),
        }
    }

    /// Whether the settings contain a team with this name.
    pub fn contains_team(&self, team: &str) -> bool {
        self.teams.contains_key(team)
    }

    /// Whether the limit of the job's team allows the job to run if the team uses nothing else: at least one task of an
    /// array, or all tasks of a service or a gang together. False if there is no such team.
    pub fn can_ever_run(&self, spec: &JobSpec) -> bool {
        let Some(TeamUsage { team, .. }) = self.teams.get(&spec.team) else {
            return false;
        };
        let tasks = match spec.kind {
            JobKind::Array => 1.0,
            JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
        };
        is_within_limit(spec.cpus * tasks, team.cpus_max)
            && is_within_limit(spec.gpus * tasks, team.gpus_max)
    }

    /// Whether one more task that requests these amounts fits under the team's limit. False if there is no such team.
    pub fn has_capacity(&self, team: &str, cpus: f64, gpus: f64) -> bool {
        let Some(TeamUsage { team, used }) = self.teams.get(team) else {
            return false;
        };
        is_within_limit(used.cpus + cpus, team.cpus_max)
            && is_within_limit(used.gpus + gpus, team.gpus_max)
    }

    /// How many more tasks that each request these amounts fit under the team's limit: `u32::MAX` if no limit applies,
    /// 0 if there is no such team.
    pub fn remaining_tasks(&self, team: &str, cpus: f64, gpus: f64) -> u32 {
        let Some(TeamUsage { team, used }) = self.teams.get(team) else {
            return 0;
        };
        let count = |request: f64, used: f64, limit: f64| {
            if limit > 0.0 && request > 0.0 {
                ((limit - used + ROUNDING_TOLERANCE) / request)
                    .floor()
                    .max(0.0)
            } else {
                f64::from(u32::MAX)
            }
        };
        count(cpus, used.cpus, team.cpus_max).min(count(gpus, used.gpus, team.gpus_max)) as u32
    }

    /// Whether these amounts are within the team's quota. The resources that the team uses already are not added. False
    /// if the team has no quota or there is no such team.
    pub fn is_within_quota(&self, team: &str, cpus: f64, gpus: f64) -> bool {
        let Some(TeamUsage { team, .. }) = self.teams.get(team) else {
            return false;
        };
        let has_quota = team.cpus > 0.0 || team.gpus > 0.0;
        has_quota
            && cpus <= team.cpus + ROUNDING_TOLERANCE
            && gpus <= team.gpus + ROUNDING_TOLERANCE
    }

    /// Whether the team would still use at least its quota of CPUs or of GPUs after releasing these amounts; of the
    /// two, only a resource that is released counts. True if there is no such team.
    pub fn exceeds_quota_without(&self, team: &str, cpus: f64, gpus: f64) -> bool {
        let Some(TeamUsage { team, used }) = self.teams.get(team) else {
            return true;
        };
        (cpus > 0.0 && used.cpus - cpus >= team.cpus - ROUNDING_TOLERANCE)
            || (gpus > 0.0 && used.gpus - gpus >= team.gpus - ROUNDING_TOLERANCE)
    }

    /// Adds the resources of a bound task to its team's usage.
    pub fn charge(&mut self, team: &str, cpus: f64, gpus: f64) {
        if let Some(TeamUsage { used, .. }) = self.teams.get_mut(team) {
            used.cpus += cpus;
            used.gpus += gpus;
        }
    }

    /// Subtracts the resources of a task that is no longer bound from its team's usage.
    pub fn release(&mut self, team: &str, cpus: f64, gpus: f64) {
        self.charge(team, -cpus, -gpus);
    }

    /// The resources that a team uses; zero if there is no such team.
    pub fn usage(&self, team: &str) -> ResourceUsage {
        self.teams
            .get(team)
            .map(|team| team.used)
            .unwrap_or_default()
    }
}

/// Whether an amount is within a limit; a limit of 0 means that there is none.
fn is_within_limit(amount: f64, limit: f64) -> bool {
    limit <= 0.0 || amount <= limit + ROUNDING_TOLERANCE
}
