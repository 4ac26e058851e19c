//! Bundles: the operators' declaration of regions, servers, models, request
//! kinds and team limits.
//!
//! A bundle is an INI text. [`parse_bundle`] turns it into a [`ServiceBundle`]
//! with dense ids. [`verify_bundle`] is independent of the parser and reports
//! every rule that the bundle violates. The [`ContentDigest`] is computed over
//! [`canonical_text`], so comments and order do not affect it.
//!
//! This crate also defines signatures and the order of versions, without I/O.
//! A [`RegionRecord`] is self-contained proof that a known operator rolled a
//! content out to a region under a version. [`VersionGate`] accepts only
//! increasing versions.

mod canonical;
mod head;
mod model;
mod parse;
mod sign;
mod verify;
mod version;

pub use canonical::{ContentDigest, DigestError, canonical_text};
pub use head::{
    HeadChange, HeadError, HeadRecord, OpenRollout, OperationId, RegionRecord, change_head,
};
pub use model::{
    AwayRule, BackendServer, DataCenter, ModelAdapter, NameIndex, ObjectiveWeights, RequestKind,
    ResidencyRule, ServedModel, ServerRole, ServiceBundle, ServiceRegion, TeamLimit,
};
pub use parse::parse_bundle;
pub use sign::{KeyError, OperatorKey, OperatorRing, SignatureText, SignedBundle, SigningSecret};
pub use verify::{BundleFault, verify_bundle};
pub use version::{AcceptError, BundleVersion, VersionGate};
