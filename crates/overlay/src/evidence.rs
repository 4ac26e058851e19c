//! Evidence by which a VM treats another one as alive.
//!
//! Forwarding second-hand liveness without a limit would keep a dead VM alive. Evidence
//! is therefore ordered by its distance from the observer, and an update of each scope
//! lists only VMs with closer evidence: an own update lists the VMs that the sender
//! receives from, a regional one those that the aggregators of the region receive from,
//! and a fleet update both. Fleet evidence is forwarded only to VMs that know no others.

/// Best evidence that a VM is alive, ordered from the weakest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// No recent update lists the VM.
    #[default]
    None,
    /// Listed by an aggregator that this VM reports to or has queried.
    Fleet,
    /// Listed by an aggregator of another region as a VM of that region.
    Region,
    /// An aggregator of this region receives messages from the VM.
    Neighbour,
    /// This VM receives messages from it directly.
    Direct,
}

/// Set of VMs that a roster update lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// VMs of the sender's region from which it receives messages directly.
    Own,
    /// VMs of the sender's region from which its aggregators receive messages.
    Region,
    /// Every VM for which the sender has direct, neighbour or regional evidence.
    Fleet,
    /// Aggregators for which the sender has any evidence, for a VM that knows no others.
    Hint,
}

impl UpdateScope {
    /// Every scope, in the order of the numbers in messages.
    pub const ALL: [Self; 4] = [Self::Own, Self::Region, Self::Fleet, Self::Hint];

    /// Number of the scope in messages.
    ///
    /// ```
    /// use onyxfall_overlay::UpdateScope;
    /// for scope in UpdateScope::ALL {
    ///     assert_eq!(UpdateScope::from_number(scope.number()), Some(scope));
    /// }
    /// ```
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Scope for a number in a message; none for numbers of later versions.
    pub fn from_number(number: u32) -> Option<Self> {
        let index = usize::try_from(number).ok()?;
        Self::ALL.get(index).copied()
    }

    /// Minimum evidence for a VM to be listed in this scope.
    pub const fn least_evidence(self) -> Evidence {
        match self {
            Self::Own => Evidence::Direct,
            Self::Region => Evidence::Neighbour,
            Self::Fleet => Evidence::Region,
            Self::Hint => Evidence::Fleet,
        }
    }

    /// Whether the scope lists only VMs of the sender's region.
    pub const fn is_regional(self) -> bool {
        matches!(self, Self::Own | Self::Region)
    }

    /// Evidence that a listing in this scope gives for a VM of the receiver's own region
    /// (`is_near`) or of another one.
    pub const fn evidence(self, is_near: bool) -> Evidence {
        match (self, is_near) {
            (Self::Own, true) => Evidence::Neighbour,
            (Self::Own | Self::Region, _) => Evidence::Region,
            (Self::Fleet | Self::Hint, _) => Evidence::Fleet,
        }
    }
}
