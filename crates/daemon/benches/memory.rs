//! Measures the daemon's memory per connection and per target, and the time for appending
//! to the log and recovering it.
//!
//! `cargo bench -p yuccalink-daemon --bench memory`

use std::fs;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;
use yuccalink_daemon::{Config, Daemon};
use yuccalink_fakes::Caller;
use yuccalink_state::log::{LogFrame, TermAndVote};
use yuccalink_state::{Command, Store, store};

const CONNECTIONS: usize = 2000;
const TARGETS: usize = 2000;
const RECORDS: u64 = 20_000;

/// Resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let folder = tempfile::tempdir()?;
    let loopback: SocketAddr = "127.0.0.1:0".parse()?;
    let config =
        Config::builder().data(folder.path()).callers(loopback).control(loopback).peer(loopback);
    let daemon = Daemon::start(config.build()?)?;
    let caller = Caller::new(daemon.control());
    while caller.get("/readyz")?.status != 200 {
        std::thread::yield_now();
    }

    let before = resident_bytes();
    let mut open = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(daemon.callers())?;
        std::io::Write::write_all(&mut stream, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
        let mut head = [0; 12];
        std::io::Read::read_exact(&mut stream, &mut head)?;
        open.push(stream);
    }
    println!("per caller's connection: {} bytes", (resident_bytes() - before) / CONNECTIONS as u64);
    drop(open);

    let before = resident_bytes();
    for at in 0..TARGETS {
        let body = format!(
            r#"{{"kind":"runner","name":"r{at}","incarnation":1,"service":"q",
            "address":"127.0.0.1:9","slots":8,"connections":64,"zone":"z"}}"#
        );
        assert_eq!(caller.post("/v1/targets", body.as_bytes())?.status, 200);
    }
    println!("per target: {} bytes", resident_bytes().saturating_sub(before) / TARGETS as u64);
    daemon.kill();
    measure_log()
}

fn measure_log() -> Result<(), Box<dyn std::error::Error>> {
    println!("\n| records a sync | appends/s | bytes a record |");
    println!("|---|---|---|");
    let record: Box<[u8]> = store::encode(&Command::Cancel([].into()))?.into();
    for group_size in [1u64, 16, 256] {
        let folder = tempfile::tempdir()?;
        let (mut store, _) = Store::open(folder.path(), 1)?;
        let count = (RECORDS / 20).max(group_size) * group_size.min(20);
        let started = Instant::now();
        for _ in 0..count / group_size {
            let records = (0..group_size).map(|_| (1, record.clone())).collect();
            let hard = TermAndVote { term: 1, vote: 1 };
            store.append(&LogFrame { hard, first: store.last() + 1, records })?;
        }
        let rate = count as f64 / started.elapsed().as_secs_f64();
        let bytes = store.counts().bytes as f64 / store.counts().records as f64;
        println!("| {group_size} | {rate:.0} | {bytes:.1} |");
    }
    let folder = tempfile::tempdir()?;
    let (mut store, _) = Store::open(folder.path(), 1)?;
    for _ in 0..RECORDS / 500 {
        let records = (0..500).map(|_| (1, record.clone())).collect();
        store.append(&LogFrame {
            hard: TermAndVote::default(),
            first: store.last() + 1,
            records,
        })?;
    }
    drop(store);
    let started = Instant::now();
    let (_, recovered) = Store::open(folder.path(), 1)?;
    println!("\nrecovery of {} records: {:?}", recovered.records.len(), started.elapsed());
    Ok(())
}
