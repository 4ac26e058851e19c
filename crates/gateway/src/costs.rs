//! Exchange of learned costs between VMs, and the learned lengths of responses.

use std::time::Duration;

use onyxfall_clock::BootInstant;
use onyxfall_fleet::{CostReport, CostSource, CostView, PromptSize};
use onyxfall_types::{VmName, name_tag};
use onyxfall_wire::ServiceCostEntry;

use crate::gateway::Gateway;

/// Time between two messages on a link that carry learned costs. A VM that has just started
/// gets them in the first message; after that they change slowly.
const COST_INTERVAL: Duration = Duration::from_secs(1);

/// When costs were last sent on a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CostCursor(Option<BootInstant>);

impl CostCursor {
    /// The costs to send now, which are none if they were sent within [`COST_INTERVAL`].
    pub(crate) fn due(&mut self, gateway: &Gateway, view: CostView) -> Vec<ServiceCostEntry> {
        if self.0.is_some_and(|at| at.elapsed() < COST_INTERVAL) {
            return Vec::new();
        }
        let costs = known_costs(gateway, view);
        if !costs.is_empty() {
            self.0 = Some(BootInstant::now());
        }
        costs
    }
}

/// The costs of each service that this VM reports.
fn known_costs(gateway: &Gateway, view: CostView) -> Vec<ServiceCostEntry> {
    let fleet = gateway.fleet.borrow();
    fleet
        .cost_reports(view)
        .map(|(service, report)| ServiceCostEntry {
            vms: report.vms,
            service: name_tag(service.as_str()),
            first: report.first.map(narrow).to_vec(),
            first_samples: report.first_samples,
            pace: report.event_interval.map(narrow).to_vec(),
            pace_samples: report.interval_samples,
            plain_ms: narrow(report.plain_ms),
            plain_samples: report.plain_samples,
        })
        .collect()
}

/// Applies costs learned by another VM. Entries of unknown services or of another length are
/// ignored.
pub(crate) fn apply_costs(
    gateway: &Gateway,
    from: &VmName,
    source: CostSource,
    entries: &[ServiceCostEntry],
) {
    if entries.is_empty() {
        return;
    }
    let Some(table) = gateway.table() else {
        return;
    };
    let now = gateway.now();
    let mut fleet = gateway.fleet.borrow_mut();
    for entry in entries {
        let mut services = table.services();
        let named = services.find(|service| name_tag(service.name.as_str()) == entry.service);
        let (Some(service), Some(report)) = (named, report_from_entry(entry)) else {
            continue;
        };
        if fleet.receive_costs(now, from, source, &service.name, report) {
            gateway.metrics.count("onyxfall_absurd_costs_total");
        }
    }
}

fn report_from_entry(entry: &ServiceCostEntry) -> Option<CostReport> {
    let first: [f32; 5] = entry.first.as_slice().try_into().ok()?;
    let event_interval: [f32; 3] = entry.pace.as_slice().try_into().ok()?;
    Some(CostReport {
        vms: entry.vms,
        first: first.map(f64::from),
        first_samples: entry.first_samples,
        event_interval: event_interval.map(f64::from),
        interval_samples: entry.pace_samples,
        plain_ms: f64::from(entry.plain_ms),
        plain_samples: entry.plain_samples,
    })
}

/// Costs are sent in single precision, which halves the bytes of a heartbeat.
#[allow(clippy::cast_possible_truncation)]
fn narrow(weight: f64) -> f32 {
    weight as f32
}

impl Gateway {
    /// Expected number of events in a response of a route.
    pub(crate) fn expected_events(&self, route: &str, prompt: &PromptSize) -> Option<f64> {
        let lengths = self.lengths.borrow();
        lengths.expected(route, prompt.likely_output())
    }

    /// Records a complete response of `events` events.
    pub(crate) fn record_response_length(&self, route: &str, prompt: &PromptSize, events: u32) {
        let mut lengths = self.lengths.borrow_mut();
        lengths.learn(route, prompt.likely_output(), events);
    }
}
