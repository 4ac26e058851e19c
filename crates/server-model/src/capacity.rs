//! The places of a server and its queue.

use std::collections::VecDeque;
use std::time::Duration;

use crate::RequestNumber;

/// Time in which rejections for want of room are counted.
pub const REJECTION_WINDOW: Duration = Duration::from_secs(1);

/// How many requests a server takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that it runs at the same time; others wait. `None` sets no bound.
    pub places: Option<u32>,
    /// Requests under way, with those that wait; others are rejected. `None` sets no bound.
    pub room: Option<u32>,
}

/// Requests under way at a server.
#[derive(Debug, Default)]
pub(crate) struct Occupancy {
    /// Requests that have arrived and not ended, with those that are being rejected.
    under_way: u32,
    /// Those that have a place.
    placed: Vec<RequestNumber>,
    /// Those that wait for a place, the first one first.
    waiting: VecDeque<RequestNumber>,
    /// When requests were rejected for want of room within the last window.
    rejected: VecDeque<Duration>,
}

impl Occupancy {
    pub(crate) fn arrive(&mut self) {
        self.under_way += 1;
    }

    pub(crate) fn under_way(&self) -> u32 {
        self.under_way
    }

    pub(crate) fn placed(&self) -> usize {
        self.placed.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the requests under way, with one that has just arrived, exceed the room.
    pub(crate) fn is_over(&self, capacity: Capacity) -> bool {
        capacity.room.is_some_and(|room| self.under_way > room)
    }

    /// Counts a rejection for want of room; returns the number within the last window.
    pub(crate) fn reject(&mut self, now: Duration) -> usize {
        self.rejected.push_back(now);
        let is_old = |at: &Duration| now.saturating_sub(*at) > REJECTION_WINDOW;
        while self.rejected.front().is_some_and(is_old) {
            self.rejected.pop_front();
        }
        self.rejected.len()
    }

    pub(crate) fn is_waiting(&self, number: RequestNumber) -> bool {
        self.waiting.contains(&number)
    }

    /// Gives a request a place if one is free and nobody waits before it; otherwise it waits.
    pub(crate) fn take_place(&mut self, number: RequestNumber, capacity: Capacity) -> bool {
        if !self.is_waiting(number) {
            self.waiting.push_back(number);
        }
        let taken = u32::try_from(self.placed.len()).unwrap_or(u32::MAX);
        let is_free = capacity.places.is_none_or(|places| taken < places);
        if !is_free || self.waiting.front() != Some(&number) {
            return false;
        }
        self.waiting.pop_front();
        self.placed.push(number);
        true
    }

    /// Frees what a request has taken.
    pub(crate) fn leave(&mut self, number: RequestNumber) {
        self.under_way = self.under_way.saturating_sub(1);
        self.placed.retain(|other| *other != number);
        self.waiting.retain(|other| *other != number);
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
