//! HTTP server: `hyper` in front of blocking request handlers.
//!
//! A small `tokio` runtime drives the connections. Every request runs on its own thread with
//! a small stack, so that handlers may block, as the rest of the gateway does. A purely
//! blocking server cannot give four guarantees that are needed: an overloaded server rejects
//! requests instead of hanging, the disconnect of a caller is detected before the first byte
//! of the response, each streamed chunk is sent immediately, and a graceful shutdown closes
//! the listener and lets open responses finish.
//!
//! Invariants: a handler that ends without a response yields an error response, and a stream
//! that ends without [`StreamSender::finish`] leaves the chunked body incomplete, so that a
//! truncated response never appears complete.

mod cancel;
mod reply;
mod request;
mod server;

pub use cancel::{CancelHook, CancelToken};
pub use reply::{CallerDisconnected, HttpReply, ReplyBody, Responder, StreamSender};
pub use request::{BodyError, HttpRequest};
pub use server::{HttpLimits, HttpServer};
