//! State that this VM keeps of one backend server.
//!
//! The server's load report lags, so this VM's own count of open requests
//! corrects it: the load of other senders is the report less this VM's open
//! requests at the time of receipt, and it decays with the report's age.

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_types::Incarnation;

use crate::backoff::ServerBackoff;
use crate::circuit::CircuitBreaker;
use crate::limit::AdaptiveLimit;
use crate::moment::Moment;

const REPORT_FRESH: Duration = Duration::from_secs(2);
const REPORT_DECAY: Duration = Duration::from_secs(5);
const SLOWNESS_GAIN: f64 = 0.3;
const SLOWNESS_DECAY: Duration = Duration::from_mins(1);
const MAX_SLOWNESS: f64 = 50.0;
const RAMP: Duration = Duration::from_secs(5);
const RAMP_START: f64 = 0.2;
/// Open requests allowed per slot. A short queue in the server keeps its slots
/// busy while the report of a free one is in transit.
const HEADROOM: f64 = 1.25;
/// Factor on the allowance for requests of the best priority.
const EAGER_FACTOR: f64 = 1.6;

/// Load reported by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Requests being processed.
    pub running: u32,
    /// Requests waiting in the server's own queue.
    pub queued: u32,
    /// Whether the server is draining.
    pub draining: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    at: Moment,
    others: f64,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    id: u64,
    started: Moment,
    expected: Duration,
}

/// State of one backend server.
#[derive(Clone, Debug)]
pub struct ServerState {
    slots: u32,
    open: VecDeque<OpenAttempt>,
    report: Option<ReceivedReport>,
    incarnation: Incarnation,
    draining: bool,
    limit: AdaptiveLimit,
    circuit: CircuitBreaker,
    backoff: ServerBackoff,
    slowness: f64,
    slowness_at: Moment,
    ramp_from: Option<Moment>,
}

impl ServerState {
    /// A server with `slots` slots and no known load.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            open: VecDeque::new(),
            report: None,
            incarnation: Incarnation::default(),
            draining: false,
            limit: AdaptiveLimit::new(slots),
            circuit: CircuitBreaker::new(),
            backoff: ServerBackoff::default(),
            slowness: 1.0,
            slowness_at: Moment::ZERO,
            ramp_from: None,
        }
    }

    /// Declared number of slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Incarnation in the last load report.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets whether the server is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether the server's circuit breaker is closed.
    pub fn is_closed(&self) -> bool {
        self.circuit.is_closed()
    }

    /// Open requests of this VM on the server.
    pub fn own_open(&self) -> usize {
        self.open.len()
    }

    /// Estimated requests on the server, of this VM and of other senders.
    pub fn busy(&self, now: Moment) -> f64 {
        self.open.len() as f64 + self.others(now)
    }

    /// Requests that this VM may have open on the server, with `members` entries
    /// in the data centre: the spare capacity, and at least an equal share.
    pub fn allowance(&self, now: Moment, members: usize) -> f64 {
        let cap = self.limit.get() * self.ramp(now) * HEADROOM;
        let fair = (cap / members.max(1) as f64).floor();
        (cap - self.others(now)).max(fair).max(1.0)
    }

    /// Whether the server has room for a request now. An eager request, which the
    /// server schedules before others, may also queue in the server.
    pub fn has_room(&self, now: Moment, members: usize, eager: bool) -> bool {
        let factor = if eager { EAGER_FACTOR } else { 1.0 };
        let allowance = (self.allowance(now, members) * factor).round();
        self.is_usable(now) && (self.open.len() as f64) < allowance
    }

    /// Whether drain state, circuit breaker and backoff permit the server's use.
    pub fn is_usable(&self, now: Moment) -> bool {
        !self.draining && self.circuit.allows(now) && self.backoff.allows(now)
    }

    /// Records that the server requests a backoff of `time`.
    pub fn record_backoff(&mut self, now: Moment, time: Duration) {
        self.backoff.request(now, time);
    }

    /// End of the server's backoff, or `None` if it is over.
    pub fn backoff_end(&self, now: Moment) -> Option<Moment> {
        self.backoff.end(now)
    }

    /// Records that the server has accepted attempt `id`.
    pub fn record_taken(&mut self, id: u64) {
        self.backoff.record_taken(id);
    }

    /// How many times slower than expected the server responds; 1 is as expected.
    pub fn slowness(&self, now: Moment) -> f64 {
        let idle = (now - self.slowness_at).as_secs_f64() / SLOWNESS_DECAY.as_secs_f64();
        let learned = 1.0 + (self.slowness - 1.0) * (-idle).exp();
        learned.max(self.overdue(now)).min(MAX_SLOWNESS)
    }

    /// Expected time to completion of a request with service time `service`.
    pub fn expected(&self, now: Moment, service: Duration) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (self.busy(now) + 1.0 - slots).max(0.0) / slots;
        service.mul_f64(self.slowness(now) * (1.0 + ahead))
    }

    /// Records the start of attempt `id`.
    pub fn start(&mut self, now: Moment, id: u64, expected: Duration) {
        if self.circuit.allows(now) {
            self.circuit.start(now);
        }
        self.backoff.record_sent(id);
        self.open.push_back(OpenAttempt {
            id,
            started: now,
            expected,
        });
    }

    /// Records the end of attempt `id`, whatever its outcome.
    pub fn end(&mut self, id: u64) {
        self.open.retain(|open| open.id != id);
        self.backoff.record_end(id);
    }

    /// Records a success that took `ratio` times the expected time.
    pub fn succeed(&mut self, now: Moment, ratio: f64) {
        if self.circuit.succeed() {
            self.ramp_from = Some(now);
        }
        let current = self.slowness(now);
        self.slowness = (current + SLOWNESS_GAIN * (ratio - current)).max(1.0);
        self.slowness_at = now;
        self.limit.observe(ratio);
    }

    /// Records a failure; returns whether it opened the circuit breaker.
    pub fn fail(&mut self, now: Moment) -> bool {
        self.circuit.fail(now)
    }

    /// Records that the server has stopped sending load reports. A server that
    /// has never sent one is left alone.
    pub fn record_unresponsive(&mut self, now: Moment) {
        if self.incarnation.get() != 0 {
            self.circuit.trip(now);
        }
    }

    /// Records the end of an attempt whose outcome implies nothing about the server.
    pub fn end_inconclusive(&mut self) {
        self.circuit.record_unknown();
    }

    /// Applies a load report; returns whether the server has restarted.
    pub fn report(&mut self, now: Moment, report: &LoadReport) -> bool {
        if report.incarnation < self.incarnation {
            return false;
        }
        let restarted = report.incarnation > self.incarnation && self.incarnation.get() != 0;
        if restarted {
            self.circuit = CircuitBreaker::new();
            self.backoff = ServerBackoff::default();
            self.slowness = 1.0;
            self.ramp_from = Some(now);
        }
        self.incarnation = report.incarnation;
        let total = f64::from(report.running) + f64::from(report.queued);
        let others = (total - self.open.len() as f64).max(0.0);
        self.report = Some(ReceivedReport { at: now, others });
        restarted
    }

    fn others(&self, now: Moment) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let stale = (now - report.at).saturating_sub(REPORT_FRESH);
        report.others * (-stale.as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp()
    }

    fn overdue(&self, now: Moment) -> f64 {
        let Some(oldest) = self.open.front() else {
            return 0.0;
        };
        let expected = oldest.expected.as_secs_f64().max(1e-6);
        (now - oldest.started).as_secs_f64() / expected
    }

    fn ramp(&self, now: Moment) -> f64 {
        let Some(from) = self.ramp_from else {
            return 1.0;
        };
        let part = (now - from).as_secs_f64() / RAMP.as_secs_f64();
        (RAMP_START + (1.0 - RAMP_START) * part).min(1.0)
    }
}
