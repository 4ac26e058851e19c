//! Credit of one stream: a slow caller stops its own stream, not the others.
//!
//! Invariant: at most [`INITIAL_CREDIT`] of an answer is on its way or waits
//! unread at the other side.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Credit with which a stream begins, in bytes.
pub const INITIAL_CREDIT: u64 = 256 * 1024;
/// Least cost of a frame, so that many tiny ones are bounded too.
const MIN_COST: u64 = 64;

/// What a data frame of `len` bytes costs.
pub fn frame_cost(len: usize) -> u64 {
    (len as u64).max(MIN_COST)
}

#[derive(Debug)]
struct WindowState {
    credit: u64,
    closed: bool,
}

/// Credit that a sender has left.
#[derive(Debug)]
pub struct CreditWindow {
    state: Mutex<WindowState>,
    changed: Condvar,
}

impl Default for CreditWindow {
    fn default() -> Self {
        Self::new()
    }
}

impl CreditWindow {
    /// A window with the initial credit.
    pub fn new() -> Self {
        let state = WindowState {
            credit: INITIAL_CREDIT,
            closed: false,
        };
        Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    /// Takes `cost`, waiting for it up to `patience`; whether it was there.
    ///
    /// ```
    /// use onyxfall_wire::{CreditWindow, INITIAL_CREDIT};
    /// use std::time::Duration;
    /// let window = CreditWindow::new();
    /// assert!(window.take(INITIAL_CREDIT, Duration::ZERO));
    /// assert!(!window.take(1, Duration::ZERO));
    /// ```
    pub fn take(&self, cost: u64, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if state.closed {
                return false;
            }
            if state.credit >= cost {
                state.credit -= cost;
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Adds credit.
    pub fn grant(&self, bytes: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.credit = state.credit.saturating_add(bytes).min(INITIAL_CREDIT);
        self.changed.notify_all();
    }

    /// Ends all waiting.
    pub fn close(&self) {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .closed = true;
        self.changed.notify_all();
    }
}
