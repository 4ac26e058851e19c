//! The requests that were on servers that broke off, and what follows from it.

use std::collections::HashMap;
use std::time::Duration;

use onyxfall_policy::Moment;

use crate::fingerprint::RequestFingerprint;
use crate::life::InstanceTag;
use crate::news::{CrashUpdate, InstanceUpdate, RequestUpdate, SuspectCursor, SuspectUpdate};
use crate::record::{CrashRecord, InstanceRecord, SuspectRecord};
use crate::verdict::SuspectVerdict;

/// Weight of a crash that is the request's alone. A crash with others near it, of
/// servers that did not run the request, weighs half: racks and domains fail together,
/// and a request is sent on from one of their servers to the next.
const FULL_WEIGHT: u32 = 2;
const SHARED_WEIGHT: u32 = 1;
/// Time around a crash in which others count as near: servers of a rack broke off
/// within 1 s, and silent ones are noticed up to 1 s later. A request that was on two of
/// them does not run before it is over: sent on at once, 257 of 483,000 proper requests
/// were refused in 2,500 crashes of racks that failed each four seconds, and 57 when they
/// wait; none where racks fail eight seconds apart (test `innocents`).
const BURST: Duration = Duration::from_secs(2);
/// A sign of life counts against a crash only so much later: bytes that had arrived
/// before are still read for a while.
pub(crate) const SETTLE: Duration = Duration::from_millis(200);
/// Weight from which a request runs alone: two crashes of its own.
const SUSPECT_WEIGHT: u32 = 2 * FULL_WEIGHT;
/// Weight from which a request is quarantined: three crashes of its own. A request that
/// crashes its servers costs three of them.
const QUARANTINE_WEIGHT: u32 = 3 * FULL_WEIGHT;
/// Crashes from which a request is quarantined whatever crashed beside it: two such
/// requests at once would hide each other's guilt.
const MOST_CRASHES: usize = 5;
/// How long a request does not run after its last crash. Then it may be tried once, alone:
/// a wrong verdict ends, and a right one costs a server in this time.
pub const QUARANTINE: Duration = Duration::from_mins(10);
/// How long crashes are remembered after the last one.
const REMEMBERED: Duration = Duration::from_hours(1);
/// The same of a request that was on one server only, as hundreds are after each crash.
const REMEMBERED_ONCE: Duration = Duration::from_mins(10);
/// The same of a request against which nothing speaks any more, since the servers lived
/// on: where servers break one connection in fifty off, these are most of the table.
const REMEMBERED_CLEAR: Duration = Duration::from_secs(10);
/// Bounds of the table: some 150 bytes a request, 600 KB. A crash adds what ran on the
/// server, 128 at most, and what was on few servers is dropped first.
const MOST_REQUESTS: usize = 4096;
const MOST_LIVES: usize = 1024;
/// Records of each kind in one message to another VM, 60 bytes each.
const MOST_TOLD: usize = 256;

/// Requests that were on servers that broke off.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    requests: HashMap<RequestFingerprint, SuspectRecord>,
    lives: HashMap<InstanceTag, InstanceRecord>,
    changes: u64,
}

impl SuspectTable {
    /// Whether no request was on a server that broke off.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request was on a server that broke off.
    pub fn knows(&self, fingerprint: RequestFingerprint) -> bool {
        self.requests.contains_key(&fingerprint)
    }

    /// Notes that `life` broke off under a request.
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
    /// for life in ["s1", "s2", "s3"] {
    ///     table.record_crash(Moment::ZERO, request, InstanceTag::of(life));
    /// }
    /// let verdict = table.judge(Moment::ZERO, request);
    /// assert!(matches!(verdict, SuspectVerdict::Quarantined { .. }));
    /// ```
    pub fn record_crash(
        &mut self,
        now: Moment,
        fingerprint: RequestFingerprint,
        life: InstanceTag,
    ) {
        let survivals = self.lives.get(&life).map_or(0, |record| record.survivals);
        self.take_life(now, life, survivals, Some(now));
        let crash = CrashRecord { at: now, survivals };
        let good_runs = self.requests.get(&fingerprint).map_or(0, |r| r.good_runs);
        self.take_request(fingerprint, good_runs, &[(life, crash)]);
        self.bound();
    }

    /// Notes a sign of life of a server.
    pub fn record_liveness(&mut self, life: InstanceTag, at: Moment) {
        let number = self.changes + 1;
        if let Some(record) = self.lives.get_mut(&life)
            && record.record_liveness(at)
        {
            record.changed = number;
            self.changes = number;
        }
    }

    /// Lives that broke off and of which no sign of life is known since.
    pub fn lost_instances(&self) -> impl Iterator<Item = InstanceTag> {
        let lost = self.lives.iter().filter(|(_, life)| life.lost.is_some());
        lost.map(|(tag, _)| *tag)
    }

    /// Notes that a request ran to a good end: what spoke against it no longer does.
    pub fn record_success(&mut self, fingerprint: RequestFingerprint) {
        let number = self.changes + 1;
        if let Some(record) = self.requests.get_mut(&fingerprint)
            && record.len() > 0
        {
            record.note_good_runs(record.good_runs + 1);
            record.changed = number;
            self.changes = number;
        }
    }

    /// What may be done with a request.
    pub fn judge(&self, now: Moment, fingerprint: RequestFingerprint) -> SuspectVerdict {
        let Some(record) = self.requests.get(&fingerprint) else {
            return SuspectVerdict::Clear;
        };
        let counted: Vec<Moment> = counted(record, &self.lives).collect();
        let Some(newest) = counted.iter().copied().max() else {
            return SuspectVerdict::Clear;
        };
        let weight: u32 = counted.iter().map(|at| self.weight(record, *at)).sum();
        let is_proved = weight >= QUARANTINE_WEIGHT || counted.len() >= MOST_CRASHES;
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

    /// Weight of a crash at `at` against a request.
    fn weight(&self, record: &SuspectRecord, at: Moment) -> u32 {
        let is_near = |lost: Moment| lost <= at + BURST && at <= lost + BURST;
        let is_shared = self
            .lives
            .iter()
            .any(|(tag, life)| life.lost.is_some_and(is_near) && !record.was_on(*tag));
        if is_shared {
            SHARED_WEIGHT
        } else {
            FULL_WEIGHT
        }
    }

    /// What has changed since `told`, the oldest first; a part of it if it is much.
    pub fn tell(&self, now: Moment, told: &mut SuspectCursor) -> SuspectUpdate {
        if told.0 == self.changes {
            return SuspectUpdate::default();
        }
        let mut changed: Vec<u64> = self
            .requests
            .values()
            .map(|record| record.changed)
            .chain(self.lives.values().map(|life| life.changed))
            .filter(|number| *number > told.0)
            .collect();
        changed.sort_unstable();
        let up_to = changed.get(MOST_TOLD).map_or(self.changes, |next| next - 1);
        let is_due = |number: u64| number > told.0 && number <= up_to;
        let requests = self.requests.iter().filter(|(_, r)| is_due(r.changed));
        let lives = self.lives.iter().filter(|(_, life)| is_due(life.changed));
        let news = SuspectUpdate {
            requests: requests
                .map(|(fingerprint, record)| request_news(now, *fingerprint, record))
                .collect(),
            lives: lives
                .map(|(tag, life)| InstanceUpdate {
                    life: *tag,
                    survivals: life.survivals,
                    lost: life.lost.map(|at| now - at),
                })
                .collect(),
        };
        told.0 = up_to;
        news
    }

    /// Takes what another VM tells. Returns whether it is to be told on at once: a request
    /// has been on more than one lost server.
    pub fn take(&mut self, now: Moment, news: &SuspectUpdate) -> bool {
        let mut is_urgent = false;
        for life in &news.lives {
            let lost = life.lost.map(|age| now.before(age));
            self.take_life(now, life.life, life.survivals, lost);
        }
        for request in &news.requests {
            let crashes: Vec<(InstanceTag, CrashRecord)> = request
                .crashes
                .iter()
                .map(|crash| {
                    let at = now.before(crash.age);
                    let survivals = crash.survivals;
                    (crash.life, CrashRecord { at, survivals })
                })
                .collect();
            let is_news = self.take_request(request.fingerprint, request.good_runs, &crashes);
            is_urgent |= is_news && crashes.len() > 1;
        }
        self.bound();
        is_urgent
    }

    /// Forgets what is old.
    pub fn expire(&mut self, now: Moment) {
        let lives = &self.lives;
        self.requests.retain(|_, record| {
            let remembered = match counted(record, lives).count() {
                0 => REMEMBERED_CLEAR,
                1 => REMEMBERED_ONCE,
                _ => REMEMBERED,
            };
            now - record.newest() < remembered
        });
        self.lives.retain(|_, life| now - life.noted < REMEMBERED);
    }

    /// Takes what is known of a life; one that has never broken off is not kept.
    fn take_life(&mut self, now: Moment, life: InstanceTag, survivals: u32, lost: Option<Moment>) {
        let number = self.changes + 1;
        let record = self.lives.entry(life).or_default();
        if record.note(survivals, lost) {
            record.noted = now;
            record.changed = number;
            self.changes = number;
        }
    }

    /// Takes what is known of a request that had so many good runs; whether that is news.
    fn take_request(
        &mut self,
        fingerprint: RequestFingerprint,
        good_runs: u32,
        crashes: &[(InstanceTag, CrashRecord)],
    ) -> bool {
        let number = self.changes + 1;
        let record = self.requests.entry(fingerprint).or_default();
        let mut is_news = record.note_good_runs(good_runs);
        if good_runs == record.good_runs {
            for (life, crash) in crashes {
                is_news |= record.record_crash(*life, *crash);
            }
        }
        if is_news {
            record.changed = number;
            self.changes = number;
        }
        is_news
    }

    /// Drops what was on the fewest servers, the oldest first, beyond the bounds.
    fn bound(&mut self) {
        let beyond = self.requests.len().saturating_sub(MOST_REQUESTS);
        if beyond > 0 {
            let mut ranked: Vec<(usize, Moment, RequestFingerprint)> = self
                .requests
                .iter()
                .map(|(fingerprint, record)| (record.len(), record.newest(), *fingerprint))
                .collect();
            ranked.sort_unstable();
            for (_, _, fingerprint) in ranked.into_iter().take(beyond) {
                self.requests.remove(&fingerprint);
            }
        }
        let beyond = self.lives.len().saturating_sub(MOST_LIVES);
        if beyond > 0 {
            let mut ranked: Vec<(Moment, InstanceTag)> = self
                .lives
                .iter()
                .map(|(tag, life)| (life.noted, *tag))
                .collect();
            ranked.sort_unstable();
            for (_, tag) in ranked.into_iter().take(beyond) {
                self.lives.remove(&tag);
            }
        }
    }
}

/// When the servers broke off that speak against a request: those that did not live on.
fn counted(
    record: &SuspectRecord,
    lives: &HashMap<InstanceTag, InstanceRecord>,
) -> impl Iterator<Item = Moment> {
    let has_survived = |life: InstanceTag, crash: CrashRecord| {
        let known = lives.get(&life);
        known.is_some_and(|known| known.survivals > crash.survivals)
    };
    let crashes = record.crashes();
    let crashes = crashes.filter(move |(life, crash)| !has_survived(*life, *crash));
    crashes.map(|(_, crash)| crash.at)
}

fn request_news(
    now: Moment,
    fingerprint: RequestFingerprint,
    record: &SuspectRecord,
) -> RequestUpdate {
    RequestUpdate {
        fingerprint,
        good_runs: record.good_runs,
        crashes: record
            .crashes()
            .map(|(life, crash)| CrashUpdate {
                life,
                age: now - crash.at,
                survivals: crash.survivals,
            })
            .collect(),
    }
}
