//! Embeds the coordination parts in a program of one's own: three replicas agree on
//! a few words, with a `Vec` for a network and a counter for a clock.
//!
//! `cargo run -p yuccalink-coordination --example embed`

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use yuccalink_coordination::Moment;
use yuccalink_coordination::raft::{Envelope, Member, Members, Payload, Raft, ReplicaId, Restored};
use yuccalink_state::id::Name;

const STEP: Duration = Duration::from_millis(10);

fn main() -> Result<(), Box<dyn Error>> {
    let mut now = Moment::from_millis(1_000);
    let mut voters = Vec::new();
    let mut replicas = Vec::new();
    for number in 1..=3 {
        let id = ReplicaId(number);
        voters.push(Member { id, name: Name::new(&format!("e{number}"))?, address: "".into() });
        replicas.push(Raft::new(id, Restored::default(), number, now));
    }
    replicas[0].bootstrap(Members { voters, learners: Vec::new() }, now);

    let mut words: Vec<&str> = vec!["nets", "returns", "quotes"];
    let mut agreed = 0;
    while agreed < 9 {
        now = now + STEP;
        let mut network: Vec<Envelope> = Vec::new();
        for replica in &mut replicas {
            replica.tick(now);
            if let Some(word) = words.last()
                && replica.propose(now, vec![Arc::from(word.as_bytes())]).is_ok()
            {
                words.pop();
            }
            let output = replica.take();
            // A real program writes and syncs here, and sends a message only once the
            // write that it names is durable.
            if let Some(write) = output.persist.last() {
                replica.persisted(write.seq, now);
            }
            network.extend(output.messages.into_iter().map(|(_, envelope)| envelope));
            for (index, entry) in output.committed {
                if let Payload::Command(bytes) = entry.payload {
                    println!("{} {index}: {}", replica.id(), String::from_utf8_lossy(&bytes));
                    agreed += 1;
                }
            }
        }
        for envelope in network {
            for replica in &mut replicas {
                if replica.id() == envelope.to {
                    replica.step(now, envelope.clone());
                }
            }
        }
    }
    Ok(())
}
