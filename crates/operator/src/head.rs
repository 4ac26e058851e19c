//! Reads the head and changes it by compare-and-swap.

use std::thread;
use std::time::Duration;

use onyxfall_bundle::{HeadChange, HeadRecord, OperationId, change_head};
use onyxfall_platform::{Expected, PlatformError, StoreRevision, SwapOutcome};
use onyxfall_types::RunVerdict;

use crate::context::{OperatorContext, json_text};
use crate::error::OperatorError;

const MAX_ATTEMPTS: u32 = 16;
const READ_ATTEMPTS: u32 = 4;
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The head with the revision at which it was read.
pub(crate) struct StoredHead {
    pub(crate) record: HeadRecord,
    revision: Option<StoreRevision>,
}

impl OperatorContext {
    /// Reads the head; it is empty before the first rollout.
    ///
    /// # Errors
    ///
    /// A call to the platform failed, or the stored value is not a valid head.
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

    /// Applies one change to the head exactly once; returns a head that includes it.
    pub(crate) fn change(
        &self,
        change: &HeadChange,
        operation: &OperationId,
    ) -> Result<HeadRecord, OperatorError> {
        for _ in 0..MAX_ATTEMPTS {
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
            if let Some(changed) = self.swap(&head, next, operation)? {
                return Ok(changed);
            }
        }
        Err(OperatorError::Contended(MAX_ATTEMPTS))
    }

    /// Writes the next head; returns `None` if the head was changed concurrently.
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

    /// Reads the head to determine whether a swap whose response was lost took
    /// effect, retrying failed reads.
    fn resolve_swap(
        &self,
        operation: &OperationId,
        swap_error: PlatformError,
    ) -> Result<Option<HeadRecord>, OperatorError> {
        log::warn!("response to a write of the head was lost ({swap_error}); reading the head");
        let mut last_error = swap_error;
        for _ in 0..READ_ATTEMPTS {
            match self.stored_head() {
                Ok(head) if head.record.has_operation(operation) => return Ok(Some(head.record)),
                Ok(_) => return Ok(None),
                Err(OperatorError::Platform(e)) => last_error = e,
                Err(e) => return Err(e),
            }
            thread::sleep(READ_RETRY_DELAY);
        }
        Err(OperatorError::Unknown(last_error))
    }
}
