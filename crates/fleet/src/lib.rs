//! Routing decisions over a dynamic fleet of backend servers.
//!
//! Pure code: no I/O, no clock. Store items enter through [`StoreMirror`], servers are
//! kept in [`FleetView`], and requests are routed by [`FleetView::choose`] and
//! [`RemoteTable::best`]. Limits shared by all VMs ([`RetryShare`], [`ColdShare`],
//! [`QuotaTable`]) are split so that no coordination is needed.

mod backup;
mod balance;
mod brittle;
mod budget;
mod cached_prefixes;
mod call;
mod capacity;
mod choose;
mod cold;
mod ended;
mod flow;
mod follow;
mod freshness;
mod home;
mod instance;
mod learn;
mod level;
mod limit;
mod liveness;
mod mirror;
mod pace;
mod peers;
mod pools;
mod predict;
mod quota;
mod reach;
mod record;
mod remote;
mod reservation;
mod restart;
mod route;
mod server;
mod signals;
mod switches;
mod team;
mod version;
mod view;
mod work;

pub use backup::BackupDecision;
pub use balance::RateKind;
pub use brittle::BrittleSignal;
pub use budget::{BudgetLimits, BudgetUsage, RetryPurpose, RetryShare, SharerCount};
pub use call::{CallRequirements, PromptPart, PromptSize};
pub use choose::{ChoiceReason, LocalOption, ServerChoice};
pub use cold::{ColdShare, SENDERS, is_cold_sender};
pub use ended::{EndCheck, EndEvidence, EntryState};
pub use follow::{ASK_LIMIT, BEHIND_LIMIT, CATCH_UP_PAUSE, CopyCheck, CopyState};
pub use freshness::{AgeChange, BatchPause, CheckCause, CopyAge, WatchCheck, check_pause};
pub use home::HomeRegions;
pub use instance::{ServerInstance, StartTime, StartTimeError};
pub use learn::{
    CostReport, CostSource, CostView, EngineCosts, EngineLoad, LinearFit, PlainCosts,
    ResponseLengths, RoundTrips, ServiceCosts,
};
pub use level::draw_by_level;
pub use limit::{LimitReports, LimitSignal};
pub use liveness::ServerVotes;
pub use mirror::{
    MirrorChange, MirrorDelta, RETURN_WINDOW, StoreEvent, StoreHealth, StoreItem, StoreMirror,
};
pub use pace::{PaceReports, PaceSignal, ServerPace, ServerPaceError};
pub use peers::RegionPeer;
pub use pools::MIN_WORKING;
pub use predict::TimePrediction;
pub use quota::{
    QuotaDecision, QuotaPeers, QuotaReceipt, QuotaRequest, QuotaSettings, QuotaTable, TeamFlow,
};
pub use reach::{LossEvidence, LossMoment, PathCheck, PathState, RegionReach};
pub use record::{ServerPhase, ServerRecord};
pub use remote::{RemoteOption, RemoteSearch, RemoteTable, ServiceLoad, goes_remote};
pub use reservation::BacklogLimits;
pub use route::{
    BackendService, CallerLimits, ConfigVersion, EngineLimits, RepeatRule, ResponseShape,
    RouteRule, RouteTable, RouteTarget,
};
pub use server::{AttemptResult, ServerState};
pub use signals::{BackoffSignal, ServerSignals, SignalChanges};
pub use switches::{
    ChoicePolicy, DecisionSwitch, DecisionSwitches, QuotaMode, QuotaSpend, UnknownName,
};
pub use team::{KeyDigest, QuotaLimit, QuotaUnit, TeamRule, TeamTable};
pub use view::{FleetView, REPREFILL_PENALTY, VmLocation};
pub use work::{PrefillTokens, URGENCIES, WorkShare};
