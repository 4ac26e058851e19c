//! Final log line and metrics of a request.

use std::time::Duration;

use onyxfall_events::StreamEnd;
use onyxfall_fleet::{BudgetUsage, RetryPurpose};
use onyxfall_types::RequestError;

use crate::call::CallContext;
use crate::gateway::Gateway;
use crate::serve::CallProgress;

impl Gateway {
    /// Logs a claim on the retry budget, with its usage before and the VMs that share it.
    pub(crate) fn log_retry(
        &self,
        call: &CallContext,
        purpose: RetryPurpose,
        usage: BudgetUsage,
        vms: Option<usize>,
        is_claimed: bool,
    ) {
        if !is_claimed {
            self.metrics.count("onyxfall_retries_denied_total");
        }
        log::info!(
            request = call.request_id.as_str(),
            service = call.needs.service.as_str(),
            purpose = purpose.as_str(),
            usage:% = usage,
            vms = vms.unwrap_or(0),
            is_claimed;
            "retry asked of the budget"
        );
    }

    /// Logs and counts the end of a request that a server responded to.
    pub(crate) fn log_request_end(
        &self,
        call: &CallContext,
        progress: &CallProgress,
        outcome: &str,
    ) {
        let age = call.age();
        self.record_own_change();
        self.metrics.record_end(&call.route, outcome, age);
        self.count_stream_end(progress.stream_end);
        log::info!(
            request = call.request_id.as_str(),
            route = call.route.as_str(),
            team = call.team_name(),
            region = self.settings().place.region.as_str(),
            version:% = call.version,
            target = progress.last_target.as_str(),
            reason = progress.reason,
            arrivals = progress.log.arrivals(),
            resumes = progress.resumes,
            events = progress.events,
            stream_end = progress.stream_end.map_or("none", StreamEnd::as_str),
            expected_events = call.needs.events.unwrap_or(0.0).round(),
            sent_ms = millis(progress.sent),
            predicted_ms = millis(progress.predicted.first),
            predicted_end_ms = millis(progress.predicted.whole),
            first_ms = millis(progress.first_byte),
            age_ms = millis(age),
            outcome;
            "request ended"
        );
    }

    /// Counts the streams whose body did not state its end.
    fn count_stream_end(&self, end: Option<StreamEnd>) {
        match end {
            Some(StreamEnd::Closed) => self.metrics.count("onyxfall_streams_closed_total"),
            Some(StreamEnd::InsideEvent | StreamEnd::WithoutEvents) => {
                self.metrics.count("onyxfall_streams_truncated_total");
            }
            Some(StreamEnd::Delimited | StreamEnd::ConnectionLost) | None => {}
        }
    }

    /// Logs and counts a request that is rejected without a server's response.
    pub(crate) fn log_refusal(
        &self,
        call: &CallContext,
        progress: &CallProgress,
        error: &RequestError,
    ) {
        let age = call.age();
        self.metrics
            .record_end(&call.route, error.reason.as_str(), age);
        self.count_class_refusal(call, error.reason);
        log::warn!(
            request = call.request_id.as_str(),
            route = call.route.as_str(),
            team = call.team_name(),
            version:% = call.version,
            target = progress.last_target.as_str(),
            arrivals = progress.log.arrivals(),
            cause = progress.last_cause,
            age_ms = millis(age),
            verdict = error.verdict.as_str(),
            reason = error.reason.as_str(),
            detail = error.detail.as_str();
            "request refused"
        );
    }
}

/// A duration in milliseconds, for log fields.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
