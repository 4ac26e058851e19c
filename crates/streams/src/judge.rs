//! Decides at which version a caller's stream is resumed.

use std::time::Duration;

use onyxfall_types::SoftwareVersion;

use crate::history::VersionClaim;
use crate::memory::StreamOrigin;

/// How the version of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnowledgeSource {
    /// This VM had recorded it.
    Own,
    /// Another VM had recorded it.
    Owner,
    /// The service had no other version.
    Single,
}

impl KnowledgeSource {
    /// Name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Owner => "owner",
            Self::Single => "single",
        }
    }
}

/// What one VM knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerAnswer {
    /// The recorded origin of the stream.
    pub origin: Option<StreamOrigin>,
    /// What the VM knows of the service's versions.
    pub claim: VersionClaim,
}

/// Age of the copy of the store from which a VM that hears from no other VM may have missed a
/// version. A VM that is in touch with the store proves its copy about once a second.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1500);

/// What tells whether the view of a VM is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewState {
    /// Whether any other VM is alive.
    pub has_peers: bool,
    /// Whether the VM watches the store itself.
    pub is_watching: bool,
    /// Time since its copy of the store was last proved to be current; `None` before the first
    /// proof.
    pub copy_age: Option<Duration>,
}

impl ViewState {
    /// Whether the view may be old, so that it counts only with the answer of another VM. An open
    /// watch proves nothing: a path that is cut leaves it open for some seconds.
    ///
    /// ```
    /// use std::time::Duration;
    /// use onyxfall_streams::ViewState;
    /// let alone = ViewState {
    ///     has_peers: false,
    ///     is_watching: true,
    ///     copy_age: Some(Duration::from_millis(900)),
    /// };
    /// assert!(!alone.needs_answer());
    /// let cut_off = ViewState { copy_age: Some(Duration::from_secs(3)), ..alone };
    /// assert!(cut_off.needs_answer());
    /// ```
    pub fn needs_answer(self) -> bool {
        let is_current = self.copy_age.is_some_and(|age| age <= MAX_VIEW_AGE);
        self.has_peers || !self.is_watching || !is_current
    }
}

/// At which version a stream is resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumptionVerdict {
    /// The stream began at this version.
    Known(SoftwareVersion, KnowledgeSource),
    /// The version cannot be told: the stream is not resumed.
    Unknown,
}

/// Judges a resumption at a service by what this VM knows and by what the owners have answered.
/// Owners that have not answered are left out. `needs_answer` is whether this VM's view counts only
/// with the answer of another one, see [`ViewState`].
///
/// ```
/// use onyxfall_streams::{
///     KnowledgeSource, OwnerAnswer, ResumptionVerdict, StreamOrigin, VersionClaim,
///     judge_resumption,
/// };
/// let own = OwnerAnswer {
///     origin: Some(StreamOrigin {
///         service_tag: 7,
///         version: "v1".parse().unwrap(),
///     }),
///     claim: VersionClaim::Several,
/// };
/// let known = ResumptionVerdict::Known("v1".parse().unwrap(), KnowledgeSource::Own);
/// assert_eq!(judge_resumption(7, &own, &[], true), known);
/// assert_eq!(judge_resumption(8, &own, &[], true), ResumptionVerdict::Unknown);
/// ```
pub fn judge_resumption(
    service_tag: u32,
    own: &OwnerAnswer,
    answers: &[OwnerAnswer],
    needs_answer: bool,
) -> ResumptionVerdict {
    let recorded = answers.iter().filter_map(|answer| answer.origin.as_ref());
    let mut recorded = own.origin.iter().chain(recorded);
    if let Some(origin) = recorded.next() {
        // The route may lead to another service by now, and an id may have been used twice.
        if origin.service_tag != service_tag || recorded.any(|other| other != origin) {
            return ResumptionVerdict::Unknown;
        }
        let source = if own.origin.is_some() {
            KnowledgeSource::Own
        } else {
            KnowledgeSource::Owner
        };
        return ResumptionVerdict::Known(origin.version.clone(), source);
    }
    if needs_answer && answers.is_empty() {
        return ResumptionVerdict::Unknown;
    }
    let claims = answers.iter().map(|answer| &answer.claim);
    match single_version(claims.chain([&own.claim])) {
        Some(version) => ResumptionVerdict::Known(version, KnowledgeSource::Single),
        None => ResumptionVerdict::Unknown,
    }
}

/// The version that all claims agree on, if at least one covers the life of a stream.
fn single_version<'a>(claims: impl Iterator<Item = &'a VersionClaim>) -> Option<SoftwareVersion> {
    let (mut single, mut is_covered) = (None, false);
    for claim in claims {
        let version = match claim {
            VersionClaim::Several => return None,
            VersionClaim::Nothing => continue,
            VersionClaim::Single(version) => {
                is_covered = true;
                version
            }
            VersionClaim::Young(version) => version,
        };
        if *single.get_or_insert(version) != version {
            return None;
        }
    }
    single.filter(|_| is_covered).cloned()
}
