//! Many connections that each send the same bytes, stop short of an end and stay open.

use crate::process::{DESCRIPTORS_MAX, Listener, MEMORY_MIB, Process};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time for which a crowd stays.
pub const STAY: Duration = Duration::from_secs(5);
/// Time for which a crowd stays that sends small chunks, which take processor time.
pub const LONG_STAY: Duration = Duration::from_secs(9);
/// Delay before a connection that was refused or closed is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Silent connections that are opened at once.
const BACKLOG_PART: usize = 50;
/// Time for the process to accept them.
const ACCEPT_TIME: Duration = Duration::from_millis(20);
/// Interval at which the process is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// A crowd of connections.
pub struct Crowd {
    pub at: Listener,
    pub connections: usize,
    /// What each connection sends.
    pub bytes: Vec<u8>,
    /// Whether the clients read what they are sent.
    pub reads: bool,
    pub stay: Duration,
}

/// The most that a process was seen to hold.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Resident memory and bytes in its sockets.
    bytes: u64,
    descriptors: usize,
}

/// Crowds come one at a time.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets a crowd loose on a process. Checks that the process lives, that what it held stayed
/// within its memory and its descriptors, and that an ordinary request is answered afterwards.
pub fn check(program: crate::process::Program, crowd: impl FnOnce(&Process) -> Crowd) {
    let _alone = alone();
    let mut process = Process::start(program);
    let crowd = crowd(&process);
    let peak = play(&process, &crowd);
    assert!(process.is_alive(), "the process ended");
    process.answers_an_ordinary_request();
    let peak_mib = peak.bytes.max(resident(process.id(), "VmHWM:")) >> 20;
    println!("peak {peak_mib} MiB, {} descriptors", peak.descriptors);
    assert!(peak_mib < MEMORY_MIB, "{peak_mib} MiB at the peak");
    assert!(peak.descriptors < DESCRIPTORS_MAX, "{} descriptors at the peak", peak.descriptors);
}

/// Runs `f` with a process and no crowd beside it.
pub fn in_calm(program: crate::process::Program, f: impl FnOnce(&mut Process)) {
    in_calm_with(program, &[], f);
}

/// Runs `f` with a process that has further settings.
pub fn in_calm_with(
    program: crate::process::Program,
    variables: &[(&str, &str)],
    f: impl FnOnce(&mut Process),
) {
    let _alone = alone();
    f(&mut Process::start_with(program, variables));
}

fn play(process: &Process, crowd: &Crowd) -> Peak {
    let (to, id, host) = (process.at(crowd.at), process.id(), process.host());
    let left = Arc::new(AtomicBool::new(false));
    let watch = std::thread::spawn({
        let left = left.clone();
        move || {
            let mut peak = Peak::default();
            while !left.load(Ordering::Acquire) {
                let held = resident(id, "VmRSS:") + in_sockets(host);
                peak.bytes = peak.bytes.max(held);
                peak.descriptors = peak.descriptors.max(descriptors(id));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(async {
        let bytes: Arc<[u8]> = crowd.bytes.clone().into();
        for number in 0..crowd.connections {
            tokio::spawn(misbehave(to, bytes.clone(), crowd.reads));
            // Connections that find the backlog full are opened only seconds later.
            if bytes.is_empty() && number % BACKLOG_PART == 0 {
                sleep(ACCEPT_TIME).await;
            }
        }
        sleep(crowd.stay).await;
    });
    runtime.shutdown_background();
    left.store(true, Ordering::Release);
    watch.join().expect("the watch")
}

/// Sends `bytes` and keeps the connection; opens another one whenever it is closed.
async fn misbehave(to: SocketAddr, bytes: Arc<[u8]>, reads: bool) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(to).await {
            let sent = stream.write_all(&bytes).await.is_ok();
            if sent && reads {
                let mut buf = [0; 1_024];
                while matches!(stream.read(&mut buf).await, Ok(read) if read > 0) {}
            } else if sent {
                std::future::pending::<()>().await;
            }
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Reads one of the memory figures of a process, in bytes.
fn resident(id: u32, figure: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(figure));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

fn descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count)
}

/// Bytes that the kernel holds in the sockets of an address: received and not read, and sent and
/// not acknowledged.
fn in_sockets(host: std::net::Ipv4Addr) -> u64 {
    let local = format!("{:08X}:", u32::from_ne_bytes(host.octets()));
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queues = table.lines().filter_map(|line| {
        let mut words = line.split_whitespace().skip(1);
        let is_own = words.next()?.starts_with(&local);
        let (state, queues) = (words.nth(1)?, words.next()?);
        // The queues of a listener count connections.
        (is_own && state != "0A").then(|| queues.split_once(':'))?
    });
    let hex = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
    queues.map(|(sent, received)| hex(sent) + hex(received)).sum()
}
