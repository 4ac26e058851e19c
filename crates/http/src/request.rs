//! Requests, as handlers receive them.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming;
use onyxfall_held::{HeldAccount, HeldFull};
use onyxfall_intake::{HoldRule, collect_body, discard_body};
use onyxfall_types::ByteSize;
use tokio::runtime::Handle;

use crate::cancel::CancelToken;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The body was not received in time.
    TimedOut,
    /// The caller disconnected.
    Broken,
    /// This VM holds too many bytes of other requests.
    Held(HeldFull),
}

/// A request whose body has not been read yet.
pub struct HttpRequest {
    /// Method, path and headers.
    pub head: Parts,
    /// Cancelled when the caller disconnects before the whole response is sent.
    pub cancel: CancelToken,
    pub(crate) body: Option<Incoming>,
    pub(crate) handle: Handle,
    pub(crate) held: HeldAccount,
    pub(crate) body_timeout: Duration,
}

impl HttpRequest {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// The value of a header, if it is present and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Reads the whole body, at most `limit` bytes. A second call yields an empty body. The rest of
    /// a body that is refused is discarded for a while, so that the caller can read why.
    ///
    /// # Errors
    ///
    /// The body is too large, too slow or incomplete, or there is no room for it.
    pub fn read_body(&mut self, limit: ByteSize) -> Result<Bytes, BodyError> {
        use onyxfall_intake::BodyError as IntakeError;
        let Some(mut body) = self.body.take() else {
            return Ok(Bytes::new());
        };
        let limit = limit.as_usize();
        let hold = self.held.hold(0);
        let collect = collect_body(&mut body, limit, hold, HoldRule::WithinBound);
        let collected = self
            .handle
            .block_on(async { tokio::time::timeout(self.body_timeout, collect).await });
        let error = match collected {
            Ok(Ok(body)) => return Ok(body),
            Err(_elapsed) => return Err(BodyError::TimedOut),
            Ok(Err(IntakeError::Broken(_))) => return Err(BodyError::Broken),
            Ok(Err(IntakeError::TooLarge)) => BodyError::TooLarge,
            Ok(Err(IntakeError::Held(full))) => BodyError::Held(full),
        };
        self.handle.spawn(discard_body(body, limit));
        Err(error)
    }
}
