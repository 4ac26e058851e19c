//! The bounded queue of one model: deadlines, weighted shares, no starvation.
//!
//! Every kind has a lane. Half of the service time is guaranteed to the lanes
//! with work in proportion to their worth, so that scarce capacity goes where
//! it counts and no lane starves; a lane that is behind its guarantee goes
//! first. The other half goes by the kinds' priority, then by earliest deadline.
//! Within a lane the earliest deadline goes first.
//!
//! Invariants: an entry that cannot meet its deadline any more is handed out as
//! expired at once, never kept; nothing that was started is wasted, since only
//! waiting entries expire.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use onyxfall_types::KindId;

use crate::moment::Moment;

/// Least worth of a lane relative to the largest.
const WORTH_FLOOR: f64 = 0.05;
/// Part of the service time that is guaranteed by worth.
const GUARANTEED_PART: f64 = 0.5;

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
    worth: f64,
    priority: u8,
    /// Guaranteed service time less what was given, in seconds.
    credit: f64,
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
    len: usize,
    limit: usize,
}

impl<T> WeightedQueue<T> {
    /// An empty queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            lanes: BTreeMap::new(),
            len: 0,
            limit,
        }
    }

    /// Declares a kind with its worth, such as weight per second of service,
    /// and its priority; a smaller one goes first.
    pub fn add_lane(&mut self, kind: KindId, worth: f64, priority: u8) {
        debug_assert!(worth > 0.0);
        let requests = BTreeMap::new();
        let lane = KindLane {
            worth,
            priority,
            credit: 0.0,
            work: Duration::ZERO,
            requests,
        };
        self.lanes.insert(kind, lane);
        let top = self
            .lanes
            .values()
            .map(|lane| lane.worth)
            .fold(0.0, f64::max);
        for lane in self.lanes.values_mut() {
            lane.worth = lane.worth.max(top * WORTH_FLOOR);
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

    /// Expected wait of a new request with `slots` working on this queue: the
    /// work that goes before it by priority and deadline, or its lane's own work at the guaranteed
    /// share, whichever is less.
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
        let others: f64 = busy.map(|other| other.worth).sum();
        let total = if lane.requests.is_empty() {
            others + lane.worth
        } else {
            others
        };
        let share = GUARANTEED_PART * lane.worth / total;
        let by_share = lane.work.as_secs_f64() / share / slots;
        Duration::from_secs_f64(by_deadline.min(by_share))
    }

    /// Priority of the lane from which the next request comes.
    pub fn first_priority(&self) -> Option<u8> {
        let kind = self.lane_behind().or_else(|| self.lane_due())?;
        Some(self.lanes.get(&kind)?.priority)
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
            lane.credit = 0.0;
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
        let kind = self.lane_behind().or_else(|| self.lane_due())?;
        let lane = self.lanes.get_mut(&kind)?;
        let (_, request) = lane.requests.pop_first()?;
        lane.work = lane.work.saturating_sub(request.service);
        self.len -= 1;
        self.settle(kind, request.service.as_secs_f64());
        Some(request)
    }

    /// The lane furthest behind its guarantee, if one is by a whole request.
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

    /// The lane that goes first by priority, then by its first deadline.
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
    fn settle(&mut self, served: KindId, seconds: f64) {
        let takes_part =
            |kind: &KindId, lane: &KindLane<T>| *kind == served || !lane.requests.is_empty();
        let lanes = self
            .lanes
            .iter()
            .filter(|(kind, lane)| takes_part(kind, lane));
        let total: f64 = lanes.map(|(_, lane)| lane.worth).sum();
        for (kind, lane) in &mut self.lanes {
            if takes_part(kind, lane) {
                lane.credit += GUARANTEED_PART * seconds * lane.worth / total;
            }
            if *kind == served {
                lane.credit = (lane.credit - seconds).max(-seconds);
            }
        }
    }
}

impl<T> KindLane<T> {
    /// Seconds of work that is due no later than `deadline`.
    fn due_before(&self, deadline: Moment) -> f64 {
        if self.requests.is_empty() {
            return 0.0;
        }
        let due = self.requests.range(..=(deadline, WaitId(u64::MAX))).count();
        self.work.as_secs_f64() * due as f64 / self.requests.len() as f64
    }
}
