//! Backup copies of runs at a second server, and continuation from them.
//!
//! A stream that may run only once continues from its backup when its server has ended or cannot
//! be reached. The continuation counts as the same run, so that it never begins while the original
//! may go on: most servers end a run with its connection, some do not. The server is asked for its
//! runs before.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use onyxfall_adapter::{
    RunReport, keep_alive_timeout, report_request, set_copy_from, set_last_event,
};
use onyxfall_clock::BootInstant;
use onyxfall_fleet::{ChoiceReason, EndCheck, RetryPurpose};
use onyxfall_streams::{EndStep, RunEndCheck, RunSighting};
use onyxfall_types::ServerId;

use crate::attempt::{AttemptEnd, ServerTarget, UpstreamResponse, try_server};
use crate::call::{ResponseRule, SharedCall};
use crate::connection::{HttpConnection, LOCAL_DIAL_LIMIT};
use crate::gateway::Gateway;
use crate::pool::ConnectionChoice;
use crate::reach::wait_while_doubted;
use crate::serve::{RESUME_PATIENCE, RESUME_PAUSE};

/// Longest wait for the report of a server.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest report: it lists the runs of one server, at some fifty bytes each.
const MAX_REPORT: usize = 256 * 1024;

/// A backup copy of a run. Its memory is accounted for until this value is dropped.
pub(crate) struct RunBackup {
    gateway: Rc<Gateway>,
    /// Server that holds the copy.
    server: ServerId,
    /// Address of that server.
    pub(crate) address: SocketAddr,
    memory: u64,
    /// Server that runs the original, and its address.
    source: ServerId,
    source_address: SocketAddr,
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
            source: target.id,
            source_address: target.address,
        })
    }
}

/// Waits until the original of a run has ended or its server is out of reach; returns whether it
/// is so. `known_for` is the time for which the run was under way when its connection was lost.
async fn wait_for_run_end(
    gateway: &Gateway,
    request_id: &str,
    backup: &RunBackup,
    known_for: Duration,
) -> bool {
    let lost_at = BootInstant::now();
    let mut check = RunEndCheck::new(known_for, RESUME_PATIENCE);
    loop {
        let waited = lost_at.elapsed();
        let sighting = ask_for_run(gateway, request_id, backup).await;
        let step = check.apply(sighting, waited);
        log::info!(
            request = request_id,
            server = gateway.fleet.borrow().server(backup.source).record.name.as_str(),
            sighting:? = sighting,
            step:? = step;
            "server asked for a run whose connection was lost"
        );
        match step {
            EndStep::Continue => return true,
            EndStep::GiveUp => return false,
            EndStep::AskAfter(pause) => tokio::time::sleep(pause).await,
        }
    }
}

/// Asks the server of a run for its runs.
async fn ask_for_run(gateway: &Gateway, request_id: &str, backup: &RunBackup) -> RunSighting {
    gateway.metrics.count("onyxfall_run_questions_total");
    let asked = fetch_report(gateway, backup.source_address);
    match tokio::time::timeout(REPORT_TIMEOUT, asked).await {
        Ok(Some(Ok(report))) if report.lists(request_id) => return RunSighting::Running,
        Ok(Some(Ok(_))) => return RunSighting::Absent,
        Ok(Some(Err(sighting))) => return sighting,
        Ok(None) | Err(_) => {}
    }
    let dialled = gateway.check_end(backup.source).await;
    if gateway.fleet.borrow().is_proved_ended(backup.source) {
        return RunSighting::ServerEnded;
    }
    match dialled {
        EndCheck::Unanswered => RunSighting::Unreached,
        EndCheck::Accepted | EndCheck::Refused => RunSighting::Unanswered,
    }
}

/// Fetches the report of a server, or what another answer shows of its runs. `None` if the
/// connection fails.
async fn fetch_report(
    gateway: &Gateway,
    address: SocketAddr,
) -> Option<Result<RunReport, RunSighting>> {
    let pooled = gateway.pool.claim(address, ConnectionChoice::Recent);
    let mut connection = match pooled {
        Some(connection) => connection,
        None => HttpConnection::open(address, gateway.dial_plan(LOCAL_DIAL_LIMIT))
            .await
            .ok()?,
    };
    let request = report_request(&address.to_string()).map(Full::new);
    let (head, body) = connection.send(request).await.ok()?.into_parts();
    let body = Limited::new(body, MAX_REPORT).collect().await.ok()?;
    gateway
        .pool
        .put(address, connection, keep_alive_timeout(&head.headers));
    Some(match head.status {
        StatusCode::OK => RunReport::read(&body.to_bytes()).map_err(|_| RunSighting::Unreported),
        status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
            Err(RunSighting::Unanswered)
        }
        _ => Err(RunSighting::Unreported),
    })
}

/// Continues a stream after `last_event` from the backup of its run. Returns `None` if the
/// original may go on, or if the server that holds the backup cannot continue it. `known_for` is
/// the time for which the run was under way.
pub(crate) async fn continue_run(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    backup: RunBackup,
    last_event: &str,
    known_for: Duration,
) -> Option<Box<UpstreamResponse>> {
    wait_while_doubted(gateway, &call.needs.service).await;
    if !wait_for_run_end(gateway, &call.request_id, &backup, known_for).await {
        gateway.metrics.count("onyxfall_runs_left_total");
        return None;
    }
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
    set_copy_from(&mut extra, backup.source_address, &call.request_id);
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
