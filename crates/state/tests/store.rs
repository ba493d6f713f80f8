//! One data folder through crashes, compaction and damage.

use std::fs;
use yuccalink_state::command::{Apply, Submit};
use yuccalink_state::document::{Document, GivesUp, TaskClass, TaskKind};
use yuccalink_state::error::Error;
use yuccalink_state::id::Name;
use yuccalink_state::{Command, Machine, Resources, Store, snapshot};

fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

fn apply(version: u64) -> Command {
    let kind = TaskKind {
        name: name("k"),
        need: Resources { millicores: 1, memory_mib: 1, accelerators: 0 },
        duration_ms: 1,
        class: TaskClass::Batch,
        spread: Default::default(),
    };
    let document = Document {
        service: name("s"),
        team: name("t"),
        version,
        peak: None,
        requests: [].into(),
        tasks: [kind].into(),
        gives_up: GivesUp::default(),
    };
    let text = format!("version {version}").into();
    Command::Apply(Box::new(Apply { document, text, digest: [0; 32], author: "a".into() }))
}

fn submit(key: u64) -> Command {
    Command::Submit(Submit {
        key: key.to_string().into(),
        service: name("s"),
        kind: name("k"),
        count: 2,
        urgent: false,
        payload: "p".into(),
        at_ms: key,
    })
}

fn write(store: &mut Store, machine: &mut Machine, commands: &[Command]) {
    store.append(commands).expect("an append");
    for command in commands {
        machine.apply(command.clone());
    }
}

/// The daemon is killed after hundreds of changes, with and without snapshots in
/// between. After a restart the state is what was acknowledged, to the last one.
#[test]
fn a_restart_brings_back_every_change() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut machine = Machine::new();
    for round in 0..10u64 {
        let (mut store, found) = Store::open(folder.path()).expect("a store");
        assert_eq!(found.machine, machine, "round {round}");
        for at in 0..40 {
            let key = round * 100 + at;
            write(&mut store, &mut machine, &[apply(key + 1), submit(key)]);
        }
        if round % 3 == 1 {
            let bytes = snapshot::encode(store.last(), &machine).expect("a snapshot");
            store.compact(store.last(), &bytes).expect("compacted");
        }
    }
    let (_, found) = Store::open(folder.path()).expect("a store");
    assert_eq!(found.machine, machine);
    assert!(found.replayed <= 3 * 80, "replayed {} records", found.replayed);
}

/// The newest snapshot is damaged. The one before it and the log after it still
/// hold everything; were the log cut at the newest one, changes would be lost.
#[test]
fn a_damaged_snapshot_falls_back_to_the_one_before() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _) = Store::open(folder.path()).expect("a store");
    let mut machine = Machine::new();
    let mut newest = 0;
    for version in 1..=3 {
        write(&mut store, &mut machine, &[apply(version), submit(version)]);
        newest = store.last();
        let bytes = snapshot::encode(newest, &machine).expect("a snapshot");
        store.compact(newest, &bytes).expect("compacted");
    }
    write(&mut store, &mut machine, &[apply(4)]);
    drop(store);
    let path = folder.path().join(format!("{newest:020}.snapshot"));
    let mut bytes = fs::read(&path).expect("a snapshot");
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).expect("a write");
    let (_, found) = Store::open(folder.path()).expect("a store");
    assert_eq!(found.machine, machine);
}

/// Two daemons are started on one data folder by mistake. The second must not
/// touch it: two writers would tear the log.
#[test]
fn a_second_daemon_is_kept_out() {
    let folder = tempfile::tempdir().expect("a folder");
    let (store, _) = Store::open(folder.path()).expect("a store");
    let error = Store::open(folder.path()).expect_err("it is in use");
    assert!(matches!(error, Error::Locked(_)), "{error}");
    drop(store);
    Store::open(folder.path()).expect("free again");
}

/// A crash leaves a half-written snapshot under its draft name. It is not taken
/// for a snapshot.
#[test]
fn a_draft_is_no_snapshot() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut store, _) = Store::open(folder.path()).expect("a store");
    let mut machine = Machine::new();
    write(&mut store, &mut machine, &[apply(1)]);
    drop(store);
    fs::write(folder.path().join("00000000000000000009.draft"), b"half").expect("a write");
    let (_, found) = Store::open(folder.path()).expect("a store");
    assert_eq!(found.machine, machine);
}
