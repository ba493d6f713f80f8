//! A small worker that announces itself to the entries and simulates each task for the time
//! that its payload specifies, such as `run=200ms`.
//!
//! `cargo run --example worker -- --name w1 --cores 8`

use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use yuccalink_fakes::FakeWorker;
use yuccalink_fakes::worker::WorkerSettings;
use yuccalink_state::Resources;
use yuccalink_state::id::Name;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    env_logger::init();
    let mut settings = WorkerSettings {
        name: Name::new("w1")?,
        capacity: Resources { millicores: 8_000, memory_mib: 32_768, accelerators: 0 },
        rack: Name::new("rack")?,
        zone: Name::new("zone")?,
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        entries: vec![SocketAddr::from(([127, 0, 0, 1], 8081))],
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("name") => settings.name = Name::new(&parser.value()?.string()?)?,
            Arg::Long("rack") => settings.rack = Name::new(&parser.value()?.string()?)?,
            Arg::Long("zone") => settings.zone = Name::new(&parser.value()?.string()?)?,
            Arg::Long("cores") => {
                settings.capacity.millicores = parser.value()?.parse::<u64>()? * 1000;
            }
            Arg::Long("memory-mib") => settings.capacity.memory_mib = parser.value()?.parse()?,
            Arg::Long("accelerators") => {
                settings.capacity.accelerators = parser.value()?.parse()?
            }
            Arg::Long("listen") => settings.listen = parser.value()?.parse()?,
            Arg::Long("entries") => {
                let list = parser.value()?.string()?;
                settings.entries = list.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let name = settings.name.clone();
    let worker = FakeWorker::start(settings)?;
    println!("worker {name} receives orders on {}", worker.address());
    loop {
        std::thread::park();
    }
}
