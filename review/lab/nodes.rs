//! The controllers: separate processes, started with the command of the deploy file.

use crate::record::Record;
use crate::site::{Addresses, Site, label};
use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

pub struct Nodes {
    record: Arc<Record>,
    command: Vec<String>,
    project: PathBuf,
    folder: PathBuf,
    children: Vec<Option<Child>>,
}

/// A free port below those of outgoing connections.
pub fn free_port(address: IpAddr) -> u16 {
    loop {
        let port = 10_000 + (crate::machine::random() * 20_000.0) as u16;
        if TcpListener::bind((address, port)).is_ok() {
            return port;
        }
    }
}

/// Asks that this process gets SIGKILL when the one that started it ends.
fn die_with_parent() -> std::io::Result<()> {
    // SAFETY: `prctl` with this option only sets a signal number.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0) };
    Ok(())
}

impl Nodes {
    /// Writes the settings files. The controllers are started one by one.
    pub fn new(
        record: Arc<Record>,
        project: &Path,
        folder: &Path,
        site: &Site,
        addresses: &[Addresses],
    ) -> Result<Nodes, String> {
        let deploy = project.join("deploy/service.toml");
        let deploy = std::fs::read_to_string(&deploy).map_err(|e| format!("{deploy:?}: {e}"))?;
        let run = deploy
            .lines()
            .find_map(|line| line.trim().strip_prefix("run = \""));
        let run = run
            .and_then(|run| run.strip_suffix('"'))
            .ok_or("no command in the deploy file")?;
        for (node, at) in addresses.iter().enumerate() {
            let path = folder.join(format!("{}.toml", label(node)));
            std::fs::write(&path, site.settings(node, at)).map_err(|e| e.to_string())?;
        }
        Ok(Nodes {
            record,
            command: run.split(' ').map(str::to_owned).collect(),
            project: project.to_owned(),
            folder: folder.to_owned(),
            children: addresses.iter().map(|_| None).collect(),
        })
    }

    pub fn start(&mut self, node: usize) -> Result<(), String> {
        if self.children[node].is_some() {
            return Ok(());
        }
        let log = self.folder.join(format!("{}.log", label(node)));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let mut command = Command::new(self.project.join(&self.command[0]));
        command
            .args(&self.command[1..])
            .arg(self.folder.join(format!("{}.toml", label(node))))
            .current_dir(&self.project)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").as_deref().unwrap_or("info"),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: the function makes one system call and allocates nothing.
        unsafe { command.pre_exec(die_with_parent) };
        let child = command
            .spawn()
            .map_err(|e| format!("{:?}: {e}", self.command))?;
        self.record
            .line(&format!("node {node}: started as process {}", child.id()));
        self.children[node] = Some(child);
        Ok(())
    }

    /// Kills a controller with SIGKILL.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("node {node}: killed"));
        }
    }

    /// The controllers that have ended by themselves, with how.
    pub fn ended(&mut self) -> Vec<String> {
        let children = self.children.iter_mut().enumerate();
        children
            .filter_map(|(node, child)| {
                let status = child.as_mut()?.try_wait().ok()??;
                Some(format!("node {node} ended by itself: {status}"))
            })
            .collect()
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        for node in 0..self.children.len() {
            self.kill(node);
        }
    }
}

/// Binds a port that the system chooses.
pub fn listen(address: IpAddr) -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind((address, 0)).map_err(|e| e.to_string())?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    Ok((listener, at))
}
