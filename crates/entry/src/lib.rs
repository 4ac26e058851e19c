//! The entry process: takes callers' requests, decides, and has them served by
//! a backend server of its own data centre or by an entry of another one.
//!
//! Layout is a supervisor tree: the root supervises the peers' listener, the
//! control loops (beats, observation, platform) and the admin port; request
//! threads belong to the HTTP edge. Shared state is one `EntryCore`, whose locks
//! are held for a decision and never across I/O.
//!
//! Invariants: no decision waits for the platform or another region; what
//! arrives from a peer is never sent on (that path has no call to do so).

mod answer;
mod backend;
mod clock;
mod control;
mod core;
mod edge;
mod metrics;
mod peer;
mod process;
mod serve;
mod settings;
mod supervisor;
mod trace;

pub use clock::EntryClock;
pub use process::{EntryProcess, StartError};
pub use settings::{EntrySettings, LogLevel, SeedPeer, load_settings, parse_settings};
pub use supervisor::{ChildSpec, RestartRule, StopSignal, Supervisor};
pub use trace::start_tracing;
