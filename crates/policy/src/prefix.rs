//! Which servers probably hold a prompt prefix in their cache.
//!
//! The sources are this VM's own routing and the engines' cache events, which are
//! late and have gaps. A gap in a server's event numbers halves the confidence in
//! all earlier entries of that server; confidence also decays with time. A wrong
//! guess costs service time, never correctness.
//!
//! Invariant: at most `limit` prefixes are kept; the oldest is evicted first.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use onyxfall_types::{EntityId, ServerId};

use crate::moment::Moment;

const CONFIDENCE_DECAY: Duration = Duration::from_mins(2);
const OWN_CONFIDENCE: f64 = 0.9;
const EVENT_CONFIDENCE: f64 = 0.95;
const GAP_FACTOR: f64 = 0.5;
const SERVERS_PER_PREFIX: usize = 4;

/// Hash of a prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PrefixKey(pub u64);

/// A cache event of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine has stored the prefix.
    Stored(PrefixKey),
    /// The engine has evicted the prefix.
    Evicted(PrefixKey),
}

#[derive(Clone, Copy, Debug)]
struct PrefixHolder {
    server: ServerId,
    seen: Moment,
    confidence: f64,
    gaps: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct EventCursor {
    next: u64,
    gaps: u32,
}

/// Probable holders of each prefix.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    holders: HashMap<PrefixKey, Vec<PrefixHolder>>,
    order: VecDeque<PrefixKey>,
    cursors: HashMap<ServerId, EventCursor>,
    limit: usize,
}

impl PrefixTable {
    /// Creates an empty table for at most `limit` prefixes.
    pub fn new(limit: usize) -> Self {
        Self {
            holders: HashMap::new(),
            order: VecDeque::new(),
            cursors: HashMap::new(),
            limit,
        }
    }

    /// Number of known prefixes.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no prefix is known.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Probability, from 0 to 1, that `server` holds `prefix`.
    pub fn hit_chance(&self, prefix: PrefixKey, server: ServerId, now: Moment) -> f64 {
        let Some(holder) = self.holder(prefix, server) else {
            return 0.0;
        };
        let gaps = self.cursors.get(&server).map_or(0, |cursor| cursor.gaps);
        let missed = gaps.saturating_sub(holder.gaps).min(16);
        let age = (now - holder.seen).as_secs_f64() / CONFIDENCE_DECAY.as_secs_f64();
        holder.confidence * GAP_FACTOR.powi(missed.cast_signed()) * (-age).exp()
    }

    /// Records that a request with `prefix` was sent to `server`.
    pub fn record_routed(&mut self, prefix: PrefixKey, server: ServerId, now: Moment) {
        self.record(prefix, server, OWN_CONFIDENCE, now);
    }

    /// Applies a batch of events numbered from `first`; a repeated batch is ignored.
    pub fn record_events(
        &mut self,
        server: ServerId,
        first: u64,
        events: &[CacheEvent],
        now: Moment,
    ) {
        let cursor = self.cursors.entry(server).or_default();
        let end = first + events.len() as u64;
        if end <= cursor.next {
            return;
        }
        if first > cursor.next && cursor.next != 0 {
            cursor.gaps += 1;
        }
        let skip = usize::try_from(cursor.next.saturating_sub(first)).unwrap_or(usize::MAX);
        cursor.next = end;
        for event in events.iter().skip(skip) {
            match *event {
                CacheEvent::Stored(prefix) => self.record(prefix, server, EVENT_CONFIDENCE, now),
                CacheEvent::Evicted(prefix) => self.evict(prefix, server),
            }
        }
    }

    /// Drops all entries of a server that restarted with an empty cache.
    pub fn evict_server(&mut self, server: ServerId) {
        self.cursors.remove(&server);
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.server != server);
        }
    }

    fn holder(&self, prefix: PrefixKey, server: ServerId) -> Option<&PrefixHolder> {
        self.holders
            .get(&prefix)?
            .iter()
            .find(|holder| holder.server == server)
    }

    fn record(&mut self, prefix: PrefixKey, server: ServerId, confidence: f64, now: Moment) {
        let gaps = self.cursors.get(&server).map_or(0, |cursor| cursor.gaps);
        if !self.holders.contains_key(&prefix) {
            self.make_room();
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.server != server);
        if holders.len() >= SERVERS_PER_PREFIX {
            let oldest =
                (0..holders.len()).min_by_key(|i| (holders[*i].seen, holders[*i].server.index()));
            holders.swap_remove(oldest.unwrap_or(0));
        }
        holders.push(PrefixHolder {
            server,
            seen: now,
            confidence,
            gaps,
        });
    }

    fn evict(&mut self, prefix: PrefixKey, server: ServerId) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| holder.server != server);
        }
    }

    fn make_room(&mut self) {
        while self.holders.len() >= self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }
}
