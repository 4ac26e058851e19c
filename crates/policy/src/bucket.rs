//! Token bucket: a sustained rate and a burst size.

use std::time::Duration;

use crate::moment::Moment;

/// A token bucket that refills at a constant rate up to its burst size.
///
/// Invariant: `0 <= tokens <= burst`, even if moments arrive out of order.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    filled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is in tokens per second.
    pub fn new(rate: f64, burst: f64, now: Moment) -> Self {
        debug_assert!(rate >= 0.0 && burst >= 0.0);
        Self {
            rate,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    /// Takes `amount` tokens if the bucket has them; returns whether it did.
    ///
    /// ```
    /// use onyxfall_policy::{Moment, TokenBucket};
    /// use std::time::Duration;
    /// let mut bucket = TokenBucket::new(1.0, 1.0, Moment::ZERO);
    /// assert!(bucket.take(Moment::ZERO, 1.0));
    /// assert!(!bucket.take(Moment::ZERO, 1.0));
    /// assert!(bucket.take(Moment::ZERO + Duration::from_secs(1), 1.0));
    /// ```
    pub fn take(&mut self, now: Moment, amount: f64) -> bool {
        self.fill(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }

    /// Time until the bucket has `amount` tokens; a day if it never will.
    pub fn wait(&mut self, now: Moment, amount: f64) -> Duration {
        const NEVER: Duration = Duration::from_hours(24);
        self.fill(now);
        let missing = amount - self.tokens;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        if self.rate <= 0.0 || amount > self.burst {
            return NEVER;
        }
        Duration::from_secs_f64((missing / self.rate).min(NEVER.as_secs_f64()))
    }

    /// Changes the rate and the burst size and keeps the tokens that fit.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Moment) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn fill(&mut self, now: Moment) {
        let elapsed = now - self.filled_at;
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.burst);
    }
}
