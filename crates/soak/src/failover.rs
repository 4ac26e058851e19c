//! Checks that callers whose VM is killed resume their streams at other VMs.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::{fmt, io};

use onyxfall_fakes::ServerFault;
use rustix::process::Signal;

use crate::callers::{CallReport, StreamPart, call, new_agent};
use crate::checks::BrokenPromise;
use crate::deployment::{RequestKind, SoakDeployment, VERSIONS};

/// Streams that are sent when the VM is killed.
const STREAMS: usize = 24;
/// Least number of resumed streams that are compared with new ones.
const MIN_RESUMABLE: usize = 12;
/// Servers of a version that must serve for its streams to count.
const MIN_SERVERS: usize = 2;
/// Time from the start of the streams to the kill; each has sent its first event by then, and no
/// server that stalls counts as unresponsive yet.
const LEAD: Duration = Duration::from_millis(250);

/// Streams of a killed VM, and new ones for comparison.
pub(crate) struct FailoverResult {
    pub(crate) reports: Vec<CallReport>,
    /// Streams that callers tried to resume.
    resumable: usize,
    went_on: usize,
    /// New streams that began, of as many.
    began: usize,
}

impl FailoverResult {
    pub(crate) fn broken(&self) -> Option<BrokenPromise> {
        let is_broken = self.resumable >= MIN_RESUMABLE && self.went_on * 2 < self.began;
        is_broken.then(|| BrokenPromise::NotResumed(self.to_string()))
    }
}

impl fmt::Display for FailoverResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            resumable,
            went_on,
            began,
            ..
        } = self;
        write!(
            f,
            "{went_on} of {resumable} streams, {began} new ones began"
        )
    }
}

/// Kills `vm` while it sends streams, resumes them elsewhere and sends as many new ones. All
/// servers are free of faults before and after.
///
/// # Errors
///
/// The process cannot be killed.
pub(crate) fn check_failover(
    deployment: &SoakDeployment,
    vm: usize,
    targets: &[SocketAddr],
) -> io::Result<FailoverResult> {
    set_fault(deployment, ServerFault::Stalls);
    let interrupted = thread::scope(|scope| {
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| {
                let id = format!("failover-{number}");
                scope.spawn(move || send(targets[vm], &id, None))
            })
            .collect();
        thread::sleep(LEAD);
        let killed = deployment.signal(vm, Signal::KILL);
        set_fault(deployment, ServerFault::None);
        let reports = callers.into_iter().filter_map(|caller| caller.join().ok());
        killed.map(|()| reports.collect::<Vec<CallReport>>())
    })?;
    let others: Vec<SocketAddr> = targets
        .iter()
        .copied()
        .filter(|to| *to != targets[vm])
        .collect();
    let parts = interrupted.iter().filter_map(CallReport::part);
    let parts = parts.filter(|part| is_compared(deployment, part));
    let resumed: Vec<CallReport> = parts
        .enumerate()
        .map(|(number, part)| {
            let id = format!("resumed-{number}");
            send(others[number % others.len()], &id, Some(part))
        })
        .collect();
    let fresh: Vec<CallReport> = (0..resumed.len())
        .map(|number| {
            send(
                others[number % others.len()],
                &format!("new-{number}"),
                None,
            )
        })
        .collect();
    let is_served = |report: &&CallReport| report.status == Some(200);
    let (went_on, began) = (
        resumed.iter().filter(is_served).count(),
        fresh.iter().filter(is_served).count(),
    );
    let resumable = resumed.len();
    let reports = interrupted.into_iter().chain(resumed).chain(fresh);
    Ok(FailoverResult {
        reports: reports.collect(),
        resumable,
        went_on,
        began,
    })
}

fn is_compared(deployment: &SoakDeployment, part: &StreamPart) -> bool {
    let is_named = |version: &&&str| part.events.contains(&format!(" of {version}\n"));
    let version = VERSIONS.iter().find(is_named);
    version.is_some_and(|version| deployment.servers_of(version) >= MIN_SERVERS)
}

fn send(to: SocketAddr, id: &str, resumes: Option<StreamPart>) -> CallReport {
    let kind = RequestKind::ResumableStream;
    // Requests with the same content could be suspected of crashing their servers.
    let path = format!("{}{id}", kind.prefix());
    call(&new_agent(), to, &path, id, kind, resumes)
}

fn set_fault(deployment: &SoakDeployment, fault: ServerFault) {
    for server in &deployment.servers {
        for instance in &server.lock().instances {
            instance.set_fault(fault);
        }
    }
}
