//! Parses and validates the TOML text of a service document. All errors are reported
//! at once, each with its position and its remedy.

use crate::fields::{
    ErrorCollector, Section, ValidationErrors, boolean, integer, map_unit_error, string,
    thousandths,
};
use crate::units::{mebibytes, millis, minute_of_day};
use sha2::{Digest as _, Sha256};
use toml::de::{DeTable, DeValue};
use yuccalink_state::Resources;
use yuccalink_state::document::{
    Digest, DisruptionTolerance, Document, Peak, RequestKind, Spread, TaskClass, TaskKind,
};
use yuccalink_state::id::Name;

/// Maximum size of a document, in bytes.
pub const TEXT_MAX: usize = 64 * 1024;
/// Maximum number of request kinds and of task kinds in a document.
pub const KINDS_MAX: usize = 64;
/// Maximum deadline of a request, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 10 * 60 * 1000;
/// Maximum worth of a request kind.
pub const WORTH_MAX: u64 = 1_000_000;
const PROCESSORS_MAX: u64 = 4_096;
const MEMORY_MAX_MIB: u64 = 64 * 1024 * 1024;
const ACCELERATORS_MAX: u64 = 1_024;
const EVICTIONS_MAX: u64 = 1_000;

/// Parses and validates a document.
///
/// # Errors
/// [`ValidationErrors`] with every error in the document.
///
/// ```
/// use yuccalink_protocol::document::read;
/// let text = "service = 'quotes'\nteam = 'vlecna-sit'\nversion = 1\n";
/// assert_eq!(read(text)?.version, 1);
/// let errors = read("service = 'Quotes'\nversoin = 1\n").unwrap_err();
/// assert_eq!(errors.0.len(), 4);
/// # Ok::<(), yuccalink_protocol::fields::ValidationErrors>(())
/// ```
pub fn read(source: &str) -> Result<Document, ValidationErrors> {
    let mut errors = ErrorCollector::new(source);
    if source.len() > TEXT_MAX {
        let what =
            format!("the document has {} bytes, the limit is {TEXT_MAX}; shorten it", source.len());
        errors.add(0, "", what);
        return Err(errors.finish());
    }
    let (table, syntax_errors) = DeTable::parse_recoverable(source);
    for error in &syntax_errors {
        let offset = error.span().map_or(0, |span| span.start);
        errors.add(
            offset,
            "",
            format!("not TOML: {}; correct it at this position", error.message()),
        );
    }
    if !errors.is_empty() {
        return Err(errors.finish());
    }
    let document = parse_document(table.get_ref(), &mut errors);
    match document {
        Some(document) if errors.is_empty() => Ok(document),
        _ => Err(errors.finish()),
    }
}

/// Digest of a document, to distinguish a retry from a changed text.
///
/// ```
/// # use yuccalink_protocol::document::digest;
/// assert_ne!(digest("a"), digest("b"));
/// ```
pub fn digest(source: &str) -> Digest {
    Sha256::digest(source.as_bytes()).into()
}

fn parse_document(table: &DeTable<'_>, errors: &mut ErrorCollector<'_>) -> Option<Document> {
    let mut root = Section::new(table, String::new(), 0);
    let service = root.required(errors, "service", "\"quotes\"", name);
    let team = root.required(errors, "team", "\"sales\"", name);
    let version = root.required(errors, "version", "1", |v| integer(v, 1, u64::MAX >> 1));
    let peak = root.section(errors, "peak").map(|section| peak(section, errors));
    let disruption_tolerance = root.section(errors, "gives-up").map_or_else(
        || Some(DisruptionTolerance::default()),
        |section| disruption_tolerance(section, errors),
    );
    let requests = requests(root.sections(errors, "request", KINDS_MAX), errors);
    let tasks = tasks(root.sections(errors, "task", KINDS_MAX), errors);
    root.report_unknown_fields(errors);
    Some(Document {
        service: service?,
        team: team?,
        version: version?,
        peak: match peak {
            Some(peak) => Some(peak?),
            None => None,
        },
        requests: requests.into(),
        tasks: tasks.into(),
        disruption_tolerance: disruption_tolerance?,
    })
}

fn name(value: &DeValue<'_>) -> Result<Name, Box<str>> {
    Name::new(string(value)?).map_err(|error| error.to_string().into())
}

fn peak(mut section: Section<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<Peak> {
    let zone = section.required(errors, "time-zone", "\"Europe/Prague\"", time_zone);
    let minute = |v: &DeValue<'_>| map_unit_error(minute_of_day(string(v)?));
    let start = section.required(errors, "start", "\"08:30\"", minute);
    let end = section.required(errors, "end", "\"17:30\"", minute);
    if start.is_some() && start == end {
        section.add_error(
            errors,
            "end",
            "equals start, so the peak is empty; change it or remove [peak]",
        );
    }
    section.report_unknown_fields(errors);
    Some(Peak { time_zone: zone?, start_minute: start?, end_minute: end? })
}

fn time_zone(value: &DeValue<'_>) -> Result<Box<str>, Box<str>> {
    let zone = string(value)?;
    match jiff::tz::TimeZone::get(zone) {
        Ok(_) => Ok(zone.into()),
        Err(_) => {
            Err(format!("`{zone}` is no IANA time zone; write one such as Europe/Prague").into())
        }
    }
}

fn disruption_tolerance(
    mut section: Section<'_, '_>,
    errors: &mut ErrorCollector<'_>,
) -> Option<DisruptionTolerance> {
    let throttle = section.optional(errors, "throttle", boolean).unwrap_or(false);
    let checkpoint = section.optional(errors, "checkpoint", boolean).unwrap_or(false);
    let stop = section.optional(errors, "stop", boolean).unwrap_or(false);
    let evictions =
        section.optional(errors, "evictions", |v| integer(v, 0, EVICTIONS_MAX)).unwrap_or(0);
    let wait =
        section.optional(errors, "batch-wait", |v| map_unit_error(millis(string(v)?))).unwrap_or(0);
    if evictions > 0 && !checkpoint && !stop {
        let what = "needs `checkpoint = true` or `stop = true`, the only ways to evict a task";
        section.add_error(errors, "evictions", what);
    }
    if evictions == 0 && (checkpoint || stop) {
        let what = "must be at least 1 if checkpoint or stop is true; set it or remove those";
        section.add_error(errors, "evictions", what);
    }
    section.report_unknown_fields(errors);
    let evictions = u32::try_from(evictions).ok()?;
    Some(DisruptionTolerance { throttle, checkpoint, stop, evictions, batch_wait_ms: wait })
}

fn requests(sections: Vec<Section<'_, '_>>, errors: &mut ErrorCollector<'_>) -> Vec<RequestKind> {
    let mut kinds: Vec<RequestKind> = Vec::new();
    for mut section in sections {
        let start = section.start();
        let label = section.path("name");
        let Some(kind) = request(&mut section, errors) else {
            section.report_unknown_fields(errors);
            continue;
        };
        section.report_unknown_fields(errors);
        if kinds.iter().any(|other| other.name == kind.name) {
            errors.add(start, &label, format!("`{}` is there twice; rename one", kind.name));
        }
        if kinds.iter().any(|other| other.method == kind.method && other.path == kind.path) {
            let what = format!(
                "`{}` is never reached: an earlier kind matches the same requests",
                kind.name
            );
            errors.add(start, &label, format!("{what}; change its method or path"));
        }
        kinds.push(kind);
    }
    kinds
}

fn request(section: &mut Section<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<RequestKind> {
    let name = section.required(errors, "name", "\"draft\"", name);
    let method = section.optional(errors, "method", method);
    let path = section.required(errors, "path", "\"/drafts/*\"", path);
    let idempotent = section.required(errors, "idempotent", "true", boolean);
    let deadline = section.required(errors, "deadline", "\"2s\"", deadline);
    let worth = section.optional(errors, "worth", |v| integer(v, 1, WORTH_MAX)).unwrap_or(1);
    Some(RequestKind {
        name: name?,
        method,
        path: path?,
        idempotent: idempotent?,
        deadline_ms: deadline?,
        worth: u32::try_from(worth).ok()?,
    })
}

fn method(value: &DeValue<'_>) -> Result<Box<str>, Box<str>> {
    const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];
    let method = string(value)?;
    if METHODS.contains(&method) {
        return Ok(method.into());
    }
    Err(format!("`{method}` is not one of {}; omit it to match any method", METHODS.join(", "))
        .into())
}

fn path(value: &DeValue<'_>) -> Result<Box<str>, Box<str>> {
    let path = string(value)?;
    if !path.starts_with('/') || path.contains(['?', '#', ' ']) {
        return Err(format!("`{path}` is not a path; write one such as \"/drafts/*\"").into());
    }
    let mut segments = path.split('/').skip(1).peekable();
    while let Some(segment) = segments.next() {
        if segment == "**" && segments.peek().is_some() {
            return Err("`**` matches the rest of a path; put it last".into());
        }
        if segment.contains('*') && segment != "*" && segment != "**" {
            return Err(format!("`{segment}`: a `*` stands for one whole segment").into());
        }
    }
    Ok(path.into())
}

fn deadline(value: &DeValue<'_>) -> Result<u64, Box<str>> {
    let ms = map_unit_error(millis(string(value)?))?;
    if (1..=DEADLINE_MAX_MS).contains(&ms) {
        return Ok(ms);
    }
    Err("must be from 1ms to 10m; run longer work as a task".into())
}

fn tasks(sections: Vec<Section<'_, '_>>, errors: &mut ErrorCollector<'_>) -> Vec<TaskKind> {
    let mut kinds: Vec<TaskKind> = Vec::new();
    for mut section in sections {
        let start = section.start();
        let label = section.path("name");
        let kind = task(&mut section, errors);
        section.report_unknown_fields(errors);
        let Some(kind) = kind else { continue };
        if kinds.iter().any(|other| other.name == kind.name) {
            errors.add(start, &label, format!("`{}` is there twice; rename one", kind.name));
        }
        kinds.push(kind);
    }
    kinds
}

fn task(section: &mut Section<'_, '_>, errors: &mut ErrorCollector<'_>) -> Option<TaskKind> {
    let name = section.required(errors, "name", "\"watcher\"", name);
    let processors =
        section.required(errors, "processors", "0.5", |v| thousandths(v, PROCESSORS_MAX));
    let memory = section.required(errors, "memory", "\"512MiB\"", memory);
    let accelerators =
        section.optional(errors, "accelerators", |v| integer(v, 0, ACCELERATORS_MAX)).unwrap_or(0);
    let duration =
        section.required(errors, "duration", "\"30m\"", |v| map_unit_error(millis(string(v)?)));
    let class = section.optional(errors, "class", class).unwrap_or_default();
    let spread = section.optional(errors, "spread", spread).unwrap_or_default();
    let need = Resources {
        millicores: processors?,
        memory_mib: memory?,
        accelerators: u32::try_from(accelerators).ok()?,
    };
    Some(TaskKind { name: name?, need, duration_ms: duration?, class, spread })
}

fn memory(value: &DeValue<'_>) -> Result<u64, Box<str>> {
    let amount = map_unit_error(mebibytes(string(value)?))?;
    if (1..=MEMORY_MAX_MIB).contains(&amount) {
        return Ok(amount);
    }
    Err("must be from 1MiB to 64TiB".into())
}

fn class(value: &DeValue<'_>) -> Result<TaskClass, Box<str>> {
    match string(value)? {
        "latency-critical" => Ok(TaskClass::LatencyCritical),
        "batch" => Ok(TaskClass::Batch),
        other => Err(format!("`{other}` is neither \"latency-critical\" nor \"batch\"").into()),
    }
}

fn spread(value: &DeValue<'_>) -> Result<Spread, Box<str>> {
    match string(value)? {
        "none" => Ok(Spread::None),
        "racks" => Ok(Spread::Racks),
        "zones" => Ok(Spread::Zones),
        other => Err(format!("`{other}` is none of \"none\", \"racks\", \"zones\"").into()),
    }
}
