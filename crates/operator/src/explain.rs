//! Timeline of one request, assembled from the logs of all processes.
//!
//! A log line is a JSON object, optionally preceded by a prefix that a log
//! collector added. Lines of different processes are ordered by their
//! timestamps. The clocks of VMs can differ slightly, so the forwarded part of a
//! request can appear to start too early.

use std::io::{self, BufRead};

use serde_json::{Map, Value};

/// Fields that are shown at the start of a line or omitted.
const OMITTED_FIELDS: [&str; 6] = [
    "time_ms", "level", "program", "module", "message", "request",
];

/// A log line of the request.
#[derive(Clone, Debug, PartialEq)]
struct RequestLine {
    time_ms: u64,
    source: String,
    fields: Map<String, Value>,
}

/// Log lines of one request, and the number of lines dropped from the logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestTimeline {
    lines: Vec<RequestLine>,
    left_out: u64,
}

impl RequestTimeline {
    /// Adds the lines of a log that belong to `request`; `source` names the log.
    ///
    /// # Errors
    ///
    /// The log cannot be read.
    ///
    /// ```
    /// use onyxfall_operator::RequestTimeline;
    /// let log = br#"vm1 {"time_ms":5,"message":"request ended","request":"a","age_ms":7}"#;
    /// let mut timeline = RequestTimeline::default();
    /// timeline.read("vm1.log", "a", &log[..]).unwrap();
    /// assert_eq!(timeline.to_string(), "+0 ms vm1.log: request ended age_ms=7\n");
    /// ```
    pub fn read(&mut self, source: &str, request: &str, log: impl BufRead) -> io::Result<()> {
        for line in log.lines() {
            let line = line?;
            let Some((prefix, fields)) = parse_line(&line) else {
                continue;
            };
            if let Some(left_out) = fields.get("left_out").and_then(Value::as_u64) {
                self.left_out += left_out;
            }
            if fields.get("request").and_then(Value::as_str) != Some(request) {
                continue;
            }
            // Standard input has no file name, so the collector's prefix, if any,
            // identifies the process.
            let process = prefix.split_whitespace().last();
            let is_named = source == "-" && process.is_some();
            self.lines.push(RequestLine {
                time_ms: fields.get("time_ms").and_then(Value::as_u64).unwrap_or(0),
                source: if is_named {
                    process.unwrap_or(source).to_owned()
                } else {
                    source.to_owned()
                },
                fields,
            });
        }
        self.lines.sort_by_key(|line| line.time_ms);
        Ok(())
    }

    /// Whether no line of the request was found.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Number of lines that the logs report as dropped.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

impl std::fmt::Display for RequestTimeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let first = self.lines.first().map_or(0, |line| line.time_ms);
        for line in &self.lines {
            let message = line.fields.get("message").and_then(Value::as_str);
            write!(
                f,
                "+{} ms {}: {}",
                line.time_ms - first,
                line.source,
                message.unwrap_or("")
            )?;
            for (name, value) in &line.fields {
                if !OMITTED_FIELDS.contains(&name.as_str()) {
                    write!(f, " {name}={}", format_value(value))?;
                }
            }
            writeln!(f)?;
        }
        if self.left_out > 0 {
            writeln!(f, "the logs left out {} lines for volume", self.left_out)?;
        }
        Ok(())
    }
}

/// Splits a log line into its prefix and the fields of its JSON object; `None`
/// if it has no valid object.
pub(crate) fn parse_line(line: &str) -> Option<(&str, Map<String, Value>)> {
    let start = line.find('{')?;
    let fields = serde_json::from_str(&line[start..]).ok()?;
    Some((line[..start].trim(), fields))
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("\"{text}\""),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
