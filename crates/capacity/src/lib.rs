//! Load of request classes, and when refused callers retry.
//!
//! Each VM measures the work that its callers ask for by class ([`LoadLedger`]), adds the
//! sums of the other VMs of its region and the reports of other regions.
//!
//! Pure code: no I/O, no clock. Invariants: a figure received from another VM is clamped to
//! a plausible range, and memory is bounded by the classes of the configuration and 32
//! regions.

mod class;
mod ledger;
mod rate;
mod returns;

pub use class::{ClassTag, Importance, ImportanceError, MaskError, RegionMask};
pub use ledger::{LoadLedger, ReceivedFlows};
pub use rate::{WorkRate, WorkRateError};
pub use returns::{ReturnAdvice, return_delay};
