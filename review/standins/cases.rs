//! The cases.

use crate::record::sleep;
use crate::site;
use crate::users::{self, Job};
use crate::worker::Health;
use crate::{Args, Run, Verdict};

pub fn play(args: &Args) -> Verdict {
    let verdict = match args.case.as_str() {
        "sick-machine" => sick_machine(args),
        "drained-machine" => drained_machine(args),
        "taken-machine" => taken_machine(args),
        _ => None,
    };
    verdict.unwrap_or(Verdict::CouldNotRun)
}

/// Seconds for which a case may run, with some to spare for its end.
const CASE_S: f64 = 117.0;
/// The pages' bound: no job is left waiting for this long.
const WAIT_S: f64 = 90.0;

/// Whether all tasks of a job have completed.
fn is_complete(run: &Run, job: &Job) -> bool {
    (0..job.steps).all(|index| run.world.is_done(&format!("{}/{index}", job.id)))
}

/// Whether a task of a job is on a machine now.
fn is_running(run: &Run, job: &Job) -> bool {
    run.world
        .stays_of(job.id)
        .iter()
        .any(|stay| stay.until.is_none())
}

/// Whether a machine that is up and well has room for a task of a job.
fn has_room(run: &Run, job: &Job) -> bool {
    run.cloud.workers().iter().any(|worker| {
        worker.health() == Health::Well
            && (job.windfall || !worker.spot)
            && worker.free_cpus() + 1e-6 >= job.cores
            && worker.kind.ram_gb >= job.ram_gb
    })
}

/// Asks every controller for the status of a job, and records the answers.
fn ask(run: &Run, job: &Job) {
    for node in 0..run.world.site.nodes {
        let answer = users::poll(&run.world, node, job.id);
        run.record.log(
            "user",
            format!("GET /work/{} to rung-{node}: {answer:?}", job.id),
        );
    }
}

/// Two small arrays are accepted while no machine is up. The machine that is rented for them is sick at first, so all
/// their tasks fail; then it is well again, and empty.
fn sick_machine(args: &Args) -> Option<Verdict> {
    const SICK_S: f64 = 6.0;
    /// When the jobs are submitted: some time after the leader's election, since its forecast is an average over that time.
    const SUBMIT_AT_S: f64 = 5.0;
    let trouble = args.trouble;
    let run = Run::start(
        args,
        site::panel(),
        Box::new(|_| 1.5),
        Box::new(move |machine| {
            if trouble && machine == 0 {
                Health::Sick
            } else {
                Health::Well
            }
        }),
    )?;
    let job = |id| Job {
        id,
        class: "cierre-ronda",
        team: "panel-altiplano",
        shape: "array",
        rank: "urgent",
        steps: 4,
        cores: 2.0,
        ram_gb: 6.2,
        windfall: true,
        spread: false,
        grove: None,
        expect_s: 25.0,
        due_s: None,
        run_s: 20.0,
        broken: false,
    };
    let jobs = [job("j-000001"), job("j-000002")];
    sleep(SUBMIT_AT_S - run.record.now());
    for job in &jobs {
        if !users::submit(&run.world, job) {
            return None;
        }
    }
    if !run.wait(20.0, |run| !run.cloud.workers().is_empty()) {
        return None;
    }
    if trouble {
        sleep(SICK_S);
        for worker in run.cloud.workers() {
            if worker.health() == Health::Sick {
                worker.set_health(Health::Well);
            }
        }
    }
    let over_at = run.record.now();
    run.record.log("check", "the troubles are over");
    // Since when each job waits without a break while a machine that fits has room.
    let mut waiting_since = [None; 2];
    let mut asked_at = over_at;
    loop {
        let now = run.record.now();
        for (job, since) in jobs.iter().zip(&mut waiting_since) {
            let waits = !is_complete(&run, job) && !is_running(&run, job) && has_room(&run, job);
            *since = if waits { since.or(Some(now)) } else { None };
            if let Some(since) = since
                && now - *since >= WAIT_S
            {
                ask(&run, job);
                run.record.log(
                    "check",
                    format!(
                        "BROKEN: {} has waited for {:.1} s while a machine had room",
                        job.id,
                        now - *since
                    ),
                );
                return Some(Verdict::Broken);
            }
        }
        if jobs.iter().all(|job| is_complete(&run, job)) {
            run.record.log("check", "held: all jobs have completed");
            return Some(Verdict::Held);
        }
        if now - asked_at >= 5.0 {
            asked_at = now;
            jobs.iter().for_each(|job| ask(&run, job));
        }
        if now > CASE_S {
            run.record
                .log("check", "no verdict within the time of a case");
            return None;
        }
        sleep(0.1);
    }
}

/// A job runs on the only machine, a cheap one, which is taken back with no notice.
fn taken_machine(args: &Args) -> Option<Verdict> {
    const UP_S: f64 = 5.5;
    const RUNNING_S: f64 = 2.5;
    let run = Run::start(
        args,
        site::dallim(),
        Box::new(|_| 1.0),
        Box::new(|_| Health::Well),
    )?;
    let job = Job {
        id: "j-000001",
        class: "carrier-sync",
        team: "activation-core-00",
        shape: "array",
        rank: "urgent",
        steps: 7,
        cores: 1.0,
        ram_gb: 3.1,
        windfall: true,
        spread: false,
        grove: None,
        expect_s: 15.0,
        due_s: Some(32.5),
        run_s: 15.0,
        broken: false,
    };
    if !users::submit(&run.world, &job) || !run.wait(20.0, |run| run.cloud.workers().len() == 1) {
        return None;
    }
    let up_at = run.record.now();
    if !run.wait(20.0, |run| is_running(run, &job)) {
        return None;
    }
    sleep((up_at + UP_S - run.record.now()).max(RUNNING_S));
    if run.trouble {
        for worker in run.cloud.workers() {
            run.cloud.take(&worker.name);
        }
    }
    let over_at = run.record.now();
    run.record.log("check", "the troubles are over");
    // Until then the lease of the machine's worker may not have ended, and the tasks may not start elsewhere.
    let lease_over_at = over_at
        + if run.trouble {
            run.world.site.lease_s
        } else {
            0.0
        };
    let mut asked_at = over_at;
    loop {
        let now = run.record.now();
        if is_complete(&run, &job) {
            run.record.log("check", "held: the job has completed");
            return Some(Verdict::Held);
        }
        let lost = run.cloud.machines() == 0 && run.cloud.requests_since(over_at) == 0;
        if now - lease_over_at >= WAIT_S && lost {
            ask(&run, &job);
            run.record.log(
                "check",
                format!(
                    "BROKEN: {:.0} s after the worker's lease was over, {} isn't run: there is no machine, and none was \
                     asked for",
                    now - lease_over_at,
                    job.id
                ),
            );
            return Some(Verdict::Broken);
        }
        if now - asked_at >= 5.0 {
            asked_at = now;
            ask(&run, &job);
        }
        if now > CASE_S {
            run.record
                .log("check", "no verdict within the time of a case");
            return None;
        }
        sleep(0.1);
    }
}

/// Ten services of one replica each run on two machines. Some on the fuller machine are cancelled, so the replicas of
/// the other one are moved there; but the fuller machine has just died.
fn drained_machine(args: &Args) -> Option<Verdict> {
    /// The controllers move replicas only after a lease.
    const EARLIEST_S: f64 = 13.0;
    /// Interval of the controllers' decisions on machines: a fifth of the boot time.
    const ROUND_S: f64 = 5.03;
    /// Services that stay on the fuller machine.
    const LEFT: usize = 3;
    let run = Run::start(
        args,
        site::dallim(),
        Box::new(|_| 1.0),
        Box::new(|_| Health::Well),
    )?;
    let ids: Vec<String> = (1..=10).map(|n| format!("j-{n:06}")).collect();
    let mut jobs: Vec<Job> = ids
        .iter()
        .map(|id| Job {
            id,
            class: "activate-api",
            team: "activation-core-00",
            shape: "standing",
            rank: "production",
            steps: 1,
            cores: 2.0,
            ram_gb: 7.4,
            windfall: false,
            spread: true,
            grove: None,
            expect_s: 0.0,
            due_s: None,
            run_s: 0.0,
            broken: false,
        })
        .collect();
    for job in &jobs {
        if !users::submit(&run.world, job) {
            return None;
        }
    }
    if !run.wait(20.0, |run| jobs.iter().all(|job| is_running(run, job))) {
        return None;
    }
    // The cancellations come two seconds before a decision, the death of the machine one second.
    let earliest = (run.record.now() + 0.5).max(EARLIEST_S);
    let mut decision_at = run.cloud.last_request()?;
    while decision_at - 2.0 < earliest {
        decision_at += ROUND_S;
    }
    sleep(decision_at - 2.0 - run.record.now());
    // The fuller of the two machines.
    let mut workers = run.cloud.workers();
    workers.sort_by_key(|worker| worker.tasks());
    let full = workers.last()?.clone();
    let on_full = |job: &Job| {
        run.world
            .stays_of(job.id)
            .iter()
            .any(|s| s.until.is_none() && s.machine == full.name)
    };
    let there: Vec<String> = jobs
        .iter()
        .filter(|job| on_full(job))
        .map(|job| job.id.to_owned())
        .collect();
    if workers.len() != 2 || there.len() <= LEFT {
        run.record.log("run", "the services aren't on two machines");
        return None;
    }
    let cancelled = &there[LEFT..];
    for id in cancelled {
        if users::cancel(&run.world, id).as_deref() != Some("aborted") {
            return None;
        }
    }
    jobs.retain(|job| !cancelled.iter().any(|id| id == job.id));
    sleep(decision_at - 1.0 - run.record.now());
    if run.trouble {
        run.cloud.die(&full.name);
    }
    let over_at = run.record.now();
    run.record.log("check", "the troubles are over");
    let mut waiting_since = vec![None; jobs.len()];
    let mut running_since = None;
    let mut asked_at = over_at;
    loop {
        let now = run.record.now();
        for (job, since) in jobs.iter().zip(&mut waiting_since) {
            let waits = !is_running(&run, job) && has_room(&run, job);
            *since = if waits { since.or(Some(now)) } else { None };
            if let Some(since) = since
                && now - *since >= WAIT_S
            {
                ask(&run, job);
                run.record.log(
                    "check",
                    format!(
                        "BROKEN: {} has waited for {:.1} s while a machine had room",
                        job.id,
                        now - *since
                    ),
                );
                return Some(Verdict::Broken);
            }
        }
        let all_run = jobs.iter().all(|job| is_running(&run, job));
        running_since = if all_run {
            running_since.or(Some(now))
        } else {
            None
        };
        if now - over_at > 20.0 && running_since.is_some_and(|since: f64| now - since >= 15.0) {
            run.record.log("check", "held: all services run");
            return Some(Verdict::Held);
        }
        if now - asked_at >= 5.0 {
            asked_at = now;
            jobs.iter().for_each(|job| ask(&run, job));
        }
        if now > CASE_S {
            run.record
                .log("check", "no verdict within the time of a case");
            return None;
        }
        sleep(0.1);
    }
}
