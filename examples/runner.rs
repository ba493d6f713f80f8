//! A small runner that announces itself to the entries and answers each request with the
//! body of the request.
//!
//! `cargo run --example runner -- --service quotes --name r1`

use lexopt::{Arg, Parser, ValueExt};
use std::net::SocketAddr;
use yuccalink_fakes::FakeRunner;
use yuccalink_fakes::runner::RunnerSettings;
use yuccalink_state::id::Name;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    env_logger::init();
    let mut settings = RunnerSettings {
        name: Name::new("r1")?,
        service: Name::new("quotes")?,
        zone: Name::new("zone")?,
        slots: 8,
        connections: 64,
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        entries: vec![SocketAddr::from(([127, 0, 0, 1], 8081))],
        threads: 1,
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("name") => settings.name = Name::new(&parser.value()?.string()?)?,
            Arg::Long("service") => settings.service = Name::new(&parser.value()?.string()?)?,
            Arg::Long("zone") => settings.zone = Name::new(&parser.value()?.string()?)?,
            Arg::Long("slots") => settings.slots = parser.value()?.parse()?,
            Arg::Long("connections") => settings.connections = parser.value()?.parse()?,
            Arg::Long("listen") => settings.listen = parser.value()?.parse()?,
            Arg::Long("threads") => settings.threads = parser.value()?.parse()?,
            Arg::Long("entries") => {
                let list = parser.value()?.string()?;
                settings.entries = list.split(',').map(str::parse).collect::<Result<_, _>>()?;
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let name = settings.name.clone();
    let runner = FakeRunner::start(settings)?;
    println!("runner {name} listens on {}", runner.address());
    loop {
        std::thread::park();
    }
}
