//! The operators' commands, the only means of changing the configuration.
//!
//! Every command can be retried safely. A lost response to a change of the head
//! is resolved by reading the head and looking for the operation; its outcome is
//! never assumed. If two operators start rollouts concurrently, one succeeds and
//! the other gets an error that names the open rollout.

mod context;
mod error;
mod explain;
mod head;
mod plan;
mod predictions;
mod rollout;
mod settings;
mod status_port;
mod suspects;
mod teams;
mod versions;

pub use context::OperatorContext;
pub use error::OperatorError;
pub use explain::RequestTimeline;
pub use plan::{PlanError, read_plan};
pub use predictions::{PredictionGroup, PredictionRatios, PredictionReport};
pub use rollout::{RollPlan, RollProgress};
pub use settings::{OperatorSettings, load_operator_settings, parse_operator_settings};
pub use suspects::{LiftError, SuspectReport, lift_suspect};
pub use teams::TeamReport;
pub use versions::VersionReport;
