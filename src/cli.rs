//! The command line: runs a controller, checks its settings and policy files, and sends requests to running
//! controllers.

use crate::daemon;
use crate::policy::{Policy, PolicyProblem};
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
    after_help = "Exit codes: 0 success, 1 request rejected or failed, 2 invalid arguments, files or settings."
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: RunArgs,
}

#[derive(Debug, Args)]
struct RunArgs {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Policy file with the parameters of the autoscaler; without it the built-in policy applies.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a controller until it is killed (the default without a command).
    Run(RunArgs),
    /// Check a settings file and a policy file, and report the problems.
    Check(RunArgs),
    /// Submit a job that a TOML file describes with the protocol's field names.
    Submit {
        #[command(flatten)]
        server: Server,
        /// TOML file that describes the job.
        #[arg(value_name = "FILE")]
        job: PathBuf,
    },
    /// Show the state of a job.
    Status {
        #[command(flatten)]
        server: Server,
        /// Id of the job, such as j-000412.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        server: Server,
        /// Id of the job, such as j-000412.
        id: String,
    },
}

#[derive(Debug, Args)]
struct Server {
    /// Address of a controller or of the load balancer.
    #[arg(
        long = "to",
        value_name = "HOST:PORT",
        default_value = "127.0.0.1:8080"
    )]
    address: String,
}

/// Exit code for invalid arguments, files or settings; `clap` uses the same code for invalid arguments.
const EXIT_USAGE: u8 = 2;
/// Time limit for the connection attempt and for each read of the response. Users of the protocol wait for a response
/// for the same time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Parses the command line, executes the command and returns the exit code of the process.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run(&cli.run),
        Some(Command::Run(args)) => run(&args),
        Some(Command::Check(args)) => check(&args),
        Some(Command::Submit { server, job }) => submit(&server, &job),
        Some(Command::Status { server, id }) => {
            request(&server, "GET", &format!("/work/{id}"), &[])
        }
        Some(Command::Cancel { server, id }) => {
            request(&server, "POST", &format!("/work/{id}/cancel"), &[])
        }
    }
}

fn print_error(message: impl std::fmt::Display) {
    eprintln!("cedarladder: {message}");
}

/// Why the settings or the policy file cannot be used.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error("the option --config FILE is required; see --help")]
    NoConfig,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the policy has {} problems", .0.len())]
    Policy(Vec<PolicyProblem>),
}

impl LoadError {
    /// Prints the error to standard error; for a policy file, each problem on a line of its own.
    fn report(&self) {
        match self {
            LoadError::Policy(problems) => problems.iter().for_each(print_error),
            other => print_error(other),
        }
    }
}

/// Reads and checks the settings file and the policy file. Without a policy file, the built-in policy applies.
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
    init_logging();
    let (settings, policy) = match load(args) {
        Ok(loaded) => loaded,
        Err(error) => {
            error.report();
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match daemon::run(settings, policy) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(error);
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
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn submit(server: &Server, job: &PathBuf) -> ExitCode {
    let text = match std::fs::read_to_string(job) {
        Ok(text) => text,
        Err(error) => {
            print_error(format_args!("{}: {error}", job.display()));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let table: toml::Table = match toml::from_str(&text) {
        Ok(table) => table,
        Err(error) => {
            print_error(format_args!("{}: {error}", job.display()));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    request(server, "POST", "/work", &cbor::encode(&table))
}

/// Sends a request and prints the fields of the response: to standard output if the status is below 300, else to
/// standard error. Returns the exit code.
fn request(server: &Server, method: &str, path: &str, body: &[u8]) -> ExitCode {
    let response = match send_request(&server.address, method, path, body) {
        Ok(response) => response,
        Err(error) => {
            print_error(format_args!("{}: {error}", server.address));
            return ExitCode::FAILURE;
        }
    };
    let fields = match cbor::decode::<Value>(&response.body) {
        Ok(Value::Map(fields)) => fields,
        _ => Vec::new(),
    };
    let pairs: Vec<String> = fields
        .iter()
        .map(|(name, value)| format!("{} {}", format_value(name), format_value(value)))
        .collect();
    if response.status < 300 {
        println!("{}", pairs.join(", "));
        ExitCode::SUCCESS
    } else {
        print_error(format_args!(
            "{} responded with status {}: {}",
            server.address,
            response.status,
            pairs.join(", ")
        ));
        ExitCode::FAILURE
    }
}

fn format_value(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Integer(number) => i128::from(*number).to_string(),
        other => format!("{other:?}"),
    }
}

fn send_request(server: &str, method: &str, path: &str, body: &[u8]) -> std::io::Result<Response> {
    let address: SocketAddr = server
        .to_socket_addrs()?
        .next()
        .ok_or_else(|| std::io::Error::other("the host has no address"))?;
    let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT))?;
    stream.write_all(&http::write_request(method, server, path, body))?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let count = stream.read(&mut chunk)?;
        bytes.extend_from_slice(&chunk[..count]);
        match http::parse_response(&bytes, http::MAX_REQUEST_BODY, count == 0) {
            Ok(Parsed::Complete(response, _)) => return Ok(response),
            Ok(Parsed::Partial { .. }) if count > 0 => {}
            _ => {
                return Err(std::io::Error::other(
                    "the response is incomplete, too long or not valid HTTP",
                ));
            }
        }
    }
}

fn init_logging() {
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
