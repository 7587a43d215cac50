//! `export`: the configuration in force, as files that can be applied elsewhere.

use std::fs;
use std::path::Path;

use chivevalve::operators::wire::{Export, File};

use super::{Command, online};
use crate::args::{Args, Format};
use crate::failure::Failure;
use crate::output::{self, Page};

/// The command.
pub const COMMAND: Command = Command {
    name: "export",
    about: "write what is in force as declarations",
    values: 0..=0,
    online: true,
    options: &["out"],
    help: "\
Usage: chivevalve export [--out DIR] [OPTIONS]

Writes the configuration in force as files of declarations, which check, plan
and apply take as they are. Without --out they are printed one after the other.

  --out DIR          a new or empty directory to write the files into
",
    run,
};

fn run(args: &Args) -> Result<(), Failure> {
    online(args, async |client| {
        let export: Export = client.get("/v1/config").await?;
        let Some(dir) = &args.out else {
            return output::answer(args.format, &export, text);
        };
        write(dir, &export.files)?;
        if args.format == Format::Json {
            return output::answer(args.format, &export, text);
        }
        output::print(&format!(
            "wrote revision {} to {}: {} files\n",
            export.revision,
            dir.display(),
            export.files.len()
        ))
    })
}

fn text(export: &Export) -> String {
    let mut page = Page::default();
    page.line(format_args!("# revision {}", export.revision));
    for file in &export.files {
        page.line(format_args!("# {}", file.name));
        page.text(&file.text);
    }
    page.done()
}

fn write(dir: &Path, files: &[File]) -> Result<(), Failure> {
    let failed = |path: &Path, error: &std::io::Error| {
        Failure::Other(format!("{} can't be written: {error}", path.display()))
    };
    fs::create_dir_all(dir).map_err(|error| failed(dir, &error))?;
    // Files of an older export would be applied together with the new ones.
    let mut entries = fs::read_dir(dir).map_err(|error| failed(dir, &error))?;
    if entries.next().is_some() {
        return Err(Failure::Usage(format!("{} isn't empty", dir.display())));
    }
    for file in files {
        let path = dir.join(inside(&file.name)?);
        if let Some(parent) = path.parent() {
            fs::create_dir_all(parent).map_err(|error| failed(parent, &error))?;
        }
        fs::write(&path, &file.text).map_err(|error| failed(&path, &error))?;
    }
    Ok(())
}

/// Refuses a name that leads out of the directory, whatever a node answers.
fn inside(name: &str) -> Result<&Path, Failure> {
    let path = Path::new(name);
    let plain = path
        .components()
        .all(|part| matches!(part, std::path::Component::Normal(_)));
    if plain {
        return Ok(path);
    }
    Err(Failure::Other(format!(
        "the node named an odd file: {name}"
    )))
}
