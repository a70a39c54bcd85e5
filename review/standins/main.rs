//! The stand-ins of the review's cases, and the cases themselves: state service, cloud with machines and workers, and
//! users, around real controller processes on loopback.
//!
//! `standins CASE RECORD ROOT FOLDER`: plays a case and writes its record. `TROUBLE=0` in the environment leaves the
//! disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod cases;
mod cbor;
mod cloud;
mod controllers;
mod http;
mod record;
mod site;
mod state;
mod users;
mod worker;
mod world;

use cloud::{BootTime, Cloud, FirstHealth};
use controllers::Controllers;
use record::Record;
use site::Site;
use state::StateService;
use std::path::Path;
use std::sync::Arc;
use world::World;

/// The running parts of a case.
pub struct Run {
    pub record: Arc<Record>,
    pub world: Arc<World>,
    pub cloud: Arc<Cloud>,
    pub controllers: Controllers,
    /// Whether the disruption happens.
    pub trouble: bool,
}

impl Run {
    /// Starts the stand-ins and the controllers, and waits until the controllers serve.
    pub fn start(
        args: &Args,
        site: Site,
        boot_s: BootTime,
        first_health: FirstHealth,
    ) -> Option<Run> {
        let record = Arc::new(Record::create(&args.record).ok()?);
        record.log(
            "run",
            format!("case {}, trouble {}", args.case, args.trouble),
        );
        let world = World::new(record.clone(), site.clone());
        let states = StateService::start(record.clone(), site.clone(), site.nodes);
        let (cloud, cloud_address) = Cloud::start(world.clone(), boot_s, first_health);
        let mut controllers = Controllers::new(
            record.clone(),
            Path::new(&args.root),
            Path::new(&args.folder),
            site.nodes,
            &world.random,
        )?;
        controllers
            .write_settings(&site, cloud_address, &states)
            .ok()?;
        world.set_nodes(controllers.addresses.clone());
        for node in 0..site.nodes {
            if !controllers.start(node) {
                return None;
            }
        }
        for node in 0..site.nodes {
            if !controllers.wait_healthy(node, 15.0) {
                record.log("run", format!("rung-{node} is not healthy"));
                return None;
            }
        }
        if !controllers.all_run() {
            record.log("run", "a controller has ended");
            return None;
        }
        Some(Run {
            record,
            world,
            cloud,
            controllers,
            trouble: args.trouble,
        })
    }

    /// Waits until a condition holds, for up to `for_s` seconds. Returns whether it does.
    pub fn wait(&self, for_s: f64, mut condition: impl FnMut(&Run) -> bool) -> bool {
        let until = self.record.now() + for_s;
        while self.record.now() < until {
            if condition(self) {
                return true;
            }
            record::sleep(0.05);
        }
        condition(self)
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

pub struct Args {
    pub case: String,
    pub record: String,
    pub root: String,
    pub folder: String,
    pub trouble: bool,
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.len() != 5 {
        eprintln!("usage: standins CASE RECORD ROOT FOLDER");
        std::process::exit(2);
    }
    let args = Args {
        case: words[1].clone(),
        record: words[2].clone(),
        root: words[3].clone(),
        folder: words[4].clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = cases::play(&args);
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CouldNotRun => 2,
    });
}
