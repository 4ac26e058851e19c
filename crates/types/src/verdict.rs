//! Whether a request may have run.
//!
//! A verdict only grows: `NotRun`, then `MayHaveRun`, then `Ran`. A caller is
//! told `NotRun` only while no byte that could start work has left the VM, or
//! after a refusal that the other side's contract defines as not-run.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU8, Ordering};

use thiserror::Error;

/// Whether a request, or one attempt of it, may have run.
///
/// ```
/// use onyxfall_types::RunVerdict;
/// assert!(RunVerdict::NotRun < RunVerdict::MayHaveRun);
/// assert_eq!("not-run".parse(), Ok(RunVerdict::NotRun));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunVerdict {
    /// It did not run and will not.
    NotRun,
    /// It may have run, or may still be running.
    MayHaveRun,
    /// It ran: a backend server answered. A streamed answer is whole only if
    /// its body ends as whole.
    Ran,
}

impl RunVerdict {
    /// The header form: `not-run`, `may-have-run` or `ran`.
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

/// A text that is not a verdict.
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

/// A verdict shared between the threads of one attempt; it never shrinks.
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
    /// A cell that holds `NotRun`.
    pub const fn new() -> Self {
        Self(AtomicU8::new(0))
    }

    /// Raises the verdict to at least `verdict`.
    pub fn raise(&self, verdict: RunVerdict) {
        self.0.fetch_max(verdict as u8, Ordering::SeqCst);
    }

    /// Returns the verdict so far.
    pub fn get(&self) -> RunVerdict {
        match self.0.load(Ordering::SeqCst) {
            0 => RunVerdict::NotRun,
            1 => RunVerdict::MayHaveRun,
            _ => RunVerdict::Ran,
        }
    }
}
