//! Control loops: configuration, heartbeats, observation, the platform.

mod beat;
mod config;
mod demand;
mod directory;
mod observe;
mod platform;

pub(crate) use beat::{handle_control, run_beats};
pub(crate) use config::{ConfigStore, offer_records};
pub(crate) use demand::CenterDemand;
pub(crate) use directory::{entries_for_callers, publish_directory};
pub(crate) use observe::run_observers;
pub(crate) use platform::{run_platform_poll, run_platform_watch};
