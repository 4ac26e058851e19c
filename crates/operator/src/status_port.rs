//! Requests to the status port of a gateway.

use std::time::Duration;

/// HTTP client for status ports: the caller reads the status of each response.
pub(crate) fn status_agent(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        // A redirect leads to another program than the one queried.
        .max_redirects(0)
        .max_redirects_will_error(false);
    config.build().into()
}
