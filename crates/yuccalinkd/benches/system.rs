//! Benchmarks of ten daemon processes on loopback, three of which keep the state: time until a
//! change is in force everywhere, time without a leader, throughput of the request ledger, and
//! use of CPU, memory and network while idle.
//!
//! `cargo bench -p yuccalinkd --bench system`

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use support::{Daemons, until};
use tokio::task::LocalSet;
use yuccalink_fakes::Caller;
use yuccalink_transport::pool::{Pool, PoolSettings};

const CHANGE_COUNT: u64 = 100;
const FAILOVER_COUNT: u64 = 7;
const IDLE_TIME: Duration = Duration::from_secs(10);
const LEDGER_TIME: Duration = Duration::from_secs(4);
const TICKS_PER_SECOND: f64 = 100.0;

fn main() {
    let mut daemons = Daemons::start(10).with_document();
    measure_idle(&daemons, "ten daemons, nothing else");
    daemons = daemons.with_runners(50).with_workers(50, 64);
    measure_idle(&daemons, "with 50 runners and 50 workers");
    measure_changes(&daemons);
    measure_ledger(&daemons);
    measure_tasks(&daemons);
    measure_failover(&mut daemons);
}

fn proc(daemons: &Daemons, at: usize, file: &str) -> String {
    let pid = daemons.children[at].as_ref().expect("a daemon").id();
    fs::read_to_string(format!("/proc/{pid}/{file}")).unwrap_or_default()
}

/// Returns the CPU time used by a daemon, in seconds.
fn cpu_seconds(daemons: &Daemons, at: usize) -> f64 {
    let stat = proc(daemons, at, "stat");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn memory_kib(daemons: &Daemons, at: usize) -> u64 {
    let status = proc(daemons, at, "status");
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Returns the bytes received on the loopback device since boot.
fn loopback_bytes() -> u64 {
    let devices = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = devices.lines().find(|line| line.trim_start().starts_with("lo:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn measure_idle(daemons: &Daemons, what: &str) {
    thread::sleep(Duration::from_secs(3));
    let before: Vec<f64> = (0..10).map(|at| cpu_seconds(daemons, at)).collect();
    let bytes = loopback_bytes();
    thread::sleep(IDLE_TIME);
    let bytes = loopback_bytes() - bytes;
    let leader = daemons.leader();
    let share =
        |at: usize| (cpu_seconds(daemons, at) - before[at]) / IDLE_TIME.as_secs_f64() * 100.0;
    let others: Vec<f64> = (0..10).filter(|at| *at != leader).map(share).collect();
    let most = others.iter().copied().fold(0.0, f64::max);
    let memory: Vec<u64> = (0..10).map(|at| memory_kib(daemons, at)).collect();
    println!(
        "idle, {what}: leader {:.1}% of a core, others at most {most:.1}%; memory leader {} KiB, \
         others at most {} KiB; {:.0} bytes/s over loopback in all, {:.0} per daemon",
        share(leader),
        memory[leader],
        (0..10).filter(|at| *at != leader).map(|at| memory[at]).max().unwrap_or(0),
        bytes as f64 / IDLE_TIME.as_secs_f64(),
        bytes as f64 / IDLE_TIME.as_secs_f64() / 10.0
    );
}

fn quantiles(times: &mut [Duration]) -> String {
    times.sort();
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize].as_secs_f64() * 1000.0;
    format!("p50 {:.1} ms, p99 {:.1} ms, most {:.1} ms", at(0.5), at(0.99), at(1.0))
}

fn measure_changes(daemons: &Daemons) {
    let leader = daemons.leader();
    let before = daemons.status(leader).expect("a status").log;
    let bytes = loopback_bytes();
    let mut times = Vec::new();
    for version in 2..2 + CHANGE_COUNT {
        let started = Instant::now();
        let reply = daemons.apply((version % 10) as usize, version).expect("an answer");
        assert!(reply.text().contains("\"in-force-everywhere\":true"), "{}", reply.text());
        times.push(started.elapsed());
    }
    let after = daemons.status(leader).expect("a status").log;
    println!("a change in force on all ten entries: {}", quantiles(&mut times));
    println!(
        "per change: {:.2} syncs at the leader, {:.0} bytes of its log, {:.0} bytes over loopback",
        (after.syncs - before.syncs) as f64 / CHANGE_COUNT as f64,
        (after.bytes - before.bytes) as f64 / CHANGE_COUNT as f64,
        (loopback_bytes() - bytes) as f64 / CHANGE_COUNT as f64
    );
    daemons.signal(9, "-STOP");
    let started = Instant::now();
    let reply = daemons.apply(0, 2 + CHANGE_COUNT).expect("an answer");
    let took = started.elapsed();
    daemons.signal(9, "-CONT");
    assert!(reply.text().contains("\"in-force-everywhere\":true"), "{}", reply.text());
    println!(
        "the same while one entry is stopped by SIGSTOP: {:.0} ms",
        took.as_secs_f64() * 1000.0
    );
}

fn measure_ledger(daemons: &Daemons) {
    let mut one = 0.0;
    for callers in [1usize, 64] {
        let leader = daemons.leader();
        let before = daemons.status(leader).expect("a status").log;
        let rate = at_most_once_rate(daemons, callers);
        let after = daemons.status(leader).expect("a status").log;
        if callers == 1 {
            one = rate;
        }
        println!(
            "requests that run at most once, {callers} callers: {rate:.0}/s, {:.1} times one \
             caller's; {:.2} records a sync",
            rate / one,
            (after.records - before.records) as f64 / (after.syncs - before.syncs) as f64
        );
    }
}

fn at_most_once_rate(daemons: &Daemons, callers: usize) -> f64 {
    let done = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let threads: Vec<_> = (0..callers.min(4))
        .map(|thread| {
            let share = callers.div_ceil(4).min(callers);
            let entries: Vec<_> =
                (0..share).map(|at| daemons.callers((thread + at) % 10)).collect();
            let done = done.clone();
            thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                LocalSet::new().block_on(&runtime.expect("a runtime"), async {
                    let tasks: Vec<_> = entries
                        .into_iter()
                        .enumerate()
                        .map(|(at, entry)| {
                            let name = format!("{callers}-{thread}-{at}");
                            tokio::task::spawn_local(send_at_most_once(
                                entry,
                                name,
                                started,
                                done.clone(),
                            ))
                        })
                        .collect();
                    for task in tasks {
                        let _ = task.await;
                    }
                });
            })
        })
        .collect();
    threads.into_iter().for_each(|thread| thread.join().expect("a caller"));
    done.load(Ordering::SeqCst) as f64 / LEDGER_TIME.as_secs_f64()
}

async fn send_at_most_once(
    entry: std::net::SocketAddr,
    name: String,
    started: Instant,
    done: Arc<AtomicU64>,
) {
    let pool = Pool::new(PoolSettings::default());
    let mut number = 0u64;
    while started.elapsed() < LEDGER_TIME {
        number += 1;
        let caller = Caller::new(entry).header("idempotency-key", &format!("{name}-{number}"));
        let reply = caller.send_on(&pool, "POST", "/q/once", b"x").await;
        if reply.is_ok_and(|reply| reply.status == 200) {
            done.fetch_add(1, Ordering::SeqCst);
        }
    }
}

fn measure_tasks(daemons: &Daemons) {
    let leader = daemons.leader();
    let before = memory_kib(daemons, leader);
    let log = daemons.status(leader).expect("a status").log;
    let started = Instant::now();
    let body = br#"{"service":"q","kind":"k","count":10000,"payload":"run=1h"}"#;
    let reply = daemons.control(4).post("/v1/tasks", body).expect("an answer");
    assert_eq!(reply.status, 202, "{}", reply.text());
    let placed = until("3200 tasks on workers", || {
        let status = daemons.status(leader)?;
        (status.on_workers >= 3200).then_some(status)
    });
    println!(
        "10,000 tasks submitted and 3,200 placed (all that fit) in {:.0} ms with {} syncs",
        started.elapsed().as_secs_f64() * 1000.0,
        placed.log.syncs - log.syncs
    );
    thread::sleep(Duration::from_secs(3));
    let grown = memory_kib(daemons, leader).saturating_sub(before);
    println!("memory of the leader per task: {:.0} bytes", grown as f64 * 1024.0 / 10_000.0);
    measure_idle(daemons, "with 10,000 tasks as well");
}

fn measure_failover(daemons: &mut Daemons) {
    let mut times = Vec::new();
    for round in 0..FAILOVER_COUNT {
        let leader = daemons.leader();
        let through = (0..10).find(|at| *at != leader).expect("an entry");
        daemons.kill(leader);
        let started = Instant::now();
        until("a decision", || {
            let text =
                support::DOCUMENT.replace("version = 1", &format!("version = {}", 500 + round));
            let caller = daemons.control(through);
            let reply = caller.put("/v1/services/q?wait=false", text.as_bytes()).ok()?;
            (reply.status == 200).then_some(())
        });
        times.push(started.elapsed());
        daemons.launch(leader);
        until("it is back", || daemons.is_ready(leader).then_some(()));
        thread::sleep(Duration::from_secs(1));
    }
    println!("from kill -9 of the leader to the next accepted change: {}", quantiles(&mut times));
}
