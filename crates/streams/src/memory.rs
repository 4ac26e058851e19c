//! Where the streams began that a VM has forwarded, or owns.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::SoftwareVersion;

use crate::tag::StreamTag;

/// Most streams whose origin is recorded; of more, those that expire first are dropped.
pub const MAX_STREAMS: usize = 65_536;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// [`onyxfall_types::name_tag`] of the service.
    pub service_tag: u32,
    /// Version of the server that sent the first event.
    pub version: SoftwareVersion,
}

/// Recorded origins by stream.
#[derive(Clone, Debug, Default)]
pub struct StreamMemory {
    origins: HashMap<StreamTag, (StreamOrigin, Moment)>,
    by_expiry: BTreeSet<(Moment, StreamTag)>,
}

impl StreamMemory {
    /// Records where a stream began, for the time `lasts`. The first record of a stream stays.
    pub fn record(&mut self, now: Moment, tag: StreamTag, origin: StreamOrigin, lasts: Duration) {
        self.expire(now);
        let expires = now + lasts;
        if self.origins.contains_key(&tag) {
            return;
        }
        self.origins.insert(tag, (origin, expires));
        self.by_expiry.insert((expires, tag));
        while self.origins.len() > MAX_STREAMS {
            self.drop_first();
        }
    }

    /// The recorded origin of a stream.
    ///
    /// ```
    /// use onyxfall_policy::Moment;
    /// use onyxfall_streams::{StreamMemory, StreamOrigin, StreamTag};
    /// use std::time::Duration;
    /// let (mut memory, tag) = (StreamMemory::default(), StreamTag::of("r1"));
    /// let origin = StreamOrigin {
    ///     service_tag: 7,
    ///     version: "v1".parse().unwrap(),
    /// };
    /// let second = Duration::from_secs(1);
    /// memory.record(Moment::ZERO, tag, origin.clone(), second);
    /// assert_eq!(memory.origin(Moment::ZERO, tag), Some(&origin));
    /// assert_eq!(memory.origin(Moment::ZERO + second, tag), None);
    /// ```
    pub fn origin(&self, now: Moment, tag: StreamTag) -> Option<&StreamOrigin> {
        let (origin, expires) = self.origins.get(&tag)?;
        (now < *expires).then_some(origin)
    }

    /// Number of recorded streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Whether no stream is recorded.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }

    /// Drops expired records.
    pub fn expire(&mut self, now: Moment) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, tag)) = self.by_expiry.pop_first() {
            self.origins.remove(&tag);
        }
    }
}
