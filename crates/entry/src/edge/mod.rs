//! HTTP interfaces of an entry: callers, tickets and the admin port.

mod admin;
mod caller;
mod problem;
mod ticket;

pub(crate) use admin::start_admin;
pub(crate) use caller::{handle_caller, overload_reply};
pub(crate) use problem::problem_json;
pub(crate) use ticket::serve_ticket;
