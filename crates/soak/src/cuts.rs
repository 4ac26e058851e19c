//! Checks that no answer to a caller ends before its server has ended it.
//!
//! An answer is cut if its connection closes before its end, or if its VM answers 502 or 504 in place
//! of a server. Silence of a server, of its link or of a paused VM excuses no cut, nor does the entry
//! of a restarted server that arrives late. What excuses it: the
//! server broke the answer off, crashed, was replaced or cut off; the time of the request was over;
//! a VM on its way was killed, had its clock moved, or was near the end of its grace; the caller's
//! connection was reset.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use onyxfall_fakes::{ArrivedRequest, LinkMode, PathCut, RunState};

use crate::callers::CallReport;
use crate::checks::BrokenPromise;
use crate::deployment::{ROUTE_TIMEOUT, RequestKind, STOP_GRACE_S};
use crate::fault_log::FaultLog;
use crate::plan::Fault;
use crate::signals::InstanceArrivals;

/// Time from a shutdown signal after which a VM may cut what its servers still run. It ends 0.8 s
/// before its grace is over, which is less than the sixth of a usual grace that the rule allows.
const CUT_GRACE: Duration = Duration::from_millis(STOP_GRACE_S * 1000 - 800);
/// Time from a shutdown signal in which its process has ended.
const SHUTDOWN_TIME: Duration = Duration::from_secs(STOP_GRACE_S + 1);

/// A request whose answer was cut, as its caller saw it.
struct CutAnswer {
    id: String,
    kind: RequestKind,
    vm: usize,
    sent: Instant,
    ended: Instant,
    /// Status of the response; `None` if no response began.
    status: Option<u16>,
}

/// A run of a request.
#[derive(Clone, Copy)]
struct Run<'a> {
    server: usize,
    vm: Option<usize>,
    arrived: &'a ArrivedRequest,
}

/// The check of cut answers, updated during a run.
#[derive(Default)]
pub(crate) struct CutChecks {
    cut: Vec<CutAnswer>,
    /// Number of cut answers to requests that a server had run, and of runs that were under way while
    /// their server was stopped, for the report.
    pub(crate) of_runs: usize,
    pub(crate) stopped_runs: usize,
}

impl CutChecks {
    /// Records the report of a caller about its request to `vm`.
    pub(crate) fn record_report(&mut self, report: &CallReport, vm: usize) {
        let is_cut = match report.status {
            None => true,
            Some(502 | 504) => !report.is_own,
            Some(_) => !report.is_whole,
        };
        if is_cut {
            self.cut.push(CutAnswer {
                id: report.id.clone(),
                kind: report.kind,
                vm,
                sent: report.sent,
                ended: report.ended,
                status: report.status,
            });
        }
    }

    /// The answers that were cut without an excuse; `vms` are the VMs' addresses.
    pub(crate) fn check(
        &mut self,
        instances: &[InstanceArrivals],
        vms: &[IpAddr],
        faults: &FaultLog,
    ) -> Vec<BrokenPromise> {
        let runs = runs_by_request(instances, vms);
        let is_stopped = |run: &&Run<'_>| {
            let end = run.arrived.done.unwrap_or(run.arrived.at);
            faults
                .between(run.arrived.at, end)
                .any(|fault| fault == Fault::Stop(run.server))
        };
        self.stopped_runs = runs.values().flatten().filter(is_stopped).count();
        let mut broken = Vec::new();
        for answer in &self.cut {
            let Some(runs) = runs.get(answer.id.as_str()) else {
                continue;
            };
            self.of_runs += 1;
            let is_lost =
                |run: &&Run<'_>| !is_superseded(run, runs) && !is_run_excused(run, answer, faults);
            if !is_answer_excused(answer, faults)
                && let Some(lost) = runs.iter().find(is_lost)
            {
                broken.push(BrokenPromise::CutAnswer(describe(
                    answer, lost, runs, faults,
                )));
            }
        }
        broken
    }
}

fn runs_by_request<'a>(
    instances: &'a [InstanceArrivals],
    vms: &[IpAddr],
) -> BTreeMap<&'a str, Vec<Run<'a>>> {
    let mut runs: BTreeMap<&str, Vec<Run<'_>>> = BTreeMap::new();
    for instance in instances {
        let ran = |arrived: &&ArrivedRequest| arrived.run != RunState::NotRun;
        for arrived in instance.arrivals.iter().filter(ran) {
            runs.entry(&arrived.request_id).or_default().push(Run {
                server: instance.server,
                vm: vms.iter().position(|ip| *ip == arrived.from),
                arrived,
            });
        }
    }
    runs
}

/// Whether another run had taken the place of `run` before the answer ended: it began after the end
/// of `run`, or the server of another run, from which the answer came by then, broke it off.
fn is_superseded(run: &Run<'_>, runs: &[Run<'_>]) -> bool {
    let (begun, done) = (run.arrived.at, run.arrived.done);
    runs.iter().any(|other| {
        let other = other.arrived;
        let was_broken_off = other.run == RunState::BrokenOff
            && other.has_sent
            && other.done.is_some_and(|done| done > begun);
        done.is_some_and(|done| other.at > done) || was_broken_off
    })
}

fn is_answer_excused(answer: &CutAnswer, faults: &FaultLog) -> bool {
    let CutAnswer {
        vm, sent, ended, ..
    } = *answer;
    let is_reset = faults
        .between(sent, ended)
        .any(|fault| fault == Fault::CallerLink(vm, LinkMode::Broken));
    ended - sent >= ROUTE_TIMEOUT || is_reset || is_vm_excused(vm, sent, ended, faults)
}

/// Whether a VM on the way of an answer may have cut it.
fn is_vm_excused(vm: usize, sent: Instant, ended: Instant, faults: &FaultLog) -> bool {
    let is_down = faults.between(sent, ended).any(|fault| match fault {
        Fault::Kill(other) | Fault::Suspend(other, _) => other == vm,
        _ => false,
    });
    let signalled = ended
        .checked_sub(SHUTDOWN_TIME)
        .zip(ended.checked_sub(CUT_GRACE));
    let is_grace_over = signalled.is_some_and(|(from, to)| {
        let mut faults = faults.between(from, to);
        faults.any(|fault| fault == Fault::Shutdown(vm))
    });
    is_down || is_grace_over || faults.may_step_clock(vm, sent, ended)
}

/// Whether the end of a run or a fault on its way may have cut the answer.
fn is_run_excused(run: &Run<'_>, answer: &CutAnswer, faults: &FaultLog) -> bool {
    let CutAnswer { sent, ended, .. } = *answer;
    let is_cut_off = faults
        .between(run.arrived.at.min(ended), ended)
        .any(|fault| match fault {
            Fault::ServerLink(server, LinkMode::Broken) => server == run.server,
            Fault::Paths(vm, PathCut::Silent | PathCut::Reset) => Some(vm) == run.vm,
            _ => false,
        });
    let is_vm_excused = run
        .vm
        .is_none_or(|vm| is_vm_excused(vm, sent, ended, faults));
    run.arrived.run == RunState::BrokenOff || is_cut_off || is_vm_excused
}

fn describe(answer: &CutAnswer, lost: &Run<'_>, runs: &[Run<'_>], faults: &FaultLog) -> String {
    let since = |at: Instant| {
        let after = at.saturating_duration_since(answer.sent);
        after.as_millis()
    };
    let runs: Vec<String> = runs
        .iter()
        .map(|run| {
            let arrived = run.arrived;
            let done = arrived.done.map(since);
            format!(
                "server {} from VM {:?} {:?} {} to {done:?} ms",
                run.server,
                run.vm,
                arrived.run,
                since(arrived.at)
            )
        })
        .collect();
    let vms = [Some(answer.vm), lost.vm];
    let faults: Vec<String> = faults
        .between(answer.sent, answer.ended)
        .filter(|fault| is_near(*fault, lost.server, vms))
        .map(|fault| format!("{fault:?}"))
        .collect();
    format!(
        "{} {:?} at vm{}: status {:?}, cut after {} ms; {}; beside {}",
        answer.id,
        answer.kind,
        answer.vm,
        answer.status,
        since(answer.ended),
        runs.join(", "),
        faults.join(", "),
    )
}

/// Whether a fault concerns the server or a VM of a run, or all.
fn is_near(fault: Fault, server: usize, vms: [Option<usize>; 2]) -> bool {
    match fault {
        Fault::Stop(other)
        | Fault::ServerLink(other, _)
        | Fault::Server(other, _)
        | Fault::Transfer(other, _)
        | Fault::Places(other, _)
        | Fault::Replace(other)
        | Fault::Restart(other)
        | Fault::SignalDrain(other, _)
        | Fault::MalformedEntry(other, _) => other == server,
        Fault::Kill(vm)
        | Fault::Shutdown(vm)
        | Fault::Pause(vm)
        | Fault::Suspend(vm, _)
        | Fault::Reload(vm)
        | Fault::CallerLink(vm, _)
        | Fault::Paths(vm, _) => vms.contains(&Some(vm)),
        Fault::Restore | Fault::Configure => true,
        _ => false,
    }
}

#[cfg(test)]
mod tests;
