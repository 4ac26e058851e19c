//! One backend server as this VM sees it.
//!
//! The server's load report lags, so our own count of requests under way
//! corrects it: what others have there is the report less what we had when it
//! came, and that part fades with the report's age.

use std::collections::VecDeque;
use std::time::Duration;

use onyxfall_types::Incarnation;

use crate::circuit::CircuitBreaker;
use crate::limit::AdaptiveLimit;
use crate::moment::Moment;
use crate::rest::ServerBackoff;

const REPORT_FRESH: Duration = Duration::from_secs(2);
const REPORT_FADE: Duration = Duration::from_secs(5);
const SPEED_GAIN: f64 = 0.3;
const SPEED_FORGET: Duration = Duration::from_mins(1);
const MAX_SPEED: f64 = 50.0;
const RAMP: Duration = Duration::from_secs(5);
const RAMP_START: f64 = 0.2;
/// Requests per slot that may be under way: a short queue in the server keeps
/// its slots busy while the news of a free one is on its way.
const HEADROOM: f64 = 1.25;
/// How much further requests of the best priority may go.
const EAGER_FACTOR: f64 = 1.6;

/// What a server reports of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Life of the server.
    pub incarnation: Incarnation,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait in it.
    pub queued: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

#[derive(Clone, Copy, Debug)]
struct HeldReport {
    at: Moment,
    others: f64,
}

#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    id: u64,
    started: Moment,
    expected: Duration,
}

/// State of one server.
#[derive(Clone, Debug)]
pub struct ServerState {
    slots: u32,
    open: VecDeque<OpenAttempt>,
    report: Option<HeldReport>,
    incarnation: Incarnation,
    draining: bool,
    limit: AdaptiveLimit,
    circuit: CircuitBreaker,
    rest: ServerBackoff,
    slowness: f64,
    slowness_at: Moment,
    ramp_from: Option<Moment>,
}

impl ServerState {
    /// A server with `slots` slots, nothing known of its load.
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            open: VecDeque::new(),
            report: None,
            incarnation: Incarnation::default(),
            draining: false,
            limit: AdaptiveLimit::new(slots),
            circuit: CircuitBreaker::new(),
            rest: ServerBackoff::default(),
            slowness: 1.0,
            slowness_at: Moment::ZERO,
            ramp_from: None,
        }
    }

    /// Declared slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Its life, as last reported.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether it is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Marks it as leaving or not.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Whether its circuit is closed.
    pub fn is_closed(&self) -> bool {
        self.circuit.is_closed()
    }

    /// Our own requests under way there.
    pub fn own_open(&self) -> usize {
        self.open.len()
    }

    /// Requests there, ours and others'.
    pub fn busy(&self, now: Moment) -> f64 {
        self.open.len() as f64 + self.others(now)
    }

    /// Requests that this VM may have under way there, with `members` entries
    /// in the data centre: what is spare, and at least a fair part.
    pub fn allowance(&self, now: Moment, members: usize) -> f64 {
        let cap = self.limit.get() * self.ramp(now) * HEADROOM;
        let fair = (cap / members.max(1) as f64).floor();
        (cap - self.others(now)).max(fair).max(1.0)
    }

    /// Whether a request may be sent there now; an eager one, which the server
    /// puts before others, may also queue in it.
    pub fn has_room(&self, now: Moment, members: usize, eager: bool) -> bool {
        let factor = if eager { EAGER_FACTOR } else { 1.0 };
        let allowance = (self.allowance(now, members) * factor).round();
        self.is_usable(now) && (self.open.len() as f64) < allowance
    }

    /// Whether it may be used at all.
    pub fn is_usable(&self, now: Moment) -> bool {
        !self.draining && self.circuit.allows(now) && self.rest.allows(now)
    }

    /// Notes that it wants nothing from this VM for `time`.
    pub fn record_backoff(&mut self, now: Moment, time: Duration) {
        self.rest.ask(now, time);
    }

    /// End of the rest that it wants; none if that is over.
    pub fn backoff_end(&self, now: Moment) -> Option<Moment> {
        self.rest.end(now)
    }

    /// Notes that it has taken attempt `id`.
    pub fn note_taken(&mut self, id: u64) {
        self.rest.note_taken(id);
    }

    /// How many times slower than its peers it answers; 1 is as expected.
    pub fn slowness(&self, now: Moment) -> f64 {
        let idle = (now - self.slowness_at).as_secs_f64() / SPEED_FORGET.as_secs_f64();
        let learned = 1.0 + (self.slowness - 1.0) * (-idle).exp();
        learned.max(self.overdue(now)).min(MAX_SPEED)
    }

    /// Expected time to completion of a request that needs `service` there.
    pub fn expected(&self, now: Moment, service: Duration) -> Duration {
        let slots = f64::from(self.slots.max(1));
        let ahead = (self.busy(now) + 1.0 - slots).max(0.0) / slots;
        service.mul_f64(self.slowness(now) * (1.0 + ahead))
    }

    /// Notes that attempt `id` starts.
    pub fn start(&mut self, now: Moment, id: u64, expected: Duration) {
        if self.circuit.allows(now) {
            self.circuit.start(now);
        }
        self.rest.note_sent(id);
        self.open.push_back(OpenAttempt {
            id,
            started: now,
            expected,
        });
    }

    /// Notes that attempt `id` ended, whatever its outcome.
    pub fn end(&mut self, id: u64) {
        self.open.retain(|open| open.id != id);
        self.rest.note_end(id);
    }

    /// Notes a success that took `ratio` times the expected time.
    pub fn succeed(&mut self, now: Moment, ratio: f64) {
        if self.circuit.succeed() {
            self.ramp_from = Some(now);
        }
        let current = self.slowness(now);
        self.slowness = (current + SPEED_GAIN * (ratio - current)).max(1.0);
        self.slowness_at = now;
        self.limit.observe(ratio);
    }

    /// Notes a failure; returns whether it opened the circuit.
    pub fn fail(&mut self, now: Moment) -> bool {
        self.circuit.fail(now)
    }

    /// Notes that it has stopped reporting its load; one that never reported
    /// any is not judged by that.
    pub fn fall_silent(&mut self, now: Moment) {
        if self.incarnation.get() != 0 {
            self.circuit.trip(now);
        }
    }

    /// Notes an end that says nothing about the server.
    pub fn forget(&mut self) {
        self.circuit.forget();
    }

    /// Takes a load report; returns whether the server came back as a new life.
    pub fn report(&mut self, now: Moment, report: &LoadReport) -> bool {
        if report.incarnation < self.incarnation {
            return false;
        }
        let reborn = report.incarnation > self.incarnation && self.incarnation.get() != 0;
        if reborn {
            self.circuit = CircuitBreaker::new();
            self.rest = ServerBackoff::default();
            self.slowness = 1.0;
            self.ramp_from = Some(now);
        }
        self.incarnation = report.incarnation;
        let total = f64::from(report.running) + f64::from(report.queued);
        let others = (total - self.open.len() as f64).max(0.0);
        self.report = Some(HeldReport { at: now, others });
        reborn
    }

    fn others(&self, now: Moment) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let stale = (now - report.at).saturating_sub(REPORT_FRESH);
        report.others * (-stale.as_secs_f64() / REPORT_FADE.as_secs_f64()).exp()
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
