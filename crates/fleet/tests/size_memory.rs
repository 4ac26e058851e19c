//! Memory that a VM needs for a large fleet. Alone in its program, since the memory of the
//! whole process is read.

mod support;

use std::fs;

use support::{FAR_PART, NEAR, large_view};

/// Bytes of a page of memory.
const PAGE: usize = 4096;
/// A third of what a small VM is to need in the mean.
const VIEW_BYTES: usize = 8 * 1024 * 1024;
/// What one more server may cost a VM that does not work with it.
const SERVER_BYTES: usize = 600;

/// Memory of this process that is in use.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages = text.split_whitespace().nth(1).unwrap();
    pages.parse::<usize>().unwrap() * PAGE
}

#[test]
fn a_view_keeps_little_of_servers_that_it_does_not_work_with() {
    let before = resident();
    let once = large_view("vm0", NEAR, 1);
    let between = resident();
    let twice = large_view("vm1", NEAR * 2, 1);
    let after = resident();
    let (first, second) = (between - before, after - between);
    assert!(first <= VIEW_BYTES, "{first} bytes");
    let each = second.saturating_sub(first) / (NEAR * FAR_PART);
    println!("{first} bytes, and {each} for each further server");
    assert!(each <= SERVER_BYTES, "{each} bytes a server");
    drop((once, twice));
}
