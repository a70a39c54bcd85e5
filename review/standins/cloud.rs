//! The cloud: rents machines, boots them, lists them late, and deletes or takes them.

use crate::cbor::{Value, map, text};
use crate::http::{Reply, Request, serve};
use crate::record::sleep;
use crate::site::MachineType;
use crate::worker::{Health, Worker};
use crate::world::World;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

pub struct Machine {
    pub name: String,
    pub kind: MachineType,
    pub zone: String,
    pub spot: bool,
    pub endpoint: SocketAddr,
    pub rented_at: f64,
    pub up_at: Option<f64>,
    pub gone_at: Option<f64>,
    /// When it stopped by itself; it stays listed until it is deleted.
    pub died_at: Option<f64>,
    pub worker: Option<Arc<Worker>>,
}

struct Inner {
    machines: Vec<Machine>,
    bids: HashMap<String, Vec<String>>,
    /// Times at which machines were asked for.
    requests: Vec<f64>,
}

/// Says for the n-th machine, from 0, after how many seconds it is up.
pub type BootTime = Box<dyn Fn(usize) -> f64 + Send + Sync>;
/// Says for the n-th machine, from 0, how it is when it comes up.
pub type FirstHealth = Box<dyn Fn(usize) -> Health + Send + Sync>;

pub struct Cloud {
    world: Arc<World>,
    boot_s: BootTime,
    first_health: FirstHealth,
    inner: Mutex<Inner>,
}

impl Cloud {
    pub fn start(
        world: Arc<World>,
        boot_s: BootTime,
        first_health: FirstHealth,
    ) -> (Arc<Cloud>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let inner = Mutex::new(Inner {
            machines: Vec::new(),
            bids: HashMap::new(),
            requests: Vec::new(),
        });
        let cloud = Arc::new(Cloud {
            world,
            boot_s,
            first_health,
            inner,
        });
        let served = cloud.clone();
        serve(
            listener,
            Arc::new(move |request| served.clone().handle(&request)),
        );
        (cloud, address)
    }

    /// The workers of the machines that are up.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let inner = self.inner.lock().unwrap();
        inner
            .machines
            .iter()
            .filter(|m| m.gone_at.is_none())
            .filter_map(|m| m.worker.clone())
            .collect()
    }
    /// Number of machines that exist, booting ones included.
    pub fn machines(&self) -> usize {
        self.inner
            .lock()
            .unwrap()
            .machines
            .iter()
            .filter(|m| m.gone_at.is_none())
            .count()
    }
    /// Number of requests for machines since a time.
    pub fn requests_since(&self, time: f64) -> usize {
        self.inner
            .lock()
            .unwrap()
            .requests
            .iter()
            .filter(|at| **at >= time)
            .count()
    }

    /// When machines were last asked for.
    pub fn last_request(&self) -> Option<f64> {
        self.inner.lock().unwrap().requests.last().copied()
    }

    /// Takes a machine back, with no notice.
    pub fn take(&self, name: &str) {
        let mut inner = self.inner.lock().unwrap();
        let now = self.world.record.now();
        if let Some(machine) = inner
            .machines
            .iter_mut()
            .find(|m| m.name == name && m.gone_at.is_none())
        {
            machine.gone_at = Some(now);
            self.world
                .record
                .log("cloud", format!("{name} is taken back, with no notice"));
            if let Some(worker) = &machine.worker {
                worker.set_health(Health::Gone);
            }
        }
    }

    /// A machine stops with all that is on it. It is listed as running for 30 s more, then as failed.
    pub fn die(&self, name: &str) {
        let mut inner = self.inner.lock().unwrap();
        let now = self.world.record.now();
        if let Some(machine) = inner
            .machines
            .iter_mut()
            .find(|m| m.name == name && m.gone_at.is_none())
        {
            machine.died_at = Some(now);
            self.world.record.log("cloud", format!("{name} dies"));
            if let Some(worker) = &machine.worker {
                worker.set_health(Health::Gone);
            }
        }
    }

    fn handle(self: Arc<Cloud>, request: &Request) -> Reply {
        sleep(0.05);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => self.types(),
            ("POST", "/machines") => self.rent(&Value::decode(&request.body)?),
            ("POST", "/machines/delete") => self.delete(&Value::decode(&request.body)?),
            ("GET", "/machines") => self.list(request.param("From")),
            _ => Some((400, map(vec![]).encode())),
        }
    }

    fn types(&self) -> Reply {
        let zones: Vec<Value> = self.world.site.zones.iter().map(|z| text(*z)).collect();
        let flavors = self
            .world
            .site
            .types
            .iter()
            .map(|kind| {
                map(vec![
                    ("Label", text(kind.name)),
                    ("Cores", Value::Float(kind.cpus)),
                    ("Gpus", Value::Float(0.0)),
                    ("RamGb", Value::Float(kind.ram_gb)),
                    ("LocalGb", Value::Float(70.0)),
                    ("PullGbPerS", Value::Float(kind.pull_gb_per_s)),
                    ("Hourly", Value::Float(kind.hourly)),
                    ("MarketPrice", Value::Float(kind.market)),
                    ("ReadyS", Value::Float(kind.ready_s)),
                    ("Groves", Value::List(zones.clone())),
                ])
            })
            .collect();
        Some((200, map(vec![("Flavors", Value::List(flavors))]).encode()))
    }

    fn rent(self: &Arc<Cloud>, body: &Value) -> Reply {
        let bid = body.str("Bid")?.to_owned();
        let (flavor, zone) = (body.str("Flavor")?, body.str("Grove")?.to_owned());
        let spot = body.bool("Windfall")?;
        let count = body.u64("Count")?.min(50) as usize;
        let now = self.world.record.now();
        let mut inner = self.inner.lock().unwrap();
        inner.requests.push(now);
        if let Some(hosts) = inner.bids.get(&bid) {
            return Some((200, hosts_body(hosts)));
        }
        let kind = self
            .world
            .site
            .types
            .iter()
            .find(|kind| kind.name == flavor)?
            .clone();
        let most = if spot { kind.spot } else { kind.ordinary };
        let taken = inner
            .machines
            .iter()
            .filter(|m| {
                m.gone_at.is_none() && m.kind.name == flavor && m.zone == zone && m.spot == spot
            })
            .count();
        let count = count.min(most.saturating_sub(taken));
        self.world.record.log(
            "cloud",
            format!(
                "asked for machines: {flavor} in {zone}, spot {spot}, bid {bid}: {count} rented"
            ),
        );
        if count == 0 {
            return Some((503, map(vec![("error", text("no capacity"))]).encode()));
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            let number = inner.machines.len();
            let name = format!("host-{number:06}");
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            inner.machines.push(Machine {
                name: name.clone(),
                kind: kind.clone(),
                zone: zone.clone(),
                spot,
                endpoint: listener.local_addr().expect("an address"),
                rented_at: now,
                up_at: None,
                gone_at: None,
                died_at: None,
                worker: None,
            });
            hosts.push(name);
            let cloud = self.clone();
            std::thread::spawn(move || cloud.boot(number, listener));
        }
        inner.bids.insert(bid, hosts.clone());
        Some((200, hosts_body(&hosts)))
    }

    fn boot(&self, number: usize, listener: TcpListener) {
        sleep((self.boot_s)(number));
        let mut inner = self.inner.lock().unwrap();
        let machine = &mut inner.machines[number];
        if machine.gone_at.is_some() {
            return;
        }
        machine.up_at = Some(self.world.record.now());
        self.world
            .record
            .log("cloud", format!("{} is up", machine.name));
        let worker = Worker::start(
            self.world.clone(),
            &machine.name,
            &machine.kind,
            &machine.zone,
            machine.spot,
            listener,
        );
        let health = (self.first_health)(number);
        if health != Health::Well {
            worker.set_health(health);
        }
        machine.worker = Some(worker);
    }

    fn delete(&self, body: &Value) -> Reply {
        let now = self.world.record.now();
        let mut inner = self.inner.lock().unwrap();
        for host in body.list("Hosts") {
            let Value::Text(name) = host else { continue };
            if let Some(machine) = inner
                .machines
                .iter_mut()
                .find(|m| m.name == *name && m.gone_at.is_none())
            {
                machine.gone_at = Some(now);
                self.world.record.log("cloud", format!("{name} is deleted"));
                if let Some(worker) = &machine.worker {
                    worker.set_health(Health::Gone);
                }
            }
        }
        Some((200, map(vec![]).encode()))
    }

    /// The list, as it was `list_lag_s` ago.
    fn list(&self, from: Option<&str>) -> Reply {
        let then = self.world.record.now() - self.world.site.list_lag_s;
        let inner = self.inner.lock().unwrap();
        let hosts = inner
            .machines
            .iter()
            .filter(|m| from.is_none_or(|from| m.name.as_str() > from))
            .filter(|m| m.rented_at <= then && m.gone_at.is_none_or(|at| at > then))
            .take(500)
            .map(|m| {
                let status = match (m.died_at, m.up_at) {
                    (Some(at), _) if at + 30.0 <= then => "failed",
                    (_, Some(at)) if at <= then => "running",
                    _ => "starting",
                };
                map(vec![
                    ("NameId", text(&m.name)),
                    ("Endpoint", text(m.endpoint.to_string())),
                    ("Flavor", text(m.kind.name)),
                    ("Grove", text(&m.zone)),
                    ("Windfall", Value::Bool(m.spot)),
                    ("Status", text(status)),
                    ("AgeS", Value::Float(then - m.rented_at)),
                ])
            })
            .collect();
        Some((
            200,
            map(vec![
                ("Hosts", Value::List(hosts)),
                ("More", Value::Bool(false)),
            ])
            .encode(),
        ))
    }
}

fn hosts_body(hosts: &[String]) -> Vec<u8> {
    map(vec![(
        "Hosts",
        Value::List(hosts.iter().map(text).collect()),
    )])
    .encode()
}
