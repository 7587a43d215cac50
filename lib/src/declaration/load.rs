//! Reads a directory of declarations as one whole.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::mistake::{Mistake, Place};
use super::read::{self, Raw};
use super::rules;
use super::set::DeclarationSet;
use super::tree;
use crate::name::Name;

/// Largest file, in bytes.
pub const MAX_FILE: u64 = 32 * 1024 * 1024;
/// Deepest directory below the one that is loaded.
const MAX_DEPTH: usize = 8;

/// A file's name, relative to the directory, and its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Such as `templates/orders.yaml`.
    pub name: Name,
    /// YAML.
    pub text: String,
}

/// Reads the `.yaml` and `.yml` files below a directory, in order of their names.
///
/// # Errors
///
/// Every directory and file that can't be read, or that is too large.
pub fn load_dir(dir: &Path) -> Result<Vec<SourceFile>, Vec<Mistake>> {
    let mut sources = Vec::new();
    let mut mistakes = Vec::new();
    visit(dir, dir, 0, &mut sources, &mut mistakes);
    sources.sort_by(|a, b| a.name.cmp(&b.name));
    if sources.is_empty() && mistakes.is_empty() {
        // An empty directory would remove everything: most likely a wrong path.
        let place = Place::file(&name_of(dir, dir));
        mistakes.push(Mistake::new(
            &place,
            "there is no .yaml or .yml file",
            "name the directory that holds the declarations",
        ));
    }
    if mistakes.is_empty() {
        return Ok(sources);
    }
    Err(mistakes)
}

/// Checks a directory as one change.
///
/// # Errors
///
/// Every mistake in all files, ordered by file and line.
pub fn check(dir: &Path) -> Result<DeclarationSet, Vec<Mistake>> {
    check_sources(&load_dir(dir)?)
}

/// Checks files that were read already as one change.
///
/// # Errors
///
/// Every mistake in all files, ordered by file and line.
pub fn check_sources(sources: &[SourceFile]) -> Result<DeclarationSet, Vec<Mistake>> {
    let mut raw = Raw::default();
    let mut mistakes = Vec::new();
    for source in sources {
        match tree::parse(&source.name, &source.text) {
            Ok(root) => read::read(root, &mut raw, &mut mistakes),
            Err(mistake) => mistakes.push(mistake),
        }
    }
    let whole = Place::file(&Arc::from("."));
    let set = rules::apply(&raw, &whole, &mut mistakes);
    if mistakes.is_empty() {
        return Ok(set);
    }
    mistakes.sort();
    mistakes.dedup();
    Err(mistakes)
}

fn visit(
    root: &Path,
    dir: &Path,
    depth: usize,
    sources: &mut Vec<SourceFile>,
    mistakes: &mut Vec<Mistake>,
) {
    let place = Place::file(&name_of(root, dir));
    if depth > MAX_DEPTH {
        mistakes.push(Mistake::new(
            &place,
            "directories are nested too deeply",
            format!("keep them within {MAX_DEPTH} levels"),
        ));
        return;
    }
    let entries = match fs::read_dir(dir) {
        Ok(entries) => entries,
        Err(error) => {
            mistakes.push(unreadable(&place, &error));
            return;
        }
    };
    for entry in entries {
        match entry {
            Ok(entry) if hidden(&entry.path()) => {}
            Ok(entry) if entry.path().is_dir() => {
                visit(root, &entry.path(), depth + 1, sources, mistakes);
            }
            Ok(entry) => file(root, &entry.path(), sources, mistakes),
            Err(error) => mistakes.push(unreadable(&place, &error)),
        }
    }
}

/// Version control keeps its own files behind a dot.
fn hidden(path: &Path) -> bool {
    path.file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with('.'))
}

fn file(root: &Path, path: &Path, sources: &mut Vec<SourceFile>, mistakes: &mut Vec<Mistake>) {
    let yaml = path
        .extension()
        .is_some_and(|extension| extension == "yaml" || extension == "yml");
    if !yaml {
        return;
    }
    let name = name_of(root, path);
    let place = Place::file(&name);
    let size = fs::metadata(path).map_or(0, |metadata| metadata.len());
    if size > MAX_FILE {
        mistakes.push(Mistake::new(
            &place,
            format!("the file has {size} bytes"),
            format!("split it into files of at most {MAX_FILE} bytes"),
        ));
        return;
    }
    match fs::read_to_string(path) {
        Ok(text) => sources.push(SourceFile { name, text }),
        Err(error) => mistakes.push(unreadable(&place, &error)),
    }
}

fn unreadable(place: &Place, error: &std::io::Error) -> Mistake {
    Mistake::new(
        place,
        format!("this can't be read: {error}"),
        "correct its name, its permissions or its encoding (UTF-8)",
    )
}

fn name_of(root: &Path, path: &Path) -> Name {
    let relative: PathBuf = path.strip_prefix(root).unwrap_or(path).into();
    if relative.as_os_str().is_empty() {
        return Arc::from(".");
    }
    Arc::from(relative.to_string_lossy().as_ref())
}
