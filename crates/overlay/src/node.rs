//! One VM's end of the overlay: builds the updates for each link and applies received ones.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::VmName;

use crate::evidence::UpdateScope;
use crate::plan::{LinkPlan, LinkRelation};
use crate::record::{RecordVersion, VmRecord};
use crate::roster::{Roster, RosterTiming};
use crate::totals::{ReceivedWork, WorkCursor, WorkOrigin, WorkTotals, WorkUpdate, WorkView};
use crate::update::{RosterCursor, RosterUpdate};

/// Time during which the sums of a new aggregator may lack members: three report intervals.
const WARMUP_TIME: Duration = Duration::from_millis(300);
/// Interval after which other unresponsive VMs are selected for probing.
const SEARCH_INTERVAL: Duration = Duration::from_millis(700);

/// One message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlayUpdate {
    /// Relation of the sender to the receiver.
    pub relation: LinkRelation,
    /// Record of the sender, if it has changed since it was last sent on the link.
    pub record: Option<VmRecord>,
    /// Which VMs are alive, if that has changed since the last update on the link.
    pub word: Option<RosterUpdate>,
    /// Work at servers, if messages of this relation carry it.
    pub work: Option<WorkUpdate>,
    /// Whether the sums cover all members; false for a while after the sender has become an
    /// aggregator.
    pub is_warm: bool,
}

/// State already sent in one direction of one link.
#[derive(Clone, Debug, Default)]
pub struct LinkState {
    relation: Option<LinkRelation>,
    record: Option<RecordVersion>,
    word: RosterCursor,
    work: WorkCursor,
}

/// A VM's end of the overlay.
#[derive(Clone, Debug)]
pub struct OverlayNode {
    roster: Roster,
    totals: WorkTotals,
    seeds: Vec<SocketAddr>,
    /// Current link plan.
    plan: LinkPlan,
    /// Change counter of the roster and probing turn from which `plan` was computed.
    planned: Option<(u64, usize)>,
    /// When the first report arrived after a time without members.
    reported_since: Option<Moment>,
    /// When this VM became an aggregator in its own view, if it is one.
    aggregates_since: Option<Moment>,
}

impl OverlayNode {
    /// Creates a node that knows no other VMs, only the seed addresses.
    pub fn new(own: VmRecord, timing: RosterTiming, seeds: Vec<SocketAddr>) -> Self {
        Self {
            roster: Roster::new(own, timing),
            totals: WorkTotals::default(),
            seeds,
            plan: LinkPlan::default(),
            planned: None,
            reported_since: None,
            aggregates_since: None,
        }
    }

    /// The known VMs.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The known VMs, mutable for changing this VM's own record.
    pub fn roster_mut(&mut self) -> &mut Roster {
        &mut self.roster
    }

    /// The work at servers.
    pub fn totals(&self) -> &WorkTotals {
        &self.totals
    }

    /// The work at servers, mutable for setting this VM's own work.
    pub fn totals_mut(&mut self) -> &mut WorkTotals {
        &mut self.totals
    }

    /// Sets the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.planned = None;
    }

    /// The links that this VM should keep open.
    pub fn plan(&mut self, now: Moment) -> &LinkPlan {
        let turns = u128::from(now.as_micros()) / SEARCH_INTERVAL.as_micros();
        let turn = usize::try_from(turns).unwrap_or_default();
        let basis = (self.roster.changes(), turn);
        if self.planned != Some(basis) {
            self.planned = Some(basis);
            self.plan = self.roster.plan(&self.seeds, turn);
            let aggregators: Vec<&VmName> = self.plan.answering().collect();
            self.roster.expect(now, &aggregators);
            let is_aggregator = self.plan.primary().is_none();
            self.aggregates_since = is_aggregator.then(|| self.aggregates_since.unwrap_or(now));
        }
        &self.plan
    }

    /// Builds the message that is due on a link. `peer` is required for digests only.
    pub fn next_update(
        &mut self,
        now: Moment,
        relation: LinkRelation,
        peer: Option<&VmName>,
        link: &mut LinkState,
    ) -> OverlayUpdate {
        if link.relation != Some(relation) {
            link.relation = Some(relation);
            link.work = WorkCursor::default();
        }
        let own = self.roster.own();
        let is_sent = link.record == Some(own.version);
        link.record = Some(own.version);
        let record = (!is_sent).then(|| own.clone());
        OverlayUpdate {
            relation,
            record,
            word: self.roster_update(relation, link),
            work: work_view(relation, peer)
                .map(|view| self.totals.next_update(view, &mut link.work)),
            is_warm: self.is_warm(now),
        }
    }

    /// Whether a relation has changes of work that were not yet sent on a link.
    pub fn has_changes(&self, relation: LinkRelation, link: &LinkState) -> bool {
        match relation {
            LinkRelation::Report => self.totals.has_own_changes(link.work),
            LinkRelation::Digest => self.totals.has_changes(link.work),
            _ => true,
        }
    }

    fn roster_update(&self, relation: LinkRelation, link: &mut LinkState) -> Option<RosterUpdate> {
        match relation.scope()? {
            UpdateScope::Hint => self.roster.update_aggregators(&mut link.word),
            scope => self.roster.update_scope(scope, &mut link.word),
        }
    }

    /// Applies a received message.
    pub fn apply(&mut self, now: Moment, from: &VmName, update: &OverlayUpdate) -> ReceivedWork {
        match &update.record {
            Some(record) if record.name == *from => self.roster.receive(now, record),
            _ => self.roster.renew(now, from),
        }
        let is_known = match (&update.word, update.relation.scope()) {
            (Some(word), _) => self.roster.apply_update(now, from, word),
            (None, Some(scope)) => self.roster.renew_update(now, from, scope),
            (None, None) => true,
        };
        let mut received = self.apply_work(now, from, update);
        received.is_cut |= !is_known;
        received
    }

    fn apply_work(&mut self, now: Moment, from: &VmName, update: &OverlayUpdate) -> ReceivedWork {
        let none = WorkUpdate::default();
        let work = update.work.as_ref().unwrap_or(&none);
        match update.relation {
            LinkRelation::Report => {
                self.reported_since.get_or_insert(now);
                self.totals.remove(from, WorkOrigin::Partial);
                self.totals.apply(now, from, WorkOrigin::Member, work)
            }
            LinkRelation::Partial => {
                self.totals.remove(from, WorkOrigin::Member);
                self.totals.apply(now, from, WorkOrigin::Partial, work)
            }
            LinkRelation::Digest => self.totals.apply_digest(now, from, update.is_warm, work),
            // The member now reports to another aggregator, which counts its work.
            LinkRelation::Standby => {
                self.totals.remove(from, WorkOrigin::Member);
                self.totals.remove(from, WorkOrigin::Partial);
                ReceivedWork::default()
            }
            LinkRelation::Seek
            | LinkRelation::Region
            | LinkRelation::StandbyDigest
            | LinkRelation::Referral => ReceivedWork::default(),
        }
    }

    /// Relation of the response to a message; none if the message has no response.
    pub fn answer(&self, from: &VmName, relation: LinkRelation) -> Option<LinkRelation> {
        match relation {
            LinkRelation::Report => Some(LinkRelation::Digest),
            LinkRelation::Standby => Some(LinkRelation::StandbyDigest),
            LinkRelation::Seek => Some(LinkRelation::Referral),
            // The sender acts as an aggregator only because it knows too few VMs.
            LinkRelation::Partial if !self.plan.near_aggregators.contains(from) => {
                Some(LinkRelation::StandbyDigest)
            }
            LinkRelation::Partial
            | LinkRelation::Region
            | LinkRelation::Digest
            | LinkRelation::StandbyDigest
            | LinkRelation::Referral => None,
        }
    }

    /// Records that another VM closed a link on which it last sent `relation`. The updates
    /// that it sent in that relation no longer count.
    pub fn end_link(&mut self, now: Moment, from: &VmName, relation: LinkRelation) {
        if let Some(scope) = relation.scope() {
            self.roster.drop_update(now, from, scope);
        }
        match relation {
            LinkRelation::Report => self.totals.remove(from, WorkOrigin::Member),
            LinkRelation::Partial => self.totals.remove(from, WorkOrigin::Partial),
            _ => {}
        }
    }

    /// Expires state that has become too old.
    pub fn tick(&mut self, now: Moment) {
        self.totals.expire(now);
        let since = self.aggregates_since;
        if since.is_some_and(|since| now - since >= WARMUP_TIME) {
            self.totals.exclude_digests();
        }
        if self.totals.members().next().is_none() {
            self.reported_since = None;
        }
        self.roster.tick(now);
    }

    fn is_warm(&self, now: Moment) -> bool {
        self.reported_since
            .is_some_and(|since| now - since >= WARMUP_TIME)
    }
}

/// The sum of work that messages of a relation carry, if any.
fn work_view(relation: LinkRelation, peer: Option<&VmName>) -> Option<WorkView<'_>> {
    match relation {
        LinkRelation::Report => Some(WorkView::Own),
        LinkRelation::Partial => Some(WorkView::Partial),
        LinkRelation::Digest => peer.map(WorkView::AllBut),
        LinkRelation::Standby
        | LinkRelation::Seek
        | LinkRelation::Region
        | LinkRelation::StandbyDigest
        | LinkRelation::Referral => None,
    }
}
