//! One request as this VM handles it.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use onyxfall_clock::BootInstant;
use onyxfall_fleet::{CallRequirements, ConfigVersion};
use onyxfall_suspects::{FingerprintParts, RequestFingerprint};
use onyxfall_types::{TeamName, VmName};

/// Where a request came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// A caller of this VM.
    Caller,
    /// Another VM; it is run here or refused, never passed on.
    Peer(VmName),
}

/// What an answer is, and what becomes of one that breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseRule {
    /// One body.
    Whole,
    /// A stream that is lost with its server: no other may go on with it, unless it
    /// holds a copy of the run.
    LostWithServer,
    /// A stream that another server may go on with.
    Resumable,
    /// The same, where the VM that passed the request on sees to it.
    ResumedBySender,
}

impl ResponseRule {
    /// Whether the answer is a series of events.
    pub(crate) fn is_stream(self) -> bool {
        self != Self::Whole
    }
}

/// What the route asks of the way a request is served.
#[derive(Clone, Debug)]
pub(crate) struct CallRules {
    /// Whether it may be sent again after it may have run.
    pub(crate) repeatable: bool,
    /// What its answer is, and what becomes of one that breaks off.
    pub(crate) answer: ResponseRule,
    /// Most servers that may run it.
    pub(crate) max_attempts: u32,
}

/// A request, read whole and matched to its route.
#[derive(Debug)]
pub(crate) struct CallContext {
    /// Id of the caller's attempt.
    pub(crate) request_id: String,
    /// Route that took it.
    pub(crate) route: String,
    /// Team whose key it carried; none on public routes and where there are no teams.
    pub(crate) team: Option<TeamName>,
    /// Its fingerprint, once that was asked for.
    pub(crate) fingerprint: OnceCell<RequestFingerprint>,
    /// Version of the configuration that it was matched by.
    pub(crate) version: ConfigVersion,
    /// What it needs of a server.
    pub(crate) needs: CallRequirements,
    /// How it may be served.
    pub(crate) rules: CallRules,
    /// Method as the caller sent it.
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    /// Headers for the server, without those that each attempt sets.
    pub(crate) headers: HeaderMap,
    /// Body, whole.
    pub(crate) body: Bytes,
    /// Where it came from.
    pub(crate) origin: CallOrigin,
    /// When its head had been read.
    pub(crate) arrived: BootInstant,
    /// When its answer must have ended.
    pub(crate) deadline: BootInstant,
}

/// A request that attempts and answers share.
pub(crate) type SharedCall = Rc<CallContext>;

impl CallContext {
    /// Digest of its content and team; worked out only where it is asked for.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(HOST);
            RequestFingerprint::of(&FingerprintParts {
                method: self.method.as_str(),
                host: host.map_or(&[], http::HeaderValue::as_bytes),
                target: self.target.path_and_query().map_or("", |t| t.as_str()),
                team: self.team.as_ref(),
                body: &self.body,
            })
        })
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(BootInstant::now())
    }

    /// Time since it arrived.
    pub(crate) fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Name of its team for logs.
    pub(crate) fn team_name(&self) -> &str {
        self.team.as_ref().map_or("none", TeamName::as_str)
    }

    /// Whether this VM may pass it on to another region.
    pub(crate) fn may_leave(&self) -> bool {
        self.origin == CallOrigin::Caller
    }
}
