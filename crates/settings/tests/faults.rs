//! Every kind of fault reports its line and what was expected.

use std::time::Duration;

use expect_test::{Expect, expect};
use onyxfall_settings::{FaultList, IniDocument, SettingsError};
use onyxfall_types::ByteSize;

struct FaultCase {
    name: &'static str,
    text: &'static str,
    expected: Expect,
}

fn load(text: &str) -> Result<(u16, ByteSize, Duration), SettingsError> {
    let document = IniDocument::parse("test.ini", text)?;
    let mut faults = FaultList::new();
    document.check_headers(&["listen"], &mut faults);
    let mut values = (0, ByteSize::new(0), Duration::ZERO);
    if let Some(reader) = document.single("listen", &mut faults) {
        values.0 = reader.required("port", &mut faults).unwrap_or(0);
        values.1 = reader.or_default("limit", ByteSize::new(1), &mut faults);
        values.2 = reader.millis("idle-ms", Duration::from_millis(5), &mut faults);
        reader.finish(&mut faults);
    }
    document.finish(faults)?;
    Ok(values)
}

#[test]
fn faults_report_line_and_expectation() {
    let cases = [
        FaultCase {
            name: "unknown key",
            text: "[listen]\nport = 1\nprot = 2\n",
            expected: expect![
                "test.ini:3: [listen]: unknown key `prot`: expected one of idle-ms, limit, port"
            ],
        },
        FaultCase {
            name: "wrong type",
            text: "[listen]\nport = many\n",
            expected: expect![
                "test.ini:2: [listen]: key `port`, value `many`: invalid digit found in string"
            ],
        },
        FaultCase {
            name: "missing key",
            text: "[listen]\nlimit = 1KiB\n",
            expected: expect!["test.ini:1: [listen]: missing key `port`"],
        },
        FaultCase {
            name: "duplicate key",
            text: "[listen]\nport = 1\nport = 2\n",
            expected: expect!["test.ini:3: [listen]: duplicate key `port`"],
        },
        FaultCase {
            name: "duplicate section",
            text: "[listen]\nport = 1\n[listen]\nport = 1\n",
            expected: expect!["test.ini:3: duplicate section [listen]"],
        },
        FaultCase {
            name: "unknown section",
            text: "[listen]\nport = 1\n[lisen]\n",
            expected: expect!["test.ini:3: unknown section [lisen]: expected one of listen"],
        },
        FaultCase {
            name: "several at once",
            text: "[listen]\nlimit = 3 apples\nother = 1\n",
            expected: expect![[r"
                test.ini:1: [listen]: missing key `port`
                test.ini:2: [listen]: key `limit`, value `3 apples`: `3 apples`: expected a size such as 512B, 64KiB or 4MiB
                test.ini:3: [listen]: unknown key `other`: expected one of idle-ms, limit, port"]],
        },
        FaultCase {
            name: "not INI",
            text: "[listen\nport = 1\n",
            expected: expect!["test.ini:1: section header without `]`"],
        },
        FaultCase {
            name: "empty",
            text: "",
            expected: expect!["test.ini:1: expected a section [listen]"],
        },
    ];
    for case in cases {
        let error = load(case.text).expect_err(case.name);
        case.expected.assert_eq(&error.to_string());
    }
}

#[test]
fn valid_text_loads_with_defaults() {
    let values = load("; comment\n[listen]\nport = 80\nlimit = 2KiB\n").unwrap();
    assert_eq!(values, (80, ByteSize::new(2048), Duration::from_millis(5)));
}
