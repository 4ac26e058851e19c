//! How a VM knows that another one lives.
//!
//! Hearsay that is passed on without end would keep a dead VM alive. So evidence is
//! ordered by how far it has come, and each scope of telling takes only what is
//! nearer than itself: a VM's own word names whom it hears, a region's word names
//! whom its aggregators hear, a fleet's word names both, and is never passed on but to
//! VMs that know nobody.

/// Best evidence that a VM lives, the weakest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// Nobody has named it lately.
    #[default]
    None,
    /// An aggregator names it that this VM reports to, or has asked.
    Fleet,
    /// An aggregator of another region names it as one of its region.
    Region,
    /// An aggregator of this region hears it.
    Neighbour,
    /// This VM hears it itself.
    Direct,
}

/// Whom a word names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateScope {
    /// VMs of its region that the teller hears itself.
    Own,
    /// VMs of its region that its aggregators hear.
    Region,
    /// Every VM of which the teller has evidence of its own or of an aggregator.
    Fleet,
    /// Aggregators of which the teller knows in any way, for a VM that knows nobody.
    Hint,
}

impl UpdateScope {
    /// Every scope, by its number in messages.
    pub const ALL: [Self; 4] = [Self::Own, Self::Region, Self::Fleet, Self::Hint];

    /// Its number in messages.
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

    /// The scope of a number in a message; none if it is of a later version.
    pub fn from_number(number: u32) -> Option<Self> {
        let index = usize::try_from(number).ok()?;
        Self::ALL.get(index).copied()
    }

    /// Least evidence with which a VM is named in this scope.
    pub const fn least_evidence(self) -> Evidence {
        match self {
            Self::Own => Evidence::Direct,
            Self::Region => Evidence::Neighbour,
            Self::Fleet => Evidence::Region,
            Self::Hint => Evidence::Fleet,
        }
    }

    /// Whether only VMs of the teller's region are named.
    pub const fn is_regional(self) -> bool {
        matches!(self, Self::Own | Self::Region)
    }

    /// What a VM of the region (`is_near`) or of another one takes from being named.
    pub const fn evidence(self, is_near: bool) -> Evidence {
        match (self, is_near) {
            (Self::Own, true) => Evidence::Neighbour,
            (Self::Own | Self::Region, _) => Evidence::Region,
            (Self::Fleet | Self::Hint, _) => Evidence::Fleet,
        }
    }
}
