//! Short runs with a fixed seed and with seeds that once failed.

use std::process::Command;

struct SeedCase {
    seed: u64,
    /// Length of the part with faults, on which the plan of a seed depends.
    seconds: &'static str,
    /// The failure that the seed guards against.
    cause: &'static str,
}

const CASES: &[SeedCase] = &[
    SeedCase {
        seed: 1,
        seconds: "4",
        cause: "a first look at every kind of fault",
    },
    SeedCase {
        seed: 203,
        seconds: "5",
        cause: "a gateway told to stop in the last second was not started again by the soak",
    },
    SeedCase {
        seed: 34,
        seconds: "6",
        cause: "a key that changed twice in a batch was passed on with its first value",
    },
];

#[test]
fn promises_hold_while_faults_overlap() {
    for case in CASES {
        let output = Command::new(env!("CARGO_BIN_EXE_onyxfall-soak"))
            .args(["--seed", &case.seed.to_string(), "--seconds", case.seconds])
            .output()
            .unwrap();
        let stdout = String::from_utf8_lossy(&output.stdout);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.success(),
            "{}\n{stdout}\n{errors}",
            case.cause
        );
    }
}
