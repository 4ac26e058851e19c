//! How the descriptors and the memory of a machine are shared out.

use onyxfall_intake::{MachineLimits, PortRole, StatedFiles, StatedMemory};
use onyxfall_types::ByteSize;

const ROLES: [PortRole; 5] = [
    PortRole::Callers,
    PortRole::Relay,
    PortRole::Links,
    PortRole::Directory,
    PortRole::Status,
];
const MB: u64 = 1_000_000;

struct MachineCase {
    /// The failure that the case guards against.
    guards: &'static str,
    memory: Option<u64>,
    open_files: usize,
    /// Connections of each role, in the order of [`ROLES`].
    expected: [usize; 5],
}

const CASES: &[MachineCase] = &[
    MachineCase {
        guards: "the descriptors of a VM with much memory are not what counts",
        memory: Some(8000 * MB),
        open_files: 3400,
        expected: [1000, 400, 1000, 200, 100],
    },
    MachineCase {
        guards: "an unknown memory leaves no connection",
        memory: None,
        open_files: 3400,
        expected: [1000, 400, 1000, 200, 100],
    },
    MachineCase {
        guards: "the buffers of connections fill a VM with many descriptors",
        memory: Some(120 * MB),
        open_files: 100_000,
        expected: [900, 360, 900, 180, 90],
    },
    MachineCase {
        guards: "a small VM that is a seed takes no links of 985 VMs at once",
        memory: Some(160 * MB),
        open_files: 4100,
        expected: [1200, 480, 1200, 240, 120],
    },
    MachineCase {
        guards: "a VM whose memory is lowered for a test serves few callers",
        memory: Some(MB / 4),
        open_files: 100_000,
        expected: [64, 64, 64, 64, 64],
    },
    MachineCase {
        guards: "a VM without descriptors for sockets takes no connection",
        memory: Some(120 * MB),
        open_files: 100,
        expected: [8, 8, 8, 8, 8],
    },
];

#[test]
fn each_port_has_its_share_of_connections() {
    for case in CASES {
        let limits = MachineLimits {
            memory: case.memory.map(ByteSize::new),
            open_files: case.open_files,
        };
        let connections = ROLES.map(|role| limits.connections(role));
        assert_eq!(connections, case.expected, "{}", case.guards);
    }
}

/// Guards against ports that leave no descriptors for connections to servers and the store.
#[test]
fn all_ports_leave_descriptors_for_outgoing_connections() {
    for open_files in [456, 1024, 3075, 4100, 10_250, 20_000] {
        let memory = None;
        let limits = MachineLimits { memory, open_files };
        let incoming: usize = ROLES.iter().map(|role| limits.connections(*role)).sum();
        // Connections that are closing come on top.
        let most = incoming + incoming / 16;
        let sockets = open_files - 200;
        assert!(most * 10 <= sockets * 9, "{most} of {sockets} sockets");
    }
}

/// Guards against receive buffers that take more than a quarter of the memory together.
#[test]
fn receive_buffers_stay_within_a_quarter_of_the_memory() {
    const CALLER_PORTS: [PortRole; 3] = [PortRole::Callers, PortRole::Directory, PortRole::Status];
    for memory in [60 * MB, 120 * MB, 160 * MB, 512 * MB, 8000 * MB] {
        for open_files in [456, 1024, 4100, 8192] {
            let limits = MachineLimits {
                memory: Some(ByteSize::new(memory)),
                open_files,
            };
            let of_port = |role| {
                let buffers = limits.receive_buffers(role).unwrap();
                let size = |open| buffers.enlarged(open).unwrap_or(buffers.inherited());
                (1..=limits.connections(role)).map(size).sum::<usize>()
            };
            let all: usize = CALLER_PORTS.into_iter().map(of_port).sum();
            // The kernel doubles the sizes.
            let all = u64::try_from(all * 2).unwrap();
            assert!(
                all <= memory / 4,
                "{all} of {memory} bytes, {open_files} files"
            );
        }
    }
}

#[test]
fn the_system_tells_what_the_settings_leave_out() {
    let detected = MachineLimits::detect(StatedMemory(None), StatedFiles(None));
    assert!(detected.memory.is_some_and(|memory| memory.bytes() > MB));
    assert!(detected.open_files > 0);
    let stated = MachineLimits::detect(StatedMemory(Some(ByteSize::new(5))), StatedFiles(Some(10)));
    assert_eq!(stated.memory, Some(ByteSize::new(5)));
    assert_eq!(stated.open_files, 10);
}
