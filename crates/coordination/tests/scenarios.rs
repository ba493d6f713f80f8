//! Runs every file in `scenarios/`, and checks that errors in bad scenarios name the line.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::fs;
use std::path::PathBuf;
use yuccalink_coordination::scenario::{parse, run};

fn scenario_files() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut scenario_files: Vec<PathBuf> = fs::read_dir(folder)
        .expect("the folder of scenarios")
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| path.extension().is_some_and(|ext| ext == "scenario"))
        .collect();
    scenario_files.sort();
    scenario_files
}

#[test]
fn every_scenario_passes() {
    let scenario_files = scenario_files();
    assert!(scenario_files.len() >= 8, "scenarios are missing: {scenario_files:?}");
    let mut failures = Vec::new();
    for path in scenario_files {
        let text = fs::read_to_string(&path).expect("a scenario");
        let result = parse(&text).map_err(|e| e.to_string());
        if let Err(what) = result.and_then(|s| run(&s).map_err(|e| e.to_string())) {
            failures.push(format!("{}: {what}", path.display()));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn an_expectation_that_does_not_hold_names_its_line() {
    let text = "worker w1 cores=1 memory=1\nkind k cores=1 memory=1\n\
                at 0ms submit a kind=k\nat 1s expect a finished\n";
    let failure = run(&parse(text).expect("a scenario")).expect_err("it runs on");
    assert_eq!(failure.line, 4);
    assert_eq!(&*failure.what, "a is running, expected finished");
}

#[test]
fn bad_lines_are_named() {
    for (text, line, what) in [
        ("wroker w1", 1, "`wroker` is not known here"),
        ("# fine\nworker w1 cores=x memory=1", 2, "`x` is no whole number"),
        ("worker w1 memory=1", 1, "`cores=...` is missing"),
        ("worker w1 cores=1 memory=1 colour=red", 1, "`colour` is not known"),
        ("at 2s cancel a\nat 1s cancel a", 2, "must not go back"),
        ("at soon cancel a", 1, "`soon` is no time"),
        ("at 1s", 1, "an event is missing"),
        ("at 1s expect", 1, "write expect"),
    ] {
        let bad = parse(text).expect_err(text);
        assert_eq!(bad.line, line, "{text}");
        assert!(bad.what.contains(what), "{text}: {bad}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_text_breaks_the_parser(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    #[test]
    fn no_words_break_the_parser(
        words in proptest::collection::vec(
            prop::sample::select(vec![
                "at", "1s", "0ms", "expect", "submit", "a", "kind=k", "on", "w1", "holds", "-1",
                "99999999999999999999", "count=5", "worker", "cores=1", "memory=1", "\n", "#", "=",
            ]),
            0..40,
        )
    ) {
        let _ = parse(&words.join(" "));
    }
}
