//! Golden tests of the parser and the verifier. Each file holds a bundle, a
//! line `----` and the expected output. `ONYXFALL_BLESS=1` rewrites the
//! expected output.

use std::fs;
use std::path::Path;

use onyxfall_bundle::{ContentDigest, canonical_text, parse_bundle, verify_bundle};
use onyxfall_settings::IniDocument;

const SEPARATOR: &str = "----\n";

fn bundle_output(text: &str) -> String {
    let document = match IniDocument::parse("bundle", text) {
        Ok(document) => document,
        Err(e) => return format!("{e}\n"),
    };
    let bundle = match parse_bundle(&document) {
        Ok(bundle) => bundle,
        Err(e) => return format!("{e}\n"),
    };
    match verify_bundle(&bundle) {
        Ok(()) => format!(
            "{bundle}\n{}\n",
            ContentDigest::of(&canonical_text(&document))
        ),
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n") + "\n"
        }
    }
}

#[test]
fn files_produce_the_expected_output() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files");
    let mut paths: Vec<_> = fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    assert!(paths.len() >= 5, "test files are missing");
    for path in paths {
        let text = fs::read_to_string(&path).unwrap();
        let (input, expected) = text
            .split_once(SEPARATOR)
            .expect("the file has a separator line");
        let actual = bundle_output(input);
        if std::env::var_os("ONYXFALL_BLESS").is_some() {
            fs::write(&path, format!("{input}{SEPARATOR}{actual}")).unwrap();
            continue;
        }
        assert_eq!(actual, expected, "{}", path.display());
    }
}
