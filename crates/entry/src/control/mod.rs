//! Control loops: configuration, heartbeats, load observation and the platform service.

mod config;
mod demand;
mod directory;
mod heartbeat;
mod observe;
mod platform;

pub(crate) use config::{ConfigStore, offer_records};
pub(crate) use demand::CenterDemand;
pub(crate) use directory::{entries_for_callers, publish_directory};
pub(crate) use heartbeat::{handle_control, run_heartbeats};
pub(crate) use observe::run_observers;
pub(crate) use platform::{run_platform_poll, run_platform_watch};
