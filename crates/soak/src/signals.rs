//! Checks that VMs obey the drain and backoff signals in servers' responses.
//!
//! A VM that has forwarded a server's response, or rejects a request with 503, has read the
//! heads of the responses before it; one that ends a request at its deadline may not have.
//! So if a caller sends a request after any caller has received a response by which a
//! server signalled to a VM that it is draining or asks for backoff, that request must not
//! reach the server from that VM. There is no grace period: requests that were in flight
//! before were also sent before. A suspension or restart of the VM excuses it, and so does
//! a faulty link while the response is in flight.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::{Duration, Instant};

use onyxfall_fakes::ArrivedRequest;

use crate::callers::CallReport;
use crate::checks::BrokenPromise;

/// Status with which a VM rejects a request.
const REJECTED_STATUS: u16 = 503;

/// A part whose disturbance excuses a VM from obeying a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DisturbedPart {
    /// A VM, which is suspended.
    Vm(usize),
    /// The process of a VM, which was sent a shutdown signal or has exited.
    Process(usize),
    /// The link to a server, which is faulty.
    Link(usize),
    /// The paths of a VM to all servers, which are cut.
    Path(usize),
    /// A server, whose process is stopped.
    Server(usize),
}

/// Times at which parts were disturbed.
#[derive(Default)]
pub(crate) struct DisturbanceLog {
    open: BTreeMap<DisturbedPart, Instant>,
    ended: Vec<(DisturbedPart, Instant, Instant)>,
}

impl DisturbanceLog {
    /// Records the start of a disturbance; one that is already active continues.
    pub(crate) fn begin(&mut self, part: DisturbedPart) {
        self.open.entry(part).or_insert_with(Instant::now);
    }

    /// Records the end of a disturbance.
    pub(crate) fn end(&mut self, part: DisturbedPart) {
        if let Some(begun) = self.open.remove(&part) {
            self.ended.push((part, begun, Instant::now()));
        }
    }

    pub(crate) fn is_disturbed(&self, part: DisturbedPart, from: Instant, to: Instant) -> bool {
        let is_open = self.open.get(&part).is_some_and(|begun| *begun <= to);
        let mut ended = self.ended.iter();
        is_open || ended.any(|(other, begun, end)| *other == part && *begun <= to && *end >= from)
    }
}

/// When a caller sent a request and received its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    pub(crate) sent: Instant,
    /// When the response arrived, if it shows that the VM had read the servers' signals.
    read: Option<Instant>,
}

/// The requests that reached one instance of a server.
#[derive(Clone)]
pub(crate) struct InstanceArrivals {
    /// Index of the server.
    pub(crate) server: usize,
    /// Index of the instance.
    pub(crate) instance: usize,
    /// Requests in the order of arrival.
    pub(crate) arrivals: Vec<ArrivedRequest>,
}

/// Time in which the entry of a restarted server reaches all VMs, also if the store is restored
/// meanwhile.
const ENTRY_DELAY: Duration = Duration::from_secs(1);

/// The checks of signals, updated during a run.
#[derive(Default)]
pub(crate) struct SignalChecks {
    pub(crate) calls: BTreeMap<String, CallTimes>,
    pub(crate) disturbances: DisturbanceLog,
    /// When each request reached the last of its servers, by request id.
    last_arrivals: BTreeMap<String, Instant>,
    /// Arrivals at a restarted server within [`ENTRY_DELAY`] of its first one.
    early_arrivals: BTreeSet<(String, Instant)>,
    /// Number of signals that could be checked, for the report.
    pub(crate) checked: usize,
    /// Number of limited periods that could be checked, for the report.
    pub(crate) limited: usize,
}

/// A signal that a VM has read, as a response to a caller shows.
struct ReadSignal {
    vm: usize,
    /// When a caller received the response.
    read: Instant,
    /// When the request arrived whose response carried the signal.
    sent: Instant,
    /// When the signal expires; `None` if it never does.
    until: Option<Instant>,
}

impl SignalChecks {
    /// Records when a request was sent and answered.
    pub(crate) fn record_report(&mut self, report: &CallReport) {
        let times = CallTimes {
            sent: report.sent,
            read: report.answered.filter(|_| shows_reading(report)),
        };
        self.calls.insert(report.id.clone(), times);
    }

    /// Records what reached an instance of a server. All instances must be recorded before
    /// the first check.
    pub(crate) fn record_arrivals(&mut self, instance: &InstanceArrivals) {
        let first = instance.arrivals.first().map(|arrived| arrived.at);
        for arrived in &instance.arrivals {
            let is_early = first.is_some_and(|first| arrived.at - first < ENTRY_DELAY);
            if instance.instance > 0 && is_early {
                let early = (arrived.request_id.clone(), arrived.at);
                self.early_arrivals.insert(early);
            }
            let last = self.last_arrivals.entry(arrived.request_id.clone());
            let last = last.or_insert(arrived.at);
            *last = arrived.at.max(*last);
        }
    }

    /// When a caller received the response to a request, if that shows that the VM had read
    /// the signals in the server's response. It does not if the request reached the server
    /// only after that, or went on to another server although this one ran it: then its VM
    /// had abandoned the attempt. A VM also abandons an attempt when it learns that the server
    /// has restarted, and then a rejection by the new instance stays unread.
    pub(crate) fn read_at(&self, arrived: &ArrivedRequest) -> Option<Instant> {
        let read = self.calls.get(&arrived.request_id)?.read?;
        let last = self.last_arrivals.get(&arrived.request_id);
        let early = (arrived.request_id.clone(), arrived.at);
        let may_be_abandoned =
            arrived.signals.backoff.is_none() || self.early_arrivals.contains(&early);
        let was_abandoned = may_be_abandoned && last.is_some_and(|last| *last > arrived.at);
        (arrived.at < read && !was_abandoned).then_some(read)
    }

    /// The promises broken at one instance of a server; `vms` are the VMs' addresses.
    pub(crate) fn check(
        &mut self,
        instance: &InstanceArrivals,
        vms: &[IpAddr],
    ) -> Vec<BrokenPromise> {
        let checked = self.read_signals(instance, vms);
        self.checked += checked.len();
        let mut broken = Vec::new();
        for signal in &checked {
            let later = instance.arrivals.iter().filter(|arrived| {
                vms[signal.vm] == arrived.from && self.is_after(signal, arrived, instance.server)
            });
            broken.extend(later.map(|arrived| describe(signal, arrived, instance)));
        }
        broken
    }

    /// Signals whose response has reached a caller.
    fn read_signals(&self, instance: &InstanceArrivals, vms: &[IpAddr]) -> Vec<ReadSignal> {
        let mut checked = Vec::new();
        for arrived in &instance.arrivals {
            let read = self.read_at(arrived);
            let vm = vms.iter().position(|ip| *ip == arrived.from);
            let (Some(read), Some(vm)) = (read, vm) else {
                continue;
            };
            let sent = arrived.at;
            let signal = |until| ReadSignal {
                vm,
                read,
                sent,
                until,
            };
            if arrived.signals.is_draining {
                checked.push(signal(None));
            }
            let seconds = arrived
                .signals
                .backoff
                .and_then(|backoff| backoff.seconds.parse().ok());
            let backoff = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
            if let Some(backoff) = backoff {
                checked.push(signal(Some(sent + backoff)));
            }
        }
        checked
    }

    /// Whether a request was sent after its VM had read a signal and still reached the
    /// server, without a disturbance that excuses it.
    fn is_after(&self, signal: &ReadSignal, arrived: &ArrivedRequest, server: usize) -> bool {
        let sent = self.calls.get(&arrived.request_id).map(|times| times.sent);
        if sent.is_none_or(|sent| sent <= signal.read) {
            return false;
        }
        if signal.until.is_some_and(|until| arrived.at >= until) {
            return false;
        }
        let is_disturbed = |part| {
            self.disturbances
                .is_disturbed(part, signal.sent, arrived.at)
        };
        let link = DisturbedPart::Link(server);
        let may_be_unread = self
            .disturbances
            .is_disturbed(link, signal.sent, signal.read);
        let is_vm_disturbed = is_disturbed(DisturbedPart::Vm(signal.vm))
            || is_disturbed(DisturbedPart::Process(signal.vm));
        !is_vm_disturbed && !may_be_unread
    }
}

/// Whether a response shows that its VM has read the signals in earlier responses of
/// servers: it is a server's response, or a rejection by the VM. Other statuses do not: a
/// suspended VM answered 504 to requests whose rejection by a server it had never read.
fn shows_reading(report: &CallReport) -> bool {
    report.is_own || report.status == Some(REJECTED_STATUS)
}

fn describe(
    signal: &ReadSignal,
    arrived: &ArrivedRequest,
    instance: &InstanceArrivals,
) -> BrokenPromise {
    let InstanceArrivals {
        server, instance, ..
    } = instance;
    let after = (arrived.at - signal.read).as_millis();
    let id = &arrived.request_id;
    let text = format!(
        "server {server}, instance {instance}, vm{}: {id} after {after} ms",
        signal.vm
    );
    if signal.until.is_some() {
        BrokenPromise::SentDuringBackoff(text)
    } else {
        BrokenPromise::SentWhileDraining(text)
    }
}
