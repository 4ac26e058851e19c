//! Checks of the promises about capacity: an idle service refuses nobody, a less important kind
//! is not served more often than a more important one, and held bytes keep to their bound.
//!
//! The load of the servers is taken from what they observed, not from what VMs report.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use onyxfall_fakes::ArrivedRequest;
use ureq::Agent;

use crate::callers::CallReport;
use crate::checks::BrokenPromise;
use crate::deployment::{HELD_BOUND, RequestKind, SLOTS, has_plan};
use crate::fault_log::FaultLog;
use crate::plan::Fault;
use crate::signals::{DisturbanceLog, DisturbedPart};

/// Parts of the details with which VMs refuse requests for load. Backoffs and limits that
/// servers ask for, and servers that are unknown or silent, are other reasons.
const LOAD_DETAILS: [&str; 2] = ["every server is full", "no server can respond in time"];
/// Time after a fault in which VMs may still act on what they learned from it: backoffs of
/// servers last up to 2 s. The rest is a margin, which was chosen, not measured.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Share by which a less important kind may be served more often.
const ORDER_TOLERANCE: f64 = 0.05;
/// Least number of decided requests of each kind that are compared: 5 in 100 is then twice the
/// standard error of a share near 1.
const MIN_DECIDED: u32 = 100;
/// Timeout of a read of metrics: a paused VM must not delay the faults.
const METRICS_TIMEOUT: Duration = Duration::from_millis(100);
const HELD_METRIC: &str = "onyxfall_held_bytes ";

/// Requests of one kind that were served or refused by VMs with the plan.
#[derive(Clone, Copy, Debug, Default)]
struct DecidedRequests {
    served: u32,
    refused: u32,
}

impl DecidedRequests {
    fn record(&mut self, report: &CallReport) {
        match report.status {
            Some(200) if report.is_own && report.is_whole => self.served += 1,
            Some(429 | 503) => self.refused += 1,
            // Other responses are those of requests that a fault has broken.
            _ => {}
        }
    }

    fn total(self) -> u32 {
        self.served + self.refused
    }

    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.total())
    }
}

/// A response whose VM may have refused the request for load.
struct VmResponse {
    id: String,
    vm: usize,
    sent: Instant,
    answered: Instant,
    is_load_refusal: bool,
}

/// The checks of capacity, updated during a run.
pub(crate) struct CapacityChecks {
    metrics: Agent,
    /// Whether the service consists of model servers, whose capacity is planned.
    is_planned: bool,
    responses: Vec<VmResponse>,
    more_important: DecidedRequests,
    less_important: DecidedRequests,
    /// Number of reads of held bytes, and the most that was read, for the report.
    pub(crate) held_reads: usize,
    pub(crate) most_held: u64,
    /// Number of requests that were answered while the service was idle, for the report.
    pub(crate) idle: usize,
}

impl CapacityChecks {
    pub(crate) fn new(is_planned: bool) -> Self {
        let metrics = Agent::config_builder().timeout_global(Some(METRICS_TIMEOUT));
        Self {
            metrics: metrics.build().into(),
            is_planned,
            responses: Vec::new(),
            more_important: DecidedRequests::default(),
            less_important: DecidedRequests::default(),
            held_reads: 0,
            most_held: 0,
            idle: 0,
        }
    }

    /// Records the report of a caller about its request to `vm`.
    pub(crate) fn record_report(&mut self, report: &CallReport, vm: usize) {
        if has_plan(vm) {
            match report.kind {
                RequestKind::Repeatable => self.more_important.record(report),
                RequestKind::LessImportant => self.less_important.record(report),
                _ => {}
            }
        }
        let is_refusal = report.status == Some(503) && !report.is_own;
        if let Some(answered) = report.answered {
            self.responses.push(VmResponse {
                id: report.id.clone(),
                vm,
                sent: report.sent,
                answered,
                is_load_refusal: is_refusal
                    && LOAD_DETAILS.iter().any(|text| report.body.contains(text)),
            });
        }
    }

    /// Reads the held bytes of a VM with a bound; a VM that does not respond is skipped.
    pub(crate) fn read_held(&mut self, vm: usize, status: SocketAddr) -> Option<BrokenPromise> {
        let response = self.metrics.get(format!("http://{status}/metrics")).call();
        let text = response.ok()?.body_mut().read_to_string().ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(HELD_METRIC));
        let held: u64 = line?.parse().ok()?;
        self.held_reads += 1;
        let is_most = held > self.most_held;
        self.most_held = self.most_held.max(held);
        (is_most && held > HELD_BOUND).then(|| {
            BrokenPromise::HeldBeyondBound(format!("vm{vm}: {held} bytes, allowed {HELD_BOUND}"))
        })
    }

    /// The kind that was served too often for its importance.
    pub(crate) fn check_order(&self) -> Option<BrokenPromise> {
        let (more, less) = (self.more_important, self.less_important);
        let is_broken =
            self.compares_order() && less.served_share() > more.served_share() + ORDER_TOLERANCE;
        is_broken.then(|| BrokenPromise::ServedOutOfOrder(self.order()))
    }

    /// Whether capacity was planned and enough requests of both kinds were decided.
    fn compares_order(&self) -> bool {
        let decided = self.more_important.total().min(self.less_important.total());
        self.is_planned && decided >= MIN_DECIDED
    }

    /// Served and decided requests of both kinds, for the report.
    pub(crate) fn order(&self) -> String {
        let (more, less) = (self.more_important, self.less_important);
        let compared = if self.compares_order() {
            ""
        } else {
            ", not compared"
        };
        format!(
            "{} of {} more important and {} of {} less important{compared}",
            more.served,
            more.total(),
            less.served,
            less.total()
        )
    }

    /// The requests that were refused for load while under half of the slots were taken of
    /// those servers that no fault had disturbed; `arrivals` are those at all servers.
    pub(crate) fn check_idle(
        &mut self,
        servers: usize,
        arrivals: &[ArrivedRequest],
        disturbances: &DisturbanceLog,
        faults: &FaultLog,
    ) -> Vec<BrokenPromise> {
        let mut broken = Vec::new();
        let mut idle = 0;
        for response in &self.responses {
            let from = response.sent.checked_sub(SETTLING_TIME);
            let from = from.unwrap_or(response.sent);
            let process = DisturbedPart::Process(response.vm);
            let is_settled =
                |is_of: &dyn Fn(Fault) -> bool| !faults.between(from, response.answered).any(is_of);
            let vm = response.vm;
            if disturbances.is_disturbed(process, from, response.answered)
                || !is_settled(&|fault| disturbs_vm(fault, vm))
            {
                continue;
            }
            let usable = (0..servers)
                .filter(|server| is_settled(&|fault| disturbed_server(fault) == Some(*server)));
            let slots = SLOTS as usize * usable.count();
            let is_running = |arrived: &&ArrivedRequest| {
                arrived.at <= response.answered
                    && arrived.done.is_none_or(|done| done >= response.sent)
            };
            // All requests count, also those at disturbed servers.
            let taken = arrivals.iter().filter(is_running).count();
            if 2 * taken >= slots {
                continue;
            }
            idle += 1;
            if response.is_load_refusal {
                broken.push(BrokenPromise::RefusedWhileIdle(format!(
                    "{} by vm{vm}, {taken} of {slots} slots taken",
                    response.id
                )));
            }
        }
        self.idle = idle;
        broken
    }
}

/// Whether a fault may make a VM refuse requests although servers are idle.
fn disturbs_vm(fault: Fault, own: usize) -> bool {
    match fault {
        Fault::Kill(vm)
        | Fault::Shutdown(vm)
        | Fault::Pause(vm)
        | Fault::Suspend(vm, _)
        | Fault::StoreLink(vm, _)
        | Fault::Paths(vm, _)
        | Fault::CallerLink(vm, _) => vm == own,
        Fault::Store(_) | Fault::Restore => true,
        _ => false,
    }
}

/// The server whose usability a fault changes.
fn disturbed_server(fault: Fault) -> Option<usize> {
    match fault {
        Fault::ServerLink(server, _)
        | Fault::Server(server, _)
        | Fault::Replace(server)
        | Fault::Restart(server)
        | Fault::SignalDrain(server, _)
        | Fault::Backoff(server, _)
        | Fault::Limit(server, _)
        | Fault::Brittle(server)
        | Fault::Places(server, _)
        | Fault::Stop(server)
        | Fault::MalformedEntry(server, _) => Some(server),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct OrderCase {
        name: &'static str,
        /// Served and refused requests.
        more: (u32, u32),
        less: (u32, u32),
        is_broken: bool,
    }

    fn decided((served, refused): (u32, u32)) -> DecidedRequests {
        DecidedRequests { served, refused }
    }

    /// Guards against a check of the order that passes an inversion, or fails on the right
    /// order, on a small difference or on few requests.
    #[test]
    fn only_a_clear_inversion_breaks_the_order() {
        let case = |name, more, less, is_broken| OrderCase {
            name,
            more,
            less,
            is_broken,
        };
        let cases = [
            case("equal", (200, 0), (200, 0), false),
            case("right order", (200, 0), (20, 180), false),
            case("within 5 in 100", (192, 8), (200, 0), false),
            case("inversion", (188, 12), (200, 0), true),
            case("few requests", (40, 40), (200, 0), false),
            case("none", (0, 0), (0, 0), false),
        ];
        for case in cases {
            let mut checks = CapacityChecks::new(true);
            checks.more_important = decided(case.more);
            checks.less_important = decided(case.less);
            assert_eq!(
                checks.check_order().is_some(),
                case.is_broken,
                "{}",
                case.name
            );
        }
    }

    /// Guards against a check of an idle service that passes every refusal, or that fails on
    /// refusals which load or a fault excuses.
    #[test]
    fn only_a_refusal_while_idle_is_broken() {
        let sent = Instant::now() + SETTLING_TIME;
        let cases = [
            ("idle", None, 0, true),
            ("at half of the slots", None, SLOTS as usize / 2, false),
            ("disturbed server", Some(Fault::Restart(0)), 0, false),
            ("disturbed VM", Some(Fault::Kill(1)), 0, false),
            ("other VM disturbed", Some(Fault::Kill(2)), 0, true),
        ];
        for (name, fault, taken, is_broken) in cases {
            let mut checks = CapacityChecks::new(true);
            let mut faults = FaultLog::default();
            if let Some(fault) = fault {
                faults.begin_at(fault, sent);
            }
            checks.responses.push(VmResponse {
                id: "a".to_owned(),
                vm: 1,
                sent,
                answered: sent,
                is_load_refusal: true,
            });
            let arrived = ArrivedRequest {
                at: sent,
                from: std::net::Ipv4Addr::LOCALHOST.into(),
                request_id: "b".to_owned(),
                done: None,
                signals: onyxfall_fakes::StubSignals::default(),
                run: onyxfall_fakes::RunState::NotRun,
                has_sent: false,
            };
            let arrivals = vec![arrived; taken];
            let broken = checks.check_idle(1, &arrivals, &DisturbanceLog::default(), &faults);
            assert_eq!(!broken.is_empty(), is_broken, "{name}");
        }
    }
}
