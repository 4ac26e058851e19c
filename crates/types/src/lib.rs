//! Identifiers, sizes, rates and the verdict that every onyxfall crate shares.
//!
//! Dense ids (`region2`, `server17`) index tables of one loaded bundle and mean
//! nothing outside it; names are what programs, files and messages exchange.
//! The verdict records whether a request may have run, and it only ever grows.

mod digest;
mod entity;
mod error;
mod name;
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
pub use position::{StoreEra, StorePosition};
pub use quantity::{ByteSize, Incarnation, QuantityError, RequestRate};
pub use retry::RetryDelay;
pub use verdict::{RunVerdict, VerdictCell, VerdictError};
pub use version::{SoftwareVersion, VersionError};
