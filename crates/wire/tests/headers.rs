//! Checks that `docs/PROTOCOLS.md` documents each header that the code uses.

#![allow(missing_docs, clippy::unwrap_used)]

use std::fs;
use std::path::Path;

#[test]
fn each_header_is_documented() {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let source = fs::read_to_string(crate_root.join("src/header.rs")).unwrap();
    let page = crate_root.join("../../docs/PROTOCOLS.md");
    let page = fs::read_to_string(page).unwrap().to_ascii_lowercase();
    let constants = source.lines().filter(|line| line.starts_with("pub const"));
    let names = constants.filter_map(|line| line.split('"').nth(1));
    let names: Vec<&str> = names.collect();
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("`{name}")), "{name}");
    }
}
