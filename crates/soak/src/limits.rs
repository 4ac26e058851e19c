//! Checks that VMs keep to the rate limits that servers signal.
//!
//! A request counts if its caller sent it after any caller of the same VM had received a
//! response that carried the limit. A suspension or restart of the VM excuses the request,
//! and so does a faulty link to the server, or a stop of the server.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use onyxfall_fakes::ArrivedRequest;

use crate::checks::BrokenPromise;
use crate::signals::{DisturbedPart, InstanceArrivals, SignalChecks};

/// Lengths of the windows in which requests are counted.
const WINDOWS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];
/// Requests allowed in a window in addition to one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time from the first response with a limit in which VMs receive each other's signals.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// A period in which every response of a server carried a limit.
struct LimitedPeriod<'a> {
    /// The largest limit of the period, in requests per second.
    rate: f64,
    arrivals: Vec<&'a ArrivedRequest>,
}

impl SignalChecks {
    /// The limits exceeded at one instance of a server; `vms` are the VMs' addresses.
    pub(crate) fn check_limits(
        &mut self,
        instance: &InstanceArrivals,
        vms: &[IpAddr],
    ) -> Vec<BrokenPromise> {
        let mut broken = Vec::new();
        for limited in limited_periods(&instance.arrivals) {
            let counted = self.counted(&limited, instance.server, vms);
            self.limited += usize::from(!counted.is_empty());
            broken.extend(WINDOWS.into_iter().filter_map(|window| {
                let most = max_in_window(&counted, window);
                let allowed = 1.5 * limited.rate * window.as_secs_f64() + SLACK;
                (most as f64 > allowed).then(|| {
                    let InstanceArrivals { server, instance, .. } = instance;
                    BrokenPromise::SentBeyondLimit(format!(
                        "server {server}, instance {instance}: {most} requests in {window:?}, allowed {allowed}"
                    ))
                })
            }));
        }
        broken
    }

    /// Arrival times of the requests that count against the limit.
    fn counted(&self, limited: &LimitedPeriod<'_>, server: usize, vms: &[IpAddr]) -> Vec<Instant> {
        let Some(first) = limited.arrivals.first() else {
            return Vec::new();
        };
        let mut counted = Vec::new();
        for (vm, address) in vms.iter().enumerate() {
            let own = || limited.arrivals.iter().filter(|a| a.from == *address);
            let read = own().filter_map(|a| self.read_at(a)).min();
            let Some(read) = read else { continue };
            let parts = [
                DisturbedPart::Vm(vm),
                DisturbedPart::Process(vm),
                DisturbedPart::Link(server),
                // What was written before a cut may arrive after it.
                DisturbedPart::Path(vm),
                // A stopped server reads all of it when it goes on.
                DisturbedPart::Server(server),
            ];
            let is_sent_later = |id| self.calls.get(id).is_some_and(|call| call.sent > read);
            let is_disturbed = |until| {
                let mut parts = parts.iter();
                parts.any(|part| self.disturbances.is_disturbed(*part, first.at, until))
            };
            let later = own().filter(|a| a.at >= first.at + PROPAGATION_TIME);
            let later = later.filter(|a| is_sent_later(&a.request_id) && !is_disturbed(a.at));
            counted.extend(later.map(|a| a.at));
        }
        counted.sort_unstable();
        counted
    }
}

/// Periods of consecutive arrivals whose responses carried a limit.
fn limited_periods(arrivals: &[ArrivedRequest]) -> Vec<LimitedPeriod<'_>> {
    let rate_of = |arrived: &ArrivedRequest| arrived.signals.limit?.parse::<f64>().ok();
    let chunks = arrivals.chunk_by(|a, b| rate_of(a).is_some() == rate_of(b).is_some());
    let times = chunks.filter_map(|chunk| {
        let rate = chunk.iter().filter_map(rate_of).reduce(f64::max)?;
        Some(LimitedPeriod {
            rate,
            arrivals: chunk.iter().collect(),
        })
    });
    times.collect()
}

/// The largest number of moments within one window.
fn max_in_window(moments: &[Instant], window: Duration) -> usize {
    let within = |(index, first): (usize, &Instant)| {
        let later = &moments[index..];
        later.iter().take_while(|at| **at < *first + window).count()
    };
    moments
        .iter()
        .enumerate()
        .map(within)
        .max()
        .unwrap_or_default()
}
