//! Shared by the HTTP stubs: JSON responses and the control endpoint for faults.

use onyxfall_http::{HttpReply, HttpRequest, Responder};
use onyxfall_types::ByteSize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

/// Largest request body that a stub reads.
pub(crate) const BODY_LIMIT: ByteSize = ByteSize::new(4 * 1024 * 1024);

/// Sends a JSON response.
pub(crate) fn send(responder: Responder, status: u16, body: &Value) {
    let _ = responder.reply(HttpReply::full(
        status,
        "application/json",
        body.to_string(),
    ));
}

/// Parses faults from a JSON body and passes them to `set`.
pub(crate) fn apply_faults<T: DeserializeOwned>(
    mut request: HttpRequest,
    responder: Responder,
    set: impl FnOnce(T),
) {
    let body = request.read_body(BODY_LIMIT).unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(faults) => {
            set(faults);
            send(responder, 200, &json!({}));
        }
        Err(e) => send(responder, 400, &json!({"error": e.to_string()})),
    }
}
