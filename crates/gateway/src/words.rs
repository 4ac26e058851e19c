//! What servers say of themselves in their answers: noted and logged.

use http::HeaderMap;
use onyxfall_adapter::unknown_signal_headers;
use onyxfall_fleet::{BackoffSignal, LimitSignal, ServerSignals, SignalChanges};
use onyxfall_policy::Moment;
use onyxfall_types::{RequestRate, ServerId};

use crate::call::CallContext;
use crate::gateway::Gateway;
use crate::report::millis;

/// Names of unknown headers that are logged in one life of the process.
const MOST_UNKNOWN_WORDS: usize = 32;

impl Gateway {
    /// Takes what the head of an answer says of the server that gave it. It holds for all
    /// further requests before any of the answer is passed on.
    pub(crate) fn record_signals(&self, call: &CallContext, server: ServerId, word: ServerSignals) {
        if word.rest == BackoffSignal::None && !word.is_leaving {
            return;
        }
        let now = self.now();
        let news = self.fleet.borrow_mut().apply_signals(now, server, &word);
        if word.rest == BackoffSignal::Malformed {
            self.metrics.count("onyxfall_malformed_rests_total");
        }
        if news != SignalChanges::default() {
            self.log_signal_changes(call, server, news);
        }
    }

    /// Logs what this VM believes from now on; one line for each change.
    fn log_signal_changes(&self, call: &CallContext, server: ServerId, news: SignalChanges) {
        let counted = [
            (news.leaves, "onyxfall_leavings_told_total"),
            (news.rests, "onyxfall_rests_asked_total"),
        ];
        for (_, name) in counted.iter().filter(|(is_news, _)| *is_news) {
            self.metrics.count(name);
        }
        let now = self.now();
        let fleet = self.fleet.borrow();
        let state = fleet.server(server);
        let backoff_end = state.backoff_end(now).unwrap_or(now);
        log::info!(
            request = call.request_id.as_str(),
            server = state.record.name.as_str(),
            born:% = state.record.born,
            leaves = news.leaves,
            rests = news.rests,
            rest_ms = millis(backoff_end - now);
            "a server wants no work"
        );
    }

    /// Takes what the head of an answer says of its server's limit; `sent` is when its
    /// request was sent, where the answer is that request's own.
    pub(crate) fn record_limit(&self, server: ServerId, word: LimitSignal, sent: Option<Moment>) {
        let now = self.now();
        if word == LimitSignal::Malformed {
            self.metrics.count("onyxfall_malformed_limits_total");
        }
        let was_limited = self.is_limited(now, server);
        let mut fleet = self.fleet.borrow_mut();
        fleet.apply_limit(now, server, word, sent);
        drop(fleet);
        self.log_limit_change(now, server, was_limited);
    }

    /// Whether a server is in need, as far as this VM knows.
    pub(crate) fn is_limited(&self, now: Moment, server: ServerId) -> bool {
        self.fleet.borrow().server(server).limit(now).is_some()
    }

    /// Logs that a limit of a server has come into force, or has ended.
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
            born:% = state.record.born,
            limit_per_s = limit.map_or(-1.0, RequestRate::per_second);
            "limit of a server changed"
        );
    }

    /// Counts headers by which a server describes itself and that this version does not
    /// know, and logs each name once.
    pub(crate) fn record_unknown_signal_headers(&self, headers: &HeaderMap) {
        for name in unknown_signal_headers(headers) {
            self.metrics.count("onyxfall_unknown_words_total");
            let mut seen = self.unknown_signal_headers.borrow_mut();
            if seen.len() < MOST_UNKNOWN_WORDS && seen.insert(name.to_owned()) {
                log::warn!(name; "servers use a header that is not known");
            }
        }
    }
}
