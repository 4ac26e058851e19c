//! What a server says of itself in its answers, and what this VM believes by it.
//!
//! Leaving belongs to a life and never ends within it: whatever the store or another VM
//! says of that life later is older knowledge. Requests reached a server for 11 s after
//! its answers had said that it leaves while only its entry counted, which the store did
//! not take for as long. Both beliefs hold for this VM only: each VM learns of a leaving by
//! its own first answer, and rest that is asked of one VM is not asked of others.
//!
//! A server that starts again under its name may answer before its entry is known here,
//! and its word is then noted for its former life. Once the entry is known its birth tells:
//! a word that was read after it may be the later life's, which gets no work for a while.
//! Without that, a VM whose link to the store was held sent a reborn server work 0.4 s
//! after it had said that it leaves.

use std::time::Duration;

use onyxfall_policy::{Moment, ServerBackoff};
use onyxfall_types::ServerId;

use crate::life::StartTime;
use crate::limit::LimitSignal;
use crate::view::FleetView;

/// How much later than a word a birth must be for the word to be the former life's: clocks
/// of servers and VMs may differ. A server that leaves serves on for three seconds at least
/// before it can be born again.
const BIRTH_DOUBT: Duration = Duration::from_secs(1);
/// Time for which a life gets nothing that may have said that it leaves: leaving servers
/// were seen to serve on for 12 s. After it one request tries.
pub(crate) const AMBIGUOUS_DRAINING: Duration = Duration::from_secs(20);

/// Words that may be those of another life than the one that they were noted for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AmbiguousSignals {
    /// It leaves.
    pub(crate) leaves: bool,
    /// It wants rest.
    pub(crate) rest: Option<ServerBackoff>,
}

/// Whether a server that turned a request away asks to be left alone for a while.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BackoffSignal {
    /// It names no time.
    #[default]
    None,
    /// It wants nothing from this VM for so long.
    For(Duration),
    /// It names a time that cannot be understood.
    Malformed,
}

/// What the head of an answer says of the server that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// It leaves.
    pub is_leaving: bool,
    /// The rest that it wants.
    pub rest: BackoffSignal,
    /// The rate that it takes.
    pub limit: LimitSignal,
}

/// What a word has changed of what this VM believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalChanges {
    /// The server is now known to leave.
    pub leaves: bool,
    /// It now rests, or for longer than before.
    pub rests: bool,
}

impl FleetView {
    /// Takes the word of a life of a server on itself.
    ///
    /// ```
    /// use onyxfall_fleet::{FleetView, ServerSignals, VmLocation, SignalChanges};
    /// # use onyxfall_fleet::{StartTime, ServerPhase, ServerRecord};
    /// # use onyxfall_policy::Moment;
    /// # let (center, region): (onyxfall_types::CenterName, onyxfall_types::RegionName) =
    /// #     ("c1".parse().unwrap(), "r1".parse().unwrap());
    /// # let mut fleet = FleetView::new(VmLocation {
    /// #     vm: "vm1".parse().unwrap(),
    /// #     center: center.clone(),
    /// #     region: region.clone(),
    /// #     centers: [(center.clone(), region)].into(),
    /// # });
    /// # let record = ServerRecord {
    /// #     name: "s1".parse().unwrap(),
    /// #     born: StartTime::UNKNOWN,
    /// #     service: "svc".parse().unwrap(),
    /// #     version: None,
    /// #     address: "10.0.0.1:80".parse().unwrap(),
    /// #     center,
    /// #     slots: 4,
    /// #     phase: ServerPhase::Ready,
    /// #     cold_left: std::time::Duration::ZERO,
    /// # };
    /// # fleet.put_server(Moment::ZERO, record, None);
    /// let server = fleet.find("s1").unwrap();
    /// let word = ServerSignals { is_leaving: true, ..ServerSignals::default() };
    /// assert!(fleet.apply_signals(Moment::ZERO, server, &word).leaves);
    /// assert!(!fleet.server(server).takes_work());
    /// assert_eq!(fleet.apply_signals(Moment::ZERO, server, &word), SignalChanges::default());
    /// ```
    pub fn apply_signals(
        &mut self,
        now: Moment,
        id: ServerId,
        word: &ServerSignals,
    ) -> SignalChanges {
        let id = self.same_instance(id);
        let server = self.server_mut(id);
        let leaves = word.is_leaving && server.record_draining(now);
        let rests = match word.rest {
            BackoffSignal::For(time) => server.record_backoff(now, time),
            BackoffSignal::None | BackoffSignal::Malformed => false,
        };
        self.mark_later_instance_ambiguous(now, id);
        SignalChanges { leaves, rests }
    }

    /// Lets the later life of a server that has started again count a word that was noted
    /// for the former one only now.
    fn mark_later_instance_ambiguous(&mut self, now: Moment, former: ServerId) {
        let name = &self.server(former).record.name;
        let Some(later) = self.find(name.as_str()).filter(|id| *id != former) else {
            return;
        };
        let words = self.ambiguous_signals(former, self.server(later).record.born);
        self.server_mut(later).apply_ambiguous(now, &words);
    }

    /// What a former life seems to have said, but may have been said by the one that was
    /// born at `born`.
    pub(crate) fn ambiguous_signals(&self, former: ServerId, born: StartTime) -> AmbiguousSignals {
        let born = self.moment_of(born);
        let former = self.server(former);
        let is_doubtful = |told: Option<Moment>| told.is_some_and(|at| born <= at + BIRTH_DOUBT);
        AmbiguousSignals {
            leaves: is_doubtful(former.leaving_since()),
            rest: former.requested_backoff(is_doubtful),
        }
    }

    /// Whether a send to a server may begin now. A request whose server was chosen may
    /// have waited for a connection since.
    pub fn may_send(&self, now: Moment, id: ServerId) -> bool {
        self.may_work(id)
            && !self.is_closed_version(id)
            && self.server(id).backoff_end(now).is_none()
    }

    /// Whether what a server says of itself lets this VM send to it now.
    pub(crate) fn takes_now(&self, now: Moment, id: ServerId) -> bool {
        self.server(id).is_backoff_over(now) && self.is_within_limit(now, id)
    }

    /// When the first of these servers may have work again; none if one may have it now.
    pub(crate) fn earliest_hold_end(&self, now: Moment, servers: &[ServerId]) -> Option<Moment> {
        if servers.iter().any(|id| self.takes_now(now, *id)) {
            return None;
        }
        let end = |id: &ServerId| {
            let rested = self.server(*id).backoff_end(now).unwrap_or(now);
            rested.max(now + self.limit_wait(now, *id))
        };
        servers.iter().map(end).min()
    }
}
