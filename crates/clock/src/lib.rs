//! The clock for everything that ages: leases, cached state, time windows, deadlines.
//!
//! A machine may be suspended for seconds. The monotonic clock stops meanwhile, so that stale
//! state would appear fresh afterwards. The boot-time clock of this crate includes the time of
//! suspensions. This crate is the only one that reads it; pure code takes times as arguments.

mod instant;
mod suspension;

pub use instant::{BootInstant, advance_clock};
pub use suspension::SuspensionWatch;
