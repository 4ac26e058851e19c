//! Versions of the streams that a VM has begun, or owns.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::SoftwareVersion;

use crate::tag::StreamTag;

/// Most streams whose version is recorded; of more, those that expire first are dropped.
pub const MAX_STREAMS: usize = 65_536;

/// Recorded versions by stream.
#[derive(Clone, Debug, Default)]
pub struct StreamMemory {
    versions: HashMap<StreamTag, (SoftwareVersion, Moment)>,
    by_expiry: BTreeSet<(Moment, StreamTag)>,
}

impl StreamMemory {
    /// Records the version that began a stream, for the time `lasts`. The first record of a stream
    /// stays.
    pub fn record(
        &mut self,
        now: Moment,
        tag: StreamTag,
        version: &SoftwareVersion,
        lasts: Duration,
    ) {
        self.expire(now);
        let expires = now + lasts;
        if self.versions.contains_key(&tag) {
            return;
        }
        self.versions.insert(tag, (version.clone(), expires));
        self.by_expiry.insert((expires, tag));
        while self.versions.len() > MAX_STREAMS {
            self.drop_first();
        }
    }

    /// The recorded version of a stream.
    ///
    /// ```
    /// use onyxfall_policy::Moment;
    /// use onyxfall_streams::{StreamMemory, StreamTag};
    /// use std::time::Duration;
    /// let (mut memory, tag) = (StreamMemory::default(), StreamTag::of("r1"));
    /// let second = Duration::from_secs(1);
    /// memory.record(Moment::ZERO, tag, &"v1".parse().unwrap(), second);
    /// assert!(memory.version(Moment::ZERO, tag).is_some());
    /// assert!(memory.version(Moment::ZERO + second, tag).is_none());
    /// ```
    pub fn version(&self, now: Moment, tag: StreamTag) -> Option<&SoftwareVersion> {
        let (version, expires) = self.versions.get(&tag)?;
        (now < *expires).then_some(version)
    }

    /// Number of recorded streams.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Moment) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, tag)) = self.by_expiry.pop_first() {
            self.versions.remove(&tag);
        }
    }
}
