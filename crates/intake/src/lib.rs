//! What a VM takes in from others: request bodies and connections, within the memory and the
//! descriptors of its machine.
//!
//! [`MachineLimits`] tells what the machine has, and how it is shared out. [`collect_body`]
//! receives a body within an account of held bytes; while the account is full, uploads that take
//! long give way to others. [`ConnectionTable`] decides which connection gives way to a new one, and
//! [`PortConnections`] closes it. [`ReceiveBuffers`] sizes what the kernel holds unread, and
//! [`TimedStream`] limits the time of a request head.
//!
//! Invariant: what others make a VM hold does not depend on how many connect, what they announce,
//! or how they cut what they send into pieces.

mod body;
mod connections;
mod guarded;
mod heads;
mod machine;
mod port;
mod receive;

pub use body::{BodyError, HoldRule, UPLOAD_GRACE, collect_body, discard_body};
pub use connections::{Admission, ConnectionId, ConnectionTable, EvictedConnection};
pub use guarded::GuardedBody;
pub use heads::{RequestTracker, TimedStream, TrackedRequest};
pub use machine::{MachineLimits, PortRole, StatedFiles, StatedMemory};
pub use port::{EVICTION_LIMIT, OpenConnection, PortConnections, ServedRequest};
pub use receive::ReceiveBuffers;
