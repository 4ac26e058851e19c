//! An attempt under way at a server: its bookkeeping ends with its owner.

use std::cell::Cell;
use std::rc::Rc;

use onyxfall_fleet::AttemptResult;
use onyxfall_policy::Moment;
use onyxfall_types::ServerId;

use crate::call::SharedCall;
use crate::gateway::Gateway;
use crate::report::millis;
use crate::suspects::SuspectRun;

/// Books an attempt at a server until it is finished or dropped. A drop without
/// a result (the caller left) says nothing about the server.
pub(crate) struct OpenAttempt {
    gateway: Rc<Gateway>,
    call: SharedCall,
    server: ServerId,
    id: u64,
    started: Moment,
    /// Whether it runs the request from its start: the rest of a stream may end well
    /// before its server crashes under it.
    is_from_start: bool,
    is_finished: bool,
    /// How many times slower than usual its first byte came.
    ratio: Cell<Option<f64>>,
    /// Counts the run where its request was on a server that broke off.
    suspect: Option<SuspectRun>,
}

impl OpenAttempt {
    /// Books a new attempt.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        server: ServerId,
        call: &SharedCall,
        is_from_start: bool,
    ) -> Self {
        let id = gateway.next_attempt();
        let now = gateway.now();
        let mut fleet = gateway.fleet.borrow_mut();
        let state = fleet.server_mut(server);
        if state.is_cold(now) {
            state.cold_share().try_take(now);
        }
        fleet.start_attempt(now, server, id, &call.needs);
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            server,
            id,
            started: now,
            is_from_start,
            is_finished: false,
            ratio: Cell::new(None),
            suspect: SuspectRun::start(gateway, call),
        }
    }

    /// Its server.
    pub(crate) fn server(&self) -> ServerId {
        self.server
    }

    /// When it was booked, which is before anything was sent.
    pub(crate) fn started(&self) -> Moment {
        self.started
    }

    /// Notes that more of the answer has come.
    pub(crate) fn record_liveness(&self) {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.server_mut(self.server).record_liveness(now);
    }

    /// Notes the first byte of the answer.
    pub(crate) fn answer(&self) {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        let ratio = fleet.note_answer(now, self.server, self.id);
        self.ratio
            .set(ratio.filter(|_| fleet.is_warm(now, self.server)));
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
        self.suspect = None;
        match result {
            AttemptResult::Broken => {
                self.tell_lost(now, events);
                self.gateway.note_lost_run(now, &self.call, self.server);
            }
            AttemptResult::Succeeded if self.is_from_start => {
                self.gateway.note_good_run(&self.call);
            }
            _ => {}
        }
        let mut fleet = self.gateway.fleet.borrow_mut();
        let was_trusted = fleet.server(self.server).is_trusted(now);
        if result == AttemptResult::Broken && events.is_some() {
            fleet.note_crash(now, self.server);
        }
        let pace = fleet.end_attempt(now, self.server, self.id, result, events);
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
        drop(fleet);
        let ratio = self.ratio.get();
        let ratio = ratio.map(|ratio| ratio.max(pace.unwrap_or_default()));
        self.gateway
            .record_outcome(&self.call, self.server, result, ratio);
    }
}

impl OpenAttempt {
    /// Logs a run that broke off. The fingerprint shows whether the same request was on
    /// other servers that broke off, whatever ids its callers gave it.
    fn tell_lost(&self, now: Moment, events: Option<u32>) {
        let fleet = self.gateway.fleet.borrow();
        let server = fleet.server(self.server);
        log::info!(
            request = self.call.request_id.as_str(),
            fingerprint:% = self.call.fingerprint(),
            route = self.call.route.as_str(),
            server = server.record.name.as_str(),
            others = server.work().requests.saturating_sub(1),
            events = events.unwrap_or(0),
            ran_ms = millis(now - self.started);
            "run lost with its server"
        );
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.finish(AttemptResult::Unknown);
    }
}
