//! Which versions of each service a VM has seen, and since when it has been looking.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::{ServiceName, SoftwareVersion};

/// Time for which a version is remembered after it was last seen; the longest life of a stream
/// that can be asked for.
pub const HISTORY: Duration = Duration::from_mins(1);
/// Most versions of a service that are remembered; of more, those seen longest ago are dropped.
const MAX_VERSIONS: usize = 16;

/// What a VM knows of the versions of a service within the life of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionClaim {
    /// All its servers were of this version.
    Single(SoftwareVersion),
    /// There were several versions, or servers without a valid one.
    Several,
    /// The VM has not been looking for long enough; this is the only version that it saw.
    Young(SoftwareVersion),
    /// The VM knows no server of the service.
    Nothing,
}

/// A version that a VM has seen, for other VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// The service.
    pub service: ServiceName,
    /// Version of a server; `None` if its entry has no valid one.
    pub version: Option<SoftwareVersion>,
    /// Time since the version was last seen.
    pub age: Duration,
}

/// Versions that this VM has seen, or was told of by VMs that have been looking for longer.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    services: BTreeMap<ServiceName, BTreeMap<Option<SoftwareVersion>, Moment>>,
    /// Since when every version is known: the start of this VM or, before it, `inherited`.
    since: Moment,
    /// Time before the start of this VM that is covered by the history of another one.
    inherited: Duration,
}

impl VersionHistory {
    /// Creates the history of a VM that starts to look now.
    pub const fn new(now: Moment) -> Self {
        Self {
            services: BTreeMap::new(),
            since: now,
            inherited: Duration::ZERO,
        }
    }

    /// Records that changes may have been missed until now.
    pub fn restart(&mut self, now: Moment) {
        self.since = now;
        self.inherited = Duration::ZERO;
    }

    /// Records that a service has a server of a version.
    pub fn record(
        &mut self,
        now: Moment,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), BTreeMap::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        let seen = versions.entry(version.cloned()).or_insert(now);
        *seen = now.max(*seen);
        if versions.len() > MAX_VERSIONS {
            let oldest = versions.iter().min_by_key(|(_, seen)| **seen);
            if let Some(oldest) = oldest.map(|(version, _)| version.clone()) {
                versions.remove(&oldest);
            }
        }
    }

    /// Drops versions that were last seen long ago.
    pub fn expire(&mut self, now: Moment) {
        for versions in self.services.values_mut() {
            versions.retain(|_, seen| now - *seen < HISTORY);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// What is known of the versions of a service within the last `life`.
    pub fn claim(&self, now: Moment, service: &ServiceName, life: Duration) -> VersionClaim {
        let versions = self.services.get(service).into_iter().flatten();
        let mut recent = versions.filter(|(_, seen)| now - **seen <= life);
        match (recent.next(), recent.next()) {
            (None, _) => VersionClaim::Nothing,
            (Some((Some(version), _)), None) if self.age(now) >= life => {
                VersionClaim::Single(version.clone())
            }
            (Some((Some(version), _)), None) => VersionClaim::Young(version.clone()),
            _ => VersionClaim::Several,
        }
    }

    /// How long every version has been known.
    pub fn age(&self, now: Moment) -> Duration {
        (now - self.since + self.inherited).min(HISTORY)
    }

    /// Whether the history covers the longest life of a stream.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.age(now) >= HISTORY
    }

    /// Everything known, for a VM that has just started.
    pub fn entries(&self, now: Moment) -> impl Iterator<Item = HistoryEntry> {
        self.services.iter().flat_map(move |(service, versions)| {
            versions.iter().map(move |(version, seen)| HistoryEntry {
                service: service.clone(),
                version: version.clone(),
                age: now - *seen,
            })
        })
    }

    /// Takes over what another VM knows, whose history covers the last `age`.
    ///
    /// ```
    /// use onyxfall_policy::Moment;
    /// use onyxfall_streams::VersionHistory;
    /// use std::time::Duration;
    /// let mut history = VersionHistory::new(Moment::ZERO);
    /// history.inherit(Moment::ZERO, Duration::from_mins(1), []);
    /// assert!(history.is_complete(Moment::ZERO));
    /// ```
    pub fn inherit(
        &mut self,
        now: Moment,
        age: Duration,
        entries: impl IntoIterator<Item = HistoryEntry>,
    ) {
        for entry in entries {
            let reaches_back = now - Moment::ZERO >= entry.age;
            // What was seen before the start of this VM counts from its start, which is later.
            let seen = if reaches_back {
                now.before(entry.age)
            } else {
                Moment::ZERO
            };
            self.record(seen, &entry.service, entry.version.as_ref());
        }
        let own = now - self.since;
        self.inherited = self.inherited.max(age.saturating_sub(own));
    }
}
