//! Retry budget: retries may add only a fixed share of the successes and a small saved number to
//! the load, so a fault never multiplies it.

/// Retries earned per hundred successes.
pub const RETRY_PERCENT: u32 = 10;
/// Maximum number of retries that can be saved up.
pub const SAVED_RETRIES_MAX: u32 = 20;

/// Credit that one retry costs; a success earns `RETRY_PERCENT`.
const CREDIT_PER_RETRY: u32 = 100;

/// The retry budget of one service at one entry. It starts full.
///
/// ```
/// use yuccalink_coordination::retry::Budget;
/// let mut budget = Budget::default();
/// let saved = (0..1000).filter(|_| budget.spend()).count();
/// assert_eq!(saved, 20);
/// for _ in 0..10 { budget.earn(); }
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    credit: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { credit: SAVED_RETRIES_MAX * CREDIT_PER_RETRY }
    }
}

impl Budget {
    /// Records a success, which earns a fraction of a retry.
    pub fn earn(&mut self) {
        self.credit = (self.credit + RETRY_PERCENT).min(SAVED_RETRIES_MAX * CREDIT_PER_RETRY);
    }

    /// Spends one retry; returns false if the budget has none.
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.credit.checked_sub(CREDIT_PER_RETRY) else { return false };
        self.credit = left;
        true
    }
}
