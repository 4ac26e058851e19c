//! Memory that a VM needs for a large fleet. This is the only test of its program, since it
//! reads the memory of the whole process.

mod support;

use std::fs;

use support::{FAR_PART, NEAR, large_view};

/// Size of a memory page in bytes.
const PAGE: usize = 4096;
/// Largest size of a view, a third of the memory that a small VM should need on average.
const VIEW_BYTES: usize = 8 * 1024 * 1024;
/// Largest size of each additional server that the VM does not work with.
const SERVER_BYTES: usize = 600;

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages = text.split_whitespace().nth(1).unwrap();
    pages.parse::<usize>().unwrap() * PAGE
}

#[test]
fn servers_that_a_vm_does_not_work_with_need_little_memory() {
    let before = resident();
    let single = large_view("vm0", NEAR, 1);
    let between = resident();
    let double = large_view("vm1", NEAR * 2, 1);
    let after = resident();
    let (first, second) = (between - before, after - between);
    assert!(first <= VIEW_BYTES, "{first} bytes");
    let each = second.saturating_sub(first) / (NEAR * FAR_PART);
    println!("{first} bytes, and {each} for each further server");
    assert!(each <= SERVER_BYTES, "{each} bytes a server");
    drop((single, double));
}
