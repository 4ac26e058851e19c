//! Meter of what a VM admitted without what it refunded.

use std::time::Duration;

use onyxfall_policy::Moment;

/// Meter of a decaying rate that is never negative. Refunds beyond the recent usage lower the
/// usage that follows, so that the sum over time is exact.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpentMeter {
    /// Time in which a contribution decays to 1/e.
    decay: Duration,
    sum: f64,
    at: Moment,
    /// Refunds that have not lowered the usage yet.
    owed: f64,
}

impl SpentMeter {
    pub(super) const fn new(decay: Duration) -> Self {
        Self {
            decay,
            sum: 0.0,
            at: Moment::ZERO,
            owed: 0.0,
        }
    }

    /// Records an admitted request.
    pub(super) fn admit(&mut self, now: Moment, cost: f64) {
        self.add(now, cost);
    }

    /// Records a refund.
    pub(super) fn refund(&mut self, now: Moment, cost: f64) {
        self.add(now, -cost);
    }

    /// Drops refunds that have not lowered the usage yet.
    pub(super) fn forgive(&mut self) {
        self.owed = 0.0;
    }

    /// Current usage per second.
    pub(super) fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) / self.decay.as_secs_f64()
    }

    fn add(&mut self, now: Moment, units: f64) {
        let sum = self.decayed(now) + units - self.owed;
        self.sum = sum.max(0.0);
        self.owed = (-sum).max(0.0);
        self.at = now;
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = (now - self.at).as_secs_f64();
        self.sum * (-age / self.decay.as_secs_f64()).exp()
    }
}
