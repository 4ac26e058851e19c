//! Tests of head changes, the version gate and sign-off. A breadth-first search
//! over all states of a small model covers concurrent operators whose write
//! responses may be lost.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use onyxfall_bundle::{
    AcceptError, BundleVersion, ContentDigest, HeadChange, HeadError, HeadRecord, OperationId,
    OperatorRing, RegionRecord, SignedBundle, SigningSecret, VersionGate, change_head,
};
use onyxfall_types::{OperatorName, RegionName};

fn secret(byte: u8) -> SigningSecret {
    format!("{byte:02x}").repeat(32).parse().unwrap()
}

fn operator(index: usize) -> OperatorName {
    ["ann", "ben"][index].parse().unwrap()
}

fn ring() -> OperatorRing {
    let mut ring = OperatorRing::default();
    for index in 0..2 {
        ring.insert(
            operator(index),
            secret(u8::try_from(index).unwrap() + 1).public(),
        );
    }
    ring
}

fn content(index: usize) -> ContentDigest {
    ContentDigest::of(["base", "first", "second"][index])
}

fn region(index: usize) -> RegionName {
    ["r0", "r1"][index].parse().unwrap()
}

/// Next action of an operator's program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum OperatorPhase {
    Open,
    Step(usize),
    Done,
    Refused,
}

/// State of an operator's program.
#[derive(Clone, Debug)]
struct OperatorProgram {
    phase: OperatorPhase,
    /// Revision and head as last read; `None` before a read and after a write.
    snapshot: Option<(u64, HeadRecord)>,
    /// Whether the response to the last write was lost.
    response_lost: bool,
}

/// State of the model: the stored head with its revision, and two programs.
#[derive(Clone, Debug)]
struct ModelState {
    revision: u64,
    head: HeadRecord,
    programs: Vec<OperatorProgram>,
    withdrawn: bool,
}

impl ModelState {
    fn initial() -> Self {
        let mut head = HeadRecord::default();
        let regions: VecDeque<RegionName> = (0..2).map(region).collect();
        let base = OperationId::new("base");
        let open = HeadChange::Open {
            content: content(0),
            regions,
        };
        head = change_head(&head, &open, &base, &operator(0), &secret(1)).unwrap();
        for i in 0..2 {
            let step = HeadChange::Step {
                rollout: base.clone(),
            };
            let id = OperationId::new(format!("base/{i}"));
            head = change_head(&head, &step, &id, &operator(0), &secret(1)).unwrap();
        }
        let program = OperatorProgram {
            phase: OperatorPhase::Open,
            snapshot: None,
            response_lost: false,
        };
        Self {
            revision: 1,
            head,
            programs: vec![program.clone(), program],
            withdrawn: false,
        }
    }

    /// Returns a key that is equal for states with the same possible successors.
    fn key(&self) -> String {
        let programs: Vec<String> = self
            .programs
            .iter()
            .map(|p| {
                format!(
                    "{:?} {:?} {}",
                    p.phase,
                    p.snapshot.as_ref().map(|r| r.0),
                    p.response_lost
                )
            })
            .collect();
        format!(
            "{} {:?} {:?} {}",
            self.revision, self.head, programs, self.withdrawn
        )
    }
}

fn next_change(index: usize, phase: OperatorPhase) -> Option<(HeadChange, OperationId)> {
    let rollout = OperationId::new(format!("op{index}"));
    match phase {
        OperatorPhase::Open => {
            let regions = (0..2).map(region).collect();
            Some((
                HeadChange::Open {
                    content: content(index + 1),
                    regions,
                },
                rollout,
            ))
        }
        OperatorPhase::Step(step) => {
            let id = OperationId::new(format!("op{index}/{step}"));
            Some((HeadChange::Step { rollout }, id))
        }
        OperatorPhase::Done | OperatorPhase::Refused => None,
    }
}

fn next_phase(phase: OperatorPhase) -> OperatorPhase {
    match phase {
        OperatorPhase::Open => OperatorPhase::Step(0),
        OperatorPhase::Step(0) => OperatorPhase::Step(1),
        _ => OperatorPhase::Done,
    }
}

/// The program reads the head, as it does before each write and after a lost response.
fn read_head(state: &ModelState, index: usize) -> Option<ModelState> {
    let program = &state.programs[index];
    let (_, operation) = next_change(index, program.phase)?;
    let mut next = state.clone();
    let program = &mut next.programs[index];
    program.response_lost = false;
    if state.head.has_operation(&operation) {
        program.phase = next_phase(program.phase);
        program.snapshot = None;
    } else {
        program.snapshot = Some((state.revision, state.head.clone()));
    }
    Some(next)
}

/// The program writes the head by compare-and-swap; the response is lost if `lose_response`.
fn write_head(state: &ModelState, index: usize, lose_response: bool) -> Option<ModelState> {
    let program = &state.programs[index];
    let (change, operation) = next_change(index, program.phase)?;
    let (revision, snapshot) = program.snapshot.clone()?;
    let mut next = state.clone();
    let secret = secret(u8::try_from(index).unwrap() + 1);
    let program = &mut next.programs[index];
    program.snapshot = None;
    match change_head(&snapshot, &change, &operation, &operator(index), &secret) {
        Err(_) => program.phase = OperatorPhase::Refused,
        Ok(head) if revision == state.revision => {
            if lose_response {
                program.response_lost = true;
            } else {
                program.phase = next_phase(program.phase);
            }
            next.head = head;
            next.revision += 1;
        }
        Ok(_) => program.response_lost = lose_response,
    }
    Some(next)
}

/// A third program withdraws the first operator's content, once.
fn withdraw(state: &ModelState) -> Option<ModelState> {
    if state.withdrawn {
        return None;
    }
    let change = HeadChange::Withdraw {
        content: content(1),
    };
    let id = OperationId::new("withdraw");
    let mut next = state.clone();
    next.head = change_head(&state.head, &change, &id, &operator(1), &secret(2)).ok()?;
    next.revision += 1;
    next.withdrawn = true;
    Some(next)
}

fn successors(state: &ModelState) -> Vec<ModelState> {
    let mut all: Vec<ModelState> = withdraw(state).into_iter().collect();
    for index in 0..2 {
        all.extend(read_head(state, index));
        all.extend(write_head(state, index, false));
        all.extend(write_head(state, index, true));
    }
    all
}

fn check_step(before: &ModelState, after: &ModelState) {
    assert!(
        after.head.version >= before.head.version,
        "the head version decreased"
    );
    for (name, record) in &before.head.regions {
        let current = &after.head.regions[name];
        assert!(
            current.version >= record.version,
            "a region's version decreased"
        );
        if current.version == record.version {
            assert_eq!(
                current.content, record.content,
                "two contents have the same version"
            );
        }
    }
}

#[test]
fn every_history_of_two_operators_keeps_versions_monotonic() {
    let ring = ring();
    let mut seen = BTreeSet::new();
    let mut queue = VecDeque::from([ModelState::initial()]);
    let mut final_phases: BTreeMap<String, usize> = BTreeMap::new();
    let mut verified = BTreeSet::new();
    while let Some(state) = queue.pop_front() {
        if !seen.insert(state.key()) {
            continue;
        }
        for record in state.head.regions.values() {
            let is_new = verified.insert(record.signature.0.clone());
            assert!(
                !is_new || record.verify(&ring),
                "a record has no valid signature"
            );
        }
        let next = successors(&state);
        for after in &next {
            check_step(&state, after);
        }
        let is_final =
            |p: &OperatorProgram| matches!(p.phase, OperatorPhase::Done | OperatorPhase::Refused);
        if state.programs.iter().all(is_final) {
            let phases: Vec<_> = state.programs.iter().map(|p| p.phase).collect();
            *final_phases.entry(format!("{phases:?}")).or_default() += 1;
        }
        queue.extend(next);
    }
    assert!(
        seen.len() > 300,
        "the search visited only {} states",
        seen.len()
    );
    assert!(
        final_phases.contains_key("[Done, Refused]")
            && final_phases.contains_key("[Refused, Done]")
    );
    assert!(
        final_phases.contains_key("[Done, Done]"),
        "no history in which both rollouts succeed one after the other"
    );
}

fn record(version: u64, index: usize) -> RegionRecord {
    let mut head = HeadRecord {
        version: BundleVersion::new(version - 2),
        ..HeadRecord::default()
    };
    let id = OperationId::new("x");
    let open = HeadChange::Open {
        content: content(index),
        regions: [region(0)].into(),
    };
    head = change_head(&head, &open, &id, &operator(0), &secret(1)).unwrap();
    let step = HeadChange::Step { rollout: id };
    head = change_head(
        &head,
        &step,
        &OperationId::new("y"),
        &operator(0),
        &secret(1),
    )
    .unwrap();
    head.regions[&region(0)].clone()
}

struct GateCase {
    name: &'static str,
    offered: RegionRecord,
    accepts: bool,
    error: fn(&AcceptError) -> bool,
}

#[test]
fn the_gate_accepts_only_newer_signed_records() {
    let mut forged = record(9, 2);
    forged.content = content(1);
    let mut unknown_operator = record(9, 2);
    unknown_operator.operator = "eve".parse().unwrap();
    let mut other_region = record(9, 2);
    other_region.region = region(1);
    let cases = [
        GateCase {
            name: "newer",
            offered: record(6, 2),
            accepts: true,
            error: |_| false,
        },
        GateCase {
            name: "same",
            offered: record(5, 1),
            accepts: false,
            error: |e| matches!(e, AcceptError::Current(_)),
        },
        GateCase {
            name: "older",
            offered: record(4, 2),
            accepts: false,
            error: |e| matches!(e, AcceptError::Older { .. }),
        },
        GateCase {
            name: "same version, other content",
            offered: record(5, 2),
            accepts: false,
            error: |e| matches!(e, AcceptError::Conflict { .. }),
        },
        GateCase {
            name: "content replaced after signing",
            offered: forged,
            accepts: false,
            error: |e| matches!(e, AcceptError::Signature { .. }),
        },
        GateCase {
            name: "unknown operator",
            offered: unknown_operator,
            accepts: false,
            error: |e| matches!(e, AcceptError::Signature { .. }),
        },
        GateCase {
            name: "record of another region",
            offered: other_region,
            accepts: false,
            error: |e| matches!(e, AcceptError::Signature { .. }),
        },
    ];
    for case in cases {
        let mut gate = VersionGate::new();
        gate.accept(record(5, 1), &ring()).unwrap();
        match gate.accept(case.offered.clone(), &ring()) {
            Ok(()) => assert!(case.accepts, "{}", case.name),
            Err(e) => {
                assert!(!case.accepts && (case.error)(&e), "{}: {e}", case.name);
                assert_eq!(
                    gate.version(),
                    BundleVersion::new(5),
                    "{}: the version in force changed",
                    case.name
                );
            }
        }
    }
}

#[test]
fn sign_off_needs_two_different_known_keys() {
    let mut bundle = SignedBundle::unsigned("text".to_owned());
    let text = SignedBundle::signing_text(&bundle.digest());
    assert!(!bundle.is_signed_off(&ring()), "no signature");
    bundle.signatures.insert(operator(0), secret(1).sign(&text));
    assert!(!bundle.is_signed_off(&ring()), "one signature");
    bundle.signatures.insert(operator(1), secret(1).sign(&text));
    assert!(
        !bundle.is_signed_off(&ring()),
        "second signature by the key of the first operator"
    );
    bundle
        .signatures
        .insert(operator(1), secret(2).sign("other"));
    assert!(
        !bundle.is_signed_off(&ring()),
        "second signature is for another text"
    );
    bundle.signatures.insert(operator(1), secret(2).sign(&text));
    assert!(bundle.is_signed_off(&ring()), "two signatures");
    let mut duplicate_key_ring = ring();
    duplicate_key_ring.insert(operator(1), secret(1).public());
    bundle.signatures.insert(operator(1), secret(1).sign(&text));
    assert!(
        !bundle.is_signed_off(&duplicate_key_ring),
        "one key registered under two names"
    );
}

#[test]
fn withdrawal_restores_the_former_content_under_a_higher_version() {
    let head = ModelState::initial().head;
    let open = HeadChange::Open {
        content: content(1),
        regions: [region(0)].into(),
    };
    let id = OperationId::new("a");
    let head = change_head(&head, &open, &id, &operator(0), &secret(1)).unwrap();
    let concurrent = HeadChange::Open {
        content: content(2),
        regions: [region(0)].into(),
    };
    let error = change_head(
        &head,
        &concurrent,
        &OperationId::new("b"),
        &operator(1),
        &secret(2),
    );
    assert!(
        matches!(error, Err(HeadError::RolloutOpen { operator, .. }) if operator.as_str() == "ann")
    );
    let step = HeadChange::Step { rollout: id };
    let head = change_head(
        &head,
        &step,
        &OperationId::new("a/0"),
        &operator(0),
        &secret(1),
    )
    .unwrap();
    let change = HeadChange::Withdraw {
        content: content(1),
    };
    let after = change_head(
        &head,
        &change,
        &OperationId::new("w"),
        &operator(1),
        &secret(2),
    )
    .unwrap();
    assert_eq!(after.regions[&region(0)].content, content(0));
    assert!(after.regions[&region(0)].version > head.regions[&region(0)].version);
    let repeated = change_head(
        &after,
        &change,
        &OperationId::new("w2"),
        &operator(1),
        &secret(2),
    );
    assert!(matches!(repeated, Err(HeadError::NotInForce { .. })));
}
