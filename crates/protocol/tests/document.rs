//! Parsing of service documents: errors with position and remedy, and arbitrary input.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use yuccalink_protocol::document::read;
use yuccalink_protocol::{peer, request};

const VALID: &str = include_str!("../../../examples/quotes.toml");

#[test]
fn the_examples_are_valid() {
    for text in [VALID, include_str!("../../../examples/duty-desk.toml")] {
        read(text).expect("a valid document");
    }
}

/// A document with many errors gets all of them reported at once, each with its position and
/// remedy, so that its author need not fix and resubmit one at a time.
#[test]
fn all_errors_are_reported_at_once_with_their_positions() {
    let text = "service = \"Quotes\"\nversoin = 1\n\n[peak]\ntime-zone = \"Europe/Brno\"\n\
                start = \"8:30\"\nend = \"17:30\"\n\n[[request]]\nname = \"draft\"\n\
                path = \"drafts\"\nidempotent = \"yes\"\ndeadline = \"2 seconds\"\n\n\
                [[task]]\nname = \"cut\"\nprocessors = 0\nmemory = \"512MB\"\n\
                duration = \"5m\"\nspread = \"rows\"\n\n[gives-up]\nevictions = 3\n";
    let errors = read(text).expect_err("it has errors");
    let found: Vec<(usize, &str)> = errors.0.iter().map(|f| (f.line, &*f.field)).collect();
    let want = [
        (1, "team"),
        (1, "version"),
        (1, "service"),
        (2, "versoin"),
        (5, "peak.time-zone"),
        (6, "peak.start"),
        (11, "request[0].path"),
        (12, "request[0].idempotent"),
        (13, "request[0].deadline"),
        (17, "task[0].processors"),
        (18, "task[0].memory"),
        (20, "task[0].spread"),
        (23, "gives-up.evictions"),
    ];
    assert_eq!(found, want, "{errors}");
    let shown = errors.to_string();
    assert!(
        shown.contains("line 5, column 13: peak.time-zone: `Europe/Brno` is no IANA time zone")
    );
    assert!(shown.contains("add `team = \"sales\"`"), "{shown}");
}

#[test]
fn contradictions_are_rejected() {
    let base = "service='s'\nteam='t'\nversion=1\n";
    let request = |name: &str, path: &str| {
        format!("[[request]]\nname='{name}'\npath='{path}'\nidempotent=true\ndeadline='1s'\n")
    };
    for (text, what) in [
        (format!("{base}{}{}", request("a", "/x"), request("a", "/y")), "is there twice"),
        (format!("{base}{}{}", request("a", "/x"), request("b", "/x")), "never reached"),
        (format!("{base}{}", request("a", "/**/x")), "put it last"),
        (format!("{base}{}", request("a", "/x*")), "one whole segment"),
        (format!("{base}[gives-up]\nstop = true\n"), "at least 1"),
        (
            format!("{base}[peak]\ntime-zone='Europe/Prague'\nstart='08:00'\nend='08:00'\n"),
            "equals start",
        ),
        (format!("{base}version=2\n"), "not TOML"),
        ("service = ".into(), "not TOML"),
        (format!("{base}# {}", "x".repeat(70_000)), "shorten it"),
    ] {
        let errors = read(&text).expect_err(what);
        assert!(errors.to_string().contains(what), "{what}: {errors}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_rejected(text in "\\PC{0,300}") {
        let _ = read(&text);
    }

    /// A valid document with a few characters overwritten is either parsed or rejected with at
    /// least one error, each at a line of the text or the one after its last.
    #[test]
    fn a_changed_document_is_parsed_or_rejected(
        at in any::<prop::sample::Index>(),
        piece in "[\\[\\]=\"'a-z0-9.\\n{}-]{0,8}",
    ) {
        let mut text = VALID.to_string();
        let offsets: Vec<usize> = text.char_indices().map(|(at, _)| at).collect();
        let start = offsets[at.index(offsets.len())];
        let end = offsets.iter().copied().find(|p| *p >= start + piece.len()).unwrap_or(text.len());
        text.replace_range(start..end, &piece);
        if let Err(errors) = read(&text) {
            prop_assert!(!errors.0.is_empty());
            let lines = text.lines().count() + 1;
            prop_assert!(errors.0.iter().all(|f| f.line >= 1 && f.line <= lines));
        }
    }

    #[test]
    fn any_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = peer::decode::<peer::LeaderRequest>(&bytes);
        let _ = peer::decode::<peer::LeaderResponse>(&bytes);
        let _ = request::check_key(&bytes);
    }

    #[test]
    fn any_path_is_split_at_its_service_or_rejected(path in "\\PC{0,60}") {
        let document = read(VALID).expect("a valid document");
        if let Some((service, inner)) = request::split(&path) {
            prop_assert!(!service.is_empty() && inner.starts_with('/'));
            let _ = request::kind(&document, "POST", inner);
        }
    }
}

#[test]
fn request_kinds_are_matched_in_order() {
    let document = read(VALID).expect("a valid document");
    let kind = |method, path| request::kind(&document, method, path).map(|k| k.name.to_string());
    assert_eq!(kind("GET", "/prices/nets/40mm").as_deref(), Some("price-list"));
    assert_eq!(kind("GET", "/prices").as_deref(), Some("price-list"));
    assert_eq!(kind("POST", "/invoices").as_deref(), Some("invoiced-quote"));
    assert_eq!(kind("GET", "/invoices"), None);
    assert_eq!(kind("POST", "/invoices/7"), None);
}
