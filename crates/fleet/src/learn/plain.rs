//! Time of a plain service, whose servers run a few requests at once.

use std::time::Duration;

/// Time that a request takes before any answer was seen, in milliseconds: between
/// a look-up and a page.
const PRIOR_MS: f64 = 25.0;
/// Least weight of a new answer, so that some thirty answers are remembered.
const LEAST_GAIN: f64 = 0.03;
/// Answers that are this many times off count as this many times.
const OUTLIER: f64 = 3.0;
/// Bounds of the estimate, in milliseconds.
const BOUNDS_MS: (f64, f64) = (0.1, 60_000.0);

/// A time within its bounds; what is no number becomes the least.
pub(crate) fn bound_plain(ms: f64) -> f64 {
    // `max` takes the bound if the time is no number.
    ms.max(BOUNDS_MS.0).min(BOUNDS_MS.1)
}

/// What the servers of a plain service cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlainCosts {
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
    /// An estimate made elsewhere.
    pub(crate) fn with_time(ms: f64) -> Self {
        Self {
            log_ms: bound_plain(ms).ln(),
            samples: 0,
        }
    }

    /// Number of answers so far.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Expected milliseconds of one request that need not wait.
    pub fn service_ms(&self) -> f64 {
        self.log_ms.exp()
    }

    /// Takes an answer: how long a request took that waited for `turns` in all,
    /// its own included.
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
        let gain = (1.0 / f64::from(self.samples)).max(LEAST_GAIN);
        self.log_ms += gain * error;
    }
}
