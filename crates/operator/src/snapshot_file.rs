//! Saves and verifies snapshots, and creates a data folder to bootstrap a system from one.

use crate::client::Client;
use crate::command::Output;
use crate::error::{Error, Result};
use serde_json::json;
use std::fs::{self, File};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use yuccalink_coordination::raft::{Member, Members, ReplicaId};
use yuccalink_protocol::peer;
use yuccalink_state::id::Name;
use yuccalink_state::machine::RESTORE_JUMP;
use yuccalink_state::snapshot::{self, Meta, Snapshot};
use yuccalink_state::store::Store;

/// Saves the committed state of the leader. The file is renamed into place after it is
/// written and synced, so that it is never partial.
pub(crate) async fn save(client: &Client, file: &str) -> Result<Output> {
    let bytes = client.snapshot().await?;
    let snapshot = snapshot::decode(&bytes, file).map_err(Error::State)?;
    let fail = |source| Error::Write { path: file.into(), source };
    let temporary = format!("{file}.draft");
    let mut out = File::create(&temporary).map_err(fail)?;
    out.write_all(&bytes).and_then(|()| out.sync_all()).map_err(fail)?;
    fs::rename(&temporary, file).map_err(fail)?;
    Ok(summarize(file, &snapshot))
}

/// Reads and checks a snapshot file and returns a summary of its contents.
pub(crate) fn verify(file: &str) -> Result<Output> {
    Ok(summarize(file, &read_snapshot(file)?))
}

/// Creates the data folder of one voter, which then bootstraps the system from the snapshot.
/// The other voters start with empty disks and join it.
pub(crate) fn restore(file: &str, data: &str, name: &Name, address: SocketAddr) -> Result<Output> {
    let Snapshot { meta, mut state } = read_snapshot(file)?;
    let replica = random_replica_id();
    let address = address.to_string().into();
    let voters = vec![Member { id: ReplicaId(replica), name: name.clone(), address }];
    let members = Members { voters, learners: Vec::new() };
    let members =
        peer::encode(&members).map_err(|e| Error::InvalidResponse(e.to_string().into()))?;
    // The new system must start at a higher term than any that the lost one may have reached.
    let term = meta.term + RESTORE_JUMP;
    let meta = Meta { index: meta.index, term, members: members.into() };
    state.restore_jump();
    Store::restore(Path::new(data), replica, &meta, &state).map_err(Error::State)?;
    let text = format!(
        "{data} holds the state up to record {}; start {name} on it, and the other voters with \
         empty disks\n",
        meta.index
    );
    Ok(Output { text, json: json!({ "data": data, "record": meta.index, "name": name }) })
}

fn read_snapshot(file: &str) -> Result<Snapshot> {
    let bytes = fs::read(file).map_err(|source| Error::Read { path: file.into(), source })?;
    snapshot::decode(&bytes, file).map_err(Error::State)
}

fn summarize(file: &str, snapshot: &Snapshot) -> Output {
    let Snapshot { meta, state } = snapshot;
    let services = state.services().count();
    let tasks = state.tasks().count();
    let requests = state.ledger().len();
    let evacuated: Vec<&str> = state.evacuations().evacuated().map(|(zone, _)| zone).collect();
    let mut text = format!(
        "{file} is whole: record {}, revision {}, {services} services, {tasks} tasks, {requests} \
         remembered requests\n",
        meta.index,
        state.revision()
    );
    if !evacuated.is_empty() {
        text.push_str(&format!("zones under evacuation: {}\n", evacuated.join(", ")));
    }
    let json = json!({
        "file": file,
        "record": meta.index,
        "revision": state.revision().0,
        "services": services,
        "tasks": tasks,
        "requests": requests,
        "evacuated": evacuated,
    });
    Output { text, json }
}

/// Returns a random replica id for the new disk. It is odd, so it is never 0.
fn random_replica_id() -> u64 {
    use rand::TryRng as _;
    rand::rngs::SysRng.try_next_u64().unwrap_or(1) | 1
}
