//! How CI judges a run of the tests.

use std::process::Command;

const RUN: &str = "\
     Running unittests src/lib.rs (target/debug/deps/cedarladder-1)
running 0 tests
test result: ok. 0 passed; 0 failed; 0 ignored
     Running tests/frontend.rs (target/debug/deps/frontend-2)
test answers ... ok
test refusals ... FAILED
test result: FAILED. 1 passed; 1 failed; 0 ignored
     Running tests/ledger.rs (target/debug/deps/ledger-3)
test answers ... ok
test the_log ... FAILED
test result: FAILED. 1 passed; 1 failed; 0 ignored
";

#[test]
fn judged() {
    let green = RUN.replace("FAILED", "ok");
    let one = "frontend::refusals | cargo test refusals | it refuses | issue 7\n";
    let both = format!("{one}\nledger::the_log | cargo test the_log, seed 2 | a log | issue 8\n");
    let four = format!("{both}{both}");
    let no_command = format!("{one}ledger::the_log | | a log | issue 8\n");
    let not_run = format!("{one}\nledger::gone | command | why | issue 7");
    let broken_off = format!("{RUN}     Running tests/world.rs (target/debug/deps/world-4)\n");
    // Each: what the tests printed, their status, KNOWN-RED.txt if there is one, whether this passes, and
    // what must be said.
    type Case<'a> = (&'a str, &'a str, i32, Option<&'a str>, bool, &'a str);
    let cases: Vec<Case> = vec![
        ("all pass, and no list", &green, 0, None, true, ""),
        (
            "all pass, and an empty list",
            &green,
            0,
            Some("\n"),
            true,
            "",
        ),
        (
            "a failure without a list",
            RUN,
            101,
            None,
            false,
            "frontend::refusals",
        ),
        (
            "a failure that isn't listed",
            RUN,
            101,
            Some(one),
            false,
            "ledger::the_log",
        ),
        (
            "listed failures",
            RUN,
            101,
            Some(&both),
            true,
            "known red, passed over: frontend::refusals",
        ),
        ("a listed test that passes", &green, 0, Some(one), true, ""),
        (
            "a line that names no test",
            &green,
            0,
            Some("frontend::refusal | command | why | issue 7"),
            false,
            "names no test",
        ),
        (
            "a test of another file",
            RUN,
            101,
            Some("ledger::refusals | command | why | issue 7"),
            false,
            "names no test",
        ),
        (
            "a line without an issue",
            RUN,
            101,
            Some("frontend::refusals | command | why"),
            false,
            "line 1 lacks its field 'issue'",
        ),
        (
            "a line of the earlier form, without a command",
            RUN,
            101,
            Some("frontend::refusals | why | issue 7"),
            false,
            "lacks its field 'issue'",
        ),
        (
            "a second line whose command is empty",
            RUN,
            101,
            Some(&no_command),
            false,
            "line 2 lacks its field 'command and seed'",
        ),
        (
            "a line that says nothing of what was seen",
            RUN,
            101,
            Some("frontend::refusals | command | | issue 7"),
            false,
            "line 1 lacks its field 'what was seen'",
        ),
        (
            "a line that names no test at all",
            &green,
            0,
            Some(" | command | why | issue 7"),
            false,
            "line 1 lacks its field 'test'",
        ),
        (
            "a line with a fifth field",
            RUN,
            101,
            Some("frontend::refusals | command | why | issue 7 | more"),
            false,
            "line 1 has 5 fields",
        ),
        (
            "a listed test that did not run",
            &green,
            0,
            Some(&not_run),
            false,
            "line 3 names no test that ran, field 'test': 'ledger::gone'",
        ),
        (
            "a fourth line",
            RUN,
            101,
            Some(&four),
            false,
            "three are the most",
        ),
        (
            "a binary that broke off beside listed failures",
            &broken_off,
            101,
            Some(&both),
            false,
            "3 of 4 binaries",
        ),
        (
            "a run that broke off",
            &green,
            101,
            None,
            false,
            "did not run to their end",
        ),
        (
            "no test at all",
            "error: could not compile",
            101,
            None,
            false,
            "did not run",
        ),
        ("nothing", "", 0, None, false, "no test ran"),
    ];
    let dir = std::env::temp_dir().join(format!("cedarladder-ci-{}", std::process::id()));
    for (name, log, status, known, passes, says) in cases {
        std::fs::create_dir_all(&dir).expect("a folder");
        std::fs::write(dir.join("log"), log).expect("a log");
        if let Some(known) = known {
            std::fs::write(dir.join("known"), known).expect("a list");
        }
        let output = Command::new("bash")
            .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/judge"))
            .args([dir.join("log").as_os_str(), status.to_string().as_ref()])
            .arg(dir.join("known"))
            .output()
            .expect("bash");
        std::fs::remove_dir_all(&dir).expect("the folder");
        let said = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        assert_eq!(output.status.success(), passes, "{name}: {said}");
        assert!(said.contains(says), "{name}: {said}");
    }
}
