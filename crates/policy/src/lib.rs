//! Every decision of an entry VM, as pure code.
//!
//! No I/O, no threads, no clock: time ([`Moment`]) and randomness (a seeded
//! generator) are arguments, so the same inputs give the same decisions. The
//! [`RequestRouter`] ties the parts together: events go in (an arrival, an end,
//! a load report, a digest), steps come out (run here, send away, wait, refuse).
//!
//! Invariants, each with a property test: a step never leaves the residency
//! limit; a request that came from another entry is never sent on; retries stay
//! within their budget; a grant is not spent twice; a drained server gets no
//! work until it comes back with a new incarnation.

mod away;
mod bucket;
mod center;
mod choose;
mod circuit;
mod drain;
mod estimate;
mod limit;
mod membership;
mod moment;
mod prefix;
mod queue;
mod residency;
mod rest;
mod retry;
mod router;
mod server;
mod stop;
mod ticket;

pub use away::{RemoteChoice, RemoteMode};
pub use bucket::TokenBucket;
pub use center::{CenterDigest, CenterTable, CenterView, ModelDigest};
pub use choose::{ServerChoice, rendezvous_rank};
pub use circuit::{CircuitBreaker, CircuitState};
pub use drain::{DrainSource, DrainTable};
pub use estimate::ServiceEstimate;
pub use limit::AdaptiveLimit;
pub use membership::{MemberHeartbeat, MemberState, MemberTable, MemberTiming, VmMember};
pub use moment::Moment;
pub use prefix::{CacheEvent, PrefixKey, PrefixTable};
pub use queue::{QueuedRequest, WaitId, WeightedQueue};
pub use residency::{RegionSet, allowed_regions};
pub use rest::ServerBackoff;
pub use retry::{BackoffCurve, RetryBudget};
pub use router::{
    ArrivalOrigin, AttemptEnd, AttemptOutcome, PolicySettings, RequestArrival, RequestRouter,
    RouteCounts, RouteStep, RoutingPolicy,
};
pub use server::{LoadReport, ServerState};
pub use stop::{ShutdownPhase, ShutdownPlan};
pub use ticket::{TicketError, TicketId, TicketLedger, TicketOutcome, TicketState};
