//! Case 6: a team's services keep what another team is guaranteed.

use crate::lab::Lab;
use crate::site;
use crate::world::{Inner, Spec, job_of, on};

/// How long the job within its team's guarantee may wait. DEPLOY sets no time; this is the longest that the pages allow a
/// job to be left waiting once the troubles are over.
const LEFT_WAITING_S: f64 = 90.0;
/// Time in which the leader may find out that a machine has stopped.
const NOTICE_S: f64 = 5.0;
/// What each team is guaranteed, in CPUs.
const GUARANTEE: f64 = 32.0;

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    let mut lab = Lab::new("6", site::dallim())?;
    let record = lab.record.clone();
    // Four machines in all.
    lab.cloud.change(|plan| {
        plan.capacity.insert(("hanbit-core", "gasan", false), 4);
    });
    lab.start()?;
    // Six services of the team 00 fill three machines: 48 CPUs, of which 32 are guaranteed.
    let service = |id: u32| Spec {
        class: "activate-api",
        ram_gb: 7.4,
        pull_gb: 0.1,
        ..Spec::service(id, "activation-core-00", 4)
    };
    let services: Vec<Spec> = (1..=6).map(service).collect();
    // An array of the team 01, within its guarantee; it runs on the fourth machine.
    let array = Spec {
        class: "profile-stock",
        ram_gb: 10.0,
        spot: false,
        pull_gb: 0.1,
        ..Spec::array(7, "activation-core-01", 2, 30.0)
    };
    for spec in &services {
        if !lab.users.submit(spec) {
            return Err("a service was not accepted".to_owned());
        }
    }
    lab.wait(18.0, |inner| {
        services.iter().all(|spec| on(inner, &spec.id) == 4)
    })?;
    if !lab.users.submit(&array) {
        return Err("the array was not accepted".to_owned());
    }
    lab.wait(23.0, |inner| on(inner, &array.id) == 2)?;
    if trouble {
        let host = host_of(&lab.world.lock(), &array.id);
        lab.cloud.die(&host.ok_or("the array is on no machine")?);
    }
    let mut waits_since = record.now() + NOTICE_S;
    let (mut longest_s, mut least) = (0.0, f64::INFINITY);
    let mut next_look_at = waits_since;
    while record.now() < 119.0 && longest_s < LEFT_WAITING_S {
        record.sleep_until(record.now() + 0.1);
        let now = record.now();
        let (runs, is_done, held) = {
            let inner = lab.world.lock();
            let replicas: usize = services.iter().map(|spec| on(&inner, &spec.id)).sum();
            let done = inner.jobs.get(&array.id).map_or(0, |job| job.done.len());
            (on(&inner, &array.id) > 0, done == 2, 2.0 * replicas as f64)
        };
        if is_done {
            record.line("the array is done");
            break;
        }
        if runs || held <= GUARANTEE {
            waits_since = f64::max(waits_since, now);
        }
        if now > waits_since {
            least = f64::min(least, held);
        }
        longest_s = f64::max(longest_s, now - waits_since);
        if now >= next_look_at {
            next_look_at = now + 10.0;
            record.line(&format!(
                "team 00 holds {held} CPUs, the array runs: {runs}"
            ));
            let _ = lab.users.ask(((now / 10.0) as usize) % 3, &array.id);
        }
    }
    record.line(&format!(
        "the array waited for {longest_s:.1} s; team 00 held {least} CPUs at least meanwhile"
    ));
    let mut broken = lab.broken();
    if longest_s >= LEFT_WAITING_S {
        broken.push(format!(
            "a job within its team's guarantee waited for {longest_s:.1} s for another team, which held at least {least} CPUs with {GUARANTEE} guaranteed"
        ));
    }
    Ok(broken)
}

fn host_of(inner: &Inner, job: &str) -> Option<String> {
    let mut machines = inner
        .machines
        .values()
        .filter(|machine| machine.gone_at.is_none());
    let found = machines.find(|machine| {
        machine
            .tasks
            .iter()
            .any(|task| job_of(&task.name) == job && task.is_on())
    });
    found.map(|machine| machine.name.clone())
}
