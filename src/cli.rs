//! The command line: running a controller, checking its files, and requests to a running service.

use crate::daemon;
use crate::policy::{Policy, Problem};
use crate::protocol::cbor;
use crate::settings::{Settings, SettingsError};
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

/// Exit code for wrong arguments, files or settings.
const USAGE: u8 = 2;
/// Longest wait for a connection or response, as users wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the program.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run(&cli.run),
        Some(Command::Run(args)) => run(&args),
        Some(Command::Check(args)) => check(&args),
        Some(Command::Submit { at, job }) => submit(&at, &job),
        Some(Command::Status { at, id }) => request(&at, "GET", &format!("/work/{id}"), &[]),
        Some(Command::Cancel { at, id }) => {
            request(&at, "POST", &format!("/work/{id}/cancel"), &[])
        }
    }
}

fn complain(what: impl std::fmt::Display) {
    eprintln!("cedarladder: {what}");
}

/// Why the two files cannot be used.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("--config FILE is missing; see --help")]
    NoConfig,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("{} problems in the policy", .0.len())]
    Policy(Vec<Problem>),
}

impl LoadError {
    /// Reports every problem on a line of its own.
    fn report(&self) {
        match self {
            LoadError::Policy(problems) => problems.iter().for_each(complain),
            other => complain(other),
        }
    }
}

/// Reads and checks both files.
fn load(args: &RunArgs) -> Result<(Settings, Policy), LoadError> {
    let config = args.config.as_ref().ok_or(LoadError::NoConfig)?;
    let settings = Settings::load(config)?;
    let policy = match &args.policy {
        None => Policy::built_in(&settings),
        Some(path) => Policy::load(path, &settings).map_err(LoadError::Policy)?,
    };
    Ok((settings, policy))
}

fn run(args: &RunArgs) -> ExitCode {
    start_log();
    let (settings, policy) = match load(args) {
        Ok(loaded) => loaded,
        Err(error) => {
            error.report();
            return ExitCode::from(USAGE);
        }
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
        Err(error) => {
            error.report();
            ExitCode::from(USAGE)
        }
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
    request(at, "POST", "/work", &cbor::encode(&table))
}

/// Makes one request and prints the response.
fn request(at: &At, method: &str, path: &str, body: &[u8]) -> ExitCode {
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
    let shown: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{} {}", show(name), show(value)))
        .collect();
    if response.status < 300 {
        println!("{}", shown.join(", "));
        ExitCode::SUCCESS
    } else {
        complain(format_args!(
            "{} answers {}: {}",
            at.to,
            response.status,
            shown.join(", ")
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
    let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    stream.write_all(&http::write_request(method, to, path, body))?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk)?;
        bytes.extend_from_slice(&chunk[..count]);
        match http::parse_response(&bytes, http::MAX_REQUEST_BODY, count == 0) {
            Ok(Parsed::Complete(response, _)) => return Ok(response),
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
