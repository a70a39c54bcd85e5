//! Case 5: a service that crash-loops when the leader ends keeps one replica for ever.

use crate::lab::Lab;
use crate::site;
use crate::world::{Inner, Spec, on, used};

/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const LEFT_WAITING_S: f64 = 90.0;

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    let mut lab = Lab::new("5", site::lima())?;
    let record = lab.record.clone();
    // One sound cheap machine; ordinary ones in the other zone, and those that are rented first are faulty.
    lab.cloud.change(|plan| {
        plan.boot_s = (1.0, 1.3);
        plan.capacity
            .insert(("quipu-chico", "lima-centro", true), 1);
        plan.capacity.insert(("quipu-chico", "arequipa", false), 4);
        plan.faulty = true;
    });
    lab.start()?;
    // A service that fills the cheap machine, and the one that the case is about.
    let types = Some(vec!["quipu-chico"]);
    let filler = Spec {
        types,
        zone: Some("lima-centro"),
        cpus: 4.0,
        ram_gb: 5.7,
        rank: "normal",
        spot: true,
        pull_gb: 0.1,
        ..Spec::service(1, "campo-sur-00", 2)
    };
    let service = Spec {
        id: "j-000002".to_owned(),
        team: "campo-sur-01".to_owned(),
        zone: None,
        steps: 8,
        ..filler.clone()
    };
    if !lab.users.submit(&filler) || !lab.users.submit(&service) {
        return Err("a job was not accepted".to_owned());
    }
    lab.wait(25.0, |inner| failed_on(inner, &service.id) >= 3)?;
    // The machines that failed it are given back; others are there again once the troubles are over.
    lab.cloud.change(|plan| {
        plan.capacity.insert(("quipu-chico", "arequipa", false), 0);
        plan.faulty = false;
    });
    lab.wait(25.0, |inner| {
        let mut machines = inner.machines.values();
        machines.all(|machine| !machine.faulty || machine.gone_at.is_some())
    })?;
    let leader = lab.leader().ok_or("no leader")?;
    // The cheap machine becomes free.
    if !lab.users.cancel(&filler.id) {
        return Err("the cancellation was not confirmed".to_owned());
    }
    record.sleep_until(record.now() + 0.5);
    if trouble {
        lab.nodes.kill(leader);
    }
    // "back about 5 s after an end"
    record.sleep_until(record.now() + 5.0);
    lab.nodes.start(leader)?;
    lab.cloud.change(|plan| {
        plan.capacity.insert(("quipu-chico", "arequipa", false), 4);
    });
    record.line("no trouble from here on");
    let over_at = record.now();
    let mut waiting_since: Vec<Option<f64>> = vec![None; service.steps as usize];
    let mut longest_s = 0.0;
    let mut next_look_at = over_at;
    while record.now() < 118.0 && longest_s < LEFT_WAITING_S {
        record.sleep_until(record.now() + 0.25);
        let now = record.now();
        {
            let inner = lab.world.lock();
            for (index, since) in waiting_since.iter_mut().enumerate() {
                let task = format!("{}/{index}", service.id);
                let waits = !is_anywhere(&inner, &task) && has_room(&inner, &service);
                *since = if waits {
                    Some(since.unwrap_or(now))
                } else {
                    None
                };
                longest_s = since.map_or(longest_s, |since| f64::max(longest_s, now - since));
            }
            if on(&inner, &service.id) as u32 == service.steps {
                record.line("all replicas run");
                break;
            }
        }
        if now >= next_look_at {
            next_look_at = now + 10.0;
            let _ = lab.users.ask(((now / 10.0) as usize) % 3, &service.id);
        }
    }
    record.line(&format!(
        "longest time that a replica was left waiting: {longest_s:.1} s"
    ));
    let mut broken = lab.broken();
    if longest_s >= LEFT_WAITING_S {
        let run = on(&lab.world.lock(), &service.id);
        broken.push(format!(
            "left waiting for {longest_s:.1} s while a machine that fits has room: {run} of {} replicas of {} run",
            service.steps, service.id
        ));
    }
    for text in &broken {
        record.line(text);
    }
    Ok(broken)
}

/// The number of machines on which a task of a job has failed.
fn failed_on(inner: &Inner, job: &str) -> usize {
    let failed = inner
        .machines
        .values()
        .filter(|machine| machine.failed.contains(job));
    failed.count()
}

/// Whether a task is on a machine, or fetches its image there.
fn is_anywhere(inner: &Inner, task: &str) -> bool {
    let machines = inner
        .machines
        .values()
        .filter(|machine| machine.gone_at.is_none());
    let mut tasks = machines.flat_map(|machine| &machine.tasks);
    tasks.any(|other| other.name == task && !other.has_exited())
}

/// Whether a sound machine that is up has room for one more task of a job.
fn has_room(inner: &Inner, spec: &Spec) -> bool {
    inner.machines.values().any(|machine| {
        let (cpus, ram_gb) = used(inner, machine);
        machine.up_at.is_some()
            && machine.gone_at.is_none()
            && !machine.faulty
            && spec
                .types
                .as_ref()
                .is_none_or(|types| types.contains(&machine.kind))
            && cpus + spec.cpus <= machine.cpus
            && ram_gb + spec.ram_gb <= machine.ram_gb
    })
}
