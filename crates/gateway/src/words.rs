//! What servers say of themselves in their answers: noted and logged.

use onyxfall_fleet::{RestWord, ServerWord, WordNews};
use onyxfall_types::ServerId;

use crate::call::CallContext;
use crate::gateway::Gateway;
use crate::report::millis;

impl Gateway {
    /// Takes what the head of an answer says of the server that gave it. It holds for all
    /// further requests before any of the answer is passed on.
    pub(crate) fn note_word(&self, call: &CallContext, server: ServerId, word: ServerWord) {
        if word == ServerWord::default() {
            return;
        }
        let now = self.now();
        let news = self.fleet.borrow_mut().take_word(now, server, &word);
        if word.rest == RestWord::Malformed {
            self.metrics.count("onyxfall_malformed_rests_total");
        }
        if news != WordNews::default() {
            self.tell_word(call, server, news);
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
}
