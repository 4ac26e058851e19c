//! An attempt under way at a server: its bookkeeping ends with its owner.

use std::rc::Rc;

use onyxfall_fleet::{AttemptResult, CallNeeds};
use onyxfall_types::ServerId;

use crate::gateway::Gateway;

/// Books an attempt at a server until it is finished or dropped. A drop without
/// a result (the caller left) says nothing about the server.
pub(crate) struct OpenAttempt {
    gateway: Rc<Gateway>,
    server: ServerId,
    id: u64,
    is_finished: bool,
}

impl OpenAttempt {
    /// Books a new attempt.
    pub(crate) fn start(gateway: &Rc<Gateway>, server: ServerId, needs: &CallNeeds) -> Self {
        let id = gateway.next_attempt();
        let now = gateway.now();
        let mut fleet = gateway.fleet.borrow_mut();
        let state = fleet.server_mut(server);
        if state.is_cold(now) {
            state.cold_share().try_take(now);
        }
        fleet.start_attempt(now, server, id, needs);
        Self {
            gateway: Rc::clone(gateway),
            server,
            id,
            is_finished: false,
        }
    }

    /// Its server.
    pub(crate) fn server(&self) -> ServerId {
        self.server
    }

    /// Notes that more of the answer has come.
    pub(crate) fn note_sign(&self) {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.server_mut(self.server).note_sign(now);
    }

    /// Notes the first byte of the answer.
    pub(crate) fn answer(&self) {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.note_answer(now, self.server, self.id);
    }

    /// Ends the attempt with a result.
    pub(crate) fn finish(&mut self, result: AttemptResult) {
        self.finish_stream(result, None);
    }

    /// Ends the attempt with a result; `events` of its answer have come.
    pub(crate) fn finish_stream(&mut self, result: AttemptResult, events: Option<u32>) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        let was_trusted = fleet.server(self.server).is_trusted(now);
        if result == AttemptResult::Broken && events.is_some() {
            fleet.note_crash(now, self.server);
        }
        fleet.end_attempt(now, self.server, self.id, result, events);
        let state = fleet.server(self.server);
        let is_trusted = state.is_trusted(now);
        if was_trusted != is_trusted {
            log::info!(
                server = state.record.name.as_str(),
                trusted = is_trusted,
                result:? = result,
                slowness = state.slowness(now);
                "server judged anew"
            );
        }
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.finish(AttemptResult::Unknown);
    }
}
