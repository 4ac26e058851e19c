//! What servers and links cost, learned from answers.
//!
//! Pure: observations go in, estimates come out, without a clock. Nothing is
//! known of a service at first; a prior stands in until tens of answers have
//! come, and what other VMs have learned counts by the number of their answers.

mod answer;
mod engine;
mod linear;
mod plain;
mod service;
mod trip;

pub use answer::ResponseLengths;
pub use engine::{EngineCosts, EngineLoad};
pub use linear::LinearFit;
pub use plain::PlainCosts;
pub use service::{CostReport, CostSource, CostView, ServiceCosts};
pub use trip::RoundTrips;
