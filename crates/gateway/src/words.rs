//! What servers say of themselves in their answers.

use onyxfall_fleet::{RestWord, ServerWord};
use onyxfall_types::ServerId;

use crate::call::CallContext;
use crate::gateway::Gateway;
use crate::report::millis;

impl Gateway {
    /// Takes what the head of an answer says of the server that gave it.
    pub(crate) fn note_word(&self, call: &CallContext, server: ServerId, word: ServerWord) {
        if word == ServerWord::default() {
            return;
        }
        let fleet = self.fleet.borrow();
        let rest_ms = match word.rest {
            RestWord::For(time) => millis(time),
            RestWord::None | RestWord::Malformed => 0,
        };
        log::info!(
            request = call.request_id.as_str(),
            server = fleet.server(server).record.name.as_str(),
            born:% = fleet.server(server).record.born,
            leaving = word.is_leaving,
            rest_ms;
            "a server says of itself"
        );
    }
}
