//! Compares requests through an entry VM with requests sent directly to the runner, in
//! one run on one machine: throughput and latency at 1, 64 and 512 connections, then
//! latency at half of the entry's maximum throughput.
//!
//! `cargo bench -p yuccalink-daemon --bench entry_path 2>/dev/null`
//!
//! `THREADS` sets the entry's number of traffic threads (default 2, as for the runners).

use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;
use tokio::task::LocalSet;
use tokio::time::Instant;
use yuccalink_daemon::{Config, Daemon};
use yuccalink_fakes::runner::RunnerSettings;
use yuccalink_fakes::{Caller, FakeRunner};
use yuccalink_state::id::Name;
use yuccalink_transport::pool::{Pool, PoolSettings};

const RUNNERS: usize = 2;
const SLOTS: u32 = 512;
const LOAD_THREADS: usize = 2;
const WARM_UP_DURATION: Duration = Duration::from_millis(500);
const RUN_DURATION: Duration = Duration::from_secs(3);
const ROUNDS: usize = 3;
const DOCUMENT: &str = "service='q'\nteam='t'\nversion=1\n[[request]]\nname='echo'\n\
    path='/**'\nidempotent=true\ndeadline='5s'\n";

/// Results of one run.
struct Measured {
    per_second: f64,
    latencies: Histogram<u64>,
    failed: u64,
}

impl Measured {
    fn micros(&self, quantile: f64) -> u64 {
        self.latencies.value_at_quantile(quantile)
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    // Log lines are written through the same log thread as in production.
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(yuccalink_daemon::start_logging()?))
        .init();
    let threads = std::env::var("THREADS").map_or(Ok(2), |text| text.parse())?;
    println!("entry with {threads} traffic threads, runners with {RUNNERS}\n");
    let folder = tempfile::tempdir()?;
    let loopback: SocketAddr = "127.0.0.1:0".parse()?;
    let config =
        Config::builder().data(folder.path()).callers(loopback).control(loopback).peer(loopback);
    let daemon = Daemon::start(config.traffic_threads(threads).build()?)?;
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        runners.push(FakeRunner::start(RunnerSettings {
            name: Name::new(&format!("r{index}"))?,
            service: Name::new("q")?,
            zone: Name::new("zone")?,
            slots: SLOTS,
            connections: SLOTS * 4,
            listen: loopback,
            entries: vec![daemon.control()],
            threads: 1,
        })?);
    }
    Caller::new(daemon.control()).put("/v1/services/q", DOCUMENT.as_bytes())?;
    while Caller::new(daemon.callers()).get("/q/ready")?.status != 200 {
        thread::sleep(Duration::from_millis(100));
    }
    let direct: Vec<SocketAddr> = runners.iter().map(FakeRunner::address).collect();
    let entry = vec![daemon.callers()];
    println!(
        "| connections | direct/s | entry/s | ratio | direct p50/p99/p99.9 us | entry p50/p99/p99.9 us |"
    );
    println!("|---|---|---|---|---|---|");
    let mut peak_rate = 0.0;
    for connections in [1, 64, 512] {
        let (direct_result, entry_result) = measure_alternately(&direct, &entry, connections, None);
        println!(
            "| {connections} | {:.0} | {:.0} | {:.2} | {} | {} |",
            direct_result.per_second,
            entry_result.per_second,
            entry_result.per_second / direct_result.per_second,
            quantiles(&direct_result),
            quantiles(&entry_result)
        );
        if entry_result.per_second > peak_rate {
            peak_rate = entry_result.per_second;
        }
    }
    println!("\n| rate/s | direct p50/p99/p99.9 us | entry p50/p99/p99.9 us | added p99 us |");
    println!("|---|---|---|---|");
    let rate = peak_rate / 2.0;
    let (direct_result, entry_result) = measure_alternately(&direct, &entry, 64, Some(rate));
    let added_p99 = entry_result.micros(0.99).saturating_sub(direct_result.micros(0.99));
    println!(
        "| {rate:.0} | {} | {} | {added_p99} |",
        quantiles(&direct_result),
        quantiles(&entry_result)
    );
    println!("\nfailed requests: direct {}, entry {}", direct_result.failed, entry_result.failed);
    for runner in &mut runners {
        runner.stop();
    }
    daemon.kill();
    Ok(())
}

fn quantiles(measured: &Measured) -> String {
    [0.5, 0.99, 0.999].map(|q| measured.micros(q).to_string()).join("/")
}

/// Runs both alternately and returns the median run of each: by p99 if a rate is given,
/// otherwise by throughput.
fn measure_alternately(
    direct: &[SocketAddr],
    entry: &[SocketAddr],
    connections: usize,
    rate: Option<f64>,
) -> (Measured, Measured) {
    let mut direct_runs = Vec::new();
    let mut entry_runs = Vec::new();
    for _ in 0..ROUNDS {
        direct_runs.push(generate_load(direct, connections, rate));
        entry_runs.push(generate_load(entry, connections, rate));
    }
    (median(direct_runs, rate.is_some()), median(entry_runs, rate.is_some()))
}

fn median(mut runs: Vec<Measured>, by_p99: bool) -> Measured {
    runs.sort_by(|left, right| match by_p99 {
        true => left.micros(0.99).cmp(&right.micros(0.99)),
        false => left.per_second.total_cmp(&right.per_second),
    });
    runs.swap_remove(ROUNDS / 2)
}

/// Generates load in a closed loop on each connection, or in an open loop with a total of
/// `rate` requests per second.
fn generate_load(to: &[SocketAddr], connections: usize, rate: Option<f64>) -> Measured {
    let threads = LOAD_THREADS.min(connections);
    let failed = Arc::new(AtomicU64::new(0));
    let handles: Vec<_> = (0..threads)
        .map(|thread| {
            let connections_per_thread = connections / threads;
            let to: Vec<SocketAddr> = (0..connections_per_thread)
                .map(|index| to[(thread * connections_per_thread + index) % to.len()])
                .collect();
            let interval = rate.map(|rate| Duration::from_secs_f64(connections as f64 / rate));
            let failed = failed.clone();
            thread::spawn(move || load_thread(&to, interval, &failed))
        })
        .collect();
    let mut latencies = new_histogram();
    for handle in handles {
        if let Ok(part) = handle.join() {
            let _ = latencies.add(part);
        }
    }
    let per_second = latencies.len() as f64 / RUN_DURATION.as_secs_f64();
    Measured { per_second, latencies, failed: failed.load(Ordering::Relaxed) }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("constant bounds")
}

fn load_thread(
    to: &[SocketAddr],
    interval: Option<Duration>,
    failed: &AtomicU64,
) -> Histogram<u64> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return new_histogram() };
    let local = LocalSet::new();
    let connections = to.len();
    local.block_on(&runtime, async {
        let start = Instant::now();
        let tasks: Vec<_> = to
            .iter()
            .enumerate()
            .map(|(index, to)| {
                let offset = interval.map_or(Duration::ZERO, |interval| {
                    interval.mul_f64(index as f64 / connections as f64)
                });
                tokio::task::spawn_local(connection(*to, start + offset, interval))
            })
            .collect();
        let mut latencies = new_histogram();
        for task in tasks {
            if let Ok((part, failures)) = task.await {
                let _ = latencies.add(part);
                failed.fetch_add(failures, Ordering::Relaxed);
            }
        }
        latencies
    })
}

/// Sends requests on one connection. In the open loop, latency is measured from the time
/// a request was due, so that a stall is not hidden.
async fn connection(
    to: SocketAddr,
    start: Instant,
    interval: Option<Duration>,
) -> (Histogram<u64>, u64) {
    let pool = Pool::new(PoolSettings::default());
    let caller = Caller::new(to);
    let mut latencies = new_histogram();
    let mut failed = 0;
    let mut due = start;
    while start.elapsed() < WARM_UP_DURATION + RUN_DURATION {
        if let Some(interval) = interval {
            // The runtime's timer is too coarse here: it fires up to 1 ms late.
            while Instant::now() < due {
                tokio::task::yield_now().await;
            }
            due += interval;
        }
        let started_at =
            if interval.is_some() { due - interval.unwrap_or_default() } else { Instant::now() };
        let reply = caller.send_on(&pool, "GET", "/q/echo", b"").await;
        if !reply.is_ok_and(|reply| reply.status == 200) {
            failed += 1;
        } else if started_at.duration_since(start) >= WARM_UP_DURATION {
            let micros = u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
            let _ = latencies.record(micros.max(1));
        }
    }
    (latencies, failed)
}
