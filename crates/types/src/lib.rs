//! Identifiers, sizes, rates and verdicts shared by all onyxfall crates.
//!
//! Dense ids (`region2`, `server17`) index the tables of one loaded bundle and are
//! invalid outside it; programs, files and messages identify entities by name. A
//! verdict records whether a request may have run, and it only increases.

mod digest;
mod entity;
mod error;
mod name;
mod plan_mode;
mod plan_report;
mod position;
mod quantity;
mod retry;
mod verdict;
mod version;

pub use digest::{name_tag, stable_hash};
pub use entity::{
    AdapterId, CenterId, EntityId, EntityMap, KindId, ModelId, RegionId, RouteId, ServerId, TeamId,
    VmId,
};
pub use error::{RefusalReason, RequestError};
pub use name::{
    AdapterName, CenterName, KindName, ModelName, NameError, OperatorName, RegionName, RouteName,
    ServerName, ServiceName, TeamName, VmName,
};
pub use plan_mode::{PlanMode, PlanModeError};
pub use plan_report::{
    PLAN_REPORT_LIFETIME, PlanClass, PlanConstraint, PlanFlow, PlanRegion, PlanReport, PlanStanding,
};
pub use position::{StoreEra, StorePosition};
pub use quantity::{ByteSize, Incarnation, QuantityError, RequestRate};
pub use retry::RetryDelay;
pub use verdict::{RunVerdict, VerdictCell, VerdictError};
pub use version::{SoftwareVersion, VersionError};
