//! The command line program: its help, output and exit codes, and the requests that it sends to a service.

use super::pinned::{PinnedFile, directory};
use cedarladder::protocol::cbor;
use cedarladder::protocol::job::{ErrorBody, JobAccepted, JobStatus, JobView};
use cedarladder::transport::http::{self, Parsed};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread::JoinHandle;

/// Stands for the server's address in pinned texts, since the address differs between runs.
const ADDRESS: &str = "ADDRESS";

/// Runs the program in the directory of the data files, so that its output contains no path of this machine.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cedarladder"))
        .args(args)
        .current_dir(directory())
        .env_clear()
        .output()
        .expect("the program can't be run")
}

/// Pins the exit code, the standard output and the standard error. Replaces `address` by [`ADDRESS`] in both texts,
/// unless `address` is empty.
fn pin_run(file: &mut PinnedFile, case: &str, output: &Output, address: &str) {
    let text = |bytes: &[u8]| {
        let text = String::from_utf8(bytes.to_vec()).expect("the output is not UTF-8");
        match address {
            "" => text,
            address => text.replace(address, ADDRESS),
        }
    };
    let code = output
        .status
        .code()
        .expect("the program was killed by a signal");
    file.pin_text(&format!("{case}, exit code"), &code.to_string());
    file.pin_text(&format!("{case}, output"), &text(&output.stdout));
    file.pin_text(&format!("{case}, errors"), &text(&output.stderr));
}

#[test]
fn help_keeps_its_text() {
    let mut file = PinnedFile::open("program_help");
    for args in [
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
        pin_run(&mut file, &args.join(" "), &run(&args), "");
    }
    file.finish();
}

#[test]
fn error_messages_for_operators_keep_their_texts_and_exit_codes() {
    let mut file = PinnedFile::open("program_mistakes");
    let valid = "settings.toml";
    for args in [
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
        vec!["check", "--config", valid, "--policy", "missing.policy"],
        vec!["check", "--config", valid, "--policy", "bad.policy"],
        vec!["run", "--config", valid, "--policy", "bad.policy"],
        vec!["submit", "missing.toml"],
        vec!["submit", "bad_job.toml"],
        vec!["status", "j-1", "--to", "nowhere"],
    ] {
        // The "words" in the case name are the command-line arguments.
        let case = format!("words: {}", args.join(" "));
        pin_run(&mut file, &case, &run(&args), "");
    }
    file.finish();
}

#[test]
fn valid_files_pass_the_check() {
    let mut file = PinnedFile::open("program_check");
    let valid = "settings.toml";
    for args in [
        vec!["check", "--config", valid],
        vec!["check", "--config", valid, "--policy", "every.policy"],
    ] {
        pin_run(&mut file, &args.join(" "), &run(&args), "");
    }
    file.finish();
}

/// Starts a server that sends `response` to one request. Its thread returns the request.
fn serve_once(response: Vec<u8>) -> (SocketAddr, JoinHandle<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port can be bound");
    let address = listener.local_addr().expect("the listener has no address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the program has not connected");
        let mut request = Vec::new();
        let mut chunk = [0; 1024];
        loop {
            let count = stream.read(&mut chunk).expect("the request can't be read");
            request.extend_from_slice(&chunk[..count]);
            match http::parse_request(&request) {
                Ok(Parsed::Complete(..)) => break,
                _ => assert!(
                    count > 0,
                    "the connection ended before the whole request was received"
                ),
            }
        }
        stream
            .write_all(&response)
            .expect("the response can't be written");
        request
    });
    (address, server)
}

#[test]
fn calls_to_a_service_keep_their_bytes_and_exit_codes() {
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
    let error_body = |error: &str| {
        cbor::encode(&ErrorBody {
            error: error.into(),
        })
    };
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
            error_body("unknown team"),
        ),
        ("status", ["status", id], 200, view),
        (
            "status, unknown",
            ["status", id],
            404,
            error_body("no such job"),
        ),
        ("status, no CBOR", ["status", id], 503, b"{}".to_vec()),
        ("cancel", ["cancel", id], 200, accepted(JobStatus::Aborted)),
        (
            "cancel, refused",
            ["cancel", id],
            503,
            error_body("the state service is out"),
        ),
    ];
    for (case, args, status, body) in cases {
        let (address, server) = serve_once(http::write_response(status, &body, None, true));
        let address = address.to_string();
        let output = run(&[args[0], "--to", &address, args[1]]);
        let request = server
            .join()
            .expect("the server has not received a request");
        pin_run(&mut file, case, &output, &address);
        let names_host = String::from_utf8_lossy(&request).contains(&address);
        assert!(
            names_host,
            "{case}: the request does not contain the server's address"
        );
        file.pin(
            &format!("{case}, request"),
            &replace_address(&request, &address),
        );
    }
    let (address, server) = serve_once(b"nonsense\r\n\r\n".to_vec());
    let address = address.to_string();
    let output = run(&["status", "--to", &address, id]);
    server
        .join()
        .expect("the server has not received a request");
    pin_run(&mut file, "no HTTP", &output, &address);
    file.finish();
}

#[test]
fn a_service_that_cannot_be_reached_gives_exit_code_1() {
    let mut file = PinnedFile::open("program_unreached");
    // The socket is bound and never listens, so connecting to it is refused. It holds the port until the program has
    // ended. A listener that is dropped first doesn't do: the port is free for others, and a child that another test
    // is starting has a copy of the listener until it executes its program.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))
        .expect("no socket can be opened");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("no free port can be bound");
    let address = socket
        .local_addr()
        .expect("the socket has no address")
        .as_socket()
        .expect("the socket's address is not one of IP")
        .to_string();
    let output = run(&["status", "--to", &address, "j-1"]);
    drop(socket);
    pin_run(&mut file, "status", &output, &address);
    file.finish();
}

/// Replaces each occurrence of `address` by [`ADDRESS`].
fn replace_address(bytes: &[u8], address: &str) -> Vec<u8> {
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
