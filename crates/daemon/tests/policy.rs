//! Reading of operators' policy files.

use std::path::PathBuf;
use tempfile::TempDir;
use yuccalink_coordination::jobs::policy::{Millis, Policy, Switch};
use yuccalink_daemon::cell::policy::{changed, read};

fn policy_file(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("policy.toml");
    std::fs::write(&path, text).expect("written");
    (folder, path)
}

fn read_error(text: &str) -> String {
    let (_folder, path) = policy_file(text);
    read(&path).expect_err("a fault").to_string()
}

#[test]
fn unset_policy_keys_keep_their_defaults() {
    let (_folder, path) = policy_file("[copies]\nmode = \"off\"\n[racks]\nwait-ms = 700\n");
    let policy = read(&path).expect("a policy");
    let mut expected = Policy::default();
    expected.copies.mode = Switch::Off;
    expected.racks.wait = Millis(700);
    assert_eq!(policy, expected);
    assert_eq!(changed(&policy), ["copies.mode=off".into(), "racks.wait-ms=700".into()]);
}

#[test]
fn an_empty_policy_file_gives_the_defaults() {
    let (_folder, path) = policy_file("");
    let policy = read(&path).expect("a policy");
    assert_eq!(policy, Policy::default());
    assert!(changed(&policy).is_empty());
}

#[test]
fn policy_errors_name_the_file_the_place_and_the_remedy() {
    let unknown = read_error("[copies]\nmood = \"off\"\n");
    assert!(unknown.contains("policy.toml") && unknown.contains("line 2"), "{unknown}");
    assert!(unknown.contains("mood") && unknown.contains("mode"), "{unknown}");
    let wrong = read_error("[copies]\nmode = \"of\"\n");
    assert!(wrong.contains("`on`") && wrong.contains("`off`"), "{wrong}");
    let range = read_error("[pacing]\nmargin-aim = 99.0\n");
    assert!(range.contains("[pacing] margin-aim") && range.contains("from 0 to 10"), "{range}");
}

#[test]
fn a_missing_file_is_named() {
    let text = read("/no/such/policy.toml".as_ref()).expect_err("a fault").to_string();
    assert!(text.contains("--policy") && text.contains("check the path"), "{text}");
}
