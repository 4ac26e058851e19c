//! How long the answers of a route are, against what the request says of them.
//!
//! A request names the most tokens of its answer and may carry a guess. What an
//! event holds is not told, so events are counted for each token of the guess.

use std::collections::BTreeMap;

/// Least weight of a new answer.
const LEAST_GAIN: f64 = 0.02;
/// Answers of a route before its estimate is used.
const LEAST_SAMPLES: u32 = 10;
/// Routes that are remembered.
const ROUTE_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct RouteLength {
    /// Mean logarithm of events for each token of the guess: near the median.
    log_ratio: f64,
    samples: u32,
}

/// Lengths of the answers of each route.
#[derive(Clone, Debug, Default)]
pub struct ResponseLengths {
    routes: BTreeMap<String, RouteLength>,
}

impl ResponseLengths {
    /// Expected events of an answer for which `tokens` were guessed; none before
    /// enough answers of the route were seen.
    pub fn expected(&self, route: &str, tokens: u64) -> Option<f64> {
        let length = self.routes.get(route)?;
        (length.samples >= LEAST_SAMPLES).then(|| length.log_ratio.exp() * tokens.max(1) as f64)
    }

    /// Takes a whole answer of `events`, for which `tokens` were guessed.
    ///
    /// ```
    /// use onyxfall_fleet::ResponseLengths;
    /// let mut lengths = ResponseLengths::default();
    /// for _ in 0..20 {
    ///     lengths.learn("summary", 100, 20);
    /// }
    /// assert_eq!(lengths.expected("summary", 50).unwrap().round(), 10.0);
    /// assert!(lengths.expected("other", 50).is_none());
    /// ```
    pub fn learn(&mut self, route: &str, tokens: u64, events: u32) {
        if tokens == 0 || events == 0 {
            return;
        }
        if !self.routes.contains_key(route) && self.routes.len() >= ROUTE_LIMIT {
            return;
        }
        let length = self.routes.entry(route.to_owned()).or_default();
        let ratio = (f64::from(events) / tokens as f64).ln();
        length.samples = length.samples.saturating_add(1);
        let gain = (1.0 / f64::from(length.samples)).max(LEAST_GAIN);
        length.log_ratio += gain * (ratio - length.log_ratio);
    }
}
