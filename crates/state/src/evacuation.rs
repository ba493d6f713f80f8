//! Availability zones under evacuation: their runners and workers get no new work.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most zones with a record. A platform has a few dozen; the limit bounds what mistyped names
/// can add.
pub const ZONES_MAX: usize = 256;
/// Longest name of a zone, in bytes.
pub const ZONE_NAME_MAX: usize = 255;

/// What an operator orders for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneAction {
    /// Give the zone no new work.
    #[display("evacuate")]
    Evacuate,
    /// Give the zone work again.
    #[display("restore")]
    Restore,
}

/// An operator's order for a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone.
    pub zone: Box<str>,
    /// What to do.
    pub action: ZoneAction,
    /// Whether long-running tasks leave the zone too, as far as other zones have capacity and
    /// their disruption budgets allow. Other work ends in the zone in any case.
    pub empty: bool,
    /// The order's place among the numbered orders for the zone. A delayed order with a lower
    /// number than the last one changes nothing. Orders without a number apply in the order of
    /// the log.
    pub number: Option<u64>,
}

/// The last order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRecord {
    /// Whether the zone is under evacuation.
    pub evacuated: bool,
    /// Whether long-running tasks leave the zone.
    pub empty: bool,
    /// Time of the last change, in Unix milliseconds.
    pub changed_ms: u64,
    /// Highest number of an order for the zone; 0 if none had one.
    pub number: u64,
}

/// The result of an order for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneOutcome {
    /// The order changed the zone.
    Changed,
    /// The zone was as ordered already.
    Unchanged,
    /// An order with this higher number, or another one with the same number, came first.
    Superseded(u64),
    /// [`ZONES_MAX`] zones are under evacuation.
    TooMany,
}

impl ZoneOutcome {
    /// Why the order was refused, with the remedy; `None` if it holds.
    ///
    /// ```
    /// use yuccalink_state::evacuation::ZoneOutcome;
    /// assert_eq!(ZoneOutcome::Changed.refusal("brno-a"), None);
    /// assert!(ZoneOutcome::Superseded(7).refusal("brno-a").is_some());
    /// ```
    pub fn refusal(self, zone: &str) -> Option<Box<str>> {
        match self {
            Self::Changed | Self::Unchanged => None,
            Self::Superseded(number) => Some(
                format!(
                    "order {number} for zone {zone} came first; list the zones, and order again"
                )
                .into(),
            ),
            Self::TooMany => {
                Some(format!("{ZONES_MAX} zones are under evacuation; restore one first").into())
            }
        }
    }
}

/// Why a text is no name of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum InvalidZone {
    /// the zone has no name; name the zone as its runners report it
    Empty,
    /// the zone's name is over 255 bytes; name the zone as its runners report it
    TooLong,
    /// the zone's name has control characters; name the zone as its runners report it
    Control,
}

impl std::error::Error for InvalidZone {}

/// Checks the name of a zone.
///
/// # Errors
/// [`InvalidZone`] if no runner can be in a zone of this name.
///
/// ```
/// use yuccalink_state::evacuation::{InvalidZone, check_zone};
/// assert_eq!(check_zone("brno-a"), Ok(()));
/// assert_eq!(check_zone(""), Err(InvalidZone::Empty));
/// ```
pub fn check_zone(zone: &str) -> Result<(), InvalidZone> {
    match zone {
        "" => Err(InvalidZone::Empty),
        _ if zone.len() > ZONE_NAME_MAX => Err(InvalidZone::TooLong),
        _ if zone.chars().any(char::is_control) => Err(InvalidZone::Control),
        _ => Ok(()),
    }
}

/// The last order for each zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    zones: BTreeMap<Box<str>, ZoneRecord>,
}

impl Evacuations {
    /// Whether a target in this zone gets no new work. A target whose zone is not known gets
    /// none while any zone is under evacuation.
    ///
    /// ```
    /// use yuccalink_state::evacuation::*;
    /// let mut evacuations = Evacuations::default();
    /// let order = ZoneOrder {
    ///     zone: "brno".into(), action: ZoneAction::Evacuate, empty: false, number: None,
    /// };
    /// assert_eq!(evacuations.apply(&order, 1), ZoneOutcome::Changed);
    /// assert!(evacuations.excludes("brno") && evacuations.excludes(""));
    /// assert!(!evacuations.excludes("zlin"));
    /// ```
    pub fn excludes(&self, zone: &str) -> bool {
        match zone.is_empty() {
            true => !self.is_empty(),
            false => self.zones.get(zone).is_some_and(|record| record.evacuated),
        }
    }

    /// Whether long-running tasks leave this zone.
    pub fn empties(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|record| record.evacuated && record.empty)
    }

    /// The last order for a zone.
    pub fn get(&self, zone: &str) -> Option<&ZoneRecord> {
        self.zones.get(zone)
    }

    /// The zones under evacuation, by name.
    pub fn evacuated(&self) -> impl Iterator<Item = (&str, &ZoneRecord)> {
        self.zones.iter().filter(|(_, record)| record.evacuated).map(|(zone, r)| (&**zone, r))
    }

    /// The zones with an order that is remembered, by name.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.keys().map(|zone| &**zone)
    }

    /// Whether no zone is under evacuation.
    ///
    /// ```
    /// assert!(yuccalink_state::evacuation::Evacuations::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.evacuated().next().is_none()
    }

    /// Applies an order given at `at_ms`, in Unix milliseconds.
    pub fn apply(&mut self, order: &ZoneOrder, at_ms: u64) -> ZoneOutcome {
        let evacuated = order.action == ZoneAction::Evacuate;
        let empty = evacuated && order.empty;
        let known = self.zones.get(&order.zone).copied();
        let is_current = match &known {
            Some(record) => (record.evacuated, record.empty) == (evacuated, empty),
            None => !evacuated,
        };
        let last_number = known.map_or(0, |record| record.number);
        let number = order.number.unwrap_or(last_number);
        if number < last_number || (order.number == Some(last_number) && !is_current) {
            return ZoneOutcome::Superseded(last_number);
        }
        if is_current && number == last_number {
            return ZoneOutcome::Unchanged;
        }
        if known.is_none() && !self.make_room() {
            return ZoneOutcome::TooMany;
        }
        let changed_ms = known.filter(|_| is_current).map_or(at_ms, |record| record.changed_ms);
        let record = ZoneRecord { evacuated, empty, changed_ms, number };
        self.zones.insert(order.zone.clone(), record);
        if is_current { ZoneOutcome::Unchanged } else { ZoneOutcome::Changed }
    }

    /// Makes room for one more record: of the zones that are not under evacuation, the one whose
    /// last order is the oldest is forgotten.
    fn make_room(&mut self) -> bool {
        if self.zones.len() < ZONES_MAX {
            return true;
        }
        let restored = self.zones.iter().filter(|(_, record)| !record.evacuated);
        let oldest = restored.min_by_key(|(_, record)| record.changed_ms);
        match oldest.map(|(zone, _)| zone.clone()) {
            Some(zone) => self.zones.remove(&zone).is_some(),
            None => false,
        }
    }
}

impl ZoneView {
    /// Describes a zone with this many targets, on which `busy` runs or requests have not ended.
    ///
    /// ```
    /// use yuccalink_state::evacuation::{Evacuations, ZoneView};
    /// let view = ZoneView::new(&Evacuations::default(), "brno-a", 2, 5);
    /// assert_eq!((view.evacuated, view.targets, view.busy), (false, 2, 5));
    /// ```
    pub fn new(evacuations: &Evacuations, zone: &str, targets: usize, busy: usize) -> Self {
        let record = evacuations.get(zone);
        Self {
            zone: zone.into(),
            evacuated: record.is_some_and(|record| record.evacuated),
            empty: record.is_some_and(|record| record.empty),
            changed_ms: record.map_or(0, |record| record.changed_ms),
            number: record.map_or(0, |record| record.number),
            targets: u32::try_from(targets).unwrap_or(u32::MAX),
            busy: u32::try_from(busy).unwrap_or(u32::MAX),
        }
    }
}

/// What operators see of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct ZoneView {
    /// The zone.
    pub zone: Box<str>,
    /// Whether the zone is under evacuation.
    pub evacuated: bool,
    /// Whether long-running tasks leave the zone.
    pub empty: bool,
    /// Time of the last change, in Unix milliseconds; 0 if no order was ever given.
    pub changed_ms: u64,
    /// Highest number of an order for the zone; 0 if none had one.
    pub number: u64,
    /// Number of targets in the zone that are known to the leader.
    pub targets: u32,
    /// Number of runs or requests that have not ended there.
    pub busy: u32,
}
