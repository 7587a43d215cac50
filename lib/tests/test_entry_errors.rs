//! Checks that the table of error codes in the docs matches the code.

use std::collections::HashSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use chivevalve::error::{Code, Fate};

/// The line before the generated table; the text above it is written by hand.
const TABLE_MARKER: &str = "<!-- The table below is made by lib/tests/test_entry_errors.rs -->\n";

/// Environment variable that makes the test write the table instead of checking it.
const UPDATE_VARIABLE: &str = "UPDATE_DOCS";

fn table() -> String {
    let mut table = String::from(
        "\n| number | name | status | fate | meaning | what a caller may do |\n\
         | ---: | --- | ---: | --- | --- | --- |\n",
    );
    for code in Code::ALL {
        writeln!(
            table,
            "| {} | `{}` | {} | {} | {} | {} |",
            code.number(),
            code.name(),
            code.status(),
            code.fate().name(),
            code.meaning().trim(),
            code.hint()
        )
        .unwrap();
    }
    table
}

#[test]
fn errors_page_equals_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/errors.md");
    let page = fs::read_to_string(&path).unwrap();
    let (above, below) = page.split_once(TABLE_MARKER).unwrap();
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&path, format!("{above}{TABLE_MARKER}{}", table())).unwrap();
        return;
    }
    assert!(
        below == table(),
        "docs/errors.md differs: run this test with {UPDATE_VARIABLE}=1"
    );
}

#[test]
fn codes_are_unique() {
    let numbers: HashSet<u32> = Code::ALL.iter().map(|code| code.number()).collect();
    let names: HashSet<&str> = Code::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    assert_eq!(names.len(), Code::ALL.len());
}

/// The first digit of a code's number gives the fate, also to callers that don't know the code.
#[test]
fn codes_number_tells_fate() {
    for code in Code::ALL {
        let fate = match code.number() / 1000 {
            1 | 2 => Fate::NotRun,
            3 => Fate::Unknown,
            _ => Fate::Ran,
        };
        assert_eq!(code.fate(), fate, "{code}");
    }
}
