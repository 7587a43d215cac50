//! Generates Rust code from the schema in `lib/protos`.
//!
//! The output is committed beside its use, so that building the product needs
//! no generator; a test keeps the committed output equal to what this makes.

use std::path::Path;

use eyre::Result;

/// Schema files, relative to `lib/protos`.
const FILES: [&str; 4] = [
    "declaration.proto",
    "direct.proto",
    "peer.proto",
    "settings.proto",
];

/// Packages whose messages are also read from YAML or written as JSON.
const WITH_SERDE: [&str; 2] = [".chivevalve.declaration", ".chivevalve.settings"];

/// Writes the generated modules for the schema in `protos` into `out`.
///
/// # Errors
///
/// When a schema file doesn't parse or `out` can't be written.
pub fn generate(protos: &Path, out: &Path) -> Result<()> {
    let descriptors = protox::compile(FILES, [protos])?;
    let mut builder = tonic_prost_build::configure()
        .build_transport(true)
        .bytes(".chivevalve.peer")
        .emit_rerun_if_changed(false)
        .out_dir(out);
    for package in WITH_SERDE {
        builder = builder
            .type_attribute(package, "#[derive(serde::Serialize, serde::Deserialize)]")
            .message_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    builder.compile_fds(descriptors)?;
    Ok(())
}
