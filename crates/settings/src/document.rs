//! A parsed INI document whose section headers are `[kind]` or `[kind name]`.

use std::collections::BTreeSet;
use std::path::Path;

use ini::{Ini, ParseOption};

use crate::fault::{FaultList, SettingsError, SettingsFault};
use crate::reader::SectionReader;

/// A section: its header, and its keys and values in file order.
#[derive(Clone, Debug)]
pub struct IniSection {
    header: String,
    pairs: Vec<(String, String)>,
}

impl IniSection {
    /// The header as written, without brackets.
    pub fn header(&self) -> &str {
        &self.header
    }

    /// First word of the header.
    pub fn kind(&self) -> &str {
        self.header.split_whitespace().next().unwrap_or("")
    }

    /// The rest of the header; empty if there is none.
    pub fn name(&self) -> &str {
        self.header
            .split_once(char::is_whitespace)
            .map_or("", |(_, name)| name.trim())
    }

    /// Keys and values in file order, including duplicate keys.
    pub fn pairs(&self) -> &[(String, String)] {
        &self.pairs
    }
}

/// A parsed document and its text.
#[derive(Clone, Debug)]
pub struct IniDocument {
    file: String,
    text: String,
    sections: Vec<IniSection>,
}

impl IniDocument {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or is not INI.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|e| SettingsError::unreadable(&file, &e))?;
        Self::parse(&file, &text)
    }

    /// Parses `text`; `file` is the file name in faults.
    ///
    /// # Errors
    ///
    /// The text is not INI; the fault has the line that the parser reports.
    ///
    /// ```
    /// use onyxfall_settings::IniDocument;
    /// let document = IniDocument::parse("a.ini", "[region brisbane]\nlat = 1\n").unwrap();
    /// assert_eq!(document.sections()[0].kind(), "region");
    /// assert_eq!(document.sections()[0].name(), "brisbane");
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        check_brackets(file, text)?;
        let ini = Ini::load_from_str_opt(text, option).map_err(|e| {
            let message = format!("not INI: {}", e.msg);
            let fault = fault_at(text, e.line.max(1), message);
            SettingsError::new(file, text, vec![fault])
        })?;
        let sections = ini
            .iter()
            .filter(|(header, properties)| header.is_some() || !properties.is_empty())
            .map(|(header, properties)| IniSection {
                header: header.unwrap_or("").to_owned(),
                pairs: properties
                    .iter()
                    .map(|(k, v)| (k.to_owned(), v.to_owned()))
                    .collect(),
            })
            .collect();
        Ok(Self {
            file: file.to_owned(),
            text: text.to_owned(),
            sections,
        })
    }

    /// File name, as given by the caller.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Sections in file order.
    pub fn sections(&self) -> &[IniSection] {
        &self.sections
    }

    /// Readers for every section of `kind`, in file order.
    pub fn readers<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = SectionReader<'a>> {
        self.sections
            .iter()
            .filter(move |section| section.kind() == kind)
            .map(|section| SectionReader::new(self, section))
    }

    /// The reader of the first section of `kind`; a document without one is a fault.
    pub fn single<'a>(
        &'a self,
        kind: &'a str,
        faults: &mut FaultList,
    ) -> Option<SectionReader<'a>> {
        let reader = self.readers(kind).next();
        if reader.is_none() {
            faults.push(fault_at(
                &self.text,
                1,
                format!("expected a section [{kind}]"),
            ));
        }
        reader
    }

    /// Checks that every section has one of `kinds`, and that no header is duplicate.
    pub fn check_headers(&self, kinds: &[&str], faults: &mut FaultList) {
        let mut seen = BTreeSet::new();
        for section in &self.sections {
            let header = section.header();
            if !kinds.contains(&section.kind()) {
                let expected = kinds.join(", ");
                let message = format!("unknown section [{header}]: expected one of {expected}");
                faults.push(self.header_fault(header, message));
            }
            if !seen.insert(header) {
                let message = format!("duplicate section [{header}]");
                faults.push(self.last_header_fault(header, message));
            }
        }
    }

    /// Turns collected faults into an error, if there are any.
    ///
    /// # Errors
    ///
    /// The list is not empty.
    pub fn finish(&self, faults: FaultList) -> Result<(), SettingsError> {
        if faults.is_empty() {
            return Ok(());
        }
        Err(SettingsError::new(
            &self.file,
            &self.text,
            faults.into_sorted(),
        ))
    }

    /// A fault at the header of a section.
    pub fn header_fault(&self, header: &str, message: String) -> SettingsFault {
        fault_at(
            &self.text,
            self.header_lines(header).next().unwrap_or(1),
            message,
        )
    }

    /// A fault at a key of a section, or at its header if the key is absent.
    pub fn key_fault(&self, header: &str, key: &str, message: String) -> SettingsFault {
        let line = self.key_lines(header, key).last();
        let line = line.or_else(|| self.header_lines(header).next());
        fault_at(&self.text, line.unwrap_or(1), message)
    }

    fn last_header_fault(&self, header: &str, message: String) -> SettingsFault {
        fault_at(
            &self.text,
            self.header_lines(header).last().unwrap_or(1),
            message,
        )
    }

    fn header_lines<'a>(&'a self, header: &'a str) -> impl Iterator<Item = usize> + 'a {
        numbered_lines(&self.text)
            .filter(move |(_, line)| line_header(line) == Some(header))
            .map(|(number, _)| number)
    }

    fn key_lines<'a>(&'a self, header: &'a str, key: &'a str) -> impl Iterator<Item = usize> + 'a {
        let mut current = "";
        numbered_lines(&self.text).filter_map(move |(number, line)| {
            if let Some(found) = line_header(line) {
                current = found;
                return None;
            }
            let found = line.split(['=', ':']).next().map(str::trim);
            (current == header && found == Some(key)).then_some(number)
        })
    }
}

fn numbered_lines(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().map(|(i, line)| (i + 1, line))
}

/// Checks that every section header is closed. `rust-ini` reads past a header without `]`
/// and reports the end of the file, so this check comes first.
fn check_brackets(file: &str, text: &str) -> Result<(), SettingsError> {
    let is_unclosed = |line: &str| line.trim().starts_with('[') && !line.trim().ends_with(']');
    let faults: Vec<SettingsFault> = numbered_lines(text)
        .filter(|(_, line)| is_unclosed(line))
        .map(|(number, _)| fault_at(text, number, "section header without `]`".to_owned()))
        .collect();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(SettingsError::new(file, text, faults))
    }
}

fn line_header(line: &str) -> Option<&str> {
    line.trim()
        .strip_prefix('[')?
        .strip_suffix(']')
        .map(str::trim)
}

fn fault_at(text: &str, line: usize, message: String) -> SettingsFault {
    let start: usize = text
        .split_inclusive('\n')
        .take(line - 1)
        .map(str::len)
        .sum();
    let len = text[start..].lines().next().map_or(0, str::len);
    SettingsFault {
        line,
        span: (start, start + len),
        message,
    }
}
