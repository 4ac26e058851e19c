//! Parsing and validation of INI documents: settings, bundles and load scenarios.
//!
//! `rust-ini` parses a document, a [`SectionReader`] reads typed values from a section, and a
//! [`FaultList`] collects every fault with its line, so that one run reports all of them.
//! `rust-ini` keeps no line numbers: the line of a fault is found by a search for its section
//! and key in the text.
//!
//! Invariant: a key that no reader has requested is a fault, and so is a section of an
//! unknown kind or with a duplicate header.

mod document;
mod fault;
mod reader;

pub use document::{IniDocument, IniSection};
pub use fault::{FaultList, SettingsError, SettingsFault};
pub use reader::SectionReader;
