//! Case 7: a huge array of small tasks costs its machine the lease, again and again.

use crate::lab::Lab;
use crate::site::{self, Team};
use crate::users::Answer;
use crate::world::{Spec, on};

/// How long the case looks on, in seconds.
const LOOK_S: f64 = 95.0;

pub fn run(trouble: bool) -> Result<Vec<String>, String> {
    // The deployment of kit/more with its guest team.
    let mut site = site::lima();
    site.name = "encuestas-andinas-lima-ops";
    site.teams.push(Team {
        name: "sondeo-norte".to_owned(),
        cpus: 0.0,
        cpus_max: 0.0,
    });
    let mut lab = Lab::new("7", site)?;
    let record = lab.record.clone();
    lab.cloud.change(|plan| {
        plan.capacity
            .insert(("quipu-grande", "lima-centro", false), 1);
    });
    lab.start()?;
    let service = Spec::service(1, "campo-sur-00", 1);
    let array = Spec {
        class: "archivo",
        rank: "best_effort",
        cpus: 0.008,
        ram_gb: 0.015,
        spot: false,
        pull_gb: 0.1,
        ..Spec::array(2, "sondeo-norte", 5000, 30.0)
    };
    if !lab.users.submit(&service) {
        return Err("the service was not accepted".to_owned());
    }
    lab.wait(18.0, |inner| on(inner, &service.id) == 1)?;
    if trouble && !lab.users.submit(&array) {
        return Err("the array was not accepted".to_owned());
    }
    let until = record.now() + LOOK_S;
    let (mut most, mut up) = (0, true);
    let mut killed = 0;
    let mut next_look_at = 0.0;
    while record.now() < until {
        record.sleep_until(record.now() + 0.1);
        {
            let inner = lab.world.lock();
            most = most.max(on(&inner, &array.id));
            let is_up = on(&inner, &service.id) == 1;
            killed += u32::from(up && !is_up);
            if is_up != up {
                record.line(&format!("the service is up: {is_up}"));
            }
            up = is_up;
        }
        if record.now() >= next_look_at {
            next_look_at = record.now() + 10.0;
            let running = on(&lab.world.lock(), &array.id);
            record.line(&format!("{running} tasks of the array run"));
            let id = if trouble { &array.id } else { &service.id };
            if lab.users.ask(0, id) == Answer::Status("done".to_owned()) {
                break;
            }
        }
    }
    let (done, sessions) = {
        let inner = lab.world.lock();
        let done = inner.jobs.get(&array.id).map_or(0, |job| job.done.len());
        (
            done,
            inner
                .machines
                .values()
                .map(|machine| machine.tenure)
                .max()
                .unwrap_or(0),
        )
    };
    record.line(&format!(
        "{done} tasks of the array are done, {most} were on the machine at most; the service went down {killed} times; session {sessions}"
    ));
    let mut broken = lab.broken();
    if trouble && done == 0 && sessions > 2 {
        broken.push(format!(
            "no task of the array is done after {LOOK_S} s, each takes {} s: the machine lost its lease {} times, and the service of another team went down {killed} times",
            array.run_s,
            sessions - 1
        ));
    }
    if !trouble && killed > 0 {
        broken.push(format!("the service went down {killed} times"));
    }
    Ok(broken)
}
