//! Decisions over a fleet of backend servers that come and go by themselves.
//!
//! Pure code: no I/O, no clock. The store's items enter through [`StoreMirror`],
//! servers live in [`FleetView`], and a request asks [`FleetView::choose`] and
//! [`AwayTable::best`] where to go. Limits that all VMs share ([`RetryShare`],
//! [`ColdShare`]) are split so that no coordination is needed.

mod away;
mod budget;
mod call;
mod choose;
mod cold;
mod follow;
mod mirror;
mod record;
mod route;
mod server;
mod view;

pub use away::{AwayOption, AwaySearch, AwayTable, REGION_ROUND_TRIP, ServiceLoad, goes_away};
pub use budget::{BudgetLimits, LEAST_VMS, RetryShare};
pub use call::{CallNeeds, PromptPart, PromptSize};
pub use choose::{ChoiceReason, LocalOption, ServerChoice};
pub use cold::{ColdShare, SENDERS, is_cold_sender};
pub use follow::{BEHIND_LIMIT, CATCH_UP_PAUSE, CopyCheck, CopyState};
pub use mirror::{
    MirrorChange, MirrorDelta, RETURN_WINDOW, StoreEvent, StoreHealth, StoreItem, StoreMirror,
};
pub use record::{ServerPhase, ServerRecord};
pub use route::{
    AnswerShape, BackendService, CallerLimits, ConfigVersion, EngineLimits, RepeatRule, RouteRule,
    RouteTable, RouteTarget,
};
pub use server::{AttemptResult, ServerState, WorkShare};
pub use view::{FleetView, VmPlace};
