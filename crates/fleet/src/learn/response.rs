//! Response lengths by route, relative to the length that requests announce.
//!
//! A request gives the maximum number of tokens of its response and may give an estimate. The
//! number of tokens in an event is not known, so the ratio of events to estimated tokens is
//! learned.

use std::collections::BTreeMap;

/// Least weight of a new response.
const MIN_GAIN: f64 = 0.02;
/// Responses of a route that are needed before its estimate is used.
const MIN_SAMPLES: u32 = 10;
/// Most routes that are tracked.
const MAX_ROUTES: usize = 4096;

/// Length estimate of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteLength {
    /// Mean logarithm of events per estimated token, which is near the median.
    log_ratio: f64,
    samples: u32,
}

/// Response lengths of each route.
#[derive(Clone, Debug, Default)]
pub struct ResponseLengths {
    routes: BTreeMap<String, RouteLength>,
}

impl ResponseLengths {
    /// Expected events of a response with an estimate of `tokens`; `None` before enough
    /// responses of the route were observed.
    pub fn expected(&self, route: &str, tokens: u64) -> Option<f64> {
        let length = self.routes.get(route)?;
        (length.samples >= MIN_SAMPLES).then(|| length.log_ratio.exp() * tokens.max(1) as f64)
    }

    /// Learns from a complete response of `events` with an estimate of `tokens`.
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
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let length = self.routes.entry(route.to_owned()).or_default();
        let ratio = (f64::from(events) / tokens as f64).ln();
        length.samples = length.samples.saturating_add(1);
        let gain = (1.0 / f64::from(length.samples)).max(MIN_GAIN);
        length.log_ratio += gain * (ratio - length.log_ratio);
    }
}
