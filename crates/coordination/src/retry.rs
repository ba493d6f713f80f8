//! A budget for repeated work: retries and hedges may add only a set share to
//! the load, so that a fault never multiplies it.

/// Extra tries allowed per hundred successes.
pub const PERCENT: u32 = 10;
/// Most extra tries that can be saved up.
pub const SAVED_MAX: u32 = 20;

const PER_TRY: u32 = 100;

/// The budget of one service at one entry.
///
/// ```
/// use yuccalink_coordination::retry::Budget;
/// let mut budget = Budget::default();
/// let free = (0..1000).filter(|_| budget.spend()).count();
/// assert_eq!(free, 20);
/// for _ in 0..10 { budget.earn(); }
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    saved: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: SAVED_MAX * PER_TRY }
    }
}

impl Budget {
    /// Notes a success, which pays for a share of an extra try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + PERCENT).min(SAVED_MAX * PER_TRY);
    }

    /// Takes one extra try out, or says that there is none.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(PER_TRY) else { return false };
        self.saved = left;
        true
    }
}
