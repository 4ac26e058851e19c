//! Logging as JSON lines. Request bodies and secrets are never logged.
//!
//! Lines go through a bounded channel to a writer thread, so that a program never waits for
//! the reader of its log. Lines beyond the capacity of the channel or the rate limit are
//! dropped and counted, and the count is logged as soon as lines are accepted again.

mod rate_limit;
mod writer;

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value as Json, json};

pub use rate_limit::LineRateLimit;
pub use writer::{LineQueue, LogSink};

/// Starts logging for the process; later calls have no effect.
///
/// ```
/// use onyxfall_logging::{LogSink, start_logging};
/// start_logging("example", log::LevelFilter::Warn, LogSink::Stderr);
/// log::warn!(id = 7; "a line of JSON on standard error");
/// log::logger().flush();
/// ```
pub fn start_logging(program: &'static str, level: LevelFilter, sink: LogSink) {
    let queue = LineQueue::start(sink);
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = json_line(program, &message.to_string(), record);
            out.finish(format_args!("{line}"));
        })
        .chain(Box::new(queue) as Box<dyn log::Log>);
    if dispatch.apply().is_err() {
        log::debug!("logging is already started");
    }
}

fn json_line(program: &str, message: &str, record: &Record<'_>) -> Json {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut fields = FieldMap(Map::new());
    fields.0.insert(
        "time_ms".to_owned(),
        json!(u64::try_from(since.as_millis()).unwrap_or(u64::MAX)),
    );
    let level = record.level().as_str().to_ascii_lowercase();
    fields.0.insert("level".to_owned(), json!(level));
    fields.0.insert("program".to_owned(), json!(program));
    fields.0.insert("module".to_owned(), json!(record.target()));
    fields.0.insert("message".to_owned(), json!(message));
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".to_owned(), json!("incomplete"));
    }
    Json::Object(fields.0)
}

/// Collects the key-value pairs of a record as JSON.
struct FieldMap(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => json!(number),
            (_, Some(number), _) => json!(number),
            (_, _, Some(flag)) => json!(flag),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
