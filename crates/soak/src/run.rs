//! One run: faults by plan, callers throughout, checks while it goes on and after.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::{ServerFault, ServerStub, StoreMode};
use rustix::process::Signal;
use ureq::Agent;

use crate::callers::{CallReport, CallerCrowd, call, new_agent};
use crate::checks::{BrokenPromise, PromiseChecks};
use crate::link::LinkMode;
use crate::plan::{Fault, NextLife, PlannedFault, RunSize, draw_plan};
use crate::words::{DisturbedPart, LifeArrivals, WordChecks};
use crate::world::{RequestKind, SoakWorld, version_path};

/// Pause between two steps of the run.
const STEP: Duration = Duration::from_millis(20);
/// Steps between two rounds of probes of the configuration in force.
const PROBE_STEPS: u64 = 10;
/// Time after which operator and servers write again what a restored store has lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(300);
/// Callers.
const CALLERS: usize = 6;
/// Time in which everything must be back after the faults. Bounds of the users'
/// pages are a third of that; the rest is for a busy machine.
const RECOVERY: Duration = Duration::from_secs(25);
/// Time after which a server that leaves must get no more work, by the same rule.
const DRAIN_BOUND: Duration = Duration::from_secs(12);
/// Time in which nothing may arrive then.
const DRAIN_WATCH: Duration = Duration::from_secs(1);

/// What came of a run.
pub(crate) struct RunResult {
    /// Promises that were broken.
    pub(crate) broken: Vec<BrokenPromise>,
    /// Requests by status; 0 stands for no answer.
    pub(crate) summary: String,
    /// The plan, for the report of a run that failed.
    pub(crate) plan: Vec<PlannedFault>,
}

/// Plays the run of a seed.
pub(crate) fn play(program: &Path, seed: u64, size: &RunSize) -> io::Result<RunResult> {
    let plan = draw_plan(seed, size);
    let world = SoakWorld::start(program, seed, size)?;
    let targets: Vec<SocketAddr> = world
        .vms
        .iter()
        .map(|vm| vm.lock().caller_link.address())
        .collect();
    let mut run = SoakRun {
        probe: new_agent(),
        seen: vec![(0, 0); size.vms],
        runs_read: vec![Vec::new(); size.servers],
        checks: PromiseChecks::default(),
        words: WordChecks::default(),
        probes: 0,
        write_again_at: None,
        targets: targets.clone(),
        world: &world,
    };
    run.wait_served("at the start");
    let crowd = CallerCrowd::start(seed, CALLERS, &targets);
    run.play_faults(&plan, &crowd, size)?;
    run.wait_served("after the faults");
    run.wait_in_force();
    run.wait_used();
    run.check_drain();
    for report in crowd.finish() {
        run.take_report(report);
    }
    run.take_runs();
    run.check_words();
    let broken = run.checks.broken();
    let told = run.words.told;
    let limited = run.words.limited;
    let summary = format!(
        "{:?}, {told} words and {limited} limits of servers checked",
        run.checks.statuses
    );
    if !broken.is_empty() {
        eprintln!("logs of the gateways: {}", world.dir().display());
    }
    Ok(RunResult {
        broken,
        summary,
        plan,
    })
}

struct SoakRun<'a> {
    world: &'a SoakWorld,
    targets: Vec<SocketAddr>,
    probe: Agent,
    /// Life and newest version seen in force there, by VM.
    seen: Vec<(u64, u64)>,
    /// Runs already taken, by server and life.
    runs_read: Vec<Vec<usize>>,
    checks: PromiseChecks,
    words: WordChecks,
    probes: u64,
    /// When operator and servers write again what a restored store has lost.
    write_again_at: Option<Duration>,
}

impl SoakRun<'_> {
    fn play_faults(
        &mut self,
        plan: &[PlannedFault],
        crowd: &CallerCrowd,
        size: &RunSize,
    ) -> io::Result<()> {
        let begun = Instant::now();
        let mut next = 0;
        let mut open: Vec<PlannedFault> = Vec::new();
        let mut steps = 0_u64;
        while next < plan.len()
            || !open.is_empty()
            || self.write_again_at.is_some()
            || begun.elapsed() < size.time
        {
            let now = begun.elapsed();
            while let Some(fault) = plan.get(next).filter(|fault| fault.at <= now) {
                self.begin(fault.fault)?;
                if !fault.fault.is_momentary() {
                    open.push(*fault);
                }
                next += 1;
            }
            let (over, still): (Vec<_>, Vec<_>) = open.iter().partition(|fault| fault.until <= now);
            open = still;
            for (index, fault) in over.iter().enumerate() {
                // Another fault of the same kind may still hold it, or end at the same time.
                let mut others = open.iter().chain(&over[index + 1..]);
                if !others.any(|other| is_same_target(other.fault, fault.fault)) {
                    self.end(fault.fault)?;
                    if fault.fault == Fault::Restore {
                        self.write_again_at = Some(now + WRITTEN_AGAIN);
                    }
                }
            }
            if self.write_again_at.is_some_and(|at| now >= at) {
                self.write_again_at = None;
                self.world.write_again();
            }
            self.look_after_vms(&open)?;
            self.take_what_was_seen(crowd);
            steps += 1;
            if steps.is_multiple_of(PROBE_STEPS) {
                self.probe_versions();
            }
            thread::sleep(STEP);
        }
        for vm in 0..size.vms {
            self.world.signal(vm, Signal::CONT)?;
        }
        Ok(())
    }

    fn begin(&mut self, fault: Fault) -> io::Result<()> {
        if let Some(part) = disturbed_part(fault) {
            self.words.disturbances.begin(part);
        }
        self.set(fault)
    }

    fn set(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(vm) => self.world.signal(vm, Signal::KILL),
            Fault::Stop(vm) => self.world.signal(vm, Signal::TERM),
            Fault::Pause(vm) | Fault::Suspend(vm, _) => self.world.signal(vm, Signal::STOP),
            Fault::Reload(vm) => self.world.signal(vm, Signal::HUP),
            Fault::Replace(server) => self.world.replace(server),
            Fault::Rebirth(server) => self.world.restart(server),
            Fault::Leave(server, _) => {
                self.world.leave(server);
                Ok(())
            }
            Fault::Rest(server, rest) => {
                self.world.rest(server, Some(rest));
                Ok(())
            }
            Fault::Limit(server, limit) => {
                self.world.limit(server, Some(limit));
                Ok(())
            }
            Fault::Foreign(server, kind) => {
                self.world.spoil(server, kind);
                Ok(())
            }
            Fault::StoreLink(vm, mode) => {
                self.world.vms[vm].lock().store_link.set_mode(mode);
                Ok(())
            }
            Fault::CallerLink(vm, mode) => {
                self.world.vms[vm].lock().caller_link.set_mode(mode);
                Ok(())
            }
            Fault::ServerLink(server, mode) => {
                self.world.servers[server].lock().link.set_mode(mode);
                Ok(())
            }
            Fault::Store(mode) => {
                self.world.store.set_mode(mode);
                Ok(())
            }
            Fault::ForgetHistory => {
                self.world.store.compact_history();
                Ok(())
            }
            Fault::Restore => {
                self.world.save_snapshot();
                Ok(())
            }
            Fault::Server(server, failing) => {
                self.set_fault(server, failing);
                Ok(())
            }
            Fault::Configure => {
                self.world.configure();
                Ok(())
            }
        }
    }

    fn end(&mut self, fault: Fault) -> io::Result<()> {
        self.lift(fault)?;
        match disturbed_part(fault) {
            // Until it is started again.
            None | Some(DisturbedPart::Process(_)) => {}
            Some(part) => self.words.disturbances.end(part),
        }
        Ok(())
    }

    fn lift(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Pause(vm) => self.world.signal(vm, Signal::CONT),
            Fault::Suspend(vm, seconds) => {
                self.world.move_clock(vm, seconds)?;
                self.world.signal(vm, Signal::CONT)
            }
            Fault::StoreLink(vm, _) => self.set(Fault::StoreLink(vm, LinkMode::Open)),
            Fault::CallerLink(vm, _) => self.set(Fault::CallerLink(vm, LinkMode::Open)),
            Fault::ServerLink(server, _) => self.set(Fault::ServerLink(server, LinkMode::Open)),
            Fault::Store(_) => self.set(Fault::Store(StoreMode::Normal)),
            Fault::Foreign(server, _) => {
                self.world.restore(server);
                Ok(())
            }
            Fault::Server(server, _) => self.set(Fault::Server(server, ServerFault::None)),
            Fault::Leave(server, NextLife::Renamed) => self.world.succeed(server),
            Fault::Leave(server, NextLife::Reborn) => self.world.restart(server),
            Fault::Rest(server, _) => {
                self.world.rest(server, None);
                Ok(())
            }
            Fault::Limit(server, _) => {
                self.world.limit(server, None);
                Ok(())
            }
            Fault::Restore => {
                self.world.store.restore_snapshot();
                Ok(())
            }
            Fault::Kill(_)
            | Fault::Stop(_)
            | Fault::Reload(_)
            | Fault::ForgetHistory
            | Fault::Replace(_)
            | Fault::Rebirth(_)
            | Fault::Configure => Ok(()),
        }
    }

    fn set_fault(&self, server: usize, failing: ServerFault) {
        for life in &self.world.servers[server].lock().lives {
            life.set_fault(failing);
        }
    }

    /// Takes ends of processes, and starts those anew that nobody holds down.
    fn look_after_vms(&mut self, open: &[PlannedFault]) -> io::Result<()> {
        for vm in 0..self.targets.len() {
            let is_held = open.iter().any(|fault| fault.fault == Fault::Kill(vm));
            match self.world.take_end(vm) {
                Ok(true) if !is_held => self.restart_vm(vm)?,
                Ok(_) => {}
                Err(status) => {
                    let broken = BrokenPromise::Exited(format!("vm{vm}: {status}"));
                    self.checks.note(broken);
                    self.words.disturbances.begin(DisturbedPart::Process(vm));
                    self.restart_vm(vm)?;
                }
            }
        }
        Ok(())
    }

    fn restart_vm(&mut self, vm: usize) -> io::Result<()> {
        self.world.start_vm(vm)?;
        self.words.disturbances.end(DisturbedPart::Process(vm));
        Ok(())
    }

    fn take_report(&mut self, report: CallReport) {
        self.words.take_report(&report);
        self.checks.take_report(report);
    }

    /// Compares what servers said of themselves with what reached them afterwards.
    fn check_words(&mut self) {
        let vms: Vec<IpAddr> = (0..self.targets.len())
            .map(SoakWorld::source_address)
            .collect();
        let mut lives = Vec::new();
        for (server, state) in self.world.servers.iter().enumerate() {
            for (life, stub) in state.lock().lives.iter().enumerate() {
                let arrivals = stub.arrivals_from(0);
                lives.push(LifeArrivals {
                    server,
                    life,
                    arrivals,
                });
            }
        }
        for life in &lives {
            self.words.note_arrivals(life);
        }
        for life in &lives {
            let broken = self.words.check(life, &vms);
            let beyond = self.words.check_limits(life, &vms);
            for broken in broken.into_iter().chain(beyond) {
                self.checks.note(broken);
            }
        }
    }

    fn take_what_was_seen(&mut self, crowd: &CallerCrowd) {
        for report in crowd.take_reports() {
            self.take_report(report);
        }
        self.take_runs();
    }

    fn take_runs(&mut self) {
        for (server, read) in self.runs_read.iter_mut().enumerate() {
            let state = self.world.servers[server].lock();
            read.resize(state.lives.len(), 0);
            for (life, read) in state.lives.iter().zip(read) {
                for run in life.runs_from(*read) {
                    *read += 1;
                    self.checks.take_run(&run);
                }
            }
        }
    }

    fn probe(&mut self, vm: usize, path: &str) -> CallReport {
        self.probes += 1;
        let id = format!("probe-{}", self.probes);
        let to = self.targets[vm];
        let report = call(&self.probe, to, path, &id, RequestKind::Repeatable);
        self.words.take_report(&report);
        report
    }

    /// Whether a VM has a route of that version alone in force.
    fn has_version(&mut self, vm: usize, version: u64) -> bool {
        let report = self.probe(vm, &format!("{}x", version_path(version)));
        report
            .status
            .is_some_and(|status| status != 404 && status != 503)
    }

    /// Asks one VM for the newest configuration and for the one before it: in one
    /// life, none may answer to an older one after a newer one.
    fn probe_versions(&mut self) {
        let vm = usize::try_from(self.probes).unwrap_or(0) % self.targets.len();
        let life = self.world.vms[vm].lock().life;
        let newest = *self.world.version.lock();
        if self.seen[vm].0 != life {
            self.seen[vm] = (life, 0);
        }
        let known = self.seen[vm].1;
        if known > 1 && self.has_version(vm, known - 1) {
            let is_same_life = self.world.vms[vm].lock().life == life;
            if is_same_life {
                let broken = BrokenPromise::Reverted(format!("vm{vm} from v{known}"));
                self.checks.note(broken);
            }
        }
        if newest > known && self.has_version(vm, newest) {
            self.seen[vm].1 = newest;
        }
    }

    /// Waits until every VM serves every kind.
    fn wait_served(&mut self, when: &str) {
        for vm in 0..self.targets.len() {
            for kind in RequestKind::ALL {
                let path = format!("{}x", kind.prefix());
                let is_back = self.wait(|run| run.probe(vm, &path).status == Some(200));
                if !is_back {
                    let what = format!("vm{vm} does not serve {kind:?} {when}");
                    self.checks.note(BrokenPromise::NotRecovered(what));
                }
            }
        }
    }

    fn wait_in_force(&mut self) {
        let newest = *self.world.version.lock();
        for vm in 0..self.targets.len() {
            if !self.wait(|run| run.has_version(vm, newest)) {
                let what = format!("vm{vm} does not have v{newest} in force");
                self.checks.note(BrokenPromise::NotRecovered(what));
            }
        }
    }

    /// Waits until every server that has started again gets requests in its present life:
    /// what was known of its former ones must not keep it out.
    fn wait_used(&mut self) {
        let arrived = |run: &Self, server: usize| {
            let state = run.world.servers[server].lock();
            state.lives.last().map_or(0, ServerStub::arrived)
        };
        let servers = self.world.servers.iter().enumerate();
        let reborn: Vec<usize> = servers
            .filter(|(_, server)| server.lock().lives.len() > 1)
            .map(|(server, _)| server)
            .collect();
        for server in reborn {
            let before = arrived(self, server);
            if !self.wait(|run| arrived(run, server) > before) {
                let what = format!("server {server} gets nothing in its last life");
                self.checks.note(BrokenPromise::NotRecovered(what));
            }
        }
    }

    /// Lets the first server leave: after a while, nothing more may reach it.
    fn check_drain(&mut self) {
        self.world.drain(0);
        let until = Instant::now() + DRAIN_BOUND;
        let runs = |run: &Self| {
            let state = run.world.servers[0].lock();
            state.lives.last().map_or(0, |life| life.runs_from(0).len())
        };
        loop {
            let before = runs(self);
            thread::sleep(DRAIN_WATCH);
            let after = runs(self);
            if before == after {
                return;
            }
            if Instant::now() > until {
                let what = format!("{} runs in the last second", after - before);
                self.checks.note(BrokenPromise::SentAfterDrain(what));
                return;
            }
        }
    }

    fn wait(&mut self, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let until = Instant::now() + RECOVERY;
        while !done(self) {
            // A gateway that was told to stop may end only now.
            if Instant::now() > until || self.look_after_vms(&[]).is_err() {
                return false;
            }
            thread::sleep(STEP);
        }
        true
    }
}

/// What a fault disturbs, as far as that excuses.
fn disturbed_part(fault: Fault) -> Option<DisturbedPart> {
    match fault {
        Fault::Pause(vm) | Fault::Suspend(vm, _) => Some(DisturbedPart::Vm(vm)),
        Fault::Kill(vm) | Fault::Stop(vm) => Some(DisturbedPart::Process(vm)),
        Fault::ServerLink(server, _) => Some(DisturbedPart::Link(server)),
        _ => None,
    }
}

/// Whether two faults set the same thing.
fn is_same_target(a: Fault, b: Fault) -> bool {
    match (a, b) {
        (Fault::Pause(a) | Fault::Suspend(a, _), Fault::Pause(b) | Fault::Suspend(b, _))
        | (Fault::StoreLink(a, _), Fault::StoreLink(b, _))
        | (Fault::CallerLink(a, _), Fault::CallerLink(b, _))
        | (Fault::ServerLink(a, _), Fault::ServerLink(b, _))
        | (Fault::Leave(a, _), Fault::Leave(b, _))
        | (Fault::Rest(a, _), Fault::Rest(b, _))
        | (Fault::Limit(a, _), Fault::Limit(b, _))
        | (Fault::Foreign(a, _), Fault::Foreign(b, _))
        | (Fault::Server(a, _), Fault::Server(b, _)) => a == b,
        (Fault::Store(_), Fault::Store(_)) | (Fault::Restore, Fault::Restore) => true,
        _ => false,
    }
}
