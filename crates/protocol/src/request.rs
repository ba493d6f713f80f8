//! Matches callers' HTTP requests to the request kinds of service documents.

use sha2::{Digest as _, Sha256};
use yuccalink_state::document::{Digest, Document, RequestKind};

/// Maximum length of an `Idempotency-Key`, in bytes.
pub const KEY_MAX: usize = 255;
/// Header of a request that one entry forwarded to another, which must not forward it again.
pub const FORWARDED_BY: &str = "yuccalink-handed-on";
/// Header with the remaining time until a request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "yuccalink-deadline-ms";
/// Header with the caller's key of a request that must be executed at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Splits a path into the service name and the path within the service.
///
/// ```
/// # use yuccalink_protocol::request::split;
/// assert_eq!(split("/quotes/drafts/7"), Some(("quotes", "/drafts/7")));
/// assert_eq!(split("/quotes"), Some(("quotes", "/")));
/// assert_eq!(split("/"), None);
/// ```
pub fn split(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix('/')?;
    let end = rest.find('/').unwrap_or(rest.len());
    let (service, inner) = rest.split_at(end);
    if service.is_empty() {
        return None;
    }
    Some((service, if inner.is_empty() { "/" } else { inner }))
}

/// Returns the first request kind of `document` that matches `method` and `path`.
///
/// ```
/// # use yuccalink_protocol::{document::read, request::kind};
/// let doc = read("service='q'\nteam='t'\nversion=1\n[[request]]\nname='draft'\nmethod='POST'\n\
///     path='/drafts/*'\nidempotent=true\ndeadline='2s'\n")?;
/// assert!(kind(&doc, "POST", "/drafts/7").is_some());
/// assert!(kind(&doc, "POST", "/drafts/7/8").is_none());
/// # Ok::<(), yuccalink_protocol::fields::ValidationErrors>(())
/// ```
pub fn kind<'a>(document: &'a Document, method: &str, path: &str) -> Option<&'a RequestKind> {
    document.requests.iter().find(|kind| {
        let method_matches = kind.method.as_deref().is_none_or(|expected| expected == method);
        method_matches && path_matches(&kind.path, path)
    })
}

fn path_matches(pattern: &str, path: &str) -> bool {
    let mut segments = path.split('/');
    for expected in pattern.split('/') {
        if expected == "**" {
            return true;
        }
        match segments.next() {
            Some(segment) if expected == segment || (expected == "*" && !segment.is_empty()) => {}
            _ => return false,
        }
    }
    segments.next().is_none()
}

/// Digest of a request, to distinguish a retry from another request with the same
/// idempotency key.
///
/// ```
/// # use yuccalink_protocol::request::digest;
/// assert_ne!(digest("POST", "/a", b""), digest("POST", "/b", b""));
/// ```
pub fn digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Why an `Idempotency-Key` is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadKey {
    /// the Idempotency-Key is empty; send 1 to 255 visible ASCII characters
    Empty,
    /// the Idempotency-Key is too long; send 1 to 255 visible ASCII characters
    TooLong,
    /// the Idempotency-Key has a character that is not visible ASCII; send 1 to 255 visible ASCII characters
    NotVisible,
}

impl std::error::Error for BadKey {}

/// Checks the value of an `Idempotency-Key` header.
///
/// # Errors
/// [`BadKey`] if the key is empty, longer than [`KEY_MAX`] or not visible ASCII.
///
/// ```
/// # use yuccalink_protocol::request::check_key;
/// assert_eq!(check_key(b"order-7"), Ok("order-7"));
/// assert!(check_key(b"").is_err());
/// ```
pub fn check_key(value: &[u8]) -> Result<&str, BadKey> {
    if value.is_empty() {
        return Err(BadKey::Empty);
    }
    if value.len() > KEY_MAX {
        return Err(BadKey::TooLong);
    }
    if !value.iter().all(u8::is_ascii_graphic) {
        return Err(BadKey::NotVisible);
    }
    std::str::from_utf8(value).map_err(|_| BadKey::NotVisible)
}

/// Headers that belong to one connection and are never forwarded.
pub const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
