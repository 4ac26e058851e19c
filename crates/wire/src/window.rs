//! Flow control of one stream by credit: a slow caller stalls only its own stream.
//!
//! Invariant: at most [`INITIAL_CREDIT`] of a response is in transit or buffered unread at the
//! receiver.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Initial credit of a stream in bytes.
pub const INITIAL_CREDIT: u64 = 256 * 1024;
/// Minimum cost of a frame, which bounds the number of tiny frames as well.
const MIN_COST: u64 = 64;

/// Credit that a data frame of `len` bytes costs.
pub fn frame_cost(len: usize) -> u64 {
    (len as u64).max(MIN_COST)
}

#[derive(Debug)]
struct WindowState {
    credit: u64,
    closed: bool,
}

/// Remaining credit of a sender.
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
    /// Creates a window with the initial credit.
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

    /// Waits up to `timeout` for `cost` credit and takes it. Returns false if the timeout
    /// expired or the window was closed.
    ///
    /// ```
    /// use onyxfall_wire::{CreditWindow, INITIAL_CREDIT};
    /// use std::time::Duration;
    /// let window = CreditWindow::new();
    /// assert!(window.take(INITIAL_CREDIT, Duration::ZERO));
    /// assert!(!window.take(1, Duration::ZERO));
    /// ```
    pub fn take(&self, cost: u64, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
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

    /// Adds credit, up to the initial credit.
    pub fn grant(&self, bytes: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.credit = state.credit.saturating_add(bytes).min(INITIAL_CREDIT);
        self.changed.notify_all();
    }

    /// Closes the window and makes all waiting calls return.
    pub fn close(&self) {
        self.state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .closed = true;
        self.changed.notify_all();
    }
}
