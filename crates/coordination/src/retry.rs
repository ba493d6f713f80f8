//! Retry budget: retries and hedged requests may add only a fixed share to the load, so a fault
//! never multiplies it.

/// Retries earned per hundred successes.
pub const PERCENT: u32 = 10;
/// Maximum number of retries that can be saved up.
pub const SAVED_MAX: u32 = 20;

const PER_TRY: u32 = 100;

/// The retry budget of one service at one entry.
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
    /// Records a success, which earns a fraction of a retry.
    pub fn earn(&mut self) {
        self.saved = (self.saved + PERCENT).min(SAVED_MAX * PER_TRY);
    }

    /// Spends one retry; returns false if the budget has none.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.saved.checked_sub(PER_TRY) else { return false };
        self.saved = left;
        true
    }
}
