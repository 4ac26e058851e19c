//! Table of requests that were running on lost servers, and the verdicts on them.

use std::collections::HashMap;
use std::time::Duration;

use onyxfall_policy::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::instance::InstanceTag;
use crate::record::{CrashRecord, InstanceRecord, SuspectRecord};
use crate::update::{CrashUpdate, InstanceUpdate, RequestUpdate, SuspectCursor, SuspectUpdate};
use crate::verdict::SuspectVerdict;

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
const BURST: Duration = Duration::from_secs(2);
/// Minimum time from a loss to a liveness signal that clears it: bytes received before
/// the loss are still read for a while.
pub(crate) const LIVENESS_DELAY: Duration = Duration::from_millis(200);
/// Weight from which a request runs alone: two crashes of full weight.
const SUSPECT_WEIGHT: u32 = 2 * FULL_WEIGHT;
/// Weight from which a request is quarantined: three crashes of full weight. A
/// request that crashes its servers costs three of them.
const QUARANTINE_WEIGHT: u32 = 3 * FULL_WEIGHT;
/// Number of crashes from which a request is quarantined whatever other servers crashed:
/// two requests that crash servers at the same time would otherwise mask each other.
const QUARANTINE_CRASHES: usize = 5;
/// How long a request does not run after its last crash. Then it may be tried once, alone:
/// a wrong verdict thus ends, and a correct one costs one server per such period.
pub const QUARANTINE: Duration = Duration::from_mins(10);
/// How long a request's crashes are kept after the last one.
const RETENTION: Duration = Duration::from_hours(1);
/// The same for a request with a single crash, as hundreds of requests have after each
/// crash.
const RETENTION_SINGLE: Duration = Duration::from_mins(10);
/// The same for a request whose crashes are all cleared, since the servers survived: where
/// servers drop one connection in fifty, these are most of the table.
const RETENTION_CLEARED: Duration = Duration::from_secs(10);
/// Bounds of the table: about 150 bytes per request, 600 KB in total. A crash adds the
/// requests that ran on the server, at most 128, and requests with the fewest crashes are
/// evicted first.
const MAX_REQUESTS: usize = 4096;
const MAX_INSTANCES: usize = 1024;
/// Maximum number of records in one message to another VM, 60 bytes each.
const MAX_SENT: usize = 256;

/// Requests that were running on lost servers.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    requests: HashMap<RequestFingerprint, SuspectRecord>,
    instances: HashMap<InstanceTag, InstanceRecord>,
    changes: u64,
}

impl SuspectTable {
    /// Whether the table has no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests in the table.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request is in the table.
    pub fn knows(&self, fingerprint: RequestFingerprint) -> bool {
        self.requests.contains_key(&fingerprint)
    }

    /// Records that an instance was lost while running a request.
    ///
    /// ```
    /// use onyxfall_policy::Moment;
    /// use onyxfall_suspects::{FingerprintParts, InstanceTag, RequestFingerprint};
    /// use onyxfall_suspects::{SuspectTable, SuspectVerdict};
    /// let request = RequestFingerprint::of(&FingerprintParts {
    ///     method: "POST",
    ///     host: b"a",
    ///     target: "/",
    ///     team: None,
    ///     body: b"body",
    /// });
    /// let mut table = SuspectTable::default();
    /// for server in ["s1", "s2", "s3"] {
    ///     table.record_crash(Moment::ZERO, request, InstanceTag::of(server));
    /// }
    /// let verdict = table.judge(Moment::ZERO, request);
    /// assert!(matches!(verdict, SuspectVerdict::Quarantined { .. }));
    /// ```
    pub fn record_crash(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        instance: InstanceTag,
    ) {
        let survivals = self
            .instances
            .get(&instance)
            .map_or(0, |record| record.survivals);
        self.apply_instance(now, instance, survivals, Some(now));
        let crash = CrashRecord { at: now, survivals };
        let good_runs = self.requests.get(&fingerprint).map_or(0, |r| r.good_runs);
        self.apply_request(fingerprint, good_runs, &[(instance, crash)]);
        self.bound();
    }

    /// Records a liveness signal of a server instance.
    pub fn record_liveness(&mut self, instance: InstanceTag, at: Moment) {
        let number = self.changes + 1;
        if let Some(record) = self.instances.get_mut(&instance)
            && record.record_liveness(at)
        {
            record.changed = number;
            self.changes = number;
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

    /// Records that a request succeeded, which clears its crashes.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) {
        let number = self.changes + 1;
        if let Some(record) = self.requests.get_mut(&fingerprint)
            && record.len() > 0
        {
            record.record_good_runs(record.good_runs + 1);
            record.changed = number;
            self.changes = number;
        }
    }

    /// Verdict on a request.
    pub fn judge(&self, now: Moment, fingerprint: RequestFingerprint) -> SuspectVerdict {
        let Some(record) = self.requests.get(&fingerprint) else {
            return SuspectVerdict::Clear;
        };
        let counted: Vec<Moment> = counted(record, &self.instances).collect();
        let Some(newest) = counted.iter().copied().max() else {
            return SuspectVerdict::Clear;
        };
        let weight: u32 = counted.iter().map(|at| self.weight(record, *at)).sum();
        let is_proved = weight >= QUARANTINE_WEIGHT || counted.len() >= QUARANTINE_CRASHES;
        let quarantine = QUARANTINE.saturating_sub(now - newest);
        let burst = BURST.saturating_sub(now - newest);
        if is_proved && !quarantine.is_zero() {
            SuspectVerdict::Quarantined { left: quarantine }
        } else if !is_proved && weight < SUSPECT_WEIGHT {
            SuspectVerdict::Clear
        } else if burst.is_zero() {
            SuspectVerdict::Suspected
        } else {
            SuspectVerdict::Pending { left: burst }
        }
    }

    /// Weight of a request's crash at `at`.
    fn weight(&self, record: &SuspectRecord, at: Moment) -> u32 {
        let is_near = |lost: Moment| lost <= at + BURST && at <= lost + BURST;
        let is_shared = self
            .instances
            .iter()
            .any(|(tag, instance)| instance.lost.is_some_and(is_near) && !record.was_on(*tag));
        if is_shared {
            SHARED_WEIGHT
        } else {
            FULL_WEIGHT
        }
    }

    /// Changes since `cursor`, the oldest first and limited in number; advances the cursor
    /// past them.
    pub fn next_update(&self, now: Moment, cursor: &mut SuspectCursor) -> SuspectUpdate {
        if cursor.0 == self.changes {
            return SuspectUpdate::default();
        }
        let mut changed: Vec<u64> = self
            .requests
            .values()
            .map(|record| record.changed)
            .chain(self.instances.values().map(|instance| instance.changed))
            .filter(|number| *number > cursor.0)
            .collect();
        changed.sort_unstable();
        let up_to = changed.get(MAX_SENT).map_or(self.changes, |next| next - 1);
        let is_due = |number: u64| number > cursor.0 && number <= up_to;
        let requests = self.requests.iter().filter(|(_, r)| is_due(r.changed));
        let instances = self
            .instances
            .iter()
            .filter(|(_, instance)| is_due(instance.changed));
        let update = SuspectUpdate {
            requests: requests
                .map(|(fingerprint, record)| request_update(now, *fingerprint, record))
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
    /// a request with more than one crash.
    pub fn apply(&mut self, now: Moment, update: &SuspectUpdate) -> bool {
        let mut is_urgent = false;
        for instance in &update.instances {
            let lost = instance.lost.map(|age| now.before(age));
            self.apply_instance(now, instance.instance, instance.survivals, lost);
        }
        for request in &update.requests {
            let crashes: Vec<(InstanceTag, CrashRecord)> = request
                .crashes
                .iter()
                .map(|crash| {
                    let at = now.before(crash.age);
                    let survivals = crash.survivals;
                    (crash.instance, CrashRecord { at, survivals })
                })
                .collect();
            let is_changed = self.apply_request(request.fingerprint, request.good_runs, &crashes);
            is_urgent |= is_changed && crashes.len() > 1;
        }
        self.bound();
        is_urgent
    }

    /// Evicts old records.
    pub fn expire(&mut self, now: Moment) {
        let instances = &self.instances;
        self.requests.retain(|_, record| {
            let retention = match counted(record, instances).count() {
                0 => RETENTION_CLEARED,
                1 => RETENTION_SINGLE,
                _ => RETENTION,
            };
            now - record.newest() < retention
        });
        self.instances
            .retain(|_, instance| now - instance.updated < RETENTION);
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
        let number = self.changes + 1;
        let record = self.instances.entry(instance).or_default();
        if record.record_loss(survivals, lost) {
            record.updated = now;
            record.changed = number;
            self.changes = number;
        }
    }

    /// Applies the good runs and crashes of a request; returns whether that changed its
    /// record.
    fn apply_request(
        &mut self,
        fingerprint: RequestFingerprint,
        good_runs: u32,
        crashes: &[(InstanceTag, CrashRecord)],
    ) -> bool {
        let number = self.changes + 1;
        let record = self.requests.entry(fingerprint).or_default();
        let mut is_changed = record.record_good_runs(good_runs);
        if good_runs == record.good_runs {
            for (instance, crash) in crashes {
                is_changed |= record.record_crash(*instance, *crash);
            }
        }
        if is_changed {
            record.changed = number;
            self.changes = number;
        }
        is_changed
    }

    /// Evicts what exceeds the bounds: requests with the fewest crashes, the oldest first,
    /// and the oldest instances.
    fn bound(&mut self) {
        let excess = self.requests.len().saturating_sub(MAX_REQUESTS);
        if excess > 0 {
            let mut ranked: Vec<(usize, Moment, RequestFingerprint)> = self
                .requests
                .iter()
                .map(|(fingerprint, record)| (record.len(), record.newest(), *fingerprint))
                .collect();
            ranked.sort_unstable();
            for (_, _, fingerprint) in ranked.into_iter().take(excess) {
                self.requests.remove(&fingerprint);
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

/// Times of a request's crashes, without those of servers that survived.
fn counted(
    record: &SuspectRecord,
    instances: &HashMap<InstanceTag, InstanceRecord>,
) -> impl Iterator<Item = Moment> {
    let has_survived = |instance: InstanceTag, crash: CrashRecord| {
        let known = instances.get(&instance);
        known.is_some_and(|known| known.survivals > crash.survivals)
    };
    let crashes = record.crashes();
    let crashes = crashes.filter(move |(instance, crash)| !has_survived(*instance, *crash));
    crashes.map(|(_, crash)| crash.at)
}

fn request_update(
    now: Moment,
    fingerprint: RequestFingerprint,
    record: &SuspectRecord,
) -> RequestUpdate {
    RequestUpdate {
        fingerprint,
        good_runs: record.good_runs,
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
