//! One VM's end of the overlay: what it tells on each link, and what it takes.

use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_policy::Moment;
use onyxfall_types::VmName;

use crate::evidence::UpdateScope;
use crate::plan::{LinkPlan, LinkRelation};
use crate::record::{RecordVersion, VmRecord};
use crate::roster::{Roster, RosterTiming};
use crate::totals::{ReceivedWork, WorkCursor, WorkOrigin, WorkTotals, WorkUpdate, WorkView};
use crate::word::{RosterCursor, RosterUpdate};

/// Time in which a new aggregator's sums may lack members: three reports of each.
const WARM_AFTER: Duration = Duration::from_millis(300);
/// Time between two choices of silent VMs to look for.
const SEARCH_TURN: Duration = Duration::from_millis(700);

/// One message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OverlayUpdate {
    /// What the sender is to the receiver.
    pub relation: LinkRelation,
    /// What the sender says of itself, if that is news on the link.
    pub record: Option<VmRecord>,
    /// Which VMs live, if that is news on the link.
    pub word: Option<RosterUpdate>,
    /// Work at servers, if this relation tells it.
    pub work: Option<WorkUpdate>,
    /// Whether the sums are those of all members; false for a while where the sender
    /// has just become an aggregator.
    pub is_warm: bool,
}

/// What was told in one direction of one link.
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
    /// The plan, and the roster's changes and the turn that it was worked out from.
    plan: LinkPlan,
    planned: Option<(u64, usize)>,
    /// When the first report came to this VM since it has had none.
    reported_since: Option<Moment>,
    /// Since when this VM takes itself for an aggregator.
    aggregates_since: Option<Moment>,
}

impl OverlayNode {
    /// A VM that knows nobody but addresses to begin with.
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

    /// The VMs that are known.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The VMs that are known, to change what this one says of itself.
    pub fn roster_mut(&mut self) -> &mut Roster {
        &mut self.roster
    }

    /// Work at servers.
    pub fn totals(&self) -> &WorkTotals {
        &self.totals
    }

    /// Work at servers, to set this VM's own.
    pub fn totals_mut(&mut self) -> &mut WorkTotals {
        &mut self.totals
    }

    /// Sets the addresses to begin with.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
        self.planned = None;
    }

    /// The links that this VM is to keep.
    pub fn plan(&mut self, now: Moment) -> &LinkPlan {
        let turns = u128::from(now.as_micros()) / SEARCH_TURN.as_micros();
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

    /// What to tell now on a link to `peer`, which need not be known where it is not
    /// answered.
    pub fn tell(
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
        let is_told = link.record == Some(own.version);
        link.record = Some(own.version);
        let record = (!is_told).then(|| own.clone());
        OverlayUpdate {
            relation,
            record,
            word: self.word(relation, link),
            work: work_view(relation, peer).map(|view| self.totals.tell(view, &mut link.work)),
            is_warm: self.is_warm(now),
        }
    }

    /// Whether there is work to tell in a relation that was not told on a link.
    pub fn has_changes(&self, relation: LinkRelation, link: &LinkState) -> bool {
        match relation {
            LinkRelation::Report => self.totals.has_own_news(link.work),
            LinkRelation::Digest => self.totals.has_changes(link.work),
            _ => true,
        }
    }

    fn word(&self, relation: LinkRelation, link: &mut LinkState) -> Option<RosterUpdate> {
        match relation.scope()? {
            UpdateScope::Hint => self.roster.tell_aggregators(&mut link.word),
            scope => self.roster.tell(scope, &mut link.word),
        }
    }

    /// Takes a message.
    pub fn take(&mut self, now: Moment, from: &VmName, update: &OverlayUpdate) -> ReceivedWork {
        match &update.record {
            Some(record) if record.name == *from => self.roster.hear(now, record),
            _ => self.roster.hear_again(now, from),
        }
        let is_known = match (&update.word, update.relation.scope()) {
            (Some(word), _) => self.roster.take_word(now, from, word),
            (None, Some(scope)) => self.roster.hear_word_again(now, from, scope),
            (None, None) => true,
        };
        let mut taken = self.take_work(now, from, update);
        taken.is_cut |= !is_known;
        taken
    }

    fn take_work(&mut self, now: Moment, from: &VmName, update: &OverlayUpdate) -> ReceivedWork {
        let none = WorkUpdate::default();
        let work = update.work.as_ref().unwrap_or(&none);
        match update.relation {
            LinkRelation::Report => {
                self.reported_since.get_or_insert(now);
                self.totals.remove(from, WorkOrigin::Partial);
                self.totals.take(now, from, WorkOrigin::Member, work)
            }
            LinkRelation::Partial => {
                self.totals.remove(from, WorkOrigin::Member);
                self.totals.take(now, from, WorkOrigin::Partial, work)
            }
            LinkRelation::Digest => self.totals.take_digest(now, from, update.is_warm, work),
            // A member that reports to another aggregator now is counted there.
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

    /// What this VM answers with to a message; none if it was only told.
    pub fn answer(&self, from: &VmName, relation: LinkRelation) -> Option<LinkRelation> {
        match relation {
            LinkRelation::Report => Some(LinkRelation::Digest),
            LinkRelation::Standby => Some(LinkRelation::StandbyDigest),
            LinkRelation::Seek => Some(LinkRelation::Referral),
            // The sender takes itself for an aggregator since it knows too few VMs.
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

    /// Notes that another VM has closed a link on which it last told `relation`: its
    /// words there no longer stand.
    pub fn end_link(&mut self, now: Moment, from: &VmName, relation: LinkRelation) {
        if let Some(scope) = relation.scope() {
            self.roster.drop_word(now, from, scope);
        }
        match relation {
            LinkRelation::Report => self.totals.remove(from, WorkOrigin::Member),
            LinkRelation::Partial => self.totals.remove(from, WorkOrigin::Partial),
            _ => {}
        }
    }

    /// Lets time count.
    pub fn tick(&mut self, now: Moment) {
        self.totals.expire(now);
        let since = self.aggregates_since;
        if since.is_some_and(|since| now - since >= WARM_AFTER) {
            self.totals.drop_digests();
        }
        if self.totals.members().next().is_none() {
            self.reported_since = None;
        }
        self.roster.tick(now);
    }

    fn is_warm(&self, now: Moment) -> bool {
        self.reported_since
            .is_some_and(|since| now - since >= WARM_AFTER)
    }
}

/// The sum that a relation tells, if any.
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
