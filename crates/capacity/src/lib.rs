//! Allocation of contended capacity to request classes, and when refused callers retry.
//!
//! Each VM measures the work that its callers ask for by class ([`LoadLedger`]), adds the
//! sums of the other VMs of its region and the reports of other regions, and computes from
//! them what is served of each class and where ([`ServicePlan`]). [`CapacityState`] is what one VM
//! holds of this for all services.
//!
//! Pure code: no I/O, no clock. Invariants: the same ledger gives the same plan on each VM;
//! no region is allocated more than its usable capacity; a figure received from another VM
//! is clamped to a plausible range, and memory is bounded by the classes of the configuration
//! and 32 regions.

mod class;
mod demand;
mod fill;
mod ledger;
mod place;
mod plan;
mod rate;
mod returns;
mod rules;
mod state;

pub use class::{ClassTag, Importance, ImportanceError, MaskError, RegionMask};
pub use demand::{ClassDemand, ServiceDemand};
pub use ledger::{LoadLedger, ReceivedFlows};
pub use plan::{ClassStanding, PlanShare, ServicePlan};
pub use rate::{WorkRate, WorkRateError};
pub use returns::{ReturnAdvice, return_delay};
pub use rules::{ClassCap, ClassReserve, PlanRules};
pub use state::{CapacityState, PlannedService, RequestClass, importance, urgency};
