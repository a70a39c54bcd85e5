//! Tests of `.ci/judge`, which decides from the output of `cargo test` and a list of known failures whether CI passes.

use std::process::Command;

/// Output of a run of three test binaries with two failed tests.
const RUN_WITH_FAILURES: &str = "\
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
fn test_runs_are_judged() {
    let all_pass = RUN_WITH_FAILURES.replace("FAILED", "ok");
    let one_known = "frontend::refusals | cargo test refusals | it refuses | issue 7\n";
    let two_known =
        format!("{one_known}\nledger::the_log | cargo test the_log, seed 2 | a log | issue 8\n");
    let four_known = format!("{two_known}{two_known}");
    let no_command = format!("{one_known}ledger::the_log | | a log | issue 8\n");
    let not_run = format!("{one_known}\nledger::gone | command | why | issue 7");
    let crashed_binary =
        format!("{RUN_WITH_FAILURES}     Running tests/world.rs (target/debug/deps/world-4)\n");
    // Name of the case, output of the test run, its exit status, text of KNOWN-RED.txt (`None` if the file is
    // missing), whether CI passes, and a text that `.ci/judge` must print.
    type Case<'a> = (&'a str, &'a str, i32, Option<&'a str>, bool, &'a str);
    let cases: Vec<Case> = vec![
        ("all pass, without a list", &all_pass, 0, None, true, ""),
        (
            "all pass, with an empty list",
            &all_pass,
            0,
            Some("\n"),
            true,
            "",
        ),
        (
            "a failure without a list",
            RUN_WITH_FAILURES,
            101,
            None,
            false,
            "frontend::refusals",
        ),
        (
            "a failure that is not listed",
            RUN_WITH_FAILURES,
            101,
            Some(one_known),
            false,
            "ledger::the_log",
        ),
        (
            "listed failures",
            RUN_WITH_FAILURES,
            101,
            Some(&two_known),
            true,
            "known failure, ignored: frontend::refusals",
        ),
        (
            "a listed test that passes",
            &all_pass,
            0,
            Some(one_known),
            true,
            "",
        ),
        (
            "a line that names an unknown test",
            &all_pass,
            0,
            Some("frontend::refusal | command | why | issue 7"),
            false,
            "names no test",
        ),
        (
            "a test of another file",
            RUN_WITH_FAILURES,
            101,
            Some("ledger::refusals | command | why | issue 7"),
            false,
            "names no test",
        ),
        (
            "a line without an issue",
            RUN_WITH_FAILURES,
            101,
            Some("frontend::refusals | command | why"),
            false,
            "line 1 lacks its field 'issue'",
        ),
        (
            "a line without a command, in the former format",
            RUN_WITH_FAILURES,
            101,
            Some("frontend::refusals | why | issue 7"),
            false,
            "lacks its field 'issue'",
        ),
        (
            "a second line whose command is empty",
            RUN_WITH_FAILURES,
            101,
            Some(&no_command),
            false,
            "line 2 lacks its field 'command and seed'",
        ),
        (
            "a line without a description of the failure",
            RUN_WITH_FAILURES,
            101,
            Some("frontend::refusals | command | | issue 7"),
            false,
            "line 1 lacks its field 'what was seen'",
        ),
        (
            "a line with an empty test name",
            &all_pass,
            0,
            Some(" | command | why | issue 7"),
            false,
            "line 1 lacks its field 'test'",
        ),
        (
            "a line with a fifth field",
            RUN_WITH_FAILURES,
            101,
            Some("frontend::refusals | command | why | issue 7 | more"),
            false,
            "line 1 has 5 fields",
        ),
        (
            "a listed test that did not run",
            &all_pass,
            0,
            Some(&not_run),
            false,
            "line 3 names no test that ran, field 'test': 'ledger::gone'",
        ),
        (
            "a fourth line",
            RUN_WITH_FAILURES,
            101,
            Some(&four_known),
            false,
            "at most three are allowed",
        ),
        (
            "a binary without a result in a run with listed failures",
            &crashed_binary,
            101,
            Some(&two_known),
            false,
            "3 of 4 binaries",
        ),
        (
            "a run that failed without a failed test",
            &all_pass,
            101,
            None,
            false,
            "incomplete test run: exit status 101",
        ),
        (
            "a run that did not compile",
            "error: could not compile",
            101,
            None,
            false,
            "incomplete test run: exit status 101",
        ),
        ("empty output", "", 0, None, false, "no test ran"),
    ];
    let dir = std::env::temp_dir().join(format!("cedarladder-ci-{}", std::process::id()));
    for (name, log, status, known, passes, message) in cases {
        std::fs::create_dir_all(&dir).expect("cannot create the directory");
        std::fs::write(dir.join("log"), log).expect("cannot write the log");
        if let Some(known) = known {
            std::fs::write(dir.join("known"), known).expect("cannot write the list");
        }
        let output = Command::new("bash")
            .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/judge"))
            .args([dir.join("log").as_os_str(), status.to_string().as_ref()])
            .arg(dir.join("known"))
            .output()
            .expect("cannot run bash");
        std::fs::remove_dir_all(&dir).expect("cannot remove the directory");
        let printed =
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        assert_eq!(output.status.success(), passes, "{name}: {printed}");
        assert!(printed.contains(message), "{name}: {printed}");
    }
}
