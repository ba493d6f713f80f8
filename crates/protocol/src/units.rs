//! Amounts as people write them in documents: `250ms`, `8h`, `512MiB`, `08:30`.

use std::fmt;

/// Units of time, longest first, with their milliseconds.
const TIMES: [(&str, u64); 5] =
    [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];
/// Units of memory with their MiB.
const MEMORIES: [(&str, u64); 3] = [("MiB", 1), ("GiB", 1024), ("TiB", 1024 * 1024)];

/// What was expected instead.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadUnit {
    /// `{0}` is not a time: write a whole number and one of ms, s, m, h, d, such as "250ms" or "8h"
    Time(Box<str>),
    /// `{0}` is not an amount of memory: write a whole number and one of MiB, GiB, TiB, such as "512MiB"
    Memory(Box<str>),
    /// `{0}` is not a time of day: write hours and minutes such as "08:30"
    TimeOfDay(Box<str>),
}

impl std::error::Error for BadUnit {}

/// Reads a span of time, in milliseconds.
///
/// # Errors
/// [`BadUnit::Time`].
///
/// ```
/// # use yuccalink_protocol::units::millis;
/// assert_eq!(millis("8h")?, 28_800_000);
/// assert!(millis("8 hours").is_err());
/// # Ok::<(), yuccalink_protocol::units::BadUnit>(())
/// ```
pub fn millis(text: &str) -> Result<u64, BadUnit> {
    amount(text, &TIMES).ok_or_else(|| BadUnit::Time(text.into()))
}

/// Reads an amount of memory, in MiB.
///
/// # Errors
/// [`BadUnit::Memory`].
///
/// ```
/// # use yuccalink_protocol::units::mebibytes;
/// assert_eq!(mebibytes("4GiB")?, 4096);
/// # Ok::<(), yuccalink_protocol::units::BadUnit>(())
/// ```
pub fn mebibytes(text: &str) -> Result<u64, BadUnit> {
    amount(text, &MEMORIES).ok_or_else(|| BadUnit::Memory(text.into()))
}

/// Reads a time of day, in minutes from midnight.
///
/// # Errors
/// [`BadUnit::TimeOfDay`].
///
/// ```
/// # use yuccalink_protocol::units::minute_of_day;
/// assert_eq!(minute_of_day("08:30")?, 510);
/// assert!(minute_of_day("24:00").is_err());
/// # Ok::<(), yuccalink_protocol::units::BadUnit>(())
/// ```
pub fn minute_of_day(text: &str) -> Result<u16, BadUnit> {
    let bad = || BadUnit::TimeOfDay(text.into());
    let (hours, minutes) = text.split_once(':').ok_or_else(bad)?;
    let digits = |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
    if !digits(hours) || !digits(minutes) {
        return Err(bad());
    }
    let hours: u16 = hours.parse().map_err(|_| bad())?;
    let minutes: u16 = minutes.parse().map_err(|_| bad())?;
    if hours > 23 || minutes > 59 {
        return Err(bad());
    }
    Ok(hours * 60 + minutes)
}

fn amount(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, size) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*size)
}

/// Milliseconds as people read them, in the longest unit that loses nothing.
///
/// ```
/// # use yuccalink_protocol::units::Span;
/// assert_eq!(Span(28_800_000).to_string(), "8h");
/// assert_eq!(Span(1_500).to_string(), "1500ms");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Span(pub u64);

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = TIMES.iter().find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size));
        let (unit, size) = whole.unwrap_or(&("ms", 1));
        write!(f, "{}{unit}", self.0 / size)
    }
}
