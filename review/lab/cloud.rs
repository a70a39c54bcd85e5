//! The cloud of PROTOCOL: rents machines, lists them late and deletes them.

use crate::cbor::Value;
use crate::http::{self, Reply, Request};
use crate::machine::{Workers, random};
use crate::site::Site;
use crate::world::{Inner, Machine};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How the machines of a run behave; all of it may be changed while the cloud runs.
pub struct Plan {
    /// How many machines of a type, a zone and a kind there are; without an entry there are none.
    pub capacity: BTreeMap<(&'static str, &'static str, bool), usize>,
    /// The boot time of the machines that are rented now, in seconds.
    pub boot_s: (f64, f64),
    /// Ordinary machines that are rented now are faulty: every task fails there.
    pub faulty: bool,
}

#[derive(Clone)]
pub struct Cloud {
    workers: Workers,
    site: Arc<Site>,
    pub plan: Arc<Mutex<Plan>>,
    rented: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    /// The address of the machines.
    address: IpAddr,
}

fn error(status: u16, text: &str) -> Reply {
    Some((status, Value::map(vec![("error", Value::text(text))])))
}

impl Cloud {
    pub fn new(workers: Workers, site: Arc<Site>, plan: Plan, address: IpAddr) -> Cloud {
        let plan = Arc::new(Mutex::new(plan));
        Cloud {
            workers,
            site,
            plan,
            rented: Arc::default(),
            address,
        }
    }

    pub fn serve(&self, listener: TcpListener) {
        let cloud = self.clone();
        http::serve(listener, move |request| cloud.handle(&request));
    }

    /// Changes the plan.
    pub fn change(&self, change: impl FnOnce(&mut Plan)) {
        if let Ok(mut plan) = self.plan.lock() {
            change(&mut plan);
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        std::thread::sleep(Duration::from_millis(100));
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => self.types(),
            ("POST", "/machines") => self.rent(&request.body),
            ("POST", "/machines/delete") => self.delete(&request.body),
            ("GET", "/machines") => self.list(request),
            _ => error(400, "no such path"),
        }
    }

    fn types(&self) -> Reply {
        let zones: Vec<Value> = self
            .site
            .zones
            .iter()
            .map(|zone| Value::text(zone))
            .collect();
        let types = self.site.types.iter().map(|kind| {
            Value::map(vec![
                ("Label", Value::text(kind.name)),
                ("Cores", Value::Float(kind.cpus)),
                ("Gpus", Value::Float(0.0)),
                ("RamGb", Value::Float(kind.ram_gb)),
                ("LocalGb", Value::Float(kind.cache_gb)),
                ("PullGbPerS", Value::Float(kind.pull_gb_per_s)),
                ("Hourly", Value::Float(kind.hourly)),
                ("MarketPrice", Value::Float(kind.market)),
                ("ReadyS", Value::Float(kind.boot_s)),
                ("Groves", Value::List(zones.clone())),
            ])
        });
        Some((
            200,
            Value::map(vec![("Flavors", Value::List(types.collect()))]),
        ))
    }

    fn rent(&self, body: &Value) -> Reply {
        let record = &self.workers.world.record;
        let bid = body.get("Bid").str().to_owned();
        let names = |names: &[String]| {
            let names = names.iter().map(|name| Value::text(name)).collect();
            Some((200, Value::map(vec![("Hosts", Value::List(names))])))
        };
        let mut rented = self
            .rented
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some(hosts) = rented.get(&bid) {
            return names(hosts);
        }
        let kind = self
            .site
            .types
            .iter()
            .find(|kind| kind.name == body.get("Flavor").str());
        let zone = self
            .site
            .zones
            .iter()
            .find(|zone| **zone == body.get("Grove").str());
        let (Some(kind), Some(zone)) = (kind, zone) else {
            return error(400, "malformed");
        };
        let (spot, count) = (
            body.get("Windfall").bool(),
            body.get("Count").u64() as usize,
        );
        let plan = self
            .plan
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let capacity = plan
            .capacity
            .get(&(kind.name, *zone, spot))
            .copied()
            .unwrap_or(0);
        let inner = &mut *self.workers.world.lock();
        let alive = |m: &&Machine| {
            m.gone_at.is_none() && m.kind == kind.name && m.zone == *zone && m.spot == spot
        };
        let existing = inner.machines.values().filter(alive).count();
        let count = count.min(50).min(capacity.saturating_sub(existing));
        if count == 0 {
            record.line(&format!(
                "cloud: no capacity for {} {zone} spot {spot}",
                kind.name
            ));
            return error(503, "no capacity");
        }
        let mut hosts = Vec::new();
        for _ in 0..count {
            let name = format!("host-{:06}", inner.machines.len() + 1);
            let now = record.now();
            let boot_s = plan.boot_s.0 + random() * (plan.boot_s.1 - plan.boot_s.0);
            let machine = Machine {
                name: name.clone(),
                kind: kind.name,
                cpus: kind.cpus,
                ram_gb: kind.ram_gb,
                pull_gb_per_s: kind.pull_gb_per_s,
                zone,
                spot,
                rented_at: now,
                up_at: None,
                gone_at: None,
                endpoint: None,
                tasks: Vec::new(),
                images: BTreeMap::new(),
                tenure: 1,
                tick: 0,
                token: 0,
                lease_from: now,
                changed: false,
                token_reported_at: f64::NEG_INFINITY,
                faulty: plan.faulty && !spot,
                failed: BTreeSet::new(),
                died: false,
            };
            record.line(&format!(
                "cloud: {bid} rents {name} {} {zone} spot {spot} faulty {}, boots {boot_s:.1} s",
                kind.name, machine.faulty
            ));
            inner.machines.insert(name.clone(), machine);
            let (cloud, host) = (self.clone(), name.clone());
            std::thread::spawn(move || cloud.boot(&host, boot_s));
            hosts.push(name);
        }
        let reply = names(&hosts);
        rented.insert(bid, hosts);
        reply
    }

    fn boot(&self, name: &str, boot_s: f64) {
        std::thread::sleep(Duration::from_secs_f64(boot_s));
        let Ok(listener) = TcpListener::bind((self.address, 0)) else {
            return;
        };
        {
            let now = self.workers.world.record.now();
            let inner = &mut *self.workers.world.lock();
            let Some(machine) = inner.machines.get_mut(name) else {
                return;
            };
            if machine.gone_at.is_some() {
                return;
            }
            machine.up_at = Some(now);
            machine.lease_from = now;
            machine.endpoint = listener.local_addr().ok();
        }
        self.workers.world.record.line(&format!("{name}: up"));
        self.workers.start(name, listener);
    }

    fn delete(&self, body: &Value) -> Reply {
        let inner = &mut *self.workers.world.lock();
        for name in body.get("Hosts").list() {
            if let Some(machine) = inner.machines.get_mut(name.str()) {
                machine.died = false;
            }
            self.workers
                .world
                .remove_machine(inner, name.str(), "deleted");
        }
        Some((200, Value::Map(Vec::new())))
    }

    /// Stops a machine with all that is on it. The cloud has no other in its place.
    pub fn die(&self, name: &str) {
        let inner = &mut *self.workers.world.lock();
        self.workers
            .world
            .remove_machine(inner, name, "stopped by itself");
        if let Some(machine) = inner.machines.get_mut(name) {
            machine.died = true;
            let pool = (machine.kind, machine.zone, machine.spot);
            self.change(|plan| {
                if let Some(capacity) = plan.capacity.get_mut(&pool) {
                    *capacity = capacity.saturating_sub(1);
                }
            });
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let now = self.workers.world.record.now();
        let as_of = now - self.site.list_lag_s * (0.5 + random());
        let from = request.query("From").unwrap_or("");
        let page: usize = request
            .query("Page")
            .and_then(|n| n.parse().ok())
            .unwrap_or(500);
        let inner: &Inner = &self.workers.world.lock();
        let listed = inner.machines.values().filter(|m| {
            // "When a machine dies, it is listed as `running` for about 30 s more."
            let late_s = if m.died { 30.0 } else { 0.0 };
            m.name.as_str() > from
                && m.rented_at <= as_of
                && m.gone_at.is_none_or(|at| at + late_s > as_of)
        });
        let mut hosts: Vec<Value> = listed
            .map(|m| {
                let up = m.up_at.is_some_and(|at| at <= as_of);
                let endpoint = m
                    .endpoint
                    .filter(|_| up)
                    .map_or(String::new(), |at| at.to_string());
                Value::map(vec![
                    ("NameId", Value::text(&m.name)),
                    ("Endpoint", Value::text(&endpoint)),
                    ("Flavor", Value::text(m.kind)),
                    ("Grove", Value::text(m.zone)),
                    ("Windfall", Value::Bool(m.spot)),
                    (
                        "Status",
                        Value::text(if up { "running" } else { "starting" }),
                    ),
                    ("AgeS", Value::Float(as_of - m.rented_at)),
                ])
            })
            .collect();
        let page = page.min(500);
        let more = hosts.len() > page;
        hosts.truncate(page);
        Some((
            200,
            Value::map(vec![
                ("Hosts", Value::List(hosts)),
                ("More", Value::Bool(more)),
            ]),
        ))
    }
}
