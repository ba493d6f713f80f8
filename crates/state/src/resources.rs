//! Exact amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of resources, in whole units so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a processor.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self { millicores: 0, memory_mib: 0, accelerators: 0 };

    /// Whether `self` is at least `need` in each resource.
    ///
    /// ```
    /// use yuccalink_state::Resources;
    /// let vm = Resources { millicores: 64_000, memory_mib: 256_000, accelerators: 0 };
    /// let task = Resources { millicores: 500, memory_mib: 512, accelerators: 1 };
    /// assert!(!vm.covers(task));
    /// ```
    pub fn covers(self, need: Self) -> bool {
        self.millicores >= need.millicores
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// `self + other`, or `None` if a sum would overflow.
    ///
    /// ```
    /// use yuccalink_state::Resources;
    /// assert_eq!(Resources::ZERO.plus(Resources::ZERO), Some(Resources::ZERO));
    /// ```
    #[must_use]
    pub fn plus(self, other: Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// `self - other`, or `None` if `other` is more than `self` in any resource.
    ///
    /// ```
    /// use yuccalink_state::Resources;
    /// let one = Resources { millicores: 1, memory_mib: 1, accelerators: 0 };
    /// assert_eq!(Resources::ZERO.minus(one), None);
    /// ```
    #[must_use]
    pub fn minus(self, other: Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_sub(other.millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }
}
