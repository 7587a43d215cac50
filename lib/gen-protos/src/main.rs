//! Writes the committed protocol code anew; run it after a change of `lib/protos`.

use std::path::Path;

fn main() -> eyre::Result<()> {
    let lib = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    chivevalve_gen_protos::generate(&lib.join("protos"), &lib.join("src/protos"))
}
