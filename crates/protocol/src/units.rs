//! Parses and prints quantities with units as in documents: `250ms`, `8h`, `512MiB`, `08:30`.

use std::fmt;

/// Units of time with their length in milliseconds, longest first.
const TIME_UNITS: [(&str, u64); 5] =
    [("d", 86_400_000), ("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];
/// Units of memory with their size in MiB.
const MEMORY_UNITS: [(&str, u64); 3] = [("MiB", 1), ("GiB", 1024), ("TiB", 1024 * 1024)];

/// Error for a malformed quantity; its message names the expected format.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadUnit {
    /// `{0}` is not a duration: write a whole number and one of ms, s, m, h, d, such as "250ms" or "8h"
    Time(Box<str>),
    /// `{0}` is not an amount of memory: write a whole number and one of MiB, GiB, TiB, such as "512MiB"
    Memory(Box<str>),
    /// `{0}` is not a time of day: write hours and minutes such as "08:30"
    TimeOfDay(Box<str>),
}

impl std::error::Error for BadUnit {}

/// Parses a duration into milliseconds.
///
/// # Errors
/// [`BadUnit::Time`] if it is not an integer with a unit of time, or too large.
///
/// ```
/// # use yuccalink_protocol::units::millis;
/// assert_eq!(millis("8h")?, 28_800_000);
/// assert!(millis("8 hours").is_err());
/// # Ok::<(), yuccalink_protocol::units::BadUnit>(())
/// ```
pub fn millis(text: &str) -> Result<u64, BadUnit> {
    parse_quantity(text, &TIME_UNITS).ok_or_else(|| BadUnit::Time(text.into()))
}

/// Parses an amount of memory into MiB.
///
/// # Errors
/// [`BadUnit::Memory`] if it is not an integer with a unit of memory, or too large.
///
/// ```
/// # use yuccalink_protocol::units::mebibytes;
/// assert_eq!(mebibytes("4GiB")?, 4096);
/// # Ok::<(), yuccalink_protocol::units::BadUnit>(())
/// ```
pub fn mebibytes(text: &str) -> Result<u64, BadUnit> {
    parse_quantity(text, &MEMORY_UNITS).ok_or_else(|| BadUnit::Memory(text.into()))
}

/// Parses a time of day into minutes since midnight.
///
/// # Errors
/// [`BadUnit::TimeOfDay`] if it is not from `00:00` to `23:59`.
///
/// ```
/// # use yuccalink_protocol::units::minute_of_day;
/// assert_eq!(minute_of_day("08:30")?, 510);
/// assert!(minute_of_day("24:00").is_err());
/// # Ok::<(), yuccalink_protocol::units::BadUnit>(())
/// ```
pub fn minute_of_day(text: &str) -> Result<u16, BadUnit> {
    let invalid = || BadUnit::TimeOfDay(text.into());
    let (hours, minutes) = text.split_once(':').ok_or_else(invalid)?;
    let digits = |part: &str| part.len() == 2 && part.bytes().all(|b| b.is_ascii_digit());
    if !digits(hours) || !digits(minutes) {
        return Err(invalid());
    }
    let hours: u16 = hours.parse().map_err(|_| invalid())?;
    let minutes: u16 = minutes.parse().map_err(|_| invalid())?;
    if hours > 23 || minutes > 59 {
        return Err(invalid());
    }
    Ok(hours * 60 + minutes)
}

fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let (_, size) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*size)
}

/// Duration in milliseconds, printed in the longest unit that divides it evenly.
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
        let largest =
            TIME_UNITS.iter().find(|(_, size)| self.0 >= *size && self.0.is_multiple_of(*size));
        let (unit, size) = largest.unwrap_or(&("ms", 1));
        write!(f, "{}{unit}", self.0 / size)
    }
}
