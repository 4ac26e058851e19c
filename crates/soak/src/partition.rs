//! Checks that callers of VMs without a path to any server are served by way of other VMs.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use onyxfall_fakes::PathCut;

use crate::callers::CallReport;
use crate::checks::BrokenPromise;
use crate::deployment::{REGIONS, RequestKind, SoakDeployment};

/// Time after the cut from which first tries count.
pub(crate) const CONTACT: Duration = Duration::from_secs(5);
/// Time for which they are counted.
pub(crate) const COUNTED: Duration = Duration::from_secs(2);
/// First tries at VMs without a path that may fail: a number, and one in so many.
const FAILED_TRIES: usize = 10;
const FAILED_SHARE: usize = 50;

/// A cut of some VMs from all servers, drawn from a seed.
pub(crate) struct PartitionCheck {
    vms: BTreeSet<usize>,
    cut: PathCut,
    from: Instant,
    apart: TryCounts,
    others: TryCounts,
}

/// First tries of one side of a partition.
#[derive(Clone, Copy, Debug, Default)]
struct TryCounts {
    sent: usize,
    served: usize,
}

impl TryCounts {
    fn has_too_many_failures(self) -> bool {
        self.sent - self.served > FAILED_TRIES + self.sent / FAILED_SHARE
    }
}

impl PartitionCheck {
    /// Draws a cut of all VMs of the first region, and some of the others, but for those of the last
    /// region.
    pub(crate) fn new(seed: u64, vms: usize) -> Self {
        let kinds = PathCut::ALL;
        let cut = kinds[usize::try_from(seed / 2).unwrap_or(0) % kinds.len()];
        let is_drawn = |vm: usize| (seed >> (vm % 16)) & 1 == 1;
        let is_cut = |vm: &usize| match vm % REGIONS {
            0 => true,
            region => region + 1 < REGIONS && is_drawn(*vm),
        };
        Self {
            vms: (0..vms).filter(is_cut).collect(),
            cut,
            from: Instant::now() + CONTACT,
            apart: TryCounts::default(),
            others: TryCounts::default(),
        }
    }

    /// How a VM is cut from all servers, if it is.
    pub(crate) fn cut_of(&self, vm: usize) -> Option<PathCut> {
        self.vms.contains(&vm).then_some(self.cut)
    }

    /// Cuts the paths.
    pub(crate) fn begin(&mut self, deployment: &SoakDeployment) -> io::Result<()> {
        self.from = Instant::now() + CONTACT;
        for vm in &self.vms {
            deployment.cut_paths(*vm, Some(self.cut))?;
        }
        Ok(())
    }

    /// Counts a first try. Large bodies are left out, since some VMs have little memory for them.
    pub(crate) fn record(&mut self, report: &CallReport, targets: &[SocketAddr]) {
        let has_large_body = matches!(
            report.kind,
            RequestKind::Repeatable | RequestKind::LessImportant
        );
        let vm = targets.iter().position(|to| *to == report.to);
        let Some(vm) = vm.filter(|_| report.sent >= self.from && !has_large_body) else {
            return;
        };
        let counts = if self.vms.contains(&vm) {
            &mut self.apart
        } else {
            &mut self.others
        };
        counts.sent += 1;
        counts.served += usize::from(report.status == Some(200) && report.is_whole);
    }

    /// Restores the paths and compares the first tries.
    pub(crate) fn finish(self, deployment: &SoakDeployment) -> io::Result<Option<BrokenPromise>> {
        for vm in &self.vms {
            deployment.cut_paths(*vm, None)?;
        }
        let (apart, others) = (self.apart, self.others);
        // Compared without division: the share served on one side against that on the other.
        let is_worse = 3 * apart.served * others.sent < 2 * others.served * apart.sent;
        let is_broken =
            (is_worse && apart.has_too_many_failures()) || others.has_too_many_failures();
        Ok(is_broken.then(|| {
            let text = format!(
                "{:?} of VMs {:?}: {apart:?} there, {others:?} at the others",
                self.cut, self.vms
            );
            BrokenPromise::UnservedWithoutPath(text)
        }))
    }
}
