//! Learned service time of a kind.
//!
//! The service time in the bundle is the prior. Samples near the estimate move it
//! quickly, much slower ones barely. Otherwise one slow server would raise the
//! estimate until all servers look fast.

use std::time::Duration;

const NEAR_GAIN: f64 = 0.05;
const FAR_GAIN: f64 = 0.002;
const NEAR_RATIO: f64 = 2.0;

/// Running estimate of a service time.
#[derive(Clone, Debug)]
pub struct ServiceEstimate {
    seconds: f64,
}

impl ServiceEstimate {
    /// Creates an estimate that starts at the declared service time.
    pub fn new(prior: Duration) -> Self {
        Self {
            seconds: prior.as_secs_f64().max(1e-6),
        }
    }

    /// The current estimate.
    pub fn get(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Records a sample and returns its ratio to the estimate.
    ///
    /// ```
    /// use onyxfall_policy::ServiceEstimate;
    /// use std::time::Duration;
    /// let mut estimate = ServiceEstimate::new(Duration::from_secs(1));
    /// assert_eq!(estimate.observe(Duration::from_secs(10)), 10.0);
    /// assert!(estimate.get() < Duration::from_millis(1100));
    /// ```
    pub fn observe(&mut self, sample: Duration) -> f64 {
        let sample = sample.as_secs_f64().max(1e-6);
        let ratio = sample / self.seconds;
        let gain = if ratio < NEAR_RATIO {
            NEAR_GAIN
        } else {
            FAR_GAIN
        };
        self.seconds += gain * (sample - self.seconds);
        ratio
    }
}
