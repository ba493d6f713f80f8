//! Embeds the Raft implementation of the coordination package in another program: three
//! replicas commit a few words, with a `Vec` as the network and a counter as the clock.
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
    let mut committed_count = 0;
    while committed_count < 9 {
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
            // A real program writes and syncs here, and sends each message only when the
            // write on which it depends is durable.
            if let Some(write) = output.persist.last() {
                replica.persisted(write.seq, now);
            }
            network.extend(output.messages.into_iter().map(|(_, envelope)| envelope));
            for (index, entry) in output.committed {
                if let Payload::Command(bytes) = entry.payload {
                    println!("{} {index}: {}", replica.id(), String::from_utf8_lossy(&bytes));
                    committed_count += 1;
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
