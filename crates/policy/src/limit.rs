//! Concurrency limit per backend server, adapted to measured latency.
//!
//! Additive increase while responses are about as fast as expected, multiplicative
//! decrease while they are much slower. Invariant: `min <= limit <= max`.

const SLOW_RATIO: f64 = 2.5;
const DECREASE: f64 = 0.9;

/// Adaptive concurrency limit of one server.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    min: f64,
    max: f64,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at `max`, the server's declared slots.
    pub fn new(max: u32) -> Self {
        let max = f64::from(max.max(1));
        Self {
            limit: max,
            min: 1.0,
            max,
        }
    }

    /// The current limit.
    pub fn get(&self) -> f64 {
        self.limit
    }

    /// Adapts the limit to a response that took `ratio` times the expected time.
    ///
    /// ```
    /// use onyxfall_policy::AdaptiveLimit;
    /// let mut limit = AdaptiveLimit::new(8);
    /// limit.observe(10.0);
    /// assert!(limit.get() < 8.0);
    /// ```
    pub fn observe(&mut self, ratio: f64) {
        let next = if ratio > SLOW_RATIO {
            self.limit * DECREASE
        } else {
            self.limit + 1.0 / self.limit
        };
        self.limit = next.clamp(self.min, self.max);
    }
}
