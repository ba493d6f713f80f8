//! Starts the system's own program, `yuccalinkd platform`, once for each entry machine, on
//! loopback addresses, and sends what operators and consumers send.

use crate::http::{self, Call, Reply};
use crate::record::Record;
use crate::watchdog;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = "target/release/yuccalinkd";
const CONTROL_PORT: u16 = 8166;
const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const PEER_PORT: u16 = 7720;
const METRICS_PORT: u16 = 9100;
/// Address of the platform's machine service and of runners, in the last byte.
pub const CLOUD_HOST: u8 = 90;
pub const ADVISOR_HOST: u8 = 91;
pub const RUNNER_HOST: u8 = 100;
const RESERVED_HOST: u8 = 250;
const CLOUD_PORT: u16 = 8169;
pub const HOST: &str = "desk.example";
/// `X-Deadline-Ms` of consumers: `deadline_ms` of the site's kinds of request.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

pub struct Cell {
    pub record: Arc<Record>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    subnet: u8,
    _reserved: Option<TcpListener>,
}

pub struct Node {
    number: u8,
    settings: PathBuf,
    log: PathBuf,
    pub child: Option<Child>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                watchdog::release(child.id());
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl Cell {
    /// Writes the settings of `disks` machines with a disk and `others` without, and starts them.
    pub fn start(record: Arc<Record>, disks: u8, others: u8) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("yuccalink-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let first = (unix_ms() % 200) as u8 + 20;
        // Held while the play lasts, so that no other play takes the same addresses.
        let mut reserved = None;
        let free = |subnet: &u8| {
            reserved = TcpListener::bind(address(*subnet, RESERVED_HOST, CONTROL_PORT)).ok();
            reserved.is_some()
                && (1..=disks + others).all(|number| {
                    [CONTROL_PORT, FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT]
                        .iter()
                        .all(|port| TcpListener::bind(address(*subnet, number, *port)).is_ok())
                })
        };
        let subnet = (0..200).map(|i| 20 + (first - 20 + i) % 200).find(free);
        let subnet = subnet.ok_or(io::ErrorKind::AddrInUse)?;
        let mut cell = Self { record, nodes: Vec::new(), folder, subnet, _reserved: reserved };
        for number in 1..=disks + others {
            let settings = cell.folder.join(format!("settings-{number}.toml"));
            fs::write(&settings, cell.settings(number, number <= disks))?;
            let log = cell.folder.join(format!("node-{number}.log"));
            cell.nodes.push(Node { number, settings, log, child: None });
        }
        for at in 0..cell.nodes.len() {
            cell.spawn(at)?;
        }
        Ok(cell)
    }

    pub fn spawn(&mut self, at: usize) -> io::Result<()> {
        let node = &mut self.nodes[at];
        let log = File::options().create(true).append(true).open(&node.log)?;
        let child = Command::new(Path::new(PROGRAM))
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("YUCCALINK_NODE_FILE", &node.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.record.line(&format!("node {} started", node.number));
        watchdog::guard(child.id());
        node.child = Some(child);
        Ok(())
    }

    fn settings(&self, number: u8, disk: bool) -> String {
        let subnet = self.subnet;
        let ip = format!("127.0.{subnet}.{number}");
        let zone = ["brno-a", "zlin-b", "olomouc-c"][usize::from(number - 1) % 3];
        let data = self.folder.join(format!("data-{number}"));
        let data =
            if disk { format!("data_dir = \"{}\"\n", data.display()) } else { String::new() };
        format!(
            "node_name = \"edge-{number}\"\nrole = \"entry\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
             region = \"morava\"\nport_range = [7720,7735]\n\
             seeds = [\"127.0.{subnet}.1:8166\",\"127.0.{subnet}.2:8166\",\"127.0.{subnet}.3:8166\"]\n\
             bootstrap = true\nin_tolerance = {disk}\n{data}discovery = \"registry\"\n\
             entry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n\
             config_mode = \"highest\"\ncontrol_mode = \"heartbeat\"\nadvisor = \"{}\"\n\
             [zones]\nbrno-a = \"morava\"\nzlin-b = \"morava\"\nolomouc-c = \"morava\"\n\
             [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             control = \"{ip}:{CONTROL_PORT}\"\n\
             [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 128\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\nrecovery_s = 12\n\
             lease_max_ms = 6000\nstop_timeout_ms = 400\ngang_timeout_ms = 3000\ncancel_ms = 3000\n\
             visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
             cross_rack_factor = 2\ncheckpoint_interval_s = 1\nrestore_ms = 100\nnotice_ms = 4500\n\
             migration_s = 1.5\nmaintenance_s = 2\nrequire_fencing = true\nlease_ms = 3000\n\
             unfreeze_slack_ms = 300\npace_ms = 100\ndisruption_ms = 5500\n\
             [cloud]\naddress = \"{}\"\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n",
            self.advisor(),
            self.cloud()
        )
    }

    pub fn cloud(&self) -> SocketAddr {
        address(self.subnet, CLOUD_HOST, CLOUD_PORT)
    }

    pub fn advisor(&self) -> SocketAddr {
        address(self.subnet, ADVISOR_HOST, CLOUD_PORT)
    }

    pub fn runner_address(&self, number: u8) -> String {
        address(self.subnet, RUNNER_HOST + number, 8080).to_string()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| address(self.subnet, node.number, FRONT_PORT)).collect()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| address(self.subnet, node.number, CONTROL_PORT)).collect()
    }

    /// Waits until all nodes are ready, as the platform's balancer sees it.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = self.nodes.iter().all(|node| {
                let to = address(self.subnet, node.number, READY_PORT);
                self.get(to, "/api/ready").is_ok_and(|reply| reply.status == 200)
            });
            if ready {
                self.record.line("all nodes are ready");
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    fn get(&self, to: SocketAddr, path: &str) -> io::Result<Reply> {
        let call = Call { method: "GET", path, host: HOST, headers: "", body: "" };
        http::call(to, &call, Duration::from_secs(1))
    }

    /// Sends an order of the operator until it is acknowledged; each try goes to the next node.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Reply> {
        let until = Instant::now() + limit;
        let controls = self.controls();
        for at in 0.. {
            if Instant::now() > until {
                return None;
            }
            let mut to = controls[at % controls.len()];
            for _ in 0..3 {
                let call = Call { method, path, host: &to.to_string(), headers: "", body };
                match http::call(to, &call, Duration::from_secs(1)) {
                    Ok(reply) if reply.status == 307 => {
                        let location = reply.location.unwrap_or_default();
                        let at = location.trim_start_matches("http://").split('/').next();
                        match at.and_then(|at| at.parse().ok()) {
                            Some(next) => to = next,
                            None => break,
                        }
                    }
                    Ok(reply) if reply.status < 500 && !matches!(reply.status, 408 | 429) => {
                        self.record.line(&format!("operator {method} {path} -> {}", reply.status));
                        return Some(reply);
                    }
                    _ => break,
                }
            }
            std::thread::sleep(Duration::from_millis(100 * (at as u64 + 1).min(5)));
        }
        None
    }

    /// One call of a consumer at one node, recorded.
    pub fn consumer(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> io::Result<Reply> {
        let fronts = self.fronts();
        let to = fronts[front % fronts.len()];
        let headers = format!("X-Deadline-Ms: {}\r\n", DEADLINE.as_millis());
        let call = Call { method, path, host: HOST, headers: &headers, body };
        let before = Instant::now();
        let reply = http::call(to, &call, DEADLINE);
        let took = before.elapsed().as_millis();
        let shown = match &reply {
            Ok(reply) => format!("{} {}", reply.status, reply.body),
            Err(error) => format!("no answer ({})", error.kind()),
        };
        let sent: String = body.chars().take(200).collect();
        self.record
            .line(&format!("consumer {method} {path} {sent} at {to} -> {shown} after {took} ms"));
        reply
    }

    /// Sends a consumer's call up to five times (its first and four retries), each to another
    /// node, until a status other than 502 and 504 comes.
    pub fn consumer_with_retries(
        &self,
        front: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Reply> {
        for again in 0..5 {
            if let Ok(reply) = self.consumer(front + again, method, path, body)
                && !matches!(reply.status, 502..=504 | 429)
            {
                return Some(reply);
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Copies lines of the nodes' logs with one of `words` to the record.
    pub fn record_logs(&self, words: &[&str]) {
        for node in &self.nodes {
            for line in fs::read_to_string(&node.log).unwrap_or_default().lines() {
                if words.iter().any(|word| line.contains(word)) {
                    self.record.line(&format!("log of node {}: {line}", node.number));
                }
            }
        }
    }

    /// Records the most memory that each node has used.
    pub fn record_memory(&self) {
        for node in &self.nodes {
            let Some(child) = &node.child else { continue };
            let status = fs::read_to_string(format!("/proc/{}/status", child.id()));
            let status = status.unwrap_or_default();
            let peak = status.lines().find(|line| line.starts_with("VmHWM")).unwrap_or_default();
            self.record.line(&format!("node {}: {peak}", node.number));
        }
    }

    /// Processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<u8> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                ended.push(node.number);
            }
        }
        ended
    }
}

pub fn address(subnet: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, subnet, host], port))
}
