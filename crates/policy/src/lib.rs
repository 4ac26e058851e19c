//! Routing decisions of an entry VM, as pure code.
//!
//! No I/O, no threads, no clock: time ([`Moment`]) and randomness (a seeded
//! generator) are arguments, so the same inputs give the same decisions. The
//! [`RequestRouter`] combines the parts: it takes events (the arrival of a
//! request, the end of an attempt, a load report, a digest) and returns steps
//! (run on a local server, forward to another data centre, wait, refuse).
//!
//! Invariants, each with a property test: a step never violates the residency
//! limit; a request received from another entry is never forwarded again;
//! retries stay within their budget; a grant is not spent twice; a drained
//! server gets no work until it restarts with a new incarnation.

mod backoff;
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
mod remote;
mod residency;
mod retry;
mod router;
mod server;
mod shutdown;
mod ticket;

pub use backoff::ServerBackoff;
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
pub use remote::{RemoteChoice, RemoteMode};
pub use residency::{RegionSet, allowed_regions};
pub use retry::{BackoffCurve, RetryBudget};
pub use router::{
    ArrivalOrigin, AttemptEnd, AttemptOutcome, PolicySettings, RequestArrival, RequestRouter,
    RouteCounts, RouteStep, RoutingPolicy,
};
pub use server::{LoadReport, ServerState};
pub use shutdown::{ShutdownPhase, ShutdownPlan};
pub use ticket::{TicketError, TicketId, TicketLedger, TicketOutcome, TicketState};
