//! Communication between entries: links, forwarded requests and their receiving side.

mod convert;
mod forward;
mod link;
mod links;
mod listen;
mod reply;

pub(crate) use forward::{ForwardCall, run_forward, run_on_member};
pub(crate) use link::PeerLink;
pub(crate) use links::PeerLinks;
pub(crate) use listen::listen_for_peers;
pub(crate) use reply::PeerResponse;
