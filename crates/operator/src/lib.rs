//! The operators' commands: nothing else changes the system.
//!
//! Every command is safe to repeat. A lost answer is resolved by reading the
//! head and looking for the operation, never guessed; of two operators who
//! race, one wins and the other is told what won.

mod context;
mod error;
mod explain;
mod head;
mod predictions;
mod rollout;
mod settings;
mod teams;
mod versions;

pub use context::OperatorContext;
pub use error::OperatorError;
pub use explain::RequestStory;
pub use predictions::{PredictionGroup, PredictionRatios, PredictionReport};
pub use rollout::{RollPlan, RollProgress};
pub use settings::{OperatorSettings, load_operator_settings, parse_operator_settings};
pub use teams::TeamReport;
pub use versions::VersionReport;
