//! Calls counted by class; a waiting watch counts as one.

use std::sync::atomic::{AtomicU64, Ordering};

/// Class of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// Range, VM list, directory look-up.
    Read,
    /// Put, txn, delete, directory publication.
    Write,
    /// Grant, keep-alive, revoke.
    Lease,
    /// Opening a watch.
    Watch,
}

impl CallClass {
    /// Every class.
    pub const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Lease, Self::Watch];

    /// Label for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}

/// Calls made so far.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; 4],
}

impl CallCounts {
    pub(crate) fn add(&self, class: CallClass) {
        self.counts[class as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls of one class.
    pub fn get(&self, class: CallClass) -> u64 {
        self.counts[class as usize].load(Ordering::Relaxed)
    }
}
