//! Checks that prompt parts which crash servers are stopped, and that requests which share their
//! other parts are served, beside a killed VM, a failing rack and a VM without paths to servers.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use std::{fmt, io};

use onyxfall_fakes::PathCut;
use rustix::process::Signal;

use crate::callers::{CallReport, call_with_parts, new_agent};
use crate::checks::BrokenPromise;
use crate::deployment::{REGIONS, RequestKind, SoakDeployment};

/// Time after the fifth crash in which VMs learn of it. Then at most `MAX_LATE` more requests with
/// the part may be sent to servers by VMs that were not disturbed for as long.
const CONTACT: Duration = Duration::from_secs(5);
const PROVING_CRASHES: usize = 5;
const MAX_LATE: usize = 3;
/// From `2 * CONTACT` after the fifth crash, at least half as many of the sound requests are
/// served as before, compared for this long.
const COMPARED: Duration = Duration::from_secs(3);
const MIN_COMPARED: usize = 20;
/// Pauses of the callers of each VM, and of the one with crashing parts.
const SOUND_PAUSE: Duration = Duration::from_millis(60);
const CRASHING_PAUSE: Duration = Duration::from_millis(200);
const REPLACED_AFTER: Duration = Duration::from_millis(800);
const STEP: Duration = Duration::from_millis(20);
/// When the other faults begin after the first request with a crashing part, and how long a VM is
/// down or cut off.
const KILLED_AT: Duration = Duration::from_millis(700);
const RACK_AT: Duration = Duration::from_millis(1500);
const CUT_AT: Duration = Duration::from_millis(2200);
const DISTURBED: Duration = Duration::from_secs(1);

/// Parts of all prompts of the phase, of some sound ones, and of those that crash servers: one
/// before the response, one after the first event.
const FIRST_PART: u64 = 0xf1;
const SOUND_PARTS: [u64; 2] = [0xb1, 0xb2];
const CRASHING_PARTS: [u64; 2] = [0xdead_0001, 0xdead_0002];

/// What the phase has shown.
pub(crate) struct PartsResult {
    pub(crate) reports: Vec<CallReport>,
    pub(crate) broken: Vec<BrokenPromise>,
    /// Servers that crashed, and late sends, by part.
    crashes: Vec<(usize, usize)>,
    /// Served and sent sound requests, before and later.
    before: (usize, usize),
    later: (usize, usize),
}

impl fmt::Display for PartsResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (before, later) = (self.before, self.later);
        for (crashes, late) in &self.crashes {
            write!(f, "{crashes} servers crashed and {late} late, ")?;
        }
        let (served, sent) = later;
        write!(
            f,
            "{served} of {sent} served, {} of {} before",
            before.0, before.1
        )
    }
}

/// A VM that was disturbed until some time.
struct Disturbance {
    source: IpAddr,
    until: Instant,
}

/// The VMs that faults of the phase disturb.
pub(crate) struct DisturbedVms {
    pub(crate) killed: usize,
    pub(crate) cut: usize,
}

/// Draws the disturbed VMs of a seed.
pub(crate) fn disturbed_vms(seed: u64, vms: usize) -> DisturbedVms {
    let killed = usize::try_from(seed).unwrap_or(0) % vms;
    DisturbedVms {
        killed,
        cut: (killed + 1) % vms,
    }
}

/// Sends requests whose parts crash servers, one part in odd seeds and two at once in even ones.
///
/// # Errors
///
/// A process cannot be signalled or started, or a server cannot be restarted.
pub(crate) fn check_parts(
    deployment: &SoakDeployment,
    seed: u64,
    targets: &[SocketAddr],
) -> io::Result<PartsResult> {
    let is_over = AtomicBool::new(false);
    let reports = Mutex::new(Vec::new());
    let parts = if seed.is_multiple_of(2) {
        &CRASHING_PARTS[..]
    } else {
        &CRASHING_PARTS[usize::try_from(seed / 2 % 2).unwrap_or(0)..][..1]
    };
    let begun = Instant::now();
    let first_crashing = begun + COMPARED;
    let mut crashes: Vec<Vec<Instant>> = vec![Vec::new(); parts.len()];
    let mut disturbed = Vec::new();
    thread::scope(|scope| {
        for (vm, to) in targets.iter().enumerate() {
            let (is_over, reports) = (&is_over, &reports);
            scope.spawn(move || send_sound(vm, *to, is_over, reports));
        }
        for part in parts {
            let (is_over, reports) = (&is_over, &reports);
            scope.spawn(move || {
                thread::sleep(first_crashing.saturating_duration_since(Instant::now()));
                send_crashing(*part, targets, is_over, reports);
            });
        }
        let tended = tend(
            deployment,
            seed,
            parts,
            first_crashing,
            &mut crashes,
            &mut disturbed,
        );
        is_over.store(true, Ordering::Relaxed);
        tended
    })?;
    let reports = reports.into_inner().unwrap_or_default();
    let proved = crashes.iter().filter_map(|times| last_proving(times)).max();
    let compared_from = proved.unwrap_or(first_crashing) + 2 * CONTACT;
    let before = count(&reports, |sent| sent < first_crashing);
    let later = count(&reports, |sent| sent >= compared_from);
    let mut result = PartsResult {
        broken: Vec::new(),
        crashes: Vec::new(),
        before,
        later,
        reports,
    };
    for (part, crashes) in parts.iter().zip(&crashes) {
        let late = late_sends(deployment, *part, crashes, &disturbed);
        result.crashes.push((crashes.len(), late));
        if late > MAX_LATE {
            let what = format!("{part:x}: {late}, {} servers crashed", crashes.len());
            result.broken.push(BrokenPromise::SentCrashingPart(what));
        }
    }
    let has_enough = before.1.min(later.1) >= MIN_COMPARED;
    if has_enough && 2 * later.0 * before.1 < before.0 * later.1 {
        let what = result.to_string();
        result.broken.push(BrokenPromise::UnservedBesidePart(what));
    }
    Ok(result)
}

/// The fifth crash, or the last if there are fewer.
fn last_proving(crashes: &[Instant]) -> Option<Instant> {
    crashes.get(PROVING_CRASHES - 1).or(crashes.last()).copied()
}

/// Served and sent sound requests among those sent at some times.
fn count(reports: &[CallReport], is_counted: impl Fn(Instant) -> bool) -> (usize, usize) {
    let sound = reports
        .iter()
        .filter(|report| report.id.starts_with("sound"));
    let counted: Vec<_> = sound.filter(|report| is_counted(report.sent)).collect();
    let served = counted.iter().filter(|report| report.status == Some(200));
    (served.count(), counted.len())
}

/// Replaces crashed servers and applies the other faults, until the sound requests have been
/// compared.
fn tend(
    deployment: &SoakDeployment,
    seed: u64,
    parts: &[u64],
    first_crashing: Instant,
    crashes: &mut [Vec<Instant>],
    disturbed: &mut Vec<Disturbance>,
) -> io::Result<()> {
    let vms = deployment.vms.len();
    let DisturbedVms { killed, cut } = disturbed_vms(seed, vms);
    let mut due: Vec<(Instant, usize)> = Vec::new();
    let (mut is_killed, mut has_rack_failed, mut is_cut) = (false, false, false);
    loop {
        let now = Instant::now();
        let since = now.saturating_duration_since(first_crashing);
        for server in 0..deployment.servers.len() {
            if deployment.has_crashed(server) && !due.iter().any(|(_, other)| *other == server) {
                let run = parts_of_last(deployment, server);
                for (part, times) in parts.iter().zip(crashes.iter_mut()) {
                    if run.contains(part) {
                        times.push(now);
                    }
                }
                due.push((now + REPLACED_AFTER, server));
            }
        }
        for (_, server) in due.extract_if(.., |(at, _)| *at <= now) {
            if seed.is_multiple_of(3) {
                deployment.restart(server)?;
            } else {
                deployment.replace_instance(server)?;
            }
        }
        // Faults of VMs leave a single one alone.
        if !is_killed && vms > 2 && since >= KILLED_AT {
            is_killed = true;
            deployment.signal(killed, Signal::KILL)?;
        }
        if is_killed && since >= KILLED_AT + DISTURBED && deployment.reap(killed) == Ok(true) {
            deployment.start_vm(killed)?;
            let source = SoakDeployment::source_address(killed);
            disturbed.push(Disturbance { source, until: now });
        }
        if !has_rack_failed && since >= RACK_AT {
            has_rack_failed = true;
            let rack = usize::try_from(seed).unwrap_or(0) % REGIONS;
            for server in (rack..deployment.servers.len()).step_by(REGIONS) {
                if let Some(instance) = deployment.servers[server].lock().instances.last() {
                    instance.crash();
                }
            }
        }
        if !is_cut && vms > 2 && since >= CUT_AT {
            is_cut = true;
            deployment.cut_paths(cut, Some(PathCut::Silent))?;
        }
        let source = SoakDeployment::source_address(cut);
        let is_mended = disturbed.iter().any(|other| other.source == source);
        if is_cut && !is_mended && since >= CUT_AT + DISTURBED {
            deployment.cut_paths(cut, None)?;
            disturbed.push(Disturbance { source, until: now });
        }
        let proved = crashes.iter().filter_map(|times| last_proving(times)).max();
        let end = proved.unwrap_or(first_crashing) + 2 * CONTACT + COMPARED;
        // Servers that go on crashing do not prolong the phase for ever.
        if now >= end && (due.is_empty() || now >= end + 2 * REPLACED_AFTER) {
            return Ok(());
        }
        thread::sleep(STEP);
    }
}

/// Parts of the requests that the present instance of a server has run.
fn parts_of_last(deployment: &SoakDeployment, server: usize) -> BTreeSet<u64> {
    let state = deployment.servers[server].lock();
    let runs = state.instances.last().map(|instance| instance.runs_from(0));
    let parts = runs.into_iter().flatten().flat_map(|run| run.shared_parts);
    parts.collect()
}

/// Number of requests with a part that VMs in touch sent to servers too late.
fn late_sends(
    deployment: &SoakDeployment,
    part: u64,
    crashes: &[Instant],
    disturbed: &[Disturbance],
) -> usize {
    let Some(proved) = crashes.get(PROVING_CRASHES - 1) else {
        return 0;
    };
    let mut late = 0;
    for server in &deployment.servers {
        for instance in &server.lock().instances {
            let runs = instance.runs_from(0).into_iter();
            let runs = runs.filter(|run| run.shared_parts.contains(&part));
            let ids: BTreeSet<String> = runs.map(|run| run.request_id).collect();
            let arrivals = instance.arrivals_from(0).into_iter();
            let is_late = |at: Instant, from: IpAddr| {
                let is_disturbed =
                    |other: &Disturbance| other.source == from && at < other.until + CONTACT;
                at > *proved + CONTACT && !disturbed.iter().any(is_disturbed)
            };
            late += arrivals
                .filter(|arrival| ids.contains(&arrival.request_id))
                .filter(|arrival| is_late(arrival.at, arrival.from))
                .count();
        }
    }
    late
}

fn send_sound(vm: usize, to: SocketAddr, is_over: &AtomicBool, reports: &Mutex<Vec<CallReport>>) {
    let agent = new_agent();
    let mut number = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let sound = SOUND_PARTS[usize::try_from(number % 2).unwrap_or(0)];
        let id = format!("sound{vm}-{number}");
        send(&agent, to, &id, &[FIRST_PART, sound, number], reports);
        thread::sleep(SOUND_PAUSE);
    }
}

/// Sends requests with a crashing part at the VMs in turn, no two alike.
fn send_crashing(
    part: u64,
    targets: &[SocketAddr],
    is_over: &AtomicBool,
    reports: &Mutex<Vec<CallReport>>,
) {
    let agent = new_agent();
    let mut turns = targets.iter().cycle();
    let mut number = 0_u64;
    while !is_over.load(Ordering::Relaxed)
        && let Some(to) = turns.next()
    {
        number += 1;
        let id = format!("crash{part:x}-{number}");
        send(&agent, *to, &id, &[FIRST_PART, part, number], reports);
        thread::sleep(CRASHING_PAUSE);
    }
}

fn send(
    agent: &ureq::Agent,
    to: SocketAddr,
    id: &str,
    parts: &[u64],
    reports: &Mutex<Vec<CallReport>>,
) {
    let kind = RequestKind::ResumableStream;
    let path = format!("{}{id}", kind.prefix());
    let report = call_with_parts(agent, to, &path, id, kind, parts);
    if let Ok(mut reports) = reports.lock() {
        reports.push(report);
    }
}
