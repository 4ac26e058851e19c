//! Memory and processor time of this process, from the kernel's accounting.

/// Clock ticks per second in the kernel's accounting on Linux.
const TICKS: f64 = 100.0;
/// Size of a page in bytes.
const PAGE: f64 = 4096.0;

/// Resident memory in bytes.
pub(crate) fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}

/// Processor time used so far, in seconds.
pub(crate) fn processor_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS
}
