//! Accounting of an attempt in progress at a server; it ends when its owner is dropped.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use onyxfall_fleet::{AttemptResult, LossEvidence, LossMoment};
use onyxfall_policy::Moment;
use onyxfall_types::ServerId;

use crate::call::SharedCall;
use crate::gateway::Gateway;
use crate::reach::LostRun;
use crate::report::millis;
use crate::suspects::SuspectRun;

/// Accounts for an attempt at a server until it is finished or dropped. A drop without a
/// result (the caller disconnected) counts neither for nor against the server, unless another run
/// has overtaken the attempt.
pub(crate) struct OpenAttempt {
    gateway: Rc<Gateway>,
    call: SharedCall,
    server: ServerId,
    id: u64,
    started: Moment,
    /// Whether the attempt runs the request from its start. The rest of a resumed stream may
    /// complete before the server crashes under it.
    is_from_start: bool,
    is_finished: bool,
    /// Result of the attempt if it is dropped before its end.
    on_drop: Rc<Cell<AttemptResult>>,
    /// Slowdown of the first byte against the usual time.
    ratio: Cell<Option<f64>>,
    /// When the first event of the answer was received.
    written_since: Cell<Option<Moment>>,
    /// Counts the run if its request has been lost with a server before.
    suspect: Option<SuspectRun>,
}

impl OpenAttempt {
    /// Records the start of an attempt.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        server: ServerId,
        call: &SharedCall,
        is_from_start: bool,
        on_drop: Rc<Cell<AttemptResult>>,
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
            on_drop,
            ratio: Cell::new(None),
            written_since: Cell::new(None),
            suspect: SuspectRun::start(gateway, call),
        }
    }

    /// The server that runs the attempt.
    pub(crate) fn server(&self) -> ServerId {
        self.server
    }

    /// When the attempt was recorded, which is before anything was sent.
    pub(crate) fn started(&self) -> Moment {
        self.started
    }

    /// Records that more of the response has been received.
    pub(crate) fn record_liveness(&self) {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.server_mut(self.server).record_liveness(now);
    }

    /// Records the first byte of the response.
    pub(crate) fn record_first_byte(&self) {
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet.borrow_mut();
        let ratio = fleet.record_response(now, self.server, self.id);
        self.ratio
            .set(ratio.filter(|_| fleet.is_warm(now, self.server)));
    }

    /// Records that the server has written a part of the answer. Returns when it wrote the first.
    pub(crate) fn record_written(&self) -> Moment {
        if let Some(since) = self.written_since.get() {
            return since;
        }
        let now = self.gateway.now();
        self.written_since.set(Some(now));
        if self.is_from_start {
            self.gateway
                .record_written_run(now, &self.call, self.server);
        }
        now
    }

    /// Ends the attempt with a result.
    pub(crate) fn finish(&mut self, result: AttemptResult) {
        self.finish_stream(result, None);
    }

    /// Ends the attempt with a result after `events` events of a stream.
    pub(crate) fn finish_stream(&mut self, result: AttemptResult, events: Option<u32>) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        let now = self.gateway.now();
        self.suspect = None;
        match result {
            AttemptResult::Broken | AttemptResult::Overtaken | AttemptResult::TimedOut => {
                self.log_lost_run(now, result, events);
            }
            AttemptResult::Succeeded if self.is_from_start => {
                let started = self.record_written();
                self.gateway
                    .record_completed_run(&self.call, started, self.server);
            }
            _ => {}
        }
        let mut fleet = self.gateway.fleet.borrow_mut();
        let was_trusted = fleet.server(self.server).is_trusted(now);
        let interval_ratio = fleet.end_attempt(now, self.server, self.id, result, events);
        let state = fleet.server(self.server);
        let is_trusted = state.is_trusted(now);
        if was_trusted != is_trusted {
            log::info!(
                server = state.record.name.as_str(),
                trusted = is_trusted,
                result:? = result,
                slowness = state.slowness(now);
                "trust in a server changed"
            );
        }
        drop(fleet);
        if matches!(
            result,
            AttemptResult::Broken | AttemptResult::Overtaken | AttemptResult::TimedOut
        ) {
            self.record_lost_run(now, result, events);
        }
        let ratio = self.ratio.get();
        let ratio = ratio.map(|ratio| ratio.max(interval_ratio.unwrap_or_default()));
        self.gateway
            .record_outcome(&self.call, self.server, result, ratio);
    }
}

impl OpenAttempt {
    /// Counts a run whose connection was lost as evidence of a crash, unless the path to its
    /// server was lost, or its server is only suspected and goes on.
    fn record_lost_run(&self, now: Moment, result: AttemptResult, events: Option<u32>) {
        self.gateway.refresh_paths(now);
        let evidence = {
            let fleet = self.gateway.fleet.borrow();
            fleet.loss_evidence(&self.call.needs.service, LossMoment::AtOnce)
        };
        if evidence == LossEvidence::None {
            return;
        }
        let run = LostRun {
            at: now,
            call: Rc::clone(&self.call),
            server: self.server,
            is_suspicion: result != AttemptResult::Broken,
            had_begun: events.is_some(),
            written: self
                .written_since
                .get()
                .map_or(Duration::ZERO, |since| now - since),
        };
        self.gateway.lost_runs.borrow_mut().push(run);
        self.gateway.settle_lost_runs();
    }

    /// Logs a run whose connection was lost. The fingerprint shows whether the same request was
    /// lost with other servers, whatever ids its callers gave it, and the parts what different
    /// requests had in common.
    fn log_lost_run(&self, now: Moment, result: AttemptResult, events: Option<u32>) {
        let fleet = self.gateway.fleet.borrow();
        let server = fleet.server(self.server);
        log::info!(
            request = self.call.request_id.as_str(),
            fingerprint:% = self.call.keys().request,
            route = self.call.route.as_str(),
            server = server.record.name.as_str(),
            result:? = result,
            suspected = fleet.is_suspected(now, self.server),
            others = server.work().requests.saturating_sub(1),
            parts:% = self.call.needs.prompt.shared_parts_text(),
            had_begun = events.is_some(),
            events = events.unwrap_or(0),
            ran_ms = millis(now - self.started);
            "run lost with its server"
        );
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.finish(self.on_drop.get());
    }
}
