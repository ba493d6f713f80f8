//! Reads the policy file of a cell and lists the values that differ from the defaults.

use crate::error::{Error, Result};
use serde_json::{Map, Value};
use std::path::Path;
use yuccalink_coordination::jobs::policy::Policy;

/// Environment variable with the path of the policy file.
pub const POLICY_FILE_VAR: &str = "YUCCALINK_POLICY";

/// Reads a policy file: TOML with one section per mechanism. Values that the file does not set
/// keep their defaults.
///
/// # Errors
/// Returns [`Error::Setting`], which names the file, the place in it and the remedy.
///
/// ```
/// let folder = tempfile::tempdir()?;
/// let file = folder.path().join("policy.toml");
/// std::fs::write(&file, "[copies]\nmode = \"off\"\n")?;
/// let policy = yuccalink_daemon::cell::policy::read(&file)?;
/// assert!(!policy.copies.mode.is_on() && policy.pacing.mode.is_on());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn read(path: &Path) -> Result<Policy> {
    let invalid = |detail: String| Error::Setting { flag: "policy", detail: detail.into() };
    let path_text = path.display();
    let text = std::fs::read_to_string(path).map_err(|error| {
        invalid(format!("cannot read {path_text}: {error}; check the path and its permissions"))
    })?;
    let policy: Policy = toml::from_str(&text)
        .map_err(|error| invalid(format!("{path_text} is invalid; correct it: {error}")))?;
    policy.check().map_err(|error| invalid(format!("{path_text}: {error}")))?;
    Ok(policy)
}

/// Lists the values that differ from the defaults, as `section.name=value`.
///
/// ```
/// use yuccalink_coordination::jobs::policy::{Policy, Switch};
/// let mut policy = Policy::default();
/// policy.moving.mode = Switch::Off;
/// assert_eq!(yuccalink_daemon::cell::policy::changed(&policy), ["moving.mode=off".into()]);
/// ```
pub fn changed(policy: &Policy) -> Vec<Box<str>> {
    let (defaults, current) = (sections(&Policy::default()), sections(policy));
    let mut changed = Vec::new();
    for (section, values) in &current {
        for (name, value) in values.as_object().into_iter().flatten() {
            if defaults.get(section).and_then(|section| section.get(name)) != Some(value) {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                changed.push(format!("{section}.{name}={value}").into());
            }
        }
    }
    changed
}

fn sections(policy: &Policy) -> Map<String, Value> {
    match serde_json::to_value(policy) {
        Ok(Value::Object(sections)) => sections,
        other => {
            log::error!("cannot serialize a policy: {other:?}");
            Map::new()
        }
    }
}
