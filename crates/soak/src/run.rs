//! One run: applies the planned faults while callers send requests, and checks the
//! promises during and after the faults.

mod inject;
mod observe;
mod phases;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use ureq::Agent;

use self::inject::is_same_target;
pub(crate) use self::phases::Phase;
use crate::callers::{CallPaths, CallerGroup, new_agent};
use crate::capacity::CapacityChecks;
use crate::checks::{BrokenPromise, PromiseChecks};
use crate::cuts::CutChecks;
use crate::deployment::{SoakDeployment, has_model_servers};
use crate::fault_log::FaultLog;
use crate::plan::{Fault, PlannedFault, RunSize, draw_plan, pace_at};
use crate::repeats::RepeatCount;
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
        repeats: RepeatCount::default(),
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
    for phase in Phase::of_seed(seed) {
        run.play(phase, &callers, size)?;
    }
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
         {} repeats in a window of {:.1} allowed, resumed {}, parts: {}",
        run.checks.statuses,
        run.capacity.idle,
        run.capacity.order(),
        run.capacity.held_reads,
        run.capacity.most_held,
        run.cuts.stopped_runs,
        run.cuts.of_runs,
        run.repeats.repeats,
        run.repeats.allowed,
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
    repeats: RepeatCount,
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
