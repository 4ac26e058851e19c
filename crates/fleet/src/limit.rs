//! The rate that a server in need takes from all VMs together.

use onyxfall_types::RequestRate;

/// Whether a server names in an answer how many requests a second it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitWord {
    /// It names none.
    #[default]
    None,
    /// It takes so many, from all VMs together.
    Rate(RequestRate),
    /// It names something that is no rate.
    Malformed,
}

/// What one life of a server has named.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerLimit {
    named: Option<RequestRate>,
}

impl ServerLimit {
    /// Takes the word of an answer; whether there is a limit now and was none, or the other
    /// way round.
    pub(crate) fn take(&mut self, word: LimitWord) -> bool {
        let named = match word {
            LimitWord::None => None,
            LimitWord::Rate(rate) => Some(rate),
            LimitWord::Malformed => return false,
        };
        let before = std::mem::replace(&mut self.named, named);
        before.is_some() != named.is_some()
    }

    /// The rate that was named last, if the last answer named one.
    pub(crate) fn named(&self) -> Option<RequestRate> {
        self.named
    }
}
