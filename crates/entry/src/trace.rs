//! Tracing: one span for each hop of a request, reported as a JSON log line.

use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};
use fastrace::prelude::{SpanId, TraceId};
use serde_json::{Map, Value, json};

struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in &spans {
            log::info!(target: "trace", "{}", span_json(span));
        }
    }
}

fn span_json(span: &SpanRecord) -> Value {
    let properties: Map<String, Value> = span
        .properties
        .iter()
        .map(|(k, v)| (k.to_string(), json!(v)))
        .collect();
    json!({
        "trace": span.trace_id.to_string(),
        "span": span.span_id.to_string(),
        "parent": span.parent_id.to_string(),
        "name": span.name,
        "begin_us": span.begin_time_unix_ns / 1000,
        "duration_us": span.duration_ns / 1000,
        "properties": properties,
    })
}

/// Starts reporting spans for the process.
pub fn start_tracing() {
    fastrace::set_reporter(LogReporter, Config::default());
}

/// Span context of a `traceparent` header, or a new one.
pub(crate) fn context_of(traceparent: Option<&str>) -> SpanContext {
    traceparent
        .and_then(SpanContext::decode_w3c_traceparent)
        .unwrap_or_else(|| SpanContext::new(TraceId::random(), SpanId::default()))
}

/// The `traceparent` header for the next hop.
pub(crate) fn header_of(span: &fastrace::Span) -> String {
    SpanContext::from_span(span)
        .map(|context| context.encode_w3c_traceparent())
        .unwrap_or_default()
}
