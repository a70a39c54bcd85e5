//! The program: its help, what it prints, its exit codes, and what it says to a service.

use super::pinned::{PinnedFile, directory};
use cedarladder::protocol::cbor;
use cedarladder::protocol::job::{ErrorBody, JobAccepted, JobStatus, JobView};
use cedarladder::transport::http::{self, Parsed};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread::JoinHandle;

/// Stands for an address that differs from run to run.
const ADDRESS: &str = "ADDRESS";

/// Runs the program in the directory of the data files, so that its texts hold no path of this machine.
fn run(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cedarladder"))
        .args(words)
        .current_dir(directory())
        .env_clear()
        .output()
        .expect("the program runs")
}

/// Pins exit code and both outputs; `address` is replaced, if there is one.
fn pin_run(file: &mut PinnedFile, case: &str, output: &Output, address: &str) {
    let text = |bytes: &[u8]| {
        let text = String::from_utf8(bytes.to_vec()).expect("a text");
        match address {
            "" => text,
            address => text.replace(address, ADDRESS),
        }
    };
    let code = output.status.code().expect("it was not killed");
    file.pin_text(&format!("{case}, exit code"), &code.to_string());
    file.pin_text(&format!("{case}, output"), &text(&output.stdout));
    file.pin_text(&format!("{case}, errors"), &text(&output.stderr));
}

#[test]
fn help_keeps_its_text() {
    let mut file = PinnedFile::open("program_help");
    for words in [
        vec!["--help"],
        vec!["-h"],
        vec!["--version"],
        vec!["help"],
        vec!["run", "--help"],
        vec!["check", "--help"],
        vec!["submit", "--help"],
        vec!["status", "--help"],
        vec!["cancel", "--help"],
    ] {
        pin_run(&mut file, &words.join(" "), &run(&words), "");
    }
    file.finish();
}

#[test]
fn mistakes_of_operators_keep_their_texts_and_exit_codes() {
    let mut file = PinnedFile::open("program_mistakes");
    let good = "settings.toml";
    for words in [
        vec![],
        vec!["run"],
        vec!["check"],
        vec!["nonsense"],
        vec!["--nonsense"],
        vec!["check", "--nonsense"],
        vec!["submit"],
        vec!["status"],
        vec!["cancel"],
        vec!["check", "--config"],
        vec!["check", "--config", "missing.toml"],
        vec!["run", "--config", "missing.toml"],
        vec!["--config", "missing.toml"],
        vec!["check", "--config", "bad_settings.toml"],
        vec!["run", "--config", "bad_settings.toml"],
        vec!["check", "--config", good, "--policy", "missing.policy"],
        vec!["check", "--config", good, "--policy", "bad.policy"],
        vec!["run", "--config", good, "--policy", "bad.policy"],
        vec!["submit", "missing.toml"],
        vec!["submit", "bad_job.toml"],
        vec!["status", "j-1", "--to", "nowhere"],
    ] {
        let case = format!("words: {}", words.join(" "));
        pin_run(&mut file, &case, &run(&words), "");
    }
    file.finish();
}

#[test]
fn good_files_are_found_to_have_no_problems() {
    let mut file = PinnedFile::open("program_check");
    let good = "settings.toml";
    for words in [
        vec!["check", "--config", good],
        vec!["check", "--config", good, "--policy", "every.policy"],
    ] {
        pin_run(&mut file, &words.join(" "), &run(&words), "");
    }
    file.finish();
}

/// Takes one request, answers it, and returns it.
fn serve_once(answer: Vec<u8>) -> (SocketAddr, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            let count = stream.read(&mut chunk).expect("more of the request");
            request.extend_from_slice(&chunk[..count]);
            match http::parse_request(&request) {
                Ok(Parsed::Complete(..)) => break,
                _ => assert!(count > 0, "the request is cut off"),
            }
        }
        stream.write_all(&answer).expect("the answer is taken");
        request
    });
    (address, server)
}

#[test]
fn talking_to_a_service_keeps_its_bytes_and_exit_codes() {
    let mut file = PinnedFile::open("program_calls");
    let id = "j-000412";
    let accepted = |status| {
        let id = id.to_owned();
        cbor::encode(&JobAccepted { id, status })
    };
    let view = cbor::encode(&JobView {
        id: id.into(),
        status: JobStatus::Running,
        done: 3,
        running: 13,
    });
    let refusal = |why: &str| cbor::encode(&ErrorBody { error: why.into() });
    let cases = [
        (
            "submit, accepted",
            ["submit", "job.toml"],
            201,
            accepted(JobStatus::Queued),
        ),
        (
            "submit, known",
            ["submit", "job.toml"],
            200,
            accepted(JobStatus::Running),
        ),
        (
            "submit, refused",
            ["submit", "job.toml"],
            422,
            refusal("unknown team"),
        ),
        ("status", ["status", id], 200, view),
        (
            "status, unknown",
            ["status", id],
            404,
            refusal("no such job"),
        ),
        ("status, no CBOR", ["status", id], 503, b"{}".to_vec()),
        ("cancel", ["cancel", id], 200, accepted(JobStatus::Aborted)),
        (
            "cancel, refused",
            ["cancel", id],
            503,
            refusal("the state service is out"),
        ),
    ];
    for (case, words, status, body) in cases {
        let (address, server) = serve_once(http::write_response(status, &body, None, true));
        let address = address.to_string();
        let output = run(&[words[0], "--to", &address, words[1]]);
        let request = server.join().expect("one request");
        pin_run(&mut file, case, &output, &address);
        let named = String::from_utf8_lossy(&request).contains(&address);
        assert!(named, "{case}: the request names its host");
        file.pin(&format!("{case}, request"), &replaced(&request, &address));
    }
    let (address, server) = serve_once(b"nonsense\r\n\r\n".to_vec());
    let address = address.to_string();
    let output = run(&["status", "--to", &address, id]);
    server.join().expect("one request");
    pin_run(&mut file, "no HTTP", &output, &address);
    file.finish();
}

#[test]
fn a_service_that_cannot_be_reached_gives_exit_code_1() {
    let mut file = PinnedFile::open("program_unreached");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let output = run(&["status", "--to", &address, "j-1"]);
    pin_run(&mut file, "status", &output, &address);
    file.finish();
}

/// Bytes in which a text stands for another.
fn replaced(bytes: &[u8], address: &str) -> Vec<u8> {
    let mut rest = bytes;
    let mut result = Vec::new();
    while let Some(first) = rest.first() {
        if let Some(after) = rest.strip_prefix(address.as_bytes()) {
            result.extend_from_slice(ADDRESS.as_bytes());
            rest = after;
        } else {
            result.push(*first);
            rest = &rest[1..];
        }
    }
    result
}
