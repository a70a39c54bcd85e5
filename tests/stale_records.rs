//! What is known of a job never goes back: a record that is older than the end of the job opens it no more.
//!
//! A controller learns of a job's end from its own transaction, from a peer or from a compare that fails, often long
//! before the watch shows it. A listing in pages that began before that end, or the late response to the controller's
//! own submission, then still holds the job's record. Such a record opened the job again in the leader's tables, with
//! no task bound or complete: all tasks counted as waiting, urgent ones preempted other work, instances were rented
//! for them, and the end of a binding that was left took one off a count of zero running tasks.
//!
//! What showed the cause is the log of the storm in `tests/determinism.rs` (seed 2, controller 2 leads):
//!
//! ```text
//! c0 68.543 job cancelled j-000105 mod_revision=144
//! c2 68.552 termination received from a peer j-000105 aborted=true
//! c2 68.552 job ended: tasks evicted j-000105 mod_revision=51 bound=3
//! c2 68.738 open jobs listed revision=141 jobs=13
//! c2 68.738 job opened j-000105 mod_revision=51
//! c2 68.746 commit applied mod_revision=147          (ends the binding of j-000105/1, and panics)
//! ```

mod common;
mod scene;

use cedarladder::bookkeeping::records;
use cedarladder::protocol::job::JobStatus;
use cedarladder::protocol::worker::{CommandKind, ExitReason};
use scene::{Held, Scene};

/// Fills half of the worker.
const ENDED: &str = "j-000001";
/// Fills the other half, and goes on.
const STEADY: &str = "j-000002";
/// Takes the room of the ended job.
const NEXT: &str = "j-000003";
const TASKS: u32 = 2;

/// How a job ends, and how the controller learns of it while its watch shows nothing.
type End = (&'static str, fn(&mut Scene));

const ENDS: [End; 4] = [
    ("its last task completes", |scene| {
        scene.exit(ENDED, ExitReason::Completed);
        scene.worker_heartbeat();
        scene.run(0.3);
    }),
    ("cancelled here", |scene| {
        let request = scene.cancel(ENDED);
        scene.run_until("the cancellation", |scene| scene.answer(request).is_some());
    }),
    ("cancelled through another controller", |scene| {
        scene.cancel_elsewhere(ENDED);
        scene.told_by_peer(ENDED);
    }),
    ("a compare that fails", |scene| {
        scene.cancel_elsewhere(ENDED);
        scene.exit(ENDED, ExitReason::Completed);
        scene.worker_heartbeat();
        scene.run(0.3);
    }),
];

/// A leader with a worker.
fn leading() -> Scene {
    let mut scene = Scene::default();
    scene.run_until("an election", Scene::leads);
    scene
}

/// Submits a job that goes first, or one that does not.
type Submit = fn(&mut Scene, &str, u32) -> u64;

/// Both jobs run, and of a listing in pages the first page has come, which holds the job that is to end.
fn half_listed(submit: Submit) -> Scene {
    let mut scene = leading();
    submit(&mut scene, ENDED, TASKS);
    scene.submit(STEADY, TASKS);
    for id in [ENDED, STEADY] {
        scene.run_until("its start", |scene| scene.running(id) == TASKS as usize);
    }
    scene.run(1.0);
    scene.hold(Held::LaterPages);
    scene.compacts = true;
    scene.run_until("a listing", |scene| scene.is_holding(Held::LaterPages));
    scene
}

/// The listing completes, and the watch that follows it is slow.
fn complete_listing(scene: &mut Scene) {
    scene.forget();
    scene.hold(Held::Watches);
    scene.release(Held::LaterPages);
}

fn is_ended(scene: &Scene) -> bool {
    let open_key = records::open_key(ENDED);
    !matches!(
        scene.store.get(&open_key),
        cedarladder::protocol::kv::KvResponse::Value(_)
    )
}

/// What the leader does for a job that has ended, in words.
fn revived(scene: &mut Scene) -> Vec<String> {
    let mut found = Vec::new();
    if scene.counts.iter().any(|counts| counts.job == ENDED) {
        found.push("the peers are told its counts".to_owned());
    }
    let open_key = records::open_key(ENDED);
    let bindings = scene
        .sent
        .transactions
        .iter()
        .filter(|(txn, committed)| {
            !committed
                && txn
                    .compares
                    .iter()
                    .any(|compare| compare.key == open_key && compare.mod_revision > 0)
        })
        .count();
    if bindings > 0 {
        found.push(format!("{bindings} rejected transactions"));
    }
    if scene.sent.instances_requested > 0 {
        let instances = scene.sent.instances_requested;
        found.push(format!("{instances} instances requested"));
    }
    let stops = scene
        .sent
        .commands
        .iter()
        .filter(|command| command.kind == CommandKind::Stop && !command.task.starts_with(ENDED))
        .count();
    if stops > 0 {
        found.push(format!("{stops} tasks of other jobs stopped"));
    }
    let view = scene.view(ENDED);
    if !matches!(view.status, JobStatus::Done | JobStatus::Aborted) || view.running > 0 {
        found.push(format!("its user is told {view:?}"));
    }
    found
}

/// What each way to end leads to; only those are kept that lead to anything.
fn findings(ends: &[End], play: impl Fn(&End) -> Vec<String>) -> Vec<(&'static str, Vec<String>)> {
    let found = ends.iter().map(|end| (end.0, play(end)));
    found.filter(|(_, found)| !found.is_empty()).collect()
}

#[test]
fn a_listing_begun_before_the_end_opens_no_job() {
    let found = findings(&ENDS, |end| {
        let mut scene = half_listed(Scene::submit);
        end.1(&mut scene);
        assert!(is_ended(&scene), "{}: it has ended", end.0);
        complete_listing(&mut scene);
        scene.run(3.0);
        let mut found = revived(&mut scene);
        scene.release(Held::Watches);
        scene.run(1.0);
        scene.forget();
        scene.run(3.0);
        found.extend(revived(&mut scene));
        assert_eq!(scene.running(ENDED), 0, "{}", end.0);
        assert_eq!(scene.running(STEADY), TASKS as usize, "{}", end.0);
        found
    });
    assert_eq!(found, []);
}

/// The tasks of the ended job are still on a worker that can't be reached when the listing completes. It is back, and
/// the ends of their bindings are committed, before the watch shows the end of the job.
#[test]
fn a_binding_that_outlasts_its_job_is_taken_off_no_count() {
    let found = findings(&ENDS[1..3], |end| {
        let mut scene = half_listed(Scene::submit);
        scene.silence_worker();
        end.1(&mut scene);
        complete_listing(&mut scene);
        scene.run(0.2);
        assert_eq!(scene.running(ENDED), TASKS as usize, "{}", end.0);
        scene.wake_worker();
        scene.run(2.0);
        assert_eq!(scene.running(ENDED), 0, "{}", end.0);
        let counts = scene.counts.iter().find(|counts| counts.job == STEADY);
        assert_eq!(
            counts.map(|counts| counts.running),
            Some(TASKS),
            "{}",
            end.0
        );
        revived(&mut scene)
    });
    assert_eq!(found, []);
}

/// Tasks of an urgent job that has ended take no room from those of others.
#[test]
fn an_ended_job_that_is_listed_preempts_nothing() {
    let found = findings(&ENDS, |end| {
        let mut scene = half_listed(Scene::submit_urgent);
        end.1(&mut scene);
        scene.submit(NEXT, TASKS);
        scene.run_until("its start", |scene| scene.running(NEXT) == TASKS as usize);
        complete_listing(&mut scene);
        scene.run(3.0);
        revived(&mut scene)
    });
    assert_eq!(found, []);
}

/// The response to the submission comes after the watch has shown the job, and after its end.
#[test]
fn a_late_response_to_a_submission_opens_no_job() {
    let ends: [End; 3] = [
        ("cancelled through another controller", |scene| {
            scene.cancel_elsewhere(ENDED);
            scene.run(0.1);
        }),
        (
            "cancelled through another controller, told by it",
            |scene| {
                scene.hold(Held::Watches);
                scene.cancel_elsewhere(ENDED);
                scene.told_by_peer(ENDED);
            },
        ),
        ("cancelled here", |scene| {
            let request = scene.cancel(ENDED);
            scene.run_until("the cancellation", |scene| scene.answer(request).is_some());
        }),
    ];
    let found = findings(&ends, |(name, end)| {
        let mut scene = leading();
        scene.submit(STEADY, 2 * TASKS);
        scene.run_until("its start", |scene| scene.running(STEADY) == 4);
        scene.hold(Held::Submissions);
        let submission = scene.submit(ENDED, TASKS);
        scene.run(0.2);
        assert!(scene.is_holding(Held::Submissions), "{name}");
        end(&mut scene);
        assert!(is_ended(&scene), "{name}: it has ended");
        scene.forget();
        scene.release(Held::Submissions);
        scene.release(Held::Watches);
        scene.run(8.0);
        let told = scene.answer(submission).map(|(status, _)| status);
        assert!(matches!(told, Some(200 | 201)), "{name}: {told:?}");
        revived(&mut scene)
    });
    assert_eq!(found, []);
}
