//! Logs as JSON lines on standard error. No request body and no secret is logged.

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;
use serde_json::json;

/// Starts logging for the process; a second call changes nothing.
///
/// ```
/// onyxfall_logging::start_logging("example", log::LevelFilter::Warn);
/// log::warn!("a line of JSON on standard error");
/// ```
pub fn start_logging(program: &'static str, level: LevelFilter) {
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let since = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let line = json!({
                "time_ms": u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
                "level": record.level().as_str().to_ascii_lowercase(),
                "program": program,
                "target": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr());
    if dispatch.apply().is_err() {
        log::debug!("logging was started before");
    }
}
