//! Case 4: two jobs stop each other's tasks for ever.

use crate::lab::Lab;
use crate::site;
use crate::world::{Inner, Spec, job_of, on};
use std::collections::BTreeMap;

/// How long the two jobs, whose tasks take 15 and 18 s, may go without the completion of a task. DEPLOY sets no time;
/// this is the longest that the pages allow a job to be left waiting once the troubles are over.
const LEFT_WAITING_S: f64 = 90.0;
/// Time in which the leader may find out that a machine has stopped.
const NOTICE_S: f64 = 5.0;

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    let mut lab = Lab::new("4", site::dallim())?;
    let record = lab.record.clone();
    // Four machines in all.
    lab.cloud.change(|plan| {
        plan.capacity.insert(("hanbit-core", "gasan", false), 4);
    });
    lab.start()?;
    // Two machines are taken up by a service of the team 00, which is its guarantee, and half of a third one by a service
    // of the team 02.
    let service = Spec {
        class: "activate-api",
        cpus: 16.0,
        ram_gb: 50.0,
        pull_gb: 0.1,
        ..Spec::service(1, "activation-core-00", 2)
    };
    let other_service = Spec {
        id: "j-000002".to_owned(),
        team: "activation-core-02".to_owned(),
        steps: 1,
        cpus: 8.0,
        ram_gb: 20.0,
        ..service.clone()
    };
    // An urgent array of the team 00, beyond its guarantee, and an array of the team 01, within its guarantee.
    let urgent = Spec {
        class: "carrier-sync",
        rank: "urgent",
        cpus: 1.0,
        ram_gb: 3.1,
        spot: false,
        pull_gb: 0.1,
        ..Spec::array(3, "activation-core-00", 12, 15.0)
    };
    let guaranteed = Spec {
        class: "profile-stock",
        ram_gb: 10.0,
        spot: false,
        pull_gb: 0.1,
        ..Spec::array(4, "activation-core-01", 2, 18.0)
    };
    if !lab.users.submit(&service) || !lab.users.submit(&other_service) {
        return Err("a service was not accepted".to_owned());
    }
    lab.wait(18.0, |inner| {
        on(inner, &service.id) == 2 && on(inner, &other_service.id) == 1
    })?;
    if !lab.users.submit(&urgent) || !lab.users.submit(&guaranteed) {
        return Err("an array was not accepted".to_owned());
    }
    lab.wait(27.0, |inner| {
        on(inner, &urgent.id) + on(inner, &guaranteed.id) >= 14 || is_done(inner, &guaranteed)
    })?;
    if trouble {
        let host = without(&lab.world.lock(), &[&service.id, &other_service.id]);
        lab.cloud.die(&host.ok_or("no machine without a service")?);
    }
    let over_at = record.now() + NOTICE_S;
    // The attempts that were on a machine, and the longest time of one.
    let mut seen: BTreeMap<(String, u64), f64> = BTreeMap::new();
    let (mut longest_s, mut longest_run_s) = (0.0, 0.0);
    let mut completed_at = over_at;
    let mut done = 0;
    let mut next_look_at = over_at;
    while record.now() < 119.0 {
        record.sleep_until(record.now() + 0.05);
        let now = record.now();
        let inner = lab.world.lock();
        for machine in inner
            .machines
            .values()
            .filter(|machine| machine.gone_at.is_none())
        {
            for task in machine.tasks.iter().filter(|task| task.is_on()) {
                if [&urgent.id, &guaranteed.id]
                    .iter()
                    .any(|id| *id == job_of(&task.name))
                {
                    let since = *seen.entry((task.name.clone(), task.attempt)).or_insert(now);
                    longest_run_s = f64::max(longest_run_s, now - f64::max(since, over_at));
                }
            }
        }
        let done_now = inner.jobs[&urgent.id].done.len() + inner.jobs[&guaranteed.id].done.len();
        if done_now > done {
            done = done_now;
            completed_at = f64::max(now, over_at);
        }
        longest_s = f64::max(longest_s, now - completed_at);
        let finished = is_done(&inner, &urgent) && is_done(&inner, &guaranteed);
        drop(inner);
        if now >= next_look_at {
            next_look_at = now + 10.0;
            let _ = lab.users.ask(((now / 10.0) as usize) % 3, &urgent.id);
            let _ = lab.users.ask(((now / 10.0) as usize) % 3, &guaranteed.id);
        }
        if finished || longest_s >= LEFT_WAITING_S {
            break;
        }
    }
    let attempts = |id: &str| seen.keys().filter(|(task, _)| job_of(task) == id).count();
    let what = format!(
        "for {longest_s:.1} s no task of {} or {} completed; they were started {} and {} times, and the longest run of a task was {longest_run_s:.1} s",
        urgent.id,
        guaranteed.id,
        attempts(&urgent.id),
        attempts(&guaranteed.id)
    );
    record.line(&what);
    let mut broken = lab.broken();
    if longest_s >= LEFT_WAITING_S {
        broken.push(format!("left waiting: {what}"));
    }
    Ok(broken)
}

/// The last machine that is up and has no task of these jobs.
fn without(inner: &Inner, jobs: &[&String]) -> Option<String> {
    let up = inner
        .machines
        .values()
        .filter(|machine| machine.gone_at.is_none());
    let found = up.filter(|machine| {
        !machine
            .tasks
            .iter()
            .any(|task| jobs.iter().any(|id| *id == job_of(&task.name)))
    });
    found.last().map(|machine| machine.name.clone())
}

fn is_done(inner: &Inner, spec: &Spec) -> bool {
    inner
        .jobs
        .get(&spec.id)
        .is_some_and(|job| job.done.len() as u32 == spec.steps)
}
