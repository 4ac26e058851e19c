//! Circuit breaker per backend server.
//!
//! Closed: attempts pass and outcomes are counted. Open: no attempt passes for a
//! pause that doubles with each failed probe. Half-open: one probe passes at a
//! time. Invariant: at most one probe is under way.

use std::time::Duration;

use crate::moment::Moment;

const TRIP_FAILURES: u32 = 5;
const TRIP_RATIO: f64 = 0.5;
const MIN_SAMPLES: f64 = 10.0;
const SAMPLE_DECAY: f64 = 0.95;
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LAST_PAUSE: Duration = Duration::from_secs(15);

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// Attempts pass.
    Closed,
    /// No attempt passes until the pause ends.
    Open {
        /// End of the pause.
        until: Moment,
    },
    /// One probe passes at a time.
    HalfOpen {
        /// Whether a probe is under way.
        probing: bool,
    },
}

/// A circuit breaker.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: CircuitState,
    consecutive: u32,
    samples: f64,
    failures: f64,
    pause: Duration,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self::new()
    }
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    pub fn new() -> Self {
        Self {
            state: CircuitState::Closed,
            consecutive: 0,
            samples: 0.0,
            failures: 0.0,
            pause: FIRST_PAUSE,
        }
    }

    /// Whether an attempt would pass now.
    pub fn allows(&self, now: Moment) -> bool {
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open { until } => now >= until,
            CircuitState::HalfOpen { probing } => !probing,
        }
    }

    /// Whether the breaker is closed.
    pub fn is_closed(&self) -> bool {
        self.state == CircuitState::Closed
    }

    /// Records the start of an attempt.
    pub fn start(&mut self, now: Moment) {
        debug_assert!(
            self.allows(now),
            "an attempt started while the breaker allows none"
        );
        if !self.is_closed() {
            self.state = CircuitState::HalfOpen { probing: true };
        }
    }

    /// Records a success; returns whether it closed the breaker.
    pub fn succeed(&mut self) -> bool {
        self.consecutive = 0;
        self.count(0.0);
        let was_open = !self.is_closed();
        if was_open {
            *self = Self::new();
        }
        was_open
    }

    /// Records a failure; returns whether it opened a closed breaker.
    pub fn fail(&mut self, now: Moment) -> bool {
        self.consecutive += 1;
        self.count(1.0);
        match self.state {
            CircuitState::Closed if self.is_tripped() => {
                self.state = CircuitState::Open {
                    until: now + self.pause,
                };
                true
            }
            CircuitState::Closed | CircuitState::Open { .. } => false,
            CircuitState::HalfOpen { .. } => {
                self.pause = (self.pause * 2).min(LAST_PAUSE);
                self.state = CircuitState::Open {
                    until: now + self.pause,
                };
                false
            }
        }
    }

    /// Opens the breaker without a failed attempt, for a server that became
    /// unresponsive.
    pub fn trip(&mut self, now: Moment) {
        if self.is_closed() {
            self.state = CircuitState::Open {
                until: now + self.pause,
            };
        }
    }

    /// Records the end of an attempt whose outcome implies nothing about the server,
    /// such as a cancelled one. Allows the next probe if the breaker is half-open.
    pub fn record_unknown(&mut self) {
        if let CircuitState::HalfOpen { .. } = self.state {
            self.state = CircuitState::HalfOpen { probing: false };
        }
    }

    fn count(&mut self, failure: f64) {
        self.samples = self.samples * SAMPLE_DECAY + 1.0;
        self.failures = self.failures * SAMPLE_DECAY + failure;
    }

    fn is_tripped(&self) -> bool {
        let ratio = self.failures / self.samples;
        self.consecutive >= TRIP_FAILURES || (self.samples >= MIN_SAMPLES && ratio > TRIP_RATIO)
    }
}
