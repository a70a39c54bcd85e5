//! A small deployment: the stand-ins and the controllers of one run.

use crate::cloud::{Cloud, Plan};
use crate::machine::Workers;
use crate::nodes::{self, Nodes};
use crate::record::Record;
use crate::site::{Addresses, Site, label};
use crate::state::{Limits, State};
use crate::users::Users;
use crate::world::{Inner, World};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

pub struct Lab {
    pub site: Arc<Site>,
    pub record: Arc<Record>,
    pub world: World,
    pub state: State,
    pub cloud: Cloud,
    pub users: Users,
    pub nodes: Nodes,
    folder: PathBuf,
}

impl Lab {
    /// Starts the stand-ins, and writes the settings of the controllers without starting these. The record goes to
    /// `review/CASE/record.txt`.
    pub fn new(case: &str, site: Site) -> Result<Lab, String> {
        let project = std::env::current_dir().map_err(|e| e.to_string())?;
        let record = match std::env::var("RECORD") {
            Ok(path) => PathBuf::from(path),
            Err(_) => project.join("review").join(case).join("record.txt"),
        };
        let record = Arc::new(Record::new(&record).map_err(|e| e.to_string())?);
        let folder =
            std::env::temp_dir().join(format!("cedarladder-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        // An address of the loopback range for this run alone, so that the ports of runs side by side never meet.
        let id = std::process::id();
        let address = IpAddr::V4(Ipv4Addr::new(127, 77, (id >> 8) as u8, (id as u8).max(1)));
        let site = Arc::new(site);
        let count = site.nodes.len();
        let world = World::new(record.clone(), &site);
        let limits = Limits {
            rps: site.state_rps,
            write_rps: site.write_rps,
            value_bytes: (site.value_kb * 1024.0) as usize,
            txn_ops: site.txn_ops,
        };
        let state = State::new(record.clone(), limits);
        let (cloud_listener, cloud_at) = nodes::listen(address)?;
        let own = |_| SocketAddr::new(address, nodes::free_port(address));
        let binds: Vec<SocketAddr> = (0..count).map(own).collect();
        let peer_binds: Vec<SocketAddr> = (0..count).map(own).collect();
        let mut addresses = Vec::new();
        for node in 0..count {
            let (listener, state_at) = nodes::listen(address)?;
            state.serve(node, listener);
            let others = (0..count).filter(|other| *other != node);
            addresses.push(Addresses {
                bind: binds[node],
                peer_bind: peer_binds[node],
                cloud: cloud_at,
                state: state_at,
                seeds: others.map(|other| (other, peer_binds[other])).collect(),
            });
        }
        let workers = Workers {
            world: world.clone(),
            nodes: binds.clone(),
            report_s: site.report_s,
        };
        let plan = Plan {
            capacity: BTreeMap::new(),
            boot_s: (1.0, 2.0),
            faulty: false,
        };
        let cloud = Cloud::new(workers, site.clone(), plan, address);
        cloud.serve(cloud_listener);
        let users = Users {
            world: world.clone(),
            nodes: binds,
        };
        let nodes = Nodes::new(record.clone(), &project, &folder, &site, &addresses)?;
        record.line(&format!("site {}, {} controllers", site.name, count));
        Ok(Lab {
            site,
            record,
            world,
            state,
            cloud,
            users,
            nodes,
            folder,
        })
    }

    /// Waits until a condition holds; an error if it does not by this time of the run.
    pub fn wait(&self, until: f64, holds: impl Fn(&Inner) -> bool) -> Result<(), String> {
        while !holds(&self.world.lock()) {
            if self.record.now() > until {
                return Err(format!(
                    "the run did not come to what the case needs by {until} s"
                ));
            }
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
        Ok(())
    }

    /// Starts all controllers, and waits until one leads and all are healthy.
    pub fn start(&mut self) -> Result<(), String> {
        for node in 0..self.site.nodes.len() {
            self.nodes.start(node)?;
        }
        let until = self.record.now() + 15.0;
        while self.record.now() < until {
            std::thread::sleep(std::time::Duration::from_millis(100));
            if self.leader().is_some()
                && (0..self.site.nodes.len()).all(|node| self.is_healthy(node))
            {
                return Ok(());
            }
        }
        Err("the controllers did not become healthy".to_owned())
    }

    fn is_healthy(&self, node: usize) -> bool {
        let timeout = std::time::Duration::from_secs(1);
        let to = self.users.nodes[node];
        let reply = crate::http::Client::default().call(to, "GET", "/healthz", None, timeout);
        reply.is_some_and(|(status, _)| status == 200)
    }

    /// The controller that the key `leader` names.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.state.leader();
        (0..self.site.nodes.len()).find(|node| label(*node) == leader)
    }

    /// What was broken so far, with the controllers that ended by themselves.
    pub fn broken(&mut self) -> Vec<String> {
        let mut broken = self.world.lock().broken.clone();
        broken.extend(self.nodes.ended());
        broken
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for node in 0..self.site.nodes.len() {
            self.nodes.kill(node);
        }
        match std::env::var("KEEP") {
            Ok(_) => eprintln!("logs in {:?}", self.folder),
            Err(_) => {
                let _ = std::fs::remove_dir_all(&self.folder);
            }
        }
    }
}
