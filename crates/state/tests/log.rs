//! Tests of the log with torn writes, damage, gaps and restarts.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::fs;
use std::path::{Path, PathBuf};
use yuccalink_state::error::Error;
use yuccalink_state::log::{Log, LogFrame, Record, TermAndVote};

fn segment(folder: &Path) -> PathBuf {
    let mut files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "log"))
        .collect();
    files.sort();
    files.pop().expect("a segment")
}

fn open(folder: &Path) -> Result<(Log, Vec<Record>), Error> {
    Log::open(folder, 0, 0).map(|opened| (opened.log, opened.records))
}

fn frame(first: u64, term: u64, records: &[&[u8]]) -> LogFrame {
    let records = records.iter().map(|bytes| (term, (*bytes).into())).collect();
    LogFrame { hard: TermAndVote { term, vote: 1 }, first, records }
}

fn append(log: &mut Log, records: &[&[u8]]) -> Result<(), Error> {
    log.append(&frame(log.last() + 1, 1, records))
}

fn write_log(folder: &Path, batches: &[&[&[u8]]]) {
    let (mut log, _) = open(folder).expect("a new log");
    for batch in batches {
        append(&mut log, batch).expect("an append");
    }
}

fn contents(folder: &Path) -> Vec<Vec<u8>> {
    let (_, records) = open(folder).expect("a log");
    records.into_iter().map(|record| record.bytes.into()).collect()
}

const BATCHES: [&[&[u8]]; 3] = [&[b"one", b"two"], &[b"three"], &[b"four", b"five", b"six"]];

/// A power failure during a write leaves any part of the batch on the disk, since a
/// write is not atomic. The batch was not acknowledged; all earlier batches must
/// survive, and the log must accept new records.
#[test]
fn a_torn_tail_is_cut_off_at_any_byte() {
    let whole = tempfile::tempdir().expect("a folder");
    write_log(whole.path(), &BATCHES[..2]);
    let before = fs::metadata(segment(whole.path())).expect("a file").len();
    append_batch(whole.path(), BATCHES[2]);
    let bytes = fs::read(segment(whole.path())).expect("a file");
    for cut in usize::try_from(before).expect("small")..bytes.len() {
        let folder = tempfile::tempdir().expect("a folder");
        let name = segment(whole.path());
        let copy = folder.path().join(name.file_name().expect("a name"));
        fs::write(&copy, &bytes[..cut]).expect("a copy");
        assert_eq!(contents(folder.path()), [b"one".as_slice(), b"two", b"three"], "cut at {cut}");
        append_batch(folder.path(), &[b"again"]);
        assert_eq!(contents(folder.path()).len(), 4, "cut at {cut}");
    }
}

fn append_batch(folder: &Path, batch: &[&[u8]]) {
    let (mut log, _) = open(folder).expect("a log");
    append(&mut log, batch).expect("an append");
}

/// Bit rot or an operator's edit damages the middle of the log. Cutting it off as a
/// torn tail would silently lose acknowledged changes, so the log must report the
/// damage and leave the file unchanged.
#[test]
fn a_damaged_middle_is_refused_and_left_unchanged() {
    let folder = tempfile::tempdir().expect("a folder");
    write_log(folder.path(), &BATCHES);
    let path = segment(folder.path());
    let good = fs::read(&path).expect("a file");
    for at in 12..60 {
        let mut bad = good.clone();
        bad[at] ^= 0x40;
        fs::write(&path, &bad).expect("a write");
        let error = open(folder.path()).expect_err("it is damaged");
        assert!(matches!(error, Error::DamagedMiddle { .. }), "byte {at}: {error}");
        assert!(error.to_string().contains("Restore this data folder"), "{error}");
        assert_eq!(fs::read(&path).expect("a file"), bad, "byte {at}: the file was changed");
    }
}

/// An operator removed the wrong segment file. The log must not open as if its
/// records had never existed.
#[test]
fn a_missing_segment_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    for text in [b"a", b"b", b"c"] {
        append(&mut log, &[text]).expect("an append");
        log.roll().expect("a new segment");
    }
    drop(log);
    fs::remove_file(folder.path().join("0000000003-00000000000000000003.log")).expect("removed");
    let error = open(folder.path()).expect_err("there is a gap");
    assert!(matches!(error, Error::Gap { from: 3, to: 3 }), "{error}");
}

#[test]
fn one_batch_is_one_sync() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    let records = vec![b"record".as_slice(); 10_000];
    append(&mut log, &records).expect("an append");
    assert_eq!((log.counts().syncs, log.counts().records), (1, 10_000));
}

/// A new leader replaces uncommitted records. If the old ones came back after a
/// restart, two replicas would differ.
#[test]
fn records_that_were_replaced_stay_replaced() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    log.append(&frame(1, 1, &[b"a", b"b", b"c"])).expect("an append");
    log.roll().expect("a new segment");
    log.append(&frame(4, 1, &[b"d"])).expect("an append");
    log.append(&frame(2, 2, &[b"B"])).expect("an append");
    log.append(&LogFrame { hard: TermAndVote { term: 9, vote: 4 }, first: 3, records: vec![] })
        .expect("an append");
    assert_eq!(log.last(), 2);
    drop(log);
    let opened = Log::open(folder.path(), 0, 0).expect("a log");
    let found: Vec<_> = opened.records.iter().map(|r| (r.index, r.term, &*r.bytes)).collect();
    assert_eq!(found, [(1, 1, b"a".as_slice()), (2, 2, b"B")]);
    assert_eq!(opened.hard, TermAndVote { term: 9, vote: 4 });
}

/// A replica installed the leader's snapshot while its log had conflicting records,
/// and crashed before the log was replaced. None of these records may be read as
/// following the snapshot.
#[test]
fn records_that_conflict_with_a_snapshot_are_dropped() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    log.append(&frame(1, 1, &[b"a", b"b", b"c", b"d"])).expect("an append");
    drop(log);
    let kept = Log::open(folder.path(), 2, 1).expect("a log");
    assert_eq!(kept.records.len(), 2, "the term is that of the snapshot");
    drop(kept);
    let opened = Log::open(folder.path(), 2, 5).expect("a log");
    assert_eq!((opened.records.len(), opened.log.last()), (0, 2));
}

#[test]
fn a_log_of_another_format_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    write_log(folder.path(), &BATCHES);
    let path = segment(folder.path());
    let mut bytes = fs::read(&path).expect("a file");
    bytes[8] = 99;
    fs::write(&path, &bytes).expect("a write");
    let error = open(folder.path()).expect_err("another format");
    assert!(matches!(error, Error::Version { found: 99, .. }), "{error}");
}

#[test]
fn removing_segments_keeps_later_records() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    for text in [b"a", b"b", b"c", b"d"] {
        append(&mut log, &[text]).expect("an append");
        log.roll().expect("a new segment");
    }
    log.remove_segments_through(2).expect("removed");
    drop(log);
    let opened = Log::open(folder.path(), 2, 1).expect("a log");
    let (log, records) = (opened.log, opened.records);
    assert_eq!(records.iter().map(|r| r.index).collect::<Vec<_>>(), [3, 4]);
    assert_eq!(log.last(), 4);
    assert!(matches!(Log::open(folder.path(), 1, 1), Err(Error::Gap { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever bytes are damaged, opening the log fails or recovers a prefix of the
    /// written records.
    #[test]
    fn damage_never_invents_records(
        sizes in proptest::collection::vec(0usize..40, 1..12),
        at in any::<prop::sample::Index>(),
        flip in 1u8..,
        cut in any::<prop::sample::Index>(),
        cuts in any::<bool>(),
    ) {
        let folder = tempfile::tempdir().expect("a folder");
        let written: Vec<Vec<u8>> =
            sizes.iter().enumerate().map(|(n, size)| vec![n as u8; *size]).collect();
        let (mut log, _) = open(folder.path()).expect("a log");
        for chunk in written.chunks(3) {
            let views: Vec<&[u8]> = chunk.iter().map(Vec::as_slice).collect();
            append(&mut log, &views).expect("an append");
        }
        drop(log);
        let path = segment(folder.path());
        let mut bytes = fs::read(&path).expect("a file");
        let index = at.index(bytes.len());
        bytes[index] ^= flip;
        if cuts {
            bytes.truncate(cut.index(bytes.len()));
        }
        fs::write(&path, &bytes).expect("a write");
        if let Ok((_, records)) = open(folder.path()) {
            prop_assert!(records.len() <= written.len());
            for (record, want) in records.iter().zip(&written) {
                prop_assert_eq!(&*record.bytes, want.as_slice());
            }
        }
    }

    #[test]
    fn any_file_is_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let folder = tempfile::tempdir().expect("a folder");
        fs::write(folder.path().join("0000000001-00000000000000000001.log"), &bytes).expect("a write");
        let _ = open(folder.path());
    }
}

#[test]
fn a_batch_with_a_too_large_record_is_refused_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = open(folder.path()).expect("a log");
    let large = vec![0; yuccalink_state::log::RECORD_MAX + 1];
    let error = append(&mut log, &[b"fits", &large]).expect_err("too large");
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
    append(&mut log, &[b"after"]).expect("an append");
    drop(log);
    assert_eq!(contents(folder.path()), [b"after"]);
}
