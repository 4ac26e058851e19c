//! A rate that fades: how much has come lately, each second.

use std::time::Duration;

use onyxfall_policy::Moment;

/// Time in which what came fades to a third: long enough for a steady figure at
/// a few requests a second, short against the life of a prefix (tens of seconds).
const FADE: Duration = Duration::from_secs(5);

/// Measures a rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FlowMeter {
    sum: f64,
    at: Moment,
}

impl FlowMeter {
    /// Notes that `amount` came.
    pub(crate) fn note(&mut self, now: Moment, amount: u64) {
        self.sum = self.faded(now) + amount as f64;
        self.at = now;
    }

    /// What comes each second.
    pub(crate) fn per_second(&self, now: Moment) -> f64 {
        self.faded(now) / FADE.as_secs_f64()
    }

    fn faded(&self, now: Moment) -> f64 {
        let age = (now - self.at).as_secs_f64();
        self.sum * (-age / FADE.as_secs_f64()).exp()
    }
}
