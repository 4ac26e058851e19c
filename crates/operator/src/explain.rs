//! The story of one request, told from the logs of every process.
//!
//! A log line is a JSON object, perhaps with a prefix that a collector put
//! before it. Lines of different processes are ordered by their time; clocks of
//! VMs may differ by a little, so the relayed part of a request can seem to
//! begin early.

use std::io::{self, BufRead};

use serde_json::{Map, Value};

/// Fields that are told first or not at all.
const KNOWN_FIELDS: [&str; 6] = [
    "time_ms", "level", "program", "module", "message", "request",
];

/// A line that speaks of the request.
#[derive(Clone, Debug, PartialEq)]
struct StoryLine {
    time_ms: u64,
    source: String,
    fields: Map<String, Value>,
}

/// The lines of one request, and how many lines the logs left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestStory {
    lines: Vec<StoryLine>,
    left_out: u64,
}

impl RequestStory {
    /// Takes the lines of a log that speak of `request`; `source` names the log.
    ///
    /// # Errors
    ///
    /// The log cannot be read.
    ///
    /// ```
    /// use onyxfall_operator::RequestStory;
    /// let log = br#"vm1 {"time_ms":5,"message":"request ended","request":"a","age_ms":7}"#;
    /// let mut story = RequestStory::default();
    /// story.read("vm1.log", "a", &log[..]).unwrap();
    /// assert_eq!(story.to_string(), "+0 ms vm1.log: request ended age_ms=7\n");
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
            // A collector's prefix names the process better than the file does.
            let process = prefix.split_whitespace().last();
            let is_named = source == "-" && process.is_some();
            self.lines.push(StoryLine {
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

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Lines that the logs say they left out.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

impl std::fmt::Display for RequestStory {
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
                if !KNOWN_FIELDS.contains(&name.as_str()) {
                    write!(f, " {name}={}", plain(value))?;
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

/// The prefix of a log's line and the fields of its object; none if it has no object.
pub(crate) fn parse_line(line: &str) -> Option<(&str, Map<String, Value>)> {
    let start = line.find('{')?;
    let fields = serde_json::from_str(&line[start..]).ok()?;
    Some((line[..start].trim(), fields))
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("\"{text}\""),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
