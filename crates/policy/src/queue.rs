//! The bounded queue of one model: weighted shares, deadlines, no starvation.
//!
//! Every kind has a lane. Lanes are served by start-time fair queueing: a
//! lane's share of service time is its kind's completions per second of work,
//! `weight / service_time`, so that scarce capacity goes where it counts most,
//! and every lane with work gets its share in the end. Within a lane the
//! earliest deadline goes first.
//!
//! Invariants: the virtual time never falls; an entry that cannot meet its
//! deadline any more is handed out as expired at once, never kept.

use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_types::KindId;

use crate::moment::Moment;

/// Least share of a lane relative to the largest, so that none starves.
const SHARE_FLOOR: f64 = 0.05;

/// Names a waiting request within one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// Its name.
    pub id: WaitId,
    /// Its kind.
    pub kind: KindId,
    /// When its answer must be whole.
    pub deadline: Moment,
    /// Expected service time.
    pub service: Duration,
    /// What the owner needs to start it.
    pub payload: T,
}

#[derive(Clone, Debug)]
struct KindLane<T> {
    share: f64,
    finish: f64,
    work: Duration,
    requests: BTreeMap<(Moment, WaitId), QueuedRequest<T>>,
}

/// What left the queue.
#[derive(Debug, PartialEq)]
pub struct PoppedRequests<T> {
    /// Requests that cannot meet their deadline any more.
    pub expired: Vec<QueuedRequest<T>>,
    /// The request to start.
    pub next: Option<QueuedRequest<T>>,
}

/// The queue of one model.
#[derive(Clone, Debug)]
pub struct WeightedQueue<T> {
    lanes: BTreeMap<KindId, KindLane<T>>,
    virtual_time: f64,
    len: usize,
    limit: usize,
}

impl<T> WeightedQueue<T> {
    /// An empty queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            virtual_time: 0.0,
            len: 0,
            limit,
        }
    }

    /// Declares a kind with its worth: weight per second of service.
    pub fn add_lane(&mut self, kind: KindId, worth: f64) {
        debug_assert!(worth > 0.0);
        let lane = KindLane {
            share: worth,
            finish: 0.0,
            work: Duration::ZERO,
            requests: BTreeMap::new(),
        };
        self.lanes.insert(kind, lane);
        let top = self
            .lanes
            .values()
            .map(|lane| lane.share)
            .fold(0.0, f64::max);
        for lane in self.lanes.values_mut() {
            lane.share = lane.share.max(top * SHARE_FLOOR);
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Service time of all that waits.
    pub fn work(&self) -> Duration {
        self.lanes.values().map(|lane| lane.work).sum()
    }

    /// Expected wait of a new request of `kind` with `slots` working on this queue.
    ///
    /// The lane gets at least its share of the slots among the lanes that have
    /// work, and at most all work is ahead of it.
    pub fn expected_wait(&self, kind: KindId, slots: f64) -> Duration {
        let Some(lane) = self.lanes.get(&kind) else {
            return Duration::ZERO;
        };
        let slots = slots.max(1.0);
        let busy = |other: &&KindLane<T>| !other.requests.is_empty();
        let others: f64 = self
            .lanes
            .values()
            .filter(busy)
            .map(|other| other.share)
            .sum();
        let total = if lane.requests.is_empty() {
            others + lane.share
        } else {
            others
        };
        let by_share = lane.work.as_secs_f64() * total / lane.share / slots;
        let by_all = self.work().as_secs_f64() / slots;
        Duration::from_secs_f64(by_share.min(by_all))
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// The queue is full, or the kind has no lane; the request comes back.
    pub fn push(&mut self, request: QueuedRequest<T>) -> Result<(), QueuedRequest<T>> {
        if self.len >= self.limit {
            return Err(request);
        }
        let Some(lane) = self.lanes.get_mut(&request.kind) else {
            return Err(request);
        };
        if lane.requests.is_empty() {
            lane.finish = lane.finish.max(self.virtual_time);
        }
        lane.work += request.service;
        lane.requests
            .insert((request.deadline, request.id), request);
        self.len += 1;
        Ok(())
    }

    /// Takes the next request to start, and those that are too late.
    pub fn pop(&mut self, now: Moment) -> PoppedRequests<T> {
        let mut expired = self.take_expired(now);
        let next = self.pop_fair();
        expired.sort_by_key(|request| request.id);
        PoppedRequests { expired, next }
    }

    /// Takes every request that cannot meet its deadline any more.
    pub fn take_expired(&mut self, now: Moment) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for lane in self.lanes.values_mut() {
            while let Some(first) = lane.requests.first_entry() {
                if now + first.get().service <= first.get().deadline {
                    break;
                }
                let request = first.remove();
                lane.work = lane.work.saturating_sub(request.service);
                self.len -= 1;
                expired.push(request);
            }
        }
        expired
    }

    /// Takes the request that would wait longest: the last of the lane with most work.
    pub fn pop_last(
        &mut self,
        accept: impl Fn(&QueuedRequest<T>) -> bool,
    ) -> Option<QueuedRequest<T>> {
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| lane.requests.values().next_back().is_some_and(&accept))
            .max_by(|a, b| a.work.cmp(&b.work))?;
        let (_, request) = lane.requests.pop_last()?;
        lane.work = lane.work.saturating_sub(request.service);
        self.len -= 1;
        Some(request)
    }

    /// Takes back a waiting request whose caller went away.
    pub fn remove(&mut self, id: WaitId) -> Option<QueuedRequest<T>> {
        for lane in self.lanes.values_mut() {
            let key = lane
                .requests
                .keys()
                .find(|(_, found)| *found == id)
                .copied();
            if let Some(request) = key.and_then(|key| lane.requests.remove(&key)) {
                lane.work = lane.work.saturating_sub(request.service);
                self.len -= 1;
                return Some(request);
            }
        }
        None
    }

    /// Takes everything, for a move to a new bundle.
    pub fn drain(&mut self) -> Vec<QueuedRequest<T>> {
        let mut all = Vec::new();
        for lane in self.lanes.values_mut() {
            all.extend(std::mem::take(&mut lane.requests).into_values());
            lane.work = Duration::ZERO;
        }
        self.len = 0;
        all.sort_by_key(|request| request.id);
        all
    }

    fn pop_fair(&mut self) -> Option<QueuedRequest<T>> {
        let lane = self
            .lanes
            .values_mut()
            .filter(|lane| !lane.requests.is_empty())
            .min_by(|a, b| a.finish.total_cmp(&b.finish))?;
        let (_, request) = lane.requests.pop_first()?;
        debug_assert!(lane.finish >= self.virtual_time || self.virtual_time == 0.0);
        self.virtual_time = self.virtual_time.max(lane.finish);
        lane.finish = self.virtual_time + request.service.as_secs_f64() / lane.share;
        lane.work = lane.work.saturating_sub(request.service);
        self.len -= 1;
        Some(request)
    }
}
