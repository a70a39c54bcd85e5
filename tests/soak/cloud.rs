//! The cloud stand-in: creates, boots and deletes machines, and lists them with a lag. A machine is an instance with
//! its worker.

use super::http::{Reply, Request};
use super::machines::{CPUS, INSTANCE_TYPE, Machine, Worker};
use super::oracle::{Shared, lock};
use super::plan::Fault;
use super::state::{ErrorBody, OUTAGE_ERROR};
use cedarladder::protocol::cbor;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;

/// Names of the zones.
pub const ZONES: [&str; 2] = ["a", "b"];
/// Range of the delay of a request that is executed late during [`Fault::CloudErrors`], in seconds of the protocol.
const DELAY_S: (f64, f64) = (1.0, 20.0);

#[derive(Serialize)]
struct InstanceTypeList {
    #[serde(rename = "Flavors")]
    instance_types: Vec<InstanceType>,
}

#[derive(Serialize)]
struct InstanceType {
    #[serde(rename = "Label")]
    label: &'static str,
    #[serde(rename = "Cores")]
    cpus: f64,
    #[serde(rename = "Gpus")]
    gpus: f64,
    #[serde(rename = "RamGb")]
    ram: f64,
    #[serde(rename = "LocalGb")]
    cache_gb: f64,
    #[serde(rename = "PullGbPerS")]
    pull_gb_s: f64,
    #[serde(rename = "Hourly")]
    hourly: f64,
    #[serde(rename = "MarketPrice")]
    market_price: f64,
    #[serde(rename = "ReadyS")]
    boot_time_s: f64,
    #[serde(rename = "Groves")]
    zones: Vec<&'static str>,
}

#[derive(Debug, Deserialize)]
struct CreateInstances {
    #[serde(rename = "Bid")]
    idempotency_key: String,
    #[serde(rename = "Grove")]
    zone: String,
    #[serde(rename = "Windfall")]
    spot: bool,
    #[serde(rename = "Count")]
    count: usize,
}

#[derive(Debug, Serialize, Deserialize)]
struct InstanceNames {
    #[serde(rename = "Hosts")]
    hosts: Vec<String>,
}

#[derive(Serialize)]
struct InstanceBody {
    #[serde(rename = "NameId")]
    name: String,
    #[serde(rename = "Endpoint")]
    endpoint: String,
    #[serde(rename = "Flavor")]
    instance_type: &'static str,
    #[serde(rename = "Grove")]
    zone: &'static str,
    #[serde(rename = "Windfall")]
    spot: bool,
    #[serde(rename = "Status")]
    status: &'static str,
    #[serde(rename = "AgeS")]
    age_s: f64,
}

#[derive(Serialize)]
struct InstanceList {
    #[serde(rename = "Hosts")]
    hosts: Vec<InstanceBody>,
    #[serde(rename = "More")]
    more: bool,
}

/// The cloud stand-in.
#[derive(Clone)]
pub struct Cloud {
    pub oracle: Shared,
    /// Addresses on which the controllers accept requests of workers.
    pub nodes: Vec<SocketAddr>,
    /// Largest number of machines that exist at a time in a pool; there are two pools for each zone: on-demand and
    /// spot.
    pub pool_size: usize,
    /// Names of the machines that were created, by the idempotency key of the request that created them.
    created_instances: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Cloud {
    pub fn new(oracle: Shared, nodes: Vec<SocketAddr>, pool_size: usize) -> Cloud {
        Cloud {
            oracle,
            nodes,
            pool_size,
            created_instances: Arc::default(),
        }
    }

    /// Handles a request of a controller. During [`Fault::CloudErrors`], rejects the request, or executes it late and
    /// returns no response.
    pub async fn handle(self, request: Request) -> Option<Reply> {
        let (is_delayed, delay_s, clock) = {
            let oracle = &mut *lock(&self.oracle);
            let is_faulty = oracle.faults.is_active(Fault::CloudErrors);
            if is_faulty {
                oracle.faults.count(Fault::CloudErrors);
            }
            let is_delayed = is_faulty && oracle.rng.random_bool(0.4);
            if is_faulty && !is_delayed {
                return Some(Reply::new(
                    503,
                    &ErrorBody {
                        error: OUTAGE_ERROR,
                    },
                ));
            }
            let delay_s = oracle
                .clock
                .scaled(oracle.rng.random_range(DELAY_S.0..DELAY_S.1));
            (is_delayed, delay_s, oracle.clock)
        };
        if is_delayed {
            clock.sleep(delay_s).await;
        }
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => self.list_instance_types(),
            ("POST", "/machines") => self.create_instances(&request.body),
            ("POST", "/machines/delete") => self.delete_instances(&request.body),
            ("GET", "/machines") => self.list_instances(request.query.get("From")),
            _ => Reply::new(400, &()),
        };
        (!is_delayed).then_some(reply)
    }

    fn list_instance_types(&self) -> Reply {
        let boot_time_s = lock(&self.oracle).times.boot_time_s;
        let instance_type = InstanceType {
            label: INSTANCE_TYPE,
            cpus: CPUS,
            gpus: 0.0,
            ram: 64.0,
            cache_gb: 100.0,
            pull_gb_s: 1.0,
            hourly: 1.0,
            market_price: 0.3,
            boot_time_s,
            zones: ZONES.to_vec(),
        };
        Reply::new(
            200,
            &InstanceTypeList {
                instance_types: vec![instance_type],
            },
        )
    }

    /// Creates as many of the requested machines as the pool has room for. A repeated request with the same idempotency
    /// key returns the machines of the first one.
    fn create_instances(&self, body: &[u8]) -> Reply {
        let Ok(request) = cbor::decode::<CreateInstances>(body) else {
            return Reply::new(400, &());
        };
        let Some(zone) = ZONES.into_iter().find(|zone| *zone == request.zone) else {
            return Reply::new(400, &());
        };
        let mut created_instances = self
            .created_instances
            .lock()
            .unwrap_or_else(|e| e.into_inner());
        if let Some(hosts) = created_instances.get(&request.idempotency_key) {
            let hosts = hosts.clone();
            return Reply::new(200, &InstanceNames { hosts });
        }
        let oracle = &mut *lock(&self.oracle);
        let existing = oracle
            .machines
            .values()
            .filter(|m| m.gone_at.is_none() && m.zone == zone && m.spot == request.spot)
            .count();
        let count = request.count.min(self.pool_size.saturating_sub(existing));
        if count == 0 {
            return Reply::new(
                503,
                &ErrorBody {
                    error: "no capacity",
                },
            );
        }
        let now = oracle.clock.now();
        let mut hosts = Vec::new();
        for _ in 0..count {
            oracle.counters.machines_rented += 1;
            let name = format!("host-{:06}", oracle.counters.machines_rented);
            let machine = Machine::new(name.clone(), zone, request.spot, now);
            oracle.machines.insert(name.clone(), machine);
            let boot_s = oracle.times.boot_time_s * oracle.rng.random_range(0.6..1.5);
            tokio::spawn(self.clone().boot(name.clone(), boot_s));
            hosts.push(name);
        }
        created_instances.insert(request.idempotency_key, hosts.clone());
        Reply::new(200, &InstanceNames { hosts })
    }

    /// Boots a machine, and runs its worker until the machine is deleted or reclaimed.
    async fn boot(self, name: String, boot_s: f64) {
        let clock = lock(&self.oracle).clock;
        clock.sleep(boot_s).await;
        let Ok(listener) = TcpListener::bind(("127.0.0.1", 0)).await else {
            return;
        };
        let Ok(address) = listener.local_addr() else {
            return;
        };
        {
            let mut oracle = lock(&self.oracle);
            let Some(machine) = oracle.machines.get_mut(&name) else {
                return;
            };
            if machine.gone_at.is_some() {
                return;
            }
            machine.finish_boot(address, clock.now());
        }
        let worker = Worker {
            name,
            oracle: self.oracle.clone(),
            clock,
            nodes: self.nodes.clone(),
        };
        worker.run(listener).await;
    }

    fn delete_instances(&self, body: &[u8]) -> Reply {
        let Ok(names) = cbor::decode::<InstanceNames>(body) else {
            return Reply::new(400, &());
        };
        let mut oracle = lock(&self.oracle);
        for name in &names.hosts {
            oracle.counters.machines_deleted += 1;
            oracle.remove_machine(name);
        }
        Reply::new(200, &())
    }

    /// Lists the machines as they were between 0.5 and 2 times `list_lag_s` ago, to simulate the lag of the list.
    fn list_instances(&self, from: Option<&String>) -> Reply {
        let oracle = &mut *lock(&self.oracle);
        let lag_s = oracle.times.list_lag_s * oracle.rng.random_range(0.5..2.0);
        let listed_at = oracle.clock.now() - lag_s;
        let hosts = oracle
            .machines
            .values()
            .filter(|m| from.is_none_or(|from| m.name > *from))
            .filter(|m| {
                m.rented_at <= listed_at && m.gone_at.is_none_or(|gone_at| gone_at > listed_at)
            })
            .map(|m| InstanceBody {
                name: m.name.clone(),
                endpoint: m.address.map_or(String::new(), |at| at.to_string()),
                instance_type: INSTANCE_TYPE,
                zone: m.zone,
                spot: m.spot,
                status: if m.up_at.is_some_and(|up_at| up_at <= listed_at) {
                    "running"
                } else {
                    "starting"
                },
                age_s: listed_at - m.rented_at,
            });
        let hosts = hosts.collect();
        Reply::new(200, &InstanceList { hosts, more: false })
    }
}
