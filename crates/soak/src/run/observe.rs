//! Collects what callers and servers observe, and probes what is in force at VMs.

use std::net::IpAddr;

use onyxfall_fakes::{ArrivedRequest, ServerStub};

use super::SoakRun;
use crate::callers::{CallReport, CallerGroup, call};
use crate::checks::BrokenPromise;
use crate::deployment::{RequestKind, SoakDeployment, has_plan, version_path};
use crate::repeats::{budget_of, check_repeats, most_repeats};
use crate::signals::InstanceArrivals;

/// Probes of a VM that are repeated if it refuses them.
const REPEATED_PROBES: usize = 5;

impl SoakRun<'_> {
    pub(super) fn record_report(&mut self, report: CallReport) {
        self.signals.record_report(&report);
        if let Some(vm) = self.targets.iter().position(|to| *to == report.to) {
            self.capacity.record_report(&report, vm);
            self.cuts.record_report(&report, vm);
        }
        self.checks.record_report(report);
    }

    pub(super) fn read_held(&mut self, vm: usize) {
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
    pub(super) fn check_capacity(&mut self) {
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
    pub(super) fn instances(&self) -> Vec<InstanceArrivals> {
        let mut instances = self.process_arrivals.clone();
        for (server, state) in self.deployment.servers.iter().enumerate() {
            let state = state.lock();
            for (instance, stub) in state.instances.iter().enumerate() {
                let arrivals = stub.arrivals_from(0);
                instances.push(InstanceArrivals {
                    server,
                    instance,
                    arrivals,
                });
            }
        }
        instances
    }

    /// Checks that VMs obeyed the signals in the servers' responses, and cut no response short.
    pub(super) fn check_arrivals(&mut self) {
        let vms: Vec<IpAddr> = (0..self.targets.len())
            .map(SoakDeployment::source_address)
            .collect();
        let instances = self.instances();
        for broken in self.cuts.check(&instances, &vms, &self.faults) {
            self.checks.record(broken);
        }
        let arrivals = instances.iter().flat_map(|instance| &instance.arrivals);
        let arrivals: Vec<ArrivedRequest> = arrivals.cloned().collect();
        let limits = budget_of(self.seed);
        self.repeats = most_repeats(&self.signals.calls, &arrivals, &limits).unwrap_or_default();
        if let Some(broken) = check_repeats(self.repeats) {
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

    pub(super) fn record_observations(&mut self, callers: &CallerGroup) {
        for report in callers.drain_reports() {
            self.record_report(report);
        }
        self.record_runs();
    }

    pub(super) fn record_runs(&mut self) {
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

    pub(super) fn probe(&mut self, vm: usize, path: &str) -> CallReport {
        self.probes += 1;
        let id = format!("probe-{}", self.probes);
        let to = self.targets[vm];
        let report = call(&self.probe, to, path, &id, RequestKind::Repeatable, None);
        self.signals.record_report(&report);
        report
    }

    /// Whether a VM has in force the route that only configuration `version` contains.
    pub(super) fn has_version(&mut self, vm: usize, version: u64) -> bool {
        let report = self.probe(vm, &format!("{}x", version_path(version)));
        report
            .status
            .is_some_and(|status| status != 404 && status != 503)
    }

    /// Whether a VM rejects the route that only configuration `version` contains as unknown. A
    /// refusal for another reason, such as too many held bytes, tells nothing, and the probe is
    /// repeated.
    pub(super) fn lacks_version(&mut self, vm: usize, version: u64) -> bool {
        let path = format!("{}x", version_path(version));
        let answers = |report: &CallReport| !matches!(report.status, None | Some(503));
        let mut report = self.probe(vm, &path);
        for _ in 0..REPEATED_PROBES {
            if answers(&report) {
                break;
            }
            report = self.probe(vm, &path);
        }
        report.status == Some(404) || !answers(&report)
    }

    /// Probes one VM for the newest configuration and for the one before the newest seen
    /// there. A process that has served a newer version must never serve an older one.
    pub(super) fn probe_versions(&mut self) {
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
    pub(super) fn wait_served(&mut self, when: &str) {
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

    pub(super) fn wait_in_force(&mut self) {
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
    pub(super) fn wait_used(&mut self) {
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
}
