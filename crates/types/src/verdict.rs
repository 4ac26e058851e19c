//! Whether a request may have been executed.
//!
//! A verdict only increases: `NotRun`, then `MayHaveRun`, then `Ran`. `NotRun` is
//! reported to a caller only if no byte that could start work has left the VM, or
//! after a refusal that the protocol of the refusing peer defines as not run.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU8, Ordering};

use thiserror::Error;

/// Whether a request, or one attempt of it, may have been executed.
///
/// ```
/// use onyxfall_types::RunVerdict;
/// assert!(RunVerdict::NotRun < RunVerdict::MayHaveRun);
/// assert_eq!("not-run".parse(), Ok(RunVerdict::NotRun));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunVerdict {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run, or may still be running.
    MayHaveRun,
    /// The request ran: a backend server responded. A streamed response is complete only
    /// if its body is terminated as complete.
    Ran,
}

impl RunVerdict {
    /// Returns the form used in headers: `not-run`, `may-have-run` or `ran`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for text that is not a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is not a verdict: expected ran, not-run or may-have-run")]
pub struct VerdictError(String);

impl FromStr for RunVerdict {
    type Err = VerdictError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
            .ok_or_else(|| VerdictError(text.to_owned()))
    }
}

/// A verdict shared between the threads of one attempt. Its value never decreases.
///
/// ```
/// use onyxfall_types::{RunVerdict, VerdictCell};
/// let cell = VerdictCell::new();
/// cell.raise(RunVerdict::MayHaveRun);
/// cell.raise(RunVerdict::NotRun);
/// assert_eq!(cell.get(), RunVerdict::MayHaveRun);
/// ```
#[derive(Debug, Default)]
pub struct VerdictCell(AtomicU8);

impl VerdictCell {
    /// Creates a cell with the verdict `NotRun`.
    pub const fn new() -> Self {
        Self(AtomicU8::new(0))
    }

    /// Raises the stored verdict to at least `verdict`.
    pub fn raise(&self, verdict: RunVerdict) {
        self.0.fetch_max(verdict as u8, Ordering::SeqCst);
    }

    /// Returns the current verdict.
    pub fn get(&self) -> RunVerdict {
        match self.0.load(Ordering::SeqCst) {
            0 => RunVerdict::NotRun,
            1 => RunVerdict::MayHaveRun,
            _ => RunVerdict::Ran,
        }
    }
}
