//! A backend server as a state machine in virtual time: its places and queue, the state of each
//! request, what an answer consists of and how it ends, silence, crashes and draining.
//!
//! It neither waits nor does I/O. Whoever drives it names the time of each call, since the start of
//! the model: the stub of a server with the time that has passed, a test in memory with a time that
//! it chooses. Both get the same server.

mod answer;
mod capacity;
mod fault;
mod model;
mod request;

pub use answer::{Answer, CrashPoint, NextPart, RunRequest};
pub use capacity::{Capacity, REJECTION_WINDOW};
pub use fault::{
    BreakEnd, BreakPoint, RequestedBackoff, ServerFault, StubFraming, StubSignals, StubTransfer,
};
pub use model::{Admission, CRASH_AFTER, Health, Output, Rejection, ServerModel};
pub use request::{RequestNumber, RequestRecord, RunState};
