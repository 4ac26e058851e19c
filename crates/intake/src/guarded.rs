//! Bodies of responses that tell when they have been taken whole or given up.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

/// A body that drops its guard with its last byte, or when it is given up.
///
/// ```
/// use std::rc::Rc;
/// use bytes::Bytes;
/// use http_body_util::Full;
/// use onyxfall_intake::GuardedBody;
/// let guard = Rc::new(());
/// let body = GuardedBody::new(Full::new(Bytes::from_static(b"body")), Rc::clone(&guard));
/// assert_eq!(Rc::strong_count(&guard), 2);
/// drop(body);
/// assert_eq!(Rc::strong_count(&guard), 1);
/// ```
pub struct GuardedBody<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> GuardedBody<B, G> {
    /// Attaches `guard` to `body`.
    ///
    /// ```
    /// use bytes::Bytes;
    /// use http_body_util::Full;
    /// use onyxfall_intake::GuardedBody;
    /// let _body = GuardedBody::new(Full::new(Bytes::new()), ());
    /// ```
    pub fn new(body: B, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for GuardedBody<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
