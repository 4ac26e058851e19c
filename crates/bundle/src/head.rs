//! The head: the one mutable record of what is in force where.
//!
//! [`change_head`] is the only way from one head to the next, and is pure: a
//! command computes the next head from the one that it read and writes it by
//! compare-and-swap. An operation that finds its own id in the head has already
//! happened, so repeating a command is safe and a lost answer is resolved by
//! reading.
//!
//! Invariants: the version grows by one with every change; a region's version
//! never falls; while a rollout is open, only its operation, or a withdrawal,
//! changes a region.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use onyxfall_types::{OperatorName, RegionName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::canonical::ContentDigest;
use crate::sign::{OperatorRing, SignatureText, SigningSecret};
use crate::version::BundleVersion;

/// How many past operations a head remembers.
const OPERATION_LOG: usize = 32;

/// Names one run of an operator's command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(String);

impl OperationId {
    /// Wraps a text that the operator's program made unique.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Proof that a content was rolled to a region under a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionRecord {
    /// The region.
    pub region: RegionName,
    /// Version under which the content is in force.
    pub version: BundleVersion,
    /// The content.
    pub content: ContentDigest,
    /// The content before, to which a withdrawal goes back.
    pub former: Option<ContentDigest>,
    /// Operator who rolled it.
    pub operator: OperatorName,
    /// That operator's signature over region, version and content.
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

    /// Whether the signature is by a known operator.
    pub fn verify(&self, ring: &OperatorRing) -> bool {
        let text = Self::signing_text(&self.region, self.version, &self.content);
        ring.verifies(&self.operator, &text, &self.signature)
    }
}

/// A rollout that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRollout {
    /// Operation that opened it.
    pub operation: OperationId,
    /// Operator who opened it.
    pub operator: OperatorName,
    /// Content that it rolls.
    pub content: ContentDigest,
    /// Regions still to come, in order.
    pub remaining: VecDeque<RegionName>,
}

/// What is in force where.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Version of the last change.
    pub version: BundleVersion,
    /// Record of each region.
    pub regions: BTreeMap<RegionName, RegionRecord>,
    /// Rollout under way.
    pub rollout: Option<OpenRollout>,
    /// Last operations, oldest first.
    pub operations: VecDeque<OperationId>,
}

impl HeadRecord {
    /// Whether the operation is among those remembered.
    pub fn has_operation(&self, operation: &OperationId) -> bool {
        self.operations.contains(operation)
    }
}

/// One change of the head.
#[derive(Clone, Debug)]
pub enum HeadChange {
    /// Opens a rollout of `content` to `regions`, in order.
    Open {
        /// Content to roll.
        content: ContentDigest,
        /// Regions in order.
        regions: VecDeque<RegionName>,
    },
    /// Brings the open rollout's content into force in its next region.
    Step {
        /// Operation that opened the rollout.
        rollout: OperationId,
    },
    /// Goes back to the former content wherever `content` is in force or under way.
    Withdraw {
        /// Content to withdraw.
        content: ContentDigest,
    },
}

/// Why a change was refused; the head is then unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HeadError {
    /// Another rollout is open.
    #[error("{operator} is rolling {content} ({operation}); wait for it or withdraw it")]
    RolloutOpen {
        /// Operation that won.
        operation: OperationId,
        /// Operator who won.
        operator: OperatorName,
        /// Content that won.
        content: ContentDigest,
    },
    /// The operation's own rollout is gone: withdrawn, or finished.
    #[error("rollout {operation} is no longer open")]
    RolloutGone {
        /// The operation.
        operation: OperationId,
    },
    /// Nothing to withdraw.
    #[error("{content} is in force in no region")]
    NotInForce {
        /// The content.
        content: ContentDigest,
    },
    /// The content was the first of a region: there is nothing to go back to.
    #[error("region {region} has no former content to go back to")]
    NoFormer {
        /// The region.
        region: RegionName,
    },
    /// A rollout names no region.
    #[error("a rollout needs at least one region")]
    NoRegion,
}

/// Computes the head after `change`.
///
/// # Errors
///
/// The change is not allowed from `head`; see [`HeadError`].
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
    remember(&mut next, operation);
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
    let gone = || HeadError::RolloutGone {
        operation: operation.clone(),
    };
    let rollout = head
        .rollout
        .as_mut()
        .filter(|open| open.operation == *operation);
    let rollout = rollout.ok_or_else(gone)?;
    let content = rollout.content;
    let region = rollout.remaining.pop_front().ok_or_else(gone)?;
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
    let was_rolling = head
        .rollout
        .as_ref()
        .is_some_and(|open| open.content == content);
    if was_rolling {
        head.rollout = None;
    }
    let affected: Vec<RegionRecord> = head
        .regions
        .values()
        .filter(|record| record.content == content)
        .cloned()
        .collect();
    if affected.is_empty() && !was_rolling {
        return Err(HeadError::NotInForce { content });
    }
    for record in affected {
        let region = record.region;
        let former = record.former.ok_or(HeadError::NoFormer {
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
    let before = head.regions.get(&region);
    debug_assert!(before.is_none_or(|record| record.version < head.version));
    let former = match before {
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

fn remember(head: &mut HeadRecord, operation: &OperationId) {
    if head.has_operation(operation) {
        return;
    }
    head.operations.push_back(operation.clone());
    if head.operations.len() > OPERATION_LOG {
        head.operations.pop_front();
    }
}
