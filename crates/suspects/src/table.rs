//! Table of keys whose requests were running on lost servers, and the verdicts on them.

use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use onyxfall_policy::Moment;

use crate::culprit::{BURST, CountedCrash, KeyCrashes, LocalizedFaults, SUSPECT_WEIGHT};
use crate::instance::InstanceTag;
use crate::key::{CallKeys, EvidenceKey, PartKeys};
use crate::record::{CrashRecord, InstanceRecord, SuspectRecord};
use crate::start::{RunStarts, SURVIVAL};
use crate::update::{CrashUpdate, InstanceUpdate, KeyUpdate, SuspectCursor, SuspectUpdate};
use crate::verdict::{CallJudgement, SuspectSummary, SuspectVerdict};

/// Minimum time from a loss to a liveness signal that clears it: bytes received before
/// the loss are still read for a while.
pub(crate) const LIVENESS_DELAY: Duration = Duration::from_millis(200);
/// How long requests with a culprit do not run after its last crash. Then one may be tried,
/// alone: a wrong verdict thus ends, and a correct one costs one server per such period.
pub const QUARANTINE: Duration = Duration::from_mins(10);
/// The same for a part of prompts if no request without it has succeeded at the service between
/// its crashes: servers may then crash by themselves, and the part may be one that all requests
/// have. Doubled with each crash after the third.
const UNCONTROLLED_QUARANTINE: Duration = Duration::from_secs(2);
const UNCONTROLLED_CRASHES: u32 = 3;
/// How long a key's crashes are kept after the last one, and that a good run has cleared them: a
/// VM that was cut off meanwhile still has them and sends them when it is back.
const RETENTION: Duration = Duration::from_hours(1);
/// The same for a key with a single crash, as hundreds of keys have after each
/// crash.
const RETENTION_SINGLE: Duration = Duration::from_mins(10);
/// The same for a key whose crashes are all cleared, since the servers survived, or whose single
/// crash a good run has cleared: where servers drop one connection in fifty, these are most of
/// the table.
const RETENTION_CLEARED: Duration = Duration::from_secs(10);
/// Bounds of the table: about 200 bytes per key, 800 KB in total. A crash adds the
/// requests that ran on the server, at most 128, with the rare parts of their prompts, and
/// keys with the fewest crashes are evicted first.
const MAX_KEYS: usize = 4096;
const MAX_INSTANCES: usize = 1024;
/// Maximum number of records in one message to another VM, 60 bytes each.
const MAX_SENT: usize = 256;

/// Keys of requests that were running on lost servers.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    keys: HashMap<EvidenceKey, SuspectRecord>,
    instances: HashMap<InstanceTag, InstanceRecord>,
    starts: RunStarts,
    changes: u64,
    /// Culprits by the present evidence, computed on demand.
    faults: RefCell<Option<LocalizedFaults>>,
}

impl SuspectTable {
    /// Whether the table has no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// The keys of a request that are in the table.
    pub fn known_keys(&self, keys: &CallKeys) -> Vec<EvidenceKey> {
        let known = keys.iter().filter(|key| self.keys.contains_key(key));
        known.collect()
    }

    /// Records that an instance was lost while running a request that had been writing its
    /// answer for `written`, which is zero if it had not begun. A part of a prompt that crashes
    /// servers does so when they begin to write.
    ///
    /// ```
    /// use std::time::Duration;
    /// use onyxfall_policy::Moment;
    /// use onyxfall_suspects::{CallKeys, FingerprintParts, InstanceTag, PartKeys, PartScope};
    /// use onyxfall_suspects::{RequestFingerprint, SuspectTable, SuspectVerdict};
    /// let parts = FingerprintParts {
    ///     method: "POST",
    ///     host: b"a",
    ///     target: "/",
    ///     team: None,
    ///     body: b"body",
    /// };
    /// let scope = PartScope::of(&"models".parse().unwrap(), None);
    /// let keys = CallKeys {
    ///     request: RequestFingerprint::of(&parts).into(),
    ///     parts: PartKeys::of(scope, [0x91bd]),
    /// };
    /// let mut table = SuspectTable::default();
    /// for server in ["s1", "s2", "s3"] {
    ///     let instance = InstanceTag::of(server);
    ///     table.record_loss(Moment::ZERO, &keys, instance, Duration::ZERO);
    /// }
    /// let verdict = table.judge(Moment::ZERO, &keys).verdict;
    /// assert!(matches!(verdict, SuspectVerdict::Quarantined { .. }));
    /// ```
    pub fn record_loss(
        &mut self,
        now: Moment,
        keys: &CallKeys,
        instance: InstanceTag,
        written: Duration,
    ) {
        self.record_crash(now, keys.request, instance);
        if written < SURVIVAL {
            for key in &keys.parts.keys {
                if !self.starts.was_survived_near(*key, now) {
                    self.record_crash(now, *key, instance);
                }
            }
        }
        self.bound();
    }

    fn record_crash(&mut self, now: Moment, key: EvidenceKey, instance: InstanceTag) {
        let survivals = self
            .instances
            .get(&instance)
            .map_or(0, |record| record.survivals);
        self.apply_instance(now, instance, survivals, Some(now));
        let crash = CrashRecord { at: now, survivals };
        let known = self.keys.get(&key);
        let good_runs = known.map_or(0, |record| record.good_runs);
        let first = known.and_then(|record| record.crashes().map(|(_, crash)| crash.at).min());
        let has_control = first.is_some_and(|first| self.starts.has_control(key, first));
        self.apply_key(key, good_runs, has_control, &[(instance, crash)]);
    }

    /// Records a liveness signal of a server instance.
    pub fn record_liveness(&mut self, instance: InstanceTag, at: Moment) {
        if let Some(record) = self.instances.get_mut(&instance)
            && record.record_liveness(at)
        {
            self.changes += 1;
            record.changed = self.changes;
            self.faults.take();
        }
    }

    /// Instances that were lost and have no liveness signal since.
    pub fn lost_instances(&self) -> impl Iterator<Item = InstanceTag> {
        let lost = self
            .instances
            .iter()
            .filter(|(_, instance)| instance.lost.is_some());
        lost.map(|(tag, _)| *tag)
    }

    /// Records that a request with a key succeeded, which clears the key's crashes.
    pub fn record_success(&mut self, key: impl Into<EvidenceKey>) {
        let record = self.keys.get_mut(&key.into());
        if let Some(record) = record.filter(|record| record.len() > 0) {
            record.record_good_runs(record.good_runs + 1);
            self.changes += 1;
            record.changed = self.changes;
            self.faults.take();
        }
    }

    /// Lifts the verdict on requests with a key: its evidence is removed here, and on the VMs
    /// that receive the update. Returns whether there was any.
    ///
    /// ```
    /// use onyxfall_suspects::{PartScope, SuspectTable};
    /// let key = PartScope::of(&"models".parse().unwrap(), None).key(0x91bd);
    /// assert!(!SuspectTable::default().lift(key));
    /// ```
    pub fn lift(&mut self, key: EvidenceKey) -> bool {
        let has_evidence = self.keys.get(&key).is_some_and(|record| record.len() > 0);
        self.record_success(key);
        has_evidence
    }

    /// Records that a server has begun to write the answer to a prompt with `parts`.
    pub fn record_start(&mut self, now: Moment, instance: InstanceTag, parts: PartKeys) {
        self.starts.begin(now, instance, parts);
    }

    /// Records that the answer of which the beginning was recorded at `started` has ended well.
    pub fn record_end(&mut self, started: Moment, instance: InstanceTag) {
        self.starts.end(started, instance);
    }

    /// Clears the parts of prompts whose servers have survived the beginning of the answer.
    /// `last_alive` tells when an instance last gave a sign of life.
    pub fn settle(&mut self, now: Moment, last_alive: impl Fn(InstanceTag) -> Option<Moment>) {
        let instances = &self.instances;
        let is_lost = |tag| {
            let record: Option<&InstanceRecord> = instances.get(&tag);
            record.is_some_and(|record| record.lost.is_some())
        };
        let survived = self.starts.settle(now, is_lost, last_alive);
        if self.is_empty() {
            return;
        }
        for key in survived {
            self.record_success(key);
        }
    }

    /// Verdict on a request: the most severe one on its keys.
    pub fn judge(&self, now: Moment, keys: &CallKeys) -> CallJudgement {
        let verdicts = keys.iter().map(|key| self.judge_key(now, key, keys));
        let worst = verdicts.max_by_key(|judgement| (judgement.verdict.severity(), judgement.key));
        worst.unwrap_or(CallJudgement {
            verdict: SuspectVerdict::Clear,
            key: keys.request,
        })
    }

    fn judge_key(&self, now: Moment, key: EvidenceKey, keys: &CallKeys) -> CallJudgement {
        let clear = CallJudgement {
            verdict: SuspectVerdict::Clear,
            key: keys.request,
        };
        let Some(record) = self.keys.get(&key) else {
            return clear;
        };
        let crashes = counted(record, &self.instances);
        if crashes.len() < 2 {
            return clear;
        }
        let faults = self.faults();
        if let Some(culprit) = faults.culprit_of(key) {
            let is_request = key == keys.request;
            let has_all = culprit.keys.iter().all(|other| keys.has(*other));
            // Another request with some of the keys of a culprit tells them apart.
            let period = if is_request || has_all {
                quarantine(is_request || record.has_control, culprit.crashes)
            } else {
                Duration::ZERO
            };
            return CallJudgement {
                verdict: verdict_after(now - culprit.newest, period),
                key: culprit.keys[0],
            };
        }
        let open = KeyCrashes {
            key,
            has_control: record.has_control,
            crashes: faults.unexplained(&crashes),
        };
        let newest = open.crashes.iter().map(|crash| crash.at).max();
        match newest {
            Some(newest) if faults.weight(&open, &self.lost()) >= SUSPECT_WEIGHT => CallJudgement {
                verdict: verdict_after(now - newest, Duration::ZERO),
                key,
            },
            _ => clear,
        }
    }

    /// The culprits and how long requests with them are refused. `is_part` tells which keys are
    /// those of parts of prompts.
    pub fn summaries(
        &self,
        now: Moment,
        is_part: impl Fn(EvidenceKey) -> bool,
    ) -> Vec<SuspectSummary> {
        let faults = self.faults();
        let culprits = faults.culprits.iter();
        let summaries = culprits.flat_map(|culprit| {
            culprit.keys.iter().map(|key| {
                let record = self.keys.get(key);
                let has_control = record.is_some_and(|record| record.has_control);
                let period = quarantine(has_control || !is_part(*key), culprit.crashes);
                let age = now - culprit.newest;
                let others = culprit.keys.iter().copied();
                SuspectSummary {
                    key: *key,
                    verdict: verdict_after(age, period),
                    crashes: culprit.crashes,
                    age,
                    together: others.filter(|other| other != key).collect(),
                }
            })
        });
        summaries.collect()
    }

    /// The culprits by the present evidence.
    fn faults(&self) -> Ref<'_, LocalizedFaults> {
        if self.faults.borrow().is_none() {
            let records = self.keys.iter();
            let candidates = records.map(|(key, record)| KeyCrashes {
                key: *key,
                has_control: record.has_control,
                crashes: counted(record, &self.instances),
            });
            let candidates = candidates.filter(|candidate| candidate.crashes.len() > 1);
            let faults = LocalizedFaults::find(candidates.collect(), &self.lost());
            *self.faults.borrow_mut() = Some(faults);
        }
        Ref::map(self.faults.borrow(), |faults| {
            faults.as_ref().expect("computed above")
        })
    }

    /// Instances that were lost, with the time of the loss.
    fn lost(&self) -> Vec<CountedCrash> {
        let lost = self.instances.iter().filter_map(|(instance, record)| {
            let at = record.lost?;
            let instance = *instance;
            Some(CountedCrash { instance, at })
        });
        lost.collect()
    }

    /// Changes since `cursor`, the oldest first and limited in number; advances the cursor
    /// past them.
    pub fn next_update(&self, now: Moment, cursor: &mut SuspectCursor) -> SuspectUpdate {
        if cursor.0 == self.changes {
            return SuspectUpdate::default();
        }
        let mut changed: Vec<u64> = self
            .keys
            .values()
            .map(|record| record.changed)
            .chain(self.instances.values().map(|instance| instance.changed))
            .filter(|number| *number > cursor.0)
            .collect();
        changed.sort_unstable();
        let up_to = changed.get(MAX_SENT).map_or(self.changes, |next| next - 1);
        let is_due = |number: u64| number > cursor.0 && number <= up_to;
        let keys = self.keys.iter().filter(|(_, r)| is_due(r.changed));
        let instances = self
            .instances
            .iter()
            .filter(|(_, instance)| is_due(instance.changed));
        let update = SuspectUpdate {
            keys: keys
                .map(|(key, record)| key_update(now, *key, record))
                .collect(),
            instances: instances
                .map(|(tag, instance)| InstanceUpdate {
                    instance: *tag,
                    survivals: instance.survivals,
                    lost: instance.lost.map(|at| now - at),
                })
                .collect(),
        };
        cursor.0 = up_to;
        update
    }

    /// Applies another VM's update. Returns whether it must be forwarded at once: it changes
    /// a key with more than one crash.
    pub fn apply(&mut self, now: Moment, update: &SuspectUpdate) -> bool {
        let mut is_urgent = false;
        for instance in &update.instances {
            let lost = instance.lost.map(|age| now.before(age));
            self.apply_instance(now, instance.instance, instance.survivals, lost);
        }
        for key in &update.keys {
            let crashes: Vec<(InstanceTag, CrashRecord)> = key
                .crashes
                .iter()
                .map(|crash| {
                    let at = now.before(crash.age);
                    let survivals = crash.survivals;
                    (crash.instance, CrashRecord { at, survivals })
                })
                .collect();
            let is_changed = self.apply_key(key.key, key.good_runs, key.has_control, &crashes);
            is_urgent |= is_changed && crashes.len() > 1;
            let is_cleared =
                |(_, crash): &(_, CrashRecord)| self.starts.was_survived_near(key.key, crash.at);
            if is_changed && crashes.iter().any(is_cleared) {
                self.record_success(key.key);
            }
        }
        self.bound();
        is_urgent
    }

    /// Evicts old records.
    pub fn expire(&mut self, now: Moment) {
        let instances = &self.instances;
        self.keys.retain(|_, record| {
            if let Some((crashes, age)) = record.cleared(now) {
                let had_verdict = crashes > 1;
                return age
                    < if had_verdict {
                        RETENTION
                    } else {
                        RETENTION_CLEARED
                    };
            }
            let retention = match counted(record, instances).len() {
                0 => RETENTION_CLEARED,
                1 => RETENTION_SINGLE,
                _ => RETENTION,
            };
            now - record.newest() < retention
        });
        self.instances
            .retain(|_, instance| now - instance.updated < RETENTION);
        self.faults.take();
    }

    /// Applies an update on an instance. The record of an instance that was never lost keeps
    /// an update time of zero, so that it expires first.
    fn apply_instance(
        &mut self,
        now: Moment,
        instance: InstanceTag,
        survivals: u32,
        lost: Option<Moment>,
    ) {
        let record = self.instances.entry(instance).or_default();
        if record.record_loss(survivals, lost) {
            self.changes += 1;
            record.updated = now;
            record.changed = self.changes;
            self.faults.take();
        }
    }

    /// Applies the good runs, control and crashes of a key; returns whether that changed its
    /// record.
    fn apply_key(
        &mut self,
        key: EvidenceKey,
        good_runs: u32,
        has_control: bool,
        crashes: &[(InstanceTag, CrashRecord)],
    ) -> bool {
        let record = self.keys.entry(key).or_default();
        let mut is_changed = record.record_good_runs(good_runs);
        if good_runs == record.good_runs {
            is_changed |= has_control && !record.has_control;
            record.has_control |= has_control;
            for (instance, crash) in crashes {
                is_changed |= record.record_crash(*instance, *crash);
            }
        }
        if is_changed {
            self.changes += 1;
            record.changed = self.changes;
            self.faults.take();
        }
        is_changed
    }

    /// Evicts what exceeds the bounds: keys with the fewest crashes, the oldest first,
    /// and the oldest instances.
    fn bound(&mut self) {
        let excess = self.keys.len().saturating_sub(MAX_KEYS);
        if excess > 0 {
            let mut ranked: Vec<(usize, Moment, EvidenceKey)> = self
                .keys
                .iter()
                .map(|(key, record)| (record.len(), record.newest(), *key))
                .collect();
            ranked.sort_unstable();
            for (_, _, key) in ranked.into_iter().take(excess) {
                self.keys.remove(&key);
            }
        }
        let excess = self.instances.len().saturating_sub(MAX_INSTANCES);
        if excess > 0 {
            let mut ranked: Vec<(Moment, InstanceTag)> = self
                .instances
                .iter()
                .map(|(tag, instance)| (instance.updated, *tag))
                .collect();
            ranked.sort_unstable();
            for (_, tag) in ranked.into_iter().take(excess) {
                self.instances.remove(&tag);
            }
        }
    }
}

/// Verdict on requests with a suspected key whose last crash is `age` ago, if they do not run
/// for `period` after it. They do not run during a burst of crashes in any case.
fn verdict_after(age: Duration, period: Duration) -> SuspectVerdict {
    let left = period.saturating_sub(age);
    let burst = BURST.saturating_sub(age);
    if !left.is_zero() {
        SuspectVerdict::Quarantined { left }
    } else if !burst.is_zero() {
        SuspectVerdict::Pending { left: burst }
    } else {
        SuspectVerdict::Suspected
    }
}

/// How long requests with a culprit of so many crashes are refused, which either is sure or a
/// part of prompts without a control.
fn quarantine(is_sure: bool, crashes: u32) -> Duration {
    if is_sure {
        return QUARANTINE;
    }
    let doublings = crashes.saturating_sub(UNCONTROLLED_CRASHES).min(16);
    QUARANTINE.min(UNCONTROLLED_QUARANTINE * (1 << doublings))
}

/// A key's crashes, without those of servers that survived.
fn counted(
    record: &SuspectRecord,
    instances: &HashMap<InstanceTag, InstanceRecord>,
) -> Vec<CountedCrash> {
    let has_survived = |instance: InstanceTag, crash: CrashRecord| {
        let known = instances.get(&instance);
        known.is_some_and(|known| known.survivals > crash.survivals)
    };
    let crashes = record.crashes();
    let crashes = crashes.filter(|(instance, crash)| !has_survived(*instance, *crash));
    let crashes = crashes.map(|(instance, crash)| CountedCrash {
        instance,
        at: crash.at,
    });
    crashes.collect()
}

fn key_update(now: Moment, key: EvidenceKey, record: &SuspectRecord) -> KeyUpdate {
    KeyUpdate {
        key,
        good_runs: record.good_runs,
        has_control: record.has_control,
        crashes: record
            .crashes()
            .map(|(instance, crash)| CrashUpdate {
                instance,
                age: now - crash.at,
                survivals: crash.survivals,
            })
            .collect(),
    }
}
