//! What servers say of themselves in their answers: noted and logged.

use http::HeaderMap;
use onyxfall_adapter::unknown_words;
use onyxfall_fleet::{LimitWord, RestWord, ServerWord, WordNews};
use onyxfall_types::{RequestRate, ServerId};

use crate::call::CallContext;
use crate::gateway::Gateway;
use crate::report::millis;

/// Names of unknown headers that are logged in one life of the process.
const MOST_UNKNOWN_WORDS: usize = 32;

impl Gateway {
    /// Takes what the head of an answer says of the server that gave it. It holds for all
    /// further requests before any of the answer is passed on.
    pub(crate) fn note_word(&self, call: &CallContext, server: ServerId, word: ServerWord) {
        let now = self.now();
        let news = self.fleet.borrow_mut().take_word(now, server, &word);
        if word.rest == RestWord::Malformed {
            self.metrics.count("onyxfall_malformed_rests_total");
        }
        if word.limit == LimitWord::Malformed {
            self.metrics.count("onyxfall_malformed_limits_total");
        }
        if news.leaves || news.rests {
            self.tell_word(call, server, news);
        }
        if news.limit_changes {
            self.tell_limit(call, server);
        }
    }

    /// Logs what this VM believes from now on; one line for each change.
    fn tell_word(&self, call: &CallContext, server: ServerId, news: WordNews) {
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
        let rest_end = state.rest_end(now).unwrap_or(now);
        log::info!(
            request = call.request_id.as_str(),
            server = state.record.name.as_str(),
            born:% = state.record.born,
            leaves = news.leaves,
            rests = news.rests,
            rest_ms = millis(rest_end - now);
            "a server wants no work"
        );
    }

    /// Logs that a server has begun, or has ceased, to name a limit.
    fn tell_limit(&self, call: &CallContext, server: ServerId) {
        self.metrics.count("onyxfall_limit_changes_total");
        let fleet = self.fleet.borrow();
        let state = fleet.server(server);
        let limit = state.named_limit();
        log::info!(
            request = call.request_id.as_str(),
            server = state.record.name.as_str(),
            born:% = state.record.born,
            limit_per_s = limit.map_or(-1.0, RequestRate::per_second);
            "limit of a server changed"
        );
    }

    /// Counts headers by which a server describes itself and that this version does not
    /// know, and logs each name once.
    pub(crate) fn note_unknown_words(&self, headers: &HeaderMap) {
        for name in unknown_words(headers) {
            self.metrics.count("onyxfall_unknown_words_total");
            let mut seen = self.unknown_words.borrow_mut();
            if seen.len() < MOST_UNKNOWN_WORDS && seen.insert(name.to_owned()) {
                log::warn!(name; "servers use a header that is not known");
            }
        }
    }
}
