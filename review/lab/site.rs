//! The values of a deployment, from its site file, and the settings file of a controller.

use std::fmt::Write as _;
use std::net::SocketAddr;

pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub hourly: f64,
    pub market: f64,
    pub boot_s: f64,
    pub cache_gb: f64,
    pub pull_gb_per_s: f64,
}

pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
}

pub struct Site {
    pub name: &'static str,
    pub zones: &'static [&'static str],
    /// The zone of each controller.
    pub nodes: &'static [&'static str],
    pub skew_ms: f64,
    pub teams: Vec<Team>,
    pub objectives: &'static str,
    pub types: Vec<MachineType>,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub mem_mb: f64,
    pub max_sockets: u32,
}

/// `kit/sites/encuestas-andinas-lima.toml`
pub fn lima() -> Site {
    let team = |i| Team {
        name: format!("campo-sur-{i:02}"),
        cpus: 0.0,
        cpus_max: 0.0,
    };
    Site {
        name: "encuestas-andinas-lima",
        zones: &["arequipa", "lima-centro"],
        nodes: &["lima-centro"; 3],
        skew_ms: 100.0,
        teams: (0..12).map(team).collect(),
        objectives: "[[deployment.objectives]]\nkind = \"deadline\"\nclass = \"limpieza\"\n\
                     share = 0.9\ntimes = 1.0\n\n[[deployment.objectives]]\nkind = \"wait\"\n\
                     class = \"formularios\"\nwithin_s = 1.0\nshare = 0.9\n",
        types: vec![
            MachineType {
                name: "quipu-chico",
                cpus: 8.0,
                ram_gb: 32.0,
                hourly: 0.31,
                market: 0.07,
                boot_s: 25.0,
                cache_gb: 70.0,
                pull_gb_per_s: 1.0,
            },
            MachineType {
                name: "quipu-grande",
                cpus: 16.0,
                ram_gb: 32.0,
                hourly: 0.57,
                market: 0.14,
                boot_s: 20.0,
                cache_gb: 40.0,
                pull_gb_per_s: 0.5,
            },
        ],
        report_s: 2.5,
        lease_s: 18.0,
        cancel_s: 48.0,
        state_rps: 150.0,
        write_rps: 60.0,
        value_kb: 8.0,
        txn_ops: 48,
        cloud_rps: 4.0,
        list_lag_s: 5.0,
        core_share: 0.12,
        mem_mb: 104.0,
        max_sockets: 1000,
    }
}

/// `kit/sites/dallim-activation-seoul.toml`
pub fn dallim() -> Site {
    let team = |i| Team {
        name: format!("activation-core-{i:02}"),
        cpus: 32.0,
        cpus_max: 88.0,
    };
    Site {
        name: "dallim-activation-seoul",
        zones: &["gasan", "pangyo"],
        nodes: &["gasan", "pangyo", "gasan"],
        skew_ms: 5.0,
        teams: (0..10).map(team).collect(),
        objectives: "[[deployment.objectives]]\nkind = \"finished\"\nclass = \"profile-audit\"\n\
                     within_s = 100.0\nshare = 0.9\n\n[[deployment.objectives]]\nkind = \"wait\"\n\
                     class = \"activate-api\"\nwithin_s = 1.0\nshare = 0.9\n\n\
                     [[deployment.objectives]]\nkind = \"deadline\"\nclass = \"carrier-sync\"\n\
                     share = 0.95\ntimes = 1.0\n\n[[deployment.objectives]]\nkind = \"wait\"\n\
                     class = \"carrier-sync\"\nwithin_s = 1.0\nshare = 0.85\n",
        types: vec![MachineType {
            name: "hanbit-core",
            cpus: 16.0,
            ram_gb: 64.0,
            hourly: 0.69,
            market: 0.2,
            boot_s: 25.0,
            cache_gb: 60.0,
            pull_gb_per_s: 0.3,
        }],
        report_s: 2.5,
        lease_s: 12.0,
        cancel_s: 37.0,
        state_rps: 150.0,
        write_rps: 50.0,
        value_kb: 8.0,
        txn_ops: 40,
        cloud_rps: 2.0,
        list_lag_s: 8.0,
        core_share: 0.16,
        mem_mb: 104.0,
        max_sockets: 1200,
    }
}

/// The addresses that one controller listens on and connects to.
#[derive(Clone)]
pub struct Addresses {
    pub bind: SocketAddr,
    pub peer_bind: SocketAddr,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    /// Where this controller reaches each of the others: its number and the address.
    pub seeds: Vec<(usize, SocketAddr)>,
}

pub fn label(node: usize) -> String {
    format!("rung-{node}")
}

impl Site {
    /// The settings file of a controller, in the form that DEPLOY gives.
    pub fn settings(&self, node: usize, at: &Addresses) -> String {
        let mut text = format!(
            "label = \"{}\"\nsite = \"{}\"\nbind = \"{}\"\npeer_bind = \"{}\"\n",
            label(node),
            self.nodes[node],
            at.bind,
            at.peer_bind
        );
        for (peer, address) in &at.seeds {
            let _ = write!(
                text,
                "\n[[seeds]]\nlabel = \"{}\"\nsite = \"{}\"\naddress = \"{address}\"\n",
                label(*peer),
                self.nodes[*peer]
            );
        }
        let _ = write!(
            text,
            "\n[services]\ncloud = \"{}\"\nstate = \"{}\"\n\n[deployment]\ninitial_size = {}\n\
             zones = {:?}\nskew_ms = {:?}\n",
            at.cloud,
            at.state,
            self.nodes.len(),
            self.zones,
            self.skew_ms
        );
        for team in &self.teams {
            let _ = write!(
                text,
                "\n[[deployment.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\n\
                 gpus = 0.0\ngpus_max = 0.0\n",
                team.name, team.cpus, team.cpus_max
            );
        }
        let _ = write!(
            text,
            "\n{}\n[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 45.0\n\
             gang_peer_s = 8.0\ncancel_s = {:?}\n\n[deployment.state]\nrps = {:?}\n\
             write_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n[deployment.cloud]\nrps = {:?}\n\
             list_lag_s = {:?}\n\n[deployment.quota]\ncore_share = {:?}\nmem_mb = {:?}\n\
             max_sockets = {}\n",
            self.objectives,
            self.report_s,
            self.lease_s,
            self.cancel_s,
            self.state_rps,
            self.write_rps,
            self.value_kb,
            self.txn_ops,
            self.cloud_rps,
            self.list_lag_s,
            self.core_share,
            self.mem_mb,
            self.max_sockets
        );
        text
    }
}
