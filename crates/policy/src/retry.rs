//! Retry budget and backoff.

use std::time::Duration;

use rand::Rng;

/// Tokens that each first attempt adds.
const DEPOSIT: f64 = 0.1;
/// Most retries that may be saved up.
const MAX_SAVED: f64 = 10.0;

/// Keeps retries of a kind to a tenth of its first attempts.
///
/// Invariant: retries granted never exceed a tenth of the first attempts noted
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
    /// A budget with one retry.
    pub fn new() -> Self {
        Self { tokens: 1.0 }
    }

    /// Notes a first attempt.
    pub fn note_first(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MAX_SAVED);
    }

    /// Spends a retry if the budget has one.
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
    /// Longest pause before the first retry.
    pub base: Duration,
    /// Longest pause before any retry.
    pub cap: Duration,
}

impl BackoffCurve {
    /// Pause before retry number `retry`, counted from 0: uniform from zero to
    /// the base doubled `retry` times, capped.
    pub fn pause(&self, retry: u32, rng: &mut impl Rng) -> Duration {
        let top = self
            .base
            .saturating_mul(1_u32.checked_shl(retry).unwrap_or(u32::MAX));
        top.min(self.cap).mul_f64(rng.random::<f64>())
    }
}
