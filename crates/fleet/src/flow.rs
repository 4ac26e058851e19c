//! Rate measurement with exponential decay.

use std::time::Duration;

use onyxfall_policy::Moment;

/// Meter of a decaying rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowMeter {
    /// Time in which a contribution decays to 1/e.
    decay: Duration,
    sum: f64,
    at: Moment,
}

impl FlowMeter {
    /// Creates a meter without contributions, which decay to 1/e in `decay`.
    pub(crate) const fn new(decay: Duration) -> Self {
        Self {
            decay,
            sum: 0.0,
            at: Moment::ZERO,
        }
    }

    /// Records a contribution of `amount`.
    pub(crate) fn note(&mut self, now: Moment, amount: u64) {
        self.sum = self.decayed(now) + amount as f64;
        self.at = now;
    }

    /// Current rate per second.
    pub(crate) fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) / self.decay.as_secs_f64()
    }

    fn decayed(&self, now: Moment) -> f64 {
        let age = (now - self.at).as_secs_f64();
        self.sum * (-age / self.decay.as_secs_f64()).exp()
    }
}
