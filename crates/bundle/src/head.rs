//! The head: the single mutable record of which content is in force in which region.
//!
//! [`change_head`] is the only way to derive a new head, and is a pure function:
//! a command computes the next head from the one that it read and writes it by
//! compare-and-swap. The head lists the ids of recent operations. A command that
//! finds its own id there has already been applied, so commands can be retried
//! safely, and a lost response is resolved by reading the head again.
//!
//! Invariants: the version increases by one with every change; a region's
//! version never decreases; while a rollout is open, only its operation, or a
//! withdrawal, changes a region.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use onyxfall_types::{OperatorName, RegionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::ContentDigest;
use crate::sign::{OperatorRing, SignatureText, SigningSecret};
use crate::version::BundleVersion;

/// Number of recent operation ids that a head keeps.
const MAX_OPERATIONS: usize = 32;

/// Unique id of one run of an operator's command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(String);

impl OperationId {
    /// Wraps a text; the operator's program ensures that it is unique.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Signed proof that a content was rolled out to a region under a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRecord {
    /// Region that the record applies to.
    pub region: RegionName,
    /// Version under which the content is in force.
    pub version: BundleVersion,
    /// Digest of the content in force.
    pub content: ContentDigest,
    /// Previous content, which a withdrawal restores.
    pub former: Option<ContentDigest>,
    /// Operator who rolled the content out.
    pub operator: OperatorName,
    /// Signature of `operator` over region, version and content.
    pub signature: SignatureText,
}

impl RegionRecord {
    fn signing_text(
        region: &RegionName,
        version: BundleVersion,
        content: &ContentDigest,
    ) -> String {
        format!("onyxfall-roll-v1\n{region}\n{version}\n{content}\n")
    }

    /// Whether `signature` is a valid signature of `operator` by a key in `ring`.
    pub fn verify(&self, ring: &OperatorRing) -> bool {
        let text = Self::signing_text(&self.region, self.version, &self.content);
        ring.verifies(&self.operator, &text, &self.signature)
    }
}

/// A rollout in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRollout {
    /// Operation that opened the rollout.
    pub operation: OperationId,
    /// Operator who opened the rollout.
    pub operator: OperatorName,
    /// Content to roll out.
    pub content: ContentDigest,
    /// Regions that do not have the content yet, in rollout order.
    pub remaining: VecDeque<RegionName>,
}

/// Content in force per region, and the rollout in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Version of the last change.
    pub version: BundleVersion,
    /// Current record of each region.
    pub regions: BTreeMap<RegionName, RegionRecord>,
    /// Rollout in progress, if any.
    pub rollout: Option<OpenRollout>,
    /// Ids of recent operations, oldest first.
    pub operations: VecDeque<OperationId>,
}

impl HeadRecord {
    /// Whether `operation` is among the recent operations.
    pub fn has_operation(&self, operation: &OperationId) -> bool {
        self.operations.contains(operation)
    }
}

/// A change to the head.
#[derive(Clone, Debug)]
pub enum HeadChange {
    /// Opens a rollout of `content` to `regions`, in order.
    Open {
        /// Content to roll out.
        content: ContentDigest,
        /// Regions in rollout order.
        regions: VecDeque<RegionName>,
    },
    /// Puts the open rollout's content in force in its next region.
    Step {
        /// Operation that opened the rollout.
        rollout: OperationId,
    },
    /// Restores the previous content in every region where `content` is in
    /// force, and closes an open rollout of `content`.
    Withdraw {
        /// Content to withdraw.
        content: ContentDigest,
    },
}

/// Reason for which a change was rejected; the head is then unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// Another rollout is open.
    #[error(
        "{operator} is rolling out {content} ({operation}); wait for it to finish or withdraw it"
    )]
    RolloutOpen {
        /// Operation that opened the other rollout.
        operation: OperationId,
        /// Operator who opened the other rollout.
        operator: OperatorName,
        /// Content of the other rollout.
        content: ContentDigest,
    },
    /// The rollout to advance is not open: it was withdrawn or has finished.
    #[error("rollout {operation} is no longer open")]
    RolloutClosed {
        /// Operation that opened the rollout.
        operation: OperationId,
    },
    /// The content to withdraw is neither in force nor being rolled out.
    #[error("{content} is not in force in any region")]
    NotInForce {
        /// Content to withdraw.
        content: ContentDigest,
    },
    /// The content to withdraw is the first of a region, so there is none to restore.
    #[error("region {region} has no former content to restore")]
    NoFormerContent {
        /// Region without a former content.
        region: RegionName,
    },
    /// The list of regions of a rollout is empty.
    #[error("a rollout needs at least one region")]
    NoRegion,
}

/// Computes the head that results from applying `change` to `head`.
///
/// # Errors
///
/// The change is not allowed in the state of `head`; see [`HeadError`].
///
/// ```
/// use onyxfall_bundle::*;
/// let secret = SigningSecret::generate();
/// let operator = "ann".parse().unwrap();
/// let operation = OperationId::new("op-1");
/// let content = ContentDigest::of("text");
/// let regions = ["brisbane".parse().unwrap()].into();
/// let open = HeadChange::Open { content, regions };
/// let head = change_head(&HeadRecord::default(), &open, &operation, &operator, &secret).unwrap();
/// let step = HeadChange::Step { rollout: operation };
/// let operation = OperationId::new("op-1/brisbane");
/// let head = change_head(&head, &step, &operation, &operator, &secret).unwrap();
/// assert_eq!(head.version, BundleVersion::new(2));
/// assert!(head.rollout.is_none());
/// ```
pub fn change_head(
    head: &HeadRecord,
    change: &HeadChange,
    operation: &OperationId,
    operator: &OperatorName,
    secret: &SigningSecret,
) -> Result<HeadRecord, HeadError> {
    let mut next = head.clone();
    next.version = head.version.next();
    match change {
        HeadChange::Open { content, regions } => {
            open_rollout(&mut next, *content, regions, operation, operator)?;
        }
        HeadChange::Step { rollout } => step_rollout(&mut next, rollout, operator, secret)?,
        HeadChange::Withdraw { content } => withdraw(&mut next, *content, operator, secret)?,
    }
    record_operation(&mut next, operation);
    Ok(next)
}

fn open_rollout(
    head: &mut HeadRecord,
    content: ContentDigest,
    regions: &VecDeque<RegionName>,
    operation: &OperationId,
    operator: &OperatorName,
) -> Result<(), HeadError> {
    if let Some(open) = &head.rollout {
        return Err(HeadError::RolloutOpen {
            operation: open.operation.clone(),
            operator: open.operator.clone(),
            content: open.content,
        });
    }
    if regions.is_empty() {
        return Err(HeadError::NoRegion);
    }
    head.rollout = Some(OpenRollout {
        operation: operation.clone(),
        operator: operator.clone(),
        content,
        remaining: regions.clone(),
    });
    Ok(())
}

fn step_rollout(
    head: &mut HeadRecord,
    operation: &OperationId,
    operator: &OperatorName,
    secret: &SigningSecret,
) -> Result<(), HeadError> {
    let closed_error = || HeadError::RolloutClosed {
        operation: operation.clone(),
    };
    let rollout = head
        .rollout
        .as_mut()
        .filter(|open| open.operation == *operation);
    let rollout = rollout.ok_or_else(closed_error)?;
    let content = rollout.content;
    let region = rollout.remaining.pop_front().ok_or_else(closed_error)?;
    if rollout.remaining.is_empty() {
        head.rollout = None;
    }
    set_region(head, region, content, operator, secret);
    Ok(())
}

fn withdraw(
    head: &mut HeadRecord,
    content: ContentDigest,
    operator: &OperatorName,
    secret: &SigningSecret,
) -> Result<(), HeadError> {
    let was_open = head
        .rollout
        .as_ref()
        .is_some_and(|open| open.content == content);
    if was_open {
        head.rollout = None;
    }
    let affected: Vec<RegionRecord> = head
        .regions
        .values()
        .filter(|record| record.content == content)
        .cloned()
        .collect();
    if affected.is_empty() && !was_open {
        return Err(HeadError::NotInForce { content });
    }
    for record in affected {
        let region = record.region;
        let former = record.former.ok_or(HeadError::NoFormerContent {
            region: region.clone(),
        })?;
        set_region(head, region, former, operator, secret);
    }
    Ok(())
}

fn set_region(
    head: &mut HeadRecord,
    region: RegionName,
    content: ContentDigest,
    operator: &OperatorName,
    secret: &SigningSecret,
) {
    let previous = head.regions.get(&region);
    debug_assert!(previous.is_none_or(|record| record.version < head.version));
    let former = match previous {
        Some(record) if record.content == content => record.former,
        Some(record) => Some(record.content),
        None => None,
    };
    let text = RegionRecord::signing_text(&region, head.version, &content);
    let record = RegionRecord {
        region: region.clone(),
        version: head.version,
        content,
        former,
        operator: operator.clone(),
        signature: secret.sign(&text),
    };
    head.regions.insert(region, record);
}

fn record_operation(head: &mut HeadRecord, operation: &OperationId) {
    if head.has_operation(operation) {
        return;
    }
    head.operations.push_back(operation.clone());
    if head.operations.len() > MAX_OPERATIONS {
        head.operations.pop_front();
    }
}
