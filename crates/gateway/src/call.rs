//! The context of one request.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Method, Uri};
use onyxfall_capacity::ClassTag;
use onyxfall_clock::BootInstant;
use onyxfall_fleet::{CallRequirements, ConfigVersion, FleetView, HomeRegions};
use onyxfall_suspects::{CallKeys, FingerprintParts, PartKeys, PartScope, RequestFingerprint};
use onyxfall_types::{SoftwareVersion, TeamName, VmName};

/// Origin of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    /// A caller of this VM.
    Caller,
    /// Another VM, which forwarded the request. It is run here or rejected, never forwarded.
    Peer(VmName),
}

/// Form of a response, and how it is resumed after a lost connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseRule {
    /// A single body.
    Whole,
    /// A stream that no other server may resume, unless it has a backup copy of the run.
    LostWithServer,
    /// A stream that another server may resume.
    Resumable,
    /// A resumable stream that the forwarding VM resumes.
    ResumedBySender,
}

impl ResponseRule {
    /// Whether the response is a stream of events.
    pub(crate) fn is_stream(self) -> bool {
        self != Self::Whole
    }
}

/// How the route allows a request to be served.
#[derive(Clone, Debug)]
pub(crate) struct CallRules {
    /// Whether the request may be sent again after it may have run.
    pub(crate) repeatable: bool,
    /// Form of the response, and how it is resumed after a lost connection.
    pub(crate) response: ResponseRule,
    /// Most servers that may run the request.
    pub(crate) max_attempts: u32,
    /// Longest pause between two events of a stream that is still on time.
    pub(crate) gap_goal: Option<Duration>,
}

/// A request that was received whole and matched to its route.
#[derive(Clone, Debug)]
pub(crate) struct CallContext {
    /// Id of the caller's attempt.
    pub(crate) request_id: String,
    /// Name of the matched route.
    pub(crate) route: String,
    /// Team whose key the request carried. `None` on public routes and without teams.
    pub(crate) team: Option<TeamName>,
    /// Keys of the evidence about the request, computed on first use.
    pub(crate) keys: OnceCell<CallKeys>,
    /// Version of the configuration that the request was matched by.
    pub(crate) version: ConfigVersion,
    /// Requirements on a server.
    pub(crate) needs: CallRequirements,
    /// Class of the request, if capacity is planned for its service.
    pub(crate) class: Option<ClassTag>,
    /// How the request may be served.
    pub(crate) rules: CallRules,
    /// Method as sent by the caller.
    pub(crate) method: Method,
    /// Path and query as sent by the caller.
    pub(crate) target: Uri,
    /// Headers for the server, without those that each attempt sets.
    pub(crate) headers: HeaderMap,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Origin of the request.
    pub(crate) origin: CallOrigin,
    /// When the head was received.
    pub(crate) arrived: BootInstant,
    /// When the response must have ended.
    pub(crate) deadline: BootInstant,
}

/// A request shared by its attempts and responses.
pub(crate) type SharedCall = Rc<CallContext>;

/// Limits the requirements of a request to one software version and the regions that have it.
pub(crate) fn limit_to_version(
    needs: &CallRequirements,
    fleet: &FleetView,
    version: &SoftwareVersion,
) -> CallRequirements {
    let regions = HomeRegions::Only(fleet.version_regions(&needs.service, version));
    CallRequirements {
        homes: needs.homes.and(&regions),
        version: Some(version.clone()),
        ..needs.clone()
    }
}

impl CallContext {
    /// The request limited to one software version, for the rest of its stream.
    pub(crate) fn at_version(&self, fleet: &FleetView, version: &SoftwareVersion) -> Self {
        Self {
            needs: limit_to_version(&self.needs, fleet, version),
            ..self.clone()
        }
    }

    /// Keys under which evidence about the request is kept, computed on first use: the digest of
    /// its content and team, and the parts of its prompt that other requests may share.
    pub(crate) fn keys(&self) -> &CallKeys {
        self.keys.get_or_init(|| {
            let host = self.headers.get(HOST);
            let fingerprint = RequestFingerprint::of(&FingerprintParts {
                method: self.method.as_str(),
                host: host.map_or(&[], http::HeaderValue::as_bytes),
                target: self.target.path_and_query().map_or("", |t| t.as_str()),
                team: self.team.as_ref(),
                body: &self.body,
            });
            CallKeys {
                request: fingerprint.into(),
                parts: self.part_keys(),
            }
        })
    }

    /// Keys of the parts of the prompt that other requests may share.
    pub(crate) fn part_keys(&self) -> PartKeys {
        let parts = self.needs.prompt.shared_parts().iter();
        PartKeys::of(self.part_scope(), parts.map(|part| part.id))
    }

    /// The scope of the parts of the prompt.
    pub(crate) fn part_scope(&self) -> PartScope {
        PartScope::of(&self.needs.service, self.team.as_ref())
    }

    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(BootInstant::now())
    }

    /// Time since the request arrived.
    pub(crate) fn age(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Name of the team for logs.
    pub(crate) fn team_name(&self) -> &str {
        self.team.as_ref().map_or("none", TeamName::as_str)
    }

    /// Whether this VM may forward the request to another region.
    pub(crate) fn may_forward(&self) -> bool {
        self.origin == CallOrigin::Caller
    }
}
