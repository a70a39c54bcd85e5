//! The deployment of a case: the values of the settings, and what the cloud has.

#[derive(Clone)]
pub struct MachineType {
    pub name: &'static str,
    pub cpus: f64,
    pub ram_gb: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub market: f64,
    pub ready_s: f64,
    /// Most machines in each zone, ordinary and spot.
    pub ordinary: usize,
    pub spot: usize,
}

#[derive(Clone)]
pub struct Team {
    pub name: &'static str,
    pub cpus: f64,
    pub cpus_max: f64,
}

#[derive(Clone)]
pub struct Site {
    pub nodes: usize,
    pub node_zone: &'static str,
    pub zones: Vec<&'static str>,
    pub types: Vec<MachineType>,
    pub teams: Vec<Team>,
    pub objectives: &'static str,
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub state_rps: f64,
    pub state_write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub mem_mb: f64,
    pub max_sockets: usize,
}

/// A deployment with the figures of the brief's `encuestas-andinas-lima`.
pub fn lima() -> Site {
    Site {
        nodes: 3,
        node_zone: "lima-centro",
        zones: vec!["arequipa", "lima-centro"],
        types: vec![
            MachineType {
                name: "quipu-chico",
                cpus: 8.0,
                ram_gb: 32.0,
                pull_gb_per_s: 1.0,
                hourly: 0.31,
                market: 0.07,
                ready_s: 25.0,
                ordinary: 5,
                spot: 7,
            },
            MachineType {
                name: "quipu-grande",
                cpus: 16.0,
                ram_gb: 32.0,
                pull_gb_per_s: 0.5,
                hourly: 0.57,
                market: 0.14,
                ready_s: 20.0,
                ordinary: 4,
                spot: 2,
            },
        ],
        teams: vec![
            Team {
                name: "campo-sur-00",
                cpus: 0.0,
                cpus_max: 0.0,
            },
            Team {
                name: "campo-sur-01",
                cpus: 0.0,
                cpus_max: 0.0,
            },
        ],
        objectives: "[[deployment.objectives]]\nkind = \"deadline\"\nclass = \"limpieza\"\nshare = 0.9\ntimes = 1.0\n\n\
                     [[deployment.objectives]]\nkind = \"wait\"\nclass = \"formularios\"\nwithin_s = 1.0\nshare = 0.9\n",
        report_s: 2.5,
        lease_s: 18.0,
        cancel_s: 48.0,
        state_rps: 150.0,
        state_write_rps: 60.0,
        value_kb: 8.0,
        txn_ops: 48,
        cloud_rps: 4.0,
        list_lag_s: 5.0,
        core_share: 0.12,
        mem_mb: 104.0,
        max_sockets: 1000,
    }
}

/// A small deployment with the figures of `panel-andino`: its settings, and the machines of its small size.
pub fn panel() -> Site {
    let kind =
        |name, cpus, ram_gb, pull_gb_per_s, hourly, market, ready_s, ordinary, spot| MachineType {
            name,
            cpus,
            ram_gb,
            pull_gb_per_s,
            hourly,
            market,
            ready_s,
            ordinary,
            spot,
        };
    Site {
        node_zone: "juliaca",
        zones: vec!["juliaca"],
        types: vec![
            kind("llama", 4.0, 16.0, 0.3, 0.2, 0.05, 40.0, 8, 18),
            kind("vicuna", 32.0, 128.0, 0.3, 1.54, 0.38, 20.0, 1, 3),
            kind("condor", 64.0, 256.0, 0.4, 2.95, 0.75, 35.0, 1, 1),
        ],
        teams: vec![Team {
            name: "panel-altiplano",
            cpus: 0.0,
            cpus_max: 0.0,
        }],
        objectives: "[[deployment.objectives]]\nkind = \"wait\"\nclass = \"cierre-ronda\"\nwithin_s = 50.0\nshare = 0.992\n\n\
                     [[deployment.objectives]]\nkind = \"finished\"\nclass = \"cierre-ronda\"\nwithin_s = 120.0\nshare = 0.992\n",
        report_s: 8.0,
        lease_s: 34.0,
        cancel_s: 54.0,
        state_rps: 200.0,
        value_kb: 32.0,
        cloud_rps: 5.0,
        list_lag_s: 8.0,
        core_share: 0.048,
        mem_mb: 200.0,
        max_sockets: 3500,
        ..lima()
    }
}

/// A deployment with the figures of the brief's `dallim-activation-seoul`.
pub fn dallim() -> Site {
    Site {
        node_zone: "gasan",
        zones: vec!["gasan", "pangyo"],
        types: vec![MachineType {
            name: "hanbit-core",
            cpus: 16.0,
            ram_gb: 64.0,
            pull_gb_per_s: 0.3,
            hourly: 0.69,
            market: 0.2,
            ready_s: 25.0,
            ordinary: 9,
            spot: 5,
        }],
        teams: vec![
            Team {
                name: "activation-core-00",
                cpus: 32.0,
                cpus_max: 88.0,
            },
            Team {
                name: "activation-core-01",
                cpus: 32.0,
                cpus_max: 88.0,
            },
        ],
        objectives: "[[deployment.objectives]]\nkind = \"deadline\"\nclass = \"carrier-sync\"\nshare = 0.95\ntimes = 1.0\n\n\
                     [[deployment.objectives]]\nkind = \"wait\"\nclass = \"carrier-sync\"\nwithin_s = 1.0\nshare = 0.85\n",
        lease_s: 12.0,
        cancel_s: 37.0,
        state_write_rps: 50.0,
        txn_ops: 40,
        cloud_rps: 2.0,
        list_lag_s: 8.0,
        core_share: 0.16,
        max_sockets: 1200,
        ..lima()
    }
}
