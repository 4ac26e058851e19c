//! The HTTP edge: `hyper` in front of blocking request handlers.
//!
//! Connections are driven by a small `tokio` runtime; every request runs on a
//! thread of its own with a small stack, so that handlers block, as the rest of
//! the system does. The edge exists because four promises need what a purely
//! blocking server cannot give: a full server refuses instead of hanging, a
//! caller that goes away is noticed before the first byte of the answer, each
//! streamed chunk leaves at once, and a planned stop closes the listener and
//! lets open answers finish.
//!
//! Invariants: a handler that ends without an answer yields an error answer,
//! and a stream that ends without [`StreamSender::finish`] breaks the chunked
//! body, so that half an answer never looks whole.

mod cancel;
mod reply;
mod request;
mod server;

pub use cancel::{CancelHook, CancelToken};
pub use reply::{CallerGone, HttpReply, ReplyBody, Responder, StreamSender};
pub use request::{BodyError, HttpRequest};
pub use server::{HttpLimits, HttpServer};
