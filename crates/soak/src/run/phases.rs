//! The phases after the planned faults, each of which checks one promise.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::{CallerCrowd, PathCut, ServerFault, StoreMode};
use rustix::process::Signal;

use super::{CALLERS, LONG_CALLERS, STEP, SoakRun};
use crate::brittle;
use crate::callers::{CallPaths, CallReport, CallerGroup, call, new_agent};
use crate::checks::BrokenPromise;
use crate::crowd::crowd_uploads;
use crate::deployment::{RequestKind, has_plan};
use crate::failover;
use crate::partition::{self, PartitionCheck};
use crate::parts;
use crate::plan::{Fault, NextInstance, RunSize};
use crate::processes::{BETWEEN_STOPS, draw_process_stops};
use crate::repeats::{PRESSURE, draw_pressure, has_narrow_budget};
use crate::signals::{DisturbedPart, InstanceArrivals};
use crate::silence;

/// Time after which a draining server must receive no more requests, with the allowance of
/// [`super::RECOVERY`].
const DRAIN_BOUND: Duration = Duration::from_secs(12);
/// Time without a request that shows that a drained server receives nothing more.
const DRAIN_WATCH: Duration = Duration::from_secs(1);
/// One in so many seeds checks parts of prompts that crash servers, which takes 20 s.
const PARTS_SEEDS: u64 = 3;
/// Number of concurrent requests with large bodies that a VM receives, three times as many as
/// it may hold, and the interval between reads of its held bytes meanwhile.
const BURST_REQUESTS: usize = 8;
const BURST_READ_PAUSE: Duration = Duration::from_millis(5);

/// A phase after the planned faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// A VM receives more large bodies at once than it may hold.
    Burst,
    /// Callers outside the limits keep their connections to a VM open.
    Crowd,
    /// The store is silent for moments near changes.
    Silence,
    /// Some VMs are cut from all servers.
    Partition,
    /// All servers are brittle, and overloaded.
    Brittle,
    /// A VM is killed while it sends streams.
    Failover,
    /// All servers fail while VMs are killed, under a narrow retry budget.
    Repeats,
    /// Parts of prompts crash servers.
    Parts,
    /// Servers run as processes that are stopped and go on.
    Processes,
    /// A server drains.
    Drain,
}

impl Phase {
    /// The phases of a seed, in their order.
    pub(crate) fn of_seed(seed: u64) -> Vec<Self> {
        // Each takes some seconds; one of them is enough for a seed.
        let alternating = if seed.is_multiple_of(2) {
            Self::Partition
        } else {
            Self::Brittle
        };
        let parts = seed.is_multiple_of(PARTS_SEEDS).then_some(Self::Parts);
        let repeats = has_narrow_budget(seed).then_some(Self::Repeats);
        let first = [
            Self::Burst,
            Self::Crowd,
            Self::Silence,
            alternating,
            Self::Failover,
        ]
        .into_iter();
        first
            .chain(repeats)
            .chain(parts)
            .chain([Self::Processes, Self::Drain])
            .collect()
    }
}

impl SoakRun<'_> {
    /// Runs one phase.
    pub(super) fn play(
        &mut self,
        phase: Phase,
        callers: &CallerGroup,
        size: &RunSize,
    ) -> io::Result<()> {
        match phase {
            Phase::Burst => self.check_burst(),
            Phase::Crowd => self.check_crowd(),
            Phase::Silence => self.check_silences(),
            Phase::Partition => return self.check_partition(callers, size),
            Phase::Brittle => return self.check_brittle(),
            Phase::Failover => return self.check_failover(size),
            Phase::Repeats => return self.press_budget(callers, size),
            Phase::Parts => return self.check_parts(),
            Phase::Processes => return self.check_processes(size),
            Phase::Drain => {
                self.wait_in_force();
                self.wait_used();
                self.check_drain();
            }
        }
        Ok(())
    }

    /// Sends a VM with a bound of held bytes more large bodies at once than it may hold, while
    /// servers read slowly. It may refuse some, but must not hold more than its bound.
    fn check_burst(&mut self) {
        let Some(vm) = (0..self.targets.len()).find(|vm| has_plan(*vm)) else {
            return;
        };
        for server in 0..self.deployment.servers.len() {
            self.faults
                .begin(Fault::Server(server, ServerFault::ReadsSlowly));
            self.set_fault(server, ServerFault::ReadsSlowly);
        }
        let to = self.targets[vm];
        let kind = RequestKind::Repeatable;
        let path = format!("{}x", kind.prefix());
        let reports: Vec<CallReport> = thread::scope(|scope| {
            let senders: Vec<_> = (0..BURST_REQUESTS)
                .map(|number| {
                    let (id, path) = (format!("burst-{number}"), &path);
                    scope.spawn(move || call(&new_agent(), to, path, &id, kind, None))
                })
                .collect();
            while senders.iter().any(|sender| !sender.is_finished()) {
                self.read_held(vm);
                thread::sleep(BURST_READ_PAUSE);
            }
            let reports = senders.into_iter().filter_map(|sender| sender.join().ok());
            reports.collect()
        });
        for report in reports {
            self.signals.record_report(&report);
            self.checks.record_report(report);
        }
        for server in 0..self.deployment.servers.len() {
            self.set_fault(server, ServerFault::None);
            self.faults
                .end(|fault| fault == Fault::Server(server, ServerFault::ReadsSlowly));
        }
    }

    /// Lets callers outside the limits send to a VM with a bound of held bytes, and checks that it
    /// keeps to its bound and serves others while their connections are open.
    fn check_crowd(&mut self) {
        let Some(vm) = (0..self.targets.len()).find(|vm| has_plan(*vm)) else {
            return;
        };
        let crowd = CallerCrowd::send(self.targets[vm], crowd_uploads());
        self.read_held(vm);
        self.wait_served("beside callers outside the limits");
        self.read_held(vm);
        drop(crowd);
    }

    /// Silences the store near changes, and checks that every VM acts on the changes soon after.
    fn check_silences(&mut self) {
        for silence in silence::draw_silences(self.seed) {
            self.wait(|run| run.deployment.is_running());
            self.wait_in_force();
            let fault = Fault::Store(StoreMode::Unresponsive);
            self.deployment.configure();
            thread::sleep(silence.after_change);
            self.faults.begin(fault);
            self.deployment.store.set_mode(StoreMode::Unresponsive);
            thread::sleep(silence.length);
            if silence.hides_change {
                self.deployment.configure();
            }
            self.deployment.store.set_mode(StoreMode::Normal);
            self.faults.end(|active| active == fault);
            if !silence.hides_change {
                self.deployment.configure();
            }
            thread::sleep(silence::NOTICE_BOUND);
            let newest = *self.deployment.version.lock();
            for vm in 0..self.targets.len() {
                if self.lacks_version(vm, newest) {
                    let what = format!("vm{vm} lacks v{newest} after {silence:?}");
                    self.checks.record(BrokenPromise::StaleCopy(what));
                }
            }
        }
    }

    /// Cuts some VMs from all servers and checks that their callers are served all the same.
    fn check_partition(&mut self, callers: &CallerGroup, size: &RunSize) -> io::Result<()> {
        // A gateway that was told to stop may serve open connections for seconds.
        if !self.wait(|run| run.deployment.is_running()) {
            let what = "a gateway is not running before a partition".to_owned();
            self.checks.record(BrokenPromise::NotRecovered(what));
        }
        self.record_observations(callers);
        let mut check = PartitionCheck::new(self.seed, size.vms);
        for vm in 0..size.vms {
            // The others may refuse requests, since they serve for those that are cut off.
            let cut = check.cut_of(vm).unwrap_or(PathCut::NewConnections);
            self.faults.begin(Fault::Paths(vm, cut));
        }
        check.begin(self.deployment)?;
        let end = Instant::now() + partition::CONTACT + partition::COUNTED;
        while Instant::now() < end {
            thread::sleep(STEP);
            for report in callers.drain_reports() {
                check.record(&report, &self.targets);
                self.record_report(report);
            }
            self.record_runs();
        }
        if let Some(broken) = check.finish(self.deployment)? {
            self.checks.record(broken);
        }
        self.faults.end(|fault| matches!(fault, Fault::Paths(..)));
        self.wait_served("after a partition");
        Ok(())
    }

    /// Kills a VM that sends streams, and checks that callers resume them at other VMs.
    fn check_failover(&mut self, size: &RunSize) -> io::Result<()> {
        if size.vms == 1 {
            return Ok(());
        }
        self.wait(|run| run.deployment.is_running());
        let vm = usize::try_from(self.seed).unwrap_or(0) % size.vms;
        let servers = self.deployment.servers.len();
        for server in 0..servers {
            self.faults
                .begin(Fault::Server(server, ServerFault::Stalls));
        }
        self.faults.begin(Fault::Kill(vm));
        self.signals.disturbances.begin(DisturbedPart::Process(vm));
        let result = failover::check_failover(self.deployment, vm, &self.targets)?;
        if let Some(broken) = result.broken() {
            self.checks.record(broken);
        }
        self.resumed = result.to_string();
        for report in result.reports {
            self.record_report(report);
        }
        for server in 0..servers {
            self.faults
                .end(|fault| fault == Fault::Server(server, ServerFault::Stalls));
        }
        self.faults.end(|fault| fault == Fault::Kill(vm));
        self.wait_served("after a VM was killed");
        Ok(())
    }

    /// Lets all servers fail while VMs are killed; the check of repeats judges all arrivals.
    fn press_budget(&mut self, callers: &CallerGroup, size: &RunSize) -> io::Result<()> {
        self.wait(|run| run.deployment.is_running());
        let time = PRESSURE;
        self.apply_faults(
            &draw_pressure(self.seed, size),
            callers,
            &RunSize { time, ..*size },
        )?;
        self.wait_served("after all servers failed");
        Ok(())
    }

    /// Sends requests whose parts crash servers, beside other faults, and checks that they are
    /// stopped and others served.
    fn check_parts(&mut self) -> io::Result<()> {
        self.wait(|run| run.deployment.is_running());
        let servers = self.deployment.servers.len();
        let disturbed = parts::disturbed_vms(self.seed, self.targets.len());
        for vm in 0..self.targets.len() {
            self.faults.begin(if vm == disturbed.killed {
                Fault::Kill(vm)
            } else if vm == disturbed.cut {
                Fault::Paths(vm, PathCut::Silent)
            } else {
                // The others may refuse requests, since they serve for these.
                Fault::Pause(vm)
            });
            self.signals.disturbances.begin(DisturbedPart::Process(vm));
        }
        for server in 0..servers {
            self.faults
                .begin(Fault::Server(server, ServerFault::Closes));
        }
        let result = parts::check_parts(self.deployment, self.seed, &self.targets)?;
        self.parts = result.to_string();
        self.restart_crashed()?;
        for broken in result.broken {
            self.checks.record(broken);
        }
        for report in result.reports {
            self.record_report(report);
        }
        for vm in 0..self.targets.len() {
            self.signals.disturbances.end(DisturbedPart::Process(vm));
        }
        self.faults
            .end(|fault| matches!(fault, Fault::Kill(_) | Fault::Paths(..) | Fault::Pause(_)));
        self.faults
            .end(|fault| matches!(fault, Fault::Server(_, ServerFault::Closes)));
        self.wait_served("after servers crashed under parts of prompts");
        Ok(())
    }

    /// Replaces the servers by processes and stops some of them several times while streams are
    /// under way, beside changes of the configuration; the check of cut responses judges it.
    fn check_processes(&mut self, size: &RunSize) -> io::Result<()> {
        self.wait(|run| run.deployment.is_running());
        for server in 0..size.servers {
            self.faults.begin(Fault::Replace(server));
            self.deployment.replace_by_process(server)?;
        }
        // No later reload moves a clock.
        for vm in 0..size.vms {
            self.begin(Fault::Reload(vm))?;
        }
        self.wait_served("with servers as processes");
        let numbers = CALLERS + LONG_CALLERS..CALLERS + 2 * LONG_CALLERS;
        let callers = CallerGroup::start(self.seed, numbers, CallPaths::LongStreams, &self.targets);
        for stop in draw_process_stops(self.seed, size) {
            thread::sleep(BETWEEN_STOPS);
            for server in &stop.servers {
                self.faults.begin(Fault::Stop(*server));
                self.deployment.signal_server(*server, Signal::STOP)?;
            }
            thread::sleep(stop.lasts / 2);
            self.begin(Fault::Configure)?;
            self.begin(Fault::Reload(stop.reloads))?;
            thread::sleep(stop.lasts / 2);
            for server in &stop.servers {
                self.deployment.signal_server(*server, Signal::CONT)?;
            }
            self.faults.end(|fault| matches!(fault, Fault::Stop(_)));
        }
        for report in callers.finish() {
            self.record_report(report);
        }
        for server in 0..size.servers {
            self.faults.begin(Fault::Replace(server));
            let report = self.deployment.end_process(server)?;
            for run in &report.runs {
                self.checks.record_run(run);
            }
            let instance = self.deployment.servers[server].lock().instances.len();
            self.process_arrivals.push(InstanceArrivals {
                server,
                instance,
                arrivals: report.arrivals,
            });
        }
        self.wait_served("after servers as processes");
        Ok(())
    }

    /// Makes all servers brittle and checks that they do not fall over.
    fn check_brittle(&mut self) -> io::Result<()> {
        let servers = self.deployment.servers.len();
        for server in 0..servers {
            self.faults.begin(Fault::Brittle(server));
        }
        let (reports, broken) = brittle::check_brittle(self.deployment, &self.targets);
        for report in reports {
            self.signals.record_report(&report);
            self.checks.record_report(report);
        }
        if let Some(broken) = broken {
            self.checks.record(broken);
        }
        self.restart_crashed()?;
        self.faults.end(|fault| matches!(fault, Fault::Brittle(_)));
        self.wait_served("after servers were brittle");
        Ok(())
    }

    fn restart_crashed(&self) -> io::Result<()> {
        for server in 0..self.deployment.servers.len() {
            if self.deployment.has_crashed(server) {
                self.deployment.restart(server)?;
            }
        }
        Ok(())
    }

    /// Drains the first server; after `DRAIN_BOUND`, no request may reach it.
    fn check_drain(&mut self) {
        self.faults
            .begin(Fault::SignalDrain(0, NextInstance::Renamed));
        self.deployment.drain(0);
        let until = Instant::now() + DRAIN_BOUND;
        let runs = |run: &Self| {
            let state = run.deployment.servers[0].lock();
            state
                .instances
                .last()
                .map_or(0, |instance| instance.runs_from(0).len())
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
                self.checks.record(BrokenPromise::SentAfterDrain(what));
                return;
            }
        }
    }
}
