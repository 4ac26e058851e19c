//! Fault localization: which keys explain the crashes.
//!
//! A crash is evidence against everything that ran on the server, most of it innocent: a
//! request that is retried after a crash meets the one that caused it again on the next
//! server. The key that was on the most lost servers is therefore found first, and the
//! crashes that it explains count against no other key. Keys that were on the same servers
//! are one culprit: only requests that have all of them are known to crash servers.
//!
//! Several parts of prompts may crash servers in the same seconds, and each makes the crashes of
//! the others look like those of a failing rack. A crash near those of one part therefore
//! shows nothing in its favour if a second part explains it ([`JointCause`]).

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use onyxfall_policy::Moment;

use crate::instance::InstanceTag;
use crate::key::EvidenceKey;

/// Weights of a crash. A crash near crashes of servers that did not run the request has
/// half the weight: racks and failure domains fail together, and
/// a request is retried from one of their servers on the next.
const FULL_WEIGHT: u32 = 2;
const SHARED_WEIGHT: u32 = 1;
/// Time around a crash in which other crashes are near: servers of a failing rack were
/// lost within 1 s, and unresponsive ones are detected up to 1 s later. A request that was
/// running on two of them waits until this time is over. In 2,500 crashes of racks that
/// failed every four seconds, 257 of 483,000 innocent requests were refused with immediate
/// retries and 57 with the wait; none where racks fail eight seconds apart (test
/// `innocents`).
pub(crate) const BURST: Duration = Duration::from_secs(2);
/// Weight from which a key is suspected: two crashes of full weight.
pub(crate) const SUSPECT_WEIGHT: u32 = 2 * FULL_WEIGHT;
/// Weight from which a key is proved to crash servers: three crashes of full weight.
const PROVING_WEIGHT: u32 = 3 * FULL_WEIGHT;
/// Number of crashes from which a key is proved whatever other servers crashed: two keys
/// that crash servers at the same time would otherwise mask each other. Those of a part with a
/// control must be further apart than a burst: a part that most prompts have is on five servers
/// that other parts crash within a second.
const PROVING_CRASHES: usize = 5;
/// Crashes from which a part may explain those near the crashes of another part.
const JOINT_CRASHES: usize = 2;
/// Maximum number of such parts, since each of them is compared with all other candidates.
const MAX_JOINT_CAUSES: usize = 16;

/// A crash of a server that was running requests with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CountedCrash {
    pub(crate) instance: InstanceTag,
    pub(crate) at: Moment,
}

/// Crashes that count against a key, by instance.
#[derive(Clone, Debug)]
pub(crate) struct KeyCrashes {
    pub(crate) key: EvidenceKey,
    /// Whether a request without the key succeeded at the service between the crashes; only for
    /// parts of prompts.
    pub(crate) has_control: bool,
    pub(crate) crashes: Vec<CountedCrash>,
}

impl KeyCrashes {
    /// Whether the crashes are further apart than those of one failing rack.
    fn is_spread(&self) -> bool {
        let times = || self.crashes.iter().map(|crash| crash.at);
        let span = times().min().zip(times().max());
        span.is_some_and(|(first, last)| last > first + BURST)
    }
}

/// A part of prompts that may be one of several that crash servers at the same time: requests
/// without it succeeded between its crashes.
#[derive(Clone, Debug)]
struct JointCause {
    instances: BTreeSet<InstanceTag>,
}

impl JointCause {
    /// The parts with the most crashes among `candidates`.
    fn find(candidates: &[KeyCrashes]) -> Vec<Self> {
        let may_explain = |candidate: &&KeyCrashes| {
            candidate.has_control && candidate.crashes.len() >= JOINT_CRASHES
        };
        let mut parts: Vec<&KeyCrashes> = candidates.iter().filter(may_explain).collect();
        parts.sort_unstable_by_key(|part| (Reverse(part.crashes.len()), part.key));
        let causes = parts.into_iter().take(MAX_JOINT_CAUSES);
        causes
            .map(|part| Self {
                instances: instances(&part.crashes),
            })
            .collect()
    }
}

/// Keys that explain the same crashes.
#[derive(Clone, Debug)]
pub(crate) struct CrashCulprit {
    /// The keys, in ascending order.
    pub(crate) keys: Vec<EvidenceKey>,
    /// Number of crashes that they explain.
    pub(crate) crashes: u32,
    /// The latest of these crashes.
    pub(crate) newest: Moment,
}

/// The culprits, and the crashes that they explain.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalizedFaults {
    pub(crate) culprits: Vec<CrashCulprit>,
    explained: BTreeSet<InstanceTag>,
    /// Parts that may explain crashes which no culprit explains.
    joint: Vec<JointCause>,
}

impl LocalizedFaults {
    /// Finds the culprits among `candidates`, given all lost instances.
    pub(crate) fn find(mut candidates: Vec<KeyCrashes>, lost: &[CountedCrash]) -> Self {
        let mut faults = Self::default();
        loop {
            // An explained crash counts against no other key.
            for candidate in &mut candidates {
                let is_open = |crash: &CountedCrash| !faults.explained.contains(&crash.instance);
                candidate.crashes.retain(is_open);
            }
            faults.joint = JointCause::find(&candidates);
            let ranked = candidates.iter().map(|candidate| {
                let weight = faults.proving_weight(candidate, lost);
                (weight, candidate.crashes.len(), candidate)
            });
            let best = ranked.max_by_key(|(weight, crashes, candidate)| {
                (*weight, *crashes, Reverse(candidate.key))
            });
            let Some((weight, crashes, best)) = best else {
                return faults;
            };
            let has_many = crashes >= PROVING_CRASHES && (best.is_spread() || !best.has_control);
            if weight < PROVING_WEIGHT && !has_many {
                return faults;
            }
            let explained = instances(&best.crashes);
            let newest = best.crashes.iter().map(|crash| crash.at).max();
            let same = candidates.extract_if(.., |c| instances(&c.crashes) == explained);
            let mut keys: Vec<EvidenceKey> = same.map(|candidate| candidate.key).collect();
            keys.sort_unstable();
            faults.culprits.push(CrashCulprit {
                keys,
                crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
                newest: newest.unwrap_or_default(),
            });
            faults.explained.extend(explained);
        }
    }

    /// The culprit that a key belongs to.
    pub(crate) fn culprit_of(&self, key: EvidenceKey) -> Option<&CrashCulprit> {
        let mut culprits = self.culprits.iter();
        culprits.find(|culprit| culprit.keys.binary_search(&key).is_ok())
    }

    /// The crashes of `crashes` that no culprit explains.
    pub(crate) fn unexplained(&self, crashes: &[CountedCrash]) -> Vec<CountedCrash> {
        let open = crashes.iter().copied();
        open.filter(|crash| !self.explained.contains(&crash.instance))
            .collect()
    }

    /// Weight of the crashes of a key for the proof that it crashes servers. Joint causes count
    /// only for crashes further apart than a burst: a request that is retried on the servers of
    /// a failing rack crashes on several of them, and so do others beside it.
    fn proving_weight(&self, candidate: &KeyCrashes, lost: &[CountedCrash]) -> u32 {
        if candidate.is_spread() {
            self.weight(candidate, lost)
        } else {
            self.weight_beside(candidate, lost, &BTreeSet::new())
        }
    }

    /// Weight of the crashes of a key for the suspicion that it crashes servers.
    pub(crate) fn weight(&self, candidate: &KeyCrashes, lost: &[CountedCrash]) -> u32 {
        self.weight_beside(candidate, lost, &self.joint_crashes(candidate))
    }

    /// The crashes that other parts may explain, if the key is one of a part itself. A part that
    /// was on several of the same servers is no second cause; two causes may meet on one.
    fn joint_crashes(&self, candidate: &KeyCrashes) -> BTreeSet<InstanceTag> {
        if !candidate.has_control {
            return BTreeSet::new();
        }
        let own = instances(&candidate.crashes);
        let is_second = |cause: &&JointCause| {
            let shared = cause.instances.intersection(&own).count();
            shared <= 1 && cause.instances.len() - shared >= JOINT_CRASHES
        };
        let others = self.joint.iter().filter(is_second);
        others.flat_map(|cause| cause.instances.clone()).collect()
    }

    /// Weight of the crashes of a key beside crashes that are explained otherwise: by a culprit
    /// or by `joint` causes. These show nothing about the ones near them.
    fn weight_beside(
        &self,
        candidate: &KeyCrashes,
        lost: &[CountedCrash],
        joint: &BTreeSet<InstanceTag>,
    ) -> u32 {
        let crashes = &candidate.crashes;
        let weigh = |crash: &CountedCrash| {
            let is_other = |other: &&CountedCrash| {
                let is_near = other.at <= crash.at + BURST && crash.at <= other.at + BURST;
                let is_own = |own: &CountedCrash| own.instance == other.instance;
                let is_explained = self.explained.contains(&other.instance);
                is_near
                    && !is_explained
                    && !joint.contains(&other.instance)
                    && !crashes.iter().any(is_own)
            };
            if lost.iter().any(|other| is_other(&other)) {
                SHARED_WEIGHT
            } else {
                FULL_WEIGHT
            }
        };
        crashes.iter().map(weigh).sum()
    }
}

fn instances(crashes: &[CountedCrash]) -> BTreeSet<InstanceTag> {
    crashes.iter().map(|crash| crash.instance).collect()
}
