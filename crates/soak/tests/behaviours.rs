//! The table of what others may do, docs/design/what-others-may-do.ini: each row names a switch,
//! a check and a proof that exist, or says why it has none.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;

use expect_test::expect_file;
use onyxfall_settings::{FaultList, IniDocument, SectionReader};

const ACTORS: [(&str, &str); 7] = [
    ("server", "Servers"),
    ("store", "The store"),
    ("caller", "Callers"),
    ("link", "Links"),
    ("vm", "VMs and their machines"),
    ("clock", "Clocks"),
    ("operator", "The operator"),
];
/// Names of the users' rules, and of what they price.
const RULES: [&str; 20] = [
    "MIXED", "UNASKED", "TWICE", "REFUSED", "DENIED", "BUDGET", "GONE", "LOST", "CONFIG", "ROUTE",
    "DRAIN", "ORDER", "FAILBACK", "HOME", "EVAC", "RECOVER", "LIMIT", "Payoff", "Prices", "Fault",
];
const DUTY: &str = "Duty";
const REASONS_WITHOUT_SWITCH: [&str; 2] = ["not built", "impossible"];
const REASONS_WITHOUT_CHECK: [&str; 1] = ["not built"];
const REASONS_WITHOUT_PROOF: [&str; 2] = ["not played", "not caught"];
/// Last line of the part of the page that is written by hand.
const HAND_WRITTEN_END: &str = "## The rows\n";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Names that the soak lists, by kind.
struct Inventory {
    switches: BTreeSet<String>,
    checks: BTreeSet<String>,
}

impl Inventory {
    fn read() -> Self {
        let output = Command::new(env!("CARGO_BIN_EXE_onyxfall-soak"))
            .arg("list")
            .output()
            .unwrap();
        assert!(output.status.success());
        let text = String::from_utf8(output.stdout).unwrap();
        let named = |kind: &str| -> BTreeSet<String> {
            let names = text.lines().filter_map(|line| line.strip_prefix(kind));
            names.map(str::to_owned).collect()
        };
        Self {
            switches: named("switch "),
            checks: named("check "),
        }
    }
}

#[derive(Debug)]
struct Row {
    actor: String,
    does: String,
    state: String,
    breaks: Vec<String>,
    page: String,
    switches: Vec<String>,
    checks: Vec<String>,
    proof: Option<Proof>,
    tests: Vec<String>,
    /// Why there is no switch, check or proof; the first one that is missing.
    lacks: Option<String>,
}

/// A gateway that a check fails.
#[derive(Debug)]
struct Proof {
    text: String,
}

impl Proof {
    /// Parses "BUILD (what it lacks) seeds A to B: N failed, first F".
    fn parse(text: &str) -> Result<Self, String> {
        let is_build = |build: &str| {
            let is_commit = build.len() == 7 && build.bytes().all(|c| c.is_ascii_hexdigit());
            is_commit || build == "scratch"
        };
        let number = |text: &str| text.trim().parse::<u64>().map_err(|e| e.to_string());
        let (build, rest) = text.split_once(" (").ok_or("no build and what it lacks")?;
        let (lacks, rest) = rest.split_once(") seeds ").ok_or("no seeds")?;
        let (first_seed, rest) = rest.split_once(" to ").ok_or("no range of seeds")?;
        let (last_seed, rest) = rest.split_once(": ").ok_or("no result")?;
        let (failed, first_failed) = rest.split_once(" failed, first ").ok_or("no result")?;
        let (from, to) = (number(first_seed)?, number(last_seed)?);
        let (failed, first) = (number(failed)?, number(first_failed)?);
        let is_right = is_build(build)
            && !lacks.is_empty()
            && (from..=to).contains(&first)
            && (1..=to - from + 1).contains(&failed);
        if !is_right {
            return Err("a build, seeds and failures that fit each other".to_owned());
        }
        Ok(Self {
            text: text.to_owned(),
        })
    }
}

/// The reason of a `without-` key, which begins with one of `kinds`.
fn read_reason(
    section: &SectionReader<'_>,
    key: &'static str,
    kinds: &[&str],
    problems: &mut Vec<String>,
) -> Option<String> {
    let text = section.text(key)?;
    let is_known = text
        .split_once(": ")
        .is_some_and(|(kind, why)| kinds.contains(&kind) && !why.is_empty());
    if !is_known {
        problems.push(format!(
            "{key}: {text:?} is not one of {kinds:?} with a reason"
        ));
    }
    Some(text.to_owned())
}

/// Whether a test named as "CRATE FILE" exists.
fn has_test(name: &str) -> bool {
    let Some((krate, file)) = name.split_once(' ') else {
        return false;
    };
    let dir = match krate {
        "adapter" => root().join("platform"),
        krate => root().join("crates").join(krate),
    };
    dir.join("tests").join(format!("{file}.rs")).is_file()
}

/// Reads a row, and adds to `problems` what is wrong with it.
fn read_row(
    section: &SectionReader<'_>,
    inventory: &Inventory,
    problems: &mut Vec<String>,
    faults: &mut FaultList,
) -> Row {
    let (actor, _) = section.header().split_once(' ').unwrap_or_default();
    let mut text = |key| -> String { section.required(key, faults).unwrap_or_default() };
    let (does, state, page) = (text("does"), text("state"), text("page"));
    let mut list = |key| -> Vec<String> { section.list(key, faults) };
    let (breaks, tests) = (list("breaks"), list("tests"));
    let (switches, checks) = (list("switch"), list("check"));
    let no_switch = read_reason(section, "without-switch", &REASONS_WITHOUT_SWITCH, problems);
    let no_check = read_reason(section, "without-check", &REASONS_WITHOUT_CHECK, problems);
    let no_proof = read_reason(section, "without-proof", &REASONS_WITHOUT_PROOF, problems);
    let proof = section.text("proof").and_then(|text| {
        let parsed = Proof::parse(text);
        parsed
            .map_err(|e| problems.push(format!("proof: {e}")))
            .ok()
    });
    let is_rule = |name: &&String| RULES.contains(&name.as_str()) || *name == DUTY;
    if breaks.is_empty() || !breaks.iter().all(|name| is_rule(&name)) {
        problems.push(format!("breaks: {breaks:?} are no rules"));
    }
    let unknown = |names: &[String], known: &BTreeSet<String>| -> Vec<String> {
        names
            .iter()
            .filter(|name| !known.contains(*name))
            .cloned()
            .collect()
    };
    for name in unknown(&switches, &inventory.switches) {
        problems.push(format!("switch: no seed draws {name:?}"));
    }
    for name in unknown(&checks, &inventory.checks) {
        problems.push(format!("check: {name:?} is not checked"));
    }
    for name in tests.iter().filter(|name| !has_test(name)) {
        problems.push(format!("tests: {name:?} does not exist"));
    }
    // A row without a switch has nothing to check, and one without a check nothing to prove.
    let has_switch = !switches.is_empty();
    let has_check = !checks.is_empty();
    let is_complete = match (has_switch, has_check, proof.is_some()) {
        (false, false, false) => no_switch.is_some() && no_check.is_none() && no_proof.is_none(),
        (true, false, false) => no_switch.is_none() && no_check.is_some() && no_proof.is_none(),
        (true, true, false) => no_switch.is_none() && no_check.is_none() && no_proof.is_some(),
        (true, true, true) => no_switch.is_none() && no_check.is_none() && no_proof.is_none(),
        _ => false,
    };
    if !is_complete {
        problems.push("switch, check and proof, or the reason of the first that is missing".into());
    }
    Row {
        actor: actor.to_owned(),
        does,
        state,
        breaks,
        page,
        switches,
        checks,
        proof,
        tests,
        lacks: no_switch.or(no_check).or(no_proof),
    }
}

/// Reads all rows, or says what is wrong with them.
fn read_rows(text: &str, inventory: &Inventory) -> Result<Vec<Row>, String> {
    let document =
        IniDocument::parse("what-others-may-do.ini", text).map_err(|e| format!("{e:?}"))?;
    let mut faults = FaultList::new();
    let actors = ACTORS.map(|(actor, _)| actor);
    document.check_headers(&actors, &mut faults);
    let mut rows = Vec::new();
    let mut wrong = String::new();
    for actor in actors {
        for section in document.readers(actor) {
            let mut problems = Vec::new();
            rows.push(read_row(&section, inventory, &mut problems, &mut faults));
            let header = section.header().to_owned();
            section.finish(&mut faults);
            for problem in problems {
                let _ = writeln!(wrong, "[{header}] {problem}");
            }
        }
    }
    document.finish(faults).map_err(|e| format!("{e:?}"))?;
    if wrong.is_empty() {
        Ok(rows)
    } else {
        Err(wrong)
    }
}

/// What has no row although the soak brings it about or checks it.
fn without_row(rows: &[Row], inventory: &Inventory) -> Vec<String> {
    let names = |list: fn(&Row) -> &Vec<String>| -> BTreeSet<&String> {
        rows.iter().flat_map(list).collect()
    };
    let (switches, checks) = (names(|row| &row.switches), names(|row| &row.checks));
    let switches = inventory
        .switches
        .iter()
        .filter(|name| !switches.contains(name));
    let checks = inventory
        .checks
        .iter()
        .filter(|name| !checks.contains(name));
    switches.chain(checks).cloned().collect()
}

fn render(rows: &[Row]) -> String {
    let count = |is_counted: &dyn Fn(&&Row) -> bool| rows.iter().filter(is_counted).count();
    let lacks = |kind: &'static str| {
        move |row: &&Row| row.lacks.as_ref().is_some_and(|why| why.starts_with(kind))
    };
    let mut page = format!(
        "\n| rows | with a switch | with a check | with a seeded build that the check fails | played, not caught | \
         without a switch: not built | without a switch: impossible | of these with a test beside the soak |\n\
         |---|---|---|---|---|---|---|---|\n| {} | {} | {} | {} | {} | {} | {} | {} |\n",
        rows.len(),
        count(&|row| !row.switches.is_empty()),
        count(&|row| !row.checks.is_empty()),
        count(&|row| row.proof.is_some()),
        count(&|row| lacks("not caught")(row)),
        count(&|row| row.switches.is_empty() && lacks("not built")(row)),
        count(&|row| lacks("impossible")(row)),
        count(&|row| row.switches.is_empty() && !row.tests.is_empty()),
    );
    let mut by_actor: BTreeMap<&str, Vec<&Row>> = BTreeMap::new();
    for row in rows {
        by_actor.entry(&row.actor).or_default().push(row);
    }
    for (actor, title) in ACTORS {
        let rows = by_actor.get(actor).map_or(&[][..], Vec::as_slice);
        let _ = write!(
            page,
            "\n### {title}\n\n| does | in which state | rules at risk | page | switch | check | proof, or \
             why none | other tests |\n|---|---|---|---|---|---|---|---|\n"
        );
        for row in rows {
            let proof = row.proof.as_ref().map(|proof| &proof.text);
            let proof = proof.or(row.lacks.as_ref()).map_or("", String::as_str);
            let _ = writeln!(
                page,
                "| {} | {} | {} | {} | {} | {} | {} | {} |",
                row.does,
                row.state,
                row.breaks.join(", "),
                row.page,
                row.switches.join(", "),
                row.checks.join(", "),
                proof,
                row.tests.join(", "),
            );
        }
    }
    page
}

#[test]
fn each_row_has_a_switch_a_check_and_a_proof_or_a_reason() {
    let path = root().join("docs/design/what-others-may-do.ini");
    let text = std::fs::read_to_string(path).unwrap();
    let inventory = Inventory::read();
    let rows = read_rows(&text, &inventory).unwrap_or_else(|wrong| panic!("{wrong}"));
    let missing = without_row(&rows, &inventory);
    assert!(missing.is_empty(), "no row names {missing:#?}");
    let page = root().join("docs/design/what-others-may-do.md");
    let written = std::fs::read_to_string(&page).unwrap();
    let (by_hand, _) = written.split_once(HAND_WRITTEN_END).unwrap();
    let whole = format!("{by_hand}{HAND_WRITTEN_END}{}", render(&rows));
    expect_file![page].assert_eq(&whole);
}

struct BadRow {
    name: &'static str,
    /// Lines in place of those of the sound row, by key.
    change: (&'static str, &'static str),
    expected: &'static str,
}

const SOUND_ROW: &str = "[server silence]\ndoes = a\nstate = b\nbreaks = LOST\npage = c\nswitch = Stop\n\
                         check = CutAnswer\nproof = 7710f3c (d) seeds 1 to 3: 2 failed, first 2\n\
                         tests = gateway silence\n";

const BAD_ROWS: &[BadRow] = &[
    BadRow {
        name: "a switch that no seed draws",
        change: ("switch = Stop", "switch = Explode"),
        expected: "no seed draws",
    },
    BadRow {
        name: "a check that does not exist",
        change: ("check = CutAnswer", "check = Cut"),
        expected: "is not checked",
    },
    BadRow {
        name: "no switch and no reason",
        change: ("switch = Stop\n", ""),
        expected: "the reason of the first that is missing",
    },
    BadRow {
        name: "no check and no reason",
        change: ("check = CutAnswer\n", ""),
        expected: "the reason of the first that is missing",
    },
    BadRow {
        name: "no proof and no reason",
        change: ("proof = 7710f3c (d) seeds 1 to 3: 2 failed, first 2\n", ""),
        expected: "the reason of the first that is missing",
    },
    BadRow {
        name: "an unknown kind of reason",
        change: ("switch = Stop", "without-switch = later: no time"),
        expected: "is not one of",
    },
    BadRow {
        name: "a proof without a commit",
        change: ("7710f3c", "yesterday's"),
        expected: "proof: ",
    },
    BadRow {
        name: "a first failure outside the seeds",
        change: ("first 2", "first 4"),
        expected: "proof: ",
    },
    BadRow {
        name: "a rule that does not exist",
        change: ("breaks = LOST", "breaks = FOUND"),
        expected: "are no rules",
    },
    BadRow {
        name: "a test that does not exist",
        change: ("gateway silence", "gateway noise"),
        expected: "does not exist",
    },
    BadRow {
        name: "a key that does not exist",
        change: ("page = c", "page = c\nwhom = d"),
        expected: "whom",
    },
    BadRow {
        name: "an actor that does not exist",
        change: ("[server silence]", "[ghost silence]"),
        expected: "ghost",
    },
];

#[test]
fn a_row_that_names_what_does_not_exist_is_found() {
    let inventory = Inventory::read();
    let sound = read_rows(SOUND_ROW, &inventory).unwrap();
    assert_eq!(sound.len(), 1);
    assert!(without_row(&sound, &inventory).contains(&"Kill".to_owned()));
    for case in BAD_ROWS {
        let (from, to) = case.change;
        assert!(SOUND_ROW.contains(from), "{}", case.name);
        let wrong = read_rows(&SOUND_ROW.replace(from, to), &inventory).unwrap_err();
        assert!(wrong.contains(case.expected), "{}: {wrong}", case.name);
    }
}
