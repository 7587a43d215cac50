//! The committed protocol code is what the generator makes.

use std::fs;
use std::path::Path;

#[test]
fn schema_committed_output_equals_generated() {
    let lib = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("protos");
    fs::create_dir_all(&out).unwrap();
    chivevalve_gen_protos::generate(&lib.join("protos"), &out).unwrap();
    for name in ["declaration", "direct", "peer", "settings"] {
        let file = format!("chivevalve.{name}.rs");
        let committed = fs::read_to_string(lib.join("src/protos").join(&file)).unwrap();
        let generated = fs::read_to_string(out.join(&file)).unwrap();
        assert!(
            committed == generated,
            "{file} differs: run cargo run -p chivevalve-gen-protos"
        );
    }
}
