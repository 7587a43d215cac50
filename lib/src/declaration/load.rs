//! Loads and checks a directory of declarations.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::mistake::{Mistake, Place};
use super::read::{self, RawDeclarations};
use super::rules;
use super::set::DeclarationSet;
use super::tree;
use crate::name::Name;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: u64 = 32 * 1024 * 1024;
/// Maximum depth of directories below the one that is loaded.
const MAX_DEPTH: usize = 8;

/// A file of declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Path relative to the directory, such as `templates/orders.yaml`.
    pub name: Name,
    /// Contents, as YAML.
    pub text: String,
}

/// Reads the `.yaml` and `.yml` files below a directory, sorted by name.
///
/// # Errors
///
/// A mistake for each directory or file that can't be read or is too large.
pub fn load_dir(dir: &Path) -> Result<Vec<SourceFile>, Vec<Mistake>> {
    let mut sources = Vec::new();
    let mut mistakes = Vec::new();
    visit_dir(dir, dir, 0, &mut sources, &mut mistakes);
    sources.sort_by(|a, b| a.name.cmp(&b.name));
    if sources.is_empty() && mistakes.is_empty() {
        // Applying an empty directory would remove every declaration; most likely the path is wrong.
        let place = Place::file(&relative_name(dir, dir));
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

/// Loads a directory and checks all its files together.
///
/// # Errors
///
/// Every mistake in all files, ordered by file and line.
pub fn check(dir: &Path) -> Result<DeclarationSet, Vec<Mistake>> {
    check_sources(&load_dir(dir)?)
}

/// Checks files that are already loaded, all together.
///
/// # Errors
///
/// Every mistake in all files, ordered by file and line.
pub fn check_sources(sources: &[SourceFile]) -> Result<DeclarationSet, Vec<Mistake>> {
    let mut raw = RawDeclarations::default();
    let mut mistakes = Vec::new();
    for source in sources {
        match tree::parse(&source.name, &source.text) {
            Ok(root) => read::read(root, &mut raw, &mut mistakes),
            Err(mistake) => mistakes.push(mistake),
        }
    }
    let whole = Place::file(&Arc::from("."));
    let set = rules::check(&raw, &whole, &mut mistakes);
    if mistakes.is_empty() {
        return Ok(set);
    }
    mistakes.sort();
    mistakes.dedup();
    Err(mistakes)
}

fn visit_dir(
    root: &Path,
    dir: &Path,
    depth: usize,
    sources: &mut Vec<SourceFile>,
    mistakes: &mut Vec<Mistake>,
) {
    let place = Place::file(&relative_name(root, dir));
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
            mistakes.push(read_mistake(&place, &error));
            return;
        }
    };
    for entry in entries {
        match entry {
            Ok(entry) if is_hidden(&entry.path()) => {}
            Ok(entry) if entry.path().is_dir() => {
                visit_dir(root, &entry.path(), depth + 1, sources, mistakes);
            }
            Ok(entry) => read_file(root, &entry.path(), sources, mistakes),
            Err(error) => mistakes.push(read_mistake(&place, &error)),
        }
    }
}

/// Whether a name starts with a dot, such as version control's files.
fn is_hidden(path: &Path) -> bool {
    path.file_name()
        .is_some_and(|name| name.to_string_lossy().starts_with('.'))
}

fn read_file(root: &Path, path: &Path, sources: &mut Vec<SourceFile>, mistakes: &mut Vec<Mistake>) {
    let yaml = path
        .extension()
        .is_some_and(|extension| extension == "yaml" || extension == "yml");
    if !yaml {
        return;
    }
    let name = relative_name(root, path);
    let place = Place::file(&name);
    let size = fs::metadata(path).map_or(0, |metadata| metadata.len());
    if size > MAX_FILE_BYTES {
        mistakes.push(Mistake::new(
            &place,
            format!("the file has {size} bytes"),
            format!("split it into files of at most {MAX_FILE_BYTES} bytes"),
        ));
        return;
    }
    match fs::read_to_string(path) {
        Ok(text) => sources.push(SourceFile { name, text }),
        Err(error) => mistakes.push(read_mistake(&place, &error)),
    }
}

fn read_mistake(place: &Place, error: &std::io::Error) -> Mistake {
    Mistake::new(
        place,
        format!("this can't be read: {error}"),
        "correct its name, its permissions or its encoding (UTF-8)",
    )
}

fn relative_name(root: &Path, path: &Path) -> Name {
    let relative: PathBuf = path.strip_prefix(root).unwrap_or(path).into();
    if relative.as_os_str().is_empty() {
        return Arc::from(".");
    }
    Arc::from(relative.to_string_lossy().as_ref())
}
