//! The report of the capacity plan that the status port serves.

use onyxfall_types::{PlanMode, PlanReport};

/// Builds the report of a VM that has computed no plan.
pub(crate) fn plan_report(mode: PlanMode) -> PlanReport {
    PlanReport::new(mode, None, Vec::new(), Vec::new())
}
