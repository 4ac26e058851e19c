//! The clock of everything that has an age: leases, knowledge, windows, deadlines.
//!
//! A machine may be suspended for seconds. The steady clock stands still meanwhile, so
//! that all that is old looks fresh afterwards. The clock here counts that time too. This
//! crate is the one place that reads it; pure code gets moments as arguments.

mod instant;
mod suspension;

pub use instant::{BootInstant, advance_clock};
pub use suspension::SuspensionWatch;
