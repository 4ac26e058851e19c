//! A rate that fades: how much has come lately, each second.

use std::time::Duration;

use onyxfall_policy::Moment;

/// Measures a rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowMeter {
    /// Time in which what came fades to a third.
    fade: Duration,
    sum: f64,
    at: Moment,
}

impl FlowMeter {
    /// Nothing came yet; what comes fades to a third in `fade`.
    pub(crate) const fn new(fade: Duration) -> Self {
        Self {
            fade,
            sum: 0.0,
            at: Moment::ZERO,
        }
    }

    /// Notes that `amount` came.
    pub(crate) fn note(&mut self, now: Moment, amount: u64) {
        self.sum = self.faded(now) + amount as f64;
        self.at = now;
    }

    /// What comes each second.
    pub(crate) fn per_second(&self, now: Moment) -> f64 {
        self.faded(now) / self.fade.as_secs_f64()
    }

    fn faded(&self, now: Moment) -> f64 {
        let age = (now - self.at).as_secs_f64();
        self.sum * (-age / self.fade.as_secs_f64()).exp()
    }
}
