//! Connects the capacity plan with the gateway: what is recorded, exchanged and applied.

use std::time::Duration;

use onyxfall_capacity::{ClassReserve, PlanRules, ReturnAdvice, WorkRate, return_delay};
use onyxfall_fleet::{DecisionSwitch, RemoteOption, ServiceLoad, TimePrediction, WorkShare};
use onyxfall_overlay::{ServerTag, WorkEntry};
use onyxfall_policy::Moment;
use onyxfall_types::{PlanMode, PlanReport, RefusalReason, RegionName, ServiceName};
use onyxfall_wire::ClassFlowEntry;
use rand::Rng;

use crate::call::CallContext;
use crate::capacity_settings::CapacitySettings;
use crate::gateway::Gateway;
use crate::plan_report::{plan_report, plan_standing};
use crate::report::millis;
use crate::serve::CallProgress;

/// Share of a region's capacity that the plan gives out. Capacity is the highest throughput that
/// was seen; the rest covers uneven load among servers.
const PLANNED_UTILISATION: f64 = 0.95;
/// Part of the shared prefix that counts as cached when the work of a request is estimated:
/// under heavy load, about half of the shared tokens were found in the KV cache.
const CACHED_DIVISOR: u64 = 2;

impl Gateway {
    /// Whether the settings enable the capacity plan, be it recomputed or frozen.
    pub(crate) fn plans_capacity(&self) -> bool {
        self.settings().capacity_plan.mode != PlanMode::Off
    }

    /// Backlog limit of a kind of requests to a service, by the priority of its route.
    pub(crate) fn backlog_limit(&self, service: &ServiceName, priority: u8) -> Option<Duration> {
        let is_limited = self.plans_capacity() && self.is_on(DecisionSwitch::BacklogLimits);
        let capacity = self.capacity.borrow();
        capacity
            .backlog_limit(service, priority)
            .filter(|_| is_limited)
    }

    /// Records the work of a caller's request when its first step is decided.
    pub(crate) fn record_class_work(&self, call: &CallContext, progress: &CallProgress) {
        let Some(class) = call.class.filter(|_| !progress.is_work_recorded) else {
            return;
        };
        let work = self.estimated_work(call);
        let mut capacity = self.capacity.borrow_mut();
        capacity.record_offered(self.now(), class, call.time_left(), work);
    }

    /// Records the work of a request whose response has begun at a server of this region.
    pub(crate) fn record_done_work(&self, call: &CallContext) {
        if call.needs.backlog_limit.is_none() {
            return;
        }
        let work = self.estimated_work(call);
        let mut capacity = self.capacity.borrow_mut();
        capacity.record_done(self.now(), &call.needs.service, work);
    }

    /// Server time that the prefill of a request is expected to take.
    fn estimated_work(&self, call: &CallContext) -> Duration {
        let prompt = &call.needs.prompt;
        let cached = prompt.shared_tokens() / CACHED_DIVISOR;
        let pending = prompt.input.saturating_sub(cached);
        let fleet = self.fleet.borrow();
        fleet.prefill_time(&call.needs.service, pending)
    }

    /// Recomputes the plans of all services, unless the plan is off or frozen.
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
            let fleet = self.fleet.borrow();
            let servers = fleet.usable_servers(now, &service);
            if let Some(end) = fleet.silence_end(&service) {
                capacity.record_silence(&service, end);
            }
            drop(fleet);
            let rules = PlanRules {
                reserved: reserved(&settings.capacity_plan, &service),
                ..rules.clone()
            };
            let was_planned = capacity.plans().contains_key(&service);
            capacity.refresh(now, &service, servers, &rules);
            let is_planned = capacity.plans().contains_key(&service);
            if was_planned != is_planned {
                log::info!(service = service.as_str(), is_planned; "capacity plan started or ended");
            }
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
        mut options: impl Iterator<Item = RemoteOption>,
    ) -> Option<RemoteOption> {
        let class = call.class?;
        let point = match call.needs.prompt.affinity() {
            // The upper half of the hash, as a fraction of its range.
            Some(key) => (key >> 32) as f64 / f64::from(u32::MAX),
            None => self.rng.borrow_mut().random(),
        };
        let capacity = self.capacity.borrow();
        let region = capacity.planned_region(&call.needs.service, class, point)?;
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
    pub(crate) fn reported_capacity(&self, service: &ServiceName) -> u32 {
        let capacity = self.capacity.borrow();
        let seconds = capacity.own_capacity(service).per_second();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let thousandths = (seconds * 1e3).round() as u32;
        thousandths
    }

    /// Logs the refusal of a request that is over the backlog limit of its class.
    pub(crate) fn log_limit_refusal(&self, call: &CallContext, predicted: &TimePrediction) {
        let Some(tag) = call.class else { return };
        if call.needs.allows_backlog(predicted.backlog) {
            return;
        }
        let capacity = self.capacity.borrow();
        let service = &call.needs.service;
        let label = capacity.class_label(tag);
        let standing = capacity.standing(service, tag);
        let standing = standing.map(|standing| plan_standing(standing).to_string());
        let plan = capacity.plans().get(service);
        let age = plan.map(|plan| millis(self.now() - plan.computed_at));
        log::info!(
            request = call.request_id.as_str(),
            class = label.as_deref().unwrap_or("unknown"),
            standing = standing.as_deref().unwrap_or("no plan"),
            backlog_ms = millis(predicted.backlog),
            limit_ms = call.needs.backlog_limit.map(millis),
            plan_age_ms = age;
            "request is over the limit of its class"
        );
    }

    /// Counts the refusal of a request by its class.
    pub(crate) fn count_class_refusal(&self, call: &CallContext, reason: RefusalReason) {
        let label = call
            .class
            .and_then(|tag| self.capacity.borrow().class_label(tag));
        if let Some(label) = label {
            self.metrics.count_refusal(&label, reason);
        }
    }

    /// The report of this VM's plans for operators.
    pub(crate) fn plan_report(&self) -> PlanReport {
        let mode = self.settings().capacity_plan.mode;
        plan_report(self.now(), mode, &self.capacity.borrow())
    }
}

/// Shares of the capacity of a service that the settings guarantee to kinds of requests.
fn reserved(settings: &CapacitySettings, service: &ServiceName) -> Vec<ClassReserve> {
    let reserves = settings.reserves.iter();
    let reserves = reserves.filter(|reserve| reserve.service == *service);
    reserves
        .map(|reserve| ClassReserve {
            kind: reserve.kind,
            share: reserve.share,
        })
        .collect()
}

fn flow_entries(flows: impl Iterator<Item = (u32, u64)>) -> Vec<ClassFlowEntry> {
    flows
        .map(|(class, micros)| ClassFlowEntry { class, micros })
        .collect()
}
