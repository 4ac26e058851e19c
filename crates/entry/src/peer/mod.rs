//! Entry to entry: links, requests passed on, and their receiving side.

mod away;
mod convert;
mod link;
mod links;
mod listen;
mod reply;

pub(crate) use away::{AwayCall, run_away, run_on};
pub(crate) use link::PeerLink;
pub(crate) use links::PeerLinks;
pub(crate) use listen::listen_for_peers;
pub(crate) use reply::PeerAnswer;
