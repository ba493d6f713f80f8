//! Policy files as operators write them.

use std::path::PathBuf;
use tempfile::TempDir;
use yuccalink_coordination::jobs::policy::{Millis, Policy, Switch};
use yuccalink_daemon::cell::policy::{changed, read};

fn file(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("policy.toml");
    std::fs::write(&path, text).expect("written");
    (folder, path)
}

fn fault(text: &str) -> String {
    let (_folder, path) = file(text);
    read(&path).expect_err("a fault").to_string()
}

#[test]
fn what_a_file_does_not_name_stays_as_shipped() {
    let (_folder, path) = file("[copies]\nmode = \"off\"\n[racks]\nwait-ms = 700\n");
    let policy = read(&path).expect("a policy");
    let mut expected = Policy::default();
    expected.copies.mode = Switch::Off;
    expected.racks.wait = Millis(700);
    assert_eq!(policy, expected);
    assert_eq!(changed(&policy), ["copies.mode=off".into(), "racks.wait-ms=700".into()]);
}

#[test]
fn an_empty_file_is_what_ships() {
    let (_folder, path) = file("");
    let policy = read(&path).expect("a policy");
    assert_eq!(policy, Policy::default());
    assert!(changed(&policy).is_empty());
}

#[test]
fn a_fault_names_the_file_the_place_and_the_remedy() {
    let unknown = fault("[copies]\nmood = \"off\"\n");
    assert!(unknown.contains("policy.toml") && unknown.contains("line 2"), "{unknown}");
    assert!(unknown.contains("mood") && unknown.contains("mode"), "{unknown}");
    let wrong = fault("[copies]\nmode = \"of\"\n");
    assert!(wrong.contains("`on`") && wrong.contains("`off`"), "{wrong}");
    let range = fault("[pacing]\nmargin-aim = 99.0\n");
    assert!(range.contains("[pacing] margin-aim") && range.contains("from 0 to 10"), "{range}");
}

#[test]
fn a_missing_file_is_named() {
    let text = read("/no/such/policy.toml".as_ref()).expect_err("a fault").to_string();
    assert!(text.contains("--policy") && text.contains("check the path"), "{text}");
}
