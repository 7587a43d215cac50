//! Pages that code and docs refer to exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that hold no sources of ours.
const SKIPPED: [&str; 2] = ["target", ".git"];
/// Endings of files that refer to pages.
const READ: [&str; 4] = ["rs", "md", "proto", "yaml"];

fn files(directory: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if path.is_dir() && !SKIPPED.contains(&name.as_str()) {
            files(&path, found);
        } else if path
            .extension()
            .is_some_and(|ending| READ.contains(&&*ending.to_string_lossy()))
        {
            found.push(path);
        }
    }
}

/// Finds what looks like a page below docs/.
fn pages(text: &str) -> impl Iterator<Item = String> {
    text.match_indices("docs/").filter_map(|(at, _)| {
        let rest = &text[at..];
        let end = rest.find(|c: char| !(c.is_ascii_alphanumeric() || "/_-.".contains(c)));
        let page = rest[..end.unwrap_or(rest.len())].trim_end_matches('.');
        let ending = Path::new(page).extension()?;
        (ending == "md").then(|| page.to_owned())
    })
}

#[test]
fn docs_pages_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut sources = Vec::new();
    files(&root, &mut sources);
    let mut missing = BTreeSet::new();
    let mut seen = 0;
    for source in sources {
        let text = fs::read_to_string(&source).unwrap();
        for page in pages(&text) {
            seen += 1;
            if !root.join(&page).exists() {
                missing.insert(format!("{page}, named in {}", source.display()));
            }
        }
    }
    assert!(seen > 50, "only {seen} references found");
    assert!(missing.is_empty(), "missing pages: {missing:#?}");
}
