//! Sharing a cold server's request rate without coordination.
//!
//! A cold server can take few requests per second from all VMs together. Only the
//! [`SENDERS`] VMs that rank first for the server by rendezvous hashing send to it,
//! each with an equal part of the rate and a burst of one. VMs with different views of
//! the membership may both rank themselves first; the slack of the bound covers one
//! such VM, and a property test covers stale views. A VM that is still discovering the
//! other VMs of its region is not a sender.

use std::collections::BTreeSet;
use std::time::Duration;

use onyxfall_policy::{Moment, TokenBucket};
use onyxfall_types::{ServerName, VmName, stable_hash};

/// Number of VMs that may send to one cold server.
pub const SENDERS: usize = 2;
/// Number of requests that one VM may send at once.
const BURST: f64 = 1.0;
/// Time without a newly discovered VM after which a young VM relies on its list.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Multiple of the discovery time after which a VM relies on its list even if it still
/// grows. Otherwise cold servers would get nothing while VMs are added one after another.
const MAX_DISCOVERIES: u32 = 2;

/// This VM's share of a cold server's rate.
#[derive(Clone, Debug)]
pub struct ColdShare {
    bucket: TokenBucket,
}

impl ColdShare {
    /// Creates a share of a total of `rate` requests per second.
    pub fn new(now: Moment, rate: f64) -> Self {
        Self {
            bucket: TokenBucket::new(rate / SENDERS as f64, BURST, now),
        }
    }

    /// Consumes one request of the share, if available.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.bucket.take(now, 1.0)
    }

    /// Whether a request is available now.
    pub fn is_available(&mut self, now: Moment) -> bool {
        self.bucket.wait(now, 1.0).is_zero()
    }
}

/// Whether `own` is among the VMs that may send to a cold server. A VM that knows no
/// other is not: VMs that start together would all rank themselves first.
pub fn is_cold_sender(server: &ServerName, own: &VmName, others: &[VmName]) -> bool {
    !others.is_empty() && sender_rank("cold", server, own, others) < SENDERS
}

/// Whether this VM's list of the VMs of its region is likely to lack some of them.
///
/// A VM that knows one other always ranks among the [`SENDERS`]. When 18 VMs of a region
/// started within 0.7 s and each first knew one other, 16 requests arrived at a cold
/// server in one second where 8.4 are allowed (test `cold_restart`).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RegionDiscovery {
    began: Moment,
    grown_at: Option<Moment>,
}

impl RegionDiscovery {
    /// Records that the list has changed from `known` to `current`. Discovery begins
    /// again if more than half of the VMs were dropped: after a long suspension, all VMs
    /// of a region drop each other.
    pub(crate) fn record(&mut self, now: Moment, known: &[VmName], current: &[VmName]) {
        if known == current {
            return;
        }
        let before: BTreeSet<&VmName> = known.iter().collect();
        let kept = current.iter().filter(|vm| before.contains(vm)).count();
        if kept < current.len() {
            self.grown_at = Some(now);
        }
        if kept * 2 < known.len() {
            self.began = now;
        }
    }

    /// Whether VMs may be missing, if all of them are usually discovered within `time`.
    pub(crate) fn is_running(&self, now: Moment, time: Duration) -> bool {
        let age = now - self.began;
        let is_growing = self.grown_at.is_some_and(|at| now - at < QUIET_TIME);
        age < time || (is_growing && age < time * MAX_DISCOVERIES)
    }
}

/// Number of other VMs that rank before `own` for a server that can take few requests,
/// by rendezvous hashing. Each `purpose` has its own ranking.
pub(crate) fn sender_rank(
    purpose: &str,
    server: &ServerName,
    own: &VmName,
    others: &[VmName],
) -> usize {
    let score = |vm: &VmName| stable_hash(&[purpose, server.as_str(), vm.as_str()]);
    let mine = score(own);
    let before = others.iter().filter(|vm| *vm != own && score(vm) > mine);
    before.count()
}
