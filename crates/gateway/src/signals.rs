//! Applies and logs the signals that servers send in response headers.

use http::HeaderMap;
use onyxfall_adapter::unknown_signal_headers;
use onyxfall_fleet::{
    BackoffSignal, BrittleSignal, DecisionSwitch, LimitSignal, PaceSignal, ServerSignals,
    SignalChanges,
};
use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId};

use crate::call::CallContext;
use crate::gateway::Gateway;
use crate::report::millis;

/// Most unknown header names that one process logs.
const MAX_LOGGED_HEADERS: usize = 32;

impl Gateway {
    /// Applies the signals in the head of a response, before any of the response is forwarded.
    /// They hold for all further requests.
    pub(crate) fn record_signals(
        &self,
        call: &CallContext,
        server: ServerId,
        signals: ServerSignals,
    ) {
        if signals.backoff == BackoffSignal::None && !signals.is_draining {
            return;
        }
        let now = self.now();
        let changes = self.fleet.borrow_mut().apply_signals(now, server, &signals);
        if signals.backoff == BackoffSignal::Malformed {
            self.metrics.count("onyxfall_malformed_rests_total");
        }
        if changes != SignalChanges::default() {
            self.log_signal_changes(call, server, changes);
        }
    }

    /// Logs signal changes, one line for each.
    fn log_signal_changes(&self, call: &CallContext, server: ServerId, changes: SignalChanges) {
        let counted = [
            (changes.drains, "onyxfall_leavings_told_total"),
            (changes.backs_off, "onyxfall_rests_asked_total"),
        ];
        for (_, name) in counted.iter().filter(|(has_changed, _)| *has_changed) {
            self.metrics.count(name);
        }
        let now = self.now();
        let fleet = self.fleet.borrow();
        let state = fleet.server(server);
        let backoff_end = state.backoff_end(now).unwrap_or(now);
        log::info!(
            request = call.request_id.as_str(),
            server = state.record.name.as_str(),
            born:% = state.record.started_at,
            leaves = changes.drains,
            rests = changes.backs_off,
            rest_ms = millis(backoff_end - now);
            "a server is draining or asks for backoff"
        );
    }

    /// Applies the limit in the head of a response. `sent_at` is when the request was sent, if the
    /// response belongs to that request.
    pub(crate) fn record_limit(
        &self,
        server: ServerId,
        limit: LimitSignal,
        sent_at: Option<Moment>,
    ) {
        let now = self.now();
        if limit == LimitSignal::Malformed {
            self.metrics.count("onyxfall_malformed_limits_total");
        }
        let was_limited = self.is_limited(now, server);
        let mut fleet = self.fleet.borrow_mut();
        fleet.apply_limit(now, server, limit, sent_at);
        drop(fleet);
        self.log_limit_change(now, server, was_limited);
    }

    /// Applies the pace in the head of a response to an own request. A response to another
    /// request may be older than the lifetime of a pace.
    pub(crate) fn record_pace(&self, server: ServerId, pace: PaceSignal) {
        if pace == PaceSignal::None || !self.is_on(DecisionSwitch::ServerPace) {
            return;
        }
        if pace == PaceSignal::Malformed {
            self.metrics.count("onyxfall_malformed_paces_total");
        }
        let is_changed = self.fleet.borrow_mut().apply_pace(self.now(), server, pace);
        if is_changed {
            self.metrics.count("onyxfall_pace_changes_total");
        }
    }

    /// Applies what the head of a response to an own request says of the rejections that the
    /// server bears. `sent_at` is when the request was sent.
    pub(crate) fn record_brittle(&self, server: ServerId, signal: BrittleSignal, sent_at: Moment) {
        if signal == BrittleSignal::Malformed {
            self.metrics.count("onyxfall_malformed_brittle_total");
        }
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let before = fleet.tolerated_rejections(now, server);
        fleet.apply_brittle(now, server, signal, sent_at);
        let tolerated = fleet.tolerated_rejections(now, server);
        if before.is_some() == tolerated.is_some() {
            return;
        }
        self.metrics.count("onyxfall_brittle_changes_total");
        log::info!(
            server = fleet.server(server).record.name.as_str(),
            rejections_per_s = tolerated.map_or(-1.0, RequestRate::per_second);
            "tolerated rejections of a server changed"
        );
    }

    /// Whether a limit for the server is in force on this VM.
    pub(crate) fn is_limited(&self, now: Moment, server: ServerId) -> bool {
        self.fleet.borrow().server(server).limit(now).is_some()
    }

    /// Logs that a limit for a server has started or ended.
    pub(crate) fn log_limit_change(&self, now: Moment, server: ServerId, was_limited: bool) {
        let fleet = self.fleet.borrow();
        let state = fleet.server(server);
        let limit = state.limit(now);
        if limit.is_some() == was_limited {
            return;
        }
        self.metrics.count("onyxfall_limit_changes_total");
        log::info!(
            server = state.record.name.as_str(),
            born:% = state.record.started_at,
            limit_per_s = limit.map_or(-1.0, RequestRate::per_second);
            "limit of a server changed"
        );
    }

    /// Counts signal headers that this version does not support, and logs each name once.
    pub(crate) fn record_unknown_signal_headers(&self, headers: &HeaderMap) {
        for name in unknown_signal_headers(headers) {
            self.metrics.count("onyxfall_unknown_words_total");
            let mut seen = self.unknown_signal_headers.borrow_mut();
            if seen.len() < MAX_LOGGED_HEADERS && seen.insert(name.to_owned()) {
                log::warn!(name; "unknown signal header in a response");
            }
        }
    }
}
