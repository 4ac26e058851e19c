//! Settings are validated before anything starts.

use std::fs;
use std::process::Command;

use onyxfall_adapter::CAPACITY_PLAN_FEATURE;

const BASE_SETTINGS: &str = "\
[vm]
name = vm1
center = c1
[center c1]
region = r1
[listen]
callers = 127.0.0.1:1
ready = 127.0.0.1:2
directory = 127.0.0.1:3
peers = 127.0.0.1:4
peer-ports = 5,6
[peers]
[store]
address = 127.0.0.1:7
[bounds]
";

struct SettingsCase {
    name: &'static str,
    /// Optional sections; `{feature}` stands for the word that asks for the capacity plan.
    sections: &'static str,
    passes: bool,
    /// Parts that the output must contain.
    output: &'static [&'static str],
}

#[test]
fn optional_sections_are_validated() {
    let cases = [
        SettingsCase {
            name: "no section",
            sections: "",
            passes: true,
            output: &["no fault; policy expected\n"],
        },
        SettingsCase {
            name: "two mechanisms off",
            sections: "[decisions]\noff = send-away, prefix-spill\n",
            passes: true,
            output: &["policy expected, off: prefix-spill, send-away\n"],
        },
        SettingsCase {
            name: "a baseline",
            sections: "[decisions]\npolicy = round-robin\n",
            passes: true,
            output: &["policy round-robin\n"],
        },
        SettingsCase {
            name: "an unknown mechanism",
            sections: "[decisions]\noff = prefix-spil\n",
            passes: false,
            output: &[
                "gateway.ini:17",
                "unknown mechanism `prefix-spil`",
                "prefix-spill,",
            ],
        },
        SettingsCase {
            name: "an unknown policy",
            sections: "[decisions]\npolicy = best\n",
            passes: false,
            output: &[
                "gateway.ini:17",
                "unknown policy `best`",
                "expected, local-only",
            ],
        },
        SettingsCase {
            name: "an unknown key",
            sections: "[decisions]\non = send-away\n",
            passes: false,
            output: &["unknown key `on`"],
        },
        SettingsCase {
            name: "no capacity plan is asked for",
            sections: "",
            passes: true,
            output: &["capacity plan off, floor 0.2\n"],
        },
        SettingsCase {
            name: "the deployment asks for the capacity plan",
            sections: "[capacity]\nfeatures = {feature}\n",
            passes: true,
            output: &["capacity plan on, floor 0.2\n"],
        },
        SettingsCase {
            name: "an unknown mode of the capacity plan",
            sections: "[capacity]\nplan = later\n",
            passes: false,
            output: &[
                "gateway.ini:17",
                "unknown mode `later`",
                "off, on or frozen",
            ],
        },
    ];
    for (number, case) in cases.iter().enumerate() {
        let dir = std::env::temp_dir();
        let dir = dir.join(format!("onyxfall-settings-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let path = dir.join("gateway.ini");
        let sections = case.sections.replace("{feature}", CAPACITY_PLAN_FEATURE);
        fs::write(&path, format!("{BASE_SETTINGS}{sections}")).unwrap();
        let checked = Command::new(env!("CARGO_BIN_EXE_onyxfall-gateway"))
            .arg("--settings")
            .arg(&path)
            .arg("--check-settings")
            .output()
            .unwrap();
        fs::remove_dir_all(&dir).unwrap();
        let output = [checked.stdout, checked.stderr].concat();
        let output = String::from_utf8(output).unwrap();
        assert_eq!(
            checked.status.success(),
            case.passes,
            "{}: {output}",
            case.name
        );
        for part in case.output {
            assert!(output.contains(part), "{}: `{part}` in {output}", case.name);
        }
    }
}
