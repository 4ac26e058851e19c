//! Slots of a server stub: requests wait in order of priority.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};

#[derive(Default)]
struct SlotState {
    running: u32,
    next: u64,
    waiting: BTreeSet<(u8, u64)>,
}

/// A counter of slots with a priority queue of waiting requests.
#[derive(Default)]
pub(crate) struct SlotGate {
    state: Mutex<SlotState>,
    freed: Condvar,
}

/// Numbers of running and waiting requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotLoad {
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

impl SlotGate {
    /// Waits for a slot and takes it; `None` once `is_cancelled` returns true.
    pub(crate) fn take(
        self: &Arc<Self>,
        slots: u32,
        priority: u8,
        is_cancelled: impl Fn() -> bool,
    ) -> Option<SlotHold> {
        const CANCEL_POLL: Duration = Duration::from_millis(20);
        let mut state = self.state.lock();
        let key = (priority, state.next);
        state.next += 1;
        state.waiting.insert(key);
        loop {
            if is_cancelled() {
                state.waiting.remove(&key);
                return None;
            }
            if state.running < slots && state.waiting.first() == Some(&key) {
                state.waiting.remove(&key);
                state.running += 1;
                self.freed.notify_all();
                return Some(SlotHold {
                    gate: Arc::clone(self),
                });
            }
            self.freed.wait_for(&mut state, CANCEL_POLL);
        }
    }

    pub(crate) fn load(&self) -> SlotLoad {
        let state = self.state.lock();
        let queued = u32::try_from(state.waiting.len()).unwrap_or(u32::MAX);
        SlotLoad {
            running: state.running,
            queued,
        }
    }
}

/// A slot in use.
pub(crate) struct SlotHold {
    gate: Arc<SlotGate>,
}

impl Drop for SlotHold {
    fn drop(&mut self) {
        self.gate.state.lock().running -= 1;
        self.gate.freed.notify_all();
    }
}
