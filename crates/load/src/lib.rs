//! Open-loop load and experiments against a running deployment.
//!
//! Arrivals are Poisson with a fixed seed and do not wait for responses. Latency counts
//! from the intended start, so that it includes the time in which a stalled system accepts
//! no requests. A scenario names regions with their entries, request kinds with their rates
//! over time, and events that set faults in the stubs.

mod arrivals;
mod caller;
mod events;
mod plot;
mod record;
mod report;
mod run;
mod scenario;

pub use arrivals::{PlannedArrival, plan_arrivals};
pub use caller::{CallOutcome, CallResult};
pub use plot::plot_latency;
pub use record::{KindResult, LoadResult};
pub use report::render_table;
pub use run::run_scenario;
pub use scenario::{
    CallerRetry, LoadEvent, LoadKind, LoadRegion, LoadScenario, RateShape, RateStep, load_scenario,
    parse_scenario,
};
