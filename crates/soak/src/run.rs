//! One run: applies the planned faults while callers send requests, and checks the
//! promises during and after the faults.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_fakes::{
    ArrivedRequest, LinkMode, PathCut, ServerFault, ServerStub, StoreMode, StubTransfer,
};
use rustix::process::Signal;
use ureq::Agent;

use crate::brittle;
use crate::callers::{CallPaths, CallReport, CallerGroup, call, new_agent};
use crate::capacity::CapacityChecks;
use crate::checks::{BrokenPromise, PromiseChecks};
use crate::cuts::CutChecks;
use crate::deployment::{RequestKind, SoakDeployment, has_model_servers, has_plan, version_path};
use crate::failover;
use crate::fault_log::FaultLog;
use crate::partition::{self, PartitionCheck};
use crate::parts;
use crate::plan::{Fault, NextInstance, PlannedFault, RunSize, draw_plan, pace_at};
use crate::processes::{BETWEEN_STOPS, draw_process_stops};
use crate::signals::{DisturbedPart, InstanceArrivals, SignalChecks};

/// Interval between two steps of the run.
const STEP: Duration = Duration::from_millis(20);
/// Steps between two probes of the configuration in force.
const PROBE_STEPS: u64 = 10;
/// Number of concurrent callers of long streams, some of which are under way when servers are stopped.
const LONG_CALLERS: usize = 8;
/// Delay until the operator and the servers rewrite what a restored store has lost.
const REWRITE_DELAY: Duration = Duration::from_millis(300);
/// Number of concurrent callers. With 6, and the plan in half of the VMs, no seed of 1 to 12
/// decided enough requests of both importances to compare them.
const CALLERS: usize = 8;
/// Time in which everything must have recovered after the faults. The documented bounds
/// are a third of it; the rest allows for a busy machine.
const RECOVERY: Duration = Duration::from_secs(25);
/// Time after which a draining server must receive no more requests, with the same
/// allowance.
const DRAIN_BOUND: Duration = Duration::from_secs(12);
/// Time without a request that shows that a drained server receives nothing more.
const DRAIN_WATCH: Duration = Duration::from_secs(1);

/// One in so many seeds checks parts of prompts that crash servers, which takes 20 s.
const PARTS_SEEDS: u64 = 3;

/// Number of concurrent requests with large bodies that a VM receives, three times as many as
/// it may hold, and the interval between reads of its held bytes meanwhile.
const BURST_REQUESTS: usize = 8;
const BURST_READ_PAUSE: Duration = Duration::from_millis(5);

/// Result of a run.
pub(crate) struct RunResult {
    /// Promises that were broken.
    pub(crate) broken: Vec<BrokenPromise>,
    /// Requests by status; 0 stands for no response.
    pub(crate) summary: String,
    /// The plan, printed if the run fails.
    pub(crate) plan: Vec<PlannedFault>,
}

/// Runs the plan of a seed.
pub(crate) fn run_seed(program: &Path, seed: u64, size: &RunSize) -> io::Result<RunResult> {
    let plan = draw_plan(seed, size);
    let deployment = SoakDeployment::start(program, seed, size)?;
    let targets: Vec<SocketAddr> = deployment
        .vms
        .iter()
        .map(|vm| vm.lock().caller_link.address())
        .collect();
    let mut run = SoakRun {
        probe: new_agent(),
        seen: vec![(0, 0); size.vms],
        runs_read: vec![Vec::new(); size.servers],
        checks: PromiseChecks::default(),
        signals: SignalChecks::default(),
        capacity: CapacityChecks::new(has_model_servers(seed)),
        cuts: CutChecks::default(),
        process_arrivals: Vec::new(),
        faults: FaultLog::default(),
        resumed: String::new(),
        parts: String::new(),
        probes: 0,
        rewrite_at: None,
        seed,
        targets: targets.clone(),
        deployment: &deployment,
    };
    run.wait_served("at the start");
    let callers = CallerGroup::start(seed, 0..CALLERS, CallPaths::Usual, &targets);
    let long = CALLERS..CALLERS + LONG_CALLERS;
    let long_callers = CallerGroup::start(seed, long, CallPaths::LongStreams, &targets);
    run.apply_faults(&plan, &callers, size)?;
    for report in long_callers.finish() {
        run.record_report(report);
    }
    run.wait_served("after the faults");
    run.check_burst();
    // Each takes some seconds; one of them is enough for a seed.
    if seed.is_multiple_of(2) {
        run.check_partition(&callers, size)?;
    } else {
        run.check_brittle()?;
    }
    run.check_failover(size)?;
    if seed.is_multiple_of(PARTS_SEEDS) {
        run.check_parts()?;
    }
    run.check_processes(size)?;
    run.wait_in_force();
    run.wait_used();
    run.check_drain();
    for report in callers.finish() {
        run.record_report(report);
    }
    run.record_runs();
    run.check_arrivals();
    run.check_capacity();
    let broken = run.checks.broken();
    let checked = run.signals.checked;
    let limited = run.signals.limited;
    let summary = format!(
        "{:?}, {checked} signals and {limited} limits of servers checked, {} requests while idle, \
         served {}, most of {} reads of held bytes {}, {} runs at stopped servers, {} cut answers of runs, \
         resumed {}, parts: {}",
        run.checks.statuses,
        run.capacity.idle,
        run.capacity.order(),
        run.capacity.held_reads,
        run.capacity.most_held,
        run.cuts.stopped_runs,
        run.cuts.of_runs,
        run.resumed,
        run.parts,
    );
    if !broken.is_empty() {
        eprintln!("logs of the gateways: {}", deployment.dir().display());
        for (count, refusal) in run.checks.refusals() {
            eprintln!("  {count} of {refusal}");
        }
    }
    Ok(RunResult {
        broken,
        summary,
        plan,
    })
}

struct SoakRun<'a> {
    deployment: &'a SoakDeployment,
    targets: Vec<SocketAddr>,
    probe: Agent,
    /// By VM: its incarnation and the newest version seen in force in it.
    seen: Vec<(u64, u64)>,
    /// Number of runs already recorded, by server and instance.
    runs_read: Vec<Vec<usize>>,
    checks: PromiseChecks,
    signals: SignalChecks,
    capacity: CapacityChecks,
    cuts: CutChecks,
    /// What reached servers that ran as processes of their own.
    process_arrivals: Vec<InstanceArrivals>,
    faults: FaultLog,
    /// How many streams of a killed VM were resumed, for the report.
    resumed: String,
    /// What was seen of parts that crash servers, for the report.
    parts: String,
    seed: u64,
    probes: u64,
    /// When the operator and the servers rewrite what a restored store has lost, from the
    /// start of the run.
    rewrite_at: Option<Duration>,
}

impl SoakRun<'_> {
    fn apply_faults(
        &mut self,
        plan: &[PlannedFault],
        callers: &CallerGroup,
        size: &RunSize,
    ) -> io::Result<()> {
        let begun = Instant::now();
        let mut next = 0;
        let mut active: Vec<PlannedFault> = Vec::new();
        let mut steps = 0_u64;
        while next < plan.len()
            || !active.is_empty()
            || self.rewrite_at.is_some()
            || begun.elapsed() < size.time
        {
            let now = begun.elapsed();
            while let Some(fault) = plan.get(next).filter(|fault| fault.at <= now) {
                self.begin(fault.fault)?;
                if !fault.fault.is_momentary() {
                    active.push(*fault);
                }
                next += 1;
            }
            let (ended, still_active): (Vec<_>, Vec<_>) =
                active.iter().partition(|fault| fault.until <= now);
            active = still_active;
            for (index, fault) in ended.iter().enumerate() {
                // Another fault on the same target may still be active, or end in this step.
                let mut others = active.iter().chain(&ended[index + 1..]);
                if !others.any(|other| is_same_target(other.fault, fault.fault)) {
                    self.end(fault.fault)?;
                    if fault.fault == Fault::Restore {
                        self.rewrite_at = Some(now + REWRITE_DELAY);
                    }
                }
            }
            if self.rewrite_at.is_some_and(|at| now >= at) {
                self.rewrite_at = None;
                self.deployment.rewrite_lost();
            }
            self.reap_vms(&active)?;
            self.record_observations(callers);
            for server in 0..size.servers {
                let pace = pace_at(self.seed, server, now);
                self.deployment.set_pace(server, pace);
            }
            self.read_held(usize::try_from(steps).unwrap_or(0) % size.vms);
            steps += 1;
            if steps.is_multiple_of(PROBE_STEPS) {
                self.probe_versions();
            }
            thread::sleep(STEP);
        }
        for vm in 0..size.vms {
            self.deployment.signal(vm, Signal::CONT)?;
        }
        Ok(())
    }

    fn begin(&mut self, fault: Fault) -> io::Result<()> {
        if let Some(part) = disturbed_part(fault) {
            self.signals.disturbances.begin(part);
        }
        self.faults.begin(fault);
        self.set(fault)
    }

    fn set(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Kill(vm) => self.deployment.signal(vm, Signal::KILL),
            Fault::Shutdown(vm) => self.deployment.signal(vm, Signal::TERM),
            Fault::Pause(vm) | Fault::Suspend(vm, _) => self.deployment.signal(vm, Signal::STOP),
            Fault::Reload(vm) => self.deployment.signal(vm, Signal::HUP),
            Fault::Replace(server) => self.deployment.replace(server),
            Fault::Restart(server) => self.deployment.restart(server),
            Fault::SignalDrain(server, _) => {
                self.deployment.signal_drain(server);
                Ok(())
            }
            Fault::Backoff(server, backoff) => {
                self.deployment.set_backoff(server, Some(backoff));
                Ok(())
            }
            Fault::Limit(server, limit) => {
                self.deployment.set_limit(server, Some(limit));
                Ok(())
            }
            Fault::Brittle(server) => {
                self.deployment
                    .set_brittle(server, Some(brittle::REJECTIONS));
                Ok(())
            }
            Fault::MalformedEntry(server, kind) => {
                self.deployment.put_foreign_entry(server, kind);
                Ok(())
            }
            Fault::StoreLink(vm, mode) => {
                self.deployment.vms[vm].lock().store_link.set_mode(mode);
                Ok(())
            }
            Fault::CallerLink(vm, mode) => {
                self.deployment.vms[vm].lock().caller_link.set_mode(mode);
                Ok(())
            }
            Fault::ServerLink(server, mode) => {
                self.deployment.servers[server].lock().link.set_mode(mode);
                Ok(())
            }
            Fault::Paths(vm, cut) => self.deployment.cut_paths(vm, Some(cut)),
            Fault::Store(mode) => {
                self.deployment.store.set_mode(mode);
                Ok(())
            }
            Fault::CompactHistory => {
                self.deployment.store.compact_history();
                Ok(())
            }
            Fault::Restore => {
                self.deployment.save_snapshot();
                Ok(())
            }
            Fault::Server(server, fault) => {
                self.set_fault(server, fault);
                Ok(())
            }
            Fault::Stop(server) => {
                self.deployment.set_stopped(server, true);
                Ok(())
            }
            Fault::Transfer(server, transfer) => {
                for instance in &self.deployment.servers[server].lock().instances {
                    instance.set_transfer(transfer);
                }
                Ok(())
            }
            Fault::Configure => {
                self.deployment.configure();
                Ok(())
            }
        }
    }

    fn end(&mut self, fault: Fault) -> io::Result<()> {
        self.clear_fault(fault)?;
        self.faults.end(|other| is_same_target(other, fault));
        match disturbed_part(fault) {
            // A process stays disturbed until it is started again.
            None | Some(DisturbedPart::Process(_)) => {}
            Some(part) => self.signals.disturbances.end(part),
        }
        Ok(())
    }

    fn clear_fault(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Pause(vm) => self.deployment.signal(vm, Signal::CONT),
            Fault::Suspend(vm, seconds) => {
                self.deployment.move_clock(vm, seconds)?;
                self.deployment.signal(vm, Signal::CONT)
            }
            Fault::StoreLink(vm, _) => self.set(Fault::StoreLink(vm, LinkMode::Open)),
            Fault::CallerLink(vm, _) => self.set(Fault::CallerLink(vm, LinkMode::Open)),
            Fault::ServerLink(server, _) => self.set(Fault::ServerLink(server, LinkMode::Open)),
            Fault::Paths(vm, _) => self.deployment.cut_paths(vm, None),
            Fault::Store(_) => self.set(Fault::Store(StoreMode::Normal)),
            Fault::MalformedEntry(server, _) => {
                self.deployment.rewrite_entry(server);
                Ok(())
            }
            Fault::Server(server, _) => self.set(Fault::Server(server, ServerFault::None)),
            Fault::Stop(server) => {
                self.deployment.set_stopped(server, false);
                Ok(())
            }
            Fault::Transfer(server, _) => {
                self.set(Fault::Transfer(server, StubTransfer::default()))
            }
            Fault::SignalDrain(server, NextInstance::Renamed) => {
                self.deployment.replace_instance(server)
            }
            Fault::SignalDrain(server, NextInstance::Restarted) => self.deployment.restart(server),
            Fault::Backoff(server, _) => {
                self.deployment.set_backoff(server, None);
                Ok(())
            }
            Fault::Limit(server, _) => {
                self.deployment.set_limit(server, None);
                Ok(())
            }
            Fault::Brittle(server) => {
                self.deployment.set_brittle(server, None);
                Ok(())
            }
            Fault::Restore => {
                self.deployment.store.restore_snapshot();
                Ok(())
            }
            Fault::Kill(_)
            | Fault::Shutdown(_)
            | Fault::Reload(_)
            | Fault::CompactHistory
            | Fault::Replace(_)
            | Fault::Restart(_)
            | Fault::Configure => Ok(()),
        }
    }

    fn set_fault(&self, server: usize, fault: ServerFault) {
        for instance in &self.deployment.servers[server].lock().instances {
            instance.set_fault(fault);
        }
    }

    /// Reaps processes that have ended, and restarts those that no kill fault keeps down.
    fn reap_vms(&mut self, active: &[PlannedFault]) -> io::Result<()> {
        for vm in 0..self.targets.len() {
            let is_killed = active.iter().any(|fault| fault.fault == Fault::Kill(vm));
            match self.deployment.reap(vm) {
                Ok(true) if !is_killed => self.restart_vm(vm)?,
                Ok(_) => {}
                Err(status) => {
                    let broken = BrokenPromise::Exited(format!("vm{vm}: {status}"));
                    self.checks.record(broken);
                    self.signals.disturbances.begin(DisturbedPart::Process(vm));
                    self.restart_vm(vm)?;
                }
            }
        }
        Ok(())
    }

    fn restart_vm(&mut self, vm: usize) -> io::Result<()> {
        self.deployment.start_vm(vm)?;
        self.signals.disturbances.end(DisturbedPart::Process(vm));
        Ok(())
    }

    fn record_report(&mut self, report: CallReport) {
        self.signals.record_report(&report);
        if let Some(vm) = self.targets.iter().position(|to| *to == report.to) {
            self.capacity.record_report(&report, vm);
            self.cuts.record_report(&report, vm);
        }
        self.checks.record_report(report);
    }

    fn read_held(&mut self, vm: usize) {
        let state = self.deployment.vms[vm].lock();
        if !has_plan(vm) {
            return;
        }
        let status = state.status;
        drop(state);
        if let Some(broken) = self.capacity.read_held(vm, status) {
            self.checks.record(broken);
        }
    }

    /// Checks that an idle service refused nobody, and that the important requests were
    /// served first.
    fn check_capacity(&mut self) {
        let instances = self.instances().into_iter();
        let arrivals: Vec<ArrivedRequest> =
            instances.flat_map(|instance| instance.arrivals).collect();
        let servers = self.deployment.servers.len();
        let disturbances = &self.signals.disturbances;
        let idle = self
            .capacity
            .check_idle(servers, &arrivals, disturbances, &self.faults);
        let order = self.capacity.check_order();
        for broken in idle.into_iter().chain(order) {
            self.checks.record(broken);
        }
    }

    /// The requests that reached each instance of each server.
    fn instances(&self) -> Vec<InstanceArrivals> {
        let mut instances = self.process_arrivals.clone();
        for (server, state) in self.deployment.servers.iter().enumerate() {
            let state = state.lock();
            for (instance, stub) in state.instances.iter().enumerate() {
                let arrivals = stub.arrivals_from(0);
                instances.push(InstanceArrivals {
                    server,
                    instance,
                    keeps_name: state.restarted.contains(&instance),
                    arrivals,
                });
            }
        }
        instances
    }

    /// Checks that VMs obeyed the signals in the servers' responses, and cut no response short.
    fn check_arrivals(&mut self) {
        let vms: Vec<IpAddr> = (0..self.targets.len())
            .map(SoakDeployment::source_address)
            .collect();
        let instances = self.instances();
        for broken in self.cuts.check(&instances, &vms, &self.faults) {
            self.checks.record(broken);
        }
        for instance in &instances {
            self.signals.record_arrivals(instance);
        }
        for instance in &instances {
            let broken = self.signals.check(instance, &vms);
            let beyond = self.signals.check_limits(instance, &vms);
            for broken in broken.into_iter().chain(beyond) {
                self.checks.record(broken);
            }
        }
    }

    fn record_observations(&mut self, callers: &CallerGroup) {
        for report in callers.drain_reports() {
            self.record_report(report);
        }
        self.record_runs();
    }

    fn record_runs(&mut self) {
        for (server, read) in self.runs_read.iter_mut().enumerate() {
            let state = self.deployment.servers[server].lock();
            read.resize(state.instances.len(), 0);
            for (instance, read) in state.instances.iter().zip(read) {
                for run in instance.runs_from(*read) {
                    *read += 1;
                    self.checks.record_run(&run);
                }
            }
        }
    }

    fn probe(&mut self, vm: usize, path: &str) -> CallReport {
        self.probes += 1;
        let id = format!("probe-{}", self.probes);
        let to = self.targets[vm];
        let report = call(&self.probe, to, path, &id, RequestKind::Repeatable, None);
        self.signals.record_report(&report);
        report
    }

    /// Whether a VM has in force the route that only configuration `version` contains.
    fn has_version(&mut self, vm: usize, version: u64) -> bool {
        let report = self.probe(vm, &format!("{}x", version_path(version)));
        report
            .status
            .is_some_and(|status| status != 404 && status != 503)
    }

    /// Probes one VM for the newest configuration and for the one before the newest seen
    /// there. A process that has served a newer version must never serve an older one.
    fn probe_versions(&mut self) {
        let vm = usize::try_from(self.probes).unwrap_or(0) % self.targets.len();
        let incarnation = self.deployment.vms[vm].lock().incarnation;
        let newest = *self.deployment.version.lock();
        if self.seen[vm].0 != incarnation {
            self.seen[vm] = (incarnation, 0);
        }
        let known = self.seen[vm].1;
        if known > 1 && self.has_version(vm, known - 1) {
            let is_same_process = self.deployment.vms[vm].lock().incarnation == incarnation;
            if is_same_process {
                let broken = BrokenPromise::Reverted(format!("vm{vm} from v{known}"));
                self.checks.record(broken);
            }
        }
        if newest > known && self.has_version(vm, newest) {
            self.seen[vm].1 = newest;
        }
    }

    /// Waits until every VM serves every kind of request.
    fn wait_served(&mut self, when: &str) {
        for vm in 0..self.targets.len() {
            for kind in RequestKind::ALL {
                let path = format!("{}x", kind.prefix());
                let is_back = self.wait(|run| run.probe(vm, &path).status == Some(200));
                if !is_back {
                    let what = format!("vm{vm} does not serve {kind:?} {when}");
                    self.checks.record(BrokenPromise::NotRecovered(what));
                }
            }
        }
    }

    fn wait_in_force(&mut self) {
        let newest = *self.deployment.version.lock();
        for vm in 0..self.targets.len() {
            if !self.wait(|run| run.has_version(vm, newest)) {
                let what = format!("vm{vm} does not have v{newest} in force");
                self.checks.record(BrokenPromise::NotRecovered(what));
            }
        }
    }

    /// Waits until every restarted server receives requests in its present instance: the
    /// state kept about former instances must not exclude it.
    fn wait_used(&mut self) {
        let arrived = |run: &Self, server: usize| {
            let state = run.deployment.servers[server].lock();
            state.instances.last().map_or(0, ServerStub::arrived)
        };
        let servers = self.deployment.servers.iter().enumerate();
        let restarted: Vec<usize> = servers
            .filter(|(_, server)| server.lock().instances.len() > 1)
            .map(|(server, _)| server)
            .collect();
        for server in restarted {
            let before = arrived(self, server);
            if !self.wait(|run| arrived(run, server) > before) {
                let what = format!("server {server} receives no request in its last instance");
                self.checks.record(BrokenPromise::NotRecovered(what));
            }
        }
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
                keeps_name: false,
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

    fn wait(&mut self, mut done: impl FnMut(&mut Self) -> bool) -> bool {
        let until = Instant::now() + RECOVERY;
        while !done(self) {
            // A gateway that was sent a shutdown signal may exit only now.
            if Instant::now() > until || self.reap_vms(&[]).is_err() {
                return false;
            }
            thread::sleep(STEP);
        }
        true
    }
}

/// The part whose disturbance by a fault excuses a VM from obeying a signal.
fn disturbed_part(fault: Fault) -> Option<DisturbedPart> {
    match fault {
        Fault::Pause(vm) | Fault::Suspend(vm, _) => Some(DisturbedPart::Vm(vm)),
        Fault::Paths(vm, _) => Some(DisturbedPart::Path(vm)),
        Fault::Kill(vm) | Fault::Shutdown(vm) => Some(DisturbedPart::Process(vm)),
        Fault::ServerLink(server, _) => Some(DisturbedPart::Link(server)),
        Fault::Stop(server) => Some(DisturbedPart::Server(server)),
        _ => None,
    }
}

/// Whether two faults change the same property of the same target.
fn is_same_target(a: Fault, b: Fault) -> bool {
    match (a, b) {
        (Fault::Pause(a) | Fault::Suspend(a, _), Fault::Pause(b) | Fault::Suspend(b, _))
        | (Fault::StoreLink(a, _), Fault::StoreLink(b, _))
        | (Fault::CallerLink(a, _), Fault::CallerLink(b, _))
        | (Fault::ServerLink(a, _), Fault::ServerLink(b, _))
        | (Fault::Paths(a, _), Fault::Paths(b, _))
        | (Fault::SignalDrain(a, _), Fault::SignalDrain(b, _))
        | (Fault::Backoff(a, _), Fault::Backoff(b, _))
        | (Fault::Limit(a, _), Fault::Limit(b, _))
        | (Fault::Brittle(a), Fault::Brittle(b))
        | (Fault::Stop(a), Fault::Stop(b))
        | (Fault::Transfer(a, _), Fault::Transfer(b, _))
        | (Fault::MalformedEntry(a, _), Fault::MalformedEntry(b, _))
        | (Fault::Server(a, _), Fault::Server(b, _)) => a == b,
        (Fault::Store(_), Fault::Store(_)) | (Fault::Restore, Fault::Restore) => true,
        _ => false,
    }
}
