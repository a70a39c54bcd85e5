//! Case 8: a team's work within its guarantee is stopped for work of lower priority.

use crate::lab::Lab;
use crate::site;
use crate::world::{Inner, Spec, Step, job_of, on};

/// What the team 00 is guaranteed, in CPUs.
const GUARANTEE: f64 = 32.0;
/// How long after the machine has stopped the case looks on, in seconds.
const LOOK_S: f64 = 30.0;

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    let mut lab = Lab::new("8", site::dallim())?;
    let record = lab.record.clone();
    // Four machines in all.
    lab.cloud.change(|plan| {
        plan.capacity.insert(("hanbit-core", "gasan", false), 4);
    });
    lab.start()?;
    // Three machines are full with an urgent array of the team 00, which is 4 CPUs beyond its guarantee, and a service
    // of the team 02.
    let urgent = Spec {
        class: "carrier-sync",
        rank: "urgent",
        cpus: 1.0,
        ram_gb: 3.1,
        spot: false,
        pull_gb: 0.1,
        ..Spec::array(1, "activation-core-00", 36, 300.0)
    };
    let service = Spec {
        class: "activate-api",
        cpus: 4.0,
        ram_gb: 7.4,
        pull_gb: 0.1,
        ..Spec::service(2, "activation-core-02", 3)
    };
    // An array of the team 01, within its guarantee; it needs the fourth machine.
    let guaranteed = Spec {
        class: "profile-stock",
        ram_gb: 10.0,
        spot: false,
        pull_gb: 0.1,
        due_s: Some(45.0),
        ..Spec::array(3, "activation-core-01", 2, 20.0)
    };
    if !lab.users.submit(&urgent) || !lab.users.submit(&service) {
        return Err("a job was not accepted".to_owned());
    }
    lab.wait(20.0, |inner| {
        on(inner, &urgent.id) == 36 && on(inner, &service.id) == 3
    })?;
    let submitted_at = record.now();
    if !lab.users.submit(&guaranteed) {
        return Err("an array was not accepted".to_owned());
    }
    lab.wait(34.0, |inner| on(inner, &guaranteed.id) == 2)?;
    record.sleep_until(submitted_at + 16.0);
    if on(&lab.world.lock(), &guaranteed.id) != 2 {
        return Err("the array was done too early".to_owned());
    }
    if trouble {
        let host = host_of(&lab.world.lock(), &guaranteed.id);
        lab.cloud.die(&host.ok_or("the array is on no machine")?);
    }
    let mut least = GUARANTEE + 4.0;
    let until = record.now() + LOOK_S;
    while record.now() < until {
        record.sleep_until(record.now() + 0.005);
        let inner = lab.world.lock();
        let held = held(&inner, &urgent.id);
        if held < least {
            least = held;
            record.line(&format!("team 00 holds {held} CPUs"));
        }
    }
    record.line(&format!(
        "least that team 00 held: {least} CPUs of {GUARANTEE} guaranteed"
    ));
    let mut broken = lab.broken();
    if least < GUARANTEE {
        broken.push(format!(
            "preempted within the guarantee: the urgent tasks of team 00 were stopped until it held {least} CPUs, its guarantee is {GUARANTEE}"
        ));
    }
    Ok(broken)
}

/// The CPUs that the tasks of a job of 1 CPU hold: all that have not exited.
fn held(inner: &Inner, job: &str) -> f64 {
    let machines = inner
        .machines
        .values()
        .filter(|machine| machine.gone_at.is_none());
    let tasks = machines.flat_map(|machine| &machine.tasks);
    let held = tasks
        .filter(|task| job_of(&task.name) == job && !matches!(task.state, Step::Exited { .. }));
    held.count() as f64
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
