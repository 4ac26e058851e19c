//! Sharing a cold server's rate without coordination.
//!
//! A cold server bears few requests a second from all VMs together. Only the
//! [`SENDERS`] VMs that rank first for the server by rendezvous hashing send to
//! it, each with an equal part of the rate and a burst of one. VMs that see
//! different members may both think themselves first; the slack of the bound
//! covers one such VM, and a property test covers stale views.

use onyxfall_policy::{Moment, TokenBucket};
use onyxfall_types::{ServerName, VmName, stable_hash};

/// VMs that may send to one cold server.
pub const SENDERS: usize = 2;
/// Requests that one VM may send at once.
const BURST: f64 = 1.0;

/// This VM's part of a cold server's rate.
#[derive(Clone, Debug)]
pub struct ColdShare {
    bucket: TokenBucket,
}

impl ColdShare {
    /// A share of `rate` requests a second.
    pub fn new(now: Moment, rate: f64) -> Self {
        Self {
            bucket: TokenBucket::new(rate / SENDERS as f64, BURST, now),
        }
    }

    /// Takes one request.
    pub fn try_take(&mut self, now: Moment) -> bool {
        self.bucket.take(now, 1.0)
    }

    /// Whether a request could be taken now.
    pub fn has_one(&mut self, now: Moment) -> bool {
        self.bucket.wait(now, 1.0).is_zero()
    }
}

/// Whether `own` is among the VMs that may send to a cold server. One that knows no other
/// is not: VMs that start together would all take themselves for the first.
pub fn is_cold_sender(server: &ServerName, own: &VmName, others: &[VmName]) -> bool {
    !others.is_empty() && sender_rank("cold", server, own, others) < SENDERS
}

/// Number of other VMs that come before `own` in the order in which VMs send to a server
/// that bears little, by rendezvous hashing; each `purpose` has an order of its own.
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
