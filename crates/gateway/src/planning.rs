//! Connects the capacity plan with the gateway: what is recorded, exchanged and applied.

use onyxfall_capacity::{PlanRules, ReturnAdvice, WorkRate, return_delay};
use onyxfall_fleet::{RemoteOption, ServiceLoad, WorkShare};
use onyxfall_overlay::{ServerTag, WorkEntry};
use onyxfall_policy::Moment;
use onyxfall_types::{PlanMode, RegionName, ServiceName};
use onyxfall_wire::ClassFlowEntry;
use rand::Rng;
use std::time::Duration;

use crate::call::{CallContext, CallOrigin};
use crate::gateway::Gateway;
use crate::serve::CallProgress;

/// Share of a region's capacity that the plan gives out. The rest covers what servers lose to
/// the decoding of responses and to uneven load among them.
const PLANNED_UTILISATION: f64 = 0.85;
/// Share of the shared prefix that counts as cached when the work of a request is estimated:
/// under heavy load, about half of the shared tokens were found in the KV cache.
const CACHED_SHARE: f64 = 0.5;

impl Gateway {
    /// Whether capacity is shared by importance here.
    pub(crate) fn plans_capacity(&self) -> bool {
        self.settings().capacity_plan.mode != PlanMode::Off
    }

    /// Records the work of a caller's request at its first attempt.
    pub(crate) fn record_class_work(&self, call: &CallContext, progress: &CallProgress) {
        let is_first = progress.arrivals + progress.unreached == 0 && progress.vms.is_empty();
        let Some(class) = call.class else { return };
        if call.origin != CallOrigin::Caller || !is_first || progress.is_work_recorded {
            return;
        }
        let needs = &call.needs;
        let cached = needs.prompt.shared_tokens() as f64 * CACHED_SHARE;
        let unread = (needs.prompt.input as f64 - cached).max(0.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let work = self
            .fleet
            .borrow()
            .prefill_time(&needs.service, unread as u64);
        let mut capacity = self.capacity.borrow_mut();
        capacity.ledger_mut().record(self.now(), class, work);
    }

    /// Recomputes the plans of all services.
    pub(crate) fn refresh_plans(&self, now: Moment) {
        let settings = self.settings();
        if settings.capacity_plan.mode != PlanMode::On {
            return;
        }
        let rules = PlanRules {
            floor: settings.capacity_plan.floor,
            utilisation: PLANNED_UTILISATION,
            ..PlanRules::default()
        };
        let mut capacity = self.capacity.borrow_mut();
        for service in capacity.services() {
            let own = self.fleet.borrow().model_capacity(now, &service);
            capacity.refresh(now, &service, WorkRate::clamped(own), &rules);
        }
    }

    /// Work that callers of this VM ask for, as entries of the overlay's totals.
    pub(crate) fn own_class_work(&self, now: Moment) -> Vec<WorkEntry> {
        if !self.plans_capacity() {
            return Vec::new();
        }
        let capacity = self.capacity.borrow();
        let flows = capacity.ledger().own_flows(now);
        let entry = |(tag, flow)| WorkEntry {
            server: ServerTag(tag),
            share: WorkShare {
                flow,
                ..WorkShare::default()
            },
        };
        flows.map(entry).collect()
    }

    /// Work that callers of this region ask for, for other regions.
    pub(crate) fn class_flows(&self, now: Moment) -> Vec<ClassFlowEntry> {
        if !self.plans_capacity() {
            return Vec::new();
        }
        let capacity = self.capacity.borrow();
        flow_entries(capacity.ledger().region_flows(now))
    }

    /// Work that callers of another region ask for, as it has reported it.
    pub(crate) fn reported_class_flows(&self, region: &RegionName) -> Vec<ClassFlowEntry> {
        let capacity = self.capacity.borrow();
        let Some(index) = capacity.region_index(region) else {
            return Vec::new();
        };
        flow_entries(capacity.ledger().reported_flows(index))
    }

    /// Applies another region's report of its demand and capacity.
    pub(crate) fn apply_class_flows(
        &self,
        sent: Moment,
        region: &RegionName,
        flows: &[ClassFlowEntry],
        loads: &[(u32, ServiceLoad)],
    ) {
        if !self.plans_capacity() {
            return;
        }
        let mut capacity = self.capacity.borrow_mut();
        let Some(index) = capacity.region_index(region) else {
            return;
        };
        let flows: Vec<(u32, u64)> = flows.iter().map(|it| (it.class, it.micros)).collect();
        let received = capacity.ledger_mut().receive(sent, index, &flows);
        self.metrics
            .count_more("onyxfall_absurd_class_flows_total", received.clamped as u64);
        for (service, load) in loads {
            let rate = WorkRate::clamped(f64::from(load.capacity) / 1e3);
            capacity.receive_capacity(sent, index, *service, rate);
        }
    }

    /// The option of forwarding a request to the region in which the plan serves it, if that
    /// is another one.
    pub(crate) fn planned_option(
        &self,
        call: &CallContext,
        options: impl Iterator<Item = RemoteOption>,
    ) -> Option<RemoteOption> {
        let class = call.class?;
        let point = match call.needs.prompt.affinity() {
            // The upper half of the hash, as a fraction of its range.
            Some(key) => (key >> 32) as f64 / f64::from(u32::MAX),
            None => self.rng.borrow_mut().random(),
        };
        let capacity = self.capacity.borrow();
        let region = capacity.planned_region(&call.needs.service, class, point)?;
        let mut options = options;
        options.find(|option| option.region == *region)
    }

    /// Retry delay of a refused caller if capacity is planned.
    pub(crate) fn planned_retry(&self, call: &CallContext, backlog: Duration) -> Option<Duration> {
        let class = call.class?;
        let capacity = self.capacity.borrow();
        let share = capacity.share(&call.needs.service, class)?;
        let advice = ReturnAdvice {
            backlog,
            refused: share.refused,
            time_left: call.time_left(),
        };
        Some(return_delay(&advice, self.rng.borrow_mut().random()))
    }

    /// Capacity of a model service in this region, in thousandths.
    pub(crate) fn reported_capacity(&self, now: Moment, service: &ServiceName) -> u32 {
        if !self.plans_capacity() {
            return 0;
        }
        let seconds = self.fleet.borrow().model_capacity(now, service);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (seconds * 1e3).round() as u32;
        thousandths
    }
}

fn flow_entries(flows: impl Iterator<Item = (u32, u64)>) -> Vec<ClassFlowEntry> {
    flows
        .map(|(class, micros)| ClassFlowEntry { class, micros })
        .collect()
}
