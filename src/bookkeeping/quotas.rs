//! What teams use, and what they are guaranteed and allowed.

use crate::protocol::job::{JobKind, JobSpec};
use crate::settings::Team;
use std::collections::HashMap;

/// Sums of decimals may be off by rounding; so much is let pass.
const ROUNDING: f64 = 1e-6;

/// CPUs and GPUs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

/// Teams with what their bound tasks use.
#[derive(Debug, Clone, Default)]
pub struct Quotas {
    teams: HashMap<String, (Team, ResourceUsage)>,
}

impl Quotas {
    /// No team uses anything yet.
    pub fn new(teams: &[Team]) -> Quotas {
        Quotas {
            teams: teams
                .iter()
                .map(|team| (team.name.clone(), (team.clone(), ResourceUsage::default())))
                .collect(),
        }
    }

    /// Whether the team exists.
    pub fn contains_team(&self, team: &str) -> bool {
        self.teams.contains_key(team)
    }

    /// Whether the job's team may ever run it: one task of an array, all tasks of
    /// a service or a gang.
    pub fn can_ever_run(&self, spec: &JobSpec) -> bool {
        let Some((team, _)) = self.teams.get(&spec.team) else {
            return false;
        };
        let tasks = match spec.kind {
            JobKind::Array => 1.0,
            JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
        };
        let below = |need: f64, limit: f64| limit <= 0.0 || need <= limit + ROUNDING;
        below(spec.cpus * tasks, team.cpus_max) && below(spec.gpus * tasks, team.gpus_max)
    }

    /// Whether one more task fits under the team's limit.
    pub fn has_capacity(&self, team: &str, cpus: f64, gpus: f64) -> bool {
        let Some((team, used)) = self.teams.get(team) else {
            return false;
        };
        let below = |sum: f64, limit: f64| limit <= 0.0 || sum <= limit + ROUNDING;
        below(used.cpus + cpus, team.cpus_max) && below(used.gpus + gpus, team.gpus_max)
    }

    /// How many more such tasks fit under the team's limit.
    pub fn remaining_tasks(&self, team: &str, cpus: f64, gpus: f64) -> u32 {
        let Some((team, used)) = self.teams.get(team) else {
            return 0;
        };
        let count = |need: f64, used: f64, limit: f64| {
            if limit > 0.0 && need > 0.0 {
                ((limit - used + ROUNDING) / need).floor().max(0.0)
            } else {
                f64::from(u32::MAX)
            }
        };
        count(cpus, used.cpus, team.cpus_max).min(count(gpus, used.gpus, team.gpus_max)) as u32
    }

    /// Whether so much is within the team's guarantee.
    pub fn is_within_quota(&self, team: &str, cpus: f64, gpus: f64) -> bool {
        let Some((team, _)) = self.teams.get(team) else {
            return false;
        };
        let guaranteed = team.cpus > 0.0 || team.gpus > 0.0;
        guaranteed && cpus <= team.cpus + ROUNDING && gpus <= team.gpus + ROUNDING
    }

    /// Whether the team uses more than its guarantee even without this.
    pub fn exceeds_quota_without(&self, team: &str, cpus: f64, gpus: f64) -> bool {
        let Some((team, used)) = self.teams.get(team) else {
            return true;
        };
        (cpus > 0.0 && used.cpus - cpus >= team.cpus - ROUNDING)
            || (gpus > 0.0 && used.gpus - gpus >= team.gpus - ROUNDING)
    }

    /// Counts a bound task.
    pub fn charge(&mut self, team: &str, cpus: f64, gpus: f64) {
        if let Some((_, used)) = self.teams.get_mut(team) {
            used.cpus += cpus;
            used.gpus += gpus;
        }
    }

    /// Takes a bound task off.
    pub fn release(&mut self, team: &str, cpus: f64, gpus: f64) {
        self.charge(team, -cpus, -gpus);
    }

    /// What a team uses.
    pub fn usage(&self, team: &str) -> ResourceUsage {
        self.teams
            .get(team)
            .map(|(_, used)| *used)
            .unwrap_or_default()
    }
}
