//! The daemons under test, each a process of its own with a settings file as DEPLOY.md has it, and
//! the operator and callers who use them.

use crate::http::{self, Response};
use crate::json::Json;
use crate::record::Record;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CALLERS: u16 = 8161;
const CONTROL: u16 = 8166;
const READY: u16 = 8167;
const METRICS: u16 = 9100;
const PEERS: (u16, u16) = (7720, 7735);
/// The platform's services are at the next address after the daemons.
const PLATFORM: u16 = 8169;
pub const HOST: &str = "nony24.example";
pub const SERVICE: &str = "huvo11a";

/// The run line of deploy/system.toml.
const PROGRAM: &str = "target/release/yuccalinkd";

pub struct Cell {
    pub record: Record,
    folder: PathBuf,
    network: [u8; 2],
    nodes: usize,
    advisor: bool,
    children: Vec<Option<Child>>,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Cell {
    pub fn new(record: Record, folder: PathBuf, nodes: usize, advisor: bool) -> Option<Self> {
        let network = (0..50).find_map(|attempt| free_network(nodes, attempt))?;
        let children = (0..nodes).map(|_| None).collect();
        Some(Self { record, folder, network, nodes, advisor, children })
    }

    fn address(&self, node: usize, port: u16) -> SocketAddr {
        at(self.network, node, port)
    }

    /// Where the platform's services listen.
    pub fn platform(&self, offset: u16) -> SocketAddr {
        at(self.network, self.nodes, PLATFORM + offset)
    }

    /// A loopback address for a runner.
    pub fn runner_address(&self, number: usize) -> SocketAddr {
        at(self.network, self.nodes + 1, 10_000 + number as u16)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.nodes).map(|node| self.address(node, CONTROL)).collect()
    }

    pub fn start(&mut self) -> std::io::Result<()> {
        for node in 0..self.nodes {
            self.launch(node, true)?;
        }
        Ok(())
    }

    /// Starts one daemon with the command of the deploy file.
    pub fn launch(&mut self, node: usize, bootstrap: bool) -> std::io::Result<()> {
        let settings = self.folder.join(format!("settings-{node}.toml"));
        fs::write(&settings, self.settings(node, bootstrap))?;
        let log = self.folder.join(format!("daemon-{node}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .arg("platform")
            .env_clear()
            .env("YUCCALINK_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("daemon {node} started"));
        self.children[node] = Some(child);
        self.note_pids()
    }

    fn settings(&self, node: usize, bootstrap: bool) -> String {
        let seeds: Vec<String> =
            self.controls().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let zones = ["brno-a", "zlin-b", "olomouc-c"];
        let zone = zones[node % zones.len()];
        let data = self.folder.join(format!("data-{node}"));
        let advisor = match self.advisor {
            true => self.platform(1).to_string(),
            false => String::new(),
        };
        format!(
            "node_name = \"edge-{zone}-{node}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"morava\"\nport_range = [{first},{last}]\nseeds = [{seeds}]\n\
             bootstrap = {bootstrap}\nin_tolerance = true\ndata_dir = \"{data}\"\n\
             discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\
             \"upkeep\",\"sharing\"]\nconfig_mode = \"highest\"\ncontrol_mode = \"heartbeat\"\n\
             advisor = \"{advisor}\"\n\
             [zones]\nbrno-a = \"morava\"\nzlin-b = \"morava\"\nolomouc-c = \"morava\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 128\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\n\
             recovery_s = 12\nlease_max_ms = 6000\nstop_timeout_ms = 400\n\
             gang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\ncross_rack_factor = 2\ncheckpoint_interval_s = 1\n\
             restore_ms = 100\nnotice_ms = 4500\nmigration_s = 1.5\nmaintenance_s = 2\n\
             require_fencing = true\nlease_ms = 3000\nunfreeze_slack_ms = 300\npace_ms = 100\n\
             disruption_ms = 5500\n\
             [cloud]\naddress = \"{cloud}\"\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n",
            ip = self.address(node, CONTROL).ip(),
            first = PEERS.0,
            last = PEERS.1,
            seeds = seeds.join(","),
            data = data.display(),
            front = self.address(node, CALLERS),
            ready = self.address(node, READY),
            control = self.address(node, CONTROL),
            cloud = self.platform(0),
        )
    }

    /// Writes down the daemons that run, which run.sh ends if this program is ended itself.
    fn note_pids(&self) -> std::io::Result<()> {
        let pids = self.children.iter().flatten().map(|child| format!("{}\n", child.id()));
        fs::write(self.folder.join("pids"), pids.collect::<String>())
    }

    /// Kills a daemon at once.
    pub fn kill(&mut self, node: usize) {
        if let Some(mut child) = self.children[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = self.note_pids();
            self.record.line(format!("daemon {node} killed"));
        }
    }

    /// Whether all daemons run that were not ended here.
    pub fn all_run(&mut self) -> bool {
        let ended = |child: &mut Option<Child>| {
            child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
        };
        !self.children.iter_mut().any(ended)
    }

    pub fn pid(&self, node: usize) -> Option<u32> {
        self.children[node].as_ref().map(Child::id)
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let limit = Duration::from_millis(900);
        let answer = http::call(self.address(node, READY), "GET", "/api/ready", "", "", limit);
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until all daemons that run are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let running = (0..self.nodes).filter(|node| self.children[*node].is_some());
            if running.into_iter().all(|node| self.is_ready(node)) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// A call of the operator. It moves on to another node after a failure, and follows a 307
    /// twice.
    pub fn operate(&self, method: &str, path: &str, body: &str, tries: usize) -> Option<Response> {
        for attempt in 0..tries {
            let mut to = self.address(attempt % self.nodes, CONTROL);
            for _ in 0..3 {
                let limit = Duration::from_secs(1);
                let answer = http::call(to, method, path, "control", body, limit);
                let status = answer.as_ref().map_or(0, |answer| answer.status);
                match answer {
                    Some(answer) if status == 307 => {
                        let target = answer.location.unwrap_or_default();
                        let address = target.trim_start_matches("http://").split('/').next();
                        match address.and_then(|text| text.parse().ok()) {
                            Some(next) => to = next,
                            None => break,
                        }
                    }
                    Some(answer) if status < 500 && status != 408 && status != 429 => {
                        return Some(answer);
                    }
                    _ => break,
                }
            }
            sleep(Duration::from_millis(150 + 100 * attempt as u64));
        }
        None
    }

    /// A call of a consumer at one node.
    pub fn consume(&self, node: usize, method: &str, path: &str, body: &str) -> Option<Response> {
        let to = self.address(node % self.nodes, CALLERS);
        let head = format!("Host: {HOST}\r\nX-Deadline-Ms: 3000\r\n");
        http::call_with(to, method, path, &head, body, Duration::from_millis(3_000))
    }

    /// Hands a submission in until it gets a clear answer; returns the status of that answer.
    pub fn submit(&self, prefix: &str, id: &str, body: &str) -> u16 {
        for attempt in 0..5 {
            let answer = self.consume(attempt, "POST", &format!("{prefix}{id}"), body);
            let status = answer.map_or(0, |answer| answer.status);
            if !matches!(status, 0 | 502 | 504) {
                return status;
            }
            sleep(Duration::from_millis(200));
        }
        0
    }

    /// State of a submission, asked at one node after the other.
    pub fn state(&self, prefix: &str, id: &str) -> String {
        for attempt in 0..6 {
            if let Some(answer) = self.consume(attempt, "GET", &format!("{prefix}{id}"), "") {
                match answer.status {
                    200 => return answer.json().get("state").map_or("", Json::text).to_string(),
                    status if status < 500 && status != 429 => return status.to_string(),
                    _ => {}
                }
            }
            sleep(Duration::from_millis(200));
        }
        "no answer".into()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in 0..self.nodes {
            self.kill(node);
        }
    }
}

fn at(network: [u8; 2], host: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(127, network[0], network[1], host as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// A part of the loopback range whose ports are free for all processes of a case.
fn free_network(nodes: usize, attempt: u32) -> Option<[u8; 2]> {
    let seed = std::process::id().wrapping_mul(31).wrapping_add(attempt.wrapping_mul(7_919));
    let network = [(seed >> 8) as u8 | 1, seed as u8];
    let ports = [CALLERS, CONTROL, READY, METRICS, PEERS.0, PLATFORM, PLATFORM + 1];
    let free = |host: usize| ports.iter().all(|p| TcpListener::bind(at(network, host, *p)).is_ok());
    (0..=nodes).all(free).then_some(network)
}
