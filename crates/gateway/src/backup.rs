//! Copies of runs at a second server, and going on from them.
//!
//! A stream that may run only once goes on from its copy when its server breaks off.
//! The continuation counts as the same run. The broken connection is closed before,
//! which also ends the first run if its server still lives.

use std::net::SocketAddr;
use std::rc::Rc;

use http::HeaderMap;
use onyxfall_adapter::{set_copy_from, set_last_event};
use onyxfall_fleet::ChoiceReason;
use onyxfall_suspects::SuspectVerdict;
use onyxfall_types::ServerId;

use crate::attempt::{AttemptEnd, ServerTarget, UpstreamResponse, try_server};
use crate::call::{ResponseRule, SharedCall};
use crate::gateway::Gateway;

/// A copy of a run; the memory that it takes is booked while this lives.
pub(crate) struct RunBackup {
    gateway: Rc<Gateway>,
    /// Server that holds it.
    server: ServerId,
    /// Where that server listens.
    pub(crate) address: SocketAddr,
    memory: u64,
    /// Where the run is.
    source: SocketAddr,
}

impl Drop for RunBackup {
    fn drop(&mut self) {
        self.gateway.metrics.count("onyxfall_copies_freed_total");
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.server_mut(self.server).drop_copy(self.memory);
    }
}

impl Gateway {
    /// Books a copy of a run that is about to be sent to a server, if it pays.
    pub(crate) fn start_copy(
        self: &Rc<Self>,
        call: &SharedCall,
        target: &ServerTarget,
    ) -> Option<RunBackup> {
        if call.rules.answer != ResponseRule::LostWithServer {
            return None;
        }
        let copied_gb = self.settings().costs.copied_gb;
        let mut fleet = self.fleet.borrow_mut();
        let decision = fleet.choose_backup(
            self.now(),
            target.id,
            &call.needs,
            &target.predicted,
            copied_gb,
        );
        let server = decision.server?;
        let memory = call.needs.prompt.likely_memory();
        let state = fleet.server_mut(server);
        state.hold_copy(memory);
        let address = state.record.address;
        log::info!(
            request = call.request_id.as_str(),
            source = target.name.as_str(),
            backup = state.record.name.as_str(),
            risk = decision.risk,
            cost = decision.cost;
            "run is copied"
        );
        self.metrics.count("onyxfall_copies_total");
        Some(RunBackup {
            gateway: Rc::clone(self),
            server,
            address,
            memory,
            source: target.address,
        })
    }
}

/// Goes on with a stream after `last_event`, from the copy of its run. None if there is
/// no copy, or the server that holds it is gone too.
pub(crate) async fn continue_run(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    copy: RunBackup,
    last_event: &str,
) -> Option<Box<UpstreamResponse>> {
    let target = copy_target(gateway, call, &copy)?;
    if matches!(gateway.judge(call), SuspectVerdict::Quarantined { .. }) {
        return None;
    }
    if !gateway.take_retry(&call.needs.service) {
        return None;
    }
    let mut extra = HeaderMap::new();
    set_last_event(&mut extra, last_event);
    set_copy_from(&mut extra, copy.source, &call.request_id);
    let end = try_server(gateway, call, &target, &extra).await;
    let cause = match end {
        AttemptEnd::Answer(answer) if answer.status.is_success() => {
            gateway.metrics.count("onyxfall_runs_continued_total");
            log::info!(
                request = call.request_id.as_str(),
                after = last_event,
                target = target.name.as_str();
                "run goes on from its copy"
            );
            return Some(answer);
        }
        AttemptEnd::Answer(_) => "the server failed",
        AttemptEnd::NotRun { cause, .. } | AttemptEnd::Lost { cause } => cause,
    };
    gateway.metrics.count("onyxfall_runs_not_continued_total");
    log::info!(
        request = call.request_id.as_str(),
        after = last_event,
        target = target.name.as_str(),
        cause;
        "run does not go on from its copy"
    );
    None
}

fn copy_target(gateway: &Gateway, call: &SharedCall, copy: &RunBackup) -> Option<ServerTarget> {
    let fleet = gateway.fleet.borrow();
    let now = gateway.now();
    let server = fleet.server(copy.server);
    let is_usable = fleet.may_send(now, copy.server)
        && fleet.is_within_limit(now, copy.server)
        && !server.is_cold(now);
    is_usable.then(|| ServerTarget {
        id: copy.server,
        name: server.record.name.to_string(),
        address: copy.address,
        predicted: fleet.predict(now, copy.server, &call.needs),
        reason: ChoiceReason::Backup,
    })
}
