//! The command line: running a node, checking its files, and talking to a running service.

use crate::daemon;
use crate::policy::Policy;
use crate::protocol::cbor;
use crate::settings::Settings;
use crate::transport::http::{self, Parsed, Response};
use ciborium::Value;
use clap::{Args, Parser, Subcommand};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, ToSocketAddrs};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tracing::level_filters::LevelFilter;

/// A cluster scheduler for rented machines.
#[derive(Debug, Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
#[command(
    after_help = "Exit codes: 0 done, 1 refused or failed, 2 wrong words, files or settings."
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: RunArgs,
}

#[derive(Debug, Args)]
struct RunArgs {
    /// The platform's settings file.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' figures; without it the built-in ones.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a node until it is killed (also without this word).
    Run(RunArgs),
    /// Check a settings file and a policy, and report every problem.
    Check(RunArgs),
    /// Submit a job that a TOML file describes, in the protocol's field names.
    Submit {
        #[command(flatten)]
        at: At,
        /// The job.
        #[arg(value_name = "FILE")]
        job: PathBuf,
    },
    /// Show a job's state.
    Status {
        #[command(flatten)]
        at: At,
        /// The job's id, such as j-000412.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        at: At,
        /// The job's id, such as j-000412.
        id: String,
    },
}

#[derive(Debug, Args)]
struct At {
    /// Address of a node or of the load balancer.
    #[arg(long, value_name = "HOST:PORT", default_value = "127.0.0.1:8080")]
    to: String,
}

/// Exit code for wrong words, files or settings.
const USAGE: u8 = 2;
/// Longest wait for an answer, as users wait.
const PATIENCE: Duration = Duration::from_secs(5);

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run(&cli.run),
        Some(Command::Run(args)) => run(&args),
        Some(Command::Check(args)) => check(&args),
        Some(Command::Submit { at, job }) => submit(&at, &job),
        Some(Command::Status { at, id }) => talk(&at, "GET", &format!("/work/{id}"), &[]),
        Some(Command::Cancel { at, id }) => talk(&at, "POST", &format!("/work/{id}/cancel"), &[]),
    }
}

fn complain(what: impl std::fmt::Display) {
    eprintln!("cedarladder: {what}");
}

/// Reads both files, and complains of every problem found.
fn load(args: &RunArgs) -> Result<(Settings, Policy), ()> {
    let Some(config) = &args.config else {
        complain("--config FILE is missing; see --help");
        return Err(());
    };
    let settings = Settings::load(config).map_err(complain)?;
    let policy = match &args.policy {
        None => Policy::built_in(&settings),
        Some(path) => Policy::load(path, &settings).map_err(|problems| {
            for problem in problems {
                complain(problem);
            }
        })?,
    };
    Ok((settings, policy))
}

fn run(args: &RunArgs) -> ExitCode {
    start_log();
    let Ok((settings, policy)) = load(args) else {
        return ExitCode::from(USAGE);
    };
    match daemon::run(settings, policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            complain(error);
            ExitCode::FAILURE
        }
    }
}

fn check(args: &RunArgs) -> ExitCode {
    match load(args) {
        Ok(_) => {
            println!("no problems");
            ExitCode::SUCCESS
        }
        Err(()) => ExitCode::from(USAGE),
    }
}

fn submit(at: &At, job: &PathBuf) -> ExitCode {
    let text = match std::fs::read_to_string(job) {
        Ok(text) => text,
        Err(error) => {
            complain(format_args!("{}: {error}", job.display()));
            return ExitCode::from(USAGE);
        }
    };
    let table: toml::Table = match toml::from_str(&text) {
        Ok(table) => table,
        Err(error) => {
            complain(format_args!("{}: {error}", job.display()));
            return ExitCode::from(USAGE);
        }
    };
    talk(at, "POST", "/work", &cbor::encode(&table))
}

/// Makes one request and shows the answer.
fn talk(at: &At, method: &str, path: &str, body: &[u8]) -> ExitCode {
    let response = match call(&at.to, method, path, body) {
        Ok(response) => response,
        Err(error) => {
            complain(format_args!("{}: {error}", at.to));
            return ExitCode::FAILURE;
        }
    };
    let fields = match cbor::decode::<Value>(&response.body) {
        Ok(Value::Map(fields)) => fields,
        _ => Vec::new(),
    };
    let words: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{} {}", show(name), show(value)))
        .collect();
    if response.status < 300 {
        println!("{}", words.join(", "));
        ExitCode::SUCCESS
    } else {
        complain(format_args!(
            "{} answers {}: {}",
            at.to,
            response.status,
            words.join(", ")
        ));
        ExitCode::FAILURE
    }
}

fn show(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Integer(number) => i128::from(*number).to_string(),
        other => format!("{other:?}"),
    }
}

fn call(to: &str, method: &str, path: &str, body: &[u8]) -> std::io::Result<Response> {
    let address: SocketAddr = to
        .to_socket_addrs()?
        .next()
        .ok_or_else(|| std::io::Error::other("no such address"))?;
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(&http::write_request(method, to, path, body))?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk)?;
        bytes.extend_from_slice(&chunk[..count]);
        match http::parse_response(&bytes, http::MAX_REQUEST_BODY, count == 0) {
            Ok(Parsed::Whole(response, _)) => return Ok(response),
            Ok(Parsed::Partial { .. }) if count > 0 => {}
            _ => return Err(std::io::Error::other("not an HTTP answer")),
        }
    }
}

fn start_log() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => LevelFilter::DEBUG,
        Ok("error") => LevelFilter::ERROR,
        _ => LevelFilter::INFO,
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(level)
        .init();
}
