//! Problem details (RFC 9457) of refusals and failures.

use onyxfall_types::RequestError;
use serde_json::{Value, json};

/// Builds the problem document of an error.
pub(crate) fn problem_json(error: &RequestError, request_id: &str) -> Value {
    json!({
        "type": format!("urn:onyxfall:{}", error.reason),
        "title": error.reason.as_str(),
        "status": error.reason.status(),
        "detail": error.detail,
        "verdict": error.verdict.as_str(),
        "request": request_id,
    })
}
