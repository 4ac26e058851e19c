//! Cost models of servers and connections, learned from responses.
//!
//! Pure code without I/O and clock: observations go in, estimates come out. A service starts
//! with a prior, which dominates until tens of responses were observed. Estimates of other
//! VMs are weighted by the number of responses behind them.

mod engine;
mod linear;
mod plain;
mod response;
mod service;
mod trip;

pub use engine::{EngineCosts, EngineLoad};
pub use linear::LinearFit;
pub use plain::PlainCosts;
pub use response::ResponseLengths;
pub use service::{CostReport, CostSource, CostView, ServiceCosts};
pub use trip::RoundTrips;
