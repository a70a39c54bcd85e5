//! Which waiting task goes where, and what must make room for it. Pure arithmetic on the tables.

use crate::bookkeeping::hosts::{Host, Hosts, Room};
use crate::bookkeeping::jobs::{Job, Jobs};
use crate::bookkeeping::quotas::Quotas;
use crate::protocol::cloud::Flavor;
use crate::protocol::job::{JobSpec, Rank, Shape};
use crate::protocol::worker::TaskId;
use rand::Rng;
use rand::seq::index::sample;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Hosts looked at for one job; where there are more, a random sample stands for all.
const SAMPLE: usize = 64;
/// Tasks placed in one pass.
const MAX_BINDS: usize = 128;
/// Tasks stopped in one pass.
const MAX_HALTS: usize = 32;

/// Tasks of a job that found no room.
#[derive(Debug, Clone, PartialEq)]
pub struct Unplaced {
    /// Job id.
    pub job: String,
    /// How many.
    pub count: u32,
    /// For how long the oldest has waited.
    pub age_s: f64,
}

/// What a pass decided.
#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    /// Tasks and their hosts.
    pub binds: Vec<(TaskId, String)>,
    /// Bound tasks to be stopped for others: host and task.
    pub halts: Vec<(String, TaskId)>,
    /// What found no room.
    pub unplaced: Vec<Unplaced>,
}

/// What a task takes.
pub fn need(spec: &JobSpec) -> Room {
    Room {
        cpus: spec.cpus,
        gpus: spec.gpus,
        ram: spec.ram,
    }
}

struct Slot<'a> {
    host: &'a Host,
    whole: Room,
    free: Room,
    /// Room that tasks being stopped will give, minus what it is already meant for.
    leaving: Room,
}

/// One pass over the waiting tasks.
pub struct Pass<'a> {
    jobs: &'a Jobs,
    quotas: Quotas,
    slots: Vec<Slot<'a>>,
    plan: Plan,
    stopped: HashSet<(String, TaskId)>,
    within: HashSet<String>,
    now: f64,
}

/// Jobs that fit into their team's guarantee together with the team's earlier unfinished jobs.
fn within_guarantee(jobs: &Jobs, quotas: &Quotas) -> HashSet<String> {
    let mut by_age: Vec<&Job> = jobs.iter().collect();
    by_age.sort_by(|a, b| {
        a.since
            .total_cmp(&b.since)
            .then_with(|| a.spec.id.cmp(&b.spec.id))
    });
    let mut sums: HashMap<&str, (f64, f64)> = HashMap::new();
    let mut within = HashSet::new();
    for job in by_age {
        let spec = &job.spec;
        let sum = sums.entry(&spec.team).or_default();
        sum.0 += spec.cpus * f64::from(spec.tasks);
        sum.1 += spec.gpus * f64::from(spec.tasks);
        if quotas.guarantees(&spec.team, sum.0, sum.1) {
            within.insert(spec.id.clone());
        }
    }
    within
}

/// The order in which jobs get room: priority, then within the guarantee, then those that can
/// still be on time, the earliest deadline first.
fn order_key(job: &Job, within: &HashSet<String>, now: f64) -> (Rank, bool, bool, f64) {
    let within = within.contains(&job.spec.id);
    let due = job.due.unwrap_or(job.since);
    let late = job.due.is_some_and(|due| due < now);
    (job.spec.rank, !within, late, due)
}

impl<'a> Pass<'a> {
    /// Prepares a pass.
    pub fn new(
        jobs: &'a Jobs,
        hosts: &'a Hosts,
        flavors: &[Flavor],
        quotas: &Quotas,
        now: f64,
    ) -> Pass<'a> {
        let sizes: HashMap<&str, Room> = flavors
            .iter()
            .map(|f| (f.name.as_str(), Room::of_flavor(f)))
            .collect();
        let slots = hosts
            .iter()
            .filter(|host| host.usable() && host.errors < MAX_ERRORS)
            .filter_map(|host| {
                let whole = *sizes.get(host.flavor.as_str())?;
                Some(Slot {
                    host,
                    whole,
                    free: whole.minus(&host.used()),
                    leaving: host.leaving(),
                })
            })
            .collect();
        Pass {
            jobs,
            quotas: quotas.clone(),
            slots,
            plan: Plan::default(),
            stopped: HashSet::new(),
            within: within_guarantee(jobs, quotas),
            now,
        }
    }

    /// Decides.
    pub fn run(mut self, rng: &mut impl Rng) -> Plan {
        let now = self.now;
        let mut order: Vec<((Rank, bool, bool, f64), String)> = self
            .jobs
            .iter()
            .filter(|job| now >= job.not_before && job.waiting() > 0)
            .filter(|job| job.spec.shape != Shape::Group || job.bound.is_empty())
            .map(|job| (order_key(job, &self.within, now), job.spec.id.clone()))
            .collect();
        order.sort_by(|(a, x), (b, y)| {
            (a.0, a.1, a.2)
                .cmp(&(b.0, b.1, b.2))
                .then(a.3.total_cmp(&b.3))
                .then(x.cmp(y))
        });
        for (_, id) in order {
            self.place_job(&id, rng);
        }
        self.plan
    }

    fn place_job(&mut self, id: &str, rng: &mut impl Rng) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec.clone();
        let waiting = job.waiting();
        let age_s = self.now - job.waiting_since;
        let mut zones = job.zones.clone();
        let tasks: Vec<u32> = job.waiting_tasks().take(MAX_BINDS).collect();
        let need = need(&spec);
        let mut candidates = self.candidates(&spec, rng);
        let mut placed = 0;
        // The tasks of a group start together or not at all; what has been tried is taken back.
        let together = spec.shape == Shape::Group;
        let before = (self.plan.binds.len(), self.quotas.clone());
        // Tasks that the machines with room still show from an attempt that may come back; they
        // need another machine.
        let mut barred = 0;
        let mut limited = false;
        for index in tasks {
            if self.plan.binds.len() >= MAX_BINDS {
                break;
            }
            limited = !self.quotas.fits(&spec.team, spec.cpus, spec.gpus);
            if limited {
                break;
            }
            if spec.one_zone && zones.is_empty() {
                self.choose_zone(&mut candidates, &need);
            }
            let task = TaskId {
                job: id.to_owned(),
                index,
            };
            let Some(slot) = self.best_slot(&candidates, &spec, &need, &zones, &task) else {
                let shown = |i: &usize| self.slots[*i].host.steps.contains_key(&task);
                if candidates.iter().any(shown) {
                    barred += 1;
                    continue;
                }
                break;
            };
            let chosen = &mut self.slots[slot];
            chosen.free = chosen.free.minus(&need);
            *zones.entry(chosen.host.zone.clone()).or_default() += 1;
            self.quotas.take(&spec.team, spec.cpus, spec.gpus);
            self.plan.binds.push((task, chosen.host.name.clone()));
            placed += 1;
        }
        if together && placed < waiting {
            for (_, name) in self.plan.binds.drain(before.0..) {
                if let Some(slot) = self.slots.iter_mut().find(|s| s.host.name == name) {
                    slot.free = slot.free.plus(&need);
                }
            }
            self.quotas = before.1;
            zones.clear();
            placed = 0;
        }
        if limited {
            // More room would not help: the team's limit holds them back.
            return;
        }
        let mut missing = waiting - placed - barred;
        while missing > 0 && self.quotas.fits(&spec.team, spec.cpus, spec.gpus) {
            if !self.make_room(&candidates, &spec, &need, &zones) {
                break;
            }
            self.quotas.take(&spec.team, spec.cpus, spec.gpus);
            missing -= 1;
        }
        let missing = (missing + barred).min(self.quotas.room(&spec.team, spec.cpus, spec.gpus));
        if missing > 0 {
            self.plan.unplaced.push(Unplaced {
                job: id.to_owned(),
                count: missing,
                age_s,
            });
        }
    }

    fn candidates(&self, spec: &JobSpec, rng: &mut impl Rng) -> Vec<usize> {
        let all: Vec<usize> = (0..self.slots.len())
            .filter(|i| {
                let host = self.slots[*i].host;
                spec.allows(&host.flavor, &host.zone, host.spot)
            })
            .collect();
        if all.len() <= SAMPLE {
            return all;
        }
        sample(rng, all.len(), SAMPLE)
            .iter()
            .map(|i| all[i])
            .collect()
    }

    /// For a job that must stay in one zone and has no task anywhere: the zone with most room.
    fn choose_zone(&self, candidates: &mut Vec<usize>, need: &Room) {
        let mut room: BTreeMap<&str, u32> = BTreeMap::new();
        for i in candidates.iter() {
            let slot = &self.slots[*i];
            *room.entry(&slot.host.zone).or_default() += slot.free.count(need);
        }
        if let Some(zone) = room
            .into_iter()
            .max_by_key(|(_, count)| *count)
            .map(|(zone, _)| zone.to_owned())
        {
            candidates.retain(|i| self.slots[*i].host.zone == zone);
        }
    }

    fn zone_allows(spec: &JobSpec, zones: &HashMap<String, u32>, zone: &str) -> bool {
        if spec.one_zone && !zones.is_empty() && !zones.contains_key(zone) {
            return false;
        }
        zones.get(zone).copied().unwrap_or(0) < spec.zone_limit()
    }

    /// The host that a task goes to: for jobs that may use spot machines those first; fewer
    /// replicas in the zone; the image at hand; then the fullest.
    fn best_slot(
        &self,
        candidates: &[usize],
        spec: &JobSpec,
        need: &Room,
        zones: &HashMap<String, u32>,
        task: &TaskId,
    ) -> Option<usize> {
        candidates
            .iter()
            .copied()
            .filter(|i| {
                let slot = &self.slots[*i];
                slot.free.fits(need)
                    && !slot.host.steps.contains_key(task)
                    && Self::zone_allows(spec, zones, &slot.host.zone)
            })
            .min_by(|a, b| {
                let key = |i: usize| {
                    let slot = &self.slots[i];
                    let replicas = if spec.spread {
                        zones.get(&slot.host.zone).copied().unwrap_or(0)
                    } else {
                        0
                    };
                    let image = slot.host.images.contains(&spec.image);
                    let left = slot.free.minus(need).share_of(&slot.whole);
                    // What must start soon goes first of all where nothing has to be fetched.
                    let fetch = spec.rank <= Rank::Urgent && !image;
                    (fetch, spec.spot && !slot.host.spot, replicas, !image, left)
                };
                let (a, b) = (key(*a), key(*b));
                (a.0, a.1, a.2, a.3)
                    .cmp(&(b.0, b.1, b.2, b.3))
                    .then(a.4.total_cmp(&b.4))
            })
    }

    /// Finds room that is about to be given up, or stops tasks of lower standing for it.
    fn make_room(
        &mut self,
        candidates: &[usize],
        spec: &JobSpec,
        need: &Room,
        zones: &HashMap<String, u32>,
    ) -> bool {
        let usable: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|i| Self::zone_allows(spec, zones, &self.slots[*i].host.zone))
            .collect();
        for i in &usable {
            let slot = &mut self.slots[*i];
            let room = slot.free.plus(&slot.leaving);
            if room.fits(need) {
                slot.leaving = slot.leaving.minus(need);
                return true;
            }
        }
        let within = self.within.contains(&spec.id);
        let best = usable
            .iter()
            .filter_map(|i| self.victims(*i, spec, need, within).map(|v| (*i, v)))
            .min_by(|(i, a), (j, b)| {
                let fetch = |i: usize| !self.slots[i].host.images.contains(&spec.image);
                fetch(*i).cmp(&fetch(*j)).then(a.1.total_cmp(&b.1))
            });
        let Some((i, (victims, _))) = best else {
            return false;
        };
        if self.plan.halts.len() + victims.len() > MAX_HALTS {
            return false;
        }
        let name = self.slots[i].host.name.clone();
        for task in victims {
            if let Some(binding) = self.slots[i].host.bindings.get(&task) {
                let freed = binding.need;
                self.slots[i].leaving = self.slots[i].leaving.plus(&freed);
            }
            self.stopped.insert((name.clone(), task.clone()));
            self.plan.halts.push((name.clone(), task));
        }
        self.slots[i].leaving = self.slots[i].leaving.minus(need);
        true
    }

    /// The tasks of lower standing on a host that would have to stop, the least work lost first,
    /// and the work lost.
    fn victims(
        &self,
        i: usize,
        spec: &JobSpec,
        need: &Room,
        within: bool,
    ) -> Option<(Vec<TaskId>, f64)> {
        let slot = &self.slots[i];
        let mut movable: Vec<(&TaskId, f64, Room)> = slot
            .host
            .bindings
            .iter()
            .filter(|(task, b)| {
                b.halt.is_none()
                    && !b.ending
                    && !self
                        .stopped
                        .contains(&(slot.host.name.clone(), (*task).clone()))
            })
            .filter(|(task, b)| {
                let Some(victim) = self.jobs.get(&task.job) else {
                    return false;
                };
                let below = victim.spec.rank > spec.rank;
                let borrowed = within
                    && !victim.standing()
                    && victim.spec.team != spec.team
                    && self
                        .quotas
                        .beyond_without(&b.team, b.need.cpus, b.need.gpus);
                below || borrowed
            })
            .map(|(task, b)| {
                let lost = b.running.map_or(0.0, |since| self.now - since) * b.need.cpus.max(0.1);
                (task, lost, b.need)
            })
            .collect();
        movable.sort_by(|a, b| a.1.total_cmp(&b.1));
        let mut room = slot.free.plus(&slot.leaving);
        let mut victims = Vec::new();
        let mut cost = 0.0;
        for (task, lost, freed) in movable {
            if room.fits(need) {
                break;
            }
            room = room.plus(&freed);
            cost += lost;
            victims.push(task.clone());
        }
        (room.fits(need) && !victims.is_empty()).then_some((victims, cost))
    }
}

/// Failed starts in a row after which a host gets no more work.
pub const MAX_ERRORS: u32 = 3;
