//! Runs that have begun to write and whose servers may still crash for it.
//!
//! A part of a prompt that crashes servers does so when a server begins to write an answer on
//! it. A run that has begun, and whose server is alive some time later, clears its parts: it
//! need not have ended, since long answers take many seconds.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use onyxfall_policy::Moment;

use crate::instance::InstanceTag;
use crate::key::{EvidenceKey, PartKeys};

/// Time after the first event of an answer from which a crash of the server is not due to the
/// beginning of that answer: servers crashed 40 to 180 ms after it.
pub(crate) const SURVIVAL: Duration = Duration::from_millis(500);
/// Time after which a server without a sign of life or of its loss counts as alive, if the run
/// has not ended. The connections of a machine that has lost power show nothing for 1.5 s.
const SILENCE: Duration = Duration::from_secs(3);
/// Time for which a part that a server has survived gathers no evidence.
const RECENT: Duration = Duration::from_secs(2);
/// Bounds of what is remembered: a VM begins some hundred runs a second.
const MAX_STARTS: usize = 4096;
const MAX_SURVIVED: usize = 4096;
const MAX_CONTROLS: usize = 16;

/// A run that has begun to write.
#[derive(Clone, Debug)]
struct RunStart {
    at: Moment,
    instance: InstanceTag,
    parts: PartKeys,
    has_ended: bool,
}

/// Runs that have begun to write on this VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunStarts {
    pending: VecDeque<RunStart>,
    /// When a server was last known to have survived each part.
    survived: HashMap<EvidenceKey, Moment>,
    /// The latest runs whose servers were found to have survived, and when.
    controls: VecDeque<(Moment, PartKeys)>,
}

impl RunStarts {
    /// Records that a run has begun.
    pub(crate) fn begin(&mut self, at: Moment, instance: InstanceTag, parts: PartKeys) {
        if parts.is_empty() || self.pending.len() >= MAX_STARTS {
            return;
        }
        self.pending.push_back(RunStart {
            at,
            instance,
            parts,
            has_ended: false,
        });
    }

    /// Records that a run has ended well that began at `at`.
    pub(crate) fn end(&mut self, at: Moment, instance: InstanceTag) {
        let mut runs = self.pending.iter_mut().rev();
        if let Some(run) = runs.find(|run| run.at == at && run.instance == instance) {
            run.has_ended = true;
        }
    }

    /// Removes the runs whose servers have survived their beginning, and returns their parts.
    /// `is_lost` tells whether an instance was lost, and `last_alive` when it last gave a sign of
    /// life.
    pub(crate) fn settle(
        &mut self,
        now: Moment,
        is_lost: impl Fn(InstanceTag) -> bool,
        last_alive: impl Fn(InstanceTag) -> Option<Moment>,
    ) -> Vec<EvidenceKey> {
        let mut survived = Vec::new();
        self.pending.retain(|start| {
            if is_lost(start.instance) {
                return false;
            }
            let due = start.at + SURVIVAL;
            let is_alive = last_alive(start.instance).is_some_and(|at| at >= due);
            let has_survived = is_alive || (start.has_ended && now >= due);
            if !has_survived && now < start.at + SILENCE {
                return true;
            }
            survived.extend(&start.parts.keys);
            self.controls.push_back((now, start.parts.clone()));
            false
        });
        let excess = self.controls.len().saturating_sub(MAX_CONTROLS);
        self.controls.drain(..excess);
        for key in &survived {
            self.survived.insert(*key, now);
        }
        self.survived.retain(|_, at| *at + RECENT >= now);
        if self.survived.len() > MAX_SURVIVED {
            self.survived.clear();
        }
        survived
    }

    /// Whether a server survived a run without a part at its service since `crash`.
    pub(crate) fn has_control(&self, key: EvidenceKey, crash: Moment) -> bool {
        let mut controls = self.controls.iter();
        controls.any(|(at, parts)| {
            *at >= crash && key.is_of(parts.service) && !parts.keys.contains(&key)
        })
    }

    /// Whether a server survived a part so shortly before a crash, or since, that the part is not
    /// its cause.
    pub(crate) fn was_survived_near(&self, key: EvidenceKey, crash: Moment) -> bool {
        self.survived
            .get(&key)
            .is_some_and(|at| *at + RECENT >= crash)
    }
}
