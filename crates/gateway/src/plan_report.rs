//! The report of the capacity plan that the status port serves.

use std::collections::BTreeMap;

use onyxfall_capacity::ClassStanding;
use onyxfall_policy::Moment;
use onyxfall_types::{
    PlanClass, PlanConstraint, PlanFlow, PlanMode, PlanRegion, PlanReport, PlanStanding,
    ServiceName,
};

use crate::report::millis;
use onyxfall_capacity::{CapacityState, PlannedService};

/// Builds the report of a VM's plans; without a plan it has the mode only.
pub(crate) fn plan_report(now: Moment, mode: PlanMode, capacity: &CapacityState) -> PlanReport {
    if mode == PlanMode::Off {
        return PlanReport::new(mode, None, Vec::new(), Vec::new());
    }
    let plans = capacity.plans();
    let oldest = plans.values().map(|plan| now - plan.computed_at).max();
    let regions = plans.iter();
    let regions = regions.flat_map(|(service, plan)| plan_regions(now, service, plan, capacity));
    let classes = plans.values().flat_map(|plan| plan_classes(plan, capacity));
    PlanReport::new(
        mode,
        oldest.map(millis),
        regions.collect(),
        classes.collect(),
    )
}

fn plan_regions(
    now: Moment,
    service: &ServiceName,
    planned: &PlannedService,
    capacity: &CapacityState,
) -> Vec<PlanRegion> {
    let regions = capacity.regions().iter().enumerate();
    regions
        .map(|(index, region)| PlanRegion {
            service: service.clone(),
            region: region.clone(),
            capacity: planned.demand.capacity[index].per_second(),
            full: planned.plan.is_full(index),
            report_age_ms: capacity.ledger().report_age(now, index).map(millis),
        })
        .collect()
}

fn plan_classes(planned: &PlannedService, capacity: &CapacityState) -> Vec<PlanClass> {
    let classes = planned.classes.iter().enumerate();
    classes
        .map(|(index, class)| PlanClass {
            service: class.service.clone(),
            importance: class.importance.to_string(),
            homes: capacity.names_of(class.homes),
            flows: plan_flows(planned, index, capacity),
        })
        .collect()
}

fn plan_flows(planned: &PlannedService, class: usize, capacity: &CapacityState) -> Vec<PlanFlow> {
    let regions = capacity.regions();
    let limit = capacity.class_limit(&planned.classes[class]);
    let flows = regions.iter().enumerate().map(|(caller, name)| {
        let share = planned.plan.share(class, caller);
        let served = regions.iter().cloned().zip(share.served.iter().copied());
        let served: BTreeMap<_, f64> = served.filter(|(_, share)| *share > 0.0).collect();
        PlanFlow {
            callers: name.clone(),
            offered: planned.demand.classes[class].offered[caller].per_second(),
            served,
            refused: share.refused,
            standing: plan_standing(planned.plan.standing(class, caller)),
            backlog_limit_ms: limit.map(millis),
            // Set by `PlanReport::new`.
            constraint: PlanConstraint::None,
        }
    });
    flows.collect()
}

/// A standing as reports and log lines name it.
pub(crate) fn plan_standing(standing: ClassStanding) -> PlanStanding {
    match standing {
        ClassStanding::Served => PlanStanding::Served,
        ClassStanding::Partial => PlanStanding::Partial,
        ClassStanding::Refused => PlanStanding::Refused,
    }
}
