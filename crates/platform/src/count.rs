//! Counts of calls by class; a watch counts as one call, when it is opened.

use std::sync::atomic::{AtomicU64, Ordering};

/// Class of a call, for counting and for the verdict on a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// Range, VM list or directory lookup.
    Read,
    /// Put, transaction, delete or directory publication.
    Write,
    /// Lease grant, keep-alive or revocation.
    Lease,
    /// Opening a watch.
    Watch,
}

impl CallClass {
    /// All classes.
    pub const ALL: [Self; 4] = [Self::Read, Self::Write, Self::Lease, Self::Watch];

    /// Label of the class in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Lease => "lease",
            Self::Watch => "watch",
        }
    }
}

/// Number of calls made so far, by class.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; 4],
}

impl CallCounts {
    pub(crate) fn add(&self, class: CallClass) {
        self.counts[class as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of calls of one class.
    pub fn get(&self, class: CallClass) -> u64 {
        self.counts[class as usize].load(Ordering::Relaxed)
    }
}
