//! Checked INI documents: settings, bundles and load scenarios.
//!
//! A document is read by `rust-ini`; a [`SectionReader`] takes typed values out
//! of it and a [`FaultList`] collects every fault with its line, so that one
//! run names all of them. `rust-ini` keeps no line numbers: the line of a fault
//! is found by looking its section and key up in the text.
//!
//! Invariant: a key that no reader asked for is a fault, and so is a section
//! whose kind is not known or whose header stands twice.

mod document;
mod fault;
mod reader;

pub use document::{IniDocument, IniSection};
pub use fault::{FaultList, SettingsError, SettingsFault};
pub use reader::SectionReader;
