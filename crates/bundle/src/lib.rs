//! Bundles: the operators' declaration of what the system serves and how.
//!
//! A bundle is an INI text. [`parse_bundle`] turns it into a [`ServiceBundle`]
//! with dense ids, and [`verify_bundle`] (apart from the parser) names every
//! rule that it breaks. Its [`ContentDigest`] is taken over [`canonical_text`],
//! so that comments and order do not count.
//!
//! Signatures and the version order live here too, free of I/O: a
//! [`RegionRecord`] proves by itself that a version of a content was rolled to
//! a region by a known operator, and [`VersionGate`] never goes back.

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
