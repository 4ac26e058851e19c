//! Streams between VMs, in numbered frames: the VM of the caller forwards nothing that arrives
//! after lost bytes.
//!
//! The VM that forwards a request asks for numbered frames, and a response in them says so. A VM
//! of an older build does neither, and its streams travel as they are.

use std::rc::Rc;

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Response};
use onyxfall_events::NumberedBody;

use crate::attempt::UpstreamResponse;
use crate::body::ReplyBody;
use crate::call::SharedCall;
use crate::gateway::Gateway;

/// Header of a forwarded request that asks for numbered frames, and of a response in them.
pub(crate) const FRAMES: &str = "onyxfall-frames";
const NUMBERED: HeaderValue = HeaderValue::from_static("numbered");

/// Sets the header on a request or a response.
pub(crate) fn set_frames(headers: &mut HeaderMap) {
    headers.insert(FRAMES, NUMBERED);
}

/// Whether a request or a response has the header.
pub(crate) fn has_frames(headers: &HeaderMap) -> bool {
    headers.get(FRAMES) == Some(&NUMBERED)
}

/// Encodes the stream of a response to another VM that has asked for numbered frames. One that
/// names its length stays as it is: the length shows missing bytes.
pub(crate) fn encode_stream(
    gateway: &Rc<Gateway>,
    mut response: Response<ReplyBody>,
) -> Response<ReplyBody> {
    let is_stream = matches!(response.body(), ReplyBody::Stream(_));
    if !is_stream || response.headers().contains_key(CONTENT_LENGTH) {
        return response;
    }
    set_frames(response.headers_mut());
    let held = gateway.held.clone();
    response.map(|stream| {
        let account = move |encoded: Bytes| held.hold(encoded.len()).attach(encoded);
        ReplyBody::Numbered(Box::new(NumberedBody::new(stream, account)))
    })
}

/// Decodes the body of another VM's response if it is in numbered frames.
pub(crate) fn decode_stream(
    gateway: &Rc<Gateway>,
    call: &SharedCall,
    response: &mut UpstreamResponse,
) {
    if !has_frames(&response.headers) {
        return;
    }
    response.headers.remove(FRAMES);
    let (gateway, call) = (Rc::clone(gateway), Rc::clone(call));
    response.body.decode_frames(move |error| {
        gateway.metrics.count("onyxfall_stream_gaps_total");
        log::warn!(
            request = call.request_id.as_str(),
            error:% = error;
            "bytes of a stream from another VM are missing"
        );
    });
}
