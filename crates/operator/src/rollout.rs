//! Rolling a content region by region, and withdrawing it.

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

const LOOK: Duration = Duration::from_millis(200);
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);

/// What to roll.
#[derive(Clone, Debug)]
pub struct RollPlan {
    /// The content; two operators must have signed it.
    pub content: ContentDigest,
    /// Regions, in order.
    pub regions: Vec<RegionName>,
    /// How long to wait for the entries of a region before the next; zero to
    /// not look at all.
    pub patience: Duration,
}

/// A step of a rollout that has happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollProgress {
    /// The region.
    pub region: RegionName,
    /// Version under which the content is in force there.
    pub version: BundleVersion,
}

impl OperatorContext {
    /// Rolls a content to regions in order, telling `each` step.
    ///
    /// Repeated after a failure it goes on where it stopped.
    ///
    /// # Errors
    ///
    /// Another rollout is open (the error names it), the content is not signed
    /// off, a region did not follow, or the platform failed.
    pub fn roll(
        &self,
        plan: &RollPlan,
        mut each: impl FnMut(&RollProgress),
    ) -> Result<HeadRecord, OperatorError> {
        self.need_sign_off(&plan.content)?;
        let mut head = self.head()?;
        let rollout = match self.own_rollout(&head, plan) {
            Some(rollout) => rollout,
            None if is_rolled(&head, plan) => return Ok(head),
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
            each(&progress);
            self.wait_for_region(&progress, plan.patience)?;
        }
        Ok(head)
    }

    /// Goes back to the former content wherever `content` is in force or under
    /// way, under a higher version. A second time changes nothing.
    ///
    /// # Errors
    ///
    /// The content is in force nowhere or has nothing before it, or the
    /// platform failed.
    pub fn withdraw(&self, content: &ContentDigest) -> Result<HeadRecord, OperatorError> {
        let operation = OperationId::new(Uuid::new_v4().to_string());
        self.change(&HeadChange::Withdraw { content: *content }, &operation)
    }

    fn need_sign_off(&self, digest: &ContentDigest) -> Result<(), OperatorError> {
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

    /// The own open rollout of the same content, from an earlier run.
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
        let until = Instant::now() + patience;
        loop {
            let behind = self.behind(step)?;
            if behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(OperatorError::Behind {
                    region: step.region.to_string(),
                    version: step.version.to_string(),
                    behind,
                });
            }
            thread::sleep(LOOK);
        }
    }

    /// Entries of the region that are not at the version yet.
    fn behind(&self, step: &RollProgress) -> Result<Vec<String>, OperatorError> {
        let directory = self.store.directory()?;
        let entries = directory
            .values()
            .flatten()
            .filter(|entry| entry.region == step.region);
        Ok(entries
            .filter(|entry| version_of(entry) < Some(step.version))
            .map(|entry| entry.name.clone())
            .collect())
    }
}

fn is_rolled(head: &HeadRecord, plan: &RollPlan) -> bool {
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

/// Version that an entry says is in force; `None` if it does not answer.
fn version_of(entry: &VmRecord) -> Option<BundleVersion> {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(LOOK_TIMEOUT))
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
