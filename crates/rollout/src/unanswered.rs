//! Requests whose callers' time was over while all servers of the service were silent.
//!
//! All servers fall silent together for a reason that they share, and may go on at any moment:
//! such a request says nothing of the version that it was sent to. Without servers of the old
//! version that respond, a version that has stopped responding looks the same until the silence
//! has lasted longer than one that ends by itself.

use std::time::Duration;

use onyxfall_policy::Moment;

use crate::evidence::VersionSide;

/// Time after which a request that no server has followed with a response counts as a failure.
/// Silences that end by themselves last up to 1.5 s, and are observed after 0.4 s; a longer time
/// would bring the verdict after the old servers stop.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);
/// Time in which all VMs count the failures of a silence that has lasted, and judge them.
const JUDGEMENT_TIME: Duration = Duration::from_secs(1);

/// A request without a response.
#[derive(Clone, Debug)]
pub(crate) struct UnansweredRequest {
    /// When its caller's time was over.
    pub(crate) at: Moment,
    pub(crate) route: String,
    pub(crate) side: VersionSide,
    /// Hash of the server instance.
    pub(crate) instance: u64,
}

/// Requests that were not answered during a silence that may go on.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnansweredRequests {
    waiting: Vec<UnansweredRequest>,
    /// Since when the silence has lasted too long to end by itself.
    lasting_since: Option<Moment>,
}

impl UnansweredRequests {
    pub(crate) fn add(&mut self, request: UnansweredRequest) {
        self.waiting.push(request);
    }

    /// Whether there is nothing to settle.
    pub(crate) fn is_settled(&self) -> bool {
        self.waiting.is_empty() && self.lasting_since.is_none()
    }

    /// Whether the version may still be found bad for a silence that goes on.
    pub(crate) fn may_count(&self, now: Moment) -> bool {
        let is_judged = |since: Moment| now - since >= JUDGEMENT_TIME;
        match self.lasting_since {
            Some(since) => !is_judged(since),
            None => !self.waiting.is_empty(),
        }
    }

    /// Drops the requests of silences that had ended by `silence_end`. Returns the others once
    /// the silence has lasted, as failures.
    pub(crate) fn settle(
        &mut self,
        now: Moment,
        silence_end: Option<Moment>,
    ) -> Vec<UnansweredRequest> {
        let goes_on = |since: Moment| silence_end.is_none_or(|end| end < since);
        self.waiting.retain(|request| goes_on(request.at));
        self.lasting_since = self.lasting_since.filter(|since| goes_on(*since));
        let first = self.waiting.first();
        if first.is_some_and(|request| now - request.at >= SILENCE_LIMIT) {
            self.lasting_since.get_or_insert(now);
        }
        if self.lasting_since.is_some() {
            std::mem::take(&mut self.waiting)
        } else {
            Vec::new()
        }
    }
}
