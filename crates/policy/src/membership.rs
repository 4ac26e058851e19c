//! Which entry VMs there are, as this VM sees it.
//!
//! Heartbeats are the truth, the platform's list a hint. A member not heard of
//! for a while is suspected, later gone. Incarnations order all news about a
//! VM: older news is ignored, and a VM that hears of a later incarnation of its
//! own name takes one later still, so that no clock is compared.
//!
//! Duties that double work does not harm (observing a server, speaking for the
//! data centre) go by rendezvous hashing over the members seen alive; two VMs
//! that disagree for a moment both do them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use onyxfall_types::{CenterName, Incarnation, RegionName, VmName, stable_hash};

use crate::moment::Moment;

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// Named by the platform's list or the settings, not heard yet.
    Hinted,
    /// Heard of lately.
    Alive,
    /// Not heard of for a while.
    Suspect,
    /// Stopping by plan.
    Leaving,
    /// Not heard of for long.
    Gone,
}

/// What a heartbeat says of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberHeartbeat {
    /// Name of the VM.
    pub name: VmName,
    /// Its data centre.
    pub center: CenterName,
    /// Its region.
    pub region: RegionName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Whether it is stopping by plan.
    pub leaving: bool,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where other entries reach it.
    pub peer_address: SocketAddr,
}

/// A member as seen from here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmMember {
    /// What its last heartbeat said.
    pub beat: MemberHeartbeat,
    /// Its state.
    pub state: MemberState,
    /// When it was last heard of.
    pub heard: Moment,
}

/// When silence counts.
#[derive(Clone, Copy, Debug)]
pub struct MemberTiming {
    /// Silence until suspicion.
    pub suspect_after: Duration,
    /// Silence until it counts as gone.
    pub gone_after: Duration,
    /// Silence until it is forgotten.
    pub forget_after: Duration,
}

impl Default for MemberTiming {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(3),
            gone_after: Duration::from_secs(10),
            forget_after: Duration::from_mins(10),
        }
    }
}

/// The members of the system, this VM included.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberHeartbeat,
    timing: MemberTiming,
    members: BTreeMap<VmName, VmMember>,
}

impl MemberTable {
    /// A table that knows only this VM.
    pub fn new(own: MemberHeartbeat, timing: MemberTiming) -> Self {
        Self {
            own,
            timing,
            members: BTreeMap::new(),
        }
    }

    /// What this VM's own heartbeat says.
    pub fn own(&self) -> &MemberHeartbeat {
        &self.own
    }

    /// Marks this VM as leaving.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Takes a heartbeat; returns whether it changed a state.
    pub fn hear(&mut self, now: Moment, beat: &MemberHeartbeat) -> bool {
        if beat.name == self.own.name {
            return self.hear_own(beat.incarnation);
        }
        let state = if beat.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        let Some(known) = self.members.get_mut(&beat.name) else {
            let member = VmMember {
                beat: beat.clone(),
                state,
                heard: now,
            };
            self.members.insert(beat.name.clone(), member);
            return true;
        };
        if beat.incarnation < known.beat.incarnation {
            return false;
        }
        let same_life = beat.incarnation == known.beat.incarnation;
        if same_life && known.state == MemberState::Leaving {
            known.heard = now;
            return false;
        }
        let changed = known.state != state || !same_life;
        *known = VmMember {
            beat: beat.clone(),
            state,
            heard: now,
        };
        changed
    }

    /// The serving members of a data centre, this VM included, by name.
    pub fn serving_in<'a>(&'a self, center: &'a CenterName) -> Vec<&'a MemberHeartbeat> {
        let own = (self.own.center == *center && !self.own.leaving).then_some(&self.own);
        let mut beats: Vec<&MemberHeartbeat> = self
            .alive_in(center)
            .map(|member| &member.beat)
            .chain(own)
            .collect();
        beats.sort_by(|a, b| a.name.cmp(&b.name));
        beats
    }

    /// Hash of [`Self::serving_in`]; equal views have equal hashes.
    pub fn serving_hash(&self, center: &CenterName) -> u64 {
        let texts: Vec<String> = self
            .serving_in(center)
            .iter()
            .map(|b| {
                format!(
                    "{} {} {} {}",
                    b.name, b.incarnation, b.address, b.peer_address
                )
            })
            .collect();
        let parts: Vec<&str> = texts.iter().map(String::as_str).collect();
        stable_hash(&parts)
    }

    /// Takes word from another data centre that its members are as last told.
    pub fn receive_center(&mut self, now: Moment, center: &CenterName) {
        let members = self
            .members
            .values_mut()
            .filter(|m| m.beat.center == *center);
        for member in members.filter(|m| m.state == MemberState::Alive) {
            member.heard = now;
        }
    }

    /// Takes the whole list of another data centre's serving members; whoever
    /// is not in it has left or died, unless a later list names it again.
    pub fn receive_members(&mut self, now: Moment, center: &CenterName, beats: &[MemberHeartbeat]) {
        let listed = |name: &VmName| beats.iter().any(|beat| beat.name == *name);
        let members = self
            .members
            .values_mut()
            .filter(|m| m.beat.center == *center);
        for member in members.filter(|m| !listed(&m.beat.name)) {
            member.state = member.state.max(MemberState::Suspect);
        }
        for beat in beats.iter().filter(|beat| beat.center == *center) {
            self.hear(now, beat);
        }
    }

    /// Takes a VM that the platform's list, the settings or another VM names, if
    /// it is unknown, or was not heard of for long and is of another region: VMs
    /// of other regions need not be heard directly, so that the word of others is
    /// all that is known of them.
    pub fn hint(&mut self, now: Moment, beat: &MemberHeartbeat) {
        if beat.name == self.own.name {
            return;
        }
        let hinted = VmMember {
            beat: beat.clone(),
            state: MemberState::Hinted,
            heard: now,
        };
        let Some(known) = self.members.get_mut(&beat.name) else {
            self.members.insert(beat.name.clone(), hinted);
            return;
        };
        let is_unheard = matches!(known.state, MemberState::Hinted | MemberState::Gone);
        let is_far = beat.region != self.own.region;
        if is_unheard && is_far && beat.incarnation >= known.beat.incarnation {
            *known = hinted;
        }
    }

    /// Takes "leaving" from the platform's list.
    pub fn hint_leaving(&mut self, name: &VmName) {
        if let Some(member) = self.members.get_mut(name) {
            member.state = member.state.max(MemberState::Leaving);
        }
    }

    /// Lets silence count; returns the names whose state changed.
    pub fn tick(&mut self, now: Moment) -> Vec<VmName> {
        let timing = self.timing;
        let mut changed = Vec::new();
        for (name, member) in &mut self.members {
            let next = silent_state(member.state, now - member.heard, timing);
            if next != member.state {
                member.state = next;
                changed.push(name.clone());
            }
        }
        self.members.retain(|_, member| {
            member.state != MemberState::Gone || now - member.heard < timing.forget_after
        });
        changed
    }

    /// Every member but this VM.
    pub fn others(&self) -> impl Iterator<Item = &VmMember> {
        self.members.values()
    }

    /// A member by name.
    pub fn get(&self, name: &VmName) -> Option<&VmMember> {
        self.members.get(name)
    }

    /// Members alive in a data centre, this VM excluded, by name.
    pub fn alive_in<'a>(&'a self, center: &'a CenterName) -> impl Iterator<Item = &'a VmMember> {
        self.members
            .values()
            .filter(move |m| m.state == MemberState::Alive && m.beat.center == *center)
    }

    /// This VM's rank among the serving members of its data centre, and their number.
    ///
    /// ```
    /// use onyxfall_policy::{MemberHeartbeat, MemberTable, MemberTiming};
    /// use onyxfall_types::Incarnation;
    /// let own = MemberHeartbeat {
    ///     name: "vm-1".parse().unwrap(),
    ///     center: "c".parse().unwrap(),
    ///     region: "r".parse().unwrap(),
    ///     incarnation: Incarnation::new(1),
    ///     leaving: false,
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     peer_address: "127.0.0.1:2".parse().unwrap(),
    /// };
    /// assert_eq!(MemberTable::new(own, MemberTiming::default()).own_rank(), (0, 1));
    /// ```
    pub fn own_rank(&self) -> (usize, usize) {
        let names: Vec<&VmName> = self
            .alive_in(&self.own.center)
            .map(|member| &member.beat.name)
            .collect();
        let rank = names.iter().filter(|name| ***name < self.own.name).count();
        (rank, names.len() + 1)
    }

    /// The member that has a duty in this data centre.
    pub fn duty_owner(&self, duty: &str) -> &VmName {
        let own = (!self.own.leaving).then_some(&self.own.name);
        let others = self
            .alive_in(&self.own.center)
            .map(|member| &member.beat.name);
        others
            .chain(own)
            .max_by_key(|name| stable_hash(&[duty, name.as_str()]))
            .unwrap_or(&self.own.name)
    }

    /// Whether this VM has a duty.
    pub fn has_duty(&self, duty: &str) -> bool {
        *self.duty_owner(duty) == self.own.name
    }

    fn hear_own(&mut self, heard: Incarnation) -> bool {
        if heard <= self.own.incarnation {
            return false;
        }
        self.own.incarnation = heard.next();
        true
    }
}

fn silent_state(state: MemberState, silence: Duration, timing: MemberTiming) -> MemberState {
    match state {
        _ if silence >= timing.gone_after => MemberState::Gone,
        MemberState::Alive if silence >= timing.suspect_after => MemberState::Suspect,
        _ => state,
    }
}
