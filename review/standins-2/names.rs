//! Names of the platform's wire, read from the text file beside this module.

const NAMES: &str = include_str!("names.txt");

/// The name on the wire for a key of the text file.
pub fn name(key: &str) -> &'static str {
    let lines = NAMES.lines().filter(|line| !line.starts_with('#'));
    let mut pairs = lines.filter_map(|line| line.split_once('='));
    let found = pairs.find(|(known, _)| *known == key);
    found.map_or_else(|| panic!("no name for {key}"), |(_, name)| name)
}
