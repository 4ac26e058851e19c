//! Cost model of plain services, whose servers run a few requests at once.

use std::time::Duration;

/// Prior of the request time in milliseconds, between that of a lookup and that of a page.
const PRIOR_MS: f64 = 25.0;
/// Least weight of a new response, which gives a memory of about 30 responses.
const MIN_GAIN: f64 = 0.03;
/// Deviations from the estimate are clamped to this factor.
const OUTLIER: f64 = 3.0;
/// Bounds of the estimate, in milliseconds.
const BOUNDS_MS: (f64, f64) = (0.1, 60_000.0);

/// Clamps a time to its bounds; NaN becomes the lower bound.
pub(crate) fn bound_plain(ms: f64) -> f64 {
    // `max` returns the bound if the time is NaN.
    ms.max(BOUNDS_MS.0).min(BOUNDS_MS.1)
}

/// Learned request time of the servers of a plain service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainCosts {
    /// Mean logarithm of the request time in milliseconds.
    log_ms: f64,
    samples: u32,
}

impl Default for PlainCosts {
    fn default() -> Self {
        Self {
            log_ms: PRIOR_MS.ln(),
            samples: 0,
        }
    }
}

impl PlainCosts {
    /// Creates an estimate from a time that was learned elsewhere.
    pub(crate) fn with_time(ms: f64) -> Self {
        Self {
            log_ms: bound_plain(ms).ln(),
            samples: 0,
        }
    }

    /// Number of responses observed so far.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Expected time of one request in milliseconds, without waiting for a slot.
    pub fn service_ms(&self) -> f64 {
        self.log_ms.exp()
    }

    /// Learns from a request that took `took` over `turns` successive uses of a slot, its own
    /// included.
    ///
    /// ```
    /// use onyxfall_fleet::PlainCosts;
    /// let mut costs = PlainCosts::default();
    /// for _ in 0..50 {
    ///     costs.learn(std::time::Duration::from_millis(60), 1.0);
    /// }
    /// assert!((costs.service_ms() - 60.0).abs() < 3.0);
    /// ```
    pub fn learn(&mut self, took: Duration, turns: f64) {
        let ms = took.as_secs_f64() * 1e3 / turns.max(1.0);
        let ms = ms.clamp(BOUNDS_MS.0, BOUNDS_MS.1);
        let error = (ms.ln() - self.log_ms).clamp(-OUTLIER.ln(), OUTLIER.ln());
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(MIN_GAIN);
        self.log_ms += gain * error;
    }
}
