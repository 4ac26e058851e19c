//! Reading and changing the head.

use std::thread;
use std::time::Duration;

use onyxfall_bundle::{HeadChange, HeadRecord, OperationId, change_head};
use onyxfall_platform::{Expected, PlatformError, StoreRevision, SwapOutcome};
use onyxfall_types::RunVerdict;

use crate::context::{OperatorContext, json_text};
use crate::error::OperatorError;

const MAX_TRIES: u32 = 16;
const READ_TRIES: u32 = 4;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The head with the revision at which it was read.
pub(crate) struct StoredHead {
    pub(crate) record: HeadRecord,
    revision: Option<StoreRevision>,
}

impl OperatorContext {
    /// Reads the head; before the first roll it is empty.
    ///
    /// # Errors
    ///
    /// The platform failed, or what stands there is not a head.
    pub fn head(&self) -> Result<HeadRecord, OperatorError> {
        Ok(self.stored_head()?.record)
    }

    pub(crate) fn stored_head(&self) -> Result<StoredHead, OperatorError> {
        let found = self.store.get(&self.keys.head())?;
        let Some(found) = found else {
            return Ok(StoredHead {
                record: HeadRecord::default(),
                revision: None,
            });
        };
        let record = serde_json::from_str(&found.value).map_err(|e| OperatorError::Malformed {
            what: "head".to_owned(),
            detail: e.to_string(),
        })?;
        Ok(StoredHead {
            record,
            revision: Some(found.revision),
        })
    }

    /// Makes one change of the head happen exactly once; returns the head after it.
    pub(crate) fn change(
        &self,
        change: &HeadChange,
        operation: &OperationId,
    ) -> Result<HeadRecord, OperatorError> {
        for _ in 0..MAX_TRIES {
            let head = self.stored_head()?;
            if head.record.has_operation(operation) {
                return Ok(head.record);
            }
            let next = change_head(
                &head.record,
                change,
                operation,
                &self.operator,
                &self.secret,
            )?;
            if let Some(done) = self.swap(&head, next, operation)? {
                return Ok(done);
            }
        }
        Err(OperatorError::Contended(MAX_TRIES))
    }

    /// Writes the next head; `None` if another change came first.
    fn swap(
        &self,
        head: &StoredHead,
        next: HeadRecord,
        operation: &OperationId,
    ) -> Result<Option<HeadRecord>, OperatorError> {
        let expected = head.revision.map_or(Expected::Absent, Expected::At);
        let text = json_text(&next)?;
        match self
            .store
            .compare_and_swap(&self.keys.head(), expected, &text, None)
        {
            Ok(SwapOutcome::Swapped(_)) => Ok(Some(next)),
            Ok(SwapOutcome::Conflict(_)) => Ok(None),
            Err(e) if e.verdict == RunVerdict::NotRun => Err(e.into()),
            Err(e) => self.resolve_swap(operation, e),
        }
    }

    /// Reads until it is known whether a swap whose answer was lost happened.
    fn resolve_swap(
        &self,
        operation: &OperationId,
        first: PlatformError,
    ) -> Result<Option<HeadRecord>, OperatorError> {
        log::warn!("answer lost ({first}); reading the head");
        let mut last = first;
        for _ in 0..READ_TRIES {
            match self.stored_head() {
                Ok(head) if head.record.has_operation(operation) => return Ok(Some(head.record)),
                Ok(_) => return Ok(None),
                Err(OperatorError::Platform(e)) => last = e,
                Err(e) => return Err(e),
            }
            thread::sleep(READ_PAUSE);
        }
        Err(OperatorError::Unknown(last))
    }
}
