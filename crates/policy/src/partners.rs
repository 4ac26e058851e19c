//! Which VMs tell which across regions, and which of a region hold a duty.
//!
//! Within a region every VM tells every other. Across regions that would grow
//! with the fleet, so each VM hears of another region from [`FAR_PARTNERS`] of
//! its VMs only. The VMs of the telling region decide this by rendezvous hashing
//! over the members that they hear directly, so that a dead partner is replaced
//! as soon as its neighbours notice; the hearing side decides nothing.
//!
//! Invariant: VMs with the same view of their region agree on who tells whom.
//! Two that differ for a moment both tell, which costs bytes only.

use onyxfall_types::{VmName, stable_hash};

use crate::membership::{MemberBeat, MemberState, MemberTable};

/// VMs of each other region that a VM hears from: enough that half of them may
/// be lost at once and two are left to send requests to.
pub const FAR_PARTNERS: usize = 4;

impl MemberTable {
    /// The VMs of this region, this one included, that hold a duty: at most
    /// `holders`, the first by rendezvous hashing. A VM that leaves holds none.
    ///
    /// ```
    /// use onyxfall_policy::{MemberBeat, MemberTable, MemberTiming};
    /// use onyxfall_types::Incarnation;
    /// let own = MemberBeat {
    ///     name: "vm-1".parse().unwrap(),
    ///     center: "c".parse().unwrap(),
    ///     region: "r".parse().unwrap(),
    ///     incarnation: Incarnation::new(1),
    ///     leaving: false,
    ///     address: "127.0.0.1:1".parse().unwrap(),
    ///     peer_address: "127.0.0.1:2".parse().unwrap(),
    /// };
    /// let table = MemberTable::new(own.clone(), MemberTiming::default());
    /// assert_eq!(table.duty_holders("watch", 2), [&own.name]);
    /// ```
    pub fn duty_holders(&self, duty: &str, holders: usize) -> Vec<&VmName> {
        let own = (!self.own().leaving).then_some(&self.own().name);
        let mut ranked: Vec<(u64, &VmName)> = self
            .alive_near()
            .chain(own)
            .map(|name| (stable_hash(&[duty, name.as_str()]), name))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(holders);
        ranked.into_iter().map(|(_, name)| name).collect()
    }

    /// Whether this VM sends heartbeats to `peer`. A VM that leaves goes on, so
    /// that those it told learn of it.
    pub fn tells(&self, peer: &MemberBeat) -> bool {
        if peer.region == self.own().region {
            return true;
        }
        let rank = |name: &VmName| stable_hash(&["tell", peer.name.as_str(), name.as_str()]);
        let own = (rank(&self.own().name), &self.own().name);
        let before = self
            .alive_near()
            .filter(|name| (rank(name), *name) > own)
            .count();
        before < FAR_PARTNERS
    }

    fn alive_near(&self) -> impl Iterator<Item = &VmName> {
        self.others()
            .filter(|m| m.state == MemberState::Alive && m.beat.region == self.own().region)
            .map(|member| &member.beat.name)
    }
}
