//! Streams of server-sent events as they are forwarded: where events begin and end, which id
//! came last, whether the end of a stream's body is the end of the stream, and whether a stream
//! from another VM has a gap.
//!
//! Lines end as in the specification of server-sent events (WHATWG HTML, section 9.2.6): with
//! LF, CR LF or CR. A line that begins with a colon is a comment and belongs to no event.
//!
//! Pure code: no I/O, no clock. Invariants: how a stream is split into pieces changes neither
//! what is forwarded nor the verdict on its end; at most one incomplete event is held, of at most
//! [`MAX_EVENT_BYTES`].

mod end;
mod framer;
mod numbered;
mod scanner;

pub use end::{BodyFraming, StreamEnd};
pub use framer::{EventError, EventFramer, ForwardUnit, FramedBytes, MAX_EVENT_BYTES};
pub use numbered::{FrameDecoder, FrameEncoder, SequenceError};
