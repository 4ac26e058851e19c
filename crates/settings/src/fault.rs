//! Faults of a document, each with its position in the text.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use thiserror::Error;

/// A fault: what was found and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line in the document, counted from 1.
    pub line: usize,
    /// Byte range of that line in the document.
    pub span: (usize, usize),
    /// What is wrong and what was expected.
    pub message: String,
}

/// All faults found so far, in the order in which they were found.
#[derive(Clone, Debug, Default)]
pub struct FaultList {
    faults: Vec<SettingsFault>,
}

impl FaultList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a fault.
    pub fn push(&mut self, fault: SettingsFault) {
        self.faults.push(fault);
    }

    /// Whether the list has no faults.
    pub fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    /// The faults, sorted by line.
    pub fn into_sorted(mut self) -> Vec<SettingsFault> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }
}

/// Error of an invalid document, with all its faults.
#[derive(Debug, Error)]
pub struct SettingsError {
    /// File name, as given by the caller.
    pub file: String,
    /// The faults, sorted by line.
    pub faults: Vec<SettingsFault>,
    source_code: NamedSource<String>,
}

impl SettingsError {
    /// Builds the error for `file` whose content is `text`.
    pub fn new(file: &str, text: &str, faults: Vec<SettingsFault>) -> Self {
        let source_code = NamedSource::new(file, text.to_owned());
        Self {
            file: file.to_owned(),
            faults,
            source_code,
        }
    }

    /// Builds the error of a file that could not be read at all.
    pub fn unreadable(file: &str, error: &std::io::Error) -> Self {
        let message = format!("cannot be read: {error}");
        Self::new(
            file,
            "",
            vec![SettingsFault {
                line: 1,
                span: (0, 0),
                message,
            }],
        )
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{}: {}", self.file, fault.line, fault.message)?;
        }
        Ok(())
    }
}

impl Diagnostic for SettingsError {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = |fault: &SettingsFault| {
            let (start, end) = fault.span;
            let span = SourceSpan::from((start, end - start));
            LabeledSpan::new_with_span(Some(fault.message.clone()), span)
        };
        Some(Box::new(self.faults.iter().map(label)))
    }
}
