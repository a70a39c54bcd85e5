//! The controllers: real processes, started with the command of the deploy file.

use crate::http::call;
use crate::record::{Random, Record, sleep};
use crate::site::Site;
use std::fmt::Write as _;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

pub struct Controllers {
    record: Arc<Record>,
    root: PathBuf,
    folder: PathBuf,
    command: Vec<String>,
    pub addresses: Vec<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    children: Vec<Option<Child>>,
}

/// An address that is free now. Its port is below those that the system gives to outgoing connections, so that none of
/// these takes it before the controller listens.
fn free_address(random: &Random) -> SocketAddr {
    loop {
        let port = random.between(10_000.0, 32_000.0) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The words of `run` in the deploy file.
fn run_command(root: &Path) -> Option<Vec<String>> {
    let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).ok()?;
    let line = deploy
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    let (_, value) = line.split_once('=')?;
    let words = value.trim().trim_matches('"').split_whitespace();
    Some(words.map(str::to_owned).collect())
}

impl Controllers {
    pub fn new(
        record: Arc<Record>,
        root: &Path,
        folder: &Path,
        nodes: usize,
        random: &Random,
    ) -> Option<Controllers> {
        Some(Controllers {
            record,
            root: root.to_owned(),
            folder: folder.to_owned(),
            command: run_command(root)?,
            addresses: (0..nodes).map(|_| free_address(random)).collect(),
            peer_addresses: (0..nodes).map(|_| free_address(random)).collect(),
            children: (0..nodes).map(|_| None).collect(),
        })
    }

    fn settings(&self, site: &Site, node: usize, cloud: SocketAddr, state: SocketAddr) -> String {
        let mut s = format!(
            "label = \"rung-{node}\"\nsite = \"{}\"\nbind = \"{}\"\npeer_bind = \"{}\"\n",
            site.node_zone, self.addresses[node], self.peer_addresses[node]
        );
        for (other, address) in self.peer_addresses.iter().enumerate() {
            if other != node {
                let _ = write!(
                    s,
                    "\n[[seeds]]\nlabel = \"rung-{other}\"\nsite = \"{}\"\naddress = \"{address}\"\n",
                    site.node_zone
                );
            }
        }
        let _ = write!(
            s,
            "\n[services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n[deployment]\ninitial_size = {}\nzones = {:?}\n\
             skew_ms = 100.0\n",
            site.nodes, site.zones
        );
        for team in &site.teams {
            let _ = write!(
                s,
                "\n[[deployment.teams]]\nname = \"{}\"\ncpus = {:?}\ncpus_max = {:?}\ngpus = 0.0\ngpus_max = 0.0\n",
                team.name, team.cpus, team.cpus_max
            );
        }
        let _ = write!(
            s,
            "\n{}\n[deployment.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = 45.0\ngang_peer_s = 8.0\n\
             cancel_s = {:?}\n\n[deployment.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n\n\
             [deployment.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n\n[deployment.quota]\ncore_share = {:?}\n\
             mem_mb = {:?}\nmax_sockets = {}\n",
            site.objectives,
            site.report_s,
            site.lease_s,
            site.cancel_s,
            site.state_rps,
            site.state_write_rps,
            site.value_kb,
            site.txn_ops,
            site.cloud_rps,
            site.list_lag_s,
            site.core_share,
            site.mem_mb,
            site.max_sockets
        );
        s
    }

    pub fn write_settings(
        &self,
        site: &Site,
        cloud: SocketAddr,
        states: &[SocketAddr],
    ) -> std::io::Result<()> {
        for node in 0..site.nodes {
            let settings = self.settings(site, node, cloud, states[node]);
            std::fs::write(self.folder.join(format!("rung-{node}.toml")), settings)?;
        }
        Ok(())
    }

    /// Starts a controller; its log goes to a file in the folder.
    pub fn start(&mut self, node: usize) -> bool {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("rung-{node}.log")))
            .expect("a log file");
        let child = Command::new(self.root.join(&self.command[0]))
            .args(&self.command[1..])
            .arg(self.folder.join(format!("rung-{node}.toml")))
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".to_owned()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.record
            .log("platform", format!("rung-{node} is started"));
        self.children[node] = child.ok();
        self.children[node].is_some()
    }

    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .log("platform", format!("rung-{node} is killed"));
        }
    }

    /// Whether all processes that were started still run.
    pub fn all_run(&mut self) -> bool {
        let mut children = self.children.iter_mut().flatten();
        children.all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until a controller is healthy.
    pub fn wait_healthy(&self, node: usize, for_s: f64) -> bool {
        let begin = self.record.now();
        while self.record.now() - begin < for_s {
            if call(self.addresses[node], "GET", "/healthz", b"", 1.0)
                .is_some_and(|(s, _)| s == 200)
            {
                return true;
            }
            sleep(0.1);
        }
        false
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for node in 0..self.children.len() {
            self.kill(node);
        }
    }
}
