//! Typed access to one section.
//!
//! A reader records the keys that are requested from it; [`SectionReader::finish`] reports
//! every other key as a fault. After recording a fault, methods return `None` or a default,
//! so that a loader continues and finds the next fault.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use crate::document::{IniDocument, IniSection};
use crate::fault::FaultList;

/// Reads the keys of one section.
pub struct SectionReader<'a> {
    document: &'a IniDocument,
    section: &'a IniSection,
    requested: RefCell<BTreeSet<&'a str>>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(document: &'a IniDocument, section: &'a IniSection) -> Self {
        Self {
            document,
            section,
            requested: RefCell::default(),
        }
    }

    /// The section's header.
    pub fn header(&self) -> &'a str {
        self.section.header()
    }

    /// The name in the header, parsed.
    pub fn name<T>(&self, faults: &mut FaultList) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        match self.section.name().parse() {
            Ok(name) => Some(name),
            Err(e) => {
                let message = format!("[{}]: {e}", self.header());
                faults.push(self.document.header_fault(self.header(), message));
                None
            }
        }
    }

    /// The raw value of `key`.
    pub fn text(&self, key: &'a str) -> Option<&'a str> {
        self.requested.borrow_mut().insert(key);
        self.section
            .pairs()
            .iter()
            .find(|(k, _)| k == key)
            .map(|(_, v)| v.as_str())
    }

    /// The value of a required key.
    pub fn required<T>(&self, key: &'a str, faults: &mut FaultList) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        if self.text(key).is_none() {
            self.fault(key, format!("missing key `{key}`"), faults);
            return None;
        }
        self.optional(key, faults)
    }

    /// The value of an optional key.
    pub fn optional<T>(&self, key: &'a str, faults: &mut FaultList) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                self.fault(key, format!("key `{key}`, value `{text}`: {e}"), faults);
                None
            }
        }
    }

    /// The value of `key`, or a default if the key is absent or invalid.
    pub fn or_default<T>(&self, key: &'a str, default: T, faults: &mut FaultList) -> T
    where
        T: FromStr<Err: Display>,
    {
        self.optional(key, faults).unwrap_or(default)
    }

    /// A list of values separated by commas; empty if the key is absent.
    pub fn list<T>(&self, key: &'a str, faults: &mut FaultList) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.text(key).unwrap_or("");
        let items = text
            .split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty());
        let mut values = Vec::new();
        for item in items {
            match item.parse() {
                Ok(value) => values.push(value),
                Err(e) => self.fault(key, format!("key `{key}`: {e}"), faults),
            }
        }
        values
    }

    /// A boolean, written `yes` or `no`, with a default.
    pub fn flag(&self, key: &'a str, default: bool, faults: &mut FaultList) -> bool {
        match self.text(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                let message = format!("key `{key}`, value `{other}`: expected yes or no");
                self.fault(key, message, faults);
                default
            }
        }
    }

    /// A duration in milliseconds, with a default.
    pub fn millis(&self, key: &'a str, default: Duration, faults: &mut FaultList) -> Duration {
        self.optional::<u64>(key, faults)
            .map_or(default, Duration::from_millis)
    }

    /// A number within `range`, with a default.
    pub fn ranged<T>(
        &self,
        key: &'a str,
        default: T,
        range: std::ops::RangeInclusive<T>,
        faults: &mut FaultList,
    ) -> T
    where
        T: FromStr<Err: Display> + PartialOrd + Display + Copy,
    {
        let value = self.or_default(key, default, faults);
        if range.contains(&value) {
            return value;
        }
        let message = format!(
            "key `{key}`, value `{value}`: expected {} to {}",
            range.start(),
            range.end()
        );
        self.fault(key, message, faults);
        default
    }

    /// Records a fault at `key`.
    pub fn fault(&self, key: &str, message: impl Into<String>, faults: &mut FaultList) {
        let message = format!("[{}]: {}", self.header(), message.into());
        faults.push(self.document.key_fault(self.header(), key, message));
    }

    /// Finishes reading: keys never requested and duplicate keys are faults.
    pub fn finish(self, faults: &mut FaultList) {
        let requested = self.requested.borrow();
        let mut seen = BTreeSet::new();
        for (key, _) in self.section.pairs() {
            if !requested.contains(key.as_str()) {
                let expected: Vec<&str> = requested.iter().copied().collect();
                let message = format!(
                    "unknown key `{key}`: expected one of {}",
                    expected.join(", ")
                );
                self.fault(key, message, faults);
            }
            if !seen.insert(key) {
                self.fault(key, format!("duplicate key `{key}`"), faults);
            }
        }
    }
}
