//! Starts, pauses, continues, kills and restarts controller processes, and reads their logs.

use super::clock::ProtocolTimes;
use super::oracle::{FREE_TEAM, TEAM};
use rustix::process::{Pid, Signal, kill_process};
use std::fmt::Write as _;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Addresses that one controller listens on or connects to.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// Address on which the controller accepts requests of users and workers.
    pub users: SocketAddr,
    /// Address on which the controller accepts connections of other controllers.
    pub peers: SocketAddr,
    /// The `[[seeds]]` section of the settings, which lists the other controllers: the index of each, and the address
    /// of the proxy through which this controller connects to it.
    pub seeds: Vec<(usize, SocketAddr)>,
    /// Address of this controller's port of the state service stand-in.
    pub state: SocketAddr,
    /// Address of the cloud stand-in.
    pub cloud: SocketAddr,
}

/// One controller, whose process may be running or not.
pub struct Controller {
    label: String,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// The process; `None` while the controller is not running.
    child: Option<Child>,
}

/// A line of a controller's log that reports an error.
pub struct LogError {
    pub line: String,
}

impl Controller {
    /// Writes the settings file of a controller, and does not start the controller.
    pub fn new(
        number: usize,
        program: &Path,
        directory: &Path,
        addresses: &Addresses,
        times: &ProtocolTimes,
        team_cpus: f64,
    ) -> io::Result<Controller> {
        let label = format!("n{number}");
        let settings = directory.join(format!("{label}.toml"));
        std::fs::write(
            &settings,
            settings_text(&label, addresses, times, team_cpus),
        )?;
        Ok(Controller {
            log: directory.join(format!("{label}.log")),
            label,
            program: program.to_owned(),
            settings,
            child: None,
        })
    }

    /// Starts the controller if it is not running.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Pauses the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues the paused process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// If the process has ended without [`Controller::kill`], returns a description with its exit status.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(format!("{} ended by itself: {status}", self.label))
    }

    /// Lines of the log with an error or a panic. A run with such a line fails.
    pub fn log_errors(&self) -> Vec<LogError> {
        let text = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&text)
            .lines()
            .filter(|line| line.contains("ERROR") || line.contains("panicked"))
            .map(|line| LogError {
                line: format!("{}: {line}", self.label),
            })
            .collect()
    }

    /// Number of log lines that contain a text.
    pub fn count_in_log(&self, text: &str) -> u64 {
        let log = std::fs::read(&self.log).unwrap_or_default();
        let log = String::from_utf8_lossy(&log);
        log.lines().filter(|line| line.contains(text)).count() as u64
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(
    label: &str,
    addresses: &Addresses,
    times: &ProtocolTimes,
    team_cpus: f64,
) -> String {
    let Addresses {
        users,
        peers,
        seeds,
        state,
        cloud,
    } = addresses;
    let mut text =
        format!("label = \"{label}\"\nsite = \"a\"\nbind = \"{users}\"\npeer_bind = \"{peers}\"\n");
    for (number, address) in seeds {
        let _ = write!(
            text,
            "[[seeds]]\nlabel = \"n{number}\"\nsite = \"a\"\naddress = \"{address}\"\n"
        );
    }
    let nodes = seeds.len() + 1;
    let ProtocolTimes {
        heartbeat_interval_s,
        lease_s,
        cancel_s,
        list_lag_s,
        ..
    } = times;
    let _ = write!(
        text,
        "[services]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
         [deployment]\ninitial_size = {nodes}\nzones = [\"a\", \"b\"]\nskew_ms = 10.0\n\
         [[deployment.teams]]\nname = \"{TEAM}\"\ncpus = {half:?}\ncpus_max = {team_cpus:?}\n\
         [[deployment.teams]]\nname = \"{FREE_TEAM}\"\n\
         [deployment.workers]\nreport_s = {heartbeat_interval_s:?}\nlease_s = {lease_s:?}\ncancel_s = {cancel_s:?}\n\
         [deployment.state]\nrps = 1500.0\nwrite_rps = 600.0\nvalue_kb = 8.0\ntxn_ops = 48\n\
         [deployment.cloud]\nrps = 40.0\nlist_lag_s = {list_lag_s:?}\n\
         [deployment.quota]\ncore_share = 1.0\nmem_mb = 512.0\nmax_sockets = 2000\n",
        half = team_cpus / 2.0,
    );
    text
}
