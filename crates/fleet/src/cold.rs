//! Sharing a cold server's request rate without coordination.
//!
//! A cold server can take few requests per second from all VMs together. Only the
//! [`SENDERS`] VMs that rank first for the server by rendezvous hashing send to it,
//! each with an equal part of the rate and a burst of one. VMs with different views of
//! the membership may both rank themselves first; the slack of the bound covers one
//! such VM, and a property test covers stale views.

use onyxfall_policy::{Moment, TokenBucket};
use onyxfall_types::{ServerName, VmName, stable_hash};

/// Number of VMs that may send to one cold server.
pub const SENDERS: usize = 2;
/// Number of requests that one VM may send at once.
const BURST: f64 = 1.0;

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
