//! Retry budget and backoff.

use std::time::Duration;

use rand::Rng;

/// Tokens added by each first attempt.
const DEPOSIT: f64 = 0.1;
/// Maximum number of accumulated tokens.
const MAX_SAVED: f64 = 10.0;

/// Limits the retries of a kind to a tenth of its first attempts.
///
/// Invariant: granted retries never exceed a tenth of the recorded first attempts
/// plus the one retry that a new budget starts with.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget with one retry.
    pub fn new() -> Self {
        Self { tokens: 1.0 }
    }

    /// Records a first attempt.
    pub fn record_first(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MAX_SAVED);
    }

    /// Spends a retry if the budget has one; returns whether it had.
    ///
    /// ```
    /// use onyxfall_policy::RetryBudget;
    /// let mut budget = RetryBudget::new();
    /// assert!(budget.try_spend());
    /// assert!(!budget.try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct BackoffCurve {
    /// Maximum pause before the first retry.
    pub base: Duration,
    /// Maximum pause before any retry.
    pub cap: Duration,
}

impl BackoffCurve {
    /// Pause before retry number `retry`, counted from 0: uniformly distributed
    /// between zero and the base doubled `retry` times, at most the cap.
    pub fn pause(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let top = self
            .base
            .saturating_mul(1_u32.checked_shl(retry).unwrap_or(u32::MAX));
        top.min(self.cap).mul_f64(rng.random::<f64>())
    }
}
