//! The processes of the cell under test.

use crate::proxy::{Proxy, ProxyFaults};
use std::fs::OpenOptions;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

const CALLERS: u16 = 8_080;
const CONTROL: u16 = 8_081;
const PEER: u16 = 8_082;
const PROXY: u16 = 8_083;
const METRICS: u16 = 8_084;
/// Memory that each process may use.
const MEMORY_MIB: u64 = 128;

pub(crate) struct System {
    program: PathBuf,
    folder: PathBuf,
    network: [u8; 2],
    nodes: usize,
    disks: usize,
    /// Disks that may be lost at the same time.
    tolerated_losses: usize,
    children: Vec<Option<Child>>,
    /// Processes that were asked to stop, so that their end is expected.
    stopping: Vec<bool>,
    pub(crate) proxy_faults: Vec<Rc<ProxyFaults>>,
}

impl System {
    pub(crate) async fn start(
        program: &Path,
        folder: &Path,
        nodes: usize,
        disks: usize,
        tolerated_losses: usize,
    ) -> io::Result<Self> {
        let mut system = Self {
            program: program.into(),
            folder: folder.into(),
            network: network(),
            nodes,
            disks,
            tolerated_losses,
            children: (0..nodes).map(|_| None).collect(),
            stopping: vec![false; nodes],
            proxy_faults: (0..nodes).map(|_| Rc::default()).collect(),
        };
        let fast: Rc<[Box<str>]> = (0..disks).map(|at| name(at).into()).collect();
        for node in 0..nodes {
            let (listen_address, process_address) =
                (system.address(node, PROXY), system.address(node, PEER));
            let faults = system.proxy_faults[node].clone();
            Proxy { listen_address, process_address, faults, fast: fast.clone() }.serve().await?;
        }
        for at in 0..nodes {
            system.launch(at, true)?;
        }
        Ok(system)
    }

    fn address(&self, at: usize, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        let host = u8::try_from(at + 1).unwrap_or(u8::MAX);
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, a, b, host)), port)
    }

    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        (0..self.nodes).map(|at| self.address(at, CALLERS)).collect()
    }

    pub(crate) fn control(&self) -> Vec<SocketAddr> {
        (0..self.nodes).map(|at| self.address(at, CONTROL)).collect()
    }

    pub(crate) fn nodes(&self) -> usize {
        self.nodes
    }

    pub(crate) fn disks(&self) -> usize {
        self.disks
    }

    pub(crate) fn is_down(&self, at: usize) -> bool {
        self.children[at].is_none()
    }

    /// Starts a process unless it is running; `bootstrap` lets it form a new cell.
    pub(crate) fn launch(&mut self, at: usize, bootstrap: bool) -> io::Result<()> {
        if self.children[at].is_some() {
            return Ok(());
        }
        let seeds: Vec<String> =
            (0..self.disks).map(|seed| self.address(seed, PROXY).to_string()).collect();
        let log = self.folder.join(format!("e{at}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(&self.program);
        command
            .env_clear()
            .arg("cell")
            .args(["--name", &name(at), "--zone", &format!("z{}", at % 3)])
            .args(["--peer", &self.address(at, PEER).to_string()])
            .args(["--peer-advertised", &self.address(at, PROXY).to_string()])
            .args(["--callers", &self.address(at, CALLERS).to_string()])
            .args(["--control", &self.address(at, CONTROL).to_string()])
            .args(["--metrics", &self.address(at, METRICS).to_string()])
            .args(["--seeds", &seeds.join(","), "--drain", "1s"])
            .args(["--memory-mb", &MEMORY_MIB.to_string()])
            .args(["--losses", &self.tolerated_losses.to_string()])
            .args(["--found", if bootstrap { "yes" } else { "no" }])
            .stdin(Stdio::null())
            .stdout(log);
        if at < self.disks {
            command.arg("--data").arg(self.data(at));
        }
        self.children[at] = Some(command.spawn()?);
        self.stopping[at] = false;
        Ok(())
    }

    fn data(&self, at: usize) -> PathBuf {
        self.folder.join(format!("d{at}"))
    }

    pub(crate) fn wipe(&mut self, at: usize) -> io::Result<()> {
        self.kill(at);
        match std::fs::remove_dir_all(self.data(at)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    pub(crate) fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.children[at].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills processes at the same moment.
    pub(crate) fn kill_together(&mut self, nodes: &[usize]) {
        for at in nodes {
            if let Some(child) = &mut self.children[*at] {
                let _ = child.kill();
            }
        }
        nodes.iter().for_each(|at| self.kill(*at));
    }

    /// Sends a signal to a process that this soak started.
    pub(crate) fn signal(&self, at: usize, signal: &str) -> io::Result<()> {
        let Some(child) = &self.children[at] else { return Ok(()) };
        Command::new("kill").args([signal, &child.id().to_string()]).status().map(drop)
    }

    /// Asks a process to stop.
    pub(crate) fn stop(&mut self, at: usize) -> io::Result<()> {
        self.stopping[at] = true;
        self.signal(at, "-TERM")
    }

    /// Returns whether a process that was asked to stop ended with exit code 0, or `None` if
    /// it is still running. A process that is down for another reason counts as ended.
    pub(crate) fn has_ended(&mut self, at: usize) -> io::Result<Option<bool>> {
        let Some(child) = &mut self.children[at] else { return Ok(Some(true)) };
        let Some(status) = child.try_wait()? else { return Ok(None) };
        self.children[at] = None;
        Ok(Some(status.success()))
    }

    /// Returns the processes that ended unexpectedly. [`Self::has_ended`] checks those that
    /// were asked to stop; it may do so only after their end.
    pub(crate) fn ended_unexpectedly(&mut self) -> Vec<usize> {
        let ended = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        let nodes = self.children.iter_mut().enumerate().filter(|(at, _)| !self.stopping[*at]);
        nodes.filter_map(|(at, child)| ended(child).then_some(at)).collect()
    }
}

impl System {
    /// Returns the running processes that used more than their memory since they started.
    pub(crate) fn over_memory(&self) -> Vec<usize> {
        let running = self.children.iter().enumerate();
        let over = |child: &Child| peak_mib(child.id()).is_some_and(|mib| mib > MEMORY_MIB);
        running.filter_map(|(at, child)| child.as_ref().is_some_and(over).then_some(at)).collect()
    }
}

/// Most memory that a process had resident; `None` if it has just ended.
fn peak_mib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? / 1_024)
}

impl Drop for System {
    fn drop(&mut self) {
        for at in 0..self.nodes {
            let _ = self.signal(at, "-CONT");
            self.kill(at);
        }
    }
}

fn name(node: usize) -> String {
    format!("node-{node:03}")
}

/// Selects a loopback network for this soak by the id of its process, so that soaks on one
/// machine do not share addresses and a process can be restarted on its former address.
fn network() -> [u8; 2] {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = std::process::id().wrapping_mul(16) + NEXT.fetch_add(1, Ordering::Relaxed);
    [((number >> 8) as u8 | 1).min(253), number as u8]
}
