//! Backup copies of runs at a second server, and continuation from them.
//!
//! A stream that may run only once continues from its backup when the connection to its
//! server is lost. The continuation counts as the same run. The lost connection is closed
//! first, which also ends the original run if its server is still alive.

use std::net::SocketAddr;
use std::rc::Rc;

use http::HeaderMap;
use onyxfall_adapter::{set_copy_from, set_last_event};
use onyxfall_fleet::{ChoiceReason, RetryPurpose};
use onyxfall_types::ServerId;

use crate::attempt::{AttemptEnd, ServerTarget, UpstreamResponse, try_server};
use crate::call::{ResponseRule, SharedCall};
use crate::gateway::Gateway;
use crate::reach::wait_while_doubted;
use crate::serve::{RESUME_PATIENCE, RESUME_PAUSE};

/// A backup copy of a run. Its memory is accounted for until this value is dropped.
pub(crate) struct RunBackup {
    gateway: Rc<Gateway>,
    /// Server that holds the copy.
    server: ServerId,
    /// Address of that server.
    pub(crate) address: SocketAddr,
    memory: u64,
    /// Address of the server that runs the original.
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
    /// Reserves a backup for a run that is about to start, if it is worth its cost.
    pub(crate) fn reserve_backup(
        self: &Rc<Self>,
        call: &SharedCall,
        target: &ServerTarget,
    ) -> Option<RunBackup> {
        if call.rules.response != ResponseRule::LostWithServer {
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
            "run is backed up"
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

/// Continues a stream after `last_event` from the backup of its run. Returns `None` if the
/// server that holds the backup cannot continue it.
pub(crate) async fn continue_run(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    backup: RunBackup,
    last_event: &str,
) -> Option<Box<UpstreamResponse>> {
    wait_while_doubted(gateway, &call.needs.service).await;
    let wait_end = call.age() + RESUME_PATIENCE;
    let target = loop {
        if let Some(target) = backup_target(gateway, call, &backup) {
            break target;
        }
        // The server that holds the copy may be silent only.
        if call.age() >= wait_end || !gateway.is_suspected(backup.server) {
            return None;
        }
        tokio::time::sleep(RESUME_PAUSE).await;
    };
    if gateway.is_quarantined(call) {
        return None;
    }
    if !gateway.take_retry(call, RetryPurpose::Resumption) {
        return None;
    }
    let mut extra = HeaderMap::new();
    set_last_event(&mut extra, last_event);
    set_copy_from(&mut extra, backup.source, &call.request_id);
    let end = try_server(gateway, call, &target, &extra, Rc::default()).await;
    let cause = match end {
        AttemptEnd::Response(response) if response.status.is_success() => {
            gateway.metrics.count("onyxfall_runs_continued_total");
            log::info!(
                request = call.request_id.as_str(),
                after = last_event,
                target = target.name.as_str();
                "run continued from its backup"
            );
            return Some(response);
        }
        AttemptEnd::Response(_) => "the server returned an error",
        AttemptEnd::NotRun { cause, .. }
        | AttemptEnd::Lost { cause }
        | AttemptEnd::LostWithServer { cause } => cause,
    };
    gateway.metrics.count("onyxfall_runs_not_continued_total");
    log::info!(
        request = call.request_id.as_str(),
        after = last_event,
        target = target.name.as_str(),
        cause;
        "run could not be continued from its backup"
    );
    None
}

fn backup_target(gateway: &Gateway, call: &SharedCall, backup: &RunBackup) -> Option<ServerTarget> {
    let fleet = gateway.fleet.borrow();
    let now = gateway.now();
    let server = fleet.server(backup.server);
    let is_usable = fleet.may_send(now, backup.server)
        && fleet.is_within_limit(now, backup.server)
        && !server.is_cold(now);
    is_usable.then(|| ServerTarget {
        id: backup.server,
        name: server.record.name.to_string(),
        address: backup.address,
        predicted: fleet.predict(now, backup.server, &call.needs),
        reason: ChoiceReason::Backup,
    })
}
