//! Bounded queue of one model: deadlines, weighted shares, no starvation.
//!
//! Every kind has a lane. Half of the service time is guaranteed to the non-empty
//! lanes in proportion to their value, so that scarce capacity serves the most
//! valuable requests and no lane starves; a lane that is behind its guarantee is
//! served first. The other half is assigned by the kinds' priority, then by
//! earliest deadline. Within a lane the earliest deadline is served first.
//!
//! Invariants: a request that can no longer meet its deadline is returned as
//! expired by the next `pop` or `take_expired`, never kept; no started work is
//! wasted, since only waiting requests expire.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_types::KindId;

use crate::moment::Moment;

/// Minimum value of a lane relative to the largest.
const VALUE_FLOOR: f64 = 0.05;
/// Share of the service time that is guaranteed in proportion to value.
const GUARANTEED_SHARE: f64 = 0.5;

/// Identifies a waiting request within one entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaitId(pub u64);

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest<T> {
    /// Identifier of the request.
    pub id: WaitId,
    /// Kind of the request.
    pub kind: KindId,
    /// When the response must be complete.
    pub deadline: Moment,
    /// Expected service time.
    pub service: Duration,
    /// Data that the owner of the queue needs to start the request.
    pub payload: T,
}

#[derive(Clone, Debug)]
struct KindLane<T> {
    value: f64,
    priority: u8,
    /// Guaranteed service time less the service time received, in seconds.
    credit: f64,
    work: Duration,
    requests: BTreeMap<(Moment, WaitId), QueuedRequest<T>>,
}

/// Requests popped from the queue.
#[derive(Debug, PartialEq)]
pub struct PoppedRequests<T> {
    /// Requests that can no longer meet their deadline.
    pub expired: Vec<QueuedRequest<T>>,
    /// The next request to start.
    pub next: Option<QueuedRequest<T>>,
}

/// Queue of one model.
#[derive(Clone, Debug)]
pub struct WeightedQueue<T> {
    lanes: BTreeMap<KindId, KindLane<T>>,
    len: usize,
    limit: usize,
}

impl<T> WeightedQueue<T> {
    /// Creates an empty queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            len: 0,
            limit,
        }
    }

    /// Adds a lane for a kind with its value, such as weight per second of service,
    /// and its priority; a smaller priority is served first.
    pub fn add_lane(&mut self, kind: KindId, value: f64, priority: u8) {
        debug_assert!(value > 0.0);
        let requests = BTreeMap::new();
        let lane = KindLane {
            value,
            priority,
            credit: 0.0,
            work: Duration::ZERO,
            requests,
        };
        self.lanes.insert(kind, lane);
        let top = self
            .lanes
            .values()
            .map(|lane| lane.value)
            .fold(0.0, f64::max);
        for lane in self.lanes.values_mut() {
            lane.value = lane.value.max(top * VALUE_FLOOR);
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Total service time of the waiting requests.
    pub fn work(&self) -> Duration {
        self.lanes.values().map(|lane| lane.work).sum()
    }

    /// Expected wait of a new request with `slots` slots serving this queue: the
    /// work ahead of it by priority and deadline, or its lane's own work at the
    /// guaranteed share, whichever is less.
    pub fn expected_wait(&self, kind: KindId, deadline: Moment, slots: f64) -> Duration {
        let slots = slots.max(1.0);
        let Some(lane) = self.lanes.get(&kind) else {
            return Duration::ZERO;
        };
        let before = |other: &KindLane<T>| match other.priority.cmp(&lane.priority) {
            Ordering::Less => other.work.as_secs_f64(),
            Ordering::Equal => other.due_before(deadline),
            Ordering::Greater => 0.0,
        };
        let by_deadline = self.lanes.values().map(before).sum::<f64>() / slots;
        let busy = self
            .lanes
            .values()
            .filter(|other| !other.requests.is_empty());
        let others: f64 = busy.map(|other| other.value).sum();
        let total = if lane.requests.is_empty() {
            others + lane.value
        } else {
            others
        };
        let share = GUARANTEED_SHARE * lane.value / total;
        let by_share = lane.work.as_secs_f64() / share / slots;
        Duration::from_secs_f64(by_deadline.min(by_share))
    }

    /// Priority of the lane that is served next.
    pub fn first_priority(&self) -> Option<u8> {
        let kind = self.lane_behind().or_else(|| self.lane_due())?;
        Some(self.lanes.get(&kind)?.priority)
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// The queue is full, or the kind has no lane; the error returns the request.
    pub fn push(&mut self, request: QueuedRequest<T>) -> Result<(), QueuedRequest<T>> {
        if self.len >= self.limit {
            return Err(request);
        }
        let Some(lane) = self.lanes.get_mut(&request.kind) else {
            return Err(request);
        };
        if lane.requests.is_empty() {
            lane.credit = 0.0;
        }
        lane.work += request.service;
        lane.requests
            .insert((request.deadline, request.id), request);
        self.len += 1;
        Ok(())
    }

    /// Pops the next request to start, and those that have expired.
    pub fn pop(&mut self, now: Moment) -> PoppedRequests<T> {
        let mut expired = self.take_expired(now);
        let next = self.pop_fair();
        expired.sort_by_key(|request| request.id);
        PoppedRequests { expired, next }
    }

    /// Removes and returns the requests that can no longer meet their deadline.
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

    /// Pops the request that would wait longest: the last one of the lane with the most
    /// work, among the lanes whose last request passes `accept`.
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

    /// Removes a waiting request whose caller disconnected.
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

    /// Removes all requests, for migration to a new bundle.
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
        let kind = self.lane_behind().or_else(|| self.lane_due())?;
        let lane = self.lanes.get_mut(&kind)?;
        let (_, request) = lane.requests.pop_first()?;
        lane.work = lane.work.saturating_sub(request.service);
        self.len -= 1;
        self.charge(kind, request.service.as_secs_f64());
        Some(request)
    }

    /// The lane furthest behind its guarantee, among those behind by at least the
    /// service time of their first request.
    fn lane_behind(&self) -> Option<KindId> {
        let behind = |lane: &KindLane<T>| {
            let first = lane.requests.values().next()?;
            let over = lane.credit - first.service.as_secs_f64();
            (over >= 0.0).then_some(over)
        };
        let lanes = self
            .lanes
            .iter()
            .filter_map(|(kind, lane)| Some((*kind, behind(lane)?)));
        lanes
            .max_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(kind, _)| kind)
    }

    /// The non-empty lane with the best priority, then the earliest deadline.
    fn lane_due(&self) -> Option<KindId> {
        let first =
            |lane: &KindLane<T>| lane.requests.keys().next().map(|due| (lane.priority, *due));
        let lanes = self
            .lanes
            .iter()
            .filter_map(|(kind, lane)| Some((*kind, first(lane)?)));
        lanes.min_by_key(|(_, due)| *due).map(|(kind, _)| kind)
    }

    /// Charges `seconds` of service to a lane and credits every lane with work.
    fn charge(&mut self, served: KindId, seconds: f64) {
        let participates =
            |kind: &KindId, lane: &KindLane<T>| *kind == served || !lane.requests.is_empty();
        let lanes = self
            .lanes
            .iter()
            .filter(|(kind, lane)| participates(kind, lane));
        let total: f64 = lanes.map(|(_, lane)| lane.value).sum();
        for (kind, lane) in &mut self.lanes {
            if participates(kind, lane) {
                lane.credit += GUARANTEED_SHARE * seconds * lane.value / total;
            }
            if *kind == served {
                lane.credit = (lane.credit - seconds).max(-seconds);
            }
        }
    }
}

impl<T> KindLane<T> {
    /// Estimated seconds of the lane's work that is due no later than `deadline`.
    fn due_before(&self, deadline: Moment) -> f64 {
        if self.requests.is_empty() {
            return 0.0;
        }
        let due = self.requests.range(..=(deadline, WaitId(u64::MAX))).count();
        self.work.as_secs_f64() * due as f64 / self.requests.len() as f64
    }
}
