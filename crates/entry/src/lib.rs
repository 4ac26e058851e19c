//! The entry process: receives requests of callers, decides where to serve them, and
//! has them served by a backend server of its own data centre or by an entry of another
//! one.
//!
//! The threads form a supervisor tree: the root supervises the listener for peers and
//! the control loops (heartbeats, load observation, platform polls). The HTTP servers
//! own the request threads and the admin port, and the platform watch runs on a thread
//! of its own. Shared state is one `EntryCore`, whose locks are held for a decision and
//! never across I/O.
//!
//! Invariants: no decision waits for the platform or another region; a request that
//! arrives from a peer is never forwarded (that path has no call to do so).

mod backend;
mod clock;
mod control;
mod core;
mod edge;
mod metrics;
mod peer;
mod process;
mod response;
mod serve;
mod settings;
mod supervisor;
mod trace;

pub use clock::EntryClock;
pub use process::{EntryProcess, StartError};
pub use settings::{EntrySettings, LogLevel, SeedPeer, load_settings, parse_settings};
pub use supervisor::{ChildSpec, RestartRule, StopSignal, Supervisor};
pub use trace::start_tracing;
