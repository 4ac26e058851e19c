//! Rolls a content out region by region, and withdraws it.

use std::collections::VecDeque;
use std::thread;
use std::time::{Duration, Instant};

use onyxfall_bundle::{BundleVersion, ContentDigest, HeadChange, HeadRecord, OperationId};
use onyxfall_platform::VmRecord;
use onyxfall_types::RegionName;
use serde_json::Value;
use uuid::Uuid;

use crate::context::OperatorContext;
use crate::error::OperatorError;

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const VERSION_TIMEOUT: Duration = Duration::from_secs(1);

/// Content, regions and timeout of a rollout.
#[derive(Clone, Debug)]
pub struct RollPlan {
    /// Content to roll out; two operators must have signed it.
    pub content: ContentDigest,
    /// Regions in rollout order.
    pub regions: Vec<RegionName>,
    /// Maximum time to wait for the entry VMs of a region before continuing with
    /// the next; zero disables the wait.
    pub patience: Duration,
}

/// A completed step of a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollProgress {
    /// Region of the step.
    pub region: RegionName,
    /// Version under which the content is in force there.
    pub version: BundleVersion,
}

impl OperatorContext {
    /// Rolls a content out to regions in order, and calls `on_step` after each step.
    ///
    /// If repeated after a failure, the rollout resumes where it stopped.
    ///
    /// # Errors
    ///
    /// Another rollout is open (the error names it), the content is not signed
    /// off, the entry VMs of a region did not reach the version in time, or a call
    /// to the platform failed.
    pub fn roll(
        &self,
        plan: &RollPlan,
        mut on_step: impl FnMut(&RollProgress),
    ) -> Result<HeadRecord, OperatorError> {
        self.require_sign_off(&plan.content)?;
        let mut head = self.head()?;
        let rollout = match self.own_rollout(&head, plan) {
            Some(rollout) => rollout,
            None if is_rolled_out(&head, plan) => return Ok(head),
            None => {
                let rollout = OperationId::new(Uuid::new_v4().to_string());
                let regions: VecDeque<RegionName> = plan
                    .regions
                    .iter()
                    .filter(|region| {
                        head.regions
                            .get(*region)
                            .is_none_or(|r| r.content != plan.content)
                    })
                    .cloned()
                    .collect();
                let open = HeadChange::Open {
                    content: plan.content,
                    regions,
                };
                head = self.change(&open, &rollout)?;
                rollout
            }
        };
        while let Some(region) = next_region(&head, &rollout) {
            let operation = OperationId::new(format!("{rollout}/{region}"));
            head = self.change(
                &HeadChange::Step {
                    rollout: rollout.clone(),
                },
                &operation,
            )?;
            let version = head
                .regions
                .get(&region)
                .map(|r| r.version)
                .unwrap_or_default();
            let progress = RollProgress { region, version };
            on_step(&progress);
            self.wait_for_region(&progress, plan.patience)?;
        }
        Ok(head)
    }

    /// Restores the former content, under a higher version, in every region where
    /// `content` is in force, and closes an open rollout of `content`. Repeating
    /// it changes nothing.
    ///
    /// # Errors
    ///
    /// The content is not in force in any region or has no former content, or a
    /// call to the platform failed.
    pub fn withdraw(&self, content: &ContentDigest) -> Result<HeadRecord, OperatorError> {
        let operation = OperationId::new(Uuid::new_v4().to_string());
        self.change(&HeadChange::Withdraw { content: *content }, &operation)
    }

    fn require_sign_off(&self, digest: &ContentDigest) -> Result<(), OperatorError> {
        let bundle = self.signed_bundle(digest)?;
        if bundle.is_signed_off(&self.ring) {
            return Ok(());
        }
        let signers = bundle
            .signers(&self.ring)
            .iter()
            .map(ToString::to_string)
            .collect();
        Err(OperatorError::NotSignedOff {
            digest: digest.to_string(),
            signers,
        })
    }

    /// Finds an open rollout of the same content by this operator, from an earlier run.
    fn own_rollout(&self, head: &HeadRecord, plan: &RollPlan) -> Option<OperationId> {
        let open = head.rollout.as_ref()?;
        let same = open.operator == self.operator && open.content == plan.content;
        same.then(|| open.operation.clone())
    }

    fn wait_for_region(
        &self,
        step: &RollProgress,
        patience: Duration,
    ) -> Result<(), OperatorError> {
        if patience.is_zero() {
            return Ok(());
        }
        let deadline = Instant::now() + patience;
        loop {
            let behind = self.behind(step)?;
            if behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(OperatorError::Behind {
                    region: step.region.to_string(),
                    version: step.version.to_string(),
                    behind,
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Names of the region's entry VMs that have not reached the version.
    fn behind(&self, step: &RollProgress) -> Result<Vec<String>, OperatorError> {
        let directory = self.store.directory()?;
        let entries = directory
            .values()
            .flatten()
            .filter(|entry| entry.region == step.region);
        Ok(entries
            .filter(|entry| query_version(entry) < Some(step.version))
            .map(|entry| entry.name.clone())
            .collect())
    }
}

fn is_rolled_out(head: &HeadRecord, plan: &RollPlan) -> bool {
    let in_force = |region| {
        head.regions
            .get(region)
            .is_some_and(|r| r.content == plan.content)
    };
    plan.regions.iter().all(in_force)
}

fn next_region(head: &HeadRecord, rollout: &OperationId) -> Option<RegionName> {
    let open = head
        .rollout
        .as_ref()
        .filter(|open| open.operation == *rollout)?;
    open.remaining.front().cloned()
}

/// Queries the version in force at an entry VM; `None` if it does not respond.
fn query_version(entry: &VmRecord) -> Option<BundleVersion> {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(VERSION_TIMEOUT))
        .build()
        .new_agent();
    let url = format!("http://{}/v1/version", entry.address);
    let text = agent
        .get(&url)
        .call()
        .ok()?
        .body_mut()
        .read_to_string()
        .ok()?;
    let value: Value = serde_json::from_str(&text).ok()?;
    value["version"].as_u64().map(BundleVersion::new)
}
